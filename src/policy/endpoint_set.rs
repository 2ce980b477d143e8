//! Keeps the state of all endpoints that this node knows, and decides which of them are in service.
//!
//! Discovery, the operators and a snapshot of the previous process may name an endpoint in any order, and
//! they may disagree about it.
//!
//! An endpoint is in service if discovery lists it as active and no operator has disabled it. If a snapshot
//! contains an endpoint that discovery has not listed yet, its entry is kept in a [`RestoredSnapshot`].

use super::class_outlier::ClassFailures;
use super::concurrency_limit::{ConcurrencyLimit, initial_limit};
use super::decaying_mean::{DECAY_TIME_CONSTANT_MS, DecayingMean};
use super::endpoint::{EndpointId, EndpointSnapshot, EndpointState, EndpointUpdate, Location};
use super::event::WatchUpdate;
use super::failure_record::FailureRecord;
use super::hash::mix;
use super::operator_overrides::OperatorOverrides;
use super::restored_snapshot::RestoredSnapshot;
use super::selection::RendezvousEntry;
use super::settings::Settings;
use super::slow_start::{SlowStart, SlowStartBudget};
use std::ops::{Index, IndexMut};

/// Factor on the weight of endpoints in other zones, if attempts that cross zones have a cost. It is not 0,
/// so that a zone with more traffic than its own endpoints can carry still uses endpoints of other zones,
/// and so that each key keeps to few endpoints.
const OTHER_ZONE_WEIGHT_FACTOR: f64 = 0.5;

/// One endpoint, with everything that this node has learned about it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub id: EndpointId,
    pub location: Location,
    /// Capacity relative to the other endpoints, from discovery; always positive.
    weight: f64,
    /// Discovery lists the endpoint as active.
    listed_active: bool,
    /// The endpoint is listed as active and no operator has disabled it. Attempts at any other endpoint
    /// would break the drain rule ([`Settings::drain_grace_ms`]).
    pub in_service: bool,
    /// Attempts of this node that are in flight at the endpoint.
    pub in_flight: u32,
    /// Total duration of the attempts of this node that ended at the endpoint, in milliseconds, with
    /// exponential decay: a measure of the mean number of attempts in flight.
    pub recent_attempt_ms: f64,
    pub slow_start: SlowStart,
    /// Requests of this node that the endpoint answered within their latency objective, per second; an
    /// exponentially decaying count.
    pub served_per_second: f64,
    pub failures: FailureRecord,
    pub limit: ConcurrencyLimit,
    /// Utilization according to the endpoint's load reports, 0 to 1.
    pub utilization: DecayingMean,
    pub class_failures: ClassFailures,
}

impl Endpoint {
    /// Returns whether the endpoint is neither congested nor at its concurrency limit.
    fn is_available(&self, now_ms: f64) -> bool {
        !self.failures.is_congested() && !self.limit.blocks(now_ms, self.in_flight)
    }

    /// Restarts the slow start of an endpoint at which a new process runs, or is assumed to run. Also clears
    /// the failure record and the served rate, because they describe the old process.
    pub fn begin_slow_start(&mut self, started_at_ms: f64, rng: &mut fastrand::Rng) {
        self.slow_start.restart(started_at_ms, rng.f64());
        self.served_per_second = 0.0;
        self.failures.clear();
    }

    /// Applies the state that the previous process had learned. If the endpoint has restarted since the
    /// snapshot was taken, only the limit is applied, because the rest describes its old process.
    fn restore(&mut self, now_ms: f64, snapshot: &EndpointSnapshot, slow_start_ms: f64) {
        let has_restarted = self.slow_start.is_later_than(snapshot.started_at_ms, now_ms, slow_start_ms);
        self.limit.restore(now_ms, snapshot.concurrency_limit);
        if has_restarted {
            return;
        }
        self.slow_start.restore(snapshot.started_at_ms);
        self.failures.restore(snapshot.prat_ms);
        self.served_per_second = snapshot.served_per_second.max(0.0);
    }
}

/// All endpoints that this node knows, and the placement table that selection uses.
#[derive(Debug)]
pub(super) struct EndpointSet {
    /// Ordered by id.
    endpoints: Vec<Endpoint>,
    overrides: OperatorOverrides,
    restored: RestoredSnapshot,
    /// The placement table: one entry for each endpoint in service, in the order of `endpoints`.
    placement: Vec<RendezvousEntry>,
    slow_start_ms: f64,
    /// Initial concurrency limit of a new endpoint, in requests in flight.
    initial_limit: f64,
    class_count: usize,
    /// This node's zone; `None` if it is unknown or if attempts that cross zones have no cost.
    preferred_zone: Option<u16>,
}

