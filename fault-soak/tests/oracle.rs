//! The oracle reports a violation of each rule that it checks itself, passes on the violations that the
//! tasks of the soak observed, and reports none if a run kept the rules.
use super::*;
use crate::record::{
    ClientRequest, ClientResponse, ConnectionClose, CutResponse, DisabledPeriod, ProcessGap, ServerAttempt,
    ServerChange, ServerChangeRecord,
};
use crate::settings::{MAX_ATTEMPTS, RequestClass};
use std::time::Instant;

const ID: u64 = 7;

/// A request to node 0, sent at 10 s with a timeout of 1 s. The response of server 3 arrives at 10.3 s.
fn request(class: RequestClass) -> ClientRequest {
    ClientRequest {
        class,
        node: 0,
        sent_at: 10.0,
        timeout_seconds: 1.0,
        on_new_connection: true,
        abandoned_at: None,
        response: Some(response(10.3, 200, body(3))),
        is_response_partial: false,
        connection_close: None,
    }
}

fn response(at: f64, status: u16, body: String) -> ClientResponse {
    ClientResponse { at, status, body }
}

fn closed_at(at: f64, mid_response: bool) -> ConnectionClose {
    ConnectionClose { at, mid_response }
}

fn body(server: usize) -> String {
    crate::response::body(ID, server, 1)
}

/// An attempt that reached server 3 at 10.1 s, which is 0.1 s after the request was sent.
fn attempt() -> ServerAttempt {
    ServerAttempt {
        id: ID,
        server: 3,
        first_byte_at: 10.1,
        last_byte_at: 10.1,
        timeout_seconds: Some(0.9),
        rejected: false,
    }
}

/// Server 3 is withdrawn at `at`, and node 0 is notified at `notified_at`.
fn withdrawal(at: f64, notified_at: f64) -> ServerChangeRecord {
    ServerChangeRecord {
        server: 3,
        change: ServerChange::Withdrawn,
        at,
        version: 2,
        notified_at: vec![notified_at],
    }
}

/// A record of one request and its attempts.
fn record(request: ClientRequest, attempts: Vec<ServerAttempt>) -> Record {
    let record = Record::new(Instant::now());
    record.requests.lock().unwrap().insert(ID, request);
    *record.attempts.lock().unwrap() = attempts;
    record
}

/// The rules that were broken, if every node is expected to know of a change after 6 s.
fn broken_rules(record: &Record) -> Vec<Rule> {
    find_violations(record, &|at| at + 6.0).iter().map(|found| found.rule).collect()
}

#[test]
fn a_served_request_breaks_no_rule() {
    for class in RequestClass::ALL {
        assert_eq!(broken_rules(&record(request(class), vec![attempt()])), []);
    }
}

/// A close of a reused connection before the response is not a loss, because the client retries; it is one
/// if the node had read the request and sent an attempt.
#[test]
fn a_late_truncated_or_missing_response_is_lost() {
    let late =
        ClientRequest { response: Some(response(11.7, 502, String::new())), ..request(RequestClass::View) };
    assert_eq!(broken_rules(&record(late, vec![])), [Rule::LostResponse]);
    let missing = ClientRequest { response: None, ..request(RequestClass::View) };
    assert_eq!(broken_rules(&record(missing.clone(), vec![attempt()])), [Rule::LostResponse]);
    let closed = ClientRequest { connection_close: Some(closed_at(10.2, false)), ..missing.clone() };
    assert_eq!(
        broken_rules(&record(closed.clone(), vec![])),
        [Rule::LostResponse],
        "a new connection that is closed without an attempt"
    );
    let truncated = ClientRequest {
        connection_close: Some(closed_at(10.2, true)),
        on_new_connection: false,
        ..missing
    };
    assert_eq!(broken_rules(&record(truncated, vec![attempt()])), [Rule::LostResponse]);
    let closed_when_reused = ClientRequest { on_new_connection: false, ..closed };
    assert_eq!(broken_rules(&record(closed_when_reused.clone(), vec![])), []);
    assert_eq!(broken_rules(&record(closed_when_reused, vec![attempt()])), [Rule::LostResponse]);
}

/// A process that is killed cannot answer the requests that it holds; one that is terminated must.
#[test]
fn a_missing_response_is_lost_unless_the_process_was_killed() {
    for (killed, expected) in [(true, vec![]), (false, vec![Rule::LostResponse])] {
        let closed = ClientRequest {
            response: None,
            connection_close: Some(closed_at(10.2, false)),
            ..request(RequestClass::View)
        };
        let record = record(closed, vec![attempt()]);
        record.process_gaps.lock().unwrap().push(crate::record::ProcessGap {
            node: 0,
            from: 10.2,
            killed,
            until: 10.9,
        });
        assert_eq!(broken_rules(&record), expected);
    }
}

