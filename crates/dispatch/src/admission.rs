//! Admission control: accepts requests, or refuses them with a reason that is true.

use crate::answer::{Answer, Reason, Verdict};
use crate::catalogue::KindSpec;
use crate::clock::Millis;
use crate::engine::{Action, Engine, JournalResult};
use crate::home::Standing;
use crate::jobs::{Job, JobPhase, RequestId, Submission, TaskSpec, TaskState};
use crate::queue::{ExpectedWork, FlowKey};
use crate::ticket::JobId;
use crate::workers::Needs;

/// Shortest retry time given to a refused caller.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Share of a kind's longest wait that the expected wait may reach on acceptance, in percent.
const MAX_ADMITTED_WAIT_PERCENT: u64 = 60;

impl Engine {
    /// Handles a submission: a known job gets another waiter or its held answer, a new one is
    /// admitted or refused.
    pub(crate) fn submit(&mut self, submission: Submission, now: Millis) {
        let request = submission.request;
        if let Some(job) = self.jobs.get_mut(&submission.job) {
            if job.digest == submission.digest {
                job.waiters.push(request);
                self.counters.duplicates_stopped += 1;
            } else {
                self.reply_unknown(request, Reason::OtherRequest);
            }
            return;
        }
        match self.home.standing(submission.job, submission.expiry_ms, now) {
            Standing::Fresh => self.admit(submission, now),
            Standing::Held(answer, digest) => {
                self.counters.duplicates_stopped += 1;
                if digest == submission.digest || answer.verdict == Verdict::NotRun {
                    self.reply(request, answer);
                } else {
                    self.reply_unknown(request, Reason::OtherRequest);
                }
            }
            Standing::UsedNotHeld => {
                self.counters.duplicates_stopped += 1;
                self.reply_unknown(request, Reason::NoLongerHeld);
            }
            Standing::Expired => self.reply_unknown(request, Reason::TicketExpired),
            Standing::NotMine => self.reply_unknown(request, Reason::HomeGone),
        }
    }

    /// Registers a request as waiting for a job's answer, or answers it if the job is not open.
    pub(crate) fn wait(&mut self, request: RequestId, job: JobId, expiry_ms: Millis, now: Millis) {
        if let Some(open_job) = self.jobs.get_mut(&job) {
            open_job.waiters.push(request);
            return;
        }
        match self.home.standing(job, expiry_ms, now) {
            Standing::Held(answer, _) => self.reply(request, answer),
            Standing::UsedNotHeld => self.reply_unknown(request, Reason::NoLongerHeld),
            Standing::Fresh => self.reply_unknown(request, Reason::NotSubmitted),
            Standing::Expired => self.reply_unknown(request, Reason::TicketExpired),
            Standing::NotMine => self.reply_unknown(request, Reason::HomeGone),
        }
    }

    /// Removes a request from the waiters of a job.
    pub(crate) fn remove_waiter(&mut self, request: RequestId, job: JobId) {
        if let Some(open_job) = self.jobs.get_mut(&job) {
            open_job.waiters.retain(|waiter| *waiter != request);
        }
    }

