//! Clients: each sends requests to one node after another, reuses connections, and now and then misbehaves.

use crate::http::{Message, ReadError};
use crate::record::{ClientAnswer, ClientRequest, ConnectionClose, Record, Rule};
use crate::settings::RequestClass;
use fastrand::Rng;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How long after its time an answer is still waited for, to tell a late one from none.
const OVERTIME: Duration = Duration::from_millis(1500);
/// A malformed client gets an error or a close within this, in seconds.
const MALFORMED_LIMIT: f64 = 3.0;
/// So much longer until that counts as a violation here, in seconds.
const MALFORMED_SLACK: f64 = 0.35;
/// A malformed client waits so much longer than it should have to, in seconds.
const MALFORMED_OVERTIME: f64 = 2.0;
/// One in so many requests comes in two pieces, so far apart at most.
const IN_PIECES: u32 = 8;
const MAX_PIECE_PAUSE: Duration = Duration::from_millis(400);
/// For how long an idle client stays.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Of ten requests, those that go to the client's own node, and those that may reuse a connection.
const HOME_IN_TEN: u32 = 8;
const KEEP_ALIVE_IN_TEN: u32 = 9;
/// A client that leaves early does so within this part of its time.
const EARLY_LEAVE_PART: f64 = 0.3;
/// Objects that requests are about.
const OBJECTS: u64 = 200;

/// What the front knows of a node.
#[derive(Debug)]
pub struct FrontEntry {
    /// Where clients connect.
    pub address: SocketAddr,
    /// New connections go there.
    pub open: AtomicBool,
}

/// All clients.
pub struct Clients {
    /// The nodes.
    pub entries: Vec<FrontEntry>,
    /// Pauses between requests are this part of what they are usually, in hundredths.
    pub pace: AtomicU64,
    /// How many of a hundred requests are left by their clients.
    pub leaving: AtomicU64,
    /// No more requests are sent.
    pub over: AtomicBool,
    next_id: AtomicU64,
    record: Arc<Record>,
    seed: u64,
}

/// A connection to a node.
struct Connection {
    stream: BufReader<TcpStream>,
    is_new: bool,
}

/// What became of a request.
enum RequestEnd {
    /// The connection may be used again.
    KeepAlive(Connection),
    /// It is over, one way or another.
    Over,
    /// The node ended a reused connection before it read the request, as far as the client can tell.
    CrossedClose,
    /// There was no connection.
    NoConnection,
}

/// How the writing of a request ended.
enum WriteOutcome {
    /// With its last byte.
    Complete,
    /// The node ended the connection, or answered, between its two pieces.
    EndedBetweenPieces,
}

/// A client's request.
#[derive(Clone, Copy)]
struct Demand {
    node: usize,
    class: RequestClass,
    timeout: Duration,
}

/// As far as the client can tell, the node has not ended it, and has said nothing on it.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

impl Clients {
    /// Clients of these nodes, whose front lets nobody in yet.
    pub fn new(nodes: Vec<SocketAddr>, record: Arc<Record>, seed: u64) -> Arc<Clients> {
        let entry = |address| FrontEntry { address, open: AtomicBool::new(false) };
        Arc::new(Clients {
            entries: nodes.into_iter().map(entry).collect(),
            pace: AtomicU64::new(100),
            leaving: AtomicU64::new(3),
            over: AtomicBool::new(false),
            next_id: AtomicU64::new(seed << 32 | 1),
            record,
            seed,
        })
    }

    fn is_entry_open(&self, node: usize) -> bool {
        self.entries[node].open.load(Ordering::SeqCst)
    }

    /// Connects to a node, if the front sends clients there.
    async fn connect(&self, node: usize) -> Option<TcpStream> {
        if !self.is_entry_open(node) {
            return None;
        }
        TcpStream::connect(self.entries[node].address).await.ok()
    }

