//! Tests what becomes of requests with long bodies when endpoints turn them away, reset, hang or read slowly.
mod node;

use node::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// A body that is forwarded while it arrives, and is longer than its first part by more than the buffers of a connection
/// to an endpoint with small buffers.
const STREAMED_BODY_BYTES: usize = 200_000;

/// What an endpoint does with a request that it has read to the last byte.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AfterLastByte {
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without a response.
    Hang,
}

/// Returns a request of class `bid`, which must not run twice, with a long body.
fn long_bid(number: usize) -> Vec<u8> {
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: b{number}\r\nX-Qos: bid\r\nX-Expires-In-Ms: 900\r\n\
         Content-Length: {STREAMED_BODY_BYTES}\r\n\r\n"
    );
    [head.into_bytes(), patterned_body(STREAMED_BODY_BYTES)].concat()
}

/// Rejects a request by its head, and reads what is still on its way, so that the response is not lost by a reset.
fn turn_away(mut stream: TcpStream) {
    let _ = stream.write_all(&response("503 Full", "X-Never-Ran: 1\r\nConnection: close\r\n", b""));
    let _ = stream.shutdown(Shutdown::Write);
    thread::sleep(Duration::from_millis(100));
    let _ = stream.read_to_end(&mut Vec::new());
}

/// Sends unsafe requests to endpoints of which every second one to be asked turns the request away by its head. Asserts
/// that no request is rejected that the next endpoint read to the last byte.
fn assert_no_begun_request_is_rejected(after_last_byte: AfterLastByte) {
    let (requests, begun) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let endpoints: Vec<_> = (0..6)
        .map(|_| {
            let (requests, begun) = (requests.clone(), begun.clone());
            start_raw_endpoint_with_small_buffers(move |_, stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                if read_head(&mut reader).is_none() {
                    return;
                }
                if requests.fetch_add(1, Ordering::SeqCst).is_multiple_of(2) {
                    return turn_away(stream);
                }
                if reader.read_exact(&mut vec![0; STREAMED_BODY_BYTES]).is_ok() {
                    begun.fetch_add(1, Ordering::SeqCst);
                }
                if after_last_byte == AfterLastByte::Hang {
                    let _ = reader.read(&mut [0]);
                }
            })
        })
        .collect();
    let discovery = DiscoveryStub::start(all_up(&endpoints));
    let node = Node::start(discovery.address, |_| {});
    let mut begun_and_answered = 0;
    for number in 0..8 {
        let begun_before = begun.load(Ordering::SeqCst);
        let status = send_request(node.address, &long_bid(number)).status();
        if begun.load(Ordering::SeqCst) > begun_before {
            assert_eq!(status, 502, "request {number} had begun at an endpoint");
            begun_and_answered += 1;
        }
    }
    assert!(begun_and_answered >= 2, "only {begun_and_answered} requests began");
}

/// Guards against the double count of a body's first part. An endpoint turned an unsafe request away while the node was
/// sending the first part, the next endpoint got all of it, and the node took the body for incomplete. So it told the
/// client that the request had not run when that endpoint reset the connection.
#[test]
fn a_request_that_was_turned_away_and_then_reset_after_its_last_byte_is_not_rejected() {
    assert_no_begun_request_is_rejected(AfterLastByte::Close);
}

/// Guards against the same double count where the second endpoint does not answer in time.
#[test]
fn a_request_that_was_turned_away_and_then_timed_out_after_its_last_byte_is_not_rejected() {
    assert_no_begun_request_is_rejected(AfterLastByte::Hang);
}

/// The time for which the clients of [`long_keyed_request`] wait, and what they tell the node.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
/// A client that gets no answer for this time after its timeout takes the request for lost.
const LOST_AFTER_TIMEOUT: Duration = Duration::from_millis(550);

/// Returns a request with an idempotency key and a body of `length` bytes.
fn long_keyed_request(framing: Framing, length: usize) -> Vec<u8> {
    post_with_body(CLIENT_TIMEOUT, framing, length)
}

