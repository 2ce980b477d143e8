//! Starts, signals, replaces and watches the processes of the nodes.
//!
//! A node is a sequence of processes with the same addresses. Some nodes are persistent: their processes
//! inherit one listening socket and share one state folder, so that a new process can take over from one
//! that still runs.

use crate::client::Clients;
use crate::discovery::Discovery;
use crate::faults::{FaultSetting, SyscallFaults};
use crate::http::Message;
use crate::process::{Process, send_command};
use crate::record::{ProcessGap, Record, Rule};
use crate::settings::{NodeAddresses, ProcessParameters, config};
use nix::sys::signal::Signal;
use serde_json::Value;
use std::fs::File;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::sync::Mutex as AsyncMutex;

/// How long after SIGTERM clients still open new connections to the node.
const REMOVAL_DELAY_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// The number of SIGHUPs of one reload.
const RELOAD_SIGNALS: u32 = 3;
/// The pause after each of them.
const RELOAD_SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// How long after a process was killed clients still try to open new connections to the node.
const REMOVAL_DELAY_AFTER_KILL: Duration = Duration::from_millis(1000);
/// The time after which a process that is not ready yet is recorded as a violation.
const READY_TIMEOUT_SECONDS: f64 = 30.0;
/// How long an upgrade waits for the new process to become ready before it terminates the old one anyway.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(6);

/// The environment that all nodes of a run share.
pub struct Deployment {
    /// The program under test.
    pub program: PathBuf,
    /// Holds the configuration files, the logs and the state folders of the nodes.
    pub folder: PathBuf,
    /// The addresses at which the nodes receive datagrams of each other, by node index.
    pub peers: Vec<SocketAddr>,
    /// The settings of the nodes, by node index.
    pub settings: Vec<Value>,
    /// The discovery service, which lists the servers, and moves to another address when a node is reloaded.
    pub discovery: Arc<Discovery>,
    /// The clients, whose list of the nodes in rotation the nodes keep up to date.
    pub clients: Arc<Clients>,
    /// Where the nodes record violations, gaps between processes and ready times.
    pub record: Arc<Record>,
    /// The seed of the run, from which the seeds of the processes are derived.
    pub seed: u64,
    /// The number of descriptors that each process may hold.
    pub max_descriptors: usize,
}

/// A node under test, of which usually one process runs at a time.
pub struct Node {
    /// The index of the node.
    pub index: usize,
    addresses: NodeAddresses,
    /// The listening socket and the state folder that outlive a process; `None` if the node is not
    /// persistent.
    persistent: Option<(StdListener, PathBuf)>,
    /// The faults of system calls in the processes of the node.
    pub faults: Arc<SyscallFaults>,
    /// The process that serves; `None` before the first start and while the node is stopped.
    process: AsyncMutex<Option<Process>>,
    /// Held while a process is started, reloaded, replaced or stopped, so that only one task does so at a
    /// time.
    lifecycle_lock: AsyncMutex<()>,
    start_count: AtomicU32,
    /// The server list in the configuration of the first process.
    first_list: OnceLock<Value>,
    logs: Mutex<Vec<PathBuf>>,
    deployment: Arc<Deployment>,
}

impl Node {
    /// Creates a node without a process. Creates the listening socket and the state folder if it is
    /// persistent.
    pub fn new(
        index: usize,
        addresses: NodeAddresses,
        is_persistent: bool,
        faults: Arc<SyscallFaults>,
        deployment: Arc<Deployment>,
    ) -> Arc<Node> {
        let persistent = is_persistent.then(|| {
            let folder = deployment.folder.join(format!("node-{index}"));
            std::fs::create_dir_all(&folder).unwrap();
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_reuse_address(true).unwrap();
            socket.bind(&addresses.listen.into()).unwrap();
            socket.listen(1024).unwrap();
            (socket.into(), folder)
        });
        Arc::new(Node {
            index,
            addresses,
            persistent,
            faults,
            process: AsyncMutex::default(),
            lifecycle_lock: AsyncMutex::default(),
            start_count: AtomicU32::new(0),
            first_list: OnceLock::new(),
            logs: Mutex::default(),
            deployment,
        })
    }

