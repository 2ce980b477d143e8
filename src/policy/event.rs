//! The events that a balancer takes.

use super::endpoint::{EndpointId, EndpointSnapshot, EndpointUpdate};
use super::load_report::LoadReport;
use super::request::{Request, RequestId};

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// Changed endpoints only.
    Delta,
    /// All endpoints: one that is absent has been removed.
    Snapshot,
    /// All endpoints as they were known before a restart, perhaps out of date, and none where nothing was
    /// kept. Comes once, right after [`Event::Start`].
    CachedSnapshot,
    /// A poll failed or the watch broke; the list stays as it is.
    Failure,
}

/// Where the fault of an attempt lay that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSource {
    /// This node: it cancelled the attempt, or could not send it.
    Node,
    /// The connection: it was not made, or it broke.
    Connection,
    /// The endpoint: what it responded, or that it did not respond.
    Endpoint,
}

/// How an attempt or a probe ended.
///
/// Everything that follows from how an attempt ended is derived here and nowhere else: whether
/// the request may have run, where the fault lay, and what the end says of the endpoint.
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
    /// It was answered.
    Answered,
    /// The endpoint answered with an error; the request may have run.
    ErrorResponse,
    /// The endpoint rejected it; the request did not run.
    Rejected,
    /// No answer came in time; the request may have run.
    TimedOut,
    /// No connection was made in time; the request did not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionReset,
    /// The node cancelled it; the request may have run.
    Cancelled,
    /// It was never sent; the request did not run.
    NotSent,
}

impl AttemptOutcome {
    /// The name that logs and counters show. These are read by the operators' tools and stay as they are.
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

    /// Whether the outcome proves that the request did not run at the endpoint.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent | AttemptOutcome::Rejected)
    }

    /// Whether the endpoint failed to answer: these count in its failure record.
    pub(super) fn is_failure(self) -> bool {
        matches!(
            self,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset
        )
    }

    /// Where the fault lay; none for an answer.
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

    /// Whether the node itself ended or withheld the attempt, which says nothing of the endpoint.
    pub(super) fn was_ended_by_node(self) -> bool {
        self.fault_source() == Some(FaultSource::Node)
    }

    /// Whether the connection failed, which no class of requests can be blamed for.
    pub(super) fn is_connection_failure(self) -> bool {
        self.fault_source() == Some(FaultSource::Connection)
    }

    /// Whether the time of the attempt is a lower bound of the time of an answer.
    pub(super) fn bounds_answer_time(self) -> bool {
        matches!(self, AttemptOutcome::Answered | AttemptOutcome::TimedOut)
    }

    /// Whether the end concerns its endpoint alone and says nothing of the load of the fleet: the endpoint
    /// is full or cannot be reached, and the request goes elsewhere.
    pub(super) fn is_specific_to_endpoint(self) -> bool {
        self == AttemptOutcome::Rejected || self.is_connection_failure()
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node is up. Comes once, first.
    Start,
    /// Discovery reported endpoints, or could not.
    EndpointsChanged {
        /// What `endpoints` contains.
        update: WatchUpdate,
        /// The endpoints reported.
        endpoints: Vec<EndpointUpdate>,
    },
    /// A request to answer.
    Request(Request),
    /// The last byte of a request's body has come, later than its head: the request's time counts from
    /// here.
    RequestBodyComplete(RequestId),
    /// A streamed response has begun: the request is answered, whatever becomes of the rest.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The endpoint that answers.
        endpoint: EndpointId,
        /// Time since the attempt was sent, in milliseconds.
        elapsed_ms: f64,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The endpoint that it went to.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The request has its final answer, by this attempt or before it.
        request_finished: bool,
        /// Time since the attempt was sent, in milliseconds.
        elapsed_ms: f64,
        /// The endpoint's report of its load, as far as it gave one.
        load: LoadReport,
    },
    /// The client is gone; it is owed no answer.
    ClientDisconnected(RequestId),
    /// A timer set by [`Action::Timer`](super::Action::Timer) is due.
    Timer(u64),
    /// A probe is over. No probe is ever sent: trials are requests.
    ProbeEnded {
        /// The endpoint probed.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since the probe was sent, in milliseconds.
        elapsed_ms: f64,
        /// The endpoint's report of its load, as far as it gave one.
        load: LoadReport,
    },
    /// The operators take an endpoint out of service, whatever discovery reports of it.
    Disable(EndpointId),
    /// The operators put it back into service.
    Enable(EndpointId),
    /// What the previous process of this node knew. Comes once, after the cached snapshot.
    SnapshotRestored(Vec<EndpointSnapshot>),
    /// From now on another process of this node serves alongside this one, and to all others the two are
    /// one node. Comes to both, to the new one after the restored snapshot.
    HandoverStarted,
    /// A message from another node.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// What it said.
        bytes: Vec<u8>,
    },
}
