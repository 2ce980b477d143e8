//! Operator overrides (disabled and enabled endpoints) that were acknowledged with `done` survive disk errors, kills,
//! and a handover to another process.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use serde_json::Value;
use std::net::TcpListener;
use std::path::PathBuf;

/// Three endpoints, a discovery service that lists them, and the listening socket and the directory of state files that
/// the processes of one node share.
struct Fixture {
    records: Vec<RequestRecord>,
    discovery: DiscoveryStub,
    socket: TcpListener,
    state_dir: PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let records: Vec<RequestRecord> = (0..3).map(|_| RequestRecord::default()).collect();
        let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
        Fixture {
            records,
            discovery: DiscoveryStub::start(all_up(&addresses)),
            socket: TcpListener::bind(free_address()).unwrap(),
            state_dir: create_state_dir(name),
        }
    }

    /// Starts a process of the node, and waits until it is ready for admin commands and clients.
    fn start_process(&self, faults: Option<&SyscallFaults>) -> Node {
        let set_admin_address = |c: &mut Value| c["console"] = free_address().to_string().into();
        let set_up_command = |c: &mut std::process::Command| faults.into_iter().for_each(|f| f.preload(c));
        let node = Node::launch_inheriting_with(
            self.discovery.address,
            &self.socket,
            &self.state_dir,
            set_admin_address,
            set_up_command,
        );
        wait_for("the process is ready", || {
            std::net::TcpStream::connect(node.admin_address()).is_ok()
                && node.admin_command("ready").starts_with("done")
        });
        node
    }

    /// Sends 60 requests, and returns how many of them each endpoint received.
    fn requests_per_endpoint(&self, node: &Node) -> Vec<usize> {
        let before: Vec<usize> = self.records.iter().map(RequestRecord::count).collect();
        (0..60).for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200));
        self.records.iter().zip(before).map(|(r, before)| r.count() - before).collect()
    }

    fn file_names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.state_dir).unwrap();
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect()
    }
}

#[test]
fn an_acknowledged_override_survives_the_process_despite_disk_errors() {
    for (seed, fault) in (1..).zip([
        FaultSetting::FailedWrite,
        FaultSetting::PartialWrite,
        FaultSetting::FailedSync,
        FaultSetting::FailedRename,
    ]) {
        let fixture = Fixture::new(&format!("fails-{seed}"));
        let faults = SyscallFaults::new(seed);
        let mut node = fixture.start_process(Some(&faults));
        // Every call fails, so the override cannot be stored: the answer is not `done`, and the override has no effect.
        faults.set(fault, 1);
        let answer = node.admin_command("disable-server s-2");
        assert!(answer.starts_with("error"), "{fault:?}: {answer}");
        assert!(
            fixture.requests_per_endpoint(&node)[2] > 0,
            "{fault:?}: a rejected override must have no effect"
        );
        // One call in two fails: the node repeats the write before it answers.
        faults.set(fault, 2);
        let answer = node.admin_command("disable-server s-2");
        assert!(answer.starts_with("done"), "{fault:?}: {answer}");
        faults.set(fault, 1);
        assert!(node.admin_command("enable-server s-2").starts_with("error"), "{fault:?}");
        node.kill();
        let next = fixture.start_process(None);
        assert_eq!(
            fixture.requests_per_endpoint(&next)[2],
            0,
            "{fault:?}: the endpoint must still be disabled"
        );
    }
}

#[test]
fn a_kill_during_a_write_leaves_the_last_overrides() {
    let fixture = Fixture::new("kill");
    let faults = SyscallFaults::new(7);
    let mut node = fixture.start_process(Some(&faults));
    assert!(node.admin_command("disable-server s-1").starts_with("done"));
    faults.set(FaultSetting::KillDuringWrite, 1);
    let _ = std::panic::catch_unwind(|| node.admin_command("disable-server s-2"));
    wait_for("the process is killed", || !node.is_running());
    // A file that is written in place, and not replaced by a rename, would be truncated now.
    let next = fixture.start_process(None);
    assert_eq!(fixture.requests_per_endpoint(&next)[1], 0, "the endpoint must still be disabled");
    assert!(next.admin_command("disable-server s-0").starts_with("done"));
    drop(next);
    // Truncates the current files, and keeps the copies of the previous ones (`*.last`).
    for file in fixture.file_names().iter().filter(|name| !name.contains("last")) {
        let path = fixture.state_dir.join(file);
        let text = std::fs::read(&path).unwrap();
        std::fs::write(&path, &text[..text.len() / 2]).unwrap();
    }
    let next = fixture.start_process(None);
    assert_eq!(
        fixture.requests_per_endpoint(&next)[..2],
        [0, 0],
        "both endpoints must still be disabled, by the intact copy"
    );
    let leftovers: Vec<String> =
        fixture.file_names().into_iter().filter(|name| name.contains("draft")).collect();
    assert!(leftovers.is_empty(), "{leftovers:?}");
}

