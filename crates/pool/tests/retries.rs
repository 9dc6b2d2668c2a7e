//! Tests the retry delays of refused callers on sequences of refusals.

use dispatch::clock::Millis;
use pool::retries::RetrySchedule;

/// Guards against a burst of refused callers that come back in the same second and are refused again.
#[test]
fn retries_beyond_what_is_served_in_a_second_come_later() {
    let mut schedule = RetrySchedule::default();
    schedule.record_served(1_000, Millis(10_400));
    let mut delays = [0; 6];
    for _ in 0..20 {
        delays[schedule.plan(100, 0.0, 200, Millis(11_000)) as usize / 1_000] += 1;
    }
    assert_eq!(delays, [0, 4, 4, 4, 4, 4], "a quarter of 1,000 each second, then evenly");
}

#[test]
fn callers_that_have_waited_come_before_those_refused_at_once() {
    let mut schedule = RetrySchedule::default();
    schedule.record_served(1_000, Millis(10_400));
    for _ in 0..2 {
        assert_eq!(schedule.plan(100, 0.0, 200, Millis(11_000)), 1_000);
    }
    assert_eq!(schedule.plan(100, 0.0, 200, Millis(11_000)), 2_000);
    assert_eq!(schedule.plan(100, 1.0, 200, Millis(11_000)), 1_000);
    assert_eq!(schedule.plan(100, 1.0, 2_500, Millis(11_000)), 3_000, "the queue takes that long");
}

/// Guards against delays that stay long after an overload, and against a clock that jumps.
#[test]
fn the_plan_moves_with_time() {
    let mut schedule = RetrySchedule::default();
    schedule.record_served(1_000, Millis(10_400));
    for _ in 0..20 {
        schedule.plan(100, 0.0, 200, Millis(10_500));
    }
    schedule.record_served(1_000, Millis(16_000));
    assert_eq!(schedule.plan(100, 0.0, 200, Millis(16_100)), 1_000);
    assert_eq!(schedule.plan(u64::MAX, 2.0, u64::MAX, Millis(u64::MAX)), 5_000);
    assert_eq!(schedule.plan(100, f64::NAN, 0, Millis(0)), 1_000);
}
