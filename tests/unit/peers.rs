//! Datagrams between nodes, on loopback.
use super::*;

/// The decisions send no messages yet, so the way out is tried here rather than on the whole node.
#[tokio::test]
async fn messages_go_both_ways_and_unknown_senders_are_ignored() -> std::io::Result<()> {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let alone = |own| PeerAddresses { nodes: Vec::new(), broadcast: None, own };
    let mut a = PeerSocket::bind(any, false, alone(0))?;
    let mut b = PeerSocket::bind(any, false, alone(1))?;
    let stranger = UdpSocket::bind(any).await?;
    let nodes = vec![a.socket.local_addr()?, b.socket.local_addr()?];
    (a.addresses.nodes, b.addresses.nodes) = (nodes.clone(), nodes.clone());
    stranger.send_to(b"not of the tier", nodes[1]).await?;
    a.send(Some(1), &[7; MAX_MESSAGE + 1]);
    a.send(Some(9), b"nobody");
    a.send(None, b"to all others");
    b.send(Some(0), b"back");
    let heard =
        tokio::time::timeout(Duration::from_secs(5), async { (b.receive().await, a.receive().await) });
    let (at_b, at_a) = heard.await?;
    assert_eq!(at_b, PeerMessage { from: 0, bytes: b"to all others".to_vec() });
    assert_eq!(at_a, PeerMessage { from: 1, bytes: b"back".to_vec() });
    Ok(())
}
