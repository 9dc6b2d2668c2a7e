//! Takes in what workers reply to starts, stops and looks, and what became of runs.
//!
//! Load pattern: replies are lost, come late or come from another lifetime. Each kind of reply leads
//! to its own next step; only what a worker surely did or did not do changes a task.

use dispatch::clock::Millis;

use crate::call::{End, LookReply, Refusal, StartCall, StartReply, StopCall, StopReply};
use crate::job::{Outcome, Reason, TaskState};
use crate::pool::Pool;
use crate::run::RunState;
use crate::worker::Change;

/// How far a start's number jumps where the worker knows a higher one, such as of an earlier
/// request with the same id.
const RUN_NUMBER_JUMP: u32 = 16;
/// The pause before a look that follows a stop, in milliseconds.
const LOOK_AFTER_STOP_MS: u64 = 30;
/// The part of a task's declared time after which its end is looked for.
const FIRST_LOOK_SHARE: f64 = 0.4;

impl Pool {
    /// Takes the reply to a start.
    pub fn start_reply(&mut self, now: Millis, id: &str, call: &StartCall, reply: StartReply) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&call.task).filter(|run| run.run == call.run) else {
            return;
        };
        match reply {
            StartReply::Started { clock_ms } => {
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                    run.since = now;
                }
                let first_look_ms = (run.expected_ms as f64 * FIRST_LOOK_SHARE) as u64;
                worker.note_clock(clock_ms, now);
                worker.look_no_later_than(now.plus(first_look_ms));
            }
            StartReply::Lost => {
                run.state = RunState::InDoubt;
                run.since = now;
                self.send_stop(id, &call.task, call.run);
            }
            StartReply::Refused(refusal) => self.start_refused(now, id, call, refusal),
        }
        self.advance(now);
    }

    /// Takes the reply to a stop.
    pub fn stop_reply(&mut self, now: Millis, id: &str, call: &StopCall, reply: StopReply) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match reply {
            StopReply::Stopped => {
                if let Some(run) = worker.runs.get_mut(&call.task)
                    && run.run == call.run
                {
                    run.state = RunState::Stopping;
                    run.since = now;
                }
                worker.look_no_later_than(now.plus(LOOK_AFTER_STOP_MS));
            }
            StopReply::Refused(Refusal::Fenced) => self.relinquish(),
            StopReply::Refused(_) | StopReply::Lost => {
                worker.look_no_later_than(now.plus(LOOK_AFTER_STOP_MS));
            }
        }
        self.advance(now);
    }

    /// Takes the reply to a look that was sent at `sent_at`.
    pub fn look_reply(&mut self, now: Millis, id: &str, sent_at: Millis, reply: &LookReply) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let changes = match reply {
            LookReply::Report(report) => worker.take_report(now, sent_at, report),
            LookReply::Refused(Refusal::Fenced) => {
                self.relinquish();
                return;
            }
            LookReply::Refused(Refusal::OtherLifetime) => {
                let entry = worker.entry.clone();
                worker.restart(entry, now)
            }
            LookReply::Refused(_) | LookReply::Lost => worker.look_unanswered(now),
        };
        self.apply(now, changes, Some(id));
        self.advance(now);
    }

    fn start_refused(&mut self, now: Millis, id: &str, call: &StartCall, refusal: Refusal) {
        if refusal == Refusal::Fenced {
            self.relinquish();
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.remove(&call.task) else { return };
        match refusal {
            Refusal::NoRoom | Refusal::Late => worker.distrust_room(now),
            Refusal::Unwell | Refusal::NotSent => worker.pause(now),
            Refusal::OtherLifetime => worker.look_no_later_than(now),
            Refusal::OldRun | Refusal::Unreadable | Refusal::Fenced => {}
        }
        let Some((number, at)) = run.task_ref else { return };
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.tasks[at].state = TaskState::Pending;
        if refusal == Refusal::OldRun {
            job.tasks[at].run += RUN_NUMBER_JUMP;
        }
        if refusal == Refusal::Unreadable {
            self.task_failed(now, number, at);
        }
    }

    pub(crate) fn apply(&mut self, now: Millis, changes: Vec<Change>, id: Option<&str>) {
        for change in changes {
            match change {
                Change::Ended { of: (number, at), end, usual_ms } => {
                    self.learn(number, at, end, usual_ms);
                    self.task_ended(now, number, at, end);
                }
                Change::Stop { task, run } => {
                    if let Some(id) = id {
                        self.send_stop(id, &task, run);
                    }
                }
            }
        }
    }

    fn learn(&mut self, number: u64, at: usize, end: End, usual_ms: f64) {
        let Some(job) = self.jobs.get(&number).filter(|_| end == End::Done) else { return };
        let declared_ms = job.spec.steps[job.tasks[at].step as usize].estimate_ms;
        self.estimates.learn(&job.terms.route, declared_ms, usual_ms);
    }

    fn task_ended(&mut self, now: Millis, number: u64, at: usize, end: End) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        match end {
            End::Done => {
                job.tasks[at].state = TaskState::Done;
                self.finish_if_done(number);
            }
            End::Cut => job.tasks[at].state = TaskState::Pending,
            End::Failed => {
                job.tasks[at].state = TaskState::Pending;
                self.task_failed(now, number, at);
            }
        }
    }

    fn task_failed(&mut self, now: Millis, number: u64, at: usize) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.tasks[at].failures += 1;
        if job.tasks[at].failures < job.terms.max_attempts.max(1) {
            return;
        }
        self.answer(number, Outcome::Failed(Reason::TaskFailed));
        self.drop_job(now, number);
    }
}
