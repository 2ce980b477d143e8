//! Tests which attempts and rejections the invariant guard allows.
use super::*;
use wheelpath::policy::DeduplicationScope;

fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective_ms: 500.0,
        deadline_ms: 1000.0,
        priority_weight: 1.0,
        late_weight_factor: 0.0,
        idempotency,
        deduplication_window_ms: 2000.0,
        objective_stretch: 0.0,
    }
}

fn guard(idempotency: Idempotency) -> InvariantGuard {
    InvariantGuard { classes: vec![class(idempotency)], max_attempts: 3, hedging_allowed: true }
}

fn attempt(outcome: Option<AttemptOutcome>) -> AttemptRecord {
    AttemptRecord { location: Location { zone: 1, cell: 1 }, sent_at_ms: 100.0, outcome }
}

/// A request with these earlier attempts whose client waits until 5000 ms.
fn facts(attempts: &[AttemptRecord]) -> RequestFacts<'_> {
    RequestFacts { class: 0, awaits_answer: true, deadline_ms: 5000.0, attempts }
}

/// An endpoint in the zone and cell of all earlier attempts.
const SAME_LOCATION: AttemptTarget = target(1, 1);

const fn target(zone: u16, cell: u32) -> AttemptTarget {
    AttemptTarget { in_service: true, location: Location { zone, cell } }
}

#[test]
fn no_attempt_begins_for_a_finished_request_or_at_a_withdrawn_endpoint() {
    let guard = guard(Idempotency::Idempotent);
    assert_eq!(guard.may_send(200.0, &facts(&[]), &SAME_LOCATION), Ok(()));
    let finished = RequestFacts { awaits_answer: false, ..facts(&[]) };
    assert_eq!(guard.may_send(200.0, &finished, &SAME_LOCATION), Err(Violation::SendAfterEnd));
    let withdrawn = AttemptTarget { in_service: false, ..SAME_LOCATION };
    assert_eq!(guard.may_send(200.0, &facts(&[]), &withdrawn), Err(Violation::SendToWithdrawn));
    assert_eq!(guard.may_send(5002.0, &facts(&[]), &SAME_LOCATION), Err(Violation::SendPastDeadline));
}

#[test]
fn attempts_are_limited_in_number_and_not_parallel_without_hedging() {
    let ended = [attempt(Some(AttemptOutcome::Rejected)); 3];
    let hedging = guard(Idempotency::Idempotent);
    assert_eq!(hedging.may_send(200.0, &facts(&ended[..2]), &SAME_LOCATION), Ok(()));
    assert_eq!(hedging.may_send(200.0, &facts(&ended), &SAME_LOCATION), Err(Violation::SendBeyondLimit));
    let not_hedging = InvariantGuard { hedging_allowed: false, ..hedging.clone() };
    assert_eq!(hedging.may_send(200.0, &facts(&[attempt(None)]), &SAME_LOCATION), Ok(()));
    assert_eq!(
        not_hedging.may_send(200.0, &facts(&[attempt(None)]), &SAME_LOCATION),
        Err(Violation::SendBeyondLimit)
    );
}

/// A repeated attempt must not execute a request twice if that does harm. A request that certainly has not
/// run may be sent anywhere; one that may have run only as far as its idempotency and deduplication window
/// allow.
#[test]
fn an_attempt_is_repeated_only_as_far_as_the_class_allows() {
    let not_executed = [AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent, AttemptOutcome::Rejected];
    let possibly_executed = [
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::ErrorResponse,
    ];
    let repeat = |idempotency, now_ms: f64, outcome, target: &AttemptTarget| {
        guard(idempotency).may_send(now_ms, &facts(&[attempt(outcome)]), target)
    };
    let forbidden = Err(Violation::RepeatAgainstIdempotency);
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::WithKey(DeduplicationScope::Cell),
    ] {
        for outcome in not_executed {
            let other_zone_and_cell = target(2, 2);
            assert_eq!(repeat(idempotency, 4000.0, Some(outcome), &other_zone_and_cell), Ok(()));
        }
    }
    for outcome in possibly_executed.map(Some).into_iter().chain([None]) {
        assert_eq!(repeat(Idempotency::Idempotent, 4000.0, outcome, &SAME_LOCATION), Ok(()));
        assert_eq!(repeat(Idempotency::NotIdempotent, 200.0, outcome, &SAME_LOCATION), forbidden);
        assert_eq!(
            repeat(Idempotency::WithKey(DeduplicationScope::All), 2000.0, outcome, &SAME_LOCATION),
            Ok(())
        );
        assert_eq!(
            repeat(Idempotency::WithKey(DeduplicationScope::All), 2102.0, outcome, &SAME_LOCATION),
            forbidden,
            "the deduplication window has ended"
        );
        let other_cell = target(1, 2);
        assert_eq!(
            repeat(Idempotency::WithKey(DeduplicationScope::Zone), 200.0, outcome, &other_cell),
            Ok(())
        );
        assert_eq!(
            repeat(Idempotency::WithKey(DeduplicationScope::Cell), 200.0, outcome, &other_cell),
            forbidden
        );
        let other_zone = target(2, 1);
        assert_eq!(
            repeat(Idempotency::WithKey(DeduplicationScope::Zone), 200.0, outcome, &other_zone),
            forbidden
        );
    }
}

/// A client may repeat a rejected request at another node at any time, so a request that may have run must
/// not be rejected unless a second execution is harmless everywhere.
#[test]
fn a_request_is_rejected_only_if_a_retry_does_no_harm() {
    let reject = |idempotency, outcome| guard(idempotency).may_reject(&facts(&[attempt(outcome)]));
    for idempotency in [
        Idempotency::NotIdempotent,
        Idempotency::WithKey(DeduplicationScope::Zone),
        Idempotency::WithKey(DeduplicationScope::Cell),
    ] {
        assert_eq!(reject(idempotency, Some(AttemptOutcome::Rejected)), Ok(()));
        assert_eq!(
            reject(idempotency, Some(AttemptOutcome::TimedOut)),
            Err(Violation::RejectionAfterExecution)
        );
    }
    for idempotency in [Idempotency::Idempotent, Idempotency::WithKey(DeduplicationScope::All)] {
        assert_eq!(reject(idempotency, Some(AttemptOutcome::TimedOut)), Ok(()));
    }
    let unknown_class = RequestFacts { class: 9, ..facts(&[]) };
    assert_eq!(guard(Idempotency::Idempotent).may_reject(&unknown_class), Ok(()));
}
