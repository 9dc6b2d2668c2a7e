//! The lab's command line.

use gumdrop::Options;

/// The lab's options.
#[derive(Debug, Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Description files, played one after the other.
    #[options(free)]
    pub files: Vec<String>,
    /// How many seeds to play.
    #[options(default = "10", meta = "N")]
    pub seeds: u64,
    /// The first seed.
    #[options(default = "1", meta = "N")]
    pub first: u64,
    /// Prints a row for each seed and kind, parted by commas.
    pub csv: bool,
}
