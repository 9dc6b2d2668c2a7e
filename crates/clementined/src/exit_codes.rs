//! The daemon's exit statuses.

use crate::error::DaemonError;

/// All went well.
pub const SUCCESS: u8 = 0;
/// Something failed while the daemon ran or began.
pub const FAILURE: u8 = 1;
/// The settings are wrong.
pub const SETTINGS: u8 = 78;
/// An address is taken or cannot be used.
pub const ADDRESS: u8 = 69;

/// Gives the exit status of an error.
pub const fn of(error: &DaemonError) -> u8 {
    match error {
        DaemonError::Config(_) => SETTINGS,
        DaemonError::Listen(_) => ADDRESS,
        DaemonError::Logging(_) | DaemonError::Metrics(_) => FAILURE,
    }
}
