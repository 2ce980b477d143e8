//! Connections to backends, and the attempts on them. One request at a time on each.

use crate::socket::{Descriptors, Slot, Socket};
use crate::system::{self, ConnectError};
use crate::trace::Withheld;
use birchspoke::interface::{BackendId, Load, Outcome};
use birchspoke::wire;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error as _;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::{Notify, OwnedSemaphorePermit, oneshot};
use tokio::time::Sleep;

/// Bodies up to this are read whole, and can be sent again; longer ones are passed on as they come.
pub const KEPT: usize = 64 * 1024;
/// Bodies hold at most this much, either way.
pub const BODY_LIMIT: usize = 32 * 1024 * 1024;
/// How long this node will wait, as a backend is told.
pub const EXPIRES: &str = "x-expires-in-ms";
const NEVER_RAN: &str = "x-never-ran";
const LOAD: &str = "endpoint-load-metrics";
/// An idle connection is dropped after this part of the time at which the backend drops it: a request that
/// crosses the backend's close may have run, and an unsafe one is then lost.
const IDLE_PART: f64 = 0.7;
/// What comes right behind an answer is no answer to the next request: a connection is used again only once it
/// has been quiet for so long.
const SETTLED: Duration = Duration::from_millis(10);
/// A short answer of which nothing more comes for so long never will be whole.
const STALL: Duration = Duration::from_millis(200);
/// One of unknown length is passed on from then on: it may be a long one.
const BODY_TIME: Duration = Duration::from_millis(100);
/// In which what the system holds is surely read.
const NEXT_TURN: Duration = Duration::from_millis(1);
/// A long body on which nothing moves for so long is given up. Backends stand still for half a second at times.
const LONG_STALL: Duration = Duration::from_secs(5);

/// What a client asked, to be sent on unchanged.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Asking,
    /// The room that the body takes, given back with it.
    pub _room: Option<OwnedSemaphorePermit>,
}

/// The body of a request.
pub enum Asking {
    /// All of it is here, and can be sent again.
    Whole(Bytes),
    /// More comes from the client.
    Passing(Rc<Upload>),
}

/// A long body on its way from a client to a backend. What is passed on is not kept: past its first part there
/// is no sending it again.
pub struct Upload {
    first: Bytes,
    rest: RefCell<Incoming>,
    length: Option<u64>,
    pace: Pace,
    /// Bytes that were passed on.
    passed: Cell<u64>,
    moved: Cell<Instant>,
    /// Something went out that is kept nowhere.
    spent: Cell<bool>,
    /// The client's side of it ended before the body did.
    broken: Cell<bool>,
    whole: Cell<Option<Instant>>,
    changed: Notify,
}

/// How slow a body may be.
#[derive(Clone, Copy)]
pub struct Pace {
    begun: Instant,
}

impl Pace {
    /// Slower ones are cut; the page of the days has clients at 64 kB a second.
    const LEAST_PER_S: f64 = 48_000.0;
    /// Added to the time that this allows, and the longest between two pieces.
    const GRACE: Duration = Duration::from_secs(2);

    /// From the head on.
    pub fn new(begun: Instant) -> Pace {
        Pace { begun }
    }

    /// When one of which so much has come, the last of it at `moved`, is too slow.
    pub fn due(&self, bytes: u64, moved: Instant) -> Instant {
        let earned = Duration::from_secs_f64(bytes as f64 / Pace::LEAST_PER_S);
        (self.begun + earned).min(moved) + Pace::GRACE
    }
}

impl Upload {
    /// `first` has been read, `rest` comes; `length` is that of all, if told.
    pub fn new(first: Bytes, rest: Incoming, length: Option<u64>, pace: Pace) -> Rc<Upload> {
        Rc::new(Upload {
            first,
            rest: RefCell::new(rest),
            length,
            pace,
            passed: Cell::new(0),
            moved: Cell::new(Instant::now()),
            spent: Cell::new(false),
            broken: Cell::new(false),
            whole: Cell::new(None),
            changed: Notify::new(),
        })
    }

    fn note(&self, bytes: usize) {
        self.passed.set(self.passed.get() + bytes as u64);
        self.moved.set(Instant::now());
        if Some(self.passed.get()) == self.length {
            self.end();
        }
    }

    fn end(&self) {
        self.whole.set(self.whole.get().or_else(|| Some(Instant::now())));
        self.changed.notify_waiters();
    }

