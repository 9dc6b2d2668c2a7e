//! Small stand-ins for the systems that clementinedock talks to.
//!
//! They keep their own ledgers, so that invariants are checked against what happened
//! and never against what the daemon says. Faults are switched on over HTTP.

pub mod coverage;
pub mod ledger;
pub mod log;
pub mod metastore;
pub mod sized;
pub mod sized_server;
pub mod vms;
pub mod worker;
