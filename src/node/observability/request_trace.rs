//! Records what happens to one request from its arrival to its end, for one log line.

use hyper::header::HeaderValue;
use std::fmt::{self, Display, Formatter};
use std::time::Instant;
use wheelpath::policy::{AttemptOutcome, EndpointId, RejectionReason};

/// Maximum number of steps in a trace; later ones are not recorded. No request is expected to have so many.
const MAX_STEPS: usize = 32;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnding {
    /// The client got an endpoint's response.
    Served,
    /// The balancer rejected the request.
    Rejected(RejectionReason),
    /// The balancer failed the request.
    Failed(RejectionReason),
    /// The node failed the request, because it expired before the balancer ended it.
    Expired,
    /// The client disconnected, or no longer needs an answer.
    ClientLeft,
    /// The node failed the request, because the process had to end.
    Stopped,
}

impl RequestEnding {
    /// Returns the name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            RequestEnding::Served => "served",
            RequestEnding::Rejected(_) => "refused",
            RequestEnding::Failed(_) => "failed",
            RequestEnding::Expired => "expired",
            RequestEnding::ClientLeft => "left",
            RequestEnding::Stopped => "stopped",
        }
    }
}

/// Why an attempt that the balancer requested did not begin. The node checks again right before the first
/// byte is sent, because connecting takes time in which the request or the endpoint may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithheldReason {
    /// The request ended in the meantime.
    RequestOver,
    /// The endpoint was taken out of service in the meantime.
    EndpointWithdrawn,
    /// The deduplication window of an earlier attempt may have ended, so the endpoint might execute the
    /// request a second time.
    RepeatTooLate,
    /// It is not known whether the client still waits.
    ClientUnknown,
    /// An earlier attempt has sent part of the request body, which was not buffered and cannot be sent
    /// again.
    BodySpent,
}

impl WithheldReason {
    /// Returns the name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            WithheldReason::RequestOver => "request-over",
            WithheldReason::ClientUnknown => "client-unknown",
            WithheldReason::EndpointWithdrawn => "server-withdrawn",
            WithheldReason::RepeatTooLate => "repeat-too-late",
            WithheldReason::BodySpent => "body-spent",
        }
    }
}

/// Returns a trace id for the log, or `?` if there is none or it is not visible ASCII.
pub fn trace_id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("?")
}

/// Why an endpoint's response was no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// The response has this status, which is not 200.
    Status(u16),
    /// The response is not valid HTTP, or its body is too long.
    Malformed,
    /// No data of the body arrived for too long.
    Stalled,
    /// The time of the attempt ended while the response was arriving.
    Incomplete,
}

impl Display for ResponseFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ResponseFault::Status(status) => write!(f, "status {status}"),
            ResponseFault::Malformed => f.write_str("malformed"),
            ResponseFault::Stalled => f.write_str("stalled"),
            ResponseFault::Incomplete => f.write_str("incomplete in time"),
        }
    }
}

/// How an attempt ended, for the trace.
#[derive(Clone, Copy, Debug)]
pub struct TracedEnd {
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Why the response was no answer. `None` if there was none, or if it was an answer.
    pub fault: Option<ResponseFault>,
    /// The progress of a streamed request body. `None` if the body is buffered.
    pub body: Option<BodyProgress>,
}

/// How much of a request's streamed body has been handed on to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    /// The bytes of the body handed on so far.
    pub forwarded_bytes: u64,
    /// The announced length of the complete body. `None` if the body is sent in chunks.
    pub length: Option<u64>,
}

impl Display for BodyProgress {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.length {
            Some(length) => write!(f, "{} of {length} body bytes", self.forwarded_bytes),
            None => write!(f, "{} body bytes in chunks", self.forwarded_bytes),
        }
    }
}

/// An event in the course of a request.
#[derive(Clone, Copy, Debug)]
enum TraceEvent {
    AttemptRequested { attempt: u32, endpoint: EndpointId },
    Withheld(WithheldReason),
    Ended { attempt: u32, end: TracedEnd },
    Answered(RequestEnding),
}

/// An event and when it happened.
#[derive(Clone, Copy, Debug)]
struct TraceStep {
    /// Time since the request arrived, in milliseconds.
    at_ms: f32,
    event: TraceEvent,
}

/// The events in the course of one request, in order.
#[derive(Debug)]
pub struct RequestTrace {
    id: Option<HeaderValue>,
    arrived_at: Instant,
    steps: Vec<TraceStep>,
}

impl RequestTrace {
    /// Starts the trace of a request that arrives now. `id` is the trace id from the client's headers, if
    /// there is one.
    pub fn new(id: Option<HeaderValue>) -> RequestTrace {
        RequestTrace { id, arrived_at: Instant::now(), steps: Vec::new() }
    }

    /// Returns the trace id that the client gave, or `?` if it gave none or one that is not visible ASCII.
    pub fn id(&self) -> &str {
        trace_id_text(self.id.as_ref())
    }

    fn record(&mut self, event: TraceEvent) {
        if self.steps.len() < MAX_STEPS {
            let at_ms = self.arrived_at.elapsed().as_secs_f32() * 1000.0;
            self.steps.push(TraceStep { at_ms, event });
        }
    }

    /// Records that the balancer requested an attempt.
    pub fn record_attempt_requested(&mut self, attempt: u32, endpoint: EndpointId) {
        self.record(TraceEvent::AttemptRequested { attempt, endpoint });
    }

    /// Records that an attempt that the balancer requested did not begin.
    pub fn record_withheld(&mut self, reason: WithheldReason) {
        self.record(TraceEvent::Withheld(reason));
    }

    /// Records that an attempt ended.
    pub fn record_ended(&mut self, attempt: u32, end: TracedEnd) {
        self.record(TraceEvent::Ended { attempt, end });
    }

    /// Records that the request got its final answer, or ended without one.
    pub fn record_answered(&mut self, ending: RequestEnding) {
        self.record(TraceEvent::Answered(ending));
    }

    /// Returns `true` if the request was served by its first attempt, and nothing else happened: the three
    /// steps are the attempt, its end and the answer.
    pub fn was_served_by_first_attempt(&self) -> bool {
        let is_served =
            |step: &TraceStep| matches!(step.event, TraceEvent::Answered(RequestEnding::Served));
        self.steps.len() == 3 && self.steps.iter().any(is_served)
    }
}

impl Display for TracedEnd {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.outcome.name())?;
        if let Some(fault) = self.fault {
            write!(f, " ({fault})")?;
        }
        self.body.map_or(Ok(()), |body| write!(f, " after {body}"))
    }
}

impl Display for TraceEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            TraceEvent::AttemptRequested { attempt, endpoint } => {
                write!(f, "attempt {attempt} to {:016x}", endpoint.0)
            }
            TraceEvent::Withheld(reason) => write!(f, "withheld {}", reason.name()),
            TraceEvent::Ended { attempt, end } => write!(f, "attempt {attempt} {end}"),
            TraceEvent::Answered(ending) => match ending {
                RequestEnding::Rejected(reason) | RequestEnding::Failed(reason) => {
                    write!(f, "{} {}", ending.name(), reason.name())
                }
                _ => f.write_str(ending.name()),
            },
        }
    }
}

impl Display for RequestTrace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.id())?;
        for TraceStep { at_ms, event } in &self.steps {
            write!(f, " {at_ms:.1} {event},")?;
        }
        Ok(())
    }
}
