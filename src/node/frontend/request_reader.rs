//! A client's request, turned from head and body into what the decisions and a backend need, or turned away.
//!
//! What is turned away costs no backend anything and is answered at once. Its connection ends with the answer:
//! the rest of what such a client sends is not wanted, and may not mean what it seems to.

use crate::upstream::{
    BODY_LIMIT, DEADLINE_HEADER, MAX_BUFFERED_BODY, MinimumRate, ProxiedRequest, RequestBody, ResponseBody,
    StreamedRequestBody,
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri};
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wheelpath::policy::{Idempotency, Request as Asked, RequestClass, RequestId};
use wheelpath::settings_file::Names;
use wheelpath::stable_hash::stable_hash;

/// The client counts from its send, this node from the arrival: time for the way here, the answer's way
/// back, and this loop. The decisions end a request so long before the client gives up.
const DECISION_MARGIN: Duration = Duration::from_millis(4);
/// And so long before, the node ends what the decisions have not.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// When to come back to a node that is full.
const RETRY_AFTER_WHEN_FULL: &str = "1";

/// Headers that concern one connection only, or that are made anew.
const OWN_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// An answer of this node's own.
pub type LocalReply = Response<ResponseBody>;

/// Why a request is turned away.
pub struct Rejection(StatusCode, &'static str);

impl Rejection {
    /// What the client is told.
    pub fn text(&self) -> &'static str {
        self.1
    }

    /// The answer that says so.
    pub fn answer(self) -> LocalReply {
        if self.0 == StatusCode::SERVICE_UNAVAILABLE { full() } else { closing(self.0, self.1) }
    }
}

