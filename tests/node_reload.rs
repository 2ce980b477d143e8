//! A node reloads its configuration on SIGHUP while it serves requests. Only the address of discovery may change.
mod node;

use node::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// With pushed discovery, each agent counts list versions on its own. A node that asked the new agent for changes
/// after the version of the old one could get no list at all. And a reload must not fail requests that are in
/// progress.
#[test]
fn a_new_configuration_is_applied_under_load_and_an_invalid_one_is_not() {
    let start_named_endpoint =
        |name: &'static [u8]| start_endpoint(&RequestRecord::default(), move |_, _| ok(name));
    let (a, b, c) = (start_named_endpoint(b"a"), start_named_endpoint(b"b"), start_named_endpoint(b"c"));
    let list_of = |endpoint| all_up(&[endpoint]);
    // The first discovery is at version 6 of its list; the second and the third start at version 1.
    let first = DiscoveryStub::start(list_of(a));
    (0..5).for_each(|_| first.set(list_of(a)));
    let mut node = Node::start(first.address, |_| {});
    let served_by = |address| send_request(address, &request("page", 4000)).body;
    let address = node.address;
    let should_stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let load: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(|| {
                    let mut client = Client::connect(address);
                    while !should_stop.load(Ordering::SeqCst) {
                        assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200);
                    }
                })
            })
            .collect();
        wait_for("the list of the first discovery is used", || served_by(address) == b"a");
        // The environment variable `LB_DISCOVERY` still names the first discovery; the reloaded file takes
        // precedence.
        let second = DiscoveryStub::start(list_of(b));
        node.reload(second.address);
        wait_for("the list of the second discovery is used", || served_by(address) == b"b");
        let calls = first.call_count();
        for invalid in ["", "{\"discovery\":", "[]", "{\"discovery\": \"nowhere\"}"] {
            node.reload_text(invalid);
        }
        second.set(list_of(c));
        wait_for("the change by the second discovery is used", || served_by(address) == b"c");
        // Nothing listens yet at the address of the third discovery, so the node keeps its list.
        let third_address = free_address();
        node.reload(third_address);
        assert_eq!(served_by(address), b"c");
        let _third = DiscoveryStub::start_at(third_address, list_of(a));
        wait_for("the list of the third discovery is used", || served_by(address) == b"a");
        assert_eq!(first.call_count(), calls, "the first discovery was called again");
        should_stop.store(true, Ordering::SeqCst);
        load.into_iter().for_each(|client| client.join().unwrap());
    });
    assert!(node.is_running());
}

/// A change that discovery has when the node reloads its configuration counts as known to the node 4 s later. With
/// polled discovery and many nodes, the balancer normally repeats a failed call only after a longer pause. After a
/// reload, the node must repeat it sooner.
#[test]
fn a_drain_is_known_in_time_after_a_reload_despite_failed_polls() {
    let (draining, active) = (RequestRecord::default(), RequestRecord::default());
    let addresses = [start_endpoint(&draining, |_, _| ok(b"x")), start_endpoint(&active, |_, _| ok(b"x"))];
    let mut targets = all_up(&addresses);
    let first = DiscoveryStub::start(targets.clone());
    let mut node = Node::start(first.address, |c| {
        c["settings"]["membershipMode"] = "on_request".into();
        // With so many nodes, a node would repeat a failed call only after some seconds.
        c["settings"]["instances"] = 300.into();
    });
    wait_for("the node has begun a watch", || first.call_count() >= 2);
    targets[0] = target("s-0", addresses[0], "draining");
    // All nodes poll one service, which keeps its version count when it moves to another address. It is overloaded
    // after the move and rejects calls.
    let second = DiscoveryStub::start(all_up(&addresses));
    second.set(targets);
    second.reject_calls(3);
    let known_by = Instant::now() + Duration::from_secs(4);
    node.reload(second.address);
    wait_until(known_by, "the call after the first answered one", || second.call_count() >= 5);
    let calls = second.call_lines();
    assert!(
        calls[3].contains("after=1&wait_ms=0 "),
        "the call does not ask for the changes after version 1, or waits for further ones: {}",
        calls[3]
    );
    assert!(
        calls[4].contains("after=2&wait_ms=60000 "),
        "the call is not a watch for the changes after version 2: {}",
        calls[4]
    );
    assert_draining_endpoint_gets_no_requests(&node, &draining, &active);
}