impl Index<usize> for EndpointSet {
    type Output = Endpoint;

    fn index(&self, index: usize) -> &Endpoint {
        &self.endpoints[index]
    }
}

impl IndexMut<usize> for EndpointSet {
    fn index_mut(&mut self, index: usize) -> &mut Endpoint {
        &mut self.endpoints[index]
    }
}

impl EndpointSet {
    /// Creates an empty set.
    pub fn new(settings: &Settings) -> EndpointSet {
        EndpointSet {
            endpoints: Vec::new(),
            overrides: OperatorOverrides::default(),
            restored: RestoredSnapshot::default(),
            placement: Vec::new(),
            slow_start_ms: settings.slow_start_ms,
            initial_limit: initial_limit(settings.node_count),
            class_count: settings.classes.len(),
            preferred_zone: settings.zone.filter(|_| settings.costs.cross_zone > 0.0),
        }
    }

    /// Returns all endpoints, in and out of service, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Returns the endpoints in service, ordered by id.
    pub fn in_service(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| endpoint.in_service)
    }

    /// Returns the placement table: one entry for each endpoint in service, ordered by id.
    pub fn placement(&self) -> &[RendezvousEntry] {
        &self.placement
    }

    /// Returns the index of an endpoint in the set, or `None` if this node does not know the endpoint.
    pub fn find(&self, id: EndpointId) -> Option<usize> {
        self.endpoints.binary_search_by_key(&id, |endpoint| endpoint.id).ok()
    }

    /// Returns whether discovery lists the endpoint as active and no operator has disabled it.
    pub fn is_in_service(&self, id: EndpointId) -> bool {
        self.find(id).is_some_and(|index| self.endpoints[index].in_service)
    }

    /// Returns the endpoints that the operators have disabled.
    pub fn disabled(&self) -> impl Iterator<Item = EndpointId> {
        self.overrides.disabled()
    }

    /// Applies an update of the endpoint list. `update` must not be [`WatchUpdate::Failure`].
    ///
    /// Removes the endpoints that are not listed as active and have no attempts in flight.
    pub fn apply_update(
        &mut self,
        now_ms: f64,
        update: WatchUpdate,
        endpoints: &[EndpointUpdate],
        budget: &SlowStartBudget,
        rng: &mut fastrand::Rng,
    ) {
        if update != WatchUpdate::Delta {
            self.endpoints.iter_mut().for_each(|endpoint| endpoint.listed_active = false);
        }
        for endpoint in endpoints {
            self.apply_endpoint(now_ms, endpoint, rng);
        }
        self.apply_restored(now_ms);
        self.endpoints.retain(|endpoint| endpoint.listed_active || endpoint.in_flight > 0);
        self.rebuild_placement(now_ms, budget);
    }

    fn apply_endpoint(&mut self, now_ms: f64, update: &EndpointUpdate, rng: &mut fastrand::Rng) {
        let started_at_ms = self.latest_start_ms(update);
        let index = match self.endpoints.binary_search_by_key(&update.endpoint, |endpoint| endpoint.id) {
            Ok(index) => index,
            Err(index) => {
                let slow_start = SlowStart::new(now_ms, started_at_ms, rng.f64());
                self.endpoints.insert(index, self.new_endpoint(update.endpoint, slow_start));
                index
            }
        };
        let endpoint = &mut self.endpoints[index];
        let is_later = |at_ms: &f64| Some(*at_ms) > endpoint.slow_start.started_at_ms;
        if let Some(at_ms) = started_at_ms.filter(is_later) {
            endpoint.begin_slow_start(at_ms, rng);
        }
        endpoint.location = update.location();
        endpoint.weight =
            if update.weight.is_finite() && update.weight > 0.0 { update.weight } else { 1.0 };
        endpoint.listed_active = update.state == EndpointState::Active;
    }

    /// Returns when an endpoint last started, in milliseconds on the balancer's clock: the start that
    /// discovery reports or the time at which an operator enabled the endpoint, whichever is later. An
    /// endpoint that an operator enables is assumed to have been restarted while it was out of service.
    /// Returns `None` if neither time is known.
    fn latest_start_ms(&self, update: &EndpointUpdate) -> Option<f64> {
        let reported_ms = Some(update.started_at_ms).filter(|at_ms| at_ms.is_finite() && *at_ms > 0.0);
        let enabled_ms = self.overrides.enabled_at_ms(update.endpoint);
        enabled_ms.into_iter().chain(reported_ms).reduce(f64::max)
    }

    fn new_endpoint(&self, id: EndpointId, slow_start: SlowStart) -> Endpoint {
        Endpoint {
            id,
            location: Location::default(),
            weight: 1.0,
            listed_active: false,
            in_service: false,
            in_flight: 0,
            recent_attempt_ms: 0.0,
            slow_start,
            served_per_second: 0.0,
            failures: FailureRecord::default(),
            limit: ConcurrencyLimit::new(self.initial_limit),
            utilization: DecayingMean::default(),
            class_failures: ClassFailures::new(self.class_count),
        }
    }

    /// Takes an endpoint out of service at an operator's command. The endpoint may be unknown: the command
    /// applies as soon as discovery lists it.
    pub fn disable(&mut self, now_ms: f64, id: EndpointId, budget: &SlowStartBudget) {
        self.overrides.disable(id);
        self.rebuild_placement(now_ms, budget);
    }

    /// Puts a disabled endpoint back into service at an operator's command. It goes through a slow start,
    /// whatever start time discovery reports. Does nothing if the endpoint is not disabled.
    pub fn enable(
        &mut self,
        now_ms: f64,
        id: EndpointId,
        budget: &SlowStartBudget,
        rng: &mut fastrand::Rng,
    ) {
        if !self.overrides.enable(now_ms, id) {
            return;
        }
        if let Some(index) = self.find(id) {
            self.endpoints[index].begin_slow_start(now_ms, rng);
        }
        self.rebuild_placement(now_ms, budget);
    }

    /// Returns the state that the next process of this node needs: that of each endpoint, the start of those
    /// that an operator has enabled before discovery lists them, and what the previous process had about
    /// others that are not listed yet.
    pub fn snapshot(&self, now_ms: f64) -> Vec<EndpointSnapshot> {
        let mut snapshot = self.listed_snapshot(now_ms);
        snapshot.extend(self.enabled_unlisted_snapshot(now_ms));
        let is_unknown = |entry: &EndpointSnapshot| {
            self.find(entry.endpoint).is_none() && self.overrides.enabled_at_ms(entry.endpoint).is_none()
        };
        snapshot.extend(self.restored.pending(now_ms).filter(is_unknown));
        snapshot
    }

    fn enabled_unlisted_snapshot(&self, now_ms: f64) -> impl Iterator<Item = EndpointSnapshot> {
        let enabled = self.overrides.enabled().filter(|(id, _)| self.find(*id).is_none());
        let enabled = enabled.filter(move |(_, at_ms)| now_ms - at_ms < self.slow_start_ms);
        enabled.map(|(endpoint, enabled_at_ms)| EndpointSnapshot {
            endpoint,
            started_at_ms: Some(enabled_at_ms),
            prat_ms: None,
            concurrency_limit: self.initial_limit,
            served_per_second: 0.0,
        })
    }

    fn listed_snapshot(&self, now_ms: f64) -> Vec<EndpointSnapshot> {
        let is_in_slow_start = |started_at_ms: &f64| now_ms - started_at_ms < self.slow_start_ms;
        let snapshot_of = |endpoint: &Endpoint| EndpointSnapshot {
            endpoint: endpoint.id,
            started_at_ms: endpoint.slow_start.started_at_ms.filter(is_in_slow_start),
            prat_ms: Some(endpoint.failures.prat_ms()).filter(|_| endpoint.failures.is_congested()),
            concurrency_limit: endpoint.limit.limit(),
            served_per_second: endpoint.served_per_second,
        };
        self.endpoints.iter().map(snapshot_of).collect()
    }

    /// Applies the snapshot of the previous process. The endpoint list that this process starts with may be
    /// older than the snapshot, so snapshot entries of endpoints that are not listed are kept for a later
    /// list.
    pub fn restore(&mut self, now_ms: f64, endpoints: Vec<EndpointSnapshot>, budget: &SlowStartBudget) {
        self.restored = RestoredSnapshot::new(endpoints, now_ms);
        self.apply_restored(now_ms);
        self.rebuild_placement(now_ms, budget);
    }

    /// Applies the kept snapshot entries to the endpoints that have been listed since.
    fn apply_restored(&mut self, now_ms: f64) {
        let mut restored = std::mem::take(&mut self.restored);
        for entry in restored.take_listed(now_ms, self.slow_start_ms, |id| self.find(id).is_some()) {
            if let Some(index) = self.find(entry.endpoint) {
                self.endpoints[index].restore(now_ms, &entry, self.slow_start_ms);
            }
        }
        self.restored = restored;
    }

    /// Halves the served rates of all endpoints at the start of a handover. The old and the new process then
    /// share this node's traffic; half is the initial estimate for each, and the decaying counts replace it
    /// with the observed rates within about a second.
    pub fn halve_served_rates(&mut self) {
        self.restored.halve_served_rates();
        self.endpoints.iter_mut().for_each(|endpoint| endpoint.served_per_second /= 2.0);
    }

    /// Returns the mean served rate of the warm endpoints that are in service and not congested, in requests
    /// of this node per second. Returns `None` if there is no such endpoint.
    pub fn mean_warm_rate_per_second(&self, now_ms: f64, budget: &SlowStartBudget) -> Option<f64> {
        let is_warm = |endpoint: &&Endpoint| {
            !endpoint.failures.is_congested() && budget.is_warm(endpoint.slow_start.age_ms(now_ms))
        };
        let (mut endpoint_count, mut total_per_second) = (0.0, 0.0);
        for endpoint in self.in_service().filter(is_warm) {
            endpoint_count += 1.0;
            total_per_second += endpoint.served_per_second;
        }
        (endpoint_count > 0.0).then_some(total_per_second / endpoint_count)
    }

    /// Refills the slow-start token buckets up to `now_ms`, and decays the recent attempt time and the served
    /// rate of all endpoints. `seconds` is the time since the last call.
    pub fn refill_and_decay(&mut self, now_ms: f64, seconds: f64, budget: &SlowStartBudget) {
        let attempt_ms_retained = (-seconds * 1000.0 / DECAY_TIME_CONSTANT_MS).exp();
        let served_retained = (-seconds).exp();
        for endpoint in &mut self.endpoints {
            let tokens = budget.tokens(now_ms, &endpoint.slow_start, endpoint.served_per_second);
            endpoint.slow_start.set_tokens(now_ms, tokens);
            endpoint.recent_attempt_ms *= attempt_ms_retained;
            endpoint.served_per_second *= served_retained;
        }
    }

    /// Returns the share of the endpoints in service that are congested or at their concurrency limit, 0 to
    /// 1; 0 if none is in service.
    pub fn blocked_share(&self, now_ms: f64) -> f64 {
        let blocked = self.in_service().filter(|endpoint| !endpoint.is_available(now_ms)).count();
        blocked as f64 / self.in_service().count().max(1) as f64
    }

    /// Updates which endpoints are in service, drops operator overrides that no longer apply, and rebuilds
    /// the placement table.
    pub fn rebuild_placement(&mut self, now_ms: f64, budget: &SlowStartBudget) {
        self.overrides.drop_expired(now_ms, self.slow_start_ms);
        for endpoint in &mut self.endpoints {
            endpoint.in_service = endpoint.listed_active && !self.overrides.is_disabled(endpoint.id);
        }
        let entry = |(index, endpoint): (usize, &Endpoint)| RendezvousEntry {
            endpoint_hash: mix(endpoint.id.0),
            inverse_weight: 1.0 / (endpoint.weight * self.placement_share(now_ms, endpoint, budget)),
            index,
        };
        let in_service = self.endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.in_service);
        self.placement = in_service.map(entry).collect();
    }

    /// Returns the factor on an endpoint's weight in the placement table, 0 to 1: lower during slow start and
    /// for endpoints in other zones.
    fn placement_share(&self, now_ms: f64, endpoint: &Endpoint, budget: &SlowStartBudget) -> f64 {
        let share = budget.placement_share(endpoint.slow_start.age_ms(now_ms), endpoint.served_per_second);
        let is_in_other_zone = self.preferred_zone.is_some_and(|zone| zone != endpoint.location.zone);
        share * if is_in_other_zone { OTHER_ZONE_WEIGHT_FACTOR } else { 1.0 }
    }
}
