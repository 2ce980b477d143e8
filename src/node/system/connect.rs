//! Makes connections, and distinguishes failures of this machine from those of the other side.

use super::syscall_errors::{RETRY_PAUSE, is_interrupted, is_out_of_descriptors};
use std::io;
use std::net::SocketAddr;
use std::time::Instant;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why there is no connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine could not begin one: the other side has received nothing.
    #[error("this machine cannot connect: {0}")]
    Local(io::Error),
    /// The other side refused, or could not be reached.
    #[error("no connection: {0}")]
    Remote(io::Error),
    /// Nothing came back in time.
    #[error("no connection in time")]
    TimedOut,
}

/// Connects by `deadline`. What this machine cannot do for a moment is tried again until then.
///
/// # Errors
/// No connection was made, by whose failure.
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, ConnectError> {
    loop {
        let begun = match begin_connect(address) {
            Ok(stream) => stream,
            Err(error) if is_interrupted(&error) => continue,
            Err(error) if is_refused_at_once(&error) => return Err(ConnectError::Remote(error)),
            Err(error) if is_out_of_descriptors(&error) => return Err(ConnectError::Local(error)),
            Err(error) => {
                if Instant::now() + RETRY_PAUSE >= deadline {
                    return Err(ConnectError::Local(error));
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        return match tokio::time::timeout_at(deadline.into(), established(begun)).await {
            Ok(connected) => connected.map_err(ConnectError::Remote),
            Err(_) => Err(ConnectError::TimedOut),
        };
    }
}

/// Makes the connect call. An error here comes from this machine, but for a refusal by a process of it,
/// which loopback reports at once.
fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM.nonblocking(),
        Some(socket2::Protocol::TCP),
    )?;
    loop {
        match socket.connect(&address.into()) {
            Ok(()) => break,
            Err(error) if is_interrupted(&error) => {}
            Err(error) => match error.raw_os_error() {
                // Under way, or up since a call that was interrupted.
                Some(libc::EINPROGRESS | libc::EALREADY | libc::EISCONN) => break,
                _ => return Err(error),
            },
        }
    }
    TcpStream::from_std(socket.into())
}

fn is_refused_at_once(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}

/// Waits until a connection that has begun is up, or has failed.
async fn established(stream: TcpStream) -> io::Result<TcpStream> {
    stream.writable().await?;
    match stream.take_error()? {
        None => Ok(stream),
        Some(error) => Err(error),
    }
}
