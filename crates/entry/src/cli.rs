//! Command line of the daemon.

use gumdrop::Options;

/// Command-line options of the daemon.
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// INI file with the settings; by default the one at the path that the platform sets.
    #[options(meta = "FILE")]
    pub settings: Option<String>,
    /// Check the settings and exit
    pub check: bool,
}
