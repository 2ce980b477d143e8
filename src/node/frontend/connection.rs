//! Serves a client's connection from its accept to its close.
//!
//! One task per connection runs hyper's HTTP/1 server, checks the timeouts, and handles the frontend's
//! requests to close the connection. Each of these can end the connection, for a [`CloseReason`] that
//! determines how [`Frontend::close`] closes the socket.

use super::Frontend;
use super::client_connection::{
    ClientConnection, ConnectionState, REQUEST_HEAD_TIMEOUT, RequestInProgress,
};
use super::request_reader::{ArrivalTime, ParsedRequest, RequestRejection};
use super::responses::{self, ClientResponse, closing, full, plain};
use crate::headers;
use crate::observability::counters::{CounterKind, Violation};
use crate::observability::log;
use crate::system::descriptors::DescriptorPermit;
use crate::system::socket::{ReadAhead, Socket};
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

/// The minimum time between two checks of a connection's timeouts. The checks are made at this interval while
/// the deadline of the head has passed but the connection stays open, for example because a request is in
/// progress.
const MIN_TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum time of a lingering close, in which the node reads and discards the rest that the client
/// sends. Closing a socket with unread bytes resets the connection, and the client would lose a response in
/// flight.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of bytes that the node discards in a lingering close.
const LINGERING_CLOSE_BYTES: usize = 32 * 1024 * 1024;
/// The response to a request that has both a Content-Length and a Transfer-Encoding header.
const CONFLICTING_FRAMING: &str = "both a length and chunks\n";

/// The response to a request behind which so many other bytes wait that its client's close would not be seen.
const TOO_MANY_PIPELINED_BYTES: &str = "too many bytes behind the request\n";

/// The client has disconnected before its request was answered.
#[derive(Debug, Error)]
#[error("the client has disconnected")]
struct ClientDisconnected;

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The connection failed, the client closed it within a request, or the client sent something that is
    /// not valid HTTP.
    ClientError,
    /// hyper ended the connection without an error: after a response with `Connection: close`, or because
    /// the client closed it between two requests.
    Completed,
    /// The body of a response broke off, or the client disconnected before its request was answered. The
    /// socket is reset, so that an incomplete response does not look complete.
    ResponseBroken,
    /// No byte of a request arrived in time.
    IdleTimeout,
    /// A request head was not completed in time.
    HeadTimeout,
    /// The client has stopped reading a response.
    ResponseStalled,
    /// The frontend asked for the close of a connection without a request in progress, to free a
    /// descriptor, or because the node is drained or stops.
    Evicted,
}

impl CloseReason {
    /// Returns the name in the counters.
    fn name(self) -> &'static str {
        match self {
            CloseReason::ClientError => "client",
            CloseReason::Completed => "answered",
            CloseReason::ResponseBroken => "broken",
            CloseReason::IdleTimeout => "idle",
            CloseReason::HeadTimeout => "half-head",
            CloseReason::ResponseStalled => "stalled",
            CloseReason::Evicted => "wanted",
        }
    }

    /// Returns whether the node may close a connection for this reason only if no request is in progress on
    /// it and the last response has been written.
    fn requires_no_request(self) -> bool {
        matches!(self, CloseReason::IdleTimeout | CloseReason::HeadTimeout | CloseReason::Evicted)
    }
}

