//! Tests bodies that are too long to be buffered, that arrive slowly, or that use one of the possible framings.
//!
//! The end of a body is given by its length, by its last chunk, or, for a response, by the end of the connection.
mod node;

use node::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

/// The length of a body that is far longer than the buffers of the node and of the sockets on the path.
const STREAMED_BODY_BYTES: usize = 24 * 1024 * 1024;

/// Starts a node with a memory limit of 48 MiB, which three buffered long bodies would exceed.
fn start_node(addresses: &[SocketAddr]) -> Node {
    let discovery = DiscoveryStub::start(all_up(addresses));
    Node::start(discovery.address, |c| c["limits"]["memory_mb"] = 48.into())
}

/// Sends a request of class `page` on a new connection, and reads the head of the response. Returns a reader of the
/// body, and the head in lower case.
fn request_page(node: &Node) -> (BufReader<TcpStream>, String) {
    let mut client = TcpStream::connect(node.address).unwrap();
    client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    client.write_all(&request("page", 4000)).unwrap();
    let mut reader = BufReader::new(client);
    let head = read_head(&mut reader).expect("a response head");
    (reader, head)
}

#[test]
fn a_long_response_is_streamed_unchanged_in_each_framing() {
    for framing in ["length", "chunks", "close"] {
        let (resume, resumed) = mpsc::channel::<()>();
        let resumed = Mutex::new(resumed);
        let (headers, bytes) = match framing {
            "length" => {
                (format!("Content-Length: {STREAMED_BODY_BYTES}\r\n"), patterned_body(STREAMED_BODY_BYTES))
            }
            "chunks" => (
                "Transfer-Encoding: chunked\r\n".to_owned(),
                encode_chunked(&patterned_body(STREAMED_BODY_BYTES), 70_000),
            ),
            _ => ("Connection: close\r\n".to_owned(), patterned_body(STREAMED_BODY_BYTES)),
        };
        let connections_opened = Arc::new(AtomicUsize::new(0));
        let opened = connections_opened.clone();
        let endpoint = start_raw_endpoint(move |_, mut stream| {
            opened.fetch_add(1, Ordering::SeqCst);
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while read_head(&mut reader).is_some() {
                stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes()).unwrap();
                let (first_part, rest) = bytes.split_at(200_000);
                stream.write_all(first_part).unwrap();
                // The rest is sent only after the client has received some of the first part.
                resumed.lock().unwrap().recv().unwrap();
                stream.write_all(rest).unwrap();
                if framing == "close" {
                    return;
                }
            }
        });
        let node = start_node(&[endpoint]);
        for _ in 0..2 {
            let (mut client, head) = request_page(&node);
            assert!(head.starts_with("http/1.1 200"), "{framing}: {head}");
            let mut first_part = vec![0; 100_000];
            client.read_exact(&mut first_part).unwrap();
            resume.send(()).unwrap();
            let body = if head.contains("transfer-encoding: chunked") {
                let mut encoded_body = first_part.as_slice().chain(client);
                read_chunked_body(&mut BufReader::new(&mut encoded_body)).expect("a complete body")
            } else {
                let mut rest = vec![0; STREAMED_BODY_BYTES - first_part.len()];
                client.read_exact(&mut rest).unwrap();
                [first_part, rest].concat()
            };
            assert!(body == patterned_body(STREAMED_BODY_BYTES), "{framing}: the body was changed");
            wait_until_connection_is_reusable();
        }
        let expected_connections = if framing == "close" { 2 } else { 1 };
        assert_eq!(connections_opened.load(Ordering::SeqCst), expected_connections, "{framing}");
    }
}

