//! The actions that a balancer orders its host to carry out.

use super::decision_log::DecisionLogEntry;
use super::endpoint::EndpointId;
use super::request::RequestId;

/// Why a request is rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectionReason {
    /// Its answer would come too late to be of value.
    ObjectiveMissed,
    /// Admission sheds it.
    LoadShed,
    /// This node has as many requests in flight as admission allows.
    InFlightLimit,
    /// No endpoint may be sent to.
    NoUsableEndpoint,
    /// Too little time is left for an attempt.
    DeadlineTooClose,
    /// An attempt may have run, and the class allows no repeat.
    NotRetryable,
    /// Attempts failed, and the retry budget, the latency objective or the way the last one ended allows no
    /// further.
    RetryBudgetExhausted,
}

impl RejectionReason {
    /// All of them.
    pub const ALL: [RejectionReason; 7] = [
        RejectionReason::ObjectiveMissed,
        RejectionReason::LoadShed,
        RejectionReason::InFlightLimit,
        RejectionReason::NoUsableEndpoint,
        RejectionReason::DeadlineTooClose,
        RejectionReason::NotRetryable,
        RejectionReason::RetryBudgetExhausted,
    ];

    /// The name that logs and counters show. These are read by the operators' tools and stay as they are.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::ObjectiveMissed => "too-late",
            RejectionReason::LoadShed => "shed",
            RejectionReason::InFlightLimit => "crowded",
            RejectionReason::NoUsableEndpoint => "blocked",
            RejectionReason::DeadlineTooClose => "no-time",
            RejectionReason::NotRetryable => "may-have-run",
            RejectionReason::RetryBudgetExhausted => "no-retry",
        }
    }
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; the attempts of a request are numbered from 0 in the order of these actions.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// How long to wait for the answer, in milliseconds.
        timeout_ms: f64,
        /// How soon its first byte must be written, in milliseconds: later, the endpoint may have forgotten
        /// an earlier attempt. Infinite where that does not matter.
        begin_within_ms: f64,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected, with the promise that trying again does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// When to come back, in milliseconds; 0 for no advice.
        retry_after_ms: f64,
        /// Why.
        reason: RejectionReason,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: RejectionReason,
    },
    /// Deliver [`Event::Timer`](super::Event::Timer) later.
    Timer {
        /// Comes back in the event.
        token: u64,
        /// When, in milliseconds on the balancer's clock.
        at_ms: f64,
    },
    /// Close the connections to an endpoint that carry no request.
    CloseIdleConnections(EndpointId),
    /// Send a message of at most 256 bytes to another node, or to all where none is named.
    SendPeerMessage {
        /// Number of the receiver.
        to: Option<u32>,
        /// What to say.
        bytes: Vec<u8>,
    },
    /// Start or stop watching the endpoint list.
    SetWatch(bool),
    /// Write a line to the node's log.
    Log(DecisionLogEntry),
}
