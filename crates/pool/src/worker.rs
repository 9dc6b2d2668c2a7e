//! State of a worker as seen by the daemon that owns it: resources, lease and runs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::bounds::STALL_MS;
use crate::call::{End, Report, Target};
use crate::catalogue::{WorkerEntry, WorkerState};
use crate::cold::ColdStart;
use crate::job::TaskName;
use crate::loss::{LossCause, LostRun, ProcessChange, ProcessEvidence, WorkerLife, WorkerLoss};
use crate::ramp::Presence;
use crate::resources::Resources;
use crate::run::{InterruptionEvidence, Measurement, OrphanedRun, Run, RunState, Timing};
use crate::speed::Speed;
use crate::worker_clock::{ClockReading, longest_span_ms, max_drift_ms};

/// Duration of a lease, in milliseconds. It is short enough that every run has ended before its
/// caller resends its request, see [`crate::bounds`].
pub const LEASE_MS: u64 = 700;
/// Upper bound on a lease of [`LEASE_MS`] as measured by the owner's clock, in milliseconds: the
/// worker's clock may run slow.
pub const LEASE_BOUND_MS: u64 = longest_span_ms(LEASE_MS);
/// Longest lease that a worker grants, in milliseconds of its clock; the users' `maxHoldMs`. A lease
/// whose expiry was computed from another process's clock may last that long from its arrival.
const MAX_LEASE_MS: u64 = 1_000;
/// Upper bound on a lease of [`MAX_LEASE_MS`] as measured by the owner's clock, in milliseconds.
pub const MAX_LEASE_BOUND_MS: u64 = longest_span_ms(MAX_LEASE_MS);
/// How long before its expiry a lease is renewed, in milliseconds.
pub const RENEW_AHEAD_MS: u64 = 500;
/// Longest time that a poll may wait at the worker for a run to end, in milliseconds. Less than
/// [`RENEW_AHEAD_MS`], so that the lease is renewed in time.
pub const MAX_POLL_WAIT_MS: u64 = 300;
/// Part of a lease that is left when a renewal arrives as late as its time-out allows, in
/// milliseconds.
const RENEWAL_MARGIN_MS: u64 = 50;
/// How long a poll waits beyond the first expected end of a run, in milliseconds. Kept short,
/// because a poll whose reply is lost delays the ends at its worker by its whole wait.
const POLL_WAIT_SLACK_MS: u64 = 50;
/// Minimum interval between two polls of a worker, in milliseconds, so that one poll returns
/// several ended runs.
pub const MIN_POLL_INTERVAL_MS: u64 = 4;
/// Backoff step before an unanswered poll is repeated, in milliseconds.
const POLL_RETRY_MS: u64 = 150;
/// Number of backoff steps after which unanswered polls are repeated at a constant interval.
const MAX_POLL_RETRY_STEPS: u32 = 8;
/// Interval after which a stop is repeated whose run has not ended although it was confirmed, or
/// whose run this owner does not know, in milliseconds.
const STOP_RETRY_MS: u64 = 150;
/// How long a start without a reply may still be carried out, in milliseconds, if it may have reached a
/// process whose clock gives its expiry no meaning.
pub const LATE_START_MS: u64 = 12_000;
/// Interval between two polls of an idle worker to which a start may still be on its way, in
/// milliseconds. The first poll fences the worker's next process.
const LATE_START_POLL_INTERVAL_MS: u64 = 200;
/// Interval between two polls of an idle worker, in milliseconds. It keeps the reading of the worker's
/// clock recent, and with it the lease of the next start close to [`LEASE_MS`].
const IDLE_POLL_INTERVAL_MS: u64 = 10_000;
/// Delay before ended runs are acknowledged when nothing else requires a poll, in milliseconds.
const ACK_DELAY_MS: u64 = 1_500;
/// How long orphaned runs of a previous owner wait to be adopted by their job, in milliseconds.
/// The rest of such a run's lease, this wait and a stop together end before a caller resends its
/// request.
pub const ADOPTION_WINDOW_MS: u64 = 250;
/// First interval for which an unhealthy worker is sent no tasks, in milliseconds. It doubles up
/// to [`MAX_PAUSE_MS`].
const MIN_PAUSE_MS: u64 = 300;
const MAX_PAUSE_MS: u64 = 5_000;
/// Consecutive failed runs, of different jobs, after which a worker counts as unhealthy.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Returns until when the start of a run may be carried out although it got no reply. The only process
/// that it can have reached refuses it after its expiry.
const fn late_until(run: &Run) -> Millis {
    run.sent_at.plus(if run.process.is_some() { LEASE_BOUND_MS } else { LATE_START_MS })
}

/// A start that got no reply.
#[derive(Clone, Debug)]
struct UnansweredStart {
    task: TaskName,
    run: u32,
    given_up_at: Millis,
    late_until: Millis,
}

/// A consequence of a worker's report, or of a missing one, for the runs of jobs.
#[derive(Clone, Debug, PartialEq)]
pub enum RunUpdate {
    /// A run ended, and its job has to be updated.
    Ended {
        /// The job's number and the index of the task in the job.
        job_task: (u64, usize),
        /// Result of the run.
        end: End,
        /// Duration of the run.
        measured: Measurement,
    },
    /// A run is known to have ended without a report of its end.
    Interrupted {
        /// The job's number and the index of the task in the job.
        job_task: (u64, usize),
        /// What showed the end.
        evidence: InterruptionEvidence,
    },
    /// A stop has to be sent for a run, for the first time or again.
    Stop {
        /// Task whose run is to be stopped.
        task: TaskName,
        /// Run number of the start.
        run: u32,
    },
    /// The worker was lost with active runs.
    WorkerLost(WorkerLoss),
    /// The worker was reported as lost and has replied again in the same process.
    WorkerReturned(WorkerLife),
    /// Another process of the worker showed.
    ProcessChanged(ProcessChange),
    /// An active run showed that this owner does not know.
    OrphanFound {
        /// Task of the run.
        task: TaskName,
        /// Run number of the start.
        run: u32,
    },
    /// Straggling runs in succession have shown that the worker is slow: its speed in percent.
    SlowWorker(u16),
}

