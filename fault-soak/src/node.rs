//! Node processes: started, signalled, replaced and watched.

use crate::client::Clients;
use crate::discovery::Discovery;
use crate::faults::{SyscallFault, SyscallFaults};
use crate::http::Message;
use crate::record::{ProcessGap, Record, Rule};
use crate::settings::{Addresses, Start, config};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::fs::File;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::Mutex as AsyncMutex;

/// New connections come for so long after SIGTERM.
const FRONT_CLOSES_AFTER_TERM: Duration = Duration::from_millis(300);
/// SIGKILL comes no sooner than this after SIGTERM: the longest deadline, taken for 3 s at least, and 0.7 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3700);
/// The front still sends to a node that died for so long.
const FRONT_NOTICES_DEATH: Duration = Duration::from_millis(1000);
/// A process must be ready within this.
const READY_TIMEOUT: f64 = 30.0;
/// How long a new process that starts alongside an old one has to become ready.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(6);
/// Console calls are answered within this.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);

/// What all nodes have in common.
pub struct Site {
    /// The program under test.
    pub program: PathBuf,
    /// Configurations, logs and folders that last.
    pub folder: PathBuf,
    /// Of all nodes, in order.
    pub peers: Vec<SocketAddr>,
    /// The settings of each node.
    pub settings: Vec<Value>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// Clients, whose front knows the nodes.
    pub clients: Arc<Clients>,
    /// What happened.
    pub record: Arc<Record>,
    /// Of the processes' own random numbers.
    pub seed: u64,
    /// Descriptors that each may hold.
    pub sockets: usize,
}

struct Process {
    child: Child,
    admin: SocketAddr,
    log: PathBuf,
}

/// A node: one process after another.
pub struct Node {
    /// Its number.
    pub number: usize,
    addresses: Addresses,
    /// A listening socket and a folder that last from one process to the next.
    lasting: Option<(StdListener, PathBuf)>,
    /// System calls that fail in its processes.
    pub faults: Arc<SyscallFaults>,
    process: AsyncMutex<Option<Process>>,
    /// Starts and ends of processes come one after another.
    busy: AsyncMutex<()>,
    started: AtomicU32,
    logs: Mutex<Vec<PathBuf>>,
    site: Arc<Site>,
}

impl Node {
    /// A node with no process yet.
    pub fn new(
        number: usize,
        addresses: Addresses,
        lasts: bool,
        faults: Arc<SyscallFaults>,
        site: Arc<Site>,
    ) -> Arc<Node> {
        let lasting = lasts.then(|| {
            let folder = site.folder.join(format!("node-{number}"));
            std::fs::create_dir_all(&folder).unwrap();
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_reuse_address(true).unwrap();
            socket.bind(&addresses.listen.into()).unwrap();
            socket.listen(1024).unwrap();
            (socket.into(), folder)
        });
        Arc::new(Node {
            number,
            addresses,
            lasting,
            faults,
            process: AsyncMutex::default(),
            busy: AsyncMutex::default(),
            started: AtomicU32::new(0),
            logs: Mutex::default(),
            site,
        })
    }

