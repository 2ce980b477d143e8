//! The admin interface, through which operators control the node.
//!
//! An operator opens a TCP connection for each command, sends the command as one line, and gets one line
//! back that begins with `done` or `error`. [`command`] parses commands, [`server`] executes them.

mod command;
mod server;

pub use server::{AdminServer, MAX_CONNECTIONS};
