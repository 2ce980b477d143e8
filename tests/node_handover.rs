//! One process after the other behind the same listening socket.
mod node;

use node::*;
use serde_json::Value;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// An empty folder for what one process leaves to the next.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("wheelpath-node-test-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// How the state names a process.
fn identity(pid: u32) -> String {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let started = stat.rsplit_once(") ").unwrap().1.split(' ').nth(19).unwrap().to_owned();
    format!("\"pid\":{pid},\"started\":{started},")
}

fn with_console(config: &mut Value) {
    config["console"] = free_address().to_string().into();
}

#[test]
fn two_processes_share_a_socket_and_only_the_old_one_ends() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(2, &record, |_, _| ok(b"ok"))));
    let socket = TcpListener::bind(free_address()).unwrap();
    let folder = folder("two");
    let peers = free_address().to_string();
    let with_console = |c: &mut Value| {
        with_console(c);
        c["peer_listen"] = peers.clone().into();
    };
    let mut old = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    for _ in 0..2 {
        let new = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
        wait_for("the new process is ready", || call_if(&new, "ready").starts_with("done"));
        old.terminate();
        // Whoever comes meanwhile is served by one of them.
        for _ in 0..50 {
            assert_eq!(send_request(new.address, &request("page", 4000)).status(), 200);
        }
        assert!(old.wait_for_exit().success());
        assert_eq!(send_request(new.address, &request("page", 4000)).status(), 200);
        old = new;
    }
    assert!(old.is_running());
}

