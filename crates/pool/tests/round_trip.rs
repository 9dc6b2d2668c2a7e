//! Tests of the time-out of calls to workers, with the round trips of narrow and lossy links.

use pool::round_trip::{MAX_TIMEOUT_MS, MIN_TIMEOUT_MS, RoundTrip};

#[test]
fn lost_replies_among_fast_ones_leave_the_timeout_short() {
    let mut round_trip = RoundTrip::default();
    for number in 0..1_000_u64 {
        if number % 16 == 7 {
            round_trip.record_timeout();
            assert!(round_trip.timeout_ms() <= MIN_TIMEOUT_MS * 3 / 2);
        } else {
            round_trip.record_reply(2 + number % 5);
            assert_eq!(round_trip.timeout_ms(), MIN_TIMEOUT_MS);
        }
    }
}

#[test]
fn replies_of_a_filled_link_are_waited_for() {
    let mut round_trip = RoundTrip::default();
    // The starts of a wide job queue on the link: each reply comes 11 ms after the previous one.
    let mut lost = 0;
    for _ in 0..50 {
        for task in 1..=13 {
            let took_ms = 11 * task;
            if took_ms > round_trip.timeout_ms() {
                round_trip.record_timeout();
                lost += 1;
            } else {
                round_trip.record_reply(took_ms);
            }
        }
    }
    assert!(lost <= 4, "{lost} replies were taken for lost");
}

#[test]
fn a_link_that_turns_slow_at_once_is_recognised() {
    let mut round_trip = RoundTrip::default();
    round_trip.record_reply(3);
    let calls = (0..10).take_while(|_| {
        let is_lost = round_trip.timeout_ms() < 250;
        if is_lost {
            round_trip.record_timeout();
        }
        is_lost
    });
    assert!(calls.count() <= 3);
    round_trip.record_reply(250);
    assert!(round_trip.timeout_ms() >= 250, "one slow reply keeps the time-out long");
    for _ in 0..40 {
        round_trip.record_reply(3);
    }
    assert_eq!(round_trip.timeout_ms(), MIN_TIMEOUT_MS);
    for _ in 0..100 {
        round_trip.record_timeout();
    }
    assert!(round_trip.timeout_ms() <= MAX_TIMEOUT_MS);
}
