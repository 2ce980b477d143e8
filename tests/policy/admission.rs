//! Which requests are admitted under overload.

use crate::common::{Answer, TestNode, class, settings};
use crate::support::{idempotent_node, one_of_many_nodes, rejected_share};
use std::collections::VecDeque;
use wheelpath::policy::{
    AttemptOutcome, Idempotency, LoadReport, ObjectiveWeights, RequestClass, Settings,
};

#[test]
fn a_longer_last_try_does_not_make_first_tries_look_old() {
    // Found on a quiet day: the longest deadline was that of a last try, and three of four first tries were rejected.
    let mut node = idempotent_node(5);
    for n in 0..200 {
        let given = if n % 10 == 9 { 990.0 } else { 600.0 };
        let id = node.request_with_deadline(0, Some(n), given);
        assert!(node.endpoint_of(id).is_some(), "request {n} rejected");
        node.wait(20.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    // A try with little left shows its age: it can no longer be answered within the objective.
    let id = node.request_with_deadline(0, Some(1), 300.0);
    assert_eq!(node.answer(id), Some(Answer::Rejected));
}

#[test]
fn a_node_that_admits_little_recovers() {
    // Found at full size: overload without new outcomes kept a node at the lowest admission level for ten seconds.
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

#[test]
fn full_endpoints_do_not_lower_admission_for_all() {
    // Found at full size: a few hot endpoints that rejected attempts made the node admit less for all.
    let mut node = idempotent_node(10);
    node.warm_up(100, 0, 20.0);
    let hot = (0..100).find_map(|k| {
        let id = node.request(0, Some(k));
        let at = node.endpoint_of(id);
        node.end_attempt(id, AttemptOutcome::Answered);
        at
    });
    let mut rejected = 0;
    for n in 0..300 {
        let id = node.request(0, Some(n));
        node.wait(5.0);
        while node.endpoint_of(id).is_some() {
            let outcome = if node.endpoint_of(id) == hot {
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

#[test]
fn requests_beyond_the_limits_are_shed_by_priority() {
    // Found in incidents: limits blocked nearly all endpoints while the admission level was 1, so chance chose.
    let low = class(400.0, 1000.0, Idempotency::Idempotent);
    let high = RequestClass { priority_weight: 10.0, ..low.clone() };
    let s = Settings {
        classes: vec![low, high],
        objective_weights: ObjectiveWeights { worst_class: 0.0, ..settings().objective_weights },
        ..settings()
    };
    let mut node = TestNode::with_endpoints(s, 1, 4);
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
        while in_flight.front().is_some_and(|(at, _)| *at <= node.now_ms) {
            if let Some((_, id)) = in_flight.pop_front() {
                node.end_attempt(id, AttemptOutcome::Answered);
            }
        }
    }
    assert!(rejected[0] > 2 * rejected[1], "rejected of low and high priority: {rejected:?}");
}

#[test]
fn losses_with_little_in_flight_do_not_lower_admission() {
    // Found on sockets: a tenth of attempts got no answer at any load, and the admission level fell to a fifteenth
    // with a handful in flight at ten endpoints.
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

#[test]
fn the_log_counts_rejections_by_reason() {
    let mut node = idempotent_node(1);
    for _ in 0..60 {
        node.request(0, Some(7));
    }
    let rejected = node.requests.values().filter(|a| a.answer == Some(Answer::Rejected)).count();
    node.wait(12_000.0);
    let line = format!(
        "refused: 0 too late, 0 shed, 0 over the in-flight limit, {rejected} without a usable endpoint"
    );
    assert!(
        rejected > 0 && node.log_lines.iter().any(|l| l.starts_with(&line)),
        "{line}: {:?}",
        node.log_lines
    );
}

#[test]
fn short_deadlines_are_served_if_late_answers_have_value() {
    let mut s = one_of_many_nodes(1).settings;
    s.classes[0].late_weight_factor = 0.2;
    let mut node = TestNode::with_endpoints(s, 1, 4);
    let mut rejected = 0;
    for n in 0..200 {
        // Half of the clients give 600 ms, half of them 150 to 250.
        let given = if n % 2 == 0 { 600.0 } else { 150.0 + n as f64 / 2.0 };
        let id = node.request_with_deadline(0, Some(n), given);
        rejected += u32::from(node.endpoint_of(id).is_none());
        node.wait(20.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    assert_eq!(rejected, 0);
}

/// Sixty requests with long deadlines, answered within the objective, sixty with very short ones that time out, and
/// sixty with long ones again: how many of the second and of the third sixty were sent.
fn sent_with_short_deadlines(clients_mark_retries: bool, retry: bool) -> (usize, usize) {
    let classes = vec![class(400.0, 1000.0, Idempotency::Idempotent)];
    let mut node = TestNode::with_endpoints(Settings { classes, clients_mark_retries, ..settings() }, 1, 4);
    let mut play = |given: f64, retry: bool, outcome: AttemptOutcome| {
        let sent = |n| {
            let id = node.request_with_retry_mark(0, Some(n), given, retry);
            node.wait(60.0);
            node.end_attempt(id, outcome);
            !node.requests[&id].attempts.is_empty()
        };
        (0..60).map(sent).filter(|sent| *sent).count()
    };
    assert_eq!(play(1000.0, false, AttemptOutcome::Answered), 60);
    (play(50.0, retry, AttemptOutcome::TimedOut), play(1000.0, false, AttemptOutcome::Answered))
}

#[test]
fn short_deadlines_do_no_harm_if_retries_are_marked() {
    assert_eq!(
        sent_with_short_deadlines(true, false),
        (60, 60),
        "first tries are admitted, however short their deadline"
    );
    assert_eq!(
        sent_with_short_deadlines(true, true),
        (0, 60),
        "a retry with a shorter deadline than any first try is too old"
    );
    assert!(
        sent_with_short_deadlines(false, false).0 < 40,
        "without marks a short deadline may be that of a last try"
    );
}

#[test]
fn all_requests_in_flight_of_a_node_are_bounded_by_its_share_of_the_fleet() {
    // 60 endpoints and 60 nodes: each may have a few requests in flight at all of them together, not one at each.
    let mut s = one_of_many_nodes(1).settings;
    s.node_count = 60;
    let mut node = TestNode::with_endpoints(s, 1, 60);
    let in_flight = |node: &mut TestNode| {
        (0..60)
            .filter(|n| {
                let id = node.request(0, Some(*n));
                node.endpoint_of(id).is_some()
            })
            .count()
    };
    let first = in_flight(&mut node);
    assert!((6..=16).contains(&first), "{first} in flight at once");
}

#[test]
fn a_fleet_that_slows_down_is_never_closed_to_all() {
    // Found on sockets: a node whose fleet slowed down admitted nothing for five seconds, with usable endpoints.
    let mut node =
        TestNode::with_endpoints(Settings { node_count: 4, ..one_of_many_nodes(1).settings }, 1, 10);
    rejected_share(&mut node, 8000.0, 0.6, 20.0);
    // Ten times slower, with as many requests as before.
    let (mut last, mut longest) = (node.now_ms, 0.0_f64);
    for n in 0..1000 {
        let id = node.request(0, Some(n));
        if node.endpoint_of(id).is_some() {
            longest = longest.max(node.now_ms - last);
            last = node.now_ms;
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
    longest = longest.max(node.now_ms - last);
    assert!(longest < 4000.0, "nothing sent for {longest} ms");
}
