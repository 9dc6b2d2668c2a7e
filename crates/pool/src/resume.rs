//! Decides how to continue with a job after an attempt to submit it to the owner of a cell.
//!
//! A job that may have been started stays with its cell, because only the cell's next owner can
//! find its runs. A job that has certainly not been started may go to any cell.

use crate::job::{Earlier, Outcome, Reason};
use crate::pool::SILENCE_MS;
use crate::worker::LEASE_BOUND_MS;

/// Result of submitting a job to the owner of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tried {
    /// The owner returned an outcome.
    Outcome(Outcome),
    /// No outcome came, and the owner cannot have started the job.
    NotBegun,
    /// The owner stopped responding and may have started the job.
    Broken,
}

/// How to continue with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Return the outcome to the caller.
    Answer(Outcome),
    /// Submit the job to the next owner of the same cell.
    SameCell(Earlier),
    /// Submit the job to another cell. If there is none, the refusal, if any, is the outcome.
    OtherCell(Option<Outcome>),
}

/// Decides how to continue with a job after an attempt.
/// `earlier` is what was known about its progress before the attempt.
pub fn next(tried: Tried, earlier: &Earlier) -> Next {
    let may_have_started = *earlier != Earlier::Nothing;
    match tried {
        Tried::Outcome(Outcome::Moved(progress)) => Next::SameCell(Earlier::Known(progress)),
        Tried::Broken => Next::SameCell(Earlier::Unknown),
        Tried::NotBegun if may_have_started => Next::SameCell(earlier.clone()),
        Tried::NotBegun => Next::OtherCell(None),
        Tried::Outcome(Outcome::NotRun { reason, .. }) if may_have_started => {
            Next::Answer(Outcome::GivenUp(reason))
        }
        Tried::Outcome(refusal @ Outcome::NotRun { .. }) => Next::OtherCell(Some(refusal)),
        Tried::Outcome(outcome) => Next::Answer(outcome),
    }
}

/// Returns the outcome of a job that the cell's next owner cannot complete within the caller's
/// time limit, or `None` if it still can. If the previous owner stopped responding, the next one
/// first has to wait until no run of the previous owner can be left.
pub fn give_up(earlier: &Earlier, age_ms: u64, declared_ms: u64, limit_ms: u64) -> Option<Outcome> {
    let required_ms = match earlier {
        Earlier::Nothing | Earlier::Known(_) => 0,
        Earlier::Unknown => LEASE_BOUND_MS + SILENCE_MS + declared_ms,
    };
    (age_ms + required_ms >= limit_ms).then_some(Outcome::GivenUp(Reason::NoOwner))
}
