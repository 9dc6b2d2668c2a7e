//! Guards against runs that are started or renewed for a caller that has gone, because their owner
//! learns of it late. All stops are lost. See `docs/incidents/2026-12-05-late-departures.md`.

mod support;

use dispatch::clock::Millis;
use pool::bounds::{CONTACT_MS, LEASE_BOUND_MS, LINK_TIMEOUT_MS, RESEND_MS, STALL_MS, TRANSIT_MS};
use pool::job::{Outcome, PreviousOwner};
use pool::pool::Pool;
use pool::tokens::first_token;
use support::fleet::{Fleet, TASK_CORES};
use support::job;

const TASK_MS: u64 = 6_000;

/// How an owner learns that the caller of a run has gone.
#[derive(Clone, Copy, Debug)]
struct Departure {
    is_remote: bool,
    /// Time that the owner stands still from the departure on, in milliseconds.
    stall_ms: u64,
    /// Time from the departure to its detection, in milliseconds.
    noticed_ms: u64,
}

impl Departure {
    /// Lets a caller go whose run is `age_ms` old; returns whether the run goes on when it resends.
    fn leaves_run(self, age_ms: u64) -> bool {
        let mut fleet = Fleet::with_slow_clocks(1, 20);
        let number = if self.is_remote {
            fleet.submit_remote(TASK_MS)
        } else {
            fleet.submit_as(1, TASK_MS, 60, true)
        };
        fleet.run_for(age_ms);
        assert_eq!(fleet.active(), [1]);
        let gone_ms = fleet.now_ms;
        fleet.in_contact.remove(&number);
        fleet.stops_lost_until_ms = u64::MAX;
        if self.stall_ms > 0 {
            fleet.stall(self.stall_ms);
            // An echo that was on its way, or waited to be read, when the caller went.
            fleet.pool.record_contact(number, Millis(gone_ms));
            fleet.pool.advance(Millis(fleet.now_ms));
            fleet.perform();
        }
        fleet.run_for(gone_ms + self.noticed_ms - fleet.now_ms);
        fleet.pool.cancel(Millis(fleet.now_ms), number);
        fleet.perform();
        fleet.run_for(gone_ms + RESEND_MS - 1 - fleet.now_ms);
        fleet.workers[0].advance_to(fleet.now_ms);
        fleet.active()[0] > 0
    }
}

#[test]
fn a_run_ends_before_its_caller_resends_however_late_its_owner_learns_of_the_departure() {
    let silent_link = Departure { is_remote: true, stall_ms: 0, noticed_ms: LINK_TIMEOUT_MS - 1 };
    let stalled = |is_remote, stall_ms, later_ms| Departure {
        is_remote,
        stall_ms,
        noticed_ms: stall_ms + later_ms,
    };
    let of_peers = (50..=340).step_by(29).map(|stall_ms| stalled(true, stall_ms, 100));
    let of_callers = (50..=930).step_by(40).map(|stall_ms| stalled(false, stall_ms, 0));
    let mut left = Vec::new();
    for departure in [silent_link].into_iter().chain(of_peers).chain(of_callers) {
        let ages_ms = (10..500).step_by(20).filter(|age_ms| departure.leaves_run(*age_ms));
        left.extend(ages_ms.min().map(|age_ms| format!("{departure:?} at {age_ms} ms")));
    }
    assert!(left.is_empty(), "{} kinds of departure leave a run: {left:#?}", left.len());
}

/// Guards against a request that waited to be read while its caller went.
#[test]
fn a_job_that_a_stalled_owner_reads_late_starts_once_its_submitter_is_known_to_wait() {
    for is_remote in [true, false] {
        let mut fleet = Fleet::new(1);
        fleet.run_for(10);
        fleet.stall(CONTACT_MS);
        let number =
            if is_remote { fleet.submit_remote(60) } else { fleet.submit_as(1, 60, 60, true) };
        assert_eq!(fleet.starts, 0, "remote: {is_remote}");
        fleet.run_for(100);
        assert_eq!(fleet.outcomes.get(&number), Some(&Outcome::Completed), "remote: {is_remote}");
    }
}

/// Guards against a short silence of one submitter that costs runs their lease, its own and those of
/// others on the worker.
#[test]
fn runs_survive_a_short_silence_of_their_submitters() {
    for silent_ms in [CONTACT_MS - 1, CONTACT_MS + 100, LINK_TIMEOUT_MS] {
        for age_ms in (10..500).step_by(35) {
            let mut fleet = Fleet::with_slow_clocks(1, 20);
            let silent = fleet.submit_remote(TASK_MS);
            fleet.submit_remote(TASK_MS);
            fleet.run_for(age_ms);
            fleet.in_contact.remove(&silent);
            fleet.run_for(silent_ms);
            fleet.in_contact.insert(silent);
            fleet.run_for(2_000);
            fleet.workers[0].advance_to(fleet.now_ms);
            assert_eq!(fleet.active(), [2], "silent for {silent_ms} ms after {age_ms} ms");
            assert_eq!(fleet.starts, 2);
        }
    }
}

