//! One run: everything is started, troubles come as planned, and what was seen is judged.

use crate::client::Clients;
use crate::discovery::{Discovery, uid};
use crate::faults::{Fault, Faults};
use crate::node::{Node, Site, free_address};
use crate::oracle::{self, Break};
use crate::proxy::Mode;
use crate::record::{Ban, Change, Record};
use crate::schedule::{Event, Size, Trouble};
use crate::server::{CORES, Manner, Server, WORK};
use crate::settings::{Addresses, Shape, settings};
use std::path::PathBuf;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

/// Of all nodes, those that have a socket and a folder that last.
const KEPT_PART: usize = 3;
/// Clients for each node.
const CLIENTS: u64 = 6;
/// What is still out after the last request is waited for.
const LAST_ANSWERS: Duration = Duration::from_secs(4);
/// How late discovery says that a server died.
const NOTICE: Duration = Duration::from_millis(900);
/// A server that left the list answers for so long.
const ANSWERS_ON: Duration = Duration::from_millis(1500);
/// How long a call that failed, or a troubled start, is looked after.
const CALL_AGAIN: Duration = Duration::from_millis(200);
/// How long this program may be late before a run says nothing.
const MOST_STALL: f64 = 0.3;
const WATCH_STALL: Duration = Duration::from_millis(5);
/// How long the process is held up in a slow write.
const HOLD_MS: i64 = 150;
const SHORT_BYTES: i64 = 7;

/// What is to be played.
pub struct Plan {
    /// Of the load, and of what is not in the schedule.
    pub seed: u64,
    /// The troubles.
    pub events: Vec<Event>,
    /// For how long clients ask.
    pub length: Duration,
    /// How many nodes.
    pub nodes: usize,
    /// How many servers.
    pub servers: usize,
    /// The node's program.
    pub program: PathBuf,
    /// Where logs are to be kept.
    pub logs: Option<PathBuf>,
}

/// How a run ended.
pub struct Outcome {
    /// In one line.
    pub summary: String,
    /// What broke.
    pub breaks: Vec<Break>,
}

/// The sizes that troubles are drawn for.
pub fn size(nodes: usize, servers: usize, length_ms: u64) -> Size {
    Size { nodes, kept_from: nodes - nodes / KEPT_PART, servers, length_ms }
}

/// Plays a run from start to end.
pub fn play(plan: &Plan) -> Outcome {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build().unwrap();
    let outcome = runtime.block_on(Run::play(plan));
    runtime.shutdown_background();
    outcome
}

struct Run {
    record: Arc<Record>,
    servers: Vec<Arc<Server>>,
    discovery: Arc<Discovery>,
    clients: Arc<Clients>,
    nodes: Vec<Arc<Node>>,
    wall_offset_ms: AtomicI64,
    shape: Shape,
    /// When clients began to ask, in seconds since the start.
    asked_from: Mutex<f64>,
}

impl Run {
    async fn play(plan: &Plan) -> Outcome {
        let folder =
            std::env::temp_dir().join(format!("wheelpath-fault-soak-{}-{}", std::process::id(), plan.seed));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let record = Arc::new(Record::new(Instant::now()));
        let stalls = tokio::spawn(watch_stalls(record.clone()));
        let run = Arc::new(Run::set_up(plan, record.clone(), folder.clone()).await);
        let mut starts = JoinSet::new();
        for node in run.nodes.clone() {
            starts.spawn(async move { node.start().await });
        }
        starts.join_all().await;
        run.ask_and_trouble(plan).await;
        let mut ends = JoinSet::new();
        for node in run.nodes.clone() {
            ends.spawn(async move { node.finish().await });
        }
        ends.join_all().await;
        stalls.abort();
        let breaks = oracle::judge(&record, &|at| run.discovery.told_by(at));
        let outcome = run.outcome(breaks);
        if let Some(logs) = &plan.logs {
            let _ = std::fs::create_dir_all(logs);
            for entry in std::fs::read_dir(&folder).unwrap().flatten().filter(|e| e.path().is_file()) {
                let _ = std::fs::copy(entry.path(), logs.join(entry.file_name()));
            }
        }
        let _ = std::fs::remove_dir_all(&folder);
        outcome
    }

