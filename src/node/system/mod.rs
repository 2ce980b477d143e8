//! The system underneath: clocks, signals, sockets, descriptors, and what errors of system calls mean.
//!
//! System calls fail in all the ways that Linux documents, and most of these failures concern this machine
//! for a moment and nobody else. [`syscall_errors`] tells which; everything here that makes calls goes by
//! that.

pub mod accept_time;
pub mod acceptor;
pub mod clock;
pub mod connect;
pub mod descriptors;
pub mod inherited_listener;
mod length_headers;
pub mod listener;
pub mod retry;
pub mod signals;
pub mod socket;
pub mod syscall_errors;
