//! What one request met from its arrival to its end, to be written as one line of the log.

use hyper::header::HeaderValue;
use std::fmt::{self, Display, Formatter};
use std::time::Instant;
use wheelpath::policy::{AttemptOutcome, EndpointId, RejectionReason};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnding {
    /// With a server's answer.
    Served,
    /// With a refusal.
    Refused(RejectionReason),
    /// With a failure.
    Failed(RejectionReason),
    /// With a failure, since its time was over before the decisions ended it.
    Expired,
    /// Its client left, or needed nothing more.
    Left,
    /// The process had no more time.
    Stopped,
}

impl RequestEnding {
    /// As counters name it.
    pub fn name(self) -> &'static str {
        match self {
            RequestEnding::Served => "served",
            RequestEnding::Refused(_) => "refused",
            RequestEnding::Failed(_) => "failed",
            RequestEnding::Expired => "expired",
            RequestEnding::Left => "left",
            RequestEnding::Stopped => "stopped",
        }
    }
}

/// Why an attempt that was decided on did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithheldReason {
    /// Its request has ended meanwhile.
    RequestOver,
    /// Its server has left meanwhile.
    ServerWithdrawn,
    /// What an earlier attempt did may be forgotten by now.
    RepeatTooLate,
    /// Part of the body has gone out and is kept nowhere.
    BodySpent,
}

impl WithheldReason {
    /// As logs and counters name it.
    pub fn name(self) -> &'static str {
        match self {
            WithheldReason::RequestOver => "request-over",
            WithheldReason::ServerWithdrawn => "server-withdrawn",
            WithheldReason::RepeatTooLate => "repeat-too-late",
            WithheldReason::BodySpent => "body-spent",
        }
    }
}

/// One thing that happened to a request.
#[derive(Clone, Copy, Debug)]
enum TraceStep {
    Sent(u32, EndpointId),
    WithheldReason(WithheldReason),
    Ended(u32, AttemptOutcome),
    Answered(RequestEnding),
}

/// What a request met.
#[derive(Debug)]
pub struct Trace {
    id: Option<HeaderValue>,
    arrived: Instant,
    /// With the time since it arrived, in milliseconds.
    steps: Vec<(f32, TraceStep)>,
}

/// More steps than any request should have; what follows is left out.
const MOST_STEPS: usize = 32;

impl Trace {
    /// Of a request that has just come.
    pub fn new(id: Option<HeaderValue>) -> Trace {
        Trace { id, arrived: Instant::now(), steps: Vec::new() }
    }

    /// The id that its client gave it.
    pub fn id(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("?")
    }

    fn note(&mut self, step: TraceStep) {
        if self.steps.len() < MOST_STEPS {
            self.steps.push((self.arrived.elapsed().as_secs_f32() * 1000.0, step));
        }
    }

    /// An attempt was decided on.
    pub fn sent(&mut self, attempt: u32, endpoint: EndpointId) {
        self.note(TraceStep::Sent(attempt, endpoint));
    }

    /// It did not begin.
    pub fn withheld(&mut self, why: WithheldReason) {
        self.note(TraceStep::WithheldReason(why));
    }

    /// An attempt is over.
    pub fn ended(&mut self, attempt: u32, outcome: AttemptOutcome) {
        self.note(TraceStep::Ended(attempt, outcome));
    }

    /// The client has its answer.
    pub fn answered(&mut self, ending: RequestEnding) {
        self.note(TraceStep::Answered(ending));
    }

    /// Served by its first attempt, with nothing else to tell.
    pub fn went_well(&self) -> bool {
        let served = |step: &TraceStep| matches!(step, TraceStep::Answered(RequestEnding::Served));
        self.steps.len() == 3 && self.steps.iter().any(|(_, step)| served(step))
    }
}

impl Display for Trace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.id())?;
        for (ms, step) in &self.steps {
            write!(f, " {ms:.1} ")?;
            match step {
                TraceStep::Sent(attempt, endpoint) => {
                    write!(f, "attempt {attempt} to {:016x}", endpoint.0)?
                }
                TraceStep::WithheldReason(why) => write!(f, "withheld {}", why.name())?,
                TraceStep::Ended(attempt, outcome) => write!(f, "attempt {attempt} {outcome:?}")?,
                TraceStep::Answered(RequestEnding::Refused(why)) => write!(f, "refused {}", why.name())?,
                TraceStep::Answered(RequestEnding::Failed(why)) => write!(f, "failed {}", why.name())?,
                TraceStep::Answered(ending) => write!(f, "{}", ending.name())?,
            }
            write!(f, ",")?;
        }
        Ok(())
    }
}
