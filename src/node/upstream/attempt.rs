//! Sends one attempt to an endpoint and determines its outcome.
//!
//! Whether a failed request may be sent again depends on whether the endpoint may have executed it. The
//! outcome of an attempt therefore states whether that is possible. It is determined from the bytes that were
//! written and read on the connection, from the part of the request's body that was sent, and from the
//! status and headers of the response.

use super::connection::{BufferLimits, ExchangeError, ReceivedResponse, UpstreamConnection, WaitEnd};
use super::pool::{ConnectionRequest, PooledConnection, Upstream};
use super::proxied_request::ProxiedRequest;
use super::response_body::{ResponseBody, StreamEnd, StreamedResponseBody};
use crate::headers;
use crate::observability::request_trace::{ResponseFault, WithheldReason};
use crate::system::memory::MemoryBudget;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderMap, HeaderName};
use hyper::http::response::Parts;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use wheelpath::load_report_text;
use wheelpath::policy::{AttemptOutcome, EndpointId, LoadReport};

/// If no data of a short response body of known length arrives for this time, an attempt whose request may be
/// repeated gives up the response.
const SHORT_BODY_STALL_TIMEOUT: Duration = Duration::from_millis(200);
/// For how long an overdue attempt still reads response bytes that the kernel received before the deadline.
const OVERDUE_READ_TIME: Duration = Duration::from_millis(1);

/// One attempt to send a request to an endpoint.
pub struct Attempt {
    /// The endpoint that is to execute the request.
    pub endpoint: EndpointId,
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The request to send. Several attempts may share it.
    pub proxied: Rc<ProxiedRequest>,
    /// The time at which the node stops waiting for the response. If the request's body is streamed, the
    /// deadline moves by the time from `started_at` until the client had sent the body.
    pub deadline: Instant,
    /// The latest time at which the first byte of the request may be sent.
    pub send_by: Instant,
    /// The time at which the driver started the attempt, before the node connects.
    pub started_at: Instant,
    /// Whether the request may be sent again after this attempt although it may have run.
    pub may_be_repeated: bool,
}

/// The headers that go to the client with the body of a response. Without the first one, the client would
/// take the coded body for the content.
const CONTENT_HEADERS: [HeaderName; 2] = [CONTENT_ENCODING, CONTENT_TYPE];

/// The part of an endpoint's response that goes to the client.
pub struct UpstreamResponse {
    /// The body, which may still be arriving from the endpoint.
    pub body: ResponseBody,
    /// The headers that tell what the body is, from [`CONTENT_HEADERS`].
    pub content_headers: HeaderMap,
}

/// The outcome of an attempt, and what the node received from the endpoint.
pub struct AttemptResult {
    /// How the attempt ended. For a streamed response, the outcome so far.
    pub outcome: AttemptOutcome,
    /// The response. `None` unless the outcome is [`AttemptOutcome::Answered`].
    pub response: Option<UpstreamResponse>,
    /// The load report of the response. All its figures are absent if there was no report.
    pub load: LoadReport,
    /// Why the response was no answer, for the trace. `None` if there was none, or if it was an answer.
    pub fault: Option<ResponseFault>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, response: None, load: LoadReport::default(), fault: None }
    }
}

impl From<ResponseFault> for AttemptResult {
    fn from(fault: ResponseFault) -> AttemptResult {
        AttemptResult { fault: Some(fault), ..AttemptOutcome::ErrorResponse.into() }
    }
}

/// The state in which [`Upstream::send_attempt`] leaves an attempt.
pub enum AttemptEnd {
    /// The attempt is over. Holds the connection if it may be usable for another request.
    Complete(AttemptResult, Option<UpstreamConnection>),
    /// A streamed response has started. The receiver yields the end of the response, or an error if the
    /// client disconnects before that.
    Streaming(AttemptResult, oneshot::Receiver<StreamEnd>),
}

impl AttemptEnd {
    fn without_response(result: impl Into<AttemptResult>) -> AttemptEnd {
        AttemptEnd::Complete(result.into(), None)
    }
}

