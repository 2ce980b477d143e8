//! One attempt: what is sent, what came back, and what that proves.

use super::connection::{ExchangeError, ReceivedResponse, UpstreamConnection};
use super::pool::{ConnectionRequest, PooledConnection, Upstream};
use super::request_body::ProxiedRequest;
use super::response_body::{ResponseBody, StreamEnd, StreamedResponseBody};
use crate::headers;
use crate::observability::request_trace::WithheldReason;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use wheelpath::load_report_text;
use wheelpath::policy::{AttemptOutcome, EndpointId, LoadReport};

/// Time in which bytes that the system already holds are read.
const LAST_READ_TIME: Duration = Duration::from_millis(1);

/// One attempt: what is sent, where, and for how long it is waited for.
pub struct Attempt {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Where that listens.
    pub address: SocketAddr,
    /// What to send.
    pub proxied: Rc<ProxiedRequest>,
    /// When to stop waiting. With a streamed body, this moves by the time from `started_at` to the body's
    /// end.
    pub deadline: Instant,
    /// Until when its first byte may go out.
    pub send_by: Instant,
    /// When it was decided on.
    pub started_at: Instant,
}

impl Attempt {
    /// Waits until the attempt's time is over.
    async fn overdue(&self) {
        let complete_at = self.proxied.body_complete().await;
        let delay = complete_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(self.started_at));
        tokio::time::sleep_until((self.deadline + delay).into()).await;
    }
}

/// An endpoint's response.
pub struct UpstreamResponse {
    /// Its body.
    pub body: ResponseBody,
    /// What kind of body that is, if known.
    pub content_type: Option<HeaderValue>,
}

/// What an attempt brought.
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The response, if it was answered.
    pub response: Option<UpstreamResponse>,
    /// The load report, if there was one.
    pub load: LoadReport,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, response: None, load: LoadReport::default() }
    }
}

/// What becomes of an attempt.
pub enum AttemptEnd {
    /// It is over; a connection that may be kept comes back.
    Complete(AttemptResult, Option<UpstreamConnection>),
    /// A streamed response has begun. Its end is reported later, or not at all where the client leaves.
    Streaming(AttemptResult, oneshot::Receiver<StreamEnd>),
}

impl AttemptEnd {
    fn without_response(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd::Complete(outcome.into(), None)
    }
}

/// What a connection had carried before an attempt, in bytes.
struct Carried {
    read: u64,
    written: u64,
}

impl Carried {
    fn by(connection: &UpstreamConnection) -> Carried {
        Carried { read: connection.socket.read(), written: connection.socket.written() }
    }
}

impl Upstream {
    /// Sends one attempt and waits for its end, or for a streamed response's beginning. `still_wanted`
    /// checks, once there is a connection, that the attempt may still begin.
    pub async fn send_attempt(
        &self,
        attempt: &Attempt,
        still_wanted: impl Fn() -> Result<(), WithheldReason>,
    ) -> AttemptEnd {
        let Attempt { endpoint, address, deadline, send_by, .. } = *attempt;
        let wanted = ConnectionRequest { endpoint, address, deadline, send_by };
        let PooledConnection { mut connection, idle_for } = match self.connection(wanted).await {
            Ok(found) => found,
            Err(outcome) => return AttemptEnd::without_response(outcome),
        };
        // Connecting took time: the endpoint may have been drained meanwhile, or the deduplication window
        // may be over.
        if let Err(reason) = still_wanted() {
            return AttemptEnd::without_response(outcome_of_withheld(reason));
        }
        let before = Carried::by(&connection);
        let received = exchange(attempt, &mut connection).await;
        // Silence says nothing about the connection.
        if let Some(received) = &received {
            let is_broken = matches!(received, Err(ExchangeError::Broken(_)));
            self.record_use(idle_for, is_broken && connection.socket.read() == before.read);
        }
        let error = match received {
            Some(Ok(response)) => return end_of_response(response, connection),
            Some(Err(error)) => error,
            None => {
                let outcome = outcome_of_silence(attempt, &connection, &before);
                return AttemptEnd::without_response(outcome);
            }
        };
        let outcome = outcome_of_error(attempt, &connection, &before, &error);
        if outcome == AttemptOutcome::ConnectionReset {
            self.close_idle(endpoint);
        }
        AttemptEnd::without_response(outcome)
    }
}

