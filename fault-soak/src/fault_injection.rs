//! Injects the faults of a schedule into a run.
//!
//! Each fault is one task that begins the fault, sleeps for its duration and ends it. Faults that overlap
//! in time run as separate tasks.

use crate::client::{USUAL_ABANDON_PERCENT, USUAL_PAUSE_PERCENT};
use crate::discovery::{Discovery, server_name};
use crate::faults::FaultSetting;
use crate::node::Node;
use crate::proxy::ProxyMode;
use crate::record::{DisabledPeriod, ServerChange};
use crate::run::Run;
use crate::schedule::Fault;
use crate::server::ServerMode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

/// The delay from the crash of a server until discovery removes it from the list.
const CRASH_DETECTION_DELAY: Duration = Duration::from_millis(900);
/// The longest time that a server keeps serving after discovery removed it from the list.
const MAX_REMOVED_SERVER_LIFETIME: Duration = Duration::from_millis(1500);
/// The delay until an admin command that failed is sent again.
const COMMAND_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The pauses between the requests of a client during a burst, in percent of the usual ones.
const BURST_PAUSE_PERCENT: u64 = 60;
/// The share of requests that clients abandon during [`Fault::AbandonRequests`], in percent.
const HIGH_ABANDON_PERCENT: u64 = 50;

