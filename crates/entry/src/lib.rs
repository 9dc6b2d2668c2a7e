//! The daemon on the entry VMs of the users' platform.
//!
//! It takes callers' jobs, owns cells of workers, and follows the platform's store. The decisions
//! are in the package `pool`; the platform's formats are in `adapter`. See
//! `docs/design/on-the-platform.md`.

pub mod callers;
pub mod cancel;
pub mod cli;
pub mod clock;
pub mod counts;
pub mod drain;
pub mod dump;
pub mod error;
pub mod follow;
pub mod logging;
pub mod metrics;
pub mod owner;
pub mod ownership;
pub mod peers;
pub mod protocol;
pub mod route;
pub mod run;
pub mod settings;
pub mod state;
