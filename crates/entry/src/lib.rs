//! The daemon that runs on the entry VMs of the users' platform.
//!
//! The daemon accepts callers' jobs, schedules them on the workers of the cells that it owns, and
//! reads the configuration and the workers' entries from the platform's store. The scheduling logic
//! is in the package `pool`; the platform's wire formats are in `adapter`. See
//! `docs/design/on-the-platform.md`.

pub mod callers;
pub mod cancel;
pub mod cli;
pub mod clock;
mod crashes;
pub mod delegation;
pub mod drain;
pub mod dump;
pub mod error;
mod evacuation;
pub mod logging;
pub mod metrics;
pub mod owner;
pub mod owners;
pub mod ownership;
pub mod peers;
pub mod protocol;
pub mod remote_jobs;
pub mod route;
pub mod run;
pub mod settings;
pub mod speeds;
pub mod state;
pub mod watch;
pub mod worker_counts;
