//! One request and its one answer: what is passed on, and what each end of an attempt leads to by class.
mod node;

use node::*;
use std::sync::Mutex;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_response_is_forwarded_unchanged() {
    let record = RequestRecord::default();
    let body: Vec<u8> = (0..=255_u8).cycle().take(60_000).collect();
    let sent = body.clone();
    let addresses = start_endpoints(1, &record, move |_, _| ok(&sent));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let request = b"POST /api?lot=7&x=%20y HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\n\
        X-Qos: pay\r\nX-Expires-In-Ms: 2000\r\nIdempotency-Key: 5c0f\r\nContent-Length: 6\r\n\r\n\x00\xff\r\n\r\n";
    let mut client = Client::connect(node.address);
    for _ in 0..3 {
        let answer = client.send_and_receive(request);
        assert_eq!(answer.status(), 200);
        assert!(answer.body == body, "the body changed on its way");
        wait_until_connection_is_reusable();
    }
    let seen = record.requests.lock().unwrap();
    assert_eq!(seen[0].first_line, "POST /api?lot=7&x=%20y HTTP/1.1");
    assert_eq!(seen[0].body, b"\x00\xff\r\n\r\n");
    assert_eq!(seen[0].header("x-trace-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(seen[0].header("idempotency-key"), Some("5c0f"));
    let wait: u64 = seen[0].header("x-expires-in-ms").unwrap().parse().unwrap();
    assert!((1..2000).contains(&wait), "the endpoint is told to wait {wait} ms");
    assert_eq!(record.open_connections(), 1, "one connection serves one request after the other");
}

/// Plays one request whose first attempt ends by `first`; any further one would be served.
/// Gives the client's status and how many attempts were written.
fn play(class: &str, first: ScriptedResponse) -> (u16, usize) {
    let record = RequestRecord::default();
    let addresses =
        start_endpoints(3, &record, move |n, _| if n == 0 { first.clone() } else { ok(b"second") });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let answer = send_request(node.address, &request(class, 900));
    if answer.status() == 200 {
        assert_eq!(answer.body, b"second");
    }
    (answer.status(), record.count())
}

fn ends_that_may_have_run() -> Vec<(&'static str, ScriptedResponse)> {
    vec![
        ("500", ScriptedResponse::Send(response("500 Internal Server Error", "", b""))),
        (
            "500 that claims it never ran",
            ScriptedResponse::Send(response("500 No", "X-Never-Ran: 1\r\n", b"")),
        ),
        ("503 without proof", ScriptedResponse::Send(response("503 Service Unavailable", "", b""))),
        ("404", ScriptedResponse::Send(response("404 Not Found", "X-Never-Ran: 1\r\n", b""))),
        ("cut before the answer", ScriptedResponse::SendAndClose(Vec::new())),
        ("cut in the head", ScriptedResponse::SendAndClose(b"HTTP/1.1 200 O".to_vec())),
        (
            "cut in the body",
            ScriptedResponse::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_vec()),
        ),
        ("no HTTP", ScriptedResponse::SendAndClose(b"what?\r\n\r\n".to_vec())),
        (
            "a body over the limit",
            ScriptedResponse::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nx".to_vec()),
        ),
    ]
}

#[test]
fn a_not_idempotent_request_that_may_have_run_is_failed_and_not_repeated() {
    for (what, act) in ends_that_may_have_run() {
        let (status, attempts) = play("bid", act);
        assert_eq!((status, attempts), (502, 1), "{what}");
    }
}

#[test]
fn an_idempotent_or_deduplicated_request_that_may_have_run_is_repeated() {
    for (what, act) in ends_that_may_have_run() {
        for class in ["page", "pay"] {
            assert_eq!(play(class, act.clone()), (200, 2), "{what}, {class}");
        }
    }
}

#[test]
fn an_attempt_that_never_ran_is_repeated_for_every_class() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        for class in ["page", "bid", "pay"] {
            let act = ScriptedResponse::Send(response(status, "X-Never-Ran: 1\r\n", b""));
            assert_eq!(play(class, act), (200, 2), "{status}, {class}");
        }
    }
}

#[test]
fn a_refused_connection_proves_that_the_request_never_ran() {
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
fn a_silent_endpoint_costs_a_not_idempotent_request_its_time_and_no_repeat() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| ScriptedResponse::Silent);
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let begun = Instant::now();
    let answer = send_request(node.address, &request("bid", 300));
    assert_eq!(answer.status(), 502);
    // The deadline, and the slack of the rule: a busy machine may be late.
    assert!(begun.elapsed() < Duration::from_millis(370), "the client has gone by then");
    assert_eq!(record.count(), 1);
    wait_for("the attempt's connection closes", || record.open_connections() == 0);
}

