//! Chooses the endpoint list that a process starts with, until discovery responds.
//!
//! The configuration has a list, which may be old. A previous process of the node may have left the list that
//! it had last. The node has been told of every change up to that list, so its processes must go on by it.

use super::endpoint_list::EndpointList;
use super::list_tracker::{ListPosition, ListState};
use crate::driver::DiscoveredEndpoint;
use std::net::SocketAddr;
use wheelpath::policy::DiscoveryMode;

/// An endpoint list that a process of this node has left for the next one, or shares with another one.
pub struct SharedList {
    /// The state of the list when it was stored.
    pub state: ListState,
    /// The active and the draining endpoints.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// The endpoint list that a process starts with.
pub struct InitialList {
    /// The state of the list.
    pub state: ListState,
    /// The endpoints; empty if there is no list.
    pub endpoints: Vec<DiscoveredEndpoint>,
    /// The version from which on the changes bring the list up to date; `None` if the full list is needed.
    pub base_version: Option<u64>,
    /// Whether the list is from a previous process, and is newer than the configured one.
    pub is_newer_than_configured: bool,
}

impl InitialList {
    /// Chooses between the configured list and the one that a previous process left. Both may be absent.
    /// `discovery` is the address of discovery that this process will call.
    pub fn choose(
        configured: Option<EndpointList>,
        stored: Option<SharedList>,
        discovery: SocketAddr,
        mode: DiscoveryMode,
    ) -> InitialList {
        let configured_version = configured.as_ref().and_then(EndpointList::base_version);
        match stored {
            Some(stored) if configured_version <= stored.state.highest_version => {
                InitialList::from_stored(stored, configured_version, discovery, mode)
            }
            stored => {
                let numbering = stored.map_or(0, |stored| stored.state.position.numbering);
                InitialList::from_configured(configured, configured_version, numbering, discovery)
            }
        }
    }

    fn from_stored(
        stored: SharedList,
        configured_version: Option<u64>,
        discovery: SocketAddr,
        mode: DiscoveryMode,
    ) -> InitialList {
        let SharedList { state, endpoints } = stored;
        // Another agent may have its own version numbers.
        let is_base = mode == DiscoveryMode::Poll || state.source == discovery;
        InitialList {
            base_version: state.position.version.filter(|_| is_base && !endpoints.is_empty()),
            is_newer_than_configured: state.position.version != configured_version,
            state,
            endpoints,
        }
    }

    /// `version` is that of the configured list if the list is complete. It is higher than all versions in the
    /// present `numbering`, so the list takes its place after them.
    fn from_configured(
        configured: Option<EndpointList>,
        version: Option<u64>,
        numbering: u64,
        discovery: SocketAddr,
    ) -> InitialList {
        let position = ListPosition { numbering, version };
        InitialList {
            state: ListState { position, highest_version: version, source: discovery },
            endpoints: configured.map_or_else(Vec::new, |list| list.endpoints),
            base_version: version,
            is_newer_than_configured: false,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/initial_list.rs"]
mod tests;