    async fn set_up(plan: &Plan, record: Arc<Record>, folder: PathBuf) -> Run {
        let shape = Shape::draw(plan.seed);
        let membership = shape.membership;
        let mut servers = Vec::new();
        for number in 0..plan.servers {
            servers.push(Server::start(number, free_address(), record.clone()).await);
        }
        let addresses: Vec<Addresses> = (0..plan.nodes)
            .map(|_| Addresses {
                listen: free_address(),
                peers: free_address(),
                discovery: [free_address(), free_address()],
            })
            .collect();
        let endpoints: Vec<_> = servers.iter().map(|server| server.address).collect();
        let places: Vec<_> = addresses.iter().map(|a| a.discovery).collect();
        let discovery = Discovery::start(&endpoints, &places, membership, record.clone());
        let doors = addresses.iter().map(|a| a.listen).collect();
        let clients = Clients::new(doors, record.clone(), plan.seed);
        let site = Arc::new(Site {
            program: plan.program.clone(),
            folder,
            peers: addresses.iter().map(|a| a.peers).collect(),
            settings: (0..plan.nodes).map(|slot| settings(membership, plan.nodes, slot)).collect(),
            discovery: discovery.clone(),
            clients: clients.clone(),
            record: record.clone(),
            seed: plan.seed,
            sockets: shape.sockets,
        });
        let kept_from = size(plan.nodes, plan.servers, 0).kept_from;
        let nodes = addresses.into_iter().enumerate().map(|(number, addresses)| {
            let faults = Arc::new(Faults::new(plan.seed as i64 * 1000 + number as i64));
            faults.set(Fault::ShortBytes, SHORT_BYTES);
            faults.set(Fault::HoldMs, HOLD_MS);
            Node::new(number, addresses, number >= kept_from, faults, site.clone())
        });
        let nodes = nodes.collect();
        Run {
            record,
            servers,
            discovery,
            clients,
            nodes,
            wall_offset_ms: AtomicI64::new(0),
            shape,
            asked_from: Mutex::new(0.0),
        }
    }

    async fn ask_and_trouble(self: &Arc<Self>, plan: &Plan) {
        let capacity = plan.servers as f64 * CORES as f64 / WORK.as_secs_f64();
        let count = CLIENTS * plan.nodes as u64;
        let mean = Duration::from_secs_f64(count as f64 / (capacity * Shape::draw(plan.seed).load));
        let mut clients = JoinSet::new();
        for number in 0..count {
            clients.spawn(self.clients.clone().run(number, mean));
        }
        let began = Instant::now();
        *self.asked_from.lock().unwrap() = self.record.now();
        let mut troubles = JoinSet::new();
        for event in plan.events.clone() {
            let run = self.clone();
            troubles.spawn(async move {
                tokio::time::sleep_until((began + Duration::from_millis(event.at_ms)).into()).await;
                run.trouble(event.trouble).await;
            });
        }
        let run = self.clone();
        let watch = tokio::spawn(async move {
            loop {
                tokio::time::sleep(CALL_AGAIN).await;
                for node in &run.nodes {
                    node.check().await;
                }
            }
        });
        tokio::time::sleep_until((began + plan.length).into()).await;
        self.clients.over.store(true, Ordering::SeqCst);
        // A trouble that is under way ends by itself.
        let _ = tokio::time::timeout(Duration::from_secs(30), troubles.join_all()).await;
        let _ = tokio::time::timeout(LAST_ANSWERS, clients.join_all()).await;
        watch.abort();
    }

