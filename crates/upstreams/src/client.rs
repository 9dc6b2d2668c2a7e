//! Calls to workers, turned into what the engine understands.

use std::collections::HashMap;
use std::net::SocketAddr;

use dispatch::answer::TaskEnd;
use dispatch::engine::{Hint, StartOutcome};
use dispatch::recovery::Known;
use dispatch::ticket::{JobId, TaskId};
use httpedge::client::{CallError, Caller};

use crate::wire::{
    AboutReply, Done, RecallCall, RecallReply, RenewCall, SettleCall, StartCall, StopCall,
    WorkerEnd, WorkerReply,
};

/// The longest time that a start may stay open.
const LONGEST_RUN_MS: u64 = 600_000;
/// How long a question or an order may take.
const ORDER_TIMEOUT_MS: u64 = 1_500;

/// The calls that a daemon makes to workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerClient {
    caller: Caller,
}

impl WorkerClient {
    /// Builds the client over a pool of connections.
    pub const fn new(caller: Caller) -> Self {
        Self { caller }
    }

    /// Starts a task and waits for its end.
    pub async fn start(
        &self,
        worker: SocketAddr,
        task: TaskId,
        call: &StartCall,
    ) -> (StartOutcome, Option<Hint>) {
        let reply = self.caller.post(worker, "/start", call, LONGEST_RUN_MS).await;
        ended(task, reply, StartOutcome::ReplyLost)
    }

    /// Asks about a task in doubt; one that never began is barred from beginning.
    pub async fn settle(&self, worker: SocketAddr, task: TaskId) -> (StartOutcome, Option<Hint>) {
        let call = SettleCall { task: task.to_string() };
        let reply = self.caller.post(worker, "/settle", &call, ORDER_TIMEOUT_MS).await;
        match ended(task, reply, StartOutcome::NoAnswer) {
            (StartOutcome::NoConnection, hint) => (StartOutcome::NoAnswer, hint),
            other => other,
        }
    }

    /// Asks what a worker ran of jobs whose home is dead.
    ///
    /// # Errors
    /// Fails where the worker gave no reply.
    pub async fn recall(
        &self,
        worker: SocketAddr,
        jobs: &[JobId],
    ) -> Result<HashMap<JobId, Vec<(u32, Known)>>, CallError> {
        let call = RecallCall { jobs: jobs.iter().map(ToString::to_string).collect() };
        let reply: RecallReply =
            self.caller.post(worker, "/recall", &call, ORDER_TIMEOUT_MS).await?;
        let mut by_job: HashMap<JobId, Vec<(u32, Known)>> = HashMap::new();
        for (task, end) in reply.ends {
            let task: TaskId = task.parse().map_err(|_| CallError::Unreadable(worker))?;
            if let Some(known) = known_of(end) {
                by_job.entry(task.job).or_default().push((task.index, known));
            }
        }
        Ok(by_job)
    }

    /// Asks for the number that the worker drew at its start.
    ///
    /// # Errors
    /// Fails where the worker gave no reply.
    pub async fn boot(&self, worker: SocketAddr) -> Result<u64, CallError> {
        let about: AboutReply = self.caller.get(worker, "/about", ORDER_TIMEOUT_MS).await?;
        Ok(about.boot)
    }

    /// Stops tasks.
    ///
    /// # Errors
    /// Fails where the worker gave no reply.
    pub async fn stop(&self, worker: SocketAddr, tasks: &[TaskId]) -> Result<(), CallError> {
        let call = StopCall { tasks: names(tasks) };
        let done: Done = self.caller.post(worker, "/stop", &call, ORDER_TIMEOUT_MS).await?;
        log::debug!("upstreams: Stopped {} tasks on {worker}.", done.count);
        Ok(())
    }

    /// Renews leases and gives the number of tasks that the worker still runs.
    ///
    /// # Errors
    /// Fails where the worker gave no reply.
    pub async fn renew(
        &self,
        worker: SocketAddr,
        tasks: &[TaskId],
        lease_ms: u64,
    ) -> Result<usize, CallError> {
        let call = RenewCall { tasks: names(tasks), lease_ms };
        let done: Done = self.caller.post(worker, "/renew", &call, ORDER_TIMEOUT_MS).await?;
        log::debug!("upstreams: Renewed {} leases on {worker}.", done.count);
        Ok(done.count)
    }
}

/// Gives what an end says of a dead home's task; none where it never began.
fn known_of(end: WorkerEnd) -> Option<Known> {
    match end {
        WorkerEnd::Done { output, digest, .. } => {
            Some(Known::Ended(TaskEnd::Done { output, digest }))
        }
        WorkerEnd::Failed { detail, .. } => Some(Known::Ended(TaskEnd::Failed { detail })),
        WorkerEnd::Stopped => Some(Known::Ended(TaskEnd::Stopped)),
        WorkerEnd::StillRuns => Some(Known::Runs),
        WorkerEnd::Full | WorkerEnd::Leaving | WorkerEnd::Refused | WorkerEnd::NeverWill => None,
    }
}

fn names(tasks: &[TaskId]) -> Vec<String> {
    tasks.iter().map(ToString::to_string).collect()
}

fn ended(
    task: TaskId,
    reply: Result<WorkerReply, CallError>,
    lost: StartOutcome,
) -> (StartOutcome, Option<Hint>) {
    match reply {
        Ok(reply) if reply.task == task.to_string() => {
            let hint = Hint { free: reply.free, leaving: reply.leaving, boot: reply.boot };
            (end_of(reply.end), Some(hint))
        }
        Err(CallError::NoConnection(_)) => (StartOutcome::NoConnection, None),
        Ok(_)
        | Err(CallError::ReplyLost(_) | CallError::Status { .. } | CallError::Unreadable(_)) => {
            (lost, None)
        }
    }
}

fn end_of(end: WorkerEnd) -> StartOutcome {
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
