//! Parses endpoint lists in the JSON format of discovery.
//!
//! A list has a version (`rev`), a flag for a full list (`all`) and its entries (`targets`). A list that
//! is not full has only the endpoints that have changed. One invalid entry must not hide the valid ones,
//! so the parser skips it. An endpoint that leaves service must not stay in use because of an invalid
//! field, so its entry needs only a name and a state.

use crate::driver::DiscoveredEndpoint;
use crate::observability::log;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use wheelpath::policy::{EndpointId, EndpointState, EndpointUpdate, WatchUpdate};
use wheelpath::settings_file::NameIndex;
use wheelpath::stable_hash::stable_hash;

/// Why an entry of the list is invalid: the name of the field that is missing or has an invalid value.
#[derive(Debug, Error)]
#[error("field {0} is missing or invalid")]
struct EntryError(&'static str);

/// An endpoint list, from a response of discovery or from the configuration that the node starts with.
pub struct EndpointList {
    /// Version of the list. It increases with each change, until discovery restarts its version numbers.
    pub version: u64,
    /// Whether the list has all endpoints, not only those that have changed.
    pub is_complete: bool,
    /// The valid entries.
    pub endpoints: Vec<DiscoveredEndpoint>,
    has_invalid_entries: bool,
}

impl EndpointList {
    /// Parses a list. Logs and skips invalid entries. Returns `None` if `json` is not a list, or if it
    /// has entries and none of them is valid.
    pub fn parse(json: &Value, names: &NameIndex) -> Option<EndpointList> {
        let version = json.get("rev")?.as_u64()?;
        let is_complete = json.get("all").and_then(Value::as_bool).unwrap_or(false);
        let entries = json.get("targets")?.as_array()?;
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            match parse_entry(entry, names) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => {
                    let entry = entry.to_string();
                    log::line(&format!("discovery: skipped an invalid entry: {error}: {entry:.200}"));
                }
            }
        }
        let has_invalid_entries = endpoints.len() < entries.len();
        let is_usable = entries.is_empty() || !endpoints.is_empty();
        is_usable.then_some(EndpointList { version, is_complete, endpoints, has_invalid_entries })
    }

    /// Returns the version of the list if the node needs only the changes after it. Returns `None` if it
    /// has to request the full list, because this one is partial or empty, or has invalid entries.
    pub fn base_version(&self) -> Option<u64> {
        let is_base = self.is_complete && !self.has_invalid_entries && !self.endpoints.is_empty();
        is_base.then_some(self.version)
    }

    /// Returns `true` if the list has another version than `known_version`, is a full list, or has
    /// entries.
    pub fn has_news(&self, known_version: u64) -> bool {
        self.version != known_version || self.is_complete || !self.endpoints.is_empty()
    }

    /// Returns the kind of update that the list is for the balancer.
    pub fn update_kind(&self) -> WatchUpdate {
        if self.is_complete { WatchUpdate::Snapshot } else { WatchUpdate::Delta }
    }

    /// Logs the version and the number of entries by state, unless the list is empty. `elapsed` is the
    /// time since the call that returned the list began.
    pub fn log(&self, elapsed: Duration) {
        if self.endpoints.is_empty() {
            return;
        }
        let count = |state| self.endpoints.iter().filter(|e| e.update.state == state).count();
        let kind = if self.is_complete { "full list" } else { "changes" };
        log::line(&format!(
            "discovery: {kind}, version {}: {} up, {} draining, {} removed, {:.1} s after the call",
            self.version,
            count(EndpointState::Active),
            count(EndpointState::Draining),
            count(EndpointState::Removed),
            elapsed.as_secs_f64()
        ));
    }
}

fn parse_entry(entry: &Value, names: &NameIndex) -> Result<DiscoveredEndpoint, EntryError> {
    let text = |field: &str| entry.get(field).and_then(Value::as_str);
    let name = text("uid").filter(|name| !name.is_empty()).ok_or(EntryError("uid"))?;
    let endpoint = EndpointId(stable_hash(name));
    let state = parse_state(text("state"))?;
    let address = text("endpoint").and_then(|text| text.parse::<SocketAddr>().ok());
    if state != EndpointState::Active {
        // The other fields of an endpoint that leaves service have no effect, and an invalid one must not
        // keep the endpoint in service.
        return Ok(DiscoveredEndpoint::inactive(endpoint, state, address));
    }
    let number = |field: &'static str, default: f64| match entry.get(field) {
        None | Some(Value::Null) => Ok(default),
        Some(value) => value.as_f64().ok_or(EntryError(field)),
    };
    let cell = number("pod_group", 0.0)?;
    if !(0.0..=f64::from(u32::MAX)).contains(&cell) {
        return Err(EntryError("pod_group"));
    }
    let update = EndpointUpdate {
        endpoint,
        zone: names.zone_index(text("az")),
        cell: cell as u32,
        state,
        weight: number("capacity_hint", 1.0)?,
        started_at_ms: 0.0,
    };
    let boot_ms = number("boot_ms", 0.0)?;
    let address = Some(address.ok_or(EntryError("endpoint"))?);
    Ok(DiscoveredEndpoint { update, boot_ms, address })
}

fn parse_state(text: Option<&str>) -> Result<EndpointState, EntryError> {
    match text {
        Some("up") => Ok(EndpointState::Active),
        Some("draining") => Ok(EndpointState::Draining),
        Some("removed") => Ok(EndpointState::Removed),
        _ => Err(EntryError("state")),
    }
}
