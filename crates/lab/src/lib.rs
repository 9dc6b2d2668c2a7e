//! Plays loads in virtual time through the real decisions about workers with sizes.
//!
//! A description file gives zones, workers, kinds of jobs, bursts and lost replies; a seed gives the
//! rest. The same file and seed always give the same result. See `docs/design/lab.md`.

pub mod cli;
pub mod description;
pub mod draw;
pub mod play;
pub mod report;
