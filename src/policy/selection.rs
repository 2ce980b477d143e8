//! Which endpoint a request goes to.
//!
//! Endpoints need less work for keys that they met lately, so a key should keep to few of them; but one
//! endpoint alone would be overloaded by a hot key and lost with a crash. Weighted rendezvous hashing ranks
//! the endpoints for each key, and the first two are its candidates. Of these the one with fewer requests
//! of this node in flight is taken. If neither can be used, the usable endpoint with the fewest in flight
//! is.

use super::class_statistics::ClassStatistics;
use super::endpoint_set::{Endpoint, EndpointSet};
use super::hash::mix;
use super::key_frequency::{KeyFrequencySketch, SPARSE_TRAFFIC_GUESS};
use super::send_gate::SendGate;

/// Utilization up to which the first candidate keeps its keys, however idle the second.
const AT_EASE_UTILIZATION: f64 = 0.6;
/// Odds that the less utilized of two candidates is taken, by unit of difference: certain from 0.4 on.
const UTILIZATION_ODDS: f64 = 2.5;
/// Keys that one with an endpoint's mean share of the traffic counts as, beyond the first.
const PARTS_OF_HOT_KEY: f64 = 4.0;
/// Fewer parts than this are one.
const MIN_PARTS: f64 = 2.0;

/// An endpoint in service in rendezvous hashing: small, since each request walks all of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct RendezvousEntry {
    pub endpoint_hash: u64,
    pub inverse_weight: f64,
    /// Where the endpoint stands in the set.
    pub index: usize,
}

impl RendezvousEntry {
    /// Its rank for a mixed key: the lowest is the first candidate.
    fn rank(&self, key: u64) -> f64 {
        let uniform = (mix(key ^ self.endpoint_hash) >> 11) as f64 / (1_u64 << 53) as f64;
        -(uniform.max(f64::MIN_POSITIVE)).ln() * self.inverse_weight
    }
}

/// What the choice for one request depends on.
#[derive(Debug)]
pub(super) struct Selection<'a> {
    pub gate: SendGate<'a>,
    pub endpoints: &'a EndpointSet,
    pub classes: &'a [ClassStatistics],
    pub keys: &'a KeyFrequencySketch,
    /// Attempts of this node in flight at all endpoints.
    pub in_flight: u32,
    /// Mean utilization that endpoints report; 0 where none does.
    pub fleet_utilization: f64,
    pub sees_sparse_traffic: bool,
}

impl Selection<'_> {
    /// Where the endpoint for the request stands in the set; none if no endpoint can be used.
    pub fn select_endpoint(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        let draw = rng.f64();
        let key = self.placement_key(rng);
        let [first, second] = self.candidates(key);
        let first = first.filter(|index| self.is_usable(*index));
        let second = second.filter(|index| self.is_usable(*index));
        match (first, second) {
            (Some(first), Some(second)) if self.prefers_second_candidate(first, second, draw) => {
                Some(second)
            }
            (Some(candidate), _) | (None, Some(candidate)) => Some(candidate),
            (None, None) => self.least_loaded(key),
        }
    }

    fn is_usable(&self, index: usize) -> bool {
        self.gate.is_usable(&self.endpoints[index])
    }

    /// The mixed key that the request is placed by; drawn by chance for a request without one.
    ///
    /// A hot key, one with more than an endpoint's part of the traffic, counts as several keys: its two
    /// candidates could not carry it, and nodes that each hold next to nothing in flight cannot see that.
    fn placement_key(&self, rng: &mut fastrand::Rng) -> u64 {
        let key = self.gate.request.request.key.map_or_else(|| rng.u64(..), mix);
        let endpoints = self.endpoints.placement().len();
        let idleness = (1.0 - 2.0 * f64::from(self.in_flight) / endpoints.max(1) as f64).max(0.0);
        let guess = if self.sees_sparse_traffic { SPARSE_TRAFFIC_GUESS } else { 0.0 };
        let share = self.keys.share(key, guess);
        let parts = 1.0 + idleness * PARTS_OF_HOT_KEY * share * endpoints as f64;
        if parts < MIN_PARTS { key } else { mix(key ^ rng.u64(..parts as u64)) }
    }

    /// The first two endpoints by rank, without those at which the request's class is an outlier.
    fn candidates(&self, key: u64) -> [Option<usize>; 2] {
        let class = self.gate.request.request.class;
        let mut best: [Option<usize>; 2] = [None; 2];
        let mut ranks = [f64::INFINITY; 2];
        for node in self.endpoints.placement() {
            let rank = node.rank(key);
            if rank < ranks[1] && !self.is_class_outlier(class, node.index) {
                ranks[1] = rank;
                best[1] = Some(node.index);
                if rank < ranks[0] {
                    ranks.swap(0, 1);
                    best.swap(0, 1);
                }
            }
        }
        best
    }

    fn is_class_outlier(&self, class: usize, index: usize) -> bool {
        self.endpoints[index].class_failures.is_outlier(self.gate.now_ms, class, self.classes)
    }

    /// The usable endpoint with the fewest in flight, by rank among equals, so that these keys too keep to
    /// few endpoints.
    fn least_loaded(&self, key: u64) -> Option<usize> {
        let usable = self.endpoints.placement().iter().filter(|node| self.is_usable(node.index));
        let by_load_and_rank = |a: &&RendezvousEntry, b: &&RendezvousEntry| {
            let in_flight = |node: &RendezvousEntry| self.endpoints[node.index].in_flight;
            in_flight(a).cmp(&in_flight(b)).then(a.rank(key).total_cmp(&b.rank(key)))
        };
        usable.min_by(by_load_and_rank).map(|node| node.index)
    }

    /// Whether the second candidate is taken: it has fewer of this node's requests in flight or, where both
    /// have as many, it is the less utilized by its reports. The odds grow with the difference, so that
    /// nodes which got the same report do not all switch at once. With sparse traffic and no reports, where
    /// both nearly always have none in flight, it is the one with fewer in flight on average: a key must
    /// not load one endpoint alone.
    fn prefers_second_candidate(&self, first: usize, second: usize, draw: f64) -> bool {
        let (first, second) = (&self.endpoints[first], &self.endpoints[second]);
        if first.in_flight != second.in_flight {
            return second.in_flight < first.in_flight;
        }
        if self.sees_sparse_traffic && self.fleet_utilization == 0.0 {
            return second.recent_attempt_ms < first.recent_attempt_ms;
        }
        let utilization =
            |endpoint: &Endpoint| endpoint.utilization.at(self.gate.now_ms, self.fleet_utilization);
        let (first, second) = (utilization(first), utilization(second));
        first > AT_EASE_UTILIZATION && draw < (first - second) * UTILIZATION_ODDS
    }
}
