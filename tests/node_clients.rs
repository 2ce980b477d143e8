//! Malformed requests, wrong settings, and too few descriptors for the clients: the node answers, logs the cause, and
//! keeps running.
mod node;

use node::*;
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

type ConfigEdit = fn(&mut Value);

#[test]
#[expect(clippy::too_many_lines, reason = "a table of malformed inputs and their answers")]
fn malformed_requests_are_rejected_without_an_endpoint() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b""));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let head = "Host: n\r\nX-Trace-Id: 1\r\n";
    let large = format!("POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nContent-Length: 33554433\r\n\r\n");
    let huge = format!("POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nContent-Length: 3000000000\r\n\r\n");
    // Request smuggling: with both framing headers, one HTTP implementation may take the end of the body for another
    // request. Requests with both headers must be rejected in either order.
    let smuggled_request = "0\r\n\r\nPOST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 2\r\nX-Qos: bid\r\nContent-Length: 0\r\n\r\n";
    let with_both_framings = |framing: &str| {
        format!("POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\n{framing}\r\n{smuggled_request}")
    };
    let bid_with_headers =
        |headers: &str| format!("POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\n{headers}\r\nbody");
    let cases: Vec<(u16, String)> = vec![
        (400, "nonsense\r\n\r\n".to_owned()),
        (400, "\x00\x01\x02\r\n\r\n".to_owned()),
        (400, "GET /api HTTP/1.1\r\nHost: n\r\nContent-Length: many\r\n\r\n".to_owned()),
        (400, "GET /api HTTP/1.1\r\nHost: n\r\nX-Qos: page\r\n\r\n".to_owned()),
        (400, format!("POST /api HTTP/1.1\r\n{head}X-Qos: page\r\nContent-Length: 0\r\n\r\n")),
        (400, format!("GET /api HTTP/1.1\r\n{head}X-Qos: bid\r\n\r\n")),
        (
            400,
            format!(
                "POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
            ),
        ),
        (400, format!("POST /api HTTP/1.1\r\n{head}X-Qos: pay\r\nContent-Length: 0\r\n\r\n")),
        (400, format!("DELETE /api HTTP/1.1\r\n{head}X-Qos: other\r\n\r\n")),
        (404, format!("GET /apical HTTP/1.1\r\n{head}X-Qos: page\r\n\r\n")),
        (404, format!("POST / HTTP/1.1\r\n{head}X-Qos: bid\r\nContent-Length: 0\r\n\r\n")),
        (413, large),
        (413, huge),
        (400, with_both_framings("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n")),
        (400, with_both_framings("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")),
        (400, with_both_framings("CONTENT-length: 5\r\ntransfer-ENCODING: Chunked\r\n")),
        (400, bid_with_headers("Transfer-Encoding: chunked\r\n")),
        (411, bid_with_headers("")),
        (400, bid_with_headers("Content-Length: -4\r\n")),
        (400, bid_with_headers("Content-Length: 4\r\nContent-Length: 5\r\n")),
        (400, bid_with_headers("Content-Length: 99999999999999999999999\r\n")),
        (400, bid_with_headers("Content-Length: 4\r\nX-Expires-In-Ms: soon\r\n")),
        (400, bid_with_headers("Content-Length: 4\r\nX-Expires-In-Ms: -5\r\n")),
        (400, bid_with_headers("Content-Length: 4\r\nX-Expires-In-Ms: 99999999999999999999999\r\n")),
        (400, format!("POST /api HTTP/1.1\r\n{head}X-Qos: unheard-of\r\nContent-Length: 0\r\n\r\n")),
        (400, format!("GET /api HTTP/1.1\r\n{head}X-Qos: page\r\nContent-Length: 4\r\n\r\nbody")),
        (431, format!("GET /api HTTP/1.1\r\n{head}X-Long: {}", "x".repeat(100_000))),
    ];
    for (status, bytes) in cases {
        let received = try_request(node.address, bytes.as_bytes()).map(|m| m.status());
        assert_eq!(received, Some(status), "{:?}", bytes.get(..100.min(bytes.len())));
    }
    // One client closes without a request, and one after half a request.
    drop(Client::connect(node.address));
    let mut half = Client::connect(node.address);
    half.send(b"POST /api HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: bid\r\nContent-Length: 10\r\n\r\nabc");
    drop(half);
    assert_eq!(record.count(), 0);
    assert!(node.is_running());
}

#[test]
fn the_log_counts_rejected_requests_by_reason() {
    let discovery = DiscoveryStub::start(Vec::new());
    for (headers, reason) in [
        ("X-Qos: bid\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n", "both a length and chunks"),
        ("X-Qos: other\r\nContent-Length: 0\r\n", "X-Qos names no class"),
    ] {
        let mut node = Node::launch(discovery.address, |_| {}, "exec \"$0\"");
        wait_for("the node listens", || node.readiness_status() == 503);
        let text = format!("POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 1\r\n{headers}\r\n0\r\n\r\n");
        assert_eq!(try_request(node.address, text.as_bytes()).map(|m| m.status()), Some(400));
        node.terminate();
        assert!(node.wait_for_exit().success());
        assert!(node.log().contains(&format!("rejected: 1 {reason:?}")), "{reason}");
    }
}

