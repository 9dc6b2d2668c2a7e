//! Tests the order in which cells are asked to run a job.

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::job::{Outcome, Reason};
use pool::queue::Backlog;
use pool::spill::{CellLoads, CellSearch};

fn cell(zone: &str, partition: u32) -> Cell {
    Cell { zone: Rc::from(zone), partition }
}

fn refused(reason: Reason) -> Outcome {
    Outcome::NotRun { reason, retry_after_ms: 200 }
}

fn backlog(free: u64, queued_work: u64) -> Backlog {
    Backlog { capacity_millicores: 640_000, free_millicores: free, queued_work }
}

/// Runs a search in which every cell refuses with `reason`, and returns the cells asked.
fn asked(
    loads: &mut CellLoads,
    same_zone: &[Cell],
    other_zones: &[Cell],
    reason: Reason,
) -> Vec<(Cell, bool)> {
    let mut search = CellSearch::default();
    let mut asked = Vec::new();
    while let Some((cell, may_wait)) =
        search.next(loads, same_zone, || other_zones.to_vec(), Millis(100))
    {
        loads.record(&cell, &refused(reason), backlog(0, 0), Millis(100));
        asked.push((cell, may_wait));
    }
    asked
}

#[test]
fn a_job_asks_its_own_zone_then_another_and_then_is_queued() {
    let (same_zone, other_zones) = ([cell("a", 0)], [cell("b", 0), cell("c", 0)]);
    let mut loads = CellLoads::default();
    loads.record(&other_zones[1], &Outcome::Completed, backlog(54_000, 0), Millis(50));
    let asked = asked(&mut loads, &same_zone, &other_zones, Reason::Busy);
    let expected = [(cell("a", 0), false), (cell("c", 0), false), (cell("a", 0), true)];
    assert_eq!(asked[..3], expected);
    assert_eq!(asked.len(), 4, "two owners without queueing and two with it");
}

#[test]
fn a_zone_is_not_asked_within_the_refusal_backoff() {
    let (same_zone, other_zones) = ([cell("a", 0)], [cell("b", 0)]);
    // Reason and time of the refusal by the other zone, and whether a job that may not wait asks it
    // at 100 ms.
    let cases = [
        (Reason::Busy, 70, false),
        (Reason::Busy, 50, true),
        (Reason::Overload, 70, false),
        (Reason::Overload, 50, true),
        (Reason::RouteConfined, 70, true),
    ];
    for (reason, at_ms, is_asked) in cases {
        let mut loads = CellLoads::default();
        loads.record(&other_zones[0], &refused(reason), backlog(0, 0), Millis(at_ms));
        let mut search = CellSearch::default();
        let first = search.next(&loads, &same_zone, || other_zones.to_vec(), Millis(100));
        assert_eq!(first, Some((cell("a", 0), false)));
        let second = search.next(&loads, &same_zone, || other_zones.to_vec(), Millis(100));
        assert_eq!(second == Some((cell("b", 0), false)), is_asked, "{reason:?} at {at_ms}");
    }
}

#[test]
fn cells_are_ordered_by_waiting_work_and_then_free_cores() {
    let same_zone = [cell("a", 0), cell("a", 9), cell("a", 18)];
    let mut loads = CellLoads::default();
    loads.record(&same_zone[0], &Outcome::Completed, backlog(90_000, 5), Millis(50));
    loads.record(&same_zone[1], &Outcome::Completed, backlog(30_000, 0), Millis(50));
    loads.record(&same_zone[2], &Outcome::Completed, backlog(60_000, 0), Millis(50));
    let asked = asked(&mut loads, &same_zone, &[], Reason::Busy);
    assert_eq!(asked[0], (cell("a", 18), false));
    assert_eq!(asked[1], (cell("a", 9), false));
}

#[test]
fn a_search_without_owned_cells_asks_none() {
    assert!(asked(&mut CellLoads::default(), &[], &[], Reason::Busy).is_empty());
}

/// During rebalances many cells of a zone have no owner for a moment, while others have free
/// workers.
#[test]
fn cells_without_an_owner_are_passed_over_until_an_owner_is_found() {
    let same_zone: Vec<Cell> = (0..6).map(|partition| cell("a", partition)).collect();
    let mut loads = CellLoads::default();
    let mut search = CellSearch::default();
    let mut asked = Vec::new();
    while let Some((cell, _)) = search.next(&loads, &same_zone, Vec::new, Millis(100)) {
        asked.push(cell.partition);
        if cell.partition < 4 {
            loads.record_unowned(&cell, Millis(100));
        } else {
            loads.record(&cell, &refused(Reason::Busy), backlog(0, 0), Millis(100));
        }
    }
    assert_eq!(asked, [0, 1, 2, 3, 4, 5, 4, 5], "two owners are asked in each phase");
    let mut search = CellSearch::default();
    let next = search.next(&loads, &same_zone, Vec::new, Millis(151));
    assert!(next.is_some_and(|(cell, _)| cell.partition < 4), "the back-off has not ended");
}
