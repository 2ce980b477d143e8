//! Records what the clients, the servers and discovery observed during a run.
//!
//! The oracle judges a run by these observations alone and not by what the nodes report about themselves.
//! The tasks of the soak fill one shared [`Record`] while they run. All times are in seconds since the
//! record was created, and all durations are in seconds.

use crate::settings::RequestClass;
use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::time::Instant;

/// A shorter stall is not recorded, because the slack of every rule covers it.
const MIN_STALL_SECONDS: f64 = 0.01;

/// A complete response, as the client received it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientResponse {
    /// When the last byte arrived, or the first one of a response that is too long to be buffered.
    pub at: f64,
    /// The HTTP status code, or 0 if the status line has none.
    pub status: u16,
    /// The response body, with invalid UTF-8 replaced.
    pub body: String,
}

/// A connection that the node closed or reset before the client had a complete response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionClose {
    /// When the client noticed the close.
    pub at: f64,
    /// Whether the client had received a part of the response.
    pub mid_response: bool,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Decides how often the request may run.
    pub class: RequestClass,
    /// The index of the node that the request was sent to.
    pub node: usize,
    /// When the last byte was written; before that, when the client began to write.
    pub sent_at: f64,
    /// How long after `sent_at` the client needs the response.
    pub timeout_seconds: f64,
    /// Whether the request was the first one on its connection.
    pub on_new_connection: bool,
    /// When the client closed the connection without a response; `None` if it did not.
    pub abandoned_at: Option<f64>,
    /// The response; `None` until it is complete.
    pub response: Option<ClientResponse>,
    /// Whether a part of a response had arrived when the client stopped waiting for the rest.
    pub is_response_partial: bool,
    /// How the node ended the connection; `None` if the client got a response or closed the connection
    /// itself.
    pub connection_close: Option<ConnectionClose>,
}

impl ClientRequest {
    /// When the client no longer needs the response.
    pub fn deadline(&self) -> f64 {
        self.sent_at + self.timeout_seconds
    }
}

/// An attempt at a request, as the server that received it saw it.
#[derive(Clone, Debug)]
pub struct ServerAttempt {
    /// The id of the client's request.
    pub id: u64,
    /// The index of the server.
    pub server: usize,
    /// When the first byte arrived.
    pub first_byte_at: f64,
    /// When the last byte arrived. The server may run the request from then on.
    pub last_byte_at: f64,
    /// The time that the node left the server for a response; `None` if the attempt had no valid header for
    /// it.
    pub timeout_seconds: Option<f64>,
    /// Whether the server responded that it did not run the request.
    pub rejected: bool,
}

/// A response that a server did not write to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CutResponse {
    /// The id of the client's request.
    pub id: u64,
    /// The index of the server.
    pub server: usize,
    /// When the server had written the head.
    pub head_at: f64,
    /// When the server noticed that the connection had been closed.
    pub at: f64,
}

/// A change to a server that the nodes must act on once they know of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerChange {
    /// The server must receive no new requests.
    Withdrawn,
    /// The server may receive requests, at its full capacity.
    InService,
    /// The server has restarted and is in slow start.
    Restarted,
}

/// One change to a server, with the times at which the nodes were notified of it.
#[derive(Clone, Debug)]
pub struct ServerChangeRecord {
    /// The index of the server.
    pub server: usize,
    /// The new condition of the server.
    pub change: ServerChange,
    /// When discovery got the change.
    pub at: f64,
    /// Discovery's internal version of the list with this change.
    pub version: u64,
    /// For each node, by index, when it was notified; infinite if it was not.
    pub notified_at: Vec<f64>,
}

/// A period in which a server was disabled at one node by an admin command.
#[derive(Clone, Debug)]
pub struct DisabledPeriod {
    /// The index of the node.
    pub node: usize,
    /// The index of the server.
    pub server: usize,
    /// When the node acknowledged the command that disabled the server.
    pub from: f64,
    /// When the command that enabled the server again was sent; infinite until then.
    pub until: f64,
}

/// A period in which a node's process was being stopped, or its successor was starting.
#[derive(Clone, Copy, Debug)]
pub struct ProcessGap {
    /// The index of the node.
    pub node: usize,
    /// When SIGTERM or SIGKILL was sent.
    pub from: f64,
    /// Whether the signal was SIGKILL. The requests that the process held are then lost, and requests that
    /// arrive before the next process is ready may be answered late.
    pub killed: bool,
    /// When the next process that was started after the stop was ready; infinite until then. In an upgrade,
    /// the new process is ready before the old one is stopped, so the gap lasts until a later start.
    pub until: f64,
}

/// A violation that a task of the soak saw as it happened.
#[derive(Clone, Debug)]
pub struct ObservedViolation {
    /// When it was seen.
    pub at: f64,
    /// The rule that was broken.
    pub rule: Rule,
    /// The node or request concerned, and what was seen.
    pub description: String,
}

