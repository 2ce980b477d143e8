//! Since when a connection's first bytes have waited, as the system noted it.
//!
//! A connection may wait in the queue of the listening socket: while this process is short of descriptors, or from before
//! it started, where the platform holds the socket. Its client counts from when it sent.

use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use std::io::IoSliceMut;
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpStream;

/// A shorter wait is that of any connection, and of this loop.
const LEAST_WAIT: Duration = Duration::from_millis(5);

/// Has the system note the times for all connections of a listening socket to come.
pub fn note_times(listener: &impl AsFd) {
    // Where the system refuses, waits do not show.
    let _ = setsockopt(listener, sockopt::ReceiveTimestampns, &true);
}

/// When the first byte that waits on a connection came; none where nothing waits, or it came just now.
pub fn first_byte(stream: &TcpStream) -> Option<Instant> {
    let waited = SystemTime::now().duration_since(first_byte_time(stream)?).ok()?;
    if waited < LEAST_WAIT { None } else { Instant::now().checked_sub(waited) }
}

/// The same by the wall clock, which the system notes it by.
fn first_byte_time(stream: &TcpStream) -> Option<SystemTime> {
    let mut byte = [0];
    let mut parts = [IoSliceMut::new(&mut byte)];
    let mut control = nix::cmsg_space!(nix::sys::time::TimeSpec);
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    loop {
        let received = match recvmsg::<()>(stream.as_raw_fd(), &mut parts, Some(&mut control), flags) {
            Err(nix::errno::Errno::EINTR) => continue,
            Err(_) => return None,
            Ok(received) => received,
        };
        return received.cmsgs().ok()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(time) => {
                let since_1970 = Duration::from(time);
                SystemTime::UNIX_EPOCH.checked_add(since_1970)
            }
            _ => None,
        });
    }
}
