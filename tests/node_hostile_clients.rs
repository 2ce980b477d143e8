//! Tests clients that are silent, stop reading, or send incomplete or invalid requests.
//!
//! The node must soon end the connection of such a client, with or without an error response. No invalid request may
//! reach an endpoint, and no such client may take memory or descriptors that the requests of other clients need.
mod node;

use node::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The time within which the node must end the connection of a hostile client, with a margin for a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Asserts that the node ends the connection without having served a request on it. An error response before the end
/// is allowed.
fn assert_connection_ends(client: &mut Client) {
    client.stream.set_read_timeout(Some(CLOSE_TIMEOUT)).unwrap();
    let mut received = Vec::new();
    // Only a timeout means that the connection is still open. A reset ends it, too.
    let read_result = client.stream.read_to_end(&mut received);
    let is_open = matches!(&read_result, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!is_open, "the connection is still open");
    let text = String::from_utf8_lossy(&received);
    assert!(!received.starts_with(b"HTTP/1.1 2"), "the request was served: {text:?}");
}

#[test]
fn silent_clients_and_incomplete_requests_are_ended_while_others_are_served() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let incomplete_requests: [&[u8]; 5] = [
        b"",
        b"GET /api HT",
        b"GET /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: a1\r\nX-Qos: page\r\nX-Expires-In-Ms: 4000\r\n",
        b"POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: a2\r\nX-Qos: pay\r\nIdempotency-Key: k\r\nX-Expires-In-Ms: 4000\r\nContent-Length: 9\r\n\r\nhalf",
        b"\x16\x03\x01\x02",
    ];
    let started_at = Instant::now();
    let mut hostile_clients: Vec<Client> = incomplete_requests
        .iter()
        .map(|bytes| {
            let mut client = Client::connect(node.address);
            assert!(client.send(bytes));
            client
        })
        .collect();
    let hostile_clients_ended = AtomicBool::new(false);
    thread::scope(|scope| {
        let regular_client = scope.spawn(|| {
            let mut served = 0;
            let mut client = Client::connect(node.address);
            while !hostile_clients_ended.load(Ordering::SeqCst) {
                assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200);
                served += 1;
            }
            served
        });
        hostile_clients.iter_mut().for_each(assert_connection_ends);
        hostile_clients_ended.store(true, Ordering::SeqCst);
        assert!(started_at.elapsed() < CLOSE_TIMEOUT);
        assert_eq!(regular_client.join().unwrap(), record.count());
    });
}

#[test]
fn clients_that_never_read_or_never_stop_sending_are_disconnected() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(&vec![b'x'; 60_000]));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let descriptors_before = node.settled_descriptor_count();
    // This client requests far more than the socket buffers hold, and reads nothing.
    let mut non_reading = Client::connect(node.address);
    non_reading.stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    (0..400).take_while(|_| non_reading.send(&request("page", 4000))).for_each(drop);
    let endpoint_connections = || record.open_connections() as usize;
    wait_for("the node closes the connection of the client that reads nothing", || {
        node.descriptor_count() <= descriptors_before + endpoint_connections()
    });
    // This client sends a body of 60 MB, which is over the limit of 32 MiB.
    let mut endless = Client::connect(node.address);
    let head =
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: b1\r\nX-Qos: bid\r\nContent-Length: 60000000\r\n\r\n";
    assert!(endless.send(head.as_bytes()));
    let started_at = Instant::now();
    let part = vec![b'x'; 1_000_000];
    (0..60).take_while(|_| endless.send(&part)).for_each(drop);
    assert_connection_ends(&mut endless);
    assert!(started_at.elapsed() < CLOSE_TIMEOUT);
    assert!(node.resident_memory_kb() < 48 * 1024, "{} KiB", node.resident_memory_kb());
}

#[test]
fn a_trace_id_is_rejected_while_another_request_with_it_is_open() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |n, _| {
        if n == 0 {
            thread::sleep(Duration::from_millis(300));
        }
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let first_request = request("page", 4000);
    let mut client = Client::connect(node.address);
    assert!(client.send(&first_request));
    wait_for("the request reaches an endpoint", || record.count() == 1);
    let rejection = send_request(node.address, &first_request);
    assert_eq!((rejection.status(), rejection.header("connection")), (409, Some("close")));
    assert_eq!(client.read_response().unwrap().status(), 200);
    assert_eq!(record.count(), 1);
    // Clients that disconnect before their request head is complete do not occupy its trace id either.
    let second_request = request("page", 4000);
    for _ in 0..3 {
        let mut client = Client::connect(node.address);
        assert!(client.send(&second_request[..second_request.len() - 2]));
        drop(client);
    }
    for bytes in [first_request, second_request] {
        assert_eq!(send_request(node.address, &bytes).status(), 200);
    }
}

