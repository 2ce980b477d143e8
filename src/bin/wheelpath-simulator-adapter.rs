//! Runs balancer instances for an external simulator.
//!
//! Reads the simulator's messages from standard input and writes the balancers' actions to standard output,
//! until the input ends. Exits with status 2 and a message on standard error if a line cannot be processed.

use std::process::ExitCode;
use wheelpath::simulator::host;

fn main() -> ExitCode {
    match host::run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wheelpath-simulator-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
