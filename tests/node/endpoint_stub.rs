//! Endpoints that do with each request what a script says, and record what they were sent.

use super::http::{Message, response};
use super::waiting::wait_for;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long after its response a connection is closed that is closed later.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Holds answers back until a test opens it.
#[derive(Debug, Default)]
pub struct Gate {
    open: Mutex<bool>,
    opened: Condvar,
    /// Answers written since.
    answers: AtomicU32,
}

impl Gate {
    fn wait(&self) {
        let open = self.open.lock().unwrap();
        drop(self.opened.wait_while(open, |open| !*open).unwrap());
    }

    /// Lets the answers out, and waits until `answers` of them are written.
    pub fn open(&self, answers: u32) {
        *self.open.lock().unwrap() = true;
        self.opened.notify_all();
        wait_for("the answers are written", || self.answers.load(Ordering::SeqCst) >= answers);
    }
}

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum ScriptedResponse {
    /// Writes this and keeps the connection.
    Send(Vec<u8>),
    /// Writes this and closes.
    SendAndClose(Vec<u8>),
    /// Writes this and closes a moment after the other side has read it.
    SendAndCloseLater(Vec<u8>),
    /// Writes the first part, and the second so much later.
    SendInTwoParts(Vec<u8>, Duration, Vec<u8>),
    /// Writes this once the gate is open.
    SendWhenOpen(Arc<Gate>, Vec<u8>),
    /// Keeps the connection and writes nothing.
    Silent,
}

pub fn ok(body: &[u8]) -> ScriptedResponse {
    ScriptedResponse::Send(response("200 OK", "", body))
}

/// What an endpoint does with its n-th request.
pub type Script = Arc<dyn Fn(usize, &Message) -> ScriptedResponse + Send + Sync>;

/// What endpoints were sent; several may share one.
#[derive(Clone, Default)]
pub struct RequestRecord {
    pub requests: Arc<Mutex<Vec<Message>>>,
    pub connections_opened: Arc<AtomicU32>,
    pub connections_closed: Arc<AtomicU32>,
    /// The longest measured pause between two parts of a response: a busy machine makes it longer than scripted.
    pub longest_pause_ms: Arc<AtomicU64>,
}

impl RequestRecord {
    pub fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    pub fn open_connections(&self) -> u32 {
        self.connections_opened.load(Ordering::SeqCst) - self.connections_closed.load(Ordering::SeqCst)
    }
}

/// Starts an endpoint. `script` gets the number of the request over all endpoints of the record, from 0.
pub fn start_endpoint(
    record: &RequestRecord,
    script: impl Fn(usize, &Message) -> ScriptedResponse + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    serve_endpoint(listener, record, Arc::new(script));
    address
}

/// Starts `count` endpoints with one script.
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

/// Serves a listener as an endpoint.
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
        if !perform(script(number, &message), &mut stream, record) {
            break;
        }
    }
    drop((stream, reader));
    record.connections_closed.fetch_add(1, Ordering::SeqCst);
}

/// Carries out a reply; false where the connection is to be closed after it.
fn perform(response: ScriptedResponse, stream: &mut TcpStream, record: &RequestRecord) -> bool {
    // The node may have closed the connection meanwhile.
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
            gate.answers.fetch_add(1, Ordering::SeqCst);
        }
        ScriptedResponse::Silent => {}
    }
    true
}

/// An entry of discovery's list.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// A list with all of `addresses` up, named s-0, s-1 and so on.
pub fn all_up(addresses: &[SocketAddr]) -> Vec<Value> {
    addresses.iter().enumerate().map(|(n, a)| target(&format!("s-{n}"), *a, "up")).collect()
}