/// A worker as seen by the daemon that owns it.
///
/// The next process of a worker may have the same id and address. Which process it is, and so which
/// runs are left, is taken from the worker's reports alone: its entry in the store may be read before
/// or after them, and that of a previous process last of all. An entry that names another process
/// only makes the owner poll the worker before it sends further tasks.
#[derive(Debug)]
pub struct Worker {
    id: Rc<str>,
    /// Latest entry that the worker published in the store.
    pub entry: WorkerEntry,
    /// Whether the worker's entry is in the store now.
    pub listed: bool,
    /// Runs that this daemon started, until their end is reported or they are known not to exist.
    pub runs: HashMap<TaskName, Run>,
    /// Runs, and ends of runs, that a previous owner started and no job has adopted yet.
    pub orphaned_runs: HashMap<TaskName, OrphanedRun>,
    /// Starts without a reply that may still have been carried out when the last of them was given up.
    unanswered_starts: Vec<UnansweredStart>,
    /// Fencing token of the next call.
    pub(crate) token: u64,
    /// Fencing token of the last poll.
    pub(crate) polled_token: u64,
    /// Latest time, on this daemon's clock, at which a run can still be active without a renewal.
    pub lease_bound: Millis,
    /// When the next poll is due; `None` when there is nothing to poll for.
    pub next_poll_at: Option<Millis>,
    /// When the poll in flight was sent; `None` when none is in flight.
    pub poll_sent_at: Option<Millis>,
    /// Address to which the last poll was sent.
    polled_addr: SocketAddr,
    /// When this record was created; replies to earlier polls concern a previous one.
    created_at: Millis,
    speed: Speed,
    /// Speed when the process began that sent the last report.
    speed_at_start: Speed,
    cold_start: ColdStart,
    /// Whether the worker was gone, and is limited by a ramp after its return.
    pub(crate) presence: Presence,
    /// Whether the worker has a run of a job whose submitters are not known to wait.
    pub(crate) lacks_contact: bool,
    clock: Option<ClockReading>,
    /// Start time of the process that sent the last report, in Unix milliseconds.
    started_at_ms: Option<u64>,
    /// When the last poll under the present token was sent that the worker has answered.
    reported_at: Option<Millis>,
    /// Since when the process at the worker's address may not be the one that sent the last report;
    /// `None` if there is no sign of that.
    process_doubted_at: Option<Millis>,
    cursor: u64,
    acked: u64,
    acking: u64,
    used: Resources,
    paused_until: Millis,
    pause_ms: u64,
    failures: u32,
    last_failed_job: Option<u64>,
    unanswered_polls: u32,
    /// How the loss of this process was reported last; `None` while it replies.
    reported_loss: Option<LossCause>,
    /// Whether the worker has been silent until its lease expired, and has not replied since.
    was_silent: bool,
    /// Whether the process that sent the last report has announced that it will leave.
    is_leaving: bool,
}

impl Worker {
    /// Creates a worker that has to be polled before tasks are sent to it. `token` is the fencing token
    /// of the calls to it.
    pub(crate) fn new(id: Rc<str>, entry: WorkerEntry, token: u64, now: Millis) -> Self {
        let polled_addr = entry.addr;
        let is_leaving = entry.state == WorkerState::Draining;
        let mut cold_start = ColdStart::default();
        cold_start.announce(entry.cold_ms, now);
        Self {
            id,
            polled_addr,
            created_at: now,
            is_leaving,
            entry,
            listed: true,
            runs: HashMap::new(),
            orphaned_runs: HashMap::new(),
            unanswered_starts: Vec::new(),
            token,
            polled_token: token,
            lease_bound: now,
            next_poll_at: Some(now),
            poll_sent_at: None,
            speed: Speed::default(),
            speed_at_start: Speed::default(),
            cold_start,
            presence: Presence::default(),
            lacks_contact: false,
            clock: None,
            started_at_ms: None,
            reported_at: None,
            process_doubted_at: None,
            cursor: 0,
            acked: 0,
            acking: 0,
            used: Resources::default(),
            paused_until: Millis(0),
            pause_ms: MIN_PAUSE_MS,
            failures: 0,
            last_failed_job: None,
            unanswered_polls: 0,
            reported_loss: None,
            was_silent: false,
        }
    }

    /// Whether this record was created after a call had been sent at `sent_at`.
    pub fn is_newer_than(&self, sent_at: Millis) -> bool {
        sent_at < self.created_at
    }

    /// Returns the average ratio of run time to expected run time while the worker is warm; 1.0 for
    /// a worker as fast as expected.
    pub fn slowdown(&self) -> f64 {
        self.speed.slowdown()
    }

    /// Returns the learned speed of the worker while it is warm.
    pub const fn speed(&self) -> &Speed {
        &self.speed
    }

    pub(crate) const fn set_speed(&mut self, speed: Speed) {
        self.speed = speed;
        self.speed_at_start = speed;
    }

