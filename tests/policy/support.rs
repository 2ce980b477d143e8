//! Nodes and request patterns that several tests use.

use crate::common::{TestNode, class, settings};
use wheelpath::policy::{AttemptOutcome, EndpointId, Idempotency, LoadReport, LoadReporting, Settings};

/// A node with one class, which is idempotent, and `count` endpoints.
pub fn idempotent_node(count: u64) -> TestNode {
    TestNode::with_endpoints(
        Settings { classes: vec![class(400.0, 1000.0, Idempotency::Idempotent)], ..settings() },
        1,
        count,
    )
}

/// Two requests that are never answered: what it takes to trip an endpoint that has no other traffic.
pub fn trip(node: &mut TestNode) {
    for _ in 0..2 {
        let id = node.request(0, Some(1));
        node.end_attempt(id, AttemptOutcome::ConnectionReset);
    }
}

/// One of very many nodes: two candidates tie at nothing in flight.
pub fn one_of_many_nodes(count: u64) -> TestNode {
    let s = Settings {
        classes: vec![class(400.0, 1000.0, Idempotency::Idempotent)],
        node_count: 500,
        load_reporting: LoadReporting::Answers,
        ..settings()
    };
    TestNode::with_endpoints(s, 1, count)
}

/// One request for a key, answered after 30 ms with a report of `utilization`; the endpoint that it went to.
pub fn serve_key(
    node: &mut TestNode,
    key: u64,
    utilization: impl Fn(EndpointId) -> f64,
) -> Option<EndpointId> {
    let id = node.request(0, Some(key));
    let endpoint = node.endpoint_of(id);
    node.wait(30.0);
    if let Some(endpoint) = endpoint {
        node.end_attempt_with_load(
            id,
            AttemptOutcome::Answered,
            LoadReport { utilization: Some(utilization(endpoint)), ..LoadReport::default() },
        );
    }
    node.wait(100.0);
    endpoint
}

/// Requests for `duration_ms`, one after another, each answered after `answer_ms` with a report of `utilization`: the
/// share that was rejected.
pub fn rejected_share(node: &mut TestNode, duration_ms: f64, utilization: f64, answer_ms: f64) -> f64 {
    let (until, mut requested, mut rejected) = (node.now_ms + duration_ms, 0.0, 0.0);
    let mut n = 0;
    while node.now_ms < until {
        n += 1;
        let id = node.request(0, Some(n));
        requested += 1.0;
        rejected += f64::from(u8::from(node.endpoint_of(id).is_none()));
        node.wait(answer_ms);
        node.end_attempt_with_load(
            id,
            AttemptOutcome::Answered,
            LoadReport { utilization: Some(utilization), ..LoadReport::default() },
        );
        node.wait(20.0);
    }
    rejected / requested
}
