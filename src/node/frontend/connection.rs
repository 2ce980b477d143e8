//! Serves one client's connection, from its accept to its close.

use super::Frontend;
use super::client_connection::{
    ClientConnection, ConnectionState, REQUEST_HEAD_TIMEOUT, RequestInProgress,
};
use super::request_reader::{ArrivalTime, ParsedRequest};
use super::responses::{self, ClientResponse, closing, full, plain};
use crate::headers;
use crate::observability::counters::{CounterKind, Violation};
use crate::system::descriptors::DescriptorPermit;
use crate::system::socket::Socket;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Timeouts of a connection that carries a request are checked again after this time.
const TIMEOUT_RECHECK: Duration = Duration::from_millis(100);
/// Lingering close: what a client still sends when its connection ends is read for this time and up to this
/// many bytes. Closing a socket with unread bytes resets the connection, and the client would lose a
/// response in flight.
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
    /// A response broke off, and its end must not look like a complete one.
    Broken,
    /// Nothing came on it for long.
    Idle,
    /// A request head was never completed.
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

/// Removes a client from the table when its task ends, in whatever way.
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
        let service = service_fn(|request| self.serve_request(request, client));
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

    /// Answers one request. The connection counts as serving from this call on, until the response has
    /// ended.
    fn serve_request<'a>(
        &'a self,
        request: Request<Incoming>,
        client: &'a Rc<ClientConnection>,
    ) -> impl Future<Output = Result<ClientResponse, ClientLeft>> + 'a {
        let hides_length = client.hides_length(&request);
        client.last_trace_id.replace(request.headers().get(headers::TRACE_ID).cloned());
        let in_progress = RequestInProgress::new(client.clone());
        async move {
            let mut response = if hides_length {
                self.count_rejection(BOTH_FRAMINGS);
                closing(StatusCode::BAD_REQUEST, BOTH_FRAMINGS)
            } else {
                self.respond(request, client).await?
            };
            client.takes_stream.set(response.body().is_streamed());
            if response.body().is_streamed() {
                client.socket.limit_unsent();
            }
            response.body_mut().hold(in_progress);
            Ok(response)
        }
    }

    /// Whether a timeout of the connection has elapsed.
    fn check_timeouts(&self, client: &ClientConnection, check: &mut TimeoutCheck) -> Option<CloseReason> {
        let has_elapsed = client.idle_timeout_elapsed();
        // If this task was polled late, unread bytes may have come in time: the connection gets one more
        // check.
        let is_late_here = has_elapsed && !check.was_extended && !client.socket.quiet();
        check.was_extended = is_late_here;
        if has_elapsed && !is_late_here {
            if client.socket.head_begun_at().is_none() {
                return Some(CloseReason::Idle);
            }
            self.count_rejection("half a head");
            return Some(CloseReason::HalfHead);
        }
        if client.response_stalled() {
            self.count_rejection("took nothing more");
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
                    self.count_rejection(bad_request.text());
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

    /// Answers a request unless its client leaves first. hyper notices a client's close only when nothing
    /// else is left to read, so behind a pipelined request it would notice too late.
    async fn submit(&self, parsed: ParsedRequest, socket: &Socket) -> Result<ClientResponse, ClientLeft> {
        if self.driver.open_request_count() >= self.max_open_requests {
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

/// When the timeouts of a connection are checked.
struct TimeoutCheck {
    next_at: Instant,
    /// The last check was extended once.
    was_extended: bool,
}

impl TimeoutCheck {
    fn new() -> TimeoutCheck {
        TimeoutCheck { next_at: Instant::now() + REQUEST_HEAD_TIMEOUT, was_extended: false }
    }
}

/// Why hyper ended a connection. User errors come from response bodies that broke off, which must not look
/// complete to the client; other errors are the client's.
fn reason_of_end(ended: Result<(), hyper::Error>, is_evicted: bool) -> CloseReason {
    match ended {
        Err(error) if error.is_user() => CloseReason::Broken,
        _ if is_evicted => CloseReason::Evicted,
        Ok(()) => CloseReason::Answered,
        Err(_) => CloseReason::Client,
    }
}
