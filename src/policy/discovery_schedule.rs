//! Schedules the polls of the discovery service.
//!
//! All nodes poll one small discovery service, and after a simultaneous start or an outage of the service
//! they would all poll it at the same time.
//!
//! So a node delays its first poll by a random time, and repeats a failed poll after an exponential backoff
//! with jitter. The backoff is limited, so that a node learns of changes in time.

use super::tuning::Tuning;

/// The longest pause after a failed poll, in milliseconds. A node is expected to know a change 6 s after
/// discovery offers it. Two pauses of this length fit into that time, together with two polls that each
/// wait in the service's queue for up to 2 s.
const MAX_PAUSE_MS: f64 = 900.0;
/// Maximum number of times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// Lower bound of the jitter factor; its upper bound is 1.
const MIN_JITTER_FACTOR: f64 = 0.1;

/// The backoff state of the polls of one node.
#[derive(Debug, Default)]
pub(super) struct DiscoverySchedule {
    /// Number of polls that have failed since the last success, up to [`MAX_DOUBLINGS`].
    consecutive_failures: u32,
}

impl DiscoverySchedule {
    /// Records that a poll was answered, which resets the backoff.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records that a poll failed. Returns the time until the next poll, in milliseconds.
    pub fn record_failure(
        &mut self,
        tuning: &Tuning,
        max_poll_interval_ms: f64,
        rng: &mut fastrand::Rng,
    ) -> f64 {
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_DOUBLINGS);
        let base_pause_ms = tuning.housekeeping_interval_ms.max(tuning.discovery_spread_ms / 2.0);
        let pause_ms = base_pause_ms * f64::from(1_u32 << self.consecutive_failures);
        let pause_ms = pause_ms.min(MAX_PAUSE_MS).min(max_poll_interval_ms / 2.0);
        pause_ms * (MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * rng.f64())
    }

    /// Returns the time until the first poll, in milliseconds: random if the node starts with a cached
    /// endpoint list, and 0 if it does not, because it then has no endpoint to send requests to.
    pub fn first_poll_in_ms(has_endpoints: bool, tuning: &Tuning, rng: &mut fastrand::Rng) -> f64 {
        if has_endpoints { tuning.discovery_spread_ms * rng.f64() } else { 0.0 }
    }
}
