//! Reads a client's request into what the decisions and an endpoint need, or rejects it.
//!
//! What is rejected here costs no endpoint anything and is answered at once. Its connection ends with the
//! answer: the rest of what such a client sends is not wanted, and may not mean what it seems to.

use super::responses::{ClientResponse, closing, full};
use super::trace_ids::{OpenTraceIds, TraceIdGuard};
use crate::headers;
use crate::system::clock::span;
use crate::upstream::{
    MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MinimumRate, ProxiedRequest, RequestBody, StreamedRequestBody,
};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wheelpath::policy::{Idempotency, Request, RequestClass, RequestId};
use wheelpath::settings_file::NameIndex;
use wheelpath::stable_hash::stable_hash;

/// The decisions end a request this long before the client gives up: the client counts from its send, this
/// node from the arrival, and the response has to travel back.
const DECISION_MARGIN: Duration = Duration::from_millis(4);
/// The node ends a request this long before the client gives up, if the decisions have not.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// Upper bound for the deadline of a class, in milliseconds.
const MAX_DEADLINE_MS: f64 = 6e5;

/// Headers that concern one connection only, or that the node sets itself.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Why a request is rejected: the status and text of the response.
#[derive(Debug)]
pub(super) struct BadRequest {
    status: StatusCode,
    text: &'static str,
}

impl BadRequest {
    fn new(status: StatusCode, text: &'static str) -> BadRequest {
        BadRequest { status, text }
    }

    fn malformed(text: &'static str) -> BadRequest {
        BadRequest::new(StatusCode::BAD_REQUEST, text)
    }

    /// The text of the response.
    pub fn text(&self) -> &'static str {
        self.text
    }

    /// The response that says so.
    pub fn into_response(self) -> ClientResponse {
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            full()
        } else {
            closing(self.status, self.text)
        }
    }
}

/// A request as it was read.
pub(super) struct ParsedRequest {
    /// What the decisions need.
    pub request: Request,
    /// What goes on to an endpoint.
    pub proxied: ProxiedRequest,
    /// When the decisions must have ended it.
    pub deadline: Instant,
    /// When this node does so without them.
    pub expires_at: Instant,
    /// Kept for as long as the request is open.
    pub trace_id: TraceIdGuard,
}

/// When a request came.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalTime {
    /// Its head was read.
    pub head_read_at: Instant,
    /// Its first byte came, if it waited for this node to take its connection: its client counts from then.
    pub waited_since: Option<Instant>,
}

/// A body as far as it was read, and the memory that it takes.
struct CollectedBody {
    body: RequestBody,
    memory: Option<OwnedSemaphorePermit>,
}

/// Why a body was not read.
enum BodyReadError {
    NoMemory,
    Broken,
    TooSlow,
}

impl From<BodyReadError> for BadRequest {
    fn from(error: BodyReadError) -> BadRequest {
        match error {
            BodyReadError::NoMemory => {
                BadRequest::new(StatusCode::SERVICE_UNAVAILABLE, "no room for its body\n")
            }
            BodyReadError::Broken => BadRequest::malformed("the body cannot be read\n"),
            BodyReadError::TooSlow => {
                BadRequest::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")
            }
        }
    }
}

/// Reads requests.
pub struct RequestReader {
    names: Rc<NameIndex>,
    classes: Vec<RequestClass>,
    trace_ids: OpenTraceIds,
    /// Bytes that all bodies together may still take.
    memory: Arc<Semaphore>,
}

impl RequestReader {
    /// `memory` is what the bodies of all open requests may take, in bytes.
    pub fn new(names: Rc<NameIndex>, classes: Vec<RequestClass>, memory: usize) -> RequestReader {
        let memory =
            Arc::new(Semaphore::new(memory.clamp(MAX_BUFFERED_BODY_BYTES, Semaphore::MAX_PERMITS)));
        RequestReader { names, classes, trace_ids: OpenTraceIds::default(), memory }
    }

    /// Reads and checks a request. What is wrong with it is answered here; no endpoint hears of it.
    pub(super) async fn read(
        &self,
        arrival: ArrivalTime,
        head: Parts,
        body: Incoming,
    ) -> Result<ParsedRequest, BadRequest> {
        let trace_id = trace_id(&head)?;
        let class_index = self.names.class_index(text(&head, headers::CLASS).unwrap_or_default());
        let class = self.classes.get(class_index);
        let class = class.ok_or(BadRequest::malformed("X-Qos names no class\n"))?;
        let length = body_length(&head)?;
        check_class_agrees(class, &head, length)?;
        let wait = client_wait(class, &head)?;
        if length.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
            return Err(BadRequest::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB\n"));
        }
        let CollectedBody { body, memory } = self.collect(body, length, arrival.head_read_at).await?;
        let is_empty = matches!(&body, RequestBody::Buffered(bytes) if bytes.is_empty());
        if class.idempotency == Idempotency::Idempotent && !is_empty {
            return Err(BadRequest::malformed("a request that is safe to repeat has no body\n"));
        }
        // The time counts from the last byte: of a body that is streamed, that comes later.
        let arrived_at = arrival.waited_since.unwrap_or_else(Instant::now);
        // A client that withholds its body occupies no id.
        let trace_id = self.trace_ids.take(trace_id);
        let conflict = BadRequest::new(StatusCode::CONFLICT, "an open request has this X-Trace-Id\n");
        Ok(ParsedRequest {
            trace_id: trace_id.ok_or(conflict)?,
            request: decision_request(&head, class_index, arrived_at),
            proxied: proxied_request(head, body, memory),
            deadline: arrived_at + wait.saturating_sub(DECISION_MARGIN),
            expires_at: arrived_at + wait.saturating_sub(EXPIRY_MARGIN),
        })
    }

