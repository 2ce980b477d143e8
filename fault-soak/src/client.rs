//! Clients: each asks one node after another, keeps connections, and now and then misbehaves.

use crate::http::{Broken, Message};
use crate::record::{Asked, Record, Rule};
use crate::settings::Class;
use fastrand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How long after its time an answer is still waited for, to tell a late one from none.
const OVERTIME: Duration = Duration::from_millis(1500);
/// Whoever is no proper client gets an error or a close within this.
pub const RUDE_LIMIT: f64 = 3.0;
/// So much longer until that counts as broken here.
const RUDE_SLACK: f64 = 0.35;

/// One in so many requests comes in two pieces, so far apart at most.
const IN_PIECES: u32 = 8;
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What the front knows of a node.
#[derive(Debug)]
pub struct Door {
    /// Where clients connect.
    pub address: SocketAddr,
    /// New connections go there.
    pub open: AtomicBool,
}

/// All clients.
pub struct Clients {
    /// The nodes.
    pub doors: Vec<Door>,
    /// Pauses between requests are this part of what they are usually, in hundredths.
    pub pace: AtomicU64,
    /// How many of a hundred requests are left by their clients.
    pub leaving: AtomicU64,
    /// Nobody asks any more.
    pub over: AtomicBool,
    next: AtomicU64,
    record: Arc<Record>,
    seed: u64,
}

struct Kept {
    stream: BufReader<TcpStream>,
}

/// As far as the client can tell, the node has not ended it, and has said nothing on it.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// How the writing of a request ended.
enum Written {
    /// With its last byte.
    Whole,
    /// The node ended the connection, or answered, between its two pieces.
    EndedBefore,
}

impl Clients {
    /// Clients of these nodes, whose front lets nobody in yet.
    pub fn new(nodes: Vec<SocketAddr>, record: Arc<Record>, seed: u64) -> Arc<Clients> {
        let doors =
            nodes.into_iter().map(|address| Door { address, open: AtomicBool::new(false) }).collect();
        Arc::new(Clients {
            doors,
            pace: AtomicU64::new(100),
            leaving: AtomicU64::new(3),
            over: AtomicBool::new(false),
            next: AtomicU64::new(seed << 32 | 1),
            record,
            seed,
        })
    }

    /// One client, until there is nothing more to ask. `mean` is the time between its requests.
    pub async fn run(self: Arc<Self>, number: u64, mean: Duration) {
        let mut rng = Rng::with_seed(self.seed << 20 ^ number);
        let mut kept: HashMap<usize, Kept> = HashMap::new();
        while !self.over.load(Ordering::SeqCst) {
            let pace = self.pace.load(Ordering::SeqCst) as f64 / 100.0;
            tokio::time::sleep(mean.mul_f64(pace * -rng.f64().max(1e-6).ln())).await;
            let home = number as usize % self.doors.len();
            let node = if rng.u32(..10) > 1 { home } else { rng.usize(..self.doors.len()) };
            let used =
                kept.remove(&node).filter(|kept| is_open(kept.stream.get_ref()) && rng.u32(..10) > 0);
            let class = Class::ALL[rng.usize(..Class::ALL.len())];
            let wait = class.limit().mul_f64(0.5 + 0.5 * rng.f64());
            let again = match self.ask(&mut rng, node, used, class, wait).await {
                Ended::Kept(connection) => {
                    kept.insert(node, connection);
                    continue;
                }
                Ended::Over => continue,
                Ended::Crossed => true,
                Ended::NobodyThere => false,
            };
            // A request that crossed the end of a connection is sent once more, on a new one.
            let open = |n: &usize| self.doors[*n].open.load(Ordering::SeqCst);
            let others: Vec<usize> = (0..self.doors.len()).filter(open).collect();
            if again && !others.is_empty() {
                let node = others[rng.usize(..others.len())];
                let _ = self.ask(&mut rng, node, None, class, wait).await;
            }
        }
    }

