//! Discovery that is silent, fails, or does not wait.
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
    wait_for("a watch is out", || discovery.call_count() >= 2);
    discovery.hold_answers(true);
    let calls = discovery.call_count();
    wait_for("the silent call is given up and made again", || discovery.call_count() > calls + 1);
    assert_eq!(
        send_request(node.address, &request("page", 900)).status(),
        200,
        "the old list holds meanwhile"
    );
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    discovery.hold_answers(false);
    wait_for("the news arrived", || node.readiness_status() == 503);
}

/// A node whose watch and the `misses` calls after it get no answer, while an endpoint begins to drain: the moment at
/// which the news counts as told, `counts` after the watch began and its wait, by the pages, must find it known.
fn silence_is_overcome(mode: &str, misses: u32, counts: impl Fn(Duration) -> Duration) {
    let (leaving, staying) = (RequestRecord::default(), RequestRecord::default());
    let addresses = [start_endpoint(&leaving, |_, _| ok(b"x")), start_endpoint(&staying, |_, _| ok(b"x"))];
    let mut targets = all_up(&addresses);
    let discovery = DiscoveryStub::start(targets.clone());
    let node = Node::start(discovery.address, |c| c["settings"]["membershipMode"] = mode.into());
    wait_for("a watch is out", || discovery.call_count() >= 2);
    let begun = Instant::now();
    discovery.hold_answers(true);
    let wait = discovery.call_lines()[1]
        .split_once("wait_ms=")
        .map(|(_, rest)| rest.split(' ').next().and_then(|ms| ms.parse().ok()).unwrap());
    let told = begun + counts(Duration::from_millis(wait.unwrap()));
    targets[0] = target("s-0", addresses[0], "draining");
    discovery.set(targets);
    wait_until(told, "the calls are made anew", || discovery.call_count() >= 3 + misses);
    discovery.hold_answers(false);
    // The call after that comes when its news is known.
    wait_until(told, "the news is known", || discovery.call_count() >= 4 + misses);
    let before = leaving.count();
    for _ in 0..20 {
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    }
    assert_eq!((leaving.count() - before, staying.count() >= 20), (0, true));
}

#[test]
fn silent_polls_are_repeated_before_a_change_counts_as_known() {
    silence_is_overcome("on_request", 1, |wait| wait + Duration::from_secs(2));
}

/// A node of many that polls a discovery with two endpoints, the first of which is about to leave.
struct PollingSite {
    discovery: DiscoveryStub,
    /// The list in which the first one drains.
    drained_list: Vec<Value>,
    node: Node,
    records: [RequestRecord; 2],
}

fn poll_two_endpoints() -> PollingSite {
    let records = [RequestRecord::default(), RequestRecord::default()];
    let addresses =
        [start_endpoint(&records[0], |_, _| ok(b"x")), start_endpoint(&records[1], |_, _| ok(b"x"))];
    let targets = all_up(&addresses);
    let discovery = DiscoveryStub::start(targets.clone());
    let node = Node::start(discovery.address, |c| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["settings"]["instances"] = 300.into();
    });
    wait_for("a watch is out", || discovery.call_count() >= 2);
    let mut drained_list = targets;
    drained_list[0] = target("s-0", addresses[0], "draining");
    PollingSite { discovery, drained_list, node, records }
}

#[test]
fn a_change_after_failed_polls_is_applied_before_it_counts_as_known() {
    let PollingSite { discovery, drained_list, node, records: [leaving, staying] } = poll_two_endpoints();
    // The watch ends with a no, and so do the next calls: as when discovery has too many callers.
    discovery.reject_calls(4);
    discovery.set(drained_list);
    let told = Instant::now() + Duration::from_secs(6);
    wait_until(told, "the call after the one that is answered", || discovery.call_count() >= 7);
    let asked = discovery.call_lines();
    // A call that waits for news may be silent, and a node whose last call failed has no time for that.
    assert!(asked[2..6].iter().all(|call| call.contains("after=1&wait_ms=0 ")), "{asked:?}");
    assert!(asked[6].contains("after=2&wait_ms=60000 "), "no watch: {asked:?}");
    assert_draining_endpoint_gets_no_requests(&node, &leaving, &staying);
}