    /// Queues or refuses a job after the journal's result; a result for a job that is no longer
    /// being journalled is ignored.
    pub(crate) fn handle_journal_result(&mut self, id: JobId, result: JournalResult, now: Millis) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.phase != JobPhase::Journalling {
            return;
        }
        let runs_unjournalled = result == JournalResult::Out && self.may_run_unjournalled(id);
        match result {
            JournalResult::Started => self.enqueue(id),
            JournalResult::Out if runs_unjournalled => self.enqueue(id),
            JournalResult::Voided => self.end_not_run(id, Answer::not_run(Reason::Voided), now),
            JournalResult::Out => self.end_not_run(id, Answer::not_run(Reason::LogOut), now),
        }
    }

    /// Ends all jobs that have waited past their limit without any progress.
    pub(crate) fn end_timed_out_jobs(&mut self, now: Millis) {
        let timed_out: Vec<JobId> =
            self.jobs.keys().copied().filter(|id| self.has_timed_out(*id, now)).collect();
        for id in timed_out {
            self.end_timed_out(id, now);
        }
    }

    /// Whether a job has waited past its limit without any progress and has no task sent.
    pub(crate) fn has_timed_out(&self, id: JobId, now: Millis) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            let runs = job.tasks.contains(&TaskState::Sent);
            !runs && job.phase == JobPhase::Active && now.since(job.progress_at) > job.max_wait_ms
        })
    }

    /// Ends a job that waited past its limit: as not run if none of its tasks can have started,
    /// else with the outcomes of those that may have.
    pub(crate) fn end_timed_out(&mut self, id: JobId, now: Millis) {
        if self.jobs.get(&id).is_some_and(|job| job.touched == 0) {
            let answer = Answer::not_run(Reason::WaitedTooLong).retry_after(MIN_RETRY_AFTER_MS);
            self.end_not_run(id, answer, now);
            return;
        }
        self.give_up_waiting(id, now);
    }

    fn admit(&mut self, submission: Submission, now: Millis) {
        let verdict = self.check_limits(&submission);
        let (kind, flow, share) = match verdict {
            Ok(accepted) => accepted,
            Err(refusal) => {
                let answer = self.refuse(submission.job, submission.digest, refusal, now);
                self.reply(submission.request, answer);
                return;
            }
        };
        let count = submission.work.tasks.len();
        let journal = kind.journal;
        self.home.burn(submission.job);
        self.counters.accepted += 1;
        let job = Job {
            request: submission.work,
            digest: submission.digest,
            accepted_at: now,
            progress_at: now,
            max_wait_ms: kind.max_wait_ms,
            idempotent: kind.idempotent,
            flow,
            share,
            phase: if journal { JobPhase::Journalling } else { JobPhase::Active },
            tasks: vec![TaskState::Waiting; count],
            open: count,
            touched: 0,
            waiters: vec![submission.request],
            ideal_ms: 0,
        };
        self.jobs.insert(submission.job, job);
        if journal {
            self.actions.push(Action::Journal(submission.job));
        } else {
            self.enqueue(submission.job);
        }
    }

    /// Checks a submission against the limits; returns its kind, flow and owner's share, or the
    /// refusal.
    fn check_limits(&self, submission: &Submission) -> Result<(KindSpec, FlowKey, u64), Answer> {
        let catalogue = self.catalogue.as_ref().ok_or(Answer::not_run(Reason::NotReady))?;
        let work = &submission.work;
        let kind = catalogue.kind(&work.kind).ok_or(Answer::not_run(Reason::UnknownKind))?;
        if work.tasks.len() > kind.max_tasks as usize {
            return Err(Answer::not_run(Reason::TooManyTasks));
        }
        if work.tasks.iter().any(|task| !self.workers.fits_any(&task.needs)) {
            return Err(Answer::not_run(Reason::Impossible));
        }
        let team = catalogue.team(&kind.owner);
        let special = work.tasks.iter().any(|task| task.needs != Needs::default());
        let flow = FlowKey { class: kind.class, owner: kind.owner.clone(), special };
        let share = u64::from(team.share);
        let waiting = self.queue.flow_tasks(&flow);
        let slots = self.workers.share_slots();
        let wait_ms = self.queue.expected_wait_ms(&flow, share, slots);
        let retry_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
        if waiting + work.tasks.len() > team.max_queued_tasks as usize && waiting > 0 {
            return Err(Answer::not_run(Reason::OwnerOverLimit).retry_after(retry_ms));
        }
        if wait_ms > kind.max_wait_ms * MAX_ADMITTED_WAIT_PERCENT / 100 || slots == 0 {
            return Err(Answer::not_run(Reason::Overloaded).retry_after(retry_ms));
        }
        Ok((kind.clone(), flow, share))
    }

    /// Puts all tasks of a job into the queue with their expected run times.
    fn enqueue(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = JobPhase::Active;
        let kind = &job.request.kind;
        let expected = |(index, task): (usize, &TaskSpec)| {
            (index as u32, self.estimates.expected_ms(kind, task.declared_ms))
        };
        let tasks: Vec<(u32, u64)> = job.request.tasks.iter().enumerate().map(expected).collect();
        let work = ExpectedWork { tasks: &tasks, trust: self.estimates.trust(kind) };
        self.queue.push(&job.flow, job.share, job.accepted_at, id, &work);
    }

    /// Whether the job's kind may run while the log service is out.
    fn may_run_unjournalled(&self, id: JobId) -> bool {
        use crate::catalogue::OnLogOut;
        let job = self.jobs.get(&id);
        let name = job.map(|job| job.request.kind.as_str()).unwrap_or_default();
        let kind = self.catalogue.as_ref().and_then(|catalogue| catalogue.kind(name));
        kind.is_some_and(|kind| kind.on_log_out == OnLogOut::GoOn)
    }
}
