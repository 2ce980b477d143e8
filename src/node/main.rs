//! One node: the decisions of the crate `wheelpath` on real sockets.
//!
//! The node runs in one thread. [`startup`] wires its parts together; each part says where it starts a task
//! what ends it, and the end of the process ends those that last as long as the node.

mod admin;
mod config;
mod discovery;
mod driver;
mod frontend;
mod headers;
mod observability;
mod peers;
mod reload;
mod snapshot;
mod startup;
mod system;
mod upstream;

use crate::observability::log;
use crate::startup::StartupError;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn run() -> Result<(), StartupError> {
    // Before anything is opened: what is open now was inherited.
    let inherited = system::inherited_listener::take()?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(StartupError::Runtime)?;
    LocalSet::new().block_on(&runtime, startup::run(inherited))
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
