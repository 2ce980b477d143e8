//! Simulates the servers behind the nodes.
//!
//! Each server has a few cores and a bounded queue, reports its load, and can be made to fail in several
//! ways. It records each attempt that it receives, which the oracle compares with the requests of the
//! clients.

use crate::http::{Message, response_bytes};
use crate::proxy::{Proxy, ProxyMode};
use crate::record::{CutResponse, Record, Rule, ServerAttempt};
use crate::response::{Pace, SLOW_RESPONSE_PARTS, ServerResponse, body};
use crate::settings::SERVER_IDLE_TIMEOUT;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// The number of requests that a server runs at once.
pub const CORES: usize = 3;
/// The mean time for which a request occupies a core.
pub const MEAN_SERVICE_TIME: Duration = Duration::from_millis(40);
/// A server that runs and queues this many requests rejects further ones.
const MAX_IN_FLIGHT: usize = 40;

/// How a server treats the requests that it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerMode {
    /// Serves them, and rejects only those beyond `MAX_IN_FLIGHT`.
    #[default]
    Healthy,
    /// Does not respond.
    Hanging,
    /// Responds to two of three with status 500.
    Failing,
    /// Rejects all of them, with a header that says that they did not run.
    Rejecting,
    /// Takes five times as long as usual.
    Slow,
    /// Answers with long bodies, and pauses between the head and the body or between parts of the body.
    WritingSlowly,
    /// Garbles or truncates half of the responses, and closes the connection after each of them.
    Corrupting,
}

