//! Tracks the state and the timeouts of a client's connection.
//!
//! hyper parses the requests, but does not tell whether part of a request head has arrived or whether the
//! client still reads a response. [`ClientConnection`] derives that from the byte counts of the socket, so
//! that slow and silent clients can be disconnected and idle connections can be evicted.

use crate::observability::request_trace::trace_id_text;
use crate::system::socket::Socket;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The time allowed for a complete request head, after which the connection is closed. The time counts from
/// the first byte of the head. As long as no byte has arrived, it counts from when the last response was written
/// or, before the first request, from the accept.
pub(super) const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// The time allowed for the first complete request head, counted from the accept. A client that never sends
/// a complete head has to be disconnected within 3 s of connecting.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);
/// A client that reads nothing of a streamed response for this time is disconnected. While a slow client
/// drains the system's send buffer, nothing can be written for a few seconds; the timeout must be longer.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The same for the end of a response, once the node has all of the response. It holds a descriptor for one
/// client alone then, so the timeout is shorter.
const WRITE_BACKLOG_STALL_TIMEOUT: Duration = Duration::from_secs(6);

/// The state of a client's connection, which decides whether the connection may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The client has not sent a complete request head yet.
    AwaitingFirstRequest,
    /// A request has no response yet, or its response has not been written completely.
    Serving,
    /// All responses have been written, and no byte of another request has arrived.
    Idle,
    /// Part of the head of a request other than the first has arrived.
    ReadingRequest,
    /// The connection serves no further request. The node reads and discards the rest that the client sends.
    Closing,
}

/// The number of bytes written to a connection, and since when the number has not changed.
#[derive(Clone, Copy, Debug)]
struct WriteProgress {
    written_bytes: u64,
    unchanged_since: Instant,
}

/// A client's connection.
pub(super) struct ClientConnection {
    pub socket: Socket,
    /// The number of requests whose responses have not been handed to hyper completely. With pipelining there
    /// may be several. hyper may still have to write the end of a response: see
    /// [`ClientConnection::is_serving`].
    requests_in_progress: Cell<u32>,
    has_sent_request: Cell<bool>,
    /// When the first bytes of the first request arrived. `None` if the connection did not wait
    /// noticeably in the accept queue, or once the first request has taken the value.
    pub queued_since: Cell<Option<Instant>>,
    /// When the connection was accepted or the last response was handed to hyper completely.
    response_ended_at: Cell<Instant>,
    /// The number of bytes read from the socket at `response_ended_at`.
    bytes_read_when_idle: Cell<u64>,
    /// The number of bytes read from the socket when the last request head was complete.
    bytes_read_at_last_head: Cell<u64>,
    /// When [`ClientConnection::partial_request_seen_for`] was first called for the request head that is
    /// being read. It is called only if the node wants to close connections, for example because
    /// descriptors are scarce.
    partial_request_seen_at: Cell<Option<Instant>>,
    pub is_closing: Cell<bool>,
    /// The number of requests in which hyper reported a Content-Length header.
    reported_content_lengths: Cell<u64>,
    /// Whether a streamed response is being sent to the client.
    pub is_streaming_response: Cell<bool>,
    write_progress: Cell<WriteProgress>,
    /// The trace id of the last request, for the log.
    pub last_trace_id: RefCell<Option<HeaderValue>>,
    /// Asks the task that serves the connection to close it.
    pub close_requested: Notify,
}

impl ClientConnection {
    /// Tracks a connection that was just accepted. `queued_since` is when its first bytes arrived, or
    /// `None` if the connection did not wait noticeably in the accept queue.
    pub fn new(socket: Socket, queued_since: Option<Instant>) -> ClientConnection {
        socket.expect_head();
        ClientConnection {
            socket,
            requests_in_progress: Cell::new(0),
            has_sent_request: Cell::new(false),
            queued_since: Cell::new(queued_since),
            response_ended_at: Cell::new(Instant::now()),
            bytes_read_when_idle: Cell::new(0),
            bytes_read_at_last_head: Cell::new(0),
            partial_request_seen_at: Cell::new(None),
            is_closing: Cell::new(false),
            reported_content_lengths: Cell::new(0),
            is_streaming_response: Cell::new(false),
            write_progress: Cell::new(WriteProgress { written_bytes: 0, unchanged_since: Instant::now() }),
            last_trace_id: RefCell::default(),
            close_requested: Notify::new(),
        }
    }

    pub fn state(&self) -> ConnectionState {
        if self.is_closing.get() {
            ConnectionState::Closing
        } else if self.is_serving() {
            ConnectionState::Serving
        } else if !self.has_sent_request.get() {
            ConnectionState::AwaitingFirstRequest
        } else if self.has_partial_request() {
            ConnectionState::ReadingRequest
        } else {
            ConnectionState::Idle
        }
    }

    /// Returns whether a request has no response yet, or whether the end of a response has not been written.
    ///
    /// hyper drops the body of a response when it has taken the last bytes into its buffer. With a client that
    /// reads slowly, it may take seconds until they are written.
    pub fn is_serving(&self) -> bool {
        self.requests_in_progress.get() > 0 || self.socket.has_write_backlog()
    }

