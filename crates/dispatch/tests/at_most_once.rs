//! Each task starts at most once and each answer is true, under every interleaving.

mod support;

use dispatch::answer::{Reason, TaskEnd, Verdict};
use dispatch::engine::StartOutcome;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{Parcel, World, worker_addr};

const HOMES: usize = 3;
const WORKERS: usize = 3;
const CASES: u32 = 400;

#[derive(Clone, Debug)]
enum Step {
    Submit { home: usize, tasks: usize, journalled: bool },
    Resubmit(usize),
    Cancel(usize),
    Deliver(usize),
    Lose(usize),
    Pass(u64),
    Crash(usize),
    Drain { home: usize, successor: usize },
    Restart,
    LogOut(bool),
    WorkerDies(usize),
    WorkerFails(usize, bool),
    WorkerRestarts(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..HOMES, 1..5_usize, any::<bool>())
            .prop_map(|(home, tasks, journalled)| Step::Submit { home, tasks, journalled }),
        5 => (0..50_usize).prop_map(Step::Resubmit),
        2 => (0..50_usize).prop_map(Step::Cancel),
        20 => (0..50_usize).prop_map(Step::Deliver),
        4 => (0..50_usize).prop_map(Step::Lose),
        8 => prop_oneof![Just(1_u64), Just(50), Just(150), Just(3_000), Just(30_000)]
            .prop_map(Step::Pass),
        1 => (0..HOMES).prop_map(Step::Crash),
        2 => (0..HOMES, 0..HOMES).prop_map(|(home, successor)| Step::Drain { home, successor }),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::LogOut),
        1 => (0..WORKERS).prop_map(Step::WorkerDies),
        1 => (0..WORKERS).prop_map(Step::WorkerRestarts),
        1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, fails)| Step::WorkerFails(worker, fails)),
    ]
}

fn play(world: &mut World, step: &Step) {
    let asked = world.asked.len();
    match step {
        Step::Submit { home, tasks, journalled } => {
            let kind = if *journalled { "invoice" } else { "check" };
            world.submit(*home, kind, *tasks);
        }
        Step::Resubmit(place) if asked > 0 => world.resubmit(place % asked),
        Step::Cancel(place) if asked > 0 => world.cancel(place % asked),
        Step::Resubmit(_) | Step::Cancel(_) => {}
        Step::Deliver(place) => world.deliver(*place, false),
        Step::Lose(place) => world.deliver(*place, true),
        Step::Pass(span_ms) => world.pass(*span_ms),
        Step::Crash(home) => world.crash(*home),
        Step::Drain { home, successor } => world.drain(*home, *successor),
        Step::Restart => {
            world.add_home();
        }
        Step::LogOut(out) => world.log_out = *out,
        Step::WorkerDies(worker) => {
            if let Some(worker) = world.workers.get_mut(&worker_addr(*worker)) {
                worker.dead = true;
            }
        }
        Step::WorkerRestarts(worker) => world.restart_worker(worker_addr(*worker)),
        Step::WorkerFails(worker, fails) => {
            if let Some(worker) = world.workers.get_mut(&worker_addr(*worker)) {
                worker.fails_all = *fails;
            }
        }
    }
}

fn fixed_runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

fn run_steps(steps: &[Step], plant: bool) -> Vec<String> {
    let mut world = World::new(HOMES, WORKERS);
    world.plant = plant;
    for step in steps {
        play(&mut world, step);
    }
    world.settle_down();
    for place in 0..world.asked.len() {
        world.resubmit(place);
    }
    world.settle_down();
    world.broken()
}

#[test]
fn invariants_hold_over_interleavings() {
    let outcome = fixed_runner().run(&vec(step(), 1..160), |steps| {
        let broken = run_steps(&steps, false);
        prop_assert!(broken.is_empty(), "{broken:?}");
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn a_planted_fault_is_found() {
    let outcome = fixed_runner().run(&vec(step(), 1..160), |steps| {
        prop_assert!(run_steps(&steps, true).is_empty());
        Ok(())
    });
    assert!(outcome.is_err(), "used bits were forgotten on drain and no check saw it");
}

#[test]
fn a_resubmission_is_answered_without_a_second_start_at_every_stage() {
    let mut world = World::new(2, 1);
    let place = world.submit(0, "check", 2).unwrap_or_default();
    world.resubmit(place);
    world.deliver(0, false);
    world.resubmit(place);
    world.settle_down();
    world.resubmit(place);
    world.drain(0, 1);
    world.resubmit(place);
    world.settle_down();
    let asked = &world.asked[place];
    let verdicts: Vec<Verdict> =
        asked.requests.iter().map(|request| world.answers[request][0].verdict).collect();
    assert_eq!(verdicts, [Verdict::Complete; 5]);
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

#[test]
fn an_answer_past_its_hold_is_not_a_second_run() {
    let mut world = World::new(1, 1);
    let place = world.submit(0, "check", 1).unwrap_or_default();
    world.settle_down();
    world.pass(200_000);
    world.resubmit(place);
    let last = world.asked[place].requests[1];
    let answer = &world.answers[&last][0];
    assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::NoLongerHeld));
    world.pass(600_000);
    world.resubmit(place);
    let last = world.asked[place].requests[2];
    assert_eq!(world.answers[&last][0].reason, Reason::TicketExpired);
    assert!(world.broken().is_empty());
}

/// What becomes of a start whose request or reply is lost, by where it was lost.
#[test]
fn a_start_in_doubt_starts_elsewhere_only_on_proof() {
    let cases = [
        ("the request is lost", true, 1, Verdict::Complete),
        ("the reply is lost", false, 1, Verdict::Complete),
    ];
    for (what, request_lost, starts, verdict) in cases {
        let mut world = World::new(1, 2);
        let place = world.submit(0, "check", 1).unwrap_or_default();
        world.deliver(0, request_lost);
        if !request_lost {
            world.pass(150);
            world.deliver(0, true);
        }
        world.settle_down();
        let asked = &world.asked[place];
        assert_eq!(world.answers[&asked.requests[0]][0].verdict, verdict, "{what}");
        assert_eq!(world.starts.values().sum::<usize>(), starts, "{what}");
        assert!(world.broken().is_empty(), "{what}: {:?}", world.broken());
    }
}

#[test]
fn a_worker_that_dies_with_a_task_leaves_it_in_doubt_and_never_run_again() {
    let mut world = World::new(1, 2);
    let place = world.submit(0, "check", 1).unwrap_or_default();
    let Some(Parcel::Start { task, attempt, worker, .. }) = world.parcels.first().cloned() else {
        panic!("a start must be under way");
    };
    world.deliver(0, false);
    if let Some(worker) = world.workers.get_mut(&worker) {
        worker.dead = true;
    }
    world.parcels.push(Parcel::Reply {
        home: 0,
        task,
        attempt,
        boot: 0,
        end: StartOutcome::ReplyLost,
    });
    world.settle_down();
    let answer = &world.answers[&world.asked[place].requests[0]][0];
    assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::WorkerLost));
    assert_eq!(answer.tasks, [TaskEnd::InDoubt]);
    assert_eq!(world.starts[&task], 1);
}

