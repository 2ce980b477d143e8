//! Where endpoints listen, and since when: what the decisions do not need to know of them.

use crate::system::clock::Clock;
use crate::upstream::Upstream;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use wheelpath::policy::{EndpointId, EndpointState, EndpointUpdate, Location, WatchUpdate};

/// One endpoint as discovery reports it.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveredEndpoint {
    /// What the decisions need, but for the time of its start.
    pub update: EndpointUpdate,
    /// When it last started, by the wall clock in milliseconds since 1970; 0 for long ago.
    pub boot_ms: f64,
    /// Where it listens; one that was removed need not say.
    pub address: Option<SocketAddr>,
}

/// An endpoint that is active, or has been since the last report.
struct KnownEndpoint {
    address: SocketAddr,
    is_active: bool,
    location: Location,
    /// When it last started as the list states it, by which a further start is recognized.
    boot_ms: f64,
    /// When it last started, in milliseconds on the decisions' clock.
    started_at_ms: f64,
}

impl KnownEndpoint {
    fn new(address: SocketAddr, boot_ms: f64, update: &EndpointUpdate) -> KnownEndpoint {
        KnownEndpoint {
            address,
            is_active: update.state == EndpointState::Active,
            location: update.location(),
            boot_ms,
            started_at_ms: update.started_at_ms,
        }
    }

    /// When it started anew, by what the list now states. That is after its last start: where the clocks
    /// say otherwise they cannot be relied on, and it counts as started just now.
    fn restarted_at_ms(&self, boot_ms: f64, clock: &Clock) -> f64 {
        let at_ms = clock.wall_to_monotonic(boot_ms);
        if at_ms > self.started_at_ms { at_ms } else { clock.now_ms() }
    }
}

/// What a report says of an endpoint's start.
struct ReportedStart {
    at_ms: f64,
    has_restarted: bool,
}

/// The endpoints that can be sent to, and the names of all that are listed.
#[derive(Default)]
pub(super) struct EndpointTable {
    active: HashMap<EndpointId, KnownEndpoint>,
    /// All that the list names, active or draining.
    listed: HashSet<EndpointId>,
}

impl EndpointTable {
    /// The endpoints that can be sent to, as far as discovery goes.
    pub fn active_ids(&self) -> impl Iterator<Item = EndpointId> {
        self.active.keys().copied()
    }

    /// Whether discovery has an endpoint as active.
    pub fn is_active(&self, id: EndpointId) -> bool {
        self.active.get(&id).is_some_and(|endpoint| endpoint.is_active)
    }

    /// Whether the list names an endpoint.
    pub fn is_listed(&self, id: EndpointId) -> bool {
        self.listed.contains(&id)
    }

    /// Where an endpoint listens.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.active.get(&id).map(|endpoint| endpoint.address)
    }

    /// Zone and cell of an endpoint.
    pub fn location(&self, id: EndpointId) -> Location {
        self.active.get(&id).map_or_else(Location::default, |endpoint| endpoint.location)
    }

    /// Takes in a report of discovery, closes idle connections to endpoints that have restarted, moved or
    /// left, and says it in the decisions' terms.
    pub fn apply(
        &mut self,
        update: WatchUpdate,
        endpoints: Vec<DiscoveredEndpoint>,
        upstream: &Upstream,
        clock: &Clock,
    ) -> Vec<EndpointUpdate> {
        if matches!(update, WatchUpdate::Snapshot | WatchUpdate::CachedSnapshot) {
            self.mark_all_removed();
        }
        let apply = |endpoint| self.apply_endpoint(endpoint, upstream, clock);
        let updates = endpoints.into_iter().map(apply).collect();
        self.remove_inactive(upstream);
        updates
    }

    /// A full list follows: an endpoint that it leaves out has been removed.
    fn mark_all_removed(&mut self) {
        self.active.values_mut().for_each(|endpoint| endpoint.is_active = false);
        self.listed.clear();
    }

    fn apply_endpoint(
        &mut self,
        discovered: DiscoveredEndpoint,
        upstream: &Upstream,
        clock: &Clock,
    ) -> EndpointUpdate {
        let DiscoveredEndpoint { mut update, boot_ms, address } = discovered;
        let id = update.endpoint;
        let start = self.reported_start(id, boot_ms, clock);
        update.started_at_ms = start.at_ms;
        if update.state == EndpointState::Removed {
            self.listed.remove(&id);
        } else {
            self.listed.insert(id);
        }
        let known_address = self.address(id);
        if let Some(address) = address.or(known_address) {
            // What was connected to the old process or the old address is of no use.
            if known_address.is_some_and(|known| known != address || start.has_restarted) {
                upstream.close_idle(id);
            }
            self.active.insert(id, KnownEndpoint::new(address, boot_ms, &update));
        }
        update
    }

    /// Another start than the one known is a restart.
    fn reported_start(&self, id: EndpointId, boot_ms: f64, clock: &Clock) -> ReportedStart {
        let known = self.active.get(&id);
        let has_restarted = boot_ms > 0.0 && known.is_none_or(|known| known.boot_ms != boot_ms);
        let at_ms = match known {
            Some(known) if has_restarted => known.restarted_at_ms(boot_ms, clock),
            Some(known) => known.started_at_ms,
            None if has_restarted => clock.wall_to_monotonic(boot_ms),
            None => 0.0,
        };
        ReportedStart { at_ms, has_restarted }
    }

    fn remove_inactive(&mut self, upstream: &Upstream) {
        self.active.retain(|id, endpoint| {
            if !endpoint.is_active {
                upstream.close_idle(*id);
            }
            endpoint.is_active
        });
    }
}