/// Idempotent requests may repeat at any time, deduplicated ones within the deduplication window, and
/// at-most-once ones only if the server rejected the earlier attempt. An attempt whose id no client sent is
/// a duplicate too.
#[test]
fn a_repeat_that_the_class_forbids_is_a_duplicate() {
    let repeat_after = |seconds: f64| ServerAttempt {
        first_byte_at: 10.1 + seconds,
        last_byte_at: 10.1 + seconds,
        timeout_seconds: None,
        ..attempt()
    };
    let long_request = |class| ClientRequest { timeout_seconds: 5.0, ..request(class) };
    assert_eq!(
        broken_rules(&record(long_request(RequestClass::View), vec![attempt(), repeat_after(0.2)])),
        []
    );
    assert_eq!(
        broken_rules(&record(long_request(RequestClass::Bid), vec![attempt(), repeat_after(1.9)])),
        []
    );
    assert_eq!(
        broken_rules(&record(long_request(RequestClass::Bid), vec![attempt(), repeat_after(2.2)])),
        [Rule::DuplicateExecution]
    );
    assert_eq!(
        broken_rules(&record(long_request(RequestClass::Order), vec![attempt(), repeat_after(0.2)])),
        [Rule::DuplicateExecution]
    );
    let rejected = ServerAttempt { rejected: true, ..attempt() };
    assert_eq!(
        broken_rules(&record(long_request(RequestClass::Order), vec![rejected, repeat_after(0.2)])),
        []
    );
    let unknown_id = ServerAttempt { id: 8, ..attempt() };
    assert_eq!(
        broken_rules(&record(request(RequestClass::View), vec![attempt(), unknown_id])),
        [Rule::DuplicateExecution]
    );
}

#[test]
fn an_attempt_at_a_withdrawn_server_is_reported() {
    let broken_with = |change: ServerChangeRecord| {
        let record = record(request(RequestClass::View), vec![attempt()]);
        record.changes.lock().unwrap().push(change);
        broken_rules(&record)
    };
    assert_eq!(broken_with(withdrawal(8.0, 8.5)), [Rule::WithdrawnServer]);
    assert_eq!(broken_with(withdrawal(9.0, 9.5)), [], "within the drain grace period");
    assert_eq!(broken_with(withdrawal(8.0, f64::INFINITY)), [], "not notified yet");
    assert_eq!(
        broken_with(withdrawal(2.0, f64::INFINITY)),
        [Rule::WithdrawnServer],
        "not notified, but expected to know by then"
    );
    assert_eq!(broken_with(ServerChangeRecord { server: 2, ..withdrawal(8.0, 8.5) }), [], "another server");
    let back_in_service = ServerChangeRecord { change: ServerChange::InService, ..withdrawal(9.0, 9.0) };
    let record = record(request(RequestClass::View), vec![attempt()]);
    *record.changes.lock().unwrap() = vec![withdrawal(8.0, 8.5), back_in_service];
    assert_eq!(broken_rules(&record), [], "back in service before the attempt");
}

#[test]
fn an_attempt_at_a_server_that_an_acknowledged_command_disabled_is_reported() {
    for (until, expected) in [(f64::INFINITY, vec![Rule::AcknowledgedDisable]), (9.9, vec![])] {
        let record = record(request(RequestClass::View), vec![attempt()]);
        record.disabled_periods.lock().unwrap().push(DisabledPeriod {
            node: 0,
            server: 3,
            from: 9.0,
            until,
        });
        assert_eq!(broken_rules(&record), expected);
    }
}

/// Two nodes can overload a server in slow start together while each of them alone stays within the limit.
#[test]
fn an_overload_in_slow_start_is_reported_across_nodes() {
    let broken_with_requests = |count: usize| {
        let record = Record::new(Instant::now());
        for n in 0..count {
            let id = 100 + n as u64;
            let at = 10.0 + 0.5 * n as f64 / count as f64;
            let response = Some(response(at + 0.1, 200, crate::response::body(id, 3, 1)));
            let request =
                ClientRequest { node: n % 2, sent_at: at, response, ..request(RequestClass::View) };
            record.requests.lock().unwrap().insert(id, request);
            record.attempts.lock().unwrap().push(ServerAttempt {
                id,
                first_byte_at: at,
                last_byte_at: at,
                timeout_seconds: None,
                ..attempt()
            });
        }
        record.changes.lock().unwrap().push(ServerChangeRecord {
            server: 3,
            change: ServerChange::Restarted,
            at: 9.9,
            version: 2,
            notified_at: vec![9.9, 9.9],
        });
        broken_rules(&record)
    };
    assert_eq!(broken_with_requests(70), []);
    assert_eq!(broken_with_requests(140), [Rule::SlowStartOverload]);
}