/// The total numbers of bytes that a connection has read and written.
struct ByteCounts {
    read: u64,
    written: u64,
}

impl ByteCounts {
    fn of(connection: &UpstreamConnection) -> ByteCounts {
        ByteCounts { read: connection.socket.bytes_read(), written: connection.socket.bytes_written() }
    }
}

impl Upstream {
    /// Sends one attempt and waits for its end, or for the start of a streamed response.
    ///
    /// Calls `check_before_send` once a connection is available. If that returns an error, nothing is sent.
    pub async fn send_attempt(
        &self,
        attempt: &Attempt,
        check_before_send: impl Fn() -> Result<(), WithheldReason>,
    ) -> AttemptEnd {
        let Attempt { endpoint, address, deadline, send_by, .. } = *attempt;
        let connection_request = ConnectionRequest { endpoint, address, deadline, send_by };
        let pooled = self.acquire_connection(connection_request).await;
        let PooledConnection { mut connection, idle_for } = match pooled {
            Ok(pooled) => pooled,
            Err(outcome) => return AttemptEnd::without_response(outcome),
        };
        // Connecting takes time: meanwhile the endpoint may have been drained, or the deduplication window
        // may have ended.
        if let Err(reason) = check_before_send() {
            return AttemptEnd::without_response(outcome_of_withheld_attempt(reason));
        }
        let bytes_before = ByteCounts::of(&connection);
        let received = exchange_until_overdue(attempt, &mut connection, &self.memory).await;
        // Without a response it is not known whether the connection was intact, so its use is not recorded.
        if let Some(received) = &received {
            let is_broken = matches!(received, Err(ExchangeError::Broken(_)));
            self.record_use(idle_for, is_broken && connection.socket.bytes_read() == bytes_before.read);
        }
        let error = match received {
            Some(Ok(response)) => return end_of_response(response, connection),
            Some(Err(error)) => error,
            None => {
                let result = result_without_response(attempt, &connection, &bytes_before);
                return AttemptEnd::without_response(result);
            }
        };
        let result = result_of_error(attempt, &connection, &bytes_before, &error);
        if result.outcome == AttemptOutcome::ConnectionReset {
            self.close_idle(endpoint);
        }
        AttemptEnd::without_response(result)
    }
}

/// Sends the request and waits for the response. Returns `None` if the attempt is overdue or the request's
/// body stalls.
async fn exchange_until_overdue(
    attempt: &Attempt,
    connection: &mut UpstreamConnection,
    memory: &MemoryBudget,
) -> Option<Result<ReceivedResponse, ExchangeError>> {
    let time_left = attempt.deadline.saturating_duration_since(Instant::now());
    let request = attempt.proxied.to_endpoint(attempt.address, time_left);
    let socket = connection.socket.clone();
    let overdue = async {
        attempt.proxied.wait_until_due(attempt.started_at, attempt.deadline).await;
        // Bytes that the kernel holds by now arrived in time, even if this task is polled late.
        if !socket.is_open_without_unread_bytes() {
            tokio::time::sleep(OVERDUE_READ_TIME).await;
        }
    };
    let wait_end = async {
        tokio::select! {
            biased;
            () = overdue => WaitEnd::Overdue,
            () = attempt.proxied.wait_until_body_stalled() => WaitEnd::RequestStalled,
        }
    };
    // A response that stalls is given up early only if another attempt may bring one.
    let stall_timeout = attempt.may_be_repeated.then_some(SHORT_BODY_STALL_TIMEOUT);
    connection.request(request, wait_end, BufferLimits { memory, stall_timeout }).await
}

/// Returns the outcome of an attempt that was withheld after a connection was available.
fn outcome_of_withheld_attempt(reason: WithheldReason) -> AttemptOutcome {
    match reason {
        // The request may still be sent to another endpoint.
        WithheldReason::EndpointWithdrawn => AttemptOutcome::ConnectFailed,
        _ => AttemptOutcome::NotSent,
    }
}

