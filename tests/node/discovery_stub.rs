//! A discovery service that sends the list that a test sets, or misbehaves as the test says.

use super::http::{Message, response};
use super::sockets::loopback;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The list, and how calls are answered.
#[derive(Default)]
struct ListState {
    version: u64,
    targets: Vec<Value>,
    /// The targets are the last changes, not the full list.
    sends_deltas: bool,
    /// Calls are read and never answered.
    ignores_calls: bool,
    /// Calls that were ignored and are still open.
    open_ignored_calls: usize,
    /// No call is answered for now.
    holds_answers: bool,
    /// No watch is answered for now; other calls are.
    holds_watches: bool,
    /// Watches are answered at once, with or without a change.
    answers_immediately: bool,
    /// So many calls to come are rejected.
    calls_to_reject: u32,
    /// How many calls came.
    calls: u32,
    /// The first line of each call.
    call_lines: Vec<String>,
}

impl ListState {
    /// Whether a call for changes after a version is to wait, if it may wait until `end`.
    fn must_wait(&self, after: u64, is_watch: bool, end: Instant) -> bool {
        let is_held = self.holds_answers || (self.holds_watches && is_watch);
        let awaits_change = !self.answers_immediately && self.version <= after && Instant::now() < end;
        is_held || awaits_change
    }

    /// The answer to a call for changes after a version.
    fn answer(&mut self, after: u64) -> Vec<u8> {
        if self.calls_to_reject > 0 {
            self.calls_to_reject -= 1;
            return response("503 Service Unavailable", "", b"");
        }
        let has_changes = self.version > after;
        let targets = if has_changes { self.targets.as_slice() } else { &[] };
        let is_complete = has_changes && !self.sends_deltas;
        let body = json!({"rev": self.version, "all": is_complete, "targets": targets});
        response("200 OK", "", body.to_string().as_bytes())
    }
}

/// The number that follows a name in the first line of a call; 0 where there is none.
fn number_after(line: &str, name: &str) -> u64 {
    let digits =
        line.split_once(name).and_then(|(_, rest)| rest.split(|c: char| !c.is_ascii_digit()).next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// A discovery service whose answers tests set.
#[derive(Clone)]
pub struct DiscoveryStub {
    state: Arc<(Mutex<ListState>, Condvar)>,
    pub address: SocketAddr,
}

impl DiscoveryStub {
    pub fn start(targets: Vec<Value>) -> DiscoveryStub {
        DiscoveryStub::start_at(loopback(0), targets)
    }

    pub fn start_at(address: SocketAddr, targets: Vec<Value>) -> DiscoveryStub {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let state = ListState { version: 1, targets, ..ListState::default() };
        let discovery = DiscoveryStub { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let own = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let own = own.clone();
                thread::spawn(move || own.serve_connection(stream.unwrap()));
            }
        });
        discovery
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut reader) {
            let after = number_after(&message.first_line, "after=");
            let wait_ms = number_after(&message.first_line, "wait_ms=");
            let end = Instant::now() + Duration::from_millis(wait_ms);
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().unwrap();
            state.calls += 1;
            state.call_lines.push(message.first_line.clone());
            if state.ignores_calls {
                state.open_ignored_calls += 1;
                drop(state);
                // The end of the connection shows that the caller has given up.
                let _ = reader.read(&mut [0]);
                self.state.0.lock().unwrap().open_ignored_calls -= 1;
                return;
            }
            while state.must_wait(after, wait_ms > 0, end) {
                state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
            }
            let answer = state.answer(after);
            drop(state);
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Replaces the list, as a new version.
    pub fn set(&self, targets: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        state.targets = targets;
        self.state.1.notify_all();
    }

    /// Sets the version and the list without waking a watch, as a service that counts versions anew.
    pub fn set_version_without_notifying(&self, version: u64, targets: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        (state.version, state.targets) = (version, targets);
    }

    /// Sends these entries as the changes of a new version.
    pub fn set_delta(&self, targets: Vec<Value>) {
        self.state.0.lock().unwrap().sends_deltas = true;
        self.set(targets);
    }

    /// Whether calls from now on are never answered.
    pub fn ignore_calls(&self, ignore: bool) {
        self.state.0.lock().unwrap().ignores_calls = ignore;
    }

    /// How many ignored calls are still open.
    pub fn open_ignored_calls(&self) -> usize {
        self.state.0.lock().unwrap().open_ignored_calls
    }

    /// Whether answers wait until this is revoked.
    pub fn hold_answers(&self, hold: bool) {
        self.state.0.lock().unwrap().holds_answers = hold;
        self.state.1.notify_all();
    }

    /// Rejects so many calls to come.
    pub fn reject_calls(&self, calls: u32) {
        self.state.0.lock().unwrap().calls_to_reject = calls;
    }

    /// Holds the answers to watches alone, and rejects so many other calls.
    pub fn hold_watches_and_reject_polls(&self, calls: u32) {
        let mut state = self.state.0.lock().unwrap();
        (state.holds_answers, state.holds_watches, state.calls_to_reject) = (false, true, calls);
        self.state.1.notify_all();
    }

    /// Whether watches are answered at once, with or without a change.
    pub fn answer_immediately(&self, at_once: bool) {
        self.state.0.lock().unwrap().answers_immediately = at_once;
    }

    /// The first lines of the calls so far.
    pub fn call_lines(&self) -> Vec<String> {
        self.state.0.lock().unwrap().call_lines.clone()
    }

    /// How many calls came so far.
    pub fn call_count(&self) -> u32 {
        self.state.0.lock().unwrap().calls
    }
}
