//! How a node gets its first endpoint list, and when it is ready.
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

/// The first call of a node that starts with `known`.
fn first_call(known: impl FnOnce(Vec<Value>) -> Value) -> String {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let known = known(all_up(&addresses));
    let _node = Node::launch(discovery.address, |c| c["known"] = known, "exec \"$0\"");
    wait_for("discovery is asked", || discovery.call_count() > 0);
    discovery.call_lines()[0].clone()
}

#[test]
fn a_node_that_starts_with_a_list_asks_for_changes() {
    // A hundred nodes that start at once and ask for all of it are more than discovery can answer.
    let first = first_call(|t| json!({"rev": 41, "all": true, "targets": t}));
    assert!(first.contains("after=41"), "{first}");
    let whole = |known: Value| {
        let first = first_call(|_| known.clone());
        assert!(!first.contains("after="), "{known}: {first}");
    };
    whole(json!({"rev": 41, "all": true, "targets": []}));
    whole(
        json!({"rev": 41, "all": true, "targets": [{"uid": "s-0", "endpoint": "nowhere", "state": "up"}]}),
    );
    whole(json!({"rev": 41, "all": false, "targets": all_up(&[free_address()])}));
    whole(json!({"targets": 7}));
}

#[test]
fn a_process_without_a_list_is_ready_in_time_despite_failed_and_silent_calls() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(1, &record, |_, _| ok(b"x"))));
    discovery.reject_calls(4);
    discovery.hold_answers(true);
    let begun = Instant::now();
    let many = |c: &mut Value| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["settings"]["instances"] = 300.into();
    };
    let node = Node::launch(discovery.address, many, "exec \"$0\"");
    wait_for("a call that gets no answer is made again", || discovery.call_count() >= 2);
    discovery.hold_answers(false);
    wait_until(begun + Duration::from_secs(10), "/up is 200", || node.readiness_status() == 200);
}

#[test]
fn a_process_with_an_old_list_is_ready_once_discovery_has_answered() {
    for mode in ["on_request", "pushed"] {
        let (leaving, staying) = (RequestRecord::default(), RequestRecord::default());
        let addresses =
            [start_endpoint(&leaving, |_, _| ok(b"x")), start_endpoint(&staying, |_, _| ok(b"x"))];
        let mut targets = all_up(&addresses);
        let known = json!({"rev": 1, "all": true, "targets": targets.clone()});
        let discovery = DiscoveryStub::start(targets.clone());
        // It left while no process of this node was there to hear it.
        targets[0] = target("s-0", addresses[0], "draining");
        discovery.set(targets);
        discovery.hold_answers(true);
        let node = Node::launch(
            discovery.address,
            |c| {
                c["settings"]["membershipMode"] = mode.into();
                c["known"] = known;
            },
            "exec \"$0\"",
        );
        wait_for("discovery is asked", || discovery.call_count() > 0);
        assert_eq!(node.readiness_status(), 503, "{mode}: ready by a list of unknown age");
        discovery.hold_answers(false);
        wait_for("/up is 200", || node.readiness_status() == 200);
        assert_draining_endpoint_gets_no_requests(&node, &leaving, &staying);
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
    let asked = discovery.call_lines();
    assert!(asked[0].contains("after=1&wait_ms=0 "), "{asked:?}");
}

#[test]
fn a_process_does_not_wait_for_a_discovery_that_is_down() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    discovery.reject_calls(1000);
    let known = json!({"rev": 1, "all": true, "targets": all_up(&addresses)});
    let begun = Instant::now();
    let asks = |c: &mut Value| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["known"] = known;
    };
    let node = Node::launch(discovery.address, asks, "exec \"$0\"");
    // Less than it would wait for a call that waits its turn.
    wait_until(begun + Duration::from_secs(4), "/up is 200", || node.readiness_status() == 200);
}

#[test]
fn a_process_is_ready_by_its_list_in_time_while_discovery_is_silent() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    discovery.hold_answers(true);
    let known = json!({"rev": 1, "all": true, "targets": all_up(&addresses)});
    let begun = Instant::now();
    let many = |c: &mut Value| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["settings"]["instances"] = 300.into();
        c["known"] = known;
    };
    let node = Node::launch(discovery.address, many, "exec \"$0\"");
    wait_until(begun + Duration::from_secs(6), "/up is 200", || node.readiness_status() == 200);
    assert_eq!(send_request(node.address, &request("page", 900)).status(), 200);
}

#[test]
fn a_failed_poll_at_the_start_is_repeated() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let targets = all_up(&addresses);
    // Nobody answers at first: the decisions ask again, until somebody does.
    let address = free_address();
    let node =
        Node::launch(address, |c| c["settings"]["membershipMode"] = "on_request".into(), "exec \"$0\"");
    wait_for("the node answers", || node.readiness_status() == 503);
    let discovery = DiscoveryStub::start_at(address, targets);
    wait_for("the list arrived", || node.readiness_status() == 200);
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the drain is known", || node.readiness_status() == 503);
}

#[test]
fn a_silent_call_for_the_full_list_is_repeated_in_time() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(1, &record, |_, _| ok(b"x"))));
    discovery.hold_answers(true);
    let node = Node::launch(
        discovery.address,
        |c| {
            c["settings"]["membershipMode"] = "on_request".into();
            // After a failure so many nodes call again over some seconds.
            c["settings"]["instances"] = 300.into();
        },
        "exec \"$0\"",
    );
    wait_for("the list is asked for", || discovery.call_count() >= 1);
    wait_until(Instant::now() + Duration::from_secs(6), "it is again", || discovery.call_count() >= 2);
    discovery.hold_answers(false);
    wait_for("the list is there", || node.readiness_status() == 200);
}
