//! Checks under random interleavings of messages and faults that each task starts at most once and
//! that each answer is correct.

mod support;

use dispatch::answer::{Reason, TaskEnd, Verdict};
use dispatch::engine::StartOutcome;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{Message, Simulation, worker_addr};

const HOMES: usize = 3;
const WORKERS: usize = 3;
const CASES: u32 = 400;

#[derive(Clone, Debug)]
enum Step {
    Submit { home: usize, tasks: usize, journalled: bool },
    Resubmit(usize),
    Cancel(usize),
    DeliverMessage(usize),
    LoseMessage(usize),
    AdvanceClock(u64),
    CrashHome(usize),
    DrainHome { home: usize, successor: usize },
    AddHome,
    SetLogOutage(bool),
    CrashWorker(usize),
    SetFailing(usize, bool),
    RestartWorker(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..HOMES, 1..5_usize, any::<bool>())
            .prop_map(|(home, tasks, journalled)| Step::Submit { home, tasks, journalled }),
        5 => (0..50_usize).prop_map(Step::Resubmit),
        2 => (0..50_usize).prop_map(Step::Cancel),
        20 => (0..50_usize).prop_map(Step::DeliverMessage),
        4 => (0..50_usize).prop_map(Step::LoseMessage),
        8 => prop_oneof![Just(1_u64), Just(50), Just(150), Just(3_000), Just(30_000)]
            .prop_map(Step::AdvanceClock),
        1 => (0..HOMES).prop_map(Step::CrashHome),
        2 => (0..HOMES, 0..HOMES).prop_map(|(home, successor)| Step::DrainHome { home, successor }),
        1 => Just(Step::AddHome),
        1 => any::<bool>().prop_map(Step::SetLogOutage),
        1 => (0..WORKERS).prop_map(Step::CrashWorker),
        1 => (0..WORKERS).prop_map(Step::RestartWorker),
        1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, fails)| Step::SetFailing(worker, fails)),
    ]
}

