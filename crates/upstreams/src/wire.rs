//! Messages between daemons and workers, as JSON over HTTP.

use serde::{Deserialize, Serialize};

/// Length of an input digest, in hexadecimal digits.
const DIGEST_LENGTH: usize = 16;

/// Returns the digest of a task's input: the first 16 hexadecimal digits of its `blake3` hash.
/// Workers send it with their answer, so that an answer to another task's input is detected.
pub fn input_digest(input: &str) -> String {
    let mut digest = blake3::hash(input.as_bytes()).to_hex().to_string();
    digest.truncate(DIGEST_LENGTH);
    digest
}

/// Starts a task. The worker replies when the task has ended or was refused.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct StartCall {
    /// ID of the task.
    pub task: String,
    /// Kind of work, as configured in the catalogue.
    pub kind: String,
    /// Input of the task.
    pub input: String,
    /// Lease in milliseconds: the worker stops the task if the lease is not renewed within it.
    pub lease_ms: u64,
    /// Boot ID of the worker process that the start is meant for. A process with another boot ID
    /// must refuse the start, because it does not know which tasks an earlier process fenced.
    #[serde(default)]
    pub boot: Option<u64>,
    /// Whether the worker may queue the start until a slot is free.
    #[serde(default)]
    pub hold: bool,
}

/// The outcome of a start, or the state of a queried task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum WorkerEnd {
    /// The task ran successfully.
    Done {
        /// Output of the task.
        output: String,
        /// Digest of the input; see [`input_digest`].
        digest: String,
        /// Run time in milliseconds.
        run_ms: u64,
    },
    /// The task ran and failed.
    Failed {
        /// Error message of the task.
        detail: String,
        /// Run time in milliseconds.
        run_ms: u64,
    },
    /// The task was stopped by an order or because its lease expired.
    Stopped,
    /// No slot is free; the task was not started.
    Full,
    /// The worker is shutting down; the task was not started.
    Leaving,
    /// The worker refused for another reason; the task was not started.
    Refused,
    /// The task has not started and is fenced, so that it never will.
    NeverWill,
    /// The task is still running.
    StillRuns,
}

/// A worker's reply about a task, with the worker's own state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReply {
    /// Outcome or state of the task.
    #[serde(flatten)]
    pub end: WorkerEnd,
    /// ID of the task, so that a reply about another task is detected.
    pub task: String,
    /// Number of free slots.
    pub free: u32,
    /// Whether the worker is shutting down.
    pub leaving: bool,
    /// Boot ID: random number that the worker's process generated at its start. A change shows that
    /// the worker restarted, so tasks that it does not know may have run in an earlier process.
    pub boot: u64,
}

/// Identifies a worker's process.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AboutReply {
    /// Boot ID: random number that the process generated at its start.
    pub boot: u64,
}

/// Queries a task in doubt and fences it if it has not started.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct SettleCall {
    /// ID of the task.
    pub task: String,
}

/// Queries all tasks of jobs whose home (the daemon that held them) is dead.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RecallCall {
    /// IDs of the jobs.
    pub jobs: Vec<String>,
}

/// The tasks of the queried jobs that a worker knows.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RecallReply {
    /// Task IDs, each with the task's outcome or state.
    pub ends: Vec<(String, WorkerEnd)>,
}

/// Stops tasks.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct StopCall {
    /// IDs of the tasks.
    pub tasks: Vec<String>,
}

/// Renews the leases of tasks.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RenewCall {
    /// IDs of the tasks.
    pub tasks: Vec<String>,
    /// New lease in milliseconds, from the receipt of this call on.
    pub lease_ms: u64,
}

/// The reply to an order such as [`StopCall`] or [`RenewCall`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct OrderReply {
    /// Number of items that the order applied to, such as tasks stopped or leases renewed.
    pub count: usize,
}
