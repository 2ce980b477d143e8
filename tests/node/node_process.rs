//! The real program, started as a process of its own.

use super::client::try_request;
use super::faults::SyscallFaults;
use super::sockets::free_address;
use super::waiting::{WAIT_TIMEOUT, wait_for};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

pub fn default_settings() -> Value {
    json!({
        "areas": ["a", "b"], "zone": "a", "instances": 1, "slotNo": 0, "tickMs": 5.0,
        "membershipMode": "pushed",
        "classes": [
            {"name": "page", "semantics": "idempotent", "objectiveMs": 1500, "hardLimitMs": 4000, "value": 5},
            {"name": "bid", "semantics": "at_most_once", "objectiveMs": 500, "hardLimitMs": 900, "value": 10},
            {"name": "pay", "semantics": "deduplicated", "group": "all", "keyTtlMs": 5000,
             "objectiveMs": 1500, "hardLimitMs": 4000, "value": 10},
        ],
        "limits": {"attemptsCap": 4, "connIdleMs": 15000.0, "connectTimeoutMs": 300.0, "mayCancel": true,
                   "maxRetryAfterMs": 2000.0, "maxStreams": 1, "openCap": 20000, "peerMessages": true,
                   "probing": true, "retryAfter": true, "secondCopies": true},
        "rules": {"coldMs": 22000.0, "startCapacity": 0.14, "fallMultiple": 3.0, "fallMs": 1500.0,
                  "drainGraceMs": 500.0, "mustAskInMs": 10000.0}
    })
}

/// A running node; it is killed when dropped.
pub struct Node {
    pub address: SocketAddr,
    child: Child,
    file: std::path::PathBuf,
    config: Value,
}

impl Node {
    /// Starts one and waits until it says it can serve.
    pub fn start(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Node {
        let node = Node::launch(discovery, change, "exec \"$0\"");
        wait_for("/up is 200", || node.readiness_status() == 200);
        node
    }

    /// The same, with system calls that fail.
    pub fn start_with_faults(
        discovery: SocketAddr,
        faults: &SyscallFaults,
        change: impl FnOnce(&mut Value),
    ) -> Node {
        let node = Node::spawn(discovery, free_address(), change, "exec \"$0\"", |c| faults.preload(c));
        wait_for("/up is 200", || node.readiness_status() == 200);
        node
    }

    /// Starts one by a shell command in which `$0` is the program.
    pub fn launch(discovery: SocketAddr, change: impl FnOnce(&mut Value), command: &str) -> Node {
        Node::spawn(discovery, free_address(), change, command, |_| {})
    }

    /// Starts one that inherits a listening socket as descriptor 3, without waiting for it.
    pub fn launch_inheriting(
        discovery: SocketAddr,
        listener: &TcpListener,
        tmp: &std::path::Path,
        change: impl FnOnce(&mut Value),
    ) -> Node {
        Node::launch_inheriting_with(discovery, listener, tmp, change, |_| {})
    }

    /// The same, with a word on how its process is started.
    pub fn launch_inheriting_with(
        discovery: SocketAddr,
        listener: &TcpListener,
        tmp: &std::path::Path,
        change: impl FnOnce(&mut Value),
        set_up: impl FnOnce(&mut Command),
    ) -> Node {
        let socket = std::os::fd::OwnedFd::from(listener.try_clone().unwrap());
        let address = listener.local_addr().unwrap();
        Node::spawn(discovery, address, change, "exec \"$0\" 3<&0 0</dev/null", |c| {
            c.stdin(socket).env("LB_INHERITED_FD", "3").env("TMPDIR", tmp);
            set_up(c);
        })
    }

    /// Ends it at once, as the system does with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn spawn(
        discovery: SocketAddr,
        address: SocketAddr,
        change: impl FnOnce(&mut Value),
        command: &str,
        set_up: impl FnOnce(&mut Command),
    ) -> Node {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let mut config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": default_settings()
        });
        change(&mut config);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("wheelpath-node-test-{}-{n}.json", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string()).unwrap();
        let mut start = Command::new("/bin/sh");
        start
            .args(["-c", command, env!("CARGO_BIN_EXE_wheelpath-node")])
            .env("LB_CONFIG", &file)
            .env("LB_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped());
        set_up(&mut start);
        let child = start.spawn().unwrap();
        Node { address, child, file, config }
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Where operators call, as it was told.
    pub fn admin_address(&self) -> SocketAddr {
        self.config["console"].as_str().unwrap().parse().unwrap()
    }

    /// What the console answers to a line.
    pub fn admin_command(&self, line: &str) -> String {
        admin_command(self.admin_address(), format!("{line}\n").as_bytes())
    }

    /// Replaces the configuration and has it read.
    pub fn reload(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = discovery.to_string().into();
        self.reload_text(&self.config.to_string());
    }

    /// The same while the node stands still, and has it meet the notice to stop in the same turn.
    pub fn reload_and_terminate_while_suspended(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = discovery.to_string().into();
        std::fs::write(&self.file, self.config.to_string()).unwrap();
        self.while_suspended(|| {
            self.signal("-HUP");
            self.terminate();
        });
    }

    /// The same with any text.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    pub fn readiness_status(&self) -> u16 {
        try_request(self.address, b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .map_or(0, |m| m.status())
    }

    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Memory that it has in use.
    pub fn resident_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Clock ticks of CPU used so far.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Does something while the node stands still, so that it meets all of it in one turn.
    pub fn while_suspended<T>(&self, act: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.pid());
        let state = || std::fs::read_to_string(&stat).unwrap().rsplit(") ").next().unwrap().chars().next();
        wait_for("the node stands still", || state() == Some('T'));
        let done = act();
        self.signal("-CONT");
        done
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// What it wrote; it must have ended.
    pub fn log(&mut self) -> String {
        let mut text = String::new();
        self.child.stderr.take().unwrap().read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// What a console answers to some bytes, all of it up to its close.
pub fn admin_command(console: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect_timeout(&console, WAIT_TIMEOUT).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}
