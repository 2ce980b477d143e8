//! What the node knows of one client's connection: its state, and its timeouts.

use crate::system::socket::Socket;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A connection is closed if no complete request head has come this long after its first byte or after the
/// last response.
pub(super) const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// The same for the first request, counted from the connect.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);
/// A client that reads nothing of a streamed response for this time is disconnected. The system's send
/// buffer hides a slow client for a few seconds.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It has not sent a complete request head yet.
    AwaitingFirstRequest,
    /// A request on it has not been answered, or its response is still on its way.
    Serving,
    /// It has been answered and nothing of a further request has come.
    Idle,
    /// Some of a further request has come, and is not read as one yet.
    ReadingRequest,
    /// Its last response is given, and only what the client still sends is read.
    Closing,
}

/// How much of a streamed response has been written, and since when no more.
#[derive(Clone, Copy, Debug)]
struct WriteProgress {
    written: u64,
    since: Instant,
}

/// One client connection.
pub(super) struct ClientConnection {
    pub socket: Socket,
    /// Requests on it whose responses have not ended; with pipelining there may be several.
    pub requests_in_progress: Cell<u32>,
    has_sent_request: Cell<bool>,
    /// When its first request came, if that had to wait until this node accepted the connection.
    pub waited_since: Cell<Option<Instant>>,
    pub idle_since: Cell<Instant>,
    /// Bytes read when it last became idle.
    read_when_idle: Cell<u64>,
    /// When it was first seen with a partly read request while descriptors were scarce.
    stuck_since: Cell<Option<Instant>>,
    pub is_closing: Cell<bool>,
    /// Requests with a Content-Length.
    declared_lengths: Cell<u64>,
    /// A streamed response is on its way to it.
    pub takes_stream: Cell<bool>,
    write_progress: Cell<WriteProgress>,
    /// The trace id of its last request, for the log.
    pub last_trace_id: RefCell<Option<HeaderValue>>,
    pub close_requested: Notify,
}

impl ClientConnection {
    pub fn new(socket: Socket, waited_since: Option<Instant>) -> ClientConnection {
        socket.expect_head();
        ClientConnection {
            socket,
            requests_in_progress: Cell::new(0),
            has_sent_request: Cell::new(false),
            waited_since: Cell::new(waited_since),
            idle_since: Cell::new(Instant::now()),
            read_when_idle: Cell::new(0),
            stuck_since: Cell::new(None),
            is_closing: Cell::new(false),
            declared_lengths: Cell::new(0),
            takes_stream: Cell::new(false),
            write_progress: Cell::new(WriteProgress { written: 0, since: Instant::now() }),
            last_trace_id: RefCell::default(),
            close_requested: Notify::new(),
        }
    }

    /// What it is doing.
    pub fn state(&self) -> ConnectionState {
        if self.is_closing.get() {
            ConnectionState::Closing
        } else if self.requests_in_progress.get() > 0 {
            ConnectionState::Serving
        } else if !self.has_sent_request.get() {
            ConnectionState::AwaitingFirstRequest
        } else if self.has_unread_request() {
            ConnectionState::ReadingRequest
        } else {
            ConnectionState::Idle
        }
    }

    /// It has sent a complete request head.
    pub fn has_sent_request(&self) -> bool {
        self.has_sent_request.get()
    }

    /// Its last response is given.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Some of a request has come, and is not read as one yet.
    pub fn has_unread_request(&self) -> bool {
        self.socket.bytes_read() != self.read_when_idle.get()
    }

    pub fn idle_for(&self) -> Duration {
        self.idle_since.get().elapsed()
    }

    /// For how long it has been seen with a partly read request.
    pub fn stuck_for(&self) -> Duration {
        let since = self.stuck_since.get().unwrap_or_else(Instant::now);
        self.stuck_since.set(Some(since));
        since.elapsed()
    }

    /// When its request head must be complete. A client that never sends a complete one has to be
    /// disconnected within three seconds of connecting.
    pub fn head_deadline(&self) -> Instant {
        let idle_since = self.idle_since.get();
        match self.socket.head_begun_at() {
            Some(begun_at) if self.has_sent_request.get() => begun_at + REQUEST_HEAD_TIMEOUT,
            Some(begun_at) => (begun_at + REQUEST_HEAD_TIMEOUT).min(idle_since + FIRST_REQUEST_TIMEOUT),
            None => idle_since + REQUEST_HEAD_TIMEOUT,
        }
    }

    /// Nothing is on it, and no complete request head came in time.
    pub fn idle_timeout_elapsed(&self) -> bool {
        self.requests_in_progress.get() == 0 && self.head_deadline() <= Instant::now()
    }

    /// The client takes nothing more of the streamed response on its way to it.
    pub fn response_stalled(&self) -> bool {
        let progress = self.write_progress.get();
        if !self.takes_stream.get() || progress.written != self.socket.bytes_written() {
            let progress = WriteProgress { written: self.socket.bytes_written(), since: Instant::now() };
            self.write_progress.set(progress);
            return false;
        }
        progress.since.elapsed() > RESPONSE_STALL_TIMEOUT
    }

    /// Counts a request's Content-Length header. True if more such header lines were received than hyper
    /// reports: it drops the length of a chunked request, which may be an attempt at request smuggling.
    pub fn hides_length(&self, request: &Request<Incoming>) -> bool {
        let declares_length = request.headers().contains_key(CONTENT_LENGTH);
        self.declared_lengths.set(self.declared_lengths.get() + u64::from(declares_length));
        request.headers().contains_key(TRANSFER_ENCODING)
            && self.socket.length_header_count() > self.declared_lengths.get()
    }
}

/// Marks a connection as serving for as long as a request is on it.
pub(super) struct RequestInProgress(Rc<ClientConnection>);

impl RequestInProgress {
    pub fn new(client: Rc<ClientConnection>) -> RequestInProgress {
        client.requests_in_progress.set(client.requests_in_progress.get() + 1);
        client.has_sent_request.set(true);
        client.stuck_since.set(None);
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
        client.takes_stream.set(false);
        client.socket.expect_head();
        client.idle_since.set(Instant::now());
        client.read_when_idle.set(client.socket.bytes_read());
    }
}
