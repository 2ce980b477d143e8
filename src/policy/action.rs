//! Defines the actions that a balancer returns for its host to carry out, and the reasons for rejections.

use super::decision_log::DecisionLogEntry;
use super::endpoint::EndpointId;
use super::request::RequestId;

/// The reason for which a request is rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectionReason {
    /// An answer would have no value: it would arrive after the objective of a class that does not value
    /// late answers, or the weight of the class is 0.
    ObjectiveMissed,
    /// Admission sheds the request to reduce the load.
    LoadShed,
    /// This node has as many requests in flight as admission allows.
    InFlightLimit,
    /// All endpoints are out of service, congested, at a limit, already tried, or otherwise not allowed to
    /// get the request.
    NoUsableEndpoint,
    /// The time until the deadline or the latency objective is too short for an attempt.
    DeadlineTooClose,
    /// The request may have run, and its class does not allow it to run again.
    NotRetryable,
    /// The last attempt did not answer the request, and no retry is allowed: the retry budget is too low, the
    /// latency objective has passed, or the attempt was not sent.
    RetryDenied,
}

impl RejectionReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [RejectionReason; 7] = [
        RejectionReason::ObjectiveMissed,
        RejectionReason::LoadShed,
        RejectionReason::InFlightLimit,
        RejectionReason::NoUsableEndpoint,
        RejectionReason::DeadlineTooClose,
        RejectionReason::NotRetryable,
        RejectionReason::RetryDenied,
    ];

    /// Returns the name in logs and counters. Operators' tools read these names, so they must not change.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::ObjectiveMissed => "too-late",
            RejectionReason::LoadShed => "shed",
            RejectionReason::InFlightLimit => "crowded",
            RejectionReason::NoUsableEndpoint => "blocked",
            RejectionReason::DeadlineTooClose => "no-time",
            RejectionReason::NotRetryable => "may-have-run",
            RejectionReason::RetryDenied => "no-retry",
        }
    }
}

/// Something that the host must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an endpoint. The attempts of a request are numbered from 0 in the
    /// order of these actions.
    SendAttempt {
        /// The request to send.
        id: RequestId,
        /// The endpoint that gets the attempt.
        endpoint: EndpointId,
        /// How long to wait for the answer, in milliseconds from now.
        timeout_ms: f64,
        /// How long the host may take to write the first byte, in milliseconds from now. Later, the endpoint
        /// may no longer recognize the attempt as a repeat, and run the request twice. Infinite if no earlier
        /// attempt may have run, or if the request may run twice.
        begin_within_ms: f64,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Index of the attempt among the attempts of its request, from 0.
        attempt: u32,
    },
    /// Answer a request with a rejection, which promises the client that a retry does no harm.
    Reject {
        /// The request to answer.
        id: RequestId,
        /// When the client should retry, in milliseconds from now; 0 if the answer should not say.
        retry_after_ms: f64,
        /// The reason, for logs and counters.
        reason: RejectionReason,
    },
    /// Answer a request with a failure. The request may have run, and a retry may run it twice.
    Fail {
        /// The request to answer.
        id: RequestId,
        /// The reason, for logs and counters.
        reason: RejectionReason,
    },
    /// Report [`Event::Timer`](super::Event::Timer) at a later time.
    Timer {
        /// The token that the event must carry.
        token: u64,
        /// When the timer is due, in milliseconds on the balancer's clock.
        at_ms: f64,
    },
    /// Close the connections to an endpoint that carry no request.
    CloseIdleConnections(EndpointId),
    /// Send a message of at most 256 bytes to one other node or to all other nodes.
    SendPeerMessage {
        /// Index of the receiving node; `None` for all other nodes.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Start (`true`) or stop (`false`) watching the endpoint list.
    SetWatch(bool),
    /// Write a line to the node's log.
    Log(DecisionLogEntry),
}
