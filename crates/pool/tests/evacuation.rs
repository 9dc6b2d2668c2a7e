//! Tests of evacuated zones: the fold of the operators' records, and the starts that a pool allows.

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{ActiveRun, End, EndedRun, PollReply, Report, StartCall, StartReply};
use pool::catalogue::WorkerEntry;
use pool::evacuation::{Evacuations, Listing, PARTIAL_START_MS, STALL_HOLD_MS, ZoneRecord};
use pool::job::{JobSpec, Outcome, Placed, PreviousOwner, Progress, Reason, Step};
use pool::pool::{Action, Pool, Submission};
use pool::tokens::first_token;
use pool::worker::LEASE_BOUND_MS;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use support::{cores, entry, job, terms};

fn at(ms: u64) -> Millis {
    Millis(1_000_000 + ms)
}

fn record(zone: &str, offset: u64, is_evacuated: bool) -> ZoneRecord {
    ZoneRecord { zone: Rc::from(zone), offset, is_evacuated }
}

fn submission(spec: JobSpec) -> Submission {
    Submission {
        spec,
        terms: terms("r", 2_000, 2),
        age_ms: 0,
        limit_ms: 5_000,
        previous_owner: PreviousOwner::None,
        may_wait: true,
        is_remote: false,
    }
}

fn report(running: &[&StartCall], ended: &[&StartCall]) -> PollReply {
    let running = running.iter().map(|call| ActiveRun {
        task: Some(call.task.clone()),
        run: call.run,
        percent: 10,
    });
    let ended = ended.iter().zip(1..).map(|(call, number)| EndedRun {
        number,
        task: Some(call.task.clone()),
        run: call.run,
        end: End::Done,
    });
    PollReply::Report(Report {
        clock_ms: 5_000,
        started_at_ms: Some(1),
        running: running.collect(),
        ended: ended.collect(),
    })
}

/// A pool of one worker with 64 cores, on which two tasks of 27 cores fit.
fn pool() -> Pool {
    let mut pool = Pool::new(first_token(7));
    let entries: [(Rc<str>, WorkerEntry); 1] = [(Rc::from("0"), entry(0, 64))];
    pool.set_workers(at(0), entries.iter().map(|(id, entry)| (id, entry)));
    pool.poll_reply(at(0), "0", at(0), &report(&[], &[]));
    pool.take_actions();
    pool
}

fn starts(actions: &[Action]) -> Vec<StartCall> {
    let start = |action: &Action| match action {
        Action::Start(_, call) => Some(call.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn answers(actions: &[Action]) -> Vec<(u64, Outcome)> {
    let answer = |action: &Action| match action {
        Action::Answer(number, outcome) => Some((*number, outcome.clone())),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

fn stops(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Stop(..))).count()
}

fn is_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun { reason: Reason::Evacuated, retry_after_ms: 1.. })
}

/// Submits a job of `count` tasks and confirms the tasks that start.
fn start_job(pool: &mut Pool, id: &str, count: u32) -> (u64, Vec<StartCall>) {
    let number = pool.submit(at(10), submission(job(id, count, 27, 200)));
    let calls = starts(&pool.take_actions());
    for call in &calls {
        pool.start_reply(at(11), "0", call, StartReply::Started { clock_ms: 5_011 });
    }
    pool.take_actions();
    (number, calls)
}

// Guards against a late reply, a shorter listing or another daemon's old news that ends an
// evacuation, and against an evacuation that outlives its record.
#[test]
fn the_highest_offset_decides() {
    let mut known = Evacuations::new(["a", "b"]);
    assert!(known.apply("a", 5, true));
    assert!(!known.apply("a", 5, false), "the same offset again");
    assert!(!known.apply("a", 4, false), "an older offset");
    assert!(!known.apply("a", 6, true), "a newer record with the same content");
    assert!(!known.apply("elsewhere", 9, true), "a zone that is not in the settings");
    assert!(!known.is_evacuated("elsewhere"));

    let listing = |end_offset, records| Listing { end_offset, records, ..Listing::default() };
    assert!(known.apply_listing(&listing(6, Vec::new())).is_empty(), "a listing before offset 6");
    assert!(known.is_evacuated("a"));
    assert_eq!(known.apply_listing(&listing(7, Vec::new())), [record("a", 6, false)]);
    assert!(!known.apply("a", 6, true), "a late reply to a read from before the listing");

    let invalid = BTreeSet::from([Rc::from("b")]);
    assert!(known.apply("b", 8, true));
    let listed = Listing { end_offset: 20, records: Vec::new(), invalid };
    assert!(known.apply_listing(&listed).is_empty(), "an invalid record changes nothing");
    assert!(known.is_evacuated("b"));
    let exported: Vec<ZoneRecord> = known.iter().collect();
    assert_eq!(exported, [record("a", 19, false), record("b", 8, true)]);
}

// Guards against an order of reads, listings and news of other daemons after which a daemon holds on to
// an older state than one that it has seen.
#[test]
fn any_order_of_reads_and_listings_gives_the_newest_state_seen() {
    for seed in 0..2_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let history: Vec<bool> = (0..rng.random_range(1..12)).map(|_| rng.random()).collect();
        let mut known = Evacuations::new(["z"]);
        let mut newest = 0;
        for _ in 0..24 {
            let offset = rng.random_range(0..history.len());
            let state = record("z", offset as u64, history[offset]);
            if rng.random() {
                let end_offset = offset as u64 + 1;
                let records = Vec::from_iter(history[offset].then_some(state));
                known.apply_listing(&Listing { end_offset, records, ..Listing::default() });
            } else {
                known.apply("z", state.offset, state.is_evacuated);
            }
            newest = newest.max(offset);
            assert_eq!(known.is_evacuated("z"), history[newest], "seed {seed}: {history:?}");
        }
    }
}