    /// Waits for the moment at which its last byte went on.
    async fn whole(&self) -> Instant {
        loop {
            if let Some(at) = self.whole.get() {
                return at;
            }
            self.changed.notified().await;
        }
    }

    /// Returns when its client is too slow, or its backend takes too little.
    async fn stalled(&self) {
        while self.whole.get().is_none() {
            let due = self.pace.due(self.passed.get(), self.moved.get());
            if due <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
        }
        std::future::pending().await
    }
}

impl Call {
    /// Can be sent, for the first time or again.
    pub fn sendable(&self) -> bool {
        !matches!(&self.body, Asking::Passing(upload) if upload.spent.get() || upload.broken.get())
    }

    /// Waits until the whole request has gone on, and says since when; none where it was here from the start.
    pub async fn whole(&self) -> Option<Instant> {
        match &self.body {
            Asking::Whole(_) => None,
            Asking::Passing(upload) => Some(upload.whole().await),
        }
    }
}

/// A request's body on a connection to a backend.
pub enum Sending {
    /// What is left of a whole one.
    Whole(Option<Bytes>),
    /// One that passes on, with its first part if that is still to be sent.
    Passing(Rc<Upload>, Option<Bytes>),
}

impl Sending {
    /// Nothing.
    pub fn empty() -> Sending {
        Sending::Whole(None)
    }
}

