//! What outlives a process: the operators' overrides and the learned state, in files that the next process
//! takes over.
//!
//! A node is replaced by starting a new process alongside the old one, and a process may be killed at any
//! time. What the operators were answered as done must hold for the next process; what was learned makes
//! its start smoother. [`store`] has the form of both, [`state_file`] writes them so that a half-written
//! file is never taken for a complete one, and [`takeover`] keeps two processes in step.

mod folder_lock;
mod process_id;
mod state_file;
mod store;
mod takeover;

pub use takeover::{OverrideError, Takeover};
