//! Since when a connection's first bytes have waited, as the system noted it.
//!
//! A connection may wait in the queue of the listening socket: while this process is short of descriptors,
//! or from before it started, where the platform holds the socket. Its client counts from when it sent.
//!
//! The system notes the time by its wall clock. That may be stepped, and may not be the one that this
//! process is shown, so the two are compared by a datagram of this process to itself, and no wait is taken
//! for longer than the queue allows.

use super::syscall_errors::is_interrupted;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use std::io::{self, IoSliceMut};
use std::net::{Ipv4Addr, UdpSocket};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;

/// A shorter wait is that of any connection, and of this loop.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// The system may have no socket for it for a moment.
const READ_ATTEMPTS: u32 = 4;
/// How long the datagram is waited for; it goes through memory alone.
const OWN_DATAGRAM_TIMEOUT: Duration = Duration::from_millis(5);

/// Has the system note the times for all connections of a listening socket to come.
pub fn note_times(listener: &impl AsFd) {
    // Where the system refuses, waits do not show.
    let _ = setsockopt(listener, sockopt::ReceiveTimestampns, &true);
}

/// When the first byte that waits on a connection came; none where nothing waits, or it came just now.
/// `at_most` is how long the connection may have waited, if that is known.
pub fn first_byte(stream: &TcpStream, at_most: Option<Duration>) -> Option<Instant> {
    if at_most.is_some_and(|most| most < MIN_WAIT) {
        return None;
    }
    let came = noted_time(stream, MsgFlags::MSG_PEEK)?;
    let waited = now_as_noted()?.checked_sub(came)?;
    let waited = at_most.map_or(waited, |most| waited.min(most));
    if waited < MIN_WAIT { None } else { Instant::now().checked_sub(waited) }
}

/// Now by the clock that the system notes times by, since 1970. Where the system does not say, for lack of
/// a socket, the clock that this process is shown is nearly always the same.
fn now_as_noted() -> Option<Duration> {
    let noted = (0..READ_ATTEMPTS).find_map(|_| own_datagram().ok().flatten());
    noted.or_else(|| SystemTime::now().duration_since(UNIX_EPOCH).ok())
}

/// When a datagram of this process to itself came.
fn own_datagram() -> io::Result<Option<Duration>> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    setsockopt(&socket, sockopt::ReceiveTimestampns, &true)?;
    socket.set_read_timeout(Some(OWN_DATAGRAM_TIMEOUT))?;
    socket.connect(socket.local_addr()?)?;
    while let Err(error) = socket.send(&[0]) {
        if !is_interrupted(&error) {
            return Err(error);
        }
    }
    Ok(noted_time(&socket, MsgFlags::empty()))
}

/// When the first byte that waits on a socket came, by the clock of the system.
fn noted_time(socket: &impl AsRawFd, flags: MsgFlags) -> Option<Duration> {
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
