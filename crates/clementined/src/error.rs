//! Errors that end the daemon.

use httpedge::server::ListenError;

use crate::config::ConfigError;

/// An error that prevents the daemon from starting.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum DaemonError {
    /// The settings are missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A listen address could not be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The global logger could not be installed.
    #[error("cannot initialise logging: {0}; run only one daemon per process")]
    Logging(#[from] log::SetLoggerError),
    /// The metrics could not be registered; holds the message of the metrics library.
    #[error("cannot register metrics: {0}; report this as a bug")]
    Metrics(String),
}
