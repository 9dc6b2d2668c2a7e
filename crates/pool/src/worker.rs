//! What the owner of a worker knows of it: its room, its lease and its runs.

use std::collections::HashMap;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::call::{End, Report, Target};
use crate::catalogue::{WorkerEntry, WorkerState};
use crate::job::TaskName;
use crate::resources::Resources;
use crate::run::{OrphanedRun, Run, RunState};

/// How far ahead a lease is renewed, in milliseconds. Every run of a daemon that died has ended
/// before a caller sends its request again (1,300 ms in the users' settings).
pub const LEASE_MS: u64 = 900;
/// The longest that a lease of [`LEASE_MS`] can last here: the worker's clock may be 2% slow.
pub const LEASE_BOUND_MS: u64 = LEASE_MS + LEASE_MS / 50 + 20;
/// How long before its end a lease is renewed, in milliseconds.
pub const RENEW_AHEAD_MS: u64 = 500;
/// How long a look may wait at the worker for an end, in milliseconds; under [`RENEW_AHEAD_MS`].
pub const LOOK_WAIT_MS: u64 = 300;
/// How long a look waits beyond the first end that is expected, in milliseconds. A look whose reply
/// is lost hides the ends at its worker for as long as it may wait.
const LOOK_WAIT_SLACK_MS: u64 = 50;
/// The shortest pause between two looks at a worker, so that one look brings several ends.
pub const LOOK_GAP_MS: u64 = 4;
/// The pause before an unanswered look is repeated, in milliseconds.
const LOOK_RETRY_MS: u64 = 150;
/// How long ends that need no look otherwise wait for their acknowledgement, in milliseconds.
const ACK_DELAY_MS: u64 = 1_500;
/// How long runs of an earlier owner are kept for the job's daemon to claim, in milliseconds. The
/// lease that such a run had left, this and a stop together end before a caller sends again.
pub const CLAIM_MS: u64 = 250;
/// The first span for which an unwell worker gets no work; it doubles up to the last.
const FIRST_PAUSE_MS: u64 = 300;
const LAST_PAUSE_MS: u64 = 5_000;
/// Failed runs in a row, of different jobs, after which a worker counts as unwell.
const FAILURES_IN_A_ROW: u32 = 3;
/// Weight of the newest run in a worker's pace.
const PACE_WEIGHT: f64 = 0.05;
/// Bounds of what one run says of a worker's pace, so that a bad estimate does little.
const PACE_RANGE: (f64, f64) = (0.3, 6.0);

/// What a report changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A run of a job ended.
    Ended {
        /// The job and the task's place in it.
        of: (u64, usize),
        /// How.
        end: End,
        /// How long it would have run on a worker of the usual pace, in milliseconds.
        usual_ms: f64,
    },
    /// A run should be stopped, once more or for the first time.
    Stop {
        /// The task.
        task: TaskName,
        /// The number of the start.
        run: u32,
    },
}

/// One worker, seen by its owner.
#[derive(Debug)]
pub struct Worker {
    /// What it publishes.
    pub entry: WorkerEntry,
    /// Whether its entry stands in the store now.
    pub listed: bool,
    /// Runs that this daemon ordered.
    pub runs: HashMap<TaskName, Run>,
    /// Runs and ends of an earlier owner.
    pub unclaimed: HashMap<TaskName, OrphanedRun>,
    /// The latest time, on this daemon's clock, until which any run can go on without a renewal.
    pub lease_bound: Millis,
    /// When the next look is due; none where there is nothing to look for.
    pub look_at: Option<Millis>,
    /// When the look in flight was sent.
    pub look_sent: Option<Millis>,
    /// How long its runs take against their estimates, as a logarithm.
    log_pace: f64,
    clock: Option<(u64, Millis)>,
    born_ms: Option<u64>,
    cursor: u64,
    acked: u64,
    acking: u64,
    used: Resources,
    paused_until: Millis,
    pause_ms: u64,
    failures: u32,
    last_failed_job: Option<u64>,
    unanswered: u32,
}

