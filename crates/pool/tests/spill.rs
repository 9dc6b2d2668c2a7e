//! Tests the order in which cells are asked to run a job.

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::free_cores::FreeCores;
use pool::job::{Outcome, Reason};
use pool::load_table::{Demand, LoadTable};
use pool::queue::Backlog;
use pool::spill::{Basis, CellSearch};

fn cell(zone: &str, partition: u32) -> Cell {
    Cell { zone: Rc::from(zone), partition }
}

fn refused(reason: Reason) -> Outcome {
    Outcome::NotRun { reason, retry_after_ms: 200 }
}

fn backlog(free: u64, queued_work: u64) -> Backlog {
    Backlog { capacity_millicores: 640_000, free_millicores: free, queued_work, free: None }
}

/// A backlog with a summary of the free cores of workers of 16 cores.
fn with_free(free: &[u64]) -> Backlog {
    let workers = free.iter().map(|free| (16_000, *free));
    Backlog { free: Some(FreeCores::new(workers)), ..backlog(free.iter().sum(), 0) }
}

const DEMAND: Demand = Demand { tasks: 2, task_millicores: 8_000 };

fn new_search() -> CellSearch {
    CellSearch::new(DEMAND, Millis(10_000), 1)
}

/// Runs a search in which every cell refuses with `reason`, and returns the cells asked.
fn asked(
    loads: &mut LoadTable,
    same_zone: &[Cell],
    other_zones: &[Cell],
    reason: Reason,
) -> Vec<(Cell, bool)> {
    let mut search = new_search();
    let mut asked = Vec::new();
    while let Some(offer) = search.next(loads, same_zone, other_zones, Millis(100)) {
        loads.record(&offer.cell, DEMAND, &refused(reason), backlog(0, 0), Millis(100));
        asked.push((offer.cell, offer.may_wait));
    }
    asked
}

fn next(
    search: &mut CellSearch,
    loads: &LoadTable,
    same_zone: &[Cell],
    other_zones: &[Cell],
) -> Option<(Cell, bool)> {
    let offer = search.next(loads, same_zone, other_zones, Millis(100));
    offer.map(|offer| (offer.cell, offer.may_wait))
}

#[test]
fn a_job_asks_its_own_zone_then_another_and_then_is_queued() {
    let (same_zone, other_zones) = ([cell("a", 0)], [cell("b", 0), cell("c", 0)]);
    let mut loads = LoadTable::default();
    loads.record(&other_zones[1], DEMAND, &Outcome::Completed, backlog(54_000, 0), Millis(50));
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
        let mut loads = LoadTable::default();
        loads.record(&other_zones[0], DEMAND, &refused(reason), backlog(0, 0), Millis(at_ms));
        let mut search = new_search();
        let first = next(&mut search, &loads, &same_zone, &other_zones);
        assert_eq!(first, Some((cell("a", 0), false)));
        let second = next(&mut search, &loads, &same_zone, &other_zones);
        assert_eq!(second == Some((cell("b", 0), false)), is_asked, "{reason:?} at {at_ms}");
    }
}

#[test]
fn cells_are_ordered_by_waiting_work_and_then_free_cores() {
    let same_zone = [cell("a", 0), cell("a", 9), cell("a", 18)];
    let mut loads = LoadTable::default();
    loads.record(&same_zone[0], DEMAND, &Outcome::Completed, backlog(90_000, 5), Millis(50));
    loads.record(&same_zone[1], DEMAND, &Outcome::Completed, backlog(30_000, 0), Millis(50));
    loads.record(&same_zone[2], DEMAND, &Outcome::Completed, backlog(60_000, 0), Millis(50));
    let asked = asked(&mut loads, &same_zone, &[], Reason::Busy);
    assert_eq!(asked[0], (cell("a", 18), false));
    assert_eq!(asked[1], (cell("a", 9), false));
}

#[test]
fn a_search_without_owned_cells_asks_none() {
    assert!(asked(&mut LoadTable::default(), &[], &[], Reason::Busy).is_empty());
}

/// During rebalances many cells of a zone have no owner for a moment, while others have free
/// workers.
#[test]
fn cells_without_an_owner_are_passed_over_until_an_owner_is_found() {
    let same_zone: Vec<Cell> = (0..6).map(|partition| cell("a", partition)).collect();
    let mut loads = LoadTable::default();
    let mut search = new_search();
    let mut asked = Vec::new();
    while let Some(offer) = search.next(&loads, &same_zone, &[], Millis(100)) {
        let cell = offer.cell;
        asked.push(cell.partition);
        if cell.partition < 4 {
            loads.record_unowned(&cell, Millis(100));
        } else {
            loads.record(&cell, DEMAND, &refused(Reason::Busy), backlog(0, 0), Millis(100));
        }
    }
    assert_eq!(asked, [0, 1, 2, 3, 4, 5, 4, 5], "two owners are asked in each phase");
    let mut search = new_search();
    let next = search.next(&loads, &same_zone, &[], Millis(151));
    assert!(next.is_some_and(|offer| offer.cell.partition < 4), "the back-off has not ended");
}

