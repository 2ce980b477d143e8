//! Tests what becomes of requests with long bodies when endpoints turn them away, reset, hang or take nothing.
mod node;

use node::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

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
