//! Bodies that are too long to be kept, or slow, or framed in ways of their own.
mod node;

use node::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

/// Far more than any buffer on the way holds.
const LONG: usize = 24 * 1024 * 1024;

/// Bytes that show when any of them is missing or moved.
fn long(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

/// An endpoint that hands each connection to `serve`, with its number.
fn raw_backend(serve: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (n, stream) in listener.incoming().enumerate() {
            let serve = serve.clone();
            thread::spawn(move || serve(n, stream.unwrap()));
        }
    });
    address
}

/// Reads a head up to its empty line.
fn head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head.to_ascii_lowercase())
}

fn start(addresses: &[SocketAddr]) -> Node {
    let discovery = DiscoveryStub::start(all_up(addresses));
    Node::start(discovery.address, |c| c["limits"]["memory_mb"] = 48.into())
}

/// A client that has asked for a page, and the head of what it gets.
fn ask_page(node: &Node) -> (BufReader<TcpStream>, String) {
    let mut client = TcpStream::connect(node.address).unwrap();
    client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    client.write_all(&request("page", 4000)).unwrap();
    let mut reader = BufReader::new(client);
    let head = head(&mut reader).expect("a head");
    (reader, head)
}

/// A body in chunks, to its end; none if it breaks off.
fn chunked(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let length = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
        let mut piece = vec![0; length + 2];
        reader.read_exact(&mut piece).ok()?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&piece[..length]);
    }
}

fn in_chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for piece in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x};some=extension\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
    bytes
}

#[test]
fn a_long_response_is_streamed_unchanged_in_each_framing() {
    for framing in ["length", "chunks", "close"] {
        let (go_on, gate) = mpsc::channel::<()>();
        let gate = Mutex::new(gate);
        let (headers, bytes) = match framing {
            "length" => (format!("Content-Length: {LONG}\r\n"), long(LONG)),
            "chunks" => ("Transfer-Encoding: chunked\r\n".to_owned(), in_chunks(&long(LONG), 70_000)),
            _ => ("Connection: close\r\n".to_owned(), long(LONG)),
        };
        let opened = Arc::new(AtomicUsize::new(0));
        let count = opened.clone();
        let endpoint = raw_backend(move |_, mut stream| {
            count.fetch_add(1, Ordering::SeqCst);
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while head(&mut reader).is_some() {
                stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes()).unwrap();
                let (first, rest) = bytes.split_at(200_000);
                stream.write_all(first).unwrap();
                // The rest comes only when the client has the first part.
                gate.lock().unwrap().recv().unwrap();
                stream.write_all(rest).unwrap();
                if framing == "close" {
                    return;
                }
            }
        });
        let node = start(&[endpoint]);
        for _ in 0..2 {
            let (mut client, head) = ask_page(&node);
            assert!(head.starts_with("http/1.1 200"), "{framing}: {head}");
            let mut first = vec![0; 100_000];
            client.read_exact(&mut first).unwrap();
            go_on.send(()).unwrap();
            let body = if head.contains("transfer-encoding: chunked") {
                let mut all = first.as_slice().chain(client);
                chunked(&mut BufReader::new(&mut all)).expect("a whole body")
            } else {
                let mut rest = vec![0; LONG - first.len()];
                client.read_exact(&mut rest).unwrap();
                [first, rest].concat()
            };
            assert!(body == long(LONG), "{framing}: the body changed on its way");
            wait_until_connection_is_reusable();
        }
        let connections = if framing == "close" { 2 } else { 1 };
        assert_eq!(opened.load(Ordering::SeqCst), connections, "{framing}");
    }
}

#[test]
fn a_long_response_that_breaks_off_looks_incomplete_and_is_not_repeated() {
    let asked = Arc::new(AtomicUsize::new(0));
    for (framing, version) in [("length", "1.1"), ("chunks", "1.1"), ("chunks", "1.0")] {
        let count = asked.clone();
        let endpoint = raw_backend(move |_, mut stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            if head(&mut reader).is_none() {
                return;
            }
            count.fetch_add(1, Ordering::SeqCst);
            let body = long(500_000);
            let (headers, bytes) = match framing {
                "length" => ("Content-Length: 600000", body),
                _ => ("Transfer-Encoding: chunked", [&b"92710\r\n"[..], &body].concat()),
            };
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n").as_bytes()).unwrap();
            stream.write_all(&bytes).unwrap();
            // Closed in the middle.
        });
        let node = start(&[endpoint]);
        let before = asked.load(Ordering::SeqCst);
        let mut client = TcpStream::connect(node.address).unwrap();
        client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let text = String::from_utf8(request("page", 4000))
            .unwrap()
            .replace("HTTP/1.1", &format!("HTTP/{version}"));
        client.write_all(text.as_bytes()).unwrap();
        let mut bytes = Vec::new();
        let end = client.read_to_end(&mut bytes);
        let answer = String::from_utf8_lossy(&bytes[..200.min(bytes.len())]).to_ascii_lowercase();
        let told = answer.contains("content-length: 600000")
            || answer.contains("chunked") && !bytes.ends_with(b"0\r\n\r\n");
        assert!(told || end.is_err(), "{framing}, {version}: looks whole: {answer}");
        assert_eq!(asked.load(Ordering::SeqCst), before + 1, "{framing}, {version}");
        assert_eq!(node.readiness_status(), 200);
    }
}