// Guards against starts in an evacuated zone, jobs that wait there until they are late, and runs that
// are given up although their worker is still there.
#[test]
fn waiting_jobs_are_returned_and_running_ones_complete() {
    let mut pool = pool();
    let (running, calls) = start_job(&mut pool, "0000000000000001", 2);
    let (waiting, none) = start_job(&mut pool, "0000000000000002", 1);
    assert!(none.is_empty());
    pool.set_evacuated(at(20), true);
    let actions = pool.take_actions();
    let answered = answers(&actions);
    assert!(answered.len() == 1 && answered[0].0 == waiting && is_not_run(&answered[0].1));
    assert_eq!((starts(&actions).len(), stops(&actions)), (0, 0));
    let backlog = pool.backlog(at(20));
    assert_eq!((backlog.capacity_millicores, backlog.free_millicores), (0, 0));

    // A daemon that has not read the record yet forwards a job.
    let number = pool.submit(at(30), submission(job("0000000000000003", 1, 27, 200)));
    let answered = answers(&pool.take_actions());
    assert!(answered.len() == 1 && answered[0].0 == number && is_not_run(&answered[0].1));

    // The lease of the runs is renewed long after the time for partially started jobs.
    let mut renewals = 0;
    for ms in (100..2_000).step_by(100) {
        pool.advance(at(ms));
        for action in pool.take_actions() {
            if let Action::Poll(_, call) = action {
                renewals += usize::from(call.lease_until_ms.is_some());
                let calls: Vec<&StartCall> = calls.iter().collect();
                pool.poll_reply(at(ms), "0", at(ms), &report(&calls, &[]));
            }
        }
    }
    assert!(renewals > 10, "{renewals} renewals");
    pool.poll_reply(at(2_000), "0", at(2_000), &report(&[], &[&calls[0], &calls[1]]));
    assert_eq!(answers(&pool.take_actions()), [(running, Outcome::Completed)]);
}

// Guards against a job that is cut in two by the record, and against one that goes on starting tasks
// until the workers are gone.
#[test]
fn a_partially_started_job_may_start_its_tasks_for_a_limited_time() {
    let mut pool = pool();
    let (number, calls) = start_job(&mut pool, "0000000000000001", 5);
    assert_eq!(calls.len(), 2);
    pool.set_evacuated(at(20), true);
    assert!(answers(&pool.take_actions()).is_empty());
    assert_eq!(pool.next_due(at(20)).map(|due| due <= at(20 + PARTIAL_START_MS)), Some(true));

    pool.poll_reply(at(200), "0", at(200), &report(&[&calls[1]], &[&calls[0]]));
    assert_eq!(starts(&pool.take_actions()).len(), 1, "a freed slot is used at first");
    // A repeated request does not extend the time.
    pool.set_evacuated(at(400), true);
    pool.advance(at(20 + PARTIAL_START_MS));
    let actions = pool.take_actions();
    assert_eq!(answers(&actions), [(number, Outcome::Aborted(Reason::Evacuated))]);
    assert_eq!((starts(&actions).len(), stops(&actions)), (0, 2));
}

// Guards against a job that is called not run although the start of its task is on its way.
#[test]
fn an_emitted_start_counts_before_it_is_sent() {
    let mut pool = pool();
    pool.submit(at(10), submission(job("0000000000000001", 1, 27, 200)));
    pool.set_evacuated(at(10), true);
    let actions = pool.take_actions();
    assert_eq!((starts(&actions).len(), answers(&actions).len()), (1, 0));
}