#[test]
fn a_failed_check_during_a_silent_watch_is_repeated_in_time() {
    let PollingSite { discovery, drained_list, node, records: [leaving, staying] } = poll_two_endpoints();
    discovery.hold_answers(true);
    wait_until(Instant::now() + 3 * WAIT_TIMEOUT, "a call beside the watch", || {
        discovery.call_count() >= 3
    });
    discovery.set(drained_list);
    let told = Instant::now() + Duration::from_secs(6);
    // That call and the next are refused; the watch stays silent.
    discovery.hold_watches_and_reject_polls(2);
    wait_until(told, "the watch after the call that is answered", || discovery.call_count() >= 6);
    assert_draining_endpoint_gets_no_requests(&node, &leaving, &staying);
}

#[test]
fn a_watch_is_not_abandoned_before_the_next_has_its_connection() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let (listener, address) = listener_with_backlog_of_one();
    let known = json!({"rev": 41, "all": true, "targets": all_up(&addresses)});
    let old = |c: &mut Value| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["known"] = known;
    };
    let node = Node::launch(address, old, "exec \"$0\"");
    let mut watch = std::net::TcpStream::from(listener.accept().unwrap().0);
    let mut calls = BufReader::new(watch.try_clone().unwrap());
    let asked = Message::read(&mut calls).unwrap().first_line;
    assert!(asked.contains("after=41&wait_ms=0 "), "{asked}");
    watch.write_all(&response("200 OK", "", br#"{"rev": 41, "all": false, "targets": []}"#)).unwrap();
    let asked = Message::read(&mut calls).unwrap().first_line;
    assert!(asked.contains("after=41&wait_ms=60000 "), "{asked}");
    wait_for("/up is 200", || node.readiness_status() == 200);
    // From now on no connection comes up.
    let _filler = Client::connect(address);
    wait_until(Instant::now() + 3 * WAIT_TIMEOUT, "the next watch has no connection", || {
        has_tcp_socket_in_state(address, SYN_SENT)
    });
    let news = json!({"rev": 42, "all": false, "targets": [target("s-0", addresses[0], "draining")]});
    watch.write_all(&response("200 OK", "", news.to_string().as_bytes())).unwrap();
    wait_for("the news on the present one is heard", || node.readiness_status() == 503);
}

#[test]
fn a_silent_agent_call_is_repeated_before_a_change_counts_as_known() {
    silence_is_overcome("pushed", 1, |wait| Duration::from_secs(6).max(wait + Duration::from_secs(2)));
}

#[test]
fn a_call_that_an_agent_ignores_is_repeated_alongside_it() {
    let (leaving, staying) = (RequestRecord::default(), RequestRecord::default());
    let addresses = [start_endpoint(&leaving, |_, _| ok(b"x")), start_endpoint(&staying, |_, _| ok(b"x"))];
    let mut targets = all_up(&addresses);
    let discovery = DiscoveryStub::start(targets.clone());
    let node = Node::start(discovery.address, |_| {});
    discovery.ignore_calls(true);
    wait_for("a call is not heard", || discovery.open_ignored_calls() == 1);
    // What the agent gets at its return counts at once: no time to wait for the end of that call.
    wait_for("the next comes while it is open", || discovery.open_ignored_calls() >= 2);
    targets[0] = target("s-0", addresses[0], "draining");
    discovery.set(targets);
    discovery.ignore_calls(false);
    wait_for("the next is answered, and those are given up", || discovery.open_ignored_calls() == 0);
    wait_for("a watch is out", || {
        discovery.call_lines().last().is_some_and(|call| call.contains("after=2&"))
    });
    assert_draining_endpoint_gets_no_requests(&node, &leaving, &staying);
}

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
    // 200 ms is the longest pause after which a watch goes on.
    assert!((5..50).contains(&calls), "{calls} calls in a second");
}
