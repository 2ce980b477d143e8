//! Provides connections to endpoints: idle connections from a pool, or new ones if none is reusable.
//!
//! An endpoint may close an idle connection at the moment when the node sends a request on it. The node
//! cannot tell whether the endpoint executed the request, and a request that must not be repeated is then
//! lost. The pool therefore drops an idle connection well before its endpoint is expected to close it, and
//! drops all idle connections of an endpoint that has broken one.

use super::connection::UpstreamConnection;
use super::idle_age::IdleAgeStatistics;
use crate::system::clock::clamped_duration;
use crate::system::connect::ConnectError;
use crate::system::descriptors::Descriptors;
use crate::system::memory::MemoryBudget;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wheelpath::policy::{AttemptOutcome, EndpointId};

/// The node closes an idle connection after this fraction of the time after which the endpoint closes it. A
/// request that is sent while the endpoint closes the connection may have been executed; if it must not be
/// repeated, it is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// A connection is reused only after it has been idle for this time without receiving anything. Surplus
/// bytes right after a response would otherwise be taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// The upper bound for the timeouts in the settings, in milliseconds (one day).
const MAX_TIMEOUT_MS: f64 = 86_400_000.0;

/// A connection without a request in progress.
struct IdleConnection {
    connection: UpstreamConnection,
    idle_since: Instant,
}

/// A connection to be used for one attempt.
pub(super) struct PooledConnection {
    pub connection: UpstreamConnection,
    /// For how long the connection had been idle. `None` for a new connection.
    pub idle_for: Option<Duration>,
}

/// The endpoint that an attempt needs a connection to, and the times that limit the wait for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionRequest {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    /// The time at which the attempt ends if no response has come.
    pub deadline: Instant,
    /// The latest time at which the first byte of the request may be sent.
    pub send_by: Instant,
}

/// The timeouts of connections in the settings, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// The time within which a connection has to be established.
    pub connect_ms: f64,
    /// The time after which endpoints close idle connections.
    pub idle_ms: f64,
}

/// The pool of idle connections to all endpoints.
pub struct Upstream {
    /// The idle connections to each endpoint, ordered by `idle_since`, with the longest idle one first.
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    descriptors: Rc<Descriptors>,
    connect_timeout: Duration,
    /// [`IDLE_TIMEOUT_FRACTION`] of the idle timeout in the settings. The age limit of `idle_ages` may be
    /// lower.
    idle_timeout: Duration,
    idle_ages: RefCell<IdleAgeStatistics>,
    /// The maximum size of a connection's buffer, in bytes.
    max_buffer_bytes: usize,
    pub(super) memory: Rc<MemoryBudget>,
}

