//! Tests races between a request and a signal, a close, a response or a timeout.
//!
//! Most tests suspend the node while both events happen, so that it finds both in one turn of its event loop.
mod node;

use node::*;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;

/// Starts a node and `count` endpoints that respond as `script` says. Returns the node, the record of all endpoints and
/// the discovery service.
fn start_node_with_endpoints(
    count: usize,
    script: impl Fn(usize, &Message) -> ScriptedResponse + Send + Sync + 'static,
) -> (Node, RequestRecord, DiscoveryStub) {
    let record = RequestRecord::default();
    let addresses = start_endpoints(count, &record, script);
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    (node, record, discovery)
}

/// Waits until a node that has received SIGTERM exits, and asserts that it reports success. Returns its log.
fn wait_for_successful_exit(mut node: Node) -> String {
    assert!(node.wait_for_exit().success());
    node.log()
}

#[test]
fn a_request_on_an_idle_connection_that_races_sigterm_is_answered() {
    let (node, record, _discovery) = start_node_with_endpoints(1, |_, _| ok(b"x"));
    let mut idle_clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
    for client in &mut idle_clients {
        assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
    }
    node.while_suspended(|| {
        for client in &mut idle_clients {
            assert!(client.send(&request("bid", 900)));
        }
        node.terminate();
    });
    for client in &mut idle_clients {
        assert_eq!(client.read_response().map(|m| m.status()), Some(200));
    }
    wait_for_successful_exit(node);
    assert_eq!(record.count(), 16);
}

#[test]
fn a_request_sent_before_the_idle_timeout_is_answered_even_if_it_is_read_late() {
    for _ in 0..3 {
        let (node, _record, _discovery) = start_node_with_endpoints(1, |_, _| ok(b"x"));
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
        for client in &mut clients {
            assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
        }
        node.while_suspended(|| {
            for client in &mut clients {
                assert!(client.send(&request("bid", 900)));
            }
            // Longer than the node keeps an idle connection (2.2 s) plus the interval of its timeout checks (0.1 s).
            thread::sleep(Duration::from_millis(2600));
        });
        let statuses: Vec<u16> =
            clients.iter_mut().filter_map(|c| c.read_response()).map(|m| m.status()).collect();
        assert_eq!(statuses, [200; 8]);
    }
}

#[test]
fn a_request_on_a_new_connection_that_races_sigterm_is_answered() {
    let (node, _record, _discovery) = start_node_with_endpoints(1, |_, _| ok(b"x"));
    let mut clients = node.while_suspended(|| {
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
        node.terminate();
        for client in &mut clients {
            assert!(client.send(&request("bid", 900)));
        }
        clients
    });
    for client in &mut clients {
        assert_eq!(client.read_response().map(|m| m.status()), Some(200));
    }
    wait_for_successful_exit(node);
}

