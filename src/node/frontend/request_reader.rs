//! Reads a client's request for the balancer and for an endpoint, or rejects it.
//!
//! An invalid request must not reach an endpoint. It is answered at once, and the response closes the
//! connection, because the rest that the client sends is not needed and could be misread as another request.

use super::body_collector::{BodyCollector, BodyReadError, CollectedBody, IncomingBody};
use super::responses::{ClientResponse, closing, full};
use super::trace_ids::{TraceIdConflict, TraceIdGuard, TraceIds};
use crate::headers;
use crate::snapshot::SharedTraceIds;
use crate::system::clock::clamped_duration;
use crate::system::memory::MemoryBudget;
use crate::system::socket::{ReadAhead, Socket};
use crate::transfer_coding::{TransferCoding, TransferCodingError, transfer_coding};
use crate::upstream::{MAX_BODY_BYTES, ProxiedRequest, RequestBody};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wheelpath::policy::{Idempotency, Request, RequestClass, RequestId};
use wheelpath::settings_file::NameIndex;
use wheelpath::stable_hash::stable_hash;

/// The balancer's deadline for a request is this long before the client gives up. The client counts from the
/// time at which it sends the request, this node from the time of arrival, and the response has to travel
/// back.
const BALANCER_DEADLINE_MARGIN: Duration = Duration::from_millis(4);
/// The driver fails a request this long before the client gives up, if the balancer has not ended it.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// The upper bound for the time that a class allows a request, in milliseconds.
const MAX_DEADLINE_MS: f64 = 6e5;

/// Headers that the node does not forward: they concern only the client's connection, or the node sets them
/// itself.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The reason to reject a request, as the status and text of the response.
#[derive(Debug)]
pub(super) struct RequestRejection {
    status: StatusCode,
    text: &'static str,
}

impl RequestRejection {
    fn new(status: StatusCode, text: &'static str) -> RequestRejection {
        RequestRejection { status, text }
    }

    fn malformed(text: &'static str) -> RequestRejection {
        RequestRejection::new(StatusCode::BAD_REQUEST, text)
    }

    fn no_memory(text: &'static str) -> RequestRejection {
        RequestRejection::new(StatusCode::SERVICE_UNAVAILABLE, text)
    }

    /// The rejection of a request that was not submitted before the process has to end.
    pub fn stopping() -> RequestRejection {
        RequestRejection::new(StatusCode::SERVICE_UNAVAILABLE, "the node stops\n")
    }

    /// Returns the text, which is also the reason in the log.
    pub fn text(&self) -> &'static str {
        self.text
    }

    /// Returns the response to the client. All rejections with status 503 get the response of a full node.
    pub fn into_response(self) -> ClientResponse {
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            full()
        } else {
            closing(self.status, self.text)
        }
    }
}

/// A valid request.
pub(super) struct ParsedRequest {
    /// The request as the balancer sees it. The driver sets its id and deadline.
    pub request: Request,
    /// The request as it is forwarded to an endpoint.
    pub proxied: ProxiedRequest,
    /// When the balancer must have ended the request.
    pub deadline: Instant,
    /// When the driver fails the request if the balancer has not ended it.
    pub expires_at: Instant,
    /// What the client had sent behind the request.
    pub behind: ReadAhead,
    /// Reserves the trace id. The caller must keep it until the request ends.
    pub trace_id_guard: TraceIdGuard,
}

/// The times at which a request arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalTime {
    /// When the complete head had been read.
    pub head_read_at: Instant,
    /// When the first byte arrived, if the request waited in the accept queue: the client counts its time
    /// from about then. `None` if the request did not wait noticeably.
    pub queued_since: Option<Instant>,
}

impl From<TransferCodingError> for RequestRejection {
    fn from(error: TransferCodingError) -> RequestRejection {
        match error {
            TransferCodingError::Unknown => {
                RequestRejection::new(StatusCode::NOT_IMPLEMENTED, "the transfer coding is not known\n")
            }
            TransferCodingError::Malformed => {
                RequestRejection::malformed("Transfer-Encoding does not name chunked once\n")
            }
        }
    }
}

impl From<TraceIdConflict> for RequestRejection {
    fn from(conflict: TraceIdConflict) -> RequestRejection {
        RequestRejection::new(
            StatusCode::CONFLICT,
            match conflict {
                TraceIdConflict::Open => "an open request has this X-Trace-Id\n",
                TraceIdConflict::MayHaveRun => "a request with this X-Trace-Id may have run\n",
            },
        )
    }
}

