//! Test double of a worker of the `pool` crate, with a resource capacity, leases and fencing as the
//! platform's protocol defines them. The state machine takes the time as an argument, so that it
//! works in a simulation with virtual time as well as behind a socket.

use std::collections::HashMap;

use pool::call::{
    ActiveRun, End, EndedRun, PollCall, PollReply, Refusal, Report, StartCall, StartReply,
    StopCall, StopReply,
};
use pool::job::TaskName;
use pool::resources::Resources;
use pool::tokens::step_of;

/// A defect planted in a worker, to check that the test detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerDefect {
    /// No defect.
    Nothing,
    /// Carries out calls of previous owners, whose fencing token is outdated.
    IgnoresFencingTokens,
    /// Carries out calls that a later call of the same owner has overtaken.
    IgnoresOvertakenCalls,
    /// Continues its runs after the lease has expired.
    IgnoresLeases,
    /// Starts runs although a stop call or the end of a run has fenced their run number.
    IgnoresFencedRuns,
}

/// An active run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Run number of the start call.
    pub run: u32,
    /// Resources that the run occupies.
    pub resources: Resources,
    /// Start of the run, in milliseconds of the external clock.
    pub started_at_ms: u64,
    /// End of the run unless it is interrupted, in milliseconds of the external clock.
    pub ends_at_ms: u64,
    /// Result if the run is not interrupted.
    pub end: End,
    /// Time at which a stop takes effect, in milliseconds of the external clock; `None` if no stop
    /// was requested.
    pub stop_at_ms: Option<u64>,
}

/// Work that a start call causes.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Resources that the run occupies.
    pub resources: Resources,
    /// Duration of the run, in milliseconds.
    pub duration_ms: u64,
    /// Result of the run.
    pub end: End,
}

/// A worker with its own clock.
///
/// Methods take the time of an external clock as `now_ms`: virtual time in a simulation, elapsed
/// time behind a socket. The worker's own clock is offset from it and may be slower.
#[derive(Debug)]
pub struct PoolWorker {
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker refuses a start for which it lacks the resources.
    pub guards_capacity: bool,
    /// Planted defect.
    pub defect: WorkerDefect,
    /// Start of the worker's process as reported in polls: 1 at first, then the time of the last
    /// restart in milliseconds of the external clock.
    pub started_at_ms: u64,
    clock_offset_ms: u64,
    /// Amount by which the worker's clock is slower, in thousandths.
    clock_slowdown_permille: u64,
    /// Active runs by task.
    pub active: HashMap<TaskName, Run>,
    /// Highest run number of each task that may not start any more.
    fenced: HashMap<TaskName, u32>,
    /// Ended runs that no poll has acknowledged yet.
    ended: Vec<EndedRun>,
    last_end_number: u64,
    /// Highest fencing token seen.
    token: u64,
    /// Expiry of the lease of all runs, in milliseconds of the worker's clock.
    lease_until_ms: u64,
}

/// Longest lease that a worker grants, in milliseconds of its clock; longer ones are shortened.
pub const MAX_LEASE_MS: u64 = 1_000;
/// Delay from a stop call until the run is interrupted, in milliseconds.
pub const STOP_DELAY_MS: u64 = 50;

impl PoolWorker {
    /// Creates a worker whose clock is ahead by `clock_offset_ms` and slower by
    /// `clock_slowdown_permille` thousandths.
    pub fn new(capacity: Resources, clock_offset_ms: u64, clock_slowdown_permille: u64) -> Self {
        Self {
            capacity,
            guards_capacity: true,
            defect: WorkerDefect::Nothing,
            started_at_ms: 1,
            clock_offset_ms,
            clock_slowdown_permille,
            active: HashMap::new(),
            fenced: HashMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            token: 0,
            lease_until_ms: 0,
        }
    }

    /// Returns the amount by which the worker's clock is ahead, in milliseconds.
    pub const fn clock_offset_ms(&self) -> u64 {
        self.clock_offset_ms
    }

