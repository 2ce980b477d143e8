//! Decides which requests may be the trial of a congested endpoint.
//!
//! A trial may fail. If its request may be repeated, it is sent to another endpoint then; otherwise, it is
//! lost to its client. So trials are left to requests that may be repeated. But only an answered trial
//! makes an endpoint live again: where no such request comes, or none is ever placed at the endpoint, the
//! endpoint would stay congested for good, and in the end all of them.
//!
//! A request that may not be repeated may therefore be a trial in two cases: this node has had no request
//! that may be repeated for [`REPEATABLE_ABSENCE_MS`], or the trial has been due for so long that none is
//! likely to take it.
//!
//! While another endpoint is usable, a budget limits such trials to a small share of the requests that may
//! not be repeated. Without another endpoint, the only alternative to the trial is a rejection, and the
//! budget does not apply. In any case a failed trial sets PRAT anew; if the client leaves before the end of
//! the trial, the next such trial waits for a pause as well.

use super::failure_record::FailureRecord;
use super::settings::Idempotency;
use super::tuning::Tuning;

/// If this node has had no request that may be repeated for this time, in milliseconds, others may be
/// trials. It is shorter than the 4 s for which a node may reject all its requests without an attempt.
const REPEATABLE_ABSENCE_MS: f64 = 3500.0;
/// If a trial has been due for this number of failure windows, any request may be the trial.
const OVERDUE_FAILURE_WINDOWS: f64 = 2.0;
/// Maximum number of tokens in the budget of trials whose requests may not be repeated, and the initial
/// number.
const MAX_TOKENS: f64 = 1.0;
/// Tokens that each request that may not be repeated adds to that budget.
const TOKENS_PER_REQUEST: f64 = 0.02;
/// Cost of one such trial, in tokens.
const TRIAL_COST: f64 = 1.0;

/// Whether an endpoint other than the one in question is usable for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Alternatives {
    /// Another endpoint may be usable.
    Possible,
    /// No endpoint is usable but as a trial.
    None,
}

/// The requests of this node, as far as the choice of trials depends on them.
#[derive(Debug)]
pub(super) struct TrialEligibility {
    /// When a request that may be repeated was last ready to be sent, in milliseconds on the balancer's
    /// clock. `None` if there was none.
    last_repeatable_at_ms: Option<f64>,
    /// For how long a trial must have been due before any request may be the trial, in milliseconds.
    overdue_ms: f64,
    /// The budget of trials whose requests may not be repeated.
    tokens: f64,
}

impl TrialEligibility {
    /// Creates the state of a node that has had no request.
    pub fn new(tuning: &Tuning) -> TrialEligibility {
        TrialEligibility {
            last_repeatable_at_ms: None,
            overdue_ms: OVERDUE_FAILURE_WINDOWS * tuning.failure_window_ms,
            tokens: MAX_TOKENS,
        }
    }

    /// Records a request that is ready to be sent and has time for an attempt, whether or not it finds an
    /// endpoint.
    pub fn record_request(&mut self, now_ms: f64, idempotency: Idempotency) {
        if idempotency.allows_repeats() {
            self.last_repeatable_at_ms = Some(now_ms);
        } else {
            self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
        }
    }

    /// Records that a trial is sent with a request of this idempotency.
    pub fn record_trial(&mut self, idempotency: Idempotency) {
        if !idempotency.allows_repeats() {
            self.tokens = (self.tokens - TRIAL_COST).max(0.0);
        }
    }

    /// Returns whether a request of this idempotency may be a trial of an endpoint now.
    pub fn allows_trial(
        &self,
        now_ms: f64,
        failures: &FailureRecord,
        idempotency: Idempotency,
        alternatives: Alternatives,
    ) -> bool {
        let is_affordable = alternatives == Alternatives::None || self.tokens >= TRIAL_COST;
        failures.is_trial_due(now_ms)
            && (idempotency.allows_repeats()
                || (is_affordable && self.allows_unrepeatable_trial(now_ms, failures)))
    }

    /// Returns whether a request that may not be repeated may be the trial of an endpoint whose trial is due.
    fn allows_unrepeatable_trial(&self, now_ms: f64, failures: &FailureRecord) -> bool {
        let is_absent = |at_ms: f64| now_ms - at_ms >= REPEATABLE_ABSENCE_MS;
        let lacks_repeatable = self.last_repeatable_at_ms.is_none_or(is_absent);
        let is_overdue = now_ms - failures.prat_ms() >= self.overdue_ms;
        failures.is_unrepeatable_trial_due(now_ms) && (lacks_repeatable || is_overdue)
    }
}
