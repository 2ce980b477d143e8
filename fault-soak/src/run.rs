//! One run: everything is started, faults come as planned, and what was seen is judged.

use crate::client::Clients;
use crate::discovery::Discovery;
use crate::faults::{SyscallFault, SyscallFaults};
use crate::node::{Node, Site, free_address};
use crate::oracle::{self, Violation};
use crate::record::Record;
use crate::schedule::{FleetSize, ScheduledFault};
use crate::server::{CORES, Server, WORK};
use crate::settings::{Addresses, Shape, settings};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::Builder;
use tokio::task::JoinSet;

/// Of all nodes, those that have a socket and a folder that last.
const LASTING_PART: usize = 3;
/// Clients for each node.
const CLIENTS_PER_NODE: u64 = 6;
/// What is still open after the last request is waited for.
const LAST_ANSWERS: Duration = Duration::from_secs(4);
/// A fault that is under way when clients stop ends by itself, within this.
const LAST_FAULTS: Duration = Duration::from_secs(30);
/// How often nodes are looked after.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long this program may be late before a run says nothing, in seconds.
const MAX_STALL: f64 = 0.3;
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How long a process is suspended in a slow write, and how much a short call moves.
const HOLD_MS: i64 = 150;
const SHORT_BYTES: i64 = 7;
const WORKER_THREADS: usize = 3;

/// What is to be played.
pub struct Plan {
    /// Of the load, and of what is not in the schedule.
    pub seed: u64,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
    /// For how long clients ask.
    pub length: Duration,
    /// How many nodes.
    pub nodes: usize,
    /// How many servers.
    pub servers: usize,
    /// The node's program.
    pub program: PathBuf,
    /// The folder for logs.
    pub logs: Option<PathBuf>,
}

/// How a run ended.
pub struct RunReport {
    /// In one line.
    pub summary: String,
    /// What broke.
    pub violations: Vec<Violation>,
}

/// The sizes that faults are drawn for.
pub fn fleet_size(nodes: usize, servers: usize, length_ms: u64) -> FleetSize {
    FleetSize { nodes, first_lasting: nodes - nodes / LASTING_PART, servers, length_ms }
}

/// Plays a run from start to end.
pub fn play(plan: &Plan) -> RunReport {
    let runtime = Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build().unwrap();
    let report = runtime.block_on(Run::play(plan));
    runtime.shutdown_background();
    report
}

/// A run under way.
pub struct Run {
    pub(crate) record: Arc<Record>,
    pub(crate) servers: Vec<Arc<Server>>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) clients: Arc<Clients>,
    pub(crate) nodes: Vec<Arc<Node>>,
    pub(crate) wall_offset_ms: AtomicI64,
    shape: Shape,
    /// When clients began to ask, in seconds since the start.
    load_began_at: Mutex<f64>,
}

impl Run {
    async fn play(plan: &Plan) -> RunReport {
        let name = format!("wheelpath-fault-soak-{}-{}", std::process::id(), plan.seed);
        let folder = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let record = Arc::new(Record::new(Instant::now()));
        let stalls = tokio::spawn(record_stalls(record.clone()));
        let run = Arc::new(Run::set_up(plan, record.clone(), folder.clone()).await);
        run.for_each_node(|node| async move { node.start().await }).await;
        run.load_and_inject(plan).await;
        run.for_each_node(|node| async move { node.finish().await }).await;
        stalls.abort();
        let violations = oracle::judge(&record, &|at| run.discovery.known_by(at));
        let report = run.report(violations);
        if let Some(logs) = &plan.logs {
            copy_files(&folder, logs);
        }
        let _ = std::fs::remove_dir_all(&folder);
        report
    }