fn run_step(simulation: &mut Simulation, step: &Step) {
    let asked = simulation.submitted.len();
    match step {
        Step::Submit { home, tasks, journalled } => {
            let kind = if *journalled { "invoice" } else { "check" };
            simulation.submit(*home, kind, *tasks);
        }
        Step::Resubmit(index) if asked > 0 => simulation.resubmit(index % asked),
        Step::Cancel(index) if asked > 0 => simulation.cancel(index % asked),
        Step::Resubmit(_) | Step::Cancel(_) => {}
        Step::DeliverMessage(index) => simulation.deliver(*index, false),
        Step::LoseMessage(index) => simulation.deliver(*index, true),
        Step::AdvanceClock(span_ms) => simulation.advance(*span_ms),
        Step::CrashHome(home) => simulation.crash(*home),
        Step::DrainHome { home, successor } => simulation.drain(*home, *successor),
        Step::AddHome => {
            simulation.add_home();
        }
        Step::SetLogOutage(out) => simulation.log_out = *out,
        Step::CrashWorker(worker) => {
            if let Some(worker) = simulation.workers.get_mut(&worker_addr(*worker)) {
                worker.dead = true;
            }
        }
        Step::RestartWorker(worker) => simulation.restart_worker(worker_addr(*worker)),
        Step::SetFailing(worker, fails) => {
            if let Some(worker) = simulation.workers.get_mut(&worker_addr(*worker)) {
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

fn run_steps(steps: &[Step], with_fault: bool) -> Vec<String> {
    let mut simulation = Simulation::new(HOMES, WORKERS);
    simulation.inject_fault = with_fault;
    for step in steps {
        run_step(&mut simulation, step);
    }
    simulation.run_until_idle();
    for index in 0..simulation.submitted.len() {
        simulation.resubmit(index);
    }
    simulation.run_until_idle();
    simulation.violations()
}

#[test]
fn invariants_hold_under_random_interleavings() {
    let outcome = fixed_runner().run(&vec(step(), 1..160), |steps| {
        let broken = run_steps(&steps, false);
        prop_assert!(broken.is_empty(), "{broken:?}");
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn an_injected_fault_is_detected() {
    let outcome = fixed_runner().run(&vec(step(), 1..160), |steps| {
        prop_assert!(run_steps(&steps, true).is_empty());
        Ok(())
    });
    assert!(
        outcome.is_err(),
        "used bits were cleared during a drain and no invariant check failed"
    );
}

#[test]
fn a_resubmission_is_answered_without_a_second_start_at_every_stage() {
    let mut simulation = Simulation::new(2, 1);
    let index = simulation.submit(0, "check", 2).unwrap_or_default();
    simulation.resubmit(index);
    simulation.deliver(0, false);
    simulation.resubmit(index);
    simulation.run_until_idle();
    simulation.resubmit(index);
    simulation.drain(0, 1);
    simulation.resubmit(index);
    simulation.run_until_idle();
    let asked = &simulation.submitted[index];
    let verdicts: Vec<Verdict> =
        asked.requests.iter().map(|request| simulation.answers[request][0].verdict).collect();
    assert_eq!(verdicts, [Verdict::Complete; 5]);
    assert!(simulation.violations().is_empty(), "{:?}", simulation.violations());
}

#[test]
fn a_resubmission_after_the_answer_was_dropped_does_not_run_again() {
    let mut simulation = Simulation::new(1, 1);
    let index = simulation.submit(0, "check", 1).unwrap_or_default();
    simulation.run_until_idle();
    simulation.advance(200_000);
    simulation.resubmit(index);
    let last = simulation.submitted[index].requests[1];
    let answer = &simulation.answers[&last][0];
    assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::NoLongerHeld));
    simulation.advance(600_000);
    simulation.resubmit(index);
    let last = simulation.submitted[index].requests[2];
    assert_eq!(simulation.answers[&last][0].reason, Reason::TicketExpired);
    assert!(simulation.violations().is_empty());
}

/// A start whose request or reply is lost is retried on another worker only once the first worker
/// has proved that it did not start the task. Covers the loss of the request and of the reply.
#[test]
fn a_start_in_doubt_is_retried_on_another_worker_only_with_proof() {
    let cases = [
        ("the request is lost", true, 1, Verdict::Complete),
        ("the reply is lost", false, 1, Verdict::Complete),
    ];
    for (what, request_lost, starts, verdict) in cases {
        let mut simulation = Simulation::new(1, 2);
        let index = simulation.submit(0, "check", 1).unwrap_or_default();
        simulation.deliver(0, request_lost);
        if !request_lost {
            simulation.advance(150);
            simulation.deliver(0, true);
        }
        simulation.run_until_idle();
        let asked = &simulation.submitted[index];
        assert_eq!(simulation.answers[&asked.requests[0]][0].verdict, verdict, "{what}");
        assert_eq!(simulation.starts.values().sum::<usize>(), starts, "{what}");
        assert!(simulation.violations().is_empty(), "{what}: {:?}", simulation.violations());
    }
}

#[test]
fn a_task_on_a_crashed_worker_is_in_doubt_and_is_not_run_again() {
    let mut simulation = Simulation::new(1, 2);
    let index = simulation.submit(0, "check", 1).unwrap_or_default();
    let Some(Message::Start { task, attempt, worker, .. }) = simulation.messages.first().cloned()
    else {
        panic!("no start message is in flight");
    };
    simulation.deliver(0, false);
    if let Some(worker) = simulation.workers.get_mut(&worker) {
        worker.dead = true;
    }
    simulation.messages.push(Message::Reply {
        home: 0,
        task,
        attempt,
        boot: 0,
        end: StartOutcome::ReplyLost,
    });
    simulation.run_until_idle();
    let answer = &simulation.answers[&simulation.submitted[index].requests[0]][0];
    assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::WorkerLost));
    assert_eq!(answer.tasks, [TaskEnd::InDoubt]);
    assert_eq!(simulation.starts[&task], 1);
}

#[test]
fn a_journalled_kind_is_refused_as_not_run_during_a_log_outage() {
    let mut simulation = Simulation::new(1, 1);
    simulation.log_out = true;
    let index = simulation.submit(0, "invoice", 1).unwrap_or_default();
    simulation.run_until_idle();
    simulation.log_out = false;
    simulation.resubmit(index);
    simulation.run_until_idle();
    let asked = &simulation.submitted[index];
    for request in &asked.requests {
        let answer = &simulation.answers[request][0];
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::LogOut));
    }
    assert!(simulation.starts.is_empty());
}

#[test]
fn a_home_that_was_paused_for_an_hour_starts_no_task_twice() {
    let mut simulation = Simulation::new(1, 1);
    let index = simulation.submit(0, "check", 4).unwrap_or_default();
    simulation.deliver(0, false);
    simulation.advance(3_600_000);
    simulation.run_until_idle();
    let asked = &simulation.submitted[index];
    assert_eq!(simulation.answers[&asked.requests[0]].len(), 1);
    assert!(simulation.violations().is_empty(), "{:?}", simulation.violations());
}

/// Regression: a start message is delayed in the network, its task is fenced on that worker and
/// started on another one. The late refusal of the first attempt must not release the second one.
#[test]
fn a_late_refusal_of_an_earlier_attempt_is_ignored() {
    let mut simulation = Simulation::new(1, 2);
    simulation.submit(0, "check", 1);
    let Some(late @ Message::Start { task, attempt, .. }) = simulation.messages.pop() else {
        panic!("no start message is in flight");
    };
    simulation.messages.push(Message::Reply {
        home: 0,
        task,
        attempt,
        boot: 0,
        end: StartOutcome::ReplyLost,
    });
    for _ in 0..4 {
        simulation.deliver(0, false);
    }
    assert_eq!(simulation.starts[&task], 1, "the second attempt must have started");
    simulation.messages.insert(0, late);
    simulation.deliver(0, false);
    simulation.run_until_idle();
    assert!(simulation.violations().is_empty(), "{:?}", simulation.violations());
}

#[test]
fn a_job_with_tasks_on_a_failing_worker_fails_as_a_whole() {
    let mut simulation = Simulation::new(1, 2);
    for worker in simulation.workers.values_mut().take(1) {
        worker.fails_all = true;
    }
    let index = simulation.submit(0, "check", 4).unwrap_or_default();
    simulation.run_until_idle();
    let answer = &simulation.answers[&simulation.submitted[index].requests[0]][0];
    assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::TaskFailed));
    assert_eq!(answer.tasks.len(), 4);
}

