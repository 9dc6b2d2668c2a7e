//! The few kinds of answer that a caller can get, each of which is true.
//!
//! Callers read about them in `docs/CALLERS.md`.

use serde::{Deserialize, Serialize};

/// The kind of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Every task ran and its output is in the answer.
    Complete,
    /// Something started and not everything succeeded.
    Failed,
    /// Nothing started and nothing will start under this ticket.
    NotRun,
    /// Neither of the others can be proved.
    Unknown,
    /// The work goes on; the final answer can be fetched with the ticket.
    Running,
}

/// Why an answer is what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// All went well.
    Done,
    /// The work is queued or runs.
    InProgress,
    /// At least one task failed on its worker.
    TaskFailed,
    /// A task's worker cannot be asked whether the task ran.
    WorkerLost,
    /// The caller cancelled.
    Cancelled,
    /// The queue would make the request wait past its limit.
    Overloaded,
    /// The owner has more queued than its limit.
    OwnerOverLimit,
    /// The request waited past its limit and nothing of it had started.
    WaitedTooLong,
    /// No worker is large enough for one of the tasks.
    Impossible,
    /// The kind is not in the catalogue.
    UnknownKind,
    /// The request has more tasks than the kind allows.
    TooManyTasks,
    /// Nothing was submitted under the ticket so far.
    NotSubmitted,
    /// The ticket's time was over before it was used.
    TicketExpired,
    /// The work under this ticket ended and its answer is no longer held.
    NoLongerHeld,
    /// The process that issued the ticket is gone.
    HomeGone,
    /// The process that issued the ticket cannot be reached now.
    HomeUnreachable,
    /// The log service is out and the kind may not go on without it.
    LogOut,
    /// Another daemon proved in the log that the ticket must not run.
    Voided,
    /// The journal says that the ticket's work may have started.
    MayHaveStarted,
    /// The bare key is older than what the log keeps.
    KeyTooOld,
    /// The ticket was used for another request before.
    OtherRequest,
    /// The daemon has no catalogue yet.
    NotReady,
    /// The daemon is shutting down and no peer can take the request.
    Draining,
}

impl Reason {
    /// Gives the sentence that tells the caller what to do.
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

/// What became of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task ran and gave this output.
    Done {
        /// What the worker computed.
        output: String,
        /// The worker's digest of the input that it was given.
        digest: String,
    },
    /// The task ran and failed.
    Failed {
        /// The worker's words.
        detail: String,
    },
    /// The task was stopped while it ran.
    Stopped,
    /// It cannot be proved whether the task ran.
    InDoubt,
    /// The task never started and never will.
    NotStarted,
}

/// The whole answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The kind of the answer.
    pub verdict: Verdict,
    /// Why it is so.
    pub reason: Reason,
    /// The time to wait before a new attempt is worth its while.
    pub retry_after_ms: Option<u64>,
    /// The end of each task, in the order of the request; empty for refusals.
    pub tasks: Vec<TaskEnd>,
}

impl Answer {
    /// Builds an answer that has no task ends.
    pub const fn plain(verdict: Verdict, reason: Reason) -> Self {
        Self { verdict, reason, retry_after_ms: None, tasks: Vec::new() }
    }

    /// Builds a refusal after which nothing will start under the ticket.
    pub const fn not_run(reason: Reason) -> Self {
        Self::plain(Verdict::NotRun, reason)
    }

    /// Builds the answer for what cannot be proved.
    pub const fn unknown(reason: Reason) -> Self {
        Self::plain(Verdict::Unknown, reason)
    }

    /// Builds the answer for work that goes on.
    pub const fn running() -> Self {
        Self::plain(Verdict::Running, Reason::InProgress)
    }

    /// Adds the time after which a new attempt is worth its while.
    pub const fn retry_after(mut self, span_ms: u64) -> Self {
        self.retry_after_ms = Some(span_ms);
        self
    }

    /// Gives the bytes that holding this answer costs, near enough for a bound.
    pub fn held_bytes(&self) -> usize {
        let ends = self.tasks.iter().map(|end| match end {
            TaskEnd::Done { output, digest } => output.len() + digest.len(),
            TaskEnd::Failed { detail } => detail.len(),
            TaskEnd::Stopped | TaskEnd::InDoubt | TaskEnd::NotStarted => 0,
        });
        size_of::<Self>() + self.tasks.len() * size_of::<TaskEnd>() + ends.sum::<usize>()
    }
}
