//! Tests which requests may be the trial of a congested endpoint, and what such trials cost.

use crate::common::{TestNode, active_endpoint, class, settings};
use crate::support::make_congested;
use wheelpath::policy::{
    AttemptOutcome, DeduplicationScope, EndpointId, EndpointSnapshot, Event, Idempotency, Settings,
};

/// The time between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: f64 = 20.0;
/// The time after which a live endpoint answers, in milliseconds.
const ANSWER_MS: f64 = 10.0;
/// A node must not reject all its requests for this time without an attempt, in milliseconds.
const MAX_TIME_WITHOUT_ATTEMPT_MS: f64 = 4000.0;

/// Index of the class that may not be repeated in the settings of [`mixed_node`].
const UNSAFE_CLASS: usize = 1;

/// Returns a node whose only class is of this idempotency.
fn node_with_one_class(idempotency: Idempotency, endpoints: u64) -> TestNode {
    let classes = vec![class(400.0, 1000.0, idempotency)];
    TestNode::with_endpoints(Settings { classes, ..settings() }, 1, endpoints)
}

/// Returns a node with an idempotent class, 0, and one that may not be repeated, [`UNSAFE_CLASS`].
fn mixed_node(endpoints: u64) -> TestNode {
    let classes = vec![
        class(400.0, 1000.0, Idempotency::Idempotent),
        class(400.0, 1000.0, Idempotency::NotIdempotent),
    ];
    TestNode::with_endpoints(Settings { classes, ..settings() }, 1, endpoints)
}

/// What became of the requests of a phase of a test.
#[derive(Debug, Default)]
struct Sent {
    /// Attempts at the endpoints that hang.
    at_hanging: usize,
    /// Attempts at the other endpoints.
    at_live: usize,
    /// The longest time without an attempt, in milliseconds.
    longest_gap_ms: f64,
}

/// Sends requests of one class for `duration_ms`, while the endpoints in `hanging` answer none. The clients wait for
/// `patience_ms`.
fn send(
    node: &mut TestNode,
    class: usize,
    duration_ms: f64,
    hanging: &[EndpointId],
    patience_ms: f64,
) -> Sent {
    let mut sent = Sent::default();
    let (end_ms, mut last_attempt_ms) = (node.now_ms + duration_ms, node.now_ms);
    let mut waiting = Vec::new();
    let mut key = 0;
    while node.now_ms < end_ms {
        key += 1;
        let id = node.request(class, Some(key % 97));
        if let Some(endpoint) = node.endpoint_of(id) {
            last_attempt_ms = node.now_ms;
            if hanging.contains(&endpoint) {
                sent.at_hanging += 1;
                waiting.push((id, node.now_ms + patience_ms));
            } else {
                sent.at_live += 1;
                node.wait(ANSWER_MS);
                node.end_attempt(id, AttemptOutcome::Answered);
            }
        }
        node.wait(REQUEST_INTERVAL_MS);
        sent.longest_gap_ms = sent.longest_gap_ms.max(node.now_ms - last_attempt_ms);
        let now_ms = node.now_ms;
        let gone: Vec<_> = waiting.extract_if(.., |(_, leaves_at_ms)| *leaves_at_ms <= now_ms).collect();
        for (id, _) in gone {
            node.disconnect_client(id);
            node.end_attempt(id, AttemptOutcome::Cancelled);
        }
    }
    sent
}

/// The patience of clients that do not leave early, in milliseconds.
const PATIENT_MS: f64 = f64::INFINITY;

/// Guards against a node that rejects everything for good: each endpoint had hung once, no request that may be repeated
/// came, and no other was a trial.
#[test]
fn endpoints_that_hung_one_after_another_are_used_again_whatever_the_class() {
    for idempotency in [
        Idempotency::NotIdempotent,
        Idempotency::Idempotent,
        Idempotency::WithKey(DeduplicationScope::All),
        Idempotency::WithKey(DeduplicationScope::Zone),
        Idempotency::WithKey(DeduplicationScope::Cell),
    ] {
        let mut node = node_with_one_class(idempotency, 2);
        let endpoints = [active_endpoint(1).endpoint, active_endpoint(2).endpoint];
        send(&mut node, 0, 2000.0, &[], PATIENT_MS);
        for hanging in endpoints {
            send(&mut node, 0, 4000.0, &[hanging], PATIENT_MS);
            send(&mut node, 0, 4000.0, &[], PATIENT_MS);
        }
        let sent = send(&mut node, 0, 20_000.0, &[], PATIENT_MS);
        assert!(sent.longest_gap_ms < MAX_TIME_WITHOUT_ATTEMPT_MS, "{idempotency:?}: {sent:?}");
        let live = node.log_lines.iter().filter(|line| line.starts_with("live")).count();
        assert!(live >= 2, "{idempotency:?}: {:?}", node.log_lines);
    }
}

