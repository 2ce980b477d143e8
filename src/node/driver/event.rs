//! What can happen to a node, as its sockets, timers and tasks report it.

use super::endpoint_table::DiscoveredEndpoint;
use super::pending_response::Responder;
use crate::observability::request_trace::RequestEnding;
use crate::upstream::{AttemptResult, ProxiedRequest};
use std::rc::Rc;
use wheelpath::policy::{EndpointId, EndpointSnapshot, Request, RequestId, WatchUpdate};

/// What an attempt brought.
pub struct AttemptReport {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The endpoint that it went to.
    pub endpoint: EndpointId,
    /// How it ended, or what has come so far.
    pub result: AttemptResult,
    /// Time since it was sent, in milliseconds.
    pub elapsed_ms: f64,
}

/// All that can happen to a node.
pub enum DriverEvent {
    /// The node is up.
    Start,
    /// Discovery reported endpoints, or could not.
    EndpointsChanged {
        /// What `endpoints` contains.
        update: WatchUpdate,
        /// The endpoints reported.
        endpoints: Vec<DiscoveredEndpoint>,
    },
    /// A client's request came.
    RequestArrived {
        /// What the decisions see of it.
        request: Request,
        /// What goes on to an endpoint.
        proxied: Rc<ProxiedRequest>,
        /// Where its answer goes.
        responder: Responder,
    },
    /// The client has gone or needs nothing more, and how the request ends by that if it has no answer yet.
    ClientDisconnected(RequestId, RequestEnding),
    /// The last byte of a request's body has come and gone on.
    RequestBodyComplete(RequestId),
    /// A streamed response has begun.
    ResponseStarted(AttemptReport),
    /// An attempt is over.
    AttemptEnded(AttemptReport),
    /// A timer is due.
    Timer(u64),
    /// The operators take an endpoint out of service.
    Disable(EndpointId),
    /// The operators put it back.
    Enable(EndpointId),
    /// What the process before this one knew of endpoints.
    SnapshotRestored(Vec<EndpointSnapshot>),
    /// Another process of this node serves alongside this one from now on.
    HandoverStarted,
    /// Another node's message.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// What it said.
        bytes: Vec<u8>,
    },
}
