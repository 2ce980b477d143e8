//! Holds what was seen from outside against each rule.

use crate::record::{Asked, Change, Record, Rule, Seen, Told};
use crate::server::{CORES, WORK};
use crate::settings::{
    COLD_TIME, Class, DRAIN_GRACE, FALL_MULTIPLE, FALL_TIME, KEY_TTL, MOST_ATTEMPTS, START_CAPACITY,
};
use std::collections::HashMap;

/// An answer so late is lost.
const LATE_BY: f64 = 0.5;
/// A process may be held up for so long between its clock and its writes.
const HOLD: f64 = 0.15;
/// What loopback and this program's own turns may take.
const TURN: f64 = 0.05;
/// A stall of this program so long before still shows.
const NEAR: f64 = 2.5;
/// An attempt may begin so long after its client has gone.
const GONE: f64 = 0.1;
/// A server may be told so much more time than is left.
const DEADLINE_SLACK: f64 = 0.15;
/// Nine in ten new processes are ready within this.
const READY_WITHIN: f64 = 10.0;

/// A break of a rule.
#[derive(Clone, Debug)]
pub struct Break {
    /// When it showed, in seconds.
    pub at: f64,
    /// Which.
    pub rule: Rule,
    /// What happened, by the request's id where there is one.
    pub what: String,
}

/// All breaks that the record shows. `told_by` tells when a change counts as told whether or not it was heard.
pub fn judge(record: &Record, told_by: &dyn Fn(f64) -> f64) -> Vec<Break> {
    let asked = record.asked.lock().unwrap().clone();
    let seen = record.seen.lock().unwrap().clone();
    let told = record.told.lock().unwrap().clone();
    let mut attempts: HashMap<u64, Vec<&Seen>> = HashMap::new();
    for one in &seen {
        attempts.entry(one.id).or_default().push(one);
    }
    let judge = Judge { record, asked: &asked, told: &told, told_by };
    let seen_at_once = record.breaks.lock().unwrap().clone();
    let mut found: Vec<Break> =
        seen_at_once.into_iter().map(|(at, rule, what)| Break { at, rule, what }).collect();
    for (id, request) in &asked {
        let attempts = attempts.get(id).map_or(&[][..], Vec::as_slice);
        judge.request(*id, request, attempts, &mut found);
    }
    for one in &seen {
        judge.attempt(one, &mut found);
    }
    judge.cold(&seen, &mut found);
    judge.ready(&mut found);
    found.sort_by(|a, b| a.at.total_cmp(&b.at));
    found
}

struct Judge<'a> {
    record: &'a Record,
    asked: &'a HashMap<u64, Asked>,
    told: &'a [Told],
    told_by: &'a dyn Fn(f64) -> f64,
}

