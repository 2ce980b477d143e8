//! The client side: connections, what they ask, and the answers they get.

use crate::BACKLOG;
use crate::driver::{Answer, Driver};
use crate::frontend::request_reader::{
    ArrivalTime, LocalReply, ParsedRequest, RequestReader, closing, full, plain,
};
use crate::observability::counters::{CounterKind, Violation};
use crate::observability::log;
use crate::system::accept_time;
use crate::system::socket::{DescriptorPermit, Descriptors, Socket};
use crate::system::syscall_errors::{AcceptError, Acceptor};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// A connection that has brought no whole head since it began, or since its last answer, is closed: it is
/// silent, sends half a request, or does not read its answer.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// From its connecting on, for one that has never brought a whole head.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);
/// A client that takes nothing of a long answer for so long is cut. What the system holds for it hides a slow one
/// for a few seconds.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The header with the id of a request.
const TRACE_ID: &str = "x-trace-id";
const BOTH_FRAMINGS: &str = "both a length and chunks\n";
/// How often what was turned away may be told.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// One that carries a request just then is looked at again so soon.
const TIMEOUT_RECHECK: Duration = Duration::from_millis(100);
/// What a client is still sending when its connection ends is read for so long and so far: a socket closed
/// with unread bytes resets, and takes an answer under way along.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
const LINGERING_CLOSE_BYTES: usize = 32 * 1024 * 1024;
/// Part of all descriptors that clients may keep between their requests.
const KEEP_ALIVE_PART: usize = 4;
/// A connection this young has its first request under way.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(25);
/// Under pressure, a client that has not gone on with a request for so long is in the others' way.
const STUCK_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// After the notice to stop: new connections come for up to 0.4 s, and a margin; then until none has come
/// for a moment.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(700);
const SHUTDOWN_ACCEPT_QUIET_TIME: Duration = Duration::from_millis(150);
/// But so long at most: SIGKILL would find unanswered what is taken later.
const SHUTDOWN_ACCEPT_MAX_TIME: Duration = Duration::from_millis(1500);
/// In which the system says whether another connection waits.
const LAST_ACCEPT_POLL: Duration = Duration::from_millis(5);
/// A drained node leaves so much time to requests that are on their way on connections it has answered on.
const CLIENT_DRAIN_TIMEOUT: Duration = Duration::from_millis(1000);
const CLIENT_DRAIN_INTERVAL: Duration = Duration::from_millis(100);
/// A head that has not come so long before the end of the process is not waited for.
const SHUTDOWN_HEAD_TIMEOUT: Duration = Duration::from_millis(400);

/// The client has left: there is nobody to answer.
#[derive(Debug, Error)]
#[error("the client has left")]
struct ClientLeft;

/// Why a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The client ended it, or what it sent cannot be read and was answered so.
    ClientConnection,
    /// The last answer said so, or hyper ended it behind one.
    Answered,
    /// An answer broke off, and its end must not look like a whole one.
    Broken,
    /// Nothing came on it for long.
    IdleConnection,
    /// A head never became whole.
    HalfHead,
    /// The client takes nothing of a long answer.
    Stalled,
    /// Its place is needed, or the node winds down.
    Wanted,
}

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            CloseReason::ClientConnection => "client",
            CloseReason::Answered => "answered",
            CloseReason::Broken => "broken",
            CloseReason::IdleConnection => "idle",
            CloseReason::HalfHead => "half-head",
            CloseReason::Stalled => "stalled",
            CloseReason::Wanted => "wanted",
        }
    }

    /// The node ends it of its own accord: then nothing on it may wait for an answer.
    fn is_own(self) -> bool {
        matches!(self, CloseReason::IdleConnection | CloseReason::HalfHead | CloseReason::Wanted)
    }
}

/// Why the node takes no clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotReady {
    /// It has been told to stop.
    Stopping,
    /// Operators want no clients here.
    Drained,
    /// There is no server, or only a list that may be out of date.
    NoServers,
}

impl NotReady {
    fn name(self) -> &'static str {
        match self {
            NotReady::Stopping => "stopping",
            NotReady::Drained => "drained",
            NotReady::NoServers => "no-servers",
        }
    }
}

