//! Tests what the node forwards of a request and its response, and how the node ends a request.
//!
//! Whether a request is repeated after a failed attempt depends on its class and on whether the endpoint may have
//! executed it.
mod node;

use node::*;
use std::sync::Mutex;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let record = RequestRecord::default();
    let body: Vec<u8> = (0..=255_u8).cycle().take(60_000).collect();
    let scripted_body = body.clone();
    let addresses = start_endpoints(1, &record, move |_, _| ok(&scripted_body));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let request = b"POST /api?lot=7&x=%20y HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\n\
        X-Qos: pay\r\nX-Expires-In-Ms: 2000\r\nIdempotency-Key: 5c0f\r\nContent-Length: 6\r\n\r\n\x00\xff\r\n\r\n";
    let mut client = Client::connect(node.address);
    for _ in 0..3 {
        let response = client.send_and_receive(request);
        assert_eq!(response.status(), 200);
        assert!(response.body == body, "the response body was changed");
        wait_until_connection_is_reusable();
    }
    let requests = record.requests.lock().unwrap();
    assert_eq!(requests[0].first_line, "POST /api?lot=7&x=%20y HTTP/1.1");
    assert_eq!(requests[0].body, b"\x00\xff\r\n\r\n");
    assert_eq!(requests[0].header("x-trace-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(requests[0].header("idempotency-key"), Some("5c0f"));
    let timeout_ms: u64 = requests[0].header("x-expires-in-ms").unwrap().parse().unwrap();
    assert!((1..2000).contains(&timeout_ms), "forwarded X-Expires-In-Ms: {timeout_ms}");
    assert_eq!(record.open_connections(), 1, "the requests did not share one connection");
}

/// Sends one request to a node with three endpoints. The first attempt gets `first_response`, any further attempt a
/// response with status 200. Returns the status that the client receives, and the number of attempts that reached an
/// endpoint.
fn request_with_first_response(class: &str, first_response: ScriptedResponse) -> (u16, usize) {
    let record = RequestRecord::default();
    let addresses =
        start_endpoints(
            3,
            &record,
            move |n, _| {
                if n == 0 { first_response.clone() } else { ok(b"second") }
            },
        );
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let response = send_request(node.address, &request(class, 900));
    if response.status() == 200 {
        assert_eq!(response.body, b"second");
    }
    (response.status(), record.count())
}

/// Responses after which the endpoint may have executed the request, with a description of each.
///
/// Only a 503 or 504 with `X-Never-Ran: 1` would state that it has not.
fn responses_after_possible_execution() -> Vec<(&'static str, ScriptedResponse)> {
    vec![
        ("500", ScriptedResponse::Send(response("500 Internal Server Error", "", b""))),
        ("500 with X-Never-Ran", ScriptedResponse::Send(response("500 No", "X-Never-Ran: 1\r\n", b""))),
        ("503 without X-Never-Ran", ScriptedResponse::Send(response("503 Service Unavailable", "", b""))),
        (
            "404 with X-Never-Ran",
            ScriptedResponse::Send(response("404 Not Found", "X-Never-Ran: 1\r\n", b"")),
        ),
        ("connection closed before the response", ScriptedResponse::SendAndClose(Vec::new())),
        ("connection closed within the head", ScriptedResponse::SendAndClose(b"HTTP/1.1 200 O".to_vec())),
        (
            "connection closed within the body",
            ScriptedResponse::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_vec()),
        ),
        ("not HTTP", ScriptedResponse::SendAndClose(b"what?\r\n\r\n".to_vec())),
        (
            "body over the limit of 32 MiB",
            ScriptedResponse::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nx".to_vec()),
        ),
    ]
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_repeated() {
    for (description, first_response) in responses_after_possible_execution() {
        let (status, attempts) = request_with_first_response("bid", first_response);
        assert_eq!((status, attempts), (502, 1), "{description}");
    }
}

#[test]
fn an_idempotent_or_deduplicated_request_that_may_have_run_is_repeated() {
    for (description, first_response) in responses_after_possible_execution() {
        for class in ["page", "pay"] {
            let result = request_with_first_response(class, first_response.clone());
            assert_eq!(result, (200, 2), "{description}, {class}");
        }
    }
}

#[test]
fn a_request_that_never_ran_is_repeated_in_every_class() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        for class in ["page", "bid", "pay"] {
            let first_response = ScriptedResponse::Send(response(status, "X-Never-Ran: 1\r\n", b""));
            assert_eq!(request_with_first_response(class, first_response), (200, 2), "{status}, {class}");
        }
    }
}

