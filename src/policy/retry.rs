//! Decides whether, where and until when a request is retried, and computes the timeout of each attempt.
//!
//! A retry after an attempt that may have run is called a repeat: it can run the request twice. Retries also
//! multiply the load when capacity is scarcest. So repeats are limited to what the class of the request
//! allows, and each retry takes tokens from a budget that grows with the number of requests. An attempt at
//! an endpoint that failed lately gets a short timeout, so that an endpoint that does not respond costs
//! little time.

use super::class_statistics::ClassStatistics;
use super::endpoint::Location;
use super::event::AttemptOutcome;
use super::pending_request::PendingRequest;
use super::settings::{Idempotency, RequestClass};

/// Initial number of tokens in the retry budget.
const INITIAL_TOKENS: f64 = 3.0;
/// Maximum number of tokens in the retry budget.
const MAX_TOKENS: f64 = 10.0;
/// Tokens that each client request adds to the retry budget.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Cost of a retry after an attempt that may have run, in tokens.
const REPEAT_COST: f64 = 1.0;
/// Cost of a retry after an attempt that did not run, in tokens.
const RETRY_COST_IF_NEVER_RAN: f64 = 0.25;
/// Lower bound of a short timeout, in batch intervals.
const MIN_TIMEOUT_BATCHES: f64 = 2.0;

/// The budget that limits the retries of this node in proportion to its requests: requests add tokens, and
/// retries take them.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates the budget of a node that has not seen any request.
    pub fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// Adds the tokens that a new client request brings.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Returns the cost of a retry after an attempt with this outcome, in tokens.
    pub fn retry_cost(outcome: AttemptOutcome) -> f64 {
        if outcome.proves_not_executed() { RETRY_COST_IF_NEVER_RAN } else { REPEAT_COST }
    }

    /// Returns whether the budget has enough tokens for a retry of this cost.
    pub fn affords(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Returns whether the budget has enough tokens for a retry after an attempt that may have run.
    pub fn affords_repeat(&self) -> bool {
        self.affords(REPEAT_COST)
    }

    /// Takes the cost of a retry. The caller must have checked that the budget affords it.
    pub fn withdraw(&mut self, cost: f64) {
        self.tokens -= cost;
    }
}

/// Returns for how long another attempt at this location may begin, in milliseconds from now. Infinite if no
/// attempt may have run or the class is idempotent; 0 or negative if no attempt may begin.
///
/// Once a request that is not idempotent may have run, it may be sent only to endpoints that drop repeats of
/// that attempt by the idempotency key, and only while these remember the key.
pub(super) fn repeat_window_ms(
    now_ms: f64,
    pending: &PendingRequest,
    class: Option<&RequestClass>,
    location: Location,
) -> f64 {
    let Some(first) = pending.first_attempt_that_may_have_run() else { return f64::INFINITY };
    let Some(class) = class else { return 0.0 };
    match class.idempotency {
        Idempotency::Idempotent => f64::INFINITY,
        Idempotency::WithKey(scope) if scope.covers(first.location, location) => {
            first.sent_at_ms + class.deduplication_window_ms - now_ms
        }
        Idempotency::WithKey(_) | Idempotency::NotIdempotent => 0.0,
    }
}

/// The facts that determine the timeout of one attempt.
#[derive(Debug)]
pub(super) struct AttemptTimeout<'a> {
    pub now_ms: f64,
    pub pending: &'a PendingRequest,
    /// The timeout may extend from the latency objective to the deadline: late answers keep part of their
    /// value, and admission sheds almost nothing.
    pub extends_past_objective: bool,
    /// The endpoint failed lately, the class allows a repeat, and the retry budget affords it.
    pub allows_short_timeout: bool,
    /// Statistics of the request's class; `None` if the class is unknown.
    pub statistics: Option<&'a ClassStatistics>,
    pub batch_interval_ms: f64,
}

impl AttemptTimeout<'_> {
    /// Returns the timeout, in milliseconds; it may be negative. The attempt may last until the latency
    /// objective or the deadline.
    ///
    /// If a short timeout n is allowed, and enough answers were seen to estimate it, the attempt lasts no
    /// longer than n, so that an endpoint that does not respond costs little time.
    pub fn timeout_ms(&self) -> f64 {
        let deadline_ms = self.pending.request.deadline_ms;
        let end_ms = if self.extends_past_objective { deadline_ms } else { self.pending.objective_at_ms };
        let timeout_ms = end_ms.min(deadline_ms) - self.now_ms;
        match self.statistics.and_then(ClassStatistics::short_timeout_ms) {
            Some(short_ms) if self.allows_short_timeout => {
                timeout_ms.min(short_ms.max(MIN_TIMEOUT_BATCHES * self.batch_interval_ms))
            }
            _ => timeout_ms,
        }
    }
}
