//! The endpoint list: the first one from the configuration, then a watch on discovery.

pub mod watch;
