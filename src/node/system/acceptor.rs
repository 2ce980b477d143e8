//! Accepts connections, and classifies failures to do so.

use super::descriptors::Descriptors;
use super::syscall_errors::is_interrupted;
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};

/// Accepts that fail in a row without a pause: each may concern one connection of the queue.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 32;
/// Pause before the next accept where the system lacks something.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts connections of a listening socket.
pub struct Acceptor {
    listener: TcpListener,
    consecutive_failures: Cell<u32>,
    /// A connection has been accepted.
    has_accepted: Cell<bool>,
    /// The queue has been empty since the last connection was accepted.
    was_empty: Cell<bool>,
    /// Since when it has not been empty; none where that is from before this process.
    filled_since: Cell<Option<Instant>>,
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
            consecutive_failures: Cell::new(0),
            has_accepted: Cell::new(false),
            was_empty: Cell::new(false),
            filled_since: Cell::new(since),
        }
    }

    /// How long the connection that was accepted last may have waited in the queue; none where nobody can
    /// tell.
    pub fn waited_at_most(&self) -> Option<Duration> {
        self.filled_since.get().map(|since| since.elapsed())
    }

    /// The next connection, and a note on whether it had to be waited for: then the queue was empty.
    async fn accept_noting(&self) -> io::Result<TcpStream> {
        poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            match &accepted {
                // Before the first connection the poller has not polled yet.
                Poll::Pending => self.was_empty.set(self.has_accepted.get()),
                Poll::Ready(_) if self.was_empty.take() => self.filled_since.set(Some(Instant::now())),
                Poll::Ready(_) => {}
            }
            accepted
        })
        .await
        .map(|(stream, _)| stream)
    }

    /// The next connection. Cancelling it loses none.
    ///
    /// # Errors
    /// What it means that none was accepted.
    pub async fn accept(&self) -> Result<TcpStream, AcceptError> {
        loop {
            match self.accept_noting().await {
                Ok(stream) => {
                    self.has_accepted.set(true);
                    self.consecutive_failures.set(0);
                    return Ok(stream);
                }
                Err(error) if is_interrupted(&error) => {}
                Err(error) => {
                    self.consecutive_failures.set(self.consecutive_failures.get().saturating_add(1));
                    return Err(AcceptError::of(&error));
                }
            }
        }
    }

    /// Waits until the next accept is worthwhile, after one that failed: an accept that fails may neither
    /// end the node nor keep it busy. Only where this process has no descriptor left does the close of
    /// something idle help.
    pub async fn recover(&self, after: &AcceptError, descriptors: &Descriptors) {
        if matches!(after, AcceptError::OutOfDescriptors) {
            descriptors.reclaim();
        }
        let is_worth_trying = matches!(after, AcceptError::Ended)
            && self.consecutive_failures.get() < MAX_FAILURES_WITHOUT_PAUSE;
        if !is_worth_trying {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}
