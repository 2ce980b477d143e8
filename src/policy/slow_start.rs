//! How fast a restarted endpoint gets traffic.
//!
//! A restarted endpoint has a small part of its capacity, which grows while it warms up, and falls over if
//! all nodes together send it more than a multiple of that. Nodes do not know of each other's sends, so
//! each has its share of a budget for the fleet: a token bucket, one request deep, that fills at a rate by
//! the endpoint's age and by what warm endpoints were seen to serve.

use super::settings::Settings;
use super::tuning::Tuning;

/// The smallest initial capacity that is assumed.
const MIN_INITIAL_CAPACITY: f64 = 0.01;
/// Work of a request at an endpoint without warm keys, relative to its work at a warm endpoint.
const COLD_KEY_WORK: f64 = 2.0;
/// Requests that all nodes together may send any restarted endpoint in one overload window, whatever it can
/// do.
const ALWAYS_ALLOWED_PER_WINDOW: f64 = 3.0;
/// A restarted endpoint may be sent this multiple of what it served in the last second.
const PROVEN_RATE_MULTIPLE: f64 = 2.0;
/// Safety margin of the budget below the overload multiple, in deviations, squared: three deviations of
/// work whose variance is twice its mean ...
const CHANCE_MARGIN_SQUARED: f64 = 18.0;
/// ... and, with sparse traffic, two deviations of even work.
const CHANCE_MARGIN_SPARSE: f64 = 2.0;
/// The depth of the token bucket, in requests.
const BUCKET_DEPTH: f64 = 1.0;

/// The slow start of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowStart {
    /// When the endpoint last started, in milliseconds on the balancer's clock; none if that was never
    /// reported.
    pub started_at_ms: Option<f64>,
    /// Requests of mean work that the budget allows, as of `refilled_at_ms`.
    tokens: f64,
    refilled_at_ms: f64,
}

impl SlowStart {
    /// The slow start of an endpoint that is new to this node. `tokens` is random, so that nodes differ.
    pub fn new(now_ms: f64, started_at_ms: Option<f64>, tokens: f64) -> SlowStart {
        SlowStart { started_at_ms, tokens, refilled_at_ms: now_ms }
    }

    /// Begins anew: the endpoint started at `started_at_ms`.
    pub fn restart(&mut self, started_at_ms: f64, tokens: f64) {
        self.started_at_ms = Some(started_at_ms);
        self.tokens = tokens;
    }

    /// Takes over a later start that the previous process knew.
    pub fn restore(&mut self, started_at_ms: Option<f64>) {
        if let Some(restored) = started_at_ms.filter(|at| !at.is_nan()) {
            self.started_at_ms = Some(self.started_at_ms.map_or(restored, |own| restored.max(own)));
        }
    }

    /// Time since the endpoint started, in milliseconds; infinite if that was never reported.
    pub fn age_ms(&self, now_ms: f64) -> f64 {
        self.started_at_ms.map_or(f64::INFINITY, |at| now_ms - at)
    }

    /// Sets the bucket's content as of now.
    pub fn set_tokens(&mut self, now_ms: f64, tokens: f64) {
        self.tokens = tokens;
        self.refilled_at_ms = now_ms;
    }
}

/// The budget for restarted endpoints: what the settings allow, and what this node has seen warm ones
/// serve.
#[derive(Debug)]
pub(super) struct SlowStartBudget {
    duration_ms: f64,
    initial_capacity: f64,
    overload_multiple: f64,
    overload_window_seconds: f64,
    node_count: f64,
    sees_sparse_traffic: bool,
    /// Requests a second that a warm endpoint serves this node; 0 until one was seen at work.
    warm_rate: f64,
}