#[test]
fn a_late_response_is_not_delivered() {
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
fn a_stale_connection_is_not_used() {
    // The endpoint closes after each answer without saying so.
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| {
        ScriptedResponse::SendAndCloseLater(response("200 OK", "", b"bye"))
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    for n in 1..=5 {
        assert_eq!(client.send_and_receive(&request("bid", 900)).status(), 200);
        wait_for("the endpoint closes", || record.connections_closed.load(SeqCst) == n);
        // The close is in the system's hands by now, not yet at the node.
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
    wait_for("the drain is known", || node.readiness_status() == 503);
    for class in ["page", "bid", "pay"] {
        let begun = Instant::now();
        let answer = send_request(node.address, &request(class, 900));
        assert_eq!(answer.status(), 503, "{class}");
        let wait: f64 = answer.header("retry-after").expect("Retry-After").parse().unwrap();
        assert!(wait > 0.0 && wait <= 2.0, "{wait} s");
        assert!(begun.elapsed() < Duration::from_millis(450), "held back");
    }
    assert_eq!(record.count(), 0);
}

#[test]
fn a_client_that_leaves_cancels_its_attempt() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(2, &record, |_, _| ScriptedResponse::Silent);
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt is out", || record.count() == 1);
    drop(client);
    let begun = Instant::now();
    wait_for("the attempt's connection closes", || record.open_connections() == 0);
    assert!(begun.elapsed() < Duration::from_millis(900), "only its time-out ended it");
    assert_eq!(record.count(), 1);
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Closes,
    Resets,
    EndsItsSending,
}

fn leave(client: Client, how: Leave) -> Option<Client> {
    let socket = socket2::SockRef::from(&client.stream);
    match how {
        Leave::Closes => {}
        Leave::Resets => socket.set_linger(Some(Duration::ZERO)).unwrap(),
        Leave::EndsItsSending => {
            socket.shutdown(std::net::Shutdown::Write).unwrap();
            return Some(client);
        }
    }
    None
}

#[test]
fn no_attempt_is_sent_for_a_client_that_has_left() {
    for how in [Leave::Closes, Leave::Resets, Leave::EndsItsSending] {
        // The first attempt fails half a second after it came: a second would be made elsewhere.
        let record = RequestRecord::default();
        let late = || {
            ScriptedResponse::SendInTwoParts(
                Vec::new(),
                Duration::from_millis(500),
                response("500 Late", "", b""),
            )
        };
        let addresses = start_endpoints(3, &record, move |_, _| late());
        let discovery = DiscoveryStub::start(all_up(&addresses));
        let node = Node::start(discovery.address, |_| {});
        let mut client = Client::connect(node.address);
        assert!(client.send(&request("page", 4000)));
        wait_for("the first attempt is out", || record.count() == 1);
        // Read behind that, and none of it as the client's end.
        assert!(client.send(&request("page", 4000)));
        let half = leave(client, how);
        wait_for("the attempt is called off", || record.open_connections() == 0);
        // Another's request shows that all is handled that came before.
        let other = send_request(node.address, &request("bid", 900));
        assert_eq!(other.status(), 502, "{how:?}");
        assert_eq!(record.count(), 2, "{how:?}: the first attempt and the other client's");
        drop(half);
    }
}

#[test]
fn a_client_that_leaves_during_the_connect_withholds_the_attempt() {
    let (listener, address) = listener_with_backlog_of_one();
    let filler = Client::connect(address);
    let discovery = DiscoveryStub::start(all_up(&[address]));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        c["settings"]["limits"]["mayCancel"] = false.into();
    });
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("a handshake is under way", || has_tcp_socket_in_state(address, SYN_SENT));
    // Pipelined bytes hide the close from who reads no further.
    assert!(client.send(&request("page", 4000)));
    drop(client);
    // The node has looked at its clients since.
    for _ in 0..20 {
        assert_eq!(node.readiness_status(), 200);
    }
    let (first, _) = listener.accept().unwrap();
    drop((first, filler));
    assert_eq!(accept_and_read_to_end(&listener), "", "sent on for one that has left");
}

#[test]
fn idle_connections_are_used_only_up_to_the_age_at_which_they_prove_good() {
    // Endpoints that drop what has been idle for a while, and say so only by a reset under the next request.
    const IDLE: Duration = Duration::from_millis(100);
    let record = RequestRecord::default();
    let (opened, last) = (record.connections_opened.clone(), Mutex::new((0, Instant::now())));
    let addresses = start_endpoints(1, &record, move |_, message| {
        let mut last = last.lock().unwrap();
        let connections = opened.load(SeqCst);
        let kept = message.first_line.contains("/api") && last.0 == connections;
        let stale = kept && last.1.elapsed() > IDLE;
        *last = (connections, Instant::now());
        if stale { ScriptedResponse::SendAndClose(Vec::new()) } else { ok(b"x") }
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        // Whoever is held congested gets its trial soon.
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
        assert!(failed <= 15, "{failed} failed, {served} served");
        thread::sleep(2 * IDLE);
    }
    // Those that were idle for less are used again.
    let before = record.connections_opened.load(SeqCst);
    for _ in 0..40 {
        send_request(node.address, &request("bid", 900));
        thread::sleep(Duration::from_millis(15));
    }
    let new = record.connections_opened.load(SeqCst) - before;
    assert!(new <= 30, "{new} connections for 40 requests");
}