#[test]
fn a_rejected_body_is_read_so_that_the_response_arrives() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b""));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    // Closing a socket with unread bytes resets the connection, and the client loses a response that is on its way.
    let cases = [
        (413, "/api", "X-Trace-Id: 1\r\nX-Qos: bid\r\n", 40_000_000, 600_000),
        (404, "/other", "", 60_000, 60_000),
        (400, "/api", "X-Qos: bid\r\n", 60_000, 60_000),
        (400, "/api", "X-Trace-Id: 1\r\nX-Qos: page\r\n", 60_000, 60_000),
    ];
    for (status, path, headers, length, sent) in cases {
        for _ in 0..20 {
            let mut client = Client::connect(node.address);
            let head =
                format!("POST {path} HTTP/1.1\r\nHost: n\r\n{headers}Content-Length: {length}\r\n\r\n");
            assert!(client.send(head.as_bytes()));
            for part in vec![b'x'; sent].chunks(30_000) {
                assert!(client.send(part), "{status}: closed before the body was read");
                thread::sleep(Duration::from_micros(300));
            }
            assert_eq!(client.read_response().map(|m| m.status()), Some(status));
        }
    }
    assert_eq!(record.count(), 0);
}

#[test]
fn idle_clients_are_evicted_when_descriptors_are_scarce() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(4, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 64.into());
    // Three times as many connections as the node may have descriptors, all kept open by their clients.
    let mut clients = Vec::new();
    for n in 0..200 {
        let mut client = Client::connect(node.address);
        assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200, "client {n}");
        assert!(node.descriptor_count() <= 64, "{} descriptors", node.descriptor_count());
        clients.push(client);
    }
    assert_eq!(record.count(), 200);
}

/// Guards against a node that accepts only one connection in 10 ms, so that most clients wait until their deadline. In
/// a replay of recorded traffic, this happened when clients held all connections and one of them was always new, about
/// to send its first request.
#[test]
fn many_clients_with_one_request_each_are_served_without_delay() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(4, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 128.into());
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let mut open_clients = Vec::new();
                for _ in 0..250 {
                    let mut client = Client::connect(node.address);
                    assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200);
                    open_clients.push(client);
                }
            });
        }
    });
    assert_eq!(record.count(), 2000);
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
}

/// Guards against clients that send one request and then hold all connections that clients may have, as clients did
/// in the same replay.
#[test]
fn only_some_of_many_keep_alive_clients_are_kept() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(4, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 256.into());
    let send_and_stay_connected = |_| {
        let mut client = Client::connect(node.address);
        let response = client.send_and_receive(&request("page", 4000));
        assert_eq!(response.status(), 200);
        (response.header("connection") == Some("close"), client)
    };
    let clients: Vec<_> = (0..120).map(send_and_stay_connected).collect();
    assert!(clients[..20].iter().all(|(is_closed, _)| !is_closed), "a few connections must be kept open");
    assert!(clients[100..].iter().all(|(is_closed, _)| *is_closed), "later connections must be closed");
}

/// Clients that send a part of a request head and no more must not hold all descriptors meant for clients.
#[test]
fn unfinished_requests_do_not_lock_other_clients_out() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 44.into());
    let mut stuck: Vec<Client> = (0..100).map(|_| Client::connect(node.address)).collect();
    for client in &mut stuck {
        client.send(b"GET /api HT");
    }
    assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200);
    assert!(node.descriptor_count() <= 44, "{} descriptors", node.descriptor_count());
}

#[test]
fn a_lack_of_descriptors_is_not_blamed_on_endpoints() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| {
        thread::sleep(Duration::from_millis(600));
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 44.into());
    // The clients and their attempts need more descriptors than the node may have. It then closes clients that are slow
    // to send their first request; these get no response, which is correct.
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        client.send(&request("page", 3500));
    }
    let statuses: Vec<u16> = clients.iter_mut().filter_map(|c| Some(c.read_response()?.status())).collect();
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(statuses.iter().all(|s| matches!(s, 200 | 503)), "{statuses:?}");
    drop(clients);
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    assert!(!log.contains("congested") && !log.contains("scarce"), "{log}");
}

#[test]
fn a_very_low_descriptor_limit_neither_ends_the_node_nor_makes_it_spin() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let mut node = Node::launch(discovery.address, |_| {}, "ulimit -n 16; exec \"$0\"");
    wait_for("/up is 200", || node.readiness_status() == 200);
    // Each client sends half a request, so that none of them is idle. The node closes such clients after some time, or
    // to make room for others, so the test keeps connecting new ones to hold the node at its limit. The node is one
    // descriptor below the limit until a closed client is replaced.
    let mut held = Vec::new();
    let mut connect_unfinished = || {
        let mut client = Client::try_connect(node.address);
        client.as_mut().map(|c| c.send(b"GET /api HT"));
        held.extend(client);
    };
    (0..40).for_each(|_| connect_unfinished());
    wait_for("the node is at its descriptor limit", || {
        connect_unfinished();
        node.descriptor_count() >= 15
    });
    let before = node.cpu_ticks();
    for _ in 0..50 {
        connect_unfinished();
        thread::sleep(Duration::from_millis(10));
    }
    let used = node.cpu_ticks() - before;
    assert!(used < 20, "{used} of 50 CPU ticks used at the descriptor limit");
    assert!(node.is_running());
    drop(held);
    wait_for("the node serves again", || {
        try_request(node.address, &request("page", 900)).is_some_and(|m| m.status() == 200)
    });
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    assert!(log.contains("no descriptor"), "{log}");
    assert!(log.lines().count() < 30, "{} lines", log.lines().count());
}

