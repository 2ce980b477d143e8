//! Stands in for endpoints and clients whose long bodies a test reads and writes byte by byte.

use super::http::response;
use super::sockets::loopback;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The receive buffer of an endpoint's connection that takes little before it is read. The system doubles the value.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4096;
/// The payload of a segment on Ethernet.
const ETHERNET_SEGMENT_BYTES: u32 = 1460;

/// Returns a body whose bytes depend on their position, so that a missing or moved byte is detected.
pub fn patterned_body(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

/// Starts an endpoint that passes each accepted connection to `serve`, with the number of the connection, from 0.
pub fn start_raw_endpoint(serve: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    serve_raw(TcpListener::bind(loopback(0)).unwrap(), serve)
}

/// Starts an endpoint whose connections take little of a body before the endpoint reads it: they have a small receive
/// buffer and segments of Ethernet's size. With the segments of loopback, the system takes a whole 64 KiB at once.
pub fn start_raw_endpoint_with_small_buffers(
    serve: impl Fn(usize, TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).unwrap();
    socket.set_tcp_mss(ETHERNET_SEGMENT_BYTES).unwrap();
    socket.bind(&loopback(0).into()).unwrap();
    socket.listen(128).unwrap();
    serve_raw(socket.into(), serve)
}

/// Passes each connection that `listener` accepts to `serve`, and returns the address of the listener.
fn serve_raw(
    listener: TcpListener,
    serve: impl Fn(usize, TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
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

/// Reads the head of a message, including the empty line that ends it, and returns it in lower case. Returns `None` if
/// the stream ends or fails first.
pub fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head.to_ascii_lowercase())
}

/// Reads a chunked body without trailers. Returns `None` if the stream ends before the body does, or if a chunk size is
/// not valid.
pub fn read_chunked_body(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let length = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Encodes a body in chunks of up to `chunk_bytes` bytes, with chunk extensions and a trailer.
pub fn encode_chunked(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(chunk_bytes) {
        bytes.extend_from_slice(format!("{:x};some=extension\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
    bytes
}

/// Returns the head of a POST request of class `pay` whose client waits for 900 ms. See [`post_head_with_timeout`].
pub fn post_head(headers: &str) -> String {
    post_head_with_timeout(Duration::from_millis(900), headers)
}

/// Returns the head of a POST request of class `pay`, with an id and an idempotency key of its own. Its client waits
/// for `timeout`. Each line of `headers` ends with CRLF.
pub fn post_head_with_timeout(timeout: Duration, headers: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: u{n}\r\nX-Qos: pay\r\nIdempotency-Key: k{n}\r\n\
         X-Expires-In-Ms: {}\r\n{headers}\r\n",
        timeout.as_millis()
    )
}

/// How the length of a body is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length,
    Chunks,
}

/// Returns a POST request of class `pay` with a patterned body of `length` bytes. Its client waits for `timeout`. See
/// [`post_head_with_timeout`].
pub fn post_with_body(timeout: Duration, framing: Framing, length: usize) -> Vec<u8> {
    let body = patterned_body(length);
    let (header, body) = match framing {
        Framing::Length => (format!("Content-Length: {length}\r\n"), body),
        Framing::Chunks => ("Transfer-Encoding: chunked\r\n".to_owned(), encode_chunked(&body, 50_000)),
    };
    [post_head_with_timeout(timeout, &header).into_bytes(), body].concat()
}

/// Returns the trace id in a message or head, in lower case. Returns an empty text if there is none.
pub fn trace_id_of(message: &[u8]) -> String {
    let text = String::from_utf8_lossy(message).to_ascii_lowercase();
    let rest = text.split("x-trace-id: ").nth(1).unwrap_or_default();
    rest.split('\r').next().unwrap_or_default().to_owned()
}

/// The requests that an endpoint has received, each as its head in lower case and its decoded body.
pub type ReceivedRequests = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

/// Starts an endpoint that reads requests with a body in either framing, records them, and responds with status 200.
pub fn start_recording_endpoint(received: &ReceivedRequests) -> SocketAddr {
    start_slow_recording_endpoint(received, Duration::ZERO)
}

/// Does the same as [`start_recording_endpoint`], but the endpoint takes `service_time` for each request.
pub fn start_slow_recording_endpoint(received: &ReceivedRequests, service_time: Duration) -> SocketAddr {
    let received = received.clone();
    start_raw_endpoint(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut reader) {
            let length =
                head.split("content-length: ").nth(1).and_then(|l| l.split('\r').next()?.parse().ok());
            let body = match length {
                Some(length) => {
                    let mut body = vec![0; length];
                    reader.read_exact(&mut body).ok().map(|()| body)
                }
                None if head.contains("transfer-encoding: chunked") => read_chunked_body(&mut reader),
                None => Some(Vec::new()),
            };
            let Some(body) = body else { return };
            received.lock().unwrap().push((head, body));
            thread::sleep(service_time);
            // The node closes the connection if it has given up the request.
            if stream.write_all(&response("200 OK", "", b"ok")).is_err() {
                return;
            }
        }
    })
}
