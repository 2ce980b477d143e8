//! What a node learns of each request class: how long answers take, how many are served, and how much time
//! clients give.

/// Number of answers from which the estimates are used.
const MIN_ANSWERS: u64 = 20;
/// Weight of one answer in the moving averages, once there are enough.
const STEP: f64 = 0.02;
/// The upper quantile rises by this factor with an answer above it and falls by the other with one below,
/// which makes it the time that four of five answers stay below.
const QUANTILE_RISE: f64 = 1.02;
const QUANTILE_FALL: f64 = 0.995;
/// The time in quiet periods follows the upper quantile down at once, and up by this part a second.
const QUIET_RISE_PER_SECOND: f64 = 0.01;
/// Counts of requests and served ones fade to a third in this time, in seconds.
const SERVED_MEMORY_SECONDS: f64 = 20.0;
/// How far the failure share moves towards one outcome.
const FAILURE_STEP: f64 = 0.05;
/// Client deadlines are counted in bins of one hundredth of the class's deadline.
const WAIT_BINS: usize = 101;
/// Decay of these counts with each first try.
const WAIT_DECAY: f64 = 0.998;
/// With fewer tries in the fullest bin, the usual client deadlines are unknown.
const MIN_WAIT_EVIDENCE: f64 = 8.0;
/// A client deadline is usual if the bins this near to it hold more than a part of the fullest bin: half of
/// it, or a small part if clients mark their retries.
const WAIT_NEIGHBOURS: usize = 2;
const USUAL_PART: f64 = 0.5;
const USUAL_PART_WITH_MARKS: f64 = 0.05;
/// A client deadline is short if it is less than the mean answer time plus this many deviations ...
const SHORT_DEADLINE_DEVIATIONS: f64 = 2.0;
/// ... and less than this part of the latency objective.
const SHORT_DEADLINE_PART: f64 = 0.5;
/// n, the short attempt timeout, is the mean plus this many deviations.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// A mean is taken for no less than this, in milliseconds.
const MIN_MEAN_MS: f64 = 1.0;

/// What this node has learned of one class.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassStatistics {
    /// Mean time of answers, in milliseconds; it stands in for the class's work.
    mean_ms: f64,
    /// Mean deviation of that.
    deviation_ms: f64,
    answers: u64,
    /// Four of five answers take less, in milliseconds.
    upper_quantile_ms: f64,
    /// The same in quiet periods.
    quiet_quantile_ms: f64,
    /// How often first tries came with a client deadline of each hundredth of the class's deadline.
    waits: Vec<f64>,
    requested: f64,
    served: f64,
    /// Share of recent attempts, over all endpoints, that were rejected, late or lost.
    failure_share: f64,
}

impl ClassStatistics {
    /// Estimates the time that a client has spent on earlier tries, in milliseconds.
    ///
    /// Most first tries come with one of a few client deadlines. A try with an unusual deadline is taken
    /// for a later try, whose deadline shows when the first began. If clients mark their retries
    /// (`is_retry` is given), a first try may come with any deadline, and a retry counts as young if some
    /// first tries come with the same one. Misjudges clients with short deadlines whose retries have the
    /// rest of a longer one.
    pub fn estimate_client_age_ms(
        &mut self,
        wait_ms: f64,
        deadline_ms: f64,
        is_retry: Option<bool>,
    ) -> f64 {
        self.waits.resize(WAIT_BINS, 0.0);
        let last_bin = WAIT_BINS - 1;
        let bin = (wait_ms / deadline_ms * 100.0).round().clamp(0.0, 100.0) as usize;
        if is_retry != Some(true) {
            self.waits.iter_mut().for_each(|count| *count *= WAIT_DECAY);
            self.waits[bin] += 1.0;
        }
        let fullest = self.waits.iter().copied().fold(0.0, f64::max);
        let neighbours = bin.saturating_sub(WAIT_NEIGHBOURS)..=(bin + WAIT_NEIGHBOURS).min(last_bin);
        let nearby: f64 = self.waits[neighbours].iter().sum();
        let usual_part = if is_retry.is_some() { USUAL_PART_WITH_MARKS } else { USUAL_PART };
        let is_usual = fullest < MIN_WAIT_EVIDENCE || nearby > fullest * usual_part;
        if is_retry == Some(false) || is_usual { 0.0 } else { (deadline_ms - wait_ms).max(0.0) }
    }

    /// Records how long an answer took, in milliseconds.
    pub fn record_answer(&mut self, elapsed_ms: f64) {
        let step = if self.answers < MIN_ANSWERS { 1.0 / (self.answers as f64 + 1.0) } else { STEP };
        self.answers += 1;
        if self.answers < MIN_ANSWERS {
            self.upper_quantile_ms = self.mean_ms;
            self.quiet_quantile_ms = self.mean_ms;
        }
        let is_above = elapsed_ms > self.upper_quantile_ms;
        self.upper_quantile_ms *= if is_above { QUANTILE_RISE } else { QUANTILE_FALL };
        self.deviation_ms += step * ((elapsed_ms - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += step * (elapsed_ms - self.mean_ms);
    }

    /// Counts a request; `is_first` if its client has not tried before.
    pub fn record_request(&mut self, is_first: bool) {
        self.requested += if is_first { 1.0 } else { 0.0 };
    }

    /// Counts a request that was answered within its objective.
    pub fn record_served(&mut self) {
        self.served += 1.0;
    }

    /// Counts an attempt that the endpoints answered in time or failed.
    pub fn record_failure(&mut self, failed: f64) {
        self.failure_share += FAILURE_STEP * (failed - self.failure_share);
    }

    /// Lets the counts fade by the time that has passed, and the quiet time follow.
    pub fn decay(&mut self, seconds: f64) {
        let keep = (-seconds / SERVED_MEMORY_SECONDS).exp();
        self.requested *= keep;
        self.served *= keep;
        let risen = self.quiet_quantile_ms * (1.0 + QUIET_RISE_PER_SECOND * seconds);
        self.quiet_quantile_ms = risen.min(self.upper_quantile_ms);
    }

    /// Share of recent attempts, over all endpoints, that were rejected, late or lost.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Requests lately, without further tries.
    pub fn requested(&self) -> f64 {
        self.requested
    }

    /// Part of these that was answered within the objective; 1 where there were none.
    pub fn served_share(&self) -> f64 {
        if self.requested > 0.0 { self.served / self.requested } else { 1.0 }
    }

    /// The mean time of an answer, at least 1 ms.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms.max(MIN_MEAN_MS)
    }

    /// The time that four of five answers stay below in quiet periods, in milliseconds.
    pub fn quiet_quantile_ms(&self) -> f64 {
        self.quiet_quantile_ms
    }

    /// Whether a client deadline is so short that a timeout says nothing about the endpoint.
    pub fn is_short_deadline(&self, allowed_ms: f64, latency_objective_ms: f64) -> bool {
        allowed_ms < latency_objective_ms * SHORT_DEADLINE_PART
            && self.answers >= MIN_ANSWERS
            && allowed_ms < self.mean_ms + SHORT_DEADLINE_DEVIATIONS * self.deviation_ms
    }

    /// n, the time by which nearly all answers have come, in milliseconds; none where too few are known.
    pub fn short_timeout_ms(&self) -> Option<f64> {
        (self.answers >= MIN_ANSWERS).then_some(self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms)
    }
}
