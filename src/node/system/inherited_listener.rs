//! Takes over a listening socket for clients that the platform opened and every process of the node
//! inherits.

use socket2::Socket;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use thiserror::Error;

/// The environment variable with the number of the inherited descriptor.
pub const DESCRIPTOR_VARIABLE: &str = "LB_INHERITED_FD";
/// The lowest number that is accepted. Lower numbers are the standard streams.
const FIRST_DESCRIPTOR: RawFd = 3;

/// Why the inherited descriptor cannot be used.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// The variable is not a number, or is below [`FIRST_DESCRIPTOR`]; holds its value.
    #[error("{DESCRIPTOR_VARIABLE}: {0:?} is not the number of a descriptor, {FIRST_DESCRIPTOR} or higher")]
    NotANumber(String),
    /// No descriptor with this number is open.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {0} is not open")]
    Closed(RawFd),
    /// The descriptor is not a socket, not TCP, or not listening.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {0} is not a listening TCP socket")]
    NotListening(RawFd),
    /// The socket could not be set to non-blocking mode.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {0}: {1}")]
    System(RawFd, std::io::Error),
}

/// Takes over the listening socket that the environment names. Returns `None` if it names none.
///
/// Must be called only once, and before this process opens any descriptor: only then are all open
/// descriptors inherited ones.
///
/// # Errors
/// The environment names a descriptor that is not a usable listening socket.
pub fn take() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(value) = std::env::var_os(DESCRIPTOR_VARIABLE) else { return Ok(None) };
    let number = value.to_str().and_then(|v| v.parse().ok()).filter(|fd| *fd >= FIRST_DESCRIPTOR);
    let fd =
        number.ok_or_else(|| InheritedListenerError::NotANumber(value.to_string_lossy().into_owned()))?;
    let socket = Socket::from(take_descriptor(fd).ok_or(InheritedListenerError::Closed(fd))?);
    let is_tcp = socket.local_addr().is_ok_and(|at| at.as_socket().is_some());
    if !is_tcp || !socket.is_listener().unwrap_or(false) {
        return Err(InheritedListenerError::NotListening(fd));
    }
    socket.set_nonblocking(true).map_err(|e| InheritedListenerError::System(fd, e))?;
    Ok(Some(socket.into()))
}

/// Takes ownership of the descriptor with this number. Returns `None` if it is not open.
#[allow(unsafe_code)]
fn take_descriptor(fd: RawFd) -> Option<OwnedFd> {
    std::fs::symlink_metadata(format!("/proc/self/fd/{fd}")).ok()?;
    // SAFETY: the check above shows that the descriptor is open. It was inherited: `take` is called once,
    // before this process opens any descriptor, so nothing else in the process owns it. The standard
    // streams, which the standard library uses, are excluded.
    Some(unsafe { OwnedFd::from_raw_fd(fd) })
}