impl Worker {
    /// Builds a worker that has to be looked at before it gets work.
    pub fn new(entry: WorkerEntry, now: Millis) -> Self {
        let born_ms = entry.born_ms;
        Self {
            entry,
            listed: true,
            runs: HashMap::new(),
            unclaimed: HashMap::new(),
            lease_bound: now,
            look_at: Some(now),
            look_sent: None,
            log_pace: 0.0,
            clock: None,
            born_ms,
            cursor: 0,
            acked: 0,
            acking: 0,
            used: Resources::default(),
            paused_until: Millis(0),
            pause_ms: FIRST_PAUSE_MS,
            failures: 0,
            last_failed_job: None,
            unanswered: 0,
        }
    }

    /// Gives how long its runs take against their estimates.
    pub fn pace(&self) -> f64 {
        self.log_pace.exp()
    }

    /// Tells whether the worker was looked at since this daemon owns it.
    pub const fn is_known(&self) -> bool {
        self.clock.is_some()
    }

    /// Tells whether new tasks may be sent to the worker.
    pub fn takes_work(&self, now: Millis) -> bool {
        self.listed
            && self.is_known()
            && self.entry.state == WorkerState::Ready
            && self.unanswered == 0
            && now >= self.paused_until
            && !self.has_unclaimed_runs()
    }

    /// Tells whether runs of an earlier owner go on. A start would prolong their lease.
    fn has_unclaimed_runs(&self) -> bool {
        self.unclaimed.values().any(|held| held.end.is_none())
    }

    /// Tells whether the worker will take new tasks once it is known and rested.
    pub fn may_take_work(&self) -> bool {
        self.listed && self.entry.state == WorkerState::Ready
    }

    /// Gives what is free.
    pub const fn free(&self) -> Resources {
        self.entry.capacity.minus(self.used)
    }

    /// Counts the runs of a step of a job.
    pub fn runs_of_step(&self, job: &str, step: u32) -> u32 {
        self.runs.keys().filter(|name| &*name.job == job && name.step == step).count() as u32
    }

