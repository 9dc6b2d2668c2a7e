//! Workers whose capacity shrinks and grows while they run, and that refuse no start.

mod support;

use dispatch::clock::Millis;
use pool::catalogue::WorkerEntry;
use pool::job::{Outcome, PreviousOwner, Reason};
use pool::pool::{Action, Pool, Submission};
use pool::tokens::first_token;
use standins::pool_worker::WorkerDefect;
use std::rc::Rc;
use support::simulation::{DaemonDefect, Faults, Simulation};
use support::{cores, entry, job, terms};

/// Guards against issue 25 (LIMIT), while owners change and calls get lost or are late.
#[test]
fn no_start_exceeds_a_capacity_that_shrank_a_while_ago() {
    let faults = Faults {
        lost_requests: 20,
        lost_replies: 20,
        late_requests: 20,
        owner_change_every_ms: 1_900,
        worker_fault_every_ms: 0,
        worker_restart_every_ms: 0,
        late_calls_outlive_clocks: false,
        failing_runs: 20,
        long_runs: 50,
        crashing_jobs: 20,
        capacity_change_every_ms: 130,
        delegation_every_ms: 0,
    };
    let (mut early, mut starts) = (0, 0);
    for seed in 0..40 {
        let mut simulation =
            Simulation::new(seed, faults, WorkerDefect::Nothing, DaemonDefect::Nothing);
        simulation.run(160, 90, 40_000);
        assert!(
            simulation.overloads.is_empty(),
            "seed {seed}: {}",
            simulation.overloads.join("; ")
        );
        early += simulation.early_overloads;
        starts += simulation.starts;
    }
    assert!(early > 0, "no capacity was exceeded before its owner knew of it: nothing was tested");
    assert!(starts > 5_000, "only {starts} runs started");
}

fn submission(id: &str, task_cores: u64) -> Submission {
    Submission {
        spec: job(id, 1, task_cores, 100),
        terms: terms("r", 1_000, 2),
        age_ms: 0,
        limit_ms: 5_000,
        previous_owner: PreviousOwner::None,
        may_wait: true,
        is_remote: false,
    }
}

fn starts(pool: &mut Pool) -> usize {
    pool.take_actions().iter().filter(|action| matches!(action, Action::Start(..))).count()
}

#[test]
fn a_shrunken_worker_gets_tasks_for_what_is_left_and_more_when_it_grows() {
    let mut pool = Pool::new(first_token(7));
    let id: Rc<str> = Rc::from("0");
    let set_capacity = |pool: &mut Pool, at_ms, count| {
        let shrunk = WorkerEntry { capacity: entry(0, count).capacity, ..entry(0, 64) };
        pool.set_workers(Millis(at_ms), [(&id, &shrunk)].into_iter());
    };
    set_capacity(&mut pool, 0, 64);
    let report =
        pool::call::Report { clock_ms: 5_000, started_at_ms: Some(1), ..Default::default() };
    pool.poll_reply(Millis(0), "0", Millis(0), &pool::call::PollReply::Report(report));
    pool.submit(Millis(1), submission("0000000000000001", 27));
    assert_eq!(starts(&mut pool), 1);
    set_capacity(&mut pool, 2, 40);
    pool.submit(Millis(3), submission("0000000000000002", 27));
    assert_eq!(starts(&mut pool), 0, "27 of 40 cores are in use");
    set_capacity(&mut pool, 4, 20);
    pool.submit(Millis(5), submission("0000000000000003", 27));
    let refused = pool.take_actions().into_iter().any(|action| {
        let no_worker =
            |outcome: &Outcome| matches!(outcome, Outcome::NotRun { reason: Reason::NoWorker, .. });
        matches!(action, Action::Answer(_, outcome) if no_worker(&outcome))
    });
    assert!(refused, "no worker could ever run the task");
    set_capacity(&mut pool, 6, 64);
    assert_eq!(starts(&mut pool), 1, "the queued task starts when the worker has grown");
    assert!(entry(0, 64).capacity.can_fit(cores(54)));
}
