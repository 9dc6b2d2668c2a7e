//! Errors that stop the daemon, and its exit codes.

use httpedge::server::ListenError;

use crate::settings::SettingsError;

/// Error that prevents the daemon from running.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum EntryError {
    /// The settings file is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address could not be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A logger is already installed in the process.
    #[error("cannot set up logging: {0}; start only one daemon per process")]
    Logging(#[from] log::SetLoggerError),
    /// The metrics could not be registered.
    #[error("cannot set up metrics: {0}; this is a bug, please report it")]
    Metrics(#[from] prometheus::Error),
    /// A signal handler could not be installed.
    #[error("cannot install signal handlers: {0}; this is a bug, please report it")]
    Signals(std::io::Error),
}

/// Exit code for any other failure.
const EXIT_FAILURE: u8 = 1;
/// Exit code if an address is in use or cannot be bound (`EX_UNAVAILABLE` of sysexits).
const EXIT_UNAVAILABLE: u8 = 69;
/// Exit code if the settings are invalid (`EX_CONFIG` of sysexits).
const EXIT_CONFIG: u8 = 78;

impl EntryError {
    /// Returns the exit code of the process for this error.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => EXIT_CONFIG,
            Self::Listen(_) => EXIT_UNAVAILABLE,
            Self::Logging(_) | Self::Metrics(_) | Self::Signals(_) => EXIT_FAILURE,
        }
    }
}
