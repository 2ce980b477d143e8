//! Tests what a new process of a node takes over from the previous one, and how the two share the limits of the node
//! while both run during a handover.

use crate::common::{TestNode, active_endpoint};
use crate::support::{idempotent_node, make_congested};
use wheelpath::policy::{
    AttemptOutcome, EndpointId, EndpointSnapshot, EndpointState, EndpointUpdate, Event, Settings,
    WatchUpdate,
};

/// Guards against a new process that sends full traffic to restarted or congested endpoints because it has not seen
/// their restart or their failures.
#[test]
fn a_process_takes_over_slow_starts_congestion_and_limits() {
    let mut old = idempotent_node(3);
    old.warm_up(300, 0, 10.0);
    let [restarted, congested, warm] =
        [active_endpoint(1), active_endpoint(2), active_endpoint(3)].map(|listed| listed.endpoint);
    old.feed(Event::Disable(restarted));
    old.feed(Event::Enable(restarted));
    old.apply_list(
        WatchUpdate::Delta,
        vec![
            EndpointUpdate { state: EndpointState::Draining, ..active_endpoint(1) },
            EndpointUpdate { state: EndpointState::Draining, ..active_endpoint(3) },
        ],
    );
    while !old.log_lines.iter().any(|line| line.starts_with("congested")) {
        let id = old.request(0, Some(1));
        old.end_attempt(id, AttemptOutcome::ConnectionReset);
    }
    old.apply_list(WatchUpdate::Delta, vec![active_endpoint(1), active_endpoint(3)]);
    let mut snapshot = old.balancer.snapshot(old.now_ms);
    let state_of = |endpoint: EndpointId| {
        snapshot.iter().find(|state| state.endpoint == endpoint).expect("an endpoint of the snapshot")
    };
    assert!(state_of(restarted).started_at_ms.is_some() && state_of(warm).started_at_ms.is_none());
    assert!(state_of(congested).prat_ms.is_some() && state_of(warm).prat_ms.is_none());
    let mut new = TestNode::new(old.settings.clone(), 2);
    new.now_ms = old.now_ms;
    new.apply_list(
        WatchUpdate::CachedSnapshot,
        vec![active_endpoint(1), active_endpoint(2), active_endpoint(3)],
    );
    // A limit below the initial one is taken over as it is. A higher one is reduced to the initial limit of 2, because
    // the old process may still use the rest.
    (snapshot[0].concurrency_limit, snapshot[1].concurrency_limit) = (0.5, 9.0);
    new.feed(Event::SnapshotRestored(snapshot.clone()));
    snapshot[1].concurrency_limit = 2.0;
    assert_eq!(
        new.balancer.snapshot(new.now_ms),
        snapshot,
        "the new process must have the state of the old one, with no limit above the initial one"
    );
    let ids: Vec<_> = (0..6).map(|n| new.request(0, Some(n))).collect();
    let sent = |endpoint| ids.iter().filter(|id| new.endpoint_of(**id) == Some(endpoint)).count();
    assert_eq!(sent(congested), 0, "a congested endpoint must get no request before its PRAT");
    assert!(sent(restarted) <= 1, "a restarted endpoint must get no more than its slow start allows");
    assert!(sent(warm) > 0);
}

/// Guards against full traffic to an endpoint that an operator enabled while discovery listed it as draining: the endpoint
/// was not in the snapshot then, so a new process took it for a warm one. A third process may follow before discovery
/// lists the endpoint.
#[test]
fn an_endpoint_that_was_enabled_before_it_is_listed_is_in_slow_start_for_the_next_processes() {
    let mut old = idempotent_node(2);
    let endpoint = active_endpoint(1).endpoint;
    old.feed(Event::Disable(endpoint));
    old.apply_list(
        WatchUpdate::Delta,
        vec![EndpointUpdate { state: EndpointState::Draining, ..active_endpoint(1) }],
    );
    old.feed(Event::Enable(endpoint));
    let enabled_at_ms = old.now_ms;
    let succeed = |previous: &TestNode| {
        let mut next = TestNode::new(previous.settings.clone(), 2);
        next.now_ms = previous.now_ms + 50.0;
        next.apply_list(WatchUpdate::CachedSnapshot, vec![active_endpoint(2)]);
        next.feed(Event::SnapshotRestored(previous.balancer.snapshot(previous.now_ms)));
        next
    };
    let mut third = succeed(&succeed(&old));
    third.apply_list(WatchUpdate::Delta, vec![active_endpoint(1)]);
    let snapshot = third.balancer.snapshot(third.now_ms);
    let state = snapshot.iter().find(|state| state.endpoint == endpoint).expect("the endpoint is listed");
    assert_eq!(state.started_at_ms, Some(enabled_at_ms));
}

