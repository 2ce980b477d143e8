//! Tests how the node treats its connections to an endpoint that drains or that breaks a connection.
mod node;

use node::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

#[test]
fn a_drain_during_the_connect_withholds_the_attempt() {
    let (listener, address) = listener_with_backlog_of_one();
    // Fills the accept queue, so that the node's handshake does not complete.
    let filler = Client::connect(address);
    let discovery = DiscoveryStub::start(all_up(&[address]));
    let node =
        Node::start(discovery.address, |c| c["settings"]["limits"]["connectTimeoutMs"] = 5000.into());
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("a handshake is in progress", || has_tcp_socket_in_state(address, SYN_SENT));
    discovery.set(vec![target("s-0", address, "draining")]);
    wait_for("the node knows of the drain", || node.readiness_status() == 503);
    // Accepting the filler frees its place in the accept queue, so that the node's handshake completes.
    let (accepted_filler, _) = listener.accept().unwrap();
    drop((accepted_filler, filler));
    // The node closes the new connection without sending anything on it.
    assert_eq!(accept_and_read_to_end(&listener), "", "the request was sent to a draining endpoint");
    assert_eq!(client.read_response().unwrap().status(), 503);
}

#[test]
fn a_drain_closes_idle_connections() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(send_request(node.address, &request("page", 900)).status(), 200);
    assert_eq!(record.open_connections(), 1);
    discovery.set(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the connection is closed", || record.open_connections() == 0);
}

#[test]
fn one_broken_connection_closes_the_other_idle_connections_of_the_endpoint() {
    // An endpoint whose machine was cut off from the network resets its old connections, but each only when something
    // is sent on it. If the node kept the others after the first reset, each of them would cost a request.
    let record = RequestRecord::default();
    let is_back = Arc::new(AtomicBool::new(false));
    let script_is_back = is_back.clone();
    let opened = record.connections_opened.clone();
    let addresses = start_endpoints(1, &record, move |_, _| {
        if !script_is_back.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(100));
            return ok(b"x");
        }
        // The two connections from before are closed; requests are served once there is a new one.
        if opened.load(Ordering::SeqCst) == 2 {
            ScriptedResponse::SendAndClose(Vec::new())
        } else {
            ok(b"x")
        }
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("bid", 900)));
    }
    for client in &mut clients {
        assert_eq!(client.read_response().unwrap().status(), 200);
    }
    assert_eq!(record.open_connections(), 2, "expected two idle connections");
    wait_until_connection_is_reusable();
    is_back.store(true, Ordering::SeqCst);
    assert_eq!(clients[0].send_and_receive(&request("bid", 900)).status(), 502, "the request may have run");
    assert_eq!(
        clients[0].send_and_receive(&request("bid", 900)).status(),
        200,
        "sent on the other old connection"
    );
}
