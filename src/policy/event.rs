//! Defines the events that the host reports to a balancer, and the outcomes of attempts.
//!
//! The outcome of an attempt determines several things: whether the request may be repeated, whether the
//! endpoint is blamed, and which estimates learn from it. [`AttemptOutcome`] derives them all in one place.

use super::endpoint::{EndpointId, EndpointSnapshot, EndpointUpdate};
use super::load_report::LoadReport;
use super::request::{Request, RequestId};

/// Which endpoints an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// Only the endpoints that have changed.
    Delta,
    /// All endpoints. An endpoint that is missing from the update has been removed.
    Snapshot,
    /// All endpoints that were known before a restart. The list may be out of date, and is empty if no list
    /// was stored. Reported once, right after [`Event::Start`].
    CachedSnapshot,
    /// None: a poll failed, or the watch was interrupted. The known list stays in use.
    Failure,
}

/// The part of the system at fault when an attempt did not end as [`AttemptOutcome::Answered`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSource {
    /// This node cancelled the attempt or did not send it.
    Node,
    /// The connection could not be established, or was lost.
    Connection,
    /// The endpoint responded with an error or a rejection, or did not respond in time.
    Endpoint,
}

/// How an attempt or a probe ended.
///
/// All conclusions from an outcome are derived in this type and nowhere else: whether the request may have
/// run, where the fault lies, and whether the endpoint failed.
///
/// | outcome | may have run | fault | counts as failure |
/// | --- | --- | --- | --- |
/// | `Answered` | yes | none | no |
/// | `ErrorResponse` | yes | endpoint | no |
/// | `Rejected` | no | endpoint | no |
/// | `TimedOut` | yes | endpoint | yes |
/// | `ConnectFailed` | no | connection | yes |
/// | `ConnectionReset` | yes | connection | yes |
/// | `Cancelled` | yes | node | no |
/// | `NotSent` | no | node | no |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered the request.
    Answered,
    /// The endpoint sent an error, or a response that is malformed or incomplete. The request may have run.
    ErrorResponse,
    /// The endpoint rejected the request without running it.
    Rejected,
    /// No answer arrived within the attempt's timeout. The request may have run.
    TimedOut,
    /// No connection was established in time, or it was lost before the request was sent completely. The
    /// request did not run.
    ConnectFailed,
    /// The connection was lost after the request was sent and before the answer was complete. The request
    /// may have run.
    ConnectionReset,
    /// This node cancelled the attempt. The request may have run.
    Cancelled,
    /// This node did not send the attempt, or not completely. The request did not run.
    NotSent,
}

