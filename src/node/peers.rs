//! Datagrams between the nodes of a tier. They may be lost.

use crate::observability::log;
use crate::system::syscall_errors::is_interrupted;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// The longest datagram that the deployment's rules allow, in bytes.
const MAX_MESSAGE: usize = 256;
/// Pause after a receive that failed.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// Where the nodes of the tier are.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// All of them, by number.
    pub nodes: Vec<SocketAddr>,
    /// Reaches every one of them, if there is such an address.
    pub broadcast: Option<SocketAddr>,
    /// This node's number.
    pub own: u32,
}

impl PeerAddresses {
    fn numbered(&self) -> impl Iterator<Item = (u32, SocketAddr)> {
        (0..).zip(self.nodes.iter().copied())
    }

    fn others(&self) -> Vec<SocketAddr> {
        let others = self.numbered().filter(|(number, _)| *number != self.own);
        others.map(|(_, address)| address).collect()
    }

    /// Where a message goes.
    fn receivers(&self, to: Option<u32>) -> Vec<SocketAddr> {
        match (to, self.broadcast) {
            (Some(number), _) => self.nodes.get(number as usize).copied().into_iter().collect(),
            (None, Some(broadcast)) => vec![broadcast],
            (None, None) => self.others(),
        }
    }

    fn number_of(&self, address: SocketAddr) -> Option<u32> {
        self.numbered().find(|(_, known)| *known == address).map(|(number, _)| number)
    }
}

/// A message of another node.
#[derive(Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// Number of the sender.
    pub from: u32,
    /// What it said.
    pub bytes: Vec<u8>,
}

/// The socket for messages to and from the other nodes.
pub struct PeerSocket {
    socket: UdpSocket,
    addresses: PeerAddresses,
}

impl PeerSocket {
    /// Listens at `listen`. A `shared` address is also that of the process before this one or after it, for
    /// as long as there are two: each message reaches one of them.
    ///
    /// # Errors
    /// The address is taken, or the system cannot do it for the moment.
    pub fn bind(listen: SocketAddr, shared: bool, addresses: PeerAddresses) -> io::Result<PeerSocket> {
        let socket = Socket::new(Domain::for_address(listen), Type::DGRAM, None)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        Ok(PeerSocket { socket: UdpSocket::from_std(socket.into())?, addresses })
    }

    /// Sends to one node or to all others. A message that cannot go is lost, as any may be.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE {
            log::line(&format!("message of {} bytes not sent", bytes.len()));
            return;
        }
        for receiver in self.addresses.receivers(to) {
            while self.socket.try_send_to(bytes, receiver).is_err_and(|error| is_interrupted(&error)) {}
        }
    }

    /// Waits for the next message of a node of the tier; other senders and overlong datagrams are passed
    /// over.
    pub async fn receive(&self) -> PeerMessage {
        let mut buffer = [0_u8; MAX_MESSAGE + 1];
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                // The system reports errors of earlier sends here, such as one to a peer that is down.
                tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
                continue;
            };
            if let Some(from) = self.addresses.number_of(sender)
                && let Some(bytes) = buffer.get(..length)
                && length <= MAX_MESSAGE
            {
                return PeerMessage { from, bytes: bytes.to_vec() };
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/peers.rs"]
mod tests;
