//! Moments of a wall clock that is stepped, found on the monotonic clock.
use super::*;

const HOUR: f64 = 3_600_000.0;

/// Readings each half second from `from` to `until`, with the wall clock ahead by `offset`.
fn run(history: &mut WallHistory, from: f64, until: f64, offset: f64) {
    let mut now = from;
    while now <= until {
        history.record(now, now + offset);
        now += 500.0;
    }
}

#[test]
fn without_a_step_all_past_moments_are_converted() {
    let mut history = WallHistory::default();
    run(&mut history, 1_000.0, 9_000.0, HOUR);
    assert_eq!(history.find(HOUR + 4_250.0), Some(4_250.0));
    assert_eq!(history.find(0.0), Some(-HOUR), "long before the first reading");
    assert_eq!(history.find(HOUR + 9_000.5), None, "not yet");
}

#[test]
fn a_moment_is_converted_by_the_wall_clock_before_and_after_a_step() {
    for step in [HOUR, 3_000.0, -3_000.0, -HOUR] {
        let mut history = WallHistory::default();
        run(&mut history, 0.0, 10_000.0, 0.0);
        run(&mut history, 10_500.0, 20_000.0, step);
        assert_eq!(history.find(step + 15_000.0), Some(15_000.0), "after a step by {step}");
        // Shown twice after a step back: the later one counts, which is the colder.
        let again = 5_000.0 - step;
        let twice = step < 0.0 && (10_000.0..=20_000.0).contains(&again);
        let expected = if twice { again } else { 5_000.0 };
        assert_eq!(history.find(5_000.0), Some(expected), "before a step by {step}");
    }
}

#[test]
fn a_moment_skipped_by_a_step_forward_was_never_shown() {
    let mut history = WallHistory::default();
    run(&mut history, 0.0, 10_000.0, 0.0);
    run(&mut history, 10_500.0, 20_000.0, HOUR);
    assert_eq!(history.find(HOUR / 2.0), None);
    // The step came between two readings: either clock may have shown this.
    assert_eq!(history.find(HOUR + 10_250.0), Some(10_250.0));
}

#[test]
fn drift_is_no_step_and_the_number_of_steps_is_bounded() {
    let mut history = WallHistory::default();
    for n in 0..1_000 {
        let now = f64::from(n) * 500.0;
        history.record(now, now + f64::from(n) * 0.05);
    }
    assert_eq!(history.periods.len(), 1);
    for n in 0..100 {
        let now = 1e6 + f64::from(n) * 500.0;
        history.record(now, now + f64::from(n % 2) * HOUR);
    }
    assert_eq!(history.periods.len(), MAX_PERIODS);
}