/// A worker process that replaced another one reports that it never ran the task. This does not
/// prove that the previous process did not run it, so the task must not be started again.
#[test]
fn a_not_started_report_of_a_restarted_worker_does_not_release_a_task() {
    let mut simulation = Simulation::new(1, 2);
    let index = simulation.submit(0, "check", 1).unwrap_or_default();
    let Some(Message::Start { task, worker, .. }) = simulation.messages.first().cloned() else {
        panic!("no start message is in flight");
    };
    simulation.deliver(0, false);
    simulation.restart_worker(worker);
    simulation.run_until_idle();
    let answer = &simulation.answers[&simulation.submitted[index].requests[0]][0];
    assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::WorkerLost));
    assert_eq!(simulation.starts[&task], 1);
}

/// Regression: a fence is lost when the worker process that holds it is replaced. A delayed start
/// that was addressed to the replaced process must not be executed by the new one.
#[test]
fn a_late_start_is_not_executed_by_a_restarted_worker() {
    let mut simulation = Simulation::new(1, 2);
    simulation.submit(0, "check", 1);
    let Some(late @ Message::Start { task, attempt, worker, .. }) = simulation.messages.pop()
    else {
        panic!("no start message is in flight");
    };
    simulation.messages.push(Message::Reply {
        home: 0,
        task,
        attempt,
        boot: 0,
        end: StartOutcome::ReplyLost,
    });
    for _ in 0..4 {
        simulation.deliver(0, false);
    }
    assert_eq!(simulation.starts[&task], 1, "the second attempt must have started");
    simulation.restart_worker(worker);
    simulation.messages.insert(0, late);
    simulation.deliver(0, false);
    simulation.run_until_idle();
    assert!(simulation.violations().is_empty(), "{:?}", simulation.violations());
}
