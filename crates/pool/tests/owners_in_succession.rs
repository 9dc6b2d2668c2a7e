//! Guards against a task that runs twice because an owner of its cell, or a call of an owner, knows less
//! than the one before. See `docs/design/on-the-platform.md`.

mod support;

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::bounds::{LEASE_BOUND_MS, MAX_LEASE_BOUND_MS, RESEND_MS};
use pool::call::{End, PollReply, Refusal, StartCall, StartReply};
use pool::job::{Outcome, PreviousOwner, Progress};
use pool::pool::{Action, Pool, Submission};
use pool::tokens::first_token;
use standins::pool_worker::{PoolWorker, Work};
use support::fleet::{Fleet, TASK_CORES};
use support::{cores, entry, job, terms};

const TASK_MS: u64 = 6_000;
const ID: &str = "0000000000000001";

fn submission(previous_owner: PreviousOwner) -> Submission {
    Submission {
        spec: job(ID, 1, TASK_CORES, TASK_MS),
        terms: terms("r", 60, 2),
        age_ms: 0,
        limit_ms: 9_000,
        previous_owner,
        may_wait: true,
        is_remote: false,
    }
}

/// Submits the job again, to the present owner.
fn submit(fleet: &mut Fleet, previous_owner: PreviousOwner) -> u64 {
    fleet.task_ms.insert(ID.into(), TASK_MS);
    let number = fleet.pool.submit(Millis(fleet.now_ms), submission(previous_owner));
    fleet.perform();
    number
}

/// Has the owner give up the cell, and returns what it reports of the job.
fn relinquish(fleet: &mut Fleet, number: u64) -> Progress {
    fleet.pool.relinquish();
    fleet.perform();
    match fleet.outcomes.remove(&number) {
        Some(Outcome::Moved(progress)) => progress,
        other => panic!("the job was not moved: {other:?}"),
    }
}

fn runs(fleet: &mut Fleet) -> usize {
    let now_ms = fleet.now_ms;
    fleet.workers.iter_mut().for_each(|worker| worker.advance_to(now_ms));
    fleet.active().iter().sum()
}

/// Lets time pass, and requires that the task has one run at most.
fn require_one_run(fleet: &mut Fleet, span_ms: u64, case: &str) {
    for _ in 0..span_ms {
        fleet.run_for(1);
        let runs = runs(fleet);
        assert!(runs <= 1, "{case}: {runs} runs at {}", fleet.now_ms);
    }
}

/// A fleet of two workers whose owner has decided on a start that is not written yet, with the number of
/// the submission, the worker and the start.
fn decided_start() -> (Fleet, u64, usize, StartCall) {
    let mut fleet = Fleet::with_slow_clocks(2, 20);
    fleet.task_ms.insert(ID.into(), TASK_MS);
    let number = fleet.pool.submit(Millis(fleet.now_ms), submission(PreviousOwner::None));
    let start = fleet.pool.take_actions().into_iter().find_map(|action| match action {
        Action::Start(target, call) => Some((target.id.parse().unwrap(), call)),
        _ => None,
    });
    let (worker, call) = start.expect("a start");
    (fleet, number, worker, call)
}

fn write(fleet: &mut Fleet, worker: usize, call: &StartCall) -> StartReply {
    let work = Work { resources: cores(TASK_CORES), duration_ms: TASK_MS, end: End::Done };
    fleet.workers[worker].start(fleet.now_ms, call, work).0
}

#[test]
fn a_start_that_is_written_after_its_owner_has_lost_the_cell_runs_beside_no_other() {
    let mut accepted = 0;
    for late_ms in (0..1_600).step_by(50) {
        for is_reached in [false, true] {
            let case = format!("written after {late_ms} ms, next owner reaches it: {is_reached}");
            let (mut fleet, number, worker, call) = decided_start();
            let decided_ms = fleet.now_ms;
            let progress = relinquish(&mut fleet, number);
            if !is_reached {
                fleet.down_until_ms[worker] = u64::MAX;
            }
            fleet.pool = Pool::new(first_token(2));
            fleet.publish();
            submit(&mut fleet, PreviousOwner::Reported(progress));
            require_one_run(&mut fleet, late_ms, &case);
            let reply = write(&mut fleet, worker, &call);
            let is_refused = matches!(reply, StartReply::Refused(_));
            assert!(is_refused || !is_reached && late_ms < LEASE_BOUND_MS, "{case}: {reply:?}");
            accepted += usize::from(!is_refused);
            require_one_run(&mut fleet, 2_000, &case);
            assert!(fleet.now_ms - decided_ms > MAX_LEASE_BOUND_MS && runs(&mut fleet) == 1);
        }
    }
    assert!(accepted > 10, "only {accepted} late starts were carried out");
}

/// The owner stands still between the decision and the write, or its caller leaves there.
#[test]
fn a_start_that_is_written_late_ends_with_its_lease_or_its_stop() {
    for late_ms in (0..1_600).step_by(50) {
        for stops_lost_ms in [0, 60, 5_000] {
            let case = format!("written after {late_ms} ms, stops lost for {stops_lost_ms} ms");
            let (mut fleet, number, worker, call) = decided_start();
            let decided_ms = fleet.now_ms;
            fleet.stops_lost_until_ms = decided_ms + stops_lost_ms;
            fleet.pool.cancel(Millis(decided_ms), number);
            fleet.perform();
            fleet.run_for(late_ms);
            let reply = write(&mut fleet, worker, &call);
            let is_refused = matches!(reply, StartReply::Refused(_));
            assert!(is_refused || stops_lost_ms > 0, "{case}: {reply:?}");
            fleet.run_for((decided_ms + LEASE_BOUND_MS).saturating_sub(fleet.now_ms));
            assert_eq!(runs(&mut fleet), 0, "{case}");
            assert!(fleet.now_ms < decided_ms + RESEND_MS || is_refused, "{case}: {reply:?}");
        }
    }
}