/// Why the rest of a body will not come.
#[derive(Debug, Error)]
pub enum Cut {
    /// The side it comes from ended or broke.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// It is too long.
    #[error("the body is over {BODY_LIMIT} bytes")]
    TooLong,
    /// Nothing came for too long.
    #[error("nothing more of the body came")]
    Stalled,
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let (upload, first) = match &mut *self {
            Sending::Whole(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Sending::Passing(upload, first) => (upload, first),
        };
        if let Some(first) = first.take() {
            upload.note(first.len());
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        upload.spent.set(true);
        loop {
            let frame = ready!(Pin::new(&mut *upload.rest.borrow_mut()).poll_frame(cx));
            let cut = match frame {
                None => {
                    upload.end();
                    return Poll::Ready(None);
                }
                Some(Err(e)) => Cut::Broken(e),
                Some(Ok(frame)) => match frame.into_data() {
                    // Trailers are for this connection alone.
                    Err(_) => continue,
                    Ok(data) if upload.passed.get() + data.len() as u64 > BODY_LIMIT as u64 => Cut::TooLong,
                    Ok(data) => {
                        upload.note(data.len());
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                },
            };
            upload.broken.set(true);
            return Poll::Ready(Some(Err(cut)));
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Sending::Whole(bytes) => bytes.is_none(),
            Sending::Passing(upload, first) => first.is_none() && upload.whole.get().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sending::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Sending::Passing(upload, _) => upload.length.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// The body of an answer that goes on to the client: all of it, or what has come and a backend from which the rest
/// does.
pub enum Answering {
    /// What is left of a whole one.
    Whole(Option<Bytes>),
    /// One that passes on.
    Passing(Box<Download>),
}

/// A long answer on its way from a backend to a client.
pub struct Download {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed: u64,
    conn: Option<Conn>,
    stall: Pin<Box<Sleep>>,
    /// What the client's side keeps for as long as this lasts.
    held: Option<Box<dyn Any>>,
    /// Told how it ended; where this is dropped untold, the client has left.
    end: Option<oneshot::Sender<(Outcome, Option<Conn>)>>,
}

impl Download {
    fn end(&mut self, outcome: Outcome) {
        let conn = self.conn.take().filter(|_| outcome == Outcome::Done);
        if let Some(end) = self.end.take() {
            // The node may be about to end.
            let _ = end.send((outcome, conn));
        }
    }

    fn finish(&mut self, cx: &mut Context<'_>) {
        if let Some(conn) = &mut self.conn {
            // The connection sees that the answer is over and is ready for the next.
            conn.turn(cx);
        }
        self.end(Outcome::Done);
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        loop {
            let mut frame = Pin::new(&mut self.rest).poll_frame(cx);
            if frame.is_pending() {
                if let Some(conn) = &mut self.conn {
                    conn.turn(cx);
                }
                frame = Pin::new(&mut self.rest).poll_frame(cx);
            }
            return match frame {
                Poll::Pending => self.stall.as_mut().poll(cx).map(|()| Some(Err(Cut::Stalled))),
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(e))) => Poll::Ready(Some(Err(e.into()))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Err(_) => continue,
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                },
            };
        }
    }
}

impl Body for Answering {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let download = match &mut *self {
            Answering::Whole(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Answering::Passing(download) => download,
        };
        let next = match download.first.take() {
            Some(first) => Some(Ok(first)),
            None => ready!(download.poll_rest(cx)),
        };
        Poll::Ready(match next {
            Some(Ok(data)) => {
                download.passed += data.len() as u64;
                download.stall.as_mut().reset((Instant::now() + LONG_STALL).into());
                if download.passed > BODY_LIMIT as u64 {
                    download.end(Outcome::Error);
                    return Poll::Ready(Some(Err(Cut::TooLong)));
                }
                if Some(download.passed) == download.length {
                    // Nobody asks for more than that.
                    download.finish(cx);
                }
                Some(Ok(Frame::data(data)))
            }
            Some(Err(cut)) => {
                download.end(if matches!(cut, Cut::Stalled) { Outcome::TimedOut } else { Outcome::Reset });
                Some(Err(cut))
            }
            None => {
                download.finish(cx);
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Answering::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answering::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Answering::Passing(download) => download
                .length
                .map_or_else(SizeHint::new, |l| SizeHint::with_exact(l.saturating_sub(download.passed))),
        }
    }
}

/// A backend's answer.
pub struct Reply {
    /// Its body.
    pub body: Answering,
    /// What kind of body that is, if told.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
pub struct Finish {
    /// How.
    pub outcome: Outcome,
    /// What a served attempt brought.
    pub reply: Option<Reply>,
    /// The load report, if there was one.
    pub load: Load,
}

/// What becomes of an attempt.
pub enum End {
    /// It is over; a connection that may be kept comes back.
    Over(Finish, Option<Conn>),
    /// A long answer has begun. Its end is told later, or not at all where the client leaves.
    Begun(Finish, oneshot::Receiver<(Outcome, Option<Conn>)>),
}

impl From<Outcome> for Finish {
    fn from(outcome: Outcome) -> Finish {
        Finish { outcome, reply: None, load: Load::default() }
    }
}

/// Why there is no whole answer.
#[derive(Debug, Error)]
pub enum Failure {
    /// The connection broke or ended.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// Something came that is no answer. Whoever sent it is there, and may have run the request.
    #[error("what came is no answer")]
    Spoilt,
}

impl From<hyper::Error> for Failure {
    fn from(e: hyper::Error) -> Failure {
        // In a body, what is no chunk comes as an error of reading.
        let reading = e.source().and_then(|s| s.downcast_ref::<io::Error>()).map(io::Error::kind);
        let garbled = matches!(reading, Some(ErrorKind::InvalidInput | ErrorKind::InvalidData));
        if e.is_parse() || garbled { Failure::Spoilt } else { Failure::Broken(e) }
    }
}

/// Whether the end of an answer can be told: a length within the limit, or chunks, or the connection's end, and
/// not both of the first.
fn check(headers: &HeaderMap, body: &Incoming, limit: usize) -> Result<(), Failure> {
    let both = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    let framed = !both || body.size_hint().exact() == Some(0);
    let fits = body.size_hint().lower() <= limit as u64;
    if framed && fits { Ok(()) } else { Err(Failure::Spoilt) }
}

type Driven = Pin<Box<Connection<TokioIo<Socket>, Sending>>>;

/// A connection whose reading and writing happen only while somebody exchanges on it: nothing is left
/// running behind an idle one, and dropping it closes the socket at once.
pub struct Conn {
    sender: SendRequest<Sending>,
    connection: Option<Driven>,
    socket: Socket,
}

impl Conn {
    /// Connects by `deadline`. `buffer` is what it reads ahead, in bytes.
    pub async fn open(
        address: SocketAddr,
        deadline: Instant,
        slot: Slot,
        buffer: usize,
    ) -> Result<Conn, ConnectError> {
        let socket = Socket::new(system::connect(address, deadline).await?, slot);
        let io = TokioIo::new(socket.clone());
        let handshake = http1::Builder::new().max_buf_size(buffer).handshake(io).await;
        let (sender, connection) = handshake.map_err(|e| ConnectError::Remote(io::Error::other(e)))?;
        Ok(Conn { sender, connection: Some(Box::pin(connection)), socket })
    }

    /// Runs `wanted` together with the connection's own reading and writing.
    async fn drive<F: Future>(connection: &mut Option<Driven>, wanted: F) -> F::Output {
        let mut wanted = pin!(wanted);
        poll_fn(|cx| {
            if let Poll::Ready(value) = wanted.as_mut().poll(cx) {
                return Poll::Ready(value);
            }
            Conn::poll(connection, cx);
            wanted.as_mut().poll(cx)
        })
        .await
    }

    fn poll(connection: &mut Option<Driven>, cx: &mut Context<'_>) {
        if connection.as_mut().is_some_and(|c| c.as_mut().poll(cx).is_ready()) {
            *connection = None;
        }
    }

    /// Lets the connection read and write what it can. At the end of an answer it sees that it is ready for the
    /// next, or that more came than belongs to it.
    fn turn(&mut self, cx: &mut Context<'_>) {
        Conn::poll(&mut self.connection, cx);
    }

    /// One request and the head of its answer, which may hold `limit` bytes.
    async fn ask(
        &mut self,
        request: Request<Sending>,
        limit: usize,
    ) -> Result<Response<Incoming>, Failure> {
        let sent = self.sender.send_request(request);
        let answer = Conn::drive(&mut self.connection, sent).await?;
        check(answer.headers(), answer.body(), limit)?;
        Ok(answer)
    }

    /// One request and its answer: the head, the body as far as it is kept, and the rest if there is one.
    async fn answer(
        &mut self,
        request: Request<Sending>,
    ) -> Result<(Parts, Bytes, Option<Incoming>), Failure> {
        let (head, mut body) = self.ask(request, BODY_LIMIT).await?.into_parts();
        let (first, whole) = self.first_part(&mut body).await?;
        Ok((head, first, Some(body).filter(|_| !whole)))
    }

    /// Reads a body to its end, or as far as it is kept and for as long as it is waited for. Says whether that
    /// was the end.
    async fn first_part(&mut self, body: &mut Incoming) -> Result<(Bytes, bool), Failure> {
        let unknown = body.size_hint().exact().is_none();
        if body.size_hint().lower() > KEPT as u64 {
            return Ok((Bytes::new(), false));
        }
        let begun = Instant::now();
        let mut kept = BytesMut::new();
        loop {
            let frame = Conn::drive(&mut self.connection, body.frame());
            let frame = tokio::time::timeout(STALL, frame).await.map_err(|_| Failure::Spoilt)?;
            let Some(frame) = frame else { break };
            if let Ok(data) = frame?.into_data() {
                kept.extend_from_slice(&data);
            }
            if kept.len() > KEPT || unknown && begun.elapsed() > BODY_TIME {
                return Ok((kept.freeze(), false));
            }
        }
        poll_fn(|cx| {
            self.turn(cx);
            Poll::Ready(())
        })
        .await;
        Ok((kept.freeze(), true))
    }

    /// One request and its whole answer, with a body of `limit` bytes at most, which is there within
    /// `body_time` after the head.
    pub async fn exchange(
        &mut self,
        request: Request<Sending>,
        limit: usize,
        body_time: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let (head, body) = self.ask(request, limit).await?.into_parts();
        let whole = Conn::drive(&mut self.connection, Limited::<Incoming>::new(body, limit).collect());
        let body = match tokio::time::timeout(body_time, whole).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                return Err(e.downcast::<hyper::Error>().map_or(Failure::Spoilt, |e| (*e).into()));
            }
            Err(_) => return Err(Failure::Spoilt),
        };
        poll_fn(|cx| {
            self.turn(cx);
            Poll::Ready(())
        })
        .await;
        Ok(Response::from_parts(head, body))
    }

    /// Open at both ends and with nothing unread, which would be its close.
    pub fn alive(&self) -> bool {
        self.connection.is_some() && !self.sender.is_closed() && self.socket.quiet()
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// Up to what age kept connections are good, learned from what became of requests on them.
///
/// A backend, or something on the way to it, may drop idle connections sooner than the settings say and without
/// a word: what is written on one is reset unread, and an unsafe request is lost. Any such age shows, also one
/// that changes, since evidence fades; one that few backends have is taken for all. It costs a handshake for each
/// connection that is not used again, so it hurts where old connections break for another reason.
#[derive(Debug)]
struct Ages {
    /// Requests, and those whose connection broke with no answer begun, by age; the first is for new connections.
    seen: [(f64, f64); Ages::STEPS],
    faded: Instant,
}

impl Ages {
    /// Two steps for each doubling, from the youngest that is told apart on.
    const STEPS: usize = 24;
    const YOUNGEST_MS: f64 = 10.0;
    /// Evidence is half as much after this.
    const HALF_LIFE: Duration = Duration::from_secs(30);
    /// Breaks without which there is no such age.
    const LEAST: f64 = 4.0;
    /// A share of breaks is above that of younger ones by more than a factor and an amount.
    const FACTOR: f64 = 2.0;
    const AMOUNT: f64 = 0.1;

    fn new() -> Ages {
        Ages { seen: [(0.0, 0.0); Ages::STEPS], faded: Instant::now() }
    }

    fn step(age: Duration) -> usize {
        let doublings = (age.as_secs_f64() * 1000.0 / Ages::YOUNGEST_MS).max(1.0).log2();
        (1 + (2.0 * doublings) as usize).min(Ages::STEPS - 1)
    }

    fn from(step: usize) -> Duration {
        Duration::from_secs_f64(Ages::YOUNGEST_MS / 1000.0 * ((step as f64 - 1.0) / 2.0).exp2())
    }

    fn note(&mut self, age: Option<Duration>, broke: bool) {
        let keep = 0.5_f64.powf(self.faded.elapsed().as_secs_f64() / Ages::HALF_LIFE.as_secs_f64());
        self.faded = Instant::now();
        for (used, broken) in &mut self.seen {
            (*used, *broken) = (*used * keep, *broken * keep);
        }
        if let Some((used, broken)) = self.seen.get_mut(age.map_or(0, Ages::step)) {
            (*used, *broken) = (*used + 1.0, *broken + f64::from(u8::from(broke)));
        }
    }

    /// The age from which on they are not good: of some step and of all older ones together more break than of
    /// what is younger.
    fn limit(&self) -> Option<Duration> {
        let mut younger = (0.0, 0.0);
        let total = self.seen.iter().fold((0.0, 0.0), |t, s| (t.0 + s.0, t.1 + s.1));
        self.seen.iter().enumerate().find_map(|(step, &(used, broken))| {
            let bound = younger.1 / f64::max(younger.0, 1.0) * Ages::FACTOR + Ages::AMOUNT;
            let older = (total.0 - younger.0, total.1 - younger.1);
            younger = (younger.0 + used, younger.1 + broken);
            let bad = broken > used * bound && older.1 > older.0 * bound && older.1 >= Ages::LEAST;
            (bad && step > 0).then(|| Ages::from(step))
        })
    }
}

/// One attempt: what is sent, where, and for how long it is waited for.
pub struct Attempt {
    /// Which backend.
    pub backend: BackendId,
    /// Where that is.
    pub address: SocketAddr,
    /// What to send.
    pub call: Rc<Call>,
    /// When to stop waiting; where the body passes on, that much later as its end comes after `begun`.
    pub until: Instant,
    /// Until when its first byte may go out.
    pub begin_by: Instant,
    /// When it was decided on.
    pub begun: Instant,
}

impl Attempt {
    /// Waits for the end of the time that the attempt has.
    async fn overdue(&self) {
        let whole = self.call.whole().await;
        let late = whole.map_or(Duration::ZERO, |at| at.saturating_duration_since(self.begun));
        tokio::time::sleep_until((self.until + late).into()).await;
    }

    /// Waits for the body to come to a standstill; for good where it was here from the start.
    async fn stalled(&self) {
        match &self.call.body {
            Asking::Whole(_) => std::future::pending().await,
            Asking::Passing(upload) => upload.stalled().await,
        }
    }
}

/// The connections to backends.
pub struct Upstream {
    idle: RefCell<HashMap<BackendId, Vec<Idle>>>,
    descriptors: Rc<Descriptors>,
    connect_limit: Duration,
    idle_limit: Duration,
    ages: RefCell<Ages>,
    buffer: usize,
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms.clamp(0.0, 86_400_000.0)) / 1000.0)
}

impl Upstream {
    /// No connections yet.
    pub fn new(
        descriptors: Rc<Descriptors>,
        connect_timeout_ms: f64,
        conn_idle_ms: f64,
        buffer: usize,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            descriptors: descriptors.clone(),
            connect_limit: millis(connect_timeout_ms),
            idle_limit: millis(conn_idle_ms * IDLE_PART),
            ages: RefCell::new(Ages::new()),
            buffer,
        });
        let weak = Rc::downgrade(&upstream);
        descriptors.on_backends(Box::new(move || weak.upgrade().is_some_and(|u| u.drop_oldest())));
        upstream
    }

    /// Closes the connections to a backend that carry nothing.
    ///
    /// Not only for the decisions: a backend that broke a connection may have been away. What was open to it before
    /// is reset as soon as something is sent on it, and an unsafe request would be lost.
    pub fn release(&self, backend: BackendId) {
        let closed = self.idle.borrow_mut().remove(&backend);
        drop(closed);
    }

    fn drop_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|v| !v.is_empty()).min_by_key(|v| v.first().map(|i| i.since));
        let closed = oldest.map(|v| v.remove(0));
        closed.is_some()
    }

