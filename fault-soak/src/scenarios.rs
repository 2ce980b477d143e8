//! Draws the faults that single random faults would rarely or never result in.
//!
//! Each scenario has random numbers of its own, so that a new one does not change the other faults of a seed.

use crate::schedule::{Fault, QUIET_PERIOD_MS, RunSize, ScheduledFault};
use fastrand::Rng;
use std::ops::Range;

/// The range of the time from the beginning of one [`Fault::SlowResponses`] to that of the next.
const SLOW_RESPONSES_INTERVAL_MS: Range<u64> = 2000..5000;
/// Distinguishes the random numbers of [`draw_slow_responses`].
const SLOW_RESPONSES_SEED: u64 = 0x510e_527f;

/// One in this many runs has crowds of idle clients.
const CROWD_ONE_IN: u64 = 3;
/// The range of the time from one crowd to the next.
const CROWD_INTERVAL_MS: Range<u64> = 1500..4000;
/// Distinguishes the random numbers of [`draw_crowds`].
const CROWD_SEED: u64 = 0x9b05_688c;

/// The range of the time from the end of one outage of discovery with takeovers to the next drain.
const TAKEOVER_INTERVAL_MS: Range<u64> = 2000..12_000;
/// The range of the time from the drain of a server to the outage. The nodes learn of the drain in the meantime.
const DRAIN_LEAD_MS: Range<u64> = 300..1500;
/// The range of the length of such an outage.
const OUTAGE_MS: Range<u64> = 3500..6500;
/// The range of the time from the beginning of the outage to the replacement of a process.
const REPLACEMENT_DELAY_MS: Range<u64> = 50..1200;
/// The number of nodes of which a process is replaced during one outage, at most.
const MOST_REPLACEMENTS: usize = 3;
/// Distinguishes the random numbers of [`draw_takeovers`].
const TAKEOVER_SEED: u64 = 0x1f83_d9ab;

/// Draws the faults of all scenarios of a seed, in no order.
pub fn draw(seed: u64, size: RunSize) -> Vec<ScheduledFault> {
    let mut faults = draw_slow_responses(seed, size);
    if seed.is_multiple_of(CROWD_ONE_IN) {
        faults.extend(draw_crowds(seed, size));
    }
    faults.extend(draw_takeovers(seed, size));
    faults
}

fn draw_crowds(seed: u64, size: RunSize) -> Vec<ScheduledFault> {
    let mut rng = Rng::with_seed(seed ^ CROWD_SEED);
    let mut faults = Vec::new();
    let mut at_ms = rng.u64(CROWD_INTERVAL_MS);
    while at_ms + QUIET_PERIOD_MS < size.duration_ms {
        let fault = Fault::IdleConnections { node: rng.usize(..size.nodes), count: rng.usize(200..400) };
        faults.push(ScheduledFault { at_ms, fault });
        at_ms += rng.u64(CROWD_INTERVAL_MS);
    }
    faults
}

fn draw_slow_responses(seed: u64, size: RunSize) -> Vec<ScheduledFault> {
    let mut rng = Rng::with_seed(seed ^ SLOW_RESPONSES_SEED);
    let mut faults = Vec::new();
    let mut at_ms = QUIET_PERIOD_MS;
    while at_ms + QUIET_PERIOD_MS < size.duration_ms {
        let server = rng.usize(..size.servers);
        faults.push(ScheduledFault {
            at_ms,
            fault: Fault::SlowResponses { server, for_ms: rng.u64(500..2000) },
        });
        at_ms += rng.u64(SLOW_RESPONSES_INTERVAL_MS);
    }
    faults
}

/// A server drains, then discovery is down, and processes that know of the drain are replaced before it is back.
fn draw_takeovers(seed: u64, size: RunSize) -> Vec<ScheduledFault> {
    let mut rng = Rng::with_seed(seed ^ TAKEOVER_SEED);
    let mut faults = Vec::new();
    let mut at_ms = QUIET_PERIOD_MS;
    loop {
        let outage_at_ms = at_ms + rng.u64(DRAIN_LEAD_MS);
        let outage_ms = rng.u64(OUTAGE_MS);
        let outage_ends_at_ms = outage_at_ms + outage_ms;
        if outage_ends_at_ms > size.duration_ms {
            return faults;
        }
        let drain = Fault::DrainServer {
            server: rng.usize(..size.servers),
            for_ms: outage_ends_at_ms - at_ms + QUIET_PERIOD_MS,
        };
        faults.push(ScheduledFault { at_ms, fault: drain });
        let outage = Fault::DiscoveryDown { for_ms: outage_ms };
        faults.push(ScheduledFault { at_ms: outage_at_ms, fault: outage });
        for _ in 0..rng.usize(1..=MOST_REPLACEMENTS) {
            let replaced_at_ms = outage_at_ms + rng.u64(REPLACEMENT_DELAY_MS);
            let fault = draw_replacement(&mut rng, size);
            faults.push(ScheduledFault { at_ms: replaced_at_ms, fault });
        }
        at_ms = outage_ends_at_ms + rng.u64(TAKEOVER_INTERVAL_MS);
    }
}

/// Only a persistent node can hand over what its process knows.
fn draw_replacement(rng: &mut Rng, size: RunSize) -> Fault {
    let node = rng.usize(size.first_persistent..size.nodes);
    match rng.u32(..4) {
        0 => Fault::KillNode { node, down_ms: rng.u64(50..800) },
        1 => Fault::TerminateNode { node },
        _ => Fault::UpgradeNode { node },
    }
}