    /// Writes the configuration file of a new process and spawns it.
    fn launch(&self) -> Process {
        let start_number = self.start_count.fetch_add(1, Ordering::SeqCst);
        let admin = free_address();
        let name = format!("n{}", self.index);
        let discovery_index = self.deployment.discovery.active_address(self.index);
        let parameters = ProcessParameters {
            name: name.clone(),
            discovery: self.addresses.discovery[discovery_index],
            admin,
            seed: self.deployment.seed ^ u64::from(start_number) << 32 ^ self.index as u64,
            max_descriptors: self.deployment.max_descriptors,
        };
        let (server_list, settings) = (self.configured_list(), &self.deployment.settings[self.index]);
        let config = config(&parameters, &self.addresses, &self.deployment.peers, &server_list, settings);
        let file = self.config_file();
        std::fs::write(&file, config.to_string()).unwrap();
        let log = self.deployment.folder.join(format!("{name}-{start_number}.log"));
        self.logs.lock().unwrap().push(log.clone());
        let mut command = std::process::Command::new("/bin/sh");
        // The process gets the listening socket as its standard input; the shell moves it to descriptor 3.
        let script = if self.persistent.is_some() { "exec \"$0\" 3<&0 0</dev/null" } else { "exec \"$0\"" };
        command
            .args(["-c", script])
            .arg(&self.deployment.program)
            .env("LB_CONFIG", &file)
            .env("LB_TRACE", "all");
        command.stderr(File::create(&log).unwrap()).stdout(Stdio::null());
        match &self.persistent {
            Some((socket, folder)) => {
                let socket = std::os::fd::OwnedFd::from(socket.try_clone().unwrap());
                command.stdin(socket).env("LB_INHERITED_FD", "3").env("TMPDIR", folder);
            }
            None => drop(command.stdin(Stdio::null())),
        }
        self.faults.preload(&mut command);
        let child = Command::from(command).kill_on_drop(true).spawn().unwrap();
        Process { child, admin, log }
    }

    /// The server list in the configuration of a process that starts now. That of a persistent node is as old as
    /// the node: its processes hand over the changes since.
    fn configured_list(&self) -> Value {
        let newest = self.deployment.discovery.current_list();
        let first = self.first_list.get_or_init(|| newest.clone());
        if self.persistent.is_some() { first.clone() } else { newest }
    }

    fn config_file(&self) -> PathBuf {
        self.deployment.folder.join(format!("n{}.json", self.index))
    }

    fn set_in_rotation(&self, in_rotation: bool) {
        self.deployment.clients.nodes[self.index].in_rotation.store(in_rotation, Ordering::SeqCst);
    }

    /// Starts a process, waits until it is ready, and puts the node in rotation.
    pub async fn start(&self) {
        let began_at = self.deployment.record.now();
        let process = self.launch();
        *self.process.lock().await = Some(process);
        self.wait_until_ready(began_at).await;
    }

