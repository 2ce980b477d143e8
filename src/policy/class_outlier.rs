//! Finds a class that fails at one endpoint only.
//!
//! Some faults concern one kind of work, which hangs or is rejected while all else is served. The failure
//! record would have to give up the endpoint for all classes. So failures are also counted by class: the keys
//! of a class that is an outlier have their candidates among the other endpoints, and its failures are not
//! counted against the endpoint. Where it is chance, a few keys move for some seconds.

use super::class_statistics::ClassStatistics;
use super::decaying_mean::{DecayingMean, MEMORY_MS};

/// Failure share from which a class may be an outlier.
const MIN_FAILURE_SHARE: f64 = 0.35;
/// It must be this many times the class's share over all endpoints.
const OUTLIER_FACTOR: f64 = 2.0;
/// How far the share moves towards one outcome.
const STEP: f64 = 0.15;

/// By class, the share of attempts that one endpoint rejected, lost or answered late.
#[derive(Debug)]
pub(super) struct ClassFailures {
    shares: Vec<DecayingMean>,
}

impl ClassFailures {
    /// For a number of classes, without a failure.
    pub fn new(classes: usize) -> ClassFailures {
        ClassFailures { shares: vec![DecayingMean::default(); classes] }
    }

    /// Takes in an outcome: 1 for a failure, 0 for a success.
    pub fn record(&mut self, now_ms: f64, class: usize, failed: f64) {
        if let Some(share) = self.shares.get_mut(class) {
            share.observe(now_ms, 0.0, failed, STEP);
        }
    }

    /// Whether a class fails here far more often than at large.
    pub fn is_outlier(&self, now_ms: f64, class: usize, classes: &[ClassStatistics]) -> bool {
        let at_large = classes.get(class).map_or(1.0, ClassStatistics::failure_share);
        let threshold = MIN_FAILURE_SHARE.max(OUTLIER_FACTOR * at_large);
        self.shares.get(class).is_some_and(|share| share.at(now_ms, 0.0) > threshold)
    }

    /// Whether a class is an outlier while another was lately served here.
    pub fn is_isolated_outlier(&self, now_ms: f64, class: usize, classes: &[ClassStatistics]) -> bool {
        let is_served = |other: usize| {
            other != class
                && self.shares[other].age_ms(now_ms) < MEMORY_MS
                && !self.is_outlier(now_ms, other, classes)
        };
        self.is_outlier(now_ms, class, classes) && (0..self.shares.len()).any(is_served)
    }
}
