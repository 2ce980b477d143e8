//! The guard of every attempt and rejection: whatever the decisions want, nothing begins that a rule
//! forbids.
//!
//! The decisions keep the same rules by themselves. This stands behind them with what the node itself has
//! seen, so that an error of either shows as a violation and goes no further.

use super::counters::Violation;
use wheelpath::policy::{AttemptOutcome, Idempotency, Location, RequestClass, Settings};

/// The decisions and this guard read the clock one after the other, within this time, in milliseconds.
const CLOCK_READ_SLACK_MS: f64 = 1.0;

/// What the node has seen of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRecord {
    /// Where its endpoint stands.
    pub location: Location,
    /// When it was decided on, in milliseconds on the decisions' clock.
    pub sent_at_ms: f64,
    /// How it ended; none while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl AttemptRecord {
    /// It is certain that the request did not run.
    fn never_ran(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::proves_not_executed)
    }
}

/// What is known of a request as an attempt is to begin, or its rejection to be sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts<'a> {
    /// Index of its class.
    pub class: usize,
    /// Its client waits for an answer.
    pub awaits_answer: bool,
    /// When its client gives up, in milliseconds on the decisions' clock.
    pub deadline_ms: f64,
    /// What was sent so far.
    pub attempts: &'a [AttemptRecord],
}

/// Where an attempt is to go.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// Discovery has the endpoint as active, and the operators have not taken it out of service.
    pub in_service: bool,
    /// Where the endpoint stands.
    pub location: Location,
}

/// The rules that attempts and rejections must satisfy.
#[derive(Clone, Debug)]
pub struct InvariantGuard {
    classes: Vec<RequestClass>,
    max_attempts: usize,
    hedging_allowed: bool,
}

impl InvariantGuard {
    /// By these settings.
    pub fn new(settings: &Settings) -> InvariantGuard {
        InvariantGuard {
            classes: settings.classes.clone(),
            max_attempts: settings.max_attempts as usize,
            hedging_allowed: settings.hedging_allowed,
        }
    }

    /// A class that is not known falls under the strictest rule.
    fn idempotency(&self, class: usize) -> Idempotency {
        self.classes.get(class).map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// Whether an attempt may begin.
    ///
    /// # Errors
    /// The rule that it would break.
    pub fn may_send(
        &self,
        now_ms: f64,
        request: &RequestFacts<'_>,
        target: &AttemptTarget,
    ) -> Result<(), Violation> {
        if !request.awaits_answer {
            Err(Violation::SendAfterEnd)
        } else if !target.in_service {
            Err(Violation::SendToWithdrawn)
        } else if now_ms > request.deadline_ms + CLOCK_READ_SLACK_MS {
            Err(Violation::SendPastDeadline)
        } else if !self.is_within_limit(request.attempts) {
            Err(Violation::SendBeyondLimit)
        } else if !self.may_repeat(now_ms, request, target.location) {
            Err(Violation::RepeatAgainstIdempotency)
        } else {
            Ok(())
        }
    }

    /// Whether one more attempt is allowed, as far as their number goes.
    fn is_within_limit(&self, attempts: &[AttemptRecord]) -> bool {
        let is_any_in_flight = attempts.iter().any(|attempt| attempt.outcome.is_none());
        attempts.len() < self.max_attempts && (self.hedging_allowed || !is_any_in_flight)
    }

    /// Whether a further attempt has no further effect.
    fn may_repeat(&self, now_ms: f64, request: &RequestFacts<'_>, location: Location) -> bool {
        let Some(first) = request.attempts.iter().find(|attempt| !attempt.never_ran()) else { return true };
        let window_ms = self.classes.get(request.class).map_or(0.0, |class| class.deduplication_window_ms);
        match self.idempotency(request.class) {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey(scope) => {
                scope.covers(first.location, location)
                    && now_ms <= first.sent_at_ms + window_ms + CLOCK_READ_SLACK_MS
            }
        }
    }

    /// Whether a request may be rejected, which promises that another try does no harm.
    ///
    /// # Errors
    /// The rule that it would break.
    pub fn may_reject(&self, request: &RequestFacts<'_>) -> Result<(), Violation> {
        let may_have_run = request.attempts.iter().any(|attempt| !attempt.never_ran());
        let is_harmless = self.idempotency(request.class).allows_client_retry();
        if may_have_run && !is_harmless { Err(Violation::RejectionAfterExecution) } else { Ok(()) }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/invariants.rs"]
mod tests;