/// Returns the result of an attempt for which no complete response came in time.
fn result_without_response(
    attempt: &Attempt,
    connection: &UpstreamConnection,
    bytes_before: &ByteCounts,
) -> AttemptResult {
    if attempt.proxied.incomplete_body().is_some() {
        // An endpoint executes nothing before it has received the last byte, so the request did not run.
        // With `NotSent`, the delay counts against neither the client nor the endpoint.
        AttemptOutcome::NotSent.into()
    } else if connection.socket.bytes_written() == bytes_before.written {
        AttemptOutcome::ConnectFailed.into()
    } else if connection.socket.bytes_read() == bytes_before.read {
        AttemptOutcome::TimedOut.into()
    } else {
        // Part of a response came. `TimedOut` would state that the endpoint does not respond.
        ResponseFault::Incomplete.into()
    }
}

/// Returns the result of an attempt whose connection broke, or whose response is malformed or stalled.
fn result_of_error(
    attempt: &Attempt,
    connection: &UpstreamConnection,
    bytes_before: &ByteCounts,
    error: &ExchangeError,
) -> AttemptResult {
    let incomplete_body = attempt.proxied.incomplete_body();
    if incomplete_body.is_some_and(|body| body.has_failed()) {
        // The client's side is at fault, and the endpoint has not received the complete request.
        return AttemptOutcome::NotSent.into();
    }
    // Either nothing of the request or not all of its body left this node, so the request did not run.
    if incomplete_body.is_some() || connection.socket.bytes_written() == bytes_before.written {
        return AttemptOutcome::ConnectFailed.into();
    }
    // Bytes of the request were written, so it may have run.
    match error {
        ExchangeError::Malformed => ResponseFault::Malformed.into(),
        ExchangeError::Stalled => ResponseFault::Stalled.into(),
        ExchangeError::Broken(_) => AttemptOutcome::ConnectionReset.into(),
    }
}

/// Ends the attempt if the response is buffered completely; streams a longer response to the client.
fn end_of_response(response: ReceivedResponse, connection: UpstreamConnection) -> AttemptEnd {
    let ReceivedResponse { head, prefix, rest } = response;
    match rest {
        None => AttemptEnd::Complete(result_of(&head, ResponseBody::buffered(prefix)), Some(connection)),
        Some(rest) => start_stream(connection, &head, prefix, rest),
    }
}

fn start_stream(connection: UpstreamConnection, head: &Parts, prefix: Bytes, rest: Incoming) -> AttemptEnd {
    if head.status != StatusCode::OK {
        // Only the body of a response with status 200 goes to the client. Dropping the connection discards
        // the rest of this one.
        return AttemptEnd::Complete(result_of(head, ResponseBody::buffered(Bytes::new())), None);
    }
    let (body, end) = StreamedResponseBody::new(connection, prefix, rest);
    AttemptEnd::Streaming(result_of(head, ResponseBody::Streamed(Box::new(body))), end)
}

/// Derives the result of an attempt from the head of its response.
fn result_of(head: &Parts, body: ResponseBody) -> AttemptResult {
    let header = |name: HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
    let load = header(headers::LOAD_REPORT).map(load_report_text::parse_header).unwrap_or_default();
    let not_executed = header(headers::NOT_EXECUTED) == Some("1");
    let outcome = match head.status {
        StatusCode::OK => AttemptOutcome::Answered,
        // Only these responses prove that the request did not run; with any other status it may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_executed => {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::ErrorResponse,
    };
    let response = (outcome == AttemptOutcome::Answered)
        .then(|| UpstreamResponse { body, content_headers: content_headers(&head.headers) });
    let fault = (head.status != StatusCode::OK).then(|| ResponseFault::Status(head.status.as_u16()));
    AttemptResult { outcome, response, load, fault }
}

/// Returns the headers of a response that its body cannot be understood without.
fn content_headers(headers: &HeaderMap) -> HeaderMap {
    let mut content_headers = HeaderMap::new();
    for name in CONTENT_HEADERS {
        for value in headers.get_all(&name) {
            content_headers.append(name.clone(), value.clone());
        }
    }
    content_headers
}
