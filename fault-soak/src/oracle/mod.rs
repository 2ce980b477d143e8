//! Checks the record of a run against the rules that every run must keep.
//!
//! The oracle sees a run only from outside: it compares what clients, servers and discovery observed.
//! [`request_rules`] has the rules for one request and its attempts, and [`server_rules`] those for the
//! requests that a server receives. Each rule is one function. `docs/fault-soak.md` describes the rules
//! under the names that [`Rule::name`] returns.

mod request_rules;
mod server_rules;

use crate::record::{ClientRequest, Record, Rule, ServerAttempt, ServerChangeRecord};
use std::collections::HashMap;

/// The longest time by which the fault injection delays a write after the process has read its clock.
const DELAYED_WRITE_SLACK_SECONDS: f64 = 0.15;
/// The delay that loopback and the scheduling of this program add to an observed time.
const LOOPBACK_SLACK_SECONDS: f64 = 0.05;
/// How long before an observation a stall of this program can end and still delay the observed time.
const STALL_LOOKBACK_SECONDS: f64 = 2.5;
/// The time within which nine in ten new processes must be ready.
const READY_LIMIT_SECONDS: f64 = 10.0;

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// When the violation showed, in seconds since the start of the record.
    pub at: f64,
    /// The rule that was broken.
    pub rule: Rule,
    /// What was observed, with the id of the request if the violation concerns one.
    pub description: String,
}

/// Returns all violations in the record, in order of time.
///
/// `deemed_known_at` maps the time of a change to the time from which every node is expected to know of it,
/// whether or not the node was notified.
pub fn find_violations(record: &Record, deemed_known_at: &dyn Fn(f64) -> f64) -> Vec<Violation> {
    let requests = record.requests.lock().unwrap().clone();
    let attempts = record.attempts.lock().unwrap().clone();
    let changes = record.changes.lock().unwrap().clone();
    let checker = Checker { record, requests: &requests, changes: &changes, deemed_known_at };
    let mut found = checker.observed_violations();
    let by_request = group_by_request(&attempts);
    for (id, request) in &requests {
        let attempts = by_request.get(id).map_or(&[][..], Vec::as_slice);
        checker.check_request(*id, request, attempts, &mut found);
    }
    for attempt in &attempts {
        checker.check_attempt(attempt, &mut found);
    }
    for cut in record.cut_responses.lock().unwrap().iter() {
        found.extend(checker.cut_response(cut));
    }
    checker.slow_start_overload(&attempts, &mut found);
    checker.readiness(&mut found);
    found.sort_by(|a, b| a.at.total_cmp(&b.at));
    found
}

fn group_by_request(attempts: &[ServerAttempt]) -> HashMap<u64, Vec<&ServerAttempt>> {
    let mut by_request: HashMap<u64, Vec<&ServerAttempt>> = HashMap::new();
    for attempt in attempts {
        by_request.entry(attempt.id).or_default().push(attempt);
    }
    by_request
}

/// The observations of one finished run. Each rule is a method.
struct Checker<'a> {
    record: &'a Record,
    requests: &'a HashMap<u64, ClientRequest>,
    changes: &'a [ServerChangeRecord],
    deemed_known_at: &'a dyn Fn(f64) -> f64,
}

impl Checker<'_> {
    /// By how many seconds a time that was observed at `at` can be wrong.
    fn slack(&self, at: f64) -> f64 {
        LOOPBACK_SLACK_SECONDS + self.record.longest_stall(at - STALL_LOOKBACK_SECONDS, at)
    }

    /// When the node knew, or is expected to have known, of a change.
    fn known_at(&self, change: &ServerChangeRecord, node: usize) -> f64 {
        change.notified_at[node].min((self.deemed_known_at)(change.at))
    }

    /// The violations that the tasks of the soak saw as they happened.
    fn observed_violations(&self) -> Vec<Violation> {
        let observed = self.record.violations.lock().unwrap().clone();
        let violation = |seen: crate::record::ObservedViolation| Violation {
            at: seen.at,
            rule: seen.rule,
            description: seen.description,
        };
        observed.into_iter().map(violation).collect()
    }

    /// [`Rule::Readiness`]: nine in ten processes are ready within `READY_LIMIT_SECONDS`.
    fn readiness(&self, found: &mut Vec<Violation>) {
        let times = self.record.ready_times.lock().unwrap();
        let late = times.iter().filter(|time| **time > READY_LIMIT_SECONDS).count();
        if late * 10 > times.len() {
            let description = format!(
                "{late} of {} processes took over {READY_LIMIT_SECONDS} s to be ready",
                times.len()
            );
            found.push(Violation { at: self.record.now(), rule: Rule::Readiness, description });
        }
    }
}

#[cfg(test)]
#[path = "../../tests/oracle.rs"]
mod tests;
