//! Command-line client of clementinedock, for submitting jobs and operating its daemons.

pub mod catalogue;
pub mod cli;
pub mod error;
pub mod exit_codes;
pub mod jobs;
pub mod output;
pub mod run;
pub mod state;
