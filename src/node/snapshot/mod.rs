//! Hands state from one process of the node to the next through files: the operators' overrides and what
//! the node has learned about endpoints.
//!
//! A node is replaced by starting a new process alongside the old one, and a process may be killed at any
//! time. An override that was acknowledged with `done` must also hold in the next process. The learned
//! state is not owed to anybody, but it makes the start of the next process smoother.
//!
//! [`store`] defines the content of both files. [`state_file`] writes them in such a way that a partly
//! written file is never taken for a complete one. [`takeover`] restores them at startup and keeps two
//! processes that run at the same time in agreement. [`shared_trace_ids`] keeps a request from running in both.

mod folder_lock;
mod process_id;
mod shared_trace_ids;
mod state_file;
mod store;
mod takeover;

pub use shared_trace_ids::SharedTraceIds;
pub use takeover::{OverrideError, Takeover};
