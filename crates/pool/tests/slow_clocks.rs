//! Guards against leases that outlast the owner's bound on them, because the estimate of a slow
//! worker's clock is old: the task then runs on two workers (TWICE, review/3).

mod support;

use dispatch::clock::Millis;
use pool::job::{Outcome, PreviousOwner, Progress};
use pool::pool::{Pool, Submission};
use pool::tokens::first_token;
use support::fleet::{Fleet, TASK_CORES};
use support::{job, terms};

/// Clocks are at most this slow, in thousandths.
const SLOWEST_PERMILLE: u64 = 20;
/// Times for which a worker was idle before its start, in milliseconds.
const IDLE_MS: [u64; 7] = [0, 1_000, 8_000, 9_990, 11_000, 19_000, 60_000];
const TASK_MS: u64 = 1_300;
/// Declared time of the tasks, in milliseconds: the estimate of callers is rough.
const DECLARED_MS: u64 = 60;
/// Time that a worker is cut off for, in milliseconds.
const CUT_MS: u64 = 5_000;

/// What happens after a task has started on a worker that was idle.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The worker is cut off from its owner.
    Cut,
    /// The owner hands its cell over, and the next owner cannot reach the worker.
    HandedOver,
    /// The next owner adopts the run, and the worker is cut off from it.
    Adopted,
}

fn cut_off(fleet: &mut Fleet, worker: usize) {
    fleet.down_until_ms[worker] = fleet.now_ms + CUT_MS;
}

/// Ends the ownership of the present pool and returns the progress of its job.
fn release(fleet: &mut Fleet, number: u64) -> Progress {
    fleet.pool.renew_all_leases(Millis(fleet.now_ms));
    fleet.perform();
    fleet.pool.relinquish();
    fleet.perform();
    match fleet.outcomes.remove(&number) {
        Some(Outcome::Moved(progress)) => progress,
        outcome => panic!("the job was not moved: {outcome:?}"),
    }
}

fn submit_again(fleet: &mut Fleet, progress: Progress) {
    let submission = Submission {
        spec: job(&format!("{:016x}", 1), 1, TASK_CORES, DECLARED_MS),
        terms: terms("r", 60, 2),
        age_ms: 0,
        limit_ms: 5_000,
        previous_owner: PreviousOwner::Reported(progress),
        may_wait: true,
        is_remote: false,
    };
    fleet.pool.submit(Millis(fleet.now_ms), submission);
    fleet.perform();
}

#[test]
fn a_task_starts_elsewhere_only_after_its_lease_on_a_slow_clock_has_ended() {
    for idle_ms in IDLE_MS {
        for event in [Event::Cut, Event::HandedOver, Event::Adopted] {
            let mut fleet = Fleet::with_slow_clocks(2, SLOWEST_PERMILLE);
            fleet.run_for(idle_ms);
            let number = fleet.submit_as(1, TASK_MS, DECLARED_MS, true);
            let worker = fleet.active().iter().position(|runs| *runs > 0).expect("a run is active");
            if event != Event::Cut {
                let progress = release(&mut fleet, number);
                if event == Event::HandedOver {
                    cut_off(&mut fleet, worker);
                }
                fleet.replace_owner(Pool::new(first_token(2)));
                submit_again(&mut fleet, progress);
            }
            cut_off(&mut fleet, worker);
            let mut has_started_elsewhere = false;
            for _ in 0..CUT_MS {
                fleet.run_for(1);
                for worker in &mut fleet.workers {
                    worker.advance_to(fleet.now_ms);
                }
                let active = fleet.active();
                let runs: usize = active.iter().sum();
                assert!(runs <= 1, "{event:?} after {idle_ms} ms: two runs at {}", fleet.now_ms);
                has_started_elsewhere |= active[1 - worker] > 0;
            }
            assert!(has_started_elsewhere, "{event:?} after {idle_ms} ms: not started again");
        }
    }
}

/// Guards against leases that are too short for a clock that is not slow.
#[test]
fn a_run_keeps_its_lease_however_long_its_worker_was_idle() {
    for slow_permille in [0, SLOWEST_PERMILLE] {
        for idle_ms in IDLE_MS {
            for is_stalled in [false, true] {
                let mut fleet = Fleet::with_slow_clocks(1, slow_permille);
                if is_stalled {
                    fleet.now_ms += idle_ms;
                } else {
                    fleet.run_for(idle_ms);
                }
                let number = fleet.submit_as(1, TASK_MS, DECLARED_MS, true);
                fleet.run_for(TASK_MS + 10);
                let case = format!("{slow_permille}, {idle_ms} ms, {is_stalled}");
                assert_eq!(fleet.outcomes.get(&number), Some(&Outcome::Completed), "{case}");
            }
        }
    }
}
