//! What load reports change.

use crate::common::{TestNode, active_endpoint};
use crate::support::{idempotent_node, one_of_many_nodes, rejected_share};
use wheelpath::policy::{AttemptOutcome, LoadReport, LoadReporting};

#[test]
fn an_endpoint_that_fails_fast_does_not_count_as_idle() {
    let mut node = one_of_many_nodes(2);
    let bad = active_endpoint(1).endpoint;
    let mut at_bad = 0;
    for n in 0..120 {
        let id = node.request(0, Some(n));
        let first = node.endpoint_of(id);
        node.wait(5.0);
        if first == Some(bad) {
            node.end_attempt_with_load(
                id,
                AttemptOutcome::ErrorResponse,
                LoadReport { utilization: Some(0.05), ..LoadReport::default() },
            );
            at_bad += u32::from(n >= 20);
        }
        node.end_attempt_with_load(
            id,
            AttemptOutcome::Answered,
            LoadReport { utilization: Some(0.6), ..LoadReport::default() },
        );
        node.wait(100.0);
    }
    assert!(at_bad < 30, "{at_bad} of 100 sent first to one that fails");
}

#[test]
fn failures_do_not_count_as_utilization_where_none_is_reported() {
    // Found on sockets: reports of `qps` and `inflight` alone give no utilization, so a mean utilization that
    // failures alone contributed to rose with each of them and closed a fleet that answered well within the objective.
    let mut s = idempotent_node(6).settings;
    (s.load_reporting, s.node_count) = (LoadReporting::Answers, 2);
    let mut node = TestNode::with_endpoints(s, 1, 6);
    node.warm_up(100, 0, 20.0);
    let report =
        LoadReport { in_flight: Some(2.0), requests_per_second: Some(30.0), ..LoadReport::default() };
    let mut rejected = 0;
    for n in 0..1000 {
        let id = node.request(0, Some(n % 50));
        rejected += usize::from(node.endpoint_of(id).is_none());
        node.wait(20.0);
        if n % 3 == 0 {
            node.end_attempt(id, AttemptOutcome::ErrorResponse);
        }
        node.end_attempt_with_load(id, AttemptOutcome::Answered, report);
    }
    assert_eq!(rejected, 0, "of 1000 while one answer in three is an error and all others are quick");
}

#[test]
fn a_fleet_that_reports_full_utilization_gets_less_before_answers_are_late() {
    let mut node = one_of_many_nodes(10);
    assert!(rejected_share(&mut node, 5000.0, 0.6, 40.0) == 0.0);
    assert!(rejected_share(&mut node, 4000.0, 1.0, 40.0) > 0.02, "suddenly full");
    rejected_share(&mut node, 12_000.0, 1.0, 40.0);
    let later = rejected_share(&mut node, 5000.0, 1.0, 40.0);
    assert!(later == 0.0, "a full fleet that answers in time has room: {later}");
}