impl SlowStartBudget {
    /// A budget of a node that has seen no endpoint at work.
    pub fn new(settings: &Settings, tuning: &Tuning) -> SlowStartBudget {
        SlowStartBudget {
            duration_ms: settings.slow_start_ms,
            initial_capacity: settings.slow_start_initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0),
            overload_multiple: settings.overload_multiple,
            overload_window_seconds: settings.overload_window_ms / 1000.0,
            node_count: f64::from(settings.node_count.max(1)),
            sees_sparse_traffic: tuning.sees_sparse_traffic,
            warm_rate: 0.0,
        }
    }

    /// Whether an endpoint of this age has its full capacity.
    pub fn is_warm(&self, age_ms: f64) -> bool {
        age_ms >= self.duration_ms
    }

    /// The present part of an endpoint's capacity, by the slowest ramp that the settings allow.
    fn capacity_share(&self, age_ms: f64) -> f64 {
        if self.is_warm(age_ms) {
            return 1.0;
        }
        let warmed = (age_ms / self.duration_ms).clamp(0.0, 1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * warmed
    }

    /// The part of its weight that an endpoint has in the placement: its place on the ramp, or more if it
    /// has served more.
    pub fn placement_share(&self, age_ms: f64, served_per_second: f64) -> f64 {
        let per_warm_rate = if self.sees_sparse_traffic { 0.0 } else { 1.0 / self.warm_rate.max(1.0) };
        self.capacity_share(age_ms).max((per_warm_rate * served_per_second).min(1.0))
    }

    /// Records what warm endpoints serve this node, in requests a second each; none if there is no warm
    /// endpoint.
    pub fn observe_warm_rate(&mut self, mean: Option<f64>) {
        self.warm_rate = mean.unwrap_or(self.warm_rate);
    }

    /// Another process serves alongside this one: each is served half of what one was.
    pub fn halve_warm_rate(&mut self) {
        self.warm_rate /= 2.0;
    }

    /// Requests a second that this node may send a restarted endpoint.
    fn rate_per_second(&self, age_ms: f64, served_per_second: f64) -> f64 {
        let share = self.capacity_share(age_ms);
        let by_ramp = self.ramp_rate(share).min(share * self.warm_rate);
        // If this node sees enough of its traffic, what the endpoint has just served is a lower bound of
        // what it can do; it may be far warmer than the slowest ramp.
        let proven = if self.sees_sparse_traffic { 0.0 } else { PROVEN_RATE_MULTIPLE * served_per_second };
        by_ramp.max(proven).max(self.rate_while_unknown())
    }

    /// This node's part of what all nodes may send, with a margin for chance: the mean of uneven work plus
    /// some deviations stays below the overload multiple.
    fn ramp_rate(&self, capacity_share: f64) -> f64 {
        let budget_per_window = self.overload_multiple
            * capacity_share
            * self.warm_rate
            * self.node_count
            * self.overload_window_seconds
            / COLD_KEY_WORK;
        let margin =
            if self.sees_sparse_traffic { CHANCE_MARGIN_SPARSE } else { CHANCE_MARGIN_SQUARED.sqrt() };
        let root = ((margin * margin + 4.0 * budget_per_window).sqrt() - margin) / 2.0;
        root * root / self.overload_window_seconds / self.node_count
    }

    /// Until this node has seen a warm endpoint at work it does not know what endpoints can do, and there
    /// may be no warm one. Then it sends the minimum that is allowed in any case, so that something is
    /// served.
    fn rate_while_unknown(&self) -> f64 {
        if self.warm_rate > 0.0 {
            return 0.0;
        }
        ALWAYS_ALLOWED_PER_WINDOW / self.overload_window_seconds / self.node_count
    }

    /// Requests that the budget allows an endpoint at this moment.
    pub fn tokens(&self, now_ms: f64, slow_start: &SlowStart, served_per_second: f64) -> f64 {
        let rate = self.rate_per_second(slow_start.age_ms(now_ms), served_per_second);
        let refilled = rate * (now_ms - slow_start.refilled_at_ms) / 1000.0;
        (slow_start.tokens + refilled).min(BUCKET_DEPTH)
    }

    /// Whether an endpoint may be sent one more request.
    pub fn allows_send(&self, now_ms: f64, slow_start: &SlowStart, served_per_second: f64) -> bool {
        self.is_warm(slow_start.age_ms(now_ms)) || self.tokens(now_ms, slow_start, served_per_second) >= 1.0
    }
}
