//! Admin commands: their format and answers, and the effects of drain, resume, disable and enable.
mod node;

use node::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Starts a node with an admin address, and `endpoint_count` endpoints that answer 200.
fn start_node(endpoint_count: usize) -> (Node, RequestRecord) {
    let record = RequestRecord::default();
    let discovery =
        DiscoveryStub::start(all_up(&start_endpoints(endpoint_count, &record, |_, _| ok(b"ok"))));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    (node, record)
}

#[test]
fn an_admin_command_and_its_answer_are_one_line_each() {
    let (node, _) = start_node(1);
    for line in ["ready", "  ready  ", "ready\r", "ready\nready"] {
        assert_eq!(node.admin_command(line), "done takes clients\n", "{line:?}");
    }
}

#[test]
fn a_node_without_usable_endpoints_is_not_ready() {
    let discovery = DiscoveryStub::start(Vec::new());
    let set_admin_address = |c: &mut serde_json::Value| c["console"] = free_address().to_string().into();
    let node = Node::launch(discovery.address, set_admin_address, "exec \"$0\"");
    wait_for("the admin address accepts connections", || TcpStream::connect(node.admin_address()).is_ok());
    assert_eq!(node.admin_command("ready"), "error takes no clients\n");
}

#[test]
fn an_invalid_admin_command_gets_one_line_that_says_why() {
    let (node, _) = start_node(1);
    let long = "x".repeat(300);
    for (bytes, reason) in [
        (&b"\n"[..], "the line is empty"),
        (b"READY\n", "unknown command \"READY\""),
        (b"ready now\n", "too many words after ready"),
        (b"disable-server\n", "disable-server needs the id of a server"),
        (b"enable-server \n", "enable-server needs the id of a server"),
        (b"enable-server a b\n", "too many words after enable-server ID"),
        (b"ready \xff\xfe\n", "the line is not text"),
        (b"ready\0\n", "the line is not text"),
        (long.as_bytes(), "the line is longer than 256 bytes"),
        (b"read", "no complete line was received"),
        (b"", "no complete line was received"),
    ] {
        let answer = admin_command(node.admin_address(), bytes);
        assert!(answer.starts_with("error "), "{answer:?}");
        assert!(answer.contains(reason), "{answer:?} does not say {reason:?}");
        assert_eq!(answer.matches('\n').count(), 1, "{answer:?}");
    }
    assert_eq!(node.readiness_status(), 200);
}

/// Guards against admin connections that send half a command and use up the descriptors for admin commands.
#[test]
fn silent_admin_connections_do_not_lock_others_out() {
    let (node, _) = start_node(1);
    let mut silent: Vec<_> = (0..100).map(|_| TcpStream::connect(node.admin_address()).unwrap()).collect();
    silent.iter_mut().for_each(|s| s.write_all(b"rea").unwrap());
    assert_eq!(node.admin_command("ready"), "done takes clients\n");
    assert!(node.descriptor_count() < 60, "{} descriptors", node.descriptor_count());
    // The newest silent connection is still open and can complete its command.
    let mut newest = silent.pop().unwrap();
    newest.write_all(b"dy\n").unwrap();
    let mut answer = String::new();
    newest.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    newest.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "done takes clients\n");
}

#[test]
fn a_node_without_an_admin_address_listens_for_clients_only() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(1, &record, |_, _| ok(b"ok"))));
    let unused = free_address();
    let _node = Node::start(discovery.address, |_| {});
    assert!(TcpStream::connect(unused).is_err());
}

#[test]
fn an_admin_address_that_cannot_be_bound_is_named_and_ends_the_start() {
    let discovery = DiscoveryStub::start(Vec::new());
    let taken = std::net::TcpListener::bind(loopback(0)).unwrap();
    for (value, reason) in [
        (taken.local_addr().unwrap().to_string(), "console: 127.0.0.1:"),
        ("nowhere".to_owned(), "console: \"nowhere\" is not an address and port"),
    ] {
        let mut node = Node::launch(discovery.address, |c| c["console"] = value.into(), "exec \"$0\"");
        assert!(!node.wait_for_exit().success());
        let log = node.log();
        assert!(log.contains(reason), "{log}");
    }
}

