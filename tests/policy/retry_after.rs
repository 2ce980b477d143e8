//! When a rejected client is asked to come back.

use crate::common::{Answer, TestNode, settings};
use crate::support::{idempotent_node, make_congested};
use wheelpath::policy::{Action, Settings};

#[test]
fn a_rejection_carries_a_retry_after_time() {
    let mut node = idempotent_node(1);
    make_congested(&mut node);
    let id = node.request(0, Some(1));
    let wait = node.actions.iter().rev().find_map(|a| match a {
        Action::Reject { id: i, retry_after_ms, .. } if *i == id => Some(*retry_after_ms),
        _ => None,
    });
    assert!(wait.is_some_and(|ms| ms >= 400.0), "PRAT and T: {wait:?}");
    let mut node = TestNode::new(Settings { retry_after_allowed: false, ..settings() }, 1);
    let id = node.request(0, Some(1));
    assert_eq!(node.answer(id), Some(Answer::Rejected), "an empty list rejects");
    let plain = |a: &Action| matches!(a, Action::Reject { id: i, retry_after_ms: 0.0, .. } if *i == id);
    assert!(node.actions.iter().any(plain));
}

#[test]
fn a_rejection_by_limits_alone_asks_for_a_retry_within_the_objective() {
    let mut node = idempotent_node(2);
    let ids: Vec<_> = (0..40).map(|_| node.request(0, Some(7))).collect();
    let rejected = |a: &Action| match a {
        Action::Reject { retry_after_ms, .. } => Some(*retry_after_ms),
        _ => None,
    };
    let waits: Vec<f64> = node.actions.iter().filter_map(rejected).collect();
    assert!(!waits.is_empty() && waits.len() < ids.len());
    assert!(waits.iter().all(|ms| *ms > 0.0 && *ms <= 200.0), "objective 400 ms: {waits:?}");
}
