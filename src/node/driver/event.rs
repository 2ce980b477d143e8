//! Defines the events that the sockets, timers and tasks of a node report to the driver.

use super::endpoint_table::DiscoveredEndpoint;
use super::pending_answer::Responder;
use crate::observability::request_trace::RequestEnding;
use crate::upstream::{AttemptResult, ProxiedRequest};
use std::rc::Rc;
use std::time::Instant;
use wheelpath::policy::{EndpointId, EndpointSnapshot, Request, RequestId, WatchUpdate};

/// The result of an attempt, or of a streamed response so far.
pub struct AttemptReport {
    /// Identity of the request.
    pub id: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// The endpoint that the attempt was for.
    pub endpoint: EndpointId,
    /// The outcome, with the response and the load report of the endpoint if it sent them.
    pub result: AttemptResult,
    /// Time since the attempt was decided on, or since the request's body was complete if that was later,
    /// in milliseconds.
    pub elapsed_ms: f64,
}

/// An event that the driver handles.
pub enum DriverEvent {
    /// The process has started. This is the first event.
    Start,
    /// A call to discovery ended, or the node starts with a cached list.
    EndpointsChanged {
        /// Whether `endpoints` is a full list or has only changes, and whether the call failed.
        update: WatchUpdate,
        /// The reported endpoints; empty if the call failed.
        endpoints: Vec<DiscoveredEndpoint>,
    },
    /// A client's request has arrived.
    RequestArrived {
        /// The properties of the request that the balancer needs.
        request: Request,
        /// The HTTP request that is sent to endpoints.
        proxied: Rc<ProxiedRequest>,
        /// Sends the answer to the client's connection.
        responder: Responder,
    },
    /// The client no longer waits for the answer to a request: it has disconnected, the request has
    /// expired, or the process is about to end. Also reported after the answer has reached the client's
    /// connection, and then without effect. If the request has no answer yet, it ends with the given
    /// ending.
    ClientWaitEnded(RequestId, RequestEnding),
    /// The last byte of a request's streamed body has been sent to the endpoint.
    RequestBodyComplete {
        /// Identity of the request.
        id: RequestId,
        /// Until when the client was sending the body.
        sent_by_client_at: Instant,
    },
    /// A streamed response has started.
    ResponseStarted(AttemptReport),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// The timer with this token is due.
    Timer(u64),
    /// The operators disabled an endpoint, which takes it out of service.
    Disable(EndpointId),
    /// The operators enabled an endpoint that they had disabled.
    Enable(EndpointId),
    /// The previous process left a snapshot of its endpoints' learned state.
    SnapshotRestored(Vec<EndpointSnapshot>),
    /// From now on another process of this node serves clients in parallel to this one.
    HandoverStarted,
    /// A message from another node has arrived.
    PeerMessage {
        /// Index of the sending node.
        from: u32,
        /// The message, of at most 256 bytes.
        bytes: Vec<u8>,
    },
}
