//! Command-line options of the daemon.

use gumdrop::Options;

/// Command-line options of `clementined`.
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Print this help and exit.
    pub help: bool,
    /// Path of the INI file with the settings.
    #[options(required, meta = "FILE")]
    pub settings: String,
    /// Validate the settings and exit.
    pub check: bool,
}
