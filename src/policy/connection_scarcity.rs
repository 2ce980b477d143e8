//! Gives idle connections back when endpoints accept no more.
//!
//! An endpoint accepts so many connections, and with many nodes most of them are idle ones of nodes that
//! seldom call. When attempts find no connection at large, idle connections are closed at all endpoints and
//! none is kept for a while. That costs a handshake per request, so a few endpoints that are down must not
//! bring it about.

use super::event::AttemptOutcome;

/// How far the share moves towards one outcome.
const STEP: f64 = 0.02;
/// Share of attempts without a connection from which connections are scarce.
const SCARCE_SHARE: f64 = 0.15;

/// What the node knows of connections at large.
#[derive(Debug, Default)]
pub(super) struct ConnectionScarcity {
    /// Share of recent attempts that found no connection.
    unconnected_share: f64,
    scarce_until_ms: Option<f64>,
}

impl ConnectionScarcity {
    /// Takes in an outcome; `hold_ms` is for how long connections then count as scarce. True if they
    /// have just become so: idle connections at all endpoints are to be closed.
    pub fn record(&mut self, now_ms: f64, outcome: AttemptOutcome, hold_ms: f64) -> bool {
        let failed = f64::from(u8::from(outcome == AttemptOutcome::ConnectFailed));
        self.unconnected_share += STEP * (failed - self.unconnected_share);
        if self.unconnected_share <= SCARCE_SHARE {
            return false;
        }
        let was_scarce = self.is_scarce(now_ms);
        self.scarce_until_ms = Some(now_ms + hold_ms);
        !was_scarce
    }

    /// Whether a connection that carries nothing is to be closed.
    pub fn is_scarce(&self, now_ms: f64) -> bool {
        self.scarce_until_ms.is_some_and(|until| now_ms < until)
    }
}
