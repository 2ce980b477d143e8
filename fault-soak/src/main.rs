//! Runs node processes under random faults, and checks from outside that they keep the rules.
//!
//! Some failures show only when several faults overlap, in combinations that nobody writes a test for. The
//! fault soak runs real nodes on loopback, simulates the clients, the servers and discovery around them,
//! and injects faults that a seed determines. An oracle then checks the record of what clients, servers and
//! discovery observed.

mod client;
mod discovery;
mod fault_injection;
#[path = "../../tests/node/faults.rs"]
mod faults;
mod hostile_clients;
mod http;
mod node;
mod oracle;
mod process;
mod proxy;
mod record;
mod response;
mod run;
mod scenarios;
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

/// Plays seeded runs of node processes under overlapping faults, and fails if a rule was broken.
#[derive(Debug, Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of successive seeds to play.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long clients send requests, for each seed.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The number of nodes.
    #[arg(long, default_value_t = 12)]
    nodes: usize,
    /// The number of servers.
    #[arg(long, default_value_t = 8)]
    servers: usize,
    /// The path of the node's executable.
    #[arg(long, default_value = "target/release/wheelpath-node")]
    program: PathBuf,
    /// Plays the schedule in this file instead of the one of the seed.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// If a seed fails, removes the faults without which the run still fails, and prints the remaining
    /// schedule.
    #[arg(long)]
    shorten: bool,
    /// Keeps the logs and configuration files of the nodes in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// How often a shortened schedule is played before it counts as one that no longer fails. A failure need
/// not show in every run, because the timing varies.
const RUNS_PER_SHORTENED_SCHEDULE: u32 = 2;

/// The reason that a schedule cannot be played.
#[derive(Debug)]
enum ScheduleError {
    /// The file cannot be read.
    Read(PathBuf, io::Error),
    /// A line of the file is not a valid fault.
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
            duration: Duration::from_secs(self.seconds),
            nodes: self.nodes,
            servers: self.servers,
            program: std::path::absolute(&self.program).unwrap_or_else(|_| self.program.clone()),
            logs: self.logs.clone(),
        }
    }

    /// The faults of the schedule file if one was given, or of the seed.
    fn faults(&self, seed: u64) -> Result<Vec<ScheduledFault>, ScheduleError> {
        let Some(file) = &self.schedule else {
            let size = run::run_size(self.nodes, self.servers, self.seconds * 1000);
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
        println!("seed {seed}: {} at {at:.3} s: {description}", rule.name());
    }
}

/// Removes one fault after another, last to first, and keeps each removal after which the run still breaks
/// a rule that it broke before.
fn shorten(
    arguments: &Arguments,
    seed: u64,
    mut faults: Vec<ScheduledFault>,
    violations: &[Violation],
) -> Vec<ScheduledFault> {
    let fails = |faults: &[ScheduledFault]| {
        (0..RUNS_PER_SHORTENED_SCHEDULE).any(|_| {
            let report = run::play(&arguments.plan(seed, faults.to_vec()));
            report.violations.iter().any(|new| violations.iter().any(|old| old.rule == new.rule))
        })
    };
    let mut index = faults.len();
    while index > 0 {
        index -= 1;
        let mut shorter = faults.clone();
        shorter.remove(index);
        if fails(&shorter) {
            faults = shorter;
            index = index.min(faults.len());
        }
    }
    faults
}

/// Plays one seed and prints the result. Returns whether the oracle found no violation.
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
