//! Whether the node takes clients, and the operators' commands that change it.

use super::Frontend;
use crate::observability::counters::CounterKind;
use crate::observability::log;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::task::spawn_local;

/// A drained node leaves so much time to requests that are on their way on connections it has answered on.
const CLIENT_DRAIN_TIMEOUT: Duration = Duration::from_millis(1000);
/// How often connections of a drained node are checked.
const CLIENT_DRAIN_INTERVAL: Duration = Duration::from_millis(100);

/// Why the node takes no clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotReady {
    /// SIGTERM has come.
    Stopping,
    /// Operators want no clients here.
    Drained,
    /// There is no endpoint in service, or only a list that may be out of date.
    NoEndpoints,
}

impl NotReady {
    fn name(self) -> &'static str {
        match self {
            NotReady::Stopping => "stopping",
            NotReady::Drained => "drained",
            NotReady::NoEndpoints => "no-servers",
        }
    }
}

/// The process is to end: clients can be neither sent away nor taken again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this process has been told to stop")]
pub struct Stopping;

/// What a command to drain changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainChange {
    /// Clients are sent away from now on.
    Drained,
    /// They were already.
    AlreadyDrained,
}

/// What a command to resume changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeChange {
    /// Clients are taken again.
    Resumed,
    /// They were taken all the time.
    WasNotDrained,
}

impl Frontend {
    /// Whether the node takes clients: an endpoint could serve them, and nobody wants them elsewhere. Each
    /// change is counted and logged.
    ///
    /// # Errors
    /// Why it does not.
    pub fn ready(&self) -> Result<(), NotReady> {
        let ready = self.readiness();
        if self.logged_readiness.replace(Some(ready)) != Some(ready) {
            let name = ready.err().map_or("ready", NotReady::name);
            self.driver.counters.count(CounterKind::Readiness, name);
            log::line(&format!("readiness: {name}"));
        }
        ready
    }

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

    /// Sends clients away: `/up` says no, every response closes its connection, and idle ones are closed.
    ///
    /// # Errors
    /// The process is to end.
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

    /// Closes idle connections for as long as the drain that began then lasts. The task ends with it.
    async fn close_idle_while_drained(self: Rc<Self>, since: Instant) {
        tokio::time::sleep(CLIENT_DRAIN_TIMEOUT).await;
        while self.drained_since.get() == Some(since) {
            self.close_idle(false);
            tokio::time::sleep(CLIENT_DRAIN_INTERVAL).await;
        }
    }

    /// Takes clients again.
    ///
    /// # Errors
    /// The process is to end.
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
