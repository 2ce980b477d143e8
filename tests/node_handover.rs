//! Handover between two processes of a node that inherit the same listening socket and share a directory of state
//! files: a new process starts while the old one still serves, and then the old one is terminated.
mod node;

use node::*;
use serde_json::Value;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::Duration;

/// The JSON fields that identify a running process in `node-state.json`: its process id, and its start time in clock
/// ticks since the machine booted.
fn process_identity_fields(pid: u32) -> String {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let start_ticks = stat.rsplit_once(") ").unwrap().1.split(' ').nth(19).unwrap().to_owned();
    format!("\"pid\":{pid},\"started\":{start_ticks},")
}

/// Gives the process an address for admin commands.
fn set_admin_address(config: &mut Value) {
    config["console"] = free_address().to_string().into();
}

#[test]
fn two_processes_share_a_socket_and_only_the_terminated_one_ends() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(2, &record, |_, _| ok(b"ok"))));
    let socket = TcpListener::bind(free_address()).unwrap();
    let state_dir = create_state_dir("two");
    let peer_address = free_address().to_string();
    // Both processes listen for messages of peers on the same address.
    let configure = |c: &mut Value| {
        set_admin_address(c);
        c["peer_listen"] = peer_address.clone().into();
    };
    let mut old = Node::launch_inheriting(discovery.address, &socket, &state_dir, configure);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    for _ in 0..2 {
        let new = Node::launch_inheriting(discovery.address, &socket, &state_dir, configure);
        wait_for("the new process is ready", || new.is_admin_ready());
        old.terminate();
        // While the old process ends, either process may serve a new connection.
        for _ in 0..50 {
            assert_eq!(send_request(new.address, &request("page", 4000)).status(), 200);
        }
        assert!(old.wait_for_exit().success());
        assert_eq!(send_request(new.address, &request("page", 4000)).status(), 200);
        old = new;
    }
    assert!(old.is_running());
}

