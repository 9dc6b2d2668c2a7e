//! The daemon's command line.

use gumdrop::Options;

/// The daemon's options.
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// INI file with the settings; without it, the file that the platform names.
    #[options(meta = "FILE")]
    pub settings: Option<String>,
    /// Checks the settings and stops.
    pub check: bool,
}
