//! Two things at one moment: a signal, a close, an answer or a time-out meets a request between two of its steps.
mod node;

use node::*;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;

/// A node before `count` backends that act by `script`.
fn start(
    count: usize,
    script: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
) -> (Node, Record, Discovery) {
    let record = Record::default();
    let addresses = backends(count, &record, script);
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    (node, record, discovery)
}

/// Sees that a node which was told to stop ends by itself.
fn ends(mut node: Node) -> String {
    assert!(node.ended().success());
    node.log()
}

#[test]
fn a_request_on_a_resting_connection_that_meets_the_notice_to_stop_is_answered() {
    let (node, record, _discovery) = start(1, |_, _| ok(b"x"));
    let mut resting: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
    for client in &mut resting {
        assert_eq!(client.ask(&request("bid", 900)).status(), 200);
    }
    node.frozen(|| {
        for client in &mut resting {
            assert!(client.send(&request("bid", 900)));
        }
        node.terminate();
    });
    for client in &mut resting {
        assert_eq!(client.answer().map(|m| m.status()), Some(200));
    }
    ends(node);
    assert_eq!(record.count(), 16);
}

#[test]
fn a_request_that_comes_before_its_resting_connection_is_due_is_answered_however_late_that_is_seen() {
    for _ in 0..3 {
        let (node, _record, _discovery) = start(1, |_, _| ok(b"x"));
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
        for client in &mut clients {
            assert_eq!(client.ask(&request("bid", 900)).status(), 200);
        }
        node.frozen(|| {
            for client in &mut clients {
                assert!(client.send(&request("bid", 900)));
            }
            // Longer than a connection may rest, and longer than who waits has another look's time.
            thread::sleep(Duration::from_millis(2600));
        });
        let statuses: Vec<u16> =
            clients.iter_mut().filter_map(|c| c.answer()).map(|m| m.status()).collect();
        assert_eq!(statuses, [200; 8]);
    }
}

#[test]
fn who_connects_at_the_moment_of_the_notice_to_stop_is_answered() {
    let (node, _record, _discovery) = start(1, |_, _| ok(b"x"));
    let mut clients = node.frozen(|| {
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
        node.terminate();
        for client in &mut clients {
            assert!(client.send(&request("bid", 900)));
        }
        clients
    });
    for client in &mut clients {
        assert_eq!(client.answer().map(|m| m.status()), Some(200));
    }
    ends(node);
}

#[test]
fn who_connects_while_a_node_that_is_told_to_stop_has_no_turn_is_answered() {
    for _ in 0..4 {
        let (node, _record, _discovery) = start(1, |_, _| ok(b"x"));
        node.terminate();
        // From its notice on every answer closes its connection.
        wait_for("it has heard", || {
            let up = Client::connect(node.address).ask(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n");
            up.header("connection") == Some("close")
        });
        let mut clients = node.frozen(|| {
            let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
            for client in &mut clients {
                assert!(client.send(&request("page", 4000)));
            }
            // Longer than new connections are waited for.
            thread::sleep(Duration::from_millis(1700));
            clients
        });
        let statuses: Vec<u16> =
            clients.iter_mut().filter_map(|c| c.answer()).map(|m| m.status()).collect();
        assert_eq!(statuses, [200; 8]);
        ends(node);
    }
}

#[test]
fn a_request_of_which_half_is_read_at_the_notice_to_stop_is_answered() {
    // Cut in the head and in the body.
    for cut in [20, 170] {
        let (node, _record, _discovery) = start(1, |_, _| ok(b"x"));
        let mut client = Client::connect(node.address);
        assert_eq!(client.ask(&request("bid", 900)).status(), 200);
        let bytes = request("bid", 900);
        let (first, rest) = bytes.split_at(cut.min(bytes.len() - 2));
        assert!(client.send(first));
        assert_eq!(node.up(), 200, "it has had a turn to read that in");
        node.frozen(|| {
            node.terminate();
            assert!(client.send(rest));
        });
        assert_eq!(client.answer().map(|m| m.status()), Some(200), "cut at {cut}");
        ends(node);
    }
}

#[test]
fn what_is_in_flight_or_repeated_at_the_notice_to_stop_gets_its_one_answer() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    // Each request's first attempt fails once the node has been told; its second is served.
    let (node, record, _discovery) =
        start(
            3,
            move |n, _| {
                if n < 2 { Act::SayWhenOpen(held.clone(), reply("500 Late", "", b"")) } else { ok(b"x") }
            },
        );
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("page", 4000)));
    }
    wait_for("all are out", || record.count() == 2);
    node.frozen(|| {
        node.terminate();
        gate.open(2);
    });
    let statuses: Vec<u16> = clients.iter_mut().filter_map(|c| c.answer()).map(|m| m.status()).collect();
    assert_eq!(statuses, [200; 2]);
    assert_eq!(record.count(), 4);
    ends(node);
}

#[test]
fn a_new_configuration_and_the_notice_to_stop_at_one_moment_lose_nothing() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let (mut node, record, discovery) =
        start(1, move |_, _| Act::SayWhenOpen(held.clone(), reply("200 OK", "", b"x")));
    let second = Discovery::start(Vec::new());
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("bid", 900)));
    wait_for("it is out", || record.count() == 1);
    let own = node.pid();
    node.reload_when_frozen(second.address);
    gate.open(1);
    assert_eq!(client.answer().map(|m| m.status()), Some(200));
    assert_eq!(own, node.pid());
    drop(discovery);
    ends(node);
}

