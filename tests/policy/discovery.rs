//! How discovery is polled, and what its lists change.

use crate::common::{Answer, TestNode, active_endpoint, settings};
use crate::support::idempotent_node;
use wheelpath::policy::{DiscoveryMode, Event, Settings, WatchUpdate};

#[test]
fn an_empty_list_rejects_and_a_cached_one_serves() {
    let mut node = idempotent_node(5);
    node.warm_up(20, 0, 20.0);
    node.apply_list(WatchUpdate::Snapshot, vec![]);
    let id = node.request(0, Some(1));
    assert_eq!(node.answer(id), Some(Answer::Rejected));
    node.apply_list(WatchUpdate::CachedSnapshot, vec![active_endpoint(1), active_endpoint(2)]);
    let id = node.request(0, Some(1));
    assert!(node.endpoint_of(id).is_some());
}

#[test]
fn a_failed_poll_is_repeated_soon_with_backoff() {
    let mut node = TestNode::new(Settings { discovery: DiscoveryMode::Poll, ..settings() }, 1);
    node.apply_list(WatchUpdate::CachedSnapshot, vec![]);
    node.wait(1.0);
    assert_eq!(node.poll_times_ms.len(), 1, "without a list it polls at the start");
    let mut gaps = Vec::new();
    for _ in 0..8 {
        let (polls, from) = (node.poll_times_ms.len(), node.now_ms);
        node.feed(Event::EndpointsChanged { update: WatchUpdate::Failure, endpoints: vec![] });
        while node.poll_times_ms.len() == polls {
            node.wait(50.0);
            assert!(
                node.now_ms - from <= node.settings.max_poll_interval_ms,
                "the change counts as known before the poll"
            );
        }
        gaps.push(node.now_ms - from);
    }
    assert!(gaps[7] > gaps[0], "backs off: {gaps:?}");
}

#[test]
fn however_often_polls_fail_the_next_one_is_in_time() {
    for (node_count, max_poll_interval_ms) in
        [(1, 10_000.0), (30, 10_000.0), (350, 60_000.0), (350, 1_000.0)]
    {
        let s = Settings { discovery: DiscoveryMode::Poll, node_count, max_poll_interval_ms, ..settings() };
        let mut node = TestNode::new(s, 1);
        node.apply_list(WatchUpdate::CachedSnapshot, vec![active_endpoint(1)]);
        node.wait(max_poll_interval_ms / 2.0);
        for n in 0..40 {
            let (polls, from) = (node.poll_times_ms.len(), node.now_ms);
            node.feed(Event::EndpointsChanged { update: WatchUpdate::Failure, endpoints: vec![] });
            node.wait(10_000.0);
            // A change counts as known after 6 s: time for two pauses and two calls of 2 s, one of which fails.
            let pause = node.poll_times_ms[polls] - from;
            assert!(
                pause <= 900.0 && pause <= max_poll_interval_ms / 2.0,
                "{node_count} nodes, {n}: {pause} ms"
            );
            assert!(
                pause >= 20.0,
                "{node_count} nodes, {n}: {pause} ms are too short a pause for discovery"
            );
            assert_eq!(node.poll_times_ms.len(), polls + 1);
        }
    }
}

/// The most calls to discovery in any tenth of a second, by times of calls.
fn most_polls_within_100_ms(mut calls: Vec<f64>) -> usize {
    calls.sort_by(f64::total_cmp);
    calls.iter().map(|a| calls.iter().filter(|b| (*a..*a + 100.0).contains(b)).count()).max().unwrap_or(0)
}

#[test]
fn a_hundred_nodes_that_start_at_once_spread_their_polls() {
    let s = Settings { discovery: DiscoveryMode::Poll, node_count: 100, ..settings() };
    let mut nodes: Vec<TestNode> = (0..100).map(|seed| TestNode::new(s.clone(), seed)).collect();
    for node in &mut nodes {
        node.apply_list(WatchUpdate::CachedSnapshot, vec![active_endpoint(1)]);
        node.wait(s.max_poll_interval_ms / 2.0);
        assert_eq!(node.poll_times_ms.len(), 1, "each polls once, in time");
        // All of these calls fail at one moment, and the next ones too.
        node.feed(Event::EndpointsChanged { update: WatchUpdate::Failure, endpoints: vec![] });
        node.wait(s.max_poll_interval_ms / 2.0);
        assert_eq!(node.poll_times_ms.len(), 2);
    }
    let calls = |n: usize| nodes.iter().map(|node| node.poll_times_ms[n]).collect();
    assert!(
        most_polls_within_100_ms(calls(0)) <= 10,
        "{} calls within 100 ms of the start",
        most_polls_within_100_ms(calls(0))
    );
    assert!(
        most_polls_within_100_ms(calls(1)) <= 20,
        "{} calls within 100 ms after a failure",
        most_polls_within_100_ms(calls(1))
    );
}

#[test]
fn a_new_node_polls_soon_however_many_nodes_there_are() {
    // What changed while it was down may count as known a moment after its start.
    for (node_count, max_poll_interval_ms) in
        [(1, 10_000.0), (30, 10_000.0), (350, 10_000.0), (350, 60_000.0)]
    {
        let s = Settings { discovery: DiscoveryMode::Poll, node_count, max_poll_interval_ms, ..settings() };
        for seed in 0..100 {
            let mut node = TestNode::new(s.clone(), seed);
            node.apply_list(WatchUpdate::CachedSnapshot, vec![active_endpoint(1)]);
            node.wait(2500.0);
            assert_eq!(
                node.poll_times_ms.len(),
                1,
                "{node_count} nodes, seed {seed}: no poll within 2.5 s"
            );
        }
    }
}
