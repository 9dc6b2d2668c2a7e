//! Losses of workers while runs were active on them.
//!
//! See [docs/OPERATIONS.md](../../../docs/OPERATIONS.md) for the log lines that are made of them.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::job::TaskName;

/// One process of a worker. A restarted worker may keep its id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WorkerLife {
    /// Id of the worker.
    pub worker: Rc<str>,
    /// Start time of the process in Unix milliseconds, as the worker reported it.
    pub started_at_ms: Option<u64>,
}

/// How another process of a worker showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvidence {
    /// The worker's reply to a poll.
    Report,
    /// The worker's entry in the store.
    Entry,
    /// A reply that another process is listening at the worker's address.
    Mismatch,
}

impl ProcessEvidence {
    /// Returns the name under which the evidence is logged.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Entry => "entry",
            Self::Mismatch => "other_lifetime",
        }
    }
}

/// A worker whose process differs from the one that was known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessChange {
    /// The process that was known.
    pub previous: WorkerLife,
    /// Start time of the process that showed, in Unix milliseconds.
    pub started_at_ms: Option<u64>,
    /// How it showed.
    pub evidence: ProcessEvidence,
    /// Number of runs that the owner had placed on the worker.
    pub runs: usize,
}

/// How the loss of a worker showed, from the weakest evidence to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// The worker left polls unanswered until the lease of its runs expired. It may only be cut off.
    Silent,
    /// The worker's address refuses connections: the process has ended.
    Refused,
    /// Another process has taken the worker's place.
    Replaced,
}

impl LossCause {
    /// Returns the name under which the cause is logged.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
        }
    }
}

/// A worker that was lost with active runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLoss {
    /// The lost process.
    pub life: WorkerLife,
    /// How the loss showed.
    pub cause: LossCause,
    /// Whether the worker had announced that it would leave.
    pub was_draining: bool,
    /// Runs that were active, or may have been, in order of their tasks. Those whose start was still
    /// to be answered are left out.
    pub runs: Vec<LostRun>,
}

/// A run that was active on a worker when the worker was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskName,
    /// Number of the start.
    pub run: u32,
    /// Route of the job.
    pub route: Rc<str>,
    /// Whether the run is taken to have been active when the process ended: it was not being stopped,
    /// and the worker had not been silent until its lease expired. A task may crash its worker before
    /// the start is confirmed.
    pub was_active: bool,
}
