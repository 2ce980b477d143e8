//! Endpoint lists with malformed entries, with older versions, and with draining endpoints.
mod node;

use node::*;
use serde_json::json;
use std::time::Instant;

#[test]
fn a_malformed_entry_does_not_hide_the_others() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let mut targets = all_up(&addresses);
    targets.insert(0, json!({"uid": "s-8", "endpoint": "nowhere", "state": "up"}));
    targets.insert(0, json!({"uid": 7, "endpoint": addresses[0].to_string(), "state": "up"}));
    targets.insert(0, json!("what?"));
    let discovery = DiscoveryStub::start(targets);
    let node = Node::start(discovery.address, |_| {});
    for _ in 0..5 {
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    }
}

/// A node that skips malformed entries completely would go on sending requests to an endpoint that drains or has gone.
#[test]
fn an_endpoint_that_leaves_gets_nothing_even_if_its_entry_is_malformed() {
    let malformed_entries = [
        json!({"uid": "s-0", "endpoint": "nowhere", "state": "draining"}),
        json!({"uid": "s-0", "state": "draining"}),
        json!({"uid": "s-0", "endpoint": "127.0.0.1:1", "state": "draining", "pod_group": -1}),
        json!({"uid": "s-0", "endpoint": 7, "state": "removed", "capacity_hint": "big", "boot_ms": "now"}),
    ];
    for entry in malformed_entries {
        let (draining, active) = (RequestRecord::default(), RequestRecord::default());
        let addresses =
            [start_endpoint(&draining, |_, _| ok(b"x")), start_endpoint(&active, |_, _| ok(b"x"))];
        let discovery = DiscoveryStub::start(all_up(&addresses));
        let node = Node::start(discovery.address, |_| {});
        wait_for("the node watches", || discovery.call_count() >= 2);
        discovery.set_delta(vec![entry.clone()]);
        wait_for("the node has received the change and watches again", || discovery.call_count() >= 3);
        for _ in 0..20 {
            assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200, "{entry}");
        }
        assert_eq!((draining.count(), active.count()), (0, 20), "{entry}");
    }
}

#[test]
fn a_list_without_a_readable_entry_is_ignored() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    discovery.set(vec![json!(1), json!({"id": "s-0"}), json!("what?")]);
    let calls = discovery.call_count();
    wait_for("the node calls again", || discovery.call_count() >= calls + 2);
    assert_eq!(
        send_request(node.address, &request("bid", 900)).status(),
        200,
        "the node must serve by its old list"
    );
}

/// A discovery service may count its versions from 1 again after a restart. A node that only asks for versions after
/// its own would then get no change any more.
#[test]
fn a_list_with_a_later_version_than_discovery_has_is_replaced() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    discovery.set_version_without_notifying(41, all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["settings"]["membershipMode"] = "on_request".into());
    wait_for("the node watches", || discovery.call_count() >= 2);
    discovery.set_version_without_notifying(1, vec![target("s-0", addresses[0], "draining")]);
    // The watch asks for changes after version 41, and discovery has none for as long as the watch may wait.
    wait_until(Instant::now() + 3 * WAIT_TIMEOUT, "the node has the list of the lower version", || {
        node.readiness_status() == 503
    });
}

#[test]
fn the_log_names_versions_and_states_of_the_list() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let both_draining =
        ["s-0", "s-1"].iter().zip(&addresses).map(|(uid, a)| target(uid, *a, "draining")).collect();
    discovery.set(both_draining);
    wait_for("the node knows that both endpoints are draining", || node.readiness_status() == 503);
    node.terminate();
    node.wait_for_exit();
    let log = node.log();
    for text in ["version 1: 2 up", "version 2: 0 up, 2 draining"] {
        assert!(log.contains(text), "{text:?} is not in {log}");
    }
}
