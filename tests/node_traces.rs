//! Tests what the log tells about one request, so that staff on call can follow it by its id.
mod node;

use node::*;
use std::process::Command;

/// Starts a node that logs the traces of all requests, and waits until it listens.
fn start_tracing_node(discovery: &DiscoveryStub) -> Node {
    let set_up = |command: &mut Command| {
        command.env("LB_TRACE", "all");
    };
    let node = Node::launch_with(discovery.address, |_| {}, set_up);
    wait_for("the node listens", || node.readiness_status() != 0);
    node
}

/// Guards against traces that do not tell an error status from a response that is malformed, stalls or comes too late:
/// all of them were logged as `error`.
#[test]
fn the_trace_of_a_request_says_why_a_response_was_no_answer() {
    let record = RequestRecord::default();
    let endpoint = start_endpoint(&record, |n, _| {
        ScriptedResponse::Send(match n {
            0 => response("500 Internal Server Error", "", b"failed"),
            1 => b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n".to_vec(),
            2 => b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nb".to_vec(),
            _ => b"HTTP/1.1 200 OK\r\n".to_vec(),
        })
    });
    let discovery = DiscoveryStub::start(all_up(&[endpoint]));
    let mut node = start_tracing_node(&discovery);
    wait_for("/up is 200", || node.readiness_status() == 200);
    // Only a request that may be repeated gives up a response that stalls, and there is no other endpoint here.
    for (class, status) in [("bid", 502), ("bid", 502), ("page", 503), ("bid", 502)] {
        assert_eq!(send_request(node.address, &request(class, 900)).status(), status);
    }
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    for fault in ["status 500", "malformed", "stalled", "incomplete in time"] {
        assert_eq!(log.matches(&format!("attempt 0 error ({fault}),")).count(), 1, "{fault}: {log}");
    }
}

/// Guards against closes and early rejections that leave no line: only their number was logged.
#[test]
fn the_log_names_the_request_behind_a_rejection_and_a_close() {
    let discovery = DiscoveryStub::start(all_up(&[]));
    let mut node = start_tracing_node(&discovery);
    let head = "GET /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: rejected-one\r\nX-Qos: unknown\r\n\r\n";
    assert_eq!(send_request(node.address, head.as_bytes()).status(), 400);
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    assert!(log.contains("request rejected-one: rejected, X-Qos names no class"), "{log}");
    assert!(log.contains("request rejected-one: connection closed, answered"), "{log}");
}
