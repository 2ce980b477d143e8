//! The operators' side of the node: commands on a connection of their own.

pub mod server;
