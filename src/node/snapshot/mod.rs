//! Hands state from one process of the node to the next through files: the operators' overrides, the endpoint
//! list, and what the node has learned about endpoints.
//!
//! A node is replaced by starting a new process alongside the old one, and a process may be killed at any
//! time. An override that was acknowledged with `done` must also hold in the next process, and so must a
//! change that discovery has told. The learned state is not owed to anybody, but it makes the start of the
//! next process smoother.
//!
//! [`store`] and [`list_record`] define the content of the files. [`state_file`] writes them in such a way that a partly
//! written file is never taken for a complete one. [`takeover`] restores overrides and learned state at startup
//! and keeps two processes that run at the same time in agreement; [`shared_list`] does the same for the
//! endpoint list, and [`shared_address`] for a reload of the configuration. [`shared_trace_ids`] keeps a request from running in both.

mod folder_lock;
mod list_record;
mod process_id;
mod shared_address;
mod shared_list;
mod shared_trace_ids;
mod state_file;
mod store;
mod takeover;

pub use shared_address::SharedAddress;
pub use shared_list::SharedListFile;
pub use shared_trace_ids::SharedTraceIds;
pub use takeover::{OverrideError, Takeover};
