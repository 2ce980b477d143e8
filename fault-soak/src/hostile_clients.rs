//! Simulates clients that never complete a request: they send a part of one, or nothing.

use crate::client::{Clients, request_bytes};
use crate::record::Rule;
use crate::settings::RequestClass;
use fastrand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The time within which a client that sent only a part of a request must get an error or a close.
const PARTIAL_REQUEST_LIMIT_SECONDS: f64 = 3.0;
/// How far `PARTIAL_REQUEST_LIMIT_SECONDS` may be exceeded before that is recorded as a violation.
const PARTIAL_REQUEST_SLACK_SECONDS: f64 = 0.35;
/// How long after `PARTIAL_REQUEST_LIMIT_SECONDS` the client still waits before it closes the connection.
const PARTIAL_REQUEST_EXTRA_WAIT_SECONDS: f64 = 2.0;
/// How long a client holds an idle connection if the node does not close it.
const IDLE_CONNECTION_TIME: Duration = Duration::from_secs(10);

impl Clients {
    /// Sends a part of a request and keeps the connection open. The node must answer with an error or a
    /// close in time; otherwise a violation is recorded.
    pub async fn send_partial_request(self: Arc<Self>, node: usize, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let Some(mut stream) = self.connect(node).await else { return };
        let connected_at = self.record.now();
        let bytes = request_bytes(u64::MAX - seed, RequestClass::Bid, Duration::from_secs(1), 1);
        let length = rng.usize(..bytes.len() - 1);
        if stream.write_all(&bytes[..length]).await.is_err() {
            return;
        }
        let limit =
            Duration::from_secs_f64(PARTIAL_REQUEST_LIMIT_SECONDS + PARTIAL_REQUEST_EXTRA_WAIT_SECONDS);
        let mut byte = [0];
        let reaction = tokio::time::timeout(limit, stream.read(&mut byte)).await;
        let elapsed = self.record.now() - connected_at;
        let stall = self.record.longest_stall(connected_at, self.record.now());
        if reaction.is_err()
            || elapsed > PARTIAL_REQUEST_LIMIT_SECONDS + PARTIAL_REQUEST_SLACK_SECONDS + stall
        {
            let description = format!(
                "node {node}: a partial request ({length} bytes) got neither an error nor a close \
                 for {elapsed:.2} s"
            );
            self.record.record_violation(Rule::MalformedRequest, description);
        }
    }

    /// Opens a connection, sends nothing, and holds it until the node closes it or `IDLE_CONNECTION_TIME`
    /// is over.
    pub async fn hold_idle_connection(self: Arc<Self>, node: usize) {
        let Some(mut stream) = self.connect(node).await else { return };
        let mut byte = [0];
        let _ = tokio::time::timeout(IDLE_CONNECTION_TIME, stream.read(&mut byte)).await;
    }
}
