//! Execution of tasks on workers: starts, outcomes, tasks in doubt, leases, retries and
//! cancellation.
//!
//! A task is in doubt while it is unknown whether its worker started it. Its worker is queried
//! until it is known, and the task is not started elsewhere meanwhile.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::answer::{Answer, Reason, TaskEnd, Verdict};
use crate::clock::Millis;
use crate::engine::{Action, Engine, Hint, Running, StartOutcome};
use crate::jobs::{JobPhase, RequestId, TaskState};
use crate::queue::QueuedTask;
use crate::ticket::{JobId, TaskId};
use crate::workers::Choice;

/// Minimum lease of a task.
const MIN_LEASE_MS: u64 = 10_000;
/// Lease of a task as a multiple of its expected run time.
const LEASE_FACTOR: u64 = 4;
/// Minimum interval between two queries about a task in doubt; it grows to half of the time in
/// doubt.
const MIN_QUERY_INTERVAL_MS: u64 = 100;
/// Time in doubt after which a task ends as [`TaskEnd::InDoubt`]. While a query is pending, no
/// second one is sent within this time.
const IN_DOUBT_TIMEOUT_MS: u64 = 8_000;
/// Part of a retry that each successful task adds to the retry budget.
const RETRY_TOKENS_PER_SUCCESS: f64 = 0.1;
const MAX_RETRY_TOKENS: f64 = 200.0;
/// Delay before a task is queued again when the retry budget is exhausted.
const RETRY_DELAY_MS: u64 = 100;
/// Smoothing factor of the mean log ratio of actual to expected run time over all workers, against
/// which the speed of one worker is measured.
const GLOBAL_RATIO_SMOOTHING: f64 = 0.01;
/// A task is overdue when it has run for more than this multiple of its expected run time plus
/// `OVERDUE_MARGIN_MS`.
const OVERDUE_FACTOR: u64 = 2;
const OVERDUE_MARGIN_MS: u64 = 50;
/// An overdue task counts against its worker's speed only if the trust in the declared run times
/// of its kind exceeds this.
const MIN_OVERDUE_TRUST: f64 = 0.6;

impl Engine {
    /// Starts a queued task on a worker.
    pub(crate) fn start_task(&mut self, queued: QueuedTask, worker: u32, now: Millis) {
        let Some(job) = self.jobs.get_mut(&queued.task.job) else {
            return;
        };
        job.tasks[queued.task.index as usize] = TaskState::Sent;
        job.maybe_started += 1;
        let work = Rc::clone(&job.request);
        *self.owners_running.entry(job.flow.owner.clone()).or_insert(0) += 1;
        let lease_ms = MIN_LEASE_MS.max(queued.expected_ms * LEASE_FACTOR);
        self.workers.started(worker);
        self.attempts += 1;
        self.running.insert(
            queued.task,
            Running {
                attempt: self.attempts,
                overdue: false,
                worker,
                queued,
                sent_at: now,
                lease_until: now.plus(lease_ms),
                lease_ms,
                boot: self.workers.get(worker).boot,
                in_doubt_since: None,
                next_query_at: now,
            },
        );
        self.counters.starts += 1;
        self.actions.push(Action::Start {
            task: queued.task,
            attempt: self.attempts,
            worker: self.workers.get(worker).info.addr,
            boot: self.workers.get(worker).boot,
            work,
            lease_ms,
            hold: self.choice != Choice::Shares,
        });
    }

    /// Updates the state of a worker from a reply, unless the reply belongs to an earlier attempt.
    pub(crate) fn apply_hint(&mut self, task: TaskId, attempt: u64, hint: Hint, now: Millis) {
        let running = self.running.get(&task);
        if let Some(running) = running.filter(|running| running.attempt == attempt) {
            self.workers.hinted(running.worker, hint, now);
        }
    }

