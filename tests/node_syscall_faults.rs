//! System calls of the node fail in ways that Linux documents. Apart from broken connections, these failures are
//! local: they must not close intact connections, and must not count as failures of endpoints.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use std::time::Duration;

/// Sends requests of two classes, on new connections and on kept-alive ones. Returns the statuses; 0 stands for a
/// request without a response.
fn send_mixed_requests(node: &Node, rounds: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for _ in 0..rounds {
        statuses.extend(send_concurrently(node, "page", 4000, 8, 8));
        statuses.extend(send_concurrently(node, "pay", 4000, 2, 2));
        let mut client = Client::connect(node.address);
        for _ in 0..3 {
            let response = client.send(&request("page", 4000)).then(|| client.read_response()).flatten();
            statuses.push(response.map_or(0, |message| message.status()));
        }
    }
    statuses
}

/// Asserts that every status is 200.
fn assert_all_served(statuses: &[u16]) {
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, statuses.len(), "{statuses:?}");
}

/// Starts three endpoints that answer with a body of 2000 bytes, and a discovery service that lists them.
fn start_three_endpoints(record: &RequestRecord) -> DiscoveryStub {
    DiscoveryStub::start(all_up(&start_endpoints(3, record, |_, _| ok(&[b'x'; 2000]))))
}

/// An interrupted call has done nothing, and a short one only a part. A node that took either for an error would
/// close an intact connection to a client, an endpoint, discovery or an operator.
#[test]
fn interrupted_and_short_system_calls_break_no_connection() {
    let record = RequestRecord::default();
    let discovery = start_three_endpoints(&record);
    let faults = SyscallFaults::new(1);
    faults.set(FaultSetting::InterruptedIo, 11);
    faults.set(FaultSetting::ShortIo, 5);
    faults.set(FaultSetting::ShortIoBytes, 7);
    faults.set(FaultSetting::InterruptedWait, 13);
    let mut node = Node::start_with_faults(discovery.address, &faults, |c| {
        c["console"] = free_address().to_string().into();
    });
    assert_all_served(&send_mixed_requests(&node, 20));
    for _ in 0..20 {
        assert_eq!(node.admin_command("ready"), "done takes clients\n");
    }
    for _ in 0..20 {
        node.reload(discovery.address);
        wait_until_connection_is_reusable();
    }
    assert!(node.is_running(), "a failed read of the socket that delivers signals must not end the node");
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    assert!(!log.contains("discovery: no valid response"), "{log}");
}

/// An accept, a connect or a new socket may fail because this machine lacks a resource for the moment. If the node
/// held that against the endpoints, it would mark healthy ones as congested.
#[test]
fn local_errors_do_not_count_as_failures_of_endpoints() {
    for seed in 1..=3 {
        let record = RequestRecord::default();
        let discovery = start_three_endpoints(&record);
        let faults = SyscallFaults::new(seed);
        let mut node = Node::start_with_faults(discovery.address, &faults, |_| {});
        for fault in [FaultSetting::FailedAccept, FaultSetting::FailedConnect, FaultSetting::FailedSocket] {
            faults.set(fault, 12);
        }
        assert_all_served(&send_mixed_requests(&node, 20));
        node.terminate();
        assert!(node.wait_for_exit().success());
        let log = node.log();
        assert!(!log.contains("congested") && !log.contains("refused"), "{log}");
    }
}

/// Closing an idle connection frees a descriptor, which helps only if the process is at its limit of descriptors.
/// After another failure of an accept, the idle connections must be kept.
#[test]
fn failed_accepts_close_no_idle_connection() {
    let record = RequestRecord::default();
    let discovery = start_three_endpoints(&record);
    let faults = SyscallFaults::new(4);
    let node = Node::start_with_faults(discovery.address, &faults, |_| {});
    let mut idle_client = Client::connect(node.address);
    assert_eq!(idle_client.send_and_receive(&request("page", 4000)).status(), 200);
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
    assert_eq!(record.open_connections(), connections, "idle connections to endpoints must be kept");
    let status = idle_client.send_and_receive(&request("page", 4000)).status();
    assert_eq!(status, 200, "idle connections of clients must be kept");
}

/// A connection that breaks must neither end the process nor keep the node from serving later requests.
#[test]
fn a_broken_connection_fails_only_its_own_request() {
    let record = RequestRecord::default();
    let discovery = start_three_endpoints(&record);
    let faults = SyscallFaults::new(5);
    let mut node = Node::start_with_faults(discovery.address, &faults, |_| {});
    // A client whose own connection breaks gets no response; each other request gets one. So some statuses may be 0.
    faults.set(FaultSetting::BrokenConnection, 40);
    let statuses = send_mixed_requests(&node, 10);
    faults.set(FaultSetting::BrokenConnection, 0);
    assert!(statuses.contains(&200), "{statuses:?}");
    wait_for("the node serves requests again", || {
        std::thread::sleep(Duration::from_millis(20));
        try_request(node.address, &request("page", 4000)).is_some_and(|m| m.status() == 200)
    });
    assert!(node.is_running());
}

/// The system may be unable to open a socket for a moment. A starting process must then retry, and not end.
#[test]
fn a_process_starts_despite_a_temporary_lack_of_sockets() {
    let record = RequestRecord::default();
    let discovery = start_three_endpoints(&record);
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