    /// How long a connection may have been idle to be used again.
    fn idle_limit(&self) -> Duration {
        self.ages.borrow().limit().map_or(self.idle_limit, |good| good.min(self.idle_limit))
    }

    /// Closes what has been idle for long and what the backend has closed.
    pub fn sweep(&self) {
        let limit = self.idle_limit();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| i.since.elapsed() < limit && i.conn.alive());
            !list.is_empty()
        });
    }

    fn take_idle(&self, backend: BackendId) -> Option<Idle> {
        let limit = self.idle_limit();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&backend)?;
        // Looked at once more here: the sweep may be late, and the backend may have closed it since.
        list.retain(|i| i.since.elapsed() < limit && i.conn.alive());
        let settled = list.iter().rposition(|i| i.since.elapsed() >= SETTLED)?;
        Some(list.remove(settled))
    }

    /// Keeps a connection whose exchange is over, if it can carry another.
    pub fn keep(&self, backend: BackendId, conn: Conn) {
        if conn.alive() && conn.sender.is_ready() {
            let kept = Idle { conn, since: Instant::now() };
            self.idle.borrow_mut().entry(backend).or_default().push(kept);
        }
    }

    /// A connection to the attempt's backend, in time for it, and for how long it was idle if it was kept.
    ///
    /// Where this node itself has no descriptor for one, or it may not begin when one that comes up late does, the
    /// attempt is not made: `NotConnected` would blame the backends, and all of them would be held for dead.
    async fn connection(&self, attempt: &Attempt) -> Result<(Conn, Option<Duration>), Outcome> {
        let Attempt { backend, address, until, begin_by, .. } = *attempt;
        if let Some(idle) = self.take_idle(backend) {
            return Ok((idle.conn, Some(idle.since.elapsed())));
        }
        let limit =
            || self.connect_limit.min(until.min(begin_by).saturating_duration_since(Instant::now()));
        let slot = tokio::time::timeout(limit(), self.descriptors.take()).await;
        let slot = slot.map_err(|_| Outcome::Skipped)?;
        match Conn::open(address, Instant::now() + limit(), slot, self.buffer).await {
            Ok(conn) => Ok((conn, None)),
            Err(ConnectError::Local(_)) => Err(Outcome::Skipped),
            Err(ConnectError::TimedOut) if Instant::now() >= begin_by => Err(Outcome::Skipped),
            Err(_) => Err(Outcome::NotConnected),
        }
    }

    /// Sends one attempt and waits for its end, or for a long answer's beginning. `wanted` says whether request and
    /// backend still stand.
    pub async fn attempt(&self, attempt: &Attempt, wanted: impl Fn() -> Result<(), Withheld>) -> End {
        let over = |outcome: Outcome| End::Over(outcome.into(), None);
        let (mut conn, age) = match self.connection(attempt).await {
            Ok(found) => found,
            Err(outcome) => return over(outcome),
        };
        // The handshake took time: a drain told meanwhile holds for this send too, and so does the end of the time in
        // which a repeat has no second effect.
        match wanted() {
            Ok(()) => {}
            // The request may go elsewhere.
            Err(Withheld::ServerWithdrawn) => return over(Outcome::NotConnected),
            Err(_) => return over(Outcome::Skipped),
        }
        let (written, read) = (conn.socket.written(), conn.socket.read());
        let left = attempt.until.saturating_duration_since(Instant::now());
        let request = attempt.call.request(attempt.address, left);
        let socket = conn.socket.clone();
        let overdue = async {
            attempt.overdue().await;
            // What the system has by then was in time, however late this node has its turn: it is read in the next.
            if !socket.quiet() {
                tokio::time::sleep(NEXT_TURN).await;
            }
        };
        let answer = tokio::select! {
            biased;
            answer = conn.answer(request) => Some(answer),
            () = overdue => None,
            () = attempt.stalled() => None,
        };
        // Silence tells nothing of the connection.
        if let Some(end) = &answer {
            let broke = matches!(end, Err(Failure::Broken(_))) && conn.socket.read() == read;
            self.ages.borrow_mut().note(age, broke);
        }
        let passing = match &attempt.call.body {
            Asking::Passing(upload) if upload.whole.get().is_none() => Some(upload),
            _ => None,
        };
        over(match answer {
            Some(Ok((head, first, None))) => {
                return End::Over(finish(&head, Answering::of(first)), Some(conn));
            }
            Some(Ok((head, first, Some(rest)))) => return self.begin(conn, &head, first, rest),
            // A backend takes nothing for run before its last byte: neither the client's fault nor its own.
            None if passing.is_some() => Outcome::Skipped,
            _ if passing.is_some_and(|u| u.broken.get()) => Outcome::Skipped,
            // Not one byte of it left this node, or not the last one: it never ran.
            _ if conn.socket.written() == written || passing.is_some() => Outcome::NotConnected,
            // What was written may have run. A backend that says anything at all is not silent.
            None if conn.socket.read() == read => Outcome::TimedOut,
            None | Some(Err(Failure::Spoilt)) => Outcome::Error,
            Some(Err(Failure::Broken(_))) => {
                self.release(attempt.backend);
                Outcome::Reset
            }
        })
    }

    /// A long answer: it goes on to the client as it comes.
    fn begin(&self, conn: Conn, head: &Parts, first: Bytes, rest: Incoming) -> End {
        if head.status != StatusCode::OK {
            // Nobody wants the rest of it.
            return End::Over(finish(head, Answering::Whole(None)), None);
        }
        let (end, ended) = oneshot::channel();
        let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
        let download = Download {
            first: Some(first).filter(|f| !f.is_empty()),
            rest,
            length,
            passed: 0,
            conn: Some(conn),
            stall: Box::pin(tokio::time::sleep(LONG_STALL)),
            held: None,
            end: Some(end),
        };
        End::Begun(finish(head, Answering::Passing(Box::new(download))), ended)
    }
}

