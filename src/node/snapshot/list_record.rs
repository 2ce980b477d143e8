//! Defines the content of `node-list.json`, the endpoint list that one process leaves to the next.
//!
//! Its format is this program's own and not that of discovery: an endpoint is identified by its id, as in the
//! other files, and draining endpoints have no more than that.

use crate::discovery::{ListPosition, ListState, SharedList};
use crate::driver::DiscoveredEndpoint;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use wheelpath::policy::{EndpointId, EndpointState, EndpointUpdate};
use wheelpath::settings_file::NameIndex;

/// The number of the format that this program writes. A file with a higher one cannot be read.
pub const LIST_FORMAT: u32 = 1;

/// An endpoint list that a process had.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListRecord {
    /// The number of the format, at most [`LIST_FORMAT`] in a file that can be read.
    pub format: u32,
    numbering: u64,
    version: u64,
    /// The highest version that a list of the node has had.
    highest: u64,
    /// The address of discovery that the list is from.
    discovery: SocketAddr,
    #[serde(rename = "servers")]
    endpoints: Vec<ListedEndpoint>,
}

/// An endpoint of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state")]
enum ListedEndpoint {
    #[serde(rename = "up")]
    Active(ActiveEndpoint),
    #[serde(rename = "draining")]
    Draining { id: u64 },
}

/// An endpoint that was active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ActiveEndpoint {
    id: u64,
    #[serde(rename = "endpoint")]
    address: SocketAddr,
    /// The name of the zone; `None` if the settings do not have the zone.
    #[serde(rename = "az")]
    zone: Option<String>,
    #[serde(rename = "pod_group")]
    cell: u32,
    #[serde(rename = "capacity_hint")]
    weight: f64,
    boot_ms: f64,
}

impl ListRecord {
    /// Creates the record of a list. Returns `None` if the list has no version: it is then absent or not
    /// complete.
    pub fn new(
        state: ListState,
        endpoints: &[DiscoveredEndpoint],
        names: &NameIndex,
    ) -> Option<ListRecord> {
        let version = state.position.version?;
        Some(ListRecord {
            format: LIST_FORMAT,
            numbering: state.position.numbering,
            version,
            highest: state.highest_version.unwrap_or(version),
            discovery: state.source,
            endpoints: endpoints.iter().map(|endpoint| ListedEndpoint::new(endpoint, names)).collect(),
        })
    }

    /// Returns the position of the list.
    pub fn position(&self) -> ListPosition {
        ListPosition { numbering: self.numbering, version: Some(self.version) }
    }

    /// Returns the address of discovery that the list is from.
    pub fn source(&self) -> SocketAddr {
        self.discovery
    }

    /// Converts the record back to a list. `names` resolves the names of zones, and need not be the index with
    /// which the record was created.
    pub fn to_list(&self, names: &NameIndex) -> SharedList {
        SharedList {
            state: ListState {
                position: self.position(),
                highest_version: Some(self.highest.max(self.version)),
                source: self.discovery,
            },
            endpoints: self.endpoints.iter().map(|endpoint| endpoint.to_discovered(names)).collect(),
        }
    }
}

impl ListedEndpoint {
    fn new(endpoint: &DiscoveredEndpoint, names: &NameIndex) -> ListedEndpoint {
        let DiscoveredEndpoint { update, boot_ms, address } = endpoint;
        let id = update.endpoint.0;
        match address.filter(|_| update.state == EndpointState::Active) {
            Some(address) => ListedEndpoint::Active(ActiveEndpoint {
                id,
                address,
                zone: names.zone_name(update.zone).map(str::to_owned),
                cell: update.cell,
                weight: update.weight,
                boot_ms: *boot_ms,
            }),
            None => ListedEndpoint::Draining { id },
        }
    }

    fn to_discovered(&self, names: &NameIndex) -> DiscoveredEndpoint {
        match self {
            ListedEndpoint::Active(endpoint) => endpoint.to_discovered(names),
            ListedEndpoint::Draining { id } => {
                DiscoveredEndpoint::inactive(EndpointId(*id), EndpointState::Draining, None)
            }
        }
    }
}

impl ActiveEndpoint {
    fn to_discovered(&self, names: &NameIndex) -> DiscoveredEndpoint {
        let update = EndpointUpdate {
            endpoint: EndpointId(self.id),
            zone: names.zone_index(self.zone.as_deref()),
            cell: self.cell,
            state: EndpointState::Active,
            weight: self.weight,
            started_at_ms: 0.0,
        };
        DiscoveredEndpoint { update, boot_ms: self.boot_ms, address: Some(self.address) }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/list_record.rs"]
mod tests;
