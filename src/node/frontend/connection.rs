//! One client's connection, from its accept to its close.

use super::Frontend;
use super::request_reader::{ArrivalTime, ParsedRequest};
use super::responses::{self, ClientResponse, closing, full, plain};
use crate::headers;
use crate::observability::counters::{CounterKind, Violation};
use crate::system::descriptors::DescriptorPermit;
use crate::system::socket::Socket;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// A connection that has brought no whole head since it began, or since its last response, is closed: it is silent, sends
/// half a request, or does not read its response.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// From its connecting on, for one that has never brought a whole head.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);
/// A client that takes nothing of a streamed response for so long is cut. What the system holds for it hides a slow one for
/// a few seconds.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection that carries a request when its timeouts are looked at is looked at again so soon.
const TIMEOUT_RECHECK: Duration = Duration::from_millis(100);
/// What a client is still sending when its connection ends is read for so long and so far: a socket closed with unread bytes
/// resets, and takes a response under way along.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
const LINGERING_CLOSE_BYTES: usize = 32 * 1024 * 1024;
const BOTH_FRAMINGS: &str = "both a length and chunks\n";

/// The client has left: there is nobody to answer.
#[derive(Debug, Error)]
#[error("the client has left")]
struct ClientLeft;

/// Why a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The client ended it, or what it sent cannot be read and was answered so.
    Client,
    /// The last response said so, or hyper ended it behind one.
    Answered,
    /// A response broke off, and its end must not look like a whole one.
    Broken,
    /// Nothing came on it for long.
    Idle,
    /// A head never became whole.
    HalfHead,
    /// The client takes nothing of a streamed response.
    Stalled,
    /// Its descriptor is needed, or the node winds down.
    Evicted,
}

impl CloseReason {
    /// As counters name it.
    fn name(self) -> &'static str {
        match self {
            CloseReason::Client => "client",
            CloseReason::Answered => "answered",
            CloseReason::Broken => "broken",
            CloseReason::Idle => "idle",
            CloseReason::HalfHead => "half-head",
            CloseReason::Stalled => "stalled",
            CloseReason::Evicted => "wanted",
        }
    }

    /// The node ends it of its own accord: then nothing on it may wait for an answer.
    fn is_own(self) -> bool {
        matches!(self, CloseReason::Idle | CloseReason::HalfHead | CloseReason::Evicted)
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It has brought no whole head yet.
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
    /// Requests on it whose responses have not ended: the next may come before the last is put away.
    requests_in_progress: Cell<u32>,
    has_asked: Cell<bool>,
    /// When its first request came, if that waited for this node to take the connection.
    waited_since: Cell<Option<Instant>>,
    pub idle_since: Cell<Instant>,
    /// Bytes read when it last turned idle.
    read_when_idle: Cell<u64>,
    /// When it was first looked at with a request begun and not read whole.
    stuck_since: Cell<Option<Instant>>,
    is_closing: Cell<bool>,
    /// Requests that told a length.
    told_lengths: Cell<u64>,
    /// A streamed response is on its way to it.
    takes_stream: Cell<bool>,
    write_progress: Cell<WriteProgress>,
    /// The id of its last request, to name it by where it is not answered.
    last_trace_id: RefCell<Option<HeaderValue>>,
    pub close_requested: Notify,
}

impl ClientConnection {
    fn new(socket: Socket, waited_since: Option<Instant>) -> ClientConnection {
        socket.expect_head();
        ClientConnection {
            socket,
            requests_in_progress: Cell::new(0),
            has_asked: Cell::new(false),
            waited_since: Cell::new(waited_since),
            idle_since: Cell::new(Instant::now()),
            read_when_idle: Cell::new(0),
            stuck_since: Cell::new(None),
            is_closing: Cell::new(false),
            told_lengths: Cell::new(0),
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
        } else if !self.has_asked.get() {
            ConnectionState::AwaitingFirstRequest
        } else if self.has_unread_request() {
            ConnectionState::ReadingRequest
        } else {
            ConnectionState::Idle
        }
    }

    /// It has brought a whole head.
    pub fn has_asked(&self) -> bool {
        self.has_asked.get()
    }

    /// Its last response is given.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Some of a request has come, and is not read as one yet.
    pub fn has_unread_request(&self) -> bool {
        self.socket.read() != self.read_when_idle.get()
    }

    pub fn idle_for(&self) -> Duration {
        self.idle_since.get().elapsed()
    }

    /// For how long it has been looked at with a request begun and not read whole.
    pub fn stuck_for(&self) -> Duration {
        let since = self.stuck_since.get().unwrap_or_else(Instant::now);
        self.stuck_since.set(Some(since));
        since.elapsed()
    }

