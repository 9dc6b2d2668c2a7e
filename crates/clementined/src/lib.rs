//! The clementinedock daemon: the process between callers and upstreams.
//!
//! `docs/ARCHITECTURE.md` shows its parts; the decisions are in the package `dispatch`.

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
