//! Whether, where and for how long a failed attempt is repeated.
//!
//! A repeat may run a request twice, and repeats multiply load when there is least to spare. So a request
//! that may have run is repeated only as far as its class allows, each repeat takes from a budget that
//! grows with the requests, and an attempt at a suspect endpoint gets a short timeout.

use super::class_statistics::ClassStatistics;
use super::endpoint::Location;
use super::event::AttemptOutcome;
use super::pending_request::PendingRequest;
use super::settings::{Idempotency, RequestClass};

/// What the budget holds at first, and at most, in repeats.
const INITIAL_BUDGET: f64 = 3.0;
const MAX_BUDGET: f64 = 10.0;
/// What each request adds to it.
const BUDGET_PER_REQUEST: f64 = 0.1;
/// What a repeat costs, and what it costs where the attempt before did not run.
const REPEAT_COST: f64 = 1.0;
const REPEAT_COST_IF_NEVER_RAN: f64 = 0.25;
/// A short timeout leaves at least so many batches.
const MIN_TIMEOUT_BATCHES: f64 = 2.0;

/// Tokens for repeated attempts.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// The budget of a node that has seen no request.
    pub fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_BUDGET }
    }

    /// A request came.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// What a repeat after this outcome costs.
    pub fn cost(outcome: AttemptOutcome) -> f64 {
        if outcome.proves_not_executed() { REPEAT_COST_IF_NEVER_RAN } else { REPEAT_COST }
    }

    /// Whether a repeat of this cost can be afforded.
    pub fn affords(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Whether a repeat can be afforded after an attempt that may have run.
    pub fn affords_repeat(&self) -> bool {
        self.affords(REPEAT_COST)
    }

    /// Takes the cost of a repeat.
    pub fn withdraw(&mut self, cost: f64) {
        self.tokens -= cost;
    }
}

/// For how long, in milliseconds, a further attempt at a location may still begin: infinite where nothing
/// has run or repeating does no harm, 0 or less where it is not allowed.
///
/// Once an attempt may have run, a request that is not idempotent is sent only where its key is remembered,
/// and for as long as it is.
pub(super) fn repeat_window_ms(
    now_ms: f64,
    request: &PendingRequest,
    class: Option<&RequestClass>,
    location: Location,
) -> f64 {
    let Some(first) = request.first_attempt_that_may_have_run() else { return f64::INFINITY };
    let Some(class) = class else { return 0.0 };
    match class.idempotency {
        Idempotency::Idempotent => f64::INFINITY,
        Idempotency::WithKey(scope) if scope.covers(first.location, location) => {
            first.sent_at_ms + class.deduplication_window_ms - now_ms
        }
        Idempotency::WithKey(_) | Idempotency::NotIdempotent => 0.0,
    }
}

/// What the timeout of an attempt depends on.
#[derive(Debug)]
pub(super) struct AttemptTimeout<'a> {
    pub now_ms: f64,
    pub request: &'a PendingRequest,
    /// An answer after the objective keeps part of its value, and admission sheds next to nothing.
    pub extends_past_objective: bool,
    /// The endpoint has failed lately, and a repeat is allowed and can be afforded.
    pub allows_short_timeout: bool,
    pub statistics: Option<&'a ClassStatistics>,
    pub batch_interval_ms: f64,
}

impl AttemptTimeout<'_> {
    /// n, the timeout in milliseconds: up to the objective or the deadline, and short where the endpoint is
    /// suspect, so that a silent one costs little.
    pub fn timeout_ms(&self) -> f64 {
        let deadline_ms = self.request.request.deadline_ms;
        let end_ms = if self.extends_past_objective { deadline_ms } else { self.request.objective_at_ms };
        let timeout_ms = end_ms.min(deadline_ms) - self.now_ms;
        match self.statistics.and_then(ClassStatistics::short_timeout_ms) {
            Some(short_ms) if self.allows_short_timeout => {
                timeout_ms.min(short_ms.max(MIN_TIMEOUT_BATCHES * self.batch_interval_ms))
            }
            _ => timeout_ms,
        }
    }
}
