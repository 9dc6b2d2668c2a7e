//! Measurements of clementinedock: real daemons and stand-ins on loopback, bounded in time.

pub mod calls;
pub mod children;
pub mod cli;
pub mod control;
pub mod faults;
pub mod fleet;
pub mod ideal;
pub mod ledgers;
pub mod once;
pub mod play;
pub mod policy;
pub mod roles;
pub mod scenario;
pub mod trace;
