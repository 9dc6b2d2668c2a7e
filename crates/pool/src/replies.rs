//! Handles the replies of workers to starts, stops and polls, and the ends of runs.
//!
//! Replies can be lost, late, or from a worker process that has since restarted. A task changes
//! state only if it is certain what the worker did; otherwise the worker is polled under a higher
//! fencing token.

use std::rc::Rc;

use dispatch::clock::Millis;

use crate::call::{End, PollReply, Refusal, StartCall, StartReply, StopCall, StopReply};
use crate::crashes::Crash;
use crate::job::{Outcome, Reason, TaskName, TaskState};
use crate::pool::{Action, Pool};
use crate::round_trip::MIN_TIMEOUT_MS;
use crate::run::{Interruption, InterruptionEvidence, Measurement, RunState, Timing};
use crate::tokens::next_revision;
use crate::worker::RunUpdate;
use crate::worker_clock::ClockReading;

/// Increment of the run number after a worker refused a start because it knows a higher one, for
/// example from a previous request with the same id.
const RUN_NUMBER_JUMP: u32 = 16;
/// Delay between the reply to a stop and the next poll, in milliseconds.
const POLL_AFTER_STOP_MS: u64 = 30;
/// Fraction of a run's expected time after which the worker is first polled for its end.
const FIRST_POLL_FRACTION: f64 = 0.4;

