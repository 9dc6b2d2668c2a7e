//! Schedules jobs on the workers of one cell, on behalf of the daemon that owns the cell.
//!
//! A cell is a shard of a zone's workers that one daemon owns at a time. Every call to a worker
//! carries the fencing token of that ownership, and each new owner gets a higher token. A worker
//! that refuses a call as fenced has seen a later owner; the pool then stops and returns its jobs
//! to their submitters as [`Outcome::Moved`]. See `docs/design/on-the-platform.md`.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::admission::Admission;
use crate::adoption::in_doubt_ms;
use crate::call::{PollCall, StartCall, StopCall, Target};
use crate::catalogue::{Terms, WorkerEntry};
use crate::cold::ColdSlowdown;
use crate::contact::ContactChange;
use crate::crashes::CrashHistory;
use crate::estimate::Estimates;
use crate::evacuation::StartLimits;
use crate::job::{
    Job, JobSpec, Outcome, Placed, PreviousOwner, Progress, Reason, Step, TaskName, TaskState,
};
use crate::loss::{ProcessChange, WorkerLife, WorkerLoss};
use crate::placement::{self, Conditions, TaskRequirements};
use crate::quarantine::{Quarantine, is_given_up};
use crate::queue;
use crate::ramp::{Departed, Ramp, RampEvent};
use crate::round_trip::RoundTrip;
use crate::run::{Interruption, Run, RunState, Timing};
use crate::shedding::{Displacement, RouteDemand};
use crate::speed::{Speed, WorkerSpeed};
use crate::tokens::handover_tokens;
use crate::warm_up::WarmUp;
use crate::worker::{RunUpdate, Worker};

/// Time without traffic after which both daemons treat the link between them as broken, in
/// milliseconds. About a third of the time that callers usually wait.
pub const LINK_TIMEOUT_MS: u64 = 450;
/// Longest pause between two calls of [`Pool::advance`] after which a daemon keeps the jobs that
/// other daemons submitted to it, in milliseconds. Must be below [`LINK_TIMEOUT_MS`].
/// The daemon's event loop runs at least every 100 ms.
pub const MAX_STALL_MS: u64 = 350;
/// I/O that the daemon has to perform for the pool.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start.
    Start(Target, StartCall),
    /// Send a stop.
    Stop(Target, StopCall),
    /// Poll a worker.
    Poll(Target, PollCall),
    /// Return a job's outcome to its submitter. The number is the one that [`Pool::submit`]
    /// returned.
    Answer(u64, Outcome),
    /// Record that a worker was lost with active runs.
    ReportLoss(WorkerLoss),
    /// Record that a worker that was reported as lost has replied again in the same process.
    ReportReturn(WorkerLife),
    /// Record that another process of a worker showed.
    ReportProcess(ProcessChange),
    /// Record that a worker, named by its id, has an active run that this owner does not know.
    ReportOrphan(Rc<str>, TaskName, u32),
    /// Record that a run ended without a result, so that its task may start again.
    ReportInterruption(Interruption),
    /// Record that load begins to return gradually to workers that were gone, or has returned.
    ReportRamp(RampEvent),
    /// Record that straggling runs in succession have shown that a worker is slow.
    ReportSlow(WorkerSpeed),
    /// Record that starts and renewals are withheld for lack of contact with submitters, or go on.
    ReportContact(ContactChange),
    /// Record that a waiting job was displaced. Its outcome follows as [`Self::Answer`].
    ReportDisplaced(Displacement),
}

/// A job as it is submitted to the owner of a cell.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Id, payload and steps of the job, as the caller sent them.
    pub spec: JobSpec,
    /// Service level of the job's route: latency objective, priority and attempts per task.
    pub terms: Terms,
    /// Time since the caller's request arrived, in milliseconds.
    pub age_ms: u64,
    /// Total time that the caller waits, counted from the arrival of its request, in milliseconds.
    pub limit_ms: u64,
    /// Progress of the job under the previous owner of the cell.
    pub previous_owner: PreviousOwner,
    /// Whether the job may queue for free resources. If not, it is refused unless all tasks that
    /// are ready can start at once.
    pub may_wait: bool,
    /// Whether another daemon submitted the job. That daemon abandons this one when the link
    /// between them is silent for [`LINK_TIMEOUT_MS`].
    pub is_remote: bool,
}

