//! Provides loopback addresses and listeners, and reads the states of TCP sockets from the system.

use super::waiting::WAIT_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};

/// A connection whose receive buffer keeps the system from reading much ahead of the client. The system doubles
/// `receive_buffer_bytes`. Reads time out after `WAIT_TIMEOUT`.
pub fn connect_with_receive_buffer(address: SocketAddr, receive_buffer_bytes: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(receive_buffer_bytes).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    socket.into()
}

/// A listener whose accept queue holds one connection. A further connect stays in `SYN_SENT` until that connection is
/// accepted, so that a test can hold a handshake open.
pub fn listener_with_backlog_of_one() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&loopback(0).into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Accepts the next connection and reads it until the peer closes it.
pub fn accept_and_read_to_end(listener: &Socket) -> String {
    let mut stream = TcpStream::from(listener.accept().unwrap().0);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The state of a socket whose handshake is in progress, as `/proc/net/tcp` writes it.
pub const SYN_SENT: &str = "02";

/// Whether any socket on this machine that is connected or connecting to the port of `remote` is in `state`.
pub fn has_tcp_socket_in_state(remote: SocketAddr, state: &str) -> bool {
    count_tcp_sockets_in_state(remote, state) > 0
}

/// The number of sockets on this machine with the remote port of `remote` that are in `state`.
pub fn count_tcp_sockets_in_state(remote: SocketAddr, state: &str) -> usize {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    sockets.matches(&format!(":{:04X} {state}", remote.port())).count()
}

/// An address that no other test process uses, with a port that nothing listens on.
///
/// The IP address is derived from the process id. The port is found by binding a socket without listening on it: a
/// child process forked by another test holds copies of all sockets until it executes its program. A copy of a
/// listening socket would accept connections and keep the node from listening on the address.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid % 64) as u8, (pid / 64 % 256) as u8, (n % 250 + 1) as u8);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from((ip, 0)).into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
