//! Tests when failures make an endpoint congested, and how trials make it live again.

use crate::common::{Answer, TestNode, active_endpoint, settings};
use crate::support::{idempotent_node, make_congested};
use wheelpath::policy::{AttemptOutcome, Settings};

/// Guards against requests that are lost at an endpoint that does not answer, and against an endpoint that a single
/// failure makes congested.
#[test]
fn an_endpoint_is_congested_by_more_than_m_failures_and_then_gets_nothing() {
    let mut node = idempotent_node(1);
    let id = node.request(0, Some(1));
    node.end_attempt(id, AttemptOutcome::ConnectionReset);
    let id = node.request(0, Some(1));
    assert!(node.endpoint_of(id).is_some(), "one failure is not more than M");
    node.end_attempt(id, AttemptOutcome::ConnectionReset);
    let id = node.request(0, Some(1));
    assert_eq!(
        node.answer(id),
        Some(Answer::Rejected),
        "a request must be rejected at once if the only endpoint is congested"
    );
    assert!(node.log_lines.iter().any(|line| line.starts_with("congested")));
}

/// Guards against outcomes that make an endpoint congested though they do not show that it failed to answer.
#[test]
fn answers_errors_rejections_and_cancellations_are_no_failures() {
    let mut node = idempotent_node(1);
    for n in 0..40 {
        let id = node.request(0, Some(1));
        node.wait(10.0);
        let outcomes = [
            AttemptOutcome::Answered,
            AttemptOutcome::ErrorResponse,
            AttemptOutcome::Rejected,
            AttemptOutcome::Cancelled,
        ];
        node.end_attempt(id, outcomes[n % 4]);
        node.wait(400.0);
    }
    assert!(!node.log_lines.iter().any(|line| line.starts_with("congested")), "{:?}", node.log_lines);
}

/// Guards against failures that count although they are older than N, the length of the failure window.
#[test]
fn failures_leave_the_window() {
    let mut node = idempotent_node(1);
    let id = node.request(0, Some(1));
    node.end_attempt(id, AttemptOutcome::ConnectionReset);
    node.wait(node.settings.slow_start_ms);
    let id = node.request(0, Some(1));
    node.end_attempt(id, AttemptOutcome::ConnectionReset);
    let id = node.request(0, Some(1));
    assert!(
        node.endpoint_of(id).is_some(),
        "the first failure has left the window, and one failure is not more than M"
    );
}

/// Guards against a run of consecutive failures that is counted beyond the failure window. A real node logged
/// "congested: 1 failures of 1", because the earlier failures of the run had left the window long before.
#[test]
fn a_run_of_failures_counts_only_within_the_window() {
    let mut node = idempotent_node(1);
    for _ in 0..6 {
        let id = node.request(0, Some(1));
        node.end_attempt(id, AttemptOutcome::ConnectionReset);
        node.wait(11_000.0);
    }
    let is_congested = node.log_lines.iter().any(|line| line.starts_with("congested"));
    assert!(!is_congested, "one failure in each window: {:?}", node.log_lines);
}

/// Guards against a flood of requests to a congested endpoint after PRAT, and against an endpoint that stays congested
/// though it answers its trial.
#[test]
fn after_prat_one_trial_decides() {
    let mut node = idempotent_node(1);
    make_congested(&mut node);
    node.wait(3000.0);
    let trial = node.request(0, Some(1));
    assert!(node.endpoint_of(trial).is_some());
    let second = node.request(0, Some(1));
    assert_eq!(node.answer(second), Some(Answer::Rejected), "one trial at a time");
    node.end_attempt(trial, AttemptOutcome::TimedOut);
    let id = node.request(0, Some(1));
    assert_eq!(node.answer(id), Some(Answer::Rejected), "a failed trial sets PRAT again");
    node.wait(6000.0);
    let trial = node.request(0, Some(1));
    node.end_attempt(trial, AttemptOutcome::Answered);
    assert!(node.log_lines.iter().any(|line| line.starts_with("live")));
}

/// Guards against requests that are lost in a trial: a request that may not be repeated cannot be sent to another
/// endpoint if the trial fails.
#[test]
fn the_trial_is_a_request_that_may_be_repeated() {
    let mut node = TestNode::with_endpoints(settings(), 1, 1);
    make_congested(&mut node);
    node.wait(3000.0);
    let not_idempotent = node.request(1, Some(1));
    assert_eq!(
        node.answer(not_idempotent),
        Some(Answer::Rejected),
        "a request that may not be repeated must not be a trial"
    );
    let trial = node.request(0, Some(1));
    assert!(node.endpoint_of(trial).is_some());
    let second = node.request(0, Some(1));
    assert_eq!(node.answer(second), Some(Answer::Rejected), "one trial at a time");
    node.end_attempt(trial, AttemptOutcome::Answered);
    let id = node.request(1, Some(1));
    assert!(node.endpoint_of(id).is_some(), "the endpoint must be live again");
}