    /// One client, until there is nothing more to ask. `mean` is the time between its requests.
    pub async fn run(self: Arc<Self>, number: u64, mean: Duration) {
        let mut rng = Rng::with_seed(self.seed << 20 ^ number);
        let mut kept: HashMap<usize, Connection> = HashMap::new();
        let home = number as usize % self.entries.len();
        while !self.over.load(Ordering::SeqCst) {
            let pace = self.pace.load(Ordering::SeqCst) as f64 / 100.0;
            tokio::time::sleep(mean.mul_f64(pace * -rng.f64().max(1e-6).ln())).await;
            let node =
                if rng.u32(..10) >= 10 - HOME_IN_TEN { home } else { rng.usize(..self.entries.len()) };
            let reusable = |connection: &Connection| {
                is_open(connection.stream.get_ref()) && rng.u32(..10) >= 10 - KEEP_ALIVE_IN_TEN
            };
            let used = kept.remove(&node).filter(reusable);
            let class = RequestClass::ALL[rng.usize(..RequestClass::ALL.len())];
            let timeout = class.limit().mul_f64(0.5 + 0.5 * rng.f64());
            let demand = Demand { node, class, timeout };
            match self.ask(&mut rng, used, demand).await {
                RequestEnd::KeepAlive(connection) => drop(kept.insert(node, connection)),
                RequestEnd::CrossedClose => self.ask_again(&mut rng, demand).await,
                RequestEnd::Over | RequestEnd::NoConnection => {}
            }
        }
    }

    /// A request that crossed the end of a connection is sent once more, on a new one.
    async fn ask_again(&self, rng: &mut Rng, demand: Demand) {
        let open: Vec<usize> = (0..self.entries.len()).filter(|node| self.is_entry_open(*node)).collect();
        if !open.is_empty() {
            let node = open[rng.usize(..open.len())];
            let _ = self.ask(rng, None, Demand { node, ..demand }).await;
        }
    }

    async fn ask(&self, rng: &mut Rng, used: Option<Connection>, demand: Demand) -> RequestEnd {
        let mut connection = match used {
            Some(connection) => connection,
            None => match self.connect(demand.node).await {
                Some(stream) => {
                    let _ = stream.set_nodelay(true);
                    Connection { stream: BufReader::new(stream), is_new: true }
                }
                None => return RequestEnd::NoConnection,
            },
        };
        let Demand { node, class, timeout } = demand;
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let bytes = request(id, class, timeout, rng.u64(..OBJECTS));
        // What is known of it must be there before a server can have it.
        let new_connection = connection.is_new;
        self.record_request(id, ClientRequest { new_connection, ..self.new_request(node, class, timeout) });
        match write(rng, connection.stream.get_mut(), &bytes).await {
            Ok(WriteOutcome::Complete) => {}
            Ok(WriteOutcome::EndedBetweenPieces) => {
                // It never was a request.
                self.record.requests.lock().unwrap().remove(&id);
                return RequestEnd::Over;
            }
            Err(_) => return self.closed(id, &connection, false),
        }
        self.change_request(id, |request, now| request.sent_at = now);
        self.await_answer(rng, id, connection, timeout).await
    }

    async fn await_answer(
        &self,
        rng: &mut Rng,
        id: u64,
        mut connection: Connection,
        timeout: Duration,
    ) -> RequestEnd {
        let leaves = rng.u64(..100) < self.leaving.load(Ordering::SeqCst);
        let patience =
            if leaves { timeout.mul_f64(rng.f64() * EARLY_LEAVE_PART) } else { timeout + OVERTIME };
        let read = Message::read(&mut connection.stream, || {});
        match tokio::time::timeout(patience, read).await {
            Ok(Ok(message)) => {
                self.answered(id, &message);
                let closes = message.header("connection") == Some("close");
                connection.is_new = false;
                if closes { RequestEnd::Over } else { RequestEnd::KeepAlive(connection) }
            }
            Ok(Err(error)) => self.closed(id, &connection, matches!(error, ReadError::Midway)),
            Err(_) => {
                drop(connection);
                self.change_request(id, |request, now| request.left_at = Some(now));
                RequestEnd::Over
            }
        }
    }

    fn new_request(&self, node: usize, class: RequestClass, timeout: Duration) -> ClientRequest {
        ClientRequest {
            class,
            node,
            sent_at: self.record.now(),
            timeout: timeout.as_secs_f64(),
            new_connection: false,
            left_at: None,
            answer: None,
            closed: None,
        }
    }

    fn record_request(&self, id: u64, request: ClientRequest) {
        self.record.requests.lock().unwrap().insert(id, request);
    }

