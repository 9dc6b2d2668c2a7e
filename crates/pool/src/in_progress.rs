//! Finds the owned cell that has a job, or may still have an active run of one of its tasks.
//!
//! Answers the load of callers that send a request again while a run of the first one is active or
//! being stopped: the cell of a request is chosen by load, so it may be another one of the same owner.
//! See `docs/design/on-the-platform.md`.

use dispatch::clock::Millis;

use crate::job::{Job, Outcome, PreviousOwner, Reason};
use crate::pool::{Pool, Submission};

/// What a cell's pool knows of a job, in ascending order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobActivity {
    /// Nothing.
    Unknown,
    /// Runs of its tasks may be active that nobody waits for, such as those whose stop is not confirmed.
    MayRun,
    /// The job is queued or running.
    InProgress,
}

impl JobActivity {
    /// Returns the name under which the activity is logged.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::MayRun => "may_run",
            Self::InProgress => "in_progress",
        }
    }
}

impl Pool {
    /// Returns what is known of the job with an id. A pool that has stopped knows nothing.
    pub fn activity_of(&self, job: &str, now: Millis) -> JobActivity {
        if self.is_fenced() {
            JobActivity::Unknown
        } else if self.by_id.contains_key(job) {
            JobActivity::InProgress
        } else if self.may_have_unwanted_run(job, now) {
            JobActivity::MayRun
        } else {
            JobActivity::Unknown
        }
    }

    /// Whether the tasks of a job may have to wait for the end of a run that an earlier submission of it
    /// left, so that free resources do not show when they start.
    pub(crate) fn awaits_earlier_run(&self, job: &Job, now: Millis) -> bool {
        job.had_earlier_run && self.may_have_unwanted_run(&job.spec.id, now)
    }

    /// Whether a run of one of the job's tasks may be active, or may still begin, that nobody waits for.
    pub(crate) fn may_have_unwanted_run(&self, job: &str, now: Millis) -> bool {
        self.workers.values().any(|worker| {
            let unwanted = worker.runs.iter().filter(|(_, run)| run.task_ref.is_none());
            let tasks = unwanted.map(|(task, _)| task).chain(worker.orphaned_runs.keys());
            tasks.filter(|task| *task.job == *job).any(|task| worker.may_run(task, now))
        })
    }
}

impl Submission {
    /// Chooses the pool that gets the submission: that of the requested cell, unless another one of this
    /// daemon knows more of the job. Returns the key of that pool, and what it knows of a job that is
    /// submitted for the first time. A job that was reported by a cell's previous owner stays in its cell,
    /// where its runs are.
    pub fn choose_pool<'a, K: PartialEq>(
        &self,
        requested: &'a K,
        pools: impl Iterator<Item = (&'a K, &'a Pool)>,
        now: Millis,
    ) -> (&'a K, JobActivity) {
        if matches!(self.previous_owner, PreviousOwner::Reported(_)) {
            return (requested, JobActivity::Unknown);
        }
        let activities = pools.map(|(key, pool)| (key, pool.activity_of(&self.spec.id, now)));
        let known = activities.filter(|(_, activity)| *activity != JobActivity::Unknown);
        let best = known.max_by_key(|(key, activity)| (*activity, *key == requested));
        best.unwrap_or((requested, JobActivity::Unknown))
    }
}

/// Returns the outcome for the submitter of a job that was in progress, or may have been: nothing that
/// would let the submitter try another cell, where the job could start beside its runs here.
/// `is_requested_cell` is whether the job was submitted to the cell that the submitter asked for.
pub fn outcome_of_known_job(outcome: Outcome, is_requested_cell: bool) -> Outcome {
    match outcome {
        // A job is withdrawn only if no run of it can be left.
        Outcome::NotRun { reason: Reason::Withdrawn, .. } => outcome,
        Outcome::NotRun { reason, .. } => Outcome::Aborted(reason),
        // The submitter would look for the progress in the cell that it asked for.
        Outcome::Moved(_) if !is_requested_cell => Outcome::Aborted(Reason::NoOwner),
        Outcome::Moved(_) | Outcome::Completed | Outcome::Failed(_) | Outcome::Aborted(_) => {
            outcome
        }
    }
}