/// Scheduler state for the jobs and workers of one cell.
#[derive(Debug)]
pub struct Pool {
    token: u64,
    // Highest fencing token of any call to a worker.
    pub(crate) last_token: u64,
    fenced: bool,
    pub(crate) workers: BTreeMap<Rc<str>, Worker>,
    pub(crate) jobs: HashMap<u64, Job>,
    // Maps submission numbers to job numbers. A job has the number of its first submission.
    pub(crate) watchers: HashMap<u64, u64>,
    pub(crate) by_id: HashMap<Rc<str>, u64>,
    // Numbers of the submissions that came from other daemons.
    pub(crate) remote_submissions: HashSet<u64>,
    // When all I/O of this daemon was last known to be processed; `None` if that is not recorded.
    pub(crate) io_at: Option<Millis>,
    // Since when starts or renewals are withheld for lack of contact with submitters.
    pub(crate) contact_lost_at: Option<Millis>,
    last_advance_at: Option<Millis>,
    pub(crate) estimates: Estimates,
    pub(crate) round_trip: RoundTrip,
    pub(crate) warm_up: WarmUp,
    pub(crate) start_limits: StartLimits,
    pub(crate) crashes: CrashHistory,
    pub(crate) cold: ColdSlowdown,
    pub(crate) ramp: Option<Ramp>,
    // Workers that were dropped from the list lately.
    pub(crate) departed: BTreeMap<Rc<str>, Departed>,
    // Speeds that the previous owner learned, of workers that are not listed yet.
    pub(crate) expected_speeds: HashMap<Rc<str>, Speed>,
    pub(crate) demand: RouteDemand,
    pub(crate) queue_checked_at: Option<Millis>,
    // Whether `set_workers` has been called.
    pub(crate) has_worker_list: bool,
    pub(crate) actions: Vec<Action>,
    last_number: u64,
}

impl Pool {
    /// Creates the pool for a cell that this daemon has just acquired under a fencing token.
    pub fn new(token: u64) -> Self {
        Self {
            token,
            last_token: token,
            fenced: false,
            workers: BTreeMap::new(),
            jobs: HashMap::new(),
            watchers: HashMap::new(),
            by_id: HashMap::new(),
            remote_submissions: HashSet::new(),
            io_at: None,
            contact_lost_at: None,
            last_advance_at: None,
            estimates: Estimates::default(),
            round_trip: RoundTrip::default(),
            warm_up: WarmUp::NotBegun,
            start_limits: StartLimits::default(),
            crashes: CrashHistory::default(),
            cold: ColdSlowdown::default(),
            ramp: None,
            departed: BTreeMap::new(),
            expected_speeds: HashMap::new(),
            demand: RouteDemand::default(),
            queue_checked_at: None,
            has_worker_list: false,
            actions: Vec::new(),
            last_number: 1,
        }
    }

    /// Sets the crashes that this daemon knows, of this and other cells.
    #[must_use]
    pub fn with_crashes(mut self, crashes: CrashHistory) -> Self {
        self.crashes = crashes;
        self
    }

