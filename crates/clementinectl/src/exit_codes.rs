//! The tool's exit statuses.

use callers::render::AnswerBody;
use dispatch::answer::Verdict;

use crate::error::CtlError;

/// All went well; a job is complete.
pub const SUCCESS: u8 = 0;
/// The command failed.
pub const FAILURE: u8 = 1;
/// The command line is wrong.
pub const USAGE: u8 = 2;
/// The job failed.
pub const JOB_FAILED: u8 = 10;
/// Nothing of the job was run.
pub const JOB_NOT_RUN: u8 = 11;
/// Neither can be proved.
pub const JOB_UNKNOWN: u8 = 12;
/// The job still runs.
pub const JOB_RUNNING: u8 = 13;
/// Another operator's edit came first.
pub const CONFLICT: u8 = 20;
/// It is not known whether an edit stands.
pub const EDIT_UNKNOWN: u8 = 21;
/// A wait ended without its end.
pub const TIMED_OUT: u8 = 22;

/// Gives the exit status of an error.
pub const fn of(error: &CtlError) -> u8 {
    match error {
        CtlError::Usage(_) => USAGE,
        CtlError::Conflict { .. } => CONFLICT,
        CtlError::EditUnknown(_) => EDIT_UNKNOWN,
        CtlError::TimedOut(_) => TIMED_OUT,
        CtlError::File { .. } | CtlError::Call(_) | CtlError::Refused { .. } => FAILURE,
    }
}

/// Gives the exit status of an answer.
pub const fn of_answer(answer: &AnswerBody) -> u8 {
    match answer.verdict {
        Verdict::Complete => SUCCESS,
        Verdict::Failed => JOB_FAILED,
        Verdict::NotRun => JOB_NOT_RUN,
        Verdict::Unknown => JOB_UNKNOWN,
        Verdict::Running => JOB_RUNNING,
    }
}
