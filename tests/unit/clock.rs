//! Tests the conversion of wall clock times to the monotonic clock when the wall clock is stepped.
use super::*;

const HOUR_MS: f64 = 3_600_000.0;

/// Records a reading of both clocks every 500 ms from `from_ms` to `until_ms` on the monotonic clock. The
/// wall clock is ahead by `offset_ms`.
fn record_readings(history: &mut WallClockHistory, from_ms: f64, until_ms: f64, offset_ms: f64) {
    let mut now_ms = from_ms;
    while now_ms <= until_ms {
        history.record(now_ms, now_ms + offset_ms);
        now_ms += 500.0;
    }
}

#[test]
fn without_a_step_all_past_times_are_converted() {
    let mut history = WallClockHistory::default();
    record_readings(&mut history, 1_000.0, 9_000.0, HOUR_MS);
    assert_eq!(history.find(HOUR_MS + 4_250.0), Some(4_250.0));
    assert_eq!(history.find(0.0), Some(-HOUR_MS), "long before the first reading");
    assert_eq!(history.find(HOUR_MS + 9_000.5), None, "after the last reading");
}

/// An endpoint's start is stated by the wall clock. If a step of that clock distorted the time since the
/// start, the endpoint's slow start would end too early or last too long.
#[test]
fn times_before_and_after_a_step_are_converted_with_the_offset_of_their_period() {
    for step_ms in [HOUR_MS, 3_000.0, -3_000.0, -HOUR_MS] {
        let mut history = WallClockHistory::default();
        record_readings(&mut history, 0.0, 10_000.0, 0.0);
        record_readings(&mut history, 10_500.0, 20_000.0, step_ms);
        assert_eq!(history.find(step_ms + 15_000.0), Some(15_000.0), "after a step by {step_ms}");
        // After a step back, the wall clock may show a time twice. The later occurrence counts, which gives
        // the endpoint the longer slow start.
        let second_occurrence = 5_000.0 - step_ms;
        let is_shown_twice = step_ms < 0.0 && (10_000.0..=20_000.0).contains(&second_occurrence);
        let expected = if is_shown_twice { second_occurrence } else { 5_000.0 };
        assert_eq!(history.find(5_000.0), Some(expected), "before a step by {step_ms}");
    }
}

#[test]
fn a_time_skipped_by_a_step_forward_was_never_shown() {
    let mut history = WallClockHistory::default();
    record_readings(&mut history, 0.0, 10_000.0, 0.0);
    record_readings(&mut history, 10_500.0, 20_000.0, HOUR_MS);
    assert_eq!(history.find(HOUR_MS / 2.0), None);
    // The step came at an unknown time between the readings at 10 000 and 10 500 ms, so the wall clock may
    // have shown this time.
    assert_eq!(history.find(HOUR_MS + 10_250.0), Some(10_250.0));
}

/// Clocks drift apart by a little all the time. Without a tolerance, each reading would begin a period, and
/// without a bound, a clock that is stepped again and again would fill the memory.
#[test]
fn drift_is_not_a_step_and_the_number_of_periods_is_bounded() {
    let mut history = WallClockHistory::default();
    for n in 0..1_000 {
        let now_ms = f64::from(n) * 500.0;
        history.record(now_ms, now_ms + f64::from(n) * 0.05);
    }
    assert_eq!(history.periods.len(), 1);
    for n in 0..100 {
        let now_ms = 1e6 + f64::from(n) * 500.0;
        history.record(now_ms, now_ms + f64::from(n % 2) * HOUR_MS);
    }
    assert_eq!(history.periods.len(), MAX_PERIODS);
}
