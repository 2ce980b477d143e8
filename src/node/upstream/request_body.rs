//! Forwards the body of a client's request to an endpoint while the client sends it.
//!
//! Only the first part of a streamed body, the prefix, stays in memory, so the request can be sent again only
//! until the node begins to forward the rest.

use super::minimum_rate::MinimumRate;
use super::upload_clock::UploadClock;
use super::{BodyError, MAX_BODY_BYTES, poll_buffered};
use crate::observability::request_trace::BodyProgress;
use crate::system::socket::PeerObserver;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::sync::Notify;

/// The upper bound of the bytes that hyper has read from a client and not handed over: its buffer and one chunk.
const READ_AHEAD_BYTES: u64 = 128 * 1024;

/// The times at which a streamed body was complete.
#[derive(Clone, Copy, Debug)]
pub struct BodyCompletion {
    /// Until when the client was sending the body, as far as this machine can tell. It is not later than
    /// `forwarded_at`.
    pub sent_by_client_at: Instant,
    /// When the last byte was forwarded.
    pub forwarded_at: Instant,
}

/// A body that is too long to be buffered, and is forwarded from a client to an endpoint.
pub struct StreamedRequestBody {
    /// The first part of the body, which stays in memory.
    prefix: Bytes,
    /// The part after the prefix. Its bytes are not kept once they have been forwarded.
    rest: RefCell<Incoming>,
    /// The announced length of the complete body. `None` if the body is sent in chunks.
    length: Option<u64>,
    minimum_rate: MinimumRate,
    /// The number of bytes of `rest` that have been forwarded. Several attempts may send `prefix`, but each byte
    /// of `rest` is forwarded once.
    rest_forwarded_bytes: Cell<u64>,
    last_forwarded_at: Cell<Instant>,
    /// Whether the node has begun to read `rest`. From then on the request cannot be sent again.
    has_read_rest: Cell<bool>,
    /// Whether the body ended early on the client's side, or is too long.
    has_failed: Cell<bool>,
    /// The client's socket.
    client_reads: PeerObserver,
    upload_clock: RefCell<UploadClock>,
    /// Whether an attempt waits for more of `rest`.
    awaits_rest: Cell<bool>,
    /// `None` until the last byte has been forwarded.
    completion: Cell<Option<BodyCompletion>>,
    completed: Notify,
}

impl StreamedRequestBody {
    /// Creates a body of which `prefix` has been read and `rest` is still to be read. `length` is the
    /// announced length of the complete body, or `None` if the body is sent in chunks. `client_reads` observes
    /// the client's socket.
    pub fn new(
        prefix: Bytes,
        rest: Incoming,
        length: Option<u64>,
        minimum_rate: MinimumRate,
        client_reads: PeerObserver,
    ) -> Rc<StreamedRequestBody> {
        Rc::new(StreamedRequestBody {
            prefix,
            rest: RefCell::new(rest),
            length,
            minimum_rate,
            rest_forwarded_bytes: Cell::new(0),
            last_forwarded_at: Cell::new(Instant::now()),
            has_read_rest: Cell::new(false),
            has_failed: Cell::new(false),
            client_reads,
            upload_clock: RefCell::new(UploadClock::new(Instant::now(), length)),
            awaits_rest: Cell::new(false),
            completion: Cell::new(None),
            completed: Notify::new(),
        })
    }

    /// Returns whether the complete body can be sent, for the first time or again.
    pub(super) fn is_sendable(&self) -> bool {
        !self.has_read_rest.get() && !self.has_failed.get()
    }

    /// Returns whether the last byte has been forwarded.
    pub(super) fn is_complete(&self) -> bool {
        self.completion.get().is_some()
    }

    /// Returns how much of the body has been handed on.
    pub(super) fn progress(&self) -> BodyProgress {
        BodyProgress { forwarded_bytes: self.forwarded_bytes(), length: self.length }
    }