/// Guards against a restarted endpoint that gets nothing until the PRAT of its old process: a new process takes over the
/// list with the restart, and failures that an earlier snapshot has of the old process.
#[test]
fn a_restarted_endpoint_does_not_take_over_the_failures_of_its_old_process() {
    let mut old = idempotent_node(1);
    make_congested(&mut old);
    let snapshot = old.balancer.snapshot(old.now_ms);
    assert!(snapshot[0].prat_ms.is_some());
    let now_ms = old.now_ms;
    let restarted = vec![EndpointUpdate { started_at_ms: now_ms - 1.0, ..active_endpoint(1) }];
    // The new process has the restart in its first list, or hears of it after it has restored the snapshot.
    for cached_list in [restarted.clone(), Vec::new()] {
        let mut new = TestNode::new(old.settings.clone(), 2);
        new.now_ms = now_ms;
        new.apply_list(WatchUpdate::CachedSnapshot, cached_list);
        new.feed(Event::SnapshotRestored(snapshot.clone()));
        new.apply_list(WatchUpdate::Snapshot, restarted.clone());
        let state = new.balancer.snapshot(new.now_ms)[0];
        assert_eq!((state.prat_ms, state.started_at_ms), (None, Some(now_ms - 1.0)));
    }
    // A snapshot of the slow start that the list has is taken over: its age is unknown and counts as zero.
    let mut same_start = snapshot;
    same_start[0].started_at_ms = Some(now_ms);
    let mut new = TestNode::new(old.settings.clone(), 2);
    new.now_ms = now_ms;
    new.apply_list(WatchUpdate::CachedSnapshot, restarted);
    new.feed(Event::SnapshotRestored(same_start.clone()));
    assert_eq!(new.balancer.snapshot(new.now_ms)[0].prat_ms, same_start[0].prat_ms);
}

/// Guards against a damaged snapshot after which an endpoint gets no requests.
#[test]
fn unknown_endpoints_and_invalid_numbers_in_a_snapshot_do_no_harm() {
    let mut node = idempotent_node(1);
    let invalid_state = |endpoint, limit| EndpointSnapshot {
        endpoint,
        started_at_ms: Some(f64::NAN),
        prat_ms: None,
        concurrency_limit: limit,
        served_per_second: f64::NAN,
    };
    node.feed(Event::SnapshotRestored(vec![
        invalid_state(EndpointId(77), 1.0),
        invalid_state(active_endpoint(1).endpoint, f64::NAN),
        invalid_state(active_endpoint(1).endpoint, -1.0),
    ]));
    let id = node.request(0, Some(1));
    assert_eq!(node.endpoint_of(id), Some(active_endpoint(1).endpoint));
}

/// Sends rounds of eight requests at once, which are answered after 5 ms. Returns how many of them `endpoint` got.
fn serve_rounds(node: &mut TestNode, rounds: u64, endpoint: EndpointId) -> usize {
    let mut sent = 0;
    for round in 0..rounds {
        let ids: Vec<_> = (0..8).map(|index| node.request(0, Some(8 * round + index))).collect();
        sent += ids.iter().filter(|id| node.endpoint_of(**id) == Some(endpoint)).count();
        node.wait(5.0);
        ids.into_iter().for_each(|id| node.end_attempt(id, AttemptOutcome::Answered));
    }
    sent
}

/// Sends requests that are not answered, and returns how many were sent before the first one was rejected.
fn sent_before_rejection(node: &mut TestNode) -> usize {
    (0..1000)
        .take_while(|n| {
            let id = node.request(0, Some(*n));
            node.endpoint_of(id).is_some()
        })
        .count()
}

/// Guards against two processes of one node that each use the full slow-start budget and the full limits during a
/// handover, so that the node sends twice as much as it may.
#[test]
fn a_new_process_starts_with_low_limits_and_shares_the_slow_start_budget() {
    let restarted = active_endpoint(1).endpoint;
    // A node whose limits have grown far above the initial one, and an endpoint that has just restarted.
    let single_process = || {
        let mut node =
            TestNode::with_endpoints(Settings { node_count: 2, ..idempotent_node(1).settings }, 1, 4);
        serve_rounds(&mut node, 200, restarted);
        node.apply_list(
            WatchUpdate::Delta,
            vec![EndpointUpdate { started_at_ms: node.now_ms, ..active_endpoint(1) }],
        );
        node
    };
    let two_processes = || {
        let mut old = single_process();
        let mut new = TestNode::new(old.settings.clone(), 2);
        new.now_ms = old.now_ms;
        new.apply_list(WatchUpdate::CachedSnapshot, old.known_endpoints.values().copied().collect());
        new.feed(Event::SnapshotRestored(old.balancer.snapshot(old.now_ms)));
        old.feed(Event::HandoverStarted);
        new.feed(Event::HandoverStarted);
        [old, new]
    };
    let (single_sent, single_in_flight) =
        (serve_rounds(&mut single_process(), 40, restarted), sent_before_rejection(&mut single_process()));
    let sent = two_processes().map(|mut node| serve_rounds(&mut node, 40, restarted));
    let in_flight = two_processes().map(|mut node| sent_before_rejection(&mut node));
    let figures = format!(
        "requests sent to the restarted endpoint, and in flight: {single_sent} and {single_in_flight} with one \
         process, {sent:?} and {in_flight:?} with two"
    );
    assert!(single_sent > 6 && single_in_flight > 12, "{figures}");
    // If each process used the full budget, the sum would be twice the number of a single process.
    assert!((single_sent / 2..=single_sent * 3 / 2).contains(&sent.iter().sum()), "{figures}");
    // The old process keeps its limits for the clients that it still has. The new one has the initial limit of four
    // requests at each of the three warm endpoints.
    assert_eq!(in_flight, [single_in_flight, 12], "{figures}");
}
