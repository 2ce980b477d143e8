//! Keeps the endpoint list up to date: it starts with the list of the configuration, then watches
//! discovery.
//!
//! Discovery has two modes. In push mode, an agent near the node has the list, and calls to it cost
//! nothing. In poll mode, one service has the list for all nodes; it queues calls, and each call adds to
//! its load. In both modes a call requests the changes after a version, and may wait for an update.
//!
//! The node cannot tell a call that will never get a response from one without an update, so it makes
//! further calls in parallel.
//!
//! A node is expected to know each change after a certain time, whether or not it has received the
//! change, and must not begin attempts at an endpoint that has left service by then. The timeouts and
//! intervals of the calls are chosen so that the node receives each change in time even if one call gets
//! no response.
//!
//! [`endpoint_list`] parses lists, [`client`] makes calls, and [`watch`] decides which call comes next.
//! [`initial_list`] chooses the list that a process starts with, and [`list_tracker`] tracks which list it has.

mod client;
mod endpoint_list;
mod initial_list;
mod list_tracker;
mod watch;

pub use endpoint_list::EndpointList;
pub use initial_list::{InitialList, SharedList};
pub use list_tracker::{ListPosition, ListState, ListTracker};
pub use watch::{DiscoveryWatch, WatchSetup};