    /// Returns the time of the worker's clock at `now_ms` of the external clock.
    pub fn clock(&self, now_ms: u64) -> u64 {
        self.clock_offset_ms + now_ms - now_ms * self.clock_slowdown_permille / 1_000
    }

    /// Ends all runs that have finished, were stopped or lost their lease by `now_ms`.
    pub fn advance_to(&mut self, now_ms: u64) {
        let lease_expired =
            self.defect != WorkerDefect::IgnoresLeases && self.clock(now_ms) >= self.lease_until_ms;
        let mut finished: Vec<(TaskName, u32, End)> = Vec::new();
        for (name, active) in &self.active {
            if active.stop_at_ms.is_some_and(|at| now_ms >= at)
                || (lease_expired && now_ms < active.ends_at_ms)
            {
                finished.push((name.clone(), active.run, End::Interrupted));
            } else if now_ms >= active.ends_at_ms {
                finished.push((name.clone(), active.run, active.end));
            }
        }
        finished.sort();
        for (name, run, end) in finished {
            self.active.remove(&name);
            let fenced = self.fenced.entry(name.clone()).or_default();
            *fenced = (*fenced).max(run);
            self.last_end_number += 1;
            self.ended.push(EndedRun { number: self.last_end_number, task: Some(name), run, end });
        }
    }

    /// Returns when a run ends after `now_ms` if no further call arrives, in milliseconds of the external
    /// clock.
    pub fn next_end_ms(&self, task: &TaskName, now_ms: u64) -> u64 {
        let Some(run) = self.active.get(task) else { return now_ms };
        let ends_ms = run.stop_at_ms.map_or(run.ends_at_ms, |stop_ms| stop_ms.min(run.ends_at_ms));
        let has_lapsed = |at_ms: &u64| self.clock(*at_ms) >= self.lease_until_ms;
        (now_ms..ends_ms).find(has_lapsed).unwrap_or(ends_ms.max(now_ms))
    }

    /// Returns the active runs, with their number and the time of the external clock at which they end
    /// unless their lease is renewed or they are stopped, in milliseconds.
    pub fn planned_ends(&self, now_ms: u64) -> impl Iterator<Item = (&TaskName, u32, u64)> {
        let lease_left_ms = self.lease_until_ms.saturating_sub(self.clock(now_ms));
        self.active.iter().map(move |(task, active)| {
            let ends_at_ms = active.ends_at_ms.min(now_ms + lease_left_ms);
            (task, active.run, active.stop_at_ms.map_or(ends_at_ms, |at| at.min(ends_at_ms)))
        })
    }

    /// Restarts the worker's process: its runs, fences, unacknowledged ends, fencing token and
    /// lease are lost, and its clock is ahead by `clock_offset_ms` from now on.
    pub fn restart(&mut self, now_ms: u64, clock_offset_ms: u64) {
        self.clock_offset_ms = clock_offset_ms;
        self.active.clear();
        self.fenced.clear();
        self.ended.clear();
        self.last_end_number = 0;
        self.token = 0;
        self.lease_until_ms = 0;
        self.started_at_ms = now_ms;
    }

    /// Whether a call's fencing token is outdated; a newer token is remembered.
    fn has_outdated_token(&mut self, token: u64) -> bool {
        self.token = self.token.max(token);
        match self.defect {
            WorkerDefect::IgnoresFencingTokens => false,
            WorkerDefect::IgnoresOvertakenCalls => step_of(token) < step_of(self.token),
            WorkerDefect::Nothing
            | WorkerDefect::IgnoresLeases
            | WorkerDefect::IgnoresFencedRuns => token < self.token,
        }
    }

    /// Whether a call with a newer fencing token than `token` was received.
    pub fn has_seen_newer_token(&self, token: u64) -> bool {
        token < self.token
    }

