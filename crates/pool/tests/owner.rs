//! What an owner does after each reply of a worker, and how it orders and refuses work.

mod support;

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{
    ActiveRun, End, EndedRun, PollCall, PollReply, Refusal, Report, StartReply, StopReply,
};
use pool::catalogue::{WorkerEntry, WorkerState};
use pool::job::{Earlier, JobSpec, Outcome, Placed, Progress, Reason, TaskName};
use pool::pool::{Action, MAX_GAP_MS, Pool, Submission};
use pool::worker::{ADOPTION_WINDOW_MS, LEASE_BOUND_MS, LEASE_MS};
use support::{entry, job, terms};

const T0: u64 = 1_000_000;

fn at(ms: u64) -> Millis {
    Millis(T0 + ms)
}

fn submission(spec: JobSpec, earlier: Earlier) -> Submission {
    let terms = terms("r", 300, 2);
    Submission {
        spec,
        terms,
        age_ms: 0,
        limit_ms: 3_000,
        earlier,
        may_wait: true,
        is_remote: false,
    }
}

fn report(running: &[(&str, u32)], ended: &[(u64, &str, u32, End)]) -> PollReply {
    let running = running.iter().map(|(task, run)| ActiveRun {
        task: TaskName::parse(task),
        run: *run,
        percent: 10,
    });
    let ended = ended.iter().map(|(number, task, run, end)| EndedRun {
        number: *number,
        task: TaskName::parse(task),
        run: *run,
        end: *end,
    });
    PollReply::Report(Report {
        clock_ms: 5_000,
        started_at_ms: Some(1),
        running: running.collect(),
        ended: ended.collect(),
    })
}

/// A pool of so many workers of 64 cores that were looked at.
fn pool(workers: usize) -> Pool {
    let mut pool = Pool::new(7);
    set_workers(&mut pool, workers, WorkerState::Ready);
    pool.take_actions();
    for number in 0..workers {
        pool.poll_reply(at(0), &number.to_string(), at(0), &report(&[], &[]));
    }
    pool.take_actions();
    pool
}

fn set_workers(pool: &mut Pool, workers: usize, state: WorkerState) {
    let entries: Vec<(Rc<str>, WorkerEntry)> = (0..workers)
        .map(|number| (Rc::from(number.to_string()), WorkerEntry { state, ..entry(number, 64) }))
        .collect();
    pool.set_workers(at(0), entries.iter().map(|(id, entry)| (id, entry)));
}