    /// Returns the trace id of the last request. Returns `?` if there is none, or if it is not visible ASCII.
    pub fn last_trace_id(&self) -> String {
        trace_id_text(self.last_trace_id.borrow().as_ref()).to_owned()
    }

    /// Returns when the connection was accepted or the last byte of the last response was written.
    pub fn idle_since(&self) -> Instant {
        let response_ended_at = self.response_ended_at.get();
        self.socket.write_backlog_ended_at().map_or(response_ended_at, |at| at.max(response_ended_at))
    }

    /// Returns whether the client has sent a complete request head on this connection.
    pub fn has_sent_request(&self) -> bool {
        self.has_sent_request.get()
    }

    /// Returns whether the connection is in the state [`ConnectionState::Closing`].
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Records that a request head is complete. Returns whether it was read together with the one before, so
    /// that the connection has not waited for the client in between.
    pub fn record_head(&self) -> bool {
        let bytes_read = self.socket.bytes_read();
        self.bytes_read_at_last_head.replace(bytes_read) == bytes_read
    }

    /// Returns whether bytes have been read since the connection became idle. As long as no request is in
    /// progress, they are part of an incomplete request head.
    pub fn has_partial_request(&self) -> bool {
        self.socket.bytes_read() != self.bytes_read_when_idle.get()
    }

    /// Returns the time since the accept or since the last response was written.
    pub fn idle_for(&self) -> Duration {
        self.idle_since().elapsed()
    }

    /// Returns the time since this method was first called for the request head that is being read. The
    /// caller must have found the connection in the state [`ConnectionState::ReadingRequest`].
    pub fn partial_request_seen_for(&self) -> Duration {
        let seen_at = self.partial_request_seen_at.get().unwrap_or_else(Instant::now);
        self.partial_request_seen_at.set(Some(seen_at));
        seen_at.elapsed()
    }

    /// Returns when the next request head must be complete.
    pub fn head_deadline(&self) -> Instant {
        let idle_since = self.idle_since();
        match self.socket.head_started_at() {
            // A pipelined head may have begun before the response to the previous request was written.
            Some(begun_at) if self.has_sent_request.get() => {
                begun_at.max(idle_since) + REQUEST_HEAD_TIMEOUT
            }
            Some(begun_at) => (begun_at + REQUEST_HEAD_TIMEOUT).min(idle_since + FIRST_REQUEST_TIMEOUT),
            None => idle_since + REQUEST_HEAD_TIMEOUT,
        }
    }

    /// Returns whether no request is in progress and no complete request head has arrived in time.
    pub fn head_timeout_elapsed(&self) -> bool {
        !self.is_serving() && self.head_deadline() <= Instant::now()
    }

    /// Returns whether the client has read nothing of a streamed response for [`STREAM_STALL_TIMEOUT`], or
    /// nothing of the end of a response for [`WRITE_BACKLOG_STALL_TIMEOUT`]. Each call records the progress,
    /// with which the next call compares.
    pub fn response_stalled(&self) -> bool {
        let progress = self.write_progress.get();
        let is_being_written = self.is_streaming_response.get() || self.socket.has_write_backlog();
        if !is_being_written || progress.written_bytes != self.socket.bytes_written() {
            let progress = WriteProgress {
                written_bytes: self.socket.bytes_written(),
                unchanged_since: Instant::now(),
            };
            self.write_progress.set(progress);
            return false;
        }
        let timeout = if self.is_streaming_response.get() {
            STREAM_STALL_TIMEOUT
        } else {
            WRITE_BACKLOG_STALL_TIMEOUT
        };
        progress.unchanged_since.elapsed() > timeout
    }

    /// Returns whether a chunked request also has a Content-Length header, which may be an attempt at
    /// request smuggling.
    ///
    /// hyper removes the Content-Length header of a chunked request. This method therefore compares the
    /// number of such header lines received on the connection with the number that hyper has reported. It
    /// must be called exactly once for each request.
    pub fn has_removed_content_length(&self, request: &Request<Incoming>) -> bool {
        let has_content_length = request.headers().contains_key(CONTENT_LENGTH);
        self.reported_content_lengths
            .set(self.reported_content_lengths.get() + u64::from(has_content_length));
        request.headers().contains_key(TRANSFER_ENCODING)
            && self.socket.length_header_count() > self.reported_content_lengths.get()
    }
}

/// Keeps a connection in the state [`ConnectionState::Serving`] until dropped. The owner must drop it when a
/// buffered response is complete, or at the end of a streamed response. The connection stays in that state until
/// the response has been written.
pub(super) struct RequestInProgress(Rc<ClientConnection>);

impl RequestInProgress {
    pub fn new(client: Rc<ClientConnection>) -> RequestInProgress {
        client.requests_in_progress.set(client.requests_in_progress.get() + 1);
        client.has_sent_request.set(true);
        client.partial_request_seen_at.set(None);
        RequestInProgress(client)
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let client = &self.0;
        client.requests_in_progress.set(client.requests_in_progress.get().saturating_sub(1));
        if client.requests_in_progress.get() > 0 {
            return;
        }
        client.is_streaming_response.set(false);
        client.socket.expect_head();
        client.response_ended_at.set(Instant::now());
        client.bytes_read_when_idle.set(client.socket.bytes_read());
    }
}
