//! What this process has done so far, counted by reason: shown by the console and in the log at the end.

use crate::observability::log;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CounterKind {
    /// Requests by how they ended.
    Answer,
    /// Refusals and failures by the decisions' reason.
    AdminError,
    /// Attempts by their outcome.
    Attempt,
    /// Attempts that were decided on and not begun, as something changed meanwhile.
    WithheldReason,
    /// Connections of clients by why they ended.
    Close,
    /// Changes of readiness by what there is now.
    Readiness,
    /// Breaks of an invariant.
    Violation,
}

impl CounterKind {
    fn name(self) -> &'static str {
        match self {
            CounterKind::Answer => "answer",
            CounterKind::AdminError => "refusal",
            CounterKind::Attempt => "attempt",
            CounterKind::WithheldReason => "withheld",
            CounterKind::Close => "close",
            CounterKind::Readiness => "readiness",
            CounterKind::Violation => "violation",
        }
    }
}

/// Something that an invariant of the node forbids. What may be stopped is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A send for a request that has its answer, or whose client has gone.
    SendAfterEnd,
    /// A send to a server that is not in service.
    SendToWithdrawn,
    /// A send past the time of its request.
    SendPastDeadline,
    /// More attempts than allowed, or a second one beside the first where that is not.
    SendBeyondLimit,
    /// A repeat that the class of the request does not allow.
    RepeatAgainstEffect,
    /// A refusal that promises no harm, of a request that may have run.
    RefusalAfterEffect,
    /// The node ends a connection that waits for an answer.
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
            Violation::RepeatAgainstEffect => "repeat-against-effect",
            Violation::RefusalAfterEffect => "refusal-after-effect",
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

    /// Counts a break of an invariant and says so, by the request's id where there is one.
    pub fn violation(&self, violation: Violation, request: &str) {
        self.count(CounterKind::Violation, violation.name());
        log::urgent(&format!("violation: {}: {request}", violation.name()));
    }

    /// All of them in one line. The number of violations always stands there.
    pub fn text(&self) -> String {
        let counts = self.counts.borrow();
        let violations: u64 =
            counts.iter().filter(|((kind, _), _)| *kind == CounterKind::Violation).map(|(_, n)| n).sum();
        let mut text = format!("violations={violations}");
        for ((kind, name), count) in counts.iter() {
            // Writing to a string does not fail.
            let _ = write!(text, " {}.{name}={count}", kind.name());
        }
        text
    }
}
