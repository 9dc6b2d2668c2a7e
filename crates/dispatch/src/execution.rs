//! Starts, ends, doubts, leases and cancellations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::answer::{Answer, Reason, TaskEnd, Verdict};
use crate::clock::Millis;
use crate::engine::{Action, Engine, Hint, Running, StartEnd};
use crate::jobs::{JobPhase, RequestId, TaskState};
use crate::queue::QueuedTask;
use crate::ticket::{JobId, TaskId};
use crate::workers::SelectionPolicy;

/// The shortest lease of a task.
const LEAST_LEASE_MS: u64 = 10_000;
/// The lease as a multiple of the expected run time.
const LEASE_FACTOR: u64 = 4;
/// The first pause between two questions about a task in doubt.
const ASK_AGAIN_MS: u64 = 100;
/// How long a worker is asked before a task in doubt is given up.
const DOUBT_LIMIT_MS: u64 = 8_000;
/// How much of a retry each success earns.
const RETRY_SHARE: f64 = 0.1;
const MOST_RETRY_TOKENS: f64 = 200.0;
/// How long a task waits for its next start while the retry budget is spent.
const RETRY_PAUSE_MS: u64 = 100;
const LEARN_SHARE: f64 = 0.01;
/// A task is overdue past this multiple of its expected run time, and a margin.
const OVERDUE_FACTOR: u64 = 2;
const OVERDUE_MARGIN_MS: u64 = 50;
/// Trust in declared times from which an overdue task blames its worker.
const OVERDUE_TRUST: f64 = 0.6;

