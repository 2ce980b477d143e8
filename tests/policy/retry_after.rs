//! Tests the retry-after time that a rejected client gets.

use crate::common::{Answer, TestNode, settings};
use crate::support::{idempotent_node, make_congested};
use wheelpath::policy::{Action, Settings};

/// Guards against clients that retry before the endpoint may be sent a trial, and against a retry-after time if the
/// settings do not allow one.
#[test]
fn a_rejection_carries_a_retry_after_time_if_allowed() {
    let mut node = idempotent_node(1);
    make_congested(&mut node);
    let id = node.request(0, Some(1));
    let retry_after_ms = node.actions.iter().rev().find_map(|action| match action {
        Action::Reject { id: rejected_id, retry_after_ms, .. } if *rejected_id == id => {
            Some(*retry_after_ms)
        }
        _ => None,
    });
    assert!(retry_after_ms.is_some_and(|ms| ms >= 400.0), "the time until PRAT and T: {retry_after_ms:?}");
    let mut node = TestNode::new(Settings { retry_after_allowed: false, ..settings() }, 1);
    let id = node.request(0, Some(1));
    assert_eq!(node.answer(id), Some(Answer::Rejected), "a request must be rejected if the list is empty");
    let has_no_retry_after = |action: &Action| {
        matches!(
            action,
            Action::Reject { id: rejected_id, retry_after_ms: 0.0, .. } if *rejected_id == id
        )
    };
    assert!(node.actions.iter().any(has_no_retry_after));
}

/// Guards against clients that wait for longer than the latency objective although the endpoints only need to answer
/// the requests in flight, and against clients that retry at once.
#[test]
fn a_rejection_by_limits_alone_asks_for_a_retry_within_the_objective() {
    let mut node = idempotent_node(2);
    let ids: Vec<_> = (0..40).map(|_| node.request(0, Some(7))).collect();
    let retry_after = |action: &Action| match action {
        Action::Reject { retry_after_ms, .. } => Some(*retry_after_ms),
        _ => None,
    };
    let retry_after_ms: Vec<f64> = node.actions.iter().filter_map(retry_after).collect();
    assert!(!retry_after_ms.is_empty() && retry_after_ms.len() < ids.len());
    assert!(
        retry_after_ms.iter().all(|ms| *ms > 0.0 && *ms <= 200.0),
        "at most half of the latency objective of 400 ms: {retry_after_ms:?}"
    );
}
