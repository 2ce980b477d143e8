//! What the guard of sends and refusals allows.
use super::*;

fn class(effect: Effect) -> Class {
    Class {
        aim_ms: 500.0,
        deadline_ms: 1000.0,
        worth: 1.0,
        late_worth: 0.0,
        effect,
        key_ttl_ms: 2000.0,
        aim_stretch: 0.0,
    }
}

fn guard(effect: Effect) -> Guard {
    Guard { classes: vec![class(effect)], max_attempts: 3, second_copies: true }
}

fn attempt(outcome: Option<Outcome>) -> Attempted {
    Attempted { zone: 1, cell: 1, sent_ms: 100.0, outcome }
}

fn facts(attempts: &[Attempted]) -> Facts<'_> {
    Facts { class: 0, waits: true, deadline_ms: 5000.0, attempts }
}

const HERE: Place = Place { in_service: true, zone: 1, cell: 1 };

#[test]
fn nothing_begins_for_a_request_that_is_over_or_at_a_server_that_is_withdrawn() {
    let guard = guard(Effect::Safe);
    assert_eq!(guard.may_send(200.0, &facts(&[]), &HERE), Ok(()));
    let over = Facts { waits: false, ..facts(&[]) };
    assert_eq!(guard.may_send(200.0, &over, &HERE), Err(Violation::SendAfterEnd));
    let gone = Place { in_service: false, ..HERE };
    assert_eq!(guard.may_send(200.0, &facts(&[]), &gone), Err(Violation::SendToWithdrawn));
    assert_eq!(guard.may_send(5002.0, &facts(&[]), &HERE), Err(Violation::SendPastDeadline));
}

#[test]
fn attempts_are_bounded_and_stand_alone_where_copies_are_not_allowed() {
    let ended = [attempt(Some(Outcome::Full)); 3];
    let full = guard(Effect::Safe);
    assert_eq!(full.may_send(200.0, &facts(&ended[..2]), &HERE), Ok(()));
    assert_eq!(full.may_send(200.0, &facts(&ended), &HERE), Err(Violation::SendBeyondLimit));
    let alone = Guard { second_copies: false, ..full.clone() };
    assert_eq!(full.may_send(200.0, &facts(&[attempt(None)]), &HERE), Ok(()));
    assert_eq!(alone.may_send(200.0, &facts(&[attempt(None)]), &HERE), Err(Violation::SendBeyondLimit));
}

#[test]
fn a_repeat_goes_as_far_as_its_class_allows() {
    let never = [Outcome::NotConnected, Outcome::Skipped, Outcome::Full];
    let maybe = [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled, Outcome::Error];
    let again = |effect, now_ms: f64, outcome, place: &Place| {
        guard(effect).may_send(now_ms, &facts(&[attempt(outcome)]), place)
    };
    let refused = Err(Violation::RepeatAgainstEffect);
    for effect in [Effect::Safe, Effect::Unsafe, Effect::Keyed(Group::Cell)] {
        for outcome in never {
            let elsewhere = Place { zone: 2, cell: 2, ..HERE };
            assert_eq!(again(effect, 4000.0, Some(outcome), &elsewhere), Ok(()));
        }
    }
    for outcome in maybe.map(Some).into_iter().chain([None]) {
        assert_eq!(again(Effect::Safe, 4000.0, outcome, &HERE), Ok(()));
        assert_eq!(again(Effect::Unsafe, 200.0, outcome, &HERE), refused);
        assert_eq!(again(Effect::Keyed(Group::All), 2000.0, outcome, &HERE), Ok(()));
        assert_eq!(again(Effect::Keyed(Group::All), 2102.0, outcome, &HERE), refused, "forgotten by then");
        let other_cell = Place { cell: 2, ..HERE };
        assert_eq!(again(Effect::Keyed(Group::Zone), 200.0, outcome, &other_cell), Ok(()));
        assert_eq!(again(Effect::Keyed(Group::Cell), 200.0, outcome, &other_cell), refused);
        let other_zone = Place { zone: 2, ..HERE };
        assert_eq!(again(Effect::Keyed(Group::Zone), 200.0, outcome, &other_zone), refused);
    }
}

#[test]
fn a_refusal_promises_no_harm() {
    let refuse = |effect, outcome| guard(effect).may_refuse(&facts(&[attempt(outcome)]));
    for effect in [Effect::Unsafe, Effect::Keyed(Group::Zone), Effect::Keyed(Group::Cell)] {
        assert_eq!(refuse(effect, Some(Outcome::Full)), Ok(()));
        assert_eq!(refuse(effect, Some(Outcome::TimedOut)), Err(Violation::RefusalAfterEffect));
    }
    for effect in [Effect::Safe, Effect::Keyed(Group::All)] {
        assert_eq!(refuse(effect, Some(Outcome::TimedOut)), Ok(()));
    }
    let unknown = Facts { class: 9, ..facts(&[]) };
    assert_eq!(guard(Effect::Safe).may_refuse(&unknown), Ok(()));
}