// Guards against a second start in the zone when a worker is lost there, and against a caller that is
// left without an answer.
#[test]
fn a_task_of_a_lost_worker_is_not_started_again() {
    let mut pool = pool();
    let (number, _) = start_job(&mut pool, "0000000000000001", 1);
    pool.set_evacuated(at(20), true);
    let mut actions = Vec::new();
    for ms in (20..2_500).step_by(20) {
        pool.advance(at(ms));
        let taken = pool.take_actions();
        for action in &taken {
            if matches!(action, Action::Poll(..)) {
                pool.poll_reply(at(ms), "0", at(ms), &PollReply::Lost);
            }
        }
        actions.extend(taken);
    }
    assert!(starts(&actions).is_empty());
    assert_eq!(answers(&actions), [(number, Outcome::Aborted(Reason::Evacuated))]);
}

// Guards against a step that waits for the one before until the caller's time is over.
#[test]
fn a_job_whose_next_step_cannot_start_is_aborted() {
    let mut pool = pool();
    let step = Step { count: 1, task_resources: cores(27), estimate_ms: 900, ..Step::default() };
    let next = Step { after: vec![0], ..step.clone() };
    let spec = JobSpec { steps: vec![step, next], ..job("0000000000000001", 1, 27, 900) };
    let number = pool.submit(at(10), submission(spec));
    assert_eq!(starts(&pool.take_actions()).len(), 1);
    pool.set_evacuated(at(20), true);
    pool.advance(at(20 + PARTIAL_START_MS));
    let actions = pool.take_actions();
    assert_eq!(answers(&actions), [(number, Outcome::Aborted(Reason::Evacuated))]);
    assert_eq!(stops(&actions), 1);
}

// Guards against a new owner that forgets the evacuation: it starts the tasks of jobs that moved to it
// long after the record, or drops their runs.
#[test]
fn a_new_owner_continues_runs_and_starts_nothing() {
    for (placed, expected) in [(2, Outcome::Completed), (1, Outcome::Aborted(Reason::Evacuated))] {
        let mut pool = pool();
        pool.evacuate(at(10), at(10));
        let spec = job("0000000000000001", 2, 27, 200);
        let placed =
            (0..placed).map(|task_index| Placed { task_index, run: 1, worker: "0".into() });
        let progress = Progress { placed: placed.collect(), ..Progress::default() };
        let previous_owner = PreviousOwner::Reported(progress.clone());
        let number = pool.submit(at(20), Submission { previous_owner, ..submission(spec.clone()) });
        let calls = (0..2).map(|index| StartCall {
            task: pool::job::TaskName { job: Rc::clone(&spec.id), step: 0, index },
            run: 1,
            spec: Rc::clone(&spec.payload),
            lease_until_ms: 0,
            token: 6,
        });
        let calls: Vec<StartCall> = calls.take(progress.placed.len()).collect();
        pool.poll_reply(at(30), "0", at(30), &report(&calls.iter().collect::<Vec<_>>(), &[]));
        pool.poll_reply(at(60), "0", at(60), &report(&[], &calls.iter().collect::<Vec<_>>()));
        pool.advance(at(60 + LEASE_BOUND_MS));
        let actions = pool.take_actions();
        assert!(starts(&actions).is_empty());
        assert_eq!(answers(&actions), [(number, expected)]);
    }
}

// Guards against a zone that stays out of use after the withdrawal, or is filled at once.
#[test]
fn jobs_start_again_after_the_withdrawal() {
    let mut pool = pool();
    pool.set_evacuated(at(10), true);
    pool.set_evacuated(at(2_000), false);
    assert!(!pool.is_evacuated() && pool.backlog(at(2_000)).free_millicores == 64_000 / 4);
    pool.submit(at(2_010), submission(job("0000000000000001", 1, 27, 200)));
    assert_eq!(starts(&pool.take_actions()).len(), 1);
    pool.advance(at(3_500));
    assert_eq!(pool.backlog(at(3_500)).free_millicores, 64_000 - 27_000);
}

// Guards against starts by a daemon that was paused while operators evacuated the zone, and against a
// daemon that starts nothing ever after because the store is out of reach.
#[test]
fn a_paused_daemon_starts_nothing_until_it_has_read_the_records() {
    for is_confirmed in [true, false] {
        let mut pool = pool();
        pool.hold_starts(at(STALL_HOLD_MS));
        pool.submit(at(10), submission(job("0000000000000001", 1, 27, 200)));
        pool.advance(at(100));
        let actions = pool.take_actions();
        assert!(starts(&actions).is_empty() && answers(&actions).is_empty());
        if is_confirmed {
            pool.release_starts(at(110));
        } else {
            assert!(pool.next_due(at(110)).is_some_and(|due| due <= at(STALL_HOLD_MS)));
            pool.advance(at(STALL_HOLD_MS - 1));
            assert!(starts(&pool.take_actions()).is_empty());
            pool.advance(at(STALL_HOLD_MS));
        }
        assert_eq!(starts(&pool.take_actions()).len(), 1, "confirmed: {is_confirmed}");
    }
}