    /// Gives the worker's clock for a moment of this daemon's clock, rather too early.
    pub fn clock_at(&self, now: Millis) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        Some(clock_ms + now.since(at))
    }

    /// Gives the highest end that was seen.
    pub const fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Gives where calls go.
    pub fn target(&self, id: &Rc<str>) -> Target {
        Target { id: Rc::clone(id), addr: self.entry.addr }
    }

    /// Notes a run that is being started.
    pub fn place(&mut self, name: TaskName, run: Run) {
        self.used = self.used.plus(run.resources);
        self.lease_bound = self.lease_bound.max(run.sent_at.plus(LEASE_BOUND_MS));
        self.look_no_later_than(run.sent_at.plus(LEASE_MS - RENEW_AHEAD_MS));
        self.runs.insert(name, run);
    }

    /// Forgets a run and frees its room.
    pub fn remove(&mut self, name: &TaskName) -> Option<Run> {
        let run = self.runs.remove(name)?;
        self.used = self.used.minus(run.resources);
        Some(run)
    }

    /// Moves the next look forward.
    pub fn look_no_later_than(&mut self, at: Millis) {
        self.look_at = Some(self.look_at.map_or(at, |look_at| look_at.min(at)));
    }

    /// Notes that a look is sent; returns the lease's end on the worker's clock, where it is to be
    /// renewed. A worker that does not answer gets no renewal, so that its runs end at a time that
    /// is known here.
    pub fn look_begins(&mut self, now: Millis) -> Option<u64> {
        self.look_sent = Some(now);
        self.look_at = None;
        self.acking = self.cursor;
        let renews = !self.runs.is_empty() && self.unanswered == 0;
        let until_ms = self.clock_at(now)? + LEASE_MS;
        if renews {
            self.lease_bound = self.lease_bound.max(now.plus(LEASE_BOUND_MS));
        }
        renews.then_some(until_ms)
    }

    /// Gives how long a look may wait at the worker for an end, in milliseconds: a little longer than
    /// the first one should take.
    pub fn look_wait_ms(&self, now: Millis) -> u64 {
        let pace = self.pace();
        let first_end_ms = self.runs.values().map(|run| run.remaining_ms(pace, now)).min();
        first_end_ms.map_or(0, |left_ms| (left_ms + LOOK_WAIT_SLACK_MS).min(LOOK_WAIT_MS))
    }

    /// Notes that a look got no reply. Runs whose lease is surely over are given back.
    pub fn look_unanswered(&mut self, now: Millis) -> Vec<Change> {
        self.look_sent = None;
        self.unanswered += 1;
        self.look_at = Some(now.plus(LOOK_RETRY_MS * u64::from((self.unanswered - 1).min(8))));
        self.lapse(now)
    }

    /// Gives back the runs whose lease is surely over. Their room stays taken until a look shows
    /// that it is free.
    pub fn lapse(&mut self, now: Millis) -> Vec<Change> {
        if now < self.lease_bound {
            return Vec::new();
        }
        let lapsed = self.runs.values_mut().filter_map(|run| {
            let of = run.task_ref.take()?;
            Some(Change::Ended { of, end: End::Cut, usual_ms: 0.0 })
        });
        lapsed.collect()
    }

    /// Takes the worker's clock from any reply.
    pub fn note_clock(&mut self, clock_ms: u64, now: Millis) {
        self.unanswered = 0;
        self.clock = Some((clock_ms, now));
    }

    /// Stops sending work for a while; each time without a good run between doubles the span.
    pub fn pause(&mut self, now: Millis) {
        self.paused_until = now.plus(self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(LAST_PAUSE_MS);
    }

    /// Holds work back until the next look has shown what is free.
    pub fn distrust_room(&mut self, now: Millis) {
        self.paused_until = self.paused_until.max(now.plus(LOOK_GAP_MS));
        self.look_no_later_than(now);
    }

    /// Learns from an end. A job that can never be done fails everywhere, so that failures count
    /// against a worker only where different jobs fail in a row.
    pub fn learn(&mut self, job: u64, end: End, took_ms: u64, expected_ms: u64, now: Millis) {
        match end {
            End::Done => {
                self.failures = 0;
                self.pause_ms = FIRST_PAUSE_MS;
                let ratio = took_ms as f64 / expected_ms.max(1) as f64;
                let ratio = ratio.clamp(PACE_RANGE.0, PACE_RANGE.1);
                self.log_pace += PACE_WEIGHT * (ratio.ln() - self.log_pace);
            }
            End::Failed if self.last_failed_job != Some(job) => {
                self.last_failed_job = Some(job);
                self.failures += 1;
                if self.failures >= FAILURES_IN_A_ROW {
                    self.pause(now);
                }
            }
            End::Failed | End::Cut => {}
        }
    }

    /// Takes a report in. `sent_at` is when the look was sent: only runs that were confirmed
    /// before can be missed in it.
    pub fn take_report(&mut self, now: Millis, sent_at: Millis, report: &Report) -> Vec<Change> {
        self.look_sent = None;
        let reborn = report.born_ms.is_some() && report.born_ms != self.born_ms;
        if reborn && self.born_ms.is_some() {
            self.cursor = 0;
            self.acking = 0;
            self.unclaimed.clear();
        }
        self.born_ms = report.born_ms.or(self.born_ms);
        self.note_clock(report.clock_ms, now);
        self.acked = self.acking;
        let mut changes = self.take_ends(now, report);
        changes.extend(self.take_missing(sent_at, report));
        changes.extend(self.take_running(now, report));
        self.unclaimed.retain(|_, held| held.end.is_none() || now.since(held.seen_at) < CLAIM_MS);
        self.plan_look(now);
        changes
    }

    fn take_ends(&mut self, now: Millis, report: &Report) -> Vec<Change> {
        let mut changes = Vec::new();
        for ended in &report.ended {
            if ended.number <= self.cursor {
                continue;
            }
            self.cursor = ended.number;
            let Some(task) = &ended.task else { continue };
            if self.runs.get(task).is_some_and(|run| run.run == ended.run) {
                let Some(run) = self.remove(task) else { continue };
                let Some(of) = run.task_ref else { continue };
                let took_ms = now.since(run.sent_at);
                self.learn(of.0, ended.end, took_ms, run.expected_ms, now);
                let usual_ms = took_ms as f64 / self.pace();
                changes.push(Change::Ended { of, end: ended.end, usual_ms });
            } else {
                let held = OrphanedRun { run: ended.run, end: Some(ended.end), seen_at: now };
                let known = self.unclaimed.entry(task.clone()).or_insert(held);
                if known.run <= ended.run {
                    *known = held;
                }
            }
        }
        changes
    }

    /// Finds runs that the worker does not have, though it had them before the look was sent.
    fn take_missing(&mut self, sent_at: Millis, report: &Report) -> Vec<Change> {
        let listed =
            |name: &TaskName| report.running.iter().any(|row| row.task.as_ref() == Some(name));
        let missing = |(name, run): (&TaskName, &Run)| {
            let may_begin = matches!(run.state, RunState::Starting | RunState::InDoubt);
            let settled = !may_begin && run.since < sent_at;
            (settled && !listed(name)).then(|| name.clone())
        };
        let names: Vec<TaskName> = self.runs.iter().filter_map(missing).collect();
        let mut changes = Vec::new();
        for name in names {
            let Some(run) = self.remove(&name) else { continue };
            let Some(of) = run.task_ref else { continue };
            changes.push(Change::Ended { of, end: End::Cut, usual_ms: 0.0 });
        }
        changes
    }

    fn take_running(&mut self, now: Millis, report: &Report) -> Vec<Change> {
        let mut changes = Vec::new();
        for row in &report.running {
            let Some(task) = &row.task else { continue };
            if let Some(run) = self.runs.get_mut(task) {
                if run.run == row.run {
                    run.update_progress(row.percent, now);
                }
                if run.state == RunState::Starting && run.run == row.run {
                    run.state = RunState::Running;
                    run.since = now;
                }
                let ends = matches!(run.state, RunState::Stopping | RunState::InDoubt);
                if ends && now.since(run.since) > LOOK_RETRY_MS {
                    run.since = now;
                    changes.push(Change::Stop { task: task.clone(), run: run.run });
                }
                continue;
            }
            let fresh = OrphanedRun { run: row.run, end: None, seen_at: now };
            let held = self.unclaimed.entry(task.clone()).or_insert(fresh);
            if held.end.is_some() {
                *held = fresh;
            }
            if now.since(held.seen_at) >= CLAIM_MS {
                changes.push(Change::Stop { task: task.clone(), run: row.run });
            }
        }
        self.unclaimed.retain(|name, held| {
            held.end.is_some() || report.running.iter().any(|row| row.task.as_ref() == Some(name))
        });
        changes
    }

    fn first_unclaimed(&self) -> Option<Millis> {
        let running = self.unclaimed.values().filter(|held| held.end.is_none());
        running.map(|held| held.seen_at).min()
    }

    /// Plans the next look: soon where runs may end, late where only ends are to be acknowledged.
    fn plan_look(&mut self, now: Millis) {
        self.look_at = if !self.runs.is_empty() {
            Some(now.plus(LOOK_GAP_MS))
        } else if let Some(seen_at) = self.first_unclaimed() {
            Some(seen_at.plus(CLAIM_MS).max(now.plus(LOOK_GAP_MS)))
        } else if self.cursor > self.acked {
            Some(now.plus(ACK_DELAY_MS))
        } else {
            None
        };
    }

    /// Starts anew for another lifetime: everything that ran is gone.
    pub fn restart(&mut self, entry: WorkerEntry, now: Millis) -> Vec<Change> {
        let look_sent = self.look_sent;
        let runs = std::mem::take(&mut self.runs);
        *self = Self::new(entry, now);
        self.look_sent = look_sent;
        let gone = runs.into_values().filter_map(|run| {
            Some(Change::Ended { of: run.task_ref?, end: End::Cut, usual_ms: 0.0 })
        });
        gone.collect()
    }
}
