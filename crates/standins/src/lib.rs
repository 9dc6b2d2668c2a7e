//! Test doubles of the systems that clementinedock calls: workers, the metadata store, the log
//! service and the VM list.
//!
//! The workers keep their own record of events, so that tests check invariants against what
//! happened on the workers instead of what the daemon reports. Faults of the stand-in programs are
//! set over HTTP (`POST /faults`).

pub mod coverage;
pub mod ledger;
pub mod log;
pub mod metastore;
pub mod sized;
pub mod sized_server;
pub mod vms;
pub mod worker;
