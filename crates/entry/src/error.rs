//! Why the daemon could not run.

use httpedge::server::ListenError;

use crate::settings::SettingsError;

/// Why the daemon could not run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum EntryError {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address could not be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// Logging could not be set up.
    #[error("cannot set up logging: {0}; start one daemon in a process")]
    Logging(#[from] log::SetLoggerError),
    /// Metrics could not be set up.
    #[error("cannot set up metrics: {0}; report this")]
    Metrics(#[from] prometheus::Error),
    /// Signals could not be caught.
    #[error("cannot catch signals: {0}; report this")]
    Signals(std::io::Error),
}

/// Something failed while the daemon ran or began.
const FAILURE: u8 = 1;
/// An address is taken or cannot be used.
const ADDRESS: u8 = 69;
/// The settings are wrong.
const SETTINGS: u8 = 78;

impl EntryError {
    /// Gives the exit status.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => SETTINGS,
            Self::Listen(_) => ADDRESS,
            Self::Logging(_) | Self::Metrics(_) | Self::Signals(_) => FAILURE,
        }
    }
}
