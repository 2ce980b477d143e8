//! System calls that fail in ways that Linux documents: the node's own trouble, and nobody else's.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use std::time::Duration;

/// Requests of two classes on kept and on new connections; says how many were answered with each status, 0 for none.
fn play(node: &Node, rounds: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for _ in 0..rounds {
        statuses.extend(send_concurrently(node, "page", 4000, 8, 8));
        statuses.extend(send_concurrently(node, "pay", 4000, 2, 2));
        let mut client = Client::connect(node.address);
        for _ in 0..3 {
            let answer = client.send(&request("page", 4000)).then(|| client.read_response()).flatten();
            statuses.push(answer.map_or(0, |message| message.status()));
        }
    }
    statuses
}

fn all_served(statuses: &[u16]) {
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, statuses.len(), "{statuses:?}");
}

fn three_backends(record: &RequestRecord) -> DiscoveryStub {
    DiscoveryStub::start(all_up(&start_endpoints(3, record, |_, _| ok(&[b'x'; 2000]))))
}

#[test]
fn interrupted_and_short_system_calls_break_no_connection() {
    let record = RequestRecord::default();
    let discovery = three_backends(&record);
    let faults = SyscallFaults::new(1);
    faults.set(FaultSetting::InterruptedIo, 11);
    faults.set(FaultSetting::ShortIo, 5);
    faults.set(FaultSetting::ShortIoBytes, 7);
    faults.set(FaultSetting::InterruptedWait, 13);
    let mut node = Node::start_with_faults(discovery.address, &faults, |c| {
        c["console"] = free_address().to_string().into();
    });
    all_served(&play(&node, 20));
    for _ in 0..20 {
        assert_eq!(node.admin_command("ready"), "done takes clients\n");
    }
    for _ in 0..20 {
        node.reload(discovery.address);
        wait_until_connection_is_reusable();
    }
    assert!(node.is_running(), "signals come through a socket of its own");
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    assert!(!log.contains("discovery: no answer"), "{log}");
}

#[test]
fn local_errors_are_no_failures_of_endpoints() {
    for seed in 1..=3 {
        let record = RequestRecord::default();
        let discovery = three_backends(&record);
        let faults = SyscallFaults::new(seed);
        let mut node = Node::start_with_faults(discovery.address, &faults, |_| {});
        for fault in [FaultSetting::FailedAccept, FaultSetting::FailedConnect, FaultSetting::FailedSocket] {
            faults.set(fault, 12);
        }
        all_served(&play(&node, 20));
        node.terminate();
        assert!(node.wait_for_exit().success());
        let log = node.log();
        assert!(!log.contains("congested") && !log.contains("refused"), "{log}");
    }
}

#[test]
fn failed_accepts_close_no_idle_connection() {
    let record = RequestRecord::default();
    let discovery = three_backends(&record);
    let faults = SyscallFaults::new(4);
    let node = Node::start_with_faults(discovery.address, &faults, |_| {});
    let mut resting = Client::connect(node.address);
    assert_eq!(resting.send_and_receive(&request("page", 4000)).status(), 200);
    wait_until_connection_is_reusable();
    let connections = record.open_connections();
    assert!(connections > 0);
    faults.set(FaultSetting::FailedAccept, 2);
    for _ in 0..40 {
        assert_eq!(
            try_request(node.address, b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n").map(|m| m.status()),
            Some(200)
        );
    }
    assert_eq!(record.open_connections(), connections, "connections to endpoints are kept");
    assert_eq!(resting.send_and_receive(&request("page", 4000)).status(), 200, "and those of clients");
}

#[test]
fn a_broken_connection_costs_only_its_own_request() {
    let record = RequestRecord::default();
    let discovery = three_backends(&record);
    let faults = SyscallFaults::new(5);
    let mut node = Node::start_with_faults(discovery.address, &faults, |_| {});
    // Where the client's own connection breaks, it gets no answer; each other request gets its one.
    faults.set(FaultSetting::BrokenConnection, 40);
    let statuses = play(&node, 10);
    faults.set(FaultSetting::BrokenConnection, 0);
    assert!(statuses.contains(&200), "{statuses:?}");
    wait_for("the node serves again", || {
        std::thread::sleep(Duration::from_millis(20));
        try_request(node.address, &request("page", 4000)).is_some_and(|m| m.status() == 200)
    });
    assert!(node.is_running());
}

#[test]
fn a_process_starts_despite_a_temporary_lack_of_sockets() {
    let record = RequestRecord::default();
    let discovery = three_backends(&record);
    for seed in 1..=6 {
        let faults = SyscallFaults::new(seed);
        faults.set(FaultSetting::FailedSocket, 2);
        let node = Node::start_with_faults(discovery.address, &faults, |c| {
            c["console"] = free_address().to_string().into();
            c["peer_listen"] = free_address().to_string().into();
        });
        assert_eq!(node.admin_command("ready"), "done takes clients\n");
    }
}
