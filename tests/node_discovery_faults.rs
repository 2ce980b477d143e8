//! Discovery calls that get no response, fail, or return at once, while an endpoint begins to drain.
mod node;

use node::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_silent_discovery_call_is_repeated_and_its_changes_applied() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(vec![target("s-0", addresses[0], "up")]);
    let node = Node::start(discovery.address, |_| {});
    wait_for("the node watches", || discovery.call_count() >= 2);
    discovery.hold_responses(true);
    let calls = discovery.call_count();
    wait_for("the unanswered call is repeated", || discovery.call_count() > calls + 1);
    assert_eq!(
        send_request(node.address, &request("page", 900)).status(),
        200,
        "the node must serve by its old list in the meantime"
    );
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    discovery.hold_responses(false);
    wait_for("the node has received the change", || node.readiness_status() == 503);
}

/// Asserts that a node whose watch and the `silent_repeats` calls after it get no response knows in time of an endpoint
/// that begins to drain.
///
/// `known_after` gets the time for which the watch may wait, and returns how long after the start of the watch the
/// change counts as known, so that no request may be sent to the endpoint any more.
fn assert_drain_known_despite_silence(
    mode: &str,
    silent_repeats: u32,
    known_after: impl Fn(Duration) -> Duration,
) {
    let (draining, active) = (RequestRecord::default(), RequestRecord::default());
    let addresses = [start_endpoint(&draining, |_, _| ok(b"x")), start_endpoint(&active, |_, _| ok(b"x"))];
    let mut targets = all_up(&addresses);
    let discovery = DiscoveryStub::start(targets.clone());
    let node = Node::start(discovery.address, |c| c["settings"]["membershipMode"] = mode.into());
    wait_for("the node watches", || discovery.call_count() >= 2);
    let watch_start = Instant::now();
    discovery.hold_responses(true);
    let wait_ms = discovery.call_lines()[1]
        .split_once("wait_ms=")
        .map(|(_, rest)| rest.split(' ').next().and_then(|ms| ms.parse().ok()).unwrap());
    let known_by = watch_start + known_after(Duration::from_millis(wait_ms.unwrap()));
    targets[0] = target("s-0", addresses[0], "draining");
    discovery.set(targets);
    wait_until(known_by, "the calls are repeated", || discovery.call_count() >= 3 + silent_repeats);
    discovery.hold_responses(false);
    // The node makes the next call when it has the change.
    wait_until(known_by, "the change is known", || discovery.call_count() >= 4 + silent_repeats);
    let before = draining.count();
    for _ in 0..20 {
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    }
    assert_eq!((draining.count() - before, active.count() >= 20), (0, true));
}

#[test]
fn silent_polls_are_repeated_before_a_change_counts_as_known() {
    assert_drain_known_despite_silence("on_request", 1, |wait| wait + Duration::from_secs(2));
}

/// A node, configured as one of 300, that polls discovery and has two endpoints; the first one is about to drain.
struct PollingFixture {
    discovery: DiscoveryStub,
    /// The list in which the first endpoint is draining.
    drained_list: Vec<Value>,
    node: Node,
    records: [RequestRecord; 2],
}

fn poll_two_endpoints() -> PollingFixture {
    let records = [RequestRecord::default(), RequestRecord::default()];
    let addresses =
        [start_endpoint(&records[0], |_, _| ok(b"x")), start_endpoint(&records[1], |_, _| ok(b"x"))];
    let targets = all_up(&addresses);
    let discovery = DiscoveryStub::start(targets.clone());
    let node = Node::start(discovery.address, |c| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["settings"]["instances"] = 300.into();
    });
    wait_for("the node watches", || discovery.call_count() >= 2);
    let mut drained_list = targets;
    drained_list[0] = target("s-0", addresses[0], "draining");
    PollingFixture { discovery, drained_list, node, records }
}

#[test]
fn a_change_after_failed_polls_is_applied_before_it_counts_as_known() {
    let PollingFixture { discovery, drained_list, node, records: [draining, active] } =
        poll_two_endpoints();
    // The watch and the next three calls are answered with 503, as by a discovery service with too many callers.
    discovery.reject_calls(4);
    discovery.set(drained_list);
    let known_by = Instant::now() + Duration::from_secs(6);
    wait_until(known_by, "the node calls again after the answered call", || discovery.call_count() >= 7);
    let calls = discovery.call_lines();
    // After a failure the node polls: an unanswered watch would cost time that it does not have.
    assert!(calls[2..6].iter().all(|call| call.contains("after=1&wait_ms=0 ")), "{calls:?}");
    assert!(calls[6].contains("after=2&wait_ms=60000 "), "no watch: {calls:?}");
    assert_draining_endpoint_gets_no_requests(&node, &draining, &active);
}

