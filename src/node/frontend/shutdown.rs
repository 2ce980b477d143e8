//! Shuts the frontend down after SIGTERM without leaving an accepted request unanswered.
//!
//! SIGKILL follows SIGTERM, and clients learn only after some time that the node stops. So the shutdown has
//! these phases:
//!
//! 1. [`Frontend::stop`]: from now on, every response closes its connection. The node still accepts
//!    connections while clients may not know that it stops, and then until no further one has arrived for
//!    some time ([`AcceptWindow`]). If a successor accepts the connections, this node accepts none.
//! 2. [`Frontend::wind_down`]: connections without a request are closed at once, the others after their
//!    responses.
//! 3. Shortly before the end, connections with a partial request head are closed, too.
//! 4. [`Frontend::refuse_unsubmitted`]: requests that are still being read are refused, and so is every later
//!    one. In the same turn, the driver fails the open requests, with those whose bodies are being forwarded.
//! 5. [`Frontend::finish_responses`]: the responses are written.
//! 6. [`Frontend::finish_begun_responses`]: responses that are still being forwarded go on until they end or
//!    SIGKILL comes. The end of the process would cut them off, and SIGKILL may come much later.

use super::Frontend;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The node accepts connections for at least this time after SIGTERM. Clients open new connections for up to
/// 0.4 s after it; the rest is a margin.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(700);
/// After [`MIN_ACCEPT_TIME`], the node stops accepting once no connection has arrived for this time.
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(150);
/// The node accepts connections for at most this time after SIGTERM, because SIGKILL could come before
/// requests on later connections are answered.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(1500);
/// If the wind-down has less than this time left, the node no longer waits for the rest of partial requests.
const PARTIAL_REQUEST_CUTOFF: Duration = Duration::from_millis(400);
/// The maximum time between two checks for connections that can be closed during the wind-down.
const WIND_DOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time in which the node accepts connections.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptWindow {
    /// `None` before SIGTERM: the end of the window is not known yet.
    closes_at: Option<Instant>,
}

impl AcceptWindow {
    /// Waits until the window closes. Never returns if the end of the window is not known.
    pub async fn closed(self) {
        match self.closes_at {
            Some(at) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    }
}

impl Frontend {
    /// Returns the window that applies if no connection arrives after `last_accepted_at`.
    pub(super) fn accept_window(&self, last_accepted_at: Instant) -> AcceptWindow {
        let closes_at = self.stopping_since.get().map(|since| {
            let earliest = since + MIN_ACCEPT_TIME;
            earliest.max(last_accepted_at + ACCEPT_QUIET_TIME).min(since + MAX_ACCEPT_TIME)
        });
        AcceptWindow { closes_at }
    }

    /// Begins the shutdown: from now on, every response closes its connection. The node accepts connections
    /// until the [`AcceptWindow`] closes, or none if `has_successor` is true because another process accepts
    /// them on the same socket.
    pub fn stop(&self, has_successor: bool) {
        self.stopping_since.set(Some(Instant::now()));
        self.has_successor.set(has_successor);
        self.stop_requested.notify_one();
    }

    /// Closes connections without a request at once and the others after their responses. Returns when no
    /// connection is left, or at `end`.
    pub async fn wind_down(self: &Rc<Self>, end: Instant) {
        while Instant::now() < end && !self.clients.borrow().is_empty() {
            let time_left = end.saturating_duration_since(Instant::now());
            // A client that sends a request head slowly may still complete it early enough for an answer.
            let closes_partial_requests = time_left < PARTIAL_REQUEST_CUTOFF;
            self.close_idle_where(|client| closes_partial_requests || !client.has_partial_request());
            self.wait_for_close().await;
        }
    }

    /// Refuses the requests that have not been submitted to the driver, now and from now on.
    pub fn refuse_unsubmitted(&self) {
        self.request_cutoff.pass();
    }

    /// Waits until all responses are written and the clients have closed their connections, or until `end`.
    ///
    /// A client may still send the body of a refused request. Its connection stays open until `end`: a close over
    /// unread bytes resets the connection, and with it a response that the client has not read.
    pub async fn finish_responses(self: &Rc<Self>, end: Instant) {
        while Instant::now() < end && !self.clients.borrow().is_empty() {
            self.close_idle_where(|client| !client.is_closing());
            self.wait_for_close().await;
        }
    }

    /// Waits until no response is being written any more, or until `end`.
    pub async fn finish_begun_responses(self: &Rc<Self>, end: Instant) {
        let is_writing = || self.clients.borrow().values().any(|client| client.is_serving());
        while Instant::now() < end && is_writing() {
            self.wait_for_close().await;
        }
    }

    /// Waits until a connection is closed, but not longer than until the next check is due.
    async fn wait_for_close(&self) {
        let _ = tokio::time::timeout(WIND_DOWN_CHECK_INTERVAL, self.client_closed.notified()).await;
    }

    /// Returns whether the node sends its clients away, because it is stopping or drained.
    pub(super) fn is_stopping_or_drained(&self) -> bool {
        self.stopping_since.get().is_some() || self.drained_since.get().is_some()
    }
}
