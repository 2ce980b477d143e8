//! Simulates the clients of the nodes.
//!
//! Each client sends one request at a time, mostly to its own node, and reuses connections. Like real
//! clients, some of them write a request in two pieces, close the connection before the response, send only
//! a part of a request, or hold an idle connection. Clients connect only to nodes that are in rotation, as
//! if a front-end load balancer chose the nodes for them.

use crate::http::{Message, ReadError};
use crate::record::{ClientRequest, ClientResponse, ConnectionClose, Record};
use crate::settings::RequestClass;
use fastrand::Rng;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How long after its timeout a client still waits for a response, to tell a late response from a missing
/// one.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(4000);
/// The length up to which the last byte of a response counts as its time; of a longer one, the first byte does.
const MAX_TIMED_BODY_BYTES: usize = 64 * 1024;
/// The number of bytes of a response's body that are recorded.
const MAX_KEPT_BODY_BYTES: usize = 1000;
/// One in this many requests is written in two pieces.
const SPLIT_WRITE_ONE_IN: u32 = 8;
/// The longest pause between the two pieces of a request.
const MAX_SPLIT_WRITE_PAUSE: Duration = Duration::from_millis(400);
/// Of ten requests, how many a client sends to its own node; the others go to a random one.
const OWN_NODE_IN_TEN: u32 = 8;
/// Of ten requests, how many reuse a connection if one is open.
const REUSE_IN_TEN: u32 = 9;
/// A client that abandons a request does so within this part of its timeout.
const MAX_ABANDON_FRACTION: f64 = 0.3;
/// The pauses between the requests of a client while no fault changes them, in percent of the usual ones.
pub const USUAL_PAUSE_PERCENT: u64 = 100;
/// The share of requests that clients abandon while no fault changes it, in percent.
pub const USUAL_ABANDON_PERCENT: u64 = 3;
/// The number of distinct objects in the `X-Object` headers.
const OBJECT_COUNT: u64 = 200;

/// A node as a front-end load balancer sees it.
#[derive(Debug)]
pub struct NodeEntry {
    /// The address on which the node accepts clients.
    pub address: SocketAddr,
    /// Whether clients open new connections to the node.
    pub in_rotation: AtomicBool,
}

/// The state that all clients share.
pub struct Clients {
    /// The nodes, by index.
    pub nodes: Vec<NodeEntry>,
    /// The pauses between the requests of a client, in percent of the usual ones; set by faults.
    pub pause_percent: AtomicU64,
    /// The share of requests that clients abandon before the response, in percent; set by faults.
    pub abandon_percent: AtomicU64,
    /// Whether the run is over, so that clients send no more requests.
    pub stopped: AtomicBool,
    next_id: AtomicU64,
    pub(crate) record: Arc<Record>,
    seed: u64,
}

/// A connection to a node.
struct Connection {
    stream: BufReader<TcpStream>,
    /// Whether the client has received no response on it yet.
    is_new: bool,
}

/// The outcome of a request, as far as it matters to the next one.
enum RequestOutcome {
    /// The response is complete, and the connection can be reused.
    Reusable(Connection),
    /// The request has ended, with or without a response, and its connection cannot be reused.
    Ended,
    /// The node closed a reused connection without a response, so that it may not have read the request.
    ReusedConnectionClosed,
    /// The node is not in rotation, or the connection could not be established.
    NotConnected,
}

/// The outcome of writing a request.
enum WriteOutcome {
    /// All bytes were written.
    Complete,
    /// The node closed the connection, or responded, between the two pieces of a request.
    Interrupted,
}

/// The parameters of a request to send.
#[derive(Clone, Copy)]
struct RequestParameters {
    node: usize,
    class: RequestClass,
    timeout: Duration,
}

