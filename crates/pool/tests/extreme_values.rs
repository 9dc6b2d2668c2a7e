//! Replies, jobs and messages with the largest values that their types hold. A panic would drop the
//! task that serves the cell.

mod support;

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{ActiveRun, End, EndedRun, PollReply, Report, StartReply};
use pool::catalogue::WorkerEntry;
use pool::job::{PreviousOwner, TaskName};
use pool::pool::{Action, Pool, Submission};
use pool::tokens::first_token;
use support::{entry, job, terms};

const T0: u64 = 1_000_000;

fn submission(id: &str, task_cores: u64, estimate_ms: u64, limit_ms: u64) -> Submission {
    Submission {
        spec: job(id, 2, task_cores, estimate_ms),
        terms: terms("r", 60, 2),
        age_ms: u64::MAX,
        limit_ms,
        previous_owner: PreviousOwner::None,
        may_wait: true,
        is_remote: false,
    }
}

fn set_worker(pool: &mut Pool) {
    let worker: (Rc<str>, WorkerEntry) = (Rc::from("0"), entry(0, 64));
    pool.set_workers(Millis(T0), std::iter::once((&worker.0, &worker.1)));
}

#[test]
fn a_worker_may_report_the_largest_numbers() {
    let mut pool = Pool::new(u64::MAX);
    set_worker(&mut pool);
    let task = TaskName::parse("0000000000000001.0.0.0");
    let report = PollReply::Report(Report {
        clock_ms: u64::MAX,
        started_at_ms: Some(u64::MAX),
        running: vec![ActiveRun { task: task.clone(), run: u32::MAX, percent: u32::MAX }],
        ended: vec![EndedRun { number: u64::MAX, task, run: u32::MAX, end: End::Failed }],
    });
    pool.poll_reply(Millis(T0 + 2), "0", Millis(T0), &report);
    pool.submit(Millis(T0 + 3), submission("0000000000000001", 27, 60, 1_500));
    for step in 0..40 {
        for action in pool.take_actions() {
            if let Action::Start(target, call) = action {
                let reply = StartReply::Started { clock_ms: u64::MAX };
                pool.start_reply(Millis(T0 + 4), &target.id, &call, reply);
            }
        }
        pool.advance(Millis(T0 + 5 + step * 100));
    }
    pool.renew_all_leases(Millis(T0 + 10_000));
}

#[test]
fn a_job_may_demand_and_declare_the_largest_numbers() {
    let mut pool = Pool::new(first_token(1));
    let cases = [
        (u64::MAX / 1_000, u64::MAX, u64::MAX),
        (u64::MAX / 1_000, 86_400_000, 1_500),
        (27, u64::MAX, u64::MAX),
        (0, 0, 0),
    ];
    for (number, (task_cores, estimate_ms, limit_ms)) in cases.into_iter().enumerate() {
        let id = format!("{number:016x}");
        pool.submit(Millis(T0), submission(&id, task_cores, estimate_ms, limit_ms));
        pool.backlog(Millis(T0));
    }
    set_worker(&mut pool);
    pool.advance(Millis(T0 + 2_000));
    pool.backlog(Millis(u64::MAX));
    pool.advance(Millis(u64::MAX));
}
