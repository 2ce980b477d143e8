//! Selects the endpoint that an attempt of a request is sent to.
//!
//! An endpoint needs less work for keys that it has served recently, so the requests for one key should go
//! to few endpoints. But a hot key would overload a single endpoint, and a crash of that endpoint would
//! affect all requests for the key.
//!
//! Weighted rendezvous hashing ranks the endpoints for each key, and the two with the lowest ranks are the
//! key's candidates. Of these, selection takes the one with fewer attempts of this node in flight. If
//! neither candidate is usable, it takes the usable endpoint with the fewest attempts in flight. If none is
//! usable, a congested endpoint may still get the request as a trial.

use super::class_statistics::ClassStatistics;
use super::endpoint_set::{Endpoint, EndpointSet};
use super::hash::mix;
use super::key_frequency::{KeyFrequencySketch, SPARSE_TRAFFIC_PRIOR_REQUESTS};
use super::send_gate::SendGate;
use super::trial_eligibility::Alternatives;

/// Utilization up to which the first candidate keeps its keys, no matter how low the utilization of the
/// second is.
const SWITCH_UTILIZATION_THRESHOLD: f64 = 0.6;
/// Probability that the second candidate is taken, per unit by which its utilization is lower: it is taken
/// with certainty from a difference of 0.4 on.
const SWITCH_PROBABILITY_PER_UTILIZATION: f64 = 2.5;
/// Number of additional subkeys that a key is split into if its share of the traffic is an endpoint's mean
/// share; the number grows in proportion to the key's share.
const SUBKEYS_PER_MEAN_SHARE: f64 = 4.0;
/// A key is split only if the split results in at least this many subkeys.
const MIN_SUBKEYS: f64 = 2.0;

/// An endpoint in service in the placement table. The struct is small because each request iterates over
/// the whole table.
#[derive(Clone, Copy, Debug)]
pub(super) struct RendezvousEntry {
    /// Hash of the endpoint's id, by [`mix`].
    pub endpoint_hash: u64,
    /// 1 divided by the endpoint's weight, which is lower during slow start and in other zones.
    pub inverse_weight: f64,
    /// Index of the endpoint in the [`EndpointSet`].
    pub index: usize,
}

impl RendezvousEntry {
    /// Returns the endpoint's rank for a hashed key. The endpoint with the lowest rank is the first
    /// candidate.
    fn rank(&self, hashed_key: u64) -> f64 {
        let uniform = (mix(hashed_key ^ self.endpoint_hash) >> 11) as f64 / (1_u64 << 53) as f64;
        -(uniform.max(f64::MIN_POSITIVE)).ln() * self.inverse_weight
    }
}

/// The inputs to selection for one attempt.
#[derive(Debug)]
pub(super) struct Selection<'a> {
    pub gate: SendGate<'a>,
    pub endpoints: &'a EndpointSet,
    pub class_statistics: &'a [ClassStatistics],
    pub key_frequencies: &'a KeyFrequencySketch,
    /// Attempts of this node that are in flight, over all endpoints.
    pub in_flight: u32,
    /// Mean utilization that the endpoints report, 0 to 1; 0 if no endpoint reports its load.
    pub fleet_utilization: f64,
    /// This node has so small a part of the traffic that most endpoints have none of its attempts in
    /// flight.
    pub sees_sparse_traffic: bool,
}