/// Whether the connection is open and has no unread bytes, as far as the client can tell.
fn is_open_and_quiet(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

impl Clients {
    /// Creates the clients of the nodes at these addresses. No node is in rotation yet.
    pub fn new(nodes: Vec<SocketAddr>, record: Arc<Record>, seed: u64) -> Arc<Clients> {
        let entry = |address| NodeEntry { address, in_rotation: AtomicBool::new(false) };
        Arc::new(Clients {
            nodes: nodes.into_iter().map(entry).collect(),
            pause_percent: AtomicU64::new(USUAL_PAUSE_PERCENT),
            abandon_percent: AtomicU64::new(USUAL_ABANDON_PERCENT),
            stopped: AtomicBool::new(false),
            next_id: AtomicU64::new(seed << 32 | 1),
            record,
            seed,
        })
    }

    fn is_in_rotation(&self, node: usize) -> bool {
        self.nodes[node].in_rotation.load(Ordering::SeqCst)
    }

    /// Connects to a node. Returns `None` if the node is not in rotation or the connection fails.
    pub(crate) async fn connect(&self, node: usize) -> Option<TcpStream> {
        if !self.is_in_rotation(node) {
            return None;
        }
        TcpStream::connect(self.nodes[node].address).await.ok()
    }

    /// Runs one client until `stopped` is set. `mean_pause` is the usual mean of the exponentially
    /// distributed pauses before its requests.
    pub async fn run_client(self: Arc<Self>, number: u64, mean_pause: Duration) {
        let mut rng = Rng::with_seed(self.seed << 20 ^ number);
        let mut idle_connections: HashMap<usize, Connection> = HashMap::new();
        let own_node = number as usize % self.nodes.len();
        while !self.stopped.load(Ordering::SeqCst) {
            let pause_factor = self.pause_percent.load(Ordering::SeqCst) as f64 / 100.0;
            tokio::time::sleep(mean_pause.mul_f64(pause_factor * -rng.f64().max(1e-6).ln())).await;
            let node = if rng.u32(..10) >= 10 - OWN_NODE_IN_TEN {
                own_node
            } else {
                rng.usize(..self.nodes.len())
            };
            let is_reused = |connection: &Connection| {
                is_open_and_quiet(connection.stream.get_ref()) && rng.u32(..10) >= 10 - REUSE_IN_TEN
            };
            let reused = idle_connections.remove(&node).filter(is_reused);
            let class = RequestClass::ALL[rng.usize(..RequestClass::ALL.len())];
            let timeout = class.max_timeout().mul_f64(0.5 + 0.5 * rng.f64());
            let parameters = RequestParameters { node, class, timeout };
            match self.send_request(&mut rng, reused, parameters).await {
                RequestOutcome::Reusable(connection) => drop(idle_connections.insert(node, connection)),
                RequestOutcome::ReusedConnectionClosed => self.retry(&mut rng, parameters).await,
                RequestOutcome::Ended | RequestOutcome::NotConnected => {}
            }
        }
    }

    /// Sends a request once more, with a new id, on a new connection to a random node in rotation.
    async fn retry(&self, rng: &mut Rng, parameters: RequestParameters) {
        let candidates: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.is_in_rotation(*node)).collect();
        if !candidates.is_empty() {
            let node = candidates[rng.usize(..candidates.len())];
            let _ = self.send_request(rng, None, RequestParameters { node, ..parameters }).await;
        }
    }

    /// Sends a request, on a new connection if there is none to reuse, and records its outcome.
    async fn send_request(
        &self,
        rng: &mut Rng,
        reused: Option<Connection>,
        parameters: RequestParameters,
    ) -> RequestOutcome {
        let mut connection = match reused {
            Some(connection) => connection,
            None => match self.connect(parameters.node).await {
                Some(stream) => {
                    let _ = stream.set_nodelay(true);
                    Connection { stream: BufReader::new(stream), is_new: true }
                }
                None => return RequestOutcome::NotConnected,
            },
        };
        let RequestParameters { node, class, timeout } = parameters;
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let bytes = request_bytes(id, class, timeout, rng.u64(..OBJECT_COUNT));
        // The record must have the request before a server can receive it.
        let on_new_connection = connection.is_new;
        self.record_request(
            id,
            ClientRequest { on_new_connection, ..self.new_request(node, class, timeout) },
        );
        match write_request(rng, connection.stream.get_mut(), &bytes).await {
            Ok(WriteOutcome::Complete) => {}
            Ok(WriteOutcome::Interrupted) => {
                // The request was never complete, so the node owes no response.
                self.record.requests.lock().unwrap().remove(&id);
                return RequestOutcome::Ended;
            }
            Err(_) => return self.record_close(id, &connection, false),
        }
        self.update_request(id, |request, now| request.sent_at = now);
        self.await_response(rng, id, connection, timeout).await
    }

    /// Waits for the response to a request, or abandons the request early, and records what happened.
    async fn await_response(
        &self,
        rng: &mut Rng,
        id: u64,
        mut connection: Connection,
        timeout: Duration,
    ) -> RequestOutcome {
        let abandons = rng.u64(..100) < self.abandon_percent.load(Ordering::SeqCst);
        let wait = if abandons {
            timeout.mul_f64(rng.f64() * MAX_ABANDON_FRACTION)
        } else {
            timeout + LATE_RESPONSE_WAIT
        };
        let mut first_byte_at = 0.0;
        let read = Message::read(&mut connection.stream, || first_byte_at = self.record.now());
        match tokio::time::timeout(wait, read).await {
            Ok(Ok(message)) => {
                self.record_response(id, &message, first_byte_at);
                let closes = message.header("connection") == Some("close");
                connection.is_new = false;
                if closes { RequestOutcome::Ended } else { RequestOutcome::Reusable(connection) }
            }
            Ok(Err(error)) => self.record_close(id, &connection, matches!(error, ReadError::Incomplete)),
            Err(_) => {
                drop(connection);
                self.update_request(id, |request, now| {
                    request.abandoned_at = Some(now);
                    request.is_response_partial = first_byte_at > 0.0;
                });
                RequestOutcome::Ended
            }
        }
    }

    /// A request that is sent now and has no outcome yet.
    fn new_request(&self, node: usize, class: RequestClass, timeout: Duration) -> ClientRequest {
        ClientRequest {
            class,
            node,
            sent_at: self.record.now(),
            timeout_seconds: timeout.as_secs_f64(),
            on_new_connection: false,
            abandoned_at: None,
            response: None,
            is_response_partial: false,
            connection_close: None,
        }
    }

    fn record_request(&self, id: u64, request: ClientRequest) {
        self.record.requests.lock().unwrap().insert(id, request);
    }

    /// Updates the record of a request. `update` gets the current time in seconds since the start of the
    /// record.
    fn update_request(&self, id: u64, update: impl FnOnce(&mut ClientRequest, f64)) {
        let now = self.record.now();
        if let Some(request) = self.record.requests.lock().unwrap().get_mut(&id) {
            update(request, now);
        }
    }

    /// Records a complete response. Of a long one, the first byte counts, and only the beginning is kept.
    fn record_response(&self, id: u64, message: &Message, first_byte_at: f64) {
        let status = message.status();
        let is_long = message.body.len() > MAX_TIMED_BODY_BYTES;
        let beginning = &message.body[..message.body.len().min(MAX_KEPT_BODY_BYTES)];
        let body = String::from_utf8_lossy(beginning).into_owned();
        self.update_request(id, |request, now| {
            let at = if is_long { first_byte_at } else { now };
            request.response = Some(ClientResponse { at, status, body });
        });
    }

    /// Records that the node ended the connection of a request before the response was complete.
    fn record_close(&self, id: u64, connection: &Connection, mid_response: bool) -> RequestOutcome {
        self.update_request(id, |request, at| {
            request.connection_close = Some(ConnectionClose { at, mid_response })
        });
        if connection.is_new || mid_response {
            RequestOutcome::Ended
        } else {
            RequestOutcome::ReusedConnectionClosed
        }
    }

    /// Sends several requests in one write. Each must get its own response, unless an earlier one ended the
    /// connection.
    pub async fn send_pipelined_requests(self: Arc<Self>, node: usize, count: usize) {
        let Some(mut stream) = self.connect(node).await else { return };
        let class = RequestClass::View;
        let first = self.next_id.fetch_add(count as u64, Ordering::SeqCst);
        let ids = first..first + count as u64;
        let mut bytes = Vec::new();
        for id in ids.clone() {
            bytes.extend(request_bytes(id, class, class.max_timeout(), id % 50));
            // Each response waits for those before it.
            self.record_request(id, self.new_request(node, class, class.max_timeout() * count as u32));
        }
        let _ = stream.write_all(&bytes).await;
        let mut stream = BufReader::new(stream);
        for id in ids {
            let mut first_byte_at = 0.0;
            let read = Message::read(&mut stream, || first_byte_at = self.record.now());
            match tokio::time::timeout(class.max_timeout() + LATE_RESPONSE_WAIT, read).await {
                Ok(Ok(message)) => self.record_response(id, &message, first_byte_at),
                Ok(Err(error)) => {
                    let mid_response = matches!(error, ReadError::Incomplete);
                    self.update_request(id, |request, at| {
                        request.connection_close = Some(ConnectionClose { at, mid_response });
                    });
                }
                Err(_) => return,
            }
        }
    }
}

