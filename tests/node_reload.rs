//! A new configuration while requests come.
mod node;

use node::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_new_configuration_is_applied_under_load_and_an_invalid_one_is_not() {
    let place = |name: &'static [u8]| start_endpoint(&RequestRecord::default(), move |_, _| ok(name));
    let (a, b, c) = (place(b"a"), place(b"b"), place(b"c"));
    let only = |at| all_up(&[at]);
    // The second discovery counts from 1 again: what the first one's count was means nothing to it.
    let first = DiscoveryStub::start(only(a));
    (0..5).for_each(|_| first.set(only(a)));
    let mut node = Node::start(first.address, |_| {});
    let served_by = |address| send_request(address, &request("page", 4000)).body;
    let address = node.address;
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let load: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(|| {
                    let mut client = Client::connect(address);
                    while !over.load(Ordering::SeqCst) {
                        assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200);
                    }
                })
            })
            .collect();
        wait_for("the first list", || served_by(address) == b"a");
        // The environment still names the first one.
        let second = DiscoveryStub::start(only(b));
        node.reload(second.address);
        wait_for("the second list", || served_by(address) == b"b");
        let calls = first.call_count();
        for bad in ["", "{\"discovery\":", "[]", "{\"discovery\": \"nowhere\"}"] {
            node.reload_text(bad);
        }
        second.set(only(c));
        wait_for("the second list's change", || served_by(address) == b"c");
        // And once more, to one that is not there yet.
        let late = free_address();
        node.reload(late);
        assert_eq!(served_by(address), b"c");
        let _third = DiscoveryStub::start_at(late, only(a));
        wait_for("the third list", || served_by(address) == b"a");
        assert_eq!(first.call_count(), calls, "the first discovery was asked again");
        over.store(true, Ordering::SeqCst);
        load.into_iter().for_each(|l| l.join().unwrap());
    });
    assert!(node.is_running());
}

#[test]
fn a_drain_after_a_new_configuration_is_known_in_time_despite_failed_polls() {
    let (leaving, staying) = (RequestRecord::default(), RequestRecord::default());
    let addresses = [start_endpoint(&leaving, |_, _| ok(b"x")), start_endpoint(&staying, |_, _| ok(b"x"))];
    let mut targets = all_up(&addresses);
    let first = DiscoveryStub::start(targets.clone());
    let mut node = Node::start(first.address, |c| {
        c["settings"]["membershipMode"] = "on_request".into();
        // After a failure so many nodes call again over some seconds.
        c["settings"]["instances"] = 300.into();
    });
    wait_for("a watch is out", || first.call_count() >= 2);
    targets[0] = target("s-0", addresses[0], "draining");
    // The same service at another place: its count goes on, and it has too many callers.
    let second = DiscoveryStub::start(all_up(&addresses));
    second.set(targets);
    second.reject_calls(3);
    let told = Instant::now() + Duration::from_secs(4);
    node.reload(second.address);
    wait_until(told, "the call after the one that is answered", || second.call_count() >= 5);
    let asked = second.call_lines();
    assert!(asked[3].contains("after=1&wait_ms=0 "), "all of the list, or a wait for news: {}", asked[3]);
    assert!(asked[4].contains("after=2&wait_ms=60000 "), "no watch: {}", asked[4]);
    assert_draining_endpoint_gets_no_requests(&node, &leaving, &staying);
}
