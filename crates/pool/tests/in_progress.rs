//! Guards against a job that starts in another cell of an owner while a run of it is active, or its stop
//! is not confirmed, in the cell that had the caller's first request.

mod support;

use dispatch::clock::Millis;
use pool::in_progress::{JobActivity, outcome_of_known_job};
use pool::job::{Outcome, PreviousOwner, Progress, Reason};
use pool::pool::{Pool, Submission};
use pool::tokens::first_token;
use support::fleet::{Fleet, TASK_CORES};
use support::{job, terms};

const TASK_MS: u64 = 6_000;
/// Id of the first job of a fleet.
const ID: &str = "0000000000000001";

fn submission(previous_owner: PreviousOwner) -> Submission {
    Submission {
        spec: job(ID, 1, TASK_CORES, 60),
        terms: terms("r", 1_000, 2),
        age_ms: 0,
        limit_ms: 9_000,
        previous_owner,
        may_wait: true,
        is_remote: false,
    }
}

/// A fleet with a run whose job is cancelled while stops are lost, and an idle worker.
fn lost_stop() -> Fleet {
    let mut fleet = Fleet::new(2);
    let number = fleet.submit_as(1, TASK_MS, 60, true);
    fleet.run_for(50);
    fleet.stops_lost_until_ms = u64::MAX;
    fleet.pool.cancel(Millis(fleet.now_ms), number);
    fleet.perform();
    fleet
}

#[test]
fn a_job_is_submitted_to_the_cell_that_may_run_it() {
    let chosen = |fleet: &Fleet, previous_owner| {
        let idle = Pool::new(first_token(1));
        let pools = [("idle", &idle), ("busy", &fleet.pool)];
        let pools = pools.iter().map(|(cell, pool)| (cell, *pool));
        let (cell, activity) =
            submission(previous_owner).choose_pool(&"idle", pools, Millis(fleet.now_ms));
        (*cell, activity)
    };
    let mut running = Fleet::new(1);
    running.submit_as(1, TASK_MS, 60, true);
    running.run_for(50);
    assert_eq!(chosen(&running, PreviousOwner::None), ("busy", JobActivity::InProgress));
    assert_eq!(chosen(&running, PreviousOwner::Unresponsive).0, "busy");
    let reported = PreviousOwner::Reported(Progress::default());
    assert_eq!(chosen(&running, reported).0, "idle", "its runs are in the cell it comes from");
    let mut stopping = lost_stop();
    assert_eq!(chosen(&stopping, PreviousOwner::None), ("busy", JobActivity::MayRun));
    stopping.run_for(2_000);
    assert_eq!(stopping.active(), [0, 0]);
    assert_eq!(chosen(&stopping, PreviousOwner::None), ("idle", JobActivity::Unknown));
    running.pool.relinquish();
    assert_eq!(chosen(&running, PreviousOwner::None), ("idle", JobActivity::Unknown));
}

/// Guards against a job that waits for the end of an earlier run and is moved or refused meanwhile,
/// so that its submitter tries another cell.
#[test]
fn a_job_that_waits_for_the_end_of_its_earlier_run_stays() {
    let mut fleet = lost_stop();
    let number = fleet.pool.submit(Millis(fleet.now_ms), submission(PreviousOwner::None));
    fleet.run_for(100);
    assert_eq!(fleet.active().iter().sum::<usize>(), 1);
    assert_eq!(fleet.pool.activity_of(ID, Millis(fleet.now_ms)), JobActivity::InProgress);
    assert!(!fleet.pool.withdraw(Millis(fleet.now_ms), number), "withdrawn beside its run");
}

/// Guards against a submitter that tries other cells, or looks for the runs in the cell that it asked for.
#[test]
fn the_submitter_of_a_known_job_does_not_try_other_cells() {
    let refused = |reason| Outcome::NotRun { reason, retry_after_ms: 200 };
    let moved = Outcome::Moved(Progress::default());
    let busy = Outcome::Aborted(Reason::Busy);
    assert_eq!(outcome_of_known_job(refused(Reason::Busy), true), busy);
    assert_eq!(outcome_of_known_job(refused(Reason::Withdrawn), false), refused(Reason::Withdrawn));
    assert_eq!(outcome_of_known_job(moved.clone(), true), moved);
    assert_eq!(outcome_of_known_job(moved, false), Outcome::Aborted(Reason::NoOwner));
}
