//! Tests how many requests a node has in flight at an endpoint at once.

use crate::common::{Answer, TestNode, active_endpoint, class, settings};
use crate::support::idempotent_node;
use std::collections::{BTreeSet, VecDeque};
use wheelpath::policy::{AttemptOutcome, Idempotency, Settings};

/// Guards against requests that are rejected while an endpoint has room, and against limits that stay low after a
/// flood of requests.
#[test]
fn requests_over_the_limit_go_elsewhere_and_are_then_rejected() {
    let mut node = idempotent_node(3);
    let ids: Vec<_> = (0..60).map(|_| node.request(0, Some(7))).collect();
    let used_endpoints: BTreeSet<_> = ids.iter().filter_map(|id| node.endpoint_of(*id)).collect();
    assert_eq!(
        used_endpoints.len(),
        3,
        "the third endpoint gets the requests that are over the limits of the two candidates"
    );
    assert_eq!(node.answer(ids[59]), Some(Answer::Rejected), "all endpoints are at their limits");
    for id in ids {
        node.wait(1.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    let id = node.request(0, Some(7));
    assert!(node.endpoint_of(id).is_some(), "the endpoints have room again");
}

/// Guards against rejections of one class that lower the limit for all classes. Half of a fleet of real endpoints came
/// to reject one class, however few requests were in flight; the limits fell to a quarter, and requests of the other
/// class were rejected too.
#[test]
fn an_endpoint_that_rejects_one_class_keeps_serving_the_others() {
    let mut node =
        TestNode::with_endpoints(Settings { node_count: 2, ..idempotent_node(1).settings }, 1, 4);
    node.warm_up(100, 0, 20.0);
    let mut rejected = 0;
    for n in 0..600 {
        let rejected_class_id = node.request(0, Some(n));
        node.wait(2.0);
        let served_class_id = node.request(1, Some(n));
        node.wait(20.0);
        while node.endpoint_of(rejected_class_id).is_some() {
            node.end_attempt(rejected_class_id, AttemptOutcome::Rejected);
        }
        if node.endpoint_of(served_class_id).is_some() {
            node.end_attempt(served_class_id, AttemptOutcome::Answered);
        }
        rejected += usize::from(node.answer(served_class_id) == Some(Answer::Rejected));
    }
    assert!(rejected < 60, "{rejected} of 600 requests of the class that endpoints serve were rejected");
}

/// Guards against late endpoints that keep their traffic for long because few requests are in flight. Three of ten
/// endpoints always answer late, and nearly all requests for their keys must go elsewhere.
#[test]
fn a_limit_falls_soon_with_little_in_flight() {
    let mut node = idempotent_node(10);
    node.warm_up(100, 0, 20.0);
    let late_endpoints: Vec<_> = (1..=3).map(|number| active_endpoint(number).endpoint).collect();
    let mut sent = 0;
    for n in 0..300 {
        let id = node.request(0, Some(n));
        let is_late = node.endpoint_of(id).is_some_and(|endpoint| late_endpoints.contains(&endpoint));
        sent += usize::from(is_late && n >= 100);
        node.wait(if is_late { 390.0 } else { 40.0 });
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    assert!(sent <= 20, "{sent} of 200 sent to endpoints that are always late");
}

/// Guards against initial limits whose sum over all nodes overloads an endpoint. In a simulation of full size with 98
/// nodes, two requests in flight from each node flooded an endpoint before any node had learned its limit.
#[test]
fn many_nodes_start_with_their_share_of_an_endpoint() {
    let sent_at_once = |node_count| {
        let settings = Settings {
            node_count,
            classes: vec![class(400.0, 1000.0, Idempotency::Idempotent)],
            ..settings()
        };
        let mut node = TestNode::with_endpoints(settings, 1, 1);
        let id = node.request(0, Some(1));
        node.wait(300.0);
        node.end_attempt(id, AttemptOutcome::Rejected);
        let ids: Vec<_> = (0..8).map(|_| node.request(0, Some(1))).collect();
        ids.into_iter().filter(|id| node.endpoint_of(*id).is_some()).count()
    };
    assert!(sent_at_once(100) <= 1, "{} in flight from one of 100 nodes", sent_at_once(100));
    assert!(sent_at_once(1) >= 5, "{} in flight from a single node", sent_at_once(1));
}

/// Guards against faults that count as overload. With real connections, a few resets and malformed responses at all
/// endpoints alike cut the limits and the admission level until half of all requests were rejected.
#[test]
fn resets_and_malformed_responses_do_not_lower_limits_or_admission() {
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
        let fault_outcome =
            if n % 2 == 0 { AttemptOutcome::ConnectionReset } else { AttemptOutcome::ErrorResponse };
        let mut is_first_attempt = true;
        while node.endpoint_of(id).is_some() {
            node.end_attempt(
                id,
                if is_first_attempt && n % 5 == 0 { fault_outcome } else { AttemptOutcome::Answered },
            );
            is_first_attempt = false;
        }
        rejected += usize::from(node.answer(id) == Some(Answer::Rejected));
    }
    assert!(rejected < 600, "{rejected} of 2000 rejected");
}
