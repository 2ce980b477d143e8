//! Stores the addresses and start times of the endpoints that discovery reports.
//!
//! The balancer identifies endpoints by their ids and needs no addresses. Discovery states start times on
//! the wall clock, but the balancer works with its own monotonic clock. This table has the addresses,
//! converts the start times, and detects restarts: connections to a process that has restarted are of no
//! use.

use crate::system::clock::Clock;
use crate::upstream::Upstream;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use wheelpath::policy::{EndpointId, EndpointState, EndpointUpdate, Location, WatchUpdate};

/// One endpoint as discovery reports it.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveredEndpoint {
    /// The update for the balancer. [`EndpointTable::apply`] sets its `started_at_ms`.
    pub update: EndpointUpdate,
    /// When the endpoint last started, in milliseconds since 1970 on the wall clock; 0 if that was long
    /// ago or is not known.
    pub boot_ms: f64,
    /// Where the endpoint listens; `None` if a draining or removed endpoint has no valid address.
    pub address: Option<SocketAddr>,
}

impl DiscoveredEndpoint {
    /// Creates the entry of an endpoint that is draining or removed. Only its id and its state have an
    /// effect.
    pub fn inactive(
        endpoint: EndpointId,
        state: EndpointState,
        address: Option<SocketAddr>,
    ) -> DiscoveredEndpoint {
        let update = EndpointUpdate { endpoint, zone: 0, cell: 0, state, weight: 1.0, started_at_ms: 0.0 };
        DiscoveredEndpoint { update, boot_ms: 0.0, address }
    }
}

/// An endpoint that discovery reports as active.
struct KnownEndpoint {
    address: SocketAddr,
    /// When the endpoint last started, as discovery stated it. Another value means that it has restarted.
    boot_ms: f64,
    /// The last update for the balancer. Its state is another one than active only while an update is
    /// applied: inactive endpoints are then removed.
    update: EndpointUpdate,
}

impl KnownEndpoint {
    fn is_active(&self) -> bool {
        self.update.state == EndpointState::Active
    }

    /// Returns when the endpoint restarted, in milliseconds on the balancer's clock. A restart comes
    /// after the previous start; if the converted time does not, the clocks are not reliable, and the
    /// endpoint counts as started now.
    fn restarted_at_ms(&self, boot_ms: f64, clock: &Clock) -> f64 {
        let at_ms = clock.wall_to_monotonic(boot_ms);
        if at_ms > self.update.started_at_ms { at_ms } else { clock.now_ms() }
    }
}

/// The start of an endpoint as an update reports it.
struct ReportedStart {
    /// When the endpoint last started, in milliseconds on the balancer's clock; 0 if not known.
    started_at_ms: f64,
    /// Whether this is another start than the one known before.
    has_restarted: bool,
}

/// The endpoints of the current endpoint list.
#[derive(Default)]
pub(super) struct EndpointTable {
    /// The active endpoints.
    active: HashMap<EndpointId, KnownEndpoint>,
    /// The active and the draining endpoints.
    listed: HashSet<EndpointId>,
}

impl EndpointTable {
    /// Returns the endpoints that discovery reports as active. The operators may have disabled some of
    /// them.
    pub fn active_ids(&self) -> impl Iterator<Item = EndpointId> {
        self.active.keys().copied()
    }

    /// Returns the endpoint list: the active and the draining endpoints, ordered by id. The draining ones
    /// have no address.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        let mut endpoints: Vec<_> = self.listed.iter().map(|id| self.listed_endpoint(*id)).collect();
        endpoints.sort_unstable_by_key(|endpoint| endpoint.update.endpoint);
        endpoints
    }

    fn listed_endpoint(&self, id: EndpointId) -> DiscoveredEndpoint {
        match self.active.get(&id) {
            Some(KnownEndpoint { address, boot_ms, update }) => {
                DiscoveredEndpoint { update: *update, boot_ms: *boot_ms, address: Some(*address) }
            }
            None => DiscoveredEndpoint::inactive(id, EndpointState::Draining, None),
        }
    }

    /// Returns `true` if discovery reports the endpoint as active.
    pub fn is_active(&self, id: EndpointId) -> bool {
        self.active.get(&id).is_some_and(KnownEndpoint::is_active)
    }

    /// Returns `true` if discovery reports the endpoint as active or draining.
    pub fn is_listed(&self, id: EndpointId) -> bool {
        self.listed.contains(&id)
    }

    /// Returns where an endpoint listens, or `None` if discovery does not report it as active.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.active.get(&id).map(|endpoint| endpoint.address)
    }

    /// Returns the zone and the cell of an endpoint, or the default if discovery does not report it as
    /// active.
    pub fn location(&self, id: EndpointId) -> Location {
        self.active.get(&id).map_or_else(Location::default, |endpoint| endpoint.update.location())
    }

    /// Applies an update from discovery. Closes idle connections to endpoints that have restarted,
    /// changed their address or are no longer active. Returns the update for the balancer.
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

    /// Marks all endpoints as removed before a full list is applied, which adds those that it has.
    fn mark_all_removed(&mut self) {
        self.active.values_mut().for_each(|endpoint| endpoint.update.state = EndpointState::Removed);
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
        update.started_at_ms = start.started_at_ms;
        if update.state == EndpointState::Removed {
            self.listed.remove(&id);
        } else {
            self.listed.insert(id);
        }
        let known_address = self.address(id);
        if let Some(address) = address.or(known_address) {
            // Connections to the old process or the old address are of no use.
            if known_address.is_some_and(|known| known != address || start.has_restarted) {
                upstream.close_idle(id);
            }
            self.active.insert(id, KnownEndpoint { address, boot_ms, update });
        }
        update
    }

    /// Returns the start of an endpoint for which discovery reports `boot_ms`. A value above 0 that
    /// differs from the previous one is a restart. The first start of a new endpoint counts as a restart,
    /// too.
    fn reported_start(&self, id: EndpointId, boot_ms: f64, clock: &Clock) -> ReportedStart {
        let known = self.active.get(&id);
        let has_restarted = boot_ms > 0.0 && known.is_none_or(|known| known.boot_ms != boot_ms);
        let started_at_ms = match known {
            Some(known) if has_restarted => known.restarted_at_ms(boot_ms, clock),
            Some(known) => known.update.started_at_ms,
            None if has_restarted => clock.wall_to_monotonic(boot_ms),
            None => 0.0,
        };
        ReportedStart { started_at_ms, has_restarted }
    }

    fn remove_inactive(&mut self, upstream: &Upstream) {
        self.active.retain(|id, endpoint| {
            if !endpoint.is_active() {
                upstream.close_idle(*id);
            }
            endpoint.is_active()
        });
    }
}