/// An entry in the table of clients. Dropping this value removes the entry, so that the entry is removed
/// however the connection's task ends.
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
    /// Starts the task that serves a connection. The task ends when the connection is closed.
    ///
    /// `queued_since` is when the connection's first bytes arrived, or `None` if the connection did not wait
    /// noticeably in the accept queue.
    pub(super) fn serve(
        self: &Rc<Self>,
        stream: TcpStream,
        permit: DescriptorPermit,
        queued_since: Option<Instant>,
    ) {
        let socket = Socket::new(stream, permit);
        socket.limit_unsent_bytes();
        let client = Rc::new(ClientConnection::new(socket.clone(), queued_since));
        let number = self.next_client_number.get();
        self.next_client_number.set(number + 1);
        self.clients.borrow_mut().insert(number, client.clone());
        let registered = RegisteredClient { frontend: self.clone(), number };
        spawn_local(async move {
            let reason = registered.frontend.run_connection(&client, socket).await;
            registered.frontend.close(&client, reason).await;
        });
    }

    /// Closes a connection. Every connection ends here, so that each close is counted once, and a close that
    /// the node must not make while a request is in progress is recorded as a violation.
    async fn close(&self, client: &ClientConnection, reason: CloseReason) {
        self.driver.counters.count(CounterKind::Close, reason.name());
        log::request_detail(|| format!("{}: connection closed, {}", client.last_trace_id(), reason.name()));
        if reason.requires_no_request() && client.is_serving() {
            let text = format!("{} {}", client.last_trace_id(), reason.name());
            self.driver.counters.record_violation(Violation::CloseUnanswered, &text);
        }
        match reason {
            CloseReason::ResponseBroken => client.socket.reset_on_close(),
            CloseReason::ClientError | CloseReason::Completed => {
                client.is_closing.set(true);
                let discarded = client.socket.discard(LINGERING_CLOSE_BYTES);
                tokio::select! {
                    _ = tokio::time::timeout(LINGERING_CLOSE_TIMEOUT, discarded) => {}
                    () = client.close_requested.notified() => {}
                }
            }
            CloseReason::IdleTimeout
            | CloseReason::HeadTimeout
            | CloseReason::ResponseStalled
            | CloseReason::Evicted => {}
        }
    }

    /// Serves requests until the connection must be closed, and returns the reason.
    async fn run_connection(self: &Rc<Self>, client: &Rc<ClientConnection>, socket: Socket) -> CloseReason {
        let service = service_fn(|request| self.serve_request(request, client));
        let io = TokioIo::new(socket);
        let connection =
            http1::Builder::new().max_buf_size(self.max_buffer_bytes).serve_connection(io, service);
        let mut connection = pin!(connection);
        let mut timeouts = TimeoutCheck::new();
        let mut is_evicted = false;
        loop {
            tokio::select! {
                result = connection.as_mut() => return close_reason(result, is_evicted),
                () = client.close_requested.notified() => match client.state() {
                    // A request may have arrived since the close was requested.
                    _ if !client.may_close() => {}
                    ConnectionState::Idle => {
                        // hyper ends the connection once it has nothing to write, and reads no further
                        // request.
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

    /// Answers one request. The connection is in the state [`ConnectionState::Serving`] from this call until
    /// the response has been written.
    fn serve_request<'a>(
        &'a self,
        request: Request<Incoming>,
        client: &'a Rc<ClientConnection>,
    ) -> impl Future<Output = Result<ClientResponse, ClientDisconnected>> + 'a {
        let has_conflicting_framing = client.has_removed_content_length(&request);
        client.last_trace_id.replace(request.headers().get(headers::TRACE_ID).cloned());
        let in_progress = RequestInProgress::new(client.clone());
        let is_pipelined = client.record_head();
        async move {
            if is_pipelined {
                // hyper serves pipelined requests without a wait in between, and a client that sends small ones at
                // full speed would occupy the thread. The yield lets all other sockets and timers go first.
                tokio::task::yield_now().await;
            }
            let mut response = if has_conflicting_framing {
                self.count_rejection(CONFLICTING_FRAMING);
                closing(StatusCode::BAD_REQUEST, CONFLICTING_FRAMING)
            } else {
                self.respond(request, client).await?
            };
            client.is_streaming_response.set(response.body().is_streamed());
            response.body_mut().hold_until_end(in_progress);
            Ok(response)
        }
    }

    /// Returns the reason to close the connection if one of its timeouts has elapsed. Otherwise, schedules
    /// the next check and returns `None`.
    fn check_timeouts(&self, client: &ClientConnection, check: &mut TimeoutCheck) -> Option<CloseReason> {
        let has_elapsed = client.head_timeout_elapsed();
        // If this task was polled late, there may be unread bytes that arrived in time. They are read before
        // one more check.
        let needs_recheck =
            has_elapsed && !check.is_recheck && !client.socket.is_open_without_unread_bytes();
        check.is_recheck = needs_recheck;
        if has_elapsed && !needs_recheck {
            if client.socket.head_started_at().is_none() {
                return Some(CloseReason::IdleTimeout);
            }
            self.count_rejection("incomplete request head");
            return Some(CloseReason::HeadTimeout);
        }
        if client.response_stalled() {
            self.count_rejection("client stopped reading the response");
            return Some(CloseReason::ResponseStalled);
        }
        check.next_at = client.head_deadline().max(Instant::now() + MIN_TIMEOUT_CHECK_INTERVAL);
        None
    }

    /// Returns the response to a request. The response closes the connection if the node stops, is drained,
    /// or has too many keep-alive connections.
    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<ClientResponse, ClientDisconnected> {
        let arrival =
            ArrivalTime { head_read_at: Instant::now(), queued_since: client.queued_since.take() };
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let mut response = if path == "/api" || path.starts_with("/api/") {
            let read = self.reader.read(arrival, head, body, &client.socket);
            let parsed = self.request_cutoff.run_before(read).await;
            match parsed.unwrap_or_else(|| Err(RequestRejection::stopping())) {
                Ok(parsed) => self.submit(parsed, &client.socket).await?,
                Err(rejection) => {
                    self.count_rejection(rejection.text());
                    log::request_detail(|| {
                        format!("{}: rejected, {}", client.last_trace_id(), rejection.text().trim_end())
                    });
                    rejection.into_response()
                }
            }
        } else if path == "/up" {
            self.health_response(&head.method)
        } else {
            closing(StatusCode::NOT_FOUND, "no such path\n")
        };
        if self.is_stopping_or_drained() || self.exceeds_keep_alive_limit() {
            responses::set_closing(&mut response);
        }
        Ok(response)
    }

    /// Returns the response to `/up`, which tells by its status whether the node accepts clients.
    fn health_response(&self, method: &Method) -> ClientResponse {
        if !matches!(*method, Method::GET | Method::HEAD) {
            closing(StatusCode::METHOD_NOT_ALLOWED, "")
        } else if self.ready().is_ok() {
            plain(StatusCode::OK, "")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "")
        }
    }

    /// Answers a request, unless the client disconnects first.
    ///
    /// hyper detects that a client has closed its connection only when nothing else is left to read, so it
    /// would not detect a close after a pipelined request. This function therefore asks the socket.
    async fn submit(
        &self,
        parsed: ParsedRequest,
        socket: &Socket,
    ) -> Result<ClientResponse, ClientDisconnected> {
        if self.driver.open_request_count() >= self.max_open_requests {
            return Ok(full());
        }
        let ParsedRequest {
            request,
            proxied,
            deadline,
            expires_at,
            behind,
            trace_id_guard: _trace_id_guard,
        } = parsed;
        match behind {
            ReadAhead::Nothing | ReadAhead::Bytes => {}
            ReadAhead::Closed => return Err(ClientDisconnected),
            ReadAhead::Full => {
                self.count_rejection(TOO_MANY_PIPELINED_BYTES);
                return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, TOO_MANY_PIPELINED_BYTES));
            }
        }
        tokio::select! {
            biased;
            () = socket.wait_until_peer_closed() => Err(ClientDisconnected),
            answer = async { self.driver.submit(request, proxied, deadline, expires_at).answer().await } => {
                Ok(responses::from_answer(answer))
            }
        }
    }
}

/// The schedule of the timeout checks of one connection.
struct TimeoutCheck {
    next_at: Instant,
    /// Whether the next check repeats one that found the head timeout elapsed but the socket not quiet.
    is_recheck: bool,
}

impl TimeoutCheck {
    fn new() -> TimeoutCheck {
        TimeoutCheck { next_at: Instant::now() + REQUEST_HEAD_TIMEOUT, is_recheck: false }
    }
}

/// Returns why hyper ended a connection. hyper calls the errors of response bodies and of
/// [`Frontend::serve_request`] user errors; all others come from the client or its connection.
fn close_reason(result: Result<(), hyper::Error>, is_evicted: bool) -> CloseReason {
    match result {
        Err(error) if error.is_user() => CloseReason::ResponseBroken,
        _ if is_evicted => CloseReason::Evicted,
        Ok(()) => CloseReason::Completed,
        Err(_) => CloseReason::ClientError,
    }
}