/// A delay in the scheduling of this program itself.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// When the stall ended.
    at: f64,
    duration_seconds: f64,
}

/// Everything that was observed in one run.
pub struct Record {
    start: Instant,
    /// The requests of all clients, by id.
    pub requests: Mutex<HashMap<u64, ClientRequest>>,
    /// The attempts that reached a server, in the order of their last bytes.
    pub attempts: Mutex<Vec<ServerAttempt>>,
    /// The responses that a node cut off: neither the server nor its proxy was disrupted meanwhile.
    pub cut_responses: Mutex<Vec<CutResponse>>,
    /// The ids of the requests of which a response was disrupted by a fault of the server or its proxy.
    pub disrupted_responses: Mutex<HashSet<u64>>,
    /// The changes to servers, in the order in which discovery got them.
    pub changes: Mutex<Vec<ServerChangeRecord>>,
    /// The periods in which a server was disabled at a node.
    pub disabled_periods: Mutex<Vec<DisabledPeriod>>,
    /// The intended stops of node processes.
    pub process_gaps: Mutex<Vec<ProcessGap>>,
    /// Violations that the tasks of the soak saw as they happened.
    pub violations: Mutex<Vec<ObservedViolation>>,
    /// How long each process took to become ready; processes that an upgrade starts are not included.
    pub ready_times: Mutex<Vec<f64>>,
    stalls: Mutex<Vec<Stall>>,
}

/// A rule that the oracle checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request gets one final response in time.
    LostResponse,
    /// No response that a server still writes is cut off.
    CutResponse,
    /// No request runs more often than its class allows, and no server receives a request that no client
    /// sent.
    DuplicateExecution,
    /// A server that was withdrawn receives no new requests.
    WithdrawnServer,
    /// A server in slow start is not overloaded.
    SlowStartOverload,
    /// No attempt begins after its client has closed the connection.
    AbandonedRequest,
    /// No server is given more time than the client has left.
    Deadline,
    /// A response to a client is one that a server made for this request, and a rejection is safe to retry.
    ResponseCorrectness,
    /// No request has more attempts than the settings allow.
    AttemptLimit,
    /// No process exits by itself or panics, and each exits in time after SIGTERM.
    ProcessExit,
    /// A server that an acknowledged admin command disabled receives no requests.
    AcknowledgedDisable,
    /// A client that sends an incomplete request gets an error or a close in time.
    MalformedRequest,
    /// Nine in ten processes become ready in time.
    Readiness,
    /// No process reports a violation in its own log.
    SelfReportedViolation,
}

impl Rule {
    /// The name that is printed with a violation, and under which `docs/fault-soak.md` describes the rule.
    pub fn name(self) -> &'static str {
        match self {
            Rule::LostResponse => "Lost",
            Rule::CutResponse => "Cut",
            Rule::DuplicateExecution => "Duplicate",
            Rule::WithdrawnServer => "Drain",
            Rule::SlowStartOverload => "Cold",
            Rule::AbandonedRequest => "Gone",
            Rule::Deadline => "Deadline",
            Rule::ResponseCorrectness => "Truth",
            Rule::AttemptLimit => "Attempts",
            Rule::ProcessExit => "Process",
            Rule::AcknowledgedDisable => "Done",
            Rule::MalformedRequest => "Rude",
            Rule::Readiness => "Ready",
            Rule::SelfReportedViolation => "Counted",
        }
    }
}

impl Record {
    /// Creates an empty record whose times count from `start`.
    pub fn new(start: Instant) -> Record {
        Record {
            start,
            requests: Mutex::default(),
            attempts: Mutex::default(),
            cut_responses: Mutex::default(),
            disrupted_responses: Mutex::default(),
            changes: Mutex::default(),
            disabled_periods: Mutex::default(),
            process_gaps: Mutex::default(),
            violations: Mutex::default(),
            ready_times: Mutex::default(),
            stalls: Mutex::default(),
        }
    }

    /// The time since the start of the record.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Records a stall of this program that ends now, unless it is too short to matter.
    pub fn record_stall(&self, duration_seconds: f64) {
        if duration_seconds > MIN_STALL_SECONDS {
            self.stalls.lock().unwrap().push(Stall { at: self.now(), duration_seconds });
        }
    }

    /// The longest stall that overlaps the period; 0 if none does.
    pub fn longest_stall(&self, from: f64, until: f64) -> f64 {
        let stalls = self.stalls.lock().unwrap();
        let overlapping =
            stalls.iter().filter(|stall| stall.at >= from && stall.at - stall.duration_seconds <= until);
        overlapping.map(|stall| stall.duration_seconds).fold(0.0, f64::max)
    }

    /// Records a violation that was seen just now.
    pub fn record_violation(&self, rule: Rule, description: String) {
        let violation = ObservedViolation { at: self.now(), rule, description };
        self.violations.lock().unwrap().push(violation);
    }
}
