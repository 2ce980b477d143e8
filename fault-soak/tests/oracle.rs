//! The oracle sees a break of each rule, and none where all went well.
use super::*;
use crate::record::{
    ChangeRecord, ClientAnswer, ClientRequest, ConnectionClose, DisabledPeriod, ServerAttempt, ServerChange,
};
use crate::settings::{MAX_ATTEMPTS, RequestClass};
use std::time::Instant;

const ID: u64 = 7;

/// One request of that class at node 0, sent at 10 s with a second left.
fn request(class: RequestClass) -> ClientRequest {
    ClientRequest {
        class,
        node: 0,
        sent_at: 10.0,
        timeout: 1.0,
        new_connection: true,
        left_at: None,
        answer: Some(answer(10.3, 200, body(3))),
        closed: None,
    }
}

fn answer(at: f64, status: u16, body: String) -> ClientAnswer {
    ClientAnswer { at, status, body }
}

fn closed_at(at: f64, within_answer: bool) -> ConnectionClose {
    ConnectionClose { at, within_answer }
}

fn body(server: usize) -> String {
    crate::server::body(ID, server, 1)
}

/// It reached server 3 a tenth of a second after it was sent.
fn attempt() -> ServerAttempt {
    ServerAttempt {
        id: ID,
        server: 3,
        first_byte_at: 10.1,
        complete_at: 10.1,
        timeout: Some(0.9),
        rejected: false,
    }
}

fn leaves(at: f64, told: f64) -> ChangeRecord {
    ChangeRecord { server: 3, change: ServerChange::Withdrawn, at, version: 2, notified_at: vec![told] }
}

/// A record of one request and its attempts.
fn record(asked: ClientRequest, attempts: Vec<ServerAttempt>) -> Record {
    let record = Record::new(Instant::now());
    record.requests.lock().unwrap().insert(ID, asked);
    *record.attempts.lock().unwrap() = attempts;
    record
}

fn rules(record: &Record) -> Vec<Rule> {
    judge(record, &|at| at + 6.0).iter().map(|found| found.rule).collect()
}

#[test]
fn a_served_request_breaks_no_rule() {
    for class in RequestClass::ALL {
        assert_eq!(rules(&record(request(class), vec![attempt()])), []);
    }
}

#[test]
fn a_late_truncated_or_missing_answer_is_a_loss() {
    let late =
        ClientRequest { answer: Some(answer(11.7, 502, String::new())), ..request(RequestClass::View) };
    assert_eq!(rules(&record(late, vec![])), [Rule::Lost]);
    let none = ClientRequest { answer: None, ..request(RequestClass::View) };
    assert_eq!(rules(&record(none.clone(), vec![attempt()])), [Rule::Lost]);
    let closed = ClientRequest { closed: Some(closed_at(10.2, false)), ..none.clone() };
    assert_eq!(
        rules(&record(closed.clone(), vec![])),
        [Rule::Lost],
        "also on a new connection, never read"
    );
    let cut = ClientRequest { closed: Some(closed_at(10.2, true)), new_connection: false, ..none };
    assert_eq!(rules(&record(cut, vec![attempt()])), [Rule::Lost]);
    // One that crossed the end of a kept connection is asked again; unless it was read.
    let crossed = ClientRequest { new_connection: false, ..closed };
    assert_eq!(rules(&record(crossed.clone(), vec![])), []);
    assert_eq!(rules(&record(crossed, vec![attempt()])), [Rule::Lost]);
}

#[test]
fn requests_of_a_killed_process_are_no_loss_and_those_of_an_ended_one_are() {
    for (killed, expected) in [(true, vec![]), (false, vec![Rule::Lost])] {
        let closed = ClientRequest {
            answer: None,
            closed: Some(closed_at(10.2, false)),
            ..request(RequestClass::View)
        };
        let record = record(closed, vec![attempt()]);
        record.gaps.lock().unwrap().push(crate::record::ProcessGap {
            node: 0,
            from: 10.2,
            killed,
            until: 10.9,
        });
        assert_eq!(rules(&record), expected);
    }
}

#[test]
fn a_repeat_that_the_class_forbids_is_a_duplicate() {
    let again = |later: f64| ServerAttempt {
        first_byte_at: 10.1 + later,
        complete_at: 10.1 + later,
        timeout: None,
        ..attempt()
    };
    let answered = |class| ClientRequest { timeout: 5.0, ..request(class) };
    assert_eq!(rules(&record(answered(RequestClass::View), vec![attempt(), again(0.2)])), []);
    assert_eq!(rules(&record(answered(RequestClass::Bid), vec![attempt(), again(1.9)])), []);
    assert_eq!(rules(&record(answered(RequestClass::Bid), vec![attempt(), again(2.2)])), [Rule::Duplicate]);
    assert_eq!(
        rules(&record(answered(RequestClass::Order), vec![attempt(), again(0.2)])),
        [Rule::Duplicate]
    );
    let turned_away = ServerAttempt { rejected: true, ..attempt() };
    assert_eq!(rules(&record(answered(RequestClass::Order), vec![turned_away, again(0.2)])), []);
    let nobody = ServerAttempt { id: 8, ..attempt() };
    assert_eq!(rules(&record(request(RequestClass::View), vec![attempt(), nobody])), [Rule::Duplicate]);
}

