//! Simulates lost and late calls, ownership changes and worker faults, and checks that two runs of
//! one task are never active at the same time. See `docs/design/on-the-platform.md`.

mod support;

use standins::pool_worker::WorkerDefect;
use support::simulation::{DaemonDefect, Faults, Simulation};

const ALL_FAULTS: Faults = Faults {
    lost_requests: 20,
    lost_replies: 20,
    late_requests: 30,
    owner_change_every_ms: 1_300,
    worker_fault_every_ms: 900,
    worker_restart_every_ms: 0,
    late_calls_outlive_clocks: false,
    failing_runs: 20,
    long_runs: 100,
    crashing_jobs: 0,
    capacity_change_every_ms: 0,
    delegation_every_ms: 1_700,
};

fn run(seed: u64, worker_defect: WorkerDefect, daemon_defect: DaemonDefect) -> Simulation {
    let mut simulation = Simulation::new(seed, ALL_FAULTS, worker_defect, daemon_defect);
    simulation.run(160, 90, 40_000);
    simulation
}

#[test]
fn no_task_has_two_active_runs_under_any_fault() {
    let (mut steps, mut starts, mut completed) = (0, 0, 0);
    for seed in 0..120 {
        let simulation = run(seed, WorkerDefect::Nothing, DaemonDefect::Nothing);
        assert!(simulation.overlaps.is_empty(), "seed {seed}: {}", simulation.overlaps.join("; "));
        assert_eq!(
            simulation.stale_starts, 0,
            "seed {seed}: a run was started with an outdated fencing token"
        );
        steps += simulation.steps;
        starts += simulation.starts;
        completed += simulation.completed;
    }
    assert!(steps > 1_000_000, "only {steps} events were simulated");
    assert!(starts > 25_000, "only {starts} runs started");
    assert!(completed > 120 * 160 / 2, "only {completed} jobs were completed");
}

#[test]
fn planted_defects_are_detected() {
    let cases = [
        (WorkerDefect::IgnoresFencingTokens, DaemonDefect::Nothing),
        (WorkerDefect::IgnoresLeases, DaemonDefect::Nothing),
        (WorkerDefect::IgnoresOvertakenCalls, DaemonDefect::Nothing),
        (WorkerDefect::Nothing, DaemonDefect::ForgetsPreviousOwner),
        (WorkerDefect::Nothing, DaemonDefect::ResendsAtOnce),
    ];
    for (worker_defect, daemon_defect) in cases {
        let is_detected =
            |simulation: Simulation| !simulation.overlaps.is_empty() || simulation.stale_starts > 0;
        let detected = (0..120).any(|seed| is_detected(run(seed, worker_defect, daemon_defect)));
        assert!(detected, "{worker_defect:?} with {daemon_defect:?} was not detected");
    }
}

/// Guards against a start without a reply that rests on its stop: fencing tokens alone keep it from
/// running late.
#[test]
fn no_task_has_two_active_runs_at_workers_that_ignore_fenced_runs() {
    for seed in 0..60 {
        let simulation = run(seed, WorkerDefect::IgnoresFencedRuns, DaemonDefect::Nothing);
        assert!(simulation.overlaps.is_empty(), "seed {seed}: {}", simulation.overlaps.join("; "));
    }
}

#[test]
fn all_jobs_complete_without_faults() {
    let no_faults = Faults {
        lost_requests: 0,
        lost_replies: 0,
        late_requests: 0,
        owner_change_every_ms: 0,
        worker_fault_every_ms: 0,
        worker_restart_every_ms: 0,
        late_calls_outlive_clocks: false,
        failing_runs: 0,
        long_runs: 0,
        crashing_jobs: 0,
        capacity_change_every_ms: 0,
        delegation_every_ms: 0,
    };
    let mut simulation =
        Simulation::new(7, no_faults, WorkerDefect::Nothing, DaemonDefect::Nothing);
    simulation.run(60, 120, 30_000);
    assert_eq!(simulation.completed, 60);
}
