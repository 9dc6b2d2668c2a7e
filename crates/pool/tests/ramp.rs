//! Replays cells whose workers come back together, and those whose workers were never gone.

mod support;

use dispatch::clock::Millis;
use pool::call::End;
use pool::job::Outcome;
use pool::pool::Pool;
use pool::ramp::RampEvent;
use pool::tokens::first_token;
use support::fleet::{Fleet, TASK_CORES, WORKER_CORES};

const WORKERS: usize = 16;
const TOTAL_CORES: u64 = WORKERS as u64 * WORKER_CORES;
const TASK_MS: u64 = 60;
/// By when full load has returned: as long as a caller waits.
const MAX_RAMP_MS: u64 = 1_500;

/// Keeps more work queued than the cell can take, and returns the highest use of cores.
fn overload(fleet: &mut Fleet, span_ms: u64) -> u64 {
    let mut highest = 0;
    for _ in 0..span_ms {
        for _ in 0..4 {
            fleet.submit(1, TASK_MS);
        }
        fleet.run_for(1);
        highest = highest.max(fleet.used_cores());
    }
    highest
}

/// Restarts all workers under load. They listen again, and their new entries have just been read.
fn returning_fleet() -> Fleet {
    let mut fleet = Fleet::new(WORKERS);
    overload(&mut fleet, 50);
    fleet.restart(0..WORKERS, 2_000);
    fleet.run_for(2_000);
    fleet.publish();
    fleet
}

/// Guards against a burst that fills the workers of a zone at the moment of their return.
#[test]
fn a_cell_whose_workers_return_together_is_not_filled_at_once() {
    let mut fleet = returning_fleet();
    let highest = overload(&mut fleet, 60);
    assert!(highest > 0 && highest <= TOTAL_CORES / 4, "{highest} cores");
    let highest = overload(&mut fleet, 100);
    assert!(highest <= TOTAL_CORES / 2, "{highest} cores");
}

/// Guards against a burst whose jobs are started on cold workers and end after their callers have left,
/// and against a cell that stays half empty for as long as its workers are cold.
#[test]
fn a_cell_that_returns_cold_under_a_burst_serves_what_it_starts() {
    let mut fleet = Fleet::new(WORKERS);
    overload(&mut fleet, 50);
    fleet.restart(0..WORKERS, 2_000);
    fleet.run_for(2_000);
    for (entry, pace) in fleet.entries.iter_mut().zip(&mut fleet.paces) {
        (entry.cold_ms, *pace) = (6_000, 2.5);
    }
    fleet.publish();
    fleet.outcomes.clear();
    let highest = overload(&mut fleet, 60);
    assert!(highest > 0 && highest <= TOTAL_CORES / 4, "{highest} cores");
    assert!(fleet.active().iter().all(|count| *count <= 1), "{:?}", fleet.active());
    let mut long_jobs = Vec::new();
    for _ in 0..MAX_RAMP_MS / 10 {
        long_jobs.push(fleet.submit(1, 900));
        overload(&mut fleet, 10);
    }
    assert!(fleet.used_cores() + 2 * TASK_CORES >= TOTAL_CORES, "{:?}", fleet.active());
    let count = |is_meant: fn(&Outcome) -> bool| {
        fleet.outcomes.values().filter(|outcome| is_meant(outcome)).count()
    };
    assert_eq!(count(|outcome| matches!(outcome, Outcome::Aborted(_))), 0);
    assert!(count(|outcome| *outcome == Outcome::Completed) > 150);
    for number in long_jobs {
        let outcome = fleet.outcomes.get(&number);
        assert!(matches!(outcome, Some(Outcome::NotRun { .. })), "900 ms take 2.2 s: {outcome:?}");
    }
}

/// Guards against a ramp that leaves free workers idle while callers wait.
#[test]
fn full_load_is_back_before_callers_leave() {
    for task_ms in [TASK_MS, 900] {
        let mut fleet = returning_fleet();
        fleet.ramp_events.clear();
        for _ in 0..MAX_RAMP_MS {
            fleet.submit(1, task_ms);
            fleet.run_for(1);
        }
        assert!(fleet.used_cores() + TASK_CORES >= TOTAL_CORES, "{task_ms}: {:?}", fleet.active());
        assert_eq!(fleet.pool.ramp_percent(), None);
        let is_whole = |event: &RampEvent| matches!(event, RampEvent::Ended { .. });
        assert!(fleet.ramp_events.last().is_some_and(is_whole), "{:?}", fleet.ramp_events);
    }
}

/// Guards against a ramp that never ends because its tasks fail on any worker.
#[test]
fn failing_tasks_hold_a_ramp_up_no_longer_than_callers_wait() {
    let mut fleet = returning_fleet();
    fleet.end = End::Failed;
    overload(&mut fleet, 700);
    assert_eq!(fleet.pool.ramp_percent(), Some(25), "a share with failures does not grow by time");
    overload(&mut fleet, 1_000);
    assert_eq!(fleet.pool.ramp_percent(), None);
}

/// Guards against a ramp that delays work although there is little of it.
#[test]
fn a_job_within_the_share_starts_at_once() {
    let mut fleet = Fleet::new(WORKERS);
    fleet.pool.begin_ramp(Millis(fleet.now_ms));
    let fits = fleet.submit_as((TOTAL_CORES / 4 / TASK_CORES) as u32, TASK_MS, TASK_MS, false);
    assert_eq!(fleet.used_cores(), TOTAL_CORES / 4);
    let exceeds = fleet.submit_as(1, TASK_MS, TASK_MS, false);
    assert!(matches!(fleet.outcomes[&exceeds], Outcome::NotRun { .. }));
    fleet.run_for(TASK_MS + 20);
    assert_eq!(fleet.outcomes[&fits], Outcome::Completed);
}

