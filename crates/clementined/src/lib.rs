//! The clementinedock daemon: the process between callers and upstreams. It accepts jobs from
//! callers and runs their tasks on workers.
//!
//! This package contains the I/O: HTTP, messages between daemons, the log service and timers. The
//! scheduling logic is in the package `dispatch`. `docs/ARCHITECTURE.md` describes the parts.

pub mod actions;
pub mod callers;
pub mod catalogue;
pub mod claims;
pub mod cli;
pub mod config;
pub mod daemon;
pub mod drain;
pub mod error;
pub mod exit_codes;
pub mod heartbeats;
pub mod journal;
pub mod logging;
pub mod operators;
pub mod peers;
pub mod recovery;
pub mod run;
pub mod vms;
