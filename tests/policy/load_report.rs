//! Tests how the load that endpoints report affects selection and admission.

use crate::common::{TestNode, active_endpoint};
use crate::support::{idempotent_node, one_of_many_nodes, rejected_share};
use wheelpath::policy::{AttemptOutcome, LoadReport, LoadReporting};

/// Guards against an endpoint that answers every request with an error at once, reports a low utilization because of
/// that, and is therefore selected more often.
#[test]
fn an_endpoint_that_fails_fast_does_not_count_as_idle() {
    let mut node = one_of_many_nodes(2);
    let failing = active_endpoint(1).endpoint;
    let mut sent_to_failing = 0;
    for n in 0..120 {
        let id = node.request(0, Some(n));
        let first_endpoint = node.endpoint_of(id);
        node.wait(5.0);
        if first_endpoint == Some(failing) {
            node.end_attempt_with_load(
                id,
                AttemptOutcome::ErrorResponse,
                LoadReport { utilization: Some(0.05), ..LoadReport::default() },
            );
            sent_to_failing += u32::from(n >= 20);
        }
        node.end_attempt_with_load(
            id,
            AttemptOutcome::Answered,
            LoadReport { utilization: Some(0.6), ..LoadReport::default() },
        );
        node.wait(100.0);
    }
    assert!(sent_to_failing < 30, "{sent_to_failing} of 100 sent first to the failing endpoint");
}

/// Guards against a mean utilization to which only failures contribute, because endpoints report only `qps` and
/// `inflight`. With real nodes, each failure raised it, until a fleet got no requests though it answered well within
/// the latency objective.
#[test]
fn failures_do_not_count_as_utilization_if_none_is_reported() {
    let mut settings = idempotent_node(6).settings;
    (settings.load_reporting, settings.node_count) = (LoadReporting::Answers, 2);
    let mut node = TestNode::with_endpoints(settings, 1, 6);
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
    assert_eq!(
        rejected, 0,
        "requests rejected of 1000, a third of which get an error first while all others are answered quickly"
    );
}

/// Guards against a node that sheds load only when answers are late, though the endpoints report that they are full.
/// Also guards against load that is shed indefinitely if full endpoints still answer in time.
#[test]
fn a_fleet_that_reports_full_utilization_gets_less_before_answers_are_late() {
    let mut node = one_of_many_nodes(10);
    assert!(rejected_share(&mut node, 5000.0, 0.6, 40.0) == 0.0);
    assert!(
        rejected_share(&mut node, 4000.0, 1.0, 40.0) > 0.02,
        "a sudden full utilization must lower admission"
    );
    rejected_share(&mut node, 12_000.0, 1.0, 40.0);
    let later_share = rejected_share(&mut node, 5000.0, 1.0, 40.0);
    assert!(
        later_share == 0.0,
        "a full fleet that answers in time has room, but {later_share} was rejected"
    );
}