/// Guards against many nodes that each need several failures to make an endpoint congested, and whose trials together
/// are a load that an endpoint in trouble cannot serve.
#[test]
fn with_many_nodes_one_failure_suffices_and_trials_stay_few() {
    for nodes in [50, 100] {
        let settings = Settings { node_count: nodes, ..settings() };
        let mut node = TestNode::with_endpoints(settings, 1, 1);
        node.wait(100.0);
        let id = node.request(0, Some(5));
        node.end_attempt(id, AttemptOutcome::TimedOut);
        assert!(
            node.log_lines.iter().any(|line| line.starts_with("congested")),
            "{nodes} nodes: {:?}",
            node.log_lines
        );
        let congested_at_ms = node.now_ms;
        while node.requests.values().filter(|request| !request.attempts.is_empty()).count() < 2 {
            node.wait(100.0);
            node.request(0, Some(5));
        }
        let trials_per_second = 1000.0 * f64::from(nodes) / (node.now_ms - congested_at_ms);
        assert!(
            trials_per_second < 15.0,
            "{nodes} nodes: {trials_per_second} trials per second at one endpoint"
        );
    }
}

/// Guards against a failure that affects all endpoints alike and makes all of them congested, so that no request is
/// sent anywhere.
#[test]
fn a_failure_of_all_endpoints_makes_few_congested() {
    let mut node = idempotent_node(10);
    node.warm_up(200, 0, 20.0);
    for n in 0..200 {
        let id = node.request(0, Some(n));
        node.wait(20.0);
        while node.endpoint_of(id).is_some() {
            node.end_attempt(id, AttemptOutcome::TimedOut);
        }
    }
    let congested = node.log_lines.iter().filter(|line| line.starts_with("congested")).count();
    assert!(congested <= 5, "{congested} of 10 endpoints became congested by a failure of all of them");
}

/// Guards against timeouts that a stall of the node itself causes and that make endpoints congested.
#[test]
fn a_stall_of_the_node_is_not_blamed_on_endpoints() {
    let mut node = idempotent_node(4);
    node.warm_up(50, 0, 20.0);
    let ids: Vec<_> = (0..8).map(|n| node.request(0, Some(n))).collect();
    node.now_ms += 5000.0;
    for id in ids {
        node.end_attempt(id, AttemptOutcome::TimedOut);
    }
    assert!(node.log_lines.is_empty(), "{:?}", node.log_lines);
}

/// Guards against full traffic to an endpoint that has just restarted, if the list does not report the restart: after a
/// trial that could not connect, the node must assume one.
#[test]
fn an_unreachable_endpoint_is_avoided_and_starts_slowly_when_it_returns() {
    let mut node = idempotent_node(2);
    node.warm_up(100, 0, 20.0);
    let failing = active_endpoint(1).endpoint;
    for n in 0..100 {
        let id = node.request(0, Some(n));
        node.wait(20.0);
        if node.endpoint_of(id) == Some(failing) {
            node.wait(400.0);
        }
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    assert!(node.log_lines.iter().any(|line| line.starts_with("congested")));
    // The first trial cannot connect, and the next one is answered.
    for outcome in [AttemptOutcome::ConnectFailed, AttemptOutcome::Answered] {
        let trial = loop {
            let id = node.request(0, Some(1));
            if node.endpoint_of(id) == Some(failing) {
                break id;
            }
            node.end_attempt(id, AttemptOutcome::Answered);
            node.wait(100.0);
        };
        node.end_attempt(trial, outcome);
        node.end_attempt(trial, AttemptOutcome::Answered);
    }
    assert!(
        node.log_lines.iter().any(|line| line.starts_with("live") && line.ends_with("slow start begins")),
        "{:?}",
        node.log_lines
    );
    let mut sent = 0;
    for n in 0..100 {
        let id = node.request(0, Some(n));
        sent += usize::from(node.endpoint_of(id) == Some(failing));
        node.wait(10.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    assert!(sent < 20, "{sent} of 100 sent to an endpoint that may have restarted");
}

/// Sends 800 requests to two endpoints. The attempts at one of them end with `failure` until the end of its first
/// trial, and are answered after that. Returns how many of the requests that endpoint gets once it is live again.
fn sent_after_a_failed_trial(failure: AttemptOutcome) -> usize {
    let mut node = idempotent_node(2);
    node.warm_up(200, 0, 20.0);
    let has_logged = |node: &TestNode, word: &str| node.log_lines.iter().any(|line| line.starts_with(word));
    let (failing, mut trials, mut sent) = (active_endpoint(1).endpoint, 0, 0);
    for n in 0..800 {
        let (was_congested, is_live_again) = (has_logged(&node, "congested"), has_logged(&node, "live"));
        let id = node.request(0, Some(n));
        node.wait(20.0);
        if node.endpoint_of(id) == Some(failing) {
            sent += usize::from(is_live_again);
            node.end_attempt(id, if trials == 0 { failure } else { AttemptOutcome::Answered });
            trials += usize::from(was_congested);
        }
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    sent
}

/// Guards against a slow start of endpoints that did not restart. With real nodes, endpoints that were slow or lost
/// connections for a moment counted as restarted after one failed trial; with all of them in slow start, hardly any
/// request was sent.
#[test]
fn only_an_unreachable_endpoint_starts_slowly_when_it_returns() {
    for outcome in [AttemptOutcome::ConnectionReset, AttemptOutcome::TimedOut] {
        let sent = sent_after_a_failed_trial(outcome);
        assert!(sent > 200, "{sent} sent to a warm endpoint after a trial that ended {outcome:?}");
    }
    let sent = sent_after_a_failed_trial(AttemptOutcome::ConnectFailed);
    assert!(sent < 200, "{sent} sent to an endpoint that may have restarted");
}
