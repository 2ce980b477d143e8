//! State files of earlier versions are taken over. The files in `tests/data` were written by those programs: four servers,
//! `s-1` taken out of service by a command, `s-2` congested, `s-3` just started.
mod node;

use node::*;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use wheelpath::stable_hash::stable_hash;

const STATE_FILE: &str = "node-state.json";
/// For how long `s-3` had been started when version 2 wrote its state, and how long it was to the trial of `s-2`.
const COLD_FOR_MS: f64 = 14_003.874_267_578_125;
const TRIAL_IN_MS: f64 = 6_299.145_751_953_125;
/// What `s-2` was given then, below the most that a new process begins with.
const LEARNED_CAP: f64 = 3.2;

/// A folder with a copy of the files that a version wrote.
fn folder_of(version: &str) -> PathBuf {
    let name = format!("state-files-{}-{version}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let written = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(version);
    for file in std::fs::read_dir(written).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), folder.join(file.file_name())).unwrap();
    }
    folder
}

/// A node that finds the files, before servers of which the third is down, and before no discovery.
struct Successor {
    node: Node,
    records: Vec<RequestRecord>,
    folder: PathBuf,
}

impl Successor {
    fn start(version: &str) -> Successor {
        let records: Vec<RequestRecord> = (0..4).map(|_| RequestRecord::default()).collect();
        let addresses: Vec<SocketAddr> =
            records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
        let folder = folder_of(version);
        let socket = TcpListener::bind(free_address()).unwrap();
        let node = Node::launch_inheriting(free_address(), &socket, &folder, |c: &mut Value| {
            c["console"] = free_address().to_string().into();
            c["known"] = serde_json::json!({"rev": 7, "all": true, "targets": all_up(&addresses)});
            // As the program that wrote the files was told.
            c["settings"]["instances"] = 2.into();
            c["settings"]["rules"]["coldMs"] = 60_000.0.into();
        });
        wait_for("it is ready", || {
            std::net::TcpStream::connect(node.admin_address()).is_ok()
                && node.admin_command("ready").starts_with("done")
        });
        Successor { node, records, folder }
    }

    /// What its own state file says of a server.
    fn server(&self, uid: &str) -> Value {
        let text = std::fs::read_to_string(self.folder.join(STATE_FILE)).unwrap();
        let (_, body) = text.split_once('\n').unwrap();
        let state: Value = serde_json::from_str(body).unwrap();
        let of_uid = |server: &&Value| server["id"].as_u64() == Some(stable_hash(uid));
        state["servers"].as_array().unwrap().iter().find(of_uid).unwrap().clone()
    }

    fn send_and_receive(&self, count: usize) {
        (0..count).for_each(|_| {
            assert_eq!(send_request(self.node.address, &request("page", 4000)).status(), 200)
        });
    }

    /// Ends it and gives its log.
    fn log(mut self) -> String {
        self.node.terminate();
        assert!(self.node.wait_for_exit().success());
        let _ = std::fs::remove_dir_all(&self.folder);
        self.node.log()
    }
}

/// The server that was taken out of service stays so until it is put back.
fn assert_disabled_until_enabled(successor: &Successor) {
    successor.send_and_receive(40);
    assert_eq!(successor.records[1].count(), 0, "s-1 is out of service");
    assert_eq!(successor.node.admin_command("disable-server s-1"), "done out of service already\n");
    assert_eq!(successor.node.admin_command("enable-server s-1"), "done in service again, cold\n");
}

#[test]
fn files_of_version_2_are_taken_over() {
    let successor = Successor::start("state-version-2");
    let started = successor.server("s-3")["cold_for_ms"].as_f64().unwrap();
    assert!((COLD_FOR_MS..COLD_FOR_MS + 15_000.0).contains(&started), "cold for {started} ms");
    let congested = successor.server("s-2");
    let trial_in = congested["trial_in_ms"].as_f64().unwrap();
    assert!((0.0..=TRIAL_IN_MS).contains(&trial_in), "trial in {trial_in} ms");
    assert_eq!(congested["cap"].as_f64(), Some(LEARNED_CAP));
    assert_eq!(successor.server("s-0")["trial_in_ms"], Value::Null);
    assert_disabled_until_enabled(&successor);
    assert_eq!(successor.records[2].count(), 0, "s-2 is congested");
    let log = successor.log();
    assert!(log.contains("handover: 1 out of service by earlier commands"), "{log}");
    assert!(log.contains(": 4 servers"), "{log}");
}

#[test]
fn a_file_of_version_2_that_was_cut_is_taken_over_from_its_last_good_copy() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/state-version-2");
    let text = std::fs::read_to_string(folder.join("node-state.json.last")).unwrap();
    assert!(text.starts_with("node-state 2 "), "the copy has the form of the file");
    let successor = Successor::start("state-version-2-cut");
    assert_disabled_until_enabled(&successor);
    let log = successor.log();
    assert!(log.contains("handover: 1 out of service by earlier commands"), "{log}");
    assert!(log.contains(": 4 servers"), "{log}");
}

#[test]
fn a_file_of_version_1_is_taken_over() {
    let successor = Successor::start("state-version-1");
    assert_disabled_until_enabled(&successor);
    let log = successor.log();
    assert!(log.contains("handover: 1 out of service by earlier commands"), "{log}");
    assert!(log.contains(": 0 servers"), "the times of version 1 are not used: {log}");
}
