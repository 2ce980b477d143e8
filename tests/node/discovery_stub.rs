//! Stands in for the discovery service: serves the endpoint list that a test sets, and fails on the test's demand.
//!
//! A call asks for the changes after a version (`after=`). A poll is answered at once; a watch is a long poll that
//! waits for a change for up to `wait_ms=` milliseconds.

use super::http::{Message, response};
use super::sockets::loopback;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The endpoint list, and how calls are answered.
#[derive(Default)]
struct ListState {
    version: u64,
    targets: Vec<Value>,
    /// Responses carry `targets` as changes to the list, not as the full list.
    sends_deltas: bool,
    /// Calls are read and never answered. Calls that were already waiting are not affected.
    ignores_calls: bool,
    /// Ignored calls whose connection the caller has not closed yet.
    open_ignored_calls: usize,
    /// Delays the response to every call until this is unset.
    holds_responses: bool,
    /// Delays the response to every watch until this is unset, and answers polls.
    holds_watches: bool,
    /// Answers watches at once, with or without a change.
    answers_immediately: bool,
    /// The number of further calls that are answered with 503.
    calls_to_reject: u32,
    /// The number of calls received, ignored and rejected ones included.
    call_count: u32,
    /// The request line of each call received, in order.
    call_lines: Vec<String>,
}

impl ListState {
    /// Whether a call for the changes after version `after` must wait: a watch until there is a change, or until `end`;
    /// a held call for as long as it is held.
    fn must_wait(&self, after: u64, is_watch: bool, end: Instant) -> bool {
        let is_held = self.holds_responses || (self.holds_watches && is_watch);
        let awaits_change = !self.answers_immediately && self.version <= after && Instant::now() < end;
        is_held || awaits_change
    }

    /// Builds the response to a call for the changes after version `after`.
    fn build_response(&mut self, after: u64) -> Vec<u8> {
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

/// Returns the number that follows `name` in a request line, or 0 if there is none.
fn number_after(line: &str, name: &str) -> u64 {
    let digits =
        line.split_once(name).and_then(|(_, rest)| rest.split(|c: char| !c.is_ascii_digit()).next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// A running discovery service. Clones share the list and the listener.
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
        let stub = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let stub = stub.clone();
                thread::spawn(move || stub.serve_connection(stream.unwrap()));
            }
        });
        discovery
    }

    /// Answers the calls of one connection, one after the other, until the caller closes it.
    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut reader) {
            let after = number_after(&message.first_line, "after=");
            let wait_ms = number_after(&message.first_line, "wait_ms=");
            let end = Instant::now() + Duration::from_millis(wait_ms);
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().unwrap();
            state.call_count += 1;
            state.call_lines.push(message.first_line.clone());
            if state.ignores_calls {
                state.open_ignored_calls += 1;
                drop(state);
                // This read returns when the caller gives up the call and closes the connection.
                let _ = reader.read(&mut [0]);
                self.state.0.lock().unwrap().open_ignored_calls -= 1;
                return;
            }
            while state.must_wait(after, wait_ms > 0, end) {
                state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
            }
            let response = state.build_response(after);
            drop(state);
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    /// Replaces the list, increments the version, and wakes the waiting watches.
    pub fn set(&self, targets: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        state.targets = targets;
        self.state.1.notify_all();
    }

    /// Sets the version and the list without waking a watch, as a service does that restarts its version count.
    pub fn set_version_without_notifying(&self, version: u64, targets: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        (state.version, state.targets) = (version, targets);
    }

    /// Sends these entries as the changes of a new version; from now on every response carries changes only.
    pub fn set_delta(&self, targets: Vec<Value>) {
        self.state.0.lock().unwrap().sends_deltas = true;
        self.set(targets);
    }

    /// Sets whether calls received from now on are read and never answered.
    pub fn ignore_calls(&self, ignore: bool) {
        self.state.0.lock().unwrap().ignores_calls = ignore;
    }

    /// The number of ignored calls whose connection the caller has not closed yet.
    pub fn open_ignored_calls(&self) -> usize {
        self.state.0.lock().unwrap().open_ignored_calls
    }

    /// Sets whether responses are delayed until this is called with `false`.
    pub fn hold_responses(&self, hold: bool) {
        self.state.0.lock().unwrap().holds_responses = hold;
        self.state.1.notify_all();
    }

    /// Answers the next `calls` calls with 503; a watch that waits now counts as one when its wait ends.
    pub fn reject_calls(&self, calls: u32) {
        self.state.0.lock().unwrap().calls_to_reject = calls;
    }

    /// Answers the next `calls` polls with 503 and holds the responses to watches; ends `hold_responses`.
    pub fn hold_watches_and_reject_polls(&self, calls: u32) {
        let mut state = self.state.0.lock().unwrap();
        (state.holds_responses, state.holds_watches, state.calls_to_reject) = (false, true, calls);
        self.state.1.notify_all();
    }

    /// Sets whether watches are answered at once, with or without a change.
    pub fn answer_immediately(&self, immediately: bool) {
        self.state.0.lock().unwrap().answers_immediately = immediately;
    }

    /// The request lines of the calls received so far, in order.
    pub fn call_lines(&self) -> Vec<String> {
        self.state.0.lock().unwrap().call_lines.clone()
    }

    /// The number of calls received so far, ignored and rejected ones included.
    pub fn call_count(&self) -> u32 {
        self.state.0.lock().unwrap().call_count
    }
}
