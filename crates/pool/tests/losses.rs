//! Tests of the reports about workers that are lost with active runs.

mod support;

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::bounds::STALL_MS;
use pool::call::{ActiveRun, PollReply, Refusal, Report, StartReply, StopReply};
use pool::catalogue::{WorkerEntry, WorkerState};
use pool::job::{PreviousOwner, TaskName};
use pool::loss::{LossCause, WorkerLife};
use pool::pool::{Action, Pool, Submission};
use pool::tokens::first_token;
use pool::worker::LEASE_BOUND_MS;
use support::{entry, job, terms};

const ID: &str = "0000000000000001";

fn report(started_at_ms: u64) -> PollReply {
    PollReply::Report(Report {
        clock_ms: 5_000,
        started_at_ms: Some(started_at_ms),
        ..Report::default()
    })
}

fn one_task() -> Submission {
    Submission {
        spec: job(ID, 1, 27, 200),
        terms: terms("r", 60, 2),
        age_ms: 0,
        limit_ms: 5_000,
        previous_owner: PreviousOwner::None,
        may_wait: true,
        is_remote: false,
    }
}

/// A pool of one worker in the given state that runs two tasks.
fn pool_with_runs(state: WorkerState) -> Pool {
    let mut pool = Pool::new(first_token(7));
    let id: Rc<str> = Rc::from("0");
    let ready = entry(0, 64);
    pool.set_workers(Millis(0), [(&id, &ready)].into_iter());
    pool.poll_reply(Millis(0), "0", Millis(0), &report(1));
    pool.submit(Millis(1), Submission { spec: job(ID, 2, 27, 200), ..one_task() });
    for action in pool.take_actions() {
        if let Action::Start(target, call) = action {
            let reply = StartReply::Started { clock_ms: 5_001 };
            pool.start_reply(Millis(2), &target.id, &call, reply);
        }
    }
    pool.set_workers(Millis(2), [(&id, &WorkerEntry { state, ..ready })].into_iter());
    pool.take_actions();
    pool
}

/// The losses that the pool reports, as cause, draining and number of runs.
fn losses(pool: &mut Pool) -> Vec<(LossCause, bool, usize)> {
    let loss = |action| match action {
        Action::ReportLoss(loss) => Some((loss.cause, loss.was_draining, loss.runs.len())),
        _ => None,
    };
    pool.take_actions().into_iter().filter_map(loss).collect()
}

#[test]
fn refused_connections_are_reported_once_and_before_the_lease_expires() {
    let mut pool = pool_with_runs(WorkerState::Ready);
    pool.poll_reply(Millis(20), "0", Millis(10), &PollReply::Lost);
    assert!(losses(&mut pool).is_empty(), "a lost reply alone proves nothing");
    for ms in [21, 200, 400, 2_000] {
        let refused = PollReply::Refused(Refusal::NotListening);
        pool.poll_reply(Millis(ms), "0", Millis(ms), &refused);
        let expected = if ms == 21 { vec![(LossCause::Refused, false, 2)] } else { Vec::new() };
        assert_eq!(losses(&mut pool), expected, "at {ms} ms");
    }
}

#[test]
fn a_silent_worker_is_reported_when_its_lease_has_expired_and_again_when_it_was_replaced() {
    let mut pool = pool_with_runs(WorkerState::Ready);
    for ms in (20..2_000).step_by(20) {
        pool.poll_reply(Millis(ms), "0", Millis(ms), &PollReply::Lost);
        let lost = losses(&mut pool);
        if lost.is_empty() {
            continue;
        }
        assert_eq!(lost, [(LossCause::Silent, false, 2)]);
        assert!(ms >= LEASE_BOUND_MS + STALL_MS, "at {ms} ms");
        pool.poll_reply(Millis(3_000), "0", Millis(2_990), &report(2));
        assert_eq!(losses(&mut pool), [(LossCause::Replaced, false, 2)]);
        return;
    }
    panic!("the loss was not reported");
}

