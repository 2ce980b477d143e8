//! How fast a restarted endpoint gets traffic.

use crate::common::{TestNode, active_endpoint};
use crate::support::idempotent_node;
use wheelpath::policy::{AttemptOutcome, EndpointUpdate, Settings, WatchUpdate};

#[test]
fn a_restarted_endpoint_gets_no_more_than_the_nodes_share_of_the_budget() {
    let mut node = idempotent_node(4);
    node.warm_up(400, 0, 10.0);
    let fresh = EndpointUpdate { started_at_ms: node.now_ms, ..active_endpoint(9) };
    node.apply_list(WatchUpdate::Delta, vec![fresh]);
    // A warm endpoint serves about 25 a second for this node: the restarted one may be sent
    // `overload_multiple` times its present share of that by all four nodes together.
    let (mut sent, from) = (0, node.now_ms);
    for n in 0..150 {
        let id = node.request(0, Some(n));
        sent += usize::from(node.endpoint_of(id) == Some(fresh.endpoint));
        node.wait(10.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    let seconds = (node.now_ms - from) / 1000.0;
    let most = 3.0 * 0.3 * 25.0 * seconds;
    assert!((sent as f64) < most, "{sent} sent in {seconds} s, {most} allowed");
}

#[test]
fn a_restarted_endpoint_gets_its_share_from_many_nodes_within_the_budget() {
    let sent = |seed| {
        let mut node =
            TestNode::with_endpoints(Settings { node_count: 100, ..idempotent_node(1).settings }, seed, 10);
        node.warm_up(60, 0, 333.0);
        let cold = EndpointUpdate { started_at_ms: node.now_ms, ..active_endpoint(11) };
        node.apply_list(WatchUpdate::Delta, vec![cold]);
        let sent = |node: &mut TestNode, n| {
            let id = node.request(0, Some(n));
            let at = node.endpoint_of(id) == Some(cold.endpoint);
            node.wait(333.0);
            node.end_attempt(id, AttemptOutcome::Answered);
            usize::from(at)
        };
        (0..15).map(|n| sent(&mut node, n)).sum::<usize>()
    };
    // Ten warm endpoints serve 300 a second for a hundred nodes. A restarted one may be sent 18 to 25 in each of these
    // five seconds, half of that while it has no warm keys; four such fleets show more than chance.
    let all: usize = (1..=400).map(sent).sum();
    assert!((46..180).contains(&all), "{all} in five seconds");
}

/// How many requests a restarted endpoint gets in the first and in the tenth second after its start, while it answers
/// as fast as the three others.
fn sent_to_restarted_endpoint(requests_per_second: u64) -> (usize, usize) {
    let mut node =
        TestNode::with_endpoints(Settings { node_count: 2, ..idempotent_node(1).settings }, 1, 4);
    node.warm_up(500, 0, 5.0);
    let cold = active_endpoint(1).endpoint;
    node.apply_list(
        WatchUpdate::Delta,
        vec![EndpointUpdate { started_at_ms: node.now_ms, ..active_endpoint(1) }],
    );
    let mut sent = Vec::new();
    for n in 0..10 * requests_per_second {
        let id = node.request(0, Some(n));
        sent.push(node.endpoint_of(id) == Some(cold));
        node.wait(1000.0 / requests_per_second as f64);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    let per_second: Vec<usize> =
        sent.chunks(requests_per_second as usize).map(|s| s.iter().filter(|at| **at).count()).collect();
    (per_second[0], per_second[9])
}

#[test]
fn a_restarted_endpoint_that_serves_well_is_sent_more() {
    let (first, last) = sent_to_restarted_endpoint(200);
    assert!((1..20).contains(&first), "{first} of 200 in the first second");
    // Found on sockets: budgets were refilled to one request at each housekeeping, six a second at most.
    assert!(last > 15, "{last} of 200 in the tenth second");
}
