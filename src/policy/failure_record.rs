//! Which endpoints fail: a window of recent failures, the congested state, and its trials.
//!
//! An endpoint that hangs or has gone costs each request sent there its time. So failures and attempts are
//! counted in a window of N milliseconds, kept in buckets. More than M failures make the endpoint
//! congested: nothing is sent there before PRAT, the proxy retry-at time. After PRAT one request at a time
//! is a trial. Any answer makes the endpoint live again; a failure sets PRAT anew.

/// Buckets of the failure window.
const BUCKETS: usize = 16;
/// M, the failures allowed in the window, is this ...
const ALLOWED_FAILURES: f64 = 1.0;
/// ... plus this part of the attempts ...
const ALLOWED_FAILURE_SHARE: f64 = 0.25;
/// ... plus this multiple of the failure share of all endpoints: a shared failure says little of one
/// endpoint.
const FLEET_SHARE_FACTOR: f64 = 3.0;
/// A run of failures trips an endpoint if chance alone brings it less often than this.
const CHANCE_OF_RUN: f64 = 0.005;
/// The failure share of all endpoints is taken to lie within these bounds where chance is estimated.
const FLEET_SHARE_BOUNDS: (f64, f64) = (0.02, 0.95);

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    failures: u16,
    attempts: u16,
}

/// What the failure window holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowTotals {
    pub failures: f64,
    pub attempts: f64,
}

/// The failure record of one endpoint.
#[derive(Debug, Default)]
pub(super) struct FailureRecord {
    buckets: [Bucket; BUCKETS],
    /// Number of the newest bucket, counted from the clock's origin.
    newest_bucket: u64,
    /// Failures since the last answer of any kind.
    consecutive_failures: u32,
    congested: bool,
    prat_ms: f64,
    /// Trials failed in a row.
    failed_trials: u32,
    trial_pending: bool,
    /// A trial found no connection: the process may have ended, and a new one starts slowly.
    unreachable: bool,
}

/// How a trial ended that was answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Recovery {
    /// Trials that failed before.
    pub failed_trials: u32,
    /// One of them found no connection.
    pub was_unreachable: bool,
}

impl FailureRecord {
    /// Nothing is sent but trials.
    pub fn is_congested(&self) -> bool {
        self.congested
    }

    /// When the first trial may be sent, in milliseconds on the balancer's clock; meaningful only while
    /// congested.
    pub fn prat_ms(&self) -> f64 {
        self.prat_ms
    }

    /// The last attempt failed, or the endpoint is congested.
    pub fn is_suspect(&self) -> bool {
        self.congested || self.consecutive_failures > 0
    }

    /// A trial may be sent now.
    pub fn is_trial_due(&self, now_ms: f64) -> bool {
        self.congested && !self.trial_pending && now_ms >= self.prat_ms
    }

    /// Counts an attempt that ended, in a window of `window_ms`.
    pub fn record(&mut self, now_ms: f64, window_ms: f64, failed: bool) {
        self.advance(now_ms, window_ms);
        let bucket = &mut self.buckets[(self.newest_bucket % BUCKETS as u64) as usize];
        bucket.failures = bucket.failures.saturating_add(u16::from(failed));
        bucket.attempts = bucket.attempts.saturating_add(1);
        self.consecutive_failures = if failed { self.consecutive_failures.saturating_add(1) } else { 0 };
    }

    /// Empties the buckets whose time is over.
    fn advance(&mut self, now_ms: f64, window_ms: f64) {
        let current = (now_ms.max(0.0) / (window_ms / BUCKETS as f64)) as u64;
        let passed = current.saturating_sub(self.newest_bucket).min(BUCKETS as u64);
        for age in 0..passed {
            self.buckets[((current - age) % BUCKETS as u64) as usize] = Bucket::default();
        }
        self.newest_bucket = self.newest_bucket.max(current);
    }

    /// What the window holds.
    pub fn totals(&self) -> WindowTotals {
        let sum = |count: fn(&Bucket) -> u16| -> f64 {
            self.buckets.iter().map(|bucket| f64::from(count(bucket))).sum()
        };
        WindowTotals { failures: sum(|bucket| bucket.failures), attempts: sum(|bucket| bucket.attempts) }
    }

    /// Whether the failures in the window are more than M, or the latest form a run that is too long for
    /// chance.
    ///
    /// `fleet_failure_share` is the failure share of all endpoints. With sparse traffic a window holds an
    /// attempt or two, and a wrong trip costs next to nothing: any failure trips.
    pub fn should_trip(&self, fleet_failure_share: f64, sees_sparse_traffic: bool) -> bool {
        let WindowTotals { failures, attempts } = self.totals();
        let allowed = ALLOWED_FAILURES
            + attempts * (ALLOWED_FAILURE_SHARE + FLEET_SHARE_FACTOR * fleet_failure_share);
        let allowed_run =
            if sees_sparse_traffic { 0.0 } else { longest_run_by_chance(fleet_failure_share) };
        // A run counts only as far as it is within the window.
        let run = failures.min(f64::from(self.consecutive_failures));
        !self.congested && (failures > allowed || run > allowed_run)
    }

    /// Makes the endpoint congested until `prat_ms`.
    pub fn trip(&mut self, prat_ms: f64) {
        self.congested = true;
        self.prat_ms = prat_ms;
    }

    /// Takes over what the previous process knew: the PRAT of a congested endpoint, none for a live one.
    pub fn restore(&mut self, prat_ms: Option<f64>) {
        self.congested = prat_ms.is_some();
        self.prat_ms = prat_ms.unwrap_or(0.0);
    }

    /// Notes that an attempt was sent. True if it is a trial.
    pub fn attempt_sent(&mut self) -> bool {
        self.trial_pending |= self.congested;
        self.congested
    }

    /// Trials failed in a row.
    pub fn failed_trials(&self) -> u32 {
        self.failed_trials
    }

    /// A trial was cancelled or never sent: the next may follow.
    pub fn trial_abandoned(&mut self) {
        self.trial_pending = false;
    }

    /// A trial failed: the next may follow at `prat_ms`. `unreachable` if it found no connection.
    pub fn trial_failed(&mut self, prat_ms: f64, unreachable: bool) {
        self.trial_pending = false;
        self.failed_trials += 1;
        self.unreachable |= unreachable;
        self.prat_ms = prat_ms;
    }

    /// A trial was answered: the endpoint is live.
    pub fn trial_answered(&mut self) -> Recovery {
        let recovery = Recovery { failed_trials: self.failed_trials, was_unreachable: self.unreachable };
        self.clear();
        recovery
    }

    /// Forgets all that is known, as for a new process.
    pub fn clear(&mut self) {
        *self = FailureRecord { newest_bucket: self.newest_bucket, ..FailureRecord::default() };
    }
}

/// The longest run of failures that chance brings often enough to be taken for chance.
fn longest_run_by_chance(fleet_failure_share: f64) -> f64 {
    let (least, most) = FLEET_SHARE_BOUNDS;
    1.0 + CHANCE_OF_RUN.ln() / fleet_failure_share.clamp(least, most).ln()
}
