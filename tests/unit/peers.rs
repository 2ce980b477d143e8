//! Unit tests of the messages between nodes, with sockets on loopback.
use super::*;

/// Guards against messages that are lost between two nodes, and against datagrams of unknown senders that
/// reach the balancer. A message above the size limit, or to a node that does not exist, must not be sent
/// to anyone. The balancer sends no messages yet, so no test of the whole node covers sending.
#[tokio::test]
async fn messages_go_both_ways_and_unknown_senders_are_ignored() -> std::io::Result<()> {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let no_peers = |own_index| PeerAddresses { nodes: Vec::new(), broadcast: None, own_index };
    let mut a = PeerSocket::bind(any, false, no_peers(0))?;
    let mut b = PeerSocket::bind(any, false, no_peers(1))?;
    let unknown_sender = UdpSocket::bind(any).await?;
    let nodes = vec![a.socket.local_addr()?, b.socket.local_addr()?];
    (a.addresses.nodes, b.addresses.nodes) = (nodes.clone(), nodes.clone());
    unknown_sender.send_to(b"unknown", nodes[1]).await?;
    a.send(Some(1), &[7; MAX_MESSAGE_BYTES + 1]);
    a.send(Some(9), b"nobody");
    a.send(None, b"to all others");
    b.send(Some(0), b"back");
    let received =
        tokio::time::timeout(Duration::from_secs(5), async { (b.receive().await, a.receive().await) });
    let (at_b, at_a) = received.await?;
    assert_eq!(at_b, PeerMessage { from: 0, bytes: b"to all others".to_vec() });
    assert_eq!(at_a, PeerMessage { from: 1, bytes: b"back".to_vec() });
    Ok(())
}
