//! Accepts connections from a listening socket, classifies the errors of accept, and limits the rate of
//! retries after them.

use super::descriptors::Descriptors;
use super::syscall_errors::is_interrupted;
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};

/// How many accepts may fail in a row before the next one is delayed. Each failure may concern only one
/// connection in the queue, so a few of them are no reason to wait.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 32;
/// Pause before the next accept if the process or the system lacks a resource.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts connections from one listening socket, and tracks how long they can have waited in its accept
/// queue.
pub struct Acceptor {
    listener: TcpListener,
    consecutive_failures: Cell<u32>,
    /// Whether this process has accepted any connection.
    has_accepted: Cell<bool>,
    /// Whether the accept queue has been found empty since the last connection was accepted.
    was_empty: Cell<bool>,
    /// When the accept queue was last known to be empty. Set when a connection is accepted from a queue that
    /// was empty before, or when this process begins to listen. The connection that was accepted last arrived
    /// after this time, or before it by at most a delay of the event loop. `None` if the queue is not known
    /// to have been empty since this process started.
    last_known_empty_at: Cell<Option<Instant>>,
}

/// Why no connection was accepted.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// The connection had failed or been closed before it was accepted. Others may wait in the queue.
    #[error("the connection was closed before it was accepted")]
    ConnectionClosed,
    /// This process is at its limit of descriptors.
    #[error("no descriptor")]
    OutOfDescriptors,
    /// The system lacks descriptors, buffers or memory for the moment.
    #[error("the system cannot accept for now")]
    System,
}

impl AcceptError {
    fn classify(error: &io::Error) -> AcceptError {
        match error.raw_os_error() {
            Some(libc::EMFILE) => AcceptError::OutOfDescriptors,
            Some(libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => AcceptError::System,
            // Linux also returns network errors that are already pending on the new connection.
            _ => AcceptError::ConnectionClosed,
        }
    }

    /// Returns a short text for the log, which counts failures by this text.
    pub fn text(&self) -> &'static str {
        match self {
            AcceptError::ConnectionClosed => "closed before it was accepted",
            AcceptError::OutOfDescriptors => "no descriptor",
            AcceptError::System => "the system cannot accept for now",
        }
    }
}

impl Acceptor {
    /// Creates an acceptor. `listening_since` is when this process began to listen, with an empty accept
    /// queue. It is `None` if the process inherited the socket, because connections may already wait in the
    /// queue.
    pub fn new(listener: TcpListener, listening_since: Option<Instant>) -> Acceptor {
        Acceptor {
            listener,
            consecutive_failures: Cell::new(0),
            has_accepted: Cell::new(false),
            was_empty: Cell::new(false),
            last_known_empty_at: Cell::new(listening_since),
        }
    }

    /// Returns the longest time that the connection that was accepted last can have waited in the accept
    /// queue, or `None` if that is unknown.
    pub fn max_queue_wait(&self) -> Option<Duration> {
        self.last_known_empty_at.get().map(|empty_at| empty_at.elapsed())
    }

    /// Accepts the next connection. If the accept queue was empty and this call had to wait for the
    /// connection, sets `last_known_empty_at` to the time of the accept: a delay of the event loop between
    /// the arrival and the accept does not count as a wait in the queue.
    async fn accept_and_track_queue(&self) -> io::Result<TcpStream> {
        poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            match &accepted {
                // Before the first connection, `Poll::Pending` does not prove that the queue is empty: the
                // poller may not have asked the system yet.
                Poll::Pending => self.was_empty.set(self.has_accepted.get()),
                Poll::Ready(_) if self.was_empty.take() => {
                    self.last_known_empty_at.set(Some(Instant::now()))
                }
                Poll::Ready(_) => {}
            }
            accepted
        })
        .await
        .map(|(stream, _)| stream)
    }

    /// Waits for the next connection. Cancelling this future loses no connection.
    ///
    /// # Errors
    /// The accept failed; the caller must call [`Acceptor::recover`] before the next one.
    pub async fn accept(&self) -> Result<TcpStream, AcceptError> {
        loop {
            match self.accept_and_track_queue().await {
                Ok(stream) => {
                    self.has_accepted.set(true);
                    self.consecutive_failures.set(0);
                    return Ok(stream);
                }
                Err(error) if is_interrupted(&error) => {}
                Err(error) => {
                    self.consecutive_failures.set(self.consecutive_failures.get().saturating_add(1));
                    return Err(AcceptError::classify(&error));
                }
            }
        }
    }

    /// Waits after a failed accept until the next one is worthwhile, so that failing accepts do not keep
    /// the event loop busy. If this process is out of descriptors, an idle connection is closed, too; with
    /// other errors that would not help.
    pub async fn recover(&self, error: &AcceptError, descriptors: &Descriptors) {
        if matches!(error, AcceptError::OutOfDescriptors) {
            descriptors.reclaim();
        }
        let may_retry_at_once = matches!(error, AcceptError::ConnectionClosed)
            && self.consecutive_failures.get() < MAX_FAILURES_WITHOUT_PAUSE;
        if !may_retry_at_once {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}
