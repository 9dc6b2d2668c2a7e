//! Tests how the owner of a cell follows from rows of the store and announcements of daemons.

use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::owners::{Claim, Owners};
use pool::tokens::first_token;

fn cell(partition: u32) -> Cell {
    Cell { zone: Rc::from("a"), partition }
}

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 1).into()
}

const OWN: u8 = 1;

fn owners() -> Owners {
    Owners::new(addr(OWN))
}

/// A daemon that owns a cell because it holds the cell's partition.
fn holds(number: u8, token: u64) -> Claim {
    Claim { addr: addr(number), token, holder: None }
}

/// A daemon that the holder of a cell's partition chose as the cell's owner.
fn chosen(number: u8, token: u64, holder: u8) -> Claim {
    Claim { addr: addr(number), token, holder: Some(addr(holder)) }
}

/// If partitions are rebalanced twice between two renewals, the store lists a daemon that never
/// takes over the cell, while the previous owner keeps serving it.
#[test]
fn a_row_for_this_daemon_before_it_owns_the_cell_keeps_the_previous_owner() {
    let mut owners = owners();
    assert!(owners.record(&cell(0), holds(2, first_token(7)), Millis(1_000)));
    owners.apply_store_rows([(cell(0), addr(OWN))].into_iter(), |_| false, Millis(1_200));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)));
    assert!(
        !owners.are_confirmed_since(&[cell(0)], Millis(1_200)),
        "the owner must not count as confirmed, so that the store is read again"
    );
    owners.apply_store_rows([(cell(0), addr(OWN))].into_iter(), |_| true, Millis(1_300));
    assert_eq!(owners.remote_owner(&cell(0)), None);
    assert!(owners.are_confirmed_since(&[cell(0)], Millis(1_300)));
}

/// The store is read once a second, and lists no owner while partitions are rebalanced three times
/// in succession.
#[test]
fn an_owner_is_kept_for_the_grace_period_after_the_store_first_lacks_it() {
    let mut owners = owners();
    owners.apply_store_rows([(cell(0), addr(2))].into_iter(), |_| false, Millis(1_000));
    for (at_ms, known) in [(2_000, true), (2_600, true), (3_400, true), (3_600, false)] {
        owners.apply_store_rows(std::iter::empty(), |_| false, Millis(at_ms));
        assert_eq!(owners.remote_owner(&cell(0)).is_some(), known, "at {at_ms}");
    }
}

#[test]
fn the_higher_token_wins_and_a_row_of_the_store_overrides_both() {
    let mut owners = owners();
    assert!(owners.record(&cell(0), holds(2, first_token(7)), Millis(1_000)));
    assert!(!owners.record(&cell(0), holds(3, first_token(6)), Millis(1_001)));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)));
    assert!(owners.record(&cell(0), holds(3, first_token(8)), Millis(1_002)));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(3)));
    owners.apply_store_rows([(cell(0), addr(4))].into_iter(), |_| false, Millis(1_003));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(4)));
}

#[test]
fn an_announced_token_is_kept_while_the_store_lists_the_same_daemon() {
    let mut owners = owners();
    owners.record(&cell(0), holds(2, first_token(7)), Millis(1_000));
    owners.apply_store_rows([(cell(0), addr(2))].into_iter(), |_| false, Millis(1_100));
    assert!(!owners.record(&cell(0), holds(3, first_token(6)), Millis(1_200)));
    owners.remove(&cell(0));
    assert!(owners.is_empty());
}

/// While memberships lapse and are renewed, the store lists daemons that do not own their cells
/// yet, and the previous owners keep serving them.
#[test]
fn the_announced_owner_is_asked_again_when_the_listed_one_denies_the_cell() {
    let mut owners = owners();
    owners.record(&cell(0), holds(2, first_token(7)), Millis(1_000));
    for at_ms in [1_100, 1_400] {
        owners.apply_store_rows([(cell(0), addr(3))].into_iter(), |_| false, Millis(at_ms));
        assert_eq!(owners.remote_owner(&cell(0)), Some(addr(3)), "at {at_ms}");
        owners.reject(&cell(0), addr(2));
        assert_eq!(owners.remote_owner(&cell(0)), Some(addr(3)), "another daemon was asked");
        owners.reject(&cell(0), addr(3));
        assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)), "at {at_ms}");
        owners.reject(&cell(0), addr(2));
        assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)), "no other owner is known");
    }
    assert!(owners.record(&cell(0), holds(3, first_token(8)), Millis(1_500)));
    owners.reject(&cell(0), addr(3));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(3)));
}

