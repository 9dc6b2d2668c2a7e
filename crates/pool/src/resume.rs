//! Decides what becomes of a job after one owner was asked.
//!
//! A job that may have been begun stays with its cell: only the cell's next owner can find its
//! runs. A job that was surely not begun may go anywhere.

use crate::job::{Earlier, Outcome, Reason};
use crate::pool::SILENCE_MS;
use crate::worker::LEASE_BOUND_MS;

/// What asking an owner gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tried {
    /// The owner answered.
    Outcome(Outcome),
    /// The owner cannot have begun the job.
    NotBegun,
    /// The owner may have begun the job, and fell silent.
    Broken,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Tell the caller.
    Answer(Outcome),
    /// Ask the same cell's next owner.
    SameCell(Earlier),
    /// Ask any other cell; the refusal, if any, is the answer where there is none.
    OtherCell(Option<Outcome>),
}

/// Decides after an owner was asked for a job of which `earlier` is known.
pub fn next(tried: Tried, earlier: &Earlier) -> Next {
    let may_have_begun = *earlier != Earlier::Nothing;
    match tried {
        Tried::Outcome(Outcome::Moved(progress)) => Next::SameCell(Earlier::Known(progress)),
        Tried::Broken => Next::SameCell(Earlier::Unknown),
        Tried::NotBegun if may_have_begun => Next::SameCell(earlier.clone()),
        Tried::NotBegun => Next::OtherCell(None),
        Tried::Outcome(Outcome::NotRun { reason, .. }) if may_have_begun => {
            Next::Answer(Outcome::GivenUp(reason))
        }
        Tried::Outcome(refusal @ Outcome::NotRun { .. }) => Next::OtherCell(Some(refusal)),
        Tried::Outcome(outcome) => Next::Answer(outcome),
    }
}

/// Tells whether the cell's next owner could still answer in the caller's time; otherwise gives
/// the answer. After an owner that fell silent, the next one first waits until no run can be left.
pub fn give_up(earlier: &Earlier, age_ms: u64, declared_ms: u64, limit_ms: u64) -> Option<Outcome> {
    let needed_ms = match earlier {
        Earlier::Nothing | Earlier::Known(_) => 0,
        Earlier::Unknown => LEASE_BOUND_MS + SILENCE_MS + declared_ms,
    };
    (age_ms + needed_ms >= limit_ms).then_some(Outcome::GivenUp(Reason::NoOwner))
}
