//! Accepts clients' connections until the node has received SIGTERM and no further connections arrive.

use super::Frontend;
use super::shutdown::AcceptWindow;
use crate::system::acceptor::{AcceptError, Acceptor};
use crate::system::listener::CLIENT_BACKLOG;
use crate::system::receive_timestamp;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The accept queue counts as empty if it yields no connection within this time.
const QUEUED_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);

/// An event that the accept loop waits for.
enum AcceptEvent {
    Accepted(Result<TcpStream, AcceptError>),
    /// The node has received SIGTERM, so the accept window has to be determined again.
    StopRequested,
    /// The accept window has closed and the accept queue has been emptied.
    Finished,
}

impl Frontend {
    /// Accepts connections until the node receives SIGTERM, and then until the accept window has closed and
    /// the accept queue is empty. If another process has taken over when the node receives SIGTERM, this one
    /// leaves all further connections to that process.
    pub async fn accept(self: &Rc<Self>, acceptor: Acceptor) {
        let mut last_accepted_at = Instant::now();
        // When the window has closed, connections that arrived while this task was not polled are still in
        // the accept queue. There are at most as many as the queue holds.
        let mut queued_accepts_left = CLIENT_BACKLOG;
        while !self.has_successor.get() {
            let window = self.accept_window(last_accepted_at);
            let accepted = match self.next_event(&acceptor, window, &mut queued_accepts_left).await {
                AcceptEvent::Accepted(accepted) => accepted,
                AcceptEvent::StopRequested => continue,
                AcceptEvent::Finished => return,
            };
            match accepted {
                Ok(stream) => {
                    last_accepted_at = Instant::now();
                    // If descriptors are scarce, this waits for one. Further connections wait in the accept
                    // queue and are accepted afterwards.
                    let permit = self.descriptors.take_for_client().await;
                    let queued_since =
                        receive_timestamp::first_byte_received_at(&stream, acceptor.max_queue_wait());
                    self.serve(stream, permit, queued_since);
                }
                Err(error) => {
                    self.count_rejection(error.text());
                    acceptor.recover(&error, &self.descriptors).await;
                }
            }
        }
    }

    /// Waits for the next event. `queued_accepts_left` is the number of connections that may still be
    /// accepted after `window` has closed, and is reduced by each of them.
    async fn next_event(
        &self,
        acceptor: &Acceptor,
        window: AcceptWindow,
        queued_accepts_left: &mut u32,
    ) -> AcceptEvent {
        tokio::select! {
            accepted = acceptor.accept() => AcceptEvent::Accepted(accepted),
            () = window.closed() => {
                match tokio::time::timeout(QUEUED_ACCEPT_TIMEOUT, acceptor.accept()).await {
                    Ok(accepted) if *queued_accepts_left > 0 => {
                        *queued_accepts_left -= 1;
                        AcceptEvent::Accepted(accepted)
                    }
                    _ => AcceptEvent::Finished,
                }
            }
            () = self.stop_requested.notified() => AcceptEvent::StopRequested,
        }
    }
}