/// Guards against issue 29: a worker that is cut off may crash long after its runs have ended.
#[test]
fn a_crash_that_shows_after_the_lease_has_expired_may_have_come_after_the_runs() {
    let active_runs = |was_silent: bool| {
        let mut seen = Vec::new();
        let mut pool = pool_with_runs(WorkerState::Ready);
        let silent_ms = if was_silent { 2 * LEASE_BOUND_MS } else { 0 };
        for ms in (20..20 + silent_ms).step_by(20) {
            pool.poll_reply(Millis(ms), "0", Millis(ms), &PollReply::Lost);
        }
        pool.take_actions();
        let at_ms = 20 + silent_ms;
        let refused = PollReply::Refused(Refusal::NotListening);
        for (reply, ms) in [(refused, at_ms), (report(2), at_ms + 20)] {
            pool.poll_reply(Millis(ms), "0", Millis(ms), &reply);
            for action in pool.take_actions() {
                if let Action::ReportLoss(loss) = action {
                    assert_eq!(loss.runs.len(), 2);
                    let active = loss.runs.iter().filter(|run| run.was_active).count();
                    seen.push((loss.cause, active));
                }
            }
        }
        seen
    };
    assert_eq!(active_runs(false), [(LossCause::Refused, 2), (LossCause::Replaced, 2)]);
    assert_eq!(active_runs(true), [(LossCause::Refused, 0), (LossCause::Replaced, 0)]);
}

#[test]
fn a_worker_that_replies_again_in_the_same_process_is_reported_as_returned() {
    let mut pool = pool_with_runs(WorkerState::Ready);
    let refused = PollReply::Refused(Refusal::NotListening);
    pool.poll_reply(Millis(20), "0", Millis(10), &refused);
    pool.take_actions();
    pool.poll_reply(Millis(200), "0", Millis(190), &report(1));
    let life = WorkerLife { worker: Rc::from("0"), started_at_ms: Some(1) };
    assert!(pool.take_actions().contains(&Action::ReportReturn(life)));
}

/// Guards against a run of a withdrawn job that is renewed at a worker that no stop reaches, so that it
/// runs on when the caller sends the job again.
#[test]
fn a_silent_worker_gets_no_renewal_at_a_handover() {
    let renewals = |is_silent: bool| {
        let mut pool = pool_with_runs(WorkerState::Ready);
        if is_silent {
            pool.poll_reply(Millis(20), "0", Millis(10), &PollReply::Lost);
        }
        pool.take_actions();
        pool.renew_all_leases(Millis(30));
        let is_renewal =
            |a: &Action| matches!(a, Action::Poll(_, call) if call.lease_until_ms.is_some());
        pool.take_actions().iter().filter(|action| is_renewal(action)).count()
    };
    assert_eq!([renewals(false), renewals(true)], [1, 0]);
}

/// Guards against issue 29: a task was blamed for a crash of a worker that had refused its start.
#[test]
fn a_start_that_is_still_to_be_answered_is_not_among_the_lost_runs() {
    for refusal in [Refusal::NotListening, Refusal::InstanceMismatch] {
        let mut pool = pool_with_runs(WorkerState::Ready);
        let grown = entry(0, 96);
        pool.set_workers(Millis(2), [(&Rc::from("0"), &grown)].into_iter());
        pool.submit(
            Millis(3),
            Submission { spec: job("0000000000000002", 1, 27, 200), ..one_task() },
        );
        let started = pool.take_actions();
        assert!(started.iter().any(|action| matches!(action, Action::Start(..))), "{started:?}");
        pool.poll_reply(Millis(20), "0", Millis(10), &PollReply::Refused(refusal));
        let runs: Vec<usize> = losses(&mut pool).into_iter().map(|(_, _, runs)| runs).collect();
        assert_eq!(runs, [2], "{refusal:?}");
    }
}

