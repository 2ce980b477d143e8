//! The simulator's text protocol, by which many instances of the decisions are played in virtual time.
//!
//! Each line is a message: a name and fields, `name field=value field=value`. [`message`] splits lines,
//! [`codec`] maps the protocol's names to events and actions, and [`host`] runs the instances.

pub mod codec;
pub mod host;
pub mod message;