impl AttemptOutcome {
    /// Returns the name in logs and counters. Operators' tools read these names, so they must not change.
    pub fn name(self) -> &'static str {
        match self {
            AttemptOutcome::Answered => "done",
            AttemptOutcome::ErrorResponse => "error",
            AttemptOutcome::Rejected => "full",
            AttemptOutcome::TimedOut => "timed-out",
            AttemptOutcome::ConnectFailed => "not-connected",
            AttemptOutcome::ConnectionReset => "reset",
            AttemptOutcome::Cancelled => "cancelled",
            AttemptOutcome::NotSent => "skipped",
        }
    }

    /// Returns whether the outcome proves that the request did not run at the endpoint.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent | AttemptOutcome::Rejected)
    }

    /// Returns whether the outcome counts as a failure in the endpoint's failure record: no response came
    /// in time, or the connection failed. Error responses and rejections do not count: the endpoint has
    /// responded.
    pub(super) fn is_failure(self) -> bool {
        matches!(
            self,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset
        )
    }

    /// Returns the part of the system at fault, or `None` for [`AttemptOutcome::Answered`].
    pub fn fault_source(self) -> Option<FaultSource> {
        match self {
            AttemptOutcome::Answered => None,
            AttemptOutcome::ErrorResponse | AttemptOutcome::Rejected | AttemptOutcome::TimedOut => {
                Some(FaultSource::Endpoint)
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset => {
                Some(FaultSource::Connection)
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => Some(FaultSource::Node),
        }
    }

    /// Returns whether this node cancelled the attempt or did not send it. Such an attempt carries no
    /// information about the endpoint.
    pub(super) fn was_ended_by_node(self) -> bool {
        self.fault_source() == Some(FaultSource::Node)
    }

    /// Returns whether the connection could not be established or was lost. Such a failure is not
    /// attributed to the class of the request.
    pub(super) fn is_connection_failure(self) -> bool {
        self.fault_source() == Some(FaultSource::Connection)
    }

    /// Returns whether the duration of the attempt is a lower bound of the answer time: it is the answer time
    /// of an answered attempt, and an attempt that timed out would have taken at least as long.
    pub(super) fn bounds_answer_time(self) -> bool {
        matches!(self, AttemptOutcome::Answered | AttemptOutcome::TimedOut)
    }

    /// Returns whether the outcome carries information about its endpoint only, and none about the load of
    /// the fleet: the endpoint is full or cannot be reached, and another one can take the request.
    pub(super) fn is_specific_to_endpoint(self) -> bool {
        self == AttemptOutcome::Rejected || self.is_connection_failure()
    }
}

/// Something that happened outside the balancer and that its decisions may depend on.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node has started. Always the first event, and reported once.
    Start,
    /// Discovery reported endpoints, or failed to.
    EndpointsChanged {
        /// Which endpoints the update contains.
        update: WatchUpdate,
        /// The reported endpoints; ignored if the update is a failure.
        endpoints: Vec<EndpointUpdate>,
    },
    /// A client's request has arrived.
    Request(Request),
    /// The body of a request is complete, some time after its head. The arrival of the request moves to
    /// `sent_at_ms`, and its deadline and its other times move by the same amount.
    RequestBodyComplete {
        /// Identity of the request.
        id: RequestId,
        /// When the client had sent the body, in milliseconds on the balancer's clock. Not later than now.
        /// Without effect if it is before the arrival.
        sent_at_ms: f64,
    },
    /// A streamed response has started. The request counts as answered even if the rest of the response
    /// fails.
    ResponseStarted {
        /// The request that the response belongs to.
        id: RequestId,
        /// Index of the attempt among the attempts of its request, from 0.
        attempt: u32,
        /// The endpoint that sends the response.
        endpoint: EndpointId,
        /// Time since the attempt was sent, in milliseconds.
        elapsed_ms: f64,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Index of the attempt among the attempts of its request, from 0.
        attempt: u32,
        /// The endpoint that the attempt was sent to.
        endpoint: EndpointId,
        /// The result of the attempt.
        outcome: AttemptOutcome,
        /// Whether the request has its final answer, from this attempt or from an earlier one.
        request_finished: bool,
        /// Time since the attempt was sent, in milliseconds.
        elapsed_ms: f64,
        /// The load figures that the endpoint reported; all of them are absent if it reported none.
        load: LoadReport,
    },
    /// The client of the request has disconnected and no longer needs an answer.
    ClientDisconnected(RequestId),
    /// A timer that [`Action::Timer`](super::Action::Timer) set is due. The value is the timer's token.
    Timer(u64),
    /// A probe has ended. The balancer sends no probes, since its trials are requests, and ignores this
    /// event.
    ProbeEnded {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// The result of the probe.
        outcome: AttemptOutcome,
        /// Time since the probe was sent, in milliseconds.
        elapsed_ms: f64,
        /// The load figures that the endpoint reported; all of them are absent if it reported none.
        load: LoadReport,
    },
    /// An operator takes an endpoint out of service, regardless of its state in discovery.
    Disable(EndpointId),
    /// An operator puts a disabled endpoint back into service.
    Enable(EndpointId),
    /// The state of the endpoints that the previous process of this node handed over. Reported at most once,
    /// after the cached snapshot.
    SnapshotRestored(Vec<EndpointSnapshot>),
    /// From now on another process of this node serves requests alongside this one, and other nodes see the
    /// two as one node. Reported to both processes; to the new one after the restored snapshot.
    HandoverStarted,
    /// A message from another node. The balancer ignores this event.
    PeerMessage {
        /// Index of the sending node.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}
