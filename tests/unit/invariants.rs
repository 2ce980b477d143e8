//! What the guard of attempts and rejections allows.
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

fn facts(attempts: &[AttemptRecord]) -> RequestFacts<'_> {
    RequestFacts { class: 0, awaits_answer: true, deadline_ms: 5000.0, attempts }
}

const HERE: AttemptTarget = at(1, 1);

const fn at(zone: u16, cell: u32) -> AttemptTarget {
    AttemptTarget { in_service: true, location: Location { zone, cell } }
}

#[test]
fn no_attempt_begins_for_a_finished_request_or_at_a_withdrawn_endpoint() {
    let guard = guard(Idempotency::Idempotent);
    assert_eq!(guard.may_send(200.0, &facts(&[]), &HERE), Ok(()));
    let over = RequestFacts { awaits_answer: false, ..facts(&[]) };
    assert_eq!(guard.may_send(200.0, &over, &HERE), Err(Violation::SendAfterEnd));
    let gone = AttemptTarget { in_service: false, ..HERE };
    assert_eq!(guard.may_send(200.0, &facts(&[]), &gone), Err(Violation::SendToWithdrawn));
    assert_eq!(guard.may_send(5002.0, &facts(&[]), &HERE), Err(Violation::SendPastDeadline));
}

#[test]
fn attempts_are_bounded_and_alone_without_hedging() {
    let ended = [attempt(Some(AttemptOutcome::Rejected)); 3];
    let full = guard(Idempotency::Idempotent);
    assert_eq!(full.may_send(200.0, &facts(&ended[..2]), &HERE), Ok(()));
    assert_eq!(full.may_send(200.0, &facts(&ended), &HERE), Err(Violation::SendBeyondLimit));
    let alone = InvariantGuard { hedging_allowed: false, ..full.clone() };
    assert_eq!(full.may_send(200.0, &facts(&[attempt(None)]), &HERE), Ok(()));
    assert_eq!(alone.may_send(200.0, &facts(&[attempt(None)]), &HERE), Err(Violation::SendBeyondLimit));
}

#[test]
fn a_repeat_goes_as_far_as_its_class_allows() {
    let never = [AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent, AttemptOutcome::Rejected];
    let maybe = [
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::ErrorResponse,
    ];
    let again = |idempotency, now_ms: f64, outcome, place: &AttemptTarget| {
        guard(idempotency).may_send(now_ms, &facts(&[attempt(outcome)]), place)
    };
    let refused = Err(Violation::RepeatAgainstIdempotency);
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::WithKey(DeduplicationScope::Cell),
    ] {
        for outcome in never {
            let elsewhere = at(2, 2);
            assert_eq!(again(idempotency, 4000.0, Some(outcome), &elsewhere), Ok(()));
        }
    }
    for outcome in maybe.map(Some).into_iter().chain([None]) {
        assert_eq!(again(Idempotency::Idempotent, 4000.0, outcome, &HERE), Ok(()));
        assert_eq!(again(Idempotency::NotIdempotent, 200.0, outcome, &HERE), refused);
        assert_eq!(again(Idempotency::WithKey(DeduplicationScope::All), 2000.0, outcome, &HERE), Ok(()));
        assert_eq!(
            again(Idempotency::WithKey(DeduplicationScope::All), 2102.0, outcome, &HERE),
            refused,
            "forgotten by then"
        );
        let other_cell = at(1, 2);
        assert_eq!(
            again(Idempotency::WithKey(DeduplicationScope::Zone), 200.0, outcome, &other_cell),
            Ok(())
        );
        assert_eq!(
            again(Idempotency::WithKey(DeduplicationScope::Cell), 200.0, outcome, &other_cell),
            refused
        );
        let other_zone = at(2, 1);
        assert_eq!(
            again(Idempotency::WithKey(DeduplicationScope::Zone), 200.0, outcome, &other_zone),
            refused
        );
    }
}

#[test]
fn a_rejection_promises_that_a_retry_does_no_harm() {
    let refuse = |idempotency, outcome| guard(idempotency).may_reject(&facts(&[attempt(outcome)]));
    for idempotency in [
        Idempotency::NotIdempotent,
        Idempotency::WithKey(DeduplicationScope::Zone),
        Idempotency::WithKey(DeduplicationScope::Cell),
    ] {
        assert_eq!(refuse(idempotency, Some(AttemptOutcome::Rejected)), Ok(()));
        assert_eq!(
            refuse(idempotency, Some(AttemptOutcome::TimedOut)),
            Err(Violation::RejectionAfterExecution)
        );
    }
    for idempotency in [Idempotency::Idempotent, Idempotency::WithKey(DeduplicationScope::All)] {
        assert_eq!(refuse(idempotency, Some(AttemptOutcome::TimedOut)), Ok(()));
    }
    let unknown = RequestFacts { class: 9, ..facts(&[]) };
    assert_eq!(guard(Idempotency::Idempotent).may_reject(&unknown), Ok(()));
}
