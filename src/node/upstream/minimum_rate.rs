//! Determines when the body of a request is sent or accepted too slowly.
//!
//! An unfinished request takes a connection and memory, and its client or endpoint may have stopped for good.
//! Slow clients are legitimate, so a body has no time limit as a whole. It has to keep a minimum rate, with a
//! grace period for pauses.

use std::time::{Duration, Instant};

/// The minimum rate of a request's body, in bytes per second. The slowest legitimate clients send 64 kB per
/// second.
const MIN_BYTES_PER_SECOND: f64 = 48_000.0;
/// The grace period on top of the time that [`MIN_BYTES_PER_SECOND`] allows, and at the same time the longest
/// pause between two chunks of a body.
const RATE_GRACE: Duration = Duration::from_secs(2);

/// The minimum rate of one request's body, measured from the start of that body.
#[derive(Clone, Copy)]
pub struct MinimumRate {
    started_at: Instant,
}

impl MinimumRate {
    /// Creates the minimum rate for a body that started at `started_at`.
    pub fn new(started_at: Instant) -> MinimumRate {
        MinimumRate { started_at }
    }

    /// Returns the time from which on the body counts as too slow if no further byte arrives. `bytes` is
    /// the number of bytes so far, and `last_progress_at` the time of the last of them.
    pub fn deadline(&self, bytes: u64, last_progress_at: Instant) -> Instant {
        let allowed_time = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND);
        (self.started_at + allowed_time).min(last_progress_at) + RATE_GRACE
    }
}
