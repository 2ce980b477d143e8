//! Opens the listening sockets that this process does not inherit.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum length of the accept queue for clients. It fills while the node is busy or out of descriptors.
pub const CLIENT_BACKLOG: u32 = 1024;
/// Maximum length of the accept queue for operators.
pub const ADMIN_BACKLOG: u32 = 128;

/// Listens on `address`. `backlog` is the maximum length of the accept queue.
///
/// # Errors
/// The address is in use or does not belong to this machine, or the system lacks a resource for the moment.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
