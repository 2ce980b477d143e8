//! The first minutes of a deployment, and of what is around a node.
mod node;

use node::*;
use std::time::{SystemTime, UNIX_EPOCH};

fn wall_ms() -> u64 {
    u64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

#[test]
fn a_node_whose_servers_have_all_just_started_serves() {
    let record = Record::default();
    let addresses = backends(3, &record, |_, _| ok(b"x"));
    let mut targets = all_up(&addresses);
    targets.iter_mut().for_each(|target| target["boot_ms"] = wall_ms().into());
    let discovery = Discovery::start(targets);
    let node = Node::start(discovery.address, |_| {});
    // None of them will be warm for 22 s; each may be sent a few requests a second all the same.
    wait_for("twenty requests are served", || {
        ask(node.address, &request("page", 4000));
        record.count() >= 20
    });
}

#[test]
fn a_log_that_nobody_reads_holds_up_no_request() {
    let record = Record::default();
    let addresses = backends(3, &record, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    // Its standard error is a pipe, which holds 64 KiB.
    let mut node = Node::launch(discovery.address, |_| {}, "LB_TRACE=all exec \"$0\"");
    wait_for("/up is 200", || node.up() == 200);
    let mut client = Client::connect(node.address);
    for n in 0..3000 {
        assert_eq!(client.ask(&request("page", 4000)).status(), 200, "request {n}");
    }
    assert!(node.running());
}
