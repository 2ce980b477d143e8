//! When discovery is polled.
//!
//! Discovery is one small service for all nodes, and a start or an outage has all of them poll at once. So
//! the first poll of a node is spread, and failed polls back off with jitter, yet soon enough for changes
//! to be known in time.

use super::tuning::Tuning;

/// The longest pause after a failed poll, in milliseconds. A change counts as known 6 s after it could be
/// had: enough for two such pauses and two polls that are queued at the service, for 2 s at most.
const MAX_PAUSE_MS: f64 = 900.0;
/// Doublings of the pause at most.
const MAX_DOUBLINGS: u32 = 5;
/// The least part of a pause that jitter leaves.
const MIN_JITTER: f64 = 0.1;

/// The pace of polls.
#[derive(Debug, Default)]
pub(super) struct DiscoverySchedule {
    consecutive_failures: u32,
}

impl DiscoverySchedule {
    /// A poll was answered.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// A poll failed: the time until the next, in milliseconds.
    pub fn record_failure(
        &mut self,
        tuning: &Tuning,
        max_poll_interval_ms: f64,
        rng: &mut fastrand::Rng,
    ) -> f64 {
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_DOUBLINGS);
        let first_pause_ms = tuning.housekeeping_interval_ms.max(tuning.discovery_spread_ms / 2.0);
        let pause_ms = first_pause_ms * f64::from(1_u32 << self.consecutive_failures);
        let pause_ms = pause_ms.min(MAX_PAUSE_MS).min(max_poll_interval_ms / 2.0);
        pause_ms * (MIN_JITTER + (1.0 - MIN_JITTER) * rng.f64())
    }

    /// The time until the first poll, in milliseconds. A node without a list has nothing to serve by and
    /// polls at once.
    pub fn first_poll_in_ms(has_endpoints: bool, tuning: &Tuning, rng: &mut fastrand::Rng) -> f64 {
        if has_endpoints { tuning.discovery_spread_ms * rng.f64() } else { 0.0 }
    }
}
