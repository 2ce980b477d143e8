//! Stands in for endpoints: answers each request as a test's script says, and records the requests received.

use super::http::{Message, response};
use super::waiting::wait_for;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long after the response `ScriptedResponse::SendAndCloseLater` closes the connection.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Delays responses until a test opens the gate.
#[derive(Debug, Default)]
pub struct Gate {
    is_open: Mutex<bool>,
    opened: Condvar,
    /// The number of responses written after the gate was opened.
    responses: AtomicU32,
}

impl Gate {
    fn wait(&self) {
        let is_open = self.is_open.lock().unwrap();
        drop(self.opened.wait_while(is_open, |is_open| !*is_open).unwrap());
    }

    /// Opens the gate, and waits until `responses` responses are written.
    pub fn open(&self, responses: u32) {
        *self.is_open.lock().unwrap() = true;
        self.opened.notify_all();
        wait_for("the responses are written", || self.responses.load(Ordering::SeqCst) >= responses);
    }
}

/// How an endpoint responds to one request. Bytes are written as they are, so that a test can send invalid HTTP.
#[derive(Clone, Debug)]
pub enum ScriptedResponse {
    /// Writes the bytes and keeps the connection open.
    Send(Vec<u8>),
    /// Writes the bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Writes the bytes and closes the connection after `CLOSE_DELAY`, when the node has read them.
    SendAndCloseLater(Vec<u8>),
    /// Writes the first part, pauses, and writes the second part.
    SendInTwoParts(Vec<u8>, Duration, Vec<u8>),
    /// Writes the bytes once the gate is open.
    SendWhenOpen(Arc<Gate>, Vec<u8>),
    /// Writes nothing and keeps the connection open.
    Silent,
}

/// A response with status 200 on a connection that stays open.
pub fn ok(body: &[u8]) -> ScriptedResponse {
    ScriptedResponse::Send(response("200 OK", "", body))
}

/// Chooses the response to a request. The number counts the requests over all endpoints that share the
/// `RequestRecord`, from 0.
pub type Script = Arc<dyn Fn(usize, &Message) -> ScriptedResponse + Send + Sync>;

/// The requests and connections that one or more endpoints received. Clones share the same record.
#[derive(Clone, Default)]
pub struct RequestRecord {
    /// All requests, in the order of their arrival.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// The number of connections accepted.
    pub connections_opened: Arc<AtomicU32>,
    /// The number of these connections that either side has closed since.
    pub connections_closed: Arc<AtomicU32>,
    /// The longest measured pause between the two parts of a `SendInTwoParts` response. On a busy machine it is longer
    /// than scripted.
    pub longest_pause_ms: Arc<AtomicU64>,
}

impl RequestRecord {
    /// The number of requests received.
    pub fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// The number of connections that are open now.
    pub fn open_connections(&self) -> u32 {
        self.connections_opened.load(Ordering::SeqCst) - self.connections_closed.load(Ordering::SeqCst)
    }
}

/// Starts one endpoint on a free port. See [`Script`] for the arguments of `script`.
pub fn start_endpoint(
    record: &RequestRecord,
    script: impl Fn(usize, &Message) -> ScriptedResponse + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    serve_endpoint(listener, record, Arc::new(script));
    address
}

/// Starts `count` endpoints that share one script and one record.
pub fn start_endpoints(
    count: usize,
    record: &RequestRecord,
    script: impl Fn(usize, &Message) -> ScriptedResponse + Send + Sync + 'static,
) -> Vec<SocketAddr> {
    let script: Script = Arc::new(script);
    (0..count)
        .map(|_| {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            let address = listener.local_addr().unwrap();
            serve_endpoint(listener, record, script.clone());
            address
        })
        .collect()
}

/// Accepts connections on `listener` and answers their requests, in threads of their own.
pub fn serve_endpoint(listener: TcpListener, record: &RequestRecord, script: Script) {
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let (record, script) = (record.clone(), script.clone());
            record.connections_opened.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || serve_connection(stream, &record, &script));
        }
    });
}

/// Answers the requests of one connection until either side closes it.
fn serve_connection(mut stream: TcpStream, record: &RequestRecord, script: &Script) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut reader) {
        let number = {
            let mut requests = record.requests.lock().unwrap();
            requests.push(message.clone());
            requests.len() - 1
        };
        if !write_scripted(script(number, &message), &mut stream, record) {
            break;
        }
    }
    drop((stream, reader));
    record.connections_closed.fetch_add(1, Ordering::SeqCst);
}

/// Writes a scripted response. Returns `false` if the connection must be closed after it.
fn write_scripted(response: ScriptedResponse, stream: &mut TcpStream, record: &RequestRecord) -> bool {
    // Write errors are ignored: the node may have closed the connection in the meantime.
    let mut write = |bytes: &[u8]| drop(stream.write_all(bytes));
    match response {
        ScriptedResponse::Send(bytes) => write(&bytes),
        ScriptedResponse::SendAndClose(bytes) => {
            write(&bytes);
            return false;
        }
        ScriptedResponse::SendAndCloseLater(bytes) => {
            write(&bytes);
            thread::sleep(CLOSE_DELAY);
            return false;
        }
        ScriptedResponse::SendInTwoParts(first, pause, second) => {
            write(&first);
            let paused_at = Instant::now();
            thread::sleep(pause);
            let paused_ms = u64::try_from(paused_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            record.longest_pause_ms.fetch_max(paused_ms, Ordering::SeqCst);
            write(&second);
        }
        ScriptedResponse::SendWhenOpen(gate, bytes) => {
            gate.wait();
            write(&bytes);
            gate.responses.fetch_add(1, Ordering::SeqCst);
        }
        ScriptedResponse::Silent => {}
    }
    true
}

/// An entry of the discovery service's list. `state` is `up`, `draining` or `removed`.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// A list in which all of `addresses` have state `up` and the ids s-0, s-1 and so on.
pub fn all_up(addresses: &[SocketAddr]) -> Vec<Value> {
    addresses.iter().enumerate().map(|(n, a)| target(&format!("s-{n}"), *a, "up")).collect()
}