#[test]
fn a_long_response_that_breaks_off_looks_incomplete_and_is_not_repeated() {
    let request_count = Arc::new(AtomicUsize::new(0));
    for (framing, version) in [("length", "1.1"), ("chunks", "1.1"), ("chunks", "1.0")] {
        let count = request_count.clone();
        let endpoint = start_raw_endpoint(move |_, mut stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            if read_head(&mut reader).is_none() {
                return;
            }
            count.fetch_add(1, Ordering::SeqCst);
            let body = patterned_body(500_000);
            let (headers, bytes) = match framing {
                "length" => ("Content-Length: 600000", body),
                _ => ("Transfer-Encoding: chunked", [&b"92710\r\n"[..], &body].concat()),
            };
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n").as_bytes()).unwrap();
            stream.write_all(&bytes).unwrap();
            // Dropping `stream` closes the connection in the middle of the body.
        });
        let node = start_node(&[endpoint]);
        let count_before = request_count.load(Ordering::SeqCst);
        let mut client = TcpStream::connect(node.address).unwrap();
        client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let text = String::from_utf8(request("page", 4000))
            .unwrap()
            .replace("HTTP/1.1", &format!("HTTP/{version}"));
        client.write_all(text.as_bytes()).unwrap();
        let mut bytes = Vec::new();
        let read_result = client.read_to_end(&mut bytes);
        let beginning = String::from_utf8_lossy(&bytes[..200.min(bytes.len())]).to_ascii_lowercase();
        // An HTTP/1.0 client receives no chunks, so only a reset shows it that the body is incomplete.
        let lacks_announced_end = beginning.contains("content-length: 600000")
            || beginning.contains("chunked") && !bytes.ends_with(b"0\r\n\r\n");
        assert!(
            lacks_announced_end || read_result.is_err(),
            "{framing}, {version}: the response looks complete: {beginning}"
        );
        assert_eq!(request_count.load(Ordering::SeqCst), count_before + 1, "{framing}, {version}");
        assert_eq!(node.readiness_status(), 200);
    }
}

#[test]
fn a_client_that_stops_reading_takes_no_memory_and_its_disconnect_frees_the_endpoint() {
    let responses_in_progress = Arc::new(AtomicUsize::new(0));
    let (in_progress, body) = (responses_in_progress.clone(), patterned_body(STREAMED_BODY_BYTES));
    let endpoint = start_raw_endpoint(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if read_head(&mut reader).is_some() {
            in_progress.fetch_add(1, Ordering::SeqCst);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {STREAMED_BODY_BYTES}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&body);
            in_progress.fetch_sub(1, Ordering::SeqCst);
        }
    });
    let node = start_node(&[endpoint]);
    let clients: Vec<_> = (0..30).map(|_| request_page(&node)).collect();
    wait_for("all responses have begun", || responses_in_progress.load(Ordering::SeqCst) == 30);
    assert!(node.resident_memory_kb() < 24 * 1024, "{} KiB", node.resident_memory_kb());
    drop(clients);
    wait_for("the endpoint's responses end", || responses_in_progress.load(Ordering::SeqCst) == 0);
    wait_for("the node closes the descriptors", || node.descriptor_count() < 24);
}

#[test]
fn a_response_read_at_the_slowest_allowed_rate_is_completed() {
    let body = patterned_body(STREAMED_BODY_BYTES);
    let endpoint = start_raw_endpoint(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if read_head(&mut reader).is_some() {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {STREAMED_BODY_BYTES}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&body);
        }
    });
    let node = start_node(&[endpoint]);
    // The client reads 64 kB per second for 13 s, which is longer than the timeout of a client that reads nothing
    // (10 s). A small receive buffer keeps the kernel from reading much ahead of it.
    let mut client = connect_with_receive_buffer(node.address, 16 * 1024);
    client.write_all(&request("page", 4000)).unwrap();
    let mut reader = BufReader::with_capacity(1024, client);
    assert!(read_head(&mut reader).expect("a response head").starts_with("http/1.1 200"));
    let mut slow_part = vec![0; 13 * 64_000];
    for slice in slow_part.chunks_mut(6_400) {
        reader.read_exact(slice).unwrap();
        thread::sleep(Duration::from_millis(100));
    }
    let mut rest = vec![0; STREAMED_BODY_BYTES - slow_part.len()];
    reader.read_exact(&mut rest).expect("the rest of the response");
    assert!([slow_part, rest].concat() == patterned_body(STREAMED_BODY_BYTES), "the body was changed");
}