    /// Carries out a start call. Returns the reply and whether a run started.
    pub fn start(&mut self, now_ms: u64, call: &StartCall, work: Work) -> (StartReply, bool) {
        self.advance_to(now_ms);
        let refuse = |refusal| (StartReply::Refused(refusal), false);
        if self.has_outdated_token(call.token) {
            return refuse(Refusal::Fenced);
        }
        let clock_ms = self.clock(now_ms);
        if self.active.get(&call.task).is_some_and(|active| active.run == call.run) {
            return (StartReply::Started { clock_ms }, false);
        }
        if call.lease_until_ms <= clock_ms {
            return refuse(Refusal::LeaseExpired);
        }
        self.extend_lease(clock_ms, call.lease_until_ms);
        let fenced_run = self.fenced.get(&call.task).copied().unwrap_or(0);
        let fenced_run =
            if self.defect == WorkerDefect::IgnoresFencedRuns { 0 } else { fenced_run };
        if call.run <= fenced_run || self.active.contains_key(&call.task) {
            return refuse(Refusal::OldRun);
        }
        if self.guards_capacity && !self.capacity.minus(self.used()).can_fit(work.resources) {
            return refuse(Refusal::NoCapacity);
        }
        let active = Run {
            run: call.run,
            resources: work.resources,
            started_at_ms: now_ms,
            ends_at_ms: now_ms + work.duration_ms,
            end: work.end,
            stop_at_ms: None,
        };
        self.active.insert(call.task.clone(), active);
        (StartReply::Started { clock_ms }, true)
    }

    fn extend_lease(&mut self, clock_ms: u64, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(clock_ms + MAX_LEASE_MS));
    }

    /// Returns the resources that the active runs occupy, including those that are being stopped.
    pub fn used(&self) -> Resources {
        let runs = self.active.values();
        runs.fold(Resources::default(), |used, active| used.plus(active.resources))
    }

    /// Carries out a stop call: fences the run and, if it is active, interrupts it after
    /// [`STOP_DELAY_MS`].
    pub fn stop(&mut self, now_ms: u64, call: &StopCall) -> StopReply {
        self.advance_to(now_ms);
        if self.has_outdated_token(call.token) {
            return StopReply::Refused(Refusal::Fenced);
        }
        let fenced = self.fenced.entry(call.task.clone()).or_default();
        *fenced = (*fenced).max(call.run);
        if let Some(active) = self.active.get_mut(&call.task) {
            active.stop_at_ms.get_or_insert(now_ms + STOP_DELAY_MS);
        }
        StopReply::Stopped
    }

    /// Carries out the first part of a poll: renews the lease and drops acknowledged ended runs.
    /// Returns a reply only if the poll is refused; otherwise [`Self::report`] gives the reply.
    pub fn begin_poll(&mut self, now_ms: u64, call: &PollCall) -> Option<PollReply> {
        self.advance_to(now_ms);
        if self.has_outdated_token(call.token) {
            return Some(PollReply::Refused(Refusal::Fenced));
        }
        let clock_ms = self.clock(now_ms);
        self.extend_lease(clock_ms, call.lease_until_ms.unwrap_or(0));
        self.ended.retain(|ended| ended.number > call.ack_cursor);
        None
    }

    /// Whether any ended run is not acknowledged yet.
    pub fn has_unacknowledged_runs(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the reply to a poll: the active runs and the unacknowledged ended runs.
    pub fn report(&mut self, now_ms: u64) -> PollReply {
        self.advance_to(now_ms);
        let percent = |active: &Run| {
            let span_ms = (active.ends_at_ms - active.started_at_ms).max(1);
            ((now_ms - active.started_at_ms) * 100 / span_ms) as u32
        };
        let running = self.active.iter().map(|(name, active)| ActiveRun {
            task: Some(name.clone()),
            run: active.run,
            percent: percent(active),
        });
        PollReply::Report(Report {
            clock_ms: self.clock(now_ms),
            started_at_ms: Some(self.started_at_ms),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }
}
