//! Generates, prints and parses the schedule of the faults of a run.
//!
//! A failure that a random run finds is useful only if the run can be repeated. Therefore a seed determines
//! its schedule, and a schedule can be printed as JSON lines and parsed again, to be replayed or shortened.

use crate::scenarios;
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::ops::Range;

/// A fault to inject.
///
/// `node` and `server` are indexes, and fields whose names end in `_ms` are in milliseconds. `one_in` is the
/// rate of a fault of system calls: with a value of N, the fault affects one in N of the calls that it
/// concerns, chosen at random.
///
/// The serialized kinds, such as `herd` for [`Fault::KillManyNodes`], and the names of the fields are part of
/// the format of schedule files. Files are kept to be replayed, so these names must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[allow(missing_docs, reason = "the fields are explained together at the enum")]
pub enum Fault {
    /// Stops a node with SIGTERM, and starts a new process once the old one has exited.
    #[serde(rename = "terminate")]
    TerminateNode { node: usize },
    /// Kills a node with SIGKILL, and starts a new process after `down_ms`.
    #[serde(rename = "kill")]
    KillNode { node: usize, down_ms: u64 },
    /// Kills the first `percent` percent of the nodes at once, and starts new processes after `down_ms`.
    #[serde(rename = "herd")]
    KillManyNodes { percent: usize, down_ms: u64 },
    /// Replaces half of the servers, each as [`Fault::ReplaceServer`] does. The replacements begin one after
    /// another, spread evenly over the first half of `for_ms`.
    #[serde(rename = "release")]
    RollingReplacement { for_ms: u64 },
    /// A client writes `count` requests at once on one connection.
    #[serde(rename = "pipeline")]
    PipelinedRequests { node: usize, count: usize },
    /// Changes the address of discovery in the configuration of a node, and sends SIGHUP.
    #[serde(rename = "reload")]
    ReloadNode { node: usize },
    /// Starts a new process alongside the old one, and terminates the old one once the new one is ready.
    #[serde(rename = "upgrade")]
    UpgradeNode { node: usize },
    /// Suspends a node with SIGSTOP, and resumes it with SIGCONT.
    #[serde(rename = "hold-up")]
    SuspendNode { node: usize, for_ms: u64 },
    /// Drains a node by the admin command `drain`, and ends the drain by the command `resume` after `for_ms`.
    DrainNode { node: usize, for_ms: u64 },
    /// Disables a server at one node by the admin command `disable-server`, and enables it again at the same
    /// node by the command `enable-server` after `for_ms`.
    #[serde(rename = "ban")]
    DisableServer { node: usize, server: usize, for_ms: u64 },
    /// Discovery lists a server as draining, and then as up again.
    #[serde(rename = "drain")]
    DrainServer { server: usize, for_ms: u64 },
    /// Discovery removes a server from its list, and the server stops a while later. It restarts `for_ms`
    /// after it stopped. Discovery then lists it again, and the server is in slow start.
    #[serde(rename = "replace")]
    ReplaceServer { server: usize, for_ms: u64 },
    /// A server crashes, and discovery removes it from its list only some time later. The server restarts
    /// `for_ms` after the removal, in slow start.
    #[serde(rename = "crash")]
    CrashServer { server: usize, for_ms: u64 },
    /// A server does not respond to the requests that it receives.
    #[serde(rename = "hang")]
    HangServer { server: usize, for_ms: u64 },
    /// A server responds to some requests with errors.
    #[serde(rename = "errors")]
    ServerErrors { server: usize, for_ms: u64 },
    /// A server rejects all requests.
    #[serde(rename = "full")]
    RejectRequests { server: usize, for_ms: u64 },
    /// A server is several times slower than usual.
    #[serde(rename = "slow")]
    SlowServer { server: usize, for_ms: u64 },
    /// A server truncates or garbles some of its responses.
    #[serde(rename = "spoil")]
    CorruptResponses { server: usize, for_ms: u64 },
    /// A server writes its responses slowly: they are long, and have pauses between their parts.
    SlowResponses { server: usize, for_ms: u64 },
    /// Resets all open connections to a server.
    #[serde(rename = "reset-all")]
    ResetConnections { server: usize },
    /// Drops all bytes that a server sends.
    #[serde(rename = "silence")]
    DropServerOutput { server: usize, for_ms: u64 },
    /// Discovery closes all connections and resets new ones.
    DiscoveryDown { for_ms: u64 },
    /// Discovery responds late.
    DiscoverySlow { for_ms: u64 },
    /// Discovery keeps its connections open but does not respond, neither to calls that already wait for a
    /// change of the list nor to new ones.
    DiscoverySilent { for_ms: u64 },
    /// Discovery restarts the version numbers of the endpoint list at a lower number.
    #[serde(rename = "count-anew")]
    RestartVersions,
    /// Clients shorten the pauses between their requests, so that up to two thirds more requests arrive.
    #[serde(rename = "burst")]
    LoadBurst { for_ms: u64 },
    /// Many clients close their connections before the response.
    #[serde(rename = "leave")]
    AbandonRequests { for_ms: u64 },
    /// `count` clients each send a part of a request and keep the connection open.
    #[serde(rename = "half-requests")]
    PartialRequests { node: usize, count: usize },
    /// `count` clients open a connection and send nothing, so that the node runs short of descriptors.
    #[serde(rename = "idle-clients")]
    IdleConnections { node: usize, count: usize },
    /// Steps the wall clock of all nodes.
    StepClock { by_ms: i64 },
    /// Reads and writes on sockets are interrupted or transfer only a few bytes. The system calls that wait
    /// for events are interrupted too.
    #[serde(rename = "interrupt")]
    InterruptedCalls { node: usize, one_in: i64, for_ms: u64 },
    /// The system calls `accept`, `socket` and `connect` fail.
    #[serde(rename = "local-failures")]
    SocketFailures { node: usize, one_in: i64, for_ms: u64 },
    /// Writes to TCP sockets are delayed. Before the node writes a request to a server, it reads its clock to
    /// decide whether the request may still be sent. The delay comes after this decision, as if the process
    /// had been suspended between the decision and the write.
    #[serde(rename = "slow-writes")]
    DelayedWrites { node: usize, one_in: i64, for_ms: u64 },
    /// Writes, syncs and renames of files fail.
    #[serde(rename = "disk-fails")]
    DiskFailures { node: usize, for_ms: u64 },
}

