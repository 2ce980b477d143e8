//! What one process takes over from the one before it.

use crate::common::{TestNode, active_endpoint};
use crate::support::idempotent_node;
use wheelpath::policy::{
    AttemptOutcome, EndpointId, EndpointSnapshot, EndpointState, EndpointUpdate, Event, Settings,
    WatchUpdate,
};

#[test]
fn a_process_takes_over_slow_starts_congestion_and_limits() {
    let mut old = idempotent_node(3);
    old.warm_up(300, 0, 10.0);
    let [cold, dead, fine] =
        [active_endpoint(1), active_endpoint(2), active_endpoint(3)].map(|e| e.endpoint);
    old.feed(Event::Disable(cold));
    old.feed(Event::Enable(cold));
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
    let mut memory = old.balancer.snapshot(old.now_ms);
    let of = |b: EndpointId| memory.iter().find(|m| m.endpoint == b).expect("in the snapshot");
    assert!(of(cold).started_at_ms.is_some() && of(fine).started_at_ms.is_none());
    assert!(of(dead).prat_ms.is_some() && of(fine).prat_ms.is_none());
    let mut new = TestNode::new(old.settings.clone(), 2);
    new.now_ms = old.now_ms;
    new.apply_list(
        WatchUpdate::CachedSnapshot,
        vec![active_endpoint(1), active_endpoint(2), active_endpoint(3)],
    );
    // One small limit, one large one: the old process may still fill that.
    (memory[0].concurrency_limit, memory[1].concurrency_limit) = (0.5, 9.0);
    new.feed(Event::SnapshotRestored(memory.clone()));
    memory[1].concurrency_limit = 2.0;
    assert_eq!(
        new.balancer.snapshot(new.now_ms),
        memory,
        "as the old process knew it, up to the first limit"
    );
    let ids: Vec<_> = (0..6).map(|n| new.request(0, Some(n))).collect();
    let sent = |b| ids.iter().filter(|id| new.endpoint_of(**id) == Some(b)).count();
    assert_eq!(sent(dead), 0, "nothing before its PRAT");
    assert!(sent(cold) <= 1, "no more than the slow start allows");
    assert!(sent(fine) > 0);
}

#[test]
fn unknown_endpoints_and_odd_figures_in_a_snapshot_do_no_harm() {
    let mut node = idempotent_node(1);
    let odd = |endpoint, limit| EndpointSnapshot {
        endpoint,
        started_at_ms: Some(f64::NAN),
        prat_ms: None,
        concurrency_limit: limit,
        served_per_second: f64::NAN,
    };
    node.feed(Event::SnapshotRestored(vec![
        odd(EndpointId(77), 1.0),
        odd(active_endpoint(1).endpoint, f64::NAN),
        odd(active_endpoint(1).endpoint, -1.0),
    ]));
    let id = node.request(0, Some(1));
    assert_eq!(node.endpoint_of(id), Some(active_endpoint(1).endpoint));
}

/// Rounds of eight requests at once, each answered after 5 ms: how many of them one endpoint got.
fn play_rounds(node: &mut TestNode, rounds: u64, at: EndpointId) -> usize {
    let mut got = 0;
    for n in 0..rounds {
        let ids: Vec<_> = (0..8).map(|k| node.request(0, Some(8 * n + k))).collect();
        got += ids.iter().filter(|id| node.endpoint_of(**id) == Some(at)).count();
        node.wait(5.0);
        ids.into_iter().for_each(|id| node.end_attempt(id, AttemptOutcome::Answered));
    }
    got
}

/// How many requests are in flight before one is rejected.
fn sent_before_rejection(node: &mut TestNode) -> usize {
    (0..1000)
        .take_while(|n| {
            let id = node.request(0, Some(*n));
            node.endpoint_of(id).is_some()
        })
        .count()
}

#[test]
fn a_new_process_starts_small_and_shares_the_slow_start_budget() {
    let cold = active_endpoint(1).endpoint;
    // Limits that have grown well past the first, and an endpoint that has just been restarted.
    let grown = || {
        let mut node =
            TestNode::with_endpoints(Settings { node_count: 2, ..idempotent_node(1).settings }, 1, 4);
        play_rounds(&mut node, 200, cold);
        node.apply_list(
            WatchUpdate::Delta,
            vec![EndpointUpdate { started_at_ms: node.now_ms, ..active_endpoint(1) }],
        );
        node
    };
    let split = || {
        let mut old = grown();
        let mut new = TestNode::new(old.settings.clone(), 2);
        new.now_ms = old.now_ms;
        new.apply_list(WatchUpdate::CachedSnapshot, old.known_endpoints.values().copied().collect());
        new.feed(Event::SnapshotRestored(old.balancer.snapshot(old.now_ms)));
        old.feed(Event::HandoverStarted);
        new.feed(Event::HandoverStarted);
        [old, new]
    };
    let one = (play_rounds(&mut grown(), 40, cold), sent_before_rejection(&mut grown()));
    let restarted = split().map(|mut node| play_rounds(&mut node, 40, cold));
    let in_flight = split().map(|mut node| sent_before_rejection(&mut node));
    let figures = format!(
        "to the restarted one and in flight: one process {one:?}, two {restarted:?} and {in_flight:?}"
    );
    assert!(one.0 > 6 && one.1 > 12, "{figures}");
    // Where each had what one had, that would be twice as much.
    assert!((one.0 / 2..=one.0 * 3 / 2).contains(&restarted.iter().sum()), "{figures}");
    // The old process still has its clients; the new one has no more than the initial limit of four at three.
    assert_eq!(in_flight, [one.1, 12], "{figures}");
}