    /// Processes the outcome of a start, or of a query about a task in doubt.
    ///
    /// Replies to earlier attempts are ignored: a late "never started" would otherwise requeue a
    /// task that is now running on another worker.
    pub(crate) fn handle_outcome(
        &mut self,
        task: TaskId,
        attempt: u64,
        end: StartOutcome,
        boot: Option<u64>,
        now: Millis,
    ) {
        let running = self.running.get(&task).cloned();
        let Some(running) = running.filter(|running| running.attempt == attempt) else {
            self.counters.late_replies += 1;
            return;
        };
        // A worker process that was restarted after the start was sent cannot prove that the
        // task never started.
        let proven = running.in_doubt_since.is_none() || (boot.is_some() && boot == running.boot);
        match end {
            StartOutcome::NeverWill if !proven => self.requery(task, StartOutcome::NoAnswer, now),
            StartOutcome::Done { output, digest, run_ms } => {
                self.record_success(&running, task, run_ms);
                self.retry_tokens =
                    (self.retry_tokens + RETRY_TOKENS_PER_SUCCESS).min(MAX_RETRY_TOKENS);
                self.finish_task(task, TaskEnd::Done { output, digest }, run_ms, now);
            }
            StartOutcome::Failed { detail, run_ms } => {
                self.record_failure(&running, task, now);
                self.finish_task(task, TaskEnd::Failed { detail }, run_ms, now);
            }
            StartOutcome::Stopped => self.finish_task(task, TaskEnd::Stopped, 0, now),
            StartOutcome::Full => {
                self.workers.was_full(running.worker);
                self.counters.refused_starts += 1;
                self.requeue_task(task, now);
            }
            StartOutcome::Leaving | StartOutcome::NeverWill => {
                self.counters.refused_starts += 1;
                self.requeue_task(task, now);
            }
            StartOutcome::Refused | StartOutcome::NoConnection => {
                self.workers.unreachable(running.worker, now);
                self.expedite_renewals(running.worker, now);
                self.counters.refused_starts += 1;
                self.requeue_task(task, now);
            }
            StartOutcome::ReplyLost => {
                self.counters.in_doubt += 1;
                self.workers.unreachable(running.worker, now);
                self.mark_in_doubt(task, now);
            }
            StartOutcome::StillRuns | StartOutcome::NoAnswer => self.requery(task, end, now),
        }
    }

    /// Queries workers about the tasks in doubt whose next query is due.
    pub(crate) fn query_tasks_in_doubt(&mut self, now: Millis) {
        let due: Vec<TaskId> = self
            .tasks_in_doubt
            .iter()
            .filter(|task| self.running.get(task).is_some_and(|r| r.next_query_at <= now))
            .copied()
            .collect();
        for task in due {
            self.query_worker(task, now);
        }
    }

    /// Renews the leases that have reached half of their time, with one message per worker.
    pub(crate) fn renew_leases(&mut self, now: Millis) {
        let mut due: BTreeMap<SocketAddr, (Vec<TaskId>, u64)> = BTreeMap::new();
        for (task, running) in &mut self.running {
            let half = Millis(running.lease_until.0.saturating_sub(running.lease_ms / 2));
            if now < half {
                continue;
            }
            running.lease_until = now.plus(running.lease_ms);
            let addr = self.workers.get(running.worker).info.addr;
            let entry = due.entry(addr).or_default();
            entry.0.push(*task);
            entry.1 = entry.1.max(running.lease_ms);
        }
        for (worker, (tasks, lease_ms)) in due {
            self.actions.push(Action::Renew { worker, tasks, lease_ms });
        }
    }

    /// Makes every lease on a worker that may have failed due for renewal at the next housekeeping.
    ///
    /// A failed renewal puts its tasks in doubt, so that a failed worker is detected early.
    fn expedite_renewals(&mut self, worker: u32, now: Millis) {
        for running in self.running.values_mut().filter(|running| running.worker == worker) {
            running.lease_until = running.lease_until.min(now.plus(running.lease_ms / 2));
        }
    }

    /// Detects tasks that run for much longer than expected and counts them against the speed of
    /// their workers, without waiting for them to end.
    pub(crate) fn detect_overdue(&mut self, now: Millis) {
        for (task, running) in &mut self.running {
            let elapsed_ms = now.since(running.sent_at);
            let limit_ms = running.queued.expected_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
            if running.overdue || elapsed_ms < limit_ms {
                continue;
            }
            running.overdue = true;
            let kind = self.jobs.get(&task.job).map(|job| job.request.kind.as_str());
            let trust = kind.map_or(0.0, |kind| self.estimates.trust(kind));
            if trust > MIN_OVERDUE_TRUST {
                let log_ratio = (elapsed_ms as f64 / running.queued.expected_ms as f64).ln();
                self.workers.learn_speed(running.worker, log_ratio, trust);
            }
        }
    }

    /// Cancels a job; its answer is sent to `request`.
    pub(crate) fn cancel(&mut self, request: RequestId, id: JobId, expiry: Millis, now: Millis) {
        if !self.jobs.contains_key(&id) {
            self.wait_or_cancel_unused(request, id, expiry, now);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.waiters.push(request);
        if job.phase == JobPhase::Journalling || job.maybe_started == 0 {
            self.end_not_run(id, Answer::not_run(Reason::Cancelled), now);
            return;
        }
        job.phase = JobPhase::Cancelling;
        self.end_waiting_tasks(id);
        self.stop_running(id);
        self.finish_job_if_ended(id, now);
    }

    /// Ends a job of which nothing has started or will start.
    pub(crate) fn end_not_run(&mut self, id: JobId, answer: Answer, now: Millis) {
        self.dequeue_job(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let answer = self.refuse(id, job.digest, answer, now);
        for waiter in job.waiters {
            self.reply(waiter, Rc::clone(&answer));
        }
    }

    /// Ends the waiting tasks of a job as not started; the job is answered once its running tasks
    /// have ended.
    pub(crate) fn fail_waiting_tasks(&mut self, id: JobId, now: Millis) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = JobPhase::Failing;
        }
        self.end_waiting_tasks(id);
        self.finish_job_if_ended(id, now);
    }

