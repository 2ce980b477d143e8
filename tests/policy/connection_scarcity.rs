//! Tests when idle connections are closed because connections to endpoints cannot be made.

use crate::common::active_endpoint;
use crate::support::one_of_many_nodes;
use wheelpath::policy::AttemptOutcome;

/// Guards against nodes that seldom send a request but keep idle connections, so that an endpoint has none left for
/// other nodes. Also guards against a single unreachable endpoint that gets all idle connections closed.
#[test]
fn idle_connections_are_closed_when_connections_are_scarce() {
    let mut node = one_of_many_nodes(20);
    // One unreachable endpoint of twenty does not make connections scarce.
    for n in 0..200 {
        let id = node.request(0, Some(n));
        node.wait(10.0);
        let is_unreachable = node.endpoint_of(id) == Some(active_endpoint(1).endpoint);
        node.end_attempt(
            id,
            if is_unreachable { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Answered },
        );
        node.end_attempt(id, AttemptOutcome::Answered);
        node.wait(50.0);
    }
    assert!(node.idle_closed_at_ms.is_empty(), "{:?}", node.idle_closed_at_ms);
    // Failed connections at all endpoints do: idle connections are closed, and so are those that become idle later.
    for n in 0..60 {
        let id = node.request(0, Some(n));
        node.wait(10.0);
        node.end_attempt(
            id,
            if n % 2 == 0 { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Answered },
        );
        node.end_attempt(id, AttemptOutcome::Answered);
        node.wait(50.0);
    }
    assert!(
        node.idle_closed_at_ms.len() >= 19,
        "closed at {} of 20 endpoints",
        node.idle_closed_at_ms.len()
    );
    assert!(node.log_lines.iter().any(|line| line.starts_with("connections are scarce")));
}
