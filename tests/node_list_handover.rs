//! The endpoint list that one process of a node leaves for the next, or shares with one that runs at the same time.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The version of the list in the configuration of a process, and of the first list of a `DiscoveryStub`.
const CONFIGURED_VERSION: u64 = 1;
/// More calls than a test can make: discovery is down.
const ALL_CALLS: u32 = 1_000_000;
/// Within this time of its start, a process has to be ready.
const READY_TIME: Duration = Duration::from_secs(6);

/// Three endpoints, s-0 to s-2, and what the processes of one node share.
struct Fixture {
    records: Vec<RequestRecord>,
    addresses: Vec<SocketAddr>,
    socket: TcpListener,
    state_dir: PathBuf,
    /// How the node gets the endpoint list.
    mode: &'static str,
    /// The list in the configuration of the processes that start from now on.
    configured_list: Value,
}

impl Fixture {
    fn new(name: &str, mode: &'static str) -> Fixture {
        let records: Vec<RequestRecord> = (0..3).map(|_| RequestRecord::default()).collect();
        let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
        Fixture {
            configured_list: full_list(CONFIGURED_VERSION, all_up(&addresses)),
            records,
            addresses,
            socket: TcpListener::bind(free_address()).unwrap(),
            state_dir: create_state_dir(&format!("{name}-{mode}")),
            mode,
        }
    }

    fn start_discovery(&self) -> DiscoveryStub {
        DiscoveryStub::start(all_up(&self.addresses))
    }

    /// The entries of a list in which one endpoint is draining.
    fn with_draining(&self, endpoint: usize) -> Vec<Value> {
        let mut targets = all_up(&self.addresses);
        targets[endpoint]["state"] = "draining".into();
        targets
    }

    fn configure(&self, config: &mut Value) {
        config["console"] = free_address().to_string().into();
        config["settings"]["membershipMode"] = self.mode.into();
        config["known"] = self.configured_list.clone();
    }

    fn launch(&self, discovery: &DiscoveryStub, faults: Option<&SyscallFaults>) -> Node {
        let configure = |c: &mut Value| self.configure(c);
        let set_up_command = |c: &mut std::process::Command| faults.into_iter().for_each(|f| f.preload(c));
        Node::launch_inheriting_with(
            discovery.address,
            &self.socket,
            &self.state_dir,
            configure,
            set_up_command,
        )
    }

    /// Starts a process whose configuration file has another address of discovery than its environment.
    fn start_with_file(&self, in_file: &DiscoveryStub, in_environment: &DiscoveryStub) -> Node {
        let configure = |c: &mut Value| {
            self.configure(c);
            c["discovery"] = in_file.address.to_string().into();
        };
        let node =
            Node::launch_inheriting(in_environment.address, &self.socket, &self.state_dir, configure);
        wait_for("the process is ready", || node.is_admin_ready());
        node
    }

    fn start(&self, discovery: &DiscoveryStub) -> Node {
        let node = self.launch(discovery, None);
        wait_for("the process is ready", || node.is_admin_ready());
        node
    }

    /// Sends requests, each on a new connection, and returns whether the endpoint received any of them.
    fn gets_requests(&self, node: &Node, endpoint: usize) -> bool {
        let before = self.records[endpoint].count();
        (0..40).for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200));
        self.records[endpoint].count() > before
    }

    /// Waits until the only process that serves has applied a list in which the endpoint is draining.
    fn wait_until_unused(&self, node: &Node, endpoint: usize) {
        wait_for("the draining endpoint gets no requests", || !self.gets_requests(node, endpoint));
    }

    fn remove_list_files(&self) {
        let _ = std::fs::remove_file(self.state_dir.join("node-list.json"));
        let _ = std::fs::remove_file(self.state_dir.join("node-list.json.last"));
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.state_dir);
    }
}

fn full_list(version: u64, targets: Vec<Value>) -> Value {
    json!({"rev": version, "all": true, "targets": targets})
}