#[test]
fn an_unsafe_request_that_meets_the_close_of_a_resting_connection_to_its_backend_is_served() {
    let (node, record, _discovery) = start(1, |n, _| {
        let answer = reply("200 OK", "", b"x");
        if n == 0 { Act::SayAndCloseLater(answer) } else { Act::Say(answer) }
    });
    let mut client = Client::connect(node.address);
    assert_eq!(client.ask(&request("bid", 900)).status(), 200);
    node.frozen(|| {
        wait_for("the backend has closed it", || record.closed.load(SeqCst) == 1);
        assert!(client.send(&request("bid", 900)));
    });
    assert_eq!(client.answer().map(|m| m.status()), Some(200));
}

#[test]
fn an_answer_that_is_there_as_its_time_ends_is_given() {
    for _ in 0..6 {
        let gate = Arc::new(Gate::default());
        let held = gate.clone();
        let (node, record, _discovery) =
            start(1, move |_, _| Act::SayWhenOpen(held.clone(), reply("200 OK", "", b"x")));
        let mut client = Client::connect(node.address);
        // The attempt's time is that of the aim, 500 ms; the client waits for longer.
        assert!(client.send(&request("bid", 900)));
        wait_for("it is out", || record.count() == 1);
        node.frozen(|| {
            gate.open(1);
            thread::sleep(Duration::from_millis(550));
        });
        assert_eq!(client.answer().map(|m| m.status()), Some(200), "the answer was thrown away");
    }
}

#[test]
fn a_close_and_the_failure_of_an_attempt_at_one_moment_start_no_other() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let (node, record, _discovery) = start(3, move |n, m| match m.first_line.starts_with("GET") {
        true if n < 6 => Act::SayWhenOpen(held.clone(), reply("500 Late", "", b"")),
        _ => ok(b"x"),
    });
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("page", 4000)));
    }
    wait_for("all are out", || record.count() == 6);
    node.frozen(|| {
        drop(clients);
        gate.open(6);
    });
    for _ in 0..5 {
        assert_eq!(ask(node.address, &request("bid", 900)).status(), 200);
    }
    let seen = record.seen.lock().unwrap();
    let pages = seen.iter().filter(|m| m.first_line.starts_with("GET")).count();
    assert_eq!(pages, 6, "a further attempt for one that has left");
}

#[test]
fn a_client_that_has_left_before_it_was_taken_is_not_sent_on() {
    let (node, record, _discovery) = start(1, |_, _| ok(b"x"));
    node.frozen(|| {
        for _ in 0..10 {
            let mut leaver = Client::connect(node.address);
            assert!(leaver.send(&request("page", 4000)));
        }
    });
    for _ in 0..5 {
        assert_eq!(ask(node.address, &request("bid", 900)).status(), 200);
    }
    assert_eq!(record.count(), 5, "sent on for one that had left");
}

#[test]
fn a_ban_told_during_the_handshake_stops_the_send() {
    let (listener, address) = one_place();
    let filler = Client::connect(address);
    let discovery = Discovery::start(all_up(&[address]));
    let console = free_address();
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        c["console"] = json!(console.to_string());
    });
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("a handshake is under way", || tcp_state(address, SYN_SENT));
    assert!(node.call("disable-server s-0").starts_with("done"));
    let (first, _) = listener.accept().unwrap();
    drop((first, filler));
    assert_eq!(told(&listener), "", "sent to one out of service");
    assert_eq!(client.answer().unwrap().status(), 503);
}

#[test]
fn a_repeat_whose_connection_comes_up_after_its_key_is_forgotten_is_not_sent() {
    const REMEMBERED: Duration = Duration::from_millis(400);
    // One backend runs the request and breaks; the connection to the other comes up late.
    let (listener, late) = one_place();
    let filler = Client::connect(late);
    let record = Record::default();
    let breaks = backend(&record, |_, _| Act::SayAndClose(Vec::new()));
    let discovery = Discovery::start(all_up(&[breaks, late]));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["limits"]["connectTimeoutMs"] = 5000.into();
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["objectiveMs"] = 3500.into();
            class["keyTtlMs"] = (REMEMBERED.as_millis() as u64).into();
        }
    });
    // Whose first candidate is the late one waits for its connection; the first other one is the case.
    let mut clients = Vec::new();
    for n in 1.. {
        let mut client = Client::connect(node.address);
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: late-{n}\r\nX-Qos: pay\r\nX-Object: o{n}\r\n\
             X-Expires-In-Ms: 4000\r\nIdempotency-Key: k{n}\r\nContent-Length: 4\r\n\r\nbody"
        );
        assert!(client.send(head.as_bytes()));
        clients.push(client);
        wait_for("a handshake for each request", || tcp_count(late, SYN_SENT) == n);
        if record.count() == 1 {
            break;
        }
    }
    thread::sleep(REMEMBERED);
    // Whoever still asks for a connection gets it now, and would be served.
    let served = Record::default();
    backend_on(listener.into(), &served, Arc::new(|_, _| ok(b"x")));
    let case = clients.last_mut().and_then(Client::answer);
    assert_eq!(case.map(|m| m.status()), Some(503), "sent again after its key was forgotten");
    drop(filler);
}
