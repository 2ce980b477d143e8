//! The operators' side of the node: a command is a line on a connection of its own, the answer a line that
//! begins with `done` or `error`.
//!
//! [`command`] reads commands, [`server`] carries them out.

mod command;
mod server;

pub use server::{AdminServer, MAX_CONNECTIONS};