#[test]
fn a_request_body_is_forwarded_unchanged_in_each_framing() {
    let received = ReceivedRequests::default();
    let node = start_node(&[start_recording_endpoint(&received)]);
    let mut client = Client::connect(node.address);
    for length in [0, 10, 64 * 1024, 64 * 1024 + 1, 3_000_000] {
        for framing in ["length", "chunks"] {
            let body = patterned_body(length);
            let bytes = match framing {
                "length" => {
                    let head = post_head(&format!("Content-Length: {length}\r\n"));
                    [head.into_bytes(), body.clone()].concat()
                }
                _ => {
                    let head = post_head("Transfer-Encoding: chunked\r\n");
                    [head.into_bytes(), encode_chunked(&body, 5_000)].concat()
                }
            };
            assert_eq!(client.send_and_receive(&bytes).status(), 200, "{framing}, {length}");
            let (head, received_body) = received.lock().unwrap().pop().expect("a request");
            assert!(received_body == body, "{framing}, {length}: the body was changed");
            assert!(!head.contains("x-trailer"), "{head}");
            wait_until_connection_is_reusable();
        }
    }
    // A body that contains text like request heads with a length. The node counts the `Content-Length` lines that it
    // receives, to detect requests with both framings, and must not count those in a body.
    let body_like_heads =
        b"\r\nContent-Length: 5\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 7\r\n\r\n".repeat(20);
    for _ in 0..3 {
        let head = post_head("Transfer-Encoding: chunked\r\n");
        let bytes = [head.into_bytes(), encode_chunked(&body_like_heads, 300)].concat();
        assert_eq!(client.send_and_receive(&bytes).status(), 200);
        assert!(received.lock().unwrap().pop().expect("a request").1 == body_like_heads);
        wait_until_connection_is_reusable();
    }
    // A request whose client waits for `100 Continue` before it sends the body, and one that is sent byte by byte.
    client.send(post_head("Expect: 100-continue\r\nContent-Length: 4\r\n").as_bytes());
    assert_eq!(client.read_response().unwrap().status(), 100);
    assert_eq!(client.send_and_receive(b"body").status(), 200);
    for byte in post_head("Content-Length: 4\r\n").bytes().chain(*b"body") {
        client.send(&[byte]);
    }
    assert_eq!(client.read_response().unwrap().status(), 200);
}

#[test]
fn a_long_request_body_is_streamed_and_the_timeout_counts_from_its_end() {
    let (sender, first_part_received) = mpsc::channel();
    let sender = Mutex::new(sender);
    let endpoint = start_raw_endpoint(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if read_head(&mut reader).is_none() {
            return;
        }
        let mut body = vec![0; 300_000];
        reader.read_exact(&mut body[..100_000]).unwrap();
        sender.lock().unwrap().send(()).unwrap();
        reader.read_exact(&mut body[100_000..]).unwrap();
        assert!(body == patterned_body(300_000));
        stream.write_all(&response("200 OK", "", b"ok")).unwrap();
    });
    let node = start_node(&[endpoint]);
    let mut client = Client::connect(node.address);
    client.send(post_head("Content-Length: 300000\r\n").as_bytes());
    let body = patterned_body(300_000);
    client.send(&body[..150_000]);
    first_part_received.recv_timeout(WAIT_TIMEOUT).expect("the endpoint receives the first part");
    // Longer than the 900 ms for which the client waits for the response.
    thread::sleep(Duration::from_millis(1200));
    client.send(&body[150_000..]);
    assert_eq!(client.read_response().unwrap().status(), 200);
}

