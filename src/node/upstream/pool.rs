//! The idle connections to endpoints, and new ones where none is idle.

use super::connection::UpstreamConnection;
use super::idle_age::IdleAgeStatistics;
use crate::system::clock::span;
use crate::system::connect::ConnectError;
use crate::system::descriptors::Descriptors;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wheelpath::policy::{AttemptOutcome, EndpointId};

/// An idle connection is closed after this part of the time after which its endpoint closes it: a request
/// that crosses the endpoint's close may have run, and one that may not be repeated is then lost.
const IDLE_TIMEOUT_PART: f64 = 0.7;
/// Bytes that come right behind a response would be taken for the response to the next request, so a
/// connection is reused only after it has been quiet for this time.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Upper bound for timeouts of the settings, in milliseconds.
const MAX_TIMEOUT_MS: f64 = 86_400_000.0;

struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

/// A connection for an attempt.
pub(super) struct PooledConnection {
    pub connection: UpstreamConnection,
    /// For how long it was idle; none for a new one.
    pub idle_for: Option<Duration>,
}

/// To which endpoint, and by when, a connection is needed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionRequest {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    /// When the attempt is over.
    pub deadline: Instant,
    /// When the attempt must have begun.
    pub send_by: Instant,
}

/// The connections to endpoints.
pub struct Upstream {
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    descriptors: Rc<Descriptors>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    idle_ages: RefCell<IdleAgeStatistics>,
    buffer: usize,
}

impl Upstream {
    /// No connections yet. `buffer` is what each reads ahead, in bytes; endpoints close idle ones after
    /// `idle_timeout_ms`.
    pub fn new(
        descriptors: Rc<Descriptors>,
        connect_timeout_ms: f64,
        idle_timeout_ms: f64,
        buffer: usize,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            descriptors: descriptors.clone(),
            connect_timeout: span(connect_timeout_ms, MAX_TIMEOUT_MS),
            idle_timeout: span(idle_timeout_ms * IDLE_TIMEOUT_PART, MAX_TIMEOUT_MS),
            idle_ages: RefCell::new(IdleAgeStatistics::new()),
            buffer,
        });
        let weak = Rc::downgrade(&upstream);
        let reclaim = move || weak.upgrade().is_some_and(|upstream| upstream.close_oldest());
        descriptors.reclaim_from_endpoints(Box::new(reclaim));
        upstream
    }

    /// Closes the connections to an endpoint that carry nothing.
    ///
    /// Also used after an endpoint broke a connection: it may have restarted. Its other connections are
    /// then reset as soon as something is sent on them, and a request that may not be repeated would be
    /// lost.
    pub fn close_idle(&self, endpoint: EndpointId) {
        let closed = self.idle.borrow_mut().remove(&endpoint);
        drop(closed);
    }

    /// Closes the connection that has been idle for longest; false where there is none.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let in_use = idle.values_mut().filter(|connections| !connections.is_empty());
        let oldest = in_use.min_by_key(|connections| connections.first().map(|idle| idle.since));
        let closed = oldest.map(|connections| connections.remove(0));
        closed.is_some()
    }

    /// How long a connection may have been idle to be used again.
    fn idle_limit(&self) -> Duration {
        self.idle_ages.borrow().age_limit().map_or(self.idle_timeout, |good| good.min(self.idle_timeout))
    }

    /// Notes what became of a request on a connection.
    pub(super) fn record_use(&self, idle_for: Option<Duration>, broke: bool) {
        self.idle_ages.borrow_mut().record(idle_for, broke);
    }

    /// Closes connections that have been idle for too long or that endpoints have closed.
    pub fn sweep(&self) {
        let limit = self.idle_limit();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.is_good(limit));
            !connections.is_empty()
        });
    }

    fn take_idle(&self, endpoint: EndpointId) -> Option<IdleConnection> {
        let limit = self.idle_limit();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        // The sweep may be late, and the endpoint may have closed it since.
        connections.retain(|idle| idle.is_good(limit));
        let reusable = connections.iter().rposition(|idle| idle.since.elapsed() >= REUSE_DELAY)?;
        Some(connections.remove(reusable))
    }

    /// Keeps a connection whose exchange is over, if it can carry another.
    pub fn keep(&self, endpoint: EndpointId, connection: UpstreamConnection) {
        if connection.is_alive() && connection.is_ready() {
            let kept = IdleConnection { connection, since: Instant::now() };
            self.idle.borrow_mut().entry(endpoint).or_default().push(kept);
        }
    }

    /// An idle connection to an endpoint, or a new one in time for an attempt.
    ///
    /// # Errors
    /// The outcome of the attempt. If this node has no descriptor for a connection, or the connection is
    /// made too late to begin, the outcome is `NotSent`: `ConnectFailed` would count against the endpoints.
    pub(super) async fn acquire_connection(
        &self,
        wanted: ConnectionRequest,
    ) -> Result<PooledConnection, AttemptOutcome> {
        let ConnectionRequest { endpoint, address, deadline, send_by } = wanted;
        if let Some(IdleConnection { connection, since }) = self.take_idle(endpoint) {
            return Ok(PooledConnection { connection, idle_for: Some(since.elapsed()) });
        }
        let time_left = || {
            let until_due = deadline.min(send_by).saturating_duration_since(Instant::now());
            self.connect_timeout.min(until_due)
        };
        let permit = tokio::time::timeout(time_left(), self.descriptors.take()).await;
        let permit = permit.map_err(|_| AttemptOutcome::NotSent)?;
        let connect_by = Instant::now() + time_left();
        match UpstreamConnection::open(address, connect_by, permit, self.buffer).await {
            Ok(connection) => Ok(PooledConnection { connection, idle_for: None }),
            Err(ConnectError::Local(_)) => Err(AttemptOutcome::NotSent),
            Err(ConnectError::TimedOut) if Instant::now() >= send_by => Err(AttemptOutcome::NotSent),
            Err(ConnectError::TimedOut | ConnectError::Remote(_)) => Err(AttemptOutcome::ConnectFailed),
        }
    }
}

impl IdleConnection {
    fn is_good(&self, limit: Duration) -> bool {
        self.since.elapsed() < limit && self.connection.is_alive()
    }
}
