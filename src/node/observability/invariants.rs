//! The one guard of sending and repeating: whatever the decisions want, nothing begins that a rule forbids.
//!
//! The decisions keep the same rules by themselves. This stands behind them with what the node itself has seen, so that an
//! error of either shows as a violation and goes no further.

use crate::observability::counters::Violation;
use wheelpath::policy::{AttemptOutcome, DeduplicationScope, Idempotency, RequestClass, Settings};

/// The decisions and this guard read the clock one after the other.
const READ_MS: f64 = 1.0;

/// What the node has seen of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The zone and cell of its server.
    pub zone: u16,
    /// See `zone`.
    pub cell: u32,
    /// When it was decided on, on the decisions' clock.
    pub sent_ms: f64,
    /// How it ended; none while it is out.
    pub outcome: Option<AttemptOutcome>,
}

impl AttemptRecord {
    /// It is certain that it never ran.
    fn never_ran(&self) -> bool {
        matches!(
            self.outcome,
            Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent | AttemptOutcome::Rejected)
        )
    }
}

/// What is known of a request as an attempt is to begin, or its end to be told.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts<'a> {
    /// Index of its class.
    pub class: usize,
    /// Its client waits for an answer.
    pub waits: bool,
    /// When its client gives up.
    pub deadline_ms: f64,
    /// What was sent so far.
    pub attempts: &'a [AttemptRecord],
}

/// Where an attempt is to go.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// The list has the server, as one that serves, and the operators have not taken it out of service.
    pub in_service: bool,
    /// The server's zone and cell.
    pub zone: u16,
    /// See `zone`.
    pub cell: u32,
}

/// The rules that sends and refusals are held to.
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

    fn effect(&self, class: usize) -> (Idempotency, f64) {
        self.classes
            .get(class)
            .map_or((Idempotency::NotIdempotent, 0.0), |c| (c.idempotency, c.deduplication_window_ms))
    }

    /// Whether an attempt may begin.
    pub fn may_send(
        &self,
        now_ms: f64,
        request: &RequestFacts<'_>,
        place: &AttemptTarget,
    ) -> Result<(), Violation> {
        let pending = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
        if !request.waits {
            Err(Violation::SendAfterEnd)
        } else if !place.in_service {
            Err(Violation::SendToWithdrawn)
        } else if now_ms > request.deadline_ms + READ_MS {
            Err(Violation::SendPastDeadline)
        } else if request.attempts.len() >= self.max_attempts || (pending && !self.hedging_allowed) {
            Err(Violation::SendBeyondLimit)
        } else if !self.may_repeat(now_ms, request, place) {
            Err(Violation::RepeatAgainstEffect)
        } else {
            Ok(())
        }
    }

    /// Whether a further attempt has no further effect.
    fn may_repeat(&self, now_ms: f64, request: &RequestFacts<'_>, place: &AttemptTarget) -> bool {
        let Some(first) = request.attempts.iter().find(|attempt| !attempt.never_ran()) else { return true };
        match self.effect(request.class) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::NotIdempotent, _) => false,
            (Idempotency::WithKey(group), remembered_ms) => {
                let same_group = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == place.zone,
                    DeduplicationScope::Cell => first.cell == place.cell,
                };
                same_group && now_ms <= first.sent_ms + remembered_ms + READ_MS
            }
        }
    }

    /// Whether a request may be refused, which promises that another try does no harm.
    pub fn may_refuse(&self, request: &RequestFacts<'_>) -> Result<(), Violation> {
        let may_have_run = request.attempts.iter().any(|attempt| !attempt.never_ran());
        let harmless = matches!(
            self.effect(request.class).0,
            Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All)
        );
        if may_have_run && !harmless { Err(Violation::RefusalAfterEffect) } else { Ok(()) }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/guard.rs"]
mod tests;
