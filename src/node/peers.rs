//! Sends and receives messages between the nodes of a tier, as UDP datagrams. A tier is the group of nodes
//! that run as one load balancer.
//!
//! Messages may be lost. Any host that can reach the socket can send to it, so the node ignores messages
//! from addresses outside of the tier, and messages above the size limit.

use crate::observability::log;
use crate::system::syscall_errors::is_interrupted;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Largest message that the rules of the deployment allow, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Pause after a failed receive, before the next one.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// The addresses at which the nodes of the tier receive messages, from the configuration.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// Addresses of all nodes, by node index. Includes this node.
    pub nodes: Vec<SocketAddr>,
    /// The address of a datagram to all nodes at once; `None` if the network has no such address. The network
    /// may also deliver the datagram to the node that sent it. The sender then receives its own message like
    /// one of another node.
    pub broadcast: Option<SocketAddr>,
    /// Index of this node in `nodes`.
    pub own_index: u32,
}

impl PeerAddresses {
    fn indexed_nodes(&self) -> impl Iterator<Item = (u32, SocketAddr)> {
        (0..).zip(self.nodes.iter().copied())
    }

    fn others(&self) -> Vec<SocketAddr> {
        let others = self.indexed_nodes().filter(|(index, _)| *index != self.own_index);
        others.map(|(_, address)| address).collect()
    }

    /// Returns the addresses to send a message to.
    ///
    /// If `to` is an index, returns the address of the node with this index, or no address if the tier has no
    /// such node. If `to` is `None`, returns the broadcast address, or the addresses of all other nodes if
    /// there is no broadcast address.
    fn recipients(&self, to: Option<u32>) -> Vec<SocketAddr> {
        match (to, self.broadcast) {
            (Some(index), _) => self.nodes.get(index as usize).copied().into_iter().collect(),
            (None, Some(broadcast)) => vec![broadcast],
            (None, None) => self.others(),
        }
    }

    /// Returns the index of the node with this address, or `None` if the tier has no such node.
    fn index_of(&self, address: SocketAddr) -> Option<u32> {
        self.indexed_nodes().find(|(_, known)| *known == address).map(|(index, _)| index)
    }
}

/// A message received from a node of the tier.
#[derive(Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// Index of the sending node.
    pub from: u32,
    /// The message, of at most 256 bytes.
    pub bytes: Vec<u8>,
}

/// A UDP socket that sends messages to the other nodes and receives theirs.
pub struct PeerSocket {
    socket: UdpSocket,
    addresses: PeerAddresses,
}

impl PeerSocket {
    /// Binds a socket to `listen`. With `reuse_port`, the previous or the next process of this node can
    /// be bound to the same address during a takeover; each message then reaches one of the two.
    ///
    /// # Errors
    /// Returns the error of the system: the address is in use, or a resource is temporarily not
    /// available.
    pub fn bind(listen: SocketAddr, reuse_port: bool, addresses: PeerAddresses) -> io::Result<PeerSocket> {
        let socket = Socket::new(Domain::for_address(listen), Type::DGRAM, None)?;
        socket.set_reuse_port(reuse_port)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        Ok(PeerSocket { socket: UdpSocket::from_std(socket.into())?, addresses })
    }

    /// Sends a message to the node with index `to`, or to all other nodes if `to` is `None`. If the message
    /// is broadcast, this node may receive it, too. A message that cannot be sent is lost without an error;
    /// the caller must not rely on the arrival of any message.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            log::line(&format!(
                "peer message of {} bytes not sent: it is above the size limit",
                bytes.len()
            ));
            return;
        }
        for recipient in self.addresses.recipients(to) {
            while self.socket.try_send_to(bytes, recipient).is_err_and(|error| is_interrupted(&error)) {}
        }
    }

    /// Waits for the next message from a node of the tier, which may be this node. Ignores datagrams from
    /// other senders, and those above the size limit.
    pub async fn receive(&self) -> PeerMessage {
        let mut buffer = [0_u8; MAX_MESSAGE_BYTES + 1];
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                // The system reports errors of earlier sends here, for example if a peer is down.
                tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
                continue;
            };
            if let Some(from) = self.addresses.index_of(sender)
                && let Some(bytes) = buffer.get(..length)
                && length <= MAX_MESSAGE_BYTES
            {
                return PeerMessage { from, bytes: bytes.to_vec() };
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/peers.rs"]
mod tests;
