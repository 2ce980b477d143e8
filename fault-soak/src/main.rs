//! A randomized fault soak: real node processes on loopback, stand-ins around them, faults that overlap in
//! time, and an oracle that judges by what clients, servers and discovery saw.

mod client;
mod discovery;
mod fault_injection;
#[path = "../../tests/node/faults.rs"]
mod faults;
mod http;
mod node;
mod oracle;
mod proxy;
mod record;
mod run;
mod schedule;
mod server;
mod settings;

use clap::Parser;
use oracle::Violation;
use run::Plan;
use schedule::ScheduledFault;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Plays seeded runs of real nodes under overlapping faults, and fails where a rule broke.
#[derive(Debug, Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from the first on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long clients ask, for each seed.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// How many nodes.
    #[arg(long, default_value_t = 12)]
    nodes: usize,
    /// How many servers.
    #[arg(long, default_value_t = 8)]
    servers: usize,
    /// The node's program.
    #[arg(long, default_value = "target/release/wheelpath-node")]
    program: PathBuf,
    /// Plays the faults of this file in place of those of the seed.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Once a seed fails, leaves out faults for as long as it still does, and prints what is left.
    #[arg(long)]
    shorten: bool,
    /// Keeps the logs of the processes in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// How often a shortened schedule is played before it counts as one that passes.
const SHORTEN_TRIES: u32 = 2;

/// A schedule that cannot be played.
#[derive(Debug)]
enum ScheduleError {
    /// The file cannot be read.
    Read(PathBuf, io::Error),
    /// A line of it is wrong.
    Parse(PathBuf, schedule::ParseError),
}

impl Display for ScheduleError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ScheduleError::Read(file, cause) => write!(f, "{}: {cause}", file.display()),
            ScheduleError::Parse(file, cause) => write!(f, "{}: {cause}", file.display()),
        }
    }
}

impl Arguments {
    fn plan(&self, seed: u64, faults: Vec<ScheduledFault>) -> Plan {
        Plan {
            seed,
            faults,
            length: Duration::from_secs(self.seconds),
            nodes: self.nodes,
            servers: self.servers,
            program: std::path::absolute(&self.program).unwrap_or_else(|_| self.program.clone()),
            logs: self.logs.clone(),
        }
    }

    /// The faults of a seed, or of the file that is to be played.
    fn faults(&self, seed: u64) -> Result<Vec<ScheduledFault>, ScheduleError> {
        let Some(file) = &self.schedule else {
            let size = run::fleet_size(self.nodes, self.servers, self.seconds * 1000);
            return Ok(schedule::draw(seed, size));
        };
        let text =
            std::fs::read_to_string(file).map_err(|cause| ScheduleError::Read(file.clone(), cause))?;
        schedule::parse(&text).map_err(|cause| ScheduleError::Parse(file.clone(), cause))
    }
}

fn print_violations(seed: u64, faults: &[ScheduledFault], violations: &[Violation]) {
    println!("seed {seed}: schedule\n{}", schedule::print(faults));
    for Violation { at, rule, description } in violations {
        println!("seed {seed}: {rule:?} at {at:.3} s: {description}");
    }
}

/// Leaves out one fault after another for as long as a rule still breaks.
fn shorten(
    arguments: &Arguments,
    seed: u64,
    mut faults: Vec<ScheduledFault>,
    violations: &[Violation],
) -> Vec<ScheduledFault> {
    let fails = |faults: &[ScheduledFault]| {
        (0..SHORTEN_TRIES).any(|_| {
            let report = run::play(&arguments.plan(seed, faults.to_vec()));
            report.violations.iter().any(|new| violations.iter().any(|old| old.rule == new.rule))
        })
    };
    let mut index = faults.len();
    while index > 0 {
        index -= 1;
        let mut fewer = faults.clone();
        fewer.remove(index);
        if fails(&fewer) {
            faults = fewer;
            index = index.min(faults.len());
        }
    }
    faults
}

/// Plays one seed. True if no rule broke.
fn play_seed(arguments: &Arguments, seed: u64) -> Result<bool, ScheduleError> {
    let faults = arguments.faults(seed)?;
    let report = run::play(&arguments.plan(seed, faults.clone()));
    println!("seed {seed}: {}", report.summary);
    if report.violations.is_empty() {
        return Ok(true);
    }
    print_violations(seed, &faults, &report.violations);
    if arguments.shorten {
        let faults = shorten(arguments, seed, faults, &report.violations);
        println!("seed {seed}: shortened\n{}", schedule::print(&faults));
    }
    Ok(false)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        match play_seed(&arguments, seed) {
            Ok(true) => {}
            Ok(false) => failed += 1,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{} passed, {failed} failed", arguments.seeds - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