/// Guards against the same where the PRATs come from the previous process.
#[test]
fn endpoints_that_were_congested_for_the_previous_process_are_used_again() {
    let mut node = node_with_one_class(Idempotency::NotIdempotent, 2);
    let snapshot_of = |number| EndpointSnapshot {
        endpoint: active_endpoint(number).endpoint,
        started_at_ms: None,
        prat_ms: Some(1000.0),
        concurrency_limit: 2.0,
        served_per_second: 0.0,
    };
    node.feed(Event::SnapshotRestored(vec![snapshot_of(1), snapshot_of(2)]));
    let sent = send(&mut node, 0, 10_000.0, &[], PATIENT_MS);
    assert!(sent.longest_gap_ms < MAX_TIME_WITHOUT_ATTEMPT_MS && sent.at_live > 200, "{sent:?}");
}

/// Guards against a node that rejects everything because the requests that may be repeated have just ended.
#[test]
fn once_no_request_that_may_be_repeated_comes_others_are_trials() {
    let mut node = mixed_node(1);
    make_congested(&mut node);
    let sent = send(&mut node, UNSAFE_CLASS, 10_000.0, &[], PATIENT_MS);
    assert!(sent.longest_gap_ms < MAX_TIME_WITHOUT_ATTEMPT_MS && sent.at_live > 100, "{sent:?}");
}

/// Guards against an endpoint that stays congested because the few requests that may be repeated are placed at others.
#[test]
fn an_endpoint_that_no_request_that_may_be_repeated_is_placed_at_becomes_live_again() {
    const ENDPOINTS: u64 = 20;
    const TIME_TO_RECOVER_MS: f64 = 30_000.0;
    let mut node = mixed_node(ENDPOINTS);
    let hanging = [active_endpoint(1).endpoint];
    send(&mut node, UNSAFE_CLASS, 20_000.0, &hanging, PATIENT_MS);
    let count =
        |node: &TestNode, word: &str| node.log_lines.iter().filter(|line| line.starts_with(word)).count();
    assert_eq!((count(&node, "congested"), count(&node, "live")), (1, 0), "{:?}", node.log_lines);
    let hang_ended_at_ms = node.now_ms;
    while count(&node, "live") == 0 {
        let waited_ms = node.now_ms - hang_ended_at_ms;
        assert!(waited_ms < TIME_TO_RECOVER_MS, "still congested after {waited_ms} ms");
        // Requests that may be repeated come every 2 s.
        let id = node.request(0, Some(7));
        node.wait(ANSWER_MS);
        node.end_attempt(id, AttemptOutcome::Answered);
        send(&mut node, UNSAFE_CLASS, 2000.0, &[], PATIENT_MS);
    }
}

/// Guards the neighbour: an endpoint that hangs gets few requests that may not be repeated, with and without another
/// endpoint, and also if their clients leave early.
#[test]
fn a_hanging_endpoint_gets_few_requests_that_may_not_be_repeated() {
    for (endpoints, patience_ms) in [(1, PATIENT_MS), (2, PATIENT_MS), (1, 100.0), (2, 100.0)] {
        let mut node = node_with_one_class(Idempotency::NotIdempotent, endpoints);
        let hanging = [active_endpoint(1).endpoint];
        send(&mut node, 0, 2000.0, &[], PATIENT_MS);
        // The endpoint becomes congested.
        send(&mut node, 0, 2000.0, &hanging, PATIENT_MS);
        let sent = send(&mut node, 0, 60_000.0, &hanging, patience_ms);
        // PRAT doubles up to a quarter of the slow start, which is 5 s. Clients that leave early tell nothing about the
        // endpoint, so the pause stays at about the longest objective, 0.4 s.
        let max_trials = if patience_ms == PATIENT_MS { 20 } else { 200 };
        assert!((1..=max_trials).contains(&sent.at_hanging), "{endpoints}, {patience_ms}: {sent:?}");
        let all = sent.at_hanging + sent.at_live;
        let max_share = if endpoints == 1 { 1.0 } else { 0.03 };
        assert!(sent.at_hanging as f64 <= max_share * all as f64, "{endpoints}, {patience_ms}: {sent:?}");
    }
}

/// Guards the other neighbour: while requests that may be repeated come, no other is a trial.
#[test]
fn while_requests_that_may_be_repeated_come_no_other_is_a_trial() {
    let mut node = mixed_node(2);
    let hanging = active_endpoint(1).endpoint;
    let mut unsafe_trials = 0;
    for n in 0..3000 {
        let class = if n % 10 == 0 { 0 } else { UNSAFE_CLASS };
        let was_congested = node.log_lines.iter().any(|line| line.starts_with("congested"));
        let id = node.request(class, Some(n % 97));
        let endpoint = node.endpoint_of(id);
        unsafe_trials += usize::from(class == UNSAFE_CLASS && was_congested && endpoint == Some(hanging));
        node.wait(ANSWER_MS);
        if endpoint.is_some_and(|endpoint| endpoint != hanging) {
            node.end_attempt(id, AttemptOutcome::Answered);
        }
        node.wait(ANSWER_MS);
    }
    assert_eq!(unsafe_trials, 0);
}
