//! Decides how to continue with a job after an attempt to submit it to the owner of a cell.
//!
//! A job that may have been started stays with its cell, because only the cell's next owner can
//! find its runs. A job that has certainly not been started may go to any cell.

use crate::adoption::in_doubt_ms;
use crate::job::{Outcome, PreviousOwner, Reason};

/// Result of submitting a job to the owner of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The owner returned an outcome.
    Outcome(Outcome),
    /// No outcome came, and the owner cannot have started the job.
    NotStarted,
    /// The owner stopped responding and may have started the job.
    ConnectionLost,
}

/// How to continue with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Return the outcome to the caller.
    Answer(Outcome),
    /// Submit the job to the next owner of the same cell.
    SameCell(PreviousOwner),
    /// Submit the job to another cell. If there is none, the refusal, if any, is the outcome.
    OtherCell(Option<Outcome>),
}

/// Decides how to continue with a job after an attempt.
/// `previous_owner` is what was known about its progress before the attempt.
pub fn decide(attempt: Attempt, previous_owner: &PreviousOwner) -> Decision {
    let may_have_started = *previous_owner != PreviousOwner::None;
    match attempt {
        Attempt::Outcome(Outcome::Moved(progress)) => {
            Decision::SameCell(PreviousOwner::Reported(progress))
        }
        Attempt::ConnectionLost => Decision::SameCell(PreviousOwner::Unresponsive),
        Attempt::NotStarted if may_have_started => Decision::SameCell(previous_owner.clone()),
        Attempt::NotStarted => Decision::OtherCell(None),
        Attempt::Outcome(Outcome::NotRun { reason, .. }) if may_have_started => {
            Decision::Answer(Outcome::Aborted(reason))
        }
        Attempt::Outcome(refusal @ Outcome::NotRun { .. }) => Decision::OtherCell(Some(refusal)),
        Attempt::Outcome(outcome) => Decision::Answer(outcome),
    }
}

/// Returns the outcome of a job that the cell's next owner cannot complete within the caller's
/// time limit, or `None` if it still can. If the previous owner stopped responding, the next one
/// first has to wait until no run of the previous owner can be left.
pub fn outcome_if_too_late(
    previous_owner: &PreviousOwner,
    age_ms: u64,
    declared_ms: u64,
    limit_ms: u64,
) -> Option<Outcome> {
    let required_ms = match previous_owner {
        PreviousOwner::None | PreviousOwner::Reported(_) => 0,
        PreviousOwner::Unresponsive => in_doubt_ms(previous_owner) + declared_ms,
    };
    (age_ms + required_ms >= limit_ms).then_some(Outcome::Aborted(Reason::NoOwner))
}