    /// Reads a complete body, or the first part of one that is too long to be buffered. It takes memory as it
    /// comes: what is announced but not sent takes none from others.
    async fn collect(
        &self,
        mut body: Incoming,
        length: Option<u64>,
        begun_at: Instant,
    ) -> Result<CollectedBody, BodyReadError> {
        let mut buffered = BytesMut::new();
        let mut memory: Option<OwnedSemaphorePermit> = None;
        let rate = MinimumRate::new(begun_at);
        let mut moved_at = begun_at;
        loop {
            let deadline = rate.deadline(buffered.len() as u64, moved_at);
            let frame = tokio::time::timeout_at(deadline.into(), body.frame()).await;
            let Some(frame) = frame.map_err(|_| BodyReadError::TooSlow)? else {
                return Ok(CollectedBody { body: RequestBody::Buffered(buffered.freeze()), memory });
            };
            // Trailers are for this connection alone.
            let Ok(data) = frame.map_err(|_| BodyReadError::Broken)?.into_data() else { continue };
            moved_at = Instant::now();
            let more = self.memory.clone().try_acquire_many_owned(data.len() as u32);
            let more = more.map_err(|_| BodyReadError::NoMemory)?;
            match &mut memory {
                Some(memory) => memory.merge(more),
                None => memory = Some(more),
            }
            buffered.extend_from_slice(&data);
            let is_complete = length == Some(buffered.len() as u64);
            if buffered.len() > MAX_BUFFERED_BODY_BYTES && !is_complete {
                let streamed = StreamedRequestBody::new(buffered.freeze(), body, length, rate);
                return Ok(CollectedBody { body: RequestBody::Streamed(streamed), memory });
            }
        }
    }
}

/// The text of a header, if it is there and is text.
fn text(head: &Parts, name: HeaderName) -> Option<&str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

fn trace_id(head: &Parts) -> Result<HeaderValue, BadRequest> {
    let id = head.headers.get(headers::TRACE_ID).filter(|id| !id.is_empty());
    id.cloned().ok_or(BadRequest::malformed("X-Trace-Id is missing\n"))
}

/// The length of the body; none where it comes in chunks, since only their end shows it.
fn body_length(head: &Parts) -> Result<Option<u64>, BadRequest> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Ok(None);
    }
    match head.headers.get(CONTENT_LENGTH) {
        // hyper has already rejected lengths that are not a number.
        Some(length) => Ok(length.to_str().ok().and_then(|length| length.parse().ok())),
        None if head.method == Method::GET => Ok(Some(0)),
        None => Err(BadRequest::new(StatusCode::LENGTH_REQUIRED, "Content-Length is missing\n")),
    }
}

/// The class states how often the request may run; a method that says otherwise is a mistake, and taking it
/// for either could run something twice.
fn check_class_agrees(class: &RequestClass, head: &Parts, length: Option<u64>) -> Result<(), BadRequest> {
    let has_key = head.headers.contains_key(headers::IDEMPOTENCY_KEY);
    let agrees = match class.idempotency {
        Idempotency::Idempotent => head.method == Method::GET && length.is_none_or(|length| length == 0),
        Idempotency::WithKey(_) => head.method == Method::POST && has_key,
        Idempotency::NotIdempotent => head.method == Method::POST && !has_key,
    };
    let disagreement = "method, body and Idempotency-Key do not agree with the class\n";
    if agrees { Ok(()) } else { Err(BadRequest::malformed(disagreement)) }
}

/// For how long the client waits: as it says, and no longer than its class allows.
fn client_wait(class: &RequestClass, head: &Parts) -> Result<Duration, BadRequest> {
    let class_wait = span(class.deadline_ms, MAX_DEADLINE_MS);
    let Some(wait) = head.headers.get(headers::TIMEOUT_MS) else { return Ok(class_wait) };
    let wait_ms = wait.to_str().ok().and_then(|wait| wait.trim().parse().ok());
    let wait_ms = wait_ms.ok_or(BadRequest::malformed("X-Expires-In-Ms is no number of milliseconds\n"))?;
    Ok(class_wait.min(Duration::from_millis(wait_ms)))
}

/// What the decisions need of a request; its id and deadline are the driver's to set.
fn decision_request(head: &Parts, class: usize, arrived_at: Instant) -> Request {
    let cost_us = text(head, headers::COST_ESTIMATE_US).and_then(|cost| cost.trim().parse::<f64>().ok());
    Request {
        id: RequestId(0),
        class,
        key: text(head, headers::OBJECT).map(stable_hash),
        deadline_ms: 0.0,
        estimated_cost_ms: cost_us.filter(|cost| cost.is_finite()).map(|cost| cost / 1000.0),
        is_retry: text(head, headers::CLIENT_RETRY) == Some("1"),
        queued_ms: arrived_at.elapsed().as_secs_f64() * 1000.0,
    }
}

fn proxied_request(head: Parts, body: RequestBody, memory: Option<OwnedSemaphorePermit>) -> ProxiedRequest {
    let path = head.uri.path_and_query().cloned();
    ProxiedRequest {
        method: head.method,
        target: path.map_or_else(|| Uri::from_static("/"), Uri::from),
        headers: without_connection_headers(head.headers),
        body,
        _memory_permit: memory,
    }
}

fn without_connection_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers
}
