//! Detects a class of requests that fails at one endpoint only.
//!
//! Some faults affect only one kind of work: it hangs or is rejected, while the endpoint serves all other
//! requests. If the failure record counted these failures, the endpoint would become congested for all
//! classes.
//!
//! Failures are therefore also counted by class. Rendezvous hashing skips an endpoint for the keys of a
//! class that is an outlier there, and while another class is served, the failures of the outlier are not
//! counted against the endpoint. If random variation alone makes a class an outlier, the only effect is
//! that a few keys move for some seconds.

use super::class_statistics::ClassStatistics;
use super::decaying_mean::{DECAY_TIME_CONSTANT_MS, DecayingMean};

/// Failure share above which a class can be an outlier.
const MIN_FAILURE_SHARE: f64 = 0.35;
/// Ratio of the failure share at this endpoint to the failure share over all endpoints above which a class
/// is an outlier.
const OUTLIER_FACTOR: f64 = 2.0;
/// Weight of one outcome in the moving average of the failure share.
const SHARE_STEP: f64 = 0.15;

/// Failure shares of one endpoint: for each class, the share of recent attempts that were rejected, timed
/// out or answered late. Only attempts that were rejected, timed out or answered are counted, without
/// trials.
#[derive(Debug)]
pub(super) struct ClassFailures {
    shares: Vec<DecayingMean>,
}

impl ClassFailures {
    /// Creates the record for `class_count` request classes, without failures.
    pub fn new(class_count: usize) -> ClassFailures {
        ClassFailures { shares: vec![DecayingMean::default(); class_count] }
    }

    /// Records the outcome of an attempt: `failure` is 1 for a failure and 0 for a success.
    pub fn record(&mut self, now_ms: f64, class: usize, failure: f64) {
        if let Some(share) = self.shares.get_mut(class) {
            share.observe(now_ms, 0.0, failure, SHARE_STEP);
        }
    }

    /// Returns whether a class fails at this endpoint far more often than at all endpoints together.
    pub fn is_outlier(&self, now_ms: f64, class: usize, class_statistics: &[ClassStatistics]) -> bool {
        let fleet_share = class_statistics.get(class).map_or(1.0, ClassStatistics::failure_share);
        let threshold = MIN_FAILURE_SHARE.max(OUTLIER_FACTOR * fleet_share);
        self.shares.get(class).is_some_and(|share| share.at(now_ms, 0.0) > threshold)
    }

    /// Returns whether a class is an outlier while this endpoint has recently served another class.
    pub fn is_isolated_outlier(
        &self,
        now_ms: f64,
        class: usize,
        class_statistics: &[ClassStatistics],
    ) -> bool {
        let is_other_served = |other: usize| {
            other != class
                && self.shares[other].age_ms(now_ms) < DECAY_TIME_CONSTANT_MS
                && !self.is_outlier(now_ms, other, class_statistics)
        };
        self.is_outlier(now_ms, class, class_statistics) && (0..self.shares.len()).any(is_other_served)
    }
}