#[test]
fn a_client_that_stops_reading_costs_no_memory_and_frees_the_endpoint_when_it_leaves() {
    let open = Arc::new(AtomicUsize::new(0));
    let (count, body) = (open.clone(), long(LONG));
    let endpoint = raw_backend(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if head(&mut reader).is_some() {
            count.fetch_add(1, Ordering::SeqCst);
            let _ =
                stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n").as_bytes());
            let _ = stream.write_all(&body);
            count.fetch_sub(1, Ordering::SeqCst);
        }
    });
    let node = start(&[endpoint]);
    let clients: Vec<_> = (0..30).map(|_| ask_page(&node)).collect();
    wait_for("all answers have begun", || open.load(Ordering::SeqCst) == 30);
    assert!(node.resident_memory_kb() < 24 * 1024, "{} KB", node.resident_memory_kb());
    drop(clients);
    wait_for("the endpoint's connections end", || open.load(Ordering::SeqCst) == 0);
    wait_for("and their descriptors", || node.descriptor_count() < 24);
}

#[test]
fn a_response_read_at_the_slowest_allowed_pace_is_completed() {
    let body = long(LONG);
    let endpoint = raw_backend(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if head(&mut reader).is_some() {
            let _ =
                stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n").as_bytes());
            let _ = stream.write_all(&body);
        }
    });
    let node = start(&[endpoint]);
    // A client that the system, too, reads little ahead for: 64 kB a second, for longer than one that takes
    // nothing at all is left alone.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let mut client = TcpStream::from(socket);
    client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    client.write_all(&request("page", 4000)).unwrap();
    let mut reader = BufReader::with_capacity(1024, client);
    assert!(head(&mut reader).expect("a head").starts_with("http/1.1 200"));
    let mut taken = vec![0; 13 * 64_000];
    for piece in taken.chunks_mut(6_400) {
        reader.read_exact(piece).unwrap();
        thread::sleep(Duration::from_millis(100));
    }
    let mut rest = vec![0; LONG - taken.len()];
    reader.read_exact(&mut rest).expect("the rest of the answer");
    assert!([taken, rest].concat() == long(LONG), "the body changed on its way");
}

/// What an endpoint got: heads and bodies.
type Got = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

/// An endpoint that takes a body in either framing and answers "ok".
fn taking(got: &Got) -> SocketAddr {
    let got = got.clone();
    raw_backend(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = head(&mut reader) {
            let length =
                head.split("content-length: ").nth(1).and_then(|l| l.split('\r').next()?.parse().ok());
            let body = match length {
                Some(length) => {
                    let mut body = vec![0; length];
                    reader.read_exact(&mut body).ok().map(|()| body)
                }
                None if head.contains("transfer-encoding: chunked") => chunked(&mut reader),
                None => Some(Vec::new()),
            };
            let Some(body) = body else { return };
            got.lock().unwrap().push((head, body));
            stream.write_all(&response("200 OK", "", b"ok")).unwrap();
        }
    })
}

fn post(headers: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: u{n}\r\nX-Qos: pay\r\nIdempotency-Key: k{n}\r\n\
         X-Expires-In-Ms: 900\r\n{headers}\r\n"
    )
}

