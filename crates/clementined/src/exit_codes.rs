//! Exit codes of the daemon. Error codes other than 1 are those of `sysexits.h`.

use crate::error::DaemonError;

/// The daemon shut down normally, or `--check` accepted the settings.
pub const SUCCESS: u8 = 0;
/// Logging or metrics could not be initialised.
pub const FAILURE: u8 = 1;
/// The settings are missing or invalid (`EX_CONFIG`).
pub const INVALID_SETTINGS: u8 = 78;
/// A listen address is in use or cannot be bound (`EX_UNAVAILABLE`).
pub const ADDRESS_UNAVAILABLE: u8 = 69;

/// Returns the exit code for `error`.
pub const fn for_error(error: &DaemonError) -> u8 {
    match error {
        DaemonError::Config(_) => INVALID_SETTINGS,
        DaemonError::Listen(_) => ADDRESS_UNAVAILABLE,
        DaemonError::Logging(_) | DaemonError::Metrics(_) => FAILURE,
    }
}
