//! Tests of how long a daemon that does not reply gets no requests.

use std::net::SocketAddr;

use dispatch::clock::Millis;
use pool::responsiveness::Responsiveness;

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 1).into()
}

/// Replays a cut of 6.5 s: a request is sent whenever that is allowed, and fails after 450 ms of
/// silence.
#[test]
fn a_cut_off_daemon_swallows_few_requests() {
    let mut responsiveness = Responsiveness::default();
    let (mut lost, mut now_ms) = (0, 1_000);
    while now_ms < 7_500 {
        if responsiveness.is_responsive(addr(1), Millis(now_ms)) {
            now_ms += 450;
            responsiveness.record_failure(addr(1), Millis(now_ms));
            lost += 1;
        }
        now_ms += 10;
    }
    assert_eq!(lost, 4, "with a constant pause of 400 ms it is 8");
    assert!(responsiveness.is_responsive(addr(2), Millis(now_ms)));
}

#[test]
fn requests_that_fail_together_count_once_and_a_reply_ends_the_pause() {
    let mut responsiveness = Responsiveness::default();
    for _ in 0..5 {
        responsiveness.record_failure(addr(1), Millis(1_000));
    }
    assert!(!responsiveness.is_responsive(addr(1), Millis(1_399)));
    assert!(responsiveness.is_responsive(addr(1), Millis(1_400)));
    responsiveness.record_failure(addr(1), Millis(1_500));
    assert!(!responsiveness.is_responsive(addr(1), Millis(2_299)));
    responsiveness.record_reply(addr(1));
    assert!(responsiveness.is_responsive(addr(1), Millis(1_501)));
    responsiveness.record_failure(addr(1), Millis(1_600));
    assert!(responsiveness.is_responsive(addr(1), Millis(2_000)), "the pause is short again");
}
