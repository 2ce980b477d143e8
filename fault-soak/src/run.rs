//! Plays one run: starts all parts of the deployment, injects the scheduled faults under load, and has the
//! oracle check the record.

use crate::client::Clients;
use crate::discovery::Discovery;
use crate::faults::{FaultSetting, SyscallFaults};
use crate::node::{Deployment, Node, free_address};
use crate::oracle::{self, Violation};
use crate::record::Record;
use crate::schedule::{RunSize, ScheduledFault};
use crate::server::{CORES, MEAN_SERVICE_TIME, Server};
use crate::settings::{NodeAddresses, RunParameters, settings};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::Builder;
use tokio::task::JoinSet;

/// One in this many nodes is persistent.
const PERSISTENT_ONE_IN: usize = 3;
/// The number of clients for each node.
const CLIENTS_PER_NODE: u64 = 6;
/// How long to wait, once clients send no more requests, for the responses that are still due.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_secs(7);
/// How long to wait, once clients send no more requests, for the faults that are still in effect.
const LAST_FAULTS_TIMEOUT: Duration = Duration::from_secs(30);
/// The time between two checks whether a process has exited by itself.
const NODE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A run with a longer stall of this program is not judged, because its observations are too inaccurate.
const MAX_STALL_SECONDS: f64 = 0.3;
/// The time between two measurements of the stalls of this program.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How long [`crate::schedule::Fault::DelayedWrites`] delays a write.
const WRITE_DELAY_MS: i64 = 150;
/// How many bytes a shortened read or write transfers.
const SHORT_IO_BYTES: i64 = 7;
/// The number of threads that run the simulated clients, servers and discovery.
const WORKER_THREADS: usize = 3;

/// The description of a run to play.
pub struct Plan {
    /// Determines the random choices that are not in the schedule, such as those of the clients.
    pub seed: u64,
    /// The schedule of faults, which need not be the one of the seed.
    pub faults: Vec<ScheduledFault>,
    /// For how long clients send requests.
    pub duration: Duration,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of servers.
    pub servers: usize,
    /// The path of the node's executable.
    pub program: PathBuf,
    /// The folder to which the logs and configuration files are copied; `None` to discard them.
    pub logs: Option<PathBuf>,
}

/// The result of a run.
pub struct RunReport {
    /// One line with the parameters and the counts of the run.
    pub summary: String,
    /// The violations that the oracle found; empty if the run was not judged.
    pub violations: Vec<Violation>,
}

/// The limits for drawing the faults of a run.
pub fn run_size(nodes: usize, servers: usize, duration_ms: u64) -> RunSize {
    RunSize { nodes, first_persistent: nodes - nodes / PERSISTENT_ONE_IN, servers, duration_ms }
}

/// Plays a run and returns once all its processes have exited.
pub fn play(plan: &Plan) -> RunReport {
    let runtime = Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build().unwrap();
    let report = runtime.block_on(Run::play(plan));
    runtime.shutdown_background();
    report
}

