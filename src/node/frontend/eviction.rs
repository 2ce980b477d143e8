//! Closes clients' connections without a request in progress, when their descriptors are needed and when
//! the node is drained or stops.
//!
//! A connection that looks idle may have unread bytes in the system's receive buffer, which may be a
//! complete request. So a connection is closed only if the system has no unread bytes either.

use super::Frontend;
use super::client_connection::{ClientConnection, ConnectionState};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time after the accept in which a connection without a request is not closed, because its first
/// request is probably in flight.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(25);
/// A connection with a partial request is not closed until this time after the node first wanted to close
/// it.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// The order in which connections are evicted, from the first variant to the last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    Closing,
    AwaitingFirstRequest,
    Idle,
    ReadingRequest,
}

impl ConnectionState {
    /// Returns the eviction priority. Returns `None` if the connection must not be evicted because a request
    /// is in progress.
    pub fn eviction_priority(self) -> Option<EvictionPriority> {
        match self {
            ConnectionState::Closing => Some(EvictionPriority::Closing),
            ConnectionState::AwaitingFirstRequest => Some(EvictionPriority::AwaitingFirstRequest),
            ConnectionState::Idle => Some(EvictionPriority::Idle),
            ConnectionState::ReadingRequest => Some(EvictionPriority::ReadingRequest),
            ConnectionState::Serving => None,
        }
    }
}

impl ClientConnection {
    /// Returns whether the connection may be closed now: it is in the state [`ConnectionState::Closing`], or
    /// no request is in progress, none is expected to arrive soon, and the system has no unread bytes of one.
    pub fn may_close(&self) -> bool {
        match self.state() {
            ConnectionState::Serving => false,
            ConnectionState::Closing => true,
            ConnectionState::AwaitingFirstRequest => {
                self.idle_for() > NEW_CONNECTION_GRACE && self.socket.is_open_without_unread_bytes()
            }
            ConnectionState::Idle => self.socket.is_open_without_unread_bytes(),
            ConnectionState::ReadingRequest => {
                self.partial_request_seen_for() > PARTIAL_REQUEST_TIMEOUT
                    && self.socket.is_open_without_unread_bytes()
            }
        }
    }
}

/// A connection without a request in progress, with the keys by which connections are ordered for eviction.
struct Evictable<'a> {
    priority: EvictionPriority,
    idle_since: Instant,
    client: &'a Rc<ClientConnection>,
}

impl Evictable<'_> {
    /// Returns `None` if a request is in progress on the connection.
    fn new(client: &Rc<ClientConnection>) -> Option<Evictable<'_>> {
        let priority = client.state().eviction_priority()?;
        Some(Evictable { priority, idle_since: client.idle_since(), client })
    }
}

impl Frontend {
    /// Asks for the close of one connection to free a descriptor. Closing connections come first, then those
    /// that have carried no request, because the others will probably carry another one. Among equals, the
    /// connection that has been idle longest comes first.
    ///
    /// A client that has just connected may be about to send a request, so its connection is not closed yet.
    /// If most connections have carried no request, only they and closing ones are eligible, even if the node
    /// has to wait until one may be closed. Otherwise, a flood of new connections would displace the
    /// connections of clients that send requests.
    pub(super) fn evict_one(&self) {
        let clients = self.clients.borrow();
        let mut order: Vec<Evictable<'_>> = clients.values().filter_map(Evictable::new).collect();
        let is_new =
            |evictable: &&Evictable<'_>| evictable.priority == EvictionPriority::AwaitingFirstRequest;
        let new_clients = order.iter().filter(is_new).count();
        if 2 * new_clients > clients.len() {
            order.retain(|evictable| evictable.priority <= EvictionPriority::AwaitingFirstRequest);
        }
        order.sort_unstable_by_key(|evictable| (evictable.priority, evictable.idle_since));
        if let Some(first) = order.into_iter().find(|evictable| evictable.client.may_close()) {
            first.client.close_requested.notify_one();
        }
    }

    /// Asks for the close of the connections that may be closed and for which `is_chosen` returns `true`.
    pub(super) fn close_idle_where(&self, is_chosen: impl Fn(&ClientConnection) -> bool) {
        let clients = self.clients.borrow();
        for client in clients.values().filter(|client| client.may_close() && is_chosen(client)) {
            client.close_requested.notify_one();
        }
    }
}