impl From<BodyReadError> for RequestRejection {
    fn from(error: BodyReadError) -> RequestRejection {
        match error {
            BodyReadError::NoMemory => RequestRejection::no_memory("no memory for the body\n"),
            BodyReadError::Broken => RequestRejection::malformed("the body cannot be read\n"),
            BodyReadError::TooSlow => {
                RequestRejection::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")
            }
        }
    }
}

/// Reads and checks the requests of all clients.
pub struct RequestReader {
    names: Rc<NameIndex>,
    classes: Vec<RequestClass>,
    trace_ids: TraceIds,
    bodies: BodyCollector,
    memory: Rc<MemoryBudget>,
}

impl RequestReader {
    /// Creates a reader for requests of these classes. `body_memory_bytes` is the memory that the buffered
    /// bodies, and the buffered parts of streamed bodies, of all open requests may take up together. A value
    /// below that of one buffered body counts as that of one. Requests are rejected if `memory` does not allow
    /// another one. `shared_trace_ids` is `None` if no other process serves on the listening socket.
    pub fn new(
        names: Rc<NameIndex>,
        classes: Vec<RequestClass>,
        body_memory_bytes: usize,
        memory: Rc<MemoryBudget>,
        shared_trace_ids: Option<SharedTraceIds>,
    ) -> RequestReader {
        let bodies = BodyCollector::new(body_memory_bytes, memory.clone());
        RequestReader { names, classes, trace_ids: TraceIds::new(shared_trace_ids), bodies, memory }
    }

    /// Returns the class that a request names, with its index.
    fn class(&self, head: &Parts) -> Result<(usize, &RequestClass), RequestRejection> {
        let index = self.names.class_index(header_text(head, headers::CLASS).unwrap_or_default());
        let class = self.classes.get(index);
        Ok((index, class.ok_or(RequestRejection::malformed("X-Qos names no class\n"))?))
    }

    /// Collects the body of a request. Rejects the request if its class allows no body and it has one.
    async fn collect_body(
        &self,
        class: &RequestClass,
        incoming: IncomingBody,
        socket: &Socket,
    ) -> Result<CollectedBody, RequestRejection> {
        let collected = self.bodies.collect(incoming, socket).await?;
        let is_empty = matches!(&collected.body, RequestBody::Buffered(bytes) if bytes.is_empty());
        if class.idempotency == Idempotency::Idempotent && !is_empty {
            return Err(RequestRejection::malformed("a request that is safe to repeat has no body\n"));
        }
        Ok(collected)
    }

    /// Reads and checks a request. Returns the rejection if the request is not valid, if its body does not
    /// arrive, or if there is no memory for the body. `socket` is the client's.
    pub(super) async fn read(
        &self,
        arrival: ArrivalTime,
        head: Parts,
        body: Incoming,
        socket: &Socket,
    ) -> Result<ParsedRequest, RequestRejection> {
        if !self.memory.allows_request() {
            return Err(RequestRejection::no_memory("no memory for the request\n"));
        }
        let trace_id = trace_id(&head)?;
        let (class_index, class) = self.class(&head)?;
        let length = body_length(&head)?;
        check_idempotency(class, &head, length)?;
        let timeout = client_timeout(class, &head)?;
        let incoming = IncomingBody { body, length, started_at: arrival.head_read_at };
        let CollectedBody { body, memory } = self.collect_body(class, incoming, socket).await?;
        // The timeout counts from the last byte of the request, or from its arrival in the accept queue. If
        // the client is still sending a streamed body, the deadline and the expiry are postponed accordingly.
        let arrived_at = arrival.queued_since.unwrap_or_else(Instant::now);
        // The id is reserved only now, so that a client that withholds its body does not occupy it.
        let trace_id_guard = self.trace_ids.reserve(trace_id, class)?;
        let request = balancer_request(&head, class_index, arrived_at);
        let proxied = ProxiedRequest {
            method: head.method.clone(),
            target: target(&head),
            headers: without_hop_by_hop_headers(head.headers),
            body,
            client: socket.peer_observer(),
            may_have_run: trace_id_guard.may_have_run(),
            _memory_permit: memory,
        };
        Ok(ParsedRequest {
            behind: proxied.look_for_close_until_quiet().await,
            request,
            proxied,
            trace_id_guard,
            deadline: arrived_at + timeout.saturating_sub(BALANCER_DEADLINE_MARGIN),
            expires_at: arrived_at + timeout.saturating_sub(EXPIRY_MARGIN),
        })
    }
}