fn milliseconds(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Run {
    /// Injects a fault and waits until it has ended.
    pub async fn inject(self: Arc<Self>, fault: Fault) {
        match fault {
            Fault::TerminateNode { .. }
            | Fault::KillNode { .. }
            | Fault::KillManyNodes { .. }
            | Fault::ReloadNode { .. }
            | Fault::UpgradeNode { .. }
            | Fault::SuspendNode { .. }
            | Fault::DrainNode { .. }
            | Fault::DisableServer { .. } => self.inject_at_nodes(fault).await,
            Fault::RollingReplacement { .. }
            | Fault::DrainServer { .. }
            | Fault::ReplaceServer { .. }
            | Fault::CrashServer { .. }
            | Fault::HangServer { .. }
            | Fault::ServerErrors { .. }
            | Fault::RejectRequests { .. }
            | Fault::SlowServer { .. }
            | Fault::CorruptResponses { .. }
            | Fault::SlowResponses { .. }
            | Fault::ResetConnections { .. }
            | Fault::DropServerOutput { .. } => self.inject_at_servers(fault).await,
            Fault::DiscoveryDown { .. }
            | Fault::DiscoverySlow { .. }
            | Fault::DiscoverySilent { .. }
            | Fault::RestartVersions => inject_at_discovery(&self.discovery, fault).await,
            Fault::PipelinedRequests { .. }
            | Fault::LoadBurst { .. }
            | Fault::AbandonRequests { .. }
            | Fault::PartialRequests { .. }
            | Fault::IdleConnections { .. } => self.inject_at_clients(fault).await,
            Fault::StepClock { by_ms } => self.step_clock(by_ms),
            Fault::InterruptedCalls { node, .. }
            | Fault::SocketFailures { node, .. }
            | Fault::DelayedWrites { node, .. }
            | Fault::DiskFailures { node, .. } => inject_at_system(&self.nodes[node], fault).await,
        }
    }

    async fn inject_at_nodes(&self, fault: Fault) {
        match fault {
            Fault::TerminateNode { node } => self.nodes[node].terminate().await,
            Fault::KillNode { node, down_ms } => self.nodes[node].kill(milliseconds(down_ms)).await,
            Fault::KillManyNodes { percent, down_ms } => {
                self.kill_many_nodes(percent, milliseconds(down_ms)).await
            }
            Fault::ReloadNode { node } => self.nodes[node].reload().await,
            Fault::UpgradeNode { node } => self.nodes[node].upgrade().await,
            Fault::SuspendNode { node, for_ms } => self.nodes[node].suspend(milliseconds(for_ms)).await,
            Fault::DrainNode { node, for_ms } => {
                let _ = self.nodes[node].admin_command("drain").await;
                tokio::time::sleep(milliseconds(for_ms)).await;
                let _ = self.nodes[node].admin_command("resume").await;
            }
            Fault::DisableServer { node, server, for_ms } => {
                self.disable_server(node, server, milliseconds(for_ms)).await;
            }
            _ => {}
        }
    }

    async fn inject_at_servers(self: Arc<Self>, fault: Fault) {
        match fault {
            Fault::RollingReplacement { for_ms } => {
                self.replace_half_of_servers(milliseconds(for_ms)).await
            }
            Fault::DrainServer { server, for_ms } => self.drain_server(server, milliseconds(for_ms)).await,
            Fault::ReplaceServer { server, for_ms } => {
                self.replace_server(server, milliseconds(for_ms)).await
            }
            Fault::CrashServer { server, for_ms } => self.crash_server(server, milliseconds(for_ms)).await,
            Fault::HangServer { server, for_ms } => {
                self.set_server_mode(server, ServerMode::Hanging, for_ms).await
            }
            Fault::ServerErrors { server, for_ms } => {
                self.set_server_mode(server, ServerMode::Failing, for_ms).await
            }
            Fault::RejectRequests { server, for_ms } => {
                self.set_server_mode(server, ServerMode::Rejecting, for_ms).await
            }
            Fault::SlowServer { server, for_ms } => {
                self.set_server_mode(server, ServerMode::Slow, for_ms).await
            }
            Fault::CorruptResponses { server, for_ms } => {
                self.set_server_mode(server, ServerMode::Corrupting, for_ms).await
            }
            Fault::SlowResponses { server, for_ms } => {
                self.set_server_mode(server, ServerMode::WritingSlowly, for_ms).await
            }
            Fault::ResetConnections { server } => self.servers[server].proxy.reset_all(),
            Fault::DropServerOutput { server, for_ms } => {
                self.drop_server_output(server, milliseconds(for_ms)).await
            }
            _ => {}
        }
    }

    async fn drain_server(&self, server: usize, duration: Duration) {
        self.discovery.change_server(server, "draining", None, ServerChange::Withdrawn);
        tokio::time::sleep(duration).await;
        self.discovery.change_server(server, "up", None, ServerChange::InService);
    }

    async fn drop_server_output(&self, server: usize, duration: Duration) {
        let proxy = &self.servers[server].proxy;
        proxy.set_mode(ProxyMode::DropServerOutput).await;
        tokio::time::sleep(duration).await;
        proxy.set_mode(ProxyMode::Forwarding).await;
    }

    async fn inject_at_clients(&self, fault: Fault) {
        let clients = &self.clients;
        match fault {
            Fault::PipelinedRequests { node, count } => {
                clients.clone().send_pipelined_requests(node, count).await
            }
            Fault::LoadBurst { for_ms } => {
                clients.pause_percent.store(BURST_PAUSE_PERCENT, Ordering::SeqCst);
                tokio::time::sleep(milliseconds(for_ms)).await;
                clients.pause_percent.store(USUAL_PAUSE_PERCENT, Ordering::SeqCst);
            }
            Fault::AbandonRequests { for_ms } => {
                clients.abandon_percent.store(HIGH_ABANDON_PERCENT, Ordering::SeqCst);
                tokio::time::sleep(milliseconds(for_ms)).await;
                clients.abandon_percent.store(USUAL_ABANDON_PERCENT, Ordering::SeqCst);
            }
            Fault::PartialRequests { node, count } => {
                let mut senders = JoinSet::new();
                for n in 0..count {
                    senders.spawn(clients.clone().send_partial_request(node, (node * 1000 + n) as u64));
                }
                senders.join_all().await;
            }
            Fault::IdleConnections { node, count } => {
                let mut connections = JoinSet::new();
                for _ in 0..count {
                    connections.spawn(clients.clone().hold_idle_connection(node));
                }
                connections.join_all().await;
            }
            _ => {}
        }
    }

    fn step_clock(&self, by_ms: i64) {
        let offset = self.wall_offset_ms.fetch_add(by_ms, Ordering::SeqCst) + by_ms;
        self.nodes.iter().for_each(|node| node.faults.set(FaultSetting::WallOffsetMs, offset));
    }

    async fn kill_many_nodes(&self, percent: usize, downtime: Duration) {
        let mut kills = JoinSet::new();
        for node in &self.nodes[..self.nodes.len() * percent / 100] {
            let node = node.clone();
            kills.spawn(async move { node.kill(downtime).await });
        }
        kills.join_all().await;
    }

    /// Replaces half of the servers, with their starts spread evenly over the first half of `duration`.
    async fn replace_half_of_servers(self: Arc<Self>, duration: Duration) {
        let mut replacements = JoinSet::new();
        for server in 0..self.servers.len() / 2 {
            let run = self.clone();
            let delay = duration.mul_f64(server as f64 / self.servers.len() as f64);
            replacements.spawn(async move {
                tokio::time::sleep(delay).await;
                run.replace_server(server, duration).await;
            });
        }
        replacements.join_all().await;
    }

    /// Removes a server from the list, stops it a while later, and restarts it in slow start after
    /// `downtime`.
    async fn replace_server(&self, server: usize, downtime: Duration) {
        self.discovery.change_server(server, "removed", None, ServerChange::Withdrawn);
        tokio::time::sleep(MAX_REMOVED_SERVER_LIFETIME.min(downtime)).await;
        self.servers[server].stop().await;
        tokio::time::sleep(downtime).await;
        self.restart_server(server).await;
    }

    /// Stops a server, removes it from the list only some time later, and restarts it in slow start
    /// `downtime` after its removal.
    async fn crash_server(&self, server: usize, downtime: Duration) {
        self.servers[server].stop().await;
        tokio::time::sleep(CRASH_DETECTION_DELAY).await;
        self.discovery.change_server(server, "removed", None, ServerChange::Withdrawn);
        tokio::time::sleep(downtime).await;
        self.restart_server(server).await;
    }

    async fn set_server_mode(&self, server: usize, mode: ServerMode, for_ms: u64) {
        self.servers[server].set_mode(mode);
        tokio::time::sleep(milliseconds(for_ms)).await;
        self.servers[server].set_mode(ServerMode::Healthy);
    }

    /// Restarts a server and lists it as up. Its boot time is by the stepped wall clock of the nodes, so
    /// that they see it in slow start.
    async fn restart_server(&self, server: usize) {
        self.servers[server].restart().await;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let boot_ms = wall.as_millis() as i64 + self.wall_offset_ms.load(Ordering::SeqCst);
        self.discovery.change_server(server, "up", Some(boot_ms), ServerChange::Restarted);
    }

    /// Disables a server at a node by an admin command, and enables it after `duration`. Repeats the second
    /// command until the node acknowledges it.
    async fn disable_server(&self, node: usize, server: usize, duration: Duration) {
        let name = server_name(server);
        let is_done = |answer: Option<String>| answer.is_some_and(|answer| answer.starts_with("done"));
        if !is_done(self.nodes[node].admin_command(&format!("disable-server {name}")).await) {
            return;
        }
        if !self.begin_disabled_period(node, server) {
            return;
        }
        tokio::time::sleep(duration).await;
        // The node may use the server again as soon as it receives the command, even if its answer is lost.
        self.end_disabled_period(node, server);
        while !is_done(self.nodes[node].admin_command(&format!("enable-server {name}")).await) {
            tokio::time::sleep(COMMAND_RETRY_DELAY).await;
        }
    }

    /// Records that the server is disabled at the node. Returns `false` if it already was; the task of the
    /// earlier command then enables it for both.
    fn begin_disabled_period(&self, node: usize, server: usize) -> bool {
        let from = self.record.now();
        let mut periods = self.record.disabled_periods.lock().unwrap();
        let is_disabled = periods.iter().any(|period| is_open_period(period, node, server));
        if !is_disabled {
            periods.push(DisabledPeriod { node, server, from, until: f64::INFINITY });
        }
        !is_disabled
    }

    fn end_disabled_period(&self, node: usize, server: usize) {
        let until = self.record.now();
        let mut periods = self.record.disabled_periods.lock().unwrap();
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
            discovery.set_faults(|faults| faults.down = true);
            tokio::time::sleep(milliseconds(for_ms)).await;
            discovery.set_faults(|faults| faults.down = false);
        }
        Fault::DiscoverySlow { for_ms } => {
            discovery.set_faults(|faults| faults.slow = true);
            tokio::time::sleep(milliseconds(for_ms)).await;
            discovery.set_faults(|faults| faults.slow = false);
        }
        Fault::DiscoverySilent { for_ms } => {
            discovery.set_faults(|faults| faults.silent = true);
            tokio::time::sleep(milliseconds(for_ms)).await;
            discovery.set_faults(|faults| faults.silent = false);
        }
        Fault::RestartVersions => discovery.restart_versions(),
        _ => {}
    }
}