    fn wait_or_cancel_unused(
        &mut self,
        request: RequestId,
        id: JobId,
        expiry: Millis,
        now: Millis,
    ) {
        use crate::home::Standing;
        if matches!(self.home.standing(id, expiry, now), Standing::Fresh) {
            let answer = self.refuse(id, 0, Answer::not_run(Reason::Cancelled), now);
            self.reply(request, answer);
            return;
        }
        self.wait(request, id, expiry, now);
    }

    fn finish_task(&mut self, task: TaskId, end: TaskEnd, run_ms: u64, now: Millis) {
        self.remove_running(task);
        self.counters.ended += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.ideal_ms = job.ideal_ms.max(run_ms);
        job.unfinished -= 1;
        job.progress_at = now;
        let failed = !matches!(end, TaskEnd::Done { .. });
        job.tasks[task.index as usize] = TaskState::Ended(end);
        if failed && job.phase == JobPhase::Active {
            job.phase = JobPhase::Failing;
            self.end_waiting_tasks(task.job);
        }
        self.finish_job_if_ended(task.job, now);
    }

    /// Queues a task again that is known not to have started.
    fn requeue_task(&mut self, task: TaskId, now: Millis) {
        let Some(running) = self.remove_running(task) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.maybe_started -= 1;
        job.tasks[task.index as usize] = TaskState::Waiting;
        if job.phase != JobPhase::Active {
            job.tasks[task.index as usize] = TaskState::Ended(TaskEnd::NotStarted);
            job.unfinished -= 1;
            self.finish_job_if_ended(task.job, now);
            return;
        }
        if self.is_late(task.job, now) {
            self.end_late(task.job, now);
            return;
        }
        self.counters.retries += 1;
        if self.retry_tokens < 1.0 {
            self.delayed_retries.push((now.plus(RETRY_DELAY_MS), running.queued));
            return;
        }
        self.retry_tokens -= 1.0;
        if let Some(job) = self.jobs.get(&task.job) {
            self.queue.requeue(&job.flow, running.queued);
        }
    }

    /// Queues tasks again whose retry was delayed because the retry budget was exhausted.
    pub(crate) fn requeue_delayed(&mut self, now: Millis) {
        let (due, later) =
            std::mem::take(&mut self.delayed_retries).into_iter().partition(|d| d.0 <= now);
        self.delayed_retries = later;
        let due: Vec<(Millis, QueuedTask)> = due;
        for (_, queued) in due {
            if let Some(job) = self.jobs.get(&queued.task.job) {
                self.queue.requeue(&job.flow, queued);
            }
        }
    }

