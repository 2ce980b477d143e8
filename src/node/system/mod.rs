//! Wraps the operating system: clocks, signals, sockets, file descriptors, and the errors of system calls.
//!
//! System calls may fail in all the ways that Linux documents. Most of these failures are transient and
//! local to this machine, and must not be blamed on a client or an endpoint. [`syscall_errors`] classifies
//! them, and the other modules here act on that classification.

pub mod acceptor;
pub mod clock;
pub mod connect;
pub mod descriptors;
pub mod inherited_listener;
mod length_headers;
pub mod listener;
pub mod memory;
pub mod receive_timestamp;
pub mod retry;
pub mod signals;
pub mod socket;
pub mod syscall_errors;
