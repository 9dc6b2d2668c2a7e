//! The clementinedock command-line tool.

pub mod catalogue;
pub mod cli;
pub mod error;
pub mod exit_codes;
pub mod jobs;
pub mod output;
pub mod run;
pub mod state;