/// An answer with a fixed text.
pub fn plain(status: StatusCode, text: &'static str) -> LocalReply {
    let mut response = Response::new(ResponseBody::of(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The same, and the end of its connection.
pub fn closing(status: StatusCode, text: &'static str) -> LocalReply {
    let mut response = plain(status, text);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// This node holds all that it can.
pub fn full() -> LocalReply {
    let mut response = closing(StatusCode::SERVICE_UNAVAILABLE, "full, try again later\n");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_WHEN_FULL));
    response
}

/// The ids of the requests that are open.
#[derive(Clone, Default)]
struct OpenTraceIds(Rc<RefCell<HashSet<HeaderValue>>>);

/// An id's place among those, given up when dropped.
pub struct TraceIdGuard {
    ids: OpenTraceIds,
    id: HeaderValue,
}

impl OpenTraceIds {
    /// None for an id that an open request has.
    fn open(&self, id: HeaderValue) -> Option<TraceIdGuard> {
        let new = self.0.borrow_mut().insert(id.clone());
        new.then(|| TraceIdGuard { ids: self.clone(), id })
    }
}

impl Drop for TraceIdGuard {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}

/// A request as it was read.
pub struct ParsedRequest {
    /// What the decisions need.
    pub asked: Asked,
    /// What goes on to a backend.
    pub call: ProxiedRequest,
    /// When the decisions must have ended it.
    pub deadline: Instant,
    /// When this node does so without them.
    pub expires: Instant,
    /// Held for as long as the request is open.
    pub id: TraceIdGuard,
}

/// When a request came.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalTime {
    /// Its head was read.
    pub head: Instant,
    /// Its first byte came, if it waited for this node to take its connection: its client counts from then.
    pub waited_since: Option<Instant>,
}

/// Reads requests.
pub struct RequestReader {
    names: Rc<Names>,
    classes: Vec<RequestClass>,
    ids: OpenTraceIds,
    /// Bytes that all bodies together may still take.
    room: Arc<Semaphore>,
}

impl RequestReader {
    /// `room` is what all the bodies of open requests may take, in bytes.
    pub fn new(names: Rc<Names>, classes: Vec<RequestClass>, room: usize) -> RequestReader {
        let room = Arc::new(Semaphore::new(room.clamp(MAX_BUFFERED_BODY, Semaphore::MAX_PERMITS)));
        RequestReader { names, classes, ids: OpenTraceIds::default(), room }
    }

    /// Reads and checks a request. What is wrong with it is answered here; no backend hears of it.
    pub async fn read(
        &self,
        arrival: ArrivalTime,
        head: Parts,
        body: Incoming,
    ) -> Result<ParsedRequest, Rejection> {
        let wrong = |text| Rejection(StatusCode::BAD_REQUEST, text);
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let Some(id) = head.headers.get("x-trace-id").filter(|id| !id.is_empty()).cloned() else {
            return Err(wrong("X-Trace-Id is missing\n"));
        };
        let class = self.names.class(header("x-qos").unwrap_or_default());
        let Some(known) = self.classes.get(class) else {
            return Err(wrong("X-Qos names no class\n"));
        };
        // Where it is told in chunks, only their end tells the length.
        let length = match head.headers.get(CONTENT_LENGTH) {
            _ if head.headers.contains_key(TRANSFER_ENCODING) => None,
            None if head.method == Method::GET => Some(0),
            None => return Err(Rejection(StatusCode::LENGTH_REQUIRED, "Content-Length is missing\n")),
            // hyper has read it: one that is no number has not come so far.
            Some(length) => length.to_str().ok().and_then(|l| l.parse::<u64>().ok()),
        };
        let keyed = head.headers.contains_key("idempotency-key");
        // The class tells how often the request may run; a method that says otherwise is a mistake, and
        // taking it for either could run something twice.
        let agrees = match known.idempotency {
            Idempotency::Idempotent => head.method == Method::GET && length.is_none_or(|l| l == 0),
            Idempotency::WithKey(_) => head.method == Method::POST && keyed,
            Idempotency::NotIdempotent => head.method == Method::POST && !keyed,
        };
        if !agrees {
            return Err(wrong("method, body and Idempotency-Key do not agree with the class\n"));
        }
        // No client waits longer than its class allows.
        let class_wait = Duration::from_secs_f64(known.deadline_ms.clamp(0.0, 6e5) / 1000.0);
        let wait = match head.headers.get(DEADLINE_HEADER) {
            None => class_wait,
            Some(wait) => match wait.to_str().ok().and_then(|v| v.trim().parse().ok()) {
                Some(ms) => class_wait.min(Duration::from_millis(ms)),
                None => return Err(wrong("X-Expires-In-Ms is no number of milliseconds\n")),
            },
        };
        if length.is_some_and(|l| l > BODY_LIMIT as u64) {
            return Err(Rejection(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB\n"));
        }
        let (body, room) = match self.collect(body, length, arrival.head).await {
            Ok(collected) => collected,
            Err(BodyReadError::NoRoom) => {
                return Err(Rejection(StatusCode::SERVICE_UNAVAILABLE, "no room for its body\n"));
            }
            Err(BodyReadError::Broken) => return Err(wrong("the body cannot be read\n")),
            Err(BodyReadError::Slow) => {
                return Err(Rejection(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"));
            }
        };
        if known.idempotency == Idempotency::Idempotent
            && !matches!(&body, RequestBody::Whole(body) if body.is_empty())
        {
            return Err(wrong("a request that is safe to repeat has no body\n"));
        }
        // The time counts from the last byte: of a body that passes on, that comes later.
        let arrived = arrival.waited_since.unwrap_or_else(Instant::now);
        let expires = arrived + wait.saturating_sub(EXPIRY_MARGIN);
        // Whoever holds back its body holds no id.
        let Some(id) = self.ids.open(id) else {
            return Err(Rejection(StatusCode::CONFLICT, "an open request has this X-Trace-Id\n"));
        };
        let effort = header("x-size-hint").and_then(|v| v.trim().parse::<f64>().ok());
        let asked = Asked {
            id: RequestId(0),
            class,
            key: header("x-object").map(stable_hash),
            deadline_ms: 0.0,
            estimated_cost_ms: effort.filter(|e| e.is_finite()).map(|us| us / 1000.0),
            is_retry: header("x-second-try") == Some("1"),
            queued_ms: arrived.elapsed().as_secs_f64() * 1000.0,
        };
        let target =
            head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |p| Uri::from(p.clone()));
        let call = ProxiedRequest {
            method: head.method,
            target,
            headers: onward(head.headers),
            body,
            _room: room,
        };
        Ok(ParsedRequest {
            asked,
            call,
            deadline: arrived + wait.saturating_sub(DECISION_MARGIN),
            expires,
            id,
        })
    }
}

/// Why a body was not read.
enum BodyReadError {
    NoRoom,
    Broken,
    Slow,
}

impl RequestReader {
    /// A whole body, or the first part of one that is too long to be kept. It takes room as it comes: what is
    /// announced and held back takes none from others.
    async fn collect(
        &self,
        mut body: Incoming,
        length: Option<u64>,
        begun: Instant,
    ) -> Result<(RequestBody, Option<OwnedSemaphorePermit>), BodyReadError> {
        let mut kept = BytesMut::new();
        let mut held: Option<OwnedSemaphorePermit> = None;
        let (pace, mut moved) = (MinimumRate::new(begun), begun);
        loop {
            let due = pace.due(kept.len() as u64, moved);
            let frame =
                tokio::time::timeout_at(due.into(), body.frame()).await.map_err(|_| BodyReadError::Slow)?;
            let Some(frame) = frame else { return Ok((RequestBody::Whole(kept.freeze()), held)) };
            // Trailers are for this connection alone.
            let Ok(data) = frame.map_err(|_| BodyReadError::Broken)?.into_data() else { continue };
            moved = Instant::now();
            let more = self.room.clone().try_acquire_many_owned(data.len() as u32);
            let more = more.map_err(|_| BodyReadError::NoRoom)?;
            match &mut held {
                Some(held) => held.merge(more),
                None => held = Some(more),
            }
            kept.extend_from_slice(&data);
            let whole = length == Some(kept.len() as u64);
            if kept.len() > MAX_BUFFERED_BODY && !whole {
                return Ok((
                    RequestBody::Passing(StreamedRequestBody::new(kept.freeze(), body, length, pace)),
                    held,
                ));
            }
        }
    }
}

/// The headers that go on to a backend.
fn onward(mut headers: HeaderMap) -> HeaderMap {
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers
}
