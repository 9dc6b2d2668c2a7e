//! Messages between entry daemons.

use std::net::SocketAddr;
use std::rc::Rc;

use peers::wire::Protocol;
use pool::bounds::{CONTACT_INTERVAL_MS, FIRST_PING_DELAY_MS, LINK_TIMEOUT_MS};
use pool::cells::Cell;
use pool::crashes::Crash;
use pool::evacuation::ZoneRecord;
use pool::job::Outcome;
use pool::load_table::LoadReport;
use pool::loss::WorkerLife;
use pool::pool::Submission;
use pool::queue::{Backlog, or_default};
use serde::{Deserialize, Serialize};

use crate::speeds::CellSpeeds;
use crate::worker_counts::ZoneCount;

/// Protocol between entry daemons.
#[derive(Clone, Copy, Debug)]
pub enum EntryProtocol {}

impl Protocol for EntryProtocol {
    type Request = Request;
    type Reply = Reply;
    const REQUESTS_END_WITH_LINK: bool = true;
    const SILENCE_LIMIT_MS: u64 = LINK_TIMEOUT_MS;
    const CONTACT_INTERVAL_MS: u64 = CONTACT_INTERVAL_MS;
    const FIRST_PING_DELAY_MS: u64 = FIRST_PING_DELAY_MS;
}

/// Request to run a job on a cell that the receiver owns.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RunRequest {
    /// Cell on which to run the job.
    pub cell: Cell,
    /// The job and its progress under the previous owner of the cell.
    pub submission: Submission,
    /// Address on which the submitter accepts connections from other daemons, for
    /// [`Request::CellLoad`]; `None` from a daemon of a version that does not know that message.
    #[serde(deserialize_with = "or_default")]
    pub submitter: Option<SocketAddr>,
    /// Whether the submitter echoes pings while it waits; `false` from a daemon of a version before
    /// them, whose request counts as a sign of life when it is read.
    #[serde(deserialize_with = "or_default")]
    pub echoes_pings: bool,
    /// Number of the request, unique within the submitter's process, by which it cancels or withdraws
    /// this one; zero from a daemon of a version that does not number its requests.
    #[serde(deserialize_with = "or_default")]
    pub attempt: u64,
}

/// Request or notification from one daemon to another.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// Run a job on a cell that the receiver owns, and return its outcome.
    Run(Box<RunRequest>),
    /// Notification that the sender no longer waits for the job with this id that it submitted in the
    /// request with this number; zero as in [`RunRequest::attempt`].
    Cancel(Rc<str>, #[serde(deserialize_with = "or_default")] u64),
    /// Notification that the store rebalances the cells: the receiver should rejoin the group at
    /// once.
    Rejoin,
    /// Notification that the sender owns a cell, with the address of the holder that chose it as the
    /// owner; `None` from a daemon that owns the cell for another reason, or of a version that does
    /// not state the holder.
    AnnounceOwner(Ownership, #[serde(deserialize_with = "or_default")] Option<SocketAddr>),
    /// Take over a cell under this fencing token. Sent by an owner that shuts down and cannot reach
    /// the store.
    TakeOver(Cell, u64),
    /// Return the known owners of cells and evacuations of zones. Sent while the store is
    /// unreachable.
    Owners,
    /// Notification that a daemon has started, with the address on which it accepts connections
    /// from other daemons and its zone.
    Hello(SocketAddr, String),
    /// Cancel the job with this id if its caller is connected to the receiver.
    CancelJob(Rc<str>),
    /// Return the number of workers in each zone.
    WorkerCounts,
    /// Release a cell that the store has assigned to the sender, if the receiver still owns it.
    ReleaseCell(ReleaseRequest),
    /// Notification that a worker of one of the sender's cells has crashed.
    WorkerCrashed(Crash),
    /// Notification that a worker has replied again in the process that the sender took for ended.
    WorkerReturned(WorkerLife),
    /// Return the crashes that the receiver remembers. Sent by a daemon that has just started.
    Crashes,
    /// Become, remain or cease to be the owner of a cell that the sender holds.
    Delegate(DelegationRequest),
    /// Take a cell back that the receiver delegated to the sender under this fencing token. The
    /// sender shuts down and has released the cell.
    ReturnCell(Cell, u64),
    /// Notification that a cell of the sender, which refused a job of the receiver a short time ago,
    /// has room again.
    CellLoad(LoadReport),
    /// Notification that the sender would submit the job with this id to another cell if the request
    /// with this number is still queued at the receiver. The outcome of the job shows whether the
    /// receiver has withdrawn it. The number is zero as in [`RunRequest::attempt`].
    Withdraw(Rc<str>, #[serde(deserialize_with = "or_default")] u64),
    /// Notification of the speeds that the sender learned while it owned a cell of the receiver.
    Speeds(CellSpeeds),
}

/// What the holder of a cell's partition asks of the daemon that owns the cell or is to own it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DelegationStep {
    /// State whether the receiver could take over the cell. Nothing changes yet.
    Offer,
    /// Take over the cell, or raise the token of an ownership to this one without interruption.
    TakeOver,
    /// Keep the cell owned under this token.
    Renew,
    /// Release the cell if it is owned under a lower token.
    Release,
}

/// Request from the holder of a cell's partition to the daemon that it chose as the owner.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct DelegationRequest {
    /// The cell.
    pub cell: Cell,
    /// Fencing token of the ownership.
    pub token: u64,
    /// Address on which the holder accepts connections from other daemons.
    pub holder: SocketAddr,
    /// What the receiver has to do.
    pub step: DelegationStep,
}

/// Request to release a cell that the store has assigned to the sender.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The cell to release.
    pub cell: Cell,
    /// Generation of the assignment.
    pub generation: u64,
    /// Whether the sender's membership lapsed lately, so that the assignment is likely to change.
    pub is_settling: bool,
}

/// Owner of a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ownership {
    /// The owned cell.
    pub cell: Cell,
    /// Address on which the owner accepts connections from other daemons.
    pub addr: SocketAddr,
    /// Fencing token of the ownership.
    pub token: u64,
}

/// Reply to a request.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// Outcome of a job, the load of the cell after it, and what the sender knows of other cells.
    Outcome(Outcome, Backlog, #[serde(deserialize_with = "or_default")] Vec<LoadReport>),
    /// The request is refused: the sender does not own the cell, does not accept the handover or
    /// does not know the numbers of workers. As the reply to [`Request::ReleaseCell`]: the sender
    /// does not own the cell, or has just released it.
    NotOwner,
    /// The sender has taken over the cell.
    TakenOver,
    /// Owners of cells and evacuations of zones that the sender knows, and the address of the holder
    /// of each cell whose owner was chosen by the holder. The last is empty from a daemon of a
    /// version that does not state it.
    Owners(
        Vec<Ownership>,
        Vec<ZoneRecord>,
        #[serde(deserialize_with = "or_default")] Vec<(Cell, SocketAddr)>,
    ),
    /// The sender has cancelled the job.
    Cancelled,
    /// No caller of the job is connected to the sender.
    JobNotFound,
    /// Number of workers in each zone.
    WorkerCounts(Vec<ZoneCount>),
    /// The sender owns the cell and keeps it for now.
    KeepsCell,
    /// Crashes that the sender remembers, with their age in milliseconds.
    Crashes(Vec<(u64, Crash)>),
    /// The sender owns the cell under the token of the request, or could take it over.
    Delegated {
        /// Whether the sender has measured that it has more work than it can carry.
        is_saturated: bool,
    },
}
