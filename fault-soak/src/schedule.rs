//! What goes wrong, and when: drawn from a seed, printed, and read again to be replayed or shortened.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// One kind of trouble. Spans are milliseconds; nodes and servers are named by their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum Trouble {
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
    /// A new process beside the old one, which is told to stop once the new one is ready.
    Upgrade { node: usize },
    /// SIGSTOP and SIGCONT.
    HoldUp { node: usize, for_ms: u64 },
    /// Operators empty a node and put it back to work.
    DrainNode { node: usize, for_ms: u64 },
    /// Operators take a server out of service at a node and put it back.
    Ban { node: usize, server: usize, for_ms: u64 },
    /// The list says that a server drains, then that it is back.
    Drain { server: usize, for_ms: u64 },
    /// The list drops a server, which ends a while later, and has it back, cold.
    Replace { server: usize, for_ms: u64 },
    /// A server dies and comes back cold; discovery is late to say so.
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
    /// Half as much again is asked.
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
    /// The process is held up between its clock and its writes.
    SlowWrites { node: usize, one_in: i64, for_ms: u64 },
    /// Writes and syncs of files fail.
    DiskFails { node: usize, for_ms: u64 },
}

/// One trouble at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub trouble: Trouble,
}

/// Sizes that troubles are drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Nodes; those from `kept_from` on have a listening socket and a folder that last.
    pub nodes: usize,
    /// See `nodes`.
    pub kept_from: usize,
    /// Servers.
    pub servers: usize,
    /// For how long clients ask, in milliseconds.
    pub length_ms: u64,
}

/// Nothing happens before this, so that nodes know their servers, and nothing begins this long before the end.
const QUIET_MS: u64 = 2000;
/// Troubles come in groups that overlap: so far apart at most, and so long from one group to the next.
const GROUP_MS: u64 = 600;
const BETWEEN_MS: std::ops::Range<u64> = 900..2600;

/// The troubles of a seed.
pub fn draw(seed: u64, size: Size) -> Vec<Event> {
    let mut rng = Rng::with_seed(seed);
    let mut events = Vec::new();
    let mut at = QUIET_MS;
    while at + QUIET_MS < size.length_ms {
        for _ in 0..rng.usize(2..=3) {
            events.push(Event { at_ms: at + rng.u64(0..GROUP_MS), trouble: trouble(&mut rng, size) });
        }
        at += rng.u64(BETWEEN_MS);
    }
    events.sort_by_key(|event| event.at_ms);
    events
}

fn trouble(rng: &mut Rng, size: Size) -> Trouble {
    let node = rng.usize(..size.nodes);
    let kept = rng.usize(size.kept_from..size.nodes);
    let server = rng.usize(..size.servers);
    let for_ms = rng.u64(300..3000);
    match rng.u32(..45) {
        0 | 1 => Trouble::Terminate { node },
        2 | 3 => Trouble::Kill { node, down_ms: rng.u64(50..1500) },
        4 => Trouble::Reload { node },
        5 | 6 => Trouble::Upgrade { node: kept },
        7 => Trouble::HoldUp { node, for_ms: rng.u64(30..150) },
        8 => Trouble::DrainNode { node, for_ms: 1000 + for_ms },
        9 | 10 => Trouble::Ban { node: kept, server, for_ms: 1000 + for_ms },
        11 | 12 => Trouble::Drain { server, for_ms: 2000 + for_ms },
        13 | 14 => Trouble::Replace { server, for_ms: 1500 + for_ms },
        15 | 16 => Trouble::Crash { server, for_ms },
        17 => Trouble::Hang { server, for_ms },
        18 => Trouble::Errors { server, for_ms },
        19 => Trouble::Full { server, for_ms },
        20 => Trouble::Slow { server, for_ms },
        21 => Trouble::Spoil { server, for_ms },
        22 => Trouble::ResetAll { server },
        23 => Trouble::Silence { server, for_ms },
        24 => Trouble::DiscoveryDown { for_ms },
        25 => Trouble::DiscoverySlow { for_ms },
        26 => Trouble::DiscoverySilent { for_ms },
        27 => Trouble::CountAnew,
        28 => Trouble::Burst { for_ms },
        29 => Trouble::Leave { for_ms },
        30 => Trouble::HalfRequests { node, count: rng.usize(5..30) },
        31 => Trouble::IdleClients { node, count: rng.usize(50..300) },
        32 => Trouble::StepClock {
            by_ms: if rng.bool() { 3_600_000 } else { -3_600_000 } + rng.i64(-9000..9000),
        },
        33 => Trouble::Herd { percent: rng.usize(20..80), down_ms: rng.u64(50..1000) },
        34 => Trouble::Release { for_ms: 2000 + for_ms },
        35 => Trouble::Pipeline { node, count: rng.usize(2..12) },
        _ => match rng.u32(..4) {
            0 => Trouble::Interrupt { node, one_in: rng.i64(5..20), for_ms },
            1 => Trouble::LocalFailures { node, one_in: rng.i64(4..20), for_ms },
            2 => Trouble::SlowWrites { node, one_in: rng.i64(20..200), for_ms },
            _ => Trouble::DiskFails { node: kept, for_ms },
        },
    }
}

/// One line for each.
pub fn print(events: &[Event]) -> String {
    let line = |event: &Event| serde_json::to_string(event).unwrap_or_default() + "\n";
    events.iter().map(line).collect()
}

/// Reads what `print` wrote.
pub fn parse(text: &str) -> Result<Vec<Event>, String> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines.map(|(n, line)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1))).collect()
}
