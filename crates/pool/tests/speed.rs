//! Replays workers of different speeds, and tasks that straggle on any worker.

mod support;

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::pool::Pool;
use pool::speed::{MAX_TRANSFERRED, Speed, WorkerSpeed};
use pool::tokens::first_token;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use support::fleet::Fleet;

/// Slowdown of a worker at 0.55 of the nominal speed, and of one at 1.2.
const SLOW: f64 = 1.0 / 0.55;
const FAST: f64 = 1.0 / 1.2;
/// Between the two, on a logarithmic scale.
const THRESHOLD: f64 = 1.25;
const TASK_MS: u64 = 185;

fn speed_after(runs_ms: impl IntoIterator<Item = u64>) -> Speed {
    let mut speed = Speed::default();
    for took_ms in runs_ms {
        speed.record(took_ms, 100);
    }
    speed
}

/// A fleet of which every fourth worker is slow, after jobs with declared times that are off by 40%.
fn mixed_fleet(workers: usize, jobs: usize, seed: u64) -> Fleet {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(workers);
    for (worker, pace) in fleet.paces.iter_mut().enumerate() {
        *pace = if worker % 4 == 0 { SLOW } else { FAST };
    }
    for _ in 0..jobs {
        let declared_ms = (TASK_MS as f64 * rng.random_range(0.6..1.4)) as u64;
        fleet.submit_as(2 * workers as u32, TASK_MS, declared_ms, true);
        fleet.run_for(2 * TASK_MS + 20);
    }
    fleet
}

/// Guards against a slow quarter of the workers that is known only after dozens of runs.
#[test]
fn a_slow_quarter_of_the_workers_is_known_after_few_runs() {
    for seed in 1..6 {
        let fleet = mixed_fleet(16, 4, seed);
        for worker in 0..16 {
            let (slowdown, is_slow) = (fleet.slowdown(worker), worker % 4 == 0);
            assert_eq!(slowdown > THRESHOLD, is_slow, "seed {seed}, {worker}: {slowdown:.2}");
        }
    }
}

/// Guards against a worker that gets no more long tasks because one of its tasks straggled.
#[test]
fn one_straggler_of_seven_times_the_time_does_not_make_a_worker_slow() {
    for before in [0, 1, 3, 30] {
        let runs = std::iter::repeat_n(100, before);
        let speed = speed_after(runs.chain([700]));
        assert!(speed.slowdown() < 1.1, "after {before} runs: {:.2}", speed.slowdown());
        let pair = speed_after(std::iter::repeat_n(100, before).chain([700, 700, 100]));
        assert!(pair.slowdown() < THRESHOLD, "after {before} runs: {:.2}", pair.slowdown());
    }
}

/// Guards against a worker that takes seven times as long for every task and still counts as fast.
#[test]
fn stragglers_in_succession_make_a_worker_slow() {
    let mut speed = speed_after(std::iter::repeat_n(100, 30));
    let shown: Vec<bool> = (0..6).map(|_| speed.record(700, 100)).collect();
    assert_eq!(shown, [false, false, true, false, false, false], "logged once");
    assert!(speed.slowdown() > 4.0, "{:.2}", speed.slowdown());
    for _ in 0..12 {
        speed.record(100, 100);
    }
    assert!(speed.slowdown() < THRESHOLD, "{:.2} after it has recovered", speed.slowdown());
}

/// Guards against an estimate that never settles, and one that no longer follows a change.
#[test]
fn early_runs_weigh_more_and_later_ones_still_count() {
    assert!(speed_after([180]).slowdown() > 1.3);
    let settled = speed_after(std::iter::repeat_n(100, 100).chain([180]));
    assert!(settled.slowdown() < 1.04, "{:.3}", settled.slowdown());
    let changed = speed_after(std::iter::repeat_n(100, 100).chain(std::iter::repeat_n(180, 40)));
    assert!(changed.slowdown() > 1.5, "{:.3}", changed.slowdown());
}

/// Guards against long tasks on slow workers while fast ones are free.
#[test]
fn long_tasks_go_to_fast_workers() {
    let mut fleet = mixed_fleet(8, 4, 1);
    fleet.submit(12, 830);
    for worker in 0..8 {
        let expected = if worker % 4 == 0 { 0 } else { 2 };
        assert_eq!(fleet.active()[worker], expected, "{:?}", fleet.active());
    }
}

/// Guards against tasks that are spread over the workers, so that no worker is free for wide ones.
#[test]
fn tasks_that_fill_a_worker_together_are_placed_together() {
    let mut fleet = mixed_fleet(8, 4, 1);
    fleet.submit(4, 55);
    let occupied: Vec<usize> = fleet.active().into_iter().filter(|count| *count > 0).collect();
    assert_eq!(occupied, [2, 2]);
}

/// Guards against a new owner that learns the slow workers from scratch.
#[test]
fn a_new_owner_takes_over_the_speeds() {
    let mut fleet = mixed_fleet(8, 6, 1);
    let speeds = fleet.pool.speeds();
    assert_eq!(speeds.len(), 8);
    let mut next = Pool::new(first_token(2));
    assert_eq!(next.learn_speeds(&speeds), 8, "sent before the workers are listed");
    fleet.replace_owner(next);
    assert!(fleet.slowdown(0) > THRESHOLD && fleet.slowdown(1) < THRESHOLD);
    fleet.submit(12, 830);
    assert_eq!((fleet.active()[0], fleet.active()[4]), (0, 0), "{:?}", fleet.active());
}

/// Guards against speeds from a previous owner that replace what has been learned since, and
/// against messages of any size and content.
#[test]
fn late_and_absurd_speeds_do_no_harm() {
    let mut fleet = mixed_fleet(4, 8, 1);
    let known = fleet.slowdown(0);
    let speed = |worker: &str, percent| WorkerSpeed { worker: Rc::from(worker), percent };
    assert_eq!(fleet.pool.learn_speeds(&[speed("0", 100), speed("elsewhere", 50)]), 0);
    assert!((fleet.slowdown(0) - known).abs() < f64::EPSILON);
    let mut next = Pool::new(first_token(2));
    let many: Vec<WorkerSpeed> = (0..1_000).map(|id| speed(&id.to_string(), 0)).collect();
    assert_eq!(next.learn_speeds(&many), MAX_TRANSFERRED);
    fleet.replace_owner(next);
    assert!(fleet.slowdown(0) <= 10.0, "{}", fleet.slowdown(0));
}

/// Guards against a returned worker whose speed must be learned anew, and against one that looks slow
/// because its first runs ended before its entry announced that it was cold.
#[test]
fn a_restarted_worker_keeps_its_speed_and_not_its_first_cold_runs() {
    let mut fleet = mixed_fleet(4, 6, 1);
    let known = fleet.slowdown(1);
    fleet.restart(1..2, 100);
    fleet.paces[1] = FAST * 2.5;
    let entries = fleet.entries.clone();
    fleet.entries[1].started_at_ms = Some(1);
    for _ in 0..6 {
        fleet.submit(8, TASK_MS);
        fleet.run_for(3 * TASK_MS);
    }
    assert!(fleet.slowdown(1) > THRESHOLD, "{:.2}", fleet.slowdown(1));
    fleet.entries = entries;
    fleet.entries[1].cold_ms = 5_000;
    fleet.publish();
    assert!((fleet.slowdown(1) - known).abs() < 0.2, "{:.2}, {known:.2}", fleet.slowdown(1));
    assert_eq!(fleet.pool.cold_workers(Millis(fleet.now_ms)), 1);
}