impl Selection<'_> {
    /// Returns the index of the selected endpoint in the [`EndpointSet`], or `None` if no endpoint is
    /// usable.
    pub fn select_endpoint(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        let uniform_draw = rng.f64();
        let key = self.placement_key(rng);
        let [first, second] = self.candidates(key);
        let first = first.filter(|index| self.is_usable(*index, Alternatives::Possible));
        let second = second.filter(|index| self.is_usable(*index, Alternatives::Possible));
        match (first, second) {
            (Some(first), Some(second)) if self.prefers_second_candidate(first, second, uniform_draw) => {
                Some(second)
            }
            (Some(candidate), _) | (None, Some(candidate)) => Some(candidate),
            (None, None) => {
                self.least_loaded(key, Alternatives::Possible).or_else(|| self.trial_of_last_resort(key))
            }
        }
    }

    fn is_usable(&self, index: usize, alternatives: Alternatives) -> bool {
        self.gate.is_usable(&self.endpoints[index], alternatives)
    }

    /// Returns the hashed key (see [`mix`]) by which the request is placed: a random one if the request has
    /// no key.
    ///
    /// A hot key is split into several subkeys, each with candidates of its own, because two candidates
    /// could not carry its traffic. A node notices an overloaded candidate by its own attempts in flight
    /// there, but not if it has next to none in flight. So an idle node splits a key into the most subkeys;
    /// a node whose attempts in flight number at least half of the endpoints does not split keys.
    fn placement_key(&self, rng: &mut fastrand::Rng) -> u64 {
        let key = self.gate.pending.request.key.map_or_else(|| rng.u64(..), mix);
        let endpoints = self.endpoints.placement().len();
        let idle_factor = (1.0 - 2.0 * f64::from(self.in_flight) / endpoints.max(1) as f64).max(0.0);
        let prior_requests = if self.sees_sparse_traffic { SPARSE_TRAFFIC_PRIOR_REQUESTS } else { 0.0 };
        let share = self.key_frequencies.share(key, prior_requests);
        let subkeys = 1.0 + idle_factor * SUBKEYS_PER_MEAN_SHARE * share * endpoints as f64;
        if subkeys < MIN_SUBKEYS { key } else { mix(key ^ rng.u64(..subkeys as u64)) }
    }

    /// Returns the indexes of the two endpoints with the lowest ranks, lowest first. Skips endpoints at
    /// which the request's class is an outlier: there it fails far more often than at the other endpoints.
    fn candidates(&self, key: u64) -> [Option<usize>; 2] {
        let class = self.gate.pending.request.class;
        let mut best: [Option<usize>; 2] = [None; 2];
        let mut ranks = [f64::INFINITY; 2];
        for entry in self.endpoints.placement() {
            let rank = entry.rank(key);
            if rank < ranks[1] && !self.is_class_outlier(class, entry.index) {
                ranks[1] = rank;
                best[1] = Some(entry.index);
                if rank < ranks[0] {
                    ranks.swap(0, 1);
                    best.swap(0, 1);
                }
            }
        }
        best
    }

    fn is_class_outlier(&self, class: usize, index: usize) -> bool {
        self.endpoints[index].class_failures.is_outlier(self.gate.now_ms, class, self.class_statistics)
    }

    /// Returns the index of the usable endpoint with the fewest attempts of this node in flight. Ties are
    /// broken by rank, so that a key keeps to few endpoints here too.
    fn least_loaded(&self, key: u64, alternatives: Alternatives) -> Option<usize> {
        let is_usable = |entry: &&RendezvousEntry| self.is_usable(entry.index, alternatives);
        let usable = self.endpoints.placement().iter().filter(is_usable);
        let by_load_and_rank = |a: &&RendezvousEntry, b: &&RendezvousEntry| {
            let in_flight = |entry: &RendezvousEntry| self.endpoints[entry.index].in_flight;
            in_flight(a).cmp(&in_flight(b)).then(a.rank(key).total_cmp(&b.rank(key)))
        };
        usable.min_by(by_load_and_rank).map(|entry| entry.index)
    }

    /// Returns the index of an endpoint that gets the request as a trial because no endpoint is usable.
    /// Requests that may be repeated are trials in any case, so there is none for them.
    fn trial_of_last_resort(&self, key: u64) -> Option<usize> {
        if self.gate.idempotency().allows_repeats() {
            return None;
        }
        self.least_loaded(key, Alternatives::None)
    }

    /// Returns whether the second candidate is taken instead of the first.
    ///
    /// It is taken if it has fewer attempts of this node in flight. If both have the same number, it may be
    /// taken if its reported utilization is lower. The probability grows with the difference, so that nodes
    /// that received the same report do not all switch at once.
    ///
    /// With sparse traffic nearly always neither candidate has an attempt in flight. If no endpoint reports
    /// its load either, the candidate with the fewer attempts in flight on average is taken, so that a key
    /// does not load only one endpoint.
    fn prefers_second_candidate(&self, first: usize, second: usize, uniform_draw: f64) -> bool {
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
        first > SWITCH_UTILIZATION_THRESHOLD
            && uniform_draw < (first - second) * SWITCH_PROBABILITY_PER_UTILIZATION
    }
}