#[test]
fn an_attempt_after_the_client_left_or_beyond_its_deadline_is_reported() {
    let abandoned = ClientRequest {
        response: None,
        abandoned_at: Some(9.7),
        sent_at: 9.6,
        ..request(RequestClass::View)
    };
    assert_eq!(
        broken_rules(&record(abandoned, vec![ServerAttempt { timeout_seconds: None, ..attempt() }])),
        [Rule::AbandonedRequest]
    );
    let beyond_deadline = ServerAttempt { timeout_seconds: Some(1.2), ..attempt() };
    assert_eq!(broken_rules(&record(request(RequestClass::View), vec![beyond_deadline])), [Rule::Deadline]);
}

/// A rejection tells the client of an at-most-once request that it may send the request again, so it is
/// wrong if a server may have run it.
#[test]
fn a_response_that_no_server_made_and_an_unsafe_rejection_are_reported() {
    let from_another_server =
        ClientRequest { response: Some(response(10.3, 200, body(5))), ..request(RequestClass::View) };
    assert_eq!(broken_rules(&record(from_another_server, vec![attempt()])), [Rule::ResponseCorrectness]);
    let rejected = ClientRequest {
        response: Some(response(10.3, 503, String::new())),
        ..request(RequestClass::Order)
    };
    assert_eq!(broken_rules(&record(rejected.clone(), vec![attempt()])), [Rule::ResponseCorrectness]);
    assert_eq!(broken_rules(&record(rejected, vec![ServerAttempt { rejected: true, ..attempt() }])), []);
}

/// One process of three that is late exceeds the one in ten that may be.
#[test]
fn too_many_attempts_late_processes_and_observed_violations_are_reported() {
    let too_many = vec![attempt(); MAX_ATTEMPTS + 1];
    assert_eq!(broken_rules(&record(request(RequestClass::View), too_many)), [Rule::AttemptLimit]);
    let record = record(request(RequestClass::View), vec![attempt()]);
    *record.ready_times.lock().unwrap() = vec![0.1, 0.1, 12.0];
    record.record_violation(Rule::ProcessExit, "node 1 ended".to_owned());
    let mut found = broken_rules(&record);
    found.sort();
    assert_eq!(found, [Rule::ProcessExit, Rule::Readiness]);
}

#[test]
fn a_response_that_the_node_cuts_off_breaks_its_rule() {
    let cut = CutResponse { id: ID, server: 3, head_at: 10.2, at: 10.4 };
    let record_with = |request: ClientRequest, cut: CutResponse| {
        let record = record(request, vec![attempt()]);
        record.cut_responses.lock().unwrap().push(cut);
        record
    };
    let kept = request(RequestClass::Bid);
    assert_eq!(broken_rules(&record_with(kept.clone(), cut)), [Rule::CutResponse]);
    // The node may have given up the attempt before it read the head.
    assert_eq!(broken_rules(&record_with(kept.clone(), CutResponse { at: 10.3, ..cut })), []);
    let left = ClientRequest { abandoned_at: Some(10.35), response: None, ..kept.clone() };
    assert_eq!(broken_rules(&record_with(left, cut)), []);
    let stopped = record_with(kept, cut);
    let gap = ProcessGap { node: 0, from: 10.3, killed: false, until: 11.0 };
    stopped.process_gaps.lock().unwrap().push(gap);
    assert_eq!(broken_rules(&stopped), []);
    // The gap of an upgrade goes on until a later start, and the process that took over is not being stopped.
    let long_after = record_with(request(RequestClass::Bid), cut);
    let gap = ProcessGap { node: 0, from: 5.0, killed: false, until: f64::INFINITY };
    long_after.process_gaps.lock().unwrap().push(gap);
    assert_eq!(broken_rules(&long_after), [Rule::CutResponse]);
}

#[test]
fn a_request_without_any_response_is_lost_though_a_response_was_disrupted() {
    let waited = ClientRequest { response: None, abandoned_at: Some(15.0), ..request(RequestClass::View) };
    for (is_response_partial, expected) in [(false, vec![Rule::LostResponse]), (true, vec![])] {
        let record = record(ClientRequest { is_response_partial, ..waited.clone() }, vec![attempt()]);
        record.disrupted_responses.lock().unwrap().insert(ID);
        assert_eq!(broken_rules(&record), expected);
    }
}

#[test]
fn a_truncated_response_breaks_its_rule_unless_the_server_was_disrupted() {
    let truncated = ClientRequest {
        response: None,
        connection_close: Some(closed_at(10.5, true)),
        ..request(RequestClass::View)
    };
    let record = record(truncated, vec![attempt()]);
    assert_eq!(broken_rules(&record), [Rule::LostResponse]);
    record.disrupted_responses.lock().unwrap().insert(ID);
    assert_eq!(broken_rules(&record), []);
}
