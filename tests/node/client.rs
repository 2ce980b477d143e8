//! Clients of a node.

use super::endpoint_stub::RequestRecord;
use super::http::{Message, request};
use super::node_process::Node;
use super::waiting::{WAIT_TIMEOUT, wait_for};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        Client::try_connect(address).unwrap()
    }

    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, WAIT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The response, if a complete one comes.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    pub fn send_and_receive(&mut self, bytes: &[u8]) -> Message {
        assert!(self.send(bytes));
        self.read_response().expect("an answer")
    }
}

/// One request on a connection of its own; its response, if there is one.
pub fn try_request(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut client = Client::try_connect(address)?;
    client.send(bytes);
    client.read_response()
}

/// One request on a connection of its own, which must be answered.
pub fn send_request(address: SocketAddr, bytes: &[u8]) -> Message {
    try_request(address, bytes).expect("an answer")
}

/// Sends requests of one class, `at_once` at a time and each on a connection of its own; their statuses.
pub fn send_concurrently(
    node: &Node,
    class: &str,
    deadline_ms: u64,
    count: usize,
    at_once: usize,
) -> Vec<u16> {
    let address = node.address;
    let mut statuses = Vec::new();
    for _ in 0..count.div_ceil(at_once) {
        let requests: Vec<_> = (0..at_once)
            .map(|_| {
                let bytes = request(class, deadline_ms);
                thread::spawn(move || try_request(address, &bytes).map_or(0, |m| m.status()))
            })
            .collect();
        statuses.extend(requests.into_iter().map(|request| request.join().unwrap()));
    }
    statuses
}

/// Sends requests until `staying` has served some more, and asserts that `leaving` gets none. One of many nodes may
/// reject one of several requests that are answered late, so not each is served.
pub fn assert_draining_endpoint_gets_no_requests(
    node: &Node,
    leaving: &RequestRecord,
    staying: &RequestRecord,
) {
    let (left, stayed) = (leaving.count(), staying.count());
    wait_for("the staying endpoint serves", || {
        send_request(node.address, &request("bid", 900));
        staying.count() >= stayed + 20
    });
    assert_eq!(leaving.count(), left, "sent to an endpoint that leaves");
}
