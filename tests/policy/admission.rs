//! Tests which requests are admitted when the endpoints are overloaded or lose requests.

use crate::common::{Answer, TestNode, class, settings};
use crate::support::{idempotent_node, one_of_many_nodes, rejected_share};
use std::collections::VecDeque;
use wheelpath::policy::{
    AttemptOutcome, Idempotency, LoadReport, ObjectiveWeights, RequestClass, Settings,
};

/// Guards against an estimate of the time since a client's first try that takes the longest deadline received for that
/// of a first try. Under light load, the longest deadline was that of clients' last retries; first tries then looked
/// old, and three of four were rejected.
#[test]
fn a_longer_deadline_of_the_last_retry_does_not_make_first_tries_look_old() {
    let mut node = idempotent_node(5);
    for n in 0..200 {
        let time_to_deadline_ms = if n % 10 == 9 { 990.0 } else { 600.0 };
        let id = node.request_with_deadline(0, Some(n), time_to_deadline_ms);
        assert!(node.endpoint_of(id).is_some(), "request {n} rejected");
        node.wait(20.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    // A deadline of 300 ms is uncommon, so the request counts as a retry, and as too old for an answer within the
    // latency objective.
    let id = node.request_with_deadline(0, Some(1), 300.0);
    assert_eq!(node.answer(id), Some(Answer::Rejected));
}

/// Guards against an overload estimate that does not fall while no new outcomes arrive. In a simulation of full size,
/// it kept a node at the lowest admission level for ten seconds.
#[test]
fn a_node_that_admits_little_recovers() {
    let mut node = idempotent_node(10);
    node.warm_up(100, 0, 20.0);
    for n in 0..200 {
        node.request(0, Some(n));
        node.wait(30.0);
    }
    node.wait(6000.0);
    let mut sent = 0;
    for n in 0..50 {
        let id = node.request(0, Some(n));
        sent += usize::from(node.endpoint_of(id).is_some());
        node.wait(20.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    assert!(sent >= 40, "{sent} of 50 sent");
}

/// Guards against rejections by a few full endpoints that lower the admission level for all requests. It happened in a
/// simulation of full size, though the other endpoints had room.
#[test]
fn full_endpoints_do_not_lower_admission_for_all() {
    let mut node = idempotent_node(10);
    node.warm_up(100, 0, 20.0);
    let full_endpoint = (0..100).find_map(|key| {
        let id = node.request(0, Some(key));
        let endpoint = node.endpoint_of(id);
        node.end_attempt(id, AttemptOutcome::Answered);
        endpoint
    });
    let mut rejected = 0;
    for n in 0..300 {
        let id = node.request(0, Some(n));
        node.wait(5.0);
        while node.endpoint_of(id).is_some() {
            let outcome = if node.endpoint_of(id) == full_endpoint {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Answered
            };
            node.end_attempt(id, outcome);
        }
        rejected += usize::from(node.answer(id) == Some(Answer::Rejected));
    }
    assert!(rejected < 30, "{rejected} of 300 rejected");
}

/// Guards against concurrency limits that shed requests at random. During incidents, nearly all endpoints were at their
/// limits while the admission level was still 1, so that requests were rejected regardless of their priority.
#[test]
fn requests_beyond_the_limits_are_shed_by_priority() {
    let low = class(400.0, 1000.0, Idempotency::Idempotent);
    let high = RequestClass { priority_weight: 10.0, ..low.clone() };
    let settings = Settings {
        classes: vec![low, high],
        objective_weights: ObjectiveWeights { worst_class: 0.0, ..settings().objective_weights },
        ..settings()
    };
    let mut node = TestNode::with_endpoints(settings, 1, 4);
    let mut rejected = [0, 0];
    let mut in_flight = VecDeque::new();
    for n in 0..3000 {
        let class = n % 2;
        let id = node.request(class, Some(n as u64));
        in_flight.push_back((node.now_ms + 300.0, id));
        if n > 600 && node.answer(id) == Some(Answer::Rejected) {
            rejected[class] += 1;
        }
        node.wait(5.0);
        while in_flight.front().is_some_and(|(ends_at_ms, _)| *ends_at_ms <= node.now_ms) {
            if let Some((_, id)) = in_flight.pop_front() {
                node.end_attempt(id, AttemptOutcome::Answered);
            }
        }
    }
    assert!(rejected[0] > 2 * rejected[1], "rejected requests of low and of high priority: {rejected:?}");
}

/// Guards against losses that count as overload although few requests are in flight. With real nodes, a tenth of the
/// attempts got no answer at any load, and the admission level fell to a fifteenth with a handful of requests in flight
/// at ten endpoints.
#[test]
fn losses_with_little_in_flight_do_not_lower_admission() {
    let mut node = TestNode::with_endpoints(Settings { node_count: 1, ..settings() }, 1, 10);
    node.warm_up(100, 1, 20.0);
    let mut rejected = 0;
    for n in 0..1000 {
        let id = node.request(1, Some(n));
        node.wait(20.0);
        if n % 3 == 0 {
            node.wait(280.0);
            node.end_attempt(id, AttemptOutcome::TimedOut);
        } else {
            node.end_attempt(id, AttemptOutcome::Answered);
        }
        rejected += usize::from(node.answer(id) == Some(Answer::Rejected));
    }
    assert!(rejected < 100, "{rejected} of 1000 rejected");
}

/// Guards against rejections that the periodic log line counts under a wrong reason or not at all.
#[test]
fn the_log_counts_rejections_by_reason() {
    let mut node = idempotent_node(1);
    for _ in 0..60 {
        node.request(0, Some(7));
    }
    let rejected =
        node.requests.values().filter(|request| request.answer == Some(Answer::Rejected)).count();
    node.wait(12_000.0);
    let expected_start = format!(
        "refused: 0 too late, 0 shed, 0 over the in-flight limit, {rejected} without a usable endpoint"
    );
    assert!(
        rejected > 0 && node.log_lines.iter().any(|line| line.starts_with(&expected_start)),
        "{expected_start}: {:?}",
        node.log_lines
    );
}

/// Guards against the rejection of requests with a short deadline as too old, if an answer after the latency objective
/// still has value.
#[test]
fn short_deadlines_are_served_if_late_answers_have_value() {
    let mut settings = one_of_many_nodes(1).settings;
    settings.classes[0].late_weight_factor = 0.2;
    let mut node = TestNode::with_endpoints(settings, 1, 4);
    let mut rejected = 0;
    for n in 0..200 {
        // Half of the clients set a deadline of 600 ms, the other half of 150 to 250 ms.
        let time_to_deadline_ms = if n % 2 == 0 { 600.0 } else { 150.0 + n as f64 / 2.0 };
        let id = node.request_with_deadline(0, Some(n), time_to_deadline_ms);
        rejected += u32::from(node.endpoint_of(id).is_none());
        node.wait(20.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    assert_eq!(rejected, 0);
}

/// Sends 60 requests with a deadline of 1000 ms that are answered within the latency objective, then 60 with a deadline
/// of 50 ms that time out, and then 60 like the first. Returns how many of the second and of the third 60 were sent to
/// an endpoint. `is_retry` tells whether the second 60 are marked as retries.
fn sent_with_short_deadlines(clients_mark_retries: bool, is_retry: bool) -> (usize, usize) {
    let classes = vec![class(400.0, 1000.0, Idempotency::Idempotent)];
    let mut node = TestNode::with_endpoints(Settings { classes, clients_mark_retries, ..settings() }, 1, 4);
    let mut count_sent = |time_to_deadline_ms: f64, is_retry: bool, outcome: AttemptOutcome| {
        let is_sent = |n| {
            let id = node.request_with_retry_mark(0, Some(n), time_to_deadline_ms, is_retry);
            node.wait(60.0);
            node.end_attempt(id, outcome);
            !node.requests[&id].attempts.is_empty()
        };
        (0..60).map(is_sent).filter(|is_sent| *is_sent).count()
    };
    assert_eq!(count_sent(1000.0, false, AttemptOutcome::Answered), 60);
    (
        count_sent(50.0, is_retry, AttemptOutcome::TimedOut),
        count_sent(1000.0, false, AttemptOutcome::Answered),
    )
}

/// Guards against first tries with a short deadline that are taken for old retries and rejected. If clients mark their
/// retries, any other request is a first try. The requests with long deadlines that follow must be admitted as well.
#[test]
fn short_deadlines_do_no_harm_if_retries_are_marked() {
    assert_eq!(
        sent_with_short_deadlines(true, false),
        (60, 60),
        "first tries are admitted, however short their deadline is"
    );
    assert_eq!(
        sent_with_short_deadlines(true, true),
        (0, 60),
        "a retry with a shorter deadline than any first try is too old"
    );
    assert!(
        sent_with_short_deadlines(false, false).0 < 40,
        "without marks a short deadline may be that of a last retry"
    );
}

/// Guards against a node that has one request in flight at each endpoint: with as many nodes as endpoints, all nodes
/// together would overload the fleet. The requests in flight at all endpoints together have a limit per node.
#[test]
fn all_requests_in_flight_of_a_node_are_bounded_by_its_share_of_the_fleet() {
    let mut settings = one_of_many_nodes(1).settings;
    settings.node_count = 60;
    let mut node = TestNode::with_endpoints(settings, 1, 60);
    let send_at_once = |node: &mut TestNode| {
        (0..60)
            .filter(|n| {
                let id = node.request(0, Some(*n));
                node.endpoint_of(id).is_some()
            })
            .count()
    };
    let in_flight = send_at_once(&mut node);
    assert!((6..=16).contains(&in_flight), "{in_flight} in flight at once");
}

/// Guards against an admission level so low that nothing is sent. A real node whose endpoints had become slow admitted
/// no request for five seconds, though endpoints were usable.
#[test]
fn a_fleet_that_slows_down_still_gets_some_requests() {
    let mut node =
        TestNode::with_endpoints(Settings { node_count: 4, ..one_of_many_nodes(1).settings }, 1, 10);
    rejected_share(&mut node, 8000.0, 0.6, 20.0);
    // As many requests as before, of which the endpoints answer only every tenth.
    let (mut last_sent_at_ms, mut longest_pause_ms) = (node.now_ms, 0.0_f64);
    for n in 0..1000 {
        let id = node.request(0, Some(n));
        if node.endpoint_of(id).is_some() {
            longest_pause_ms = longest_pause_ms.max(node.now_ms - last_sent_at_ms);
            last_sent_at_ms = node.now_ms;
        }
        node.wait(20.0);
        if n % 10 == 0 {
            node.end_attempt_with_load(
                id,
                AttemptOutcome::Answered,
                LoadReport { utilization: Some(1.0), ..LoadReport::default() },
            );
        }
    }
    longest_pause_ms = longest_pause_ms.max(node.now_ms - last_sent_at_ms);
    assert!(longest_pause_ms < 4000.0, "nothing sent for {longest_pause_ms} ms");
}
