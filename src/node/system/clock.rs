//! The clock of the decisions, which is monotonic, and how moments of the wall clock are found on it.
//!
//! The wall clock may be stepped, forward or back. Other machines state moments by it, such as when an
//! endpoint started, and these are needed as spans of real time. So the node keeps what the difference
//! between the two clocks was, and when: a time of the wall clock is converted by the part of that history
//! in which the wall clock showed it.

use std::cell::RefCell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A smaller change of the difference is drift, or the time between the two readings.
const MIN_STEP_MS: f64 = 100.0;
/// Both clocks are read again where reading them took longer than this: the process may be suspended in
/// between.
const MAX_READ_TIME: Duration = Duration::from_millis(5);
const READ_ATTEMPTS: u32 = 4;
/// Steps that are remembered. Earlier steps are older than any slow start.
const MAX_PERIODS: usize = 16;

/// A span of so many milliseconds, at most `max_ms`: settings and decisions may state any number.
pub fn span(ms: f64, max_ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, max_ms) / 1000.0)
}

/// A time in which the difference between the clocks was the same.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Period {
    /// Wall clock less monotonic clock, in milliseconds.
    offset_ms: f64,
    /// From when on, on the monotonic clock.
    from_ms: f64,
    /// Until when. Between two readings the step may have come at any time, so that two periods may
    /// overlap.
    until_ms: f64,
}

/// What the difference between the clocks has been.
#[derive(Debug, Default)]
struct WallHistory {
    periods: Vec<Period>,
}

impl WallHistory {
    /// Takes in one reading of both clocks.
    fn record(&mut self, now_ms: f64, wall_ms: f64) {
        let offset_ms = wall_ms - now_ms;
        match self.periods.last_mut() {
            Some(last) if (offset_ms - last.offset_ms).abs() < MIN_STEP_MS => {
                last.offset_ms = offset_ms;
                last.until_ms = now_ms;
            }
            last => {
                let from_ms = last.map_or(f64::NEG_INFINITY, |last| last.until_ms);
                self.periods.push(Period { offset_ms, from_ms, until_ms: now_ms });
            }
        }
        if self.periods.len() > MAX_PERIODS {
            self.periods.remove(0);
        }
    }

    /// When the wall clock showed `wall_ms`: where that was more than once, the last time. None if it never
    /// did.
    fn find(&self, wall_ms: f64) -> Option<f64> {
        let shown = self.periods.iter().filter_map(|period| {
            let at_ms = wall_ms - period.offset_ms;
            (period.from_ms <= at_ms && at_ms <= period.until_ms).then_some(at_ms)
        });
        shown.reduce(f64::max)
    }
}

/// The decisions' clock: milliseconds from an arbitrary start, monotonic.
pub struct Clock {
    start: Instant,
    start_ms: f64,
    wall: RefCell<WallHistory>,
}

impl Clock {
    /// Starts now.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = Clock {
            start: Instant::now(),
            start_ms: wall.as_secs_f64() * 1000.0,
            wall: RefCell::default(),
        };
        clock.observe_wall();
        clock
    }

    /// Now.
    pub fn now_ms(&self) -> f64 {
        self.at_ms(Instant::now())
    }

    /// A moment since the start, on this clock.
    pub fn at_ms(&self, at: Instant) -> f64 {
        self.start_ms + at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// When a moment of this clock comes.
    pub fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at_ms - self.start_ms) / 1000.0).clamp(0.0, 1e9))
    }

    /// Notes a step of the wall clock, if there was one. To be called now and then, and before a time is
    /// converted.
    pub fn observe_wall(&self) {
        for _ in 0..READ_ATTEMPTS {
            let before = Instant::now();
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            if before.elapsed() < MAX_READ_TIME {
                self.wall.borrow_mut().record(self.at_ms(before), wall.as_secs_f64() * 1000.0);
                return;
            }
        }
    }

    /// When something happened that others state by the wall clock; now, if that clock has not shown this
    /// moment.
    pub fn wall_to_monotonic(&self, wall_ms: f64) -> f64 {
        self.observe_wall();
        let now_ms = self.now_ms();
        self.wall.borrow().find(wall_ms).map_or(now_ms, |at_ms| at_ms.min(now_ms))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/clock.rs"]
mod tests;
