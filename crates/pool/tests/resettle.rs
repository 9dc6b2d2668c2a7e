//! Tests of who keeps a cell after memberships have lapsed.

use dispatch::clock::Millis;
use pool::resettle::{KEEP_MS, ReleaseDecision, Resettlement};
use pool::tokens::first_token;

const TTL_MS: u64 = 1_200;

/// Renews every 300 ms from 0 to 900 ms.
fn renewed() -> Resettlement {
    let mut resettlement = Resettlement::new(TTL_MS);
    for at_ms in [0, 300, 600, 900] {
        let kept = resettlement.record_renewal(Millis(at_ms), Millis(at_ms + 4));
        assert_eq!(kept, None, "a renewal in time changes nothing");
    }
    resettlement
}

#[test]
fn cells_are_kept_only_after_a_lapse_in_which_the_process_kept_running() {
    // Time of the next renewal, time of a stall, and whether the cells are kept.
    let cases = [
        (2_000, None, false),
        (2_101, None, true),
        (6_500, None, true),
        (6_500, Some(5_000), false),
        (6_500, Some(800), true),
    ];
    for (renewal_ms, stall_ms, is_kept) in cases {
        let mut resettlement = renewed();
        if let Some(stall_ms) = stall_ms {
            resettlement.record_stall(Millis(stall_ms));
        }
        let now = Millis(renewal_ms);
        let until = resettlement.record_renewal(now, now);
        assert_eq!(until.is_some(), is_kept, "renewal at {renewal_ms}, stall at {stall_ms:?}");
        assert_eq!(resettlement.is_settling(now), is_kept);
        assert!(!resettlement.is_settling(now.plus(KEEP_MS)));
        assert!(until.is_none_or(|until| until > now.plus(KEEP_MS)));
    }
}

/// Replays a process that is paused between the reply to its renewal and the use of the assignment,
/// or while it waits for the last owner of a cell.
#[test]
fn an_assignment_is_not_used_after_the_membership_has_run_out() {
    let resettlement = renewed();
    // The last renewal was sent at 900 ms; the time counts from there, not from the reply.
    for (now_ms, is_member) in [(905, true), (2_099, true), (2_100, false), (9_000, false)] {
        assert_eq!(resettlement.is_member(Millis(now_ms)), is_member, "at {now_ms}");
    }
    assert!(!Resettlement::new(TTL_MS).is_member(Millis(0)), "nothing was renewed yet");
}

#[test]
fn the_first_renewal_keeps_nothing() {
    let mut resettlement = Resettlement::new(TTL_MS);
    assert_eq!(resettlement.record_renewal(Millis(9_000), Millis(9_004)), None);
    assert!(!resettlement.is_settling(Millis(9_004)));
}

#[test]
fn a_cell_is_released_only_to_a_later_assignment_and_not_while_settling() {
    let token = first_token(10);
    let request = ReleaseDecision { generation: 20, token, confirmed: None, is_settling: false };
    let last_token = first_token(11) - 1;
    let cases = [
        (request, true),
        (ReleaseDecision { is_settling: true, ..request }, false),
        (ReleaseDecision { generation: 10, ..request }, false),
        (ReleaseDecision { generation: 9, ..request }, false),
        (ReleaseDecision { generation: 10, token: last_token, ..request }, false),
        (ReleaseDecision { generation: 11, token: last_token, ..request }, true),
        (ReleaseDecision { confirmed: Some(15), ..request }, true),
        (ReleaseDecision { confirmed: Some(20), ..request }, false),
        (ReleaseDecision { confirmed: Some(25), ..request }, false),
    ];
    for (request, is_granted) in cases {
        assert_eq!(request.is_granted(), is_granted, "{request:?}");
    }
}
