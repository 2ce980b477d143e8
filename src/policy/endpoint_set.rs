//! The endpoints that this node knows: what discovery reports, what the operators take out of service, and
//! what the previous process handed over.
//!
//! Discovery, the operators and a restored snapshot may name an endpoint in any order. An endpoint is in
//! service if discovery lists it as active and no operator has disabled it. What a snapshot says of an
//! endpoint that is not listed yet is kept until it is.

use super::class_outlier::ClassFailures;
use super::concurrency_limit::{ConcurrencyLimit, initial_limit};
use super::decaying_mean::{DecayingMean, MEMORY_MS};
use super::endpoint::{EndpointId, EndpointSnapshot, EndpointState, EndpointUpdate, Location};
use super::event::WatchUpdate;
use super::failure_record::FailureRecord;
use super::hash::mix;
use super::selection::RendezvousEntry;
use super::settings::Settings;
use super::slow_start::{SlowStart, SlowStartBudget};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// Weight of an endpoint beyond this node's zone, where crossing zones costs: enough of them are left for a
/// zone with more traffic than its own can carry, and a key stays with few endpoints.
const OTHER_ZONE_WEIGHT: f64 = 0.5;
/// What an endpoint served fades to a third in this time, in milliseconds.
const SERVED_MEMORY_MS: f64 = 1000.0;

/// One endpoint as this node knows it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub id: EndpointId,
    pub location: Location,
    weight: f64,
    /// Discovery lists it as active.
    listed: bool,
    /// It is listed and not disabled; sending to any other would break the drain rule.
    pub in_service: bool,
    /// Attempts of this node in flight there.
    pub in_flight: u32,
    /// Time that this node's attempts have lately spent in flight there, in milliseconds; it fades.
    pub recent_attempt_ms: f64,
    pub slow_start: SlowStart,
    /// Requests answered within their objective in the last second; it fades.
    pub served_per_second: f64,
    pub failures: FailureRecord,
    pub limit: ConcurrencyLimit,
    /// Utilization by its load reports.
    pub utilization: DecayingMean,
    pub class_failures: ClassFailures,
}

impl Endpoint {
    /// Whether neither congestion nor the concurrency limit keeps requests away.
    fn is_open(&self, now_ms: f64) -> bool {
        !self.failures.is_congested() && !self.limit.blocks(now_ms, self.in_flight)
    }

    /// A new process runs there: what was learned of the old one says nothing of it.
    pub fn begin_slow_start(&mut self, started_at_ms: f64, rng: &mut fastrand::Rng) {
        self.slow_start.restart(started_at_ms, rng.f64());
        self.served_per_second = 0.0;
        self.failures.clear();
    }

    fn restore(&mut self, now_ms: f64, snapshot: &EndpointSnapshot, restored_at_ms: f64) {
        self.slow_start.restore(snapshot.started_at_ms);
        self.failures.restore(snapshot.prat_ms);
        self.limit.restore(now_ms, snapshot.concurrency_limit);
        let faded = (-(now_ms - restored_at_ms) / SERVED_MEMORY_MS).exp();
        self.served_per_second = snapshot.served_per_second.max(0.0) * faded;
    }
}

/// What the operators have said of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OperatorOverride {
    /// It is out of service.
    Disabled,
    /// It was enabled at this time, in milliseconds; remembered while its slow start lasts.
    EnabledAt(f64),
}

impl OperatorOverride {
    fn enabled_at_ms(self) -> Option<f64> {
        match self {
            OperatorOverride::Disabled => None,
            OperatorOverride::EnabledAt(at_ms) => Some(at_ms),
        }
    }
}

/// What the previous process knew of endpoints that are not listed yet.
#[derive(Debug, Default)]
struct RestoredSnapshot {
    endpoints: Vec<EndpointSnapshot>,
    restored_at_ms: f64,
}

/// All endpoints that this node knows, ordered by id, and the table that requests are placed by.
#[derive(Debug)]
pub(super) struct EndpointSet {
    endpoints: Vec<Endpoint>,
    overrides: BTreeMap<EndpointId, OperatorOverride>,
    restored: RestoredSnapshot,
    placement: Vec<RendezvousEntry>,
    slow_start_ms: f64,
    initial_limit: f64,
    classes: usize,
    /// This node's zone, where sending beyond it costs.
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
    /// A set of a node that knows no endpoint.
    pub fn new(settings: &Settings) -> EndpointSet {
        EndpointSet {
            endpoints: Vec::new(),
            overrides: BTreeMap::new(),
            restored: RestoredSnapshot::default(),
            placement: Vec::new(),
            slow_start_ms: settings.slow_start_ms,
            initial_limit: initial_limit(settings.node_count),
            classes: settings.classes.len(),
            preferred_zone: settings.zone.filter(|_| settings.costs.cross_zone > 0.0),
        }
    }