#[test]
fn a_wrong_setting_is_named_and_ends_the_start() {
    let cases: [(&str, &str, ConfigEdit); 5] = [
        ("listen", "\"nowhere\"", |c| c["listen"] = "nowhere".into()),
        ("peers[1]", "not a string: 7", |c| c["peers"] = serde_json::json!(["127.0.0.1:1", 7])),
        ("limits.sockets", "\"many\"", |c| c["limits"]["sockets"] = "many".into()),
        ("rules.coldMs", "\"long\"", |c| c["settings"]["rules"]["coldMs"] = "long".into()),
        ("classes", "", |c| c["settings"]["classes"] = serde_json::json!([])),
    ];
    for (field, value, edit_config) in cases {
        let mut node = Node::launch(free_address(), edit_config, "exec \"$0\"");
        assert!(!node.wait_for_exit().success(), "{field}");
        let log = node.log();
        assert!(log.contains(field), "{field} is not named: {log}");
        assert!(log.contains(value), "{value} is not named: {log}");
    }
}

/// Up to 300 idle client connections to a node; each one that the node closes is replaced. Dropping this ends them.
struct IdleClients {
    should_stop: Arc<AtomicBool>,
    connector: Option<thread::JoinHandle<()>>,
}

impl IdleClients {
    fn connect(node: &Node) -> IdleClients {
        let should_stop = Arc::new(AtomicBool::new(false));
        let (address, connector_should_stop) = (node.address, should_stop.clone());
        let connector = thread::spawn(move || {
            let mut held = std::collections::VecDeque::new();
            while !connector_should_stop.load(Ordering::SeqCst) {
                if let Some(mut client) = Client::try_connect(address) {
                    // The node keeps a client that has sent a request longer than one that has not.
                    client.send(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n");
                    held.push_back(client);
                }
                if held.len() > 300 {
                    held.pop_front();
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        IdleClients { should_stop, connector: Some(connector) }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.should_stop.store(true, Ordering::SeqCst);
        self.connector.take().map(thread::JoinHandle::join);
    }
}

#[test]
fn idle_clients_do_not_take_the_descriptors_of_discovery_admin_and_endpoints() {
    // The limit in the configuration, and the limit of the system, which is lower in the second case.
    for (configured_limit, system_limit) in [(64, 64), (1024, 40)] {
        for mode in ["on_request", "pushed"] {
            let (draining, active) = (RequestRecord::default(), RequestRecord::default());
            let addresses =
                [start_endpoint(&draining, |_, _| ok(b"x")), start_endpoint(&active, |_, _| ok(b"x"))];
            let (discovery_address, admin_address) = (free_address(), free_address());
            let known = serde_json::json!({"rev": 1, "all": true, "targets": all_up(&addresses)});
            let node = Node::launch(
                discovery_address,
                |c| {
                    c["limits"]["sockets"] = configured_limit.into();
                    c["settings"]["membershipMode"] = mode.into();
                    c["console"] = admin_address.to_string().into();
                    c["known"] = known;
                },
                &format!("ulimit -n {system_limit}; exec \"$0\""),
            );
            wait_for("/up is 200", || node.readiness_status() == 200);
            // The node's own descriptors. Some are inherited, so their number differs between machines.
            let without_clients = (0..100).map(|_| node.descriptor_count()).min().unwrap_or_default();
            let idle_clients = IdleClients::connect(&node);
            // At the lower limit clients may have no more than these 6 descriptors.
            wait_for("idle clients hold all descriptors meant for clients", || {
                node.descriptor_count() >= without_clients + 6
            });
            // The discovery service becomes reachable, and one of its endpoints is draining.
            let mut targets = all_up(&addresses);
            targets[0] = target("s-0", addresses[0], "draining");
            let discovery = DiscoveryStub::start_at(discovery_address, targets.clone());
            discovery.set(targets);
            wait_until(Instant::now() + Duration::from_secs(6), "the node has polled and watches", || {
                // The second call is the watch that follows the answered poll.
                discovery.call_count() >= 2
            });
            assert_draining_endpoint_gets_no_requests(&node, &draining, &active);
            assert!(
                node.admin_command("disable-server s-1").starts_with("done"),
                "{configured_limit} {system_limit} {mode}"
            );
            assert_eq!(node.readiness_status(), 503);
            drop(idle_clients);
        }
    }
}
