//! What goes wrong, and when: drawn from a seed, printed, and read again to be replayed or shortened.

use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::ops::Range;

/// One kind of fault. Spans are milliseconds; nodes and servers are named by their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[allow(missing_docs, reason = "the fields are named by their unit or by what they number")]
pub enum Fault {
    /// SIGTERM, and a new process once it has ended.
    Terminate { node: usize },
    /// SIGKILL, and a new process.
    Kill { node: usize, down_ms: u64 },
    /// SIGKILL to a part of the nodes, in hundredths, and new processes.
    Herd { percent: usize, down_ms: u64 },
    /// Half of the servers are replaced within so long.
    Release { for_ms: u64 },
    /// Clients write several requests at once.
    Pipeline { node: usize, count: usize },
    /// A new configuration that moves discovery, and SIGHUP.
    Reload { node: usize },
    /// A new process alongside the old one, which is terminated once the new one is ready.
    Upgrade { node: usize },
    /// SIGSTOP and SIGCONT.
    HoldUp { node: usize, for_ms: u64 },
    /// Operators empty a node and put it back to work.
    DrainNode { node: usize, for_ms: u64 },
    /// Operators take a server out of service at a node and put it back.
    Ban { node: usize, server: usize, for_ms: u64 },
    /// The list says that a server drains, then that it is back.
    Drain { server: usize, for_ms: u64 },
    /// The list drops a server, which ends a while later, and has it back, in slow start.
    Replace { server: usize, for_ms: u64 },
    /// A server dies and comes back in slow start; discovery is late to say so.
    Crash { server: usize, for_ms: u64 },
    /// A server says nothing more to what it gets.
    Hang { server: usize, for_ms: u64 },
    /// A server answers some requests with errors.
    Errors { server: usize, for_ms: u64 },
    /// A server turns all away.
    Full { server: usize, for_ms: u64 },
    /// A server is several times slower.
    Slow { server: usize, for_ms: u64 },
    /// Answers of a server are cut in the middle or garbled.
    Spoil { server: usize, for_ms: u64 },
    /// All connections to a server are reset.
    ResetAll { server: usize },
    /// What a server says does not arrive.
    Silence { server: usize, for_ms: u64 },
    /// Discovery refuses all calls.
    DiscoveryDown { for_ms: u64 },
    /// Discovery answers late.
    DiscoverySlow { for_ms: u64 },
    /// Open watches and new calls get no answer.
    DiscoverySilent { for_ms: u64 },
    /// The count of versions begins anew.
    CountAnew,
    /// Half as many requests again come.
    Burst { for_ms: u64 },
    /// Clients leave early.
    Leave { for_ms: u64 },
    /// Clients send half a request and stay.
    HalfRequests { node: usize, count: usize },
    /// Idle clients take descriptors.
    IdleClients { node: usize, count: usize },
    /// The wall clock of all nodes is stepped.
    StepClock { by_ms: i64 },
    /// Calls on sockets are interrupted and short.
    Interrupt { node: usize, one_in: i64, for_ms: u64 },
    /// Accept, socket and connect fail for a moment.
    LocalFailures { node: usize, one_in: i64, for_ms: u64 },
    /// The process is suspended between its clock and its writes.
    SlowWrites { node: usize, one_in: i64, for_ms: u64 },
    /// Writes and syncs of files fail.
    DiskFails { node: usize, for_ms: u64 },
}

/// One fault at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// Sizes that faults are drawn for.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Nodes; those from `first_lasting` on have a listening socket and a folder that last.
    pub nodes: usize,
    /// See `nodes`.
    pub first_lasting: usize,
    /// Servers.
    pub servers: usize,
    /// For how long clients ask, in milliseconds.
    pub length_ms: u64,
}

/// Nothing happens before this, so that nodes know their servers, and nothing begins this long before the
/// end.
const QUIET_MS: u64 = 2000;
/// Faults come in groups that overlap: so far apart at most, and so long from one group to the next.
const GROUP_SPREAD_MS: u64 = 600;
const GROUP_INTERVAL_MS: Range<u64> = 900..2600;

