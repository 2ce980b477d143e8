//! What outlives a process: operator overrides and learned state, in files that the next process takes over.

pub mod process_id;
pub mod state_file;
pub mod takeover;
