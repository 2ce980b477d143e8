//! Connections to backends, and the attempts on them. One request at a time on each.

use crate::observability::request_trace::WithheldReason;
use crate::system::socket::{DescriptorPermit, Descriptors, Socket};
use crate::system::syscall_errors::{self, ConnectError};
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
use wheelpath::load_report_text;
use wheelpath::policy::{AttemptOutcome, EndpointId, LoadReport};

/// Bodies up to this are read whole, and can be sent again; longer ones are passed on as they come.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Bodies hold at most this much, either way.
pub const BODY_LIMIT: usize = 32 * 1024 * 1024;
/// How long this node will wait, as a backend is told.
pub const DEADLINE_HEADER: &str = "x-expires-in-ms";
const NEVER_RAN_HEADER: &str = "x-never-ran";
const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";
/// An idle connection is dropped after this part of the time at which the backend drops it: a request that
/// crosses the backend's close may have run, and an unsafe one is then lost.
const IDLE_TIMEOUT_PART: f64 = 0.7;
/// What comes right behind an answer is no answer to the next request: a connection is used again only once it
/// has been quiet for so long.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// A short answer of which nothing more comes for so long never will be whole.
const SHORT_RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(200);
/// One of unknown length is passed on from then on: it may be a long one.
const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(100);
/// In which what the system holds is surely read.
const LAST_READ_TIME: Duration = Duration::from_millis(1);
/// A long body on which nothing moves for so long is given up. Backends stand still for half a second at times.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What a client asked, to be sent on unchanged.
pub struct ProxiedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
    /// The room that the body takes, given back with it.
    pub _room: Option<OwnedSemaphorePermit>,
}

/// The body of a request.
pub enum RequestBody {
    /// All of it is here, and can be sent again.
    Whole(Bytes),
    /// More comes from the client.
    Passing(Rc<StreamedRequestBody>),
}

/// A long body on its way from a client to a backend. What is passed on is not kept: past its first part there
/// is no sending it again.
pub struct StreamedRequestBody {
    first: Bytes,
    rest: RefCell<Incoming>,
    length: Option<u64>,
    pace: MinimumRate,
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
pub struct MinimumRate {
    begun: Instant,
}

impl MinimumRate {
    /// Slower ones are cut; the page of the days has clients at 64 kB a second.
    const LEAST_PER_S: f64 = 48_000.0;
    /// Added to the time that this allows, and the longest between two pieces.
    const GRACE: Duration = Duration::from_secs(2);

    /// From the head on.
    pub fn new(begun: Instant) -> MinimumRate {
        MinimumRate { begun }
    }