#[test]
fn hundreds_of_hostile_clients_do_not_slow_others() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(4, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        c["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    });
    let mut regular_client = Client::connect(node.address);
    let mut hostile_clients = Vec::new();
    for round in 0..6 {
        for n in 0..100 {
            let mut client = Client::connect(node.address);
            // A third of the clients sends nothing, a third an incomplete request, and a third bytes that are not HTTP.
            client.send([&b""[..], b"POST /api HTTP/1.1\r\nX-", b"\0\0\r\n\r\n"][n % 3]);
            hostile_clients.push(client);
        }
        assert_eq!(regular_client.send_and_receive(&request("bid", 900)).status(), 200, "round {round}");
        wait_until_connection_is_reusable();
        assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200, "round {round}");
        assert!(node.descriptor_count() <= 256, "{} descriptors", node.descriptor_count());
        wait_until_connection_is_reusable();
        // When descriptors are scarce, the node closes connections of hostile clients, not connections to endpoints, so
        // it never has to open the latter again.
        assert!(record.connections_opened.load(Ordering::SeqCst) <= 4, "{:?}", record.connections_opened);
    }
    hostile_clients.iter_mut().for_each(assert_connection_ends);
    assert_eq!(record.count(), 12);
    assert!(node.resident_memory_kb() < 32 * 1024, "{} KiB", node.resident_memory_kb());
}

#[test]
fn request_bodies_take_no_more_than_their_share_of_memory() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(4, &record, |_, _| {
        thread::sleep(Duration::from_millis(200));
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["memory_mb"] = 1.into());
    let body = vec![b'x'; 60_000];
    // Clients that announce a body and do not send it take no memory from others.
    let mut withholding_clients: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
    for (n, client) in withholding_clients.iter_mut().enumerate() {
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: h{n}\r\nX-Qos: bid\r\nContent-Length: 60000\r\n\r\n"
        );
        assert!(client.send(head.as_bytes()));
    }
    assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    let mut clients: Vec<Client> = (0..12).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: c{n}\r\nX-Qos: bid\r\nX-Expires-In-Ms: 900\r\nContent-Length: 60000\r\n\r\n"
        );
        assert!(client.send(head.as_bytes()) && client.send(&body));
    }
    let responses: Vec<Message> = clients.iter_mut().map(|c| c.read_response().unwrap()).collect();
    let with_status = |status| responses.iter().filter(move |r| r.status() == status);
    assert!(with_status(200).count() >= 3, "{responses:?}");
    assert!(
        with_status(503).count() >= 1 && with_status(503).all(|r| r.header("retry-after").is_some()),
        "{responses:?}"
    );
    // Bodies release their memory at the end of their requests.
    wait_for("there is memory for a body again", || {
        let head =
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: d\r\nX-Qos: bid\r\nContent-Length: 60000\r\n\r\n";
        try_request(node.address, &[head.as_bytes(), &body].concat()).is_some_and(|m| m.status() == 200)
    });
}

/// Guards against a client that occupies the node with small pipelined requests: hundreds of them were answered before
/// the node looked at any other socket again, and others waited that long at each step of their requests.
#[test]
fn a_client_that_pipelines_small_requests_at_full_speed_does_not_delay_others() {
    const PIPELINED: &[u8] = b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n";
    // Without a turn for others, the node answers about 1000 requests in a row.
    const MAX_ANSWERED_MEANWHILE: usize = 500;
    const TRIES: usize = 50;
    let discovery =
        DiscoveryStub::start(all_up(&[start_endpoint(&RequestRecord::default(), |_, _| ok(b"x"))]));
    let node = Node::start(discovery.address, |_| {});
    let mut writer = TcpStream::connect(node.address).unwrap();
    let mut reader = writer.try_clone().unwrap();
    thread::spawn(move || while writer.write_all(&PIPELINED.repeat(500)).is_ok() {});
    let answered = Arc::new(AtomicUsize::new(0));
    let counter = answered.clone();
    thread::spawn(move || {
        let mut bytes = vec![0; 64 * 1024];
        while let Ok(length) = reader.read(&mut bytes)
            && length > 0
        {
            // Each head ends with an empty line.
            let heads = bytes[..length].windows(4).filter(|window| *window == b"\r\n\r\n").count();
            counter.fetch_add(heads, Ordering::SeqCst);
        }
    });
    wait_for("pipelined requests are answered", || answered.load(Ordering::SeqCst) > 1000);
    let mut answered_meanwhile: Vec<usize> = (0..TRIES)
        .map(|_| {
            let before = answered.load(Ordering::SeqCst);
            assert_eq!(node.readiness_status(), 200);
            answered.load(Ordering::SeqCst) - before
        })
        .collect();
    answered_meanwhile.sort_unstable();
    let median = answered_meanwhile[TRIES / 2];
    assert!(median < MAX_ANSWERED_MEANWHILE, "{median} pipelined requests were answered first");
}