#[test]
fn a_journalled_kind_is_refused_truthfully_while_the_log_is_out() {
    let mut world = World::new(1, 1);
    world.log_out = true;
    let place = world.submit(0, "invoice", 1).unwrap_or_default();
    world.settle_down();
    world.log_out = false;
    world.resubmit(place);
    world.settle_down();
    let asked = &world.asked[place];
    for request in &asked.requests {
        let answer = &world.answers[request][0];
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::LogOut));
    }
    assert!(world.starts.is_empty());
}

#[test]
fn a_home_that_was_paused_for_long_starts_nothing_twice() {
    let mut world = World::new(1, 1);
    let place = world.submit(0, "check", 4).unwrap_or_default();
    world.deliver(0, false);
    world.pass(3_600_000);
    world.settle_down();
    let asked = &world.asked[place];
    assert_eq!(world.answers[&asked.requests[0]].len(), 1);
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

/// Found by the interleavings: a start that lay for long in the network, was barred meanwhile and
/// started elsewhere, must not free the second attempt when its refusal comes in at last.
#[test]
fn a_late_refusal_of_an_earlier_attempt_changes_nothing() {
    let mut world = World::new(1, 2);
    world.submit(0, "check", 1);
    let Some(late @ Parcel::Start { task, attempt, .. }) = world.parcels.pop() else {
        panic!("a start must be under way");
    };
    world.parcels.push(Parcel::Reply {
        home: 0,
        task,
        attempt,
        boot: 0,
        end: StartOutcome::ReplyLost,
    });
    for _ in 0..4 {
        world.deliver(0, false);
    }
    assert_eq!(world.starts[&task], 1, "the second attempt runs");
    world.parcels.insert(0, late);
    world.deliver(0, false);
    world.settle_down();
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

#[test]
fn a_job_spread_over_failing_workers_is_failed_and_never_partial() {
    let mut world = World::new(1, 2);
    for worker in world.workers.values_mut().take(1) {
        worker.fails_all = true;
    }
    let place = world.submit(0, "check", 4).unwrap_or_default();
    world.settle_down();
    let answer = &world.answers[&world.asked[place].requests[0]][0];
    assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::TaskFailed));
    assert_eq!(answer.tasks.len(), 4);
}

/// A worker whose process was replaced says that it never ran the task: that is no proof.
#[test]
fn the_word_of_a_replaced_worker_frees_no_task() {
    let mut world = World::new(1, 2);
    let place = world.submit(0, "check", 1).unwrap_or_default();
    let Some(Parcel::Start { task, worker, .. }) = world.parcels.first().cloned() else {
        panic!("a start must be under way");
    };
    world.deliver(0, false);
    world.restart_worker(worker);
    world.settle_down();
    let answer = &world.answers[&world.asked[place].requests[0]][0];
    assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::WorkerLost));
    assert_eq!(world.starts[&task], 1);
}

/// Found by the interleavings: the bar is forgotten with the process that was told, and a start
/// that was meant for it must not begin on its successor.
#[test]
fn a_late_start_does_not_begin_on_a_replaced_worker() {
    let mut world = World::new(1, 2);
    world.submit(0, "check", 1);
    let Some(late @ Parcel::Start { task, attempt, worker, .. }) = world.parcels.pop() else {
        panic!("a start must be under way");
    };
    world.parcels.push(Parcel::Reply {
        home: 0,
        task,
        attempt,
        boot: 0,
        end: StartOutcome::ReplyLost,
    });
    for _ in 0..4 {
        world.deliver(0, false);
    }
    assert_eq!(world.starts[&task], 1, "the second attempt runs");
    world.restart_worker(worker);
    world.parcels.insert(0, late);
    world.deliver(0, false);
    world.settle_down();
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}