#[test]
fn a_failed_poll_during_a_silent_watch_is_repeated_in_time() {
    let PollingFixture { discovery, drained_list, node, records: [draining, active] } =
        poll_two_endpoints();
    discovery.hold_responses(true);
    wait_until(Instant::now() + 3 * WAIT_TIMEOUT, "the node polls during the watch", || {
        discovery.call_count() >= 3
    });
    discovery.set(drained_list);
    let known_by = Instant::now() + Duration::from_secs(6);
    // That poll and the next one are answered with 503; the watch gets no response.
    discovery.hold_watches_and_reject_polls(2);
    wait_until(known_by, "the node watches after the answered poll", || discovery.call_count() >= 6);
    assert_draining_endpoint_gets_no_requests(&node, &draining, &active);
}

#[test]
fn a_watch_is_not_abandoned_before_the_next_has_its_connection() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let (listener, address) = listener_with_backlog_of_one();
    let known = json!({"rev": 41, "all": true, "targets": all_up(&addresses)});
    let set_known_list = |c: &mut Value| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["known"] = known;
    };
    let node = Node::launch(address, set_known_list, "exec \"$0\"");
    let mut watch = std::net::TcpStream::from(listener.accept().unwrap().0);
    let mut calls = BufReader::new(watch.try_clone().unwrap());
    let call = Message::read(&mut calls).unwrap().first_line;
    assert!(call.contains("after=41&wait_ms=0 "), "{call}");
    watch.write_all(&response("200 OK", "", br#"{"rev": 41, "all": false, "targets": []}"#)).unwrap();
    let call = Message::read(&mut calls).unwrap().first_line;
    assert!(call.contains("after=41&wait_ms=60000 "), "{call}");
    wait_for("/up is 200", || node.readiness_status() == 200);
    // This connection fills the accept queue: no further connection is established.
    let _filler = Client::connect(address);
    wait_until(Instant::now() + 3 * WAIT_TIMEOUT, "the next watch is connecting", || {
        has_tcp_socket_in_state(address, SYN_SENT)
    });
    let change = json!({"rev": 42, "all": false, "targets": [target("s-0", addresses[0], "draining")]});
    watch.write_all(&response("200 OK", "", change.to_string().as_bytes())).unwrap();
    wait_for("the change on the first connection is known", || node.readiness_status() == 503);
}

#[test]
fn a_silent_agent_call_is_repeated_before_a_change_counts_as_known() {
    assert_drain_known_despite_silence("pushed", 1, |wait| {
        Duration::from_secs(6).max(wait + Duration::from_secs(2))
    });
}

#[test]
fn a_call_that_an_agent_ignores_is_repeated_alongside_it() {
    let (draining, active) = (RequestRecord::default(), RequestRecord::default());
    let addresses = [start_endpoint(&draining, |_, _| ok(b"x")), start_endpoint(&active, |_, _| ok(b"x"))];
    let mut targets = all_up(&addresses);
    let discovery = DiscoveryStub::start(targets.clone());
    let node = Node::start(discovery.address, |_| {});
    discovery.ignore_calls(true);
    wait_for("a call is ignored", || discovery.open_ignored_calls() == 1);
    // A change counts as known at once when the agent is back, so the node must not wait until the ignored call ends.
    wait_for("the node repeats the call while the first one is open", || {
        discovery.open_ignored_calls() >= 2
    });
    targets[0] = target("s-0", addresses[0], "draining");
    discovery.set(targets);
    discovery.ignore_calls(false);
    wait_for("a call is answered and the ignored ones are closed", || discovery.open_ignored_calls() == 0);
    wait_for("the node watches", || {
        discovery.call_lines().last().is_some_and(|call| call.contains("after=2&"))
    });
    assert_draining_endpoint_gets_no_requests(&node, &draining, &active);
}

/// Guards against a busy loop of calls to a discovery service that answers watches at once.
#[test]
fn a_watch_that_does_not_wait_is_paced() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    discovery.answer_immediately(true);
    let _node = Node::start(discovery.address, |_| {});
    let calls = discovery.call_count();
    thread::sleep(Duration::from_millis(1000));
    let calls = discovery.call_count() - calls;
    // A watch must continue after 200 ms at most, which gives the lower bound.
    assert!((5..50).contains(&calls), "{calls} calls in a second");
}
