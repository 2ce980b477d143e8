//! The clients' listening socket, which the platform holds and every process of the node inherits.

use socket2::Socket;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use thiserror::Error;

/// The environment variable that names the inherited descriptor.
pub const DESCRIPTOR_VARIABLE: &str = "LB_INHERITED_FD";
/// Lower numbers are the standard streams.
const FIRST_DESCRIPTOR: RawFd = 3;

/// Why there is no socket to take over, though one is named.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// What stands there is no descriptor.
    #[error("{DESCRIPTOR_VARIABLE}: {0:?} is not the number of a descriptor from {FIRST_DESCRIPTOR} on")]
    NotANumber(String),
    /// Nothing is open under that number.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {0} is not open")]
    Closed(RawFd),
    /// It is something else.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {0} is not a listening TCP socket")]
    NotListening(RawFd),
    /// The system refuses to go on with it.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {0}: {1}")]
    System(RawFd, std::io::Error),
}

/// The listening socket that the environment names; none where it names none.
///
/// To be called once, before this process opens anything itself: what is open then was inherited.
pub fn take() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(word) = std::env::var_os(DESCRIPTOR_VARIABLE) else { return Ok(None) };
    let number = word.to_str().and_then(|w| w.parse().ok()).filter(|fd| *fd >= FIRST_DESCRIPTOR);
    let fd =
        number.ok_or_else(|| InheritedListenerError::NotANumber(word.to_string_lossy().into_owned()))?;
    let socket = Socket::from(take_descriptor(fd).ok_or(InheritedListenerError::Closed(fd))?);
    let tcp = socket.local_addr().is_ok_and(|at| at.as_socket().is_some());
    if !tcp || !socket.is_listener().unwrap_or(false) {
        return Err(InheritedListenerError::NotListening(fd));
    }
    socket.set_nonblocking(true).map_err(|e| InheritedListenerError::System(fd, e))?;
    Ok(Some(socket.into()))
}

/// The descriptor of that number, if it is open.
#[allow(unsafe_code)]
fn take_descriptor(fd: RawFd) -> Option<OwnedFd> {
    std::fs::symlink_metadata(format!("/proc/self/fd/{fd}")).ok()?;
    // SAFETY: the descriptor is open, as was just seen. It was inherited: `take` is called once, before
    // this process has opened anything, so nothing else here owns it. Standard streams are excluded.
    Some(unsafe { OwnedFd::from_raw_fd(fd) })
}
