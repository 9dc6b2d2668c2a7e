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
pub mod pool_worker;
pub mod pool_worker_server;
pub mod vms;
pub mod worker;