/// Guards against a next owner that counts with a previous one that handed its cell over, although the
/// reported runs are those of an earlier owner that stopped responding.
#[test]
fn a_handover_shortens_no_wait_for_the_runs_of_an_owner_that_stopped_responding() {
    for age_ms in (60..460).step_by(10) {
        let mut old = Fleet::with_slow_clocks(1, 20);
        let number = old.submit_remote(TASK_MS);
        // The next owners reach the other one of their two workers only.
        let mut next = Fleet::with_slow_clocks(2, 20);
        next.down_until_ms[0] = u64::MAX;
        next.replace_owner(Pool::new(first_token(2)));
        old.run_for(age_ms);
        next.run_for(old.now_ms - next.now_ms);
        old.in_contact.remove(&number);
        let moved = submit(&mut next, PreviousOwner::Unresponsive);
        let progress = relinquish(&mut next, moved);
        next.replace_owner(Pool::new(first_token(3)));
        submit(&mut next, PreviousOwner::Reported(progress));
        old.run_for(next.now_ms - old.now_ms);
        while runs(&mut next) == 0 {
            next.run_for(1);
            old.run_for(1);
        }
        assert_eq!(runs(&mut old), 0, "cut after {age_ms} ms: two runs at {}", old.now_ms);
    }
}

/// Guards against a handover that does not report an earlier run of a task whose stop the worker has not
/// confirmed.
#[test]
fn a_handover_names_the_run_that_a_waiting_task_waits_for() {
    for age_ms in [10, 300] {
        let case = format!("handed over after {age_ms} ms");
        let mut fleet = Fleet::with_slow_clocks(2, 20);
        let number = submit(&mut fleet, PreviousOwner::None);
        fleet.run_for(50);
        let worker = fleet.active().iter().position(|active| *active > 0).expect("a run");
        fleet.stops_lost_until_ms = u64::MAX;
        fleet.pool.cancel(Millis(fleet.now_ms), number);
        // A job that was handed over before does not leave the queue.
        let number = submit(&mut fleet, PreviousOwner::Reported(Progress::default()));
        require_one_run(&mut fleet, age_ms, &case);
        let progress = relinquish(&mut fleet, number);
        fleet.down_until_ms[worker] = u64::MAX;
        fleet.replace_owner(Pool::new(first_token(2)));
        submit(&mut fleet, PreviousOwner::Reported(progress));
        require_one_run(&mut fleet, 2_000, &case);
        assert_eq!(runs(&mut fleet), 1, "{case}: not started again");
    }
}

/// Guards against an owner that loses its cell, or starts a task again beside its run, because a worker
/// refuses its earlier calls once it has seen the token that the owner continues under.
#[test]
fn calls_under_the_token_before_do_not_end_an_ownership_and_start_nothing_twice() {
    for polled_first in [false, true] {
        for reply_is_lost in [false, true] {
            let case = format!("polled first: {polled_first}, reply lost: {reply_is_lost}");
            let now = Millis(10_000);
            let listed = (Rc::from("0"), entry(0, 16));
            let mut pool = Pool::new(first_token(1));
            let mut worker = PoolWorker::new(listed.1.capacity, 0, 20);
            pool.set_workers(now, std::iter::once((&listed.0, &listed.1)));
            pool.take_actions();
            pool.poll_reply(now, "0", now, &worker.report(now.0));
            pool.submit(now, submission(PreviousOwner::None));
            let (mut starts, mut at) = (0, now);
            let mut held = pool.take_actions();
            pool.raise_token(first_token(2));
            if polled_first {
                // Reverses the order of the calls on the way to the worker.
                at = at.plus(30);
                pool.advance(at);
                held.splice(0..0, pool.take_actions());
            }
            for _ in 0..1_500 {
                at = at.plus(1);
                for action in std::mem::take(&mut held) {
                    match action {
                        Action::Start(target, call) => {
                            let work = Work {
                                resources: cores(TASK_CORES),
                                duration_ms: TASK_MS,
                                end: End::Done,
                            };
                            let (reply, has_started) = worker.start(at.0, &call, work);
                            starts += usize::from(has_started);
                            let is_lost = reply_is_lost && call.token < first_token(2);
                            let reply = if is_lost { StartReply::Lost } else { reply };
                            pool.start_reply(at, &target.id, &call, reply);
                        }
                        Action::Poll(target, call) => {
                            let refused = worker.begin_poll(at.0, &call);
                            let reply = refused.unwrap_or_else(|| worker.report(at.0));
                            let is_fenced = reply == PollReply::Refused(Refusal::Fenced);
                            assert!(!is_fenced || call.token < first_token(2), "{case}");
                            pool.poll_reply(at, &target.id, at, &reply);
                        }
                        Action::Stop(target, call) => {
                            let reply = worker.stop(at.0, &call);
                            pool.stop_reply(at, &target.id, &call, reply);
                        }
                        _ => {}
                    }
                }
                pool.advance(at);
                held.extend(pool.take_actions());
            }
            assert!(!pool.is_fenced(), "{case}: the cell is lost");
            assert_eq!((starts, worker.active.len()), (1, 1), "{case}");
        }
    }
}
