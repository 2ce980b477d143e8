//! Learns, for each class of requests, how long answers take, what share of requests is served, and how
//! much time clients allow.
//!
//! Timeouts, admission and the estimate of a client's earlier tries depend on these figures, and none of
//! them is configured. Each node learns them from its own traffic, as moving averages and decaying counts.

/// Number of answers from which the estimates of a class are used.
const MIN_ANSWERS: u64 = 20;
/// Weight of one answer in the moving averages, after the first [`MIN_ANSWERS`] answers.
const AVERAGE_STEP: f64 = 0.02;
/// Factor by which an answer that takes longer than the upper quantile raises it. Together with
/// [`QUANTILE_FALL`] it makes the quantile settle at the time below which four of five answers stay.
const QUANTILE_RISE: f64 = 1.02;
/// Factor by which an answer that takes no longer than the upper quantile lowers it.
const QUANTILE_FALL: f64 = 0.995;
/// Relative rise of the baseline quantile per second, towards the upper quantile. It follows the upper
/// quantile down at once.
const BASELINE_RISE_PER_SECOND: f64 = 0.01;
/// Time constant of the exponential decay of the counts of requests and of served requests, in seconds.
const COUNT_TIME_CONSTANT_SECONDS: f64 = 20.0;
/// Weight of one attempt in the moving average of the failure share.
const FAILURE_STEP: f64 = 0.05;
/// Number of bins in which client deadlines are counted, each one hundredth of the class's deadline wide.
const DEADLINE_BINS: usize = 101;
/// Factor by which every counted try decays the deadline counts.
const DEADLINE_COUNT_RETENTION: f64 = 0.998;
/// Count in the fullest bin below which the common client deadlines are unknown.
const MIN_DEADLINE_COUNT: f64 = 8.0;
/// Distance, in bins, within which a bin's neighbours are counted together with it.
const NEIGHBOUR_BINS: usize = 2;
/// Share of the fullest bin's count above which the count of a bin and its neighbours makes a client
/// deadline common.
const COMMON_DEADLINE_SHARE: f64 = 0.5;
/// The same share as [`COMMON_DEADLINE_SHARE`] for clients that mark their retries: retries are then
/// excluded from the counts, and a small share is sufficient.
const COMMON_DEADLINE_SHARE_WITH_MARKED_RETRIES: f64 = 0.05;
/// A client deadline is short only if it is below the mean answer time plus this number of mean deviations.
const SHORT_DEADLINE_DEVIATIONS: f64 = 2.0;
/// A client deadline is short only if it is also below this share of the latency objective.
const SHORT_DEADLINE_OBJECTIVE_SHARE: f64 = 0.5;
/// Number of mean deviations that the short attempt timeout n is above the mean answer time.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Lower bound of the mean answer time that [`ClassStatistics::mean_ms`] returns, in milliseconds.
const MIN_MEAN_MS: f64 = 1.0;

/// Statistics of one class of requests, as seen by this node.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassStatistics {
    /// Mean answer time, in milliseconds; also used as the estimated work of a request of the class.
    mean_ms: f64,
    /// Mean absolute deviation of the answer time, in milliseconds.
    deviation_ms: f64,
    /// Number of answers recorded.
    answers: u64,
    /// Time below which four of five answers stay, in milliseconds.
    upper_quantile_ms: f64,
    /// The upper quantile while the endpoints are not overloaded, in milliseconds. It follows the upper
    /// quantile down at once and up slowly.
    baseline_quantile_ms: f64,
    /// Decaying count of tries per bin of the client deadline, from 0 to 100 hundredths of the class's
    /// deadline. Empty before the first request. Marked retries are not counted.
    deadline_counts: Vec<f64>,
    /// Decaying count of requests, without the retries of clients.
    recent_first_tries: f64,
    /// Decaying count of requests that were answered within their objective.
    recent_served: f64,
    /// Share, 0 to 1, of recent attempts at all endpoints that were rejected, timed out or answered late.
    /// Only attempts that were rejected, timed out or answered are counted, without trials.
    failure_share: f64,
}