#[test]
fn a_request_on_a_connection_made_while_a_stopping_node_is_suspended_is_answered() {
    for _ in 0..4 {
        let (node, _record, _discovery) = start_node_with_endpoints(1, |_, _| ok(b"x"));
        node.terminate();
        // Once the node has handled SIGTERM, each response closes its connection.
        wait_for("the node has handled SIGTERM", || {
            let response =
                Client::connect(node.address).send_and_receive(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n");
            response.header("connection") == Some("close")
        });
        let mut clients = node.while_suspended(|| {
            let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
            for client in &mut clients {
                assert!(client.send(&request("page", 4000)));
            }
            // Longer than the node accepts connections after SIGTERM (at most 1.5 s).
            thread::sleep(Duration::from_millis(1700));
            clients
        });
        let statuses: Vec<u16> =
            clients.iter_mut().filter_map(|c| c.read_response()).map(|m| m.status()).collect();
        assert_eq!(statuses, [200; 8]);
        wait_for_successful_exit(node);
    }
}

#[test]
fn a_request_that_is_partly_read_at_sigterm_is_answered() {
    // The part that the node reads before SIGTERM ends within the head, or within the body.
    for first_part_bytes in [20, 170] {
        let (node, _record, _discovery) = start_node_with_endpoints(1, |_, _| ok(b"x"));
        let mut client = Client::connect(node.address);
        assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
        let bytes = request("bid", 900);
        let (first_part, rest) = bytes.split_at(first_part_bytes.min(bytes.len() - 2));
        assert!(client.send(first_part));
        // The answered readiness check shows that the node has had time to read the first part.
        assert_eq!(node.readiness_status(), 200);
        node.while_suspended(|| {
            node.terminate();
            assert!(client.send(rest));
        });
        assert_eq!(
            client.read_response().map(|m| m.status()),
            Some(200),
            "first part of {first_part_bytes} bytes"
        );
        wait_for_successful_exit(node);
    }
}

#[test]
fn requests_in_flight_or_repeated_at_sigterm_get_one_answer() {
    let gate = Arc::new(Gate::default());
    let script_gate = gate.clone();
    // The first attempt of each request fails after SIGTERM, and the second one is served.
    let (node, record, _discovery) = start_node_with_endpoints(3, move |n, _| {
        if n < 2 {
            ScriptedResponse::SendWhenOpen(script_gate.clone(), response("500 Late", "", b""))
        } else {
            ok(b"x")
        }
    });
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("page", 4000)));
    }
    wait_for("both requests reach an endpoint", || record.count() == 2);
    node.while_suspended(|| {
        node.terminate();
        gate.open(2);
    });
    let statuses: Vec<u16> =
        clients.iter_mut().filter_map(|c| c.read_response()).map(|m| m.status()).collect();
    assert_eq!(statuses, [200; 2]);
    assert_eq!(record.count(), 4);
    wait_for_successful_exit(node);
}

#[test]
fn a_request_in_flight_is_answered_if_sighup_and_sigterm_arrive_together() {
    let gate = Arc::new(Gate::default());
    let script_gate = gate.clone();
    let (mut node, record, discovery) = start_node_with_endpoints(1, move |_, _| {
        ScriptedResponse::SendWhenOpen(script_gate.clone(), response("200 OK", "", b"x"))
    });
    let second_discovery = DiscoveryStub::start(Vec::new());
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("bid", 900)));
    wait_for("the request reaches the endpoint", || record.count() == 1);
    let pid = node.pid();
    node.reload_and_terminate_while_suspended(second_discovery.address);
    gate.open(1);
    assert_eq!(client.read_response().map(|m| m.status()), Some(200));
    assert_eq!(pid, node.pid());
    drop(discovery);
    wait_for_successful_exit(node);
}

#[test]
fn a_request_that_races_the_close_of_an_idle_upstream_connection_is_served() {
    let (node, record, _discovery) = start_node_with_endpoints(1, |n, _| {
        let bytes = response("200 OK", "", b"x");
        if n == 0 { ScriptedResponse::SendAndCloseLater(bytes) } else { ScriptedResponse::Send(bytes) }
    });
    let mut client = Client::connect(node.address);
    assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
    node.while_suspended(|| {
        wait_for("the endpoint has closed the connection", || record.connections_closed.load(SeqCst) == 1);
        assert!(client.send(&request("bid", 900)));
    });
    assert_eq!(client.read_response().map(|m| m.status()), Some(200));
}

#[test]
fn a_response_received_before_the_timeout_is_delivered_even_if_it_is_read_late() {
    for _ in 0..6 {
        let gate = Arc::new(Gate::default());
        let script_gate = gate.clone();
        let (node, record, _discovery) = start_node_with_endpoints(1, move |_, _| {
            ScriptedResponse::SendWhenOpen(script_gate.clone(), response("200 OK", "", b"x"))
        });
        let mut client = Client::connect(node.address);
        // The attempt times out at the latency objective, after 500 ms; the client waits for 900 ms.
        assert!(client.send(&request("bid", 900)));
        wait_for("the request reaches the endpoint", || record.count() == 1);
        node.while_suspended(|| {
            gate.open(1);
            thread::sleep(Duration::from_millis(550));
        });
        assert_eq!(client.read_response().map(|m| m.status()), Some(200), "the response was discarded");
    }
}

