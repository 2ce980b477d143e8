//! The system underneath: clocks, signals, sockets, descriptors, and what errors of system calls mean.

pub mod accept_time;
pub mod clock;
pub mod inherited_listener;
pub mod signals;
pub mod socket;
pub mod syscall_errors;