/// A call to a process that may not listen yet.
fn call_if(node: &Node, line: &str) -> String {
    let there = std::net::TcpStream::connect(node.admin_address()).is_ok();
    if there { node.admin_command(line) } else { String::new() }
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_named_and_ends_the_start() {
    let start = |number: &str, stdin: Stdio, command: &str| {
        let mut start = Command::new("/bin/sh");
        start.args(["-c", command, env!("CARGO_BIN_EXE_wheelpath-node")]).stdin(stdin);
        let output = start.env("LB_INHERITED_FD", number).output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    let plain = "exec \"$0\"";
    for word in ["three", "", "-1", "0", "3 4"] {
        let log = start(word, Stdio::null(), plain);
        assert!(log.contains(&format!("LB_INHERITED_FD: {word:?} is not the number")), "{log}");
    }
    assert!(start("37", Stdio::null(), plain).contains("LB_INHERITED_FD: descriptor 37 is not open"));
    let not_listening = "LB_INHERITED_FD: descriptor 3 is not a listening TCP socket";
    let third = "exec \"$0\" 3<&0 0</dev/null";
    assert!(start("3", Stdio::null(), third).contains(not_listening), "a file");
    let udp = std::net::UdpSocket::bind(loopback(0)).unwrap();
    assert!(start("3", std::os::fd::OwnedFd::from(udp).into(), third).contains(not_listening), "UDP");
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let connected = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let log = start("3", std::os::fd::OwnedFd::from(connected).into(), third);
    assert!(log.contains(not_listening), "a connection: {log}");
    let path = std::env::temp_dir().join(format!("wheelpath-node-test-{}.sock", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let local = std::os::unix::net::UnixListener::bind(&path).unwrap();
    let log = start("3", std::os::fd::OwnedFd::from(local).into(), third);
    let _ = std::fs::remove_file(&path);
    assert!(log.contains(not_listening), "a Unix socket: {log}");
}

/// Three endpoints with a record each, and a discovery that lists them.
fn three_backends() -> (Vec<RequestRecord>, DiscoveryStub) {
    let records: Vec<RequestRecord> = (0..3).map(|_| RequestRecord::default()).collect();
    let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
    (records, DiscoveryStub::start(all_up(&addresses)))
}

fn ask_many(node: &Node, count: usize) {
    (0..count).for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200));
}

#[test]
fn a_disable_outlives_the_process_and_holds_for_both_while_there_are_two() {
    let (records, discovery) = three_backends();
    let socket = TcpListener::bind(free_address()).unwrap();
    let folder = folder("ban");
    let old = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    assert!(old.admin_command("disable-server s-0").starts_with("done"));
    let mut new = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
    wait_for("the new process is ready", || call_if(&new, "ready").starts_with("done"));
    ask_many(&new, 40);
    assert_eq!(records[0].count(), 0, "out of service for both");
    // A call to either reaches the other: only who knows of a call has something to undo.
    for (called, told) in [(&new, &old), (&old, &new)] {
        assert!(called.admin_command("disable-server s-1").starts_with("done out of service"));
        wait_for("the other process knows who is out", || {
            told.admin_command("enable-server s-1").starts_with("done in service")
        });
        wait_for("and that is known back", || {
            called.admin_command("disable-server s-1") == "done out of service\n"
        });
        wait_for("the other process knows that, too", || {
            told.admin_command("enable-server s-1").starts_with("done in service")
        });
    }
    drop(old);
    ask_many(&new, 40);
    assert_eq!(records[0].count(), 0, "still out of service");
    assert!(new.is_running());
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn an_override_that_the_other_process_overwrites_is_applied_all_the_same() {
    let (_, discovery) = three_backends();
    let socket = TcpListener::bind(free_address()).unwrap();
    let folder = folder("overwritten");
    let old = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    let new = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
    wait_for("the new process is ready", || call_if(&new, "ready").starts_with("done"));
    let file = folder.join("node-calls.json");
    assert!(old.admin_command("disable-server s-2").starts_with("done"));
    assert!(new.admin_command("enable-server s-2").starts_with("done in service"));
    // The new process has read the file, is about to write it, and writes what was in it before the call.
    new.while_suspended(|| {
        let before = std::fs::read(&file).unwrap();
        assert!(old.admin_command("disable-server s-1").starts_with("done out of service"));
        std::fs::write(&file, before).unwrap();
    });
    wait_for("the new process knows of the call", || {
        new.admin_command("enable-server s-1").starts_with("done in service")
    });
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_process_starts_with_an_unreadable_state_file() {
    let (_, discovery) = three_backends();
    let folder = folder("garbled");
    for (text, why) in [
        (&b"{\"version\":1,\"pid\":1,\"calls\":"[..], "cannot be used"),
        (b"{\"version\":2}", "not a state file of version 2"),
        (b"node-state 3 00000000\n", "not a state file of version 2"),
        (b"node-state 2 00000000\n{}", "the checksum is wrong"),
        (state::with_checksum("{\"pid\":1}").as_bytes(), "cannot be used"),
        (b"\xff\x00", "cannot be used"),
    ] {
        let socket = TcpListener::bind(free_address()).unwrap();
        for file in ["node-state.json", "node-calls.json"] {
            std::fs::write(folder.join(file), text).unwrap();
        }
        let _ = std::fs::remove_file(folder.join("node-state.json.last"));
        let mut node = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
        wait_for("it is ready", || node.readiness_status() == 200);
        ask_many(&node, 1);
        node.terminate();
        assert!(node.wait_for_exit().success());
        let log = node.log();
        assert!(log.contains("starting without") && log.contains(why), "{log}");
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_terminated_process_with_a_successor_takes_no_new_connections() {
    let (records, discovery) = three_backends();
    let socket = TcpListener::bind(free_address()).unwrap();
    let folder = folder("stop");
    let mut old = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    let mut kept = Client::connect(old.address);
    assert_eq!(kept.send_and_receive(&request("page", 4000)).status(), 200);
    let mut new = Node::launch_inheriting(discovery.address, &socket, &folder, with_console);
    wait_for("the new process is ready", || call_if(&new, "ready").starts_with("done"));
    // The old one may have written its state just as the new one declared itself.
    let file = folder.join("node-state.json");
    let pid_field = |pid: u32| format!("\"pid\":{pid},");
    let named = |pid| std::fs::read_to_string(&file).is_ok_and(|s| s.contains(&pid_field(pid)));
    wait_for("the new process declares itself", || named(new.pid()));
    let text = std::fs::read_to_string(&file).unwrap();
    let draft = folder.join("draft");
    // With the number also the time of its start: that of the new process is in the file.
    state::write_updating_checksum(&draft, &text.replace(&identity(new.pid()), &identity(old.pid())));
    std::fs::rename(draft, &file).unwrap();
    wait_for("the new process declares itself again", || named(new.pid()));
    // Once the old one goes by a call to the new one, unasked, it has seen who serves beside it.
    assert!(new.admin_command("disable-server s-0").starts_with("done"));
    wait_for("the old process knows", || {
        let before = records[0].count();
        (0..20).for_each(|_| assert_eq!(kept.send_and_receive(&request("page", 4000)).status(), 200));
        records[0].count() == before
    });
    old.terminate();
    assert!(old.wait_for_exit().success());
    // On its kept connection the old one said nothing more than goodbye, and the new one serves all that come.
    assert!(kept.read_response().is_none());
    ask_many(&new, 20);
    let log = old.log();
    let met = |pid: u32| format!("handover: process {pid} serves alongside this one");
    assert_eq!(log.matches(&met(new.pid())).count(), 1, "{log}");
    new.terminate();
    assert!(new.wait_for_exit().success());
    let of_new = new.log();
    assert_eq!(of_new.matches(&met(old.pid())).count(), 1, "{of_new}");
    assert!(log.contains("a successor takes new connections"), "{log}");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_process_with_an_older_list_than_its_predecessor_polls_at_once() {
    let (_, discovery) = three_backends();
    let socket = TcpListener::bind(free_address()).unwrap();
    let folder = folder("list");
    let asked = |c: &mut Value| {
        with_console(c);
        c["settings"]["membershipMode"] = "on_request".into();
        // So many that the first call would come after a quarter of an hour by itself.
        c["settings"]["instances"] = 50_000.into();
        c["settings"]["rules"]["mustAskInMs"] = 1e7.into();
        let target = target("s-0", free_address(), "up");
        c["known"] = serde_json::json!({"rev": 3, "all": true, "targets": [target]});
    };
    let first_version = r#"{"version":1,"pid":1,"calls":0,"out":[],"list":LIST,"backends":[]}"#;
    let present = state::with_checksum(r#"{"pid":1,"started":1,"list":4,"servers":[]}"#);
    for (list, behind) in [("3", false), ("null", false), ("4", true), ("present", true)] {
        let text = if list == "present" { present.clone() } else { first_version.replace("LIST", list) };
        std::fs::write(folder.join("node-state.json"), text).unwrap();
        let calls = discovery.call_count();
        let mut node = Node::launch_inheriting(discovery.address, &socket, &folder, asked);
        wait_for("it listens", || node.readiness_status() == 200);
        if behind {
            wait_for("discovery is asked", || discovery.call_count() > calls);
        }
        node.terminate();
        assert!(node.wait_for_exit().success());
        assert_eq!(
            node.log().contains("its endpoint list is newer than the configured one"),
            behind,
            "{list}"
        );
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_thousand_endpoints_and_peers_fit_into_the_smallest_memory() {
    const MANY: usize = 1024;
    let record = RequestRecord::default();
    let address = start_endpoint(&record, |_, _| ok(b"x"));
    // All leave later: one that either process had lost from its list would still be there.
    let mut targets: Vec<_> = (0..MANY).map(|n| target(&format!("s-{n}"), address, "up")).collect();
    let discovery = DiscoveryStub::start(targets.clone());
    let socket = TcpListener::bind(free_address()).unwrap();
    let folder = folder("many");
    let (listen, peers): (_, Vec<String>) = (
        free_address().to_string(),
        (0..MANY).map(|n| format!("127.9.{}.{}:7946", n / 250, n % 250 + 1)).collect(),
    );
    let many = |c: &mut Value| {
        with_console(c);
        c["limits"]["memory_mb"] = 32.into();
        c["settings"]["instances"] = MANY.into();
        c["peer_listen"] = listen.clone().into();
        c["peers"] = peers.clone().into();
    };
    let old = Node::launch_inheriting(discovery.address, &socket, &folder, many);
    wait_for("the old process is ready", || old.readiness_status() == 200);
    assert!(old.admin_command(&format!("disable-server s-{}", MANY - 1)).starts_with("done"));
    wait_for("the state names all of them", || {
        let state = std::fs::read_to_string(folder.join("node-state.json")).unwrap_or_default();
        state.matches("\"served\"").count() == MANY
    });
    let mut new = Node::launch_inheriting(discovery.address, &socket, &folder, many);
    wait_for("the new process is ready", || call_if(&new, "ready").starts_with("done"));
    for _ in 0..20 {
        assert_eq!(send_request(new.address, &request("page", 4000)).status(), 200);
    }
    targets.iter_mut().for_each(|target| target["state"] = "draining".into());
    discovery.set(targets);
    let nobody = |node: &Node| node.admin_command("ready").starts_with("error");
    wait_for("nobody is left but the one out of service", || nobody(&old) && nobody(&new));
    let (old_kb, new_kb) = (old.resident_memory_kb(), new.resident_memory_kb());
    assert!(old_kb + new_kb < 32 * 1024, "{old_kb} and {new_kb} KB");
    println!("{old_kb} and {new_kb} KB at {MANY} servers and peers");
    drop(old);
    new.terminate();
    assert!(new.wait_for_exit().success());
    let log = new.log();
    assert!(
        log.contains(&format!("{MANY} servers")) && log.contains("1 out of service by earlier commands"),
        "{log}"
    );
    let _ = std::fs::remove_dir_all(folder);
}
