//! How many requests an endpoint is sent at once.

use crate::common::{Answer, TestNode, active_endpoint, class, settings};
use crate::support::idempotent_node;
use std::collections::{BTreeSet, VecDeque};
use wheelpath::policy::{AttemptOutcome, Idempotency, Settings};

#[test]
fn requests_over_the_limit_go_elsewhere_and_are_then_rejected() {
    let mut node = idempotent_node(3);
    let ids: Vec<_> = (0..60).map(|_| node.request(0, Some(7))).collect();
    let used: BTreeSet<_> = ids.iter().filter_map(|i| node.endpoint_of(*i)).collect();
    assert_eq!(used.len(), 3, "the third takes what the candidates cannot");
    assert_eq!(node.answer(ids[59]), Some(Answer::Rejected), "limits alone block");
    for id in ids {
        node.wait(1.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    let id = node.request(0, Some(7));
    assert!(node.endpoint_of(id).is_some(), "the limit recovers");
}

#[test]
fn an_endpoint_that_rejects_one_class_keeps_serving_the_others() {
    // Found on sockets: half of the fleet rejected one class after a while, however few requests were in flight;
    // limits fell to a quarter, and the other class was rejected.
    let mut node =
        TestNode::with_endpoints(Settings { node_count: 2, ..idempotent_node(1).settings }, 1, 4);
    node.warm_up(100, 0, 20.0);
    let mut rejected = 0;
    for n in 0..600 {
        let other = node.request(0, Some(n));
        node.wait(2.0);
        let id = node.request(1, Some(n));
        node.wait(20.0);
        while node.endpoint_of(other).is_some() {
            node.end_attempt(other, AttemptOutcome::Rejected);
        }
        if node.endpoint_of(id).is_some() {
            node.end_attempt(id, AttemptOutcome::Answered);
        }
        rejected += usize::from(node.answer(id) == Some(Answer::Rejected));
    }
    assert!(rejected < 60, "{rejected} of 600 of the class that is served are rejected");
}

#[test]
fn a_limit_falls_soon_with_little_in_flight() {
    // A third of the traffic belongs to three endpoints that are always late; nearly all of it must go elsewhere.
    let mut node = idempotent_node(10);
    node.warm_up(100, 0, 20.0);
    let late: Vec<_> = (1..=3).map(|n| active_endpoint(n).endpoint).collect();
    let mut sent = 0;
    for n in 0..300 {
        let id = node.request(0, Some(n));
        let is_late = node.endpoint_of(id).is_some_and(|b| late.contains(&b));
        sent += usize::from(is_late && n >= 100);
        node.wait(if is_late { 390.0 } else { 40.0 });
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    assert!(sent <= 20, "{sent} of 200 sent to endpoints that are always late");
}

#[test]
fn many_nodes_start_with_their_share_of_an_endpoint() {
    // Found at full size: with 98 nodes, two in flight from each flooded an endpoint before any had learned.
    let first = |node_count| {
        let s = Settings {
            node_count,
            classes: vec![class(400.0, 1000.0, Idempotency::Idempotent)],
            ..settings()
        };
        let mut node = TestNode::with_endpoints(s, 1, 1);
        let id = node.request(0, Some(1));
        node.wait(300.0);
        node.end_attempt(id, AttemptOutcome::Rejected);
        let ids: Vec<_> = (0..8).map(|_| node.request(0, Some(1))).collect();
        ids.into_iter().filter(|id| node.endpoint_of(*id).is_some()).count()
    };
    assert!(first(100) <= 1, "{} in flight from one of 100 nodes", first(100));
    assert!(first(1) >= 5, "{} in flight from a single node", first(1));
}

#[test]
fn resets_and_malformed_responses_do_not_lower_limits_or_admission() {
    // Found on sockets: a few connections that broke and answers that could not be read, at any endpoint alike,
    // cut limits and admission until half of all requests were rejected.
    let mut node = idempotent_node(4);
    node.warm_up(100, 0, 20.0);
    let mut rejected = 0;
    let mut in_flight = VecDeque::new();
    for n in 0..2000 {
        in_flight.push_back(node.request(0, Some(n % 40)));
        node.wait(5.0);
        if in_flight.len() < 12 {
            continue;
        }
        let Some(id) = in_flight.pop_front() else { continue };
        let broken_outcome =
            if n % 2 == 0 { AttemptOutcome::ConnectionReset } else { AttemptOutcome::ErrorResponse };
        let mut first = true;
        while node.endpoint_of(id).is_some() {
            node.end_attempt(
                id,
                if first && n % 5 == 0 { broken_outcome } else { AttemptOutcome::Answered },
            );
            first = false;
        }
        rejected += usize::from(node.answer(id) == Some(Answer::Rejected));
    }
    assert!(rejected < 600, "{rejected} of 2000 rejected");
}
