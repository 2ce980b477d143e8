//! Datagrams that a node receives on its address for messages of peers.
mod node;

use node::*;
use serde_json::json;
use std::net::UdpSocket;

/// Datagrams may come from peers and from any other sender. Empty, malformed and overlong ones must neither end the
/// process nor keep it from serving requests.
#[test]
fn invalid_datagrams_do_not_disturb_the_node() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let peer = UdpSocket::bind(loopback(0)).unwrap();
    let peer_listen = free_address();
    let mut node = Node::start(discovery.address, |c| {
        c["peer_listen"] = peer_listen.to_string().into();
        c["peers"] = json!([peer_listen.to_string(), peer.local_addr().unwrap().to_string()]);
    });
    let unknown_sender = UdpSocket::bind(loopback(0)).unwrap();
    for sender in [&peer, &unknown_sender] {
        // A message between nodes has at most 256 bytes.
        for length in [0, 1, 256, 257, 9000] {
            sender.send_to(&vec![0xff; length], peer_listen).unwrap();
        }
    }
    assert_eq!(send_request(node.address, &request("page", 900)).status(), 200);
    assert!(node.is_running());
}
