//! Which client's connection is closed when there is no descriptor for another.
//!
//! A connection that looks idle may have unread bytes in the system's receive buffer, which may be a
//! complete request. So it is closed only if the system has no unread bytes either.

use super::Frontend;
use super::client_connection::{ClientConnection, ConnectionState};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The first request of a connection this young is probably in flight.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(25);
/// If descriptors are scarce, a client that has not gone on with a request for so long is evicted.
const STUCK_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// The order in which connections are closed, the first first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    Closing,
    AwaitingFirstRequest,
    Idle,
    ReadingRequest,
}

impl ConnectionState {
    /// When it may be evicted; never while a request is on it.
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
    /// Whether it may be closed now, asking the system too. A client that has just connected is about to
    /// send a request.
    pub fn may_close(&self) -> bool {
        match self.state() {
            ConnectionState::Serving => false,
            ConnectionState::Closing => true,
            ConnectionState::AwaitingFirstRequest => {
                self.idle_for() > NEW_CONNECTION_GRACE && self.socket.quiet()
            }
            ConnectionState::Idle => self.socket.quiet(),
            ConnectionState::ReadingRequest => {
                self.partial_request_seen_for() > STUCK_REQUEST_TIMEOUT && self.socket.quiet()
            }
        }
    }
}

/// A connection that may be evicted.
struct Evictable<'a> {
    priority: EvictionPriority,
    idle_since: Instant,
    client: &'a Rc<ClientConnection>,
}

impl Evictable<'_> {
    /// None for a connection that a request is on.
    fn new(client: &Rc<ClientConnection>) -> Option<Evictable<'_>> {
        let priority = client.state().eviction_priority()?;
        Some(Evictable { priority, idle_since: client.idle_since.get(), client })
    }
}

impl Frontend {
    /// Closes one connection to free a descriptor: clients that have sent no request go before those that
    /// will send another, the oldest first. A client that has just connected may be about to send one. If
    /// such clients have most of the descriptors, they are waited for, and no usual client is closed for them.
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

    /// Closes idle connections; with `unfinished_heads` also those with a request head that does not
    /// progress.
    pub(super) fn close_idle(&self, unfinished_heads: bool) {
        let clients = self.clients.borrow();
        let closable = clients
            .values()
            .filter(|client| client.may_close() && (unfinished_heads || !client.has_partial_request()));
        for client in closable {
            client.close_requested.notify_one();
        }
    }
}
