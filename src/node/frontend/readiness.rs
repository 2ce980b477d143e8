//! Decides whether the node accepts clients, and carries out the operators' commands `drain` and `resume`.
//!
//! A node that stops, is drained or cannot serve any request should get no clients. `/up` and the operators'
//! command `ready` report the readiness, so that the platform sends clients to other nodes.

use super::Frontend;
use crate::observability::counters::CounterKind;
use crate::observability::log;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::task::spawn_local;

/// A drained node closes no idle connections for this time, so that requests already in flight on them are
/// answered.
const CLIENT_DRAIN_GRACE: Duration = Duration::from_millis(1000);
/// The time between two checks for idle connections on a drained node.
const CLIENT_DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The reason why the node accepts no clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotReady {
    /// The process has received SIGTERM.
    Stopping,
    /// Operators have drained the node.
    Drained,
    /// No endpoint can be used, or the endpoint list may be out of date.
    NoEndpoints,
}

impl NotReady {
    /// Returns the name in the counters and in the log.
    fn name(self) -> &'static str {
        match self {
            NotReady::Stopping => "stopping",
            NotReady::Drained => "drained",
            NotReady::NoEndpoints => "no-servers",
        }
    }
}

/// The error of a `drain` or `resume` command that arrives after SIGTERM. The process stops regardless of the
/// command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this process has received SIGTERM")]
pub struct Stopping;

/// The effect of a `drain` command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainChange {
    /// The node has begun to send its clients away.
    Drained,
    /// The node was already drained.
    AlreadyDrained,
}

/// The effect of a `resume` command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeChange {
    /// The node accepts clients again.
    Resumed,
    /// The node was not drained, so nothing changed.
    WasNotDrained,
}

impl Frontend {
    /// Checks whether the node accepts clients. Counts and logs the result if it differs from that of the
    /// previous call.
    ///
    /// # Errors
    /// The node accepts no clients, for the reason returned.
    pub fn ready(&self) -> Result<(), NotReady> {
        let ready = self.readiness();
        if self.logged_readiness.replace(Some(ready)) != Some(ready) {
            let name = ready.err().map_or("ready", NotReady::name);
            self.driver.counters.count(CounterKind::Readiness, name);
            log::line(&format!("readiness: {name}"));
        }
        ready
    }

    /// Determines the readiness without a log line.
    fn readiness(&self) -> Result<(), NotReady> {
        if self.stopping_since.get().is_some() {
            Err(NotReady::Stopping)
        } else if self.drained_since.get().is_some() {
            Err(NotReady::Drained)
        } else if !self.driver.is_ready() {
            Err(NotReady::NoEndpoints)
        } else {
            Ok(())
        }
    }

    /// Sends clients away: `/up` reports that the node is not ready, every response closes its connection,
    /// and idle connections are closed after a grace period.
    ///
    /// # Errors
    /// The process has received SIGTERM.
    pub fn drain(self: &Rc<Self>) -> Result<DrainChange, Stopping> {
        if self.stopping_since.get().is_some() {
            return Err(Stopping);
        }
        if self.drained_since.get().is_some() {
            return Ok(DrainChange::AlreadyDrained);
        }
        let since = Instant::now();
        self.drained_since.set(Some(since));
        spawn_local(self.clone().close_idle_while_drained(since));
        Ok(DrainChange::Drained)
    }

    /// Closes idle connections until the drain that began at `since` ends.
    async fn close_idle_while_drained(self: Rc<Self>, since: Instant) {
        tokio::time::sleep(CLIENT_DRAIN_GRACE).await;
        while self.drained_since.get() == Some(since) {
            self.close_idle_where(|client| !client.has_partial_request());
            tokio::time::sleep(CLIENT_DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Ends a drain, so that the node accepts clients again.
    ///
    /// # Errors
    /// The process has received SIGTERM.
    pub fn resume(&self) -> Result<ResumeChange, Stopping> {
        let was_drained = self.drained_since.take().is_some();
        if self.stopping_since.get().is_some() {
            Err(Stopping)
        } else if was_drained {
            Ok(ResumeChange::Resumed)
        } else {
            Ok(ResumeChange::WasNotDrained)
        }
    }
}
