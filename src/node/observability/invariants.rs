//! Checks every attempt and every rejection against the node's invariants before it is carried out.
//!
//! The balancer follows the same rules on its own. This check repeats them independently, using only what
//! the node itself has observed, so that a bug on either side becomes visible as a violation and does no
//! harm.

use super::counters::Violation;
use wheelpath::policy::{AttemptOutcome, Idempotency, Location, RequestClass, Settings};

/// Tolerance for deadlines and deduplication windows, in milliseconds. When a request arrives and when its
/// streamed body is complete, the driver reads the clock once for this check and then for the balancer. The
/// two readings are expected to be at most this far apart.
const CLOCK_READ_SLACK_MS: f64 = 1.0;

/// What the node has observed of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRecord {
    /// Zone and cell of the attempt's endpoint.
    pub location: Location,
    /// When the balancer ordered the attempt, in milliseconds on its clock.
    pub sent_at_ms: f64,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl AttemptRecord {
    /// Returns `true` if it is certain that the endpoint did not execute the request.
    pub fn was_not_executed(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::proves_not_executed)
    }
}

/// What the node knows about a request when an attempt is to begin or a rejection is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts<'a> {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Whether the client still waits for an answer.
    pub awaits_answer: bool,
    /// Until when the client waits, in milliseconds on the balancer's clock.
    pub deadline_ms: f64,
    /// All attempts so far, in the order in which they were ordered.
    pub attempts: &'a [AttemptRecord],
}

/// The endpoint that an attempt is to be sent to.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// Whether discovery lists the endpoint as active and operators have not taken it out of service.
    pub in_service: bool,
    /// Zone and cell of the endpoint.
    pub location: Location,
}

/// Checks attempts and rejections against the limits in the settings.
#[derive(Clone, Debug)]
pub struct InvariantGuard {
    classes: Vec<RequestClass>,
    max_attempts: usize,
    hedging_allowed: bool,
}

impl InvariantGuard {
    /// Copies the limits and classes to check against from `settings`.
    pub fn new(settings: &Settings) -> InvariantGuard {
        InvariantGuard {
            classes: settings.classes.clone(),
            max_attempts: settings.max_attempts as usize,
            hedging_allowed: settings.hedging_allowed,
        }
    }

    /// Returns the idempotency of a class. An unknown class gets the strictest rule.
    fn idempotency(&self, class: usize) -> Idempotency {
        self.classes.get(class).map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// Returns whether a request of a class may be sent again after an attempt that may have run.
    pub fn allows_repeats(&self, class: usize) -> bool {
        self.idempotency(class) != Idempotency::NotIdempotent
    }

    /// Checks whether an attempt may begin at `now_ms`, in milliseconds on the balancer's clock.
    ///
    /// # Errors
    /// The first invariant that the attempt would violate.
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

    /// Returns `true` if the number of attempts, and of those in flight, allows one more.
    fn is_within_limit(&self, attempts: &[AttemptRecord]) -> bool {
        let is_any_in_flight = attempts.iter().any(|attempt| attempt.outcome.is_none());
        attempts.len() < self.max_attempts && (self.hedging_allowed || !is_any_in_flight)
    }

    /// Returns `true` if one more attempt cannot execute the request a second time, or if a second
    /// execution does no harm. With an idempotency key, that holds where the endpoint shares the key with
    /// the endpoint of the first attempt that may have run, and only within the deduplication window.
    fn may_repeat(&self, now_ms: f64, request: &RequestFacts<'_>, location: Location) -> bool {
        let Some(first) = request.attempts.iter().find(|attempt| !attempt.was_not_executed()) else {
            return true;
        };
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

    /// Checks whether a request may be rejected. A rejection tells the client that it may retry elsewhere
    /// at any time without harm.
    ///
    /// # Errors
    /// The invariant that the rejection would violate.
    pub fn may_reject(&self, request: &RequestFacts<'_>) -> Result<(), Violation> {
        let may_have_run = request.attempts.iter().any(|attempt| !attempt.was_not_executed());
        let is_harmless = self.idempotency(request.class).allows_client_retry();
        if may_have_run && !is_harmless { Err(Violation::RejectionAfterExecution) } else { Ok(()) }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/invariants.rs"]
mod tests;