impl Pool {
    /// Handles the reply to a start.
    pub fn start_reply(&mut self, now: Millis, id: &str, call: &StartCall, reply: StartReply) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&call.task).filter(|run| run.run == call.run) else {
            return;
        };
        match reply {
            StartReply::Lost => self.round_trip.record_timeout(),
            // No connection was open and verified within the time-out.
            StartReply::Refused(Refusal::NotSent) if now.since(run.sent_at) >= MIN_TIMEOUT_MS => {
                self.round_trip.record_timeout();
            }
            StartReply::Refused(Refusal::NotSent | Refusal::NotListening) => {}
            StartReply::Started { .. } | StartReply::Refused(_) => {
                self.round_trip.record_reply(now.since(run.sent_at));
            }
        }
        match reply {
            StartReply::Started { clock_ms } => {
                match run.state {
                    RunState::Starting => (run.state, run.since) = (RunState::Running, now),
                    RunState::InDoubt => (run.state, run.since) = (RunState::Stopping, now),
                    RunState::Running | RunState::Stopping | RunState::Stopped => {}
                }
                let first_poll_ms = (run.expected_ms as f64 * FIRST_POLL_FRACTION) as u64;
                let (process, asked_at) = (run.process, run.sent_at);
                let reading = ClockReading { clock_ms, process, asked_at, read_at: now };
                worker.confirm_start(reading, call.lease_until_ms);
                worker.poll_no_later_than(now.plus(first_poll_ms));
            }
            StartReply::Lost => {
                run.state = RunState::InDoubt;
                run.since = now;
                let has_overtaken = run.token < worker.token;
                worker.record_unanswered_start(&call.task, now);
                worker.poll_no_later_than(now);
                if !has_overtaken && !self.raise_worker_token(id) {
                    self.send_stop(id, &call.task, call.run);
                }
            }
            StartReply::Refused(refusal) => self.start_refused(now, id, call, refusal),
        }
        self.advance(now);
    }

    /// Gives the calls to a worker a higher fencing token from now on, so that the next one that the
    /// worker answers settles all starts before it: what is not listed then never begins. Returns
    /// whether there was a token left.
    fn raise_worker_token(&mut self, id: &str) -> bool {
        let first = self.token();
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let Some(token) = next_revision(first, worker.token) else { return false };
        worker.token = token;
        self.last_token = self.last_token.max(token);
        true
    }

    /// Handles the reply to a stop.
    pub fn stop_reply(&mut self, now: Millis, id: &str, call: &StopCall, reply: StopReply) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let is_overtaken = call.token < worker.token;
        match reply {
            StopReply::Stopped => {
                if let Some(run) = worker.runs.get_mut(&call.task)
                    && run.run == call.run
                {
                    run.state = RunState::Stopped;
                    run.since = now;
                }
                worker.poll_no_later_than(now.plus(POLL_AFTER_STOP_MS));
            }
            StopReply::Refused(Refusal::Fenced) if is_overtaken => {
                self.send_stop(id, &call.task, call.run);
            }
            StopReply::Refused(Refusal::Fenced) => self.relinquish(),
            StopReply::Refused(_) | StopReply::Lost => {
                worker.poll_no_later_than(now.plus(POLL_AFTER_STOP_MS));
            }
        }
        self.advance(now);
    }

    /// Handles the reply to a poll that was sent at `sent_at`.
    pub fn poll_reply(&mut self, now: Millis, id: &str, sent_at: Millis, reply: &PollReply) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_newer_than(sent_at) {
            return;
        }
        let is_overtaken = worker.polled_token < worker.token;
        let changes = match reply {
            PollReply::Report(report) => worker.apply_report(now, sent_at, report),
            PollReply::Refused(Refusal::Fenced) if is_overtaken => {
                worker.repeat_poll(now);
                Vec::new()
            }
            PollReply::Refused(Refusal::Fenced) => {
                self.relinquish();
                return;
            }
            PollReply::Refused(Refusal::InstanceMismatch) => worker.record_mismatch(now),
            PollReply::Refused(Refusal::NotListening) => worker.record_refused_poll(now),
            PollReply::Refused(_) | PollReply::Lost => worker.record_unanswered_poll(now),
        };
        self.apply(now, changes, Some(id));
        self.record_usable_worker(now, id);
        self.advance(now);
    }

    fn start_refused(&mut self, now: Millis, id: &str, call: &StartCall, refusal: Refusal) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if refusal == Refusal::Fenced && call.token >= worker.token {
            self.relinquish();
            return;
        }
        let Some(run) = worker.remove(&call.task) else { return };
        match refusal {
            Refusal::NoCapacity | Refusal::LeaseExpired => worker.recheck_capacity(now),
            Refusal::Unhealthy | Refusal::NotListening => worker.pause(now),
            Refusal::NotSent => worker.record_unsent_start(now),
            Refusal::InstanceMismatch => worker.doubt_process(now),
            Refusal::OldRun | Refusal::Unreadable | Refusal::Fenced => {}
        }
        let Some((number, at)) = run.task_ref else { return };
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.tasks[at].state = TaskState::Pending;
        if refusal == Refusal::OldRun {
            let task = &mut job.tasks[at];
            task.run = task.run.saturating_add(RUN_NUMBER_JUMP);
        }
        if refusal == Refusal::Unreadable {
            self.task_failed(now, number, at);
        }
    }

    pub(crate) fn apply(&mut self, now: Millis, changes: Vec<RunUpdate>, id: Option<&str>) {
        for change in changes {
            match change {
                RunUpdate::Ended { job_task: (number, at), end, measured } => {
                    self.record_run(number, at, end, measured);
                    if end == End::Interrupted {
                        self.report_interruption(number, at, InterruptionEvidence::Reported);
                    }
                    self.task_ended(now, number, at, end);
                }
                RunUpdate::Interrupted { job_task: (number, at), evidence } => {
                    self.report_interruption(number, at, evidence);
                    self.task_ended(now, number, at, End::Interrupted);
                }
                RunUpdate::Stop { task, run } => {
                    // A job may have adopted the run since the report was applied.
                    if let Some(id) = id.filter(|id| !self.is_wanted(id, &task, run)) {
                        self.send_stop(id, &task, run);
                    }
                }
                RunUpdate::WorkerLost(loss) => {
                    let crash = Crash::from_loss(&loss);
                    self.actions.push(Action::ReportLoss(loss));
                    if let Some(crash) = crash {
                        self.apply_crash(now, now, &crash);
                    }
                }
                RunUpdate::WorkerReturned(life) => {
                    self.apply_retraction(&life);
                    self.actions.push(Action::ReportReturn(life));
                }
                RunUpdate::ProcessChanged(change) => {
                    self.actions.push(Action::ReportProcess(change));
                }
                RunUpdate::SlowWorker(percent) => {
                    if let Some(id) = id {
                        self.report_slow_worker(id, percent);
                    }
                }
                RunUpdate::OrphanFound { task, run } => {
                    if let Some((id, _)) = id.and_then(|id| self.workers.get_key_value(id)) {
                        let report = Action::ReportOrphan(Rc::clone(id), task.clone(), run);
                        self.actions.push(report);
                    }
                    self.claim_orphan(now, id, &task, run);
                }
            }
        }
    }

    fn is_wanted(&self, id: &str, task: &TaskName, run: u32) -> bool {
        let known = self.workers.get(id).and_then(|worker| worker.runs.get(task));
        known.is_some_and(|known| known.run == run && known.task_ref.is_some())
    }

    /// Updates the ramp from an ended run, and the estimate to which its duration applies.
    fn record_run(&mut self, number: u64, at: usize, end: End, measured: Measurement) {
        if let (Some(ramp), 1..) = (&mut self.ramp, measured.ramp_millicores)
            && end != End::Interrupted
        {
            ramp.record_end(measured.ramp_millicores, end == End::Done);
        }
        let Some(job) = self.jobs.get(&number).filter(|_| end == End::Done) else { return };
        match measured.timing {
            Timing::Warm => {
                let declared_ms = job.spec.steps[job.tasks[at].step as usize].estimate_ms;
                let normalized_ms = measured.took_ms as f64 / measured.slowdown;
                self.estimates.record_run(&job.terms.route, declared_ms, normalized_ms);
            }
            Timing::Cold(_) => {
                let warm_ms = measured.expected_ms as f64 * measured.slowdown;
                self.cold.record(measured.took_ms, warm_ms);
            }
            Timing::Adopted => {}
        }
    }

    /// Reports that the last run of a task has ended without a result.
    pub(crate) fn report_interruption(
        &mut self,
        number: u64,
        at: usize,
        evidence: InterruptionEvidence,
    ) {
        let Some(job) = self.jobs.get(&number) else { return };
        let (task, run, worker) = (job.name(at), job.tasks[at].run, job.tasks[at].worker.clone());
        self.actions.push(Action::ReportInterruption(Interruption { task, run, worker, evidence }));
    }

    fn task_ended(&mut self, now: Millis, number: u64, at: usize, end: End) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        match end {
            End::Done => {
                job.tasks[at].state = TaskState::Done;
                self.finish_if_done(number);
            }
            End::Interrupted => job.tasks[at].state = TaskState::Pending,
            End::Failed => {
                job.tasks[at].state = TaskState::Pending;
                self.task_failed(now, number, at);
            }
        }
    }

    fn task_failed(&mut self, now: Millis, number: u64, at: usize) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.tasks[at].failures += 1;
        self.fail_if_exhausted(now, number);
    }

    /// Fails a job if one of its tasks has failed as many times as the route allows, under this and
    /// previous owners of the cell.
    pub(crate) fn fail_if_exhausted(&mut self, now: Millis, number: u64) {
        let Some(job) = self.jobs.get(&number) else { return };
        let max_attempts = job.terms.max_attempts.max(1);
        if job.tasks.iter().any(|task| task.failures >= max_attempts) {
            self.answer(number, Outcome::Failed(Reason::TaskFailed));
            self.drop_job(now, number);
        }
    }
}
