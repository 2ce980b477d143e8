//! A client's request on its way to an endpoint, with a body that is buffered or streamed.

use super::{BodyError, MAX_BODY_BYTES, poll_buffered};
use crate::headers;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, OwnedSemaphorePermit};

/// Minimum rate of a body, in bytes a second. The slowest legitimate clients send 64 kB a second.
const MIN_BYTES_PER_SECOND: f64 = 48_000.0;
/// Grace on top of the time that this rate allows, and the longest pause between two pieces.
const RATE_GRACE: Duration = Duration::from_secs(2);

/// A client's request, to be forwarded unchanged.
pub struct ProxiedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
    /// The memory that the body takes, given back with it.
    pub _memory_permit: Option<OwnedSemaphorePermit>,
}

/// The body of a client's request.
pub enum RequestBody {
    /// All of it is here, and can be sent again.
    Buffered(Bytes),
    /// More comes from the client.
    Streamed(Rc<StreamedRequestBody>),
}

impl ProxiedRequest {
    /// The id that the client gave it.
    pub fn trace_id(&self) -> Option<&HeaderValue> {
        self.headers.get(headers::TRACE_ID)
    }

    fn streamed_body(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(body) => Some(body),
        }
    }

    /// Whether it can be sent, for the first time or again.
    pub fn is_sendable(&self) -> bool {
        self.streamed_body().is_none_or(|body| !body.is_spent.get() && !body.has_failed.get())
    }

    /// Waits until the complete request has been passed on, and returns when that was; none for a buffered
    /// body.
    pub async fn wait_until_body_complete(&self) -> Option<Instant> {
        match self.streamed_body() {
            None => None,
            Some(body) => Some(body.wait_until_complete().await),
        }
    }

    /// Waits until a streamed body stalls; forever if there is no streamed body.
    pub(super) async fn wait_until_body_stalled(&self) {
        match self.streamed_body() {
            None => std::future::pending().await,
            Some(body) => body.wait_until_stalled().await,
        }
    }

    /// The streamed body, while its last byte has not gone on.
    pub(super) fn incomplete_body(&self) -> Option<&StreamedRequestBody> {
        self.streamed_body().filter(|body| body.completed_at.get().is_none()).map(Rc::as_ref)
    }

    /// The request as it is sent to an endpoint, with `timeout` as the time left to answer.
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
            RequestBody::Streamed(body) => UpstreamBody::Streamed(body.clone(), Some(body.first.clone())),
        }
    }
}

/// How slow a body may be.
#[derive(Clone, Copy)]
pub struct MinimumRate {
    begun_at: Instant,
}

impl MinimumRate {
    /// For a body that began at this time.
    pub fn new(begun_at: Instant) -> MinimumRate {
        MinimumRate { begun_at }
    }

    /// When a body counts as too slow of which `bytes` have come, the last of them at `moved_at`.
    pub fn deadline(&self, bytes: u64, moved_at: Instant) -> Instant {
        let earned = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND);
        (self.begun_at + earned).min(moved_at) + RATE_GRACE
    }
}

/// A long body on its way from a client to an endpoint. Bytes that were passed on are not kept, so after
/// its first part the request cannot be sent again.
pub struct StreamedRequestBody {
    first: Bytes,
    rest: RefCell<Incoming>,
    length: Option<u64>,
    rate: MinimumRate,
    passed_bytes: Cell<u64>,
    moved_at: Cell<Instant>,
    /// Bytes have been passed on that are not kept.
    is_spent: Cell<bool>,
    /// The client's side of it ended before the body did.
    has_failed: Cell<bool>,
    completed_at: Cell<Option<Instant>>,
    completed: Notify,
}

impl StreamedRequestBody {
    /// A body of which `first` has been read and `rest` comes; `length` is that of all, if known.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        rate: MinimumRate,
    ) -> Rc<StreamedRequestBody> {
        Rc::new(StreamedRequestBody {
            first,
            rest: RefCell::new(rest),
            length,
            rate,
            passed_bytes: Cell::new(0),
            moved_at: Cell::new(Instant::now()),
            is_spent: Cell::new(false),
            has_failed: Cell::new(false),
            completed_at: Cell::new(None),
            completed: Notify::new(),
        })
    }

    /// Whether the client's side of it ended before the body did.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed.get()
    }

    fn record_passed(&self, bytes: usize) {
        self.passed_bytes.set(self.passed_bytes.get() + bytes as u64);
        self.moved_at.set(Instant::now());
        if Some(self.passed_bytes.get()) == self.length {
            self.record_completed();
        }
    }

    fn record_completed(&self) {
        self.completed_at.set(self.completed_at.get().or_else(|| Some(Instant::now())));
        self.completed.notify_waiters();
    }

    /// Waits for the moment at which its last byte went on.
    async fn wait_until_complete(&self) -> Instant {
        loop {
            if let Some(at) = self.completed_at.get() {
                return at;
            }
            self.completed.notified().await;
        }
    }

    /// Returns when its client is too slow, or its endpoint takes too little.
    async fn wait_until_stalled(&self) {
        while self.completed_at.get().is_none() {
            let deadline = self.rate.deadline(self.passed_bytes.get(), self.moved_at.get());
            if deadline <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(deadline.into()).await;
        }
        std::future::pending().await
    }

    /// The next piece behind the first; none at the end.
    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.is_spent.set(true);
        loop {
            let frame = ready!(Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx));
            let error = match frame {
                None => {
                    self.record_completed();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => BodyError::Broken(error),
                Some(Ok(frame)) => match frame.into_data() {
                    // Trailers are for this connection alone.
                    Err(_) => continue,
                    Ok(data) if self.passed_bytes.get() + data.len() as u64 > MAX_BODY_BYTES as u64 => {
                        BodyError::TooLong
                    }
                    Ok(data) => {
                        self.record_passed(data.len());
                        return Poll::Ready(Some(Ok(data)));
                    }
                },
            };
            self.has_failed.set(true);
            return Poll::Ready(Some(Err(error)));
        }
    }
}

/// A request's body on a connection to an endpoint.
pub enum UpstreamBody {
    /// A buffered body.
    Buffered(Full<Bytes>),
    /// A streamed body, with its first part if that is still to be sent.
    Streamed(Rc<StreamedRequestBody>, Option<Bytes>),
}

impl UpstreamBody {
    /// No body.
    pub fn empty() -> UpstreamBody {
        UpstreamBody::Buffered(Full::new(Bytes::new()))
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let (body, first) = match &mut *self {
            UpstreamBody::Buffered(body) => return poll_buffered(body, cx),
            UpstreamBody::Streamed(body, first) => (body, first),
        };
        if let Some(first) = first.take() {
            body.record_passed(first.len());
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        body.poll_rest(cx).map(|next| next.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            UpstreamBody::Buffered(body) => body.is_end_stream(),
            UpstreamBody::Streamed(body, first) => first.is_none() && body.completed_at.get().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            UpstreamBody::Buffered(body) => body.size_hint(),
            UpstreamBody::Streamed(body, _) => body.length.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
