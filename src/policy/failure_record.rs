//! Records the failures of one endpoint, and decides when it becomes congested and when a trial may be sent.
//!
//! An endpoint that hangs or no longer exists uses up the time that each request sent to it has for an
//! answer.
//!
//! Failures and attempts are counted in a sliding window of N milliseconds, which consists of buckets. With
//! more than M failures in the window the endpoint becomes congested: no request is sent to it before PRAT,
//! the proxy retry-at time. After PRAT, one request at a time is sent as a trial. If the trial gets any
//! answer, the endpoint is live again; if the trial fails, PRAT is set to a later time.

/// Number of buckets in the failure window.
const BUCKETS: usize = 16;
/// Constant term of M, the number of failures allowed in the window.
const ALLOWED_FAILURES: f64 = 1.0;
/// Term of M that grows with the attempts in the window: allowed failures per attempt.
const ALLOWED_FAILURE_SHARE: f64 = 0.25;
/// Term of M that grows with the failure share of all endpoints: allowed failures per attempt, as a multiple
/// of that share. A failure that affects all endpoints says little about one of them.
const FLEET_FAILURE_SHARE_FACTOR: f64 = 3.0;
/// A run of consecutive failures trips an endpoint if the probability that it arises by chance is lower than
/// this.
const RUN_PROBABILITY_THRESHOLD: f64 = 0.005;
/// Bounds that the failure share of all endpoints is clamped to before that probability is computed.
const FLEET_FAILURE_SHARE_BOUNDS: (f64, f64) = (0.02, 0.95);

/// Counts of the attempts that ended within one part of the failure window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    failures: u16,
    attempts: u16,
}

/// Counts of the attempts that ended within the failure window.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowTotals {
    pub failures: f64,
    /// Failures and answers.
    pub attempts: f64,
}

/// The failure window of one endpoint and, if the endpoint is congested, the state of its trials.
#[derive(Debug, Default)]
pub(super) struct FailureRecord {
    buckets: [Bucket; BUCKETS],
    /// Number of the newest bucket, counted from the clock's origin. Bucket number `n` is stored at index
    /// `n % BUCKETS`.
    newest_bucket: u64,
    /// Failures since the last recorded success.
    consecutive_failures: u32,
    congested: bool,
    /// Proxy retry-at time, in milliseconds on the balancer's clock; meaningful only if `congested` is set.
    prat_ms: f64,
    /// Consecutive trials that failed.
    failed_trials: u32,
    /// A trial is in flight.
    trial_pending: bool,
    /// When the next trial may be sent whose request may not be repeated, if that is later than PRAT, in
    /// milliseconds on the balancer's clock.
    unrepeatable_trial_at_ms: f64,
    /// A connection could not be made for at least one trial. The endpoint's process may have ended; a new
    /// process needs a slow start.
    unreachable: bool,
}

/// Summary of a congested period that an answered trial has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Recovery {
    /// Number of trials that failed during the congested period.
    pub failed_trials: u32,
    /// A connection could not be made for at least one of the failed trials.
    pub was_unreachable: bool,
}

impl FailureRecord {
    /// Returns whether the endpoint is congested: it gets no requests other than trials.
    pub fn is_congested(&self) -> bool {
        self.congested
    }

    /// Returns the proxy retry-at time: when the next trial may be sent, in milliseconds on the balancer's
    /// clock. Meaningful only while the endpoint is congested.
    pub fn prat_ms(&self) -> f64 {
        self.prat_ms
    }

    /// Returns whether the endpoint is congested or the last recorded attempt failed.
    pub fn is_suspect(&self) -> bool {
        self.congested || self.consecutive_failures > 0
    }

    /// Returns whether a trial may be sent: the endpoint is congested, PRAT has passed and no trial is in
    /// flight.
    pub fn is_trial_due(&self, now_ms: f64) -> bool {
        self.congested && !self.trial_pending && now_ms >= self.prat_ms
    }

    /// Returns whether the pause after an abandoned trial is over, whose request may not be repeated.
    pub fn is_unrepeatable_trial_due(&self, now_ms: f64) -> bool {
        now_ms >= self.unrepeatable_trial_at_ms
    }

    /// Counts an attempt that has ended. `window_ms` is N, the length of the failure window.
    pub fn record(&mut self, now_ms: f64, window_ms: f64, failed: bool) {
        self.advance(now_ms, window_ms);
        let bucket = &mut self.buckets[(self.newest_bucket % BUCKETS as u64) as usize];
        bucket.failures = bucket.failures.saturating_add(u16::from(failed));
        bucket.attempts = bucket.attempts.saturating_add(1);
        self.consecutive_failures = if failed { self.consecutive_failures.saturating_add(1) } else { 0 };
    }