/// Returns the value of a header. Returns `None` if the header is absent or is not printable ASCII.
fn header_text(head: &Parts, name: HeaderName) -> Option<&str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the trace id of a request, or rejects a request without one.
fn trace_id(head: &Parts) -> Result<HeaderValue, RequestRejection> {
    let id = head.headers.get(headers::TRACE_ID).filter(|id| !id.is_empty());
    id.cloned().ok_or(RequestRejection::malformed("X-Trace-Id is missing\n"))
}

/// Returns the length of the body. Returns `None` for a chunked body, whose length is not known before its
/// end. Rejects a body that is too long, or in a transfer coding that the node cannot undo.
fn body_length(head: &Parts) -> Result<Option<u64>, RequestRejection> {
    let length = announced_length(head)?;
    if length.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Err(RequestRejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB\n"));
    }
    Ok(length)
}

fn announced_length(head: &Parts) -> Result<Option<u64>, RequestRejection> {
    if transfer_coding(&head.headers)? == TransferCoding::Chunked {
        return Ok(None);
    }
    match head.headers.get(CONTENT_LENGTH) {
        // hyper has already rejected lengths that are not a number.
        Some(length) => Ok(length.to_str().ok().and_then(|length| length.parse().ok())),
        None if head.method == Method::GET => Ok(Some(0)),
        None => Err(RequestRejection::new(StatusCode::LENGTH_REQUIRED, "Content-Length is missing\n")),
    }
}

/// Checks that the method, the body and the idempotency key of a request agree with the idempotency of its
/// class. If they do not, one of them is a mistake, and relying on the wrong one could execute the request
/// twice.
fn check_idempotency(
    class: &RequestClass,
    head: &Parts,
    length: Option<u64>,
) -> Result<(), RequestRejection> {
    let has_key = head.headers.contains_key(headers::IDEMPOTENCY_KEY);
    let agrees = match class.idempotency {
        Idempotency::Idempotent => head.method == Method::GET && length.is_none_or(|length| length == 0),
        Idempotency::WithKey(_) => head.method == Method::POST && has_key,
        Idempotency::NotIdempotent => head.method == Method::POST && !has_key,
    };
    let disagreement = "method, body and Idempotency-Key do not agree with the class\n";
    if agrees { Ok(()) } else { Err(RequestRejection::malformed(disagreement)) }
}

/// Returns how long the client waits for the response: the time in its header, up to the time that its class
/// allows. Without the header, it is the time of the class.
fn client_timeout(class: &RequestClass, head: &Parts) -> Result<Duration, RequestRejection> {
    let class_timeout = clamped_duration(class.deadline_ms, MAX_DEADLINE_MS);
    let Some(timeout) = head.headers.get(headers::TIMEOUT_MS) else { return Ok(class_timeout) };
    let timeout_ms = timeout.to_str().ok().and_then(|timeout| timeout.trim().parse().ok());
    let timeout_ms =
        timeout_ms.ok_or(RequestRejection::malformed("X-Expires-In-Ms is no number of milliseconds\n"))?;
    Ok(class_timeout.min(Duration::from_millis(timeout_ms)))
}

/// Returns the request as the balancer sees it, with an id and a deadline of 0 that the driver replaces.
fn balancer_request(head: &Parts, class: usize, arrived_at: Instant) -> Request {
    let cost_us =
        header_text(head, headers::COST_ESTIMATE_US).and_then(|cost| cost.trim().parse::<f64>().ok());
    Request {
        id: RequestId(0),
        class,
        key: header_text(head, headers::OBJECT).map(stable_hash),
        deadline_ms: 0.0,
        estimated_cost_ms: cost_us.filter(|cost| cost.is_finite()).map(|cost| cost / 1000.0),
        is_retry: header_text(head, headers::CLIENT_RETRY) == Some("1"),
        queued_ms: arrived_at.elapsed().as_secs_f64() * 1000.0,
    }
}

/// Returns the path and query to forward.
fn target(head: &Parts) -> Uri {
    head.uri.path_and_query().cloned().map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn without_hop_by_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