    fn launch(&self) -> Process {
        let n = self.started.fetch_add(1, Ordering::SeqCst);
        let admin = free_address();
        let name = format!("n{}", self.number);
        let place = self.site.discovery.address_of(self.number);
        let start = Start {
            name: name.clone(),
            discovery: self.addresses.discovery[place],
            admin,
            seed: self.site.seed ^ u64::from(n) << 32 ^ self.number as u64,
            sockets: self.site.sockets,
        };
        let (known, settings) = (self.site.discovery.known(), &self.site.settings[self.number]);
        let config = config(&start, &self.addresses, &self.site.peers, &known, settings);
        let file = self.config_file();
        std::fs::write(&file, config.to_string()).unwrap();
        let log = self.site.folder.join(format!("{name}-{n}.log"));
        self.logs.lock().unwrap().push(log.clone());
        let mut command = std::process::Command::new("/bin/sh");
        let script = if self.lasting.is_some() { "exec \"$0\" 3<&0 0</dev/null" } else { "exec \"$0\"" };
        command.args(["-c", script]).arg(&self.site.program).env("LB_CONFIG", &file).env("LB_TRACE", "all");
        command.stderr(File::create(&log).unwrap()).stdout(Stdio::null());
        match &self.lasting {
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

    fn config_file(&self) -> PathBuf {
        self.site.folder.join(format!("n{}.json", self.number))
    }

    fn open_door(&self, open: bool) {
        self.site.clients.entries[self.number].open.store(open, Ordering::SeqCst);
    }

    /// Starts a process and waits until the front takes it in.
    pub async fn start(&self) {
        let began = self.site.record.now();
        let process = self.launch();
        *self.process.lock().await = Some(process);
        self.wait_ready(began).await;
    }

    async fn wait_ready(&self, began: f64) {
        loop {
            let took = self.site.record.now() - began;
            if self.up().await == 200 {
                self.site.record.ready_times.lock().unwrap().push(took);
                self.end_gaps();
                return self.open_door(true);
            }
            if took > READY_TIMEOUT {
                return self.record_violation(Rule::Ready, "not ready after 30 s");
            }
            if !self.runs().await {
                return self.record_violation(Rule::Process, "ended by itself while it started");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn end_gaps(&self) {
        let now = self.site.record.now();
        let mut gaps = self.site.record.gaps.lock().unwrap();
        gaps.iter_mut()
            .filter(|begin_gap| begin_gap.node == self.number)
            .for_each(|begin_gap| begin_gap.until = begin_gap.until.min(now));
    }

    fn record_violation(&self, rule: Rule, what: &str) {
        self.site.record.record_violation(rule, format!("node {}: {what}", self.number));
    }

    async fn up(&self) -> u16 {
        let ask = async {
            let mut stream = TcpStream::connect(self.addresses.listen).await.ok()?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").await.ok()?;
            Message::read(&mut BufReader::new(stream), || {}).await.ok()
        };
        let answer = tokio::time::timeout(Duration::from_secs(2), ask).await;
        answer.ok().flatten().map_or(0, |message| message.status())
    }

    async fn runs(&self) -> bool {
        let mut process = self.process.lock().await;
        process.as_mut().is_some_and(|process| matches!(process.child.try_wait(), Ok(None)))
    }

    /// Records a process that has ended by itself.
    pub async fn check(&self) {
        // Locked during the check: no other task may end the process meanwhile.
        let Ok(_busy) = self.busy.try_lock() else { return };
        if self.process.lock().await.is_some() && !self.runs().await {
            self.record_violation(Rule::Process, "ended by itself");
            self.start().await;
        }
    }

    fn begin_gap(&self, killed: bool) {
        let from = self.site.record.now();
        let begin_gap = ProcessGap { node: self.number, from, killed, until: f64::INFINITY };
        self.site.record.gaps.lock().unwrap().push(begin_gap);
    }

    /// SIGTERM, the end in time, and a new process.
    pub async fn terminate(&self) {
        let _busy = self.busy.lock().await;
        self.stop().await;
        self.start().await;
    }

    /// SIGTERM, and the end in time.
    async fn stop(&self) {
        let Some(process) = self.process.lock().await.take() else { return };
        self.begin_gap(false);
        signal(&process.child, Signal::SIGTERM);
        let ending = self.ended(process);
        tokio::join!(ending, async {
            tokio::time::sleep(FRONT_CLOSES_AFTER_TERM).await;
            self.open_door(false);
        });
    }

    /// Waits for the end of a terminated process.
    async fn ended(&self, mut process: Process) {
        match tokio::time::timeout(SHUTDOWN_TIMEOUT, process.child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(status) => self.record_violation(Rule::Process, &format!("ended with {status:?}")),
            Err(_) => {
                self.record_violation(Rule::Process, "still runs when SIGKILL is due after SIGTERM");
                let _ = process.child.kill().await;
            }
        }
        let log = std::fs::read_to_string(&process.log).unwrap_or_default();
        let counted = log.lines().find(|line| line.contains("violation:"));
        if let Some(line) = counted {
            self.record_violation(Rule::Counted, line);
        }
    }

    /// SIGKILL, and a new process after a while.
    pub async fn kill(&self, down: Duration) {
        let _busy = self.busy.lock().await;
        let Some(mut process) = self.process.lock().await.take() else { return };
        self.begin_gap(true);
        let _ = process.child.kill().await;
        tokio::join!(tokio::time::sleep(down), async {
            tokio::time::sleep(FRONT_NOTICES_DEATH.min(down)).await;
            self.open_door(false);
        });
        self.start().await;
    }

    /// Starts a new process alongside the old one, which ends once the new one is ready.
    pub async fn upgrade(&self) {
        let _busy = self.busy.lock().await;
        if self.lasting.is_none() {
            return;
        }
        let new = self.launch();
        let ready = tokio::time::timeout(UPGRADE_TIMEOUT, async {
            while !command(new.admin, "ready").await.is_some_and(|answer| answer.starts_with("done")) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        let ready = ready.await.is_ok();
        let old = self.process.lock().await.replace(new);
        if !ready {
            // No server is in service, or discovery is down: nobody can be ready.
            eprintln!("node {}: the new process is not ready after 6 s", self.number);
        }
        if let Some(old) = old {
            self.begin_gap(false);
            signal(&old.child, Signal::SIGTERM);
            self.ended(old).await;
        }
    }

    /// A new configuration with another address of discovery, and SIGHUP.
    pub async fn reload(&self) {
        let _busy = self.busy.lock().await;
        let process = self.process.lock().await;
        let Some(process) = process.as_ref() else { return };
        let which = 1 - self.site.discovery.address_of(self.number);
        let file = self.config_file();
        let text = std::fs::read_to_string(&file).unwrap();
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config["discovery"] = self.addresses.discovery[which].to_string().into();
        std::fs::write(&file, config.to_string()).unwrap();
        self.site.discovery.move_node(self.number, which);
        signal(&process.child, Signal::SIGHUP);
    }

    /// Stops its process for a while.
    pub async fn suspend(&self, time: Duration) {
        let process = self.process.lock().await;
        let Some(process) = process.as_ref() else { return };
        signal(&process.child, Signal::SIGSTOP);
        tokio::time::sleep(time).await;
        signal(&process.child, Signal::SIGCONT);
    }

    /// An answer of the console of the process that serves; none where it gives none in time.
    pub async fn command(&self, line: &str) -> Option<String> {
        let admin = self.process.lock().await.as_ref()?.admin;
        command(admin, line).await
    }

    /// Has its processes meet a fault for a while.
    pub async fn fail(&self, fault: SyscallFault, one_in: i64, time: Duration) {
        self.faults.set(fault, one_in);
        tokio::time::sleep(time).await;
        self.faults.set(fault, 0);
    }

    /// Ends it for good, and checks the logs of its processes.
    pub async fn finish(&self) {
        let _busy = self.busy.lock().await;
        self.stop().await;
        for log in self.logs.lock().unwrap().iter() {
            self.check_log(log);
        }
    }

    fn check_log(&self, log: &Path) {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        if let Some(line) = text.lines().find(|line| line.contains("panicked")) {
            self.record_violation(Rule::Process, &format!("{}: {line}", log.display()));
        }
    }
}

fn signal(child: &Child, signal: Signal) {
    if let Some(pid) = child.id().and_then(|pid| i32::try_from(pid).ok()) {
        // It may have ended by itself, which is noted elsewhere.
        let _ = kill(Pid::from_raw(pid), signal);
    }
}

async fn command(admin: SocketAddr, line: &str) -> Option<String> {
    let ask = async {
        let mut stream = TcpStream::connect(admin).await.ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    };
    tokio::time::timeout(COMMAND_TIMEOUT, ask).await.ok().flatten()
}

/// An address on which nothing listens, of this program's own.
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
