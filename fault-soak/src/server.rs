//! Stand-ins for bid servers: a few cores, a queue, and faults on demand.

use crate::http::{Message, answer};
use crate::proxy::{Mode, Proxy};
use crate::record::{Record, Seen};
use crate::settings::SERVER_IDLE;
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
/// Requests that may wait before one is turned away.
const QUEUE: usize = 40;

/// What a server does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// Serves them.
    #[default]
    Well,
    /// Says nothing.
    Hangs,
    /// Answers two of three with an error.
    Errors,
    /// Turns all away.
    Full,
    /// Takes five times as long.
    Slow,
    /// Garbles or cuts half of the answers.
    Spoils,
}

/// One server.
pub struct Server {
    /// Its number.
    pub number: usize,
    /// Where it is reached: by a proxy.
    pub address: SocketAddr,
    /// What stands between it and the nodes.
    pub proxy: Arc<Proxy>,
    manner: Mutex<Manner>,
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
            manner: Mutex::default(),
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
    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// Dies: all connections break, and new ones are refused.
    pub async fn die(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.proxy.set(Mode::Dead).await;
    }

    /// Is there again, cold.
    pub async fn revive(&self) {
        self.set(Manner::Well);
        self.up.store(true, Ordering::SeqCst);
        self.proxy.set(Mode::Passes).await;
    }

    async fn converse(self: Arc<Self>, mut stream: TcpStream) {
        let (reader, mut writer) = stream.split();
        let mut reader = BufReader::new(reader);
        loop {
            let mut first = 0.0;
            let read = Message::read(&mut reader, || first = self.record.now());
            let Ok(Ok(message)) = tokio::time::timeout(SERVER_IDLE, read).await else { return };
            if !self.up.load(Ordering::SeqCst) {
                return;
            }
            let Some(id) = message.header("x-trace-id").and_then(|id| u64::from_str_radix(id, 16).ok())
            else {
                self.record.broke(crate::record::Rule::Duplicate, format!("a server got {message:?}"));
                return;
            };
            let manner = *self.manner.lock().unwrap();
            let turned_away =
                manner == Manner::Full || self.waiting.load(Ordering::SeqCst) as usize >= QUEUE;
            let index = self.note(id, first, &message, turned_away);
            let Some(bytes) = self.answer(id, manner, turned_away).await else {
                // Says nothing until the other side gives up.
                let _ = Message::read(&mut reader, || {}).await;
                return;
            };
            let whole = bytes.whole;
            let _ = writer.write_all(&bytes.bytes).await;
            self.record.seen.lock().unwrap()[index].answered = Some(self.record.now());
            if !whole {
                return;
            }
        }
    }

    fn note(&self, id: u64, first: f64, message: &Message, turned_away: bool) -> usize {
        let expires = message.header("x-expires-in-ms").and_then(|ms| ms.parse::<f64>().ok());
        let mut seen = self.record.seen.lock().unwrap();
        seen.push(Seen {
            id,
            server: self.number,
            first,
            whole: self.record.now(),
            expires: expires.map(|ms| ms / 1000.0),
            turned_away,
            answered: None,
        });
        seen.len() - 1
    }

    /// None where it says nothing.
    async fn answer(&self, id: u64, manner: Manner, turned_away: bool) -> Option<Reply> {
        if turned_away {
            return Some(Reply::whole(answer("503 Service Unavailable", "X-Never-Ran: 1\r\n", b"full")));
        }
        if manner == Manner::Hangs {
            return None;
        }
        let nonce = self.nonce.fetch_add(1, Ordering::SeqCst);
        if manner == Manner::Errors && !nonce.is_multiple_of(3) {
            return Some(Reply::whole(answer("500 Internal Server Error", "", b"error")));
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let core = self.cores.acquire().await;
        let times = if manner == Manner::Slow { 5.0 } else { 1.0 };
        tokio::time::sleep(WORK.mul_f64(times * (0.5 + fastrand::f64()))).await;
        drop(core);
        let load = self.waiting.fetch_sub(1, Ordering::SeqCst);
        let body = body(id, self.number, nonce);
        let headers = format!("Endpoint-Load-Metrics: TEXT inflight={load}\r\n");
        let framing = Framing::ALL[(nonce % Framing::ALL.len() as u64) as usize];
        let mut bytes = framing.answer(&headers, body.as_bytes());
        if manner == Manner::Spoils && nonce.is_multiple_of(2) {
            match nonce % 3 {
                0 => bytes.truncate(bytes.len() - 5),
                1 => bytes.truncate(20),
                _ => bytes[0] = b'?',
            }
            return Some(Reply { bytes, whole: false });
        }
        Some(Reply { bytes, whole: framing != Framing::Close })
    }
}

/// How the end of an answer is told.
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
    whole: bool,
}

impl Reply {
    fn whole(bytes: Vec<u8>) -> Reply {
        Reply { bytes, whole: true }
    }
}

/// What a server answers to a request that it ran.
pub fn body(id: u64, server: usize, nonce: u64) -> String {
    format!("{id:016x} served by {server} as {nonce}")
}
