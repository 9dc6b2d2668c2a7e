//! Calls to workers, with their replies converted to the types of the engine.

use std::collections::HashMap;
use std::net::SocketAddr;

use dispatch::answer::TaskEnd;
use dispatch::engine::{Hint, StartOutcome};
use dispatch::recovery::TaskReport;
use dispatch::ticket::{JobId, TaskId};
use httpedge::client::{CallError, HttpClient};

use crate::wire::{
    AboutReply, OrderReply, RecallCall, RecallReply, RenewCall, SettleCall, StartCall, StopCall,
    WorkerEnd, WorkerReply,
};

/// Maximum time until a worker replies to a start, in milliseconds.
const START_TIMEOUT_MS: u64 = 600_000;
/// Timeout of all calls other than starts, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Makes a daemon's calls to workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerClient {
    http: HttpClient,
}

impl WorkerClient {
    /// Creates a client that uses the connection pool of `http`.
    pub const fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Starts a task and waits until it has ended or was refused. A lost reply gives
    /// [`StartOutcome::ReplyLost`]: the task may have started.
    pub async fn start(
        &self,
        worker: SocketAddr,
        task: TaskId,
        call: &StartCall,
    ) -> (StartOutcome, Option<Hint>) {
        let reply = self.http.post(worker, "/start", call, START_TIMEOUT_MS).await;
        start_outcome(task, reply, StartOutcome::ReplyLost)
    }

    /// Queries the outcome of a task in doubt. If the task has not started, the worker fences it, so
    /// that it never will.
    pub async fn settle(&self, worker: SocketAddr, task: TaskId) -> (StartOutcome, Option<Hint>) {
        let call = SettleCall { task: task.to_string() };
        let reply = self.http.post(worker, "/settle", &call, CALL_TIMEOUT_MS).await;
        match start_outcome(task, reply, StartOutcome::NoAnswer) {
            (StartOutcome::NoConnection, hint) => (StartOutcome::NoAnswer, hint),
            outcome => outcome,
        }
    }

    /// Queries which tasks of the given jobs a worker ran, after the jobs' home (the daemon that
    /// held them) has died. Tasks that never started are left out.
    ///
    /// # Errors
    /// Returns [`CallError`] if the worker gives no valid reply in time.
    pub async fn recall(
        &self,
        worker: SocketAddr,
        jobs: &[JobId],
    ) -> Result<HashMap<JobId, Vec<(u32, TaskReport)>>, CallError> {
        let call = RecallCall { jobs: jobs.iter().map(ToString::to_string).collect() };
        let reply: RecallReply = self.http.post(worker, "/recall", &call, CALL_TIMEOUT_MS).await?;
        let mut by_job: HashMap<JobId, Vec<(u32, TaskReport)>> = HashMap::new();
        for (task, end) in reply.ends {
            let task: TaskId = task.parse().map_err(|_| CallError::Unreadable(worker))?;
            if let Some(report) = task_report(end) {
                by_job.entry(task.job).or_default().push((task.index, report));
            }
        }
        Ok(by_job)
    }

    /// Returns the worker's boot ID, a random number that its process generated at its start.
    ///
    /// # Errors
    /// Returns [`CallError`] if the worker gives no valid reply in time.
    pub async fn boot_id(&self, worker: SocketAddr) -> Result<u64, CallError> {
        let about: AboutReply = self.http.get(worker, "/about", CALL_TIMEOUT_MS).await?;
        Ok(about.boot)
    }

    /// Orders a worker to stop tasks.
    ///
    /// # Errors
    /// Returns [`CallError`] if the worker gives no valid reply in time.
    pub async fn stop(&self, worker: SocketAddr, tasks: &[TaskId]) -> Result<(), CallError> {
        let call = StopCall { tasks: task_ids(tasks) };
        let reply: OrderReply = self.http.post(worker, "/stop", &call, CALL_TIMEOUT_MS).await?;
        log::debug!("upstreams: stopped {} tasks on {worker}", reply.count);
        Ok(())
    }

    /// Renews the leases of tasks and returns how many of them the worker still runs.
    ///
    /// # Errors
    /// Returns [`CallError`] if the worker gives no valid reply in time.
    pub async fn renew(
        &self,
        worker: SocketAddr,
        tasks: &[TaskId],
        lease_ms: u64,
    ) -> Result<usize, CallError> {
        let call = RenewCall { tasks: task_ids(tasks), lease_ms };
        let reply: OrderReply = self.http.post(worker, "/renew", &call, CALL_TIMEOUT_MS).await?;
        log::debug!("upstreams: renewed {} leases on {worker}", reply.count);
        Ok(reply.count)
    }
}

/// Converts a worker's report on a task of a dead home. Returns `None` for a task that never
/// started.
fn task_report(end: WorkerEnd) -> Option<TaskReport> {
    match end {
        WorkerEnd::Done { output, digest, .. } => {
            Some(TaskReport::Ended(TaskEnd::Done { output, digest }))
        }
        WorkerEnd::Failed { detail, .. } => Some(TaskReport::Ended(TaskEnd::Failed { detail })),
        WorkerEnd::Stopped => Some(TaskReport::Ended(TaskEnd::Stopped)),
        WorkerEnd::StillRuns => Some(TaskReport::Running),
        WorkerEnd::Full | WorkerEnd::Leaving | WorkerEnd::Refused | WorkerEnd::NeverWill => None,
    }
}

fn task_ids(tasks: &[TaskId]) -> Vec<String> {
    tasks.iter().map(ToString::to_string).collect()
}

fn start_outcome(
    task: TaskId,
    reply: Result<WorkerReply, CallError>,
    outcome_if_lost: StartOutcome,
) -> (StartOutcome, Option<Hint>) {
    match reply {
        Ok(reply) if reply.task == task.to_string() => {
            let hint = Hint { free: reply.free, leaving: reply.leaving, boot: reply.boot };
            (outcome_of(reply.end), Some(hint))
        }
        Err(CallError::NoConnection(_) | CallError::ConnectionRefused(_)) => {
            (StartOutcome::NoConnection, None)
        }
        Ok(_)
        | Err(CallError::ReplyLost(_) | CallError::Status { .. } | CallError::Unreadable(_)) => {
            (outcome_if_lost, None)
        }
    }
}

fn outcome_of(end: WorkerEnd) -> StartOutcome {
    match end {
        WorkerEnd::Done { output, digest, run_ms } => StartOutcome::Done { output, digest, run_ms },
        WorkerEnd::Failed { detail, run_ms } => StartOutcome::Failed { detail, run_ms },
        WorkerEnd::Stopped => StartOutcome::Stopped,
        WorkerEnd::Full => StartOutcome::Full,
        WorkerEnd::Leaving => StartOutcome::Leaving,
        WorkerEnd::Refused => StartOutcome::Refused,
        WorkerEnd::NeverWill => StartOutcome::NeverWill,
        WorkerEnd::StillRuns => StartOutcome::StillRuns,
    }
}
