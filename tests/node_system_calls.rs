//! System calls that fail in ways that Linux documents: the node's own trouble, and nobody else's.
mod node;

use node::faults::{SyscallFault, SyscallFaults};
use node::*;
use std::time::Duration;

/// Requests of two classes on kept and on new connections; says how many were answered with each status, 0 for none.
fn play(node: &Node, rounds: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for _ in 0..rounds {
        statuses.extend(play_many(node, "page", 4000, 8, 8));
        statuses.extend(play_many(node, "pay", 4000, 2, 2));
        let mut client = Client::connect(node.address);
        for _ in 0..3 {
            let answer = client.send(&request("page", 4000)).then(|| client.answer()).flatten();
            statuses.push(answer.map_or(0, |message| message.status()));
        }
    }
    statuses
}

fn all_served(statuses: &[u16]) {
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, statuses.len(), "{statuses:?}");
}

fn three_backends(record: &Record) -> Discovery {
    Discovery::start(all_up(&backends(3, record, |_, _| ok(&[b'x'; 2000]))))
}

#[test]
fn calls_that_are_interrupted_or_short_break_no_connection() {
    let record = Record::default();
    let discovery = three_backends(&record);
    let faults = SyscallFaults::new(1);
    faults.set(SyscallFault::InterruptedIo, 11);
    faults.set(SyscallFault::ShortIo, 5);
    faults.set(SyscallFault::ShortBytes, 7);
    faults.set(SyscallFault::InterruptedWait, 13);
    let mut node = Node::start_with(discovery.address, &faults, |c| {
        c["console"] = free_address().to_string().into();
    });
    all_served(&play(&node, 20));
    for _ in 0..20 {
        assert_eq!(node.call("ready"), "done takes clients\n");
    }
    for _ in 0..20 {
        node.reload(discovery.address);
        quiet_moment();
    }
    assert!(node.running(), "signals come through a socket of its own");
    node.terminate();
    assert!(node.ended().success());
    let log = node.log();
    assert!(!log.contains("discovery: no answer"), "{log}");
}

#[test]
fn what_this_machine_cannot_do_for_a_moment_is_no_failure_of_a_server() {
    for seed in 1..=3 {
        let record = Record::default();
        let discovery = three_backends(&record);
        let faults = SyscallFaults::new(seed);
        let mut node = Node::start_with(discovery.address, &faults, |_| {});
        for fault in [SyscallFault::AcceptFails, SyscallFault::ConnectFails, SyscallFault::SocketFails] {
            faults.set(fault, 12);
        }
        all_served(&play(&node, 20));
        node.terminate();
        assert!(node.ended().success());
        let log = node.log();
        assert!(!log.contains("congested") && !log.contains("refused"), "{log}");
    }
}

#[test]
fn accepts_that_fail_close_no_connection_that_rests() {
    let record = Record::default();
    let discovery = three_backends(&record);
    let faults = SyscallFaults::new(4);
    let node = Node::start_with(discovery.address, &faults, |_| {});
    let mut resting = Client::connect(node.address);
    assert_eq!(resting.ask(&request("page", 4000)).status(), 200);
    quiet_moment();
    let connections = record.open_now();
    assert!(connections > 0);
    faults.set(SyscallFault::AcceptFails, 2);
    for _ in 0..40 {
        assert_eq!(
            attempt(node.address, b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n").map(|m| m.status()),
            Some(200)
        );
    }
    assert_eq!(record.open_now(), connections, "connections to backends are kept");
    assert_eq!(resting.ask(&request("page", 4000)).status(), 200, "and those of clients");
}

#[test]
fn a_connection_that_breaks_on_the_way_costs_only_its_own_request() {
    let record = Record::default();
    let discovery = three_backends(&record);
    let faults = SyscallFaults::new(5);
    let mut node = Node::start_with(discovery.address, &faults, |_| {});
    // Where the client's own connection breaks, it gets no answer; each other request gets its one.
    faults.set(SyscallFault::BrokenIo, 40);
    let statuses = play(&node, 10);
    faults.set(SyscallFault::BrokenIo, 0);
    assert!(statuses.contains(&200), "{statuses:?}");
    wait_for("the node serves again", || {
        std::thread::sleep(Duration::from_millis(20));
        attempt(node.address, &request("page", 4000)).is_some_and(|m| m.status() == 200)
    });
    assert!(node.running());
}

#[test]
fn a_process_starts_though_sockets_cannot_be_had_for_a_moment() {
    let record = Record::default();
    let discovery = three_backends(&record);
    for seed in 1..=6 {
        let faults = SyscallFaults::new(seed);
        faults.set(SyscallFault::SocketFails, 2);
        let node = Node::start_with(discovery.address, &faults, |c| {
            c["console"] = free_address().to_string().into();
            c["peer_listen"] = free_address().to_string().into();
        });
        assert_eq!(node.call("ready"), "done takes clients\n");
    }
}