/// Makes system calls of a node's processes fail for the duration of the fault.
async fn inject_at_system(node: &Node, fault: Fault) {
    match fault {
        Fault::InterruptedCalls { one_in, for_ms, .. } => {
            let duration = milliseconds(for_ms);
            tokio::join!(
                node.inject_syscall_fault(FaultSetting::InterruptedIo, one_in, duration),
                node.inject_syscall_fault(FaultSetting::ShortIo, one_in, duration),
                node.inject_syscall_fault(FaultSetting::InterruptedWait, one_in, duration),
            );
        }
        Fault::SocketFailures { one_in, for_ms, .. } => {
            let duration = milliseconds(for_ms);
            tokio::join!(
                node.inject_syscall_fault(FaultSetting::FailedAccept, one_in, duration),
                node.inject_syscall_fault(FaultSetting::FailedSocket, one_in, duration),
                node.inject_syscall_fault(FaultSetting::FailedConnect, one_in, duration),
            );
        }
        Fault::DelayedWrites { one_in, for_ms, .. } => {
            node.inject_syscall_fault(FaultSetting::DelayedSend, one_in, milliseconds(for_ms)).await;
        }
        Fault::DiskFailures { for_ms, .. } => {
            let duration = milliseconds(for_ms);
            tokio::join!(
                node.inject_syscall_fault(FaultSetting::FailedWrite, 3, duration),
                node.inject_syscall_fault(FaultSetting::PartialWrite, 4, duration),
                node.inject_syscall_fault(FaultSetting::FailedSync, 3, duration),
                node.inject_syscall_fault(FaultSetting::FailedRename, 4, duration),
            );
        }
        _ => {}
    }
}
