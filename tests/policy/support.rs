//! Provides test nodes and request patterns that several tests use.

use crate::common::{TestNode, class, settings};
use wheelpath::policy::{AttemptOutcome, EndpointId, Idempotency, LoadReport, LoadReporting, Settings};

/// Returns a node with `count` endpoints and a single request class, which is idempotent.
pub fn idempotent_node(count: u64) -> TestNode {
    TestNode::with_endpoints(
        Settings { classes: vec![class(400.0, 1000.0, Idempotency::Idempotent)], ..settings() },
        1,
        count,
    )
}

/// Makes the only endpoint of a node congested: the connections of two requests in a row are reset. Two failures are
/// enough if the endpoint has no other traffic and the settings are those of [`settings`].
pub fn make_congested(node: &mut TestNode) {
    for _ in 0..2 {
        let id = node.request(0, Some(1));
        node.end_attempt(id, AttemptOutcome::ConnectionReset);
    }
}

/// Returns one of 500 nodes, with `count` endpoints, a single idempotent class and load reports in answers. Such a node
/// rarely has a request in flight, so that the candidates of a key are usually tied by their requests in flight.
pub fn one_of_many_nodes(count: u64) -> TestNode {
    let settings = Settings {
        classes: vec![class(400.0, 1000.0, Idempotency::Idempotent)],
        node_count: 500,
        load_reporting: LoadReporting::Answers,
        ..settings()
    };
    TestNode::with_endpoints(settings, 1, count)
}

/// Sends one request for a key and answers it after 30 ms, with a report of its endpoint's utilization. Then waits for
/// 100 ms. Returns the endpoint, or `None` if the request was rejected.
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

/// Sends requests for `duration_ms`, one every `answer_ms` plus 20 ms, and answers each after `answer_ms` with a report
/// of `utilization`. Returns the share of the requests that were rejected, 0 to 1.
pub fn rejected_share(node: &mut TestNode, duration_ms: f64, utilization: f64, answer_ms: f64) -> f64 {
    let (until_ms, mut requested, mut rejected) = (node.now_ms + duration_ms, 0.0, 0.0);
    let mut key = 0;
    while node.now_ms < until_ms {
        key += 1;
        let id = node.request(0, Some(key));
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
