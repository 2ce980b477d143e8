//! Counts the events of this process by kind and reason.
//!
//! The counts are shown by the `counters` admin command and logged when the process ends. Operators' tools
//! parse the names that are shown, so these must not change.

use super::log;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A group of counters; each has one counter per reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CounterKind {
    /// Requests, by how they ended.
    Answer,
    /// Requests that the balancer rejected or failed, by its reason.
    Rejection,
    /// Attempts, by their outcome.
    Attempt,
    /// Attempts that the balancer requested but the node did not begin, by what prevented them.
    Withheld,
    /// Client connections, by why they were closed.
    Close,
    /// Changes of readiness, by the new state.
    Readiness,
    /// Violations of an invariant, by the invariant.
    Violation,
}

impl CounterKind {
    /// Returns the first part of a counter's name, `KIND.REASON`.
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

/// An action or event that an invariant of the node forbids. The node does not carry out a forbidden
/// attempt or rejection; the other violations can only be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt for a request that has been answered or whose client has disconnected.
    SendAfterEnd,
    /// An attempt at an endpoint that is not in service.
    SendToWithdrawn,
    /// An attempt after the deadline of its request.
    SendPastDeadline,
    /// An attempt beyond the maximum number, or one in parallel to another although hedging is not allowed.
    SendBeyondLimit,
    /// A repeated attempt that the idempotency of the request does not allow.
    RepeatAgainstIdempotency,
    /// A rejection of a request that may have run. A rejection tells the client that a retry is safe.
    RejectionAfterExecution,
    /// The node closed a connection on which a client waits for an answer or for the end of one.
    CloseUnanswered,
    /// The process ended with an unanswered request.
    EndUnanswered,
}

impl Violation {
    /// Returns the reason in the counter's name, which is also the text in the log.
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

/// The counters of this process, all of which start at 0.
#[derive(Debug, Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<(CounterKind, &'static str), u64>>,
}

impl Counters {
    /// Increments the counter `KIND.REASON`.
    pub fn count(&self, kind: CounterKind, reason: &'static str) {
        *self.counts.borrow_mut().entry((kind, reason)).or_default() += 1;
    }

    /// Counts a violation and logs it. `trace_id` is the trace id of the request, or `?` if there is none;
    /// details may follow it.
    pub fn record_violation(&self, violation: Violation, trace_id: &str) {
        self.count(CounterKind::Violation, violation.name());
        log::line_without_rate_limit(&format!("violation: {}: {trace_id}", violation.name()));
    }

    /// Returns all counters above 0 in one line, preceded by the total number of violations, even if that
    /// is 0.
    pub fn text(&self) -> String {
        let counts = self.counts.borrow();
        let violation_counts = counts.iter().filter(|((kind, _), _)| *kind == CounterKind::Violation);
        let violations: u64 = violation_counts.map(|(_, count)| count).sum();
        let mut text = format!("violations={violations}");
        for ((kind, reason), count) in counts.iter() {
            // Writing to a String cannot fail.
            let _ = write!(text, " {}.{reason}={count}", kind.name());
        }
        text
    }
}
