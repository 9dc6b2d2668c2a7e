//! Command-line options of `clementinelab`.

use gumdrop::Options;

/// Options of `clementinelab`.
#[derive(Debug, Options)]
pub struct Args {
    /// Print this help
    pub help: bool,
    /// Scenario files, simulated one after the other
    #[options(free)]
    pub files: Vec<String>,
    /// Number of seeds to simulate
    #[options(default = "10", meta = "N")]
    pub seeds: u64,
    /// First seed
    #[options(default = "1", meta = "N")]
    pub first: u64,
    /// Print comma-separated rows, one for each seed and kind of job
    pub csv: bool,
}
