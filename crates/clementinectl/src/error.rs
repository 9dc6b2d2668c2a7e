//! Errors of the commands.

use httpedge::client::CallError;

/// Error that ends a command; [`crate::exit_codes`] maps it to an exit status.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CtlError {
    /// The command line is incomplete or names an entry that does not exist.
    #[error("{0}; see clementinectl --help")]
    Usage(String),
    /// A file cannot be read or its content is not valid.
    #[error("{file}: {why}")]
    File {
        /// Path of the file.
        file: String,
        /// Cause of the error and, where known, the expected content.
        why: String,
    },
    /// The call to the daemon failed or its reply could not be parsed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The daemon rejected the call.
    #[error("the daemon answered {status}: {why}")]
    Refused {
        /// HTTP status; 422 for an invalid edit and 503 for one that was not accepted.
        status: u16,
        /// Error text from the daemon.
        why: String,
    },
    /// An entry was changed by another edit after the base revision was read.
    #[error(
        "conflict: '{name}' was changed by {by} (revision {current}); review it and edit again"
    )]
    Conflict {
        /// Name of the entry.
        name: String,
        /// Name of the operator who changed the entry; empty if not known.
        by: String,
        /// Current revision of the entry, or "removed".
        current: String,
    },
    /// It is not known whether the edit with this id was applied.
    #[error(
        "not known whether edit {0} was applied; check with: clementinectl catalogue outcome {0}"
    )]
    EditUnknown(String),
    /// The awaited condition did not occur within the time limit.
    #[error("{0}")]
    TimedOut(String),
}