/// Guards against a request that runs twice because its id comes again after its client had left: the id counted as free
/// from that moment on, while an endpoint still executed the first request.
#[test]
fn a_trace_id_whose_request_may_have_run_is_not_accepted_again() {
    let record = RequestRecord::default();
    let endpoint = start_endpoint(&record, |_, _| {
        thread::sleep(Duration::from_millis(300));
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&[endpoint]));
    let node = Node::start(discovery.address, |_| {});
    let abandoned = request("bid", 900);
    let mut client = Client::connect(node.address);
    assert!(client.send(&abandoned));
    wait_for("the request reaches the endpoint", || record.count() == 1);
    drop(client);
    // The second one comes long after the endpoint has executed the first.
    for pause in [Duration::from_millis(50), Duration::from_millis(600)] {
        thread::sleep(pause);
        let rejection = send_request(node.address, &abandoned);
        assert_eq!((rejection.status(), rejection.header("connection")), (409, Some("close")));
    }
    let answered = request("bid", 900);
    assert_eq!(send_request(node.address, &answered).status(), 200);
    assert_eq!(send_request(node.address, &answered).status(), 409);
    assert_eq!(record.count(), 2, "a request ran twice");
}

/// Guards the neighbour of that promise: an id is accepted again if no endpoint has seen its request, or if the request
/// may run twice.
#[test]
fn a_trace_id_whose_request_did_not_run_or_may_run_twice_is_accepted_again() {
    let record = RequestRecord::default();
    let endpoint = start_endpoint(&record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(Vec::new());
    let mut node = Node::launch(discovery.address, |_| {}, "exec \"$0\"");
    wait_for("the node listens", || node.readiness_status() == 503);
    let (unsafe_request, safe_request) = (request("bid", 900), request("page", 4000));
    assert_eq!(send_request(node.address, &unsafe_request).status(), 503);
    let with_endpoint = DiscoveryStub::start(all_up(&[endpoint]));
    node.reload(with_endpoint.address);
    wait_for("/up is 200", || node.readiness_status() == 200);
    for request in [&unsafe_request, &safe_request, &safe_request] {
        assert_eq!(send_request(node.address, request).status(), 200);
    }
    assert_eq!(record.count(), 3);
}

/// More pipelined requests than the receive buffer of the node's system takes, so that the client's close waits behind
/// them.
fn many_pipelined_requests() -> Vec<u8> {
    const COUNT: usize = 400;
    let padding = format!("X-Padding: {}\r\n\r\n", "x".repeat(1000));
    let padded = |bytes: Vec<u8>| [&bytes[..bytes.len() - 2], padding.as_bytes()].concat();
    (0..COUNT).flat_map(|_| padded(request("page", 4000))).collect()
}

/// Guards against a retry for a client that has left: its close waited behind its unread requests, and the node sent the
/// request again after the first attempt had failed.
#[test]
fn a_request_is_not_retried_after_its_client_left_behind_much_unread() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| {
        thread::sleep(Duration::from_millis(400));
        ScriptedResponse::Send(response("500 Internal Server Error", "", b""))
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert!(client.send(&many_pipelined_requests()));
    wait_for("the first request reaches an endpoint", || record.count() == 1);
    drop(client);
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(record.count(), 1, "a request was sent for a client that had left");
}

/// Guards against pipelined requests that are sent on one after another for a client that has left, until the node had
/// read all of them. Those that it reads meanwhile are refused, since it cannot see whether their client is still there.
#[test]
fn pipelined_requests_are_not_sent_on_after_their_client_left_behind_much_unread() {
    // An attempt may begin up to this time after the client has closed its connection.
    const MAX_DELAY: Duration = Duration::from_millis(100);
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| {
        thread::sleep(Duration::from_millis(30));
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert!(client.send(&many_pipelined_requests()));
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    thread::sleep(MAX_DELAY);
    let sent = record.count();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(record.count(), sent, "requests were sent for a client that had left");
    // A client that stays gets an answer to each, and the rest is served once the node can see the client again.
    let mut client = Client::connect(node.address);
    assert!(client.send(&many_pipelined_requests()));
    let statuses: Vec<u16> = (0..400).map(|_| client.read_response().unwrap().status()).collect();
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert_eq!(statuses.last(), Some(&200));
}
