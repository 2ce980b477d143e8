//! What clients, servers and discovery saw: all that the oracle judges by. Times are seconds since the
//! start.

use crate::settings::RequestClass;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// A shorter stall is within the slack of every rule, in seconds.
const MIN_STALL: f64 = 0.01;

/// The final answer of a request, as its client got it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAnswer {
    /// When its last byte came.
    pub at: f64,
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// How a node ended a connection with no complete answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionClose {
    /// When.
    pub at: f64,
    /// Part of an answer had come.
    pub within_answer: bool,
}

/// A request of a client, as the client saw it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its class.
    pub class: RequestClass,
    /// The node that it was sent to.
    pub node: usize,
    /// When its last byte was written.
    pub sent_at: f64,
    /// How long the client waits from then on.
    pub timeout: f64,
    /// It is the first request on its connection.
    pub new_connection: bool,
    /// When the client closed its connection without an answer.
    pub left_at: Option<f64>,
    /// Its answer.
    pub answer: Option<ClientAnswer>,
    /// How the node ended the connection, if there was no answer.
    pub closed: Option<ConnectionClose>,
}

impl ClientRequest {
    /// When its client gives up.
    pub fn deadline(&self) -> f64 {
        self.sent_at + self.timeout
    }
}

/// An attempt at a request, as a server saw it.
#[derive(Clone, Debug)]
pub struct ServerAttempt {
    /// Id of the request.
    pub id: u64,
    /// The server.
    pub server: usize,
    /// When its first byte came.
    pub first_byte_at: f64,
    /// When its last byte came: from then on it may run.
    pub complete_at: f64,
    /// How long the node said that it waits.
    pub timeout: Option<f64>,
    /// The server said that it never ran.
    pub rejected: bool,
}

/// A change to a server that nodes have to go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerChange {
    /// It is to get nothing more.
    Withdrawn,
    /// It may be sent to.
    InService,
    /// It has started, and is in slow start.
    Restarted,
}

/// When a change was made, and when each node was notified of it.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    /// The server.
    pub server: usize,
    /// What changed.
    pub change: ServerChange,
    /// When.
    pub at: f64,
    /// Discovery's count of changes.
    pub version: u64,
    /// When each node's process at that time was notified, infinite if it was not.
    pub notified_at: Vec<f64>,
}

/// A time in which the operators had a server out of service at one node.
#[derive(Clone, Debug)]
pub struct DisabledPeriod {
    /// The node.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// When it counts from: the `done` of the command.
    pub from: f64,
    /// When the command that put the server back was given.
    pub until: f64,
}

/// A time in which a node's process was killed or ended.
#[derive(Clone, Copy, Debug)]
pub struct ProcessGap {
    /// The node.
    pub node: usize,
    /// When it was killed or terminated.
    pub from: f64,
    /// It was killed: what it had is lost, and what came before the next process was ready may be late.
    pub killed: bool,
    /// When the next process was ready.
    pub until: f64,
}

/// A violation that was seen as it happened.
#[derive(Clone, Debug)]
pub struct ObservedViolation {
    /// When.
    pub at: f64,
    /// Of which rule.
    pub rule: Rule,
    /// What happened.
    pub description: String,
}

/// When this program itself was late, and by how much.
#[derive(Clone, Copy, Debug)]
struct Stall {
    at: f64,
    late_by: f64,
}

/// All that was seen.
pub struct Record {
    start: Instant,
    /// Requests of clients, by id.
    pub requests: Mutex<HashMap<u64, ClientRequest>>,
    /// Attempts that reached servers.
    pub attempts: Mutex<Vec<ServerAttempt>>,
    /// Changes to servers.
    pub changes: Mutex<Vec<ChangeRecord>>,
    /// Servers that the operators had out of service.
    pub disabled: Mutex<Vec<DisabledPeriod>>,
    /// Ends of processes.
    pub gaps: Mutex<Vec<ProcessGap>>,
    /// Violations that were seen as they happened.
    pub violations: Mutex<Vec<ObservedViolation>>,
    /// How long each process that was started anew took to be ready.
    pub ready_times: Mutex<Vec<f64>>,
    stalls: Mutex<Vec<Stall>>,
}

/// The rules that the oracle holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request gets one final answer in time.
    Lost,
    /// None runs more often than its class allows.
    Duplicate,
    /// Nothing new goes to a server that was withdrawn.
    Drain,
    /// No server in slow start is overloaded.
    Cold,
    /// No attempt begins for a client that has gone.
    Gone,
    /// No server is given more time than the client has.
    Deadline,
    /// Answers are those of a server to this request; rejections do no harm.
    Truth,
    /// There are no more attempts than allowed.
    Attempts,
    /// No process ends by itself, and each ends in time after SIGTERM.
    Process,
    /// An acknowledged command stays in effect.
    Done,
    /// A malformed client gets an error or a close in time.
    Rude,
    /// Nine in ten processes are ready in time.
    Ready,
    /// No process has counted a violation itself.
    Counted,
}

impl Record {
    /// A record in which nothing was seen.
    pub fn new(start: Instant) -> Record {
        Record {
            start,
            requests: Mutex::default(),
            attempts: Mutex::default(),
            changes: Mutex::default(),
            disabled: Mutex::default(),
            gaps: Mutex::default(),
            violations: Mutex::default(),
            ready_times: Mutex::default(),
            stalls: Mutex::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Notes that this program was late by so much, just now.
    pub fn record_stall(&self, late_by: f64) {
        if late_by > MIN_STALL {
            self.stalls.lock().unwrap().push(Stall { at: self.now(), late_by });
        }
    }

    /// How late this program was at the most between two times.
    pub fn longest_stall(&self, from: f64, until: f64) -> f64 {
        let stalls = self.stalls.lock().unwrap();
        let inside = stalls.iter().filter(|stall| stall.at >= from && stall.at - stall.late_by <= until);
        inside.map(|stall| stall.late_by).fold(0.0, f64::max)
    }

    /// Notes a violation that was seen.
    pub fn record_violation(&self, rule: Rule, description: String) {
        let violation = ObservedViolation { at: self.now(), rule, description };
        self.violations.lock().unwrap().push(violation);
    }
}