/// Writes a request; one in `SPLIT_WRITE_ONE_IN` is written in two pieces with a pause between them.
async fn write_request(rng: &mut Rng, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<WriteOutcome> {
    if rng.u32(..SPLIT_WRITE_ONE_IN) > 0 {
        stream.write_all(bytes).await?;
        return Ok(WriteOutcome::Complete);
    }
    let (first, rest) = bytes.split_at(rng.usize(1..bytes.len()));
    stream.write_all(first).await?;
    tokio::time::sleep(MAX_SPLIT_WRITE_PAUSE.mul_f64(rng.f64())).await;
    if !is_open_and_quiet(stream) {
        return Ok(WriteOutcome::Interrupted);
    }
    stream.write_all(rest).await?;
    Ok(WriteOutcome::Complete)
}

/// Returns a complete request.
pub(crate) fn request_bytes(id: u64, class: RequestClass, timeout: Duration, object: u64) -> Vec<u8> {
    let head = format!(
        "Host: api.internal\r\nX-Trace-Id: {id:016x}\r\nX-Qos: {}\r\nX-Expires-In-Ms: {}\r\nX-Object: o{object}\r\n",
        class.name(),
        timeout.as_millis()
    );
    match class {
        RequestClass::View => format!("GET /api HTTP/1.1\r\n{head}\r\n"),
        RequestClass::Bid => {
            format!(
                "POST /api HTTP/1.1\r\n{head}Idempotency-Key: {id:032x}\r\nContent-Length: 3\r\n\r\nbid"
            )
        }
        RequestClass::Order => format!("POST /api HTTP/1.1\r\n{head}Content-Length: 5\r\n\r\norder"),
    }
    .into_bytes()
}