    /// Returns whether the body ended early on the client's side, or is too long.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed.get()
    }

    /// Returns the number of bytes up to which the body has been forwarded. The prefix counts from the start,
    /// and once: each attempt sends it before it reads the rest.
    fn forwarded_bytes(&self) -> u64 {
        self.prefix.len() as u64 + self.rest_forwarded_bytes.get()
    }

    /// Records that an attempt sends the prefix. The body does not end with it.
    fn record_prefix_forwarded(&self) {
        self.last_forwarded_at.set(Instant::now());
    }

    fn record_rest_forwarded(&self, bytes: usize) {
        self.rest_forwarded_bytes.set(self.rest_forwarded_bytes.get() + bytes as u64);
        let (now, forwarded_bytes) = (Instant::now(), self.forwarded_bytes());
        self.last_forwarded_at.set(now);
        let max_unread = || self.client_reads.receive_buffer_bytes().map(|bytes| bytes + READ_AHEAD_BYTES);
        self.upload_clock.borrow_mut().record_received(now, forwarded_bytes, max_unread);
        if Some(forwarded_bytes) == self.length {
            self.record_completed();
        }
    }

    fn record_completed(&self) {
        let completion = self.completion.get().unwrap_or_else(|| BodyCompletion {
            sent_by_client_at: self.evidence_of_sending_at(),
            forwarded_at: Instant::now(),
        });
        self.completion.set(Some(completion));
        self.completed.notify_waiters();
    }

    /// Returns the latest time until which there is evidence that the client was sending.
    fn evidence_of_sending_at(&self) -> Instant {
        self.upload_clock.borrow().sending_until(self.client_reads.awaited_bytes_read_at())
    }

    /// Returns until when the client was sending the body. That is now if an attempt waits for the client.
    pub(super) fn sending_until(&self) -> Instant {
        if let Some(completion) = self.completion.get() {
            return completion.sent_by_client_at;
        }
        // hyper may also read while no attempt waits, to detect that the client closes its connection.
        let awaits_client = self.awaits_rest.get() && self.client_reads.awaits_bytes();
        if awaits_client { Instant::now() } else { self.evidence_of_sending_at() }
    }

    /// Waits until the last byte has been forwarded.
    pub(super) async fn wait_until_complete(&self) -> BodyCompletion {
        loop {
            if let Some(completion) = self.completion.get() {
                return completion;
            }
            self.completed.notified().await;
        }
    }

    /// Waits until the body is slower than the minimum rate, either because the client sends too slowly or
    /// because the endpoint accepts too little. Never returns once the body is complete.
    pub(super) async fn wait_until_stalled(&self) {
        while !self.is_complete() {
            let deadline = self.minimum_rate.deadline(self.forwarded_bytes(), self.last_forwarded_at.get());
            if deadline <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(deadline.into()).await;
        }
        std::future::pending().await
    }

    /// Polls the next data after the prefix. Yields `None` at the end of the body.
    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.has_read_rest.set(true);
        loop {
            let frame = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx);
            self.awaits_rest.set(frame.is_pending());
            let frame = ready!(frame);
            let error = match frame {
                None => {
                    self.record_completed();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => BodyError::Broken(error),
                Some(Ok(frame)) => match frame.into_data() {
                    // Trailers are not forwarded: they concern only the client's connection.
                    Err(_) => continue,
                    Ok(data) if self.forwarded_bytes() + data.len() as u64 > MAX_BODY_BYTES as u64 => {
                        BodyError::TooLong
                    }
                    Ok(data) => {
                        self.record_rest_forwarded(data.len());
                        return Poll::Ready(Some(Ok(data)));
                    }
                },
            };
            self.has_failed.set(true);
            return Poll::Ready(Some(Err(error)));
        }
    }
}

/// The body of a request as hyper sends it to an endpoint or to discovery.
pub enum UpstreamBody {
    /// A body that is in memory.
    Buffered(Full<Bytes>),
    /// A streamed body. The prefix is `None` once it has been sent.
    Streamed(Rc<StreamedRequestBody>, Option<Bytes>),
}

impl UpstreamBody {
    /// Returns a streamed body of which an attempt has sent nothing yet.
    pub(super) fn streamed(body: &Rc<StreamedRequestBody>) -> UpstreamBody {
        UpstreamBody::Streamed(body.clone(), Some(body.prefix.clone()))
    }

    /// Returns the body of a request that has none.
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
        let (body, prefix) = match &mut *self {
            UpstreamBody::Buffered(body) => return poll_buffered(body, cx),
            UpstreamBody::Streamed(body, prefix) => (body, prefix),
        };
        if let Some(prefix) = prefix.take() {
            body.record_prefix_forwarded();
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        body.poll_rest(cx).map(|next| next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            UpstreamBody::Buffered(body) => body.is_end_stream(),
            UpstreamBody::Streamed(body, prefix) => prefix.is_none() && body.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            UpstreamBody::Buffered(body) => body.size_hint(),
            UpstreamBody::Streamed(body, _) => body.length.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