impl Judge<'_> {
    /// What a time that was seen just then may be off by.
    fn slack(&self, at: f64) -> f64 {
        TURN + self.record.stall(at - NEAR, at)
    }

    fn request(&self, id: u64, request: &Asked, attempts: &[&Seen], found: &mut Vec<Break>) {
        let mut note = |at: f64, rule, what: String| {
            let what = format!("{id:016x} {} at node {}: {what}", request.class.name(), request.node);
            found.push(Break { at, rule, what });
        };
        self.answered(request, attempts, &mut note);
        self.effect(request, attempts, &mut note);
        if attempts.len() > MOST_ATTEMPTS {
            note(request.sent, Rule::Attempts, format!("{} attempts", attempts.len()));
        }
        for attempt in attempts {
            let end = request.sent + request.wait;
            if let Some(expires) = attempt.expires
                && expires > end - attempt.whole + DEADLINE_SLACK + self.slack(attempt.whole)
            {
                let left = end - attempt.whole;
                note(attempt.whole, Rule::Deadline, format!("told {expires:.3} s with {left:.3} s left"));
            }
            if let Some(left) = request.left
                && attempt.first > left + GONE + HOLD + self.slack(attempt.first)
            {
                note(
                    attempt.first,
                    Rule::Gone,
                    format!("sent {:.3} s after its client left", attempt.first - left),
                );
            }
        }
    }

    /// One final answer in time, made by a server for this request, or harmless.
    fn answered(&self, request: &Asked, attempts: &[&Seen], note: &mut impl FnMut(f64, Rule, String)) {
        let end = request.sent + request.wait;
        match &request.answer {
            Some((at, status, body)) => {
                let late = *at > end + LATE_BY + self.slack(*at);
                if late && !self.killed(request.node, request.sent, *at) {
                    note(*at, Rule::Lost, format!("answered {status} {:.3} s after its time", at - end));
                }
                self.truthful(request, attempts, *status, body, note);
            }
            None if request.left.is_some_and(|left| left < end) => {}
            None => {
                let (at, how) = match request.closed {
                    Some((at, true)) => (at, "its answer was cut"),
                    Some((at, false)) => (at, "closed with no answer"),
                    None => (end, "no answer"),
                };
                let crossed = !request.new_connection && matches!(request.closed, Some((_, false)));
                // A kept connection that ends as a request comes is no loss, unless the request was read.
                let lost = !crossed || !attempts.is_empty();
                if lost && !self.killed(request.node, request.sent, at) {
                    note(at, Rule::Lost, format!("{how}, {:.3} s after it was sent", at - request.sent));
                }
            }
        }
    }

    /// The process that had a request was killed before it could answer, or there was none yet.
    fn killed(&self, node: usize, from: f64, until: f64) -> bool {
        let gaps = self.record.gaps.lock().unwrap();
        let mut kills = gaps.iter().filter(|gap| gap.node == node && gap.killed);
        let slack = self.slack(until);
        kills.any(|gap| gap.until >= from - slack && gap.from <= until + slack)
    }

    fn truthful(
        &self,
        request: &Asked,
        attempts: &[&Seen],
        status: u16,
        body: &str,
        note: &mut impl FnMut(f64, Rule, String),
    ) {
        let may_have_run = attempts.iter().any(|attempt| !attempt.turned_away);
        match status {
            200 if !attempts
                .iter()
                .any(|a| body.contains(&format!("{:016x} served by {} ", a.id, a.server))) =>
            {
                note(request.sent, Rule::Truth, format!("served with {body:?}"));
            }
            429 | 503 if request.class == Class::Order && may_have_run => {
                note(request.sent, Rule::Truth, format!("refused with {status} though it may have run"));
            }
            _ => {}
        }
    }

    /// How often a request ran.
    fn effect(&self, request: &Asked, attempts: &[&Seen], note: &mut impl FnMut(f64, Rule, String)) {
        let mut ran: Vec<&&Seen> = attempts.iter().filter(|attempt| !attempt.turned_away).collect();
        ran.sort_by(|a, b| a.whole.total_cmp(&b.whole));
        let (Some(first), Some(last)) = (ran.first(), ran.last()) else { return };
        match request.class {
            Class::Order if ran.len() > 1 => {
                note(last.whole, Rule::Duplicate, format!("ran {} times", ran.len()));
            }
            Class::Bid if last.whole - first.whole > KEY_TTL.as_secs_f64() + self.slack(last.whole) => {
                let apart = last.whole - first.whole;
                note(last.whole, Rule::Duplicate, format!("repeated {apart:.3} s after it had run"));
            }
            _ => {}
        }
    }

    /// Nothing to a server that leaves, by the list or by a call.
    fn attempt(&self, attempt: &Seen, found: &mut Vec<Break>) {
        let Some(request) = self.asked.get(&attempt.id) else {
            let what = format!("{:016x}: no client sent it", attempt.id);
            return found.push(Break { at: attempt.first, rule: Rule::Duplicate, what });
        };
        let grace = DRAIN_GRACE.as_secs_f64() + HOLD + self.slack(attempt.first);
        let known =
            self.told.iter().filter(|told| told.server == attempt.server && told.at <= attempt.first);
        if let Some(last) = known.reduce(|a, b| if b.at >= a.at { b } else { a })
            && last.change == Change::Leaves
        {
            let told = last.nodes[request.node].min((self.told_by)(last.at));
            if attempt.first > told + grace {
                let what = format!(
                    "{:016x} of node {} to server {} {:.3} s after it was told that this leaves",
                    attempt.id,
                    request.node,
                    attempt.server,
                    attempt.first - told
                );
                found.push(Break { at: attempt.first, rule: Rule::Drain, what });
            }
        }
        for ban in self.record.bans.lock().unwrap().iter() {
            let here = ban.node == request.node && ban.server == attempt.server;
            if here && attempt.first > ban.from + grace && attempt.first < ban.until {
                let what = format!(
                    "{:016x} of node {} to server {} {:.3} s after the call that took it out of service",
                    attempt.id,
                    request.node,
                    attempt.server,
                    attempt.first - ban.from
                );
                found.push(Break { at: attempt.first, rule: Rule::Done, what });
            }
        }
    }

    /// No cold server gets more than it may in any window, from nodes that knew.
    fn cold(&self, seen: &[Seen], found: &mut Vec<Break>) {
        let capacity = CORES as f64 / WORK.as_secs_f64();
        for start in self.told.iter().filter(|told| told.change == Change::Started) {
            let cold_until = start.at + COLD_TIME.as_secs_f64();
            let mut times: Vec<(f64, bool)> = Vec::new();
            for one in seen.iter().filter(|one| one.server == start.server) {
                let Some(request) = self.asked.get(&one.id) else { continue };
                if (start.at..cold_until).contains(&one.whole) {
                    let knew = start.nodes[request.node].min((self.told_by)(start.at)) <= one.first;
                    times.push((one.whole, knew));
                }
            }
            times.sort_by(|a, b| a.0.total_cmp(&b.0));
            let window = FALL_TIME.as_secs_f64();
            for (n, (from, _)) in times.iter().enumerate() {
                let inside: Vec<_> = times[n..].iter().take_while(|(at, _)| at - from <= window).collect();
                let age = (from + window - start.at) / COLD_TIME.as_secs_f64();
                let part = START_CAPACITY + (1.0 - START_CAPACITY) * age.clamp(0.0, 1.0);
                let budget = FALL_MULTIPLE * capacity * part * window;
                let most = if budget < 30.0 {
                    budget + 3.0 * budget.sqrt() + 3.0
                } else {
                    budget + 2.0 * budget.sqrt() + 2.0
                };
                let knew = inside.iter().filter(|(_, knew)| *knew).count();
                if inside.len() as f64 > most && knew * 3 > inside.len() * 2 {
                    let what = format!(
                        "server {} got {} requests in {window} s, {:.1} s after it started; {most:.0} are allowed",
                        start.server,
                        inside.len(),
                        from - start.at
                    );
                    found.push(Break { at: *from, rule: Rule::Cold, what });
                    break;
                }
            }
        }
    }

    fn ready(&self, found: &mut Vec<Break>) {
        let mut ready = self.record.ready.lock().unwrap().clone();
        ready.sort_by(f64::total_cmp);
        let late = ready.iter().filter(|took| **took > READY_WITHIN).count();
        if late * 10 > ready.len() {
            let what = format!("{late} of {} processes took over {READY_WITHIN} s", ready.len());
            found.push(Break { at: self.record.now(), rule: Rule::Ready, what });
        }
    }
}

#[cfg(test)]
#[path = "../tests/oracle.rs"]
mod tests;