/// Guards against jobs that are sent to the holder of a cell's partition after each read of the
/// store, although the holder has chosen another daemon as the owner.
#[test]
fn an_owner_that_the_holder_chose_stays_while_the_store_lists_the_holder() {
    let mut owners = owners();
    owners.record(&cell(0), chosen(2, first_token(7) + 1, 3), Millis(1_000));
    for holder in [3, OWN] {
        for at_ms in [1_100, 5_100, 9_100] {
            let rows = [(cell(0), addr(holder))].into_iter();
            owners.apply_store_rows(rows, |_| false, Millis(at_ms));
            assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)), "at {at_ms}");
            assert!(owners.are_confirmed_since(&[cell(0)], Millis(at_ms)));
        }
    }
    owners.apply_store_rows([(cell(0), addr(3))].into_iter(), |_| false, Millis(9_200));
    assert_eq!(owners.listed_holder(&cell(0)), Some(addr(3)), "asked if the owner is unresponsive");
    owners.reject(&cell(0), addr(2));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(3)), "the holder has taken it back");
    owners.reject(&cell(0), addr(3));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)), "the holder denies it as well");
    assert!(owners.record(&cell(0), holds(4, first_token(8)), Millis(9_300)));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(4)), "a later owner");
}

/// Guards against a holder that forgets the owner which it chose under the first token of a
/// generation, and then refuses every job of the cell: its own row in the store names no other
/// daemon, and renewals of the delegation change nothing in the table.
#[test]
fn an_owner_chosen_under_the_first_token_of_a_generation_is_not_forgotten() {
    for holder in [OWN, 3] {
        let mut owners = owners();
        assert!(owners.record(&cell(0), chosen(2, first_token(7), holder), Millis(1_000)));
        for at_ms in [1_100, 2_700, 5_100, 9_100] {
            let rows = [(cell(0), addr(holder))].into_iter();
            owners.apply_store_rows(rows, |_| false, Millis(at_ms));
            assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)), "at {at_ms}");
            assert!(owners.are_confirmed_since(&[cell(0)], Millis(at_ms)));
        }
    }
}

/// Guards against a daemon that takes a previous holder for a chosen owner because it took a cell
/// back under a later step of its generation.
#[test]
fn a_holder_under_a_later_step_of_its_generation_is_not_a_chosen_owner() {
    let mut owners = owners();
    owners.record(&cell(0), holds(2, first_token(7) + 3), Millis(1_000));
    owners.apply_store_rows([(cell(0), addr(3))].into_iter(), |_| false, Millis(1_100));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(3)));
}

/// Guards against a holder that knows no owner after the owner that it chose denied a job, for
/// example one that was sent before the cell moved.
#[test]
fn a_holder_keeps_the_owner_that_it_chose_when_that_one_denies_the_cell() {
    let mut owners = owners();
    owners.record(&cell(0), chosen(2, first_token(7), OWN), Millis(1_000));
    owners.apply_store_rows([(cell(0), addr(OWN))].into_iter(), |_| false, Millis(1_100));
    owners.reject(&cell(0), addr(2));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)));
}

/// Guards against an owner that is no longer known as chosen because a daemon repeats it without
/// its holder.
#[test]
fn an_announcement_without_the_holder_does_not_hide_that_the_owner_was_chosen() {
    let mut owners = owners();
    owners.record(&cell(0), chosen(2, first_token(7), 3), Millis(1_000));
    owners.record(&cell(0), holds(2, first_token(7)), Millis(1_050));
    owners.apply_store_rows([(cell(0), addr(3))].into_iter(), |_| false, Millis(1_100));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)));
}

/// Guards against an owner that counts as chosen although the store has assigned the partition to
/// it since: its partition may move on, and the cell with it.
#[test]
fn a_chosen_owner_that_the_store_lists_is_a_holder() {
    let mut owners = owners();
    owners.record(&cell(0), chosen(2, first_token(7), 3), Millis(1_000));
    owners.apply_store_rows([(cell(0), addr(2))].into_iter(), |_| false, Millis(1_100));
    owners.apply_store_rows([(cell(0), addr(4))].into_iter(), |_| false, Millis(1_200));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(4)));
}

/// Guards against a daemon that sends all jobs of a cell to its previous owner for good: a holder
/// that has restarted does not know the tokens that it issued, and may delegate under a lower one.
#[test]
fn an_owner_under_a_lower_token_replaces_one_that_denies_the_cell() {
    let mut owners = owners();
    owners.record(&cell(0), holds(3, first_token(7) + 4), Millis(1_000));
    assert!(!owners.record(&cell(0), chosen(2, first_token(7) + 2, 3), Millis(1_100)));
    owners.reject(&cell(0), addr(3));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(3)), "no other owner is known");
    assert!(owners.record(&cell(0), chosen(2, first_token(7) + 2, 3), Millis(1_200)));
    assert_eq!(owners.remote_owner(&cell(0)), Some(addr(2)));
}