    async fn ask(
        &self,
        rng: &mut Rng,
        node: usize,
        used: Option<Kept>,
        class: Class,
        wait: Duration,
    ) -> Ended {
        let new_connection = used.is_none();
        let mut connection = match used {
            Some(kept) => kept,
            None if !self.doors[node].open.load(Ordering::SeqCst) => return Ended::NobodyThere,
            None => match TcpStream::connect(self.doors[node].address).await {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    Kept { stream: BufReader::new(stream) }
                }
                Err(_) => return Ended::NobodyThere,
            },
        };
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        let bytes = request(id, class, wait, rng.u64(..200));
        // What is known of it must be there before a server can have it.
        let asked = Asked {
            class,
            node,
            sent: self.record.now(),
            wait: wait.as_secs_f64(),
            new_connection,
            left: None,
            answer: None,
            closed: None,
        };
        self.record.asked.lock().unwrap().insert(id, asked);
        let written = self.write(rng, connection.stream.get_mut(), &bytes).await;
        let change = |change: &dyn Fn(&mut Asked, f64)| {
            let now = self.record.now();
            self.record.asked.lock().unwrap().get_mut(&id).into_iter().for_each(|asked| change(asked, now));
        };
        match written {
            Ok(Written::Whole) => {}
            Ok(Written::EndedBefore) => {
                // It never was a request.
                self.record.asked.lock().unwrap().remove(&id);
                return Ended::Over;
            }
            Err(_) => {
                change(&|asked, now| asked.closed = Some((now, false)));
                return if new_connection { Ended::Over } else { Ended::Crossed };
            }
        }
        change(&|asked, now| asked.sent = now);
        let leaves = rng.u64(..100) < self.leaving.load(Ordering::SeqCst);
        let patience = if leaves { wait.mul_f64(rng.f64() * 0.3) } else { wait + OVERTIME };
        let read = Message::read(&mut connection.stream, || {});
        match tokio::time::timeout(patience, read).await {
            Ok(Ok(message)) => {
                let body = String::from_utf8_lossy(&message.body).into_owned();
                let status = message.status();
                change(&|asked, now| asked.answer = Some((now, status, body.clone())));
                let closes = message.header("connection") == Some("close");
                if closes { Ended::Over } else { Ended::Kept(connection) }
            }
            Ok(Err(broken)) => {
                let midway = matches!(broken, Broken::Midway);
                change(&|asked, now| asked.closed = Some((now, midway)));
                if new_connection || midway { Ended::Over } else { Ended::Crossed }
            }
            Err(_) => {
                drop(connection);
                change(&|asked, now| asked.left = Some(now));
                Ended::Over
            }
        }
    }

    /// Writes a request, now and then in two pieces with a pause between them.
    async fn write(&self, rng: &mut Rng, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<Written> {
        if rng.u32(..IN_PIECES) > 0 {
            stream.write_all(bytes).await?;
            return Ok(Written::Whole);
        }
        let (first, rest) = bytes.split_at(rng.usize(1..bytes.len()));
        stream.write_all(first).await?;
        tokio::time::sleep(LONGEST_PAUSE.mul_f64(rng.f64())).await;
        if !is_open(stream) {
            return Ok(Written::EndedBefore);
        }
        stream.write_all(rest).await?;
        Ok(Written::Whole)
    }

    /// Half a request that stays: it must get an error or a close.
    pub async fn half_request(self: Arc<Self>, node: usize, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        if !self.doors[node].open.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(self.doors[node].address).await else { return };
        let connected = self.record.now();
        let bytes = request(u64::MAX - seed, Class::Bid, Duration::from_secs(1), 1);
        let part = rng.usize(..bytes.len() - 1);
        if stream.write_all(&bytes[..part]).await.is_err() {
            return;
        }
        let limit = Duration::from_secs_f64(RUDE_LIMIT + 2.0);
        let mut byte = [0];
        let ended = tokio::time::timeout(limit, stream.read(&mut byte)).await;
        let took = self.record.now() - connected;
        let stall = self.record.stall(connected, self.record.now());
        if ended.is_err() || took > RUDE_LIMIT + RUDE_SLACK + stall {
            let what = format!("node {node}: half a request ({part} bytes) got nothing for {took:.2} s");
            self.record.broke(Rule::Rude, what);
        }
    }

    /// Several requests in one write; each gets its answer or, behind one that ends the connection, nothing.
    pub async fn pipeline(self: Arc<Self>, node: usize, count: usize) {
        if !self.doors[node].open.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(self.doors[node].address).await else { return };
        let first = self.next.fetch_add(count as u64, Ordering::SeqCst);
        let ids = first..first + count as u64;
        let mut bytes = Vec::new();
        for id in ids.clone() {
            bytes.extend(request(id, Class::View, Class::View.limit(), id % 50));
            let asked = Asked {
                class: Class::View,
                node,
                sent: self.record.now(),
                wait: Class::View.limit().as_secs_f64() * count as f64,
                new_connection: false,
                left: None,
                answer: None,
                closed: None,
            };
            self.record.asked.lock().unwrap().insert(id, asked);
        }
        let _ = stream.write_all(&bytes).await;
        let mut stream = BufReader::new(stream);
        for id in ids {
            let read = Message::read(&mut stream, || {});
            let answered = tokio::time::timeout(Class::View.limit() + OVERTIME, read).await;
            let now = self.record.now();
            let mut requests = self.record.asked.lock().unwrap();
            let Some(asked) = requests.get_mut(&id) else { return };
            match answered {
                Ok(Ok(message)) => {
                    let body = String::from_utf8_lossy(&message.body).into_owned();
                    asked.answer = Some((now, message.status(), body));
                }
                Ok(Err(broken)) => asked.closed = Some((now, matches!(broken, Broken::Midway))),
                Err(_) => return,
            }
        }
    }

    /// A connection that asks for nothing, until the node ends it.
    pub async fn idle(self: Arc<Self>, node: usize) {
        if !self.doors[node].open.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(self.doors[node].address).await else { return };
        let mut byte = [0];
        let _ = tokio::time::timeout(Duration::from_secs(10), stream.read(&mut byte)).await;
    }
}

/// What became of a request.
enum Ended {
    /// The connection may be used again.
    Kept(Kept),
    /// It is over, one way or another.
    Over,
    /// The node ended a kept connection before it read the request, as far as the client can tell.
    Crossed,
    /// There was no connection.
    NobodyThere,
}

fn request(id: u64, class: Class, wait: Duration, object: u64) -> Vec<u8> {
    let head = format!(
        "Host: api.internal\r\nX-Trace-Id: {id:016x}\r\nX-Qos: {}\r\nX-Expires-In-Ms: {}\r\nX-Object: o{object}\r\n",
        class.name(),
        wait.as_millis()
    );
    match class {
        Class::View => format!("GET /api HTTP/1.1\r\n{head}\r\n"),
        Class::Bid => {
            format!(
                "POST /api HTTP/1.1\r\n{head}Idempotency-Key: {id:032x}\r\nContent-Length: 3\r\n\r\nbid"
            )
        }
        Class::Order => format!("POST /api HTTP/1.1\r\n{head}Content-Length: 5\r\n\r\norder"),
    }
    .into_bytes()
}