#[test]
fn a_client_disconnect_that_races_a_failed_attempt_starts_no_further_attempt() {
    let gate = Arc::new(Gate::default());
    let script_gate = gate.clone();
    let (node, record, _discovery) =
        start_node_with_endpoints(3, move |n, m| match m.first_line.starts_with("GET") {
            true if n < 6 => {
                ScriptedResponse::SendWhenOpen(script_gate.clone(), response("500 Late", "", b""))
            }
            _ => ok(b"x"),
        });
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("page", 4000)));
    }
    wait_for("all requests reach an endpoint", || record.count() == 6);
    node.while_suspended(|| {
        drop(clients);
        gate.open(6);
    });
    for _ in 0..5 {
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    }
    let requests = record.requests.lock().unwrap();
    let page_attempts = requests.iter().filter(|m| m.first_line.starts_with("GET")).count();
    assert_eq!(page_attempts, 6, "a further attempt was sent for a disconnected client");
}

#[test]
fn a_client_that_disconnected_before_it_was_accepted_causes_no_attempt() {
    let (node, record, _discovery) = start_node_with_endpoints(1, |_, _| ok(b"x"));
    node.while_suspended(|| {
        for _ in 0..10 {
            let mut client = Client::connect(node.address);
            assert!(client.send(&request("page", 4000)));
        }
    });
    for _ in 0..5 {
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    }
    assert_eq!(record.count(), 5, "a request of a disconnected client was sent");
}

#[test]
fn a_disable_during_the_connect_withholds_the_attempt() {
    let (listener, address) = listener_with_backlog_of_one();
    // Fills the accept queue, so that the node's handshake does not complete.
    let filler = Client::connect(address);
    let discovery = DiscoveryStub::start(all_up(&[address]));
    let admin_address = free_address();
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        c["console"] = json!(admin_address.to_string());
    });
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("a handshake is in progress", || has_tcp_socket_in_state(address, SYN_SENT));
    assert!(node.admin_command("disable-server s-0").starts_with("done"));
    // Accepting the filler frees its place in the accept queue, so that the node's handshake completes.
    let (accepted_filler, _) = listener.accept().unwrap();
    drop((accepted_filler, filler));
    assert_eq!(accept_and_read_to_end(&listener), "", "the request was sent to a disabled endpoint");
    assert_eq!(client.read_response().unwrap().status(), 503);
}

#[test]
fn a_repeat_that_connects_after_the_deduplication_window_is_not_sent() {
    const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(400);
    // One endpoint reads the request and closes the connection, so the request may have run. The connection to the
    // other endpoint is established only after the deduplication window.
    let (listener, slow_to_connect) = listener_with_backlog_of_one();
    // Fills the accept queue, so that handshakes with this endpoint do not complete.
    let filler = Client::connect(slow_to_connect);
    let record = RequestRecord::default();
    let closing = start_endpoint(&record, |_, _| ScriptedResponse::SendAndClose(Vec::new()));
    let discovery = DiscoveryStub::start(all_up(&[closing, slow_to_connect]));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["objectiveMs"] = 3500.into();
            class["keyTtlMs"] = (DEDUPLICATION_WINDOW.as_millis() as u64).into();
        }
    });
    // Sends requests until one goes to the closing endpoint first, so that its repeat waits for the other endpoint.
    // The requests before it wait for that endpoint with their first attempt.
    let mut clients = Vec::new();
    for n in 1.. {
        let mut client = Client::connect(node.address);
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: late-{n}\r\nX-Qos: pay\r\nX-Object: o{n}\r\n\
             X-Expires-In-Ms: 4000\r\nIdempotency-Key: k{n}\r\nContent-Length: 4\r\n\r\nbody"
        );
        assert!(client.send(head.as_bytes()));
        clients.push(client);
        wait_for("a handshake for each request", || {
            count_tcp_sockets_in_state(slow_to_connect, SYN_SENT) == n
        });
        if record.count() == 1 {
            break;
        }
    }
    thread::sleep(DEDUPLICATION_WINDOW);
    // From here on, the other endpoint accepts connections, and would serve a request that is sent to it.
    let served = RequestRecord::default();
    serve_endpoint(listener.into(), &served, Arc::new(|_, _| ok(b"x")));
    let response = clients.last_mut().and_then(Client::read_response);
    assert_eq!(response.map(|m| m.status()), Some(503), "repeated after the deduplication window");
    drop(filler);
}
