//! Limits the rate at which this node sends requests to a restarted endpoint.
//!
//! A restarted endpoint has a small part of its full capacity, which grows while it warms up. It fails if all
//! nodes together send it more than a multiple of its present capacity, but a node does not know how much the
//! other nodes send.
//!
//! So each node uses its share of a budget for all nodes: a token bucket that holds at most one request. Its
//! fill rate depends on the endpoint's age and on the rate that this node observes at warm endpoints.

use super::settings::Settings;
use super::tuning::Tuning;

/// Lower bound of the initial capacity from the settings, as a share of the full capacity.
const MIN_INITIAL_CAPACITY: f64 = 0.01;
/// Work of a request at an endpoint that has not served its key recently, relative to its work at an endpoint
/// that has.
const COLD_KEY_WORK_FACTOR: f64 = 2.0;
/// Requests that all nodes together may send to a restarted endpoint in one overload window, whatever its
/// capacity is.
const MIN_REQUESTS_PER_WINDOW: f64 = 3.0;
/// A restarted endpoint may be sent requests at this multiple of the rate at which it served this node's
/// requests in the last second.
const SERVED_RATE_MULTIPLE: f64 = 2.0;
/// Square of the safety margin below the overload multiple. The margin is a multiple of the square root of
/// the mean work; the root of 18 stands for three standard deviations of work whose variance is twice its
/// mean.
const SAFETY_MARGIN_SQUARED: f64 = 18.0;
/// The safety margin with sparse traffic, as a multiple of the square root of the mean work. It stands for
/// two standard deviations if all requests have the same work.
const SAFETY_MARGIN_SPARSE_TRAFFIC: f64 = 2.0;
/// The times at which two processes of a node see the same start of an endpoint differ by less than this, in
/// milliseconds. Each converts it from the wall clock.
const START_TOLERANCE_MS: f64 = 100.0;
/// Capacity of the token bucket, in requests.
const BUCKET_CAPACITY: f64 = 1.0;

/// The start time and the token bucket of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowStart {
    /// When the endpoint last started, in milliseconds on the balancer's clock; `None` if its start was never
    /// reported.
    pub started_at_ms: Option<f64>,
    /// Content of the token bucket at `refilled_at_ms`, in requests of mean work. It may be negative: each
    /// attempt takes a token, and a warm endpoint gets attempts whether or not the bucket contains one.
    tokens: f64,
    /// When the bucket was last refilled, in milliseconds on the balancer's clock.
    refilled_at_ms: f64,
}

impl SlowStart {
    /// Creates the slow start of an endpoint that is new to this node. `started_at_ms` is `None` if the start
    /// was not reported. The caller draws `tokens` at random, 0 to 1, so that the nodes do not all send
    /// their first request at the same time.
    pub fn new(now_ms: f64, started_at_ms: Option<f64>, tokens: f64) -> SlowStart {
        SlowStart { started_at_ms, tokens, refilled_at_ms: now_ms }
    }

    /// Restarts the slow start: the endpoint started at `started_at_ms`. `tokens` is random as in
    /// [`SlowStart::new`].
    pub fn restart(&mut self, started_at_ms: f64, tokens: f64) {
        self.started_at_ms = Some(started_at_ms);
        self.tokens = tokens;
    }

    /// Applies the start time that the previous process handed over, if it is later than the known one.
    /// `started_at_ms` is `None` if the slow start was over.
    pub fn restore(&mut self, started_at_ms: Option<f64>) {
        if let Some(restored_ms) = started_at_ms.filter(|at_ms| !at_ms.is_nan()) {
            self.started_at_ms =
                Some(self.started_at_ms.map_or(restored_ms, |known_ms| restored_ms.max(known_ms)));
        }
    }

    /// Returns whether this slow start is not over, and is a later one than that which the previous process
    /// handed over. `restored_ms` is `None` if the slow start was over then. It is never before the true
    /// start, because the age of a snapshot counts as zero.
    pub fn is_later_than(&self, restored_ms: Option<f64>, now_ms: f64, slow_start_ms: f64) -> bool {
        self.started_at_ms.is_some_and(|at_ms| {
            let is_later = |restored_ms| at_ms > restored_ms + START_TOLERANCE_MS;
            now_ms - at_ms < slow_start_ms && restored_ms.is_none_or(is_later)
        })
    }

    /// Returns the time since the endpoint started, in milliseconds; infinite if its start was never
    /// reported.
    pub fn age_ms(&self, now_ms: f64) -> f64 {
        self.started_at_ms.map_or(f64::INFINITY, |at_ms| now_ms - at_ms)
    }

    /// Sets the content of the token bucket at `now_ms`, in requests of mean work.
    pub fn set_tokens(&mut self, now_ms: f64, tokens: f64) {
        self.tokens = tokens;
        self.refilled_at_ms = now_ms;
    }
}

/// The inputs to the budget for restarted endpoints: the settings, and the rate that this node observes at
/// warm endpoints.
#[derive(Debug)]
pub(super) struct SlowStartBudget {
    /// Time after its start at which an endpoint has its full capacity.
    duration_ms: f64,
    /// Capacity of an endpoint at its start, as a share of its full capacity.
    initial_capacity: f64,
    /// An endpoint fails if it is sent more than this multiple of its present capacity for the length of the
    /// overload window.
    overload_multiple: f64,
    overload_window_seconds: f64,
    node_count: f64,
    /// This node has so small a part of the traffic that most endpoints have none of its attempts in
    /// flight.
    sees_sparse_traffic: bool,
    /// Mean served rate of the warm endpoints, in requests of this node per second; 0 until the rate of a
    /// warm endpoint has been observed.
    warm_rate_per_second: f64,
}