    /// Moves the window forward to `now_ms`, and clears the buckets that are reused.
    fn advance(&mut self, now_ms: f64, window_ms: f64) {
        let current = (now_ms.max(0.0) / (window_ms / BUCKETS as f64)) as u64;
        let passed = current.saturating_sub(self.newest_bucket).min(BUCKETS as u64);
        for age in 0..passed {
            self.buckets[((current - age) % BUCKETS as u64) as usize] = Bucket::default();
        }
        self.newest_bucket = self.newest_bucket.max(current);
    }

    /// Returns the counts of the whole window, as of the last recorded attempt.
    pub fn totals(&self) -> WindowTotals {
        let sum = |count: fn(&Bucket) -> u16| -> f64 {
            self.buckets.iter().map(|bucket| f64::from(count(bucket))).sum()
        };
        WindowTotals { failures: sum(|bucket| bucket.failures), attempts: sum(|bucket| bucket.attempts) }
    }

    /// Returns whether the endpoint must become congested: the window contains more than M failures, or the
    /// run of the latest failures is too long to be chance.
    ///
    /// `fleet_failure_share` is the share of recent attempts at all endpoints that failed, 0 to 1. With
    /// sparse traffic any failure trips the endpoint: the window contains only one or two attempts, and the
    /// cost of a false trip is negligible.
    pub fn should_trip(&self, fleet_failure_share: f64, sees_sparse_traffic: bool) -> bool {
        let WindowTotals { failures, attempts } = self.totals();
        let allowed = ALLOWED_FAILURES
            + attempts * (ALLOWED_FAILURE_SHARE + FLEET_FAILURE_SHARE_FACTOR * fleet_failure_share);
        let allowed_run =
            if sees_sparse_traffic { 0.0 } else { longest_run_by_chance(fleet_failure_share) };
        // Failures of the run that have left the window do not count.
        let run = failures.min(f64::from(self.consecutive_failures));
        !self.congested && (failures > allowed || run > allowed_run)
    }

    /// Makes the endpoint congested. `prat_ms` is when the first trial may be sent, in milliseconds on the
    /// balancer's clock.
    pub fn trip(&mut self, prat_ms: f64) {
        self.congested = true;
        self.prat_ms = prat_ms;
    }

    /// Applies the state that the previous process handed over. `prat_ms` is the PRAT if the endpoint is
    /// congested, and `None` if it is live.
    pub fn restore(&mut self, prat_ms: Option<f64>) {
        self.congested = prat_ms.is_some();
        self.prat_ms = prat_ms.unwrap_or(0.0);
    }

    /// Records that an attempt is sent. Returns whether it is a trial.
    pub fn attempt_sent(&mut self) -> bool {
        self.trial_pending |= self.congested;
        self.congested
    }

    /// Returns the number of consecutive trials that failed.
    pub fn failed_trials(&self) -> u32 {
        self.failed_trials
    }

    /// Records that a trial was cancelled or not sent. PRAT stays as it is, so another trial may be sent at
    /// once.
    pub fn trial_abandoned(&mut self) {
        self.trial_pending = false;
    }

    /// Records that a trial was cancelled whose request may not be repeated and may have run. The next such
    /// trial may be sent at `at_ms`, in milliseconds on the balancer's clock; others may be sent at once.
    pub fn unrepeatable_trial_abandoned(&mut self, at_ms: f64) {
        self.trial_abandoned();
        self.unrepeatable_trial_at_ms = at_ms;
    }

    /// Records that a trial failed. `prat_ms` is when the next trial may be sent, in milliseconds on the
    /// balancer's clock; `unreachable` says that no connection could be made.
    pub fn trial_failed(&mut self, prat_ms: f64, unreachable: bool) {
        self.trial_pending = false;
        self.failed_trials += 1;
        self.unreachable |= unreachable;
        self.prat_ms = prat_ms;
    }

    /// Records that a trial was answered, which makes the endpoint live. Clears the failure record.
    pub fn trial_answered(&mut self) -> Recovery {
        let recovery = Recovery { failed_trials: self.failed_trials, was_unreachable: self.unreachable };
        self.clear();
        recovery
    }

    /// Clears all counts and the congested state, as for a new process. `newest_bucket` stays: it is a time,
    /// not a count.
    pub fn clear(&mut self) {
        *self = FailureRecord { newest_bucket: self.newest_bucket, ..FailureRecord::default() };
    }
}

/// Returns the length of the longest run of failures that is attributed to chance. If each attempt fails with
/// a probability of `fleet_failure_share`, a first failure is followed by the rest of a run of this length
/// with a probability of [`RUN_PROBABILITY_THRESHOLD`].
fn longest_run_by_chance(fleet_failure_share: f64) -> f64 {
    let (min_share, max_share) = FLEET_FAILURE_SHARE_BOUNDS;
    1.0 + RUN_PROBABILITY_THRESHOLD.ln() / fleet_failure_share.clamp(min_share, max_share).ln()
}
