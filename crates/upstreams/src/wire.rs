//! What workers and daemons say to each other, as JSON over HTTP.

use serde::{Deserialize, Serialize};

/// Characters of an input's digest.
const DIGEST_LENGTH: usize = 16;

/// Gives the digest of a task's input that a worker's answer carries, by which a crossed answer
/// shows: the first 16 hexadecimal digits of `blake3`.
pub fn input_digest(input: &str) -> String {
    let mut digest = blake3::hash(input.as_bytes()).to_hex().to_string();
    digest.truncate(DIGEST_LENGTH);
    digest
}

/// A start; the reply comes when the task has ended or is refused.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct StartCall {
    /// The task's identity.
    pub task: String,
    /// The kind of work.
    pub kind: String,
    /// What to work on.
    pub input: String,
    /// The worker stops the task where it hears nothing of it for so long.
    pub lease_ms: u64,
    /// The process that the start is meant for: a later one has forgotten what it was told never
    /// to begin, so it must refuse.
    #[serde(default)]
    pub boot: Option<u64>,
    /// Whether the worker may hold the start until a slot is free.
    #[serde(default)]
    pub hold: bool,
}

/// What became of a start, or of a task that is asked about.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum WorkerEnd {
    /// The task ran.
    Done {
        /// Its output.
        output: String,
        /// The digest of the input.
        digest: String,
        /// How long it ran.
        run_ms: u64,
    },
    /// The task ran and failed.
    Failed {
        /// Why.
        detail: String,
        /// How long it ran.
        run_ms: u64,
    },
    /// The task was stopped.
    Stopped,
    /// No slot is free; nothing began.
    Full,
    /// The worker is leaving; nothing began.
    Leaving,
    /// The worker refuses; nothing began.
    Refused,
    /// The task never began and never will.
    NeverWill,
    /// The task still runs.
    StillRuns,
}

/// A worker's reply with what it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReply {
    /// The end.
    #[serde(flatten)]
    pub end: WorkerEnd,
    /// The task's identity, by which a crossed reply shows.
    pub task: String,
    /// Free slots now.
    pub free: u32,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// A number that the worker drew at its start: what it does not know, an earlier process may.
    pub boot: u64,
}

/// What a worker says of itself.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AboutReply {
    /// The number that it drew at its start.
    pub boot: u64,
}

/// A question about a task in doubt.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct SettleCall {
    /// The task's identity.
    pub task: String,
}

/// A question about all tasks of jobs whose home is dead.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RecallCall {
    /// The jobs' identities.
    pub jobs: Vec<String>,
}

/// What a worker ran of some jobs.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RecallReply {
    /// Tasks by their identities, with what became of them.
    pub ends: Vec<(String, WorkerEnd)>,
}

/// Tasks to stop.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct StopCall {
    /// The tasks' identities.
    pub tasks: Vec<String>,
}

/// Leases to renew.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RenewCall {
    /// The tasks' identities.
    pub tasks: Vec<String>,
    /// The new time.
    pub lease_ms: u64,
}

/// A worker's confirmation of an order.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Done {
    /// How many tasks it concerned.
    pub count: usize,
}
