//! The balancer's clock, which is monotonic, and the conversion of wall clock times to it.
//!
//! Other machines state times by the wall clock, for example when an endpoint started. The node needs to
//! know how long ago that was, but the wall clock may have been stepped since, forward or back. The node
//! therefore keeps a history of the offset between the two clocks. A wall clock time is converted with the
//! offset that applied when the wall clock showed that time.

use std::cell::RefCell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Smallest change of the offset that counts as a step of the wall clock. Smaller changes are drift, or the
/// time that passes between reading the two clocks.
const MIN_STEP_MS: f64 = 100.0;
/// Maximum time for reading both clocks. The process may be suspended between the two readings, which would
/// look like a step, so a slower reading is discarded and repeated.
const MAX_READ_TIME: Duration = Duration::from_millis(5);
/// Maximum number of attempts to read both clocks within [`MAX_READ_TIME`]. If all are too slow, no reading
/// is recorded.
const READ_ATTEMPTS: u32 = 4;
/// Maximum number of periods between steps that are remembered. Steps before them are older than any slow
/// start.
const MAX_PERIODS: usize = 16;

/// Converts `ms` milliseconds to a duration between 0 and `max_ms`. Settings and the balancer may state any
/// number, infinity included, which [`Duration`] could not represent.
pub fn clamped_duration(ms: f64, max_ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, max_ms) / 1000.0)
}

/// A period between two steps of the wall clock, in which the offset between the clocks was constant.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OffsetPeriod {
    /// Wall clock minus monotonic clock, in milliseconds.
    offset_ms: f64,
    /// Start of the period, in milliseconds on the monotonic clock: the last reading before the step. Minus
    /// infinity for the first period.
    from_ms: f64,
    /// The last reading of the period, in milliseconds on the monotonic clock.
    until_ms: f64,
}

/// The history of the offset between the wall clock and the monotonic clock.
///
/// A step is noticed only at the next reading, so it is not known when it came between two readings. The
/// new period therefore starts at the last reading before the step.
#[derive(Debug, Default)]
struct WallClockHistory {
    periods: Vec<OffsetPeriod>,
}

impl WallClockHistory {
    /// Adds a reading of both clocks: extends the latest period, or starts a new one if the wall clock was
    /// stepped.
    fn record(&mut self, now_ms: f64, wall_ms: f64) {
        let offset_ms = wall_ms - now_ms;
        match self.periods.last_mut() {
            Some(last) if (offset_ms - last.offset_ms).abs() < MIN_STEP_MS => {
                last.offset_ms = offset_ms;
                last.until_ms = now_ms;
            }
            last => {
                let from_ms = last.map_or(f64::NEG_INFINITY, |last| last.until_ms);
                self.periods.push(OffsetPeriod { offset_ms, from_ms, until_ms: now_ms });
            }
        }
        if self.periods.len() > MAX_PERIODS {
            self.periods.remove(0);
        }
    }

    /// Returns when the wall clock showed `wall_ms`, in milliseconds on the monotonic clock. If it showed
    /// that time more than once, because it was stepped back, the last occurrence counts. Returns `None` if
    /// it never showed that time.
    fn find(&self, wall_ms: f64) -> Option<f64> {
        let occurrences = self.periods.iter().filter_map(|period| {
            let at_ms = wall_ms - period.offset_ms;
            (period.from_ms <= at_ms && at_ms <= period.until_ms).then_some(at_ms)
        });
        occurrences.reduce(f64::max)
    }
}

/// The balancer's clock: monotonic, in milliseconds from an arbitrary origin.
pub struct Clock {
    start: Instant,
    start_ms: f64,
    wall_history: RefCell<WallClockHistory>,
}

impl Clock {
    /// Starts the clock at the present wall clock time. It does not follow later steps of the wall clock.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = Clock {
            start: Instant::now(),
            start_ms: wall.as_secs_f64() * 1000.0,
            wall_history: RefCell::default(),
        };
        clock.observe_wall();
        clock
    }

    /// Returns the current time of this clock, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.at_ms(Instant::now())
    }

    /// Converts an instant to milliseconds on this clock. Instants before the clock's start give the start.
    pub fn at_ms(&self, at: Instant) -> f64 {
        self.start_ms + at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// Converts milliseconds on this clock to an instant, which is not before the clock's start.
    pub fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at_ms - self.start_ms) / 1000.0).clamp(0.0, 1e9))
    }

    /// Reads both clocks to notice a step of the wall clock. Called periodically, and before each
    /// conversion.
    pub fn observe_wall(&self) {
        for _ in 0..READ_ATTEMPTS {
            let before = Instant::now();
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            if before.elapsed() < MAX_READ_TIME {
                self.wall_history.borrow_mut().record(self.at_ms(before), wall.as_secs_f64() * 1000.0);
                return;
            }
        }
    }

    /// Converts a wall clock time, in milliseconds since 1970, to this clock. Returns the current time if
    /// the wall clock of this machine has never shown that time, or if it lies in the future.
    pub fn wall_to_monotonic(&self, wall_ms: f64) -> f64 {
        self.observe_wall();
        let now_ms = self.now_ms();
        self.wall_history.borrow().find(wall_ms).map_or(now_ms, |at_ms| at_ms.min(now_ms))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/clock.rs"]
mod tests;
