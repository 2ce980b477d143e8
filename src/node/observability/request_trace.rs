//! What one request met from its arrival to its end, to be written as one line of the log.

use hyper::header::HeaderValue;
use std::fmt::{self, Display, Formatter};
use std::time::Instant;
use wheelpath::policy::{AttemptOutcome, EndpointId, RejectionReason};

/// Steps that are recorded; what follows is left out. No request should have as many.
const MAX_STEPS: usize = 32;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnding {
    /// With an endpoint's response.
    Served,
    /// With a rejection.
    Rejected(RejectionReason),
    /// With a failure.
    Failed(RejectionReason),
    /// With a failure, since its time was over before the decisions ended it.
    Expired,
    /// Its client left, or needed nothing more.
    ClientLeft,
    /// The process had no more time.
    Stopped,
}

impl RequestEnding {
    /// As logs and counters name it.
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

/// Why an attempt that was decided on did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithheldReason {
    /// Its request has ended meanwhile.
    RequestOver,
    /// Its endpoint has left service meanwhile.
    EndpointWithdrawn,
    /// The endpoint may have forgotten an earlier attempt by now.
    RepeatTooLate,
    /// Part of the body has been sent and is buffered nowhere.
    BodySpent,
}

impl WithheldReason {
    /// As logs and counters name it.
    pub fn name(self) -> &'static str {
        match self {
            WithheldReason::RequestOver => "request-over",
            WithheldReason::EndpointWithdrawn => "server-withdrawn",
            WithheldReason::RepeatTooLate => "repeat-too-late",
            WithheldReason::BodySpent => "body-spent",
        }
    }
}

/// One thing that happened to a request.
#[derive(Clone, Copy, Debug)]
enum TraceEvent {
    Sent { attempt: u32, endpoint: EndpointId },
    Withheld(WithheldReason),
    Ended { attempt: u32, outcome: AttemptOutcome },
    Answered(RequestEnding),
}

#[derive(Clone, Copy, Debug)]
struct TraceStep {
    /// Time since the request arrived, in milliseconds.
    at_ms: f32,
    event: TraceEvent,
}

/// What a request met.
#[derive(Debug)]
pub struct RequestTrace {
    id: Option<HeaderValue>,
    arrived_at: Instant,
    steps: Vec<TraceStep>,
}

impl RequestTrace {
    /// The trace of a request that has just come, by the id that its client gave it.
    pub fn new(id: Option<HeaderValue>) -> RequestTrace {
        RequestTrace { id, arrived_at: Instant::now(), steps: Vec::new() }
    }

    /// The id that the client gave it.
    pub fn id(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("?")
    }

    fn record(&mut self, event: TraceEvent) {
        if self.steps.len() < MAX_STEPS {
            let at_ms = self.arrived_at.elapsed().as_secs_f32() * 1000.0;
            self.steps.push(TraceStep { at_ms, event });
        }
    }

    /// An attempt was decided on.
    pub fn sent(&mut self, attempt: u32, endpoint: EndpointId) {
        self.record(TraceEvent::Sent { attempt, endpoint });
    }

    /// The attempt did not begin.
    pub fn withheld(&mut self, reason: WithheldReason) {
        self.record(TraceEvent::Withheld(reason));
    }

    /// An attempt is over.
    pub fn ended(&mut self, attempt: u32, outcome: AttemptOutcome) {
        self.record(TraceEvent::Ended { attempt, outcome });
    }

    /// The client has its answer.
    pub fn answered(&mut self, ending: RequestEnding) {
        self.record(TraceEvent::Answered(ending));
    }

    /// Served by its first attempt, with nothing else to tell.
    pub fn went_well(&self) -> bool {
        let is_served =
            |step: &TraceStep| matches!(step.event, TraceEvent::Answered(RequestEnding::Served));
        self.steps.len() == 3 && self.steps.iter().any(is_served)
    }
}

impl Display for TraceEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            TraceEvent::Sent { attempt, endpoint } => write!(f, "attempt {attempt} to {:016x}", endpoint.0),
            TraceEvent::Withheld(reason) => write!(f, "withheld {}", reason.name()),
            TraceEvent::Ended { attempt, outcome } => write!(f, "attempt {attempt} {}", outcome.name()),
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