/// One client connection.
struct ClientConnection {
    socket: Socket,
    /// Requests on it whose answers have not ended: the next may come before the last is put away.
    busy: Cell<u32>,
    /// It has brought a whole head.
    asked: Cell<bool>,
    /// When its first request came, if that waited for this node to take the connection.
    waited_since: Cell<Option<Instant>>,
    idle_since: Cell<Instant>,
    /// Bytes read when it last turned idle.
    read: Cell<u64>,
    /// When it was first looked at with a request begun and not read whole.
    stuck_since: Cell<Option<Instant>>,
    /// Its answer is given and only what it still sends is read.
    over: Cell<bool>,
    /// Requests that told a length.
    lengths: Cell<u64>,
    /// A long answer is on its way to it.
    taking: Cell<bool>,
    /// How much of that has been written, and since when no more.
    written: Cell<(u64, Instant)>,
    /// The id of its last request, to name it by where it is not answered.
    last_id: RefCell<Option<HeaderValue>>,
    close: Notify,
}

/// Whose connection is closed first when there is no place for another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionPriority {
    Over,
    AskedNothing,
    IdleConnection,
    Stuck,
}

impl ClientConnection {
    /// Whose turn it is to be closed; none while a request is on it.
    fn turn(&self) -> Option<EvictionPriority> {
        match self.socket.read() == self.read.get() {
            _ if self.over.get() => Some(EvictionPriority::Over),
            _ if self.busy.get() > 0 => None,
            _ if !self.asked.get() => Some(EvictionPriority::AskedNothing),
            true => Some(EvictionPriority::IdleConnection),
            false => Some(EvictionPriority::Stuck),
        }
    }

    /// Some of a request has come, and is not read as one yet.
    fn begun(&self) -> bool {
        self.socket.read() != self.read.get()
    }

    /// May be closed now, asking the system too. Who has just connected is about to ask.
    ///
    /// What the system holds unread may be a whole request, or the rest of one, whatever this node has read so far: it
    /// is read first.
    fn may_close(&self) -> bool {
        match self.turn() {
            None => false,
            Some(EvictionPriority::Over) => true,
            Some(EvictionPriority::AskedNothing) => {
                self.idle_since.get().elapsed() > NEW_CONNECTION_GRACE && self.socket.quiet()
            }
            Some(EvictionPriority::IdleConnection) => self.socket.quiet(),
            Some(EvictionPriority::Stuck) => {
                let seen = self.stuck_since.get().unwrap_or_else(Instant::now);
                self.stuck_since.set(Some(seen));
                seen.elapsed() > STUCK_REQUEST_TIMEOUT && self.socket.quiet()
            }
        }
    }

    /// Nothing on it, and no whole head for too long.
    fn idle_timeout_elapsed(&self) -> bool {
        self.busy.get() == 0 && self.response_deadline() <= Instant::now()
    }
}

impl ClientConnection {
    /// When it must have brought a whole head: a while after that began, or after its last answer. A stranger that
    /// asks for nothing must be gone within three seconds, whenever it began to.
    fn response_deadline(&self) -> Instant {
        let since = self.idle_since.get();
        match self.socket.begun() {
            Some(begun) if self.asked.get() => begun + REQUEST_HEAD_TIMEOUT,
            Some(begun) => (begun + REQUEST_HEAD_TIMEOUT).min(since + FIRST_REQUEST_TIMEOUT),
            None => since + REQUEST_HEAD_TIMEOUT,
        }
    }

    /// Takes nothing more of the long answer on its way to it.
    fn stuck_taking(&self) -> bool {
        let (written, since) = self.written.get();
        if !self.taking.get() || written != self.socket.written() {
            self.written.set((self.socket.written(), Instant::now()));
            return false;
        }
        since.elapsed() > RESPONSE_STALL_TIMEOUT
    }