    /// Whether the worker is still slow after its start, as it has announced.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.cold_start.is_cold(now)
    }

    /// Returns how many further runs the worker may have while it is cold.
    pub fn cold_room(&self) -> u64 {
        self.cold_start.max_runs().saturating_sub(self.runs.len() as u64)
    }

    /// Returns the start time of the process that sent the last report, or that the entry names.
    pub(crate) fn started_at_ms(&self) -> Option<u64> {
        self.started_at_ms.or(self.entry.started_at_ms)
    }

    /// Whether the worker is listed as ready, and the process that is known replies.
    pub(crate) fn is_in_contact(&self) -> bool {
        self.is_eligible()
            && self.has_replied()
            && self.unanswered_polls == 0
            && self.process_doubted_at.is_none()
    }

    /// Whether the worker has replied to any call since this daemon owns it.
    pub const fn has_replied(&self) -> bool {
        self.clock.is_some()
    }

    /// Whether the worker takes tasks in principle and its first poll has neither been answered nor
    /// failed.
    pub const fn awaits_first_reply(&self) -> bool {
        let is_polled = !self.has_replied() && self.unanswered_polls == 0;
        self.listed && is_polled && matches!(self.entry.state, WorkerState::Ready)
    }

    /// Whether new tasks may be sent to the worker at `now`.
    pub fn accepts_tasks(&self, now: Millis) -> bool {
        self.listed
            && self.has_replied()
            && self.entry.state == WorkerState::Ready
            && self.unanswered_polls == 0
            && self.process_doubted_at.is_none()
            && now >= self.paused_until
            && !self.withholds_lease()
    }

    /// Whether runs may go on that nobody waits for: those of a previous owner that no job has
    /// adopted, and those whose stop is not confirmed.
    fn has_unwanted_runs(&self) -> bool {
        self.orphaned_runs.values().any(|orphan| orphan.end.is_none())
            || self.runs.values().any(Run::is_unstopped)
    }

    /// Whether neither a renewal nor a start is sent to the worker, because both extend the lease of all
    /// its runs and nobody may wait for one of them.
    fn withholds_lease(&self) -> bool {
        self.lacks_contact || self.has_unwanted_runs()
    }

    /// Whether the worker can get new tasks once it has replied to a poll and no pause is in force.
    pub fn is_eligible(&self) -> bool {
        self.listed && self.entry.state == WorkerState::Ready
    }

    /// Returns the resources that no run of this daemon uses.
    pub const fn free(&self) -> Resources {
        self.entry.capacity.minus(self.used)
    }

    /// Returns the CPU that runs of this daemon use, in thousandths of a core.
    pub(crate) const fn used_millicores(&self) -> u64 {
        self.used.cpu_millicores
    }

    /// Returns whether the worker was lost with active runs and has not replied since.
    pub const fn is_lost(&self) -> bool {
        self.reported_loss.is_some()
    }

    /// Returns whether runs of this daemon are active, or may be: those of a lost worker have ended
    /// with their lease.
    pub fn may_have_active_runs(&self, now: Millis) -> bool {
        let is_possible = |run: &Run| !self.is_lost() || now < self.expires_at(run);
        self.runs.values().any(is_possible)
    }

    /// Whether the worker has been asked after `since` for its runs, and has none of the task. Orders that
    /// a previous owner sent to this process have no effect any more then. If it has not been asked, it
    /// is polled soon. Always false for a worker whose reports do not name their process.
    pub(crate) fn confirms_absence(&mut self, task: &TaskName, since: Millis, now: Millis) -> bool {
        if self.reported_at.is_none_or(|at| at <= since) {
            if self.unanswered_polls == 0 {
                self.poll_no_later_than(now);
            }
            return false;
        }
        self.clock_process().is_some()
            && !self.runs.contains_key(task)
            && !self.orphaned_runs.contains_key(task)
    }

    /// Returns whether a run of the task may be active on this worker, or may still begin. No other
    /// run of the task starts before.
    pub(crate) fn may_run(&self, task: &TaskName, now: Millis) -> bool {
        let is_silent = self.unanswered_polls > 0;
        let is_possible = |run: &Run| !is_silent || now < self.expires_at(run);
        let is_active = |orphan: &OrphanedRun| {
            let has_lapsed =
                is_silent && now.since(orphan.seen_at) >= MAX_LEASE_BOUND_MS + STALL_MS;
            orphan.end.is_none() && !has_lapsed
        };
        self.runs.get(task).is_some_and(is_possible)
            || self.orphaned_runs.get(task).is_some_and(is_active)
    }

    /// Returns whether a task of the route is, or may be, running on this worker.
    pub fn has_runs_of_route(&self, route: &str) -> bool {
        self.runs.values().any(|run| *run.route == *route)
    }

    /// Counts the runs of one step of a job on this worker.
    pub fn runs_of_step(&self, job: &str, step: u32) -> u32 {
        self.runs.keys().filter(|name| &*name.job == job && name.step == step).count() as u32
    }

    /// Returns the expiry of a lease that begins at `now`, in milliseconds of the worker's clock, or
    /// `None` before its first reply. The lease ends within [`LEASE_BOUND_MS`] whatever the age of the
    /// last reply, and is at least as long as [`Self::shortest_lease_ms`].
    pub fn lease_expiry_at(&self, now: Millis) -> Option<u64> {
        Some(self.clock?.earliest_at(now).saturating_add(LEASE_MS))
    }

    /// Returns how long a lease that begins at `now` lasts if the worker's clock is not slow, in
    /// milliseconds: less than [`LEASE_MS`] by the drift that the age of the last reply allows for, and
    /// zero before the first reply.
    fn shortest_lease_ms(&self, now: Millis) -> u64 {
        let drift_ms = |clock: ClockReading| max_drift_ms(now.since(clock.read_at));
        self.clock.map_or(0, |clock| LEASE_MS.saturating_sub(drift_ms(clock)))
    }

    /// Returns up to which number ended runs may be acknowledged: all that were received, unless the
    /// numbers may be those of a previous process. A start without a reply may have ended at a
    /// process that is not known yet.
    pub fn ack_cursor(&self) -> u64 {
        let has_start_in_doubt = self.runs.values().any(|run| run.state == RunState::InDoubt);
        let is_process_known = self.process_doubted_at.is_none() && self.unanswered_polls == 0;
        if is_process_known && !has_start_in_doubt { self.cursor } else { 0 }
    }

    /// Returns the destination of a call to the worker that is given up after `timeout_ms`.
    pub fn target(&self, id: &Rc<str>, timeout_ms: u64) -> Target {
        let process = self.clock_process();
        Target { id: Rc::clone(id), addr: self.entry.addr, process, timeout_ms }
    }

    /// Returns the start time of the process whose clock is known, in Unix milliseconds, if it is known.
    pub(crate) fn clock_process(&self) -> Option<u64> {
        self.clock.and_then(|clock| clock.process)
    }

    /// Records a run that is being started: reserves its resources and schedules the renewal of
    /// its lease. It takes the place of an earlier run of the task whose end was not confirmed.
    pub fn place(&mut self, name: TaskName, run: Run) {
        self.remove(&name);
        self.used = self.used.plus(run.resources);
        self.lease_bound = self.lease_bound.max(run.sent_at.plus(LEASE_BOUND_MS));
        let renewed_after_ms = self.shortest_lease_ms(run.sent_at).saturating_sub(RENEW_AHEAD_MS);
        self.poll_no_later_than(run.sent_at.plus(renewed_after_ms));
        self.runs.insert(name, run);
    }

    /// Records a run that a previous owner started. That owner may not have known the worker's process,
    /// so that the lease may be the longest one that a worker grants.
    pub(crate) fn place_adopted(&mut self, name: TaskName, run: Run) {
        self.lease_bound = self.lease_bound.max(run.sent_at.plus(MAX_LEASE_BOUND_MS));
        self.place(name, run);
    }

    /// Removes a run and frees its resources.
    pub fn remove(&mut self, name: &TaskName) -> Option<Run> {
        let run = self.runs.remove(name)?;
        self.used = self.used.minus(run.resources);
        Some(run)
    }

    /// Schedules the next poll for `at`, unless one is due earlier.
    pub fn poll_no_later_than(&mut self, at: Millis) {
        self.next_poll_at = Some(self.next_poll_at.map_or(at, |next_poll_at| next_poll_at.min(at)));
    }

    /// Records that a poll is being sent. Returns the new lease expiry on the worker's clock, or
    /// `None` if the lease is not to be renewed.
    pub fn begin_poll(&mut self, now: Millis) -> Option<u64> {
        self.poll_sent_at = Some(now);
        self.polled_token = self.token;
        self.polled_addr = self.entry.addr;
        self.next_poll_at = None;
        self.acking = self.ack_cursor();
        self.renew_lease(now)
    }

    /// Renews the lease of the worker's runs, if there are any. Returns the new expiry on the worker's
    /// clock. The lease of a worker that left the last poll unanswered, or whose clock may be that of
    /// another process, is not renewed, so that the time by which its runs have ended is known here.
    /// Neither is one that would keep runs alive that nobody waits for.
    pub fn renew_lease(&mut self, now: Millis) -> Option<u64> {
        if self.runs.is_empty()
            || self.unanswered_polls > 0
            || self.is_clock_doubted()
            || self.withholds_lease()
        {
            return None;
        }
        let lease_until_ms = self.lease_expiry_at(now)?;
        self.lease_bound = self.lease_bound.max(now.plus(LEASE_BOUND_MS));
        Some(lease_until_ms)
    }

    /// Whether the last reading of the clock may be that of a previous process: another one has shown,
    /// or may have received a start that got no reply.
    fn is_clock_doubted(&self) -> bool {
        let is_newer = |clock: ClockReading| {
            self.unanswered_starts.iter().all(|start| start.given_up_at <= clock.asked_at)
        };
        self.process_doubted_at.is_some() || !self.clock.is_some_and(is_newer)
    }

    /// Returns how long a poll may wait at the worker for a run to end, in milliseconds: slightly
    /// longer than the remaining time of the run that is expected to end first. With a longer
    /// `timeout_ms` of the call it is shorter, so that the next renewal still arrives in time. A
    /// poll that has to show the worker's process does not wait.
    pub fn poll_wait_ms(&self, timeout_ms: u64, now: Millis) -> u64 {
        if self.is_clock_doubted() {
            return 0;
        }
        let lease_ms = self.shortest_lease_ms(now);
        let longest_ms = lease_ms.saturating_sub(RENEWAL_MARGIN_MS + 2 * timeout_ms);
        let longest_ms =
            if self.withholds_lease() { longest_ms.min(POLL_WAIT_SLACK_MS) } else { longest_ms };
        let slowdown = self.slowdown();
        let first_end_ms = self.runs.values().map(|run| run.remaining_ms(slowdown, now)).min();
        first_end_ms.map_or(0, |left_ms| {
            (left_ms + POLL_WAIT_SLACK_MS).min(longest_ms).min(MAX_POLL_WAIT_MS)
        })
    }

    /// Records that a poll got no reply, schedules the next one with backoff, and returns the runs
    /// whose lease has certainly expired.
    pub fn record_unanswered_poll(&mut self, now: Millis) -> Vec<RunUpdate> {
        self.poll_sent_at = None;
        self.presence.record_silence(now);
        self.unanswered_polls += 1;
        let is_polled_soon = self.may_get_late_starts(now) || self.awaits_first_token(now);
        let most_steps = if is_polled_soon { 1 } else { MAX_POLL_RETRY_STEPS };
        let steps = u64::from((self.unanswered_polls - 1).min(most_steps));
        self.next_poll_at = Some(now.plus(POLL_RETRY_MS * steps));
        self.expire_runs(now)
    }

    /// Schedules a poll again that the worker refused because of a lower fencing token than the
    /// present one.
    pub const fn repeat_poll(&mut self, now: Millis) {
        self.poll_sent_at = None;
        self.next_poll_at = Some(now);
    }

    /// Records that a poll was refused because no process listens at the worker's address. The
    /// runs are kept until their lease has expired: a network device may refuse connections in the
    /// name of a worker that runs on. While the process is in doubt, it is unknown which one the
    /// runs are at, so that no loss is reported.
    pub fn record_refused_poll(&mut self, now: Millis) -> Vec<RunUpdate> {
        let polled_addr = self.polled_addr;
        let is_process_known = self.process_doubted_at.is_none();
        let loss = self.report_loss_of(LossCause::Refused, |_, run| {
            is_process_known && run.addr == polled_addr
        });
        loss.into_iter().chain(self.record_unanswered_poll(now)).collect()
    }

    /// Returns a report that this process is lost with its active runs, unless there are none or
    /// the loss was reported with the same evidence before.
    fn report_loss(&mut self, cause: LossCause) -> Option<RunUpdate> {
        self.report_loss_of(cause, |_, _| true)
    }

    /// Like [`Self::report_loss`], for those of the runs that ended with the process. A start that
    /// is still to be answered may have been refused, so it is not counted.
    fn report_loss_of(
        &mut self,
        cause: LossCause,
        has_ended: impl Fn(&TaskName, &Run) -> bool,
    ) -> Option<RunUpdate> {
        if self.reported_loss >= Some(cause) {
            return None;
        }
        self.was_silent |= cause == LossCause::Silent;
        let lost_run = |(task, run): (&TaskName, &Run)| LostRun {
            task: task.clone(),
            run: run.run,
            route: Rc::clone(&run.route),
            was_active: !matches!(run.state, RunState::Stopping | RunState::Stopped)
                && !self.was_silent,
        };
        let lost = self.runs.iter().filter(|(_, run)| run.state != RunState::Starting);
        let lost = lost.filter(|(task, run)| has_ended(task, run));
        let mut runs: Vec<LostRun> = lost.map(lost_run).collect();
        if runs.is_empty() {
            return None;
        }
        self.reported_loss = Some(cause);
        runs.sort_unstable_by(|a, b| a.task.cmp(&b.task));
        let was_draining = self.is_leaving;
        Some(RunUpdate::WorkerLost(WorkerLoss { life: self.life(), cause, was_draining, runs }))
    }

    fn process_change(&self, started_at_ms: Option<u64>, evidence: ProcessEvidence) -> RunUpdate {
        let runs = self.runs.len();
        let previous = self.life();
        RunUpdate::ProcessChanged(ProcessChange { previous, started_at_ms, evidence, runs })
    }

    fn life(&self) -> WorkerLife {
        WorkerLife { worker: Rc::clone(&self.id), started_at_ms: self.started_at_ms }
    }

    /// Returns when the lease of a worker that leaves polls unanswered expires, or `None` if no job
    /// waits for that.
    pub fn next_expiry(&self) -> Option<Millis> {
        if self.unanswered_polls == 0 {
            return None;
        }
        let awaited = self.runs.values().filter(|run| run.task_ref.is_some());
        awaited.map(|run| self.expires_at(run)).min()
    }

    /// Returns when a run of a silent worker has certainly ended, and will not begin. The worker may
    /// stand still when the lease expires, and end its runs after that.
    fn expires_at(&self, run: &Run) -> Millis {
        let lapses_at = match run.state {
            RunState::InDoubt => self.lease_bound.max(late_until(run)),
            RunState::Starting | RunState::Running | RunState::Stopping | RunState::Stopped => {
                self.lease_bound
            }
        };
        lapses_at.plus(STALL_MS)
    }

    /// Returns the runs whose lease has certainly expired as interrupted, so that their tasks can
    /// be restarted. Their resources stay reserved until a poll shows that they are free. A run whose
    /// start got no reply is kept for as long as it may still begin, unless a poll settles it before.
    pub fn expire_runs(&mut self, now: Millis) -> Vec<RunUpdate> {
        if now < self.lease_bound.plus(STALL_MS) {
            return Vec::new();
        }
        let loss = self.report_loss(LossCause::Silent);
        let has_expired = |run: &Run| now >= self.expires_at(run);
        let expired = self.runs.iter().filter(|(_, run)| has_expired(run));
        let expired: Vec<TaskName> = expired.map(|(task, _)| task.clone()).collect();
        let interrupted = expired.iter().filter_map(|task| {
            let job_task = self.runs.get_mut(task)?.task_ref.take()?;
            let evidence = InterruptionEvidence::LeaseExpired;
            Some(RunUpdate::Interrupted { job_task, evidence })
        });
        loss.into_iter().chain(interrupted).collect()
    }

    /// Records that the worker's entry has changed. Returns a report if it names another process.
    pub fn update_entry(&mut self, entry: &WorkerEntry, now: Millis) -> Option<RunUpdate> {
        let is_other_process = entry.started_at_ms.is_some()
            && entry.started_at_ms != self.entry.started_at_ms
            && entry.started_at_ms != self.started_at_ms;
        let is_doubtful = is_other_process || entry.addr != self.entry.addr;
        if entry.cold_ms > 0 && entry.started_at_ms != self.entry.started_at_ms {
            // The runs before were slow because the process had begun to be cold.
            self.speed = self.speed_at_start;
        }
        self.entry.clone_from(entry);
        self.cold_start.announce(entry.cold_ms, now);
        self.listed = true;
        if self.is_entry_of_process() {
            self.is_leaving = entry.state == WorkerState::Draining;
        }
        is_doubtful.then(|| {
            self.doubt_process(now);
            self.process_change(entry.started_at_ms, ProcessEvidence::Entry)
        })
    }

    /// Whether the entry is that of the process that sent the last report, as far as is known.
    fn is_entry_of_process(&self) -> bool {
        let (named, reported) = (self.entry.started_at_ms, self.started_at_ms);
        named.is_none() || reported.is_none() || named == reported
    }

    /// Records that a start got no reply. If it was not meant for a certain process, it may have reached
    /// one that is not known, or may still do so.
    pub fn record_unanswered_start(&mut self, task: &TaskName, now: Millis) {
        let Some(run) = self.runs.get(task) else { return };
        let start = UnansweredStart {
            task: task.clone(),
            run: run.run,
            given_up_at: now,
            late_until: late_until(run),
        };
        let is_process_known = run.process.is_some();
        self.unanswered_starts.retain(|start| now < start.late_until);
        self.unanswered_starts.push(start);
        if !is_process_known {
            self.assume_longest_lease(now);
        }
    }

    /// Counts with the longest lease that a worker grants, because the last one may have been computed
    /// from the clock of another process.
    fn assume_longest_lease(&mut self, now: Millis) {
        self.lease_bound = self.lease_bound.max(now.plus(MAX_LEASE_BOUND_MS));
    }

    /// Polls the worker at once and sends it no tasks meanwhile, because another process may have
    /// taken its address and received the last renewal.
    pub fn doubt_process(&mut self, now: Millis) {
        self.assume_longest_lease(now);
        self.process_doubted_at = Some(now);
        self.poll_no_later_than(now);
    }

    /// Records the worker's clock from the reply to a start, which also ends a series of unanswered
    /// polls. The reply of a process before the known one tells nothing. A clock that has jumped is
    /// that of another process. One that is close to the known clock may be another's too, so that the
    /// lease ends only when the clock of the reply shows `lease_until_ms`.
    pub(crate) fn confirm_start(&mut self, reading: ClockReading, lease_until_ms: u64) {
        let ClockReading { clock_ms, process, asked_at, read_at: now } = reading;
        let lease_ms = lease_until_ms.saturating_sub(clock_ms).min(MAX_LEASE_MS);
        self.lease_bound = self.lease_bound.max(now.plus(longest_span_ms(lease_ms)));
        let is_outdated = |known: ClockReading| {
            let is_of_other_process = process.is_some() && process != known.process;
            asked_at < known.asked_at || is_of_other_process
        };
        if self.clock.is_some_and(is_outdated) {
            return;
        }
        if self.clock.is_some_and(|known| known.has_jumped(clock_ms, asked_at, now)) {
            self.doubt_process(now);
        }
        self.update_clock(reading);
    }

    /// Records a reading of the clock, unless that of a later call is known: a reply that another one has
    /// overtaken may be that of a previous process.
    fn update_clock(&mut self, reading: ClockReading) {
        self.unanswered_polls = 0;
        self.presence.record_reply(reading.read_at);
        if self.clock.is_none_or(|known| known.asked_at <= reading.asked_at) {
            self.clock = Some(reading);
        }
    }

    /// Stops sending tasks to the worker for a time, which doubles with each pause until a run
    /// succeeds.
    pub fn pause(&mut self, now: Millis) {
        self.paused_until = now.plus(self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
    }

    /// Polls the worker at once and pauses it, because a start could not be sent to it. Starts that could
    /// not be sent in the same moment count as one.
    pub fn record_unsent_start(&mut self, now: Millis) {
        if now >= self.paused_until {
            self.pause(now);
        }
        self.poll_no_later_than(now);
    }

    /// Polls the worker at once and sends it no tasks meanwhile, because a refusal showed that its
    /// free resources or its clock differ from what is recorded here.
    pub fn recheck_capacity(&mut self, now: Millis) {
        self.paused_until = self.paused_until.max(now.plus(MIN_POLL_INTERVAL_MS));
        self.poll_no_later_than(now);
    }

    /// Updates the slowdown and the health of the worker from an ended run. Since a job that can
    /// never succeed fails on every worker, failures count against a worker only if different jobs
    /// fail in succession.
    fn record_run(&mut self, job: u64, end: End, run: &Run, now: Millis) -> Option<RunUpdate> {
        let mut change = None;
        if self.is_cold(now) && end != End::Interrupted {
            self.cold_start.record_end(end == End::Done);
        }
        match end {
            End::Done => {
                self.failures = 0;
                self.pause_ms = MIN_PAUSE_MS;
                let is_warm = run.timing == Timing::Warm;
                if is_warm && self.speed.record(now.since(run.sent_at), run.expected_ms) {
                    change = Some(RunUpdate::SlowWorker(self.speed.percent()));
                }
            }
            End::Failed if self.last_failed_job != Some(job) => {
                self.last_failed_job = Some(job);
                self.failures += 1;
                if self.failures >= MAX_CONSECUTIVE_FAILURES {
                    self.pause(now);
                }
            }
            End::Failed | End::Interrupted => {}
        }
        change
    }

    /// Applies a report. `sent_at` is when the poll was sent: a run that is absent from the report
    /// counts as lost only if it was confirmed before that time.
    pub fn apply_report(
        &mut self,
        now: Millis,
        sent_at: Millis,
        report: &Report,
    ) -> Vec<RunUpdate> {
        self.poll_sent_at = None;
        let mut changes = self.update_process(now, sent_at, report);
        if self.process_doubted_at.is_some_and(|doubted_at| sent_at >= doubted_at) {
            self.process_doubted_at = None;
        }
        self.update_clock(ClockReading {
            clock_ms: report.clock_ms,
            process: report.started_at_ms,
            asked_at: sent_at,
            read_at: now,
        });
        if self.polled_token == self.token {
            self.reported_at = Some(sent_at);
        }
        self.acked = self.acking;
        changes.extend(self.apply_ended(now, report));
        changes.extend(self.apply_missing(sent_at, report));
        changes.extend(self.apply_running(now, report));
        self.orphaned_runs.retain(|_, orphan| {
            orphan.end.is_none() || now.since(orphan.seen_at) < ADOPTION_WINDOW_MS
        });
        self.schedule_poll(now);
        changes
    }

    /// Takes note of the process that sent the report. If it is not the one that was known, the
    /// state that belonged to that one is dropped, and its runs are reported as lost. Runs that the
    /// new process may have started are kept.
    fn update_process(&mut self, now: Millis, sent_at: Millis, report: &Report) -> Vec<RunUpdate> {
        let mut changes = Vec::new();
        let is_other_process = self.started_at_ms.is_some()
            && report.started_at_ms.is_some()
            && report.started_at_ms != self.started_at_ms;
        if is_other_process {
            changes.push(self.process_change(report.started_at_ms, ProcessEvidence::Report));
            let has_ended = |task: &TaskName, run: &Run| run.since < sent_at && !report.names(task);
            changes.extend(self.report_loss_of(LossCause::Replaced, has_ended));
            self.reported_loss = None;
            self.assume_longest_lease(now);
            self.clock = None;
            self.cursor = 0;
            self.acking = 0;
            self.orphaned_runs.clear();
            self.set_speed(self.speed.after_restart());
            self.cold_start.restart();
            self.presence.record_replacement();
            self.failures = 0;
            self.last_failed_job = None;
            self.paused_until = Millis(0);
            self.pause_ms = MIN_PAUSE_MS;
        }
        if self.reported_loss.take().is_some() {
            changes.push(RunUpdate::WorkerReturned(self.life()));
        }
        self.was_silent = false;
        self.started_at_ms = report.started_at_ms.or(self.started_at_ms);
        if is_other_process {
            self.is_leaving =
                self.is_entry_of_process() && self.entry.state == WorkerState::Draining;
        }
        changes
    }

    fn apply_ended(&mut self, now: Millis, report: &Report) -> Vec<RunUpdate> {
        let mut changes = Vec::new();
        for ended in &report.ended {
            if ended.number <= self.cursor {
                continue;
            }
            self.cursor = ended.number;
            let Some(task) = &ended.task else { continue };
            if self.runs.get(task).is_some_and(|run| run.run == ended.run) {
                let Some(run) = self.remove(task) else { continue };
                let Some(job_task) = run.task_ref else { continue };
                changes.extend(self.record_run(job_task.0, ended.end, &run, now));
                let measured = self.measure(&run, now);
                changes.push(RunUpdate::Ended { job_task, end: ended.end, measured });
            } else {
                let orphan = OrphanedRun {
                    run: ended.run,
                    end: Some(ended.end),
                    seen_at: now,
                    stop_sent_at: None,
                };
                let known = self.orphaned_runs.entry(task.clone()).or_insert(orphan);
                if known.run <= ended.run {
                    *known = orphan;
                }
            }
        }
        changes
    }

    fn measure(&self, run: &Run, now: Millis) -> Measurement {
        let is_ramping = self.presence.is_ramping();
        Measurement {
            took_ms: now.since(run.sent_at),
            expected_ms: run.expected_ms,
            slowdown: self.slowdown(),
            timing: run.timing,
            ramp_millicores: if is_ramping { run.resources.cpu_millicores } else { 0 },
        }
    }

    /// Removes runs that the report lacks although they were confirmed before the poll was sent, or
    /// although the poll had a higher fencing token than their start, which can have no effect after it.
    fn apply_missing(&mut self, sent_at: Millis, report: &Report) -> Vec<RunUpdate> {
        let missing = |(name, run): (&TaskName, &Run)| {
            let is_settled = match run.state {
                RunState::Starting => false,
                RunState::InDoubt => run.token < self.polled_token,
                RunState::Running | RunState::Stopping | RunState::Stopped => run.since < sent_at,
            };
            (is_settled && !report.lists_run(name, run.run)).then(|| name.clone())
        };
        let names: Vec<TaskName> = self.runs.iter().filter_map(missing).collect();
        let mut changes = Vec::new();
        for name in names {
            let Some(run) = self.remove(&name) else { continue };
            let Some(job_task) = run.task_ref else { continue };
            let evidence = InterruptionEvidence::Absent;
            changes.push(RunUpdate::Interrupted { job_task, evidence });
        }
        changes
    }

    fn apply_running(&mut self, now: Millis, report: &Report) -> Vec<RunUpdate> {
        let mut changes = Vec::new();
        for active in &report.running {
            let Some(task) = &active.task else { continue };
            if let Some(run) = self.runs.get_mut(task).filter(|run| run.run == active.run) {
                run.update_progress(active.percent, now);
                let is_wanted = run.task_ref.is_some();
                match run.state {
                    RunState::Starting | RunState::InDoubt if is_wanted => {
                        (run.state, run.since) = (RunState::Running, now);
                    }
                    // Also a run whose lease was taken for expired while its worker was silent.
                    RunState::InDoubt | RunState::Running if !is_wanted => {
                        (run.state, run.since) = (RunState::Stopping, now);
                        changes.push(RunUpdate::Stop { task: task.clone(), run: run.run });
                    }
                    RunState::Stopped if now.since(run.since) >= STOP_RETRY_MS => {
                        run.since = now;
                        changes.push(RunUpdate::Stop { task: task.clone(), run: run.run });
                    }
                    RunState::Starting
                    | RunState::Running
                    | RunState::InDoubt
                    | RunState::Stopping
                    | RunState::Stopped => {}
                }
                continue;
            }
            let new_orphan =
                OrphanedRun { run: active.run, end: None, seen_at: now, stop_sent_at: None };
            if !self.orphaned_runs.contains_key(task) {
                changes.push(RunUpdate::OrphanFound { task: task.clone(), run: active.run });
            }
            let orphan = self.orphaned_runs.entry(task.clone()).or_insert(new_orphan);
            if orphan.end.is_some() {
                *orphan = new_orphan;
            }
            let is_given_up = self
                .unanswered_starts
                .iter()
                .any(|start| start.task == *task && start.run == active.run);
            let may_stop = is_given_up || now.since(orphan.seen_at) >= ADOPTION_WINDOW_MS;
            let is_repeat = orphan.stop_sent_at.is_some_and(|at| now.since(at) < STOP_RETRY_MS);
            if may_stop && !is_repeat {
                orphan.stop_sent_at = Some(now);
                changes.push(RunUpdate::Stop { task: task.clone(), run: active.run });
            }
        }
        self.orphaned_runs
            .retain(|name, orphan| orphan.end.is_some() || report.lists_running(name));
        changes
    }

    /// Records that a stop is sent for an active run of a previous owner. Returns `false` if there is
    /// no such run, or if one was sent already.
    pub(crate) fn record_orphan_stop(&mut self, task: &TaskName, now: Millis) -> bool {
        let orphan = self.orphaned_runs.get_mut(task).filter(|orphan| orphan.end.is_none());
        let Some(orphan) = orphan.filter(|orphan| orphan.stop_sent_at.is_none()) else {
            return false;
        };
        orphan.stop_sent_at = Some(now);
        true
    }

    /// Whether the run's stop has to be repeated until the worker confirms it.
    const fn awaits_stop(&self, run: &Run) -> bool {
        match run.state {
            RunState::Stopping => true,
            RunState::InDoubt => run.task_ref.is_none() || run.token >= self.token,
            RunState::Starting | RunState::Running | RunState::Stopped => false,
        }
    }

    /// Returns the runs whose stop is due again, because it has not been confirmed for `interval_ms`.
    /// Their resources stay reserved until the worker has fenced them. Nothing is sent to a worker
    /// that leaves polls unanswered, whose runs end with their lease.
    pub(crate) fn take_due_stops(&mut self, now: Millis, interval_ms: u64) -> Vec<(TaskName, u32)> {
        if self.unanswered_polls > 0 {
            return Vec::new();
        }
        let is_due = |run: &Run| self.awaits_stop(run) && now.since(run.since) >= interval_ms;
        let due = self.runs.iter().filter(|(_, run)| is_due(run));
        let due: Vec<(TaskName, u32)> = due.map(|(task, run)| (task.clone(), run.run)).collect();
        for (task, _) in &due {
            if let Some(run) = self.runs.get_mut(task) {
                run.since = now;
            }
        }
        due
    }

    /// Returns when the next stop is due again; `None` if none is.
    pub(crate) fn next_stop_at(&self, interval_ms: u64) -> Option<Millis> {
        if self.unanswered_polls > 0 {
            return None;
        }
        let awaiting = self.runs.values().filter(|run| self.awaits_stop(run));
        awaiting.map(|run| run.since.plus(interval_ms)).min()
    }

    /// Whether a start that got no reply may still be carried out.
    fn may_get_late_starts(&self, now: Millis) -> bool {
        self.unanswered_starts.iter().any(|start| now < start.late_until)
    }

    /// Whether the worker may not know this owner's token yet while starts of the previous owner may be on
    /// their way to it.
    const fn awaits_first_token(&self, now: Millis) -> bool {
        !self.has_replied() && now.since(self.created_at) < LATE_START_MS
    }

    fn first_orphan_seen_at(&self) -> Option<Millis> {
        let running = self.orphaned_runs.values().filter(|orphan| orphan.end.is_none());
        running.map(|orphan| orphan.seen_at).min()
    }

    /// Schedules the next poll: soon if runs may end, late if ended runs only await acknowledgement or
    /// the worker is idle.
    fn schedule_poll(&mut self, now: Millis) {
        let is_overtaken =
            |run: &Run| run.state == RunState::InDoubt && run.token >= self.polled_token;
        let awaits_fence = self.polled_token < self.token && self.runs.values().any(is_overtaken);
        self.next_poll_at = if self.process_doubted_at.is_some() || awaits_fence {
            Some(now)
        } else if !self.runs.is_empty() {
            Some(now.plus(MIN_POLL_INTERVAL_MS))
        } else if let Some(seen_at) = self.first_orphan_seen_at() {
            Some(seen_at.plus(ADOPTION_WINDOW_MS).max(now.plus(MIN_POLL_INTERVAL_MS)))
        } else if self.may_get_late_starts(now) {
            Some(now.plus(LATE_START_POLL_INTERVAL_MS))
        } else if self.cursor > self.acked {
            Some(now.plus(ACK_DELAY_MS))
        } else {
            Some(now.plus(IDLE_POLL_INTERVAL_MS))
        };
    }

    /// Records a reply that another worker's process has the polled address. The runs that were sent
    /// to this address have ended; those whose start is still to be answered are decided by its reply.
    pub fn record_mismatch(&mut self, now: Millis) -> Vec<RunUpdate> {
        let polled_addr = self.polled_addr;
        let is_new = self.reported_loss < Some(LossCause::Replaced);
        let change = is_new.then(|| self.process_change(None, ProcessEvidence::Mismatch));
        let has_ended =
            |_: &TaskName, run: &Run| run.addr == polled_addr && run.state != RunState::Starting;
        let loss = self.report_loss_of(LossCause::Replaced, has_ended);
        let ended: Vec<TaskName> = self
            .runs
            .iter()
            .filter(|(task, run)| has_ended(task, run))
            .map(|(task, _)| task.clone())
            .collect();
        let mut changes: Vec<RunUpdate> = change.into_iter().chain(loss).collect();
        for task in ended {
            let Some(job_task) = self.remove(&task).and_then(|run| run.task_ref) else { continue };
            let evidence = InterruptionEvidence::OtherInstance;
            changes.push(RunUpdate::Interrupted { job_task, evidence });
        }
        self.orphaned_runs.clear();
        changes.extend(self.record_unanswered_poll(now));
        changes
    }
}