/// Guards against requests to a draining endpoint after an upgrade, or a kill and a restart, during an outage of
/// discovery: the new process knew only the configured list, which was older than the drain.
#[test]
fn a_process_that_starts_while_discovery_is_down_has_the_list_of_the_one_before() {
    for mode in ["on_request", "pushed"] {
        for is_killed in [false, true] {
            let fixture = Fixture::new(&format!("down-{is_killed}"), mode);
            let discovery = fixture.start_discovery();
            let mut old = fixture.start(&discovery);
            discovery.set(fixture.with_draining(0));
            fixture.wait_until_unused(&old, 0);
            discovery.reject_calls(ALL_CALLS);
            if is_killed {
                old.kill();
            }
            let new = fixture.start(&discovery);
            old.kill();
            assert!(!fixture.gets_requests(&new, 0), "{mode}, killed before: {is_killed}");
            // What discovery sends goes before the list of the earlier process.
            discovery.set(fixture.with_draining(1));
            discovery.reject_calls(0);
            fixture.wait_until_unused(&new, 1);
            assert!(fixture.gets_requests(&new, 0), "{mode}, killed before: {is_killed}");
        }
    }
}

/// Guards against requests of one process to an endpoint that the other one knows to drain: two processes that run at
/// the same time are one node, and each has its own calls to discovery.
#[test]
fn news_that_reaches_one_process_reaches_the_other() {
    for mode in ["on_request", "pushed"] {
        let fixture = Fixture::new("both", mode);
        let (discovery_of_old, discovery_of_new) = (fixture.start_discovery(), fixture.start_discovery());
        let old = fixture.start(&discovery_of_old);
        discovery_of_new.reject_calls(ALL_CALLS);
        let new = fixture.start(&discovery_of_new);
        // Either process may accept a connection, so both have to know of the drain.
        discovery_of_old.set(fixture.with_draining(0));
        wait_for("neither process uses s-0", || !fixture.gets_requests(&new, 0));
        discovery_of_old.reject_calls(ALL_CALLS);
        discovery_of_new.set(all_up(&fixture.addresses));
        discovery_of_new.set(fixture.with_draining(1));
        discovery_of_new.reject_calls(0);
        wait_for("neither process uses s-1", || !fixture.gets_requests(&old, 1));
        assert!(fixture.gets_requests(&new, 0), "{mode}");
    }
}

/// Guards against a drain that is undone by an answer which discovery sent before it: the process has adopted newer news
/// of the other process while its own call was under way.
#[test]
fn an_older_answer_does_not_undo_news_of_the_other_process() {
    let fixture = Fixture::new("older", "on_request");
    let (discovery_of_old, discovery_of_new) = (fixture.start_discovery(), fixture.start_discovery());
    let old = fixture.start(&discovery_of_old);
    let new = fixture.start(&discovery_of_new);
    discovery_of_old.set(all_up(&fixture.addresses));
    discovery_of_old.set(fixture.with_draining(0));
    wait_for("neither process uses s-0", || !fixture.gets_requests(&old, 0));
    discovery_of_new.set_delta(all_up(&fixture.addresses));
    wait_for("the new process has version 2", || {
        discovery_of_new.call_lines().iter().any(|line| line.contains("after=2"))
    });
    assert!(!fixture.gets_requests(&new, 0));
}

/// Guards against taking a list for an old one because of its lower version: discovery has restarted its version
/// numbers, so the list that the node heard last has a lower version than the configured one.
#[test]
fn a_list_that_was_sent_after_a_restart_of_the_version_numbers_is_the_newer_one() {
    let mut fixture = Fixture::new("restart", "on_request");
    fixture.configured_list = full_list(50, all_up(&fixture.addresses));
    let discovery = fixture.start_discovery();
    let mut old = fixture.start(&discovery);
    discovery.set(fixture.with_draining(0));
    fixture.wait_until_unused(&old, 0);
    discovery.reject_calls(ALL_CALLS);
    old.kill();
    let new = fixture.start(&discovery);
    assert!(!fixture.gets_requests(&new, 0));
}

/// Guards against changes that are applied to a list that they do not belong to: the watch of a process is from before a
/// restart of the version numbers, which another process has noticed, and ends once the new numbers pass the old ones.
#[test]
fn changes_after_a_version_of_another_numbering_are_not_applied() {
    let mut fixture = Fixture::new("numbering", "on_request");
    fixture.configured_list = full_list(50, all_up(&fixture.addresses));
    let discovery = fixture.start_discovery();
    discovery.set_version_without_notifying(50, all_up(&fixture.addresses));
    let first = fixture.start(&discovery);
    wait_for("the first process watches", || {
        discovery.call_lines().iter().any(|l| l.contains("wait_ms=60"))
    });
    discovery.set_version_without_notifying(2, fixture.with_draining(0));
    let _second = fixture.start(&discovery);
    wait_for("the first process has adopted the restarted list", || !fixture.gets_requests(&first, 0));
    let full_list_calls = || discovery.call_lines().iter().filter(|line| !line.contains("after=")).count();
    let calls = full_list_calls();
    discovery.set_version_without_notifying(50, fixture.with_draining(0));
    discovery.set_delta(vec![target("s-1", fixture.addresses[1], "draining")]);
    wait_for("the first process asks for the full list", || full_list_calls() > calls);
}