    /// Waits until the process is ready. Records a violation if it exits or takes too long.
    async fn wait_until_ready(&self, began_at: f64) {
        loop {
            let elapsed = self.deployment.record.now() - began_at;
            if self.readiness_status().await == 200 {
                self.deployment.record.ready_times.lock().unwrap().push(elapsed);
                self.end_gaps();
                return self.set_in_rotation(true);
            }
            if elapsed > READY_TIMEOUT_SECONDS {
                return self.record_violation(Rule::Readiness, "not ready after 30 s");
            }
            if !self.is_running().await {
                return self
                    .record_violation(Rule::ProcessExit, "the process exited by itself while it started");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Records that the process is ready, which ends all open gaps of the node.
    fn end_gaps(&self) {
        let now = self.deployment.record.now();
        let mut gaps = self.deployment.record.process_gaps.lock().unwrap();
        gaps.iter_mut().filter(|gap| gap.node == self.index).for_each(|gap| gap.until = gap.until.min(now));
    }

    fn record_violation(&self, rule: Rule, detail: &str) {
        self.deployment.record.record_violation(rule, format!("node {}: {detail}", self.index));
    }

    /// The status of the node's readiness check; 0 if there is no response within 2 s.
    async fn readiness_status(&self) -> u16 {
        let exchange = async {
            let mut stream = TcpStream::connect(self.addresses.listen).await.ok()?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").await.ok()?;
            Message::read(&mut BufReader::new(stream), || {}).await.ok()
        };
        let response = tokio::time::timeout(Duration::from_secs(2), exchange).await;
        response.ok().flatten().map_or(0, |message| message.status())
    }

    async fn is_running(&self) -> bool {
        let mut process = self.process.lock().await;
        process.as_mut().is_some_and(|process| matches!(process.child.try_wait(), Ok(None)))
    }

    /// Records a violation if the process has exited by itself, and starts another one. Does nothing while
    /// another task starts or stops a process.
    pub async fn restart_if_exited(&self) {
        // The lock is held during the check, so that no other task stops the process in the meantime.
        let Ok(_lifecycle) = self.lifecycle_lock.try_lock() else { return };
        if self.process.lock().await.is_some() && !self.is_running().await {
            self.record_violation(Rule::ProcessExit, "the process exited by itself");
            self.start().await;
        }
    }

    /// Records that the process is about to be killed or terminated.
    fn begin_gap(&self, killed: bool) {
        let from = self.deployment.record.now();
        let gap = ProcessGap { node: self.index, from, killed, until: f64::INFINITY };
        self.deployment.record.process_gaps.lock().unwrap().push(gap);
    }

    /// Terminates the process, waits until it has exited, and starts a new one.
    pub async fn terminate(&self) {
        let _lifecycle = self.lifecycle_lock.lock().await;
        self.stop().await;
        self.start().await;
    }

    /// Terminates the process and waits until it has exited.
    async fn stop(&self) {
        let Some(process) = self.process.lock().await.take() else { return };
        self.begin_gap(false);
        let exit = self.terminate_and_await_exit(process);
        tokio::join!(exit, async {
            tokio::time::sleep(REMOVAL_DELAY_AFTER_SIGTERM).await;
            self.set_in_rotation(false);
        });
    }

    /// Terminates the process. Records a violation if it had to be killed, failed, or logged a violation itself.
    async fn terminate_and_await_exit(&self, mut process: Process) {
        match process.terminate().await {
            Some(Ok(status)) if status.success() => {}
            Some(status) => self.record_violation(
                Rule::ProcessExit,
                &format!("the process exited with {status:?} after SIGTERM"),
            ),
            None => self.record_violation(
                Rule::ProcessExit,
                "the process still ran when it had to be killed after SIGTERM",
            ),
        }
        if let Some(line) = process.log_text().lines().find(|line| line.contains("violation:")) {
            self.record_violation(Rule::SelfReportedViolation, line);
        }
    }

    /// Kills the process, and starts a new one after `downtime`.
    pub async fn kill(&self, downtime: Duration) {
        let _lifecycle = self.lifecycle_lock.lock().await;
        let Some(mut process) = self.process.lock().await.take() else { return };
        self.begin_gap(true);
        let _ = process.child.kill().await;
        tokio::join!(tokio::time::sleep(downtime), async {
            tokio::time::sleep(REMOVAL_DELAY_AFTER_KILL.min(downtime)).await;
            self.set_in_rotation(false);
        });
        self.start().await;
    }

    /// Starts a new process alongside the old one, and terminates the old one once the new one is ready or
    /// `UPGRADE_TIMEOUT` is over. Does nothing if the node is not persistent.
    pub async fn upgrade(&self) {
        let _lifecycle = self.lifecycle_lock.lock().await;
        if self.persistent.is_none() {
            return;
        }
        let new = self.launch();
        let ready = tokio::time::timeout(UPGRADE_TIMEOUT, async {
            while !new.is_ready().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        let is_ready = ready.await.is_ok();
        let old = self.process.lock().await.replace(new);
        if !is_ready {
            // This is not a violation: while no server is in service or discovery is down, no process can
            // be ready.
            eprintln!(
                "node {}: the new process is not ready after 6 s; terminating the old one",
                self.index
            );
        }
        if let Some(old) = old {
            self.begin_gap(false);
            self.terminate_and_await_exit(old).await;
        }
    }

    /// Moves discovery to the node's other address, changes the configuration file accordingly and sends
    /// SIGHUP.
    pub async fn reload(&self) {
        let _lifecycle = self.lifecycle_lock.lock().await;
        let process = self.process.lock().await;
        let Some(process) = process.as_ref() else { return };
        let discovery_index = 1 - self.deployment.discovery.active_address(self.index);
        let file = self.config_file();
        let text = std::fs::read_to_string(&file).unwrap();
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config["discovery"] = self.addresses.discovery[discovery_index].to_string().into();
        std::fs::write(&file, config.to_string()).unwrap();
        self.deployment.discovery.set_active_address(self.index, discovery_index);
        for _ in 0..RELOAD_SIGNALS {
            process.signal(Signal::SIGHUP);
            tokio::time::sleep(RELOAD_SIGNAL_INTERVAL).await;
        }
    }

    /// Suspends the process for `duration`.
    pub async fn suspend(&self, duration: Duration) {
        let process = self.process.lock().await;
        let Some(process) = process.as_ref() else { return };
        process.signal(Signal::SIGSTOP);
        tokio::time::sleep(duration).await;
        process.signal(Signal::SIGCONT);
    }

    /// Sends an admin command to the process that serves. Returns `None` if there is no process, or it does
    /// not answer in time.
    pub async fn admin_command(&self, line: &str) -> Option<String> {
        let admin = self.process.lock().await.as_ref()?.admin;
        send_command(admin, line).await
    }

    /// Applies the fault to one in `one_in` of the system calls that it concerns, for `duration`.
    pub async fn inject_syscall_fault(&self, fault: FaultSetting, one_in: i64, duration: Duration) {
        self.faults.set(fault, one_in);
        tokio::time::sleep(duration).await;
        self.faults.set(fault, 0);
    }

    /// Stops the node for good, and checks the logs of its processes for panics.
    pub async fn finish(&self) {
        let _lifecycle = self.lifecycle_lock.lock().await;
        self.stop().await;
        for log in self.logs.lock().unwrap().iter() {
            self.check_log(log);
        }
    }

    fn check_log(&self, log: &Path) {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        if let Some(line) = text.lines().find(|line| line.contains("panicked")) {
            self.record_violation(Rule::ProcessExit, &format!("{}: {line}", log.display()));
        }
    }
}

/// A loopback address on which nothing listens. The IP address depends on the process id, so that several
/// runs on one machine do not get the same address.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let ip =
        std::net::Ipv4Addr::new(127, 128 + (pid % 64) as u8, (pid / 64 % 256) as u8, (n % 250 + 1) as u8);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from((ip, 0)).into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}
