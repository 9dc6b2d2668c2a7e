//! Jobs and tasks as a daemon holds them while they are queued or run.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::answer::TaskEnd;
use crate::clock::Millis;
use crate::queue::FlowKey;
use crate::ticket::JobId;
use crate::workers::Needs;

/// One task of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskSpec {
    /// What the worker gets.
    pub input: String,
    /// The declared run time in milliseconds, which is often wrong.
    #[serde(default)]
    pub declared_ms: Option<u64>,
    /// What the task needs of its worker.
    #[serde(default)]
    pub needs: Needs,
}

/// One request: tasks of one kind that are answered together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobRequest {
    /// The kind of work, by its catalogue name.
    pub kind: String,
    /// The tasks.
    pub tasks: Vec<TaskSpec>,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Its start is being journalled.
    Journalling,
    /// Its tasks wait or run.
    Active,
    /// It was cancelled; what runs is being stopped.
    Cancelling,
    /// A task failed; what runs is awaited, and nothing new starts.
    Failing,
}

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It waits for a slot.
    Waiting,
    /// It was sent to a worker.
    Sent,
    /// It has ended.
    Ended(TaskEnd),
}

/// One job that has not been answered.
#[derive(Debug)]
pub struct Job {
    /// What was asked for.
    pub request: Rc<JobRequest>,
    /// The digest of the request, to tell a resubmission from another request.
    pub digest: u64,
    /// When it was accepted.
    pub accepted_at: Millis,
    /// When one of its tasks last began or ended, or its acceptance.
    pub progress_at: Millis,
    /// The longest wait before its first start, and without any progress.
    pub max_wait_ms: u64,
    /// Whether its tasks may serve as probes.
    pub idempotent: bool,
    /// Where it waits.
    pub flow: FlowKey,
    /// Its owner's weight.
    pub share: u64,
    /// Where it stands.
    pub phase: JobPhase,
    /// Where each task stands.
    pub tasks: Vec<TaskState>,
    /// Tasks that have not ended.
    pub open: usize,
    /// Tasks that started or may have.
    pub touched: usize,
    /// Requests that wait for the answer.
    pub waiters: Vec<u64>,
    /// The longest run time that a worker reported.
    pub ideal_ms: u64,
}

/// The identity under which a caller's request is answered.
pub type RequestId = u64;

/// A job with its identity, as the admission takes it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The request that waits for the answer.
    pub request: RequestId,
    /// The identity from its ticket.
    pub job: JobId,
    /// The ticket's expiry on its issuer's clock.
    pub expiry_ms: Millis,
    /// The digest of the request.
    pub digest: u64,
    /// What is asked for.
    pub work: Rc<JobRequest>,
}