    /// Removes the unsent tasks of a job from the queue and from the delayed retries.
    fn dequeue_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        self.queue.remove_job(&job.flow, id);
        self.delayed_retries.retain(|(_, queued)| queued.task.job != id);
    }

    fn remove_running(&mut self, task: TaskId) -> Option<Running> {
        self.tasks_in_doubt.remove(&task);
        let running = self.running.remove(&task)?;
        self.workers.ended(running.worker);
        if let Some(job) = self.jobs.get(&task.job) {
            self.queue.slot_freed(&job.flow);
            if let Some(count) = self.owners_running.get_mut(&job.flow.owner) {
                *count = count.saturating_sub(1);
            }
        }
        Some(running)
    }

    /// Marks a task as in doubt and queries its worker.
    pub(crate) fn mark_in_doubt(&mut self, task: TaskId, now: Millis) {
        let Some(running) = self.running.get_mut(&task) else {
            return;
        };
        if !self.tasks_in_doubt.insert(task) {
            return;
        }
        running.in_doubt_since = Some(now);
        self.query_worker(task, now);
    }

    fn requery(&mut self, task: TaskId, end: StartOutcome, now: Millis) {
        let Some(running) = self.running.get_mut(&task) else {
            return;
        };
        let since = *running.in_doubt_since.get_or_insert(now);
        if end == StartOutcome::StillRuns {
            running.in_doubt_since = Some(now);
        }
        running.next_query_at = now.plus(MIN_QUERY_INTERVAL_MS.max(now.since(since) / 2));
        if now.since(since) > IN_DOUBT_TIMEOUT_MS {
            self.finish_task(task, TaskEnd::InDoubt, 0, now);
            return;
        }
        self.tasks_in_doubt.insert(task);
    }

    fn query_worker(&mut self, task: TaskId, now: Millis) {
        let Some(running) = self.running.get_mut(&task) else {
            return;
        };
        // A query has a time limit of its own; no second one is sent while it is pending.
        running.next_query_at = now.plus(IN_DOUBT_TIMEOUT_MS);
        let attempt = running.attempt;
        let worker = self.workers.get(running.worker).info.addr;
        self.actions.push(Action::QueryTask { task, attempt, worker });
    }

    fn end_waiting_tasks(&mut self, id: JobId) {
        self.dequeue_job(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for state in &mut job.tasks {
            if *state == TaskState::Waiting {
                *state = TaskState::Ended(TaskEnd::NotStarted);
                job.unfinished -= 1;
            }
        }
    }

    fn stop_running(&mut self, id: JobId) {
        let mut stops: BTreeMap<SocketAddr, Vec<TaskId>> = BTreeMap::new();
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for (index, state) in job.tasks.iter().enumerate() {
            let task = TaskId { job: id, index: index as u32 };
            if let (TaskState::Sent, Some(running)) = (state, self.running.get(&task)) {
                let addr = self.workers.get(running.worker).info.addr;
                stops.entry(addr).or_default().push(task);
            }
        }
        for (worker, tasks) in stops {
            self.actions.push(Action::Stop { worker, tasks });
        }
    }

    fn finish_job_if_ended(&mut self, id: JobId, now: Millis) {
        if self.jobs.get(&id).is_none_or(|job| job.unfinished > 0) {
            return;
        }
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let tasks: Vec<TaskEnd> = job.tasks.into_iter().map(final_end).collect();
        let (verdict, reason) = job_verdict(&tasks, job.phase);
        if verdict == Verdict::NotRun {
            let answer = self.refuse(id, job.digest, Answer::not_run(reason), now);
            for waiter in job.waiters {
                self.reply(waiter, Rc::clone(&answer));
            }
            return;
        }
        let answer = Rc::new(Answer { verdict, reason, retry_after_ms: None, tasks });
        self.home.hold(id, job.digest, Rc::clone(&answer), now);
        self.counters.finished(verdict);
        for waiter in job.waiters {
            self.reply(waiter, Rc::clone(&answer));
        }
        self.actions.push(Action::JobEnded {
            kind: job.request.kind.clone(),
            verdict,
            response_ms: now.since(job.accepted_at),
            ideal_ms: job.ideal_ms,
        });
    }

    fn record_success(&mut self, running: &Running, task: TaskId, run_ms: u64) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let declared_ms = job.request.tasks[task.index as usize].declared_ms;
        let kind = &job.request.kind;
        let expected_ms = self.estimates.expected_ms(kind, declared_ms);
        let log_ratio = (run_ms.max(1) as f64 / expected_ms as f64).ln();
        let trust = self.estimates.trust(kind);
        self.workers.learn_speed(running.worker, log_ratio - self.global_log_ratio, trust);
        self.global_log_ratio += GLOBAL_RATIO_SMOOTHING * (log_ratio - self.global_log_ratio);
        self.estimates.learn(kind, declared_ms, run_ms);
        self.kinds.note(kind, running.worker, false);
        self.workers.succeeded(running.worker);
    }

    fn record_failure(&mut self, running: &Running, task: TaskId, now: Millis) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let kind = &job.request.kind;
        let share = 1.0 - self.kinds.failure_rate_elsewhere(kind, running.worker);
        self.kinds.note(kind, running.worker, true);
        if self.workers.failed(running.worker, share, now) {
            self.counters.set_aside += 1;
        }
    }
}

fn final_end(state: TaskState) -> TaskEnd {
    match state {
        TaskState::Ended(end) => end,
        TaskState::Waiting => TaskEnd::NotStarted,
        TaskState::Sent => TaskEnd::InDoubt,
    }
}

fn job_verdict(tasks: &[TaskEnd], phase: JobPhase) -> (Verdict, Reason) {
    let cancelled = phase == JobPhase::Cancelling;
    if tasks.iter().all(|end| matches!(end, TaskEnd::Done { .. })) {
        return (Verdict::Complete, Reason::Done);
    }
    if tasks.iter().all(|end| *end == TaskEnd::NotStarted) {
        let reason = if cancelled { Reason::Cancelled } else { Reason::Overloaded };
        return (Verdict::NotRun, reason);
    }
    if tasks.contains(&TaskEnd::InDoubt) {
        return (Verdict::Failed, Reason::WorkerLost);
    }
    let reason = if cancelled { Reason::Cancelled } else { Reason::TaskFailed };
    (Verdict::Failed, reason)
}
