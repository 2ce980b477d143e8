//! Opens TCP connections, and distinguishes local failures from those of the peer or the network.

use super::syscall_errors::{RETRY_PAUSE, is_interrupted, is_out_of_descriptors};
use std::io;
use std::net::SocketAddr;
use std::time::Instant;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine could not begin to connect; the peer has received nothing.
    #[error("cannot begin to connect: {0}")]
    Local(io::Error),
    /// The peer refused the connection, or could not be reached.
    #[error("cannot connect: {0}")]
    Remote(io::Error),
    /// The peer did not answer before the deadline.
    #[error("the connection was not established in time")]
    TimedOut,
}

/// Connects to `address`, at the latest by `deadline`. Transient local failures are retried until then; a
/// lack of descriptors is reported at once.
///
/// # Errors
/// No connection was established; the error says on which side the failure was.
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, ConnectError> {
    loop {
        let connecting = match begin_connect(address) {
            Ok(stream) => stream,
            Err(error) if is_interrupted(&error) => continue,
            Err(error) if is_immediate_refusal(&error) => return Err(ConnectError::Remote(error)),
            Err(error) if is_out_of_descriptors(&error) => return Err(ConnectError::Local(error)),
            Err(error) => {
                if Instant::now() + RETRY_PAUSE >= deadline {
                    return Err(ConnectError::Local(error));
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        return match tokio::time::timeout_at(deadline.into(), wait_until_connected(connecting)).await {
            Ok(connected) => connected.map_err(ConnectError::Remote),
            Err(_) => Err(ConnectError::TimedOut),
        };
    }
}

/// Makes the connect call without waiting for the connection. An error here is local, except a refusal by a
/// peer on this machine, which the loopback interface reports at once.
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
                // The connection is in progress, or was established after an interrupted call.
                Some(libc::EINPROGRESS | libc::EALREADY | libc::EISCONN) => break,
                _ => return Err(error),
            },
        }
    }
    TcpStream::from_std(socket.into())
}

/// Returns `true` if an error of the connect call means that a peer on this machine refused the connection.
fn is_immediate_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}

/// Waits until a connection in progress is established or has failed.
async fn wait_until_connected(stream: TcpStream) -> io::Result<TcpStream> {
    stream.writable().await?;
    match stream.take_error()? {
        None => Ok(stream),
        Some(error) => Err(error),
    }
}
