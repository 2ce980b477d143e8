//! Start of a node: its first endpoint list, from the configuration or from discovery, and its readiness.
mod node;

use node::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

#[test]
fn a_node_starts_from_the_known_list_while_discovery_is_down() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let known = json!({"rev": 41, "all": true, "targets": all_up(&addresses)});
    let node = Node::start(free_address(), |c| c["known"] = known);
    assert_eq!(send_request(node.address, &request("page", 900)).status(), 200);
}

/// Starts a node whose configuration contains the list that `known` builds from the entry of one endpoint, and returns
/// the request line of the node's first discovery call.
fn first_call(known: impl FnOnce(Vec<Value>) -> Value) -> String {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let known = known(all_up(&addresses));
    let _node = Node::launch(discovery.address, |c| c["known"] = known, "exec \"$0\"");
    wait_for("the node has called discovery", || discovery.call_count() > 0);
    discovery.call_lines()[0].clone()
}

#[test]
fn a_node_that_starts_with_a_list_asks_for_changes() {
    // If a hundred nodes start at once and each asks for the full list, discovery cannot answer them all.
    let call = first_call(|t| json!({"rev": 41, "all": true, "targets": t}));
    assert!(call.contains("after=41"), "{call}");
    // Without a complete and usable list, the node must ask for the full one.
    let assert_asks_for_full_list = |known: Value| {
        let call = first_call(|_| known.clone());
        assert!(!call.contains("after="), "{known}: {call}");
    };
    assert_asks_for_full_list(json!({"rev": 41, "all": true, "targets": []}));
    assert_asks_for_full_list(
        json!({"rev": 41, "all": true, "targets": [{"uid": "s-0", "endpoint": "nowhere", "state": "up"}]}),
    );
    assert_asks_for_full_list(json!({"rev": 41, "all": false, "targets": all_up(&[free_address()])}));
    assert_asks_for_full_list(json!({"targets": 7}));
}

#[test]
fn a_process_without_a_list_is_ready_in_time_despite_failed_and_silent_calls() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(1, &record, |_, _| ok(b"x"))));
    discovery.reject_calls(4);
    discovery.hold_responses(true);
    let start = Instant::now();
    let edit_config = |c: &mut Value| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["settings"]["instances"] = 300.into();
    };
    let node = Node::launch(discovery.address, edit_config, "exec \"$0\"");
    wait_for("the unanswered call is repeated", || discovery.call_count() >= 2);
    discovery.hold_responses(false);
    wait_until(start + Duration::from_secs(10), "/up is 200", || node.readiness_status() == 200);
}

#[test]
fn a_process_with_an_old_list_is_ready_once_discovery_has_answered() {
    for mode in ["on_request", "pushed"] {
        let (draining, active) = (RequestRecord::default(), RequestRecord::default());
        let addresses =
            [start_endpoint(&draining, |_, _| ok(b"x")), start_endpoint(&active, |_, _| ok(b"x"))];
        let mut targets = all_up(&addresses);
        let known = json!({"rev": 1, "all": true, "targets": targets.clone()});
        let discovery = DiscoveryStub::start(targets.clone());
        // The endpoint began to drain while no process of this node was running.
        targets[0] = target("s-0", addresses[0], "draining");
        discovery.set(targets);
        discovery.hold_responses(true);
        let node = Node::launch(
            discovery.address,
            |c| {
                c["settings"]["membershipMode"] = mode.into();
                c["known"] = known;
            },
            "exec \"$0\"",
        );
        wait_for("the node has called discovery", || discovery.call_count() > 0);
        assert_eq!(node.readiness_status(), 503, "{mode}: ready with a list of unknown age");
        discovery.hold_responses(false);
        wait_for("/up is 200", || node.readiness_status() == 200);
        assert_draining_endpoint_gets_no_requests(&node, &draining, &active);
    }
}

#[test]
fn a_process_with_a_current_list_is_ready_without_a_change() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let known = json!({"rev": 1, "all": true, "targets": all_up(&addresses)});
    let _node = Node::start(discovery.address, |c| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["known"] = known;
    });
    let calls = discovery.call_lines();
    assert!(calls[0].contains("after=1&wait_ms=0 "), "{calls:?}");
}

#[test]
fn a_process_does_not_wait_for_a_discovery_that_is_down() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    discovery.reject_calls(1000);
    let known = json!({"rev": 1, "all": true, "targets": all_up(&addresses)});
    let start = Instant::now();
    let edit_config = |c: &mut Value| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["known"] = known;
    };
    let node = Node::launch(discovery.address, edit_config, "exec \"$0\"");
    // A node whose call gets no response waits longer than this, because the call may be queued at discovery.
    wait_until(start + Duration::from_secs(4), "/up is 200", || node.readiness_status() == 200);
}

#[test]
fn a_process_is_ready_by_its_list_in_time_while_discovery_is_silent() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    discovery.hold_responses(true);
    let known = json!({"rev": 1, "all": true, "targets": all_up(&addresses)});
    let start = Instant::now();
    let edit_config = |c: &mut Value| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["settings"]["instances"] = 300.into();
        c["known"] = known;
    };
    let node = Node::launch(discovery.address, edit_config, "exec \"$0\"");
    wait_until(start + Duration::from_secs(6), "/up is 200", || node.readiness_status() == 200);
    assert_eq!(send_request(node.address, &request("page", 900)).status(), 200);
}

#[test]
fn a_failed_poll_at_the_start_is_repeated() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let targets = all_up(&addresses);
    // At first nothing listens at the address of discovery. The policy requests further polls until one is answered.
    let address = free_address();
    let node =
        Node::launch(address, |c| c["settings"]["membershipMode"] = "on_request".into(), "exec \"$0\"");
    wait_for("the node listens", || node.readiness_status() == 503);
    let discovery = DiscoveryStub::start_at(address, targets);
    wait_for("the node has the list", || node.readiness_status() == 200);
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the node knows that the endpoint is draining", || node.readiness_status() == 503);
}

#[test]
fn a_silent_call_for_the_full_list_is_repeated_in_time() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(1, &record, |_, _| ok(b"x"))));
    discovery.hold_responses(true);
    let node = Node::launch(
        discovery.address,
        |c| {
            c["settings"]["membershipMode"] = "on_request".into();
            // Nodes spread their calls after a failure over a time that grows with their number: seconds, with 300.
            c["settings"]["instances"] = 300.into();
        },
        "exec \"$0\"",
    );
    wait_for("the node asks for the list", || discovery.call_count() >= 1);
    wait_until(Instant::now() + Duration::from_secs(6), "the node asks again", || {
        discovery.call_count() >= 2
    });
    discovery.hold_responses(false);
    wait_for("the node has the list", || node.readiness_status() == 200);
}