    async fn trouble(self: &Arc<Self>, trouble: Trouble) {
        let ms = Duration::from_millis;
        match trouble {
            Trouble::Terminate { node } => self.nodes[node].terminate().await,
            Trouble::Kill { node, down_ms } => self.nodes[node].kill(ms(down_ms)).await,
            Trouble::Herd { percent, down_ms } => {
                let mut kills = JoinSet::new();
                for node in &self.nodes[..self.nodes.len() * percent / 100] {
                    let node = node.clone();
                    kills.spawn(async move { node.kill(ms(down_ms)).await });
                }
                kills.join_all().await;
            }
            Trouble::Release { for_ms } => {
                let mut replaced = JoinSet::new();
                for server in 0..self.servers.len() / 2 {
                    let run = self.clone();
                    let later = ms(for_ms).mul_f64(server as f64 / self.servers.len() as f64);
                    replaced.spawn(async move {
                        tokio::time::sleep(later).await;
                        run.replace(server, ms(for_ms)).await;
                    });
                }
                replaced.join_all().await;
            }
            Trouble::Pipeline { node, count } => self.clients.clone().pipeline(node, count).await,
            Trouble::Reload { node } => self.nodes[node].reload().await,
            Trouble::Upgrade { node } => self.nodes[node].upgrade().await,
            Trouble::HoldUp { node, for_ms } => self.nodes[node].hold_up(ms(for_ms)).await,
            Trouble::DrainNode { node, for_ms } => {
                let _ = self.nodes[node].call("drain").await;
                tokio::time::sleep(ms(for_ms)).await;
                let _ = self.nodes[node].call("resume").await;
            }
            Trouble::Ban { node, server, for_ms } => self.ban(node, server, ms(for_ms)).await,
            Trouble::Drain { server, for_ms } => {
                self.discovery.change(server, "draining", None, Change::Leaves);
                tokio::time::sleep(ms(for_ms)).await;
                self.discovery.change(server, "up", None, Change::Serves);
            }
            Trouble::Replace { server, for_ms } => self.replace(server, ms(for_ms)).await,
            Trouble::Crash { server, for_ms } => {
                self.servers[server].die().await;
                tokio::time::sleep(NOTICE).await;
                self.discovery.change(server, "removed", None, Change::Leaves);
                tokio::time::sleep(ms(for_ms)).await;
                self.revive(server).await;
            }
            Trouble::Hang { server, for_ms } => self.manner(server, Manner::Hangs, for_ms).await,
            Trouble::Errors { server, for_ms } => self.manner(server, Manner::Errors, for_ms).await,
            Trouble::Full { server, for_ms } => self.manner(server, Manner::Full, for_ms).await,
            Trouble::Slow { server, for_ms } => self.manner(server, Manner::Slow, for_ms).await,
            Trouble::Spoil { server, for_ms } => self.manner(server, Manner::Spoils, for_ms).await,
            Trouble::ResetAll { server } => self.servers[server].proxy.reset_all(),
            Trouble::Silence { server, for_ms } => {
                self.servers[server].proxy.set(Mode::Silent).await;
                tokio::time::sleep(ms(for_ms)).await;
                self.servers[server].proxy.set(Mode::Passes).await;
            }
            Trouble::DiscoveryDown { for_ms } => {
                self.discovery.set(|manner| manner.down = true);
                tokio::time::sleep(ms(for_ms)).await;
                self.discovery.set(|manner| manner.down = false);
            }
            Trouble::DiscoverySlow { for_ms } => {
                self.discovery.set(|manner| manner.slow = true);
                tokio::time::sleep(ms(for_ms)).await;
                self.discovery.set(|manner| manner.slow = false);
            }
            Trouble::DiscoverySilent { for_ms } => {
                self.discovery.set(|manner| manner.silent = true);
                tokio::time::sleep(ms(for_ms)).await;
                self.discovery.set(|manner| manner.silent = false);
            }
            Trouble::CountAnew => self.discovery.count_anew(),
            Trouble::Burst { for_ms } => {
                self.clients.pace.store(60, Ordering::SeqCst);
                tokio::time::sleep(ms(for_ms)).await;
                self.clients.pace.store(100, Ordering::SeqCst);
            }
            Trouble::Leave { for_ms } => {
                self.clients.leaving.store(50, Ordering::SeqCst);
                tokio::time::sleep(ms(for_ms)).await;
                self.clients.leaving.store(3, Ordering::SeqCst);
            }
            Trouble::HalfRequests { node, count } => {
                let mut halves = JoinSet::new();
                for n in 0..count {
                    halves.spawn(self.clients.clone().half_request(node, (node * 1000 + n) as u64));
                }
                halves.join_all().await;
            }
            Trouble::IdleClients { node, count } => {
                let mut idle = JoinSet::new();
                for _ in 0..count {
                    idle.spawn(self.clients.clone().idle(node));
                }
                idle.join_all().await;
            }
            Trouble::StepClock { by_ms } => {
                let offset = self.wall_offset_ms.fetch_add(by_ms, Ordering::SeqCst) + by_ms;
                self.nodes.iter().for_each(|node| node.faults.set(Fault::WallOffsetMs, offset));
            }
            Trouble::Interrupt { node, one_in, for_ms } => {
                let node = &self.nodes[node];
                tokio::join!(
                    node.fail(Fault::InterruptedIo, one_in, ms(for_ms)),
                    node.fail(Fault::ShortIo, one_in, ms(for_ms)),
                    node.fail(Fault::InterruptedWait, one_in, ms(for_ms)),
                );
            }
            Trouble::LocalFailures { node, one_in, for_ms } => {
                let node = &self.nodes[node];
                tokio::join!(
                    node.fail(Fault::AcceptFails, one_in, ms(for_ms)),
                    node.fail(Fault::SocketFails, one_in, ms(for_ms)),
                    node.fail(Fault::ConnectFails, one_in, ms(for_ms)),
                );
            }
            Trouble::SlowWrites { node, one_in, for_ms } => {
                self.nodes[node].fail(Fault::HeldSend, one_in, ms(for_ms)).await;
            }
            Trouble::DiskFails { node, for_ms } => {
                let node = &self.nodes[node];
                tokio::join!(
                    node.fail(Fault::WriteFails, 3, ms(for_ms)),
                    node.fail(Fault::WriteHalves, 4, ms(for_ms)),
                    node.fail(Fault::SyncFails, 3, ms(for_ms)),
                    node.fail(Fault::RenameFails, 4, ms(for_ms)),
                );
            }
        }
    }