    /// When it must have brought a whole head: a while after that began, or after its last response. One that never asks
    /// for anything must be gone within three seconds, whenever it began to.
    fn head_deadline(&self) -> Instant {
        let idle_since = self.idle_since.get();
        match self.socket.head_begun_at() {
            Some(begun_at) if self.has_asked.get() => begun_at + REQUEST_HEAD_TIMEOUT,
            Some(begun_at) => (begun_at + REQUEST_HEAD_TIMEOUT).min(idle_since + FIRST_REQUEST_TIMEOUT),
            None => idle_since + REQUEST_HEAD_TIMEOUT,
        }
    }

    /// Nothing is on it, and no whole head came in time.
    fn idle_timeout_elapsed(&self) -> bool {
        self.requests_in_progress.get() == 0 && self.head_deadline() <= Instant::now()
    }

    /// The client takes nothing more of the streamed response on its way to it.
    fn response_stalled(&self) -> bool {
        let progress = self.write_progress.get();
        if !self.takes_stream.get() || progress.written != self.socket.written() {
            let progress = WriteProgress { written: self.socket.written(), since: Instant::now() };
            self.write_progress.set(progress);
            return false;
        }
        progress.since.elapsed() > RESPONSE_STALL_TIMEOUT
    }

    /// Notes that a request told a length. True if other lines that tell one have come than such requests know of: hyper
    /// drops the length of a request that comes in chunks too, which may be meant to smuggle one.
    fn hides_length(&self, request: &Request<Incoming>) -> bool {
        let tells_length = request.headers().contains_key(CONTENT_LENGTH);
        self.told_lengths.set(self.told_lengths.get() + u64::from(tells_length));
        request.headers().contains_key(TRANSFER_ENCODING)
            && self.socket.length_headers() > self.told_lengths.get()
    }
}

/// Marks a connection as serving for as long as a request is on it.
struct RequestInProgress(Rc<ClientConnection>);

impl RequestInProgress {
    fn new(client: Rc<ClientConnection>) -> RequestInProgress {
        client.requests_in_progress.set(client.requests_in_progress.get() + 1);
        client.has_asked.set(true);
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
        client.read_when_idle.set(client.socket.read());
    }
}

/// A client's place among those connected: given up however its task ends, or its descriptor would stay.
struct RegisteredClient {
    frontend: Rc<Frontend>,
    number: u64,
}

impl Drop for RegisteredClient {
    fn drop(&mut self) {
        let client = self.frontend.clients.borrow_mut().remove(&self.number);
        drop(client);
        self.frontend.client_closed.notify_one();
    }
}

impl Frontend {
    /// Starts the task that serves a connection, which ends with its close.
    pub(super) fn serve(
        self: &Rc<Self>,
        stream: TcpStream,
        permit: DescriptorPermit,
        waited_since: Option<Instant>,
    ) {
        let socket = Socket::new(stream, permit);
        let client = Rc::new(ClientConnection::new(socket.clone(), waited_since));
        let number = self.next_client.get();
        self.next_client.set(number + 1);
        self.clients.borrow_mut().insert(number, client.clone());
        let registered = RegisteredClient { frontend: self.clone(), number };
        spawn_local(async move {
            let reason = registered.frontend.run_connection(&client, socket).await;
            registered.frontend.close(&client, reason).await;
        });
    }

    /// The one place in which a connection ends.
    async fn close(&self, client: &ClientConnection, reason: CloseReason) {
        self.driver.counters.count(CounterKind::Close, reason.name());
        if reason.is_own() && client.requests_in_progress.get() > 0 {
            let id = client.last_trace_id.borrow();
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("?");
            let text = format!("{id} {}", reason.name());
            self.driver.counters.violation(Violation::CloseUnanswered, &text);
        }
        match reason {
            CloseReason::Broken => client.socket.reset(),
            CloseReason::Client | CloseReason::Answered => {
                client.is_closing.set(true);
                let discarded = client.socket.discard(LINGERING_CLOSE_BYTES);
                tokio::select! {
                    _ = tokio::time::timeout(LINGERING_CLOSE_TIMEOUT, discarded) => {}
                    () = client.close_requested.notified() => {}
                }
            }
            CloseReason::Idle | CloseReason::HalfHead | CloseReason::Stalled | CloseReason::Evicted => {}
        }
    }

