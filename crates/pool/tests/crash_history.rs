//! Tests of the record of crashes: which tasks it convicts, and for how long it remembers them.

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::crashes::{CONFINEMENT_MS, Crash, CrashHistory, CrashedTask, Suspicion};
use pool::job::TaskName;
use pool::loss::WorkerLife;

fn task(name: &str) -> TaskName {
    TaskName::parse(name).expect("the name of a task")
}

fn life(worker: &str) -> WorkerLife {
    WorkerLife { worker: Rc::from(worker), started_at_ms: Some(1) }
}

/// A crash under tasks of the route "r", but for those of job "x", which are of the route "other".
fn crash(worker: &str, tasks: &[&str]) -> Crash {
    let route = |name: &str| Rc::from(if name.starts_with('x') { "other" } else { "r" });
    let tasks = tasks.iter().map(|name| CrashedTask {
        name: task(name),
        route: route(name),
        was_active: true,
    });
    Crash { life: life(worker), tasks: tasks.collect() }
}

fn suspicion_after(crashes: &[&[&str]]) -> Suspicion {
    let mut history = CrashHistory::default();
    for (number, tasks) in crashes.iter().enumerate() {
        history.record(Millis(number as u64), &crash(&number.to_string(), tasks));
    }
    history.suspicion(&task("a.0.0.0"))
}

#[test]
fn a_task_is_convicted_by_a_second_crash_without_other_jobs_or_by_a_third_one() {
    let (alone, beside_own, beside_other) =
        (&["a.0.0.0"][..], &["a.0.0.0", "a.0.0.1"][..], &["a.0.0.0", "b.0.0.0"][..]);
    let cases: [(&[&[&str]], Suspicion); 8] = [
        (&[], Suspicion::None),
        (&[&["b.0.0.0"]], Suspicion::None),
        (&[alone], Suspicion::Suspect),
        (&[beside_other], Suspicion::Suspect),
        (&[beside_other, alone], Suspicion::Convicted),
        (&[beside_other, beside_own], Suspicion::Convicted),
        (&[alone, beside_other], Suspicion::Suspect),
        (&[alone, beside_other, beside_other], Suspicion::Convicted),
    ];
    for (crashes, expected) in cases {
        assert_eq!(suspicion_after(crashes), expected, "{crashes:?}");
    }
}

#[test]
fn the_end_of_one_process_counts_once_whoever_reports_it() {
    let mut history = CrashHistory::default();
    assert!(history.record(Millis(0), &crash("w", &["a.0.0.0"])).is_new);
    for reported_ms in 1..5 {
        let again = crash("w", &["a.0.0.0", "b.0.0.0"]);
        assert!(!history.record(Millis(reported_ms), &again).is_new);
    }
    assert_eq!(history.suspicion(&task("a.0.0.0")), Suspicion::Suspect);
    assert_eq!(history.suspicion(&task("b.0.0.0")), Suspicion::Suspect, "known only later");
}

#[test]
fn findings_name_each_convicted_task_once() {
    let mut history = CrashHistory::default();
    assert!(history.record(Millis(0), &crash("1", &["a.0.0.0"])).convicted.is_empty());
    let second = crash("2", &["a.0.0.0"]);
    assert_eq!(history.record(Millis(1), &second).convicted, [task("a.0.0.0")]);
    assert!(history.record(Millis(2), &second).convicted.is_empty());
    assert!(history.convicts_job("a"));
}

#[test]
fn a_worker_that_replies_again_clears_its_tasks() {
    let mut history = CrashHistory::default();
    history.record(Millis(0), &crash("1", &["a.0.0.0"]));
    history.record(Millis(1), &crash("2", &["a.0.0.0"]));
    history.retract(&life("2"));
    assert_eq!(history.suspicion(&task("a.0.0.0")), Suspicion::Suspect);
    history.retract(&life("1"));
    assert!(!history.involves_job("a"));
}

