//! The endpoint list: the first one from the configuration, then a watch on discovery.
//!
//! Where lists are pushed, an agent nearby has them and costs nothing to ask. Where they are polled, one
//! service has the list for all nodes; each call costs it something, and calls are queued there. In both
//! modes a call asks what changed after a version, and may wait for an update. A call that falls silent
//! cannot be told from one without an update, so the watch makes another in parallel.
//!
//! [`endpoint_list`] reads lists, [`client`] makes calls, [`watch`] decides which call comes next.

mod client;
mod endpoint_list;
mod watch;

pub use endpoint_list::EndpointList;
pub use watch::{DiscoveryWatch, WatchSetup};