#[test]
fn a_non_idempotent_request_is_repeated_after_a_refused_connection() {
    let record = RequestRecord::default();
    let mut addresses = start_endpoints(2, &record, |_, _| ok(b"live"));
    addresses.push(free_address());
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    for n in 0..12 {
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200, "request {n}");
    }
    assert_eq!(record.count(), 12);
}

#[test]
fn a_non_idempotent_request_to_a_silent_endpoint_fails_at_its_deadline_without_a_repeat() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| ScriptedResponse::Silent);
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let sent_at = Instant::now();
    let response = send_request(node.address, &request("bid", 300));
    assert_eq!(response.status(), 502);
    // The client waits for 300 ms; the rest is a margin for a busy machine.
    assert!(
        sent_at.elapsed() < Duration::from_millis(370),
        "the response came after the client's deadline"
    );
    assert_eq!(record.count(), 1);
    wait_for("the connection of the attempt closes", || record.open_connections() == 0);
}

#[test]
fn a_late_response_is_not_delivered() {
    // The first response comes 200 ms after the deadline of its request. It must not be taken for the response to the
    // next request of the same client.
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |n, _| {
        std::thread::sleep(Duration::from_millis(if n == 0 { 400 } else { 0 }));
        ok(format!("answer {n}").as_bytes())
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert_eq!(client.send_and_receive(&request("bid", 200)).status(), 502);
    let next = client.send_and_receive(&request("page", 2000));
    assert_eq!((next.status(), next.body), (200, b"answer 1".to_vec()));
}

#[test]
fn a_connection_that_its_endpoint_has_closed_is_not_reused() {
    // The endpoint closes each connection after the response, but does not announce it by `Connection: close`.
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| {
        ScriptedResponse::SendAndCloseLater(response("200 OK", "", b"bye"))
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    for n in 1..=5 {
        assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
        wait_for("the endpoint closes the connection", || record.connections_closed.load(SeqCst) == n);
        // The endpoint has closed its socket, but the close may not have reached the node's socket yet.
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn without_a_usable_endpoint_requests_are_rejected_at_once_with_retry_after() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b""));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the node knows of the drain", || node.readiness_status() == 503);
    for class in ["page", "bid", "pay"] {
        let sent_at = Instant::now();
        let response = send_request(node.address, &request(class, 900));
        assert_eq!(response.status(), 503, "{class}");
        let retry_after_s: f64 =
            response.header("retry-after").expect("a Retry-After header").parse().unwrap();
        assert!(retry_after_s > 0.0 && retry_after_s <= 2.0, "Retry-After is {retry_after_s} s");
        assert!(sent_at.elapsed() < Duration::from_millis(450), "the rejection was delayed");
    }
    assert_eq!(record.count(), 0);
}

#[test]
fn a_client_disconnect_cancels_the_attempt() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| ScriptedResponse::Silent);
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt reaches an endpoint", || record.count() == 1);
    drop(client);
    let disconnected_at = Instant::now();
    wait_for("the connection of the attempt closes", || record.open_connections() == 0);
    assert!(
        disconnected_at.elapsed() < Duration::from_millis(900),
        "the attempt was not cancelled before its timeout"
    );
    assert_eq!(record.count(), 1);
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// The client closes only its sending side, and could still receive a response.
    ShutdownWrite,
}

/// Disconnects a client. Returns it if it has closed only its sending side: the rest of the connection stays open
/// until the caller drops the client.
fn disconnect(client: Client, how: Disconnect) -> Option<Client> {
    let socket = socket2::SockRef::from(&client.stream);
    match how {
        Disconnect::Close => {}
        Disconnect::Reset => socket.set_linger(Some(Duration::ZERO)).unwrap(),
        Disconnect::ShutdownWrite => {
            socket.shutdown(std::net::Shutdown::Write).unwrap();
            return Some(client);
        }
    }
    None
}

