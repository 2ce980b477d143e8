//! Two things at one moment: a signal, a close, an answer or a time-out meets a request between two of its steps.
mod node;

use node::*;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;

/// A node before `count` endpoints that act by `script`.
fn start(
    count: usize,
    script: impl Fn(usize, &Message) -> ScriptedResponse + Send + Sync + 'static,
) -> (Node, RequestRecord, DiscoveryStub) {
    let record = RequestRecord::default();
    let addresses = start_endpoints(count, &record, script);
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    (node, record, discovery)
}

/// Sees that a node which was told to stop ends by itself.
fn ends(mut node: Node) -> String {
    assert!(node.wait_for_exit().success());
    node.log()
}

#[test]
fn a_request_on_an_idle_connection_that_races_sigterm_is_answered() {
    let (node, record, _discovery) = start(1, |_, _| ok(b"x"));
    let mut resting: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
    for client in &mut resting {
        assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
    }
    node.while_suspended(|| {
        for client in &mut resting {
            assert!(client.send(&request("bid", 900)));
        }
        node.terminate();
    });
    for client in &mut resting {
        assert_eq!(client.read_response().map(|m| m.status()), Some(200));
    }
    ends(node);
    assert_eq!(record.count(), 16);
}

#[test]
fn a_request_before_the_idle_timeout_is_answered_even_if_it_is_seen_late() {
    for _ in 0..3 {
        let (node, _record, _discovery) = start(1, |_, _| ok(b"x"));
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
        for client in &mut clients {
            assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
        }
        node.while_suspended(|| {
            for client in &mut clients {
                assert!(client.send(&request("bid", 900)));
            }
            // Longer than a connection may rest, and longer than who waits has another look's time.
            thread::sleep(Duration::from_millis(2600));
        });
        let statuses: Vec<u16> =
            clients.iter_mut().filter_map(|c| c.read_response()).map(|m| m.status()).collect();
        assert_eq!(statuses, [200; 8]);
    }
}

#[test]
fn a_connection_that_races_sigterm_is_answered() {
    let (node, _record, _discovery) = start(1, |_, _| ok(b"x"));
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
    ends(node);
}

#[test]
fn a_connection_made_while_a_terminated_node_is_suspended_is_answered() {
    for _ in 0..4 {
        let (node, _record, _discovery) = start(1, |_, _| ok(b"x"));
        node.terminate();
        // From its notice on every answer closes its connection.
        wait_for("it has heard", || {
            let up = Client::connect(node.address).send_and_receive(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n");
            up.header("connection") == Some("close")
        });
        let mut clients = node.while_suspended(|| {
            let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
            for client in &mut clients {
                assert!(client.send(&request("page", 4000)));
            }
            // Longer than new connections are waited for.
            thread::sleep(Duration::from_millis(1700));
            clients
        });
        let statuses: Vec<u16> =
            clients.iter_mut().filter_map(|c| c.read_response()).map(|m| m.status()).collect();
        assert_eq!(statuses, [200; 8]);
        ends(node);
    }
}

#[test]
fn a_half_read_request_at_sigterm_is_answered() {
    // Cut in the head and in the body.
    for cut in [20, 170] {
        let (node, _record, _discovery) = start(1, |_, _| ok(b"x"));
        let mut client = Client::connect(node.address);
        assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
        let bytes = request("bid", 900);
        let (first, rest) = bytes.split_at(cut.min(bytes.len() - 2));
        assert!(client.send(first));
        assert_eq!(node.readiness_status(), 200, "it has had a turn to read that in");
        node.while_suspended(|| {
            node.terminate();
            assert!(client.send(rest));
        });
        assert_eq!(client.read_response().map(|m| m.status()), Some(200), "cut at {cut}");
        ends(node);
    }
}

#[test]
fn requests_in_flight_or_repeated_at_sigterm_get_one_answer() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    // Each request's first attempt fails once the node has been told; its second is served.
    let (node, record, _discovery) = start(3, move |n, _| {
        if n < 2 {
            ScriptedResponse::SendWhenOpen(held.clone(), response("500 Late", "", b""))
        } else {
            ok(b"x")
        }
    });
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("page", 4000)));
    }
    wait_for("all are out", || record.count() == 2);
    node.while_suspended(|| {
        node.terminate();
        gate.open(2);
    });
    let statuses: Vec<u16> =
        clients.iter_mut().filter_map(|c| c.read_response()).map(|m| m.status()).collect();
    assert_eq!(statuses, [200; 2]);
    assert_eq!(record.count(), 4);
    ends(node);
}

#[test]
fn sighup_and_sigterm_at_one_moment_lose_nothing() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let (mut node, record, discovery) =
        start(1, move |_, _| ScriptedResponse::SendWhenOpen(held.clone(), response("200 OK", "", b"x")));
    let second = DiscoveryStub::start(Vec::new());
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("bid", 900)));
    wait_for("it is out", || record.count() == 1);
    let own = node.pid();
    node.reload_and_terminate_while_suspended(second.address);
    gate.open(1);
    assert_eq!(client.read_response().map(|m| m.status()), Some(200));
    assert_eq!(own, node.pid());
    drop(discovery);
    ends(node);
}

