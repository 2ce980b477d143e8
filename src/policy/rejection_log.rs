//! Counts rejected requests by reason, for a log line that sums them up at most every 10 s.
//!
//! A line for each rejection would flood the log under overload.

use super::CLOCK_ORIGIN_MS;
use super::action::RejectionReason;
use super::decision_log::RejectionCounts;

/// Shortest time between two log lines, in milliseconds.
const MIN_LOG_INTERVAL_MS: f64 = 10_000.0;

/// The rejections since the last log line, and the time of that line.
#[derive(Debug, Default)]
pub(super) struct RejectionLog {
    counts: RejectionCounts,
    /// When the last line was logged, in milliseconds on the balancer's clock; `None` before the first line.
    last_logged_at_ms: Option<f64>,
}

impl RejectionLog {
    /// Counts a rejection or failure, unless the request was given up after its attempts or because of its
    /// deadline.
    pub fn record(&mut self, reason: RejectionReason) {
        let counts = &mut self.counts;
        match reason {
            RejectionReason::ObjectiveMissed => counts.objective_missed += 1,
            RejectionReason::LoadShed => counts.load_shed += 1,
            RejectionReason::InFlightLimit => counts.in_flight_limit += 1,
            RejectionReason::NoUsableEndpoint => counts.no_usable_endpoint += 1,
            RejectionReason::DeadlineTooClose
            | RejectionReason::NotRetryable
            | RejectionReason::RetryDenied => {}
        }
    }

    /// Returns and resets the counts if a log line is due. Returns `None` if no rejection was counted, or if
    /// the last line was logged less than [`MIN_LOG_INTERVAL_MS`] ago.
    pub fn take_due(&mut self, now_ms: f64) -> Option<RejectionCounts> {
        let since_last_ms = now_ms - self.last_logged_at_ms.unwrap_or(CLOCK_ORIGIN_MS);
        if since_last_ms < MIN_LOG_INTERVAL_MS || self.counts == RejectionCounts::default() {
            return None;
        }
        self.last_logged_at_ms = Some(now_ms);
        Some(std::mem::take(&mut self.counts))
    }
}
