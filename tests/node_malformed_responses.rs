//! Tests malformed responses, and valid responses with bytes before or after them that do not belong to them.
mod node;

use node::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Returns malformed responses, each with a description of its fault. They are sent on connections that stay open.
fn malformed_responses() -> Vec<(&'static str, Vec<u8>)> {
    let with_body = |head: &str| format!("HTTP/1.1 {head}\r\n\r\nbody").into_bytes();
    let chunked =
        |header: &str| format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n4\r\nbody\r\n0\r\n\r\n").into_bytes();
    vec![
        ("bytes that are not HTTP", (0..=255).cycle().take(600).collect()),
        ("no status", with_body("two hundred\r\nContent-Length: 4")),
        ("a header without a colon", with_body("200 OK\r\nContent-Length 4")),
        ("an endless head", ["HTTP/1.1 200 OK\r\nX-Long: ", &"x".repeat(400_000)].concat().into_bytes()),
        ("a length that is not a number", with_body("200 OK\r\nContent-Length: many")),
        ("a negative length", with_body("200 OK\r\nContent-Length: -4")),
        ("two lengths", with_body("200 OK\r\nContent-Length: 4\r\nContent-Length: 3")),
        ("both framings", with_body("200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked")),
        ("a body that is too short", with_body("200 OK\r\nContent-Length: 400")),
        ("an invalid chunk size", with_body("200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")),
        (
            "a body of 3 GB",
            [with_body("200 OK\r\nContent-Length: 3000000000"), vec![b'x'; 500_000]].concat(),
        ),
        ("a coding besides chunks", chunked("Transfer-Encoding: gzip, chunked")),
        ("a coding on a line of its own", chunked("Transfer-Encoding: GZIP\r\nTransfer-Encoding: chunked")),
        ("a coding after chunks", chunked("Transfer-Encoding: chunked, gzip")),
        ("a coding without chunks", with_body("200 OK\r\nTransfer-Encoding: gzip")),
        ("chunks within chunks", chunked("Transfer-Encoding: chunked, chunked")),
        ("a switch to another protocol", with_body("101 Switching Protocols\r\nUpgrade: other")),
    ]
}

#[test]
fn a_malformed_response_is_a_failed_attempt_that_may_have_run() {
    for (fault, bytes) in malformed_responses() {
        let record = RequestRecord::default();
        // The first response to each request is malformed, the second one is not.
        let addresses = start_endpoints(4, &record, move |n, _| {
            if n % 2 == 0 { ScriptedResponse::Send(bytes.clone()) } else { ok(b"good") }
        });
        let discovery = DiscoveryStub::start(all_up(&addresses));
        let mut node = Node::start(discovery.address, |_| {});
        // Far longer than the node takes to detect a malformed response, and less than an attempt's timeout (1.5 s).
        let max_response_time = Duration::from_millis(1200);
        for class in ["page", "pay"] {
            let (count_before, sent_at) = (record.count(), Instant::now());
            let response = send_request(node.address, &request(class, 4000));
            assert_eq!((response.status(), &response.body[..]), (200, &b"good"[..]), "{fault}, {class}");
            assert!(sent_at.elapsed() < max_response_time, "{fault}: {:?}", sent_at.elapsed());
            assert_eq!(record.count(), count_before + 2, "{fault}, {class}");
        }
        // A request that is not idempotent may have run, so it fails with 502 and is not repeated.
        let count_before = record.count();
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 502, "{fault}");
        assert_eq!(record.count(), count_before + 1, "{fault}");
        assert!(node.resident_memory_kb() < 48 * 1024, "{fault}: {} KiB", node.resident_memory_kb());
        node.terminate();
        assert!(node.wait_for_exit().success());
        assert!(!node.log().contains("congested"), "{fault}: an endpoint became congested");
    }
}

/// Guards against responses without an end that are taken for malformed ones, and against clients that take what came
/// for the whole response. An endpoint that pauses within a response of unknown length looks the same until it goes on,
/// so the node forwards what comes, and ends the client's connection early once the endpoint has stalled for 5 s.
#[test]
fn a_response_without_an_end_is_forwarded_and_ends_incomplete() {
    // Far longer than the time for which the node buffers a response, and less than an attempt's timeout (1.5 s).
    const MAX_TIME_TO_HEAD: Duration = Duration::from_millis(1200);
    const MAX_TIME_TO_END: Duration = Duration::from_secs(7);
    let no_length = &b"HTTP/1.1 200 OK\r\n\r\nbody"[..];
    let no_last_chunk = &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"[..];
    for bytes in [no_length, no_last_chunk] {
        let record = RequestRecord::default();
        let addresses = start_endpoints(4, &record, |_, _| ScriptedResponse::Send(bytes.to_vec()));
        let discovery = DiscoveryStub::start(all_up(&addresses));
        let mut node = Node::start(discovery.address, |_| {});
        let clients = ["page", "pay", "bid"].map(|class| {
            let (address, request) = (node.address, request(class, 900));
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                stream.write_all(&request).unwrap();
                let sent_at = Instant::now();
                let mut reader = BufReader::new(stream);
                let head = read_head(&mut reader).expect("a response head");
                let time_to_head = sent_at.elapsed();
                let mut rest = Vec::new();
                let end = reader.read_to_end(&mut rest);
                assert!(head.starts_with("http/1.1 200"), "{class}: {head}");
                assert!(time_to_head < MAX_TIME_TO_HEAD, "{class}: {time_to_head:?}");
                assert!(sent_at.elapsed() < MAX_TIME_TO_END, "{class}: {:?}", sent_at.elapsed());
                assert!(rest.windows(4).any(|window| window == b"body"), "{class}: {rest:?}");
                let lacks_end =
                    head.contains("transfer-encoding: chunked") && !rest.ends_with(b"0\r\n\r\n");
                assert!(
                    lacks_end && end.is_err(),
                    "{class}: the response looks complete: {rest:?}, {end:?}"
                );
            })
        });
        clients.into_iter().for_each(|client| client.join().unwrap());
        assert_eq!(record.count(), 3, "a request was sent again");
        assert!(node.resident_memory_kb() < 48 * 1024, "{} KiB", node.resident_memory_kb());
        node.terminate();
        assert!(node.wait_for_exit().success());
        assert!(!node.log().contains("congested"), "an endpoint became congested");
    }
}

