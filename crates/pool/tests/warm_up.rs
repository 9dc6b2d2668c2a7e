//! Replays the load on a cell whose owner does not know the workers yet, as after a takeover or a
//! restart of the whole fleet.

mod support;

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{PollReply, Report};
use pool::catalogue::WorkerEntry;
use pool::job::{Outcome, PreviousOwner, Reason};
use pool::pool::{Action, Pool, Submission};
use pool::tokens::first_token;
use support::{entry, job, terms};

const TASK_MS: u64 = 60;

fn submit(pool: &mut Pool, at_ms: u64, id: u64, may_wait: bool) -> u64 {
    let submission = Submission {
        spec: job(&format!("{id:016x}"), 1, 32, TASK_MS),
        terms: terms("r", 60, 2),
        age_ms: 0,
        limit_ms: 1_500,
        previous_owner: PreviousOwner::None,
        may_wait,
        is_remote: false,
    };
    pool.submit(Millis(at_ms), submission)
}

fn list_workers(pool: &mut Pool, at_ms: u64, workers: usize) {
    let entries: Vec<(Rc<str>, WorkerEntry)> =
        (0..workers).map(|number| (Rc::from(number.to_string()), entry(number, 64))).collect();
    pool.set_workers(Millis(at_ms), entries.iter().map(|(id, entry)| (id, entry)));
}

fn reply_to_poll(pool: &mut Pool, at_ms: u64, worker: usize) {
    let report =
        PollReply::Report(Report { clock_ms: 5_000, started_at_ms: Some(1), ..Report::default() });
    pool.poll_reply(Millis(at_ms), &worker.to_string(), Millis(at_ms - 2), &report);
}

/// Removes the pool's actions; returns the number of starts, and the outcomes.
fn drain(pool: &mut Pool) -> (usize, Vec<(u64, Outcome)>) {
    let (mut starts, mut outcomes) = (0, Vec::new());
    for action in pool.take_actions() {
        match action {
            Action::Start(..) => starts += 1,
            Action::Answer(number, outcome) => outcomes.push((number, outcome)),
            Action::Stop(..)
            | Action::Poll(..)
            | Action::ReportLoss(_)
            | Action::ReportReturn(_)
            | Action::ReportProcess(_)
            | Action::ReportOrphan(..)
            | Action::ReportInterruption(_)
            | Action::ReportRamp(_)
            | Action::ReportSlow(_)
            | Action::ReportContact(_)
            | Action::ReportDisplaced(_) => {}
        }
    }
    (starts, outcomes)
}

#[test]
fn jobs_that_arrive_before_the_workers_are_known_start_once_they_are() {
    let mut pool = Pool::new(first_token(7));
    for id in 0..4 {
        submit(&mut pool, 1_000 + id * 10, id, true);
    }
    assert_eq!(drain(&mut pool), (0, Vec::new()), "no job is refused while nothing is known");
    list_workers(&mut pool, 1_050, 2);
    submit(&mut pool, 1_051, 9, true);
    reply_to_poll(&mut pool, 1_054, 0);
    reply_to_poll(&mut pool, 1_055, 1);
    let (starts, outcomes) = drain(&mut pool);
    assert_eq!(starts, 4, "two workers run two tasks each");
    assert!(outcomes.is_empty(), "{outcomes:?}");
}

#[test]
fn a_job_that_may_not_wait_is_sent_on_at_once() {
    let mut pool = Pool::new(first_token(7));
    let number = submit(&mut pool, 1_000, 1, false);
    let busy = Outcome::NotRun { reason: Reason::Busy, retry_after_ms: 200 };
    assert_eq!(drain(&mut pool).1, [(number, busy)]);
}

#[test]
fn what_the_cell_cannot_serve_is_refused_when_the_workers_are_known() {
    let mut pool = Pool::new(first_token(7));
    let numbers: Vec<u64> = (0..30).map(|id| submit(&mut pool, 1_000, id, true)).collect();
    list_workers(&mut pool, 1_010, 1);
    assert!(drain(&mut pool).1.is_empty());
    reply_to_poll(&mut pool, 1_014, 0);
    let (starts, outcomes) = drain(&mut pool);
    assert_eq!(starts, 2);
    // Two tasks of 60 ms fit at a time and the objective is 156 ms, so a few jobs can wait.
    assert!((20..28).contains(&outcomes.len()), "{} of 28 were refused", outcomes.len());
    for (number, outcome) in outcomes {
        assert!(numbers.contains(&number));
        let is_refusal = matches!(outcome, Outcome::NotRun { reason: Reason::NewOwner, .. });
        assert!(is_refusal, "{outcome:?}");
    }
}

#[test]
fn a_cell_that_stays_without_workers_refuses_after_a_second() {
    let mut pool = Pool::new(first_token(7));
    let number = submit(&mut pool, 1_000, 1, true);
    pool.advance(Millis(1_200));
    assert!(drain(&mut pool).1.is_empty());
    // The objective of 156 ms can be exceeded threefold before an answer is of no use.
    pool.advance(Millis(1_500));
    let outcomes = drain(&mut pool).1;
    assert!(matches!(outcomes[..], [(answered, Outcome::NotRun { .. })] if answered == number));
    pool.advance(Millis(2_100));
    let number = submit(&mut pool, 2_110, 2, true);
    let no_worker = Outcome::NotRun { reason: Reason::NoWorker, retry_after_ms: 200 };
    assert_eq!(drain(&mut pool).1, [(number, no_worker)]);
}

#[test]
fn a_worker_that_does_not_reply_does_not_hold_up_the_others() {
    let mut pool = Pool::new(first_token(7));
    list_workers(&mut pool, 1_000, 2);
    reply_to_poll(&mut pool, 1_003, 0);
    for id in 0..8 {
        submit(&mut pool, 1_004, id, true);
    }
    assert_eq!(drain(&mut pool).0, 2, "a worker that has replied takes tasks during the warm-up");
    pool.poll_reply(Millis(1_100), "1", Millis(1_000), &PollReply::Lost);
    let refused = drain(&mut pool).1.len();
    assert!(refused > 0, "the warm-up has not ended");
}
