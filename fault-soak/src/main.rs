//! A randomized fault soak: real node processes on loopback, stand-ins around them, troubles that overlap in time, and an
//! oracle that judges by what clients, servers and discovery saw.

mod client;
mod discovery;
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
use oracle::Break;
use run::Plan;
use schedule::Event;
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
    /// Plays the troubles of this file in place of those of the seed.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Once a seed fails, leaves out troubles for as long as it still does, and prints what is left.
    #[arg(long)]
    shorten: bool,
    /// Keeps the logs of the processes in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// How often a shortened schedule is played before it counts as one that passes.
const SHORTEN_TRIES: u32 = 2;

impl Arguments {
    fn plan(&self, seed: u64, events: Vec<Event>) -> Plan {
        Plan {
            seed,
            events,
            length: Duration::from_secs(self.seconds),
            nodes: self.nodes,
            servers: self.servers,
            program: std::path::absolute(&self.program).unwrap_or_else(|_| self.program.clone()),
            logs: self.logs.clone(),
        }
    }

    fn events(&self, seed: u64) -> Result<Vec<Event>, String> {
        match &self.schedule {
            Some(file) => {
                let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
                schedule::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
            }
            None => Ok(schedule::draw(seed, run::size(self.nodes, self.servers, self.seconds * 1000))),
        }
    }
}

fn report(seed: u64, events: &[Event], breaks: &[Break]) {
    println!("seed {seed}: schedule\n{}", schedule::print(events));
    for Break { at, rule, what } in breaks {
        println!("seed {seed}: {rule:?} at {at:.3} s: {what}");
    }
}

/// Leaves out one trouble after another for as long as a rule still breaks.
fn shorten(arguments: &Arguments, seed: u64, mut events: Vec<Event>, broken: &[Break]) -> Vec<Event> {
    let fails = |events: &[Event]| {
        (0..SHORTEN_TRIES).any(|_| {
            let outcome = run::play(&arguments.plan(seed, events.to_vec()));
            outcome.breaks.iter().any(|new| broken.iter().any(|old| old.rule == new.rule))
        })
    };
    let mut n = events.len();
    while n > 0 {
        n -= 1;
        let mut fewer = events.clone();
        fewer.remove(n);
        if fails(&fewer) {
            events = fewer;
            n = n.min(events.len());
        }
    }
    events
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let events = match arguments.events(seed) {
            Ok(events) => events,
            Err(why) => {
                eprintln!("{why}");
                return ExitCode::from(2);
            }
        };
        let outcome = run::play(&arguments.plan(seed, events.clone()));
        println!("seed {seed}: {}", outcome.summary);
        if outcome.breaks.is_empty() {
            continue;
        }
        failed += 1;
        report(seed, &events, &outcome.breaks);
        if arguments.shorten {
            let events = shorten(&arguments, seed, events, &outcome.breaks);
            println!("seed {seed}: shortened\n{}", schedule::print(&events));
        }
    }
    println!("{} passed, {failed} failed", arguments.seeds - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
