//! Answers to callers: verdicts, reasons and the outcomes of tasks.
//!
//! A verdict is given only if it is proved; `Unknown` covers everything else. The answers are
//! documented for callers in `docs/CALLERS.md`.

use serde::{Deserialize, Serialize};

/// Overall result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Every task succeeded and its output is in the answer.
    Complete,
    /// At least one task may have started and not every task succeeded.
    Failed,
    /// No task has started, and none will start under this ticket.
    NotRun,
    /// None of the other verdicts can be proved.
    Unknown,
    /// The job is queued or running; the final answer can be fetched with the ticket.
    Running,
}

/// Cause of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Every task succeeded.
    Done,
    /// The job is queued or running.
    InProgress,
    /// At least one task failed on its worker.
    TaskFailed,
    /// A task's worker could not be asked whether the task ran.
    WorkerLost,
    /// The caller cancelled the job.
    Cancelled,
    /// The expected wait in the queue is too long for the kind's limit, or no slot is available.
    Overloaded,
    /// The tasks queued for the owner would exceed its limit.
    OwnerOverLimit,
    /// The request waited past its limit before any of its tasks started.
    WaitedTooLong,
    /// No worker is large enough for one of the tasks.
    Impossible,
    /// The kind is not in the catalogue.
    UnknownKind,
    /// The request has more tasks than the kind allows.
    TooManyTasks,
    /// No request has been submitted under the ticket yet.
    NotSubmitted,
    /// The ticket expired before it was used.
    TicketExpired,
    /// The job of this ticket has ended and its answer is no longer held.
    NoLongerHeld,
    /// The daemon process that issued the ticket is gone and no daemon is known to answer for it.
    HomeGone,
    /// The daemon process that answers for the ticket cannot be reached at present.
    HomeUnreachable,
    /// The log service is unavailable and the kind must not run without it.
    LogOut,
    /// Another daemon voided the ticket in the log before its start was journalled.
    Voided,
    /// According to the journal, the ticket's job may have started.
    MayHaveStarted,
    /// An idempotency key that is not a ticket is older than the log's retention.
    KeyTooOld,
    /// The ticket was used for a different request before.
    OtherRequest,
    /// The daemon has not loaded the catalogue yet.
    NotReady,
    /// The daemon is shutting down and no peer can take the request.
    Draining,
}

impl Reason {
    /// Instruction to the caller on how to proceed, as sent in the answer.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Done => "Nothing to do.",
            Self::InProgress => "Ask again with GET /v1/jobs/{ticket}.",
            Self::TaskFailed => {
                "Read the failed tasks, mend their input and submit under a new ticket."
            }
            Self::WorkerLost => {
                "Check the effect of the listed tasks before you submit them again."
            }
            Self::Cancelled => "Submit under a new ticket if the work is still wanted.",
            Self::Overloaded | Self::WaitedTooLong | Self::OwnerOverLimit => {
                "Submit under a new ticket after the given time."
            }
            Self::Impossible => "Split the task or ask operators for a larger worker.",
            Self::UnknownKind => "Use a kind from the catalogue (clementinectl catalogue list).",
            Self::TooManyTasks => "Split the job; the kind's limit is in the catalogue.",
            Self::TicketExpired | Self::Voided => "Submit under a new ticket.",
            Self::NotSubmitted => "Submit the request under this ticket.",
            Self::NoLongerHeld => "The work ended earlier; do not submit it again.",
            Self::HomeGone => {
                "Submit the same request with the same ticket: workers are asked, nothing starts."
            }
            Self::HomeUnreachable => "Ask again with the same ticket.",
            Self::LogOut => "Submit again when the log service is back.",
            Self::MayHaveStarted => "Check the effect of the work; the journal shows a start.",
            Self::KeyTooOld => {
                "Use an Idempotency-Key that begins with the current time in seconds."
            }
            Self::OtherRequest => "Draw a new ticket for each different request.",
            Self::NotReady => "Try again in a second or ask another entry VM.",
            Self::Draining => "Submit through another entry VM.",
        }
    }
}

/// Outcome of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task succeeded.
    Done {
        /// The task's output.
        output: String,
        /// Digest of the input as received by the worker.
        digest: String,
    },
    /// The task ran and failed.
    Failed {
        /// Error text from the worker.
        detail: String,
    },
    /// The task was stopped while it was running.
    Stopped,
    /// It cannot be proved whether the task ran.
    InDoubt,
    /// The task never started and never will.
    NotStarted,
}

/// Answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Overall result.
    pub verdict: Verdict,
    /// Cause of the verdict.
    pub reason: Reason,
    /// Suggested wait before a new submission in milliseconds; `None` if time alone does not help.
    pub retry_after_ms: Option<u64>,
    /// Outcome of each task, in the order of the request; empty unless the job ran.
    pub tasks: Vec<TaskEnd>,
}

impl Answer {
    /// Builds an answer without task outcomes.
    pub const fn without_tasks(verdict: Verdict, reason: Reason) -> Self {
        Self { verdict, reason, retry_after_ms: None, tasks: Vec::new() }
    }

    /// Builds a refusal: no task has started or will start under the ticket.
    pub const fn not_run(reason: Reason) -> Self {
        Self::without_tasks(Verdict::NotRun, reason)
    }

    /// Builds the answer for a job whose result cannot be proved.
    pub const fn unknown(reason: Reason) -> Self {
        Self::without_tasks(Verdict::Unknown, reason)
    }

    /// Builds the interim answer for a job that is queued or running.
    pub const fn running() -> Self {
        Self::without_tasks(Verdict::Running, Reason::InProgress)
    }

    /// Sets the suggested wait before a new submission, in milliseconds.
    pub const fn retry_after(mut self, span_ms: u64) -> Self {
        self.retry_after_ms = Some(span_ms);
        self
    }

    /// Approximate memory in bytes for holding this answer, accurate enough to enforce a limit.
    pub fn held_bytes(&self) -> usize {
        let ends = self.tasks.iter().map(|end| match end {
            TaskEnd::Done { output, digest } => output.len() + digest.len(),
            TaskEnd::Failed { detail } => detail.len(),
            TaskEnd::Stopped | TaskEnd::InDoubt | TaskEnd::NotStarted => 0,
        });
        size_of::<Self>() + self.tasks.len() * size_of::<TaskEnd>() + ends.sum::<usize>()
    }
}