/// Starts a node with one endpoint.
fn start_node_with(endpoint: SocketAddr) -> Node {
    let discovery = DiscoveryStub::start(all_up(&[endpoint]));
    Node::start(discovery.address, |_| {})
}

/// Writes a request at once, and asserts that its answer comes before the client takes the request for lost.
fn assert_answered_in_time(node: &Node, request: &[u8], description: &str) {
    let mut client = Client::connect(node.address);
    assert!(client.send(request), "{description}: the node closed the connection");
    let sent_at = Instant::now();
    let answer = client.read_response();
    let took = sent_at.elapsed();
    assert!(answer.is_some(), "{description}: no answer");
    assert!(
        took < CLIENT_TIMEOUT + LOST_AFTER_TIMEOUT,
        "{description}: answered {took:?} after the last byte"
    );
}

/// Guards against a client's time that counts from when the node has forwarded the last byte, not from when the client
/// has written it. At an endpoint that hangs, the time never began, and the request was answered when its body counted as
/// stalled, 2 s later, however short its time was.
#[test]
fn a_long_request_at_an_endpoint_that_takes_nothing_is_answered_within_its_time() {
    // More than the connection to the endpoint takes, and less than the client can write at once.
    const LENGTH: usize = 1_500_000;
    let endpoint = start_raw_endpoint_with_small_buffers(|_, stream| {
        let _ = read_head(&mut BufReader::with_capacity(1024, stream.try_clone().unwrap()));
        thread::sleep(WAIT_TIMEOUT);
    });
    let node = start_node_with(endpoint);
    for framing in [Framing::Length, Framing::Chunks] {
        assert_answered_in_time(&node, &long_keyed_request(framing, LENGTH), &format!("{framing:?}"));
    }
}

/// Guards against the same at an endpoint that reads so slowly that most of the body waits in the buffers after the client
/// has written it. The body never stalls there.
#[test]
fn a_long_request_at_an_endpoint_that_reads_slowly_is_answered_within_its_time() {
    const LENGTH: usize = 12_000_000;
    let endpoint = start_raw_endpoint(|_, mut stream| {
        let mut part = vec![0; 200_000];
        // Reads 2 MB per second.
        while stream.read_exact(&mut part).is_ok() {
            thread::sleep(Duration::from_millis(100));
        }
    });
    let node = start_node_with(endpoint);
    for framing in [Framing::Length, Framing::Chunks] {
        assert_answered_in_time(&node, &long_keyed_request(framing, LENGTH), &format!("{framing:?}"));
    }
}

/// Guards the neighbour of that promise: the time of a client that is still sending does not run.
#[test]
fn a_client_that_sends_at_the_slowest_allowed_rate_for_longer_than_its_time_is_served() {
    let node = start_node_with(start_recording_endpoint(&ReceivedRequests::default()));
    thread::scope(|scope| {
        for framing in [Framing::Length, Framing::Chunks] {
            let node = &node;
            scope.spawn(move || {
                let mut client = Client::connect(node.address);
                // Ten pieces a second make 64 kB.
                for piece in long_keyed_request(framing, 200_000).chunks(6_400) {
                    assert!(client.send(piece), "{framing:?}: the node closed the connection");
                    thread::sleep(Duration::from_millis(100));
                }
                assert_eq!(client.read_response().map(|m| m.status()), Some(200), "{framing:?}");
            });
        }
    });
}

/// Guards the other neighbour: a client that stops sending in the middle of a long body gets an answer.
#[test]
fn a_client_that_stops_sending_in_the_middle_of_a_long_body_is_answered() {
    let node = start_node_with(start_recording_endpoint(&ReceivedRequests::default()));
    for framing in [Framing::Length, Framing::Chunks] {
        let request = long_keyed_request(framing, 200_000);
        let mut client = Client::connect(node.address);
        assert!(client.send(&request[..120_000]));
        let sent_at = Instant::now();
        assert_eq!(client.read_response().map(|m| m.status()), Some(503), "{framing:?}");
        assert!(sent_at.elapsed() < Duration::from_secs(3), "{framing:?}: after {:?}", sent_at.elapsed());
    }
}