    /// Notes that a request told a length. True if other lines that tell one have come than such requests know
    /// of: hyper drops the length of a request that is told in chunks too, which may be meant to smuggle one.
    fn hides_length(&self, request: &Request<Incoming>) -> bool {
        let told = request.headers().contains_key(CONTENT_LENGTH);
        self.lengths.set(self.lengths.get() + u64::from(told));
        request.headers().contains_key(TRANSFER_ENCODING) && self.socket.lengths() > self.lengths.get()
    }
}

/// Marks a connection as busy for as long as a request is on it.
struct RequestInProgress(Rc<ClientConnection>);

impl RequestInProgress {
    fn new(client: Rc<ClientConnection>) -> RequestInProgress {
        client.busy.set(client.busy.get() + 1);
        client.asked.set(true);
        client.stuck_since.set(None);
        RequestInProgress(client)
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get().saturating_sub(1));
        if self.0.busy.get() > 0 {
            return;
        }
        self.0.taking.set(false);
        self.0.socket.mark();
        self.0.idle_since.set(Instant::now());
        self.0.read.set(self.0.socket.read());
    }
}

/// A client's place among those connected: given up however its task ends, or its descriptor would stay.
struct RegisteredClient {
    server: Rc<Server>,
    number: u64,
}

impl Drop for RegisteredClient {
    fn drop(&mut self) {
        let client = self.server.clients.borrow_mut().remove(&self.number);
        drop(client);
        self.server.closed.notify_one();
    }
}

/// The client side of the node.
pub struct Server {
    driver: Rc<Driver>,
    reader: RequestReader,
    max_open_requests: usize,
    buffer: usize,
    descriptors: Rc<Descriptors>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// What was turned away since that was last told, by the answer's text, and clients cut for being slow.
    rejected: RefCell<BTreeMap<&'static str, u32>>,
    rejected_logged: Cell<Option<Instant>>,
    next: Cell<u64>,
    /// What was said last on whether this process takes clients.
    told_ready: Cell<Option<Result<(), NotReady>>>,
    stopping: Cell<Option<Instant>>,
    succeeded: Cell<bool>,
    /// Since when operators want no clients here.
    drained: Cell<Option<Instant>>,
    stop: Notify,
    closed: Notify,
}

