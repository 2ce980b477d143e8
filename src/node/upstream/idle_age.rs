//! Up to what age idle connections are good, learned from what became of requests on them.
//!
//! An endpoint, or something on the way to it, may drop idle connections sooner than the settings say and
//! without a word: what is written on one is reset unread, and a request that may not be repeated is lost.
//! Counted by age, such an age shows, also one that changes, since evidence fades; one that few endpoints
//! have is taken for all. It costs a handshake for each connection that is not used again, so the rule
//! wastes handshakes where connections break for another reason.

use std::time::{Duration, Instant};

/// Age classes: one for new connections, then two for each doubling from the youngest age that is
/// distinguished.
const STEPS: usize = 24;
const YOUNGEST_MS: f64 = 10.0;
/// Evidence is half as much after this.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// With fewer breaks there is no such age.
const MIN_BREAKS: f64 = 4.0;
/// A share of breaks is above that of younger connections by more than a factor and an amount.
const FACTOR: f64 = 2.0;
const AMOUNT: f64 = 0.1;

/// Requests on connections, and how many of these broke with no response begun.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requests: f64,
    broken: f64,
}

impl Usage {
    fn add(&mut self, other: Usage) {
        self.requests += other.requests;
        self.broken += other.broken;
    }
}

/// Usage by age, fading.
#[derive(Debug)]
pub(super) struct IdleAgeStatistics {
    by_age: [Usage; STEPS],
    faded_at: Instant,
}

impl IdleAgeStatistics {
    /// Nothing learned.
    pub fn new() -> IdleAgeStatistics {
        IdleAgeStatistics { by_age: [Usage::default(); STEPS], faded_at: Instant::now() }
    }

    fn step(age: Duration) -> usize {
        let doublings = (age.as_secs_f64() * 1000.0 / YOUNGEST_MS).max(1.0).log2();
        (1 + (2.0 * doublings) as usize).min(STEPS - 1)
    }

    /// The age from which on connections are of a step.
    fn youngest_of(step: usize) -> Duration {
        Duration::from_secs_f64(YOUNGEST_MS / 1000.0 * ((step as f64 - 1.0) / 2.0).exp2())
    }

    /// Takes in a request on a connection that was idle for `age` before, none for a new one, and whether
    /// it broke.
    pub fn record(&mut self, age: Option<Duration>, broke: bool) {
        self.fade();
        if let Some(usage) = self.by_age.get_mut(age.map_or(0, IdleAgeStatistics::step)) {
            usage.add(Usage { requests: 1.0, broken: f64::from(u8::from(broke)) });
        }
    }

    fn fade(&mut self) {
        let kept = 0.5_f64.powf(self.faded_at.elapsed().as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.faded_at = Instant::now();
        for usage in &mut self.by_age {
            usage.requests *= kept;
            usage.broken *= kept;
        }
    }

    /// The age from which on connections are not good: of some step, and of all older ones together, more
    /// break than of what is younger. None where all are good.
    pub fn limit(&self) -> Option<Duration> {
        let mut total = Usage::default();
        self.by_age.iter().for_each(|usage| total.add(*usage));
        let mut younger = Usage::default();
        self.by_age.iter().enumerate().find_map(|(step, usage)| {
            let usual_share = younger.broken / f64::max(younger.requests, 1.0) * FACTOR + AMOUNT;
            let from_here = Usage {
                requests: total.requests - younger.requests,
                broken: total.broken - younger.broken,
            };
            younger.add(*usage);
            let breaks_more = |usage: &Usage| usage.broken > usage.requests * usual_share;
            let is_bad = breaks_more(usage) && breaks_more(&from_here) && from_here.broken >= MIN_BREAKS;
            (is_bad && step > 0).then(|| IdleAgeStatistics::youngest_of(step))
        })
    }
}
