//! Carries out the faults of a schedule.

use crate::discovery::{Discovery, server_name};
use crate::faults::SyscallFault;
use crate::node::Node;
use crate::proxy::Mode;
use crate::record::{DisabledPeriod, ServerChange};
use crate::run::Run;
use crate::schedule::Fault;
use crate::server::ServerMode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

/// How late discovery says that a server died.
const DEATH_NOTICE: Duration = Duration::from_millis(900);
/// A server that left the list answers for so long.
const ANSWERS_AFTER_REMOVAL: Duration = Duration::from_millis(1500);
/// How soon a command that failed is given again.
const COMMAND_RETRY: Duration = Duration::from_millis(200);
/// The pace of clients in a burst and else, in hundredths of their usual pauses.
const BURST_PACE: u64 = 60;
const USUAL_PACE: u64 = 100;
/// How many of a hundred requests are left while clients leave early, and else.
const MANY_LEAVE: u64 = 50;
const FEW_LEAVE: u64 = 3;

fn milliseconds(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Run {
    /// Carries a fault out, from its beginning to its end.
    pub async fn inject(self: Arc<Self>, fault: Fault) {
        match fault {
            Fault::Terminate { .. }
            | Fault::Kill { .. }
            | Fault::Herd { .. }
            | Fault::Reload { .. }
            | Fault::Upgrade { .. }
            | Fault::HoldUp { .. }
            | Fault::DrainNode { .. }
            | Fault::Ban { .. } => self.inject_at_nodes(fault).await,
            Fault::Release { .. }
            | Fault::Drain { .. }
            | Fault::Replace { .. }
            | Fault::Crash { .. }
            | Fault::Hang { .. }
            | Fault::Errors { .. }
            | Fault::Full { .. }
            | Fault::Slow { .. }
            | Fault::Spoil { .. }
            | Fault::ResetAll { .. }
            | Fault::Silence { .. } => self.inject_at_servers(fault).await,
            Fault::DiscoveryDown { .. }
            | Fault::DiscoverySlow { .. }
            | Fault::DiscoverySilent { .. }
            | Fault::CountAnew => inject_at_discovery(&self.discovery, fault).await,
            Fault::Pipeline { .. }
            | Fault::Burst { .. }
            | Fault::Leave { .. }
            | Fault::HalfRequests { .. }
            | Fault::IdleClients { .. } => self.inject_at_clients(fault).await,
            Fault::StepClock { by_ms } => self.step_clock(by_ms),
            Fault::Interrupt { node, .. }
            | Fault::LocalFailures { node, .. }
            | Fault::SlowWrites { node, .. }
            | Fault::DiskFails { node, .. } => inject_at_system(&self.nodes[node], fault).await,
        }
    }

    async fn inject_at_nodes(&self, fault: Fault) {
        match fault {
            Fault::Terminate { node } => self.nodes[node].terminate().await,
            Fault::Kill { node, down_ms } => self.nodes[node].kill(milliseconds(down_ms)).await,
            Fault::Herd { percent, down_ms } => self.kill_many(percent, milliseconds(down_ms)).await,
            Fault::Reload { node } => self.nodes[node].reload().await,
            Fault::Upgrade { node } => self.nodes[node].upgrade().await,
            Fault::HoldUp { node, for_ms } => self.nodes[node].suspend(milliseconds(for_ms)).await,
            Fault::DrainNode { node, for_ms } => {
                let _ = self.nodes[node].command("drain").await;
                tokio::time::sleep(milliseconds(for_ms)).await;
                let _ = self.nodes[node].command("resume").await;
            }
            Fault::Ban { node, server, for_ms } => {
                self.disable(node, server, milliseconds(for_ms)).await;
            }
            _ => {}
        }
    }

    async fn inject_at_servers(self: Arc<Self>, fault: Fault) {
        match fault {
            Fault::Release { for_ms } => self.release(milliseconds(for_ms)).await,
            Fault::Drain { server, for_ms } => {
                self.discovery.change(server, "draining", None, ServerChange::Withdrawn);
                tokio::time::sleep(milliseconds(for_ms)).await;
                self.discovery.change(server, "up", None, ServerChange::InService);
            }
            Fault::Replace { server, for_ms } => self.replace(server, milliseconds(for_ms)).await,
            Fault::Crash { server, for_ms } => self.crash(server, milliseconds(for_ms)).await,
            Fault::Hang { server, for_ms } => self.set_mode(server, ServerMode::Hanging, for_ms).await,
            Fault::Errors { server, for_ms } => self.set_mode(server, ServerMode::Failing, for_ms).await,
            Fault::Full { server, for_ms } => self.set_mode(server, ServerMode::Rejecting, for_ms).await,
            Fault::Slow { server, for_ms } => self.set_mode(server, ServerMode::Slow, for_ms).await,
            Fault::Spoil { server, for_ms } => self.set_mode(server, ServerMode::Corrupting, for_ms).await,
            Fault::ResetAll { server } => self.servers[server].proxy.reset_all(),
            Fault::Silence { server, for_ms } => {
                self.servers[server].proxy.set(Mode::Silent).await;
                tokio::time::sleep(milliseconds(for_ms)).await;
                self.servers[server].proxy.set(Mode::Passes).await;
            }
            _ => {}
        }
    }

    async fn inject_at_clients(&self, fault: Fault) {
        let clients = &self.clients;
        match fault {
            Fault::Pipeline { node, count } => clients.clone().pipeline(node, count).await,
            Fault::Burst { for_ms } => {
                clients.pace.store(BURST_PACE, Ordering::SeqCst);
                tokio::time::sleep(milliseconds(for_ms)).await;
                clients.pace.store(USUAL_PACE, Ordering::SeqCst);
            }
            Fault::Leave { for_ms } => {
                clients.leaving.store(MANY_LEAVE, Ordering::SeqCst);
                tokio::time::sleep(milliseconds(for_ms)).await;
                clients.leaving.store(FEW_LEAVE, Ordering::SeqCst);
            }
            Fault::HalfRequests { node, count } => {
                let mut halves = JoinSet::new();
                for n in 0..count {
                    halves.spawn(clients.clone().half_request(node, (node * 1000 + n) as u64));
                }
                halves.join_all().await;
            }
            Fault::IdleClients { node, count } => {
                let mut idle = JoinSet::new();
                for _ in 0..count {
                    idle.spawn(clients.clone().idle(node));
                }
                idle.join_all().await;
            }
            _ => {}
        }
    }

    fn step_clock(&self, by_ms: i64) {
        let offset = self.wall_offset_ms.fetch_add(by_ms, Ordering::SeqCst) + by_ms;
        self.nodes.iter().for_each(|node| node.faults.set(SyscallFault::WallOffsetMs, offset));
    }

    async fn kill_many(&self, percent: usize, down: Duration) {
        let mut kills = JoinSet::new();
        for node in &self.nodes[..self.nodes.len() * percent / 100] {
            let node = node.clone();
            kills.spawn(async move { node.kill(down).await });
        }
        kills.join_all().await;
    }

    /// Half of the servers are replaced, one after another.
    async fn release(self: Arc<Self>, time: Duration) {
        let mut replaced = JoinSet::new();
        for server in 0..self.servers.len() / 2 {
            let run = self.clone();
            let later = time.mul_f64(server as f64 / self.servers.len() as f64);
            replaced.spawn(async move {
                tokio::time::sleep(later).await;
                run.replace(server, time).await;
            });
        }
        replaced.join_all().await;
    }

    /// The list drops a server, which ends a while later and comes back in slow start.
    async fn replace(&self, server: usize, time: Duration) {
        self.discovery.change(server, "removed", None, ServerChange::Withdrawn);
        tokio::time::sleep(ANSWERS_AFTER_REMOVAL.min(time)).await;
        self.servers[server].die().await;
        tokio::time::sleep(time).await;
        self.revive(server).await;
    }

    /// A server dies, which the list says late, and comes back in slow start.
    async fn crash(&self, server: usize, time: Duration) {
        self.servers[server].die().await;
        tokio::time::sleep(DEATH_NOTICE).await;
        self.discovery.change(server, "removed", None, ServerChange::Withdrawn);
        tokio::time::sleep(time).await;
        self.revive(server).await;
    }

    async fn set_mode(&self, server: usize, mode: ServerMode, for_ms: u64) {
        self.servers[server].set(mode);
        tokio::time::sleep(milliseconds(for_ms)).await;
        self.servers[server].set(ServerMode::Healthy);
    }

    /// A server is back, in slow start, and the list says so by the wall clock.
    async fn revive(&self, server: usize) {
        self.servers[server].revive().await;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let boot_ms = wall.as_millis() as i64 + self.wall_offset_ms.load(Ordering::SeqCst);
        self.discovery.change(server, "up", Some(boot_ms), ServerChange::Restarted);
    }

    /// The operators take a server out of service at a node, and put it back.
    async fn disable(&self, node: usize, server: usize, time: Duration) {
        let name = server_name(server);
        let is_done = |answer: Option<String>| answer.is_some_and(|answer| answer.starts_with("done"));
        if !is_done(self.nodes[node].command(&format!("disable-server {name}")).await) {
            return;
        }
        if !self.begin_disabled(node, server) {
            return;
        }
        tokio::time::sleep(time).await;
        // From the command on it may serve again, whatever becomes of the answer.
        self.end_disabled(node, server);
        while !is_done(self.nodes[node].command(&format!("enable-server {name}")).await) {
            tokio::time::sleep(COMMAND_RETRY).await;
        }
    }

    /// False where the server is out of service at this node already: then the two commands are one.
    fn begin_disabled(&self, node: usize, server: usize) -> bool {
        let from = self.record.now();
        let mut periods = self.record.disabled.lock().unwrap();
        let is_disabled = periods.iter().any(|period| is_open_period(period, node, server));
        if !is_disabled {
            periods.push(DisabledPeriod { node, server, from, until: f64::INFINITY });
        }
        !is_disabled
    }

    fn end_disabled(&self, node: usize, server: usize) {
        let until = self.record.now();
        let mut periods = self.record.disabled.lock().unwrap();
        let open = periods.iter_mut().filter(|period| is_open_period(period, node, server));
        open.for_each(|period| period.until = until);
    }
}

fn is_open_period(period: &DisabledPeriod, node: usize, server: usize) -> bool {
    (period.node, period.server) == (node, server) && period.until.is_infinite()
}

async fn inject_at_discovery(discovery: &Discovery, fault: Fault) {
    match fault {
        Fault::DiscoveryDown { for_ms } => {
            discovery.set(|faults| faults.down = true);
            tokio::time::sleep(milliseconds(for_ms)).await;
            discovery.set(|faults| faults.down = false);
        }
        Fault::DiscoverySlow { for_ms } => {
            discovery.set(|faults| faults.slow = true);
            tokio::time::sleep(milliseconds(for_ms)).await;
            discovery.set(|faults| faults.slow = false);
        }
        Fault::DiscoverySilent { for_ms } => {
            discovery.set(|faults| faults.silent = true);
            tokio::time::sleep(milliseconds(for_ms)).await;
            discovery.set(|faults| faults.silent = false);
        }
        Fault::CountAnew => discovery.restart_versions(),
        _ => {}
    }
}

/// Has system calls of a node's processes fail for a while.
async fn inject_at_system(node: &Node, fault: Fault) {
    match fault {
        Fault::Interrupt { one_in, for_ms, .. } => {
            let time = milliseconds(for_ms);
            tokio::join!(
                node.fail(SyscallFault::InterruptedIo, one_in, time),
                node.fail(SyscallFault::ShortIo, one_in, time),
                node.fail(SyscallFault::InterruptedWait, one_in, time),
            );
        }
        Fault::LocalFailures { one_in, for_ms, .. } => {
            let time = milliseconds(for_ms);
            tokio::join!(
                node.fail(SyscallFault::AcceptFails, one_in, time),
                node.fail(SyscallFault::SocketFails, one_in, time),
                node.fail(SyscallFault::ConnectFails, one_in, time),
            );
        }
        Fault::SlowWrites { one_in, for_ms, .. } => {
            node.fail(SyscallFault::HeldSend, one_in, milliseconds(for_ms)).await;
        }
        Fault::DiskFails { for_ms, .. } => {
            let time = milliseconds(for_ms);
            tokio::join!(
                node.fail(SyscallFault::WriteFails, 3, time),
                node.fail(SyscallFault::WriteHalves, 4, time),
                node.fail(SyscallFault::SyncFails, 3, time),
                node.fail(SyscallFault::RenameFails, 4, time),
            );
        }
        _ => {}
    }
}