/// Guards against an owner that advertises capacity which the ramp withholds.
#[test]
fn the_backlog_shows_only_the_allowed_capacity() {
    let mut fleet = Fleet::new(WORKERS);
    fleet.pool.begin_ramp(Millis(fleet.now_ms));
    let backlog = fleet.pool.backlog(Millis(fleet.now_ms));
    assert_eq!(backlog.capacity_millicores, TOTAL_CORES * 1_000 / 4);
    assert_eq!(backlog.free_millicores, TOTAL_CORES * 1_000 / 4);
    fleet.run_for(MAX_RAMP_MS);
    let backlog = fleet.pool.backlog(Millis(fleet.now_ms));
    assert_eq!(backlog.capacity_millicores, TOTAL_CORES * 1_000);
    assert_eq!(backlog.free_millicores, TOTAL_CORES * 1_000);
}

/// Guards against a share that no task fits into.
#[test]
fn a_task_larger_than_the_share_starts() {
    let mut fleet = Fleet::new(1);
    fleet.pool.begin_ramp(Millis(fleet.now_ms));
    fleet.submit(2, TASK_MS);
    assert_eq!(fleet.used_cores(), TASK_CORES);
}

/// Guards against a ramp that is over before most of the workers have come back.
#[test]
fn workers_that_follow_later_start_the_ramp_over() {
    let mut fleet = Fleet::new(WORKERS);
    overload(&mut fleet, 50);
    fleet.restart(0..2, 2_000);
    fleet.restart(2..WORKERS, 5_000);
    fleet.run_for(2_000);
    fleet.publish();
    overload(&mut fleet, 300);
    fleet.restart(2..WORKERS, 0);
    fleet.publish();
    let highest = overload(&mut fleet, 60);
    assert!(highest > 0 && highest <= TOTAL_CORES / 4, "{highest} cores");
}

/// Guards against a restart in the middle of a ramp that is filled at the share reached before.
#[test]
fn a_restart_during_the_ramp_starts_it_over() {
    let mut fleet = returning_fleet();
    overload(&mut fleet, 200);
    assert_eq!(fleet.pool.ramp_percent(), Some(50));
    fleet.restart(0..WORKERS, 100);
    fleet.run_for(100);
    fleet.publish();
    let highest = overload(&mut fleet, 60);
    assert!(highest > 0 && highest <= TOTAL_CORES / 4, "{highest} cores");
}

/// Guards against a ramp at each restart of a single worker, and of fewer than half of the cell.
#[test]
fn single_workers_come_and_go_without_a_ramp() {
    let mut fleet = Fleet::new(WORKERS);
    for number in 0..4 {
        overload(&mut fleet, 50);
        fleet.restart(number..number + 1, 1_000);
        fleet.publish();
        overload(&mut fleet, 1_300);
    }
    fleet.restart(0..WORKERS / 2 - 1, 1_000);
    fleet.publish();
    overload(&mut fleet, 2_000);
    assert_eq!(fleet.ramp_events, []);
}

/// Guards against a ramp for workers that lost a few replies and kept their runs.
#[test]
fn a_short_silence_of_all_workers_causes_no_ramp() {
    let mut fleet = Fleet::new(WORKERS);
    overload(&mut fleet, 100);
    fleet.down_until_ms.fill(fleet.now_ms + 400);
    overload(&mut fleet, 1_000);
    assert_eq!(fleet.ramp_events, []);
    assert_eq!(fleet.used_cores(), TOTAL_CORES);
}

/// Guards against a ramp at a takeover: the workers ran all along.
#[test]
fn a_new_owner_fills_its_workers_at_once() {
    let mut fleet = Fleet::new(WORKERS);
    fleet.replace_owner(Pool::new(first_token(2)));
    fleet.submit(2 * WORKERS as u32, TASK_MS);
    assert_eq!(fleet.used_cores(), TOTAL_CORES);
    assert_eq!(fleet.ramp_events, []);
}

/// Guards against a ramp at the start of the whole fleet, where the entries of the workers appear
/// after the owner has read an empty list.
#[test]
fn the_start_of_the_whole_fleet_causes_no_ramp() {
    let mut fleet = Fleet::new(WORKERS);
    let entries = std::mem::take(&mut fleet.entries);
    fleet.replace_owner(Pool::new(first_token(2)));
    fleet.run_for(1_200);
    fleet.entries = entries;
    fleet.publish();
    fleet.run_for(20);
    fleet.submit(2 * WORKERS as u32, TASK_MS);
    assert_eq!(fleet.used_cores(), TOTAL_CORES);
    assert_eq!(fleet.ramp_events, []);
}

/// Guards against a ramp that is missed because the entries of the workers had disappeared.
#[test]
fn workers_whose_entries_had_disappeared_return_gradually() {
    let mut fleet = Fleet::new(WORKERS);
    fleet.restart(0..WORKERS, 5_000);
    let entries = std::mem::take(&mut fleet.entries);
    fleet.run_for(3_000);
    fleet.publish();
    fleet.run_for(2_100);
    fleet.entries = entries;
    fleet.publish();
    let highest = overload(&mut fleet, 60);
    assert!(highest > 0 && highest <= TOTAL_CORES / 4, "{highest} cores");
}
