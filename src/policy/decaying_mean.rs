//! A share that is learned from observations and fades when none come.

use super::CLOCK_ORIGIN_MS;

/// An observation says nothing any more after a few times this, in milliseconds.
pub(super) const MEMORY_MS: f64 = 10_000.0;

/// A share of 0 to 1 as last observed. Between observations it returns to what is usual at large.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingMean {
    value: f64,
    updated_at_ms: Option<f64>,
}

impl DecayingMean {
    /// What is left of it at `now_ms`, where `usual` is what it returns to.
    pub fn at(self, now_ms: f64, usual: f64) -> f64 {
        match self.updated_at_ms {
            None => usual,
            Some(updated_at) => usual + (self.value - usual) * (-(now_ms - updated_at) / MEMORY_MS).exp(),
        }
    }

    /// Moves it towards an observation by a part of the way, 0 to 1.
    pub fn observe(&mut self, now_ms: f64, usual: f64, observation: f64, part: f64) {
        let known = self.at(now_ms, usual);
        self.value = known + part * (observation - known);
        self.updated_at_ms = Some(now_ms);
    }

    /// Time since the last observation, in milliseconds.
    pub fn age_ms(self, now_ms: f64) -> f64 {
        now_ms - self.updated_at_ms.unwrap_or(CLOCK_ORIGIN_MS)
    }
}