    /// When one of which so much has come, the last of it at `moved`, is too slow.
    pub fn due(&self, bytes: u64, moved: Instant) -> Instant {
        let earned = Duration::from_secs_f64(bytes as f64 / MinimumRate::LEAST_PER_S);
        (self.begun + earned).min(moved) + MinimumRate::GRACE
    }
}

impl StreamedRequestBody {
    /// `first` has been read, `rest` comes; `length` is that of all, if told.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        pace: MinimumRate,
    ) -> Rc<StreamedRequestBody> {
        Rc::new(StreamedRequestBody {
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

impl ProxiedRequest {
    /// Can be sent, for the first time or again.
    pub fn sendable(&self) -> bool {
        !matches!(&self.body, RequestBody::Passing(upload) if upload.spent.get() || upload.broken.get())
    }

    /// Waits until the whole request has gone on, and says since when; none where it was here from the start.
    pub async fn whole(&self) -> Option<Instant> {
        match &self.body {
            RequestBody::Whole(_) => None,
            RequestBody::Passing(upload) => Some(upload.whole().await),
        }
    }
}

/// A request's body on a connection to a backend.
pub enum UpstreamBody {
    /// What is left of a whole one.
    Whole(Option<Bytes>),
    /// One that passes on, with its first part if that is still to be sent.
    Passing(Rc<StreamedRequestBody>, Option<Bytes>),
}

impl UpstreamBody {
    /// Nothing.
    pub fn empty() -> UpstreamBody {
        UpstreamBody::Whole(None)
    }
}

/// Why the rest of a body will not come.
#[derive(Debug, Error)]
pub enum BodyError {
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

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let (upload, first) = match &mut *self {
            UpstreamBody::Whole(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            UpstreamBody::Passing(upload, first) => (upload, first),
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
                Some(Err(e)) => BodyError::Broken(e),
                Some(Ok(frame)) => match frame.into_data() {
                    // Trailers are for this connection alone.
                    Err(_) => continue,
                    Ok(data) if upload.passed.get() + data.len() as u64 > BODY_LIMIT as u64 => {
                        BodyError::TooLong
                    }
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
            UpstreamBody::Whole(bytes) => bytes.is_none(),
            UpstreamBody::Passing(upload, first) => first.is_none() && upload.whole.get().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            UpstreamBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            UpstreamBody::Passing(upload, _) => {
                upload.length.map_or_else(SizeHint::new, SizeHint::with_exact)
            }
        }
    }
}

/// The body of an answer that goes on to the client: all of it, or what has come and a backend from which the rest
/// does.
pub enum ResponseBody {
    /// What is left of a whole one.
    Whole(Option<Bytes>),
    /// One that passes on.
    Passing(Box<StreamedResponseBody>),
}

/// A long answer on its way from a backend to a client.
pub struct StreamedResponseBody {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed: u64,
    conn: Option<UpstreamConnection>,
    stall: Pin<Box<Sleep>>,
    /// What the client's side keeps for as long as this lasts.
    held: Option<Box<dyn Any>>,
    /// Told how it ended; where this is dropped untold, the client has left.
    end: Option<oneshot::Sender<(AttemptOutcome, Option<UpstreamConnection>)>>,
}

impl StreamedResponseBody {
    fn end(&mut self, outcome: AttemptOutcome) {
        let conn = self.conn.take().filter(|_| outcome == AttemptOutcome::Answered);
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
        self.end(AttemptOutcome::Answered);
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let mut frame = Pin::new(&mut self.rest).poll_frame(cx);
            if frame.is_pending() {
                if let Some(conn) = &mut self.conn {
                    conn.turn(cx);
                }
                frame = Pin::new(&mut self.rest).poll_frame(cx);
            }
            return match frame {
                Poll::Pending => self.stall.as_mut().poll(cx).map(|()| Some(Err(BodyError::Stalled))),
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

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let download = match &mut *self {
            ResponseBody::Whole(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Passing(download) => download,
        };
        let next = match download.first.take() {
            Some(first) => Some(Ok(first)),
            None => ready!(download.poll_rest(cx)),
        };
        Poll::Ready(match next {
            Some(Ok(data)) => {
                download.passed += data.len() as u64;
                download.stall.as_mut().reset((Instant::now() + STREAM_STALL_TIMEOUT).into());
                if download.passed > BODY_LIMIT as u64 {
                    download.end(AttemptOutcome::ErrorResponse);
                    return Poll::Ready(Some(Err(BodyError::TooLong)));
                }
                if Some(download.passed) == download.length {
                    // Nobody asks for more than that.
                    download.finish(cx);
                }
                Some(Ok(Frame::data(data)))
            }
            Some(Err(cut)) => {
                download.end(if matches!(cut, BodyError::Stalled) {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::ConnectionReset
                });
                Some(Err(cut))
            }
            None => {
                download.finish(cx);
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Passing(download) => download
                .length
                .map_or_else(SizeHint::new, |l| SizeHint::with_exact(l.saturating_sub(download.passed))),
        }
    }
}

/// A backend's answer.
pub struct UpstreamResponse {
    /// Its body.
    pub body: ResponseBody,
    /// What kind of body that is, if told.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// How.
    pub outcome: AttemptOutcome,
    /// What a served attempt brought.
    pub reply: Option<UpstreamResponse>,
    /// The load report, if there was one.
    pub load: LoadReport,
}

/// What becomes of an attempt.
pub enum AttemptEnd {
    /// It is over; a connection that may be kept comes back.
    Over(AttemptResult, Option<UpstreamConnection>),
    /// A long answer has begun. Its end is told later, or not at all where the client leaves.
    Begun(AttemptResult, oneshot::Receiver<(AttemptOutcome, Option<UpstreamConnection>)>),
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, reply: None, load: LoadReport::default() }
    }
}

/// Why there is no whole answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection broke or ended.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// Something came that is no answer. Whoever sent it is there, and may have run the request.
    #[error("what came is no answer")]
    Spoilt,
}

impl From<hyper::Error> for ExchangeError {
    fn from(e: hyper::Error) -> ExchangeError {
        // In a body, what is no chunk comes as an error of reading.
        let reading = e.source().and_then(|s| s.downcast_ref::<io::Error>()).map(io::Error::kind);
        let garbled = matches!(reading, Some(ErrorKind::InvalidInput | ErrorKind::InvalidData));
        if e.is_parse() || garbled { ExchangeError::Spoilt } else { ExchangeError::Broken(e) }
    }
}

/// Whether the end of an answer can be told: a length within the limit, or chunks, or the connection's end, and
/// not both of the first.
fn check(headers: &HeaderMap, body: &Incoming, limit: usize) -> Result<(), ExchangeError> {
    let both = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    let framed = !both || body.size_hint().exact() == Some(0);
    let fits = body.size_hint().lower() <= limit as u64;
    if framed && fits { Ok(()) } else { Err(ExchangeError::Spoilt) }
}

type Driven = Pin<Box<Connection<TokioIo<Socket>, UpstreamBody>>>;

/// A connection whose reading and writing happen only while somebody exchanges on it: nothing is left
/// running behind an idle one, and dropping it closes the socket at once.
pub struct UpstreamConnection {
    sender: SendRequest<UpstreamBody>,
    connection: Option<Driven>,
    socket: Socket,
}

impl UpstreamConnection {
    /// Connects by `deadline`. `buffer` is what it reads ahead, in bytes.
    pub async fn open(
        address: SocketAddr,
        deadline: Instant,
        slot: DescriptorPermit,
        buffer: usize,
    ) -> Result<UpstreamConnection, ConnectError> {
        let socket = Socket::new(syscall_errors::connect(address, deadline).await?, slot);
        let io = TokioIo::new(socket.clone());
        let handshake = http1::Builder::new().max_buf_size(buffer).handshake(io).await;
        let (sender, connection) = handshake.map_err(|e| ConnectError::Remote(io::Error::other(e)))?;
        Ok(UpstreamConnection { sender, connection: Some(Box::pin(connection)), socket })
    }

    /// Runs `wanted` together with the connection's own reading and writing.
    async fn drive<F: Future>(connection: &mut Option<Driven>, wanted: F) -> F::Output {
        let mut wanted = pin!(wanted);
        poll_fn(|cx| {
            if let Poll::Ready(value) = wanted.as_mut().poll(cx) {
                return Poll::Ready(value);
            }
            UpstreamConnection::poll(connection, cx);
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
        UpstreamConnection::poll(&mut self.connection, cx);
    }

    /// One request and the head of its answer, which may hold `limit` bytes.
    async fn ask(
        &mut self,
        request: Request<UpstreamBody>,
        limit: usize,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let sent = self.sender.send_request(request);
        let answer = UpstreamConnection::drive(&mut self.connection, sent).await?;
        check(answer.headers(), answer.body(), limit)?;
        Ok(answer)
    }

    /// One request and its answer: the head, the body as far as it is kept, and the rest if there is one.
    async fn answer(
        &mut self,
        request: Request<UpstreamBody>,
    ) -> Result<(Parts, Bytes, Option<Incoming>), ExchangeError> {
        let (head, mut body) = self.ask(request, BODY_LIMIT).await?.into_parts();
        let (first, whole) = self.first_part(&mut body).await?;
        Ok((head, first, Some(body).filter(|_| !whole)))
    }

    /// Reads a body to its end, or as far as it is kept and for as long as it is waited for. Says whether that
    /// was the end.
    async fn first_part(&mut self, body: &mut Incoming) -> Result<(Bytes, bool), ExchangeError> {
        let unknown = body.size_hint().exact().is_none();
        if body.size_hint().lower() > MAX_BUFFERED_BODY as u64 {
            return Ok((Bytes::new(), false));
        }
        let begun = Instant::now();
        let mut kept = BytesMut::new();
        loop {
            let frame = UpstreamConnection::drive(&mut self.connection, body.frame());
            let frame = tokio::time::timeout(SHORT_RESPONSE_STALL_TIMEOUT, frame)
                .await
                .map_err(|_| ExchangeError::Spoilt)?;
            let Some(frame) = frame else { break };
            if let Ok(data) = frame?.into_data() {
                kept.extend_from_slice(&data);
            }
            if kept.len() > MAX_BUFFERED_BODY || unknown && begun.elapsed() > UNKNOWN_LENGTH_BUFFER_TIME {
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
        request: Request<UpstreamBody>,
        limit: usize,
        body_time: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (head, body) = self.ask(request, limit).await?.into_parts();
        let whole = UpstreamConnection::drive(
            &mut self.connection,
            Limited::<Incoming>::new(body, limit).collect(),
        );
        let body = match tokio::time::timeout(body_time, whole).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                return Err(e.downcast::<hyper::Error>().map_or(ExchangeError::Spoilt, |e| (*e).into()));
            }
            Err(_) => return Err(ExchangeError::Spoilt),
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

struct IdleConnection {
    conn: UpstreamConnection,
    since: Instant,
}

/// Up to what age kept connections are good, learned from what became of requests on them.
///
/// A backend, or something on the way to it, may drop idle connections sooner than the settings say and without
/// a word: what is written on one is reset unread, and an unsafe request is lost. Any such age shows, also one
/// that changes, since evidence fades; one that few backends have is taken for all. It costs a handshake for each
/// connection that is not used again, so it hurts where old connections break for another reason.
#[derive(Debug)]
struct IdleAgeStatistics {
    /// Requests, and those whose connection broke with no answer begun, by age; the first is for new connections.
    seen: [(f64, f64); IdleAgeStatistics::STEPS],
    faded: Instant,
}

impl IdleAgeStatistics {
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

    fn new() -> IdleAgeStatistics {
        IdleAgeStatistics { seen: [(0.0, 0.0); IdleAgeStatistics::STEPS], faded: Instant::now() }
    }

    fn step(age: Duration) -> usize {
        let doublings = (age.as_secs_f64() * 1000.0 / IdleAgeStatistics::YOUNGEST_MS).max(1.0).log2();
        (1 + (2.0 * doublings) as usize).min(IdleAgeStatistics::STEPS - 1)
    }

    fn from(step: usize) -> Duration {
        Duration::from_secs_f64(
            IdleAgeStatistics::YOUNGEST_MS / 1000.0 * ((step as f64 - 1.0) / 2.0).exp2(),
        )
    }

    fn note(&mut self, age: Option<Duration>, broke: bool) {
        let keep =
            0.5_f64.powf(self.faded.elapsed().as_secs_f64() / IdleAgeStatistics::HALF_LIFE.as_secs_f64());
        self.faded = Instant::now();
        for (used, broken) in &mut self.seen {
            (*used, *broken) = (*used * keep, *broken * keep);
        }
        if let Some((used, broken)) = self.seen.get_mut(age.map_or(0, IdleAgeStatistics::step)) {
            (*used, *broken) = (*used + 1.0, *broken + f64::from(u8::from(broke)));
        }
    }

    /// The age from which on they are not good: of some step and of all older ones together more break than of
    /// what is younger.
    fn limit(&self) -> Option<Duration> {
        let mut younger = (0.0, 0.0);
        let total = self.seen.iter().fold((0.0, 0.0), |t, s| (t.0 + s.0, t.1 + s.1));
        self.seen.iter().enumerate().find_map(|(step, &(used, broken))| {
            let bound = younger.1 / f64::max(younger.0, 1.0) * IdleAgeStatistics::FACTOR
                + IdleAgeStatistics::AMOUNT;
            let older = (total.0 - younger.0, total.1 - younger.1);
            younger = (younger.0 + used, younger.1 + broken);
            let bad =
                broken > used * bound && older.1 > older.0 * bound && older.1 >= IdleAgeStatistics::LEAST;
            (bad && step > 0).then(|| IdleAgeStatistics::from(step))
        })
    }
}

/// One attempt: what is sent, where, and for how long it is waited for.
pub struct Attempt {
    /// Which backend.
    pub endpoint: EndpointId,
    /// Where that is.
    pub address: SocketAddr,
    /// What to send.
    pub call: Rc<ProxiedRequest>,
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
            RequestBody::Whole(_) => std::future::pending().await,
            RequestBody::Passing(upload) => upload.stalled().await,
        }
    }
}

/// The connections to backends.
pub struct Upstream {
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    descriptors: Rc<Descriptors>,
    connect_limit: Duration,
    idle_limit: Duration,
    ages: RefCell<IdleAgeStatistics>,
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
        idle_connection_timeout_ms: f64,
        buffer: usize,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            descriptors: descriptors.clone(),
            connect_limit: millis(connect_timeout_ms),
            idle_limit: millis(idle_connection_timeout_ms * IDLE_TIMEOUT_PART),
            ages: RefCell::new(IdleAgeStatistics::new()),
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
    pub fn release(&self, endpoint: EndpointId) {
        let closed = self.idle.borrow_mut().remove(&endpoint);
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

    fn take_idle(&self, endpoint: EndpointId) -> Option<IdleConnection> {
        let limit = self.idle_limit();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&endpoint)?;
        // Looked at once more here: the sweep may be late, and the backend may have closed it since.
        list.retain(|i| i.since.elapsed() < limit && i.conn.alive());
        let settled = list.iter().rposition(|i| i.since.elapsed() >= REUSE_DELAY)?;
        Some(list.remove(settled))
    }

    /// Keeps a connection whose exchange is over, if it can carry another.
    pub fn keep(&self, endpoint: EndpointId, conn: UpstreamConnection) {
        if conn.alive() && conn.sender.is_ready() {
            let kept = IdleConnection { conn, since: Instant::now() };
            self.idle.borrow_mut().entry(endpoint).or_default().push(kept);
        }
    }

    /// A connection to the attempt's backend, in time for it, and for how long it was idle if it was kept.
    ///
    /// Where this node itself has no descriptor for one, or it may not begin when one that comes up late does, the
    /// attempt is not made: `NotConnected` would blame the backends, and all of them would be held for dead.
    async fn connection(
        &self,
        attempt: &Attempt,
    ) -> Result<(UpstreamConnection, Option<Duration>), AttemptOutcome> {
        let Attempt { endpoint, address, until, begin_by, .. } = *attempt;
        if let Some(idle) = self.take_idle(endpoint) {
            return Ok((idle.conn, Some(idle.since.elapsed())));
        }
        let limit =
            || self.connect_limit.min(until.min(begin_by).saturating_duration_since(Instant::now()));
        let slot = tokio::time::timeout(limit(), self.descriptors.take()).await;
        let slot = slot.map_err(|_| AttemptOutcome::NotSent)?;
        match UpstreamConnection::open(address, Instant::now() + limit(), slot, self.buffer).await {
            Ok(conn) => Ok((conn, None)),
            Err(ConnectError::Local(_)) => Err(AttemptOutcome::NotSent),
            Err(ConnectError::TimedOut) if Instant::now() >= begin_by => Err(AttemptOutcome::NotSent),
            Err(_) => Err(AttemptOutcome::ConnectFailed),
        }
    }

    /// Sends one attempt and waits for its end, or for a long answer's beginning. `wanted` says whether request and
    /// backend still stand.
    pub async fn attempt(
        &self,
        attempt: &Attempt,
        wanted: impl Fn() -> Result<(), WithheldReason>,
    ) -> AttemptEnd {
        let over = |outcome: AttemptOutcome| AttemptEnd::Over(outcome.into(), None);
        let (mut conn, age) = match self.connection(attempt).await {
            Ok(found) => found,
            Err(outcome) => return over(outcome),
        };
        // The handshake took time: a drain told meanwhile holds for this send too, and so does the end of the time in
        // which a repeat has no second effect.
        match wanted() {
            Ok(()) => {}
            // The request may go elsewhere.
            Err(WithheldReason::ServerWithdrawn) => return over(AttemptOutcome::ConnectFailed),
            Err(_) => return over(AttemptOutcome::NotSent),
        }
        let (written, read) = (conn.socket.written(), conn.socket.read());
        let left = attempt.until.saturating_duration_since(Instant::now());
        let request = attempt.call.request(attempt.address, left);
        let socket = conn.socket.clone();
        let overdue = async {
            attempt.overdue().await;
            // What the system has by then was in time, however late this node has its turn: it is read in the next.
            if !socket.quiet() {
                tokio::time::sleep(LAST_READ_TIME).await;
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
            let broke = matches!(end, Err(ExchangeError::Broken(_))) && conn.socket.read() == read;
            self.ages.borrow_mut().note(age, broke);
        }
        let passing = match &attempt.call.body {
            RequestBody::Passing(upload) if upload.whole.get().is_none() => Some(upload),
            _ => None,
        };
        over(match answer {
            Some(Ok((head, first, None))) => {
                return AttemptEnd::Over(finish(&head, ResponseBody::of(first)), Some(conn));
            }
            Some(Ok((head, first, Some(rest)))) => return self.begin(conn, &head, first, rest),
            // A backend takes nothing for run before its last byte: neither the client's fault nor its own.
            None if passing.is_some() => AttemptOutcome::NotSent,
            _ if passing.is_some_and(|u| u.broken.get()) => AttemptOutcome::NotSent,
            // Not one byte of it left this node, or not the last one: it never ran.
            _ if conn.socket.written() == written || passing.is_some() => AttemptOutcome::ConnectFailed,
            // What was written may have run. A backend that says anything at all is not silent.
            None if conn.socket.read() == read => AttemptOutcome::TimedOut,
            None | Some(Err(ExchangeError::Spoilt)) => AttemptOutcome::ErrorResponse,
            Some(Err(ExchangeError::Broken(_))) => {
                self.release(attempt.endpoint);
                AttemptOutcome::ConnectionReset
            }
        })
    }

    /// A long answer: it goes on to the client as it comes.
    fn begin(&self, conn: UpstreamConnection, head: &Parts, first: Bytes, rest: Incoming) -> AttemptEnd {
        if head.status != StatusCode::OK {
            // Nobody wants the rest of it.
            return AttemptEnd::Over(finish(head, ResponseBody::Whole(None)), None);
        }
        let (end, ended) = oneshot::channel();
        let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
        let download = StreamedResponseBody {
            first: Some(first).filter(|f| !f.is_empty()),
            rest,
            length,
            passed: 0,
            conn: Some(conn),
            stall: Box::pin(tokio::time::sleep(STREAM_STALL_TIMEOUT)),
            held: None,
            end: Some(end),
        };
        AttemptEnd::Begun(finish(head, ResponseBody::Passing(Box::new(download))), ended)
    }
}

impl ProxiedRequest {
    fn request(&self, address: SocketAddr, left: Duration) -> Request<UpstreamBody> {
        let mut request = Request::new(match &self.body {
            RequestBody::Whole(body) => UpstreamBody::Whole(Some(body.clone()).filter(|b| !b.is_empty())),
            RequestBody::Passing(upload) => {
                UpstreamBody::Passing(upload.clone(), Some(upload.first.clone()))
            }
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
        headers.insert(DEADLINE_HEADER, HeaderValue::from(left));
        request
    }
}

impl ResponseBody {
    /// Keeps `held` until a long answer has ended; drops it at once where there is nothing to wait for.
    pub fn hold(&mut self, held: impl Any) {
        if let ResponseBody::Passing(download) = self {
            download.held = Some(Box::new(held));
        }
    }

    /// More of it is to come.
    pub fn passes(&self) -> bool {
        matches!(self, ResponseBody::Passing(_))
    }

    /// A whole body.
    pub fn of(bytes: Bytes) -> ResponseBody {
        ResponseBody::Whole(Some(bytes).filter(|b| !b.is_empty()))
    }
}

/// What a backend's answer says.
fn finish(head: &Parts, body: ResponseBody) -> AttemptResult {
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let load = header(LOAD_REPORT_HEADER).map(load_report_text::parse_header).unwrap_or_default();
    let unseen = header(NEVER_RAN_HEADER) == Some("1");
    let outcome = match head.status {
        StatusCode::OK => AttemptOutcome::Answered,
        // The only proof that a backend gives; any other status may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => AttemptOutcome::Rejected,
        _ => AttemptOutcome::ErrorResponse,
    };
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let reply = (outcome == AttemptOutcome::Answered).then_some(UpstreamResponse { body, content_type });
    AttemptResult { outcome, reply, load }
}
