//! A list of endpoints in discovery's form.

use crate::driver::DiscoveredEndpoint;
use crate::observability::log;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use wheelpath::policy::{EndpointId, EndpointState, EndpointUpdate, WatchUpdate};
use wheelpath::settings_file::NameIndex;
use wheelpath::stable_hash::stable_hash;

/// An entry of the list that cannot be read: the field that is wrong.
#[derive(Debug, Error)]
#[error("bad {0}")]
struct EntryError(&'static str);

/// An answer of discovery, or the list that a node starts with.
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// It has all endpoints, not only those that changed.
    pub is_complete: bool,
    /// Its entries, without those that could not be read.
    pub endpoints: Vec<DiscoveredEndpoint>,
    has_bad_entries: bool,
}

impl EndpointList {
    /// Reads a list. Entries that cannot be read are logged and skipped: one of them must not hide the
    /// rest. None where this is no list, or no entry can be read.
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
                    log::line(&format!("discovery: entry skipped, {error}: {entry:.200}"));
                }
            }
        }
        let has_bad_entries = endpoints.len() < entries.len();
        let is_list = entries.is_empty() || !endpoints.is_empty();
        is_list.then_some(EndpointList { version, is_complete, endpoints, has_bad_entries })
    }

    /// The version after which changes alone tell the rest: none where this is not a full list, read
    /// without errors.
    pub fn base_version(&self) -> Option<u64> {
        let is_base = self.is_complete && !self.has_bad_entries && !self.endpoints.is_empty();
        is_base.then_some(self.version)
    }

    /// Whether it has anything beyond a known version.
    pub fn has_news(&self, known_version: u64) -> bool {
        self.version != known_version || self.is_complete || !self.endpoints.is_empty()
    }

    /// The kind of update that it is to the decisions.
    pub fn update(&self) -> WatchUpdate {
        if self.is_complete { WatchUpdate::Snapshot } else { WatchUpdate::Delta }
    }

    /// Logs what it brought, if anything; `age` is the time since the call.
    pub fn log(&self, age: Duration) {
        if self.endpoints.is_empty() {
            return;
        }
        let count = |state| self.endpoints.iter().filter(|e| e.update.state == state).count();
        let what = if self.is_complete { "whole list" } else { "changes" };
        log::line(&format!(
            "discovery: {what}, version {}: {} up, {} draining, {} gone, {:.1} s after the call",
            self.version,
            count(EndpointState::Active),
            count(EndpointState::Draining),
            count(EndpointState::Removed),
            age.as_secs_f64()
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
        // Of an endpoint that leaves nothing else matters: whatever cannot be read must not keep it in
        // service.
        let update = EndpointUpdate { endpoint, zone: 0, cell: 0, state, weight: 1.0, started_at_ms: 0.0 };
        return Ok(DiscoveredEndpoint { update, boot_ms: 0.0, address });
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
