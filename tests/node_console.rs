//! The operators' console: what it answers, to whom, and what a drain does.
mod node;

use node::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A node with a console and backends that say "ok".
fn start(backends_up: usize) -> (Node, Record) {
    let record = Record::default();
    let discovery = Discovery::start(all_up(&backends(backends_up, &record, |_, _| ok(b"ok"))));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    (node, record)
}

#[test]
fn a_call_is_one_line_and_so_is_its_answer() {
    let (node, _) = start(1);
    for line in ["ready", "  ready  ", "ready\r", "ready\nready"] {
        assert_eq!(node.call(line), "done takes clients\n", "{line:?}");
    }
}

#[test]
fn a_node_with_nobody_to_send_to_is_not_ready() {
    let discovery = Discovery::start(Vec::new());
    let change = |c: &mut serde_json::Value| c["console"] = free_address().to_string().into();
    let node = Node::launch(discovery.address, change, "exec \"$0\"");
    wait_for("the console is there", || TcpStream::connect(node.console()).is_ok());
    assert_eq!(node.call("ready"), "error takes no clients\n");
}

#[test]
fn what_is_no_call_gets_one_line_that_says_why() {
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
        let answer = call(node.console(), bytes);
        assert!(answer.starts_with("error "), "{answer:?}");
        assert!(answer.contains(why), "{answer:?} does not say {why:?}");
        assert_eq!(answer.matches('\n').count(), 1, "{answer:?}");
    }
    assert_eq!(node.up(), 200);
}

#[test]
fn callers_that_say_nothing_do_not_keep_others_out() {
    let (node, _) = start(1);
    let mut silent: Vec<_> = (0..100).map(|_| TcpStream::connect(node.console()).unwrap()).collect();
    silent.iter_mut().for_each(|s| s.write_all(b"rea").unwrap());
    assert_eq!(node.call("ready"), "done takes clients\n");
    assert!(node.descriptors() < 60, "{} descriptors", node.descriptors());
    // The last of them is still there and may finish its call.
    let mut last = silent.pop().unwrap();
    last.write_all(b"dy\n").unwrap();
    let mut answer = String::new();
    last.set_read_timeout(Some(PATIENCE)).unwrap();
    last.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "done takes clients\n");
}

#[test]
fn a_node_without_a_console_listens_nowhere_else() {
    let record = Record::default();
    let discovery = Discovery::start(all_up(&backends(1, &record, |_, _| ok(b"ok"))));
    let console = free_address();
    let _node = Node::start(discovery.address, |_| {});
    assert!(TcpStream::connect(console).is_err());
}

#[test]
fn a_console_that_cannot_be_bound_ends_the_start_with_its_name() {
    let discovery = Discovery::start(Vec::new());
    let taken = std::net::TcpListener::bind(loopback(0)).unwrap();
    for (value, why) in [
        (taken.local_addr().unwrap().to_string(), "console: 127.0.0.1:"),
        ("nowhere".to_owned(), "console: \"nowhere\" is not an address and port"),
    ] {
        let mut node = Node::launch(discovery.address, |c| c["console"] = value.into(), "exec \"$0\"");
        assert!(!node.ended().success());
        let log = node.log();
        assert!(log.contains(why), "{log}");
    }
}

#[test]
fn a_drained_node_sends_clients_away_and_takes_them_again() {
    let (mut node, record) = start(2);
    let mut idle = Client::connect(node.address);
    let mut used = Client::connect(node.address);
    assert_eq!(idle.ask(&request("page", 4000)).status(), 200);
    assert_eq!(used.ask(&request("page", 4000)).header("connection"), None);
    for _ in 0..2 {
        assert!(node.call("drain").starts_with("done "));
        assert_eq!(node.up(), 503);
    }
    assert_eq!(node.call("ready"), "error takes no clients\n");
    // What is asked on an open connection is answered, and the connection ends with it.
    let last = used.ask(&request("page", 4000));
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    assert!(used.answer().is_none());
    // So does one that asks nothing more.
    assert!(idle.answer().is_none(), "an idle connection is closed");
    // Who comes all the same is served.
    assert_eq!(ask(node.address, &request("page", 4000)).status(), 200);
    for _ in 0..2 {
        assert!(node.call("resume").starts_with("done "));
        assert_eq!(node.up(), 200);
    }
    let mut kept = Client::connect(node.address);
    assert_eq!(kept.ask(&request("page", 4000)).header("connection"), None);
    assert_eq!(kept.ask(&request("page", 4000)).status(), 200);
    assert_eq!(record.count(), 6);
    assert!(node.call("drain").starts_with("done "));
    node.terminate();
    assert!(node.ended().success(), "a drained node ends as any other does");
}

#[test]
fn a_request_under_way_is_answered_through_a_drain() {
    let record = Record::default();
    let rest = Duration::from_millis(1200);
    let slow = move |_, _: &Message| Act::SayAndThen(Vec::new(), rest, reply("200 OK", "", b"late"));
    let discovery = Discovery::start(all_up(&backends(1, &record, slow)));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    let mut client = Client::connect(node.address);
    client.send(&request("page", 4000));
    wait_for("it is under way", || record.count() == 1);
    assert!(node.call("drain").starts_with("done "));
    assert_eq!(client.answer().unwrap().body, b"late");
}