fn starts(actions: &[Action]) -> Vec<(String, String, u32)> {
    let start = |action: &Action| match action {
        Action::Start(target, call) => {
            Some((target.id.to_string(), call.task.to_string(), call.run))
        }
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn answers(actions: &[Action]) -> Vec<Outcome> {
    let answer = |action: &Action| match action {
        Action::Answer(_, outcome) => Some(outcome.clone()),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

/// Starts a job of one task on a pool and gives the start.
fn begin(pool: &mut Pool, id: &str) -> (String, pool::call::StartCall) {
    pool.submit(at(10), submission(job(id, 1, 27, 200), Earlier::Nothing));
    let actions = pool.take_actions();
    let start = actions.into_iter().find_map(|action| match action {
        Action::Start(target, call) => Some((target.id.to_string(), call)),
        _ => None,
    });
    start.expect("a free worker gets the task")
}

#[test]
fn a_start_carries_fence_lease_and_the_callers_text() {
    let mut pool = pool(1);
    let (_, call) = begin(&mut pool, "0000000000000001");
    assert_eq!(call.token, 7);
    assert_eq!(call.run, 1);
    assert_eq!(&*call.spec, "work");
    assert_eq!(call.lease_until_ms, 5_000 + 10 + LEASE_MS);
}

#[test]
fn each_refusal_of_a_start_leads_to_its_own_next_step() {
    // Refusal, whether the task is started again at once, its number, and on the other worker.
    let cases = [
        (Refusal::OldRun, Some((18, false))),
        (Refusal::NoCapacity, Some((2, true))),
        (Refusal::LeaseExpired, Some((2, true))),
        (Refusal::Unhealthy, Some((2, true))),
        (Refusal::NotSent, Some((2, true))),
        (Refusal::InstanceMismatch, Some((2, false))),
        (Refusal::Unreadable, Some((2, false))),
        (Refusal::Fenced, None),
    ];
    for (refusal, expected) in cases {
        let mut pool = pool(2);
        let (id, call) = begin(&mut pool, "0000000000000001");
        pool.start_reply(at(12), &id, &call, StartReply::Refused(refusal));
        let actions = pool.take_actions();
        let started = starts(&actions);
        let seen = started.first().map(|(worker, _, run)| (*run, *worker != id));
        assert_eq!(seen, expected, "{refusal:?}");
        if refusal == Refusal::Fenced {
            assert!(pool.is_fenced());
            let moved = answers(&actions);
            let placed = Placed { at: 0, run: 1, worker: Rc::from(id.as_str()) };
            let progress = Progress { done: Vec::new(), placed: vec![placed] };
            assert_eq!(moved, [Outcome::Moved(progress)]);
        }
    }
}

#[test]
fn a_start_without_a_reply_is_barred_before_the_task_starts_elsewhere() {
    let mut pool = pool(2);
    let (id, call) = begin(&mut pool, "0000000000000001");
    pool.start_reply(at(260), &id, &call, StartReply::Lost);
    let actions = pool.take_actions();
    assert!(starts(&actions).is_empty());
    let stop = actions.iter().find_map(|action| match action {
        Action::Stop(_, call) => Some(call.clone()),
        _ => None,
    });
    let stop = stop.expect("the start is barred");
    // A report that was asked for before the stop was confirmed proves nothing.
    pool.poll_reply(at(262), &id, at(261), &report(&[], &[]));
    assert!(starts(&pool.take_actions()).is_empty());
    pool.stop_reply(at(263), &id, &stop, StopReply::Stopped);
    pool.poll_reply(at(300), &id, at(299), &report(&[], &[]));
    assert_eq!(starts(&pool.take_actions()).len(), 1);
}

/// Gives the look among actions, where there is one.
fn look(actions: &[Action]) -> Option<PollCall> {
    actions.iter().find_map(|action| match action {
        Action::Look(_, call) => Some(*call),
        _ => None,
    })
}

/// Load pattern: one order in twenty gets no reply. A look that waits long for its reply hides the
/// ends at its worker, and jobs of many short tasks wait for the last of them.
#[test]
fn a_look_waits_only_a_little_longer_than_the_first_end_should_take() {
    // The run's declared time and how far it is, in percent, when it is looked at after 80 ms; the
    // least and the longest wait of the next look.
    let cases = [(200, 40, 120, 200), (200, 80, 20, 100), (900, 10, 300, 300)];
    for (declared_ms, percent, least_ms, longest_ms) in cases {
        let mut pool = pool(1);
        let spec = job("0000000000000001", 1, 27, declared_ms);
        pool.submit(at(0), submission(spec, Earlier::Nothing));
        let actions = pool.take_actions();
        let Some(Action::Start(target, call)) = actions.first().cloned() else {
            panic!("the task starts, not {actions:?}");
        };
        pool.start_reply(at(1), &target.id, &call, StartReply::Started { clock_ms: 5_001 });
        let task = Some(call.task.clone());
        let running = vec![ActiveRun { task, run: 1, percent }];
        let seen = Report { clock_ms: 5_080, started_at_ms: Some(1), running, ended: Vec::new() };
        pool.poll_reply(at(80), &target.id, at(79), &PollReply::Report(seen));
        pool.advance(at(90));
        let wait_ms = look(&pool.take_actions()).expect("a look is due").wait_ms;
        assert!((least_ms..=longest_ms).contains(&wait_ms), "{declared_ms} ms: {wait_ms}");
    }
}

#[test]
fn a_look_without_a_reply_is_repeated_at_once_and_then_less_often() {
    let mut pool = pool(1);
    let (id, call) = begin(&mut pool, "0000000000000001");
    pool.start_reply(at(11), &id, &call, StartReply::Started { clock_ms: 5_011 });
    pool.advance(at(200));
    assert!(look(&pool.take_actions()).is_some());
    pool.poll_reply(at(400), &id, at(200), &PollReply::Lost);
    assert!(look(&pool.take_actions()).is_some(), "one lost reply says little of a worker");
    pool.poll_reply(at(600), &id, at(400), &PollReply::Lost);
    assert!(look(&pool.take_actions()).is_none(), "two in a row do");
    pool.advance(at(800));
    assert!(look(&pool.take_actions()).is_some());
}

#[test]
fn runs_of_a_silent_worker_start_elsewhere_once_their_lease_is_over() {
    let mut pool = pool(2);
    let (id, call) = begin(&mut pool, "0000000000000001");
    pool.start_reply(at(11), &id, &call, StartReply::Started { clock_ms: 5_011 });
    let mut restarted_at = None;
    for ms in (20..3_000).step_by(10) {
        pool.advance(at(ms));
        for action in pool.take_actions() {
            match action {
                Action::Look(target, _) if *target.id == *id => {
                    pool.poll_reply(at(ms), &id, at(ms), &PollReply::Lost);
                }
                Action::Look(target, _) => {
                    pool.poll_reply(at(ms), &target.id, at(ms), &report(&[], &[]));
                }
                Action::Start(target, _) => {
                    assert_ne!(*target.id, *id);
                    restarted_at.get_or_insert(ms);
                }
                Action::Stop(..) | Action::Answer(..) => {}
            }
        }
    }
    let restarted_at = restarted_at.expect("the task starts elsewhere");
    // The first look renews the lease before it is known to be lost.
    assert!(restarted_at >= LEASE_BOUND_MS, "{restarted_at}");
    assert!(restarted_at <= 2 * LEASE_BOUND_MS + 100, "{restarted_at}");
}

#[test]
fn a_new_owner_claims_runs_and_ends_of_the_earlier_one() {
    let name = "0000000000000001.0.0.";
    let [first, second, third] = [0, 1, 2].map(|at| format!("{name}{at}"));
    let mut pool = Pool::new(9);
    set_workers(&mut pool, 2, WorkerState::Ready);
    pool.take_actions();
    let ends = [(1, second.as_str(), 1, End::Done)];
    pool.poll_reply(at(0), "0", at(0), &report(&[(&first, 3)], &ends));
    let placed = |at, worker: &str| Placed { at, run: 3, worker: Rc::from(worker) };
    let earlier = Progress { done: Vec::new(), placed: vec![placed(0, "0"), placed(2, "1")] };
    let spec = job("0000000000000001", 3, 27, 200);
    pool.submit(at(5), submission(spec, Earlier::Known(earlier)));
    assert!(starts(&pool.take_actions()).is_empty(), "the third task may run on the other worker");
    pool.poll_reply(at(9), "1", at(8), &report(&[], &[(4, &third, 3, End::Interrupted)]));
    let started = starts(&pool.take_actions());
    assert_eq!(
        started.iter().map(|(_, task, run)| (task.clone(), *run)).collect::<Vec<_>>(),
        [(third, 4)]
    );
}

#[test]
fn a_run_that_nobody_claims_is_stopped_and_not_renewed() {
    let task = "0000000000000001.0.0.0";
    let mut pool = Pool::new(9);
    set_workers(&mut pool, 1, WorkerState::Ready);
    pool.take_actions();
    pool.poll_reply(at(0), "0", at(0), &report(&[(task, 1)], &[]));
    pool.submit(at(1), submission(job("0000000000000002", 1, 27, 200), Earlier::Nothing));
    assert!(starts(&pool.take_actions()).is_empty(), "a start would prolong the other's lease");
    pool.advance(at(ADOPTION_WINDOW_MS));
    let looks: Vec<_> = pool.take_actions();
    assert!(
        looks
            .iter()
            .any(|action| matches!(action, Action::Look(_, call) if call.lease_until_ms.is_none()))
    );
    pool.poll_reply(
        at(ADOPTION_WINDOW_MS + 1),
        "0",
        at(ADOPTION_WINDOW_MS),
        &report(&[(task, 1)], &[]),
    );
    assert!(pool.take_actions().iter().any(|action| matches!(action, Action::Stop(..))));
}

#[test]
fn an_owner_that_stood_still_drops_the_jobs_of_other_daemons_only() {
    for is_remote in [true, false] {
        let mut pool = pool(1);
        let spec = job("0000000000000001", 3, 27, 400);
        let submission = Submission { is_remote, ..submission(spec, Earlier::Nothing) };
        pool.submit(at(10), submission);
        pool.take_actions();
        pool.advance(at(10 + MAX_GAP_MS));
        let given_up = answers(&pool.take_actions());
        assert_eq!(given_up.len(), usize::from(is_remote));
    }
}

#[test]
fn a_reborn_worker_gives_its_tasks_back_at_once() {
    let mut pool = pool(1);
    let (id, call) = begin(&mut pool, "0000000000000001");
    pool.start_reply(at(11), &id, &call, StartReply::Started { clock_ms: 5_011 });
    pool.take_actions();
    let mut reborn = entry(0, 64);
    reborn.started_at_ms = Some(2);
    let id: Rc<str> = Rc::from("0");
    pool.set_workers(at(50), [(&id, &reborn)].into_iter());
    let mut fresh = report(&[], &[]);
    if let PollReply::Report(fresh) = &mut fresh {
        fresh.started_at_ms = Some(2);
    }
    pool.poll_reply(at(60), "0", at(55), &fresh);
    assert_eq!(starts(&pool.take_actions()).len(), 1);
}

#[test]
fn tasks_are_packed_so_that_large_ones_still_find_a_whole_worker() {
    let mut pool = pool(2);
    pool.submit(at(10), submission(job("0000000000000001", 2, 30, 200), Earlier::Nothing));
    pool.submit(at(10), submission(job("0000000000000002", 1, 60, 200), Earlier::Nothing));
    let started = starts(&pool.take_actions());
    assert_eq!(started.len(), 3, "{started:?}");
}

#[test]
fn what_cannot_be_begun_in_time_is_refused_at_once_and_started_work_goes_first() {
    let mut pool = pool(1);
    for number in 0..40_u64 {
        let spec = job(&format!("{number:016x}"), 2, 27, 400);
        pool.submit(at(10), submission(spec, Earlier::Nothing));
    }
    let actions = pool.take_actions();
    assert_eq!(starts(&actions).len(), 2, "two tasks fit");
    let refused = answers(&actions);
    assert!(refused.len() >= 36, "only {} of 40 were refused at once", refused.len());
    for outcome in refused {
        let Outcome::NotRun { reason, retry_after_ms } = outcome else {
            panic!("{outcome:?} says that something was run");
        };
        assert_eq!(reason, Reason::Overload);
        assert!((200..=5_000).contains(&retry_after_ms));
    }
}

#[test]
fn a_job_that_is_not_to_wait_begins_whole_or_is_sent_on_at_once() {
    // Load: a burst in one zone while others have room; 2 workers hold four tasks of 27 cores.
    for (running, count, begins) in [(0, 4, true), (1, 4, false), (1, 3, true), (0, 5, false)] {
        let mut pool = pool(2);
        if running > 0 {
            begin(&mut pool, "0000000000000001");
        }
        let spec = job("0000000000000002", count, 27, 200);
        let submission = Submission { may_wait: false, ..submission(spec, Earlier::Nothing) };
        pool.submit(at(20), submission);
        let actions = pool.take_actions();
        let started = starts(&actions).len();
        assert_eq!(started, if begins { count as usize } else { 0 }, "{count} beside {running}");
        let refused = answers(&actions);
        let is_busy = matches!(refused[..], [Outcome::NotRun { reason: Reason::Busy, .. }]);
        assert_eq!(is_busy, !begins, "{count} beside {running}");
    }
}

#[test]
fn a_long_estimate_refuses_nothing_that_free_workers_could_do() {
    // The declared time is over the caller's, as it is for one long job in ten, and off by half.
    let mut pool = pool(2);
    let spec = job("0000000000000001", 2, 27, 5_000);
    let submission = Submission { age_ms: 3, ..submission(spec, Earlier::Nothing) };
    pool.submit(at(10), submission);
    let actions = pool.take_actions();
    assert_eq!(starts(&actions).len(), 2);
    assert!(answers(&actions).is_empty());
}

#[test]
fn a_job_wider_than_an_idle_cell_runs_in_rounds() {
    let mut pool = pool(1);
    pool.submit(at(10), submission(job("0000000000000001", 4, 27, 200), Earlier::Nothing));
    let actions = pool.take_actions();
    assert_eq!(starts(&actions).len(), 2);
    assert!(answers(&actions).is_empty(), "the other two follow in time");
}

#[test]
fn draining_workers_and_jobs_that_fit_nowhere_get_nothing() {
    let mut draining = pool(1);
    set_workers(&mut draining, 1, WorkerState::Draining);
    let mut small = pool(1);
    for (pool, cores) in [(&mut draining, 27), (&mut small, 65)] {
        pool.submit(at(10), submission(job("0000000000000001", 1, cores, 200), Earlier::Nothing));
        let actions = pool.take_actions();
        assert!(starts(&actions).is_empty());
        let refused = answers(&actions);
        assert!(matches!(refused[..], [Outcome::NotRun { reason: Reason::NoWorker, .. }]));
    }
}
