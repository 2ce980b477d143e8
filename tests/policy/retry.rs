//! Whether, and for how long, attempts are repeated.

use crate::common::{Answer, TestNode, settings};
use crate::support::idempotent_node;
use wheelpath::policy::{Action, AttemptOutcome, Settings};

#[test]
fn timeouts_do_not_shorten_the_next_timeout() {
    // Found on a quiet day: only answers were learned from, so n, the short timeout, shrank with each timeout.
    let mut node = idempotent_node(1);
    node.warm_up(50, 0, 100.0);
    for n in 0..6 {
        let id = node.request(0, Some(n));
        node.wait(500.0);
        let Some(sent) = node.requests[&id].attempts.first() else { break };
        assert!(
            sent.times_out_at_ms - sent.sent_at_ms > 90.0,
            "n fell to {}",
            sent.times_out_at_ms - sent.sent_at_ms
        );
    }
}

#[test]
fn requests_that_may_not_be_repeated_use_no_budget() {
    // Found on sockets: requests that may not be repeated selected another endpoint after a reset. That used up the
    // budget of others, and the fleet counted as blocked.
    let mut node =
        TestNode::with_endpoints(Settings { warm_keys: true, ..idempotent_node(1).settings }, 1, 30);
    node.warm_up(100, 1, 20.0);
    let mut failed = 0;
    for n in 0..40 {
        let id = node.request(1, Some(n));
        node.wait(5.0);
        if node.endpoint_of(id).is_some() {
            node.end_attempt(id, AttemptOutcome::ConnectionReset);
            assert_eq!(node.answer(id), Some(Answer::Failed));
            failed += 1;
        }
        for n in 0..10 {
            let id = node.request(0, Some(n));
            node.wait(5.0);
            node.end_attempt(id, AttemptOutcome::Answered);
        }
    }
    assert!(failed > 20, "{failed} failed");
    // All keys at once fill most candidates: a request that finds both full goes to another endpoint.
    let ids: Vec<_> = (0..60).map(|n| node.request(0, Some(n))).collect();
    let sent = ids.into_iter().filter(|id| node.endpoint_of(*id).is_some()).count();
    assert!(sent >= 57, "{sent} of 60 at once were sent");
}

#[test]
fn a_repeat_must_begin_within_the_deduplication_window() {
    let within = |node: &TestNode, id| {
        let sent = node.actions.iter().filter_map(|a| match a {
            Action::SendAttempt { id: i, begin_within_ms, .. } if *i == id => Some(*begin_within_ms),
            _ => None,
        });
        sent.collect::<Vec<f64>>()
    };
    // Deduplicated at all endpoints, and idempotent.
    for (class, left) in [(3, 800.0), (0, f64::INFINITY)] {
        let mut node = TestNode::with_endpoints(settings(), 1, 3);
        let id = node.request(class, Some(1));
        node.wait(200.0);
        node.end_attempt(id, AttemptOutcome::ConnectionReset);
        assert_eq!(within(&node, id), [f64::INFINITY, left], "class {class}");
    }
    // An attempt that never ran does not count.
    let mut node = TestNode::with_endpoints(settings(), 1, 3);
    let id = node.request(3, Some(1));
    node.wait(200.0);
    node.end_attempt(id, AttemptOutcome::ConnectFailed);
    assert_eq!(within(&node, id), [f64::INFINITY; 2]);
}

#[test]
fn quick_errors_everywhere_cause_few_repeats() {
    let mut node = idempotent_node(5);
    node.warm_up(50, 0, 20.0);
    let mut attempts = 0;
    for n in 0..300 {
        let id = node.request(0, Some(n));
        node.wait(10.0);
        while node.endpoint_of(id).is_some() {
            node.end_attempt(id, AttemptOutcome::ErrorResponse);
        }
        attempts += node.requests[&id].attempts.len();
    }
    assert!(attempts <= 345, "{attempts} attempts for 300 requests");
    assert!(node.log_lines.is_empty(), "errors are answers");
}
