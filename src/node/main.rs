//! Runs one node of the load balancer: connects the balancer of the crate `wheelpath` to real sockets.
//!
//! The node runs on a single thread, on which each part of the node may start tasks. [`startup`] creates the
//! parts and connects them. Where a task is started, a comment says what ends it; tasks that run as long as
//! the node end with the process.

mod admin;
mod config;
mod discovery;
mod driver;
mod frontend;
mod headers;
mod membership;
mod observability;
mod peers;
mod reload;
mod snapshot;
mod startup;
mod system;
mod transfer_coding;
mod upstream;

use crate::observability::log;
use crate::startup::StartupError;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn run() -> Result<(), StartupError> {
    // This must come before anything is opened, so that all descriptors open at this point are inherited.
    let inherited_listener = system::inherited_listener::take()?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(StartupError::Runtime)?;
    LocalSet::new().block_on(&runtime, startup::run(inherited_listener))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::line(&error.to_string());
            ExitCode::FAILURE
        }
    }
}