/// Guards against a job that is held up by a submission whose daemon has gone while another one waits.
#[test]
fn one_submitter_in_contact_is_enough() {
    let mut fleet = Fleet::new(1);
    let first = fleet.submit_remote(TASK_MS);
    let spec = job(&format!("{:016x}", 1), 1, TASK_CORES, TASK_MS);
    fleet.submit_for_peer(spec, PreviousOwner::None);
    fleet.in_contact.remove(&first);
    fleet.run_for(3_000);
    fleet.workers[0].advance_to(fleet.now_ms);
    assert_eq!((fleet.active(), fleet.starts), (vec![1], 1));
}

/// Returns a fleet of one worker with the runs of two jobs, whose owner has handed the cell over, and what
/// the jobs report of it.
fn handed_over() -> (Fleet, [PreviousOwner; 2]) {
    let mut fleet = Fleet::with_slow_clocks(1, 20);
    let numbers = [(); 2].map(|()| fleet.submit_as(1, 20_000, 60, true));
    fleet.run_for(50);
    fleet.pool.renew_all_leases(Millis(fleet.now_ms));
    fleet.perform();
    fleet.pool.relinquish();
    fleet.perform();
    let progress = numbers.map(|number| match fleet.outcomes.remove(&number) {
        Some(Outcome::Moved(progress)) => PreviousOwner::Reported(progress),
        outcome => panic!("not moved: {outcome:?}"),
    });
    let mut pool = Pool::new(first_token(2));
    pool.record_io(Millis(fleet.now_ms));
    fleet.replace_owner(pool);
    (fleet, progress)
}

/// Guards against adopted runs that are renewed although no submitter has given a sign of life to their
/// owner, and against workers whose runs are not renewed any more after all of them have.
#[test]
fn adopted_runs_are_renewed_from_the_first_sign_of_life_on() {
    for signs in [0, 1, 2] {
        let (mut fleet, [first, second]) = handed_over();
        let spec = |number: u64| job(&format!("{number:016x}"), 1, TASK_CORES, 60);
        let numbers =
            [fleet.submit_for_peer(spec(1), first), fleet.submit_for_peer(spec(2), second)];
        fleet.in_contact.clear();
        fleet.pool.record_contact(numbers[0], Millis(fleet.now_ms - CONTACT_MS));
        for number in numbers.into_iter().take(signs) {
            fleet.run_for(3);
            fleet.in_contact.insert(number);
        }
        fleet.run_for(RESEND_MS);
        fleet.workers[0].advance_to(fleet.now_ms);
        // Without the other job's sign of life, the first one's task runs again after its lease.
        assert_eq!(fleet.active(), [signs], "{signs} of two jobs with a sign of life");
    }
}

/// Guards against a run that goes on by the lease of its neighbours: that lease was renewed just before the
/// run started, for a submitter that was silent already, and no lease is ever shortened.
#[test]
fn a_run_ends_in_time_by_a_lease_that_was_granted_before_it_started() {
    let (mut worst_ms, mut late_runs) = (0, 0);
    for phase_ms in (300..660).step_by(20) {
        for short_ms in (60..200).step_by(20) {
            let mut fleet = Fleet::with_slow_clocks(1, 20);
            fleet.submit_remote(TASK_MS);
            fleet.run_for(phase_ms);
            fleet.submit_remote(short_ms);
            fleet.run_for(2);
            let late = fleet.submit_remote(TASK_MS);
            fleet.run_for(5);
            fleet.in_contact.remove(&late);
            let (contact_ms, mut ended_ms) = (fleet.now_ms, 0);
            for _ in 0..RESEND_MS {
                fleet.run_for(1);
                let worker = &mut fleet.workers[0];
                worker.advance_to(fleet.now_ms);
                if worker.active.keys().any(|task| task.job.ends_with('3')) {
                    ended_ms = fleet.now_ms - contact_ms;
                }
            }
            late_runs += usize::from(ended_ms > 0);
            worst_ms = worst_ms.max(ended_ms);
        }
    }
    assert!(late_runs > 3, "only {late_runs} runs started after the last sign of life");
    assert!(worst_ms <= CONTACT_MS + LEASE_BOUND_MS, "a run ends {worst_ms} ms after it");
    assert!(TRANSIT_MS + worst_ms + STALL_MS < RESEND_MS, "a run ends {worst_ms} ms after it");
}