/// A fault, with the time at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// In milliseconds since the clients began to send requests.
    pub at_ms: u64,
    /// The fault with its parameters.
    #[serde(flatten)]
    pub fault: Fault,
}

/// The size and duration of a run, which limit the faults that can be drawn for it.
#[derive(Clone, Copy, Debug)]
pub struct RunSize {
    /// The number of nodes.
    pub nodes: usize,
    /// The index of the first persistent node, whose listening socket and state folder outlive its
    /// processes; all nodes after it are persistent too. Only these nodes can be upgraded.
    pub first_persistent: usize,
    /// The number of servers.
    pub servers: usize,
    /// For how long clients send requests, in milliseconds.
    pub duration_ms: u64,
}

/// The time from the start of a run to its first group of faults, and the minimum time from the beginning of
/// the last group to the end of the run. Until the first fault, the nodes receive the list of servers and
/// observe how fast the servers respond.
pub const QUIET_PERIOD_MS: u64 = 2000;
/// The faults of a group begin within this time of each other, so that they overlap.
const GROUP_SPREAD_MS: u64 = 600;
/// The range of the time from the beginning of one group of faults to that of the next.
const GROUP_INTERVAL_MS: Range<u64> = 900..2600;

/// Draws the faults of a seed, in order of time.
///
/// The order of the random draws is part of the meaning of a seed: a change to it gives every seed another
/// schedule. The scenarios of [`scenarios::draw`] therefore have random numbers of their own.
pub fn draw(seed: u64, size: RunSize) -> Vec<ScheduledFault> {
    let mut rng = Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut at = QUIET_PERIOD_MS;
    while at + QUIET_PERIOD_MS < size.duration_ms {
        for _ in 0..rng.usize(2..=3) {
            faults.push(ScheduledFault {
                at_ms: at + rng.u64(0..GROUP_SPREAD_MS),
                fault: draw_fault(&mut rng, size),
            });
        }
        at += rng.u64(GROUP_INTERVAL_MS);
    }
    faults.extend(scenarios::draw(seed, size));
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn draw_fault(rng: &mut Rng, size: RunSize) -> Fault {
    let node = rng.usize(..size.nodes);
    let persistent = rng.usize(size.first_persistent..size.nodes);
    let server = rng.usize(..size.servers);
    let for_ms = rng.u64(300..3000);
    match rng.u32(..45) {
        0 | 1 => Fault::TerminateNode { node },
        2 | 3 => Fault::KillNode { node, down_ms: rng.u64(50..1500) },
        4 => Fault::ReloadNode { node },
        5 | 6 => Fault::UpgradeNode { node: persistent },
        7 => Fault::SuspendNode { node, for_ms: rng.u64(30..150) },
        8 => Fault::DrainNode { node, for_ms: 1000 + for_ms },
        9 | 10 => Fault::DisableServer { node: persistent, server, for_ms: 1000 + for_ms },
        11 | 12 => Fault::DrainServer { server, for_ms: 2000 + for_ms },
        13 | 14 => Fault::ReplaceServer { server, for_ms: 1500 + for_ms },
        15 | 16 => Fault::CrashServer { server, for_ms },
        17 => Fault::HangServer { server, for_ms },
        18 => Fault::ServerErrors { server, for_ms },
        19 => Fault::RejectRequests { server, for_ms },
        20 => Fault::SlowServer { server, for_ms },
        21 => Fault::CorruptResponses { server, for_ms },
        22 => Fault::ResetConnections { server },
        23 => Fault::DropServerOutput { server, for_ms },
        24 => Fault::DiscoveryDown { for_ms },
        25 => Fault::DiscoverySlow { for_ms },
        26 => Fault::DiscoverySilent { for_ms },
        27 => Fault::RestartVersions,
        28 => Fault::LoadBurst { for_ms },
        29 => Fault::AbandonRequests { for_ms },
        30 => Fault::PartialRequests { node, count: rng.usize(5..30) },
        31 => Fault::IdleConnections { node, count: rng.usize(50..300) },
        32 => Fault::StepClock {
            by_ms: if rng.bool() { 3_600_000 } else { -3_600_000 } + rng.i64(-9000..9000),
        },
        33 => Fault::KillManyNodes { percent: rng.usize(20..80), down_ms: rng.u64(50..1000) },
        34 => Fault::RollingReplacement { for_ms: 2000 + for_ms },
        35 => Fault::PipelinedRequests { node, count: rng.usize(2..12) },
        _ => match rng.u32(..4) {
            0 => Fault::InterruptedCalls { node, one_in: rng.i64(5..20), for_ms },
            1 => Fault::SocketFailures { node, one_in: rng.i64(4..20), for_ms },
            2 => Fault::DelayedWrites { node, one_in: rng.i64(20..200), for_ms },
            _ => Fault::DiskFailures { node: persistent, for_ms },
        },
    }
}

/// Prints each fault as one line of JSON.
pub fn print(faults: &[ScheduledFault]) -> String {
    let line = |fault: &ScheduledFault| serde_json::to_string(fault).unwrap_or_default() + "\n";
    faults.iter().map(line).collect()
}

/// A line of a schedule that is not a valid fault.
#[derive(Debug)]
pub struct ParseError {
    line: usize,
    cause: serde_json::Error,
}

impl Display for ParseError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.cause)
    }
}

/// Parses the output of [`print`]; ignores empty lines.
///
/// # Errors
/// A line is not the JSON of a [`ScheduledFault`]. The error is the first such line.
pub fn parse(text: &str) -> Result<Vec<ScheduledFault>, ParseError> {
    let lines = (1..).zip(text.lines()).filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(line, text)| serde_json::from_str(text).map_err(|cause| ParseError { line, cause }))
        .collect()
}