/// A simulated server and the proxy in front of it.
pub struct Server {
    /// The index of the server.
    pub index: usize,
    /// The address that discovery lists, on which the proxy listens.
    pub address: SocketAddr,
    /// Forwards the connections of nodes, and breaks them on demand.
    pub proxy: Arc<Proxy>,
    mode: Mutex<ServerMode>,
    cores: Semaphore,
    /// The number of requests that run or wait for a core.
    in_flight: AtomicU32,
    is_up: AtomicBool,
    /// Numbers the responses, and selects the framing or corruption of each.
    next_response_number: AtomicU64,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server whose proxy listens at `address`.
    pub async fn start(index: usize, address: SocketAddr, record: Arc<Record>) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy::start(address, listener.local_addr().unwrap()).await;
        let server = Arc::new(Server {
            index,
            address: proxy.address,
            proxy,
            mode: Mutex::default(),
            cores: Semaphore::new(CORES),
            in_flight: AtomicU32::new(0),
            is_up: AtomicBool::new(true),
            next_response_number: AtomicU64::new(0),
            record,
        });
        let accepting_server = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(accepting_server.clone().serve_connection(stream));
            }
        });
        server
    }

    /// Sets the mode for requests that arrive from now on.
    pub fn set_mode(&self, mode: ServerMode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Stops the server: resets all connections and refuses new ones.
    pub async fn stop(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.proxy.set_mode(ProxyMode::Down).await;
    }

    /// Starts to serve again, in healthy mode.
    pub async fn restart(&self) {
        self.set_mode(ServerMode::Healthy);
        self.is_up.store(true, Ordering::SeqCst);
        self.proxy.set_mode(ProxyMode::Forwarding).await;
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        let (reader, mut writer) = stream.split();
        let mut reader = BufReader::new(reader);
        loop {
            let mut first_byte_at = 0.0;
            let read = Message::read(&mut reader, || first_byte_at = self.record.now());
            let Ok(Ok(message)) = tokio::time::timeout(SERVER_IDLE_TIMEOUT, read).await else { return };
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let Some(id) = self.request_id(&message) else { return };
            let mode = *self.mode.lock().unwrap();
            let rejected = mode == ServerMode::Rejecting
                || self.in_flight.load(Ordering::SeqCst) as usize >= MAX_IN_FLIGHT;
            self.record_attempt(id, first_byte_at, &message, rejected);
            let Some(response) = self.respond(id, mode, rejected).await else {
                // Keeps the connection open until the node closes it.
                let _ = Message::read(&mut reader, || {}).await;
                return;
            };
            let is_written = match response.pace {
                Pace::AtOnce => writer.write_all(&response.bytes).await.is_ok(),
                Pace::InParts { pause } => {
                    self.write_in_parts(&mut writer, &mut reader, id, &response.bytes, pause).await
                }
            };
            if !is_written || !response.keeps_connection {
                return;
            }
        }
    }

    /// Returns the id of a request. Records a violation if it has none: the request cannot be matched with one
    /// that a client sent, and counts as one that no client sent, which `DuplicateExecution` forbids too.
    fn request_id(&self, message: &Message) -> Option<u64> {
        let id = message.header("x-trace-id").and_then(|id| u64::from_str_radix(id, 16).ok());
        if id.is_none() {
            let text = format!("a server received a request without a valid X-Trace-Id: {message:?}");
            self.record.record_violation(Rule::DuplicateExecution, text);
        }
        id
    }

    /// Writes a response in parts, the first of which ends with the head. Returns whether all of it was written,
    /// and records it otherwise.
    async fn write_in_parts(
        &self,
        writer: &mut WriteHalf<'_>,
        reader: &mut BufReader<ReadHalf<'_>>,
        id: u64,
        bytes: &[u8],
        pause: Duration,
    ) -> bool {
        let disruptions = self.proxy.disruptions_if_forwarding();
        let head_length = bytes.windows(4).position(|window| window == b"\r\n\r\n").map_or(0, |n| n + 4);
        let (head, body) = bytes.split_at(head_length);
        let mut is_complete = writer.write_all(head).await.is_ok();
        let head_at = self.record.now();
        for part in body.chunks(body.len().div_ceil(SLOW_RESPONSE_PARTS).max(1)) {
            // The node sends nothing while it waits for the response, so the end of the pause is its close.
            let has_ended = tokio::time::timeout(pause, reader.fill_buf()).await.is_ok();
            is_complete = is_complete && !has_ended && writer.write_all(part).await.is_ok();
            if !is_complete {
                break;
            }
        }
        let is_disrupted = disruptions.is_none() || disruptions != self.proxy.disruptions_if_forwarding();
        if is_disrupted || !self.is_up.load(Ordering::SeqCst) {
            self.record.disrupted_responses.lock().unwrap().insert(id);
        } else if !is_complete {
            let cut = CutResponse { id, server: self.index, head_at, at: self.record.now() };
            self.record.cut_responses.lock().unwrap().push(cut);
        }
        is_complete
    }

    fn record_attempt(&self, id: u64, first_byte_at: f64, message: &Message, rejected: bool) {
        let timeout_ms = message.header("x-expires-in-ms").and_then(|ms| ms.parse::<f64>().ok());
        self.record.attempts.lock().unwrap().push(ServerAttempt {
            id,
            server: self.index,
            first_byte_at,
            last_byte_at: self.record.now(),
            timeout_seconds: timeout_ms.map(|ms| ms / 1000.0),
            rejected,
        });
    }

    /// Runs a request, unless it is rejected or the mode prevents it, and returns the response. Returns
    /// `None` if the server does not respond.
    async fn respond(&self, id: u64, mode: ServerMode, rejected: bool) -> Option<ServerResponse> {
        if rejected {
            return Some(ServerResponse::keep_alive(response_bytes(
                "503 Service Unavailable",
                "X-Never-Ran: 1\r\n",
                b"full",
            )));
        }
        if mode == ServerMode::Hanging {
            return None;
        }
        let response_number = self.next_response_number.fetch_add(1, Ordering::SeqCst);
        if mode == ServerMode::Failing && !response_number.is_multiple_of(3) {
            return Some(ServerResponse::keep_alive(response_bytes(
                "500 Internal Server Error",
                "",
                b"error",
            )));
        }
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let core = self.cores.acquire().await;
        let slowdown = if mode == ServerMode::Slow { 5.0 } else { 1.0 };
        tokio::time::sleep(MEAN_SERVICE_TIME.mul_f64(slowdown * (0.5 + fastrand::f64()))).await;
        drop(core);
        let load = self.in_flight.fetch_sub(1, Ordering::SeqCst);
        let body = body(id, self.index, response_number);
        Some(ServerResponse::served(mode, body, response_number, load))
    }
}
