//! Exit statuses.

use callers::render::AnswerBody;
use dispatch::answer::Verdict;

use crate::error::CtlError;

/// The command succeeded; for a job, every task succeeded.
pub const SUCCESS: u8 = 0;
/// The command failed for a reason that has no status of its own.
pub const FAILURE: u8 = 1;
/// The command line is incomplete or names an entry that does not exist.
pub const USAGE: u8 = 2;
/// At least one task of the job may have started and not every task succeeded.
pub const JOB_FAILED: u8 = 10;
/// No task of the job has started, and none will start under the ticket.
pub const JOB_NOT_RUN: u8 = 11;
/// The result of the job cannot be proved.
pub const JOB_UNKNOWN: u8 = 12;
/// The job is queued or running.
pub const JOB_RUNNING: u8 = 13;
/// The edit conflicts with an edit that was applied before it.
pub const CONFLICT: u8 = 20;
/// It is not known whether the edit was applied.
pub const EDIT_UNKNOWN: u8 = 21;
/// The wait for a catalogue offset timed out.
pub const TIMED_OUT: u8 = 22;

/// Returns the exit status for an error.
pub const fn for_error(error: &CtlError) -> u8 {
    match error {
        CtlError::Usage(_) => USAGE,
        CtlError::Conflict { .. } => CONFLICT,
        CtlError::EditUnknown(_) => EDIT_UNKNOWN,
        CtlError::TimedOut(_) => TIMED_OUT,
        CtlError::File { .. } | CtlError::Call(_) | CtlError::Refused { .. } => FAILURE,
    }
}

/// Returns the exit status for a job's answer.
pub const fn for_answer(answer: &AnswerBody) -> u8 {
    match answer.verdict {
        Verdict::Complete => SUCCESS,
        Verdict::Failed => JOB_FAILED,
        Verdict::NotRun => JOB_NOT_RUN,
        Verdict::Unknown => JOB_UNKNOWN,
        Verdict::Running => JOB_RUNNING,
    }
}
