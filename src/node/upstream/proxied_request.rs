//! Represents a client's request as it is forwarded to endpoints.
//!
//! Several attempts may share a request. A buffered body is in memory and can be sent by each of them. A streamed
//! body is forwarded while the client sends it: see [`StreamedRequestBody`].

use super::request_body::{BodyCompletion, StreamedRequestBody, UpstreamBody};
use crate::headers;
use crate::observability::request_trace::BodyProgress;
use crate::system::socket::{PeerObserver, ReadAhead};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;

/// A client's request as it is forwarded to endpoints, without headers that concern only the client's
/// connection.
pub struct ProxiedRequest {
    /// The method of the client's request.
    pub method: Method,
    /// The path and query of the client's URI.
    pub target: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body, without the trailers that a streamed body may have.
    pub body: RequestBody,
    /// The client's socket.
    pub client: PeerObserver,
    /// Whether an endpoint may have executed the request. The driver sets it with each attempt.
    pub may_have_run: Rc<Cell<bool>>,
    /// The share of the memory for request bodies that this body takes. It is released when the request is
    /// dropped. `None` if the body takes none.
    pub _memory_permit: Option<OwnedSemaphorePermit>,
}

/// The body of a client's request.
pub enum RequestBody {
    /// The complete body is in memory, and can be sent again.
    Buffered(Bytes),
    /// The client is still sending the body.
    Streamed(Rc<StreamedRequestBody>),
}

impl ProxiedRequest {
    /// Returns the id that the client assigned to the request. Returns `None` if the header is missing.
    pub fn trace_id(&self) -> Option<&HeaderValue> {
        self.headers.get(headers::TRACE_ID)
    }

    /// Looks for the client's close behind the bytes that it has sent after the request. Returns
    /// [`ReadAhead::Nothing`] while the client sends a streamed body: no endpoint executes a request without its
    /// end.
    pub fn look_for_close(&self) -> ReadAhead {
        match self.body {
            RequestBody::Buffered(_) => self.client.read_ahead(),
            RequestBody::Streamed(_) => ReadAhead::Nothing,
        }
    }

    /// Does the same as [`ProxiedRequest::look_for_close`] until no more bytes come at once.
    pub async fn look_for_close_until_quiet(&self) -> ReadAhead {
        loop {
            match self.look_for_close() {
                ReadAhead::Bytes => tokio::task::yield_now().await,
                found => return found,
            }
        }
    }

    fn streamed_body(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(body) => Some(body),
        }
    }

    /// Returns whether the complete request can be sent, for the first time or again.
    pub fn is_sendable(&self) -> bool {
        self.streamed_body().is_none_or(|body| body.is_sendable())
    }

    /// Returns how much of a streamed body has been handed on. Returns `None` for a buffered body.
    pub fn body_progress(&self) -> Option<BodyProgress> {
        self.streamed_body().map(|body| body.progress())
    }

    /// Waits until `deadline`, which counts from `start`. With a streamed body it counts from when the client
    /// had sent the body, if that is later, whether or not the body has been forwarded.
    pub async fn wait_until_due(&self, start: Instant, deadline: Instant) {
        loop {
            let sending_until = self.streamed_body().map_or(start, |body| body.sending_until());
            let due_at = deadline + sending_until.saturating_duration_since(start);
            if due_at <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(due_at.into()).await;
        }
    }

    /// Waits until the last byte of a streamed body has been forwarded. Returns `None` at once for a buffered
    /// body.
    pub async fn wait_until_body_complete(&self) -> Option<BodyCompletion> {
        match self.streamed_body() {
            None => None,
            Some(body) => Some(body.wait_until_complete().await),
        }
    }

    /// Waits until a streamed body is too slow. Never returns if the body is buffered, or once it has been
    /// forwarded completely.
    pub(super) async fn wait_until_body_stalled(&self) {
        match self.streamed_body() {
            None => std::future::pending().await,
            Some(body) => body.wait_until_stalled().await,
        }
    }

    /// Returns the streamed body until its last byte has been forwarded. Returns `None` after that, and for
    /// a buffered body.
    pub(super) fn incomplete_body(&self) -> Option<&StreamedRequestBody> {
        self.streamed_body().filter(|body| !body.is_complete()).map(Rc::as_ref)
    }

    /// Builds the request that is sent to the endpoint at `address`. `timeout` is the time that the
    /// endpoint has for its response.
    pub(super) fn to_endpoint(&self, address: SocketAddr, timeout: Duration) -> Request<UpstreamBody> {
        let mut request = Request::new(self.upstream_body());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&address.to_string())
        {
            headers.insert(HOST, host);
        }
        let timeout_ms = u64::try_from(timeout.as_micros().div_ceil(1000)).unwrap_or(u64::MAX);
        headers.insert(headers::TIMEOUT_MS, HeaderValue::from(timeout_ms));
        request
    }

    fn upstream_body(&self) -> UpstreamBody {
        match &self.body {
            RequestBody::Buffered(body) => UpstreamBody::Buffered(Full::new(body.clone())),
            RequestBody::Streamed(body) => UpstreamBody::streamed(body),
        }
    }
}
