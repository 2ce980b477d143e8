//! How many requests this node may have in flight at one endpoint, learned from outcomes.
//!
//! The capacity of an endpoint is not announced, and the share that other nodes use changes. So each answer
//! without overload raises the limit a little and each with overload lowers it, until overload settles at
//! [`TARGET_OVERLOAD`]. Below 1 the limit is a duty cycle: one request at a time, with pauses between.

/// Share of overload that the learned limits and admission settle at.
pub(super) const TARGET_OVERLOAD: f64 = 0.2;
/// Growth of the limit for an answer without overload.
const STEP: f64 = 0.1;
/// Growth is faster by this factor until overload first shows.
const INITIAL_GROWTH_FACTOR: f64 = 5.0;
/// Lower bound of the limit, in requests in flight over all nodes: at an endpoint that rejects ...
const FLOOR_WHEN_REJECTING: f64 = 2.0;
/// ... and at one that is late. With so few in flight, lateness is a fault and not a full queue. Does not
/// fit endpoints for which two requests at once are too many.
const FLOOR_WHEN_LATE: f64 = 0.5;

/// The limit for an endpoint of which nothing is known, in requests in flight.
///
/// Two, but at least eight over all nodes; with many nodes each has its share of 32, so that together they
/// do not flood an endpoint before any of them has learned.
pub(super) fn initial_limit(node_count: u32) -> f64 {
    let nodes = f64::from(node_count.max(1));
    (32.0 / nodes).clamp(0.4, 2.0).max(8.0 / nodes)
}

/// The learned limit of one endpoint.
#[derive(Debug, Default)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    /// When the cuts last added up to the limit itself; outcomes of attempts sent before then are ignored.
    /// None before the first cut.
    fully_cut_at_ms: Option<f64>,
    /// What cuts have taken since then.
    cut_since: f64,
    /// With a limit below 1, when the next request may be sent.
    paused_until_ms: Option<f64>,
}

/// What one outcome says of an endpoint's load.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSample {
    pub now_ms: f64,
    /// How long the attempt was in flight, in milliseconds.
    pub elapsed_ms: f64,
    /// Requests still in flight at the endpoint.
    pub in_flight: u32,
    /// 0 for well within the objective to 1 for late.
    pub overload: f64,
    /// Part of the unused limit that is cut.
    pub unused_cut_share: f64,
    /// The limit is not cut below this.
    pub floor: f64,
}

impl ConcurrencyLimit {
    /// A limit that nothing has been learned for.
    pub fn new(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit { limit, ..ConcurrencyLimit::default() }
    }

    /// The limit, in requests in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more request may not be sent.
    pub fn blocks(&self, now_ms: f64, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 > self.limit.max(1.0)
            || self.paused_until_ms.is_some_and(|until| now_ms < until)
    }

    /// Takes over the limit that the previous process had learned, if it is lower: that process may still
    /// fill a larger one, and what is left is soon learned.
    pub fn restore(&mut self, now_ms: f64, learned: f64) {
        if learned > 0.0 && learned < self.limit {
            self.limit = learned;
            self.fully_cut_at_ms = Some(now_ms);
        }
    }

    /// Learns from one outcome.
    pub fn learn(&mut self, sample: LoadSample) {
        // A small limit moves in proportion, and overload takes away as much as its absence adds at the
        // target.
        let step = STEP * self.limit.min(1.0) * (1.0 - sample.overload / TARGET_OVERLOAD);
        let sent_at_ms = sample.now_ms - sample.elapsed_ms;
        let is_news = self.fully_cut_at_ms.is_none_or(|cut_at| sent_at_ms >= cut_at);
        if step < 0.0 && is_news {
            self.cut(step, &sample);
        } else if step > 0.0 && f64::from(sample.in_flight) + 1.0 >= self.limit / 2.0 {
            let growing_first = self.fully_cut_at_ms.is_none();
            self.limit += if growing_first { step * INITIAL_GROWTH_FACTOR } else { step };
        }
        if self.limit < 1.0 {
            self.paused_until_ms = Some(sample.now_ms + sample.elapsed_ms * (1.0 / self.limit - 1.0));
        }
    }

    /// Cuts the limit by a step, and by part of what was unused when overload showed: that part was never
    /// available.
    fn cut(&mut self, step: f64, sample: &LoadSample) {
        let unused = (self.limit - f64::from(sample.in_flight) - 1.0).max(0.0);
        self.limit =
            (self.limit + step - sample.unused_cut_share * unused).max(sample.floor.min(self.limit));
        self.cut_since -= step;
        if self.cut_since > self.limit || self.fully_cut_at_ms.is_none() {
            self.fully_cut_at_ms = Some(sample.now_ms);
            self.cut_since = 0.0;
        }
    }
}

/// The least limit of one node at an endpoint that rejected a request (`rejected`) or was late.
pub(super) fn limit_floor(rejected: bool, node_count: u32) -> f64 {
    let over_all_nodes = if rejected { FLOOR_WHEN_REJECTING } else { FLOOR_WHEN_LATE };
    over_all_nodes / f64::from(node_count.max(1))
}