/// The parts of a run in progress.
pub struct Run {
    pub(crate) record: Arc<Record>,
    pub(crate) servers: Vec<Arc<Server>>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) clients: Arc<Clients>,
    pub(crate) nodes: Vec<Arc<Node>>,
    /// By how much the wall clock of the nodes is stepped in total.
    pub(crate) wall_offset_ms: AtomicI64,
    parameters: RunParameters,
    /// When clients began to send requests, in seconds since the start of the record.
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
        let violations = oracle::find_violations(&record, &|at| run.discovery.deemed_known_at(at));
        let report = run.report(violations);
        if let Some(logs) = &plan.logs {
            copy_files(&folder, logs);
        }
        let _ = std::fs::remove_dir_all(&folder);
        report
    }

    /// Runs an action on all nodes at once, and waits until all have finished.
    async fn for_each_node<F>(&self, action: impl Fn(Arc<Node>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut actions = JoinSet::new();
        for node in &self.nodes {
            actions.spawn(action(node.clone()));
        }
        actions.join_all().await;
    }

    /// Starts the servers and discovery, and creates the clients and nodes without starting them.
    async fn set_up(plan: &Plan, record: Arc<Record>, folder: PathBuf) -> Run {
        let parameters = RunParameters::draw(plan.seed);
        let mut servers = Vec::new();
        for index in 0..plan.servers {
            servers.push(Server::start(index, free_address(), record.clone()).await);
        }
        let addresses: Vec<NodeAddresses> = (0..plan.nodes).map(|_| new_node_addresses()).collect();
        let endpoints: Vec<_> = servers.iter().map(|server| server.address).collect();
        let discovery_addresses: Vec<_> = addresses.iter().map(|node| node.discovery).collect();
        let discovery =
            Discovery::start(&endpoints, &discovery_addresses, parameters.discovery, record.clone());
        let listen_addresses = addresses.iter().map(|node| node.listen).collect();
        let clients = Clients::new(listen_addresses, record.clone(), plan.seed);
        let deployment = Arc::new(Deployment {
            program: plan.program.clone(),
            folder,
            peers: addresses.iter().map(|node| node.peer_listen).collect(),
            settings: (0..plan.nodes)
                .map(|index| settings(parameters.discovery, plan.nodes, index))
                .collect(),
            discovery: discovery.clone(),
            clients: clients.clone(),
            record: record.clone(),
            seed: plan.seed,
            max_descriptors: parameters.max_descriptors,
        });
        let nodes = create_nodes(plan, addresses, &deployment);
        let wall_offset_ms = AtomicI64::new(0);
        let load_began_at = Mutex::new(0.0);
        Run { record, servers, discovery, clients, nodes, wall_offset_ms, parameters, load_began_at }
    }

    /// Runs the clients for the duration of the plan, and injects the faults at their times.
    async fn load_and_inject(self: &Arc<Self>, plan: &Plan) {
        let capacity = plan.servers as f64 * CORES as f64 / MEAN_SERVICE_TIME.as_secs_f64();
        let count = CLIENTS_PER_NODE * plan.nodes as u64;
        let mean_pause = Duration::from_secs_f64(count as f64 / (capacity * self.parameters.load));
        let mut clients = JoinSet::new();
        for number in 0..count {
            clients.spawn(self.clients.clone().run_client(number, mean_pause));
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
        tokio::time::sleep_until((began_at + plan.duration).into()).await;
        self.clients.stopped.store(true, Ordering::SeqCst);
        let _ = tokio::time::timeout(LAST_FAULTS_TIMEOUT, faults.join_all()).await;
        let _ = tokio::time::timeout(LAST_RESPONSES_TIMEOUT, clients.join_all()).await;
        checks.abort();
    }

    /// Restarts processes that have exited by themselves, until the task is aborted.
    async fn check_nodes(self: Arc<Self>) {
        loop {
            tokio::time::sleep(NODE_CHECK_INTERVAL).await;
            for node in &self.nodes {
                node.restart_if_exited().await;
            }
        }
    }

    /// Summarizes the run. Discards the violations if a stall makes the run unfit to be judged.
    fn report(&self, mut violations: Vec<Violation>) -> RunReport {
        let requests = self.record.requests.lock().unwrap();
        let count_status = |matches_status: fn(u16) -> bool| {
            let responses = requests.values().filter_map(|request| request.response.as_ref());
            responses.filter(|response| matches_status(response.status)).count()
        };
        let served = count_status(|status| status == 200);
        let rejected = count_status(|status| matches!(status, 429 | 503));
        let failed = count_status(|status| !matches!(status, 200 | 429 | 503));
        let abandoned = requests.values().filter(|request| request.abandoned_at.is_some()).count();
        let unanswered = requests.len() - served - rejected - failed - abandoned;
        let began_at = *self.load_began_at.lock().unwrap();
        let stall = self.record.longest_stall(began_at, f64::INFINITY);
        let attempts = self.record.attempts.lock().unwrap().len();
        let is_judged = stall <= MAX_STALL_SECONDS;
        if !is_judged {
            violations.clear();
        }
        let judgement = if is_judged { "judged" } else { "not judged: this program stalled for too long" };
        let summary = format!(
            "{:?}; {} requests: {served} served, {rejected} refused, {failed} failed, {abandoned} left early, \
             {unanswered} without response; {attempts} attempts, {} violations, longest stall {:.0} ms, {judgement}",
            self.parameters,
            requests.len(),
            violations.len(),
            stall * 1000.0
        );
        RunReport { summary, violations }
    }
}

fn new_node_addresses() -> NodeAddresses {
    NodeAddresses {
        listen: free_address(),
        peer_listen: free_address(),
        discovery: [free_address(), free_address()],
    }
}

fn create_nodes(
    plan: &Plan,
    addresses: Vec<NodeAddresses>,
    deployment: &Arc<Deployment>,
) -> Vec<Arc<Node>> {
    let first_persistent = run_size(plan.nodes, plan.servers, 0).first_persistent;
    let node = |(index, addresses)| {
        let faults = Arc::new(SyscallFaults::new(plan.seed as i64 * 1000 + index as i64));
        faults.set(FaultSetting::ShortIoBytes, SHORT_IO_BYTES);
        faults.set(FaultSetting::DelayMs, WRITE_DELAY_MS);
        Node::new(index, addresses, index >= first_persistent, faults, deployment.clone())
    };
    addresses.into_iter().enumerate().map(node).collect()
}

fn copy_files(from: &Path, to: &Path) {
    let _ = std::fs::create_dir_all(to);
    for entry in std::fs::read_dir(from).unwrap().flatten().filter(|entry| entry.path().is_file()) {
        let _ = std::fs::copy(entry.path(), to.join(entry.file_name()));
    }
}

/// Measures the stalls of this program itself, which limit the accuracy of the times in the record.
async fn record_stalls(record: Arc<Record>) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        let late_by = before.elapsed().saturating_sub(STALL_CHECK_INTERVAL).as_secs_f64();
        record.record_stall(late_by);
    }
}
