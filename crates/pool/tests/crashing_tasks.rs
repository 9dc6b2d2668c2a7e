//! Simulates tasks that crash every worker that starts them, while owners change, calls get lost
//! and callers resend. See `docs/incidents/2026-12-04-crashing-tasks.md`.

mod support;

use standins::pool_worker::WorkerDefect;
use support::simulation::{DaemonDefect, Faults, Simulation};

const CRASHES: Faults = Faults {
    lost_requests: 10,
    lost_replies: 10,
    late_requests: 10,
    owner_change_every_ms: 2_900,
    worker_fault_every_ms: 0,
    worker_restart_every_ms: 0,
    late_calls_outlive_clocks: false,
    failing_runs: 0,
    long_runs: 0,
    crashing_jobs: 60,
    capacity_change_every_ms: 0,
    delegation_every_ms: 0,
};
/// Starts of one task after three crashes under it from which on its owners ignore the crashes.
const MAX_STARTS_AFTER_CRASHES: u32 = 2;

fn run(seed: u64, faults: Faults) -> Simulation {
    let mut simulation =
        Simulation::new(seed, faults, WorkerDefect::Nothing, DaemonDefect::Nothing);
    simulation.run(120, 250, 60_000);
    simulation
}

/// Guards against issue 25: a task crashed worker after worker, across requests and owners.
#[test]
fn a_task_that_crashes_workers_is_given_up_across_resends_and_owners() {
    let mut crashes = 0;
    for seed in 0..30 {
        let simulation = run(seed, CRASHES);
        for (task, starts) in &simulation.starts_after_crashes {
            assert!(
                *starts <= MAX_STARTS_AFTER_CRASHES,
                "seed {seed}: {task} was started {starts} times after three crashes\n  {}",
                simulation.history_of(&task.job),
            );
        }
        assert!(simulation.overlaps.is_empty(), "seed {seed}: {}", simulation.overlaps.join("; "));
        crashes += simulation.crashes.values().sum::<u32>();
    }
    assert!(crashes > 100, "only {crashes} workers crashed");
}

/// Jobs that share workers with such tasks are interrupted, but not blamed.
#[test]
fn jobs_beside_tasks_that_crash_workers_are_not_given_up() {
    let (mut completed, mut total) = (0, 0);
    for seed in 100..120 {
        let simulation = run(seed, CRASHES);
        let (failed, completed_here, total_here) = simulation.harmless_jobs();
        assert_eq!(failed, 0, "seed {seed}: convicted {:?}", simulation.convictions);
        completed += completed_here;
        total += total_here;
    }
    assert!(completed * 10 >= total * 9, "only {completed} of {total} jobs were completed");
}
