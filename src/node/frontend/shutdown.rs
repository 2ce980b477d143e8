//! The end of the process, as a sequence of phases.
//!
//! 1. Told to stop: every response closes its connection. New connections are taken for as long as clients
//!    may not know yet, and then until none has come for a moment ([`AcceptWindow`]); none at all where a
//!    successor takes them.
//! 2. Winding down: connections that carry nothing are closed, the others when they are answered.
//! 3. Shortly before the end, incomplete request heads are not waited for any more.
//! 4. What is still open is failed by the driver, and those failures are written.

use super::Frontend;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// New connections come for up to 0.4 s after the notice to stop, and a margin; then until none has come
/// for a moment.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(700);
const SHUTDOWN_ACCEPT_QUIET_TIME: Duration = Duration::from_millis(150);
/// But so long at most: SIGKILL would find unanswered what is taken later.
const SHUTDOWN_ACCEPT_MAX_TIME: Duration = Duration::from_millis(1500);
/// A head that has not come so long before the end of the process is not waited for.
const SHUTDOWN_HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// How often connections are checked while they wind down.
const WIND_DOWN_INTERVAL: Duration = Duration::from_millis(20);

/// Until when new connections are taken, as far as that is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptWindow {
    /// None before SIGTERM.
    closes_at: Option<Instant>,
}

impl AcceptWindow {
    /// Waits until the window closes.
    pub async fn closed(self) {
        match self.closes_at {
            Some(at) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    }
}

impl Frontend {
    /// Until when new connections are taken, if none comes after `last_accepted_at`.
    pub(super) fn accept_window(&self, last_accepted_at: Instant) -> AcceptWindow {
        let closes_at = self.stopping_since.get().map(|since| {
            let usual = since + SHUTDOWN_ACCEPT_TIME;
            usual.max(last_accepted_at + SHUTDOWN_ACCEPT_QUIET_TIME).min(since + SHUTDOWN_ACCEPT_MAX_TIME)
        });
        AcceptWindow { closes_at }
    }

    /// From now on every response closes its connection. New connections are taken for a while, or not at
    /// all where another process has succeeded this one on the same socket.
    pub fn stop(&self, has_successor: bool) {
        self.stopping_since.set(Some(Instant::now()));
        self.has_successor.set(has_successor);
        self.stop_requested.notify_one();
    }

    /// Closes what carries nothing, and the rest as it is answered; returns when no client is left, or at
    /// `end`.
    pub async fn wind_down(self: &Rc<Self>, end: Instant) {
        while Instant::now() < end && !self.clients.borrow().is_empty() {
            let time_left = end.saturating_duration_since(Instant::now());
            // A client that is slow with a head may still bring it in time to be answered.
            self.close_idle(time_left < SHUTDOWN_HEAD_TIMEOUT);
            let _ = tokio::time::timeout(WIND_DOWN_INTERVAL, self.client_closed.notified()).await;
        }
    }

    /// Whether clients are sent away: the process is to end, or operators want no clients here.
    pub(super) fn is_stopping_or_drained(&self) -> bool {
        self.stopping_since.get().is_some() || self.drained_since.get().is_some()
    }
}