#[test]
fn the_report_tells_whether_the_worker_was_draining() {
    let mut pool = pool_with_runs(WorkerState::Draining);
    pool.poll_reply(Millis(20), "0", Millis(10), &PollReply::Refused(Refusal::InstanceMismatch));
    assert_eq!(losses(&mut pool), [(LossCause::Replaced, true, 2)]);
}

/// Two workers, one of which stops listening: its task has to start on the other one as soon as
/// its lease is over, although failed polls back off.
#[test]
fn tasks_of_a_lost_worker_restart_when_its_lease_expires_and_not_at_a_later_poll() {
    let mut pool = Pool::new(first_token(7));
    let ids: Vec<Rc<str>> = vec![Rc::from("0"), Rc::from("1")];
    let entries = [entry(0, 64), entry(1, 64)];
    pool.set_workers(Millis(0), ids.iter().zip(&entries));
    for id in &ids {
        pool.poll_reply(Millis(0), id, Millis(0), &report(1));
    }
    pool.take_actions();
    pool.submit(Millis(1), one_task());
    let mut lost = None;
    let mut last_renewal_ms = 0;
    for ms in 1..3_000 {
        // The daemon acts only when something is due.
        if pool.next_due(Millis(ms)).is_some_and(|due| due <= Millis(ms)) {
            pool.advance(Millis(ms));
        }
        for action in pool.take_actions() {
            match action {
                Action::Start(target, call) if lost.is_none() => {
                    lost = Some(Rc::clone(&target.id));
                    let reply = StartReply::Started { clock_ms: 5_000 + ms };
                    pool.start_reply(Millis(ms), &target.id, &call, reply);
                }
                Action::Start(target, _) => {
                    assert_ne!(Some(target.id), lost);
                    let expires_ms = last_renewal_ms + LEASE_BOUND_MS + STALL_MS;
                    assert!((expires_ms..=expires_ms + 5).contains(&ms), "{ms}, {expires_ms}");
                    return;
                }
                Action::Poll(target, call) if Some(&target.id) == lost.as_ref() => {
                    if call.lease_until_ms.is_some() {
                        last_renewal_ms = ms;
                    }
                    let refused = PollReply::Refused(Refusal::NotListening);
                    pool.poll_reply(Millis(ms), &target.id, Millis(ms), &refused);
                }
                _ => {}
            }
        }
    }
    panic!("the task was not restarted");
}

/// Guards against workers that are gone for good and keep counting as lost with their runs.
#[test]
fn a_lost_worker_is_forgotten_once_it_is_not_listed_and_its_lease_has_expired() {
    let mut pool = pool_with_runs(WorkerState::Ready);
    let refused = PollReply::Refused(Refusal::NotListening);
    pool.poll_reply(Millis(20), "0", Millis(10), &refused);
    pool.set_workers(Millis(30), std::iter::empty());
    assert_eq!(pool.workers().count(), 1, "its runs may still be active");
    pool.take_actions();
    let ended_ms = 30 + LEASE_BOUND_MS + STALL_MS;
    pool.set_workers(Millis(ended_ms), std::iter::empty());
    assert_eq!(pool.workers().count(), 0);
    let other: Rc<str> = Rc::from("1");
    pool.set_workers(Millis(ended_ms + 1), [(&other, &entry(1, 64))].into_iter());
    pool.poll_reply(Millis(ended_ms + 2), "1", Millis(ended_ms + 1), &report(1));
    let starts = pool.take_actions().into_iter().filter(|a| matches!(a, Action::Start(..)));
    assert_eq!(starts.count(), 2, "both tasks of the job start on the other worker");
}

