//! Calls to workers and their replies, in the terms of the decisions.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::job::TaskName;

/// Identifies the worker that a call is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The worker.
    pub id: Rc<str>,
    /// Where it takes orders.
    pub addr: SocketAddr,
}

/// Starts a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The task.
    pub task: TaskName,
    /// The number of this start.
    pub run: u32,
    /// What the caller gave.
    pub spec: Rc<str>,
    /// When the lease ends, on the worker's clock.
    pub lease_until_ms: u64,
    /// The fencing token.
    pub token: u64,
}

/// Stops a run, and bars it where it has not begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// The fencing token.
    pub token: u64,
}

/// Renews the lease of all runs of a worker and asks for their ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookCall {
    /// The fencing token.
    pub token: u64,
    /// Ends up to this number need not be listed again.
    pub ack_cursor: u64,
    /// When the lease ends, on the worker's clock; none leaves it as it is.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may wait for an end before it replies, in milliseconds.
    pub wait_ms: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It ended without a result of its own: stopped, out of lease, or with its group.
    Cut,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Counts the ends of the worker's lifetime.
    pub number: u64,
    /// The task; none where its name cannot be read.
    pub task: Option<TaskName>,
    /// The number of the start.
    pub run: u32,
    /// How.
    pub end: End,
}

/// A run that goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// The task; none where its name cannot be read.
    pub task: Option<TaskName>,
    /// The number of the start.
    pub run: u32,
    /// How much of it is done, in percent.
    pub percent: u32,
}

/// The runs of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The worker's clock.
    pub clock_ms: u64,
    /// The Unix millisecond of the worker's start, which tells its lifetimes apart.
    pub born_ms: Option<u64>,
    /// The runs that go on.
    pub running: Vec<Running>,
    /// The runs that ended and were not acknowledged.
    pub ended: Vec<Ended>,
}

/// What a worker replied to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// It runs.
    Started {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// It does not run, and will not.
    Refused(Refusal),
    /// Nobody knows: the start may still be carried out until its lease ends.
    Lost,
}

/// Why a worker did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A higher fencing token was seen.
    Fenced,
    /// A run with this number or a higher one was there before.
    OldRun,
    /// The lease had ended on arrival.
    Late,
    /// It does not fit.
    NoRoom,
    /// The worker is of another lifetime.
    OtherLifetime,
    /// The worker is unwell.
    Unwell,
    /// The call cannot be read.
    Unreadable,
    /// No connection could be made.
    NotSent,
}

impl Refusal {
    /// Gives the reason as it stands in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old_run",
            Self::Late => "late",
            Self::NoRoom => "no_room",
            Self::OtherLifetime => "other_lifetime",
            Self::Unwell => "unwell",
            Self::Unreadable => "unreadable",
            Self::NotSent => "not_sent",
        }
    }
}

/// What became of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run is being stopped or will never begin.
    Stopped,
    /// The worker did nothing.
    Refused(Refusal),
    /// No reply came.
    Lost,
}

/// What became of a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookReply {
    /// The runs.
    Report(Report),
    /// The worker did nothing.
    Refused(Refusal),
    /// No reply came.
    Lost,
}