impl Engine {
    /// Sends a queued task to a worker.
    pub(crate) fn start(&mut self, queued: QueuedTask, worker: u32, now: Millis) {
        let Some(job) = self.jobs.get_mut(&queued.task.job) else {
            return;
        };
        job.tasks[queued.task.index as usize] = TaskState::Sent;
        job.touched += 1;
        let work = Rc::clone(&job.request);
        *self.owners_running.entry(job.flow.owner.clone()).or_insert(0) += 1;
        let lease_ms = LEAST_LEASE_MS.max(queued.expected_ms * LEASE_FACTOR);
        self.workers.record_start(worker);
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
                doubt_since: None,
                next_ask_at: now,
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
            hold: self.choice != SelectionPolicy::Shares,
        });
    }

    /// Takes what a worker's reply tells of the worker itself.
    pub(crate) fn hinted(&mut self, task: TaskId, attempt: u64, hint: Hint, now: Millis) {
        let running = self.running.get(&task);
        if let Some(running) = running.filter(|running| running.attempt == attempt) {
            self.workers.record_hint(running.worker, hint, now);
        }
    }

    /// Takes in a worker's reply to a start, or to a question about a task in doubt.
    ///
    /// A reply to an earlier attempt must not be taken for one to the present attempt: a late
    /// "never will" would otherwise free a task that runs elsewhere.
    pub(crate) fn ended(
        &mut self,
        task: TaskId,
        attempt: u64,
        end: StartEnd,
        boot: Option<u64>,
        now: Millis,
    ) {
        let running = self.running.get(&task).cloned();
        let Some(running) = running.filter(|running| running.attempt == attempt) else {
            self.counters.late_replies += 1;
            return;
        };
        // A process that began after the start went out knows nothing of it.
        let knows = running.doubt_since.is_none() || (boot.is_some() && boot == running.boot);
        match end {
            StartEnd::NeverWill if !knows => self.doubt_goes_on(task, StartEnd::NoAnswer, now),
            StartEnd::Done { output, digest, run_ms } => {
                self.learn(&running, task, run_ms);
                self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(MOST_RETRY_TOKENS);
                self.finish_task(task, TaskEnd::Done { output, digest }, run_ms, now);
            }
            StartEnd::Failed { detail, run_ms } => {
                self.blame(&running, task, now);
                self.finish_task(task, TaskEnd::Failed { detail }, run_ms, now);
            }
            StartEnd::Stopped => self.finish_task(task, TaskEnd::Stopped, 0, now),
            StartEnd::Full => {
                self.workers.record_full(running.worker);
                self.counters.refused_starts += 1;
                self.start_again(task, now);
            }
            StartEnd::Leaving | StartEnd::NeverWill => {
                self.counters.refused_starts += 1;
                self.start_again(task, now);
            }
            StartEnd::Refused | StartEnd::NoConnection => {
                self.workers.record_unreachable(running.worker, now);
                self.check_soon(running.worker, now);
                self.counters.refused_starts += 1;
                self.start_again(task, now);
            }
            StartEnd::ReplyLost => {
                self.counters.in_doubt += 1;
                self.workers.record_unreachable(running.worker, now);
                self.doubt(task, now);
            }
            StartEnd::StillRuns | StartEnd::NoAnswer => self.doubt_goes_on(task, end, now),
        }
    }

    /// Asks workers about tasks in doubt whose turn it is.
    pub(crate) fn ask_about_doubts(&mut self, now: Millis) {
        let due: Vec<TaskId> = self
            .doubts
            .iter()
            .filter(|task| self.running.get(task).is_some_and(|r| r.next_ask_at <= now))
            .copied()
            .collect();
        for task in due {
            self.ask_worker(task, now);
        }
    }

    /// Renews the leases that are half over, one message a worker.
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

    /// Lets the next housekeeping renew every lease on a worker that may be gone.
    ///
    /// A renewal that fails puts its tasks in doubt, so a silent worker is noticed early.
    fn check_soon(&mut self, worker: u32, now: Millis) {
        for running in self.running.values_mut().filter(|running| running.worker == worker) {
            running.lease_until = running.lease_until.min(now.plus(running.lease_ms / 2));
        }
    }

    /// Learns from tasks that run for much longer than expected, without waiting for their end.
    pub(crate) fn notice_overdue(&mut self, now: Millis) {
        for (task, running) in &mut self.running {
            let elapsed_ms = now.since(running.sent_at);
            let limit_ms = running.queued.expected_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
            if running.overdue || elapsed_ms < limit_ms {
                continue;
            }
            running.overdue = true;
            let kind = self.jobs.get(&task.job).map(|job| job.request.kind.as_str());
            let trust = kind.map_or(0.0, |kind| self.estimates.trust(kind));
            if trust > OVERDUE_TRUST {
                let log_ratio = (elapsed_ms as f64 / running.queued.expected_ms as f64).ln();
                self.workers.update_slowness(running.worker, log_ratio, trust);
            }
        }
    }

    /// Cancels a job for a caller.
    pub(crate) fn cancel(&mut self, request: RequestId, id: JobId, expiry: Millis, now: Millis) {
        if !self.jobs.contains_key(&id) {
            self.wait_or_burn(request, id, expiry, now);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.waiters.push(request);
        if job.phase == JobPhase::Journalling || job.touched == 0 {
            self.end_not_run(id, Answer::not_run(Reason::Cancelled), now);
            return;
        }
        job.phase = JobPhase::Cancelling;
        self.drop_waiting(id);
        self.stop_running(id);
        self.finish_job_if_ended(id, now);
    }

    /// Ends a job of which nothing has started, and never will.
    pub(crate) fn end_not_run(&mut self, id: JobId, answer: Answer, now: Millis) {
        self.take_waiting(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let answer = self.refuse(id, job.digest, answer, now);
        for waiter in job.waiters {
            self.reply(waiter, Rc::clone(&answer));
        }
    }

    /// Ends a job of which the rest cannot be started; what has run is told.
    pub(crate) fn give_up_waiting(&mut self, id: JobId, now: Millis) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = JobPhase::Failing;
        }
        self.drop_waiting(id);
        self.finish_job_if_ended(id, now);
    }

    fn wait_or_burn(&mut self, request: RequestId, id: JobId, expiry: Millis, now: Millis) {
        use crate::home::Standing;
        if matches!(self.home.standing(id, expiry, now), Standing::Fresh) {
            let answer = self.refuse(id, 0, Answer::not_run(Reason::Cancelled), now);
            self.reply(request, answer);
            return;
        }
        self.wait(request, id, expiry, now);
    }

    fn finish_task(&mut self, task: TaskId, end: TaskEnd, run_ms: u64, now: Millis) {
        self.release(task);
        self.counters.ended += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.ideal_ms = job.ideal_ms.max(run_ms);
        job.open -= 1;
        job.progress_at = now;
        let failed = !matches!(end, TaskEnd::Done { .. });
        job.tasks[task.index as usize] = TaskState::Ended(end);
        if failed && job.phase == JobPhase::Active {
            job.phase = JobPhase::Failing;
            self.drop_waiting(task.job);
        }
        self.finish_job_if_ended(task.job, now);
    }

    /// Puts back a task of which it is proved that nothing began.
    fn start_again(&mut self, task: TaskId, now: Millis) {
        let Some(running) = self.release(task) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.touched -= 1;
        job.tasks[task.index as usize] = TaskState::Waiting;
        if job.phase != JobPhase::Active {
            job.tasks[task.index as usize] = TaskState::Ended(TaskEnd::NotStarted);
            job.open -= 1;
            self.finish_job_if_ended(task.job, now);
            return;
        }
        if self.has_timed_out(task.job, now) {
            self.end_timed_out(task.job, now);
            return;
        }
        self.counters.retries += 1;
        if self.retry_tokens < 1.0 {
            self.delayed.push((now.plus(RETRY_PAUSE_MS), running.queued));
            return;
        }
        self.retry_tokens -= 1.0;
        if let Some(job) = self.jobs.get(&task.job) {
            self.queue.put_back(&job.flow, running.queued);
        }
    }

    /// Puts tasks back that waited because the retry budget was spent.
    pub(crate) fn release_delayed(&mut self, now: Millis) {
        let (due, later) = std::mem::take(&mut self.delayed).into_iter().partition(|d| d.0 <= now);
        self.delayed = later;
        let due: Vec<(Millis, QueuedTask)> = due;
        for (_, queued) in due {
            if let Some(job) = self.jobs.get(&queued.task.job) {
                self.queue.put_back(&job.flow, queued);
            }
        }
    }

    /// Takes every task of a job that has not been sent out of the queue.
    fn take_waiting(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        self.queue.remove_job(&job.flow, id);
        self.delayed.retain(|(_, queued)| queued.task.job != id);
    }

    fn release(&mut self, task: TaskId) -> Option<Running> {
        self.doubts.remove(&task);
        let running = self.running.remove(&task)?;
        self.workers.record_end(running.worker);
        if let Some(job) = self.jobs.get(&task.job) {
            self.queue.released(&job.flow);
            if let Some(count) = self.owners_running.get_mut(&job.flow.owner) {
                *count = count.saturating_sub(1);
            }
        }
        Some(running)
    }

    /// Puts a task in doubt and asks its worker.
    pub(crate) fn doubt(&mut self, task: TaskId, now: Millis) {
        let Some(running) = self.running.get_mut(&task) else {
            return;
        };
        if !self.doubts.insert(task) {
            return;
        }
        running.doubt_since = Some(now);
        self.ask_worker(task, now);
    }

    fn doubt_goes_on(&mut self, task: TaskId, end: StartEnd, now: Millis) {
        let Some(running) = self.running.get_mut(&task) else {
            return;
        };
        let since = *running.doubt_since.get_or_insert(now);
        if end == StartEnd::StillRuns {
            running.doubt_since = Some(now);
        }
        running.next_ask_at = now.plus(ASK_AGAIN_MS.max(now.since(since) / 2));
        if now.since(since) > DOUBT_LIMIT_MS {
            self.finish_task(task, TaskEnd::InDoubt, 0, now);
            return;
        }
        self.doubts.insert(task);
    }

    fn ask_worker(&mut self, task: TaskId, now: Millis) {
        let Some(running) = self.running.get_mut(&task) else {
            return;
        };
        // The question itself is bounded in time; no second one goes out meanwhile.
        running.next_ask_at = now.plus(DOUBT_LIMIT_MS);
        let attempt = running.attempt;
        let worker = self.workers.get(running.worker).info.addr;
        self.actions.push(Action::AskWorker { task, attempt, worker });
    }

    fn drop_waiting(&mut self, id: JobId) {
        self.take_waiting(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for state in &mut job.tasks {
            if *state == TaskState::Waiting {
                *state = TaskState::Ended(TaskEnd::NotStarted);
                job.open -= 1;
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
        if self.jobs.get(&id).is_none_or(|job| job.open > 0) {
            return;
        }
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let tasks: Vec<TaskEnd> = job.tasks.into_iter().map(end_of).collect();
        let (verdict, reason) = conclude(&tasks, job.phase);
        if verdict == Verdict::NotRun {
            let answer = self.refuse(id, job.digest, Answer::not_run(reason), now);
            for waiter in job.waiters {
                self.reply(waiter, Rc::clone(&answer));
            }
            return;
        }
        let answer = Rc::new(Answer { verdict, reason, retry_after_ms: None, tasks });
        self.home.hold(id, job.digest, Rc::clone(&answer), now);
        self.counters.count_finished_job(verdict);
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

    fn learn(&mut self, running: &Running, task: TaskId, run_ms: u64) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let declared_ms = job.request.tasks[task.index as usize].declared_ms;
        let kind = &job.request.kind;
        let expected_ms = self.estimates.expected_ms(kind, declared_ms);
        let log_ratio = (run_ms.max(1) as f64 / expected_ms as f64).ln();
        let trust = self.estimates.trust(kind);
        self.workers.update_slowness(running.worker, log_ratio - self.global_log_ratio, trust);
        self.global_log_ratio += LEARN_SHARE * (log_ratio - self.global_log_ratio);
        self.estimates.observe(kind, declared_ms, run_ms);
        self.kinds.record(kind, running.worker, false);
        self.workers.record_success(running.worker);
    }

    fn blame(&mut self, running: &Running, task: TaskId, now: Millis) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let kind = &job.request.kind;
        let share = 1.0 - self.kinds.failure_rate_elsewhere(kind, running.worker);
        self.kinds.record(kind, running.worker, true);
        if self.workers.record_failure(running.worker, share, now) {
            self.counters.set_aside += 1;
        }
    }
}

fn end_of(state: TaskState) -> TaskEnd {
    match state {
        TaskState::Ended(end) => end,
        TaskState::Waiting => TaskEnd::NotStarted,
        TaskState::Sent => TaskEnd::InDoubt,
    }
}

fn conclude(tasks: &[TaskEnd], phase: JobPhase) -> (Verdict, Reason) {
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
