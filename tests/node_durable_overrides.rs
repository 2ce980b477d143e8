//! A call of the operators that was answered `done` holds whatever becomes of the disk and of the process.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use serde_json::Value;
use std::net::TcpListener;
use std::path::{Path, PathBuf};

/// An empty folder for what one process leaves to the next.
fn folder(name: &str) -> PathBuf {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("calls-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Three servers, and a node behind an inherited socket that keeps its state in a folder.
struct Site {
    records: Vec<RequestRecord>,
    discovery: DiscoveryStub,
    socket: TcpListener,
    folder: PathBuf,
}

impl Site {
    fn new(name: &str) -> Site {
        let records: Vec<RequestRecord> = (0..3).map(|_| RequestRecord::default()).collect();
        let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
        Site {
            records,
            discovery: DiscoveryStub::start(all_up(&addresses)),
            socket: TcpListener::bind(free_address()).unwrap(),
            folder: folder(name),
        }
    }

    /// A process whose console answers.
    fn process(&self, faults: Option<&SyscallFaults>) -> Node {
        let console = |c: &mut Value| c["console"] = free_address().to_string().into();
        let set_up = |c: &mut std::process::Command| faults.into_iter().for_each(|f| f.preload(c));
        let node = Node::launch_inheriting_with(
            self.discovery.address,
            &self.socket,
            &self.folder,
            console,
            set_up,
        );
        wait_for("the process is ready", || {
            std::net::TcpStream::connect(node.admin_address()).is_ok()
                && node.admin_command("ready").starts_with("done")
        });
        node
    }

    /// How many of 60 requests each server gets.
    fn shares(&self, node: &Node) -> Vec<usize> {
        let before: Vec<usize> = self.records.iter().map(RequestRecord::count).collect();
        (0..60).for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200));
        self.records.iter().zip(before).map(|(r, before)| r.count() - before).collect()
    }

    fn files(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.folder).unwrap();
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
        let site = Site::new(&format!("fails-{seed}"));
        let faults = SyscallFaults::new(seed);
        let mut node = site.process(Some(&faults));
        // Nothing can be kept: no `done`, and nothing has changed.
        faults.set(fault, 1);
        let answer = node.admin_command("disable-server s-2");
        assert!(answer.starts_with("error"), "{fault:?}: {answer}");
        assert!(site.shares(&node)[2] > 0, "{fault:?}: an `error` changes nothing");
        // Every other try fails: tried again within the time of the answer.
        faults.set(fault, 2);
        let answer = node.admin_command("disable-server s-2");
        assert!(answer.starts_with("done"), "{fault:?}: {answer}");
        faults.set(fault, 1);
        assert!(node.admin_command("enable-server s-2").starts_with("error"), "{fault:?}");
        node.kill();
        let next = site.process(None);
        assert_eq!(site.shares(&next)[2], 0, "{fault:?}: out of service");
    }
}

#[test]
fn a_kill_during_a_write_leaves_the_last_overrides() {
    let site = Site::new("kill");
    let faults = SyscallFaults::new(7);
    let mut node = site.process(Some(&faults));
    assert!(node.admin_command("disable-server s-1").starts_with("done"));
    faults.set(FaultSetting::KillDuringWrite, 1);
    let _ = std::panic::catch_unwind(|| node.admin_command("disable-server s-2"));
    wait_for("it is killed", || !node.is_running());
    // A file that was written in place would be cut like this.
    let next = site.process(None);
    assert_eq!(site.shares(&next)[1], 0, "out of service");
    assert!(next.admin_command("disable-server s-0").starts_with("done"));
    drop(next);
    for file in site.files().iter().filter(|name| !name.contains("last")) {
        let path = site.folder.join(file);
        let text = std::fs::read(&path).unwrap();
        std::fs::write(&path, &text[..text.len() / 2]).unwrap();
    }
    let next = site.process(None);
    assert_eq!(site.shares(&next)[..2], [0, 0], "still out of service: a whole copy counts");
    let leftovers: Vec<String> = site.files().into_iter().filter(|name| name.contains("draft")).collect();
    assert!(leftovers.is_empty(), "{leftovers:?}");
}

#[test]
fn the_first_override_survives_a_truncated_file() {
    let site = Site::new("first");
    let mut node = site.process(None);
    assert!(node.admin_command("disable-server s-1").starts_with("done"));
    node.kill();
    let path = site.folder.join("node-calls.json");
    let text = std::fs::read(&path).unwrap();
    std::fs::write(&path, &text[..text.len() / 2]).unwrap();
    let next = site.process(None);
    assert_eq!(site.shares(&next)[1], 0, "still out of service");
}

#[test]
fn overrides_by_two_processes_at_once_both_hold() {
    let site = Site::new("both");
    let faults = SyscallFaults::new(8);
    let old = site.process(Some(&faults));
    let new = site.process(None);
    // The old process is held up between reading the state and replacing it.
    faults.set(FaultSetting::DelayMs, 50);
    faults.set(FaultSetting::DelayedRename, 1);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| old.admin_command("disable-server s-0"));
        wait_for("the old process is about to replace the file", || {
            site.files().iter().any(|name| name.contains(&old.pid().to_string()))
        });
        let second = new.admin_command("disable-server s-1");
        let first = first.join().unwrap();
        assert!(first.starts_with("done") && second.starts_with("done"), "{first} {second}");
    });
    faults.set(FaultSetting::DelayedRename, 0);
    drop(old);
    drop(new);
    let next = site.process(None);
    assert_eq!(site.shares(&next)[..2], [0, 0], "both are out of service");
}

#[test]
fn a_reused_process_id_is_not_taken_for_the_other_process() {
    let site = Site::new("number");
    let mut node = site.process(None);
    assert!(node.admin_command("disable-server s-1").starts_with("done"));
    node.kill();
    // Its number belongs to a process that has nothing to do with this, and started long before.
    for file in site.files() {
        let path = site.folder.join(file);
        let text = std::fs::read_to_string(&path).unwrap();
        let given_again = text.replace(
            &format!("\"pid\":{}", node.pid()),
            &format!("\"pid\":{}", std::os::unix::process::parent_id()),
        );
        state::write_updating_checksum(&path, &given_again);
    }
    let mut next = site.process(None);
    assert_eq!(site.shares(&next)[1], 0, "the state counts all the same");
    next.terminate();
    assert!(next.wait_for_exit().success());
    let log = next.log();
    assert!(!log.contains("beside this one") && !log.contains("successor"), "{log}");
}

#[test]
fn an_enabled_endpoint_starts_slowly_for_the_next_process_too() {
    let site = Site::new("cold");
    let mut node = site.process(None);
    assert!(node.admin_command("disable-server s-1").starts_with("done"));
    // It is restarted meanwhile, and discovery is late to say so.
    assert!(node.admin_command("enable-server s-1").starts_with("done in service again, cold"));
    node.kill();
    let next = site.process(None);
    let share = site.shares(&next)[1];
    assert!(share <= 10, "{share} of 60 requests went to a cold server");
}
