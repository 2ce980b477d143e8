//! What one request met from its arrival to its end, to be written as one line of the log.

use birchspoke::interface::{BackendId, Outcome, Reason};
use hyper::header::HeaderValue;
use std::fmt::{self, Display, Formatter};
use std::time::Instant;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a server's answer.
    Served,
    /// With a refusal.
    Refused(Reason),
    /// With a failure.
    Failed(Reason),
    /// With a failure, since its time was over before the decisions ended it.
    Expired,
    /// Its client left, or needed nothing more.
    Left,
    /// The process had no more time.
    Stopped,
}

impl Ending {
    /// As counters name it.
    pub fn name(self) -> &'static str {
        match self {
            Ending::Served => "served",
            Ending::Refused(_) => "refused",
            Ending::Failed(_) => "failed",
            Ending::Expired => "expired",
            Ending::Left => "left",
            Ending::Stopped => "stopped",
        }
    }
}

/// Why an attempt that was decided on did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// Its request has ended meanwhile.
    RequestOver,
    /// Its server has left meanwhile.
    ServerWithdrawn,
    /// What an earlier attempt did may be forgotten by now.
    RepeatTooLate,
    /// Part of the body has gone out and is kept nowhere.
    BodySpent,
}

impl Withheld {
    /// As logs and counters name it.
    pub fn name(self) -> &'static str {
        match self {
            Withheld::RequestOver => "request-over",
            Withheld::ServerWithdrawn => "server-withdrawn",
            Withheld::RepeatTooLate => "repeat-too-late",
            Withheld::BodySpent => "body-spent",
        }
    }
}

/// One thing that happened to a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Sent(u32, BackendId),
    Withheld(Withheld),
    Ended(u32, Outcome),
    Answered(Ending),
}

/// What a request met.
#[derive(Debug)]
pub struct Trace {
    id: Option<HeaderValue>,
    arrived: Instant,
    /// With the time since it arrived, in milliseconds.
    steps: Vec<(f32, Step)>,
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

    fn note(&mut self, step: Step) {
        if self.steps.len() < MOST_STEPS {
            self.steps.push((self.arrived.elapsed().as_secs_f32() * 1000.0, step));
        }
    }

    /// An attempt was decided on.
    pub fn sent(&mut self, attempt: u32, backend: BackendId) {
        self.note(Step::Sent(attempt, backend));
    }

    /// It did not begin.
    pub fn withheld(&mut self, why: Withheld) {
        self.note(Step::Withheld(why));
    }

    /// An attempt is over.
    pub fn ended(&mut self, attempt: u32, outcome: Outcome) {
        self.note(Step::Ended(attempt, outcome));
    }

    /// The client has its answer.
    pub fn answered(&mut self, ending: Ending) {
        self.note(Step::Answered(ending));
    }

    /// Served by its first attempt, with nothing else to tell.
    pub fn went_well(&self) -> bool {
        let served = |step: &Step| matches!(step, Step::Answered(Ending::Served));
        self.steps.len() == 3 && self.steps.iter().any(|(_, step)| served(step))
    }
}

impl Display for Trace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.id())?;
        for (ms, step) in &self.steps {
            write!(f, " {ms:.1} ")?;
            match step {
                Step::Sent(attempt, backend) => write!(f, "attempt {attempt} to {:016x}", backend.0)?,
                Step::Withheld(why) => write!(f, "withheld {}", why.name())?,
                Step::Ended(attempt, outcome) => write!(f, "attempt {attempt} {outcome:?}")?,
                Step::Answered(Ending::Refused(why)) => write!(f, "refused {}", why.name())?,
                Step::Answered(Ending::Failed(why)) => write!(f, "failed {}", why.name())?,
                Step::Answered(ending) => write!(f, "{}", ending.name())?,
            }
            write!(f, ",")?;
        }
        Ok(())
    }
}
