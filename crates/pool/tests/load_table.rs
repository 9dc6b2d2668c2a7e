//! Tests what a daemon knows of the loads of cells after recorded sequences of messages.

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::free_cores::FreeCores;
use pool::job::{Outcome, Reason};
use pool::load_table::{Demand, Fit, LoadTable, MAX_REPORTS};
use pool::queue::Backlog;

const ZONES: [&str; 3] = ["c", "a", "b"];
const DEMAND: Demand = Demand { tasks: 2, task_millicores: 8_000 };

fn cell(zone: &str, partition: u32) -> Cell {
    Cell { zone: Rc::from(zone), partition }
}

fn table() -> LoadTable {
    LoadTable::new(ZONES)
}

/// A backlog of a cell of four workers of 16 cores, the given number of which are free.
fn backlog(free_workers: usize) -> Backlog {
    let workers = (0..4).map(move |at| (16_000, if at < free_workers { 16_000 } else { 0 }));
    Backlog {
        capacity_millicores: 64_000,
        free: Some(FreeCores::new(workers)),
        ..Backlog::default()
    }
}

fn busy() -> Outcome {
    Outcome::NotRun { reason: Reason::Busy, retry_after_ms: 200 }
}

/// Guards against a burst at one daemon that is sent to a single cell because its report does not
/// change before the first answer.
#[test]
fn jobs_sent_after_a_report_are_deducted_until_they_are_answered() {
    let (cell, mut loads) = (cell("a", 0), table());
    loads.record_backlog(&cell, backlog(2), Millis(100));
    let first = loads.record_sent(&cell, DEMAND, Millis(101));
    assert_eq!(loads.fit(&cell, DEMAND, Millis(110)), Fit::Fits { times: 1 });
    let wide = Demand { tasks: 1, task_millicores: 12_000 };
    loads.record_sent(&cell, wide, Millis(102));
    assert_eq!(loads.fit(&cell, DEMAND, Millis(110)), Fit::Full);
    loads.record_answer(&cell, first);
    loads.record(&cell, DEMAND, &busy(), backlog(1), Millis(112));
    assert_eq!(loads.fit(&cell, DEMAND, Millis(112)), Fit::Fits { times: 1 }, "both are reported");
}

/// Guards against a use of old information, which may send a whole burst to a full cell or keep jobs
/// from a free one.
#[test]
fn a_report_counts_as_unknown_from_500_ms_on() {
    let (free, full, mut loads) = (cell("a", 0), cell("a", 9), table());
    loads.record_backlog(&free, backlog(1), Millis(100));
    loads.record_backlog(&full, backlog(0), Millis(100));
    assert_eq!(loads.fit(&full, DEMAND, Millis(599)), Fit::Full);
    assert_eq!(loads.fit(&full, DEMAND, Millis(600)), Fit::Unknown { was_full: true });
    assert_eq!(loads.fit(&free, DEMAND, Millis(600)), Fit::Unknown { was_full: false });
    assert!(loads.reports(&cell("b", 0), Millis(600)).is_empty());
}

/// Guards against a third of the cores that is free in pieces too small for a task, which made cells
/// look free.
#[test]
fn free_cores_that_no_task_fits_into_are_no_room() {
    let (cell, mut loads) = (cell("a", 0), table());
    let pieces = FreeCores::new([(16_000, 6_000); 40].into_iter());
    let load = Backlog { free: Some(pieces), ..backlog(0) };
    loads.record_backlog(&cell, load, Millis(100));
    assert_eq!(loads.fit(&cell, DEMAND, Millis(100)), Fit::Full);
    let small = Demand { task_millicores: 6_000, ..DEMAND };
    assert!(matches!(loads.fit(&cell, small, Millis(100)), Fit::Fits { .. }));
}

#[test]
fn the_freshest_reports_are_passed_on_and_grow_older_on_the_way() {
    let (mut sender, mut receiver) = (table(), table());
    for partition in 0..12 {
        sender.record_backlog(
            &cell("b", partition),
            backlog(1),
            Millis(100 + u64::from(partition)),
        );
    }
    let reports = sender.reports(&cell("b", 11), Millis(120));
    assert_eq!(reports.len(), MAX_REPORTS);
    receiver.record_reports(&reports, Millis(50_000));
    assert_eq!(receiver.age_ms(&cell("b", 10), Millis(50_000)), Some(12));
    assert_eq!(receiver.age_ms(&cell("b", 11), Millis(50_000)), None, "the answering cell itself");
    assert_eq!(receiver.age_ms(&cell("b", 2), Millis(50_000)), None, "not among the freshest");
    receiver.record_backlog(&cell("b", 10), backlog(0), Millis(49_999));
    receiver.record_reports(&reports, Millis(50_000));
    assert_eq!(receiver.fit(&cell("b", 10), DEMAND, Millis(50_000)), Fit::Full, "newer is kept");
}