/// A node and its backends, named s-0, s-1, ..., each with a record of its own.
struct Site {
    node: Node,
    records: Vec<Record>,
    discovery: Discovery,
    addresses: Vec<std::net::SocketAddr>,
}

fn start_apart(count: usize) -> Site {
    let records: Vec<Record> = (0..count).map(|_| Record::default()).collect();
    let addresses: Vec<_> = records.iter().map(|r| backend(r, |_, _| ok(b"ok"))).collect();
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["console"] = free_address().to_string().into());
    Site { node, records, discovery, addresses }
}

#[test]
fn a_disabled_server_gets_nothing_until_it_is_enabled_whatever_the_list_says() {
    let Site { node, records, discovery, addresses } = start_apart(2);
    let asked =
        |n: usize| (0..n).for_each(|_| assert_eq!(ask(node.address, &request("page", 4000)).status(), 200));
    wait_for("both are asked", || {
        asked(1);
        records.iter().all(|r| r.count() > 0)
    });
    for _ in 0..2 {
        assert!(node.call("disable-server s-0").starts_with("done "));
    }
    wait_for("its idle connections are closed", || records[0].open_now() == 0);
    let before = records[0].count();
    let calls = discovery.calls();
    discovery.set(vec![target("s-1", addresses[1], "up")]);
    discovery.set(all_up(&addresses));
    wait_for("the list is taken", || discovery.calls() > calls + 1);
    asked(50);
    assert_eq!(records[0].count(), before, "asked though out of service");
    // One call back undoes both.
    assert_eq!(node.call("enable-server s-0"), "done in service again, cold\n");
    wait_for("it is asked again", || {
        asked(1);
        records[0].count() > before
    });
    assert_eq!(node.call("enable-server s-0"), "done was not out of service\n");
}

#[test]
fn an_id_that_nobody_has_named_is_an_error_and_one_out_of_service_is_not() {
    let Site { node, discovery, addresses, .. } = start_apart(2);
    for line in ["disable-server s-7", "enable-server s-7", "disable-server S-0"] {
        assert_eq!(node.call(line), "error no server of this id is on the list or out of service\n");
    }
    assert!(node.call("disable-server s-0").starts_with("done "));
    let calls = discovery.calls();
    discovery.set(vec![target("s-1", addresses[1], "up")]);
    wait_for("the list is taken", || discovery.calls() > calls);
    // The list has forgotten it, the node has not.
    assert!(node.call("enable-server s-0").starts_with("done "));
    assert!(node.call("enable-server s-0").starts_with("error "));
}

#[test]
fn a_node_with_every_server_out_of_service_takes_no_clients() {
    let Site { node, .. } = start_apart(1);
    assert!(node.call("disable-server s-0").starts_with("done "));
    assert_eq!((node.up(), node.call("ready").as_str()), (503, "error takes no clients\n"));
    assert_eq!(ask(node.address, &request("page", 4000)).status(), 503, "refused, not held");
}

#[test]
fn who_is_slow_with_a_head_is_still_answered_by_a_node_that_is_leaving() {
    let (mut node, record) = start(1);
    let bytes = request("page", 4000);
    let halves: Vec<_> = bytes.chunks(bytes.len() / 2 + 1).collect();
    let begin = |node: &Node, asked: bool| {
        let mut client = Client::connect(node.address);
        if asked {
            assert_eq!(client.ask(&request("page", 4000)).status(), 200);
        }
        client.send(halves[0]);
        client
    };
    let end = |mut client: Client, what: &str| {
        // Longer than idle connections are left open.
        std::thread::sleep(Duration::from_millis(1500));
        client.send(halves[1]);
        let answer = client.answer().expect(what);
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")), "{what}");
    };
    for asked in [false, true] {
        let client = begin(&node, asked);
        assert!(node.call("drain").starts_with("done "));
        end(client, "drained");
        assert!(node.call("resume").starts_with("done "));
    }
    let client = begin(&node, true);
    node.terminate();
    end(client, "told to stop");
    assert!(node.ended().success());
    assert_eq!(record.count(), 5);
}

#[test]
fn calls_are_answered_beside_clients_that_hold_every_place_and_the_limit_holds() {
    let record = Record::default();
    let silent = backends(12, &record, |_, _| Act::Silent);
    let discovery = Discovery::start(all_up(&silent));
    let node = Node::start(discovery.address, |c| {
        c["console"] = free_address().to_string().into();
        c["limits"]["sockets"] = 96.into();
    });
    // Each of these takes two places: its own and that of the attempt made for it.
    let mut clients: Vec<_> = (0..60).filter_map(|_| Client::try_connect(node.address)).collect();
    clients.iter_mut().for_each(|c| assert!(c.send(&request("page", 4000))));
    wait_for("they hold what there is", || record.open_now() >= 24);
    let mut silent = Vec::new();
    for _ in 0..40 {
        silent.push(TcpStream::connect(node.console()).unwrap());
        assert_eq!(node.call("ready"), "done takes clients\n");
        assert!(node.descriptors() <= 96, "{} descriptors", node.descriptors());
    }
}
