//! Why a command failed.

use httpedge::client::CallError;

/// Why a command failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CtlError {
    /// The command line is not complete.
    #[error("{0}; see clementinectl --help")]
    Usage(String),
    /// A file cannot be read.
    #[error("{file}: {why}")]
    File {
        /// The file.
        file: String,
        /// What is wrong, with the remedy.
        why: String,
    },
    /// The daemon could not be asked.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The daemon refused the call.
    #[error("the daemon answered {status}: {why}")]
    Refused {
        /// The status.
        status: u16,
        /// Its words.
        why: String,
    },
    /// Another operator's edit came first.
    #[error(
        "conflict: '{name}' was changed by {by} (revision {current}); look at it and edit again"
    )]
    Conflict {
        /// The entry.
        name: String,
        /// Who changed it.
        by: String,
        /// Its revision, or "removed".
        current: String,
    },
    /// It is not known whether the edit stands.
    #[error("not known whether edit {0} stands; ask again: clementinectl catalogue outcome {0}")]
    EditUnknown(String),
    /// A wait ended without its end.
    #[error("{0}")]
    TimedOut(String),
}