/// After the first override there is no earlier version of the file, so the first write must already leave a copy.
#[test]
fn the_first_override_survives_a_truncated_file() {
    let fixture = Fixture::new("first");
    let mut node = fixture.start_process(None);
    assert!(node.admin_command("disable-server s-1").starts_with("done"));
    node.kill();
    let path = fixture.state_dir.join("node-calls.json");
    let text = std::fs::read(&path).unwrap();
    std::fs::write(&path, &text[..text.len() / 2]).unwrap();
    let next = fixture.start_process(None);
    assert_eq!(fixture.requests_per_endpoint(&next)[1], 0, "the endpoint must still be disabled");
}

#[test]
fn overrides_by_two_processes_at_once_both_hold() {
    let fixture = Fixture::new("both");
    let faults = SyscallFaults::new(8);
    let old = fixture.start_process(Some(&faults));
    let new = fixture.start_process(None);
    // The old process is delayed between reading the file and replacing it, so that the new one may write in between.
    faults.set(FaultSetting::DelayMs, 50);
    faults.set(FaultSetting::DelayedRename, 1);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| old.admin_command("disable-server s-0"));
        wait_for("the old process is about to replace the file", || {
            fixture.file_names().iter().any(|name| name.contains(&old.pid().to_string()))
        });
        let second = new.admin_command("disable-server s-1");
        let first = first.join().unwrap();
        assert!(first.starts_with("done") && second.starts_with("done"), "{first} {second}");
    });
    faults.set(FaultSetting::DelayedRename, 0);
    drop(old);
    drop(new);
    let next = fixture.start_process(None);
    assert_eq!(fixture.requests_per_endpoint(&next)[..2], [0, 0], "both endpoints must be disabled");
}

#[test]
fn a_reused_process_id_is_not_taken_for_the_other_process() {
    let fixture = Fixture::new("number");
    let mut node = fixture.start_process(None);
    assert!(node.admin_command("disable-server s-1").starts_with("done"));
    node.kill();
    // The process id in the files now belongs to an unrelated process, which started long before.
    for file in fixture.file_names() {
        let path = fixture.state_dir.join(file);
        let text = std::fs::read_to_string(&path).unwrap();
        let with_reused_pid = text.replace(
            &format!("\"pid\":{}", node.pid()),
            &format!("\"pid\":{}", std::os::unix::process::parent_id()),
        );
        state::write_updating_checksum(&path, &with_reused_pid);
    }
    let mut next = fixture.start_process(None);
    assert_eq!(fixture.requests_per_endpoint(&next)[1], 0, "the endpoint must still be disabled");
    next.terminate();
    assert!(next.wait_for_exit().success());
    let log = next.log();
    assert!(!log.contains("alongside this one") && !log.contains("successor"), "{log}");
}

/// Guards against full traffic to an endpoint whose `enable-server` was answered by the other process: the slow start was in
/// the memory of the process that serves for up to a second more.
#[test]
fn an_enabled_endpoint_starts_slowly_after_a_kill_of_the_process_that_adopted_the_command() {
    let fixture = Fixture::new("adopted");
    let mut old = fixture.start_process(None);
    let mut new = fixture.start_process(None);
    assert!(old.admin_command("disable-server s-1").starts_with("done"));
    wait_for("the new process knows the command", || {
        new.admin_command("disable-server s-1") == "done out of service already\n"
    });
    assert!(old.admin_command("enable-server s-1").starts_with("done in service again, cold"));
    wait_for("the new process knows the command", || {
        new.admin_command("enable-server s-1") == "done was not out of service\n"
    });
    new.kill();
    old.kill();
    let next = fixture.start_process(None);
    let received = fixture.requests_per_endpoint(&next)[1];
    assert!(received <= 10, "{received} of 60 requests went to an endpoint in slow start");
}

#[test]
fn an_enabled_endpoint_starts_slowly_for_the_next_process_too() {
    let fixture = Fixture::new("cold");
    let mut node = fixture.start_process(None);
    assert!(node.admin_command("disable-server s-1").starts_with("done"));
    // The endpoint has restarted in the meantime, and discovery does not know yet; so the node must assume a restart.
    assert!(node.admin_command("enable-server s-1").starts_with("done in service again, cold"));
    node.kill();
    let next = fixture.start_process(None);
    let received = fixture.requests_per_endpoint(&next)[1];
    assert!(received <= 10, "{received} of 60 requests went to an endpoint in slow start");
}