    /// Returns the fencing token of this ownership.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Continues under a higher fencing token. Orders that were sent under the previous one may be
    /// refused as fenced from now on, which does not end this ownership.
    pub fn raise_token(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            self.last_token = self.last_token.max(token);
            for worker in self.workers.values_mut() {
                worker.token = self.last_token;
            }
        }
    }

    /// Returns the fencing tokens for the next owners in the same step, in ascending order: higher than
    /// those of all calls of this ownership, so that workers refuse the ones that are still on their
    /// way. Empty if the step has no tokens left.
    pub fn handover_tokens(&self) -> impl Iterator<Item = u64> + use<> {
        handover_tokens(self.token)
    }

    /// Returns whether this pool has stopped, because a worker reported a later owner or the cell
    /// was given up.
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Iterates over the workers and their runs, for a dump of the state.
    pub fn workers(&self) -> impl Iterator<Item = (&Rc<str>, &Worker)> {
        self.workers.iter()
    }

    /// Returns the number of jobs of which no task has been sent to a worker.
    pub fn pending_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.started).count()
    }

    /// Returns whether any actions wait to be taken.
    pub const fn has_actions(&self) -> bool {
        !self.actions.is_empty()
    }

    /// Removes and returns the actions that the daemon has to perform.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Replaces the list of the cell's workers. A worker that is no longer listed is kept until
    /// its last run has ended, or has certainly ended because the worker is lost.
    pub fn set_workers<'a>(
        &mut self,
        now: Millis,
        entries: impl Iterator<Item = (&'a Rc<str>, &'a WorkerEntry)>,
    ) {
        self.has_worker_list = true;
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        let mut changes = Vec::new();
        for (id, entry) in entries {
            match self.workers.get_mut(id) {
                None => {
                    let mut worker =
                        Worker::new(Rc::clone(id), entry.clone(), self.last_token, now);
                    let departed = self.departed.get(id);
                    if departed
                        .is_some_and(|departed| departed.started_at_ms != entry.started_at_ms)
                    {
                        worker.presence.record_replacement();
                    }
                    if let Some(speed) = self.expected_speeds.remove(id) {
                        worker.set_speed(speed);
                    }
                    self.workers.insert(Rc::clone(id), worker);
                }
                Some(worker) => changes.extend(worker.update_entry(entry, now)),
            }
        }
        self.expire_leases(now);
        self.update_departed(now);
        self.workers.retain(|_, worker| worker.listed || worker.may_have_active_runs(now));
        self.apply(now, changes, None);
        self.record_usable_workers(now);
        self.advance(now);
    }

    /// Submits a job and returns its submission number, under which [`Action::Answer`] later
    /// delivers the outcome. A job whose id is already known is not run again; the submission
    /// gets the outcome of the existing job.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> u64 {
        let number = self.next_number();
        if self.fenced {
            let outcome = Outcome::Moved(Progress::default());
            self.actions.push(Action::Answer(number, outcome));
            return number;
        }
        let Submission { spec, terms, age_ms, limit_ms, previous_owner, may_wait, is_remote } =
            submission;
        if self.crashes.convicts_job(&spec.id) {
            let outcome = Outcome::Failed(Reason::CrashesWorkers);
            self.actions.push(Action::Answer(number, outcome));
            return number;
        }
        if is_remote {
            self.remote_submissions.insert(number);
        }
        let contact_at = self.contact_of_new_submission(now, is_remote);
        if let Some(known) = self.by_id.get(&spec.id) {
            self.watchers.insert(number, *known);
            self.record_contact(number, contact_at);
            return number;
        }
        let mut job = Job::new(spec, terms, now, age_ms, limit_ms);
        job.contact_at = contact_at;
        let longest_ms =
            |step: &Step| self.estimates.longest_ms(&job.terms.route, step.estimate_ms, step.count);
        job.expected_ms = job.spec.critical_path_ms(longest_ms);
        let route = &job.terms.route;
        let task_ms = |step: &Step| self.estimates.task_ms(route, step.estimate_ms) as u64;
        job.task_ms = job.spec.steps.iter().map(task_ms).collect();
        job.apply_previous_progress(&previous_owner, now, in_doubt_ms(&previous_owner));
        self.mark_suspects(&mut job);
        self.adopt_runs(number, &mut job);
        job.had_earlier_run = self.may_have_unwanted_run(&job.spec.id, now);
        let (route, work) = (&job.terms.route, job.total_work());
        match self.admission(&job, may_wait, now) {
            Admission::Refused(outcome) => {
                // A job that may not wait is offered elsewhere, or again here.
                if may_wait {
                    self.demand.record(route, work, false, now);
                }
                self.actions.push(Action::Answer(number, outcome));
                return number;
            }
            Admission::Admitted(victims) => {
                self.displace(&victims, Some(&job.spec.id), now);
                self.demand.record(route, work, true, now);
            }
        }
        self.by_id.insert(Rc::clone(&job.spec.id), number);
        self.watchers.insert(number, number);
        self.jobs.insert(number, job);
        self.finish_if_done(number);
        self.fail_if_exhausted(now, number);
        self.advance(now);
        number
    }

    /// Withdraws a submission. The job is dropped and its runs are stopped once no other
    /// submission waits for it.
    pub fn cancel(&mut self, now: Millis, number: u64) {
        self.remote_submissions.remove(&number);
        let Some(job) = self.watchers.remove(&number) else { return };
        if self.watchers.values().any(|watched_job| *watched_job == job) {
            return;
        }
        self.drop_job(now, job);
        self.advance(now);
    }

    /// Withdraws a queued job so that it can be submitted to another cell. Returns whether the job was
    /// withdrawn; its submitter then gets the outcome [`Reason::Withdrawn`]. A job of which any task
    /// may have been sent to a worker, by this or a previous owner or for an earlier submission, stays,
    /// and so does one that another submission waits for.
    pub fn withdraw(&mut self, now: Millis, number: u64) -> bool {
        let Some(job_number) = self.watchers.get(&number).copied() else { return false };
        let is_movable = |job: &Job| !job.started && !self.awaits_earlier_run(job, now);
        let is_queued = self.jobs.get(&job_number).is_some_and(is_movable);
        let watchers = self.watchers.values().filter(|watched_job| **watched_job == job_number);
        if !is_queued || watchers.count() > 1 {
            return false;
        }
        let retry_after_ms = queue::retry_after_ms(self.backlog(now).wait_ms());
        self.answer(job_number, Outcome::NotRun { reason: Reason::Withdrawn, retry_after_ms });
        self.drop_job(now, job_number);
        self.advance(now);
        true
    }

    /// Processes everything that is due at `now`: placements, time-outs, refusals and polls.
    pub fn advance(&mut self, now: Millis) {
        if self.fenced {
            return;
        }
        self.drop_remote_jobs_after_stall(now);
        self.expire_leases(now);
        self.repeat_stops(now);
        self.resolve_in_doubt(now);
        self.abort_evacuated_jobs(now);
        self.update_contact(now);
        self.update_warm_up(now);
        self.update_ramp(now);
        self.place_queued_jobs(now);
        self.shed_late_jobs(now);
        self.end_expired_jobs(now);
        self.send_polls(now);
    }

    /// Drops the jobs that other daemons submitted when this daemon stalled for at least
    /// [`MAX_STALL_MS`]. Their submitters have treated the link as broken by then and may have
    /// started the jobs elsewhere.
    fn drop_remote_jobs_after_stall(&mut self, now: Millis) {
        let stall_ms = self.last_advance_at.map_or(0, |at| now.since(at));
        self.last_advance_at = Some(now);
        if stall_ms < MAX_STALL_MS {
            return;
        }
        let mut remote_submissions: Vec<u64> = self.remote_submissions.drain().collect();
        remote_submissions.sort_unstable();
        for number in remote_submissions {
            let Some(job) = self.watchers.remove(&number) else { continue };
            self.actions.push(Action::Answer(number, Outcome::Aborted(Reason::NoOwner)));
            if !self.watchers.values().any(|watched_job| *watched_job == job) {
                self.drop_job(now, job);
            }
        }
    }

    /// Ends the runs of silent workers whose lease has expired, so that their tasks start elsewhere
    /// without waiting for the next poll.
    fn expire_leases(&mut self, now: Millis) {
        let silent = self.workers.values_mut().filter(|worker| worker.next_expiry().is_some());
        let changes: Vec<RunUpdate> = silent.flat_map(|worker| worker.expire_runs(now)).collect();
        if !changes.is_empty() {
            self.apply(now, changes, None);
        }
    }

    /// Repeats the stops that no worker has confirmed.
    fn repeat_stops(&mut self, now: Millis) {
        let interval_ms = self.stop_interval_ms();
        let mut stops = Vec::new();
        for (id, worker) in &mut self.workers {
            let due = worker.take_due_stops(now, interval_ms);
            stops.extend(due.into_iter().map(|(task, run)| (Rc::clone(id), task, run)));
        }
        for (id, task, run) in stops {
            self.send_stop(&id, &task, run);
        }
    }

    /// Returns the interval at which an unconfirmed stop is repeated, in milliseconds: less than the
    /// time-out of a call, since a run that nobody waits for must end before its caller resends.
    fn stop_interval_ms(&self) -> u64 {
        self.round_trip.timeout_ms() / 2
    }

    /// Gives up the cell. Every job returns to its submitter as [`Outcome::Moved`], and no
    /// further start is sent.
    pub fn relinquish(&mut self) {
        self.fenced = true;
        self.actions.retain(|action| !matches!(action, Action::Start(..)));
        let mut watchers: Vec<(u64, u64)> = self.watchers.drain().collect();
        watchers.sort_unstable();
        for (number, job) in watchers {
            let progress = self.jobs.get(&job).map(|job| self.progress_of(job));
            let outcome = Outcome::Moved(progress.unwrap_or_default());
            self.actions.push(Action::Answer(number, outcome));
        }
        self.jobs.clear();
        self.by_id.clear();
    }

    /// Returns the progress of a job for the next owner. A task that waits for the end of a run counts
    /// as placed, because the next owner must not start it before that either.
    fn progress_of(&self, job: &Job) -> Progress {
        let mut progress = job.progress();
        let now = self.last_advance_at.unwrap_or_default();
        for (task_index, task) in job.tasks.iter().enumerate() {
            if task.state != TaskState::Pending {
                continue;
            }
            let name = job.name(task_index);
            let may_run = |(_, worker): &(&Rc<str>, &Worker)| worker.may_run(&name, now);
            let mut workers = self.workers.iter().filter(may_run);
            let Some((id, worker)) = workers.next() else { continue };
            let run = worker.runs.get(&name).map(|run| run.run);
            let run = run.max(worker.orphaned_runs.get(&name).map(|orphan| orphan.run));
            let is_only_one = workers.next().is_none();
            progress.placed.push(Placed {
                task_index: task_index as u32,
                run: task.run.max(run.unwrap_or_default()),
                worker: if is_only_one { Rc::clone(id) } else { Rc::default() },
            });
        }
        progress
    }

    /// Renews the leases of all workers that reply, so that their runs are still alive when the next
    /// owner takes over after a handover.
    pub fn renew_all_leases(&mut self, now: Millis) {
        self.update_contact(now);
        let timeout_ms = self.round_trip.timeout_ms();
        let renewal_call = |(id, worker): (&Rc<str>, &mut Worker)| {
            let call = PollCall {
                token: worker.token,
                lease_until_ms: Some(worker.renew_lease(now)?),
                ack_cursor: worker.ack_cursor(),
                wait_ms: 0,
            };
            Some(Action::Poll(worker.target(id, timeout_ms), call))
        };
        let polls: Vec<Action> = self.workers.iter_mut().filter_map(renewal_call).collect();
        self.actions.extend(polls);
    }

    /// Returns the time at which [`Self::advance`] has to be called next; `None` when nothing is
    /// scheduled.
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        let polls = self.workers.values().filter(|worker| worker.poll_sent_at.is_none());
        let polls = polls.filter_map(|worker| worker.next_poll_at);
        let ends = self.jobs.values().map(|job| {
            let latest_useful_start = job.latest_useful_start().plus(1);
            let may_give_up = job.has_pending_suspect() && now < latest_useful_start;
            if job.started && !may_give_up || job.awaits_first_contact() {
                job.deadline
            } else {
                job.deadline.min(latest_useful_start)
            }
        });
        let in_doubt = self.jobs.values().filter(|job| job.is_in_doubt());
        let in_doubt_ends = in_doubt.map(|job| job.in_doubt_until);
        polls
            .chain(ends)
            .chain(in_doubt_ends)
            .chain(self.workers.values().filter_map(Worker::next_expiry))
            .chain(
                self.workers
                    .values()
                    .filter_map(|worker| worker.next_stop_at(self.stop_interval_ms())),
            )
            .chain(self.warm_up_limit())
            .chain(self.next_start_change(now))
            .chain(self.ramp.map(|ramp| ramp.next_due()))
            .map(|at| at.max(now))
            .min()
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Ends jobs whose caller has stopped waiting, and refuses queued jobs that would finish too
    /// late to be of use to the caller.
    fn end_expired_jobs(&mut self, now: Millis) {
        let expired = |(number, job): (&u64, &Job)| {
            if job.started && job.has_pending_suspect() && is_given_up(job, &self.crashes, now) {
                return Some((*number, Some(Reason::WorkerCrashed)));
            }
            if now >= job.deadline {
                return Some((*number, job.started.then_some(Reason::TimeOver)));
            }
            // A job that waits for the first sign of life of its submitter lacks no room.
            let may_wait = job.started || job.awaits_first_contact();
            (!may_wait && now > job.latest_useful_start()).then_some((*number, None))
        };
        let mut expired: Vec<(u64, Option<Reason>)> =
            self.jobs.iter().filter_map(expired).collect();
        expired.sort_unstable_by_key(|(number, _)| *number);
        for (number, abort_reason) in expired {
            let retry_after_ms = queue::retry_after_ms(self.backlog(now).wait_ms());
            let outcome = abort_reason.map_or(
                Outcome::NotRun { reason: Reason::Overload, retry_after_ms },
                Outcome::Aborted,
            );
            self.answer(number, outcome);
            self.drop_job(now, number);
        }
    }

    fn place_queued_jobs(&mut self, now: Millis) {
        let mut queued: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.has_pending() && now < job.deadline)
            .map(|(number, job)| (queue::sort_key(job, now), *number))
            .collect();
        if queued.is_empty() {
            return;
        }
        queued.sort_unstable();
        for (_, number) in queued {
            self.place_job(now, number);
        }
    }

    pub(crate) fn place_job(&mut self, now: Millis, number: u64) {
        if !self.start_limits.allow_start(now) {
            return;
        }
        let cold_factor = self.cold.factor();
        let Some(job) = self.jobs.get_mut(&number).filter(|job| job.is_in_contact(now)) else {
            return;
        };
        for task_index in 0..job.tasks.len() {
            let task = job.tasks[task_index].clone();
            if task.state != TaskState::Pending
                || !job.is_step_ready(task.step)
                || task.is_suspect && is_given_up(job, &self.crashes, now)
                || self.workers.values().any(|worker| worker.may_run(&job.name(task_index), now))
            {
                continue;
            }
            let step = &job.spec.steps[task.step as usize];
            let need = TaskRequirements::of(job, task.step, step, now);
            let conditions = Conditions {
                quarantine: &Quarantine::new(&self.workers, &self.crashes, job, now),
                is_suspect: task.is_suspect,
                cold_factor,
                ramp_room_millicores: match self.ramp {
                    None => u64::MAX,
                    Some(ramp) => ramp.room(&self.workers, step.task_resources),
                },
            };
            let chosen = placement::choose(&self.workers, need, &conditions, now).cloned();
            let Some(id) = chosen else {
                if task.is_suspect {
                    continue;
                }
                break;
            };
            let Some(worker) = self.workers.get_mut(&id) else { break };
            let token = worker.token;
            let Some(lease_until_ms) = worker.lease_expiry_at(now) else { break };
            let name = job.name(task_index);
            let run = Run {
                task_ref: Some((number, task_index)),
                run: task.run.saturating_add(1),
                route: Rc::clone(&job.terms.route),
                is_suspect: task.is_suspect,
                token,
                addr: worker.entry.addr,
                process: worker.clock_process(),
                resources: step.task_resources,
                state: RunState::Starting,
                since: now,
                sent_at: now,
                expected_ms: job.task_ms[task.step as usize],
                timing: if worker.is_cold(now) { Timing::Cold(cold_factor) } else { Timing::Warm },
                ends_at: None,
            };
            let call = StartCall {
                task: name.clone(),
                run: run.run,
                spec: Rc::clone(&job.spec.payload),
                lease_until_ms,
                token,
            };
            let target = worker.target(&id, self.round_trip.timeout_ms());
            self.actions.push(Action::Start(target, call));
            worker.place(name, run);
            job.tasks[task_index].state = TaskState::Placed;
            job.tasks[task_index].run = task.run.saturating_add(1);
            job.tasks[task_index].worker = Some(id);
            job.started = true;
        }
    }

    fn send_polls(&mut self, now: Millis) {
        let timeout_ms = self.round_trip.timeout_ms();
        for (id, worker) in &mut self.workers {
            let due = worker.next_poll_at.is_some_and(|at| now >= at);
            if !due || worker.poll_sent_at.is_some() {
                continue;
            }
            let lease_until_ms = worker.begin_poll(now);
            let wait_ms = worker.poll_wait_ms(timeout_ms, now);
            let call = PollCall {
                token: worker.token,
                ack_cursor: worker.ack_cursor(),
                lease_until_ms,
                wait_ms,
            };
            self.actions.push(Action::Poll(worker.target(id, timeout_ms), call));
        }
    }

    pub(crate) fn finish_if_done(&mut self, number: u64) {
        if !self.jobs.get(&number).is_some_and(Job::is_done) {
            return;
        }
        self.answer(number, Outcome::Completed);
        self.remove_job(number);
    }

    pub(crate) fn answer(&mut self, job: u64, outcome: Outcome) {
        let mut numbers: Vec<u64> = Vec::new();
        self.watchers.retain(|number, watched_job| {
            if *watched_job == job {
                numbers.push(*number);
            }
            *watched_job != job
        });
        numbers.sort_unstable();
        for number in &numbers {
            self.remote_submissions.remove(number);
        }
        let answers = numbers.into_iter().map(|number| Action::Answer(number, outcome.clone()));
        self.actions.extend(answers);
    }

    pub(crate) fn remove_job(&mut self, number: u64) {
        if let Some(job) = self.jobs.remove(&number) {
            self.forget_id(&job);
        }
    }

    pub(crate) fn forget_id(&mut self, job: &Job) {
        self.by_id.remove(&job.spec.id);
    }

    /// Removes a job that nobody waits for and stops all its runs.
    pub(crate) fn drop_job(&mut self, now: Millis, number: u64) {
        self.remove_job(number);
        let mut stops = Vec::new();
        for (id, worker) in &mut self.workers {
            for (name, run) in &mut worker.runs {
                if run.task_ref.is_none_or(|(job, _)| job != number) {
                    continue;
                }
                run.task_ref = None;
                run.state = match run.state {
                    RunState::Starting | RunState::InDoubt => RunState::InDoubt,
                    RunState::Running | RunState::Stopping => RunState::Stopping,
                    RunState::Stopped => continue,
                };
                run.since = now;
                stops.push((Rc::clone(id), name.clone(), run.run));
            }
        }
        for (id, name, run) in stops {
            self.send_stop(&id, &name, run);
        }
    }

    pub(crate) fn send_stop(&mut self, id: &str, task: &TaskName, run: u32) {
        let Some((id, worker)) = self.workers.get_key_value(id) else { return };
        let call = StopCall { task: task.clone(), run, token: worker.token };
        self.actions.push(Action::Stop(worker.target(id, self.round_trip.timeout_ms()), call));
    }
}
