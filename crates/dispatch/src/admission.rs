//! Which requests are accepted, and truthful refusals of the others.

use crate::answer::{Answer, Reason, Verdict};
use crate::catalogue::KindSpec;
use crate::clock::Millis;
use crate::engine::{Action, Engine, JournalResult};
use crate::home::Standing;
use crate::jobs::{Job, JobPhase, RequestId, Submission, TaskSpec, TaskState};
use crate::queue::{ExpectedWork, FlowKey};
use crate::ticket::JobId;
use crate::workers::Needs;

/// The shortest time after which a refused caller is told to come again.
const LEAST_RETRY_MS: u64 = 200;

/// The part of its longest wait that a request may be expected to wait when it is accepted.
const ADMITTED_WAIT_PERCENT: u64 = 60;

impl Engine {
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

    pub(crate) fn wait(&mut self, request: RequestId, job: JobId, expiry_ms: Millis, now: Millis) {
        if let Some(open) = self.jobs.get_mut(&job) {
            open.waiters.push(request);
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

    pub(crate) fn forget(&mut self, request: RequestId, job: JobId) {
        if let Some(open) = self.jobs.get_mut(&job) {
            open.waiters.retain(|waiter| *waiter != request);
        }
    }

    pub(crate) fn journalled(&mut self, id: JobId, result: JournalResult, now: Millis) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.phase != JobPhase::Journalling {
            return;
        }
        let goes_on = result == JournalResult::Outage && self.may_go_without_journal(id);
        match result {
            JournalResult::Started => self.enqueue(id),
            JournalResult::Outage if goes_on => self.enqueue(id),
            JournalResult::Voided => self.end_not_run(id, Answer::not_run(Reason::Voided), now),
            JournalResult::Outage => self.end_not_run(id, Answer::not_run(Reason::LogOut), now),
        }
    }

    /// Ends jobs that have waited past their limit without any progress.
    pub(crate) fn refuse_late(&mut self, now: Millis) {
        let late: Vec<JobId> =
            self.jobs.keys().copied().filter(|id| self.is_late(*id, now)).collect();
        for id in late {
            self.end_late(id, now);
        }
    }

    /// Tells whether a job has waited past its limit without any progress.
    pub(crate) fn is_late(&self, id: JobId, now: Millis) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            let runs = job.tasks.contains(&TaskState::Sent);
            !runs && job.phase == JobPhase::Active && now.since(job.progress_at) > job.max_wait_ms
        })
    }

    /// Ends a late job: as not run where nothing of it can have started.
    pub(crate) fn end_late(&mut self, id: JobId, now: Millis) {
        if self.jobs.get(&id).is_some_and(|job| job.maybe_started == 0) {
            let answer = Answer::not_run(Reason::WaitedTooLong).retry_after(LEAST_RETRY_MS);
            self.end_not_run(id, answer, now);
            return;
        }
        self.fail_waiting_tasks(id, now);
    }

    fn admit(&mut self, submission: Submission, now: Millis) {
        let verdict = self.judge(&submission);
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
            unfinished: count,
            maybe_started: 0,
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

    fn judge(&self, submission: &Submission) -> Result<(KindSpec, FlowKey, u64), Answer> {
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
        let has_needs = work.tasks.iter().any(|task| task.needs != Needs::default());
        let flow = FlowKey { class: kind.class, owner: kind.owner.clone(), has_needs };
        let share = u64::from(team.share);
        let waiting = self.queue.waiting_in_flow(&flow);
        let slots = self.workers.share_slots();
        let wait_ms = self.queue.expected_wait_ms(&flow, share, slots);
        let retry_ms = wait_ms.max(LEAST_RETRY_MS);
        if waiting + work.tasks.len() > team.max_queued_tasks as usize && waiting > 0 {
            return Err(Answer::not_run(Reason::OwnerOverLimit).retry_after(retry_ms));
        }
        if wait_ms > kind.max_wait_ms * ADMITTED_WAIT_PERCENT / 100 || slots == 0 {
            return Err(Answer::not_run(Reason::Overloaded).retry_after(retry_ms));
        }
        Ok((kind.clone(), flow, share))
    }

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

    fn may_go_without_journal(&self, id: JobId) -> bool {
        use crate::catalogue::OnLogOut;
        let job = self.jobs.get(&id);
        let name = job.map(|job| job.request.kind.as_str()).unwrap_or_default();
        let kind = self.catalogue.as_ref().and_then(|catalogue| catalogue.kind(name));
        kind.is_some_and(|kind| kind.on_log_out == OnLogOut::GoOn)
    }
}
