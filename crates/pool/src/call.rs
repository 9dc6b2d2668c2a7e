//! Calls to workers and their replies, independent of the wire format.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::job::TaskName;

/// Destination of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the worker.
    pub id: Rc<str>,
    /// Address on which the worker accepts calls.
    pub addr: SocketAddr,
    /// Start time of the process whose clock gave the expiry of a start, in Unix milliseconds; `None` if
    /// it is not known. A start goes only over a connection that this process has accepted: the
    /// expiry means nothing to another one, which may carry the start out seconds late.
    pub process: Option<u64>,
    /// How long to wait for the reply, beyond the wait that a poll requests, in milliseconds.
    pub timeout_ms: u64,
}

/// Starts a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// Task to start.
    pub task: TaskName,
    /// Run number: counts the starts of the task, so that the worker can refuse an outdated one.
    pub run: u32,
    /// The caller's payload, passed on unchanged.
    pub spec: Rc<str>,
    /// Expiry of the lease, in milliseconds of the worker's clock.
    pub lease_until_ms: u64,
    /// Fencing token of the caller's ownership of the cell.
    pub token: u64,
}

/// Stops a run, or fences it if it has not started, so that it cannot start later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// Task to stop.
    pub task: TaskName,
    /// Number of the run. Runs of the task up to this number are fenced.
    pub run: u32,
    /// Fencing token of the caller's ownership of the cell.
    pub token: u64,
}

/// Renews the lease of all runs of a worker and reads the state of its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollCall {
    /// Fencing token of the caller's ownership of the cell.
    pub token: u64,
    /// Acknowledges ended runs up to this number, which the worker then no longer reports.
    pub ack_cursor: u64,
    /// New expiry of the lease, in milliseconds of the worker's clock; `None` leaves it unchanged.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may wait for a run to end before it replies, in milliseconds.
    pub wait_ms: u64,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The run ended without a result of its own: it was stopped, its lease expired, or its group
    /// ended.
    Interrupted,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number among the ended runs of the worker's process; acknowledged by `ack_cursor`.
    pub number: u64,
    /// Task of the run; `None` if its name cannot be parsed.
    pub task: Option<TaskName>,
    /// Run number of the start.
    pub run: u32,
    /// Result of the run.
    pub end: End,
}

/// A run that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task of the run; `None` if its name cannot be parsed.
    pub task: Option<TaskName>,
    /// Run number of the start.
    pub run: u32,
    /// Progress of the run, in percent.
    pub percent: u32,
}

/// State of a worker's runs, as the reply to a poll lists them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the worker's process, in Unix milliseconds. A new value shows a restart.
    pub started_at_ms: Option<u64>,
    /// Runs that have not ended.
    pub running: Vec<ActiveRun>,
    /// Runs that have ended and are not yet acknowledged.
    pub ended: Vec<EndedRun>,
}

impl Report {
    /// Returns whether a run of the task has not ended.
    pub fn lists_running(&self, task: &TaskName) -> bool {
        self.running.iter().any(|active| active.task.as_ref() == Some(task))
    }

    /// Returns whether the run of the task with this number has not ended.
    pub fn lists_run(&self, task: &TaskName, run: u32) -> bool {
        self.running.iter().any(|active| active.task.as_ref() == Some(task) && active.run == run)
    }

    /// Returns whether the report contains a run of the task, active or ended.
    pub fn names(&self, task: &TaskName) -> bool {
        self.lists_running(task) || self.ended.iter().any(|ended| ended.task.as_ref() == Some(task))
    }
}

/// Result of a start call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started.
    Started {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The run has not started and will not start.
    Refused(Refusal),
    /// No reply came: the run may have started, or may still start.
    Lost,
}

/// Reason for which a call had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token, that of a newer owner.
    Fenced,
    /// The worker already knows a run of the task with this number or a higher one.
    OldRun,
    /// The lease had expired when the call arrived.
    LeaseExpired,
    /// The worker has no capacity for the task now, for example too few free resources.
    NoCapacity,
    /// The worker's process is not the one that the call was meant for: it was restarted.
    InstanceMismatch,
    /// The worker is unhealthy or overloaded.
    Unhealthy,
    /// The worker could not parse the call.
    Unreadable,
    /// No connection could be opened, or the process that has accepted it did not show which one it is,
    /// so the call was not sent.
    NotSent,
    /// The worker's address refused the connection, so the call was not sent: no process listens
    /// there, which a silent or cut-off worker does not show.
    NotListening,
}

impl Refusal {
    /// Returns the reason as written to the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old_run",
            Self::LeaseExpired => "late",
            Self::NoCapacity => "no_room",
            Self::InstanceMismatch => "other_lifetime",
            Self::Unhealthy => "unwell",
            Self::Unreadable => "unreadable",
            Self::NotSent => "not_sent",
            Self::NotListening => "not_listening",
        }
    }
}

/// Result of a stop call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run is being stopped, or can no longer start.
    Stopped,
    /// The call had no effect.
    Refused(Refusal),
    /// No reply came.
    Lost,
}

/// Result of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollReply {
    /// The state of the worker's runs.
    Report(Report),
    /// The call had no effect.
    Refused(Refusal),
    /// No reply came.
    Lost,
}
