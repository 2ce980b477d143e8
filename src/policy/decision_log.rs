//! What the decisions have to say to the operators: typed events with a text form.

use super::endpoint::EndpointId;
use std::fmt::{self, Display, Formatter};

/// A line of the log on a decision. The texts are quoted by the operators' pages and stay as they are.
#[derive(Clone, Debug, PartialEq)]
pub enum DecisionLogEntry {
    /// An endpoint is congested.
    EndpointCongested {
        /// Which endpoint.
        endpoint: EndpointId,
        /// Failed attempts within the failure window.
        failures: f64,
        /// All attempts within it.
        attempts: f64,
        /// Time until the first trial, in milliseconds.
        trial_in_ms: f64,
    },
    /// A trial was answered: the endpoint is live again.
    EndpointLive {
        /// Which endpoint.
        endpoint: EndpointId,
        /// Trials that failed before.
        failed_trials: u32,
        /// It could not be reached meanwhile, may have restarted, and begins its slow start anew.
        slow_start: bool,
    },
    /// Attempts find no connection at large: idle connections are closed.
    ConnectionsScarce,
    /// Requests were rejected since the last line of this kind.
    RequestsRejected {
        /// How many, by reason.
        counts: RejectionCounts,
        /// Endpoints in service that are not congested.
        live_endpoints: usize,
        /// Endpoints in service.
        endpoints: usize,
        /// Share of the offered work that admission lets in.
        admission_level: f64,
        /// Share of overload in recent outcomes.
        overload: f64,
    },
}

/// Requests rejected before an attempt, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Their answers would have come too late.
    pub objective_missed: u32,
    /// Admission shed them.
    pub load_shed: u32,
    /// The node had too many in flight.
    pub in_flight_limit: u32,
    /// No endpoint could be sent to.
    pub no_usable_endpoint: u32,
}

impl Display for DecisionLogEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            DecisionLogEntry::EndpointCongested { endpoint, failures, attempts, trial_in_ms } => write!(
                f,
                "congested {:016x}: {failures} failures of {attempts}, trial in {trial_in_ms:.0} ms",
                endpoint.0
            ),
            DecisionLogEntry::EndpointLive { endpoint, failed_trials, slow_start } => {
                let cold = if *slow_start { ", held for cold" } else { "" };
                write!(f, "live {:016x}: trial answered after {failed_trials} failed{cold}", endpoint.0)
            }
            DecisionLogEntry::ConnectionsScarce => {
                f.write_str("connections are scarce: idle ones are given back")
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
                    "refused: {} too late, {} shed, {} crowded, {} with every way blocked; \
                     {live_endpoints} of {endpoints} live, level {admission_level:.2}, \
                     overload {overload:.2}",
                    counts.objective_missed,
                    counts.load_shed,
                    counts.in_flight_limit,
                    counts.no_usable_endpoint,
                )
            }
        }
    }
}