/// Guards against a process that follows the list of another agent in place of its own: in push mode each agent has its
/// own version numbers, and the higher ones of the old agent made the news of the new one look old.
#[test]
fn a_process_follows_its_own_agent_and_not_that_of_the_other_process() {
    let fixture = Fixture::new("agents", "pushed");
    let (old_agent, new_agent) = (fixture.start_discovery(), fixture.start_discovery());
    old_agent.set_version_without_notifying(500, all_up(&fixture.addresses));
    let mut old = fixture.start(&old_agent);
    let new = fixture.start(&new_agent);
    // The change of the old agent is written by the old process, which the new one must not adopt.
    let calls = new_agent.call_count();
    old_agent.set(fixture.with_draining(1));
    wait_for("the new process has asked its agent several times", || new_agent.call_count() > calls + 5);
    new_agent.set(fixture.with_draining(0));
    old.kill();
    fixture.wait_until_unused(&new, 0);
    assert!(fixture.gets_requests(&new, 1));
}

/// Guards against undue trust in the list of an earlier process: the platform may have configured a newer one since.
#[test]
fn a_configured_list_that_is_newer_than_the_stored_one_is_used() {
    let mut fixture = Fixture::new("configured", "on_request");
    let discovery = fixture.start_discovery();
    let mut old = fixture.start(&discovery);
    discovery.set(fixture.with_draining(0));
    fixture.wait_until_unused(&old, 0);
    discovery.reject_calls(ALL_CALLS);
    old.kill();
    fixture.configured_list = full_list(9, fixture.with_draining(1));
    let new = fixture.start(&discovery);
    assert!(!fixture.gets_requests(&new, 1));
    assert!(fixture.gets_requests(&new, 0));
}

/// Guards against service with a list that is known to be outdated, right at the first failed call: a process of an
/// earlier version leaves the version of its list, and not the list.
#[test]
fn a_process_without_the_newer_list_of_the_one_before_waits_for_discovery() {
    let fixture = Fixture::new("outdated", "on_request");
    let discovery = fixture.start_discovery();
    let mut old = fixture.start(&discovery);
    discovery.set(fixture.with_draining(0));
    fixture.wait_until_unused(&old, 0);
    wait_for("the process record has the version", || {
        let record = std::fs::read_to_string(fixture.state_dir.join("node-state.json")).unwrap_or_default();
        record.contains("\"list\":2")
    });
    old.kill();
    fixture.remove_list_files();
    discovery.reject_calls(ALL_CALLS);
    let (calls, start) = (discovery.call_count(), Instant::now());
    let new = fixture.launch(&discovery, None);
    wait_for("two calls have failed", || discovery.call_count() >= calls + 2);
    assert!(!new.is_admin_ready(), "ready with an outdated list");
    discovery.reject_calls(0);
    wait_until(start + READY_TIME, "the process is ready", || new.is_admin_ready());
    assert!(!fixture.gets_requests(&new, 0));
}

