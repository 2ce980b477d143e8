//! Tests the choice of the endpoint list that a process starts with.
use super::*;
use crate::discovery::{ListPosition, ListState};
use serde_json::{Value, json};
use wheelpath::policy::{EndpointId, EndpointState};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn configured(version: u64) -> Option<EndpointList> {
    let target: Value = json!({"uid": "s-0", "endpoint": "127.0.0.1:1", "state": "up"});
    let settings = r#"{"classes": [{"name": "x", "semantics": "idempotent", "objectiveMs": 1, "hardLimitMs": 2}],
        "rules": {"coldMs": 1, "startCapacity": 1, "fallMultiple": 3, "fallMs": 1}}"#;
    let names = wheelpath::settings_file::read(settings).ok()?.1;
    EndpointList::parse(&json!({"rev": version, "all": true, "targets": [target]}), &names)
}

fn stored(numbering: u64, version: u64, highest_version: u64) -> SharedList {
    let position = ListPosition { numbering, version: Some(version) };
    let state = ListState { position, highest_version: Some(highest_version), source: address(7) };
    let endpoint = DiscoveredEndpoint::inactive(EndpointId(1), EndpointState::Draining, None);
    SharedList { state, endpoints: vec![endpoint] }
}

fn choose(configured: Option<EndpointList>, stored: Option<SharedList>) -> InitialList {
    InitialList::choose(configured, stored, address(7), DiscoveryMode::Poll)
}

/// A stored list that is older than the configured one must not replace it, and one that is newer must, also where
/// its version is lower because discovery has restarted its version numbers.
#[test]
fn the_newer_list_is_chosen() {
    for (configured_version, stored_list, is_stored) in [
        (4, stored(0, 5, 5), true),
        (5, stored(0, 5, 5), true),
        (6, stored(0, 5, 5), false),
        (6, stored(1, 2, 6), true),
        (7, stored(1, 2, 6), false),
    ] {
        let stored_position = stored_list.state.position;
        let chosen = choose(configured(configured_version), Some(stored_list));
        assert_eq!(chosen.state.position == stored_position, is_stored, "{configured_version}");
        assert!(chosen.state.position >= stored_position, "{configured_version}");
        assert_eq!(chosen.base_version, chosen.state.position.version);
    }
    assert_eq!(choose(None, Some(stored(0, 5, 5))).base_version, Some(5));
    assert_eq!(choose(configured(3), None).base_version, Some(3));
    let none = choose(None, None);
    assert_eq!((none.state.position, none.endpoints.len()), (ListPosition::default(), 0));
}

/// In push mode each agent may have its own version numbers, so changes after a version of another agent do not
/// apply. An empty list may be wrong, and a full one costs nothing then.
#[test]
fn the_full_list_is_requested_where_changes_may_not_apply() {
    let choose_at = |discovery, mode, stored| InitialList::choose(None, Some(stored), discovery, mode);
    let push = DiscoveryMode::Push;
    assert_eq!(choose_at(address(7), push, stored(0, 5, 5)).base_version, Some(5));
    assert_eq!(choose_at(address(8), push, stored(0, 5, 5)).base_version, None);
    assert_eq!(choose_at(address(8), DiscoveryMode::Poll, stored(0, 5, 5)).base_version, Some(5));
    let empty = SharedList { endpoints: Vec::new(), ..stored(0, 5, 5) };
    assert_eq!(choose_at(address(7), DiscoveryMode::Poll, empty).base_version, None);
}