impl Server {
    /// A server with no clients yet. `buffer` is what it reads ahead on a connection, in bytes.
    pub fn new(
        driver: Rc<Driver>,
        reader: RequestReader,
        max_open_requests: usize,
        buffer: usize,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Server> {
        let server = Rc::new(Server {
            driver,
            reader,
            max_open_requests,
            buffer,
            descriptors: descriptors.clone(),
            clients: RefCell::default(),
            rejected: RefCell::default(),
            rejected_logged: Cell::new(None),
            next: Cell::new(0),
            told_ready: Cell::new(None),
            stopping: Cell::new(None),
            succeeded: Cell::new(false),
            drained: Cell::new(None),
            stop: Notify::new(),
            closed: Notify::new(),
        });
        let weak = Rc::downgrade(&server);
        descriptors.on_clients(Box::new(move || {
            if let Some(server) = weak.upgrade() {
                server.make_room();
            }
            // It closes when its task has its turn, not at once.
            false
        }));
        server
    }

    /// Makes room: who has asked nothing goes before those that will ask again, the oldest first. Who has just
    /// connected may be about to ask; where such hold most places, that moment is waited for rather than a usual
    /// client closed for them.
    fn make_room(&self) {
        let clients = self.clients.borrow();
        let mut order: Vec<_> =
            clients.values().filter_map(|c| Some((c.turn()?, c.idle_since.get(), c))).collect();
        let strangers = order.iter().filter(|(turn, ..)| *turn == EvictionPriority::AskedNothing).count();
        if 2 * strangers > clients.len() {
            order.retain(|(turn, ..)| *turn <= EvictionPriority::AskedNothing);
        }
        order.sort_unstable_by_key(|(turn, since, _)| (*turn, *since));
        if let Some((.., client)) = order.into_iter().find(|(.., c)| c.may_close()) {
            client.close.notify_one();
        }
    }

    /// Closes what carries nothing; with `all` also what has begun a head and does not go on with it.
    fn close_idle(&self, all: bool) {
        for client in self.clients.borrow().values().filter(|c| c.may_close() && (all || !c.begun())) {
            client.close.notify_one();
        }
    }

    /// Takes connections until told to stop, and then for as long as they still come.
    pub async fn accept(self: &Rc<Self>, acceptor: Acceptor) {
        let mut last = Instant::now();
        let mut last_looks = BACKLOG;
        loop {
            if self.succeeded.get() {
                return;
            }
            let quiet_at = self.stopping.get().map(|at| {
                (at + SHUTDOWN_ACCEPT_TIME)
                    .max(last + SHUTDOWN_ACCEPT_QUIET_TIME)
                    .min(at + SHUTDOWN_ACCEPT_MAX_TIME)
            });
            let quiet = async {
                match quiet_at {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            let accepted = tokio::select! {
                accepted = acceptor.accept() => accepted,
                // Who came while this node had no turn waits in the backlog, and no more than that holds.
                () = quiet => match tokio::time::timeout(LAST_ACCEPT_POLL, acceptor.accept()).await {
                    Ok(accepted) if last_looks > 0 => {
                        last_looks -= 1;
                        accepted
                    }
                    _ => return,
                },
                () = self.stop.notified() => continue,
            };
            match accepted {
                Ok(stream) => {
                    last = Instant::now();
                    // Under pressure this waits for a place: others wait in the backlog and are taken then.
                    let slot = self.descriptors.take_for_client().await;
                    let waited_since = accept_time::first_byte(&stream, acceptor.waited_at_most());
                    self.serve(stream, slot, waited_since);
                }
                Err(error) => {
                    // This may neither end the node nor keep it or its log busy. Only where this process has no
                    // descriptor left does the close of something idle help.
                    self.reject(error.text());
                    if matches!(error, AcceptError::OutOfDescriptors) {
                        self.descriptors.relieve();
                    }
                    acceptor.pause(&error).await;
                }
            }
        }
    }

    /// Answers what is there with a closing and closes what carries nothing; returns when no client is
    /// left, or at `end`.
    pub async fn wind_down(self: &Rc<Self>, end: Instant) {
        while Instant::now() < end && !self.clients.borrow().is_empty() {
            // Who is slow with a head may still bring it in time to be answered.
            self.close_idle(end.saturating_duration_since(Instant::now()) < SHUTDOWN_HEAD_TIMEOUT);
            let _ = tokio::time::timeout(Duration::from_millis(20), self.closed.notified()).await;
        }
    }

    /// From now on every answer closes its connection. New ones are taken for a while, or not at all where
    /// another process `succeeds` this one on the same socket.
    pub fn stop(&self, succeeded: bool) {
        self.stopping.set(Some(Instant::now()));
        self.succeeded.set(succeeded);
        self.stop.notify_one();
    }

    /// Takes clients: some backend could serve them, and nobody wants them elsewhere.
    pub fn ready(&self) -> Result<(), NotReady> {
        let ready = match (self.stopping.get(), self.drained.get()) {
            (Some(_), _) => Err(NotReady::Stopping),
            (None, Some(_)) => Err(NotReady::Drained),
            (None, None) if !self.driver.ready() => Err(NotReady::NoServers),
            (None, None) => Ok(()),
        };
        if self.told_ready.replace(Some(ready)) != Some(ready) {
            let name = ready.err().map_or("ready", NotReady::name);
            self.driver.counters.count(CounterKind::Readiness, name);
            log::line(&format!("readiness: {name}"));
        }
        ready
    }

    fn sends_clients_away(&self) -> bool {
        self.stopping.get().is_some() || self.drained.get().is_some()
    }

    /// Sends clients away: `/up` says no, every answer closes its connection, and idle ones are closed.
    pub fn drain(self: &Rc<Self>) -> Result<&'static str, &'static str> {
        if self.stopping.get().is_some() {
            return Err("this process has been told to stop");
        }
        if self.drained.get().is_some() {
            return Ok("drained already");
        }
        let since = Instant::now();
        self.drained.set(Some(since));
        let server = self.clone();
        spawn_local(async move {
            tokio::time::sleep(CLIENT_DRAIN_TIMEOUT).await;
            while server.drained.get() == Some(since) {
                server.close_idle(false);
                tokio::time::sleep(CLIENT_DRAIN_INTERVAL).await;
            }
        });
        Ok("drained: clients are sent away")
    }

    /// Takes clients again.
    pub fn resume(&self) -> Result<&'static str, &'static str> {
        match (self.stopping.get(), self.drained.take()) {
            (Some(_), _) => Err("this process has been told to stop"),
            (None, Some(_)) => Ok("takes clients again"),
            (None, None) => Ok("was not drained"),
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, slot: DescriptorPermit, waited_since: Option<Instant>) {
        let socket = Socket::new(stream, slot);
        let client = Rc::new(ClientConnection {
            socket: socket.clone(),
            busy: Cell::new(0),
            asked: Cell::new(false),
            waited_since: Cell::new(waited_since),
            idle_since: Cell::new(Instant::now()),
            read: Cell::new(0),
            stuck_since: Cell::new(None),
            over: Cell::new(false),
            lengths: Cell::new(0),
            taking: Cell::new(false),
            written: Cell::new((0, Instant::now())),
            last_id: RefCell::default(),
            close: Notify::new(),
        });
        let number = self.next.get();
        self.next.set(number + 1);
        client.socket.mark();
        self.clients.borrow_mut().insert(number, client.clone());
        let listed = RegisteredClient { server: self.clone(), number };
        spawn_local(async move {
            let reason = listed.server.converse(&client, socket).await;
            listed.server.closes(&client, reason).await;
        });
    }

    /// The one place in which a connection ends.
    async fn closes(&self, client: &ClientConnection, reason: CloseReason) {
        self.driver.counters.count(CounterKind::Close, reason.name());
        if reason.is_own() && client.busy.get() > 0 {
            let id = client.last_id.borrow();
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("?");
            self.driver.counters.violation(Violation::CloseUnanswered, &format!("{id} {}", reason.name()));
        }
        match reason {
            CloseReason::Broken => client.socket.reset(),
            CloseReason::ClientConnection | CloseReason::Answered => {
                client.over.set(true);
                tokio::select! {
                    _ = tokio::time::timeout(LINGERING_CLOSE_TIMEOUT, client.socket.discard(LINGERING_CLOSE_BYTES)) => {}
                    () = client.close.notified() => {}
                }
            }
            CloseReason::IdleConnection
            | CloseReason::HalfHead
            | CloseReason::Stalled
            | CloseReason::Wanted => {}
        }
    }

    async fn converse(self: &Rc<Self>, client: &Rc<ClientConnection>, socket: Socket) -> CloseReason {
        let service = service_fn(|request| {
            let hides = client.hides_length(&request);
            client.last_id.replace(request.headers().get(TRACE_ID).cloned());
            let busy = RequestInProgress::new(client.clone());
            async move {
                let mut response = if hides {
                    self.reject(BOTH_FRAMINGS);
                    closing(StatusCode::BAD_REQUEST, BOTH_FRAMINGS)
                } else {
                    self.respond(request, client).await?
                };
                client.taking.set(response.body().passes());
                if response.body().passes() {
                    client.socket.hold_little();
                }
                response.body_mut().hold(busy);
                Ok::<_, ClientLeft>(response)
            }
        });
        let mut connection = pin!(
            http1::Builder::new().max_buf_size(self.buffer).serve_connection(TokioIo::new(socket), service)
        );
        let mut look_at = Instant::now() + REQUEST_HEAD_TIMEOUT;
        let (mut idle, mut looked_again) = (false, false);
        loop {
            tokio::select! {
                // Errors are the client's, not speaking the protocol and told so, or of a client that has left or a
                // body that broke off: then the end of the connection must not look like the body's.
                end = connection.as_mut() => return match end {
                    Err(e) if e.is_user() => CloseReason::Broken,
                    _ if idle => CloseReason::Wanted,
                    Ok(()) => CloseReason::Answered,
                    Err(_) => CloseReason::ClientConnection,
                },
                () = client.close.notified() => {
                    // Looked at again: a request may have come since.
                    match client.turn().filter(|_| client.may_close()) {
                        Some(EvictionPriority::IdleConnection) => {
                            // Its last answer may still be on its way out; nothing more is read.
                            connection.as_mut().graceful_shutdown();
                            idle = true;
                        }
                        Some(_) => return CloseReason::Wanted,
                        None => {}
                    }
                }
                () = tokio::time::sleep_until(look_at.into()) => {
                    let idle_timeout_elapsed = client.idle_timeout_elapsed();
                    // What waits to be read then came in time, if this node had its turn late: it has one more look's
                    // time to be.
                    let waits = idle_timeout_elapsed && !looked_again && !client.socket.quiet();
                    looked_again = waits;
                    if idle_timeout_elapsed && !waits {
                        if client.socket.begun().is_some() {
                            self.reject("half a head");
                            return CloseReason::HalfHead;
                        }
                        return CloseReason::IdleConnection;
                    }
                    if client.stuck_taking() {
                        self.reject("took nothing more");
                        return CloseReason::Stalled;
                    }
                    look_at = client.response_deadline().max(Instant::now() + TIMEOUT_RECHECK);
                }
            }
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<LocalReply, ClientLeft> {
        let arrival = ArrivalTime { head: Instant::now(), waited_since: client.waited_since.take() };
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let mut response = if path == "/api" || path.starts_with("/api/") {
            match self.reader.read(arrival, head, body).await {
                Ok(reading) => self.ask(reading, &client.socket).await?,
                Err(why) => {
                    self.reject(why.text());
                    why.answer()
                }
            }
        } else if path != "/up" {
            closing(StatusCode::NOT_FOUND, "no such path\n")
        } else if matches!(head.method, Method::GET | Method::HEAD) {
            plain(if self.ready().is_ok() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
        } else {
            closing(StatusCode::METHOD_NOT_ALLOWED, "")
        };
        if self.sends_clients_away() || self.has_too_many_keep_alive() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Counts what no backend heard of, and says so now and then.
    fn reject(&self, why: &'static str) {
        *self.rejected.borrow_mut().entry(why.trim_end()).or_default() += 1;
        if self.rejected_logged.get().is_none_or(|at| at.elapsed() > REJECTION_LOG_INTERVAL) {
            self.rejected_logged.set(Some(Instant::now()));
            let told: Vec<String> = std::mem::take(&mut *self.rejected.borrow_mut())
                .iter()
                .map(|(w, n)| format!("{n} {w:?}"))
                .collect();
            log::line(&format!("rejected: {}", told.join(", ")));
        }
    }

    /// More clients stay than there are places for to be kept idle: those that ask now are served and go, so
    /// that the next find a place.
    fn has_too_many_keep_alive(&self) -> bool {
        let stay = self.clients.borrow().values().filter(|c| c.asked.get() && !c.over.get()).count();
        stay > self.descriptors.limit() / KEEP_ALIVE_PART
    }

    /// Has a request answered for as long as its client is there. hyper looks for a client's end only where nothing
    /// else is to be read: behind a further request it would show after the answer to this one.
    async fn ask(&self, reading: ParsedRequest, client: &Socket) -> Result<LocalReply, ClientLeft> {
        if self.driver.open() >= self.max_open_requests {
            return Ok(full());
        }
        let ParsedRequest { asked, call, deadline, expires, id: _held } = reading;
        tokio::select! {
            biased;
            () = client.left() => Err(ClientLeft),
            answered = async { self.driver.submit(asked, call, deadline, expires).answer().await } => {
                Ok(answer(answered))
            }
        }
    }
}

/// The answer as the client sees it.
fn answer(answer: Answer) -> LocalReply {
    match answer {
        Answer::Served(reply) => {
            let mut response = Response::new(reply.body);
            if let Some(content_type) = reply.content_type {
                response.headers_mut().insert(CONTENT_TYPE, content_type);
            }
            response
        }
        Answer::Refused { retry_after_ms } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
            if retry_after_ms > 0.0
                && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0))
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}