/// Sends the request and waits for the response, until the attempt is overdue or the request's body stalls;
/// none then.
async fn exchange(
    attempt: &Attempt,
    connection: &mut UpstreamConnection,
) -> Option<Result<ReceivedResponse, ExchangeError>> {
    let time_left = attempt.deadline.saturating_duration_since(Instant::now());
    let request = attempt.proxied.to_endpoint(attempt.address, time_left);
    let socket = connection.socket.clone();
    let overdue = async {
        attempt.overdue().await;
        // Bytes that the system has by then came in time, even if this task is polled late.
        if !socket.quiet() {
            tokio::time::sleep(LAST_READ_TIME).await;
        }
    };
    tokio::select! {
        biased;
        received = connection.request(request) => Some(received),
        () = overdue => None,
        () = attempt.proxied.body_stalled() => None,
    }
}

/// How an attempt counts that was withheld after its connection was made.
fn outcome_of_withheld(reason: WithheldReason) -> AttemptOutcome {
    match reason {
        // The request may go to another endpoint.
        WithheldReason::EndpointWithdrawn => AttemptOutcome::ConnectFailed,
        _ => AttemptOutcome::NotSent,
    }
}

/// What the silence of an endpoint proves.
fn outcome_of_silence(
    attempt: &Attempt,
    connection: &UpstreamConnection,
    before: &Carried,
) -> AttemptOutcome {
    if attempt.proxied.incomplete_body().is_some() {
        // An endpoint runs nothing before the last byte: neither the client's fault nor its own.
        AttemptOutcome::NotSent
    } else if connection.socket.written() == before.written {
        AttemptOutcome::ConnectFailed
    } else if connection.socket.read() == before.read {
        AttemptOutcome::TimedOut
    } else {
        // An endpoint that says anything at all is not silent.
        AttemptOutcome::ErrorResponse
    }
}

/// What a broken connection, or a response that cannot be read, proves.
fn outcome_of_error(
    attempt: &Attempt,
    connection: &UpstreamConnection,
    before: &Carried,
    error: &ExchangeError,
) -> AttemptOutcome {
    let incomplete = attempt.proxied.incomplete_body();
    if incomplete.is_some_and(|body| body.is_broken()) {
        return AttemptOutcome::NotSent;
    }
    // Not one byte of it left this node, or not the last one: it never ran.
    if incomplete.is_some() || connection.socket.written() == before.written {
        return AttemptOutcome::ConnectFailed;
    }
    // What was written may have run.
    match error {
        ExchangeError::Malformed => AttemptOutcome::ErrorResponse,
        ExchangeError::Broken(_) => AttemptOutcome::ConnectionReset,
    }
}

/// A buffered response ends the attempt; a longer one is streamed to the client.
fn end_of_response(response: ReceivedResponse, connection: UpstreamConnection) -> AttemptEnd {
    let ReceivedResponse { head, first, rest } = response;
    match rest {
        None => AttemptEnd::Complete(result_of(&head, ResponseBody::buffered(first)), Some(connection)),
        Some(rest) => begin_stream(connection, &head, first, rest),
    }
}

fn begin_stream(connection: UpstreamConnection, head: &Parts, first: Bytes, rest: Incoming) -> AttemptEnd {
    if head.status != StatusCode::OK {
        // Nobody wants the rest of it.
        return AttemptEnd::Complete(result_of(head, ResponseBody::buffered(Bytes::new())), None);
    }
    let (body, end) = StreamedResponseBody::new(connection, first, rest);
    AttemptEnd::Streaming(result_of(head, ResponseBody::Streamed(Box::new(body))), end)
}

/// What the head of a response says.
fn result_of(head: &Parts, body: ResponseBody) -> AttemptResult {
    let header = |name: HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
    let load = header(headers::LOAD_REPORT).map(load_report_text::parse_header).unwrap_or_default();
    let not_executed = header(headers::NOT_EXECUTED) == Some("1");
    let outcome = match head.status {
        StatusCode::OK => AttemptOutcome::Answered,
        // The only proof that an endpoint gives; any other status may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_executed => {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::ErrorResponse,
    };
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let response = (outcome == AttemptOutcome::Answered).then_some(UpstreamResponse { body, content_type });
    AttemptResult { outcome, response, load }
}