#[test]
fn a_request_that_races_the_close_of_an_idle_upstream_connection_is_served() {
    let (node, record, _discovery) = start(1, |n, _| {
        let answer = response("200 OK", "", b"x");
        if n == 0 { ScriptedResponse::SendAndCloseLater(answer) } else { ScriptedResponse::Send(answer) }
    });
    let mut client = Client::connect(node.address);
    assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
    node.while_suspended(|| {
        wait_for("the endpoint has closed it", || record.connections_closed.load(SeqCst) == 1);
        assert!(client.send(&request("bid", 900)));
    });
    assert_eq!(client.read_response().map(|m| m.status()), Some(200));
}

#[test]
fn a_response_that_arrives_at_the_timeout_is_delivered() {
    for _ in 0..6 {
        let gate = Arc::new(Gate::default());
        let held = gate.clone();
        let (node, record, _discovery) = start(1, move |_, _| {
            ScriptedResponse::SendWhenOpen(held.clone(), response("200 OK", "", b"x"))
        });
        let mut client = Client::connect(node.address);
        // The attempt's time is that of the aim, 500 ms; the client waits for longer.
        assert!(client.send(&request("bid", 900)));
        wait_for("it is out", || record.count() == 1);
        node.while_suspended(|| {
            gate.open(1);
            thread::sleep(Duration::from_millis(550));
        });
        assert_eq!(client.read_response().map(|m| m.status()), Some(200), "the answer was thrown away");
    }
}

#[test]
fn a_client_disconnect_that_races_a_failed_attempt_starts_no_other() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let (node, record, _discovery) = start(3, move |n, m| match m.first_line.starts_with("GET") {
        true if n < 6 => ScriptedResponse::SendWhenOpen(held.clone(), response("500 Late", "", b"")),
        _ => ok(b"x"),
    });
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("page", 4000)));
    }
    wait_for("all are out", || record.count() == 6);
    node.while_suspended(|| {
        drop(clients);
        gate.open(6);
    });
    for _ in 0..5 {
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    }
    let seen = record.requests.lock().unwrap();
    let pages = seen.iter().filter(|m| m.first_line.starts_with("GET")).count();
    assert_eq!(pages, 6, "a further attempt for one that has left");
}

#[test]
fn a_client_that_left_before_it_was_accepted_causes_no_attempt() {
    let (node, record, _discovery) = start(1, |_, _| ok(b"x"));
    node.while_suspended(|| {
        for _ in 0..10 {
            let mut leaver = Client::connect(node.address);
            assert!(leaver.send(&request("page", 4000)));
        }
    });
    for _ in 0..5 {
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    }
    assert_eq!(record.count(), 5, "sent on for one that had left");
}

#[test]
fn a_disable_during_the_connect_withholds_the_attempt() {
    let (listener, address) = listener_with_backlog_of_one();
    let filler = Client::connect(address);
    let discovery = DiscoveryStub::start(all_up(&[address]));
    let console = free_address();
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        c["console"] = json!(console.to_string());
    });
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("a handshake is under way", || has_tcp_socket_in_state(address, SYN_SENT));
    assert!(node.admin_command("disable-server s-0").starts_with("done"));
    let (first, _) = listener.accept().unwrap();
    drop((first, filler));
    assert_eq!(accept_and_read_to_end(&listener), "", "sent to one out of service");
    assert_eq!(client.read_response().unwrap().status(), 503);
}

#[test]
fn a_repeat_that_connects_after_the_deduplication_window_is_not_sent() {
    const REMEMBERED: Duration = Duration::from_millis(400);
    // One endpoint runs the request and breaks; the connection to the other comes up late.
    let (listener, late) = listener_with_backlog_of_one();
    let filler = Client::connect(late);
    let record = RequestRecord::default();
    let breaks = start_endpoint(&record, |_, _| ScriptedResponse::SendAndClose(Vec::new()));
    let discovery = DiscoveryStub::start(all_up(&[breaks, late]));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["objectiveMs"] = 3500.into();
            class["keyTtlMs"] = (REMEMBERED.as_millis() as u64).into();
        }
    });
    // Whose first candidate is the late one waits for its connection; the first other one is the case.
    let mut clients = Vec::new();
    for n in 1.. {
        let mut client = Client::connect(node.address);
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: late-{n}\r\nX-Qos: pay\r\nX-Object: o{n}\r\n\
             X-Expires-In-Ms: 4000\r\nIdempotency-Key: k{n}\r\nContent-Length: 4\r\n\r\nbody"
        );
        assert!(client.send(head.as_bytes()));
        clients.push(client);
        wait_for("a handshake for each request", || count_tcp_sockets_in_state(late, SYN_SENT) == n);
        if record.count() == 1 {
            break;
        }
    }
    thread::sleep(REMEMBERED);
    // Whoever still asks for a connection gets it now, and would be served.
    let served = RequestRecord::default();
    serve_endpoint(listener.into(), &served, Arc::new(|_, _| ok(b"x")));
    let case = clients.last_mut().and_then(Client::read_response);
    assert_eq!(case.map(|m| m.status()), Some(503), "sent again after its key was forgotten");
    drop(filler);
}
