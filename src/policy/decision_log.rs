//! Defines the log lines about the balancer's decisions, as typed values with a text form.
//!
//! The balancer does no I/O. It returns the values to the host, which writes their text to the node's log.

use super::endpoint::EndpointId;
use std::fmt::{self, Display, Formatter};

/// One log line about a decision. Operators search the log for the first words of each text, so these words
/// must not change.
#[derive(Clone, Debug, PartialEq)]
pub enum DecisionLogEntry {
    /// An endpoint has become congested.
    EndpointCongested {
        /// The congested endpoint.
        endpoint: EndpointId,
        /// Number of failed attempts in the failure window.
        failures: f64,
        /// Number of all attempts in the failure window.
        attempts: f64,
        /// Time until the first trial is due, in milliseconds.
        trial_in_ms: f64,
    },
    /// A congested endpoint has answered a trial and is live again.
    EndpointLive {
        /// The endpoint that answered.
        endpoint: EndpointId,
        /// Number of trials that failed before this one.
        failed_trials: u32,
        /// Whether the endpoint begins a slow start, because a trial found it unreachable and it may have
        /// restarted.
        slow_start: bool,
    },
    /// The share of attempts that fail to connect, over all endpoints, is too high, so idle connections are
    /// closed.
    ConnectionsScarce,
    /// Requests were rejected or failed since the last line of this kind.
    RequestsRejected {
        /// Numbers of these requests by reason.
        counts: RejectionCounts,
        /// Number of endpoints in service that are not congested.
        live_endpoints: usize,
        /// Number of endpoints in service.
        endpoints: usize,
        /// Share of the offered work that is admitted, 0 to 1.
        admission_level: f64,
        /// Overload of all endpoints together as estimated by admission, 0 to 1.
        overload: f64,
    },
}

/// Numbers of requests that were rejected or failed, by reason. The reasons that concern only single requests
/// are not counted: a deadline that is too close, and failed attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Requests whose answers would have arrived too late to have any value.
    pub objective_missed: u32,
    /// Requests that admission shed to reduce the load.
    pub load_shed: u32,
    /// Requests that arrived while the node had reached its limit of requests in flight.
    pub in_flight_limit: u32,
    /// Requests for which no endpoint was usable.
    pub no_usable_endpoint: u32,
}

impl Display for DecisionLogEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            DecisionLogEntry::EndpointCongested { endpoint, failures, attempts, trial_in_ms } => write!(
                f,
                "congested {:016x}: {failures} of {attempts} recent attempts failed, \
                 first trial in {trial_in_ms:.0} ms",
                endpoint.0
            ),
            DecisionLogEntry::EndpointLive { endpoint, failed_trials, slow_start } => {
                let slow_start = if *slow_start { ", slow start begins" } else { "" };
                write!(
                    f,
                    "live {:016x}: trial answered after {failed_trials} failed trials{slow_start}",
                    endpoint.0
                )
            }
            DecisionLogEntry::ConnectionsScarce => {
                f.write_str("connections are scarce: closing idle connections")
            }
            DecisionLogEntry::RequestsRejected {
                counts,
                live_endpoints,
                endpoints,
                admission_level,
                overload,
            } => {
                write!(
                    f,
                    "refused: {} too late, {} shed, {} over the in-flight limit, \
                     {} without a usable endpoint; {live_endpoints} of {endpoints} endpoints live, \
                     admission level {admission_level:.2}, overload {overload:.2}",
                    counts.objective_missed,
                    counts.load_shed,
                    counts.in_flight_limit,
                    counts.no_usable_endpoint,
                )
            }
        }
    }
}