impl ClassStatistics {
    /// Estimates the time that a client has spent on earlier tries, in milliseconds.
    ///
    /// `time_to_deadline_ms` is the time that the client allows for this try; `class_deadline_ms` is the
    /// longest that a client of this class waits over all its tries. `is_retry` is `None` if clients do not
    /// mark their retries.
    ///
    /// Most first tries arrive with one of a few common client deadlines. A try with an uncommon deadline
    /// is taken for a retry, and the time missing from the class's deadline is the time since the first
    /// try. A try with a common deadline is taken for a first try. Returns 0 until enough tries have been
    /// counted to know the common deadlines.
    ///
    /// If clients mark their retries, a first try may arrive with any deadline, and the estimate for a
    /// retry is 0 if some first tries arrive with about the same deadline.
    ///
    /// The estimate is wrong for a client whose first try has a short deadline and whose retries use the
    /// rest of a longer one.
    pub fn estimate_client_age_ms(
        &mut self,
        time_to_deadline_ms: f64,
        class_deadline_ms: f64,
        is_retry: Option<bool>,
    ) -> f64 {
        self.deadline_counts.resize(DEADLINE_BINS, 0.0);
        let last_bin = DEADLINE_BINS - 1;
        let bin = (time_to_deadline_ms / class_deadline_ms * 100.0).round().clamp(0.0, 100.0) as usize;
        if is_retry != Some(true) {
            self.deadline_counts.iter_mut().for_each(|count| *count *= DEADLINE_COUNT_RETENTION);
            self.deadline_counts[bin] += 1.0;
        }
        let highest_count = self.deadline_counts.iter().copied().fold(0.0, f64::max);
        let neighbours = bin.saturating_sub(NEIGHBOUR_BINS)..=(bin + NEIGHBOUR_BINS).min(last_bin);
        let nearby_count: f64 = self.deadline_counts[neighbours].iter().sum();
        let common_share = if is_retry.is_some() {
            COMMON_DEADLINE_SHARE_WITH_MARKED_RETRIES
        } else {
            COMMON_DEADLINE_SHARE
        };
        let is_common = highest_count < MIN_DEADLINE_COUNT || nearby_count > highest_count * common_share;
        if is_retry == Some(false) || is_common {
            0.0
        } else {
            (class_deadline_ms - time_to_deadline_ms).max(0.0)
        }
    }

    /// Records the time that an answer took, in milliseconds.
    pub fn record_answer(&mut self, elapsed_ms: f64) {
        let step =
            if self.answers < MIN_ANSWERS { 1.0 / (self.answers as f64 + 1.0) } else { AVERAGE_STEP };
        self.answers += 1;
        if self.answers < MIN_ANSWERS {
            self.upper_quantile_ms = self.mean_ms;
            self.baseline_quantile_ms = self.mean_ms;
        }
        let is_above_quantile = elapsed_ms > self.upper_quantile_ms;
        self.upper_quantile_ms *= if is_above_quantile { QUANTILE_RISE } else { QUANTILE_FALL };
        self.deviation_ms += step * ((elapsed_ms - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += step * (elapsed_ms - self.mean_ms);
    }

    /// Counts a request if it is its client's first try.
    pub fn record_request(&mut self, is_first_try: bool) {
        self.recent_first_tries += if is_first_try { 1.0 } else { 0.0 };
    }

    /// Counts a request that was answered within its latency objective.
    pub fn record_served(&mut self) {
        self.recent_served += 1.0;
    }

    /// Records an attempt: `failure` is 1 if it was rejected, timed out or answered late, and 0 if it was
    /// answered within the objective. The caller must leave out attempts with other outcomes.
    pub fn record_attempt(&mut self, failure: f64) {
        self.failure_share += FAILURE_STEP * (failure - self.failure_share);
    }

    /// Decays the counts and moves the baseline quantile towards the upper quantile, after `seconds` have
    /// passed.
    pub fn decay(&mut self, seconds: f64) {
        let retained = (-seconds / COUNT_TIME_CONSTANT_SECONDS).exp();
        self.recent_first_tries *= retained;
        self.recent_served *= retained;
        let risen_ms = self.baseline_quantile_ms * (1.0 + BASELINE_RISE_PER_SECOND * seconds);
        self.baseline_quantile_ms = risen_ms.min(self.upper_quantile_ms);
    }

    /// Share, 0 to 1, of recent attempts at all endpoints that were rejected, timed out or answered late.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Decaying count of requests, without the retries of clients.
    pub fn recent_first_tries(&self) -> f64 {
        self.recent_first_tries
    }

    /// Share of recent requests that were answered within their objective; 1 if there were no requests.
    pub fn served_share(&self) -> f64 {
        if self.recent_first_tries > 0.0 { self.recent_served / self.recent_first_tries } else { 1.0 }
    }

    /// Mean answer time, in milliseconds, at least [`MIN_MEAN_MS`].
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms.max(MIN_MEAN_MS)
    }

    /// Time below which four of five answers stay while the endpoints are not overloaded, in milliseconds.
    pub fn baseline_quantile_ms(&self) -> f64 {
        self.baseline_quantile_ms
    }

    /// Returns whether a client deadline is so short that a timeout says nothing about the endpoint.
    /// Returns `false` until enough answers are known.
    pub fn is_short_deadline(&self, time_to_deadline_ms: f64, latency_objective_ms: f64) -> bool {
        time_to_deadline_ms < latency_objective_ms * SHORT_DEADLINE_OBJECTIVE_SHARE
            && self.answers >= MIN_ANSWERS
            && time_to_deadline_ms < self.mean_ms + SHORT_DEADLINE_DEVIATIONS * self.deviation_ms
    }

    /// Returns the short attempt timeout n, by which nearly all answers have arrived, in milliseconds.
    /// Returns `None` if there have been too few answers to estimate it.
    pub fn short_timeout_ms(&self) -> Option<f64> {
        (self.answers >= MIN_ANSWERS).then_some(self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms)
    }
}
