//! Addresses and sockets on loopback, and what the system says of them.

use super::waiting::WAIT_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};

/// A listener with room for one connection: no other is established until that is accepted.
pub fn listener_with_backlog_of_one() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&loopback(0).into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// All bytes of the next connection.
pub fn accept_and_read_to_end(listener: &Socket) -> String {
    let mut stream = TcpStream::from(listener.accept().unwrap().0);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The state of a connecting socket, as the system lists it.
pub const SYN_SENT: &str = "02";

/// Whether a socket to `remote` is in that state.
pub fn has_tcp_socket_in_state(remote: SocketAddr, state: &str) -> bool {
    count_tcp_sockets_in_state(remote, state) > 0
}

/// How many sockets to `remote` are in that state.
pub fn count_tcp_sockets_in_state(remote: SocketAddr, state: &str) -> usize {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    sockets.matches(&format!(":{:04X} {state}", remote.port())).count()
}

/// An address of this process alone, with a port that nothing listens on.
///
/// It is found by binding, without listening: a child process of another test holds copies of all sockets until it
/// runs its program, and a copy that listened would accept connections and keep the node from listening there.
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
