//! Hosts instances of the balancer on the simulator's protocol, from standard input to standard output.

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