    /// Changes what is known of a request, by what is seen just now.
    fn change_request(&self, id: u64, change: impl FnOnce(&mut ClientRequest, f64)) {
        let now = self.record.now();
        if let Some(request) = self.record.requests.lock().unwrap().get_mut(&id) {
            change(request, now);
        }
    }

    fn answered(&self, id: u64, message: &Message) {
        let status = message.status();
        let body = String::from_utf8_lossy(&message.body).into_owned();
        self.change_request(id, |request, at| request.answer = Some(ClientAnswer { at, status, body }));
    }

    /// The node ended the connection of a request with no complete answer.
    fn closed(&self, id: u64, connection: &Connection, within_answer: bool) -> RequestEnd {
        self.change_request(id, |request, at| request.closed = Some(ConnectionClose { at, within_answer }));
        if connection.is_new || within_answer { RequestEnd::Over } else { RequestEnd::CrossedClose }
    }

    /// Half a request that stays: it must get an error or a close.
    pub async fn half_request(self: Arc<Self>, node: usize, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let Some(mut stream) = self.connect(node).await else { return };
        let connected_at = self.record.now();
        let bytes = request(u64::MAX - seed, RequestClass::Bid, Duration::from_secs(1), 1);
        let part = rng.usize(..bytes.len() - 1);
        if stream.write_all(&bytes[..part]).await.is_err() {
            return;
        }
        let limit = Duration::from_secs_f64(MALFORMED_LIMIT + MALFORMED_OVERTIME);
        let mut byte = [0];
        let ended = tokio::time::timeout(limit, stream.read(&mut byte)).await;
        let took = self.record.now() - connected_at;
        let stall = self.record.longest_stall(connected_at, self.record.now());
        if ended.is_err() || took > MALFORMED_LIMIT + MALFORMED_SLACK + stall {
            let what = format!("node {node}: half a request ({part} bytes) got nothing for {took:.2} s");
            self.record.record_violation(Rule::Rude, what);
        }
    }

    /// Several requests in one write; each gets its answer or, behind one that ends the connection,
    /// nothing.
    pub async fn pipeline(self: Arc<Self>, node: usize, count: usize) {
        let Some(mut stream) = self.connect(node).await else { return };
        let class = RequestClass::View;
        let first = self.next_id.fetch_add(count as u64, Ordering::SeqCst);
        let ids = first..first + count as u64;
        let mut bytes = Vec::new();
        for id in ids.clone() {
            bytes.extend(request(id, class, class.limit(), id % 50));
            // Each waits for those before it.
            self.record_request(id, self.new_request(node, class, class.limit() * count as u32));
        }
        let _ = stream.write_all(&bytes).await;
        let mut stream = BufReader::new(stream);
        for id in ids {
            let read = Message::read(&mut stream, || {});
            match tokio::time::timeout(class.limit() + OVERTIME, read).await {
                Ok(Ok(message)) => self.answered(id, &message),
                Ok(Err(error)) => {
                    let within_answer = matches!(error, ReadError::Midway);
                    self.change_request(id, |request, at| {
                        request.closed = Some(ConnectionClose { at, within_answer });
                    });
                }
                Err(_) => return,
            }
        }
    }

    /// A connection without requests, until the node ends it.
    pub async fn idle(self: Arc<Self>, node: usize) {
        let Some(mut stream) = self.connect(node).await else { return };
        let mut byte = [0];
        let _ = tokio::time::timeout(IDLE_TIME, stream.read(&mut byte)).await;
    }
}

/// Writes a request, now and then in two pieces with a pause between them.
async fn write(rng: &mut Rng, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<WriteOutcome> {
    if rng.u32(..IN_PIECES) > 0 {
        stream.write_all(bytes).await?;
        return Ok(WriteOutcome::Complete);
    }
    let (first, rest) = bytes.split_at(rng.usize(1..bytes.len()));
    stream.write_all(first).await?;
    tokio::time::sleep(MAX_PIECE_PAUSE.mul_f64(rng.f64())).await;
    if !is_open(stream) {
        return Ok(WriteOutcome::EndedBetweenPieces);
    }
    stream.write_all(rest).await?;
    Ok(WriteOutcome::Complete)
}

fn request(id: u64, class: RequestClass, timeout: Duration, object: u64) -> Vec<u8> {
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
