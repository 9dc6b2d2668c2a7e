//! Replays workers that are slow after their start, and the entries by which they announce it.

mod support;

use dispatch::clock::Millis;
use pool::catalogue::{Directory, WorkerEntry};
use pool::job::Outcome;
use support::entry;
use support::fleet::Fleet;

const TASK_MS: u64 = 60;
const COLD_MS: u64 = 8_000;

/// A fleet of which the first `cold` workers are cold.
fn fleet_with_cold(workers: usize, cold: usize) -> Fleet {
    let mut fleet = Fleet::new(workers);
    for entry in &mut fleet.entries[..cold] {
        entry.cold_ms = COLD_MS;
    }
    fleet.publish();
    assert_eq!(fleet.pool.cold_workers(Millis(fleet.now_ms)), cold);
    fleet
}

/// Guards against tasks that wait out a cold start although warm workers are free.
#[test]
fn warm_workers_are_preferred() {
    let mut fleet = fleet_with_cold(4, 2);
    fleet.submit(4, TASK_MS);
    assert_eq!(fleet.active(), [0, 0, 2, 2]);
    fleet.submit(2, TASK_MS);
    assert_eq!(fleet.active(), [1, 1, 2, 2], "cold workers take what the warm ones cannot");
}

/// Guards against tasks on cold workers whose callers have left when they end.
#[test]
fn a_task_that_would_end_too_late_does_not_start_on_a_cold_worker() {
    let mut fleet = fleet_with_cold(2, 2);
    for may_wait in [false, true] {
        let long = fleet.submit_as(1, 900, 900, may_wait);
        assert!(matches!(fleet.outcomes[&long], Outcome::NotRun { .. }), "900 ms would take 1.8 s");
    }
    fleet.submit(1, 600);
    assert_eq!(fleet.active().iter().sum::<usize>(), 1, "1.2 s are within the caller's 1.5 s");
}

/// Guards against a cold worker that is filled at once.
#[test]
fn a_cold_worker_gets_one_task_at_first_and_more_after_a_success() {
    let mut fleet = fleet_with_cold(1, 1);
    fleet.submit(2, TASK_MS);
    assert_eq!(fleet.active(), [1]);
    fleet.run_for(2 * TASK_MS + 40);
    assert_eq!(fleet.outcomes.len(), 1, "the second task has followed the first");
    fleet.submit(2, TASK_MS);
    assert_eq!(fleet.active(), [2]);
}

/// Guards against a worker that looks slow, or its route long, because it was cold once.
#[test]
fn runs_on_cold_workers_count_only_towards_the_cold_slowdown() {
    let mut fleet = fleet_with_cold(2, 1);
    fleet.entries.truncate(1);
    fleet.publish();
    fleet.paces[0] = 4.0;
    for _ in 0..12 {
        fleet.submit(1, TASK_MS);
        fleet.run_for(4 * TASK_MS + 20);
    }
    assert!((fleet.slowdown(0) - 1.0).abs() < 0.01, "slowdown {}", fleet.slowdown(0));
    let long = fleet.submit_as(1, 600, 600, false);
    let outcome = fleet.outcomes.get(&long);
    assert!(matches!(outcome, Some(Outcome::NotRun { .. })), "600 ms would take 2.4 s");
    fleet.run_for(COLD_MS);
    fleet.submit_as(1, 900, 900, false);
    assert_eq!(fleet.active()[0], 1, "a warm worker is judged by its own speed");
}

fn cold_entry(cold_ms: u64) -> WorkerEntry {
    WorkerEntry { cold_ms, ..entry(0, 16) }
}

fn announced_ms(directory: &mut Directory, now_ms: u64) -> u64 {
    directory.count_down(Millis(now_ms));
    directory.iter().map(|(_, entry)| entry.cold_ms).sum()
}

/// Guards against a worker that announces for ever that it is cold, and so never gets much work.
#[test]
fn a_worker_that_never_turns_warm_is_judged_by_its_runs_after_the_announced_time() {
    let mut directory = Directory::default();
    assert!(directory.apply(Millis(10_000), "0", Some(cold_entry(3_000))));
    for second in 11..16 {
        assert!(!directory.apply(Millis(second * 1_000), "0", Some(cold_entry(3_000))));
    }
    assert_eq!(announced_ms(&mut directory, 12_000), 1_000);
    assert_eq!(announced_ms(&mut directory, 16_000), 0);
}

/// Guards against a refresh of all pools at each rewrite of a cold worker's entry.
#[test]
fn the_countdown_of_a_cold_entry_is_no_change() {
    let mut directory = Directory::default();
    assert!(directory.apply(Millis(10_000), "0", Some(cold_entry(8_000))));
    // Each entry is read up to a few hundred milliseconds after it was written.
    for (at_ms, cold_ms) in [(11_500, 6_700), (13_000, 5_100), (14_700, 3_500), (18_000, 0)] {
        assert!(!directory.apply(Millis(at_ms), "0", Some(cold_entry(cold_ms))), "at {at_ms} ms");
    }
    assert!(directory.apply(Millis(20_000), "0", Some(cold_entry(8_000))), "a further cold period");
    assert!(directory.apply(Millis(21_000), "0", Some(cold_entry(0))), "over long before its time");
    assert!(directory.apply(Millis(22_000), "0", Some(cold_entry(8_000))));
    let next = WorkerEntry { started_at_ms: Some(2), ..cold_entry(9_000) };
    assert!(directory.apply(Millis(23_000), "0", Some(next)), "another process");
    assert_eq!(announced_ms(&mut directory, 24_000), 8_000);
}