#[test]
fn a_request_to_a_draining_endpoint_breaks_the_drain_rule() {
    let with = |told: ChangeRecord| {
        let record = record(request(RequestClass::View), vec![attempt()]);
        record.changes.lock().unwrap().push(told);
        rules(&record)
    };
    assert_eq!(with(leaves(8.0, 8.5)), [Rule::Drain]);
    assert_eq!(with(leaves(9.0, 9.5)), [], "within the grace");
    assert_eq!(with(leaves(8.0, f64::INFINITY)), [], "not told yet");
    assert_eq!(with(leaves(2.0, f64::INFINITY)), [Rule::Drain], "deemed told");
    assert_eq!(with(ChangeRecord { server: 2, ..leaves(8.0, 8.5) }), [], "another server");
    let back = ChangeRecord { change: ServerChange::InService, ..leaves(9.0, 9.0) };
    let record = record(request(RequestClass::View), vec![attempt()]);
    *record.changes.lock().unwrap() = vec![leaves(8.0, 8.5), back];
    assert_eq!(rules(&record), [], "back by then");
}

#[test]
fn a_request_to_a_disabled_endpoint_breaks_an_acknowledged_override() {
    for (until, expected) in [(f64::INFINITY, vec![Rule::Done]), (9.9, vec![])] {
        let record = record(request(RequestClass::View), vec![attempt()]);
        record.disabled.lock().unwrap().push(DisabledPeriod { node: 0, server: 3, from: 9.0, until });
        assert_eq!(rules(&record), expected);
    }
}

#[test]
fn an_overloaded_restarted_endpoint_is_seen_across_nodes() {
    let flood = |count: usize| {
        let record = Record::new(Instant::now());
        for n in 0..count {
            let id = 100 + n as u64;
            let at = 10.0 + 0.5 * n as f64 / count as f64;
            let answer = Some(answer(at + 0.1, 200, crate::server::body(id, 3, 1)));
            let asked = ClientRequest { node: n % 2, sent_at: at, answer, ..request(RequestClass::View) };
            record.requests.lock().unwrap().insert(id, asked);
            record.attempts.lock().unwrap().push(ServerAttempt {
                id,
                first_byte_at: at,
                complete_at: at,
                timeout: None,
                ..attempt()
            });
        }
        record.changes.lock().unwrap().push(ChangeRecord {
            server: 3,
            change: ServerChange::Restarted,
            at: 9.9,
            version: 2,
            notified_at: vec![9.9, 9.9],
        });
        rules(&record)
    };
    assert_eq!(flood(70), []);
    assert_eq!(flood(140), [Rule::Cold]);
}

#[test]
fn attempts_for_a_client_that_left_or_with_too_much_time_are_seen() {
    let left =
        ClientRequest { answer: None, left_at: Some(9.7), sent_at: 9.6, ..request(RequestClass::View) };
    assert_eq!(rules(&record(left, vec![ServerAttempt { timeout: None, ..attempt() }])), [Rule::Gone]);
    let long = ServerAttempt { timeout: Some(1.2), ..attempt() };
    assert_eq!(rules(&record(request(RequestClass::View), vec![long])), [Rule::Deadline]);
}

#[test]
fn invented_answers_and_harmful_rejections_are_seen() {
    let made_up = ClientRequest { answer: Some(answer(10.3, 200, body(5))), ..request(RequestClass::View) };
    assert_eq!(rules(&record(made_up, vec![attempt()])), [Rule::Truth]);
    let refused =
        ClientRequest { answer: Some(answer(10.3, 503, String::new())), ..request(RequestClass::Order) };
    assert_eq!(rules(&record(refused.clone(), vec![attempt()])), [Rule::Truth]);
    assert_eq!(rules(&record(refused, vec![ServerAttempt { rejected: true, ..attempt() }])), []);
}

#[test]
fn too_many_attempts_and_late_starts_are_seen() {
    let many = vec![attempt(); MAX_ATTEMPTS + 1];
    assert_eq!(rules(&record(request(RequestClass::View), many)), [Rule::Attempts]);
    let record = record(request(RequestClass::View), vec![attempt()]);
    *record.ready_times.lock().unwrap() = vec![0.1, 0.1, 12.0];
    record.record_violation(Rule::Process, "node 1 ended".to_owned());
    let mut found = rules(&record);
    found.sort();
    assert_eq!(found, [Rule::Process, Rule::Ready]);
}
