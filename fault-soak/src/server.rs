//! Stand-ins for bid servers: a few cores, a queue, and faults on demand.

use crate::http::{Message, answer};
use crate::proxy::{Mode, Proxy};
use crate::record::{Record, ServerAttempt};
use crate::settings::SERVER_IDLE_TIMEOUT;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Requests that a server works at together, and how long one takes in the mean.
pub const CORES: usize = 3;
/// See `CORES`.
pub const WORK: Duration = Duration::from_millis(40);
/// Requests that may wait before one is rejected.
const MAX_QUEUE: usize = 40;

/// What a server does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerMode {
    /// Serves them.
    #[default]
    Healthy,
    /// Says nothing.
    Hanging,
    /// Answers two of three with an error.
    Failing,
    /// Rejects all of them.
    Rejecting,
    /// Takes five times as long.
    Slow,
    /// Garbles or cuts half of the answers.
    Corrupting,
}

/// One server.
pub struct Server {
    /// Its number.
    pub number: usize,
    /// Where it is reached: by a proxy.
    pub address: SocketAddr,
    /// What stands between it and the nodes.
    pub proxy: Arc<Proxy>,
    mode: Mutex<ServerMode>,
    cores: Semaphore,
    waiting: AtomicU32,
    up: AtomicBool,
    nonce: AtomicU64,
    record: Arc<Record>,
}

impl Server {
    /// Starts one that is reached at `address`.
    pub async fn start(number: usize, address: SocketAddr, record: Arc<Record>) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy::start(address, listener.local_addr().unwrap()).await;
        let server = Arc::new(Server {
            number,
            address: proxy.address,
            proxy,
            mode: Mutex::default(),
            cores: Semaphore::new(CORES),
            waiting: AtomicU32::new(0),
            up: AtomicBool::new(true),
            nonce: AtomicU64::new(0),
            record,
        });
        let own = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(own.clone().converse(stream));
            }
        });
        server
    }

    /// From now on it does so.
    pub fn set(&self, mode: ServerMode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Dies: all connections break, and new ones are refused.
    pub async fn die(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.proxy.set(Mode::Dead).await;
    }

    /// Serves again, in slow start.
    pub async fn revive(&self) {
        self.set(ServerMode::Healthy);
        self.up.store(true, Ordering::SeqCst);
        self.proxy.set(Mode::Passes).await;
    }

    async fn converse(self: Arc<Self>, mut stream: TcpStream) {
        let (reader, mut writer) = stream.split();
        let mut reader = BufReader::new(reader);
        loop {
            let mut first_byte_at = 0.0;
            let read = Message::read(&mut reader, || first_byte_at = self.record.now());
            let Ok(Ok(message)) = tokio::time::timeout(SERVER_IDLE_TIMEOUT, read).await else { return };
            if !self.up.load(Ordering::SeqCst) {
                return;
            }
            let Some(id) = message.header("x-trace-id").and_then(|id| u64::from_str_radix(id, 16).ok())
            else {
                self.record
                    .record_violation(crate::record::Rule::Duplicate, format!("a server got {message:?}"));
                return;
            };
            let mode = *self.mode.lock().unwrap();
            let rejected =
                mode == ServerMode::Rejecting || self.waiting.load(Ordering::SeqCst) as usize >= MAX_QUEUE;
            self.record_attempt(id, first_byte_at, &message, rejected);
            let Some(bytes) = self.answer(id, mode, rejected).await else {
                // Says nothing until the other side gives up.
                let _ = Message::read(&mut reader, || {}).await;
                return;
            };
            let complete = bytes.complete;
            let _ = writer.write_all(&bytes.bytes).await;
            if !complete {
                return;
            }
        }
    }

    fn record_attempt(&self, id: u64, first_byte_at: f64, message: &Message, rejected: bool) {
        let timeout_ms = message.header("x-expires-in-ms").and_then(|ms| ms.parse::<f64>().ok());
        self.record.attempts.lock().unwrap().push(ServerAttempt {
            id,
            server: self.number,
            first_byte_at,
            complete_at: self.record.now(),
            timeout: timeout_ms.map(|ms| ms / 1000.0),
            rejected,
        });
    }

    /// None where it says nothing.
    async fn answer(&self, id: u64, mode: ServerMode, rejected: bool) -> Option<Reply> {
        if rejected {
            return Some(Reply::complete(answer("503 Service Unavailable", "X-Never-Ran: 1\r\n", b"full")));
        }
        if mode == ServerMode::Hanging {
            return None;
        }
        let nonce = self.nonce.fetch_add(1, Ordering::SeqCst);
        if mode == ServerMode::Failing && !nonce.is_multiple_of(3) {
            return Some(Reply::complete(answer("500 Internal Server Error", "", b"error")));
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let core = self.cores.acquire().await;
        let times = if mode == ServerMode::Slow { 5.0 } else { 1.0 };
        tokio::time::sleep(WORK.mul_f64(times * (0.5 + fastrand::f64()))).await;
        drop(core);
        let load = self.waiting.fetch_sub(1, Ordering::SeqCst);
        let body = body(id, self.number, nonce);
        let headers = format!("Endpoint-Load-Metrics: TEXT inflight={load}\r\n");
        let framing = Framing::ALL[(nonce % Framing::ALL.len() as u64) as usize];
        let mut bytes = framing.answer(&headers, body.as_bytes());
        if mode == ServerMode::Corrupting && nonce.is_multiple_of(2) {
            match nonce % 3 {
                0 => bytes.truncate(bytes.len() - 5),
                1 => bytes.truncate(20),
                _ => bytes[0] = b'?',
            }
            return Some(Reply { bytes, complete: false });
        }
        Some(Reply { bytes, complete: framing != Framing::Close })
    }
}

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    Close,
}

impl Framing {
    const ALL: [Framing; 8] = [
        Framing::Length,
        Framing::Length,
        Framing::Chunks,
        Framing::Length,
        Framing::Length,
        Framing::Close,
        Framing::Length,
        Framing::Chunks,
    ];

    fn answer(self, headers: &str, body: &[u8]) -> Vec<u8> {
        let head = |framing: &str| format!("HTTP/1.1 200 OK\r\n{headers}{framing}\r\n").into_bytes();
        match self {
            Framing::Length => answer("200 OK", headers, body),
            Framing::Close => [&head("Connection: close\r\n"), body].concat(),
            Framing::Chunks => {
                let mut bytes = head("Transfer-Encoding: chunked\r\n");
                for chunk in body.chunks(10) {
                    bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    bytes.extend_from_slice(chunk);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
                bytes
            }
        }
    }
}

/// What is written, and whether that is an answer.
struct Reply {
    bytes: Vec<u8>,
    complete: bool,
}

impl Reply {
    fn complete(bytes: Vec<u8>) -> Reply {
        Reply { bytes, complete: true }
    }
}

/// What a server answers to a request that it ran.
pub fn body(id: u64, server: usize, nonce: u64) -> String {
    format!("{id:016x} served by {server} as {nonce}")
}
