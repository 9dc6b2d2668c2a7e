//! The soak's command line.

use gumdrop::Options;

/// The soak's options.
#[derive(Debug, Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// How many seeds to play.
    #[options(default = "10", meta = "N")]
    pub seeds: u64,
    /// The first seed.
    #[options(default = "1", meta = "N")]
    pub first: u64,
    /// How long faults come for each seed, in seconds.
    #[options(default = "12", meta = "S")]
    pub seconds: u64,
    /// Zones of the installation.
    #[options(default = "2", meta = "N")]
    pub zones: usize,
    /// Daemons in each zone.
    #[options(default = "2", meta = "N")]
    pub daemons: usize,
    /// Plants a fault that must be found: fences, leases or bars, which workers then ignore.
    #[options(meta = "FAULT")]
    pub plant: Option<String>,
}