impl Call {
    fn request(&self, address: SocketAddr, left: Duration) -> Request<Sending> {
        let mut request = Request::new(match &self.body {
            Asking::Whole(body) => Sending::Whole(Some(body.clone()).filter(|b| !b.is_empty())),
            Asking::Passing(upload) => Sending::Passing(upload.clone(), Some(upload.first.clone())),
        });
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&address.to_string())
        {
            headers.insert(HOST, host);
        }
        let left = u64::try_from(left.as_micros().div_ceil(1000)).unwrap_or(u64::MAX);
        headers.insert(EXPIRES, HeaderValue::from(left));
        request
    }
}

impl Answering {
    /// Keeps `held` until a long answer has ended; drops it at once where there is nothing to wait for.
    pub fn hold(&mut self, held: impl Any) {
        if let Answering::Passing(download) = self {
            download.held = Some(Box::new(held));
        }
    }

    /// More of it is to come.
    pub fn passes(&self) -> bool {
        matches!(self, Answering::Passing(_))
    }

    /// A whole body.
    pub fn of(bytes: Bytes) -> Answering {
        Answering::Whole(Some(bytes).filter(|b| !b.is_empty()))
    }
}

/// What a backend's answer says.
fn finish(head: &Parts, body: Answering) -> Finish {
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let load = header(LOAD).map(wire::load_report).unwrap_or_default();
    let unseen = header(NEVER_RAN) == Some("1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Done,
        // The only proof that a backend gives; any other status may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Full,
        _ => Outcome::Error,
    };
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let reply = (outcome == Outcome::Done).then_some(Reply { body, content_type });
    Finish { outcome, reply, load }
}
