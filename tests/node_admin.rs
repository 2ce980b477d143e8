//! The operators' console: what it answers, to whom, and what a drain does.
mod node;

use node::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A node with a console and endpoints that say "ok".
fn start(backends_up: usize) -> (Node, RequestRecord) {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(backends_up, &record, |_, _| ok(b"ok"))));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    (node, record)
}

#[test]
fn an_admin_command_and_its_answer_are_one_line_each() {
    let (node, _) = start(1);
    for line in ["ready", "  ready  ", "ready\r", "ready\nready"] {
        assert_eq!(node.admin_command(line), "done takes clients\n", "{line:?}");
    }
}

#[test]
fn a_node_without_usable_endpoints_is_not_ready() {
    let discovery = DiscoveryStub::start(Vec::new());
    let change = |c: &mut serde_json::Value| c["console"] = free_address().to_string().into();
    let node = Node::launch(discovery.address, change, "exec \"$0\"");
    wait_for("the console is there", || TcpStream::connect(node.admin_address()).is_ok());
    assert_eq!(node.admin_command("ready"), "error takes no clients\n");
}

#[test]
fn an_invalid_admin_command_gets_one_line_that_says_why() {
    let (node, _) = start(1);
    let long = "x".repeat(300);
    for (bytes, why) in [
        (&b"\n"[..], "the line is empty"),
        (b"READY\n", "unknown call \"READY\""),
        (b"ready now\n", "words too many behind ready"),
        (b"disable-server\n", "disable-server wants the id of a server"),
        (b"enable-server \n", "enable-server wants the id of a server"),
        (b"enable-server a b\n", "words too many behind enable-server ID"),
        (b"ready \xff\xfe\n", "the line is not text"),
        (b"ready\0\n", "the line is not text"),
        (long.as_bytes(), "the line is longer than 256 bytes"),
        (b"read", "no whole line came"),
        (b"", "no whole line came"),
    ] {
        let answer = admin_command(node.admin_address(), bytes);
        assert!(answer.starts_with("error "), "{answer:?}");
        assert!(answer.contains(why), "{answer:?} does not say {why:?}");
        assert_eq!(answer.matches('\n').count(), 1, "{answer:?}");
    }
    assert_eq!(node.readiness_status(), 200);
}

#[test]
fn silent_admin_connections_do_not_lock_others_out() {
    let (node, _) = start(1);
    let mut silent: Vec<_> = (0..100).map(|_| TcpStream::connect(node.admin_address()).unwrap()).collect();
    silent.iter_mut().for_each(|s| s.write_all(b"rea").unwrap());
    assert_eq!(node.admin_command("ready"), "done takes clients\n");
    assert!(node.descriptor_count() < 60, "{} descriptors", node.descriptor_count());
    // The last of them is still there and may finish its call.
    let mut last = silent.pop().unwrap();
    last.write_all(b"dy\n").unwrap();
    let mut answer = String::new();
    last.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    last.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "done takes clients\n");
}

#[test]
fn a_node_without_an_admin_address_listens_for_clients_only() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(1, &record, |_, _| ok(b"ok"))));
    let console = free_address();
    let _node = Node::start(discovery.address, |_| {});
    assert!(TcpStream::connect(console).is_err());
}

#[test]
fn an_admin_address_that_cannot_be_bound_is_named_and_ends_the_start() {
    let discovery = DiscoveryStub::start(Vec::new());
    let taken = std::net::TcpListener::bind(loopback(0)).unwrap();
    for (value, why) in [
        (taken.local_addr().unwrap().to_string(), "console: 127.0.0.1:"),
        ("nowhere".to_owned(), "console: \"nowhere\" is not an address and port"),
    ] {
        let mut node = Node::launch(discovery.address, |c| c["console"] = value.into(), "exec \"$0\"");
        assert!(!node.wait_for_exit().success());
        let log = node.log();
        assert!(log.contains(why), "{log}");
    }
}

#[test]
fn a_drained_node_closes_connections_until_it_resumes() {
    let (mut node, record) = start(2);
    let mut idle = Client::connect(node.address);
    let mut used = Client::connect(node.address);
    assert_eq!(idle.send_and_receive(&request("page", 4000)).status(), 200);
    assert_eq!(used.send_and_receive(&request("page", 4000)).header("connection"), None);
    for _ in 0..2 {
        assert!(node.admin_command("drain").starts_with("done "));
        assert_eq!(node.readiness_status(), 503);
    }
    assert_eq!(node.admin_command("ready"), "error takes no clients\n");
    // What is asked on an open connection is answered, and the connection ends with it.
    let last = used.send_and_receive(&request("page", 4000));
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    assert!(used.read_response().is_none());
    // So does one that asks nothing more.
    assert!(idle.read_response().is_none(), "an idle connection is closed");
    // Who comes all the same is served.
    assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200);
    for _ in 0..2 {
        assert!(node.admin_command("resume").starts_with("done "));
        assert_eq!(node.readiness_status(), 200);
    }
    let mut kept = Client::connect(node.address);
    assert_eq!(kept.send_and_receive(&request("page", 4000)).header("connection"), None);
    assert_eq!(kept.send_and_receive(&request("page", 4000)).status(), 200);
    assert_eq!(record.count(), 6);
    assert!(node.admin_command("drain").starts_with("done "));
    node.terminate();
    assert!(node.wait_for_exit().success(), "a drained node ends as any other does");
}