    async fn for_each_node<F>(&self, act: impl Fn(Arc<Node>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut acts = JoinSet::new();
        for node in &self.nodes {
            acts.spawn(act(node.clone()));
        }
        acts.join_all().await;
    }

    async fn set_up(plan: &Plan, record: Arc<Record>, folder: PathBuf) -> Run {
        let shape = Shape::draw(plan.seed);
        let mut servers = Vec::new();
        for number in 0..plan.servers {
            servers.push(Server::start(number, free_address(), record.clone()).await);
        }
        let addresses: Vec<Addresses> = (0..plan.nodes).map(|_| node_addresses()).collect();
        let endpoints: Vec<_> = servers.iter().map(|server| server.address).collect();
        let of_discovery: Vec<_> = addresses.iter().map(|node| node.discovery).collect();
        let discovery = Discovery::start(&endpoints, &of_discovery, shape.discovery, record.clone());
        let entries = addresses.iter().map(|node| node.listen).collect();
        let clients = Clients::new(entries, record.clone(), plan.seed);
        let site = Arc::new(Site {
            program: plan.program.clone(),
            folder,
            peers: addresses.iter().map(|node| node.peers).collect(),
            settings: (0..plan.nodes).map(|index| settings(shape.discovery, plan.nodes, index)).collect(),
            discovery: discovery.clone(),
            clients: clients.clone(),
            record: record.clone(),
            seed: plan.seed,
            sockets: shape.sockets,
        });
        let nodes = start_nodes(plan, addresses, &site);
        let wall_offset_ms = AtomicI64::new(0);
        let load_began_at = Mutex::new(0.0);
        Run { record, servers, discovery, clients, nodes, wall_offset_ms, shape, load_began_at }
    }

    /// Has clients ask, and injects the faults at their times.
    async fn load_and_inject(self: &Arc<Self>, plan: &Plan) {
        let capacity = plan.servers as f64 * CORES as f64 / WORK.as_secs_f64();
        let count = CLIENTS_PER_NODE * plan.nodes as u64;
        let mean = Duration::from_secs_f64(count as f64 / (capacity * self.shape.load));
        let mut clients = JoinSet::new();
        for number in 0..count {
            clients.spawn(self.clients.clone().run(number, mean));
        }
        let began_at = Instant::now();
        *self.load_began_at.lock().unwrap() = self.record.now();
        let mut faults = JoinSet::new();
        for ScheduledFault { at_ms, fault } in plan.faults.clone() {
            let run = self.clone();
            faults.spawn(async move {
                tokio::time::sleep_until((began_at + Duration::from_millis(at_ms)).into()).await;
                run.inject(fault).await;
            });
        }
        let checks = tokio::spawn(self.clone().check_nodes());
        tokio::time::sleep_until((began_at + plan.length).into()).await;
        self.clients.over.store(true, Ordering::SeqCst);
        let _ = tokio::time::timeout(LAST_FAULTS, faults.join_all()).await;
        let _ = tokio::time::timeout(LAST_ANSWERS, clients.join_all()).await;
        checks.abort();
    }

    async fn check_nodes(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            for node in &self.nodes {
                node.check().await;
            }
        }
    }

    fn report(&self, mut violations: Vec<Violation>) -> RunReport {
        let requests = self.record.requests.lock().unwrap();
        let count_status = |wanted: fn(u16) -> bool| {
            let answers = requests.values().filter_map(|request| request.answer.as_ref());
            answers.filter(|answer| wanted(answer.status)).count()
        };
        let served = count_status(|status| status == 200);
        let rejected = count_status(|status| matches!(status, 429 | 503));
        let failed = count_status(|status| !matches!(status, 200 | 429 | 503));
        let left = requests.values().filter(|request| request.left_at.is_some()).count();
        let unanswered = requests.len() - served - rejected - failed - left;
        let began_at = *self.load_began_at.lock().unwrap();
        let stall = self.record.longest_stall(began_at, f64::INFINITY);
        let attempts = self.record.attempts.lock().unwrap().len();
        let is_judged = stall <= MAX_STALL;
        if !is_judged {
            violations.clear();
        }
        let judged = if is_judged { "judged" } else { "not judged: this program was late" };
        let summary = format!(
            "{:?}; {} requests: {served} served, {rejected} refused, {failed} failed, {left} left, \
             {unanswered} without answer; {attempts} attempts, {} breaks, late by {:.0} ms at most, {judged}",
            self.shape,
            requests.len(),
            violations.len(),
            stall * 1000.0
        );
        RunReport { summary, violations }
    }
}

fn node_addresses() -> Addresses {
    Addresses { listen: free_address(), peers: free_address(), discovery: [free_address(), free_address()] }
}

fn start_nodes(plan: &Plan, addresses: Vec<Addresses>, site: &Arc<Site>) -> Vec<Arc<Node>> {
    let first_lasting = fleet_size(plan.nodes, plan.servers, 0).first_lasting;
    let node = |(number, addresses)| {
        let faults = Arc::new(SyscallFaults::new(plan.seed as i64 * 1000 + number as i64));
        faults.set(SyscallFault::ShortBytes, SHORT_BYTES);
        faults.set(SyscallFault::HoldMs, HOLD_MS);
        Node::new(number, addresses, number >= first_lasting, faults, site.clone())
    };
    addresses.into_iter().enumerate().map(node).collect()
}

fn copy_files(from: &Path, to: &Path) {
    let _ = std::fs::create_dir_all(to);
    for entry in std::fs::read_dir(from).unwrap().flatten().filter(|entry| entry.path().is_file()) {
        let _ = std::fs::copy(entry.path(), to.join(entry.file_name()));
    }
}

/// Notes how late this program itself is: what it saw is no sharper than that.
async fn record_stalls(record: Arc<Record>) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        let late_by = before.elapsed().saturating_sub(STALL_CHECK_INTERVAL).as_secs_f64();
        record.record_stall(late_by);
    }
}
