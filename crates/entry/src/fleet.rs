//! What entry daemons say to each other.

use std::net::SocketAddr;
use std::rc::Rc;

use peers::wire::Protocol;
use pool::cells::Cell;
use pool::job::Outcome;
use pool::pool::{LINK_TIMEOUT_MS, Submission};
use pool::queue::Backlog;
use serde::{Deserialize, Serialize};

use crate::counts::ZoneCount;

/// The questions between entry daemons.
#[derive(Clone, Copy, Debug)]
pub enum Fleet {}

impl Protocol for Fleet {
    type Request = Ask;
    type Reply = Tell;
    const REQUESTS_END_WITH_LINK: bool = true;
    const SILENCE_LIMIT_MS: u64 = LINK_TIMEOUT_MS;
}

/// A job for the owner of a cell.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RunAsk {
    /// The cell.
    pub cell: Cell,
    /// The job, and what is known of it.
    pub submission: Submission,
}

/// What one daemon asks of another.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Ask {
    /// Run this job on a cell of yours, and tell what became of it.
    Run(Box<RunAsk>),
    /// This daemon no longer waits for the job that it asked you to run.
    Cancel(Rc<str>),
    /// The cells are being dealt anew: ask the store now.
    Rejoin,
    /// This daemon owns a cell now.
    Own(Ownership),
    /// Take this cell over directly: its owner ends and does not reach the store.
    Take(Cell, u64),
    /// Tell who owns the cells: the store does not answer.
    Owners,
    /// A daemon has started; this is where it takes links, and its zone.
    Hello(SocketAddr, String),
    /// Cancel this job, if its caller waits at your daemon.
    CancelOpen(Rc<str>),
    /// Tell how many workers each zone has.
    WorkerCounts,
}

/// Who owns a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ownership {
    /// The cell.
    pub cell: Cell,
    /// Where its owner takes links.
    pub addr: SocketAddr,
    /// The fencing token.
    pub token: u64,
}

/// What the other daemon replies.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Tell {
    /// What became of a job, and the load of the cell after it.
    Outcome(Outcome, Backlog),
    /// The cell is not this daemon's.
    NotOwner,
    /// The cell was taken over.
    Taken,
    /// Who owns the cells, as far as this daemon knows.
    Owners(Vec<Ownership>),
    /// The job was cancelled.
    Cancelled,
    /// No caller waits here for the job.
    NotOpen,
    /// How many workers each zone has.
    WorkerCounts(Vec<ZoneCount>),
}