    /// The list drops a server, which ends a while later and comes back cold.
    async fn replace(&self, server: usize, time: Duration) {
        self.discovery.change(server, "removed", None, Change::Leaves);
        tokio::time::sleep(ANSWERS_ON.min(time)).await;
        self.servers[server].die().await;
        tokio::time::sleep(time).await;
        self.revive(server).await;
    }

    async fn manner(&self, server: usize, manner: Manner, for_ms: u64) {
        self.servers[server].set(manner);
        tokio::time::sleep(Duration::from_millis(for_ms)).await;
        self.servers[server].set(Manner::Well);
    }

    /// A server is there again, cold, and the list says so by the wall clock.
    async fn revive(&self, server: usize) {
        self.servers[server].revive().await;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let boot_ms = wall.as_millis() as i64 + self.wall_offset_ms.load(Ordering::SeqCst);
        self.discovery.change(server, "up", Some(boot_ms), Change::Started);
    }

    async fn ban(&self, node: usize, server: usize, time: Duration) {
        let answered = self.nodes[node].call(&format!("disable-server {}", uid(server))).await;
        if !answered.is_some_and(|answer| answer.starts_with("done")) {
            return;
        }
        if !self.note_ban(node, server) {
            return;
        }
        tokio::time::sleep(time).await;
        // From the call on it may serve again, whatever becomes of the answer.
        self.end_ban(node, server);
        let call = format!("enable-server {}", uid(server));
        while !self.nodes[node].call(&call).await.is_some_and(|answer| answer.starts_with("done")) {
            tokio::time::sleep(CALL_AGAIN).await;
        }
    }

    /// False where the server is out of service at this node already: then the two calls are one.
    fn note_ban(&self, node: usize, server: usize) -> bool {
        let from = self.record.now();
        let mut bans = self.record.bans.lock().unwrap();
        let open = bans.iter().any(|b| (b.node, b.server) == (node, server) && b.until.is_infinite());
        if !open {
            bans.push(Ban { node, server, from, until: f64::INFINITY });
        }
        !open
    }

    fn end_ban(&self, node: usize, server: usize) {
        let until = self.record.now();
        let mut bans = self.record.bans.lock().unwrap();
        let here =
            bans.iter_mut().filter(|b| (b.node, b.server) == (node, server) && b.until.is_infinite());
        here.for_each(|ban| ban.until = until);
    }

    fn began(&self) -> f64 {
        *self.asked_from.lock().unwrap()
    }

    fn outcome(&self, mut breaks: Vec<Break>) -> Outcome {
        let asked = self.record.asked.lock().unwrap();
        let answered = |wanted: fn(u16) -> bool| {
            let answers = asked.values().filter_map(|asked| asked.answer.as_ref());
            answers.filter(|(_, status, _)| wanted(*status)).count()
        };
        let served = answered(|status| status == 200);
        let refused = answered(|status| matches!(status, 429 | 503));
        let failed = answered(|status| !matches!(status, 200 | 429 | 503));
        let left = asked.values().filter(|asked| asked.left.is_some()).count();
        let none = asked.len() - served - refused - failed - left;
        let stall = self.record.stall(self.began(), f64::INFINITY);
        let attempts = self.record.seen.lock().unwrap().len();
        let judged = if stall <= MOST_STALL { "judged" } else { "not judged: this program was late" };
        if stall > MOST_STALL {
            breaks.clear();
        }
        let summary = format!(
            "{:?}; {} requests: {served} served, {refused} refused, {failed} failed, {left} left, {none} without answer; \
             {attempts} attempts, {} breaks, late by {:.0} ms at most, {judged}",
            self.shape,
            asked.len(),
            breaks.len(),
            stall * 1000.0
        );
        Outcome { summary, breaks }
    }
}

/// Notes how late this program itself is: what it saw is no sharper than that.
async fn watch_stalls(record: Arc<Record>) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(WATCH_STALL).await;
        let late = before.elapsed().saturating_sub(WATCH_STALL).as_secs_f64();
        record.stalled(late);
    }
}
