//! Listening sockets.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections of clients that may wait while this node is busy or out of descriptors.
pub const CLIENT_BACKLOG: u32 = 1024;
/// Connections of operators that may wait.
pub const ADMIN_BACKLOG: u32 = 128;

/// Listens at an address.
///
/// # Errors
/// The address is taken or not of this machine, or the system cannot do it for the moment.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
