//! Limits how many requests this node may have in flight at one endpoint, and learns the limit from
//! outcomes.
//!
//! An endpoint does not announce its capacity, and the share of it that other nodes use changes. Each
//! answer without overload therefore raises the limit a little, and each answer with overload lowers it,
//! until overload settles at [`TARGET_OVERLOAD`]. A limit below 1 is a duty cycle: one request at a time,
//! with a pause after each.

/// The degree of overload, 0 to 1, at which concurrency limits and the admission level are stable.
pub(super) const TARGET_OVERLOAD: f64 = 0.2;
/// Growth of the limit for one answer without overload, in requests in flight.
const GROWTH_STEP: f64 = 0.1;
/// Factor by which the limit grows faster until overload first shows.
const INITIAL_GROWTH_FACTOR: f64 = 5.0;
/// Lower bound of the limit at an endpoint that rejects requests, in requests in flight summed over all
/// nodes. It is too high for endpoints that two concurrent requests already overload.
const MIN_LIMIT_WHEN_REJECTING: f64 = 2.0;
/// Lower bound of the limit at an endpoint that answers late, in requests in flight summed over all nodes.
/// With so few requests in flight, late answers are caused by a fault of the endpoint and not by a full
/// queue, and a lower limit would only serve fewer requests.
const MIN_LIMIT_WHEN_LATE: f64 = 0.5;

/// Returns the initial limit for an endpoint about which nothing is known, in requests in flight.
///
/// It is 2, or more if the nodes together would have fewer than 8. With more than 16 nodes each node has
/// its share of 32, but at least 0.4, so that the nodes together do not flood an endpoint before any of
/// them has learned its limit.
pub(super) fn initial_limit(node_count: u32) -> f64 {
    let nodes = f64::from(node_count.max(1));
    (32.0 / nodes).clamp(0.4, 2.0).max(8.0 / nodes)
}

/// The learned limit of one endpoint, and the pause that a limit below 1 requires.
#[derive(Debug, Default)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    /// Time of the last full cut, in milliseconds on the balancer's clock. The first cut counts as one;
    /// after that, a full cut is complete when the cuts since the previous one add up to the limit.
    /// Overload of attempts sent before then is ignored, because the limit already reflects it. A limit
    /// restored from the previous process counts as a full cut. `None` before the first full cut.
    last_full_cut_at_ms: Option<f64>,
    /// Sum of the cuts since the last full cut, in requests in flight.
    accumulated_cuts: f64,
    /// When the next request may be sent, in milliseconds on the balancer's clock. `None` if the limit has
    /// never been below 1.
    paused_until_ms: Option<f64>,
}

/// The load of an endpoint as the end of one attempt shows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSample {
    pub now_ms: f64,
    /// Time from sending the attempt to its end, in milliseconds.
    pub elapsed_ms: f64,
    /// Requests of this node that are still in flight at the endpoint.
    pub in_flight: u32,
    /// Degree of overload, from 0 for an answer well within the objective to 1 for a late answer, a
    /// rejection or a failure. The overload of the whole fleet reduces it in proportion.
    pub overload: f64,
    /// Share of the unused part of the limit that is cut, 0 to 1.
    pub unused_cut_share: f64,
    /// Lower bound of the limit for this node, in requests in flight; a limit that is already lower is not
    /// raised.
    pub min_limit: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit for an endpoint about which nothing has been learned.
    pub fn new(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit { limit, ..ConcurrencyLimit::default() }
    }

    /// The limit, in requests in flight; may be below 1.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether the limit forbids one more request.
    pub fn blocks(&self, now_ms: f64, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 > self.limit.max(1.0)
            || self.paused_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Takes over the limit that the previous process of this node had learned, if it is lower. A larger
    /// one is not taken over: the previous process may still have that many requests in flight, and this
    /// process soon learns the remaining capacity.
    pub fn restore(&mut self, now_ms: f64, learned_limit: f64) {
        if learned_limit > 0.0 && learned_limit < self.limit {
            self.limit = learned_limit;
            self.last_full_cut_at_ms = Some(now_ms);
        }
    }

    /// Raises or cuts the limit after one outcome.
    pub fn learn(&mut self, sample: LoadSample) {
        // A small limit changes in proportion to itself. At the target overload the step is zero.
        let step = GROWTH_STEP * self.limit.min(1.0) * (1.0 - sample.overload / TARGET_OVERLOAD);
        let sent_at_ms = sample.now_ms - sample.elapsed_ms;
        let was_sent_after_full_cut =
            self.last_full_cut_at_ms.is_none_or(|cut_at_ms| sent_at_ms >= cut_at_ms);
        if step < 0.0 && was_sent_after_full_cut {
            self.cut(step, &sample);
        } else if step > 0.0 && f64::from(sample.in_flight) + 1.0 >= self.limit / 2.0 {
            let is_initial_growth = self.last_full_cut_at_ms.is_none();
            self.limit += if is_initial_growth { step * INITIAL_GROWTH_FACTOR } else { step };
        }
        if self.limit < 1.0 {
            self.paused_until_ms = Some(sample.now_ms + sample.elapsed_ms * (1.0 / self.limit - 1.0));
        }
    }

    /// Cuts the limit by a negative `step`, and by a share of the part that was unused when overload
    /// showed: that part was never available.
    fn cut(&mut self, step: f64, sample: &LoadSample) {
        let unused = (self.limit - f64::from(sample.in_flight) - 1.0).max(0.0);
        self.limit =
            (self.limit + step - sample.unused_cut_share * unused).max(sample.min_limit.min(self.limit));
        self.accumulated_cuts -= step;
        if self.accumulated_cuts > self.limit || self.last_full_cut_at_ms.is_none() {
            self.last_full_cut_at_ms = Some(sample.now_ms);
            self.accumulated_cuts = 0.0;
        }
    }
}

/// Returns the lower bound of one node's limit at an endpoint: the bound for rejections if `is_rejection`
/// is set, otherwise the bound for late answers.
pub(super) fn min_limit(is_rejection: bool, node_count: u32) -> f64 {
    let limit_over_all_nodes = if is_rejection { MIN_LIMIT_WHEN_REJECTING } else { MIN_LIMIT_WHEN_LATE };
    limit_over_all_nodes / f64::from(node_count.max(1))
}