#[test]
fn a_drained_node_closes_connections_until_it_resumes() {
    let (mut node, record) = start_node(2);
    let mut idle = Client::connect(node.address);
    let mut active = Client::connect(node.address);
    assert_eq!(idle.send_and_receive(&request("page", 4000)).status(), 200);
    assert_eq!(active.send_and_receive(&request("page", 4000)).header("connection"), None);
    for _ in 0..2 {
        assert!(node.admin_command("drain").starts_with("done "));
        assert_eq!(node.readiness_status(), 503);
    }
    assert_eq!(node.admin_command("ready"), "error takes no clients\n");
    // A request on an open connection is answered, and the connection is closed after the response.
    let last = active.send_and_receive(&request("page", 4000));
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    assert!(active.read_response().is_none());
    // A connection without a further request is closed, too.
    assert!(idle.read_response().is_none(), "the idle connection must be closed");
    // A client that connects in spite of the drain is served.
    assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200);
    for _ in 0..2 {
        assert!(node.admin_command("resume").starts_with("done "));
        assert_eq!(node.readiness_status(), 200);
    }
    let mut reused = Client::connect(node.address);
    assert_eq!(reused.send_and_receive(&request("page", 4000)).header("connection"), None);
    assert_eq!(reused.send_and_receive(&request("page", 4000)).status(), 200);
    assert_eq!(record.count(), 6);
    assert!(node.admin_command("drain").starts_with("done "));
    node.terminate();
    assert!(node.wait_for_exit().success(), "a drained node must end like any other after SIGTERM");
}

#[test]
fn a_request_in_progress_is_answered_during_a_drain() {
    let record = RequestRecord::default();
    let delay = Duration::from_millis(1200);
    let late_response = move |_, _: &Message| {
        ScriptedResponse::SendInTwoParts(Vec::new(), delay, response("200 OK", "", b"late"))
    };
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(1, &record, late_response)));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    let mut client = Client::connect(node.address);
    client.send(&request("page", 4000));
    wait_for("the request is in progress", || record.count() == 1);
    assert!(node.admin_command("drain").starts_with("done "));
    assert_eq!(client.read_response().unwrap().body, b"late");
}

/// A running node and its endpoints s-0, s-1 and so on, each with a request record of its own.
struct Fixture {
    node: Node,
    records: Vec<RequestRecord>,
    discovery: DiscoveryStub,
    addresses: Vec<std::net::SocketAddr>,
}

fn start_with_separate_records(endpoint_count: usize) -> Fixture {
    let records: Vec<RequestRecord> = (0..endpoint_count).map(|_| RequestRecord::default()).collect();
    let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    Fixture { node, records, discovery, addresses }
}

/// Disabling an endpoint twice, and a list that drops the endpoint and names it again, must not enable it.
#[test]
fn a_disabled_endpoint_gets_nothing_until_it_is_enabled() {
    let Fixture { node, records, discovery, addresses } = start_with_separate_records(2);
    let send_pages = |count: usize| {
        (0..count)
            .for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200))
    };
    wait_for("both endpoints have received requests", || {
        send_pages(1);
        records.iter().all(|r| r.count() > 0)
    });
    for _ in 0..2 {
        assert!(node.admin_command("disable-server s-0").starts_with("done "));
    }
    wait_for("the idle connections to the disabled endpoint are closed", || {
        records[0].open_connections() == 0
    });
    let before = records[0].count();
    let calls = discovery.call_count();
    discovery.set(vec![target("s-1", addresses[1], "up")]);
    discovery.set(all_up(&addresses));
    wait_for("the node has received the new list", || discovery.call_count() > calls + 1);
    send_pages(50);
    assert_eq!(records[0].count(), before, "requests were sent to a disabled endpoint");
    // One enable command undoes both disable commands.
    assert_eq!(node.admin_command("enable-server s-0"), "done in service again, cold\n");
    wait_for("the enabled endpoint receives requests again", || {
        send_pages(1);
        records[0].count() > before
    });
    assert_eq!(node.admin_command("enable-server s-0"), "done was not out of service\n");
}

