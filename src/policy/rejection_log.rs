//! Says now and then why requests were rejected.

use super::CLOCK_ORIGIN_MS;
use super::action::RejectionReason;
use super::decision_log::RejectionCounts;

/// Time between two lines, in milliseconds.
const INTERVAL_MS: f64 = 10_000.0;

/// Requests rejected before an attempt since that was last logged.
#[derive(Debug, Default)]
pub(super) struct RejectionLog {
    counts: RejectionCounts,
    logged_at_ms: Option<f64>,
}

impl RejectionLog {
    /// Counts a rejection.
    pub fn record(&mut self, reason: RejectionReason) {
        let counts = &mut self.counts;
        match reason {
            RejectionReason::ObjectiveMissed => counts.objective_missed += 1,
            RejectionReason::LoadShed => counts.load_shed += 1,
            RejectionReason::InFlightLimit => counts.in_flight_limit += 1,
            RejectionReason::NoUsableEndpoint => counts.no_usable_endpoint += 1,
            RejectionReason::DeadlineTooClose
            | RejectionReason::NotRetryable
            | RejectionReason::RetryBudgetExhausted => {}
        }
    }

    /// What is to be logged now; none where nothing was rejected, or the last line is too recent.
    pub fn take_due(&mut self, now_ms: f64) -> Option<RejectionCounts> {
        let since_last_ms = now_ms - self.logged_at_ms.unwrap_or(CLOCK_ORIGIN_MS);
        if since_last_ms < INTERVAL_MS || self.counts == RejectionCounts::default() {
            return None;
        }
        self.logged_at_ms = Some(now_ms);
        Some(std::mem::take(&mut self.counts))
    }
}