/// The platform may pass a wrong descriptor in `LB_INHERITED_FD`. The process must then end, and its log must say
/// which descriptor or value is wrong.
#[test]
fn the_start_fails_with_an_error_that_names_an_unusable_descriptor() {
    // Starts a process by the shell command, waits until it has failed, and returns its log.
    let failed_start = |descriptor: &str, stdin: Stdio, shell_command: &str| {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", shell_command, env!("CARGO_BIN_EXE_wheelpath-node")]).stdin(stdin);
        let output = command.env("LB_INHERITED_FD", descriptor).output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    let plain_exec = "exec \"$0\"";
    for value in ["three", "", "-1", "0", "3 4"] {
        let log = failed_start(value, Stdio::null(), plain_exec);
        assert!(log.contains(&format!("LB_INHERITED_FD: {value:?} is not the number")), "{log}");
    }
    let log = failed_start("37", Stdio::null(), plain_exec);
    assert!(log.contains("LB_INHERITED_FD: descriptor 37 is not open"));
    let not_listening = "LB_INHERITED_FD: descriptor 3 is not a listening TCP socket";
    let exec_with_stdin_as_3 = "exec \"$0\" 3<&0 0</dev/null";
    let log = failed_start("3", Stdio::null(), exec_with_stdin_as_3);
    assert!(log.contains(not_listening), "a file");
    let udp = std::net::UdpSocket::bind(loopback(0)).unwrap();
    let log = failed_start("3", std::os::fd::OwnedFd::from(udp).into(), exec_with_stdin_as_3);
    assert!(log.contains(not_listening), "a UDP socket");
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let connection = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let log = failed_start("3", std::os::fd::OwnedFd::from(connection).into(), exec_with_stdin_as_3);
    assert!(log.contains(not_listening), "a TCP connection: {log}");
    let path = std::env::temp_dir().join(format!("wheelpath-node-test-{}.sock", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let unix_listener = std::os::unix::net::UnixListener::bind(&path).unwrap();
    let log = failed_start("3", std::os::fd::OwnedFd::from(unix_listener).into(), exec_with_stdin_as_3);
    let _ = std::fs::remove_file(&path);
    assert!(log.contains(not_listening), "a Unix socket: {log}");
}

/// Starts three endpoints with a record each, and a discovery service that lists them as s-0, s-1 and s-2.
fn start_three_endpoints() -> (Vec<RequestRecord>, DiscoveryStub) {
    let records: Vec<RequestRecord> = (0..3).map(|_| RequestRecord::default()).collect();
    let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
    (records, DiscoveryStub::start(all_up(&addresses)))
}

/// Sends `count` requests, each on a new connection, and asserts that all are served.
fn send_requests(node: &Node, count: usize) {
    (0..count).for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200));
}

/// Operators may send a command to either process. A process that did not adopt the overrides of the other one would
/// send requests to an endpoint that is out of service.
#[test]
fn a_disabled_endpoint_is_disabled_in_both_processes_and_after_the_handover() {
    let (records, discovery) = start_three_endpoints();
    let socket = TcpListener::bind(free_address()).unwrap();
    let state_dir = create_state_dir("disable");
    let old = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    assert!(old.admin_command("disable-server s-0").starts_with("done"));
    let mut new = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
    wait_for("the new process is ready", || new.is_admin_ready());
    send_requests(&new, 40);
    assert_eq!(records[0].count(), 0, "s-0 is out of service in both processes");
    // An answer shows whether the process knows of the previous command, which went to the other process: only then
    // does it say that this command changed something.
    for (first, second) in [(&new, &old), (&old, &new)] {
        assert!(first.admin_command("disable-server s-1").starts_with("done out of service"));
        wait_for("the second process knows that s-1 is disabled", || {
            second.admin_command("enable-server s-1").starts_with("done in service")
        });
        wait_for("the first process knows that s-1 is enabled", || {
            first.admin_command("disable-server s-1") == "done out of service\n"
        });
        wait_for("the second process knows that s-1 is disabled again", || {
            second.admin_command("enable-server s-1").starts_with("done in service")
        });
    }
    drop(old);
    send_requests(&new, 40);
    assert_eq!(records[0].count(), 0, "s-0 is still out of service after the handover");
    assert!(new.is_running());
    let _ = std::fs::remove_dir_all(state_dir);
}

/// A process that writes the overrides file may have read it before the other process stored a command. Its write
/// then removes from the file a command that was already answered with `done`. The process that stored the command
/// must notice this and write it again.
#[test]
fn an_override_that_the_other_process_overwrites_still_applies() {
    let (_, discovery) = start_three_endpoints();
    let socket = TcpListener::bind(free_address()).unwrap();
    let state_dir = create_state_dir("overwritten");
    let old = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    let new = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
    wait_for("the new process is ready", || new.is_admin_ready());
    let overrides_file = state_dir.join("node-calls.json");
    assert!(old.admin_command("disable-server s-2").starts_with("done"));
    assert!(new.admin_command("enable-server s-2").starts_with("done in service"));
    // Restores the previous content of the file, as a write by the new process would that began before the command.
    // The new process is suspended, so that it cannot adopt the override before.
    new.while_suspended(|| {
        let previous_content = std::fs::read(&overrides_file).unwrap();
        assert!(old.admin_command("disable-server s-1").starts_with("done out of service"));
        std::fs::write(&overrides_file, previous_content).unwrap();
    });
    wait_for("the new process knows that s-1 is disabled", || {
        new.admin_command("enable-server s-1").starts_with("done in service")
    });
    let _ = std::fs::remove_dir_all(state_dir);
}

#[test]
fn a_process_starts_with_an_unreadable_state_file() {
    let (_, discovery) = start_three_endpoints();
    let state_dir = create_state_dir("unreadable");
    for (content, reason) in [
        (&b"{\"version\":1,\"pid\":1,\"calls\":"[..], "cannot be used"),
        (b"{\"version\":2}", "not a state file of version 2"),
        (b"node-state 3 00000000\n", "not a state file of version 2"),
        (b"node-state 2 00000000\n{}", "the checksum is wrong"),
        (state::with_checksum("{\"pid\":1}").as_bytes(), "cannot be used"),
        (b"\xff\x00", "cannot be used"),
    ] {
        let socket = TcpListener::bind(free_address()).unwrap();
        for file in ["node-state.json", "node-calls.json"] {
            std::fs::write(state_dir.join(file), content).unwrap();
        }
        // The process of the previous case has left a valid copy, which would be read instead.
        let _ = std::fs::remove_file(state_dir.join("node-state.json.last"));
        let mut node = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
        wait_for("the process is ready", || node.readiness_status() == 200);
        send_requests(&node, 1);
        node.terminate();
        assert!(node.wait_for_exit().success());
        let log = node.log();
        assert!(log.contains("starting without") && log.contains(reason), "{log}");
    }
    let _ = std::fs::remove_dir_all(state_dir);
}

/// A terminated process must leave new connections to its successor. It recognizes the successor by the process
/// record in `node-state.json`. The old process may overwrite the record just after the new one has written it, and
/// must still recognize the new process afterwards.
#[test]
fn a_terminated_process_with_a_successor_accepts_no_new_connections() {
    let (records, discovery) = start_three_endpoints();
    let socket = TcpListener::bind(free_address()).unwrap();
    let state_dir = create_state_dir("successor");
    let mut old = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    let mut client_of_old = Client::connect(old.address);
    assert_eq!(client_of_old.send_and_receive(&request("page", 4000)).status(), 200);
    let mut new = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
    wait_for("the new process is ready", || new.is_admin_ready());
    let process_file = state_dir.join("node-state.json");
    let pid_field = |pid: u32| format!("\"pid\":{pid},");
    let is_named_in_record =
        |pid| std::fs::read_to_string(&process_file).is_ok_and(|text| text.contains(&pid_field(pid)));
    wait_for("the process record names the new process", || is_named_in_record(new.pid()));
    // Overwrites the record as the old process could, with its own process id and start time.
    let record = std::fs::read_to_string(&process_file).unwrap();
    let draft = state_dir.join("draft");
    let old_record =
        record.replace(&process_identity_fields(new.pid()), &process_identity_fields(old.pid()));
    state::write_updating_checksum(&draft, &old_record);
    std::fs::rename(draft, &process_file).unwrap();
    wait_for("the process record names the new process again", || is_named_in_record(new.pid()));
    // The old process reads the process record just before the overrides. So once it applies this override, it has
    // recognized the new process.
    assert!(new.admin_command("disable-server s-0").starts_with("done"));
    wait_for("the old process applies the override", || {
        let before = records[0].count();
        (0..20)
            .for_each(|_| assert_eq!(client_of_old.send_and_receive(&request("page", 4000)).status(), 200));
        records[0].count() == before
    });
    old.terminate();
    assert!(old.wait_for_exit().success());
    // The old process has closed its client's connection without a further response, and the new one serves all new
    // connections.
    assert!(client_of_old.read_response().is_none());
    send_requests(&new, 20);
    let old_log = old.log();
    let serves_alongside = |pid: u32| format!("handover: process {pid} serves alongside this one");
    assert_eq!(old_log.matches(&serves_alongside(new.pid())).count(), 1, "{old_log}");
    new.terminate();
    assert!(new.wait_for_exit().success());
    let new_log = new.log();
    assert_eq!(new_log.matches(&serves_alongside(old.pid())).count(), 1, "{new_log}");
    assert!(old_log.contains("a successor takes new connections"), "{old_log}");
    let _ = std::fs::remove_dir_all(state_dir);
}

/// With polled discovery, a process makes its first call after a random time of up to 2.5 s, so that many nodes do
/// not call at once. If the process record says that the predecessor had a newer endpoint list than the configured
/// one, the process must not wait: endpoints on its list may have left since.
#[test]
fn a_process_with_an_older_list_than_its_predecessor_polls_at_once() {
    let (_, discovery) = start_three_endpoints();
    let socket = TcpListener::bind(free_address()).unwrap();
    let state_dir = create_state_dir("list");
    let configure = |c: &mut Value| {
        set_admin_address(c);
        c["settings"]["membershipMode"] = "on_request".into();
        // With so many nodes, the random time may be as long as 2.5 s.
        c["settings"]["instances"] = 50_000.into();
        c["settings"]["rules"]["mustAskInMs"] = 1e7.into();
        let target = target("s-0", free_address(), "up");
        c["known"] = serde_json::json!({"rev": 3, "all": true, "targets": [target]});
    };
    let version_1 = r#"{"version":1,"pid":1,"calls":0,"out":[],"list":LIST,"backends":[]}"#;
    let version_2 = state::with_checksum(r#"{"pid":1,"started":1,"list":4,"servers":[]}"#);
    // Each case is the list version in a file of version 1, or `version 2` for the file of that version, which has
    // list version 4.
    for (list, is_list_outdated) in [("3", false), ("null", false), ("4", true), ("version 2", true)] {
        let text = if list == "version 2" { version_2.clone() } else { version_1.replace("LIST", list) };
        std::fs::write(state_dir.join("node-state.json"), text).unwrap();
        let calls = discovery.call_count();
        let mut node = Node::launch_inheriting(discovery.address, &socket, &state_dir, configure);
        wait_for("the process is ready", || node.readiness_status() == 200);
        if is_list_outdated {
            wait_for("the process calls discovery", || discovery.call_count() > calls);
        }
        node.terminate();
        assert!(node.wait_for_exit().success());
        assert_eq!(
            node.log().contains("its endpoint list is newer than the configured one"),
            is_list_outdated,
            "{list}"
        );
    }
    let _ = std::fs::remove_dir_all(state_dir);
}

/// Two processes run at the same time during a handover, and have to share the memory limit of the node. The test
/// uses the lowest limit, 32 MiB.
#[test]
fn a_thousand_endpoints_and_peers_fit_into_the_smallest_memory_limit() {
    const COUNT: usize = 1024;
    let record = RequestRecord::default();
    let address = start_endpoint(&record, |_, _| ok(b"x"));
    // All endpoints are set to draining at the end. If a process had lost the entry of one of them, it could not
    // drain that endpoint and would stay ready.
    let mut targets: Vec<_> = (0..COUNT).map(|n| target(&format!("s-{n}"), address, "up")).collect();
    let discovery = DiscoveryStub::start(targets.clone());
    let socket = TcpListener::bind(free_address()).unwrap();
    let state_dir = create_state_dir("many");
    let (peer_listen, peers): (_, Vec<String>) = (
        free_address().to_string(),
        (0..COUNT).map(|n| format!("127.9.{}.{}:7946", n / 250, n % 250 + 1)).collect(),
    );
    let configure = |c: &mut Value| {
        set_admin_address(c);
        c["limits"]["memory_mb"] = 32.into();
        c["settings"]["instances"] = COUNT.into();
        c["peer_listen"] = peer_listen.clone().into();
        c["peers"] = peers.clone().into();
    };
    let old = Node::launch_inheriting(discovery.address, &socket, &state_dir, configure);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    assert!(old.admin_command(&format!("disable-server s-{}", COUNT - 1)).starts_with("done"));
    wait_for("the process record contains all endpoints", || {
        let state = std::fs::read_to_string(state_dir.join("node-state.json")).unwrap_or_default();
        state.matches("\"served\"").count() == COUNT
    });
    let mut new = Node::launch_inheriting(discovery.address, &socket, &state_dir, configure);
    wait_for("the new process is ready", || new.is_admin_ready());
    for _ in 0..20 {
        assert_eq!(send_request(new.address, &request("page", 4000)).status(), 200);
    }
    targets.iter_mut().for_each(|target| target["state"] = "draining".into());
    discovery.set(targets);
    let is_not_ready = |node: &Node| node.admin_command("ready").starts_with("error");
    wait_for("neither process has a usable endpoint", || is_not_ready(&old) && is_not_ready(&new));
    let (old_kb, new_kb) = (old.resident_memory_kb(), new.resident_memory_kb());
    assert!(old_kb + new_kb < 32 * 1024, "{old_kb} KiB and {new_kb} KiB");
    println!("{old_kb} KiB and {new_kb} KiB with {COUNT} endpoints and peers");
    drop(old);
    new.terminate();
    assert!(new.wait_for_exit().success());
    let log = new.log();
    assert!(
        log.contains(&format!("{COUNT} servers")) && log.contains("1 out of service by earlier commands"),
        "{log}"
    );
    let _ = std::fs::remove_dir_all(state_dir);
}

/// Guards against a request that runs twice because its id comes again at another process of the node: each process
/// knew its own ids only.
#[test]
fn a_trace_id_whose_request_may_have_run_is_not_accepted_by_the_next_process() {
    let record = RequestRecord::default();
    let endpoint = start_endpoint(&record, |_, _| {
        std::thread::sleep(Duration::from_millis(200));
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&[endpoint]));
    let socket = TcpListener::bind(free_address()).unwrap();
    let state_dir = create_state_dir("ids");
    let old = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    let (abandoned, answered) = (request("bid", 900), request("bid", 900));
    let mut client = Client::connect(old.address);
    assert!(client.send(&abandoned));
    wait_for("the request reaches the endpoint", || record.count() == 1);
    drop(client);
    assert_eq!(send_request(old.address, &answered).status(), 200);
    let new = Node::launch_inheriting(discovery.address, &socket, &state_dir, set_admin_address);
    wait_for("the new process is ready", || new.is_admin_ready());
    old.terminate();
    drop(old);
    for repeated in [&abandoned, &answered] {
        assert_eq!(send_request(new.address, repeated).status(), 409);
    }
    assert_eq!(send_request(new.address, &request("bid", 900)).status(), 200);
    assert_eq!(record.count(), 3, "a request ran twice");
    let _ = std::fs::remove_dir_all(state_dir);
}