#[test]
fn an_unknown_endpoint_is_an_error_and_a_disabled_one_is_not() {
    let Fixture { node, discovery, addresses, .. } = start_with_separate_records(2);
    for line in ["disable-server s-7", "enable-server s-7", "disable-server S-0"] {
        assert_eq!(
            node.admin_command(line),
            "error no server with this id is on the list or out of service\n"
        );
    }
    assert!(node.admin_command("disable-server s-0").starts_with("done "));
    let calls = discovery.call_count();
    discovery.set(vec![target("s-1", addresses[1], "up")]);
    wait_for("the node has received the new list", || discovery.call_count() > calls);
    // The list no longer has the endpoint, but the node still knows that it is disabled.
    assert!(node.admin_command("enable-server s-0").starts_with("done "));
    assert!(node.admin_command("enable-server s-0").starts_with("error "));
}

#[test]
fn a_node_with_all_endpoints_disabled_is_not_ready() {
    let Fixture { node, .. } = start_with_separate_records(1);
    assert!(node.admin_command("disable-server s-0").starts_with("done "));
    assert_eq!(
        (node.readiness_status(), node.admin_command("ready").as_str()),
        (503, "error takes no clients\n")
    );
    assert_eq!(
        send_request(node.address, &request("page", 4000)).status(),
        503,
        "the request must be rejected, not queued"
    );
}

/// A connection on which part of a request has arrived is not idle: a drain or SIGTERM that closes it as idle would
/// lose the request. The rounds send that request on a new connection and on a reused one.
#[test]
fn a_slow_request_head_is_answered_during_a_drain() {
    let (mut node, record) = start_node(1);
    let bytes = request("page", 4000);
    let halves: Vec<_> = bytes.chunks(bytes.len() / 2 + 1).collect();
    let send_first_half = |node: &Node, after_a_request: bool| {
        let mut client = Client::connect(node.address);
        if after_a_request {
            assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200);
        }
        client.send(halves[0]);
        client
    };
    let complete = |mut client: Client, state: &str| {
        // Longer than a drained or terminated node leaves idle connections open.
        std::thread::sleep(Duration::from_millis(1500));
        client.send(halves[1]);
        let response = client.read_response().expect(state);
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")), "{state}");
    };
    for after_a_request in [false, true] {
        let client = send_first_half(&node, after_a_request);
        assert!(node.admin_command("drain").starts_with("done "));
        complete(client, "drained");
        assert!(node.admin_command("resume").starts_with("done "));
    }
    let client = send_first_half(&node, true);
    node.terminate();
    complete(client, "terminated");
    assert!(node.wait_for_exit().success());
    assert_eq!(record.count(), 5);
}

/// Requests in progress hold all descriptors that they may have, and silent admin connections are open as well.
#[test]
fn admin_commands_are_answered_at_the_descriptor_limit() {
    let record = RequestRecord::default();
    let silent_endpoints = start_endpoints(12, &record, |_, _| ScriptedResponse::Silent);
    let discovery = DiscoveryStub::start(all_up(&silent_endpoints));
    let node = Node::start(discovery.address, |c| {
        c["console"] = free_address().to_string().into();
        c["limits"]["sockets"] = 96.into();
    });
    // Each request takes two descriptors: one for the client's connection and one for the attempt's.
    let mut clients: Vec<_> = (0..60).filter_map(|_| Client::try_connect(node.address)).collect();
    clients.iter_mut().for_each(|c| assert!(c.send(&request("page", 4000))));
    wait_for("attempts hold all descriptors meant for clients", || record.open_connections() >= 24);
    let mut silent_admins = Vec::new();
    for _ in 0..40 {
        silent_admins.push(TcpStream::connect(node.admin_address()).unwrap());
        assert_eq!(node.admin_command("ready"), "done takes clients\n");
        assert!(node.descriptor_count() <= 96, "{} descriptors", node.descriptor_count());
    }
}