    /// Serves requests until the connection is to end, and says why.
    async fn run_connection(self: &Rc<Self>, client: &Rc<ClientConnection>, socket: Socket) -> CloseReason {
        let service = service_fn(|request| {
            let hides_length = client.hides_length(&request);
            client.last_trace_id.replace(request.headers().get(headers::TRACE_ID).cloned());
            let in_progress = RequestInProgress::new(client.clone());
            async move {
                let mut response = if hides_length {
                    self.count_turned_away(BOTH_FRAMINGS);
                    closing(StatusCode::BAD_REQUEST, BOTH_FRAMINGS)
                } else {
                    self.respond(request, client).await?
                };
                client.takes_stream.set(response.body().is_streamed());
                if response.body().is_streamed() {
                    client.socket.limit_unsent();
                }
                response.body_mut().hold(in_progress);
                Ok::<_, ClientLeft>(response)
            }
        });
        let io = TokioIo::new(socket);
        let connection = http1::Builder::new().max_buf_size(self.buffer).serve_connection(io, service);
        let mut connection = pin!(connection);
        let mut timeouts = TimeoutCheck::new();
        let mut is_evicted = false;
        loop {
            tokio::select! {
                ended = connection.as_mut() => return reason_of_end(ended, is_evicted),
                () = client.close_requested.notified() => match client.state() {
                    // A request may have come since.
                    _ if !client.may_close() => {}
                    ConnectionState::Idle => {
                        // Its last response may still be on its way out; nothing more is read.
                        connection.as_mut().graceful_shutdown();
                        is_evicted = true;
                    }
                    _ => return CloseReason::Evicted,
                },
                () = tokio::time::sleep_until(timeouts.next_at.into()) => {
                    if let Some(reason) = self.check_timeouts(client, &mut timeouts) {
                        return reason;
                    }
                }
            }
        }
    }

    /// Whether a timeout of the connection has elapsed.
    fn check_timeouts(&self, client: &ClientConnection, check: &mut TimeoutCheck) -> Option<CloseReason> {
        let has_elapsed = client.idle_timeout_elapsed();
        // What waits to be read then came in time, if this node had its turn late: it has one more check's time to be.
        let is_late_here = has_elapsed && !check.was_extended && !client.socket.quiet();
        check.was_extended = is_late_here;
        if has_elapsed && !is_late_here {
            if client.socket.head_begun_at().is_none() {
                return Some(CloseReason::Idle);
            }
            self.count_turned_away("half a head");
            return Some(CloseReason::HalfHead);
        }
        if client.response_stalled() {
            self.count_turned_away("took nothing more");
            return Some(CloseReason::Stalled);
        }
        check.next_at = client.head_deadline().max(Instant::now() + TIMEOUT_RECHECK);
        None
    }

    /// The response to a request.
    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<ClientResponse, ClientLeft> {
        let arrival =
            ArrivalTime { head_read_at: Instant::now(), waited_since: client.waited_since.take() };
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let mut response = if path == "/api" || path.starts_with("/api/") {
            match self.reader.read(arrival, head, body).await {
                Ok(parsed) => self.submit(parsed, &client.socket).await?,
                Err(bad_request) => {
                    self.count_turned_away(bad_request.text());
                    bad_request.into_response()
                }
            }
        } else if path == "/up" {
            self.health_response(&head.method)
        } else {
            closing(StatusCode::NOT_FOUND, "no such path\n")
        };
        if self.sends_clients_away() || self.has_too_many_keep_alive() {
            responses::set_closing(&mut response);
        }
        Ok(response)
    }

    fn health_response(&self, method: &Method) -> ClientResponse {
        if !matches!(*method, Method::GET | Method::HEAD) {
            closing(StatusCode::METHOD_NOT_ALLOWED, "")
        } else if self.ready().is_ok() {
            plain(StatusCode::OK, "")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "")
        }
    }

    /// Has a request answered for as long as its client is there. hyper looks for a client's end only where nothing else is
    /// to be read: behind a further request it would show after the response to this one.
    async fn submit(&self, parsed: ParsedRequest, socket: &Socket) -> Result<ClientResponse, ClientLeft> {
        if self.driver.open_requests() >= self.max_open_requests {
            return Ok(full());
        }
        let ParsedRequest { request, proxied, deadline, expires_at, trace_id: _held } = parsed;
        tokio::select! {
            biased;
            () = socket.left() => Err(ClientLeft),
            answer = async { self.driver.submit(request, proxied, deadline, expires_at).answer().await } => {
                Ok(responses::of_answer(answer))
            }
        }
    }
}

/// When the timeouts of a connection are looked at.
struct TimeoutCheck {
    next_at: Instant,
    /// The last look gave it more time.
    was_extended: bool,
}

impl TimeoutCheck {
    fn new() -> TimeoutCheck {
        TimeoutCheck { next_at: Instant::now() + REQUEST_HEAD_TIMEOUT, was_extended: false }
    }
}

/// Why hyper ended a connection. Errors are the client's, which does not speak the protocol and was told so, or of a client
/// that has left, or of a body that broke off: then the end of the connection must not look like the body's.
fn reason_of_end(ended: Result<(), hyper::Error>, is_evicted: bool) -> CloseReason {
    match ended {
        Err(error) if error.is_user() => CloseReason::Broken,
        _ if is_evicted => CloseReason::Evicted,
        Ok(()) => CloseReason::Answered,
        Err(_) => CloseReason::Client,
    }
}
