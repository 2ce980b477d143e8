//! Datagrams between nodes.

use crate::driver::{Driver, DriverEvent};
use crate::observability::log;
use crate::system::syscall_errors::interrupted;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// A longer datagram breaks the deployment's rules.
const MAX_LENGTH: usize = 256;

/// Where the nodes of the tier are.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// All of them, by number.
    pub all: Vec<SocketAddr>,
    /// Reaches every one of them, if there is such an address.
    pub everyone: Option<SocketAddr>,
    /// This node's number.
    pub own: u32,
}

/// The other nodes of the tier.
pub struct PeerSocket {
    socket: UdpSocket,
    nodes: PeerAddresses,
}

impl PeerSocket {
    /// Listens at `listen`. A `shared` address is also that of the process before this one or after it, for as long as
    /// there are two: each message reaches one of them.
    pub fn new(listen: SocketAddr, shared: bool, nodes: PeerAddresses) -> std::io::Result<PeerSocket> {
        let socket = Socket::new(Domain::for_address(listen), Type::DGRAM, None)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        Ok(PeerSocket { socket: UdpSocket::from_std(socket.into())?, nodes })
    }

    /// Sends to one node or to all others. A message that cannot go is lost, as any may be.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > MAX_LENGTH {
            log::line(&format!("message of {} bytes not sent", bytes.len()));
            return;
        }
        let node = |n: u32| self.nodes.all.get(n as usize).copied();
        let others = || {
            let others = self.nodes.all.iter().zip(0_u32..).filter(|(_, n)| *n != self.nodes.own);
            others.map(|(address, _)| *address).collect()
        };
        let targets: Vec<SocketAddr> = match to {
            Some(n) => node(n).into_iter().collect(),
            None => self.nodes.everyone.map_or_else(others, |everyone| vec![everyone]),
        };
        for target in targets {
            while self.socket.try_send_to(bytes, target).is_err_and(|e| interrupted(&e)) {}
        }
    }

    /// Hands on what arrives.
    pub async fn listen(&self, driver: &Rc<Driver>) {
        loop {
            let (from, bytes) = self.receive().await;
            driver.take(DriverEvent::Message(from, bytes));
        }
    }

    /// The next message of a node of the tier; strangers and overlong datagrams are not heard.
    async fn receive(&self) -> (u32, Vec<u8>) {
        let mut buffer = [0_u8; MAX_LENGTH + 1];
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                // Such as a peer that is down: the system says so of an earlier send.
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            let from = self.nodes.all.iter().zip(0_u32..).find(|(address, _)| **address == sender);
            if let (Some((_, from)), Some(bytes)) = (from, buffer.get(..length))
                && length <= MAX_LENGTH
            {
                return (from, bytes.to_vec());
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/peers.rs"]
mod tests;