/// Guards against refusals while another cell has free workers: attempts at cells that are known to
/// be full used up the attempts of the first phase, and no other zone was asked.
#[test]
fn full_cells_are_passed_over_and_up_to_four_cells_with_room_are_asked() {
    let same_zone: Vec<Cell> = (0..4).map(|partition| cell("a", partition)).collect();
    let other_zones: Vec<Cell> = (0..6).map(|partition| cell("b", partition)).collect();
    let mut loads = LoadTable::default();
    for cell in &same_zone {
        loads.record_backlog(cell, with_free(&[7_900, 8_000, 3_000]), Millis(60));
    }
    for cell in &other_zones {
        loads.record_backlog(cell, with_free(&[16_000]), Millis(80));
    }
    let mut search = new_search();
    let mut asked = Vec::new();
    while let Some(offer) = search.next(&loads, &same_zone, &other_zones, Millis(100)) {
        asked.push((offer.cell.zone.to_string(), offer.basis));
    }
    let first_phase: Vec<_> = asked.iter().filter(|(_, basis)| *basis != Basis::Queue).collect();
    assert_eq!(first_phase, [&("b".to_owned(), Basis::KnownFree); 4]);
    assert_eq!(asked.len(), 6, "the job may wait at two further cells");
    assert_eq!(search.known_ms(), Some(40), "age of the reports on the full cells");
}

/// Guards against jobs that are lost because the search for a cell with room takes their time.
#[test]
fn no_further_cell_of_another_zone_is_asked_when_the_time_is_over() {
    let other_zones: Vec<Cell> = (0..3).map(|partition| cell("b", partition)).collect();
    let mut loads = LoadTable::default();
    for cell in &other_zones {
        loads.record_backlog(cell, with_free(&[16_000]), Millis(80));
    }
    for (latest_start, expected) in [(103, 1), (104, 3)] {
        let mut search = CellSearch::new(DEMAND, Millis(latest_start), 1);
        let offers = std::iter::from_fn(|| search.next(&loads, &[], &other_zones, Millis(100)));
        let asked = offers.take_while(|offer| !offer.may_wait).count();
        assert_eq!(asked, expected, "latest start at {latest_start}");
    }
}

/// Guards against a stampede: all daemons of a zone with the same information chose the same cell.
#[test]
fn jobs_are_distributed_over_cells_in_proportion_to_their_room() {
    let same_zone = [cell("a", 0), cell("a", 9)];
    let mut loads = LoadTable::default();
    loads.record_backlog(&same_zone[0], with_free(&[16_000; 3]), Millis(90));
    loads.record_backlog(&same_zone[1], with_free(&[16_000; 1]), Millis(90));
    let chosen = (0..4_000).filter(|seed| {
        let mut search = CellSearch::new(DEMAND, Millis(10_000), *seed);
        next(&mut search, &loads, &same_zone, &[]) == Some((cell("a", 0), false))
    });
    let share = chosen.count() as f64 / 4_000.0;
    assert!((0.70..0.80).contains(&share), "{share}");
}

/// Guards against jobs that are passed to and fro between queues, and against moves by information
/// that no longer holds.
#[test]
fn a_queued_job_moves_at_most_twice_and_only_by_fresh_reports() {
    let (queued_at, other) = (cell("a", 0), [cell("b", 0)]);
    let same_zone = [queued_at.clone()];
    let queue = Backlog { queued_work: 1_000_000, ..with_free(&[16_000]) };
    // Time of the report on the other cell; report on the cell where the job waits; latest start;
    // whether the job moves at 100 ms.
    let cases = [
        (60, queue, 10_000, true),
        (40, queue, 10_000, false),
        (60, queue, 107, false),
        (60, queue, 108, true),
        (60, with_free(&[16_000]), 10_000, false),
    ];
    for (at_ms, load, latest_start, expected) in cases {
        let mut loads = LoadTable::default();
        loads.record_backlog(&queued_at, load, Millis(90));
        loads.record_backlog(&other[0], with_free(&[16_000]), Millis(at_ms));
        let mut search = CellSearch::new(DEMAND, Millis(latest_start), 1);
        let queued = (&queued_at, Millis(80));
        let zones = (same_zone.as_slice(), other.as_slice());
        let mut moves = || search.find_better_cell(&loads, queued, zones, Millis(100));
        let moved = [moves(), moves(), moves()].map(|cell| cell.is_some());
        assert_eq!(moved, [expected, expected, false], "{at_ms} {load:?} {latest_start}");
        let first = search.next(&loads, &same_zone, &other, Millis(100));
        let basis = first.map(|offer| (offer.cell == other[0], offer.may_wait, offer.basis));
        assert_eq!(basis == Some((true, false, Basis::Moved)), expected);
    }
}
