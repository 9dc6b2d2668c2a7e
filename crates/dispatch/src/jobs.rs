//! State of the jobs and tasks that are queued or running on a daemon.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::answer::TaskEnd;
use crate::clock::Millis;
use crate::queue::FlowKey;
use crate::ticket::JobId;
use crate::workers::Needs;

/// One task of a job request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskSpec {
    /// Input that is passed to the worker.
    pub input: String,
    /// Run time in milliseconds as declared by the caller, which is often wrong; `None` if it
    /// was not declared.
    #[serde(default)]
    pub declared_ms: Option<u64>,
    /// Resources that the task requires of its worker.
    #[serde(default)]
    pub needs: Needs,
}

/// A caller's request: tasks of one kind that are answered together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobRequest {
    /// Name of the kind of work in the catalogue.
    pub kind: String,
    /// Tasks of the job; a task is identified by its index in this list.
    pub tasks: Vec<TaskSpec>,
}

/// Phase of a job that has not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// The start of the job is being journalled; its tasks are not queued yet.
    Journalling,
    /// The tasks of the job are waiting or running.
    Active,
    /// The job was cancelled and its running tasks are being stopped.
    Cancelling,
    /// The job cannot complete, because a task failed or waited too long. No more tasks are
    /// started, and the job is answered once its running tasks have ended.
    Failing,
}

/// State of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The task waits for a slot.
    Waiting,
    /// The task was sent to a worker and has not ended.
    Sent,
    /// The task has ended with this outcome.
    Ended(TaskEnd),
}

/// A job that has not been answered.
#[derive(Debug)]
pub struct Job {
    /// Request that the caller submitted.
    pub request: Rc<JobRequest>,
    /// Digest of the request, which distinguishes a resubmission from a different request.
    pub digest: u64,
    /// Time at which the job was accepted.
    pub accepted_at: Millis,
    /// Time at which a task of the job last ended, or at which the job was accepted.
    pub progress_at: Millis,
    /// Maximum time in milliseconds that the job may wait without progress, be it for its first
    /// start or for a later one.
    pub max_wait_ms: u64,
    /// Whether the tasks of the job may be used to probe workers that failed before.
    pub idempotent: bool,
    /// Flow in which the tasks of the job are queued.
    pub flow: FlowKey,
    /// Weight of the job's owner relative to other owners.
    pub share: u64,
    /// Current phase of the job.
    pub phase: JobPhase,
    /// State of each task, in the order of the request.
    pub tasks: Vec<TaskState>,
    /// Number of tasks that have not ended.
    pub unfinished: usize,
    /// Number of tasks that have started or may have started.
    pub maybe_started: usize,
    /// Requests that wait for the answer.
    pub waiters: Vec<u64>,
    /// Longest run time that a worker reported for a task of the job, in milliseconds.
    pub ideal_ms: u64,
}

/// Identifier of a caller's pending request, to which an answer is sent.
pub type RequestId = u64;

/// A job as submitted for admission.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Request that waits for the answer.
    pub request: RequestId,
    /// Identity of the job, from its ticket.
    pub job: JobId,
    /// Expiry of the ticket on its issuer's clock.
    pub expiry_ms: Millis,
    /// Digest of the job request.
    pub digest: u64,
    /// Kind and tasks of the job.
    pub work: Rc<JobRequest>,
}