#[test]
fn a_request_body_is_forwarded_unchanged_in_each_framing() {
    let got = Got::default();
    let node = start(&[taking(&got)]);
    let mut client = Client::connect(node.address);
    for length in [0, 10, 64 * 1024, 64 * 1024 + 1, 3_000_000] {
        for framing in ["length", "chunks"] {
            let body = long(length);
            let bytes = match framing {
                "length" => {
                    [post(&format!("Content-Length: {length}\r\n")).into_bytes(), body.clone()].concat()
                }
                _ => {
                    [post("Transfer-Encoding: chunked\r\n").into_bytes(), in_chunks(&body, 5_000)].concat()
                }
            };
            assert_eq!(client.send_and_receive(&bytes).status(), 200, "{framing}, {length}");
            let (head, there) = got.lock().unwrap().pop().expect("a request");
            assert!(there == body, "{framing}, {length}: the body changed on its way");
            assert!(!head.contains("x-trailer"), "{head}");
            wait_until_connection_is_reusable();
        }
    }
    // Chunks that look like heads of requests, which tell a length of their own.
    let bait = b"\r\nContent-Length: 5\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 7\r\n\r\n".repeat(20);
    for _ in 0..3 {
        let bytes = [post("Transfer-Encoding: chunked\r\n").into_bytes(), in_chunks(&bait, 300)].concat();
        assert_eq!(client.send_and_receive(&bytes).status(), 200);
        assert!(got.lock().unwrap().pop().expect("a request").1 == bait);
        wait_until_connection_is_reusable();
    }
    // One that waits to be told to go on, and one that is written byte by byte.
    client.send(post("Expect: 100-continue\r\nContent-Length: 4\r\n").as_bytes());
    assert_eq!(client.read_response().unwrap().status(), 100);
    assert_eq!(client.send_and_receive(b"body").status(), 200);
    for byte in post("Content-Length: 4\r\n").bytes().chain(*b"body") {
        client.send(&[byte]);
    }
    assert_eq!(client.read_response().unwrap().status(), 200);
}

#[test]
fn a_long_request_body_is_streamed_and_its_time_counts_from_its_end() {
    let (seen, first) = mpsc::channel();
    let seen = Mutex::new(seen);
    let endpoint = raw_backend(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if head(&mut reader).is_none() {
            return;
        }
        let mut body = vec![0; 300_000];
        reader.read_exact(&mut body[..100_000]).unwrap();
        seen.lock().unwrap().send(()).unwrap();
        reader.read_exact(&mut body[100_000..]).unwrap();
        assert!(body == long(300_000));
        stream.write_all(&response("200 OK", "", b"ok")).unwrap();
    });
    let node = start(&[endpoint]);
    let mut client = Client::connect(node.address);
    client.send(post("Content-Length: 300000\r\n").as_bytes());
    let body = long(300_000);
    client.send(&body[..150_000]);
    first.recv_timeout(WAIT_TIMEOUT).expect("the first part goes on");
    // Longer than the client will wait for the answer.
    thread::sleep(Duration::from_millis(1200));
    client.send(&body[150_000..]);
    assert_eq!(client.read_response().unwrap().status(), 200);
}

#[test]
fn a_slow_request_body_counts_from_its_end_and_a_stalled_one_is_cut() {
    let got = Got::default();
    let mut node = start(&[taking(&got)]);
    let mut client = Client::connect(node.address);
    client.send(post("Content-Length: 4\r\n").as_bytes());
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(client.send_and_receive(b"body").status(), 200);
    for (headers, sent) in
        [("Content-Length: 10\r\n", &b"abc"[..]), ("Transfer-Encoding: chunked\r\n", b"5\r\nab")]
    {
        client = Client::connect(node.address);
        client.send(post(headers).as_bytes());
        client.send(sent);
        assert_eq!(client.read_response().map(|m| m.status()), Some(408), "{headers}");
    }
    assert_eq!(got.lock().unwrap().len(), 1);
    node.terminate();
    assert!(node.wait_for_exit().success());
    assert!(node.log().contains("rejected: 1 \"the body did not come in time\""));
}

#[test]
fn a_streamed_request_body_is_repeated_only_if_none_of_it_was_sent() {
    let got = Got::default();
    let (open, refused) = (taking(&got), free_address());
    let node = start(&[open, refused]);
    for _ in 0..8 {
        let bytes = [post("Content-Length: 300000\r\n").into_bytes(), long(300_000)].concat();
        assert_eq!(send_request(node.address, &bytes).status(), 200, "a refused connection costs nothing");
    }
    assert_eq!(got.lock().unwrap().len(), 8);
    // One that breaks in the middle of the body: no second attempt, and no doubt that it never ran.
    let begun = Arc::new(AtomicUsize::new(0));
    let breaking: Vec<_> = (0..2)
        .map(|_| {
            let count = begun.clone();
            raw_backend(move |_, stream| {
                let mut reader = BufReader::new(stream);
                if head(&mut reader).is_some() {
                    count.fetch_add(1, Ordering::SeqCst);
                    reader.read_exact(&mut vec![0; 200_000]).unwrap();
                }
            })
        })
        .collect();
    let node = start(&breaking);
    let bytes = [post("Content-Length: 8000000\r\n").into_bytes(), long(8_000_000)].concat();
    let mut client = Client::connect(node.address);
    let mut writer = client.stream.try_clone().unwrap();
    // It may be cut off while it still writes.
    let writing = thread::spawn(move || drop(writer.write_all(&bytes)));
    assert_eq!(client.read_response().map(|m| m.status()), Some(503));
    writing.join().unwrap();
    assert_eq!(begun.load(Ordering::SeqCst), 1);
}