#[test]
fn a_malformed_response_closes_no_other_connection() {
    // Three concurrent requests open three connections. The fourth request reuses one of them, and its response is
    // malformed.
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |n, _| {
        std::thread::sleep(Duration::from_millis(100));
        if n == 3 { ScriptedResponse::Send(b"noise, and no answer\r\n\r\n".to_vec()) } else { ok(b"x") }
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(node.address)).collect();
    clients.iter_mut().for_each(|c| assert!(c.send(&request("bid", 900))));
    clients.iter_mut().for_each(|c| assert_eq!(c.read_response().unwrap().status(), 200));
    let opened_before = record.connections_opened.load(Ordering::SeqCst);
    wait_until_connection_is_reusable();
    assert_eq!(send_request(node.address, &request("bid", 900)).status(), 502);
    wait_for("the connection with the malformed response closes", || {
        record.connections_closed.load(Ordering::SeqCst) >= 1
    });
    assert_eq!(record.connections_closed.load(Ordering::SeqCst), 1);
    assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200);
    assert_eq!(
        record.connections_opened.load(Ordering::SeqCst),
        opened_before,
        "a new connection was opened"
    );
}

#[test]
fn bytes_after_a_response_are_not_taken_for_the_next_response() {
    let expected_body = |n: usize| format!("answer {n}").into_bytes();
    let surplus_bytes: [Vec<u8>; 3] =
        [response("200 OK", "", b"answer of another"), b"\0\x01 noise".to_vec(), b"\r\n".to_vec()];
    for (is_delayed, surplus) in surplus_bytes.iter().flat_map(|s| [(false, s.clone()), (true, s.clone())])
    {
        let record = RequestRecord::default();
        let addresses = start_endpoints(1, &record, move |n, _| {
            let valid_response = response("200 OK", "", &expected_body(n));
            if is_delayed {
                ScriptedResponse::SendInTwoParts(valid_response, Duration::from_millis(2), surplus.clone())
            } else {
                ScriptedResponse::Send([valid_response, surplus.clone()].concat())
            }
        });
        let discovery = DiscoveryStub::start(all_up(&addresses));
        let node = Node::start(discovery.address, |_| {});
        let mut client = Client::connect(node.address);
        for n in 0..20 {
            let response = client.send_and_receive(&request("bid", 900));
            // The node reuses a connection from 10 ms after a response on. If a busy machine has delayed the surplus
            // bytes for so long, they may arrive after the next request, and look like the beginning of its response.
            if record.longest_pause_ms.load(Ordering::SeqCst) >= 10 {
                break;
            }
            assert_eq!(
                (response.status(), response.body),
                (200, expected_body(n)),
                "delayed: {is_delayed}"
            );
        }
    }
}

#[test]
fn interim_responses_and_malformed_load_reports_do_not_affect_the_response() {
    let record = RequestRecord::default();
    let interim_responses = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let reports =
        ["", "TEXT", "inflight", "TEXT inflight=-7, util=1e999, queue=NaN", "BIN \u{ff}", "a=b=c,,=;"];
    let addresses = start_endpoints(2, &record, move |n, _| {
        let report = format!("Endpoint-Load-Metrics: {}\r\n", reports[n % reports.len()]);
        let final_response = response("200 OK", &report, b"good");
        ScriptedResponse::Send([interim_responses.as_bytes(), &final_response].concat())
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    for via in ["none", "answers"] {
        let node = Node::start(discovery.address, |c| {
            c["settings"]["reporting"] =
                serde_json::json!({"via": via, "names": ["inflight", "queue", "util"]});
        });
        let mut client = Client::connect(node.address);
        for n in 0..3 * reports.len() {
            let response = client.send_and_receive(&request("bid", 900));
            assert_eq!((response.status(), &response.body[..]), (200, &b"good"[..]), "{via}, request {n}");
        }
    }
}
