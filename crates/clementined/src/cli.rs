//! The daemon's command line.

use gumdrop::Options;

/// The daemon's options.
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// INI file with the settings.
    #[options(required, meta = "FILE")]
    pub settings: String,
    /// Checks the settings and stops.
    pub check: bool,
}
