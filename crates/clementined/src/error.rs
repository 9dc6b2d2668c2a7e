//! Why the daemon could not run.

use httpedge::server::ListenError;

use crate::config::ConfigError;

/// Why the daemon could not run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum DaemonError {
    /// The settings are wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address could not be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// Logging could not be set up.
    #[error("cannot set up logging: {0}; start one daemon in a process")]
    Logging(#[from] log::SetLoggerError),
    /// Metrics could not be set up.
    #[error("cannot set up metrics: {0}; report this")]
    Metrics(String),
}
