//! Tests how the endpoint list that one process leaves to the next is stored.
use super::*;
use crate::snapshot::state_file::MAX_BYTES;
use std::time::Instant;

/// The most endpoints of a deployment.
const MOST_ENDPOINTS: u64 = 3200;

fn names(zones: &str) -> NameIndex {
    let class = r#"{"name": "x", "semantics": "idempotent", "objectiveMs": 1, "hardLimitMs": 2}"#;
    let rules = r#"{"coldMs": 1, "startCapacity": 1, "fallMultiple": 3, "fallMs": 1}"#;
    let settings = format!(r#"{{"areas": {zones}, "classes": [{class}], "rules": {rules}}}"#);
    wheelpath::settings_file::read(&settings)
        .map(|(_, names)| names)
        .unwrap_or_else(|e| unreachable!("{e}"))
}

fn active(id: u64, zone: u16) -> DiscoveredEndpoint {
    let endpoint = EndpointId(id);
    let update = EndpointUpdate {
        endpoint,
        zone,
        cell: 3,
        state: EndpointState::Active,
        weight: 1.5,
        started_at_ms: 9.0,
    };
    let address = Some(SocketAddr::from(([10, 1, 0, 18], 8081)));
    DiscoveredEndpoint { update, boot_ms: 1_770_000_000_123.0, address }
}

fn state() -> ListState {
    let position = ListPosition { numbering: 1, version: Some(41) };
    ListState { position, highest_version: Some(50), source: SocketAddr::from(([10, 2, 0, 1], 8500)) }
}

/// A list that lost an entry, an address or a zone on the way would send requests elsewhere than discovery has said.
/// The start on the balancer's clock is not kept: another process has another clock.
#[test]
fn a_list_is_read_as_written_by_a_process_with_other_zone_numbers() {
    let draining = DiscoveredEndpoint::inactive(EndpointId(u64::MAX), EndpointState::Draining, None);
    let endpoints = [active(1, 0), active(2, u16::MAX), draining];
    let record = ListRecord::new(state(), &endpoints, &names(r#"["a", "b"]"#));
    let text = serde_json::to_string(&record).unwrap_or_default();
    let read: Option<ListRecord> = serde_json::from_str(&text).unwrap_or_default();
    assert_eq!(read, record);
    let list = read.map(|record| record.to_list(&names(r#"["b", "a"]"#)));
    let Some(SharedList { state: read_state, endpoints }) = list else {
        unreachable!("the list has a version")
    };
    assert_eq!(read_state, state());
    assert_eq!(endpoints[0].update, EndpointUpdate { zone: 1, started_at_ms: 0.0, ..active(1, 0).update });
    assert_eq!((endpoints[0].address, endpoints[0].boot_ms), (active(1, 0).address, active(1, 0).boot_ms));
    assert_eq!(endpoints[1].update.zone, u16::MAX);
    assert_eq!(endpoints[2].update, draining.update);
}

/// A list without a version is not complete, so another process must not take it for the list of the node.
#[test]
fn a_list_without_a_version_is_not_stored() {
    let position = ListPosition::default();
    assert!(ListRecord::new(ListState { position, ..state() }, &[], &names("[]")).is_none());
}

/// The file of the largest deployment must be one that can be read. Prints its size and times for
/// `docs/capacity.md`.
#[test]
fn the_list_of_the_largest_deployment_fits_into_a_file() {
    let endpoints: Vec<_> =
        (0..MOST_ENDPOINTS).map(|n| active(u64::MAX - n * 5_764_607_523_034_235, 0)).collect();
    let began_at = Instant::now();
    let text = serde_json::to_string(&ListRecord::new(state(), &endpoints, &names(r#"["zone-a"]"#)));
    let text = text.unwrap_or_default();
    let written_in = began_at.elapsed();
    let began_at = Instant::now();
    let record: Option<ListRecord> = serde_json::from_str(&text).unwrap_or_default();
    let count = record.map(|record| record.to_list(&names(r#"["zone-a"]"#)).endpoints.len());
    let read_in = began_at.elapsed();
    assert_eq!(count, Some(endpoints.len()));
    assert!((text.len() as u64) < MAX_BYTES, "{} bytes", text.len());
    println!(
        "{MOST_ENDPOINTS} endpoints: {} bytes, written in {written_in:?}, read in {read_in:?}",
        text.len()
    );
}
