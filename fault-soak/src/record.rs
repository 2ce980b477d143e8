//! What clients, servers and discovery saw: all that the oracle judges by.

use crate::settings::Class;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// A request of a client, as the client saw it. Times are seconds since the start.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its class.
    pub class: Class,
    /// The node that it was sent to.
    pub node: usize,
    /// When its last byte was written.
    pub sent: f64,
    /// How long the client waits from then on.
    pub wait: f64,
    /// It is the first request on its connection.
    pub new_connection: bool,
    /// When the client closed its connection without an answer.
    pub left: Option<f64>,
    /// When the last byte of its answer came, the status, and the body.
    pub answer: Option<(f64, u16, String)>,
    /// When the node ended the connection with no whole answer, and whether any of one had come.
    pub closed: Option<(f64, bool)>,
}

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its id.
    pub id: u64,
    /// The server.
    pub server: usize,
    /// When its first byte came.
    pub first: f64,
    /// When its last byte came: from then on it may run.
    pub whole: f64,
    /// How long the node said that it waits, in seconds.
    pub expires: Option<f64>,
    /// The server said that it never ran.
    pub turned_away: bool,
    /// When its answer was written, if that was an error or an answer that is no answer.
    pub answered: Option<f64>,
}

/// Something about a server that nodes are to go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It is to get nothing more.
    Leaves,
    /// It may be sent to.
    Serves,
    /// It has started, and is cold.
    Started,
}

/// When a change was made, and when each node was told of it.
#[derive(Clone, Debug)]
pub struct Told {
    /// The server.
    pub server: usize,
    /// What changed.
    pub change: Change,
    /// When.
    pub at: f64,
    /// Discovery's count of changes.
    pub version: u64,
    /// When each node's process at that time was told, infinite if it was not.
    pub nodes: Vec<f64>,
}

/// A ban by the operators at one node, in the order of the calls.
#[derive(Clone, Debug)]
pub struct Ban {
    /// The node.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// When it counts from: the `done`.
    pub from: f64,
    /// When the call that put the server back was made.
    pub until: f64,
}

/// A time in which a node's process was killed or ended.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    /// The node.
    pub node: usize,
    /// When it was killed, or told to end.
    pub from: f64,
    /// It was killed: what it had is lost, and what came before the next process was ready may be late.
    pub killed: bool,
    /// When the next process was ready.
    pub until: f64,
}

/// What is less is in the slack of every rule.
const LEAST_STALL: f64 = 0.01;

/// All of it.
pub struct Record {
    start: Instant,
    /// Requests by id.
    pub asked: Mutex<HashMap<u64, Asked>>,
    /// What servers were sent.
    pub seen: Mutex<Vec<Seen>>,
    /// What changed.
    pub told: Mutex<Vec<Told>>,
    /// Bans.
    pub bans: Mutex<Vec<Ban>>,
    /// Ends of processes.
    pub gaps: Mutex<Vec<Gap>>,
    /// Breaks that were seen as they happened.
    pub breaks: Mutex<Vec<(f64, Rule, String)>>,
    /// How long a process that was started anew took to be ready, in seconds.
    pub ready: Mutex<Vec<f64>>,
    /// When this program itself was late, and by how much, in seconds.
    stalls: Mutex<Vec<(f64, f64)>>,
}

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request gets one final answer in time.
    Lost,
    /// None runs more often than its class allows.
    Duplicate,
    /// Nothing new to a server that leaves.
    Drain,
    /// No cold server overfed.
    Cold,
    /// No attempt for a client that has gone.
    Gone,
    /// No server is told more time than the client has.
    Deadline,
    /// Answers are those of a server to this request; refusals do no harm.
    Truth,
    /// No more attempts than allowed.
    Attempts,
    /// No process ends by itself, and each ends in time when told to.
    Process,
    /// A `done` is kept.
    Done,
    /// Whoever is no proper client gets an error or a close in time.
    Rude,
    /// Nine in ten processes are ready in time.
    Ready,
    /// A process has counted a violation itself.
    Counted,
}

impl Record {
    /// Nothing yet.
    pub fn new(start: Instant) -> Record {
        Record {
            start,
            asked: Mutex::default(),
            seen: Mutex::default(),
            told: Mutex::default(),
            bans: Mutex::default(),
            gaps: Mutex::default(),
            breaks: Mutex::default(),
            ready: Mutex::default(),
            stalls: Mutex::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Notes that this program had its turn so late, just now.
    pub fn stalled(&self, late: f64) {
        if late > LEAST_STALL {
            self.stalls.lock().unwrap().push((self.now(), late));
        }
    }

    /// How late this program was at the most between two times.
    pub fn stall(&self, from: f64, until: f64) -> f64 {
        let stalls = self.stalls.lock().unwrap();
        let inside = stalls.iter().filter(|(at, late)| *at >= from && at - late <= until);
        inside.map(|(_, late)| *late).fold(0.0, f64::max)
    }

    /// Notes a break that was seen.
    pub fn broke(&self, rule: Rule, what: String) {
        self.breaks.lock().unwrap().push((self.now(), rule, what));
    }
}
