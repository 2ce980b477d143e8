//! What this process has done so far, counted by reason: shown by the operators' `counters` command and in
//! the log at the end. The names that are shown are read by the operators' tools and stay as they are.

use super::log;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CounterKind {
    /// Requests, by how they ended.
    Answer,
    /// Rejections and failures, by the decisions' reason.
    Rejection,
    /// Attempts, by their outcome.
    Attempt,
    /// Attempts that were decided on and not begun, as something changed meanwhile.
    Withheld,
    /// Connections of clients, by why they ended.
    Close,
    /// Changes of readiness, by what it is now.
    Readiness,
    /// Breaks of an invariant.
    Violation,
}

impl CounterKind {
    fn name(self) -> &'static str {
        match self {
            CounterKind::Answer => "answer",
            CounterKind::Rejection => "refusal",
            CounterKind::Attempt => "attempt",
            CounterKind::Withheld => "withheld",
            CounterKind::Close => "close",
            CounterKind::Readiness => "readiness",
            CounterKind::Violation => "violation",
        }
    }
}

/// Something that an invariant of the node forbids. What can be stopped is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt for a request that has its answer, or whose client has gone.
    SendAfterEnd,
    /// An attempt at an endpoint that is not in service.
    SendToWithdrawn,
    /// An attempt past the deadline of its request.
    SendPastDeadline,
    /// More attempts than allowed, or a second one in parallel where that is not allowed.
    SendBeyondLimit,
    /// A repeat that the idempotency of the request does not allow.
    RepeatAgainstIdempotency,
    /// A rejection, which promises no harm, of a request that may have run.
    RejectionAfterExecution,
    /// The node closes a connection that waits for an answer.
    CloseUnanswered,
    /// The process ends with requests unanswered.
    EndUnanswered,
}

impl Violation {
    fn name(self) -> &'static str {
        match self {
            Violation::SendAfterEnd => "send-after-end",
            Violation::SendToWithdrawn => "send-to-withdrawn",
            Violation::SendPastDeadline => "send-past-deadline",
            Violation::SendBeyondLimit => "send-beyond-limit",
            Violation::RepeatAgainstIdempotency => "repeat-against-effect",
            Violation::RejectionAfterExecution => "refusal-after-effect",
            Violation::CloseUnanswered => "close-unanswered",
            Violation::EndUnanswered => "end-unanswered",
        }
    }
}

/// The counts of one process.
#[derive(Debug, Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<(CounterKind, &'static str), u64>>,
}

impl Counters {
    /// Counts one more.
    pub fn count(&self, kind: CounterKind, name: &'static str) {
        *self.counts.borrow_mut().entry((kind, name)).or_default() += 1;
    }

    /// Counts a break of an invariant and logs it, by the request's trace id where there is one.
    pub fn violation(&self, violation: Violation, trace_id: &str) {
        self.count(CounterKind::Violation, violation.name());
        log::urgent(&format!("violation: {}: {trace_id}", violation.name()));
    }

    /// All of them in one line. The number of violations always stands there.
    pub fn text(&self) -> String {
        let counts = self.counts.borrow();
        let of_violations = counts.iter().filter(|((kind, _), _)| *kind == CounterKind::Violation);
        let violations: u64 = of_violations.map(|(_, count)| count).sum();
        let mut text = format!("violations={violations}");
        for ((kind, name), count) in counts.iter() {
            // Writing to a String cannot fail.
            let _ = write!(text, " {}.{name}={count}", kind.name());
        }
        text
    }
}
