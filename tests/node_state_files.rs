//! A new process takes over the state files of earlier versions of the program.
//!
//! The files in `tests/data` were written by those versions. They describe four endpoints: `s-1` was taken out of
//! service by an admin command, `s-2` was congested, and `s-3` was in slow start.
mod node;

use node::*;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use wheelpath::stable_hash::stable_hash;

const STATE_FILE: &str = "node-state.json";
/// How long ago the slow start of `s-3` had begun when the files of version 2 were written, in milliseconds.
const SLOW_START_ELAPSED_MS: f64 = 14_003.874_267_578_125;
/// The time until the trial of `s-2` when the files of version 2 were written, in milliseconds.
const TRIAL_IN_MS: f64 = 6_299.145_751_953_125;
/// The concurrency limit of `s-2` in the files of version 2. It is lower than the limit with which a process without
/// state files starts.
const LEARNED_CONCURRENCY_LIMIT: f64 = 3.2;

/// Creates a directory with a copy of the state files in a subdirectory of `tests/data`.
fn copy_state_files(data_name: &str) -> PathBuf {
    let name = format!("state-files-{}-{data_name}", std::process::id());
    let state_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&state_dir);
    std::fs::create_dir_all(&state_dir).unwrap();
    let data_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(data_name);
    for file in std::fs::read_dir(data_dir).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), state_dir.join(file.file_name())).unwrap();
    }
    state_dir
}

/// A process that has started with the state files, its four endpoints, and their records. All endpoints answer 200.
/// Nothing listens at the address of discovery, so the process uses the configured endpoint list.
struct Successor {
    node: Node,
    records: Vec<RequestRecord>,
    state_dir: PathBuf,
}

impl Successor {
    /// Starts a process with the state files in a subdirectory of `tests/data`, and waits until it is ready.
    fn start(data_name: &str) -> Successor {
        let records: Vec<RequestRecord> = (0..4).map(|_| RequestRecord::default()).collect();
        let addresses: Vec<SocketAddr> =
            records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
        let state_dir = copy_state_files(data_name);
        let socket = TcpListener::bind(free_address()).unwrap();
        let node = Node::launch_inheriting(free_address(), &socket, &state_dir, |c: &mut Value| {
            c["console"] = free_address().to_string().into();
            c["known"] = serde_json::json!({"rev": 7, "all": true, "targets": all_up(&addresses)});
            // The same values as when the files were written.
            c["settings"]["instances"] = 2.into();
            c["settings"]["rules"]["coldMs"] = 60_000.0.into();
        });
        wait_for("the process is ready", || {
            std::net::TcpStream::connect(node.admin_address()).is_ok()
                && node.admin_command("ready").starts_with("done")
        });
        Successor { node, records, state_dir }
    }

    /// The entry of an endpoint in the state file that this process has written.
    fn endpoint_state(&self, uid: &str) -> Value {
        let text = std::fs::read_to_string(self.state_dir.join(STATE_FILE)).unwrap();
        let (_, body) = text.split_once('\n').unwrap();
        let state: Value = serde_json::from_str(body).unwrap();
        let has_uid = |endpoint: &&Value| endpoint["id"].as_u64() == Some(stable_hash(uid));
        state["servers"].as_array().unwrap().iter().find(has_uid).unwrap().clone()
    }

    /// Sends `count` requests, each on a new connection, and asserts that all are served.
    fn send_requests(&self, count: usize) {
        (0..count).for_each(|_| {
            assert_eq!(send_request(self.node.address, &request("page", 4000)).status(), 200)
        });
    }

    /// Terminates the process and returns its log.
    fn terminate_and_read_log(mut self) -> String {
        self.node.terminate();
        assert!(self.node.wait_for_exit().success());
        let _ = std::fs::remove_dir_all(&self.state_dir);
        self.node.log()
    }
}

/// Asserts that `s-1` is out of service until a command enables it.
fn assert_disabled_until_enabled(successor: &Successor) {
    successor.send_requests(40);
    assert_eq!(successor.records[1].count(), 0, "s-1 is out of service");
    assert_eq!(successor.node.admin_command("disable-server s-1"), "done out of service already\n");
    assert_eq!(successor.node.admin_command("enable-server s-1"), "done in service again, cold\n");
}

#[test]
fn files_of_version_2_are_taken_over() {
    let successor = Successor::start("state-version-2");
    // A process counts the time since the files were written as zero. The 15 s are for its start on a busy machine.
    let elapsed_ms = successor.endpoint_state("s-3")["cold_for_ms"].as_f64().unwrap();
    assert!(
        (SLOW_START_ELAPSED_MS..SLOW_START_ELAPSED_MS + 15_000.0).contains(&elapsed_ms),
        "the slow start began {elapsed_ms} ms ago"
    );
    let congested = successor.endpoint_state("s-2");
    let trial_in_ms = congested["trial_in_ms"].as_f64().unwrap();
    assert!((0.0..=TRIAL_IN_MS).contains(&trial_in_ms), "trial in {trial_in_ms} ms");
    assert_eq!(congested["cap"].as_f64(), Some(LEARNED_CONCURRENCY_LIMIT));
    assert_eq!(successor.endpoint_state("s-0")["trial_in_ms"], Value::Null);
    assert_disabled_until_enabled(&successor);
    assert_eq!(successor.records[2].count(), 0, "s-2 is congested");
    let log = successor.terminate_and_read_log();
    assert!(log.contains("handover: 1 out of service by earlier commands"), "{log}");
    assert!(log.contains(": 4 servers"), "{log}");
}

#[test]
fn truncated_files_of_version_2_are_taken_over_from_their_last_good_copies() {
    let data_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/state-version-2");
    let text = std::fs::read_to_string(data_dir.join("node-state.json.last")).unwrap();
    assert!(text.starts_with("node-state 2 "), "the copy has the same format as the file");
    let successor = Successor::start("state-version-2-cut");
    assert_disabled_until_enabled(&successor);
    let log = successor.terminate_and_read_log();
    assert!(log.contains("handover: 1 out of service by earlier commands"), "{log}");
    assert!(log.contains(": 4 servers"), "{log}");
}

#[test]
fn a_file_of_version_1_is_taken_over() {
    let successor = Successor::start("state-version-1");
    assert_disabled_until_enabled(&successor);
    let log = successor.terminate_and_read_log();
    assert!(log.contains("handover: 1 out of service by earlier commands"), "{log}");
    assert!(
        log.contains(": 0 servers"),
        "the endpoint records of version 1, whose times are wall clock times, are not used: {log}"
    );
}
