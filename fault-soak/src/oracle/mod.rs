//! Holds what was seen from outside against each rule.
//!
//! [`request_rules`] has the rules on one request and its attempts, [`server_rules`] those on what a server
//! gets. Each rule is one function, named as in `docs/fault-soak.md`.

mod request_rules;
mod server_rules;

use crate::record::{ChangeRecord, ClientRequest, Record, Rule, ServerAttempt};
use std::collections::HashMap;

/// A process may be suspended for so long between its clock and its writes, in seconds.
const HOLD_SLACK: f64 = 0.15;
/// What loopback and this program's own scheduling may take, in seconds.
const LOOPBACK_SLACK: f64 = 0.05;
/// A stall of this program so long before still shows, in seconds.
const STALL_RANGE: f64 = 2.5;
/// Nine in ten new processes are ready within this, in seconds.
const READY_TIME: f64 = 10.0;

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// When it showed, in seconds.
    pub at: f64,
    /// Of which rule.
    pub rule: Rule,
    /// What happened, by the request's id where there is one.
    pub description: String,
}

/// All violations that the record shows. `known_by` says when a change counts as known whether or not a
/// node was notified.
pub fn judge(record: &Record, known_by: &dyn Fn(f64) -> f64) -> Vec<Violation> {
    let requests = record.requests.lock().unwrap().clone();
    let attempts = record.attempts.lock().unwrap().clone();
    let changes = record.changes.lock().unwrap().clone();
    let judge = Judge { record, requests: &requests, changes: &changes, known_by };
    let mut found = judge.observed();
    let by_request = by_request(&attempts);
    for (id, request) in &requests {
        let attempts = by_request.get(id).map_or(&[][..], Vec::as_slice);
        judge.judge_request(*id, request, attempts, &mut found);
    }
    for attempt in &attempts {
        judge.judge_attempt(attempt, &mut found);
    }
    judge.cold(&attempts, &mut found);
    judge.ready(&mut found);
    found.sort_by(|a, b| a.at.total_cmp(&b.at));
    found
}

fn by_request(attempts: &[ServerAttempt]) -> HashMap<u64, Vec<&ServerAttempt>> {
    let mut by_request: HashMap<u64, Vec<&ServerAttempt>> = HashMap::new();
    for attempt in attempts {
        by_request.entry(attempt.id).or_default().push(attempt);
    }
    by_request
}

struct Judge<'a> {
    record: &'a Record,
    requests: &'a HashMap<u64, ClientRequest>,
    changes: &'a [ChangeRecord],
    known_by: &'a dyn Fn(f64) -> f64,
}

impl Judge<'_> {
    /// What a time that was seen just then may be off by, in seconds.
    fn slack(&self, at: f64) -> f64 {
        LOOPBACK_SLACK + self.record.longest_stall(at - STALL_RANGE, at)
    }

    /// When a node knew of a change.
    fn known_at(&self, change: &ChangeRecord, node: usize) -> f64 {
        change.notified_at[node].min((self.known_by)(change.at))
    }

    /// Violations that were seen as they happened.
    fn observed(&self) -> Vec<Violation> {
        let observed = self.record.violations.lock().unwrap().clone();
        let violation = |seen: crate::record::ObservedViolation| Violation {
            at: seen.at,
            rule: seen.rule,
            description: seen.description,
        };
        observed.into_iter().map(violation).collect()
    }

    /// Rule `Ready`: nine in ten processes are ready in time.
    fn ready(&self, found: &mut Vec<Violation>) {
        let times = self.record.ready_times.lock().unwrap();
        let late = times.iter().filter(|time| **time > READY_TIME).count();
        if late * 10 > times.len() {
            let description = format!("{late} of {} processes took over {READY_TIME} s", times.len());
            found.push(Violation { at: self.record.now(), rule: Rule::Ready, description });
        }
    }
}

#[cfg(test)]
#[path = "../../tests/oracle.rs"]
mod tests;
