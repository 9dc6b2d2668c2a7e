//! Which cells are asked to run a job.

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::job::{Outcome, Reason};
use pool::queue::Backlog;
use pool::spill::{Loads, Search};

fn cell(zone: &str, partition: u32) -> Cell {
    Cell { zone: Rc::from(zone), partition }
}

fn refused(reason: Reason) -> Outcome {
    Outcome::NotRun { reason, retry_after_ms: 200 }
}

fn backlog(free: u64, queued_work: u64) -> Backlog {
    Backlog { capacity_millicores: 640_000, free_millicores: free, queued_work }
}

/// Lets a search run to its end, where every cell refuses for a reason.
fn asked(loads: &mut Loads, own: &[Cell], others: &[Cell], reason: Reason) -> Vec<(Cell, bool)> {
    let mut search = Search::default();
    let mut asked = Vec::new();
    while let Some((cell, may_wait)) = search.next(loads, own, || others.to_vec(), Millis(100)) {
        loads.note(&cell, &refused(reason), backlog(0, 0), Millis(100));
        asked.push((cell, may_wait));
    }
    asked
}

#[test]
fn a_job_asks_its_own_zone_then_another_and_then_waits_at_home() {
    let (own, others) = ([cell("a", 0)], [cell("b", 0), cell("c", 0)]);
    let mut loads = Loads::default();
    loads.note(&others[1], &Outcome::Completed, backlog(54_000, 0), Millis(50));
    let asked = asked(&mut loads, &own, &others, Reason::Busy);
    let expected = [(cell("a", 0), false), (cell("c", 0), false), (cell("a", 0), true)];
    assert_eq!(asked[..3], expected);
    assert_eq!(asked.len(), 4, "two owners without waiting and two with it");
}

#[test]
fn a_zone_that_has_just_refused_is_left_alone_for_a_moment() {
    let (own, others) = ([cell("a", 0)], [cell("b", 0)]);
    // When the other zone refused and why; whether a job that may not wait asks it at 100 ms.
    let cases = [
        (Reason::Busy, 70, false),
        (Reason::Busy, 50, true),
        (Reason::Overload, 70, false),
        (Reason::Overload, 50, true),
    ];
    for (reason, at_ms, is_asked) in cases {
        let mut loads = Loads::default();
        loads.note(&others[0], &refused(reason), backlog(0, 0), Millis(at_ms));
        let mut search = Search::default();
        let first = search.next(&loads, &own, || others.to_vec(), Millis(100));
        assert_eq!(first, Some((cell("a", 0), false)));
        let second = search.next(&loads, &own, || others.to_vec(), Millis(100));
        assert_eq!(second == Some((cell("b", 0), false)), is_asked, "{reason:?} at {at_ms}");
    }
}

#[test]
fn the_cell_with_the_least_waiting_and_then_the_most_room_goes_first() {
    let own = [cell("a", 0), cell("a", 9), cell("a", 18)];
    let mut loads = Loads::default();
    loads.note(&own[0], &Outcome::Completed, backlog(90_000, 5), Millis(50));
    loads.note(&own[1], &Outcome::Completed, backlog(30_000, 0), Millis(50));
    loads.note(&own[2], &Outcome::Completed, backlog(60_000, 0), Millis(50));
    let asked = asked(&mut loads, &own, &[], Reason::Busy);
    assert_eq!(asked[0], (cell("a", 18), false));
    assert_eq!(asked[1], (cell("a", 9), false));
}

#[test]
fn no_cell_with_an_owner_leaves_nothing_to_ask() {
    assert!(asked(&mut Loads::default(), &[], &[], Reason::Busy).is_empty());
}
