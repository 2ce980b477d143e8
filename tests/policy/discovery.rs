//! Tests when discovery is polled, and how requests are treated with an empty and with a cached list.

use crate::common::{Answer, TestNode, active_endpoint, settings};
use crate::support::idempotent_node;
use wheelpath::policy::{DiscoveryMode, Event, Settings, WatchUpdate};

/// Guards against requests that wait or panic without endpoints, and against a cached list that is not used.
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

/// Guards against a failed poll that is repeated only after the usual interval, or again and again without a growing
/// pause.
#[test]
fn a_failed_poll_is_repeated_soon_with_backoff() {
    let mut node = TestNode::new(Settings { discovery: DiscoveryMode::Poll, ..settings() }, 1);
    node.apply_list(WatchUpdate::CachedSnapshot, vec![]);
    node.wait(1.0);
    assert_eq!(node.poll_times_ms.len(), 1, "a node without a list must poll at its start");
    let mut pauses_ms = Vec::new();
    for _ in 0..8 {
        let (polls, failed_at_ms) = (node.poll_times_ms.len(), node.now_ms);
        node.feed(Event::EndpointsChanged { update: WatchUpdate::Failure, endpoints: vec![] });
        while node.poll_times_ms.len() == polls {
            node.wait(50.0);
            assert!(
                node.now_ms - failed_at_ms <= node.settings.max_poll_interval_ms,
                "the poll is later than max_poll_interval_ms, after which a node must know a change"
            );
        }
        pauses_ms.push(node.now_ms - failed_at_ms);
    }
    assert!(pauses_ms[7] > pauses_ms[0], "the pauses do not grow: {pauses_ms:?}");
}

/// Guards against a backoff that grows so far that a node learns of a change too late, or, with many nodes, so small
/// that they overload the discovery service.
#[test]
fn however_often_polls_fail_the_next_one_is_in_time() {
    for (node_count, max_poll_interval_ms) in
        [(1, 10_000.0), (30, 10_000.0), (350, 60_000.0), (350, 1_000.0)]
    {
        let settings =
            Settings { discovery: DiscoveryMode::Poll, node_count, max_poll_interval_ms, ..settings() };
        let mut node = TestNode::new(settings, 1);
        node.apply_list(WatchUpdate::CachedSnapshot, vec![active_endpoint(1)]);
        node.wait(max_poll_interval_ms / 2.0);
        for n in 0..40 {
            let (polls, failed_at_ms) = (node.poll_times_ms.len(), node.now_ms);
            node.feed(Event::EndpointsChanged { update: WatchUpdate::Failure, endpoints: vec![] });
            node.wait(10_000.0);
            // A node must know a change within 6 s: two pauses and two calls of 2 s, one of which fails, fit in.
            let pause_ms = node.poll_times_ms[polls] - failed_at_ms;
            assert!(
                pause_ms <= 900.0 && pause_ms <= max_poll_interval_ms / 2.0,
                "{node_count} nodes, failure {n}: a pause of {pause_ms} ms"
            );
            assert!(
                pause_ms >= 20.0,
                "{node_count} nodes, failure {n}: a pause of {pause_ms} ms is too short for the discovery service"
            );
            assert_eq!(node.poll_times_ms.len(), polls + 1);
        }
    }
}

/// Returns the largest number of polls within 100 ms.
fn max_polls_within_100_ms(mut poll_times_ms: Vec<f64>) -> usize {
    poll_times_ms.sort_by(f64::total_cmp);
    let count_from = |from_ms: &f64| {
        poll_times_ms.iter().filter(|time_ms| (*from_ms..*from_ms + 100.0).contains(time_ms)).count()
    };
    poll_times_ms.iter().map(count_from).max().unwrap_or(0)
}

/// Guards against a discovery service that is overloaded because all nodes poll it at the same time, after a common
/// start or after calls that all failed together.
#[test]
fn a_hundred_nodes_that_start_at_once_spread_their_polls() {
    let settings = Settings { discovery: DiscoveryMode::Poll, node_count: 100, ..settings() };
    let mut nodes: Vec<TestNode> = (0..100).map(|seed| TestNode::new(settings.clone(), seed)).collect();
    for node in &mut nodes {
        node.apply_list(WatchUpdate::CachedSnapshot, vec![active_endpoint(1)]);
        node.wait(settings.max_poll_interval_ms / 2.0);
        assert_eq!(
            node.poll_times_ms.len(),
            1,
            "each node must poll once within half of max_poll_interval_ms"
        );
        // The polls of all nodes fail at the same time.
        node.feed(Event::EndpointsChanged { update: WatchUpdate::Failure, endpoints: vec![] });
        node.wait(settings.max_poll_interval_ms / 2.0);
        assert_eq!(node.poll_times_ms.len(), 2);
    }
    let polls = |index: usize| nodes.iter().map(|node| node.poll_times_ms[index]).collect();
    assert!(
        max_polls_within_100_ms(polls(0)) <= 10,
        "{} first polls within 100 ms",
        max_polls_within_100_ms(polls(0))
    );
    assert!(
        max_polls_within_100_ms(polls(1)) <= 20,
        "{} polls after the failure within 100 ms",
        max_polls_within_100_ms(polls(1))
    );
}

/// Guards against a node that uses its cached list for long after a restart. The list may have changed while the node
/// was down, and the node is expected to know the change soon after its start.
#[test]
fn a_new_node_polls_soon_however_many_nodes_there_are() {
    for (node_count, max_poll_interval_ms) in
        [(1, 10_000.0), (30, 10_000.0), (350, 10_000.0), (350, 60_000.0)]
    {
        let settings =
            Settings { discovery: DiscoveryMode::Poll, node_count, max_poll_interval_ms, ..settings() };
        for seed in 0..100 {
            let mut node = TestNode::new(settings.clone(), seed);
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
