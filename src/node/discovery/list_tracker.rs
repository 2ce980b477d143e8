//! Tracks which endpoint list this process has, so that the processes of one node can tell which of them has
//! the newer one.
//!
//! The version numbers of discovery are not enough for that. Discovery may restart them at a lower number, and
//! in push mode each agent has its own. A list is therefore ordered by its [`ListPosition`], which also counts
//! the restarts that the node has noticed. A configured list has no position, only a version. It is newer than
//! a list of this node if no list of the node, up to that one, has had its version or a higher one.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use tokio::sync::watch;
use wheelpath::policy::DiscoveryMode;

/// The place of an endpoint list in the order of all lists that the processes of this node have had. A later
/// list has a greater position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListPosition {
    /// How many restarts of the version numbers the node had noticed when it got the list.
    pub numbering: u64,
    /// The version of the list according to discovery; `None` if the list is absent or not complete.
    pub version: Option<u64>,
}

impl Display for ListPosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.version {
            Some(version) => write!(f, "version {version}")?,
            None => f.write_str("no version")?,
        }
        if self.numbering > 0 {
            write!(f, " after {} restarts of the version numbers", self.numbering)?;
        }
        Ok(())
    }
}

/// Everything that is known about an endpoint list apart from its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListState {
    /// The place of the list in the order of all lists.
    pub position: ListPosition,
    /// The highest version that a list of this node has had up to now; `None` if none had a version.
    pub highest_version: Option<u64>,
    /// The address of discovery that the list is from.
    pub source: SocketAddr,
}

/// The state of the endpoint list of this process. The discovery watch and the exchange with another process of
/// the node update it, each after it has passed the endpoints to the driver.
pub struct ListTracker {
    state: watch::Sender<ListState>,
    mode: DiscoveryMode,
    /// The address of discovery if the last call there succeeded; `None` if it failed, or none has ended.
    contact: Cell<Option<SocketAddr>>,
    /// The version that the previous process had according to its record; `None` if there is no record, or it
    /// has no version.
    predecessor_version: Cell<Option<u64>>,
}

impl ListTracker {
    /// Creates the tracker of a process that starts with the list that `state` describes.
    pub fn new(state: ListState, mode: DiscoveryMode) -> ListTracker {
        ListTracker {
            state: watch::Sender::new(state),
            mode,
            contact: Cell::new(None),
            predecessor_version: Cell::new(None),
        }
    }

    /// Returns the state of the list that this process has.
    pub fn state(&self) -> ListState {
        *self.state.borrow()
    }

    /// Returns a receiver that is notified when this process gets another list.
    pub fn subscribe(&self) -> watch::Receiver<ListState> {
        self.state.subscribe()
    }

    /// Records that discovery has sent this process a list, or changes up to this version. A lower version than
    /// the known one means that discovery has restarted its version numbers.
    pub fn record_update(&self, version: u64, source: SocketAddr) {
        let version = Some(version);
        let ListState { mut position, highest_version, .. } = self.state();
        if version < position.version {
            position.numbering += 1;
        }
        position.version = version;
        self.set(ListState { position, highest_version: highest_version.max(version), source });
    }

    /// Records the result of a call to discovery: its address if the call succeeded.
    pub fn set_contact(&self, contact: Option<SocketAddr>) {
        self.contact.set(contact);
    }

    /// Returns `true` if this process may adopt a list that another one has from `source`. In push mode each
    /// agent has its own version numbers, so the list of another agent is not comparable with one that this
    /// process gets itself.
    pub fn may_adopt_from(&self, source: SocketAddr) -> bool {
        self.contact.get().is_none_or(|contact| self.shares_numbering(contact, source))
    }

    /// Returns `true` if the lists of these two addresses of discovery have the same version numbers.
    pub fn shares_numbering(&self, first: SocketAddr, second: SocketAddr) -> bool {
        self.mode == DiscoveryMode::Poll || first == second
    }

    /// Records that this process has adopted a list of another process of the node.
    pub fn record_adoption(&self, adopted: ListState) {
        let highest_version = self.state().highest_version.max(adopted.highest_version);
        self.set(ListState { highest_version, ..adopted });
    }

    fn set(&self, state: ListState) {
        self.state.send_if_modified(|current| std::mem::replace(current, state) != state);
    }

    /// Sets the version that the previous process had.
    pub fn set_predecessor_version(&self, version: Option<u64>) {
        self.predecessor_version.set(version);
    }

    /// Returns `true` if the previous process had a list that none of this process's lists is as new as.
    pub fn is_outdated(&self) -> bool {
        self.predecessor_version.get() > self.state().highest_version
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/list_tracker.rs"]
mod tests;
