//! Takes clients' connections.

use super::Frontend;
use super::shutdown::AcceptWindow;
use crate::system::accept_time;
use crate::system::acceptor::{AcceptError, Acceptor};
use crate::system::listener::CLIENT_BACKLOG;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// In which the system says whether another connection waits.
const LAST_ACCEPT_POLL: Duration = Duration::from_millis(5);

/// What one pass of the accept loop brought.
enum AcceptEvent {
    Accepted(Result<TcpStream, AcceptError>),
    /// SIGTERM has just come.
    StopRequested,
    /// No connection comes any more.
    Over,
}

impl Frontend {
    /// Accepts connections until SIGTERM, and then for as long as they still come.
    pub async fn accept(self: &Rc<Self>, acceptor: Acceptor) {
        let mut last_accepted_at = Instant::now();
        // Connections that came while this task was not polled wait in the backlog, and no more than that
        // holds.
        let mut last_polls = CLIENT_BACKLOG;
        while !self.is_succeeded.get() {
            let window = self.accept_window(last_accepted_at);
            let accepted = match self.next_event(&acceptor, window, &mut last_polls).await {
                AcceptEvent::Accepted(accepted) => accepted,
                AcceptEvent::StopRequested => continue,
                AcceptEvent::Over => return,
            };
            match accepted {
                Ok(stream) => {
                    last_accepted_at = Instant::now();
                    // If descriptors are scarce this waits for one: others wait in the backlog and are taken
                    // then.
                    let permit = self.descriptors.take_for_client().await;
                    let queued_since = accept_time::first_byte(&stream, acceptor.waited_at_most());
                    self.serve(stream, permit, queued_since);
                }
                Err(error) => {
                    self.count_rejection(error.text());
                    acceptor.recover(&error, &self.descriptors).await;
                }
            }
        }
    }

    async fn next_event(
        &self,
        acceptor: &Acceptor,
        window: AcceptWindow,
        last_polls: &mut u32,
    ) -> AcceptEvent {
        tokio::select! {
            accepted = acceptor.accept() => AcceptEvent::Accepted(accepted),
            () = window.closed() => {
                match tokio::time::timeout(LAST_ACCEPT_POLL, acceptor.accept()).await {
                    Ok(accepted) if *last_polls > 0 => {
                        *last_polls -= 1;
                        AcceptEvent::Accepted(accepted)
                    }
                    _ => AcceptEvent::Over,
                }
            }
            () = self.stop_requested.notified() => AcceptEvent::StopRequested,
        }
    }
}