#[test]
fn crashes_are_forgotten_after_a_time_and_beyond_a_number() {
    let mut history = CrashHistory::default();
    history.record(Millis(0), &crash("1", &["a.0.0.0"]));
    history.record(Millis(300_000), &crash("2", &["b.0.0.0"]));
    assert!(!history.involves_job("a"));
    for number in 0..10_000 {
        history.record(Millis(300_000), &crash(&format!("x{number}"), &["c.0.0.0"]));
    }
    assert!(history.export(Millis(300_000)).len() <= 4_096);
}

#[test]
fn a_daemon_that_starts_learns_the_crashes_with_their_age() {
    let mut history = CrashHistory::default();
    history.record(Millis(100), &crash("1", &["a.0.0.0"]));
    history.record(Millis(400), &crash("2", &["a.0.0.0"]));
    let mut copy = CrashHistory::default();
    for (age_ms, crash) in history.export(Millis(1_000)) {
        copy.record(Millis(9_000 - age_ms), &crash);
    }
    assert!(copy.convicts_job("a"));
    assert_eq!(copy.export(Millis(9_000))[0].0, 900);
}

/// Convicts a task of a job by two crashes at `at_ms`.
fn convict(history: &mut CrashHistory, job: &str, at_ms: u64) {
    for number in 0..2 {
        let crash = crash(&format!("{job}{number}{at_ms}"), &[&format!("{job}.0.0.0")]);
        history.record(Millis(at_ms), &crash);
    }
}

#[test]
fn a_route_is_confined_by_a_second_convicted_task_while_workers_crash_under_it() {
    let mut history = CrashHistory::default();
    convict(&mut history, "a", 0);
    assert!(!history.is_confined("r", Millis(1)), "one job may be the only one");
    convict(&mut history, "b", 5_000);
    assert!(history.is_confined("r", Millis(5_000)));
    assert!(!history.is_confined("other", Millis(5_000)));
    history.record(Millis(9_000), &crash("w", &["c.0.0.0"]));
    let beside_other_route = crash("v", &["c.0.0.1", "x.0.0.0"]);
    history.record(Millis(9_500), &beside_other_route);
    assert!(history.is_confined("r", Millis(9_000 + CONFINEMENT_MS - 1)));
    assert!(!history.is_confined("r", Millis(9_000 + CONFINEMENT_MS)));
}

#[test]
fn a_late_report_about_a_known_crash_does_not_prolong_the_confinement() {
    let mut history = CrashHistory::default();
    convict(&mut history, "a", 0);
    convict(&mut history, "b", 0);
    history.record(Millis(6_000), &crash("a00", &["a.0.0.0"]));
    assert!(!history.is_confined("r", Millis(CONFINEMENT_MS)));
}

/// Guards against issue 29: runs that had ended before their worker crashed.
#[test]
fn crashes_count_fully_only_for_tasks_that_were_active() {
    let uncertain = |worker: &str| {
        let mut crash = crash(worker, &["a.0.0.0"]);
        crash.tasks[0].was_active = false;
        crash
    };
    let mut history = CrashHistory::default();
    history.record(Millis(0), &uncertain("1"));
    history.record(Millis(1), &crash("2", &["a.0.0.0"]));
    history.record(Millis(2), &uncertain("3"));
    assert_eq!(history.suspicion(&task("a.0.0.0")), Suspicion::Suspect);
    history.record(Millis(3), &crash("1", &["a.0.0.0"]));
    assert_eq!(history.suspicion(&task("a.0.0.0")), Suspicion::Convicted, "known later");
    let mut history = CrashHistory::default();
    for worker in ["1", "2", "3", "4"] {
        assert_ne!(history.suspicion(&task("a.0.0.0")), Suspicion::Convicted);
        history.record(Millis(0), &uncertain(worker));
    }
    assert_eq!(history.suspicion(&task("a.0.0.0")), Suspicion::Convicted);
}
