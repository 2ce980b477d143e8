//! Starts the node program as a process, and controls it by its configuration, its admin connection and signals.

use super::client::try_request;
use super::faults::SyscallFaults;
use super::sockets::free_address;
use super::waiting::{WAIT_TIMEOUT, wait_for};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The `settings` of a node's configuration, unless a test edits them.
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

/// One process of a node. It is killed when dropped.
pub struct Node {
    /// Where clients connect.
    pub address: SocketAddr,
    child: Child,
    config_path: std::path::PathBuf,
    config: Value,
}

impl Node {
    /// Starts a node and waits until it is ready.
    pub fn start(discovery: SocketAddr, edit_config: impl FnOnce(&mut Value)) -> Node {
        let node = Node::launch(discovery, edit_config, "exec \"$0\"");
        wait_for("/up is 200", || node.readiness_status() == 200);
        node
    }

    /// Starts a node whose system calls fail as `faults` says, and waits until it is ready.
    pub fn start_with_faults(
        discovery: SocketAddr,
        faults: &SyscallFaults,
        edit_config: impl FnOnce(&mut Value),
    ) -> Node {
        let node =
            Node::spawn(discovery, free_address(), edit_config, "exec \"$0\"", |c| faults.preload(c));
        wait_for("/up is 200", || node.readiness_status() == 200);
        node
    }

    /// Starts a node by a shell script in which `$0` is the program, without waiting for it. The script must `exec` the
    /// program, so that signals reach it.
    pub fn launch(discovery: SocketAddr, edit_config: impl FnOnce(&mut Value), script: &str) -> Node {
        Node::spawn(discovery, free_address(), edit_config, script, |_| {})
    }

    /// Starts a node without waiting for it. `set_up_command` can change the command before it is started.
    pub fn launch_with(
        discovery: SocketAddr,
        edit_config: impl FnOnce(&mut Value),
        set_up_command: impl FnOnce(&mut Command),
    ) -> Node {
        Node::spawn(discovery, free_address(), edit_config, "exec \"$0\"", set_up_command)
    }

    /// Starts a node that inherits a listening socket as descriptor 3 and keeps its state files in `state_dir`, without
    /// waiting for it.
    pub fn launch_inheriting(
        discovery: SocketAddr,
        listener: &TcpListener,
        state_dir: &std::path::Path,
        edit_config: impl FnOnce(&mut Value),
    ) -> Node {
        Node::launch_inheriting_with(discovery, listener, state_dir, edit_config, |_| {})
    }

    /// Does the same as `launch_inheriting`, but `set_up_command` can change the command before it is started.
    pub fn launch_inheriting_with(
        discovery: SocketAddr,
        listener: &TcpListener,
        state_dir: &std::path::Path,
        edit_config: impl FnOnce(&mut Value),
        set_up_command: impl FnOnce(&mut Command),
    ) -> Node {
        let socket = std::os::fd::OwnedFd::from(listener.try_clone().unwrap());
        let address = listener.local_addr().unwrap();
        Node::spawn(discovery, address, edit_config, "exec \"$0\" 3<&0 0</dev/null", |c| {
            c.stdin(socket).env("LB_INHERITED_FD", "3").env("TMPDIR", state_dir);
            set_up_command(c);
        })
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn spawn(
        discovery: SocketAddr,
        address: SocketAddr,
        edit_config: impl FnOnce(&mut Value),
        script: &str,
        set_up_command: impl FnOnce(&mut Command),
    ) -> Node {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let mut config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": default_settings()
        });
        edit_config(&mut config);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("wheelpath-node-test-{}-{n}.json", std::process::id());
        let config_path = std::env::temp_dir().join(name);
        std::fs::write(&config_path, config.to_string()).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", script, env!("CARGO_BIN_EXE_wheelpath-node")])
            .env("LB_CONFIG", &config_path)
            .env("LB_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped());
        set_up_command(&mut command);
        let child = command.spawn().unwrap();
        Node { address, child, config_path, config }
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The configured address for admin commands.
    pub fn admin_address(&self) -> SocketAddr {
        self.config["console"].as_str().unwrap().parse().unwrap()
    }

    /// Sends the admin command `ready`, and returns whether the process answers that it is ready. The process may still
    /// be starting and not listen yet.
    pub fn is_admin_ready(&self) -> bool {
        let is_listening = TcpStream::connect(self.admin_address()).is_ok();
        is_listening && self.admin_command("ready").starts_with("done")
    }

    /// Sends one admin command and returns the answer. `line` is given without its line feed.
    pub fn admin_command(&self, line: &str) -> String {
        admin_command(self.admin_address(), format!("{line}\n").as_bytes())
    }

    /// Replaces the configuration by one with another discovery address, and has the node read it.
    pub fn reload(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = discovery.to_string().into();
        self.reload_text(&self.config.to_string());
    }

    /// Does the same as `reload` and sends SIGTERM, both while the node is suspended, so that it finds both signals in
    /// one turn of its event loop.
    pub fn reload_and_terminate_while_suspended(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = discovery.to_string().into();
        std::fs::write(&self.config_path, self.config.to_string()).unwrap();
        self.while_suspended(|| {
            self.signal("-HUP");
            self.terminate();
        });
    }

    /// Replaces the configuration file by any text, and has the node read it.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.config_path, text).unwrap();
        self.signal("-HUP");
    }

    /// The status of a readiness check, or 0 if there is no response.
    pub fn readiness_status(&self) -> u16 {
        try_request(self.address, b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .map_or(0, |m| m.status())
    }

    /// The number of file descriptors that the process has open.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The number of file descriptors that the process has open once it has closed the connections of ended clients, such
    /// as that of the readiness check.
    pub fn settled_descriptor_count(&self) -> usize {
        let mut count = self.descriptor_count();
        wait_for("the number of descriptors is stable", || {
            std::thread::sleep(Duration::from_millis(200));
            let previous_count = std::mem::replace(&mut count, self.descriptor_count());
            previous_count == count
        });
        count
    }

    /// The resident memory of the process, in KiB.
    pub fn resident_memory_kb(&self) -> u64 {
        self.memory_status_kb("VmRSS")
    }

    /// The highest resident memory of the process so far, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.memory_status_kb("VmHWM")
    }

    fn memory_status_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with(field)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// The CPU time that the process has used so far, user and system, in clock ticks (usually 10 ms).
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        // `utime` and `stime`; the fields are counted from behind the program's name, which may contain spaces.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Runs `action` while the node is suspended, so that the node finds all its effects in one turn of its event loop.
    pub fn while_suspended<T>(&self, action: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.pid());
        let state = || std::fs::read_to_string(&stat).unwrap().rsplit(") ").next().unwrap().chars().next();
        wait_for("the node is suspended", || state() == Some('T'));
        let result = action();
        self.signal("-CONT");
        result
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

    /// Waits until the process has ended.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node has ended", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Returns the log of the process, which is all that it wrote to standard error. The process must have ended.
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
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// Sends bytes as an admin command, and returns the answer up to the close of the connection.
pub fn admin_command(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect_timeout(&address, WAIT_TIMEOUT).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}