#[test]
fn a_request_in_progress_is_answered_during_a_drain() {
    let record = RequestRecord::default();
    let rest = Duration::from_millis(1200);
    let slow = move |_, _: &Message| {
        ScriptedResponse::SendInTwoParts(Vec::new(), rest, response("200 OK", "", b"late"))
    };
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(1, &record, slow)));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    let mut client = Client::connect(node.address);
    client.send(&request("page", 4000));
    wait_for("it is under way", || record.count() == 1);
    assert!(node.admin_command("drain").starts_with("done "));
    assert_eq!(client.read_response().unwrap().body, b"late");
}

/// A node and its endpoints, named s-0, s-1, ..., each with a record of its own.
struct Site {
    node: Node,
    records: Vec<RequestRecord>,
    discovery: DiscoveryStub,
    addresses: Vec<std::net::SocketAddr>,
}

fn start_apart(count: usize) -> Site {
    let records: Vec<RequestRecord> = (0..count).map(|_| RequestRecord::default()).collect();
    let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    Site { node, records, discovery, addresses }
}

#[test]
fn a_disabled_endpoint_gets_nothing_until_it_is_enabled() {
    let Site { node, records, discovery, addresses } = start_apart(2);
    let asked = |n: usize| {
        (0..n).for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200))
    };
    wait_for("both are asked", || {
        asked(1);
        records.iter().all(|r| r.count() > 0)
    });
    for _ in 0..2 {
        assert!(node.admin_command("disable-server s-0").starts_with("done "));
    }
    wait_for("its idle connections are closed", || records[0].open_connections() == 0);
    let before = records[0].count();
    let calls = discovery.call_count();
    discovery.set(vec![target("s-1", addresses[1], "up")]);
    discovery.set(all_up(&addresses));
    wait_for("the list is taken", || discovery.call_count() > calls + 1);
    asked(50);
    assert_eq!(records[0].count(), before, "asked though out of service");
    // One call back undoes both.
    assert_eq!(node.admin_command("enable-server s-0"), "done in service again, cold\n");
    wait_for("it is asked again", || {
        asked(1);
        records[0].count() > before
    });
    assert_eq!(node.admin_command("enable-server s-0"), "done was not out of service\n");
}

#[test]
fn an_unknown_endpoint_is_an_error_and_a_disabled_one_is_not() {
    let Site { node, discovery, addresses, .. } = start_apart(2);
    for line in ["disable-server s-7", "enable-server s-7", "disable-server S-0"] {
        assert_eq!(
            node.admin_command(line),
            "error no server of this id is on the list or out of service\n"
        );
    }
    assert!(node.admin_command("disable-server s-0").starts_with("done "));
    let calls = discovery.call_count();
    discovery.set(vec![target("s-1", addresses[1], "up")]);
    wait_for("the list is taken", || discovery.call_count() > calls);
    // The list has forgotten it, the node has not.
    assert!(node.admin_command("enable-server s-0").starts_with("done "));
    assert!(node.admin_command("enable-server s-0").starts_with("error "));
}

#[test]
fn a_node_with_all_endpoints_disabled_is_not_ready() {
    let Site { node, .. } = start_apart(1);
    assert!(node.admin_command("disable-server s-0").starts_with("done "));
    assert_eq!(
        (node.readiness_status(), node.admin_command("ready").as_str()),
        (503, "error takes no clients\n")
    );
    assert_eq!(send_request(node.address, &request("page", 4000)).status(), 503, "refused, not held");
}

#[test]
fn a_slow_request_head_is_answered_during_a_drain() {
    let (mut node, record) = start(1);
    let bytes = request("page", 4000);
    let halves: Vec<_> = bytes.chunks(bytes.len() / 2 + 1).collect();
    let begin = |node: &Node, asked: bool| {
        let mut client = Client::connect(node.address);
        if asked {
            assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200);
        }
        client.send(halves[0]);
        client
    };
    let end = |mut client: Client, what: &str| {
        // Longer than idle connections are left open.
        std::thread::sleep(Duration::from_millis(1500));
        client.send(halves[1]);
        let answer = client.read_response().expect(what);
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")), "{what}");
    };
    for asked in [false, true] {
        let client = begin(&node, asked);
        assert!(node.admin_command("drain").starts_with("done "));
        end(client, "drained");
        assert!(node.admin_command("resume").starts_with("done "));
    }
    let client = begin(&node, true);
    node.terminate();
    end(client, "told to stop");
    assert!(node.wait_for_exit().success());
    assert_eq!(record.count(), 5);
}

#[test]
fn admin_commands_are_answered_at_the_descriptor_limit() {
    let record = RequestRecord::default();
    let silent = start_endpoints(12, &record, |_, _| ScriptedResponse::Silent);
    let discovery = DiscoveryStub::start(all_up(&silent));
    let node = Node::start(discovery.address, |c| {
        c["console"] = free_address().to_string().into();
        c["limits"]["sockets"] = 96.into();
    });
    // Each of these takes two places: its own and that of the attempt made for it.
    let mut clients: Vec<_> = (0..60).filter_map(|_| Client::try_connect(node.address)).collect();
    clients.iter_mut().for_each(|c| assert!(c.send(&request("page", 4000))));
    wait_for("they hold what there is", || record.open_connections() >= 24);
    let mut silent = Vec::new();
    for _ in 0..40 {
        silent.push(TcpStream::connect(node.admin_address()).unwrap());
        assert_eq!(node.admin_command("ready"), "done takes clients\n");
        assert!(node.descriptor_count() <= 96, "{} descriptors", node.descriptor_count());
    }
}