/// Header lines of requests whose chunked body has another coding as well, or has `chunked` twice.
const CODINGS_THAT_THE_NODE_CANNOT_UNDO: [&str; 9] = [
    "Transfer-Encoding: gzip, chunked",
    "transfer-encoding:GZIP,Chunked",
    "Transfer-Encoding: x-gzip ,\tchunked",
    "Transfer-Encoding: identity, chunked",
    "Transfer-Encoding: gzip;a=\"b, chunked",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked\r\nX-Other: 1\r\nTransfer-Encoding: gzip, chunked",
];

/// Guards against a coded body that an endpoint takes for the client's body: the node undid `chunked`, removed the header
/// and forwarded the gzip file.
#[test]
fn a_body_in_a_coding_that_the_node_cannot_undo_is_refused_and_reaches_no_endpoint() {
    let received = ReceivedRequests::default();
    let node = start_node_with(start_recording_endpoint(&received));
    for coding in CODINGS_THAT_THE_NODE_CANNOT_UNDO {
        for length in [100, 100_000] {
            let head = post_head(&format!("{coding}\r\n"));
            let request = [head.into_bytes(), encode_chunked(&patterned_body(length), 5_000)].concat();
            let response = send_request(node.address, &request);
            assert!(matches!(response.status(), 400 | 501), "{coding}: {}", response.first_line);
            assert_eq!(response.header("connection"), Some("close"), "{coding}");
        }
    }
    assert_eq!(received.lock().unwrap().len(), 0, "an endpoint got a coded body");
}

/// Guards the neighbour of that promise: a body that is only sent in chunks is served, however the header spells it.
#[test]
fn a_body_in_chunks_alone_is_served_in_every_spelling() {
    let received = ReceivedRequests::default();
    let node = start_node_with(start_recording_endpoint(&received));
    let spellings =
        ["Transfer-Encoding: chunked", "transfer-encoding:CHUNKED", "Transfer-Encoding: , Chunked "];
    for spelling in spellings {
        for length in [100, 100_000] {
            let head = post_head(&format!("{spelling}\r\n"));
            let body = patterned_body(length);
            let request = [head.into_bytes(), encode_chunked(&body, 5_000)].concat();
            assert_eq!(send_request(node.address, &request).status(), 200, "{spelling}");
            let received_body = received.lock().unwrap().pop().map(|(_, body)| body);
            assert!(received_body == Some(body), "{spelling}: the body was altered");
        }
    }
}

/// Guards against a request that is sent on after its client has left: the node closed the connection to the endpoint, but
/// the system still delivered what it held of the request, and the endpoint executed it.
#[test]
fn a_request_whose_client_leaves_is_not_sent_on_from_the_buffers() {
    // Less than the system takes from the node at once, and more than it delivers before the endpoint reads.
    const LENGTH: usize = 400_000;
    for framing in [Framing::Length, Framing::Chunks] {
        let (sender, received) = mpsc::channel();
        let sender = Mutex::new(sender);
        let endpoint = start_raw_endpoint(move |_, mut stream| {
            let mut total = 0;
            let mut part = [0; 10_000];
            while let Ok(length) = stream.read(&mut part)
                && length > 0
            {
                total += length;
                if total == length {
                    sender.lock().unwrap().send(total).unwrap();
                }
                thread::sleep(Duration::from_millis(20));
            }
            sender.lock().unwrap().send(total).unwrap();
        });
        let node = start_node_with(endpoint);
        let mut client = Client::connect(node.address);
        assert!(client.send(&long_keyed_request(framing, LENGTH)));
        received.recv_timeout(WAIT_TIMEOUT).expect("the endpoint receives the first bytes");
        drop(client);
        let total = received.recv_timeout(WAIT_TIMEOUT).expect("the connection to the endpoint ends");
        assert!(total < LENGTH, "{framing:?}: the endpoint received the complete request");
    }
}
