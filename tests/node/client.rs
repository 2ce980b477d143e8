//! Sends requests to a node as its clients do, over blocking sockets.

use super::endpoint_stub::RequestRecord;
use super::http::{Message, request};
use super::node_process::Node;
use super::waiting::{WAIT_TIMEOUT, wait_for};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

/// One client connection to a node. Reads and the connect time out after `WAIT_TIMEOUT`.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        Client::try_connect(address).unwrap()
    }

    /// Returns `None` if the connection is refused or not established within `WAIT_TIMEOUT`.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, WAIT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, reader })
    }

    /// Returns `false` if the write fails, for example because the node has closed the connection.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one response. Returns `None` if the connection ends or the read times out before the response is complete.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    pub fn send_and_receive(&mut self, bytes: &[u8]) -> Message {
        assert!(self.send(bytes));
        self.read_response().expect("a complete response")
    }
}

/// Sends one request on a new connection. Returns `None` if there is no complete response.
pub fn try_request(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut client = Client::try_connect(address)?;
    client.send(bytes);
    client.read_response()
}

/// Sends one request on a new connection, and panics if there is no complete response.
pub fn send_request(address: SocketAddr, bytes: &[u8]) -> Message {
    try_request(address, bytes).expect("a complete response")
}

/// Sends at least `count` requests of one class, in rounds of `concurrency` at a time and each on a new connection.
/// `deadline_ms` is the time that the client still waits. Returns the statuses; 0 stands for a request without a
/// response.
pub fn send_concurrently(
    node: &Node,
    class: &str,
    deadline_ms: u64,
    count: usize,
    concurrency: usize,
) -> Vec<u16> {
    let address = node.address;
    let mut statuses = Vec::new();
    for _ in 0..count.div_ceil(concurrency) {
        let requests: Vec<_> = (0..concurrency)
            .map(|_| {
                let bytes = request(class, deadline_ms);
                thread::spawn(move || try_request(address, &bytes).map_or(0, |m| m.status()))
            })
            .collect();
        statuses.extend(requests.into_iter().map(|request| request.join().unwrap()));
    }
    statuses
}

/// Sends requests until `active` has received 20 more, and asserts that `draining` receives none.
///
/// Does not check the statuses of the responses: a node that is one of many has concurrency limits below 1, so it may
/// reject some requests while others are answered late.
pub fn assert_draining_endpoint_gets_no_requests(
    node: &Node,
    draining: &RequestRecord,
    active: &RequestRecord,
) {
    let (draining_before, active_before) = (draining.count(), active.count());
    wait_for("the active endpoint receives 20 requests", || {
        send_request(node.address, &request("bid", 900));
        active.count() >= active_before + 20
    });
    assert_eq!(draining.count(), draining_before, "requests were sent to a draining endpoint");
}
