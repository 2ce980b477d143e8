//! Determines when the first bytes of a connection arrived at this machine, by the kernel's receive
//! timestamps.
//!
//! A connection may wait in the accept queue of the listening socket while this process is short of
//! descriptors. If the platform opens the listening socket and passes it to the processes of the node, a
//! connection may even have waited since before this process started. The client's deadline counts from when
//! it sent the request, so this wait has to be subtracted.
//!
//! The kernel takes the timestamps from its wall clock. That clock may be stepped, and this process may be
//! shown another one. The current time is therefore read from the same clock, as the timestamp of a
//! datagram that this process sends to itself. In addition, a wait counts for no longer than the connection
//! can have been in the accept queue.

use super::syscall_errors::is_interrupted;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use std::io::{self, IoSliceMut};
use std::net::{Ipv4Addr, UdpSocket};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;

/// Shorter waits are ignored: they occur on every connection and in the event loop itself.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Maximum number of attempts to send and receive the datagram. The system may be unable to open a socket
/// for it for a moment.
const DATAGRAM_ATTEMPTS: u32 = 4;
/// How long to wait for the datagram. It does not leave the machine.
const DATAGRAM_TIMEOUT: Duration = Duration::from_millis(5);

/// Enables receive timestamps for all connections that the listening socket will accept.
pub fn enable(listener: &impl AsFd) {
    // If the system refuses, there are no timestamps, and waits in the accept queue go unnoticed.
    let _ = setsockopt(listener, sockopt::ReceiveTimestampns, &true);
}

/// Returns when the oldest unread byte of a connection was received. Returns `None` if there is no unread
/// byte or no timestamp, or if the byte was received less than [`MIN_WAIT`] ago. `max_wait` is the longest
/// time that the connection can have waited, if that is known.
pub fn first_byte_received_at(stream: &TcpStream, max_wait: Option<Duration>) -> Option<Instant> {
    if max_wait.is_some_and(|max_wait| max_wait < MIN_WAIT) {
        return None;
    }
    let received_at = receive_timestamp(stream, MsgFlags::MSG_PEEK)?;
    let waited = kernel_now()?.checked_sub(received_at)?;
    let waited = max_wait.map_or(waited, |max_wait| waited.min(max_wait));
    if waited < MIN_WAIT { None } else { Instant::now().checked_sub(waited) }
}

/// Returns the time since 1970, by the clock that the kernel takes receive timestamps from. Falls back to
/// the wall clock that this process is shown if no datagram can be sent or received; the two are nearly
/// always the same.
fn kernel_now() -> Option<Duration> {
    let timestamp = (0..DATAGRAM_ATTEMPTS).find_map(|_| loopback_timestamp().ok().flatten());
    timestamp.or_else(|| SystemTime::now().duration_since(UNIX_EPOCH).ok())
}

/// Returns the receive timestamp of a datagram that this process sends to itself.
fn loopback_timestamp() -> io::Result<Option<Duration>> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    setsockopt(&socket, sockopt::ReceiveTimestampns, &true)?;
    socket.set_read_timeout(Some(DATAGRAM_TIMEOUT))?;
    socket.connect(socket.local_addr()?)?;
    while let Err(error) = socket.send(&[0]) {
        if !is_interrupted(&error) {
            return Err(error);
        }
    }
    Ok(receive_timestamp(&socket, MsgFlags::empty()))
}

/// Returns the kernel's receive timestamp of the oldest unread byte of a socket, as the time since 1970, or
/// `None` if there is no unread byte or no timestamp.
fn receive_timestamp(socket: &impl AsRawFd, flags: MsgFlags) -> Option<Duration> {
    let mut byte = [0];
    let mut parts = [IoSliceMut::new(&mut byte)];
    let mut control = nix::cmsg_space!(nix::sys::time::TimeSpec);
    loop {
        let received = match recvmsg::<()>(socket.as_raw_fd(), &mut parts, Some(&mut control), flags) {
            Err(nix::errno::Errno::EINTR) => continue,
            Err(_) => return None,
            Ok(received) => received,
        };
        return received.cmsgs().ok()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time)),
            _ => None,
        });
    }
}