/// Guards against a process that never serves: without a usable list of the earlier process and without discovery, it
/// serves with the configured list in the end.
#[test]
fn a_process_starts_with_the_configured_list_if_the_stored_one_is_damaged() {
    let later_format =
        r#"{"format":2,"numbering":0,"version":7,"highest":7,"discovery":"127.0.0.1:1","servers":[]}"#;
    for (content, reason) in [
        ("node-state 2 00000000\n{}".to_owned(), "the checksum is wrong"),
        (state::with_checksum(r#"{"format":1,"version":7}"#), "missing field"),
        (state::with_checksum(later_format), "format 2 is later than 1"),
        ("{}".to_owned(), "not a state file of version 2"),
    ] {
        let fixture = Fixture::new("damaged", "on_request");
        std::fs::write(fixture.state_dir.join("node-list.json"), content).unwrap();
        let discovery = fixture.start_discovery();
        discovery.reject_calls(ALL_CALLS);
        let start = Instant::now();
        let mut node = fixture.launch(&discovery, None);
        wait_until(start + READY_TIME, "the process is ready", || node.is_admin_ready());
        assert!(fixture.gets_requests(&node, 0));
        node.terminate();
        assert!(node.wait_for_exit().success());
        let log = node.log();
        let lines: Vec<&str> = log.lines().filter(|line| line.contains("list cannot be used")).collect();
        assert!(matches!(lines[..], [line] if line.contains(reason)), "{log}");
    }
}

/// Guards against the loss of a change that came while the disk failed: the write must be repeated.
#[test]
fn a_change_that_came_while_the_disk_failed_is_stored_once_it_works_again() {
    for (seed, fault) in
        (1..).zip([FaultSetting::FailedWrite, FaultSetting::PartialWrite, FaultSetting::FailedRename])
    {
        let fixture = Fixture::new(&format!("disk-{seed}"), "on_request");
        let discovery = fixture.start_discovery();
        let faults = SyscallFaults::new(seed);
        let mut old = fixture.launch(&discovery, Some(&faults));
        wait_for("the process is ready", || old.is_admin_ready());
        faults.set(fault, 1);
        discovery.set(fixture.with_draining(0));
        fixture.wait_until_unused(&old, 0);
        faults.set(fault, 0);
        wait_for("the change is stored", || {
            let stored = std::fs::read_to_string(fixture.state_dir.join("node-list.json"));
            stored.is_ok_and(|text| text.contains("\"version\":2"))
        });
        discovery.reject_calls(ALL_CALLS);
        old.kill();
        let new = fixture.start(&discovery);
        assert!(!fixture.gets_requests(&new, 0), "{fault:?}");
    }
}

/// Guards against a half written list: a process may be killed during a write.
#[test]
fn a_kill_during_a_write_leaves_a_whole_list() {
    let fixture = Fixture::new("kill", "on_request");
    let discovery = fixture.start_discovery();
    let faults = SyscallFaults::new(1);
    let mut old = fixture.launch(&discovery, Some(&faults));
    wait_for("the process is ready", || old.is_admin_ready());
    discovery.set(fixture.with_draining(0));
    fixture.wait_until_unused(&old, 0);
    discovery.reject_calls(ALL_CALLS);
    faults.set(FaultSetting::KillDuringWrite, 1);
    assert!(!old.wait_for_exit().success());
    let new = fixture.start(&discovery);
    assert!(!fixture.gets_requests(&new, 0));
}

/// Guards against a process that goes on calling an address at which discovery no longer is: SIGHUP was sent to the other
/// process of the node, which has ended since.
#[test]
fn a_reload_of_one_process_holds_for_the_other() {
    for mode in ["on_request", "pushed"] {
        let fixture = Fixture::new("reload", mode);
        let (before, after) = (fixture.start_discovery(), fixture.start_discovery());
        let mut old = fixture.start(&before);
        let mut new = fixture.start(&before);
        before.reject_calls(ALL_CALLS);
        old.reload(after.address);
        wait_for("both processes call the new address", || after.call_count() >= 2);
        old.kill();
        after.set(fixture.with_draining(0));
        fixture.wait_until_unused(&new, 0);
        new.terminate();
        assert!(new.wait_for_exit().success());
        let log = new.log();
        assert!(log.contains("by a reload of another process"), "{mode}: {log}");
    }
}

/// Guards against a successor that calls an old address: a reload takes the address from the file, while the environment
/// of a process that is started later may still have the one before.
#[test]
fn a_successor_calls_the_address_of_the_last_reload_if_the_file_has_it() {
    let fixture = Fixture::new("environment", "on_request");
    let (first, second, third) =
        (fixture.start_discovery(), fixture.start_discovery(), fixture.start_discovery());
    let mut old = fixture.start(&first);
    first.reject_calls(ALL_CALLS);
    old.reload(second.address);
    wait_for("the process calls the new address", || second.call_count() > 0);
    old.kill();
    let calls = second.call_count();
    let mut new = fixture.start_with_file(&second, &first);
    wait_for("the successor calls the address of the reload", || second.call_count() > calls);
    new.kill();
    // The configuration has been replaced since the reload.
    let _newest = fixture.start_with_file(&third, &third);
    wait_for("a process with a newer configuration calls its address", || third.call_count() > 0);
}
