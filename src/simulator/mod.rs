//! Connects balancer instances to an external simulator through its text protocol.
//!
//! The simulator runs many nodes in virtual time, together with their clients and endpoints, and needs the
//! decisions of each node without its sockets and clock. It sends events and receives actions, one message
//! a line, `name field=value field=value`. [`message`] splits a line into fields, [`codec`] converts messages
//! to events and actions to messages, and [`host`] reads the input and runs the instances.

pub mod codec;
pub mod host;
pub mod message;
