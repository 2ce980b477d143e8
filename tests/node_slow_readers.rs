//! Tests that clients that read slowly get their responses to the last byte, and that others do not hold connections.
mod node;

use node::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client pauses between two bursts. The node closes an idle connection sooner.
const BURST_PAUSE: Duration = Duration::from_secs(3);
/// What a client reads in one burst. With [`BURST_PAUSE`], it reads 64 kB per second, as the slowest legitimate
/// clients do.
const BURST_BYTES: usize = 192_000;
/// The receive buffer of the clients. The system doubles the value.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Starts an endpoint whose response bodies have the length that the path of the request ends with.
fn start_sized_endpoint() -> SocketAddr {
    start_raw_endpoint(|_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut reader) {
            let path = head.split(' ').nth(1).unwrap();
            let length: usize = path.rsplit('/').next().unwrap().parse().unwrap();
            // Write errors are ignored: the node may have closed the connection.
            let _ = stream.write_all(&response("200 OK", "", &patterned_body(length)));
        }
    })
}

/// Starts a node with long buffers for each connection.
fn start_node() -> Node {
    let discovery = DiscoveryStub::start(all_up(&[start_sized_endpoint()]));
    Node::start(discovery.address, |config| config["limits"]["sockets"] = 256.into())
}

/// Connects a client with a small receive buffer.
fn connect_slow_reader(node: &Node) -> BufReader<TcpStream> {
    BufReader::with_capacity(1024, connect_with_receive_buffer(node.address, RECEIVE_BUFFER_BYTES))
}

/// Sends a request for a response of `length` bytes.
fn send_sized_request(client: &mut BufReader<TcpStream>, length: usize) {
    let text = String::from_utf8(request("page", 4000)).unwrap();
    let text = text.replace("GET /api ", &format!("GET /api/{length} "));
    client.get_mut().write_all(text.as_bytes()).unwrap();
}

/// Reads the head of a response with status 200.
fn read_ok_head(client: &mut BufReader<TcpStream>) {
    let head = read_head(client).expect("a response head");
    assert!(head.starts_with("http/1.1 200"), "{head}");
}

/// Requests a response of `length` bytes, and reads its head.
fn request_sized(client: &mut BufReader<TcpStream>, length: usize) {
    send_sized_request(client, length);
    read_ok_head(client);
}

/// Reads a body of `length` bytes in bursts. Returns the number of bytes received.
fn read_in_bursts(client: &mut BufReader<TcpStream>, length: usize) -> usize {
    let mut body = Vec::new();
    while body.len() < length {
        thread::sleep(BURST_PAUSE);
        let burst_end = (body.len() + BURST_BYTES).min(length);
        let mut piece = vec![0; burst_end - body.len()];
        if client.read_exact(&mut piece).is_err() {
            return body.len();
        }
        body.extend_from_slice(&piece);
    }
    assert!(body == patterned_body(length), "the body was changed");
    length
}

/// Guards against a connection that counts as idle while the end of a response still waits to be written. The node closed
/// such a connection 2.2 s after it had the end of the response from the endpoint, and the client lost the rest.
#[test]
fn a_client_that_reads_in_bursts_at_the_slowest_allowed_rate_gets_the_end_of_each_response() {
    let node = start_node();
    let clients: Vec<_> = (0..12)
        .map(|n| {
            let length = 200_000 + n * 40_000;
            let mut client = connect_slow_reader(&node);
            request_sized(&mut client, length);
            thread::spawn(move || (read_in_bursts(&mut client, length), length))
        })
        .collect();
    for client in clients {
        let (received, length) = client.join().unwrap();
        assert_eq!(received, length, "the response was cut off");
    }
}

/// Guards against the same for responses that the node has buffered completely, which it has handed to hyper long before
/// they are written.
#[test]
fn buffered_responses_to_pipelined_requests_are_completed_for_a_client_that_reads_them_late() {
    const REQUESTS: usize = 120;
    const LENGTH: usize = 60_000;
    let node = start_node();
    let mut client = connect_slow_reader(&node);
    for _ in 0..REQUESTS {
        send_sized_request(&mut client, LENGTH);
    }
    thread::sleep(BURST_PAUSE);
    for n in 0..REQUESTS {
        read_ok_head(&mut client);
        let mut body = vec![0; LENGTH];
        client.read_exact(&mut body).unwrap_or_else(|error| panic!("response {n} was cut off: {error}"));
        assert!(body == patterned_body(LENGTH), "body {n} was changed");
    }
}

/// Guards the neighbour of that promise: a connection is idle once its slow response is written, and is closed then.
#[test]
fn a_connection_that_is_idle_after_a_slow_response_is_closed() {
    let node = start_node();
    let mut client = connect_slow_reader(&node);
    request_sized(&mut client, 400_000);
    assert_eq!(read_in_bursts(&mut client, 400_000), 400_000);
    let read_at = Instant::now();
    assert_eq!(client.read(&mut [0]).unwrap(), 0, "the node sent more than its response");
    assert!(read_at.elapsed() < Duration::from_secs(4), "closed after {:?}", read_at.elapsed());
}

/// Guards the other neighbour: a client that stops reading for good before the end of a response is disconnected.
#[test]
fn a_client_that_stops_reading_before_the_end_of_a_response_is_disconnected() {
    let node = start_node();
    let descriptors_before = node.settled_descriptor_count();
    let mut client = connect_slow_reader(&node);
    request_sized(&mut client, 400_000);
    client.read_exact(&mut [0; 100_000]).unwrap();
    wait_for("the node has a connection", || node.descriptor_count() > descriptors_before);
    thread::sleep(Duration::from_secs(14));
    wait_for("the node closes the connection", || {
        // The connection to the endpoint may stay open for the next request.
        node.descriptor_count() <= descriptors_before + 1
    });
}

/// Guards against an end of the process over the unwritten end of a response.
#[test]
fn a_response_that_is_being_written_slowly_at_sigterm_is_completed() {
    let mut node = start_node();
    let mut client = connect_slow_reader(&node);
    request_sized(&mut client, 400_000);
    client.read_exact(&mut vec![0; 180_000]).unwrap();
    node.terminate();
    thread::sleep(Duration::from_millis(1500));
    client.read_exact(&mut vec![0; 220_000]).expect("the rest of the response");
    assert!(node.wait_for_exit().success());
}