    /// All endpoints, in and out of service.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Those in service.
    pub fn in_service(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| endpoint.in_service)
    }

    /// The table that requests are placed by: one node for each endpoint in service.
    pub fn placement(&self) -> &[RendezvousEntry] {
        &self.placement
    }

    /// Where an endpoint stands in the set.
    pub fn find(&self, id: EndpointId) -> Option<usize> {
        self.endpoints.binary_search_by_key(&id, |endpoint| endpoint.id).ok()
    }

    /// Whether an endpoint may be sent to, as far as discovery and the operators go.
    pub fn is_in_service(&self, id: EndpointId) -> bool {
        self.find(id).is_some_and(|index| self.endpoints[index].in_service)
    }

    /// Those that the operators have out of service.
    pub fn disabled(&self) -> impl Iterator<Item = EndpointId> {
        self.overrides.iter().filter(|(_, o)| **o == OperatorOverride::Disabled).map(|(id, _)| *id)
    }

    /// Takes in a report of discovery; it must not be a failure.
    pub fn apply_update(
        &mut self,
        now_ms: f64,
        update: WatchUpdate,
        endpoints: &[EndpointUpdate],
        budget: &SlowStartBudget,
        rng: &mut fastrand::Rng,
    ) {
        if update != WatchUpdate::Delta {
            self.endpoints.iter_mut().for_each(|endpoint| endpoint.listed = false);
        }
        for endpoint in endpoints {
            self.apply_endpoint(now_ms, endpoint, rng);
        }
        self.apply_restored(now_ms);
        self.endpoints.retain(|endpoint| endpoint.listed || endpoint.in_flight > 0);
        self.rebuild_placement(now_ms, budget);
    }

    fn apply_endpoint(&mut self, now_ms: f64, update: &EndpointUpdate, rng: &mut fastrand::Rng) {
        let started_at_ms = self.latest_start(update);
        let index = match self.endpoints.binary_search_by_key(&update.endpoint, |endpoint| endpoint.id) {
            Ok(index) => index,
            Err(index) => {
                let slow_start = SlowStart::new(now_ms, started_at_ms, rng.f64());
                self.endpoints.insert(index, self.new_endpoint(update.endpoint, slow_start));
                index
            }
        };
        let endpoint = &mut self.endpoints[index];
        if let Some(started_at) = started_at_ms.filter(|at| Some(*at) > endpoint.slow_start.started_at_ms) {
            endpoint.begin_slow_start(started_at, rng);
        }
        endpoint.location = update.location();
        endpoint.weight =
            if update.weight.is_finite() && update.weight > 0.0 { update.weight } else { 1.0 };
        endpoint.listed = update.state == EndpointState::Active;
    }

    /// When an endpoint last started: as discovery states it, or as the operators put it back, which means
    /// that it was restarted meanwhile.
    fn latest_start(&self, update: &EndpointUpdate) -> Option<f64> {
        let reported = Some(update.started_at_ms).filter(|at| at.is_finite() && *at > 0.0);
        let enabled = self.overrides.get(&update.endpoint).and_then(|o| o.enabled_at_ms());
        enabled.into_iter().chain(reported).reduce(f64::max)
    }

    fn new_endpoint(&self, id: EndpointId, slow_start: SlowStart) -> Endpoint {
        Endpoint {
            id,
            location: Location::default(),
            weight: 1.0,
            listed: false,
            in_service: false,
            in_flight: 0,
            recent_attempt_ms: 0.0,
            slow_start,
            served_per_second: 0.0,
            failures: FailureRecord::default(),
            limit: ConcurrencyLimit::new(self.initial_limit),
            utilization: DecayingMean::default(),
            class_failures: ClassFailures::new(self.classes),
        }
    }

    /// The operators take an endpoint out of service.
    pub fn disable(&mut self, now_ms: f64, id: EndpointId, budget: &SlowStartBudget) {
        self.overrides.insert(id, OperatorOverride::Disabled);
        self.rebuild_placement(now_ms, budget);
    }

    /// The operators put an endpoint back: it starts slowly, whatever discovery says of its start.
    pub fn enable(
        &mut self,
        now_ms: f64,
        id: EndpointId,
        budget: &SlowStartBudget,
        rng: &mut fastrand::Rng,
    ) {
        match self.overrides.get_mut(&id) {
            Some(known) if *known == OperatorOverride::Disabled => {
                *known = OperatorOverride::EnabledAt(now_ms)
            }
            _ => return,
        }
        if let Some(index) = self.find(id) {
            self.endpoints[index].begin_slow_start(now_ms, rng);
        }
        self.rebuild_placement(now_ms, budget);
    }

    /// What the next process of this node has to know.
    pub fn snapshot(&self, now_ms: f64) -> Vec<EndpointSnapshot> {
        let is_cold = |started_at: &f64| now_ms - started_at < self.slow_start_ms;
        let snapshot = |endpoint: &Endpoint| EndpointSnapshot {
            endpoint: endpoint.id,
            started_at_ms: endpoint.slow_start.started_at_ms.filter(is_cold),
            prat_ms: Some(endpoint.failures.prat_ms()).filter(|_| endpoint.failures.is_congested()),
            concurrency_limit: endpoint.limit.limit(),
            served_per_second: endpoint.served_per_second,
        };
        self.endpoints.iter().map(snapshot).collect()
    }

    /// Takes over what the previous process knew. The list that this one starts with may be older, so what
    /// it does not name yet is kept until a later one does.
    pub fn restore(&mut self, now_ms: f64, endpoints: Vec<EndpointSnapshot>, budget: &SlowStartBudget) {
        self.restored = RestoredSnapshot { endpoints, restored_at_ms: now_ms };
        self.apply_restored(now_ms);
        self.rebuild_placement(now_ms, budget);
    }

    /// Applies the restored snapshot to the endpoints that are listed by now.
    fn apply_restored(&mut self, now_ms: f64) {
        let restored_at_ms = self.restored.restored_at_ms;
        if now_ms - restored_at_ms > self.slow_start_ms {
            // None of them is in slow start any more, and the rest is learned anew.
            self.restored.endpoints.clear();
        }
        for snapshot in std::mem::take(&mut self.restored.endpoints) {
            match self.find(snapshot.endpoint) {
                Some(index) => self.endpoints[index].restore(now_ms, &snapshot, restored_at_ms),
                None => self.restored.endpoints.push(snapshot),
            }
        }
    }

    /// Another process serves alongside this one: each is served half of what one was seen to be. Within a
    /// second it shows who serves how much.
    pub fn halve_served_rates(&mut self) {
        self.restored.endpoints.iter_mut().for_each(|endpoint| endpoint.served_per_second /= 2.0);
        self.endpoints.iter_mut().for_each(|endpoint| endpoint.served_per_second /= 2.0);
    }

    /// Requests a second that a warm endpoint was lately served by this node, in the mean; none where there
    /// is no warm endpoint.
    pub fn mean_warm_rate_per_second(&self, now_ms: f64, budget: &SlowStartBudget) -> Option<f64> {
        let is_warm = |endpoint: &&Endpoint| {
            !endpoint.failures.is_congested() && budget.is_warm(endpoint.slow_start.age_ms(now_ms))
        };
        let (mut endpoints, mut served) = (0.0, 0.0);
        for endpoint in self.in_service().filter(is_warm) {
            endpoints += 1.0;
            served += endpoint.served_per_second;
        }
        (endpoints > 0.0).then_some(served / endpoints)
    }

    /// Brings what fades and what fills up to date.
    pub fn refill_and_decay(&mut self, now_ms: f64, seconds: f64, budget: &SlowStartBudget) {
        let busy_retained = (-seconds * 1000.0 / MEMORY_MS).exp();
        let served_retained = (-seconds).exp();
        for endpoint in &mut self.endpoints {
            let tokens = budget.tokens(now_ms, &endpoint.slow_start, endpoint.served_per_second);
            endpoint.slow_start.set_tokens(now_ms, tokens);
            endpoint.recent_attempt_ms *= busy_retained;
            endpoint.served_per_second *= served_retained;
        }
    }

    /// Share of the endpoints in service that are congested or at their concurrency limit.
    pub fn blocked_share(&self, now_ms: f64) -> f64 {
        let blocked = self.in_service().filter(|endpoint| !endpoint.is_open(now_ms)).count();
        blocked as f64 / self.in_service().count().max(1) as f64
    }

    /// Notes which endpoints are in service, and rebuilds the table that requests are placed by.
    pub fn rebuild_placement(&mut self, now_ms: f64, budget: &SlowStartBudget) {
        let slow_start_ms = self.slow_start_ms;
        self.overrides.retain(|_, o| o.enabled_at_ms().is_none_or(|at| now_ms - at < slow_start_ms));
        for endpoint in &mut self.endpoints {
            let is_disabled = self.overrides.get(&endpoint.id) == Some(&OperatorOverride::Disabled);
            endpoint.in_service = endpoint.listed && !is_disabled;
        }
        let node = |(index, endpoint): (usize, &Endpoint)| RendezvousEntry {
            endpoint_hash: mix(endpoint.id.0),
            inverse_weight: 1.0 / (endpoint.weight * self.placement_share(now_ms, endpoint, budget)),
            index,
        };
        let listed = self.endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.in_service);
        self.placement = listed.map(node).collect();
    }

    /// What part of its weight an endpoint has among the candidates.
    fn placement_share(&self, now_ms: f64, endpoint: &Endpoint, budget: &SlowStartBudget) -> f64 {
        let share = budget.placement_share(endpoint.slow_start.age_ms(now_ms), endpoint.served_per_second);
        let is_far = self.preferred_zone.is_some_and(|zone| zone != endpoint.location.zone);
        share * if is_far { OTHER_ZONE_WEIGHT } else { 1.0 }
    }
}
