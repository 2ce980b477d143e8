//! Detects that endpoints accept no more connections, so that the node closes its idle ones.
//!
//! An endpoint accepts a limited number of connections. With many nodes, most of them are idle connections of
//! nodes that seldom send a request.
//!
//! If a large share of the recent attempts at all endpoints could not get a connection, connections are
//! scarce: the node closes its idle connections to all endpoints, and for some time it does not keep a
//! connection that becomes idle. Each request then costs a handshake, so the threshold is high enough that a
//! few endpoints that are down do not reach it.

use super::event::AttemptOutcome;

/// Weight of one outcome in the moving average of the share of attempts without a connection.
const UNCONNECTED_SHARE_STEP: f64 = 0.02;
/// Connections are scarce if the share of attempts without a connection exceeds this.
const SCARCE_UNCONNECTED_SHARE: f64 = 0.15;

/// The share of attempts without a connection, over all endpoints, and whether connections are scarce.
#[derive(Debug, Default)]
pub(super) struct ConnectionScarcity {
    /// Share of recent attempts for which no connection could be made, 0 to 1; a moving average.
    unconnected_share: f64,
    /// Until when connections count as scarce, in milliseconds on the balancer's clock; `None` if they never
    /// were scarce.
    scarce_until_ms: Option<f64>,
}

impl ConnectionScarcity {
    /// Records the outcome of an attempt. If the share of attempts without a connection is then above the
    /// threshold, connections count as scarce for the next `hold_ms` milliseconds.
    ///
    /// Returns whether connections have just become scarce: the caller must then close the idle connections
    /// to all endpoints.
    pub fn record(&mut self, now_ms: f64, outcome: AttemptOutcome, hold_ms: f64) -> bool {
        let unconnected = f64::from(u8::from(outcome == AttemptOutcome::ConnectFailed));
        self.unconnected_share += UNCONNECTED_SHARE_STEP * (unconnected - self.unconnected_share);
        if self.unconnected_share <= SCARCE_UNCONNECTED_SHARE {
            return false;
        }
        let was_scarce = self.is_scarce(now_ms);
        self.scarce_until_ms = Some(now_ms + hold_ms);
        !was_scarce
    }

    /// Returns whether connections are scarce: the caller must close connections that become idle.
    pub fn is_scarce(&self, now_ms: f64) -> bool {
        self.scarce_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }
}
