//! Command-line options of `clementinesoak`.

use gumdrop::Options;

/// Options of `clementinesoak`.
#[derive(Debug, Options)]
pub struct Args {
    /// Print this help
    pub help: bool,
    /// Number of seeds to run
    #[options(default = "10", meta = "N")]
    pub seeds: u64,
    /// First seed
    #[options(default = "1", meta = "N")]
    pub first: u64,
    /// How long faults are injected for each seed, in seconds
    #[options(default = "12", meta = "S")]
    pub seconds: u64,
    /// Number of zones
    #[options(default = "2", meta = "N")]
    pub zones: usize,
    /// Number of daemons in each zone
    #[options(default = "2", meta = "N")]
    pub daemons: usize,
    /// Plant a fault that the checks must detect. Workers ignore a rule: fences (calls of previous
    /// owners are rejected), leases (runs end without a lease) or bars (a stopped run cannot start).
    /// New owners forget the evacuated zones: evacuations (the store does not list them)
    #[options(meta = "FAULT")]
    pub plant: Option<String>,
}