#[test]
fn the_timeout_counts_from_the_end_of_a_slow_request_body_and_a_stalled_body_is_rejected() {
    let received = ReceivedRequests::default();
    let mut node = start_node(&[start_recording_endpoint(&received)]);
    let mut client = Client::connect(node.address);
    client.send(post_head("Content-Length: 4\r\n").as_bytes());
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(client.send_and_receive(b"body").status(), 200);
    for (headers, sent) in
        [("Content-Length: 10\r\n", &b"abc"[..]), ("Transfer-Encoding: chunked\r\n", b"5\r\nab")]
    {
        client = Client::connect(node.address);
        client.send(post_head(headers).as_bytes());
        client.send(sent);
        assert_eq!(client.read_response().map(|m| m.status()), Some(408), "{headers}");
    }
    assert_eq!(received.lock().unwrap().len(), 1);
    node.terminate();
    assert!(node.wait_for_exit().success());
    assert!(node.log().contains("rejected: 1 \"the body did not come in time\""));
}

#[test]
fn a_request_with_a_streamed_body_is_repeated_only_if_none_of_it_was_sent() {
    let received = ReceivedRequests::default();
    let (listening, refusing) = (start_recording_endpoint(&received), free_address());
    let node = start_node(&[listening, refusing]);
    for _ in 0..8 {
        let head = post_head("Content-Length: 300000\r\n");
        let bytes = [head.into_bytes(), patterned_body(300_000)].concat();
        assert_eq!(
            send_request(node.address, &bytes).status(),
            200,
            "a refused connection failed the request"
        );
    }
    assert_eq!(received.lock().unwrap().len(), 8);
    // Both endpoints close the connection in the middle of the body, which cannot be sent again. An endpoint executes
    // nothing before it has the complete body, so the request has not run, and the node responds with 503, not 502.
    let request_count = Arc::new(AtomicUsize::new(0));
    let closing_endpoints: Vec<_> = (0..2)
        .map(|_| {
            let count = request_count.clone();
            start_raw_endpoint(move |_, stream| {
                let mut reader = BufReader::new(stream);
                if read_head(&mut reader).is_some() {
                    count.fetch_add(1, Ordering::SeqCst);
                    reader.read_exact(&mut vec![0; 200_000]).unwrap();
                }
            })
        })
        .collect();
    let node = start_node(&closing_endpoints);
    let head = post_head("Content-Length: 8000000\r\n");
    let bytes = [head.into_bytes(), patterned_body(8_000_000)].concat();
    let mut client = Client::connect(node.address);
    let mut writer = client.stream.try_clone().unwrap();
    // Write errors are ignored: the node may close the connection before the client has sent the complete body.
    let write_thread = thread::spawn(move || drop(writer.write_all(&bytes)));
    assert_eq!(client.read_response().map(|m| m.status()), Some(503));
    write_thread.join().unwrap();
    assert_eq!(request_count.load(Ordering::SeqCst), 1);
}

/// Guards against a client that takes a coded body for the content: the node passed on the body of a response with
/// `Content-Encoding`, which endpoints use if the client accepts the coding, without that header.
#[test]
fn a_response_says_in_which_content_coding_its_body_is() {
    const SHORT: usize = 1_000;
    const LONG: usize = 200_000;
    let record = RequestRecord::default();
    let endpoint = start_endpoint(&record, |n, request| {
        assert_eq!(request.header("accept-encoding"), Some("gzip"));
        let headers = "Content-Encoding: gzip\r\nContent-Type: text/plain\r\n";
        let length = if n == 0 { SHORT } else { LONG };
        ScriptedResponse::Send(response("200 OK", headers, &patterned_body(length)))
    });
    let discovery = DiscoveryStub::start(all_up(&[endpoint]));
    let node = Node::start(discovery.address, |_| {});
    for length in [SHORT, LONG] {
        let request = post_head("Accept-Encoding: gzip\r\nContent-Length: 0\r\n");
        let response = send_request(node.address, request.as_bytes());
        assert_eq!(response.status(), 200);
        assert_eq!(response.header("content-encoding"), Some("gzip"), "{length} bytes");
        assert_eq!(response.header("content-type"), Some("text/plain"), "{length} bytes");
        assert!(response.body == patterned_body(length), "{length} bytes: the body was altered");
    }
}
