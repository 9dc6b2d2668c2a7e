//! Benchmarks of clementinedock with real daemons and simulated workers, log service and VM list
//! on loopback. Every benchmark has a bounded run time.

pub mod calls;
pub mod children;
pub mod cli;
pub mod control;
pub mod fleet;
pub mod harm;
pub mod ideal;
pub mod ledgers;
pub mod once;
pub mod policy;
pub mod roles;
pub mod runner;
pub mod scenario;
pub mod trace;
