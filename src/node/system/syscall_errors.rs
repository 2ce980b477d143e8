//! What an error of a system call means: whether it concerns this machine or the other side.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};

/// Pause before a call is tried again that this machine could not do.
const RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Accepts that fail in a row without a pause: each may concern one connection of the queue.
const ACCEPTS_AT_ONCE: u32 = 32;
/// Pause before the next accept where the system lacks something.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// This process has as many descriptors as it may.
pub fn out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(libc::EMFILE)
}

/// The call was cut short before it did anything: it is to be made again.
pub fn interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// The system lacks memory or buffers for the moment; the connection itself is intact.
pub fn out_of_buffers(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// For so long a process that starts tries to get what it cannot do without.
const START_TIME: Duration = Duration::from_secs(5);

/// The system lacks something that it may have again in a moment.
fn lasts_a_moment(error: &io::Error) -> bool {
    let lacks = matches!(error.raw_os_error(), Some(libc::ENFILE | libc::EAGAIN));
    interrupted(error) || out_of_buffers(error) || lacks
}

/// Makes a call that the process cannot start without, again and again while the system cannot do it for the moment.
pub async fn retry_transient<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let give_up = Instant::now() + START_TIME;
    loop {
        match call() {
            Err(error) if lasts_a_moment(&error) && Instant::now() < give_up => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            done => return done,
        }
    }
}

/// Why there is no connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine could not begin one: the other side has not been asked.
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
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, ConnectError> {
    loop {
        let begun = match begin_connect(address) {
            Ok(stream) => stream,
            Err(error) if interrupted(&error) => continue,
            Err(error) if refused_at_once(&error) => return Err(ConnectError::Remote(error)),
            Err(error) if out_of_descriptors(&error) => return Err(ConnectError::Local(error)),
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

/// The connect call itself. An error here comes from this machine, but for a refusal by a neighbour process, which
/// loopback tells at once.
fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM.nonblocking(),
        Some(socket2::Protocol::TCP),
    )?;
    loop {
        match socket.connect(&address.into()) {
            Ok(()) => break,
            Err(error) if interrupted(&error) => {}
            Err(error) => match error.raw_os_error() {
                // Under way, or up since a call that was interrupted.
                Some(libc::EINPROGRESS | libc::EALREADY | libc::EISCONN) => break,
                _ => return Err(error),
            },
        }
    }
    TcpStream::from_std(socket.into())
}

fn refused_at_once(error: &io::Error) -> bool {
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

/// Accepts connections, and tells what it means where that fails.
pub struct Acceptor {
    listener: TcpListener,
    failed_in_a_row: Cell<u32>,
    /// Some connection has been accepted.
    accepted: Cell<bool>,
    /// The queue has been empty since the last connection was accepted.
    emptied: Cell<bool>,
    /// Since when it has not been empty; none where that is from before this process.
    filled: Cell<Option<Instant>>,
}

/// Why no connection was accepted.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// It had ended already; there may be others.
    #[error("the connection had ended already")]
    Ended,
    /// This process has no descriptor left.
    #[error("no descriptor")]
    OutOfDescriptors,
    /// The system lacks something for now.
    #[error("the system cannot accept for now")]
    System,
}

impl AcceptError {
    fn of(error: &io::Error) -> AcceptError {
        match error.raw_os_error() {
            Some(libc::EMFILE) => AcceptError::OutOfDescriptors,
            Some(libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => AcceptError::System,
            // Linux passes errors on that wait on the new connection.
            _ => AcceptError::Ended,
        }
    }

    /// In a few words, for the log.
    pub fn text(&self) -> &'static str {
        match self {
            AcceptError::Ended => "gone already",
            AcceptError::OutOfDescriptors => "no descriptor",
            AcceptError::System => "the system cannot accept for now",
        }
    }
}

impl Acceptor {
    /// For a socket that listens, since when this process began to or, where it inherits one, none.
    pub fn new(listener: TcpListener, since: Option<Instant>) -> Acceptor {
        Acceptor {
            listener,
            failed_in_a_row: Cell::new(0),
            accepted: Cell::new(false),
            emptied: Cell::new(false),
            filled: Cell::new(since),
        }
    }

    /// How long the connection that was accepted last may have waited in the queue; none where nobody can tell.
    pub fn waited_at_most(&self) -> Option<Duration> {
        self.filled.get().map(|since| since.elapsed())
    }

    /// The next connection, and a note on whether it had to be waited for: then the queue was empty.
    async fn accept_noting(&self) -> io::Result<TcpStream> {
        poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            match &accepted {
                // Before the first connection the poller has only not looked yet.
                Poll::Pending => self.emptied.set(self.accepted.get()),
                Poll::Ready(_) if self.emptied.take() => self.filled.set(Some(Instant::now())),
                Poll::Ready(_) => {}
            }
            accepted
        })
        .await
        .map(|(stream, _)| stream)
    }

    /// The next connection. Cancelling it loses none.
    pub async fn accept(&self) -> Result<TcpStream, AcceptError> {
        loop {
            match self.accept_noting().await {
                Ok(stream) => {
                    self.accepted.set(true);
                    self.failed_in_a_row.set(0);
                    return Ok(stream);
                }
                Err(error) if interrupted(&error) => {}
                Err(error) => {
                    self.failed_in_a_row.set(self.failed_in_a_row.get().saturating_add(1));
                    return Err(AcceptError::of(&error));
                }
            }
        }
    }

    /// Waits until the next accept is worth trying, after one that failed.
    pub async fn pause(&self, after: &AcceptError) {
        let at_once = matches!(after, AcceptError::Ended) && self.failed_in_a_row.get() < ACCEPTS_AT_ONCE;
        if !at_once {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}