/// The faults of a seed.
pub fn draw(seed: u64, size: FleetSize) -> Vec<ScheduledFault> {
    let mut rng = Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut at = QUIET_MS;
    while at + QUIET_MS < size.length_ms {
        for _ in 0..rng.usize(2..=3) {
            faults.push(ScheduledFault {
                at_ms: at + rng.u64(0..GROUP_SPREAD_MS),
                fault: fault(&mut rng, size),
            });
        }
        at += rng.u64(GROUP_INTERVAL_MS);
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn fault(rng: &mut Rng, size: FleetSize) -> Fault {
    let node = rng.usize(..size.nodes);
    let lasting = rng.usize(size.first_lasting..size.nodes);
    let server = rng.usize(..size.servers);
    let for_ms = rng.u64(300..3000);
    match rng.u32(..45) {
        0 | 1 => Fault::Terminate { node },
        2 | 3 => Fault::Kill { node, down_ms: rng.u64(50..1500) },
        4 => Fault::Reload { node },
        5 | 6 => Fault::Upgrade { node: lasting },
        7 => Fault::HoldUp { node, for_ms: rng.u64(30..150) },
        8 => Fault::DrainNode { node, for_ms: 1000 + for_ms },
        9 | 10 => Fault::Ban { node: lasting, server, for_ms: 1000 + for_ms },
        11 | 12 => Fault::Drain { server, for_ms: 2000 + for_ms },
        13 | 14 => Fault::Replace { server, for_ms: 1500 + for_ms },
        15 | 16 => Fault::Crash { server, for_ms },
        17 => Fault::Hang { server, for_ms },
        18 => Fault::Errors { server, for_ms },
        19 => Fault::Full { server, for_ms },
        20 => Fault::Slow { server, for_ms },
        21 => Fault::Spoil { server, for_ms },
        22 => Fault::ResetAll { server },
        23 => Fault::Silence { server, for_ms },
        24 => Fault::DiscoveryDown { for_ms },
        25 => Fault::DiscoverySlow { for_ms },
        26 => Fault::DiscoverySilent { for_ms },
        27 => Fault::CountAnew,
        28 => Fault::Burst { for_ms },
        29 => Fault::Leave { for_ms },
        30 => Fault::HalfRequests { node, count: rng.usize(5..30) },
        31 => Fault::IdleClients { node, count: rng.usize(50..300) },
        32 => Fault::StepClock {
            by_ms: if rng.bool() { 3_600_000 } else { -3_600_000 } + rng.i64(-9000..9000),
        },
        33 => Fault::Herd { percent: rng.usize(20..80), down_ms: rng.u64(50..1000) },
        34 => Fault::Release { for_ms: 2000 + for_ms },
        35 => Fault::Pipeline { node, count: rng.usize(2..12) },
        _ => match rng.u32(..4) {
            0 => Fault::Interrupt { node, one_in: rng.i64(5..20), for_ms },
            1 => Fault::LocalFailures { node, one_in: rng.i64(4..20), for_ms },
            2 => Fault::SlowWrites { node, one_in: rng.i64(20..200), for_ms },
            _ => Fault::DiskFails { node: lasting, for_ms },
        },
    }
}

/// One line of JSON for each.
pub fn print(faults: &[ScheduledFault]) -> String {
    let line = |fault: &ScheduledFault| serde_json::to_string(fault).unwrap_or_default() + "\n";
    faults.iter().map(line).collect()
}

/// A line of a schedule that cannot be read.
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

/// Reads what `print` wrote.
///
/// # Errors
/// A line is no scheduled fault.
pub fn parse(text: &str) -> Result<Vec<ScheduledFault>, ParseError> {
    let lines = (1..).zip(text.lines()).filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(line, text)| serde_json::from_str(text).map_err(|cause| ParseError { line, cause }))
        .collect()
}
