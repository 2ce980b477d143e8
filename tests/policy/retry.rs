//! Tests whether a request is sent again, within which time, and how long an attempt may take.

use crate::common::{Answer, TestNode, settings};
use crate::support::idempotent_node;
use wheelpath::policy::{Action, AttemptOutcome, Settings};

/// Guards against an attempt timeout that is learned from answers alone: only quick answers arrive within it, so that
/// it becomes shorter with each timeout. It happened under light load.
#[test]
fn timeouts_do_not_shorten_the_next_timeout() {
    let mut node = idempotent_node(1);
    node.warm_up(50, 0, 100.0);
    for n in 0..6 {
        let id = node.request(0, Some(n));
        node.wait(500.0);
        let Some(attempt) = node.requests[&id].attempts.first() else { break };
        assert!(
            attempt.times_out_at_ms - attempt.sent_at_ms > 90.0,
            "the timeout fell to {} ms",
            attempt.times_out_at_ms - attempt.sent_at_ms
        );
    }
}

/// Guards against requests that must not be repeated but select another endpoint after a connection reset. With real
/// nodes, such a request used up the retry budget of other requests. It also counted as a request that found no usable
/// endpoint, so that the whole fleet seemed to be blocked.
#[test]
fn requests_that_must_not_be_repeated_use_no_retry_budget() {
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
    // Sixty keys at once bring most candidates to their limit. A request whose two candidates are at their limit goes
    // to another endpoint.
    let ids: Vec<_> = (0..60).map(|n| node.request(0, Some(n))).collect();
    let sent = ids.into_iter().filter(|id| node.endpoint_of(*id).is_some()).count();
    assert!(sent >= 57, "{sent} of 60 at once were sent");
}

/// Guards against a retry that starts after the deduplication window of the first attempt, so that the endpoint runs
/// the request twice.
#[test]
fn a_repeat_must_begin_within_the_deduplication_window() {
    let begin_within_ms_of = |node: &TestNode, id| {
        let sent = node.actions.iter().filter_map(|action| match action {
            Action::SendAttempt { id: sent_id, begin_within_ms, .. } if *sent_id == id => {
                Some(*begin_within_ms)
            }
            _ => None,
        });
        sent.collect::<Vec<f64>>()
    };
    // Class 3 is deduplicated at all endpoints for 1000 ms, of which 200 have passed. Class 0 is idempotent.
    for (class, remaining_ms) in [(3, 800.0), (0, f64::INFINITY)] {
        let mut node = TestNode::with_endpoints(settings(), 1, 3);
        let id = node.request(class, Some(1));
        node.wait(200.0);
        node.end_attempt(id, AttemptOutcome::ConnectionReset);
        assert_eq!(begin_within_ms_of(&node, id), [f64::INFINITY, remaining_ms], "class {class}");
    }
    // An attempt that never ran starts no window.
    let mut node = TestNode::with_endpoints(settings(), 1, 3);
    let id = node.request(3, Some(1));
    node.wait(200.0);
    node.end_attempt(id, AttemptOutcome::ConnectFailed);
    assert_eq!(begin_within_ms_of(&node, id), [f64::INFINITY; 2]);
}

/// Guards against retries that multiply the load when all endpoints answer with errors.
#[test]
fn quick_errors_everywhere_cause_few_retries() {
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
    assert!(node.log_lines.is_empty(), "errors are answers and must not make an endpoint congested");
}
