//! Conditions in the first minutes of a deployment: endpoints that have just started, and a log that nobody reads yet.
mod node;

use node::*;
use std::time::{SystemTime, UNIX_EPOCH};

fn wall_clock_ms() -> u64 {
    u64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

#[test]
fn a_node_serves_though_all_endpoints_have_just_started() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, _| ok(b"x"));
    let mut targets = all_up(&addresses);
    targets.iter_mut().for_each(|target| target["boot_ms"] = wall_clock_ms().into());
    let discovery = DiscoveryStub::start(targets);
    let node = Node::start(discovery.address, |_| {});
    // All endpoints are in slow start for the next 22 s. Each may receive a few requests per second nevertheless.
    wait_for("20 requests are served", || {
        send_request(node.address, &request("page", 4000));
        record.count() >= 20
    });
}

#[test]
fn an_unread_log_delays_no_request() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    // The node's standard error is a pipe that holds 64 KiB; once it is full, a blocking write would stop the node.
    let mut node = Node::launch(discovery.address, |_| {}, "LB_TRACE=all exec \"$0\"");
    wait_for("/up is 200", || node.readiness_status() == 200);
    let mut client = Client::connect(node.address);
    for n in 0..3000 {
        assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200, "request {n}");
    }
    assert!(node.is_running());
}
