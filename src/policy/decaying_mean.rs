//! Computes a moving average of observations that returns to a default value while there are no
//! observations.

use super::CLOCK_ORIGIN_MS;

/// Time constant of the return to the default value, in milliseconds. After a few multiples of it, an
/// observation has no effect.
pub(super) const DECAY_TIME_CONSTANT_MS: f64 = 10_000.0;

/// A share, 0 to 1, as a moving average with decay. The caller passes the default value to each call,
/// because it changes over time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingMean {
    value: f64,
    /// When the last observation was made, in milliseconds on the balancer's clock; `None` before the
    /// first.
    updated_at_ms: Option<f64>,
}

impl DecayingMean {
    /// Returns the value at `now_ms`: the last average, decayed towards `default_value`. Returns
    /// `default_value` if nothing has been observed.
    pub fn at(self, now_ms: f64, default_value: f64) -> f64 {
        match self.updated_at_ms {
            None => default_value,
            Some(updated_at_ms) => {
                default_value
                    + (self.value - default_value)
                        * (-(now_ms - updated_at_ms) / DECAY_TIME_CONSTANT_MS).exp()
            }
        }
    }

    /// Moves the value towards an observation; `step`, 0 to 1, is the weight of the observation.
    pub fn observe(&mut self, now_ms: f64, default_value: f64, observation: f64, step: f64) {
        let current = self.at(now_ms, default_value);
        self.value = current + step * (observation - current);
        self.updated_at_ms = Some(now_ms);
    }

    /// Time since the last observation, in milliseconds. If there was none, the time since the clock's
    /// origin.
    pub fn age_ms(self, now_ms: f64) -> f64 {
        now_ms - self.updated_at_ms.unwrap_or(CLOCK_ORIGIN_MS)
    }
}