/// Guards against resources that stay reserved for a run that never began: the worker crashes while
/// it starts the run, so that the start is not confirmed, and keeps its id.
#[test]
fn a_start_without_a_reply_is_fenced_although_the_run_is_not_listed() {
    let mut pool = Pool::new(first_token(7));
    let id: Rc<str> = Rc::from("0");
    let ready = entry(0, 64);
    pool.set_workers(Millis(0), [(&id, &ready)].into_iter());
    pool.poll_reply(Millis(0), "0", Millis(0), &report(1));
    pool.submit(Millis(1), one_task());
    let (mut start_token, mut stops, mut has_fenced) = (0, 0, false);
    for ms in 2..4_000 {
        pool.advance(Millis(ms));
        for action in pool.take_actions() {
            match action {
                Action::Start(_, call) if ms < 10 => {
                    start_token = call.token;
                    pool.start_reply(Millis(ms), "0", &call, StartReply::Lost);
                }
                Action::Stop(_, call) => {
                    stops += 1;
                    pool.stop_reply(Millis(ms), "0", &call, StopReply::Stopped);
                }
                Action::Poll(_, call) => {
                    has_fenced |= ms >= 1_000 && call.token > start_token;
                    let refused = PollReply::Refused(Refusal::NotListening);
                    let reply = if ms < 1_000 { refused } else { report(2) };
                    pool.poll_reply(Millis(ms), "0", Millis(ms - 1), &reply);
                }
                _ => {}
            }
        }
    }
    assert!(has_fenced, "the next process may still begin the run");
    assert!(stops < 5, "{stops} stops");
    let backlog = pool.backlog(Millis(4_000));
    let used = backlog.capacity_millicores - backlog.free_millicores;
    assert!(used <= 27_000, "{used} of {} are reserved", backlog.capacity_millicores);
    let runs: usize = pool.workers().map(|(_, worker)| worker.runs.len()).sum();
    assert!(runs <= 1, "{runs} runs are kept");
}

/// Guards against a run beside its successor: its worker was silent beyond its lease, stood still and
/// runs it on.
#[test]
fn a_run_that_shows_after_its_lease_was_taken_for_expired_is_stopped() {
    let mut pool = pool_with_runs(WorkerState::Ready);
    for ms in (20..=LEASE_BOUND_MS + STALL_MS + 20).step_by(20) {
        pool.poll_reply(Millis(ms), "0", Millis(ms), &PollReply::Lost);
    }
    let interrupted = pool.take_actions().into_iter();
    let interrupted = interrupted.filter(|a| matches!(a, Action::ReportInterruption(_))).count();
    assert_eq!(interrupted, 2, "both tasks may start again");
    let task = |index| TaskName { job: Rc::from(ID), step: 0, index };
    let active = |index| ActiveRun { task: Some(task(index)), run: 1, percent: 50 };
    let running = vec![active(0), active(1)];
    let report = Report { clock_ms: 6_400, started_at_ms: Some(1), running, ended: Vec::new() };
    pool.poll_reply(Millis(1_400), "0", Millis(1_390), &PollReply::Report(report));
    let stops = pool.take_actions().into_iter().filter(|a| matches!(a, Action::Stop(..)));
    assert_eq!(stops.count(), 2);
}

/// Guards against a task that starts again beside a run whose start overtook a poll: the poll was sent after
/// the job was cancelled, and carried out before the start.
#[test]
fn a_cancelled_run_is_not_absent_from_a_report_that_was_asked_for_before_its_start_was_confirmed() {
    let mut pool = Pool::new(first_token(7));
    let id: Rc<str> = Rc::from("0");
    pool.set_workers(Millis(0), std::iter::once((&id, &entry(0, 64))));
    pool.poll_reply(Millis(0), "0", Millis(0), &report(1));
    let number = pool.submit(Millis(1), one_task());
    let start = pool.take_actions().into_iter().find_map(|action| match action {
        Action::Start(_, call) => Some(call),
        _ => None,
    });
    pool.cancel(Millis(5), number);
    let started = StartReply::Started { clock_ms: 5_010 };
    pool.start_reply(Millis(10), "0", &start.unwrap(), started);
    pool.poll_reply(Millis(12), "0", Millis(6), &report(1));
    let runs: usize = pool.workers().map(|(_, worker)| worker.runs.len()).sum();
    assert_eq!(runs, 1, "the run may be active");
}
