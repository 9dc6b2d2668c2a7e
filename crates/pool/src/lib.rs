//! Scheduling of best-effort jobs on workers with limited CPU, memory and accelerators.
//!
//! The modules are state machines that turn events and time stamps into actions. They perform no
//! I/O and read no clock, so tests can replay any order of events. See
//! `docs/design/on-the-platform.md`.

mod admission;
mod adoption;
pub mod arrival;
pub mod balance;
pub mod bounds;
pub mod call;
pub mod catalogue;
pub mod cells;
pub mod cold;
pub mod contact;
pub mod crashes;
pub mod estimate;
pub mod evacuation;
pub mod failover;
pub mod free_cores;
pub mod free_notice;
pub mod in_progress;
pub mod job;
pub mod load_table;
pub mod loss;
pub mod owners;
pub mod placement;
pub mod pool;
mod quarantine;
pub mod queue;
pub mod ramp;
mod replies;
pub mod resettle;
pub mod resources;
pub mod responsiveness;
pub mod retries;
pub mod round_trip;
pub mod run;
pub mod shedding;
pub mod speed;
pub mod spill;
mod suspects;
pub mod tokens;
mod warm_up;
pub mod worker;
mod worker_clock;