impl Upstream {
    /// Creates an empty pool. `max_buffer_bytes` is the maximum size of a connection's buffer. Responses are
    /// buffered as far as `memory` allows.
    ///
    /// If descriptors run out, `descriptors` closes idle connections of the pool to free some.
    pub fn new(
        descriptors: Rc<Descriptors>,
        timeouts: ConnectionTimeouts,
        max_buffer_bytes: usize,
        memory: Rc<MemoryBudget>,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            descriptors: descriptors.clone(),
            connect_timeout: clamped_duration(timeouts.connect_ms, MAX_TIMEOUT_MS),
            idle_timeout: clamped_duration(timeouts.idle_ms * IDLE_TIMEOUT_FRACTION, MAX_TIMEOUT_MS),
            idle_ages: RefCell::new(IdleAgeStatistics::new()),
            max_buffer_bytes,
            memory,
        });
        let weak = Rc::downgrade(&upstream);
        let reclaim = move || weak.upgrade().is_some_and(|upstream| upstream.close_longest_idle());
        descriptors.set_endpoint_connection_reclaim(Box::new(reclaim));
        upstream
    }

    /// Closes all idle connections to an endpoint.
    ///
    /// This is also called after an endpoint broke a connection, because the endpoint may have restarted.
    /// In that case the next request on any of its other connections would be reset, and a request that
    /// must not be repeated would be lost.
    pub fn close_idle(&self, endpoint: EndpointId) {
        let closed = self.idle.borrow_mut().remove(&endpoint);
        drop(closed);
    }

    /// Closes the connection that has been idle for the longest time. Returns `false` if there is none.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle.values_mut().filter(|connections| !connections.is_empty());
        let longest_idle =
            non_empty.min_by_key(|connections| connections.first().map(|idle| idle.idle_since));
        let closed = longest_idle.map(|connections| connections.remove(0));
        closed.is_some()
    }

    /// Returns the idle age below which a connection may be reused.
    fn idle_limit(&self) -> Duration {
        self.idle_ages
            .borrow()
            .age_limit()
            .map_or(self.idle_timeout, |age_limit| age_limit.min(self.idle_timeout))
    }

    /// Records whether a request broke its connection before the first byte of the response. `idle_for` is
    /// the time for which the connection had been idle, or `None` for a new connection.
    pub(super) fn record_use(&self, idle_for: Option<Duration>, is_broken: bool) {
        self.idle_ages.borrow_mut().record(idle_for, is_broken);
    }

    /// Closes connections that have been idle for too long or that endpoints have closed. The caller must
    /// call this at regular intervals.
    pub fn sweep(&self) {
        let idle_limit = self.idle_limit();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.is_valid(idle_limit));
            !connections.is_empty()
        });
    }

    /// Takes the most recently used reusable connection to an endpoint out of the pool. Returns `None` if the
    /// pool has none.
    fn take_idle(&self, endpoint: EndpointId) -> Option<IdleConnection> {
        let idle_limit = self.idle_limit();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        // The sweep may be late, and the endpoint may have closed connections since the last sweep.
        connections.retain(|idle| idle.is_valid(idle_limit));
        let reusable = connections.iter().rposition(|idle| idle.idle_since.elapsed() >= REUSE_DELAY)?;
        Some(connections.remove(reusable))
    }

    /// Puts a connection back into the pool after an exchange. Closes the connection if it cannot send
    /// another request.
    pub fn keep(&self, endpoint: EndpointId, connection: UpstreamConnection) {
        if connection.is_alive() && connection.is_ready() {
            let kept = IdleConnection { connection, idle_since: Instant::now() };
            self.idle.borrow_mut().entry(endpoint).or_default().push(kept);
        }
    }

    /// Returns an idle connection to an endpoint, or connects in time for the attempt.
    ///
    /// # Errors
    /// Returns the outcome of the attempt if there is no connection. The outcome is `NotSent` if this
    /// machine could not connect, for example for lack of a descriptor, or if connecting lasted past
    /// `send_by`. In these cases `ConnectFailed` would wrongly count against the endpoint.
    pub(super) async fn acquire_connection(
        &self,
        request: ConnectionRequest,
    ) -> Result<PooledConnection, AttemptOutcome> {
        let ConnectionRequest { endpoint, address, deadline, send_by } = request;
        if let Some(IdleConnection { connection, idle_since }) = self.take_idle(endpoint) {
            return Ok(PooledConnection { connection, idle_for: Some(idle_since.elapsed()) });
        }
        let time_left = || {
            let attempt_time_left = deadline.min(send_by).saturating_duration_since(Instant::now());
            self.connect_timeout.min(attempt_time_left)
        };
        let permit = tokio::time::timeout(time_left(), self.descriptors.take()).await;
        let permit = permit.map_err(|_| AttemptOutcome::NotSent)?;
        let connect_by = Instant::now() + time_left();
        match UpstreamConnection::open(address, connect_by, permit, self.max_buffer_bytes).await {
            Ok(connection) => Ok(PooledConnection { connection, idle_for: None }),
            Err(ConnectError::Local(_)) => Err(AttemptOutcome::NotSent),
            Err(ConnectError::TimedOut) if Instant::now() >= send_by => Err(AttemptOutcome::NotSent),
            Err(ConnectError::TimedOut | ConnectError::Remote(_)) => Err(AttemptOutcome::ConnectFailed),
        }
    }
}

impl IdleConnection {
    /// Returns whether the connection has been idle for less than `idle_limit` and is still open.
    fn is_valid(&self, idle_limit: Duration) -> bool {
        self.idle_since.elapsed() < idle_limit && self.connection.is_alive()
    }
}