impl SlowStartBudget {
    /// Creates the budget of a node that has not observed a warm endpoint yet.
    pub fn new(settings: &Settings, tuning: &Tuning) -> SlowStartBudget {
        SlowStartBudget {
            duration_ms: settings.slow_start_ms,
            initial_capacity: settings.slow_start_initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0),
            overload_multiple: settings.overload_multiple,
            overload_window_seconds: settings.overload_window_ms / 1000.0,
            node_count: f64::from(settings.node_count.max(1)),
            sees_sparse_traffic: tuning.sees_sparse_traffic,
            warm_rate_per_second: 0.0,
        }
    }

    /// Returns whether an endpoint of this age has its full capacity.
    pub fn is_warm(&self, age_ms: f64) -> bool {
        age_ms >= self.duration_ms
    }

    /// Returns the present capacity of an endpoint of this age as a share of its full capacity, 0 to 1. The
    /// capacity is assumed to grow as slowly as the settings allow: linearly, over the whole slow start.
    fn capacity_share(&self, age_ms: f64) -> f64 {
        if self.is_warm(age_ms) {
            return 1.0;
        }
        let elapsed_share = (age_ms / self.duration_ms).clamp(0.0, 1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * elapsed_share
    }

    /// Returns the share of its weight that an endpoint has in the placement, 0 to 1: its capacity share by
    /// age or, if that is higher, its served rate relative to that of a warm endpoint. With sparse traffic
    /// the served rate is not used.
    pub fn placement_share(&self, age_ms: f64, served_per_second: f64) -> f64 {
        let inverse_warm_rate =
            if self.sees_sparse_traffic { 0.0 } else { 1.0 / self.warm_rate_per_second.max(1.0) };
        self.capacity_share(age_ms).max((inverse_warm_rate * served_per_second).min(1.0))
    }

    /// Records the mean served rate of the warm endpoints, in requests of this node per second. Keeps the
    /// last rate if `mean_per_second` is `None`, because there is no warm endpoint.
    pub fn observe_warm_rate(&mut self, mean_per_second: Option<f64>) {
        self.warm_rate_per_second = mean_per_second.unwrap_or(self.warm_rate_per_second);
    }

    /// Halves the observed rate at the start of a handover, because the old and the new process then share
    /// this node's traffic.
    pub fn halve_warm_rate(&mut self) {
        self.warm_rate_per_second /= 2.0;
    }

    /// Returns the rate at which this node may send requests to a restarted endpoint, in requests per second.
    fn rate_per_second(&self, age_ms: f64, served_per_second: f64) -> f64 {
        let share = self.capacity_share(age_ms);
        let ramp_rate = self.ramp_rate_per_second(share).min(share * self.warm_rate_per_second);
        // The endpoint may warm up far faster than the assumed ramp. The rate that it has just served is a
        // lower bound of its capacity, if this node sends it enough requests to observe that rate.
        let observed_rate =
            if self.sees_sparse_traffic { 0.0 } else { SERVED_RATE_MULTIPLE * served_per_second };
        ramp_rate.max(observed_rate).max(self.fallback_rate_per_second())
    }

    /// Returns this node's share of the rate that all nodes together may send to an endpoint with this
    /// capacity share, in requests per second.
    ///
    /// Because requests arrive at random and differ in work, the rate is chosen so that the mean work in an
    /// overload window plus a margin stays below the overload multiple. The margin is a multiple of the
    /// square root of the mean, so the mean is the solution of a quadratic equation.
    fn ramp_rate_per_second(&self, capacity_share: f64) -> f64 {
        let budget_per_window = self.overload_multiple
            * capacity_share
            * self.warm_rate_per_second
            * self.node_count
            * self.overload_window_seconds
            / COLD_KEY_WORK_FACTOR;
        let margin = if self.sees_sparse_traffic {
            SAFETY_MARGIN_SPARSE_TRAFFIC
        } else {
            SAFETY_MARGIN_SQUARED.sqrt()
        };
        let root_of_mean = ((margin * margin + 4.0 * budget_per_window).sqrt() - margin) / 2.0;
        root_of_mean * root_of_mean / self.overload_window_seconds / self.node_count
    }

    /// Returns the rate at which this node may send requests to a restarted endpoint before it has observed
    /// the rate of a warm endpoint, in requests per second; 0 after that.
    ///
    /// Until then the node does not know the capacity of the endpoints, and perhaps none of them is warm. So
    /// that some requests are served, it sends its share of the minimum that is always allowed.
    fn fallback_rate_per_second(&self) -> f64 {
        if self.warm_rate_per_second > 0.0 {
            return 0.0;
        }
        MIN_REQUESTS_PER_WINDOW / self.overload_window_seconds / self.node_count
    }

    /// Returns the content of an endpoint's token bucket at `now_ms`, in requests of mean work.
    pub fn tokens(&self, now_ms: f64, slow_start: &SlowStart, served_per_second: f64) -> f64 {
        let rate = self.rate_per_second(slow_start.age_ms(now_ms), served_per_second);
        let refilled = rate * (now_ms - slow_start.refilled_at_ms) / 1000.0;
        (slow_start.tokens + refilled).min(BUCKET_CAPACITY)
    }

    /// Returns whether the slow start of an endpoint allows one more request: always, if the endpoint is
    /// warm.
    pub fn allows_send(&self, now_ms: f64, slow_start: &SlowStart, served_per_second: f64) -> bool {
        self.is_warm(slow_start.age_ms(now_ms)) || self.tokens(now_ms, slow_start, served_per_second) >= 1.0
    }
}