#[test]
fn no_further_attempt_is_sent_for_a_client_that_has_disconnected() {
    for how in [Disconnect::Close, Disconnect::Reset, Disconnect::ShutdownWrite] {
        // Each attempt fails only after 500 ms. If the node does not notice the disconnect by then, it sends a second
        // attempt to another endpoint.
        let record = RequestRecord::default();
        let delayed_error = || {
            ScriptedResponse::SendInTwoParts(
                Vec::new(),
                Duration::from_millis(500),
                response("500 Late", "", b""),
            )
        };
        let addresses = start_endpoints(3, &record, move |_, _| delayed_error());
        let discovery = DiscoveryStub::start(all_up(&addresses));
        let node = Node::start(discovery.address, |_| {});
        let mut client = Client::connect(node.address);
        assert!(client.send(&request("page", 4000)));
        wait_for("the first attempt reaches an endpoint", || record.count() == 1);
        // A pipelined request, whose unread bytes must not hide the disconnect behind them.
        assert!(client.send(&request("page", 4000)));
        let half_open_client = disconnect(client, how);
        wait_for("the connection of the attempt closes", || record.open_connections() == 0);
        // Once another client has its response, the node has handled everything that came before.
        let other_response = send_request(node.address, &request("bid", 900));
        assert_eq!(other_response.status(), 502, "{how:?}");
        assert_eq!(record.count(), 2, "{how:?}: expected the first attempt and that of the other client");
        drop(half_open_client);
    }
}

#[test]
fn a_client_disconnect_during_the_connect_withholds_the_attempt() {
    let (listener, address) = listener_with_backlog_of_one();
    // Fills the accept queue, so that the node's handshake does not complete.
    let filler = Client::connect(address);
    let discovery = DiscoveryStub::start(all_up(&[address]));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        // The balancer does not cancel the attempt: only the check before its first byte can withhold it.
        c["settings"]["limits"]["mayCancel"] = false.into();
    });
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("a handshake is in progress", || has_tcp_socket_in_state(address, SYN_SENT));
    // A pipelined request: a node that reads no further than the first request does not see the close behind it.
    assert!(client.send(&request("page", 4000)));
    drop(client);
    // Answered readiness checks show that the node has polled its clients' connections since.
    for _ in 0..20 {
        assert_eq!(node.readiness_status(), 200);
    }
    // Accepting the filler frees its place in the accept queue, so that the node's handshake completes.
    let (accepted_filler, _) = listener.accept().unwrap();
    drop((accepted_filler, filler));
    assert_eq!(accept_and_read_to_end(&listener), "", "the request of a disconnected client was sent");
}

#[test]
fn idle_connections_are_not_reused_beyond_the_age_at_which_they_break() {
    // The endpoint, like some devices on the path, drops a connection that has been idle for this time without
    // notice: it closes the connection only when the next request comes. A request that must not be repeated is then
    // lost, so the node has to learn the age up to which connections can be reused.
    const IDLE_TIMEOUT: Duration = Duration::from_millis(100);
    let record = RequestRecord::default();
    // The number of connections opened until the last request, and the time of that request.
    let (opened, last_request) = (record.connections_opened.clone(), Mutex::new((0, Instant::now())));
    let addresses = start_endpoints(1, &record, move |_, message| {
        let mut last_request = last_request.lock().unwrap();
        let connections = opened.load(SeqCst);
        let is_reused = message.first_line.contains("/api") && last_request.0 == connections;
        let has_expired = is_reused && last_request.1.elapsed() > IDLE_TIMEOUT;
        *last_request = (connections, Instant::now());
        if has_expired { ScriptedResponse::SendAndClose(Vec::new()) } else { ok(b"x") }
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        // The pause before the trial of a congested endpoint is at least the longest objective, so a short objective
        // makes the test shorter.
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["objectiveMs"] = 300.into();
        }
    });
    let (mut served, mut failed) = (0, 0);
    while served < 40 {
        match send_request(node.address, &request("bid", 900)).status() {
            200 => served += 1,
            503 => {}
            _ => failed += 1,
        }
        assert!(failed <= 15, "{failed} requests failed, {served} were served");
        thread::sleep(2 * IDLE_TIMEOUT);
    }
    // Connections that have been idle for less time are still reused.
    let opened_before = record.connections_opened.load(SeqCst);
    for _ in 0..40 {
        send_request(node.address, &request("bid", 900));
        thread::sleep(Duration::from_millis(15));
    }
    let new_connections = record.connections_opened.load(SeqCst) - opened_before;
    assert!(new_connections <= 30, "{new_connections} new connections for 40 requests");
}
