//! Scheduling of best-effort jobs on workers with limited CPU, memory and accelerators.
//!
//! The modules are state machines that turn events and time stamps into actions. They perform no
//! I/O and read no clock, so tests can replay any order of events. See
//! `docs/design/on-the-platform.md`.

mod admission;
mod adoption;
pub mod call;
pub mod catalogue;
pub mod cells;
pub mod crashes;
pub mod estimate;
pub mod failover;
pub mod job;
pub mod loss;
pub mod owners;
pub mod placement;
pub mod pool;
mod quarantine;
pub mod queue;
mod replies;
pub mod resettle;
pub mod resources;
pub mod responsiveness;
pub mod round_trip;
pub mod run;
pub mod shedding;
pub mod spill;
mod suspects;
mod warm_up;
pub mod worker;
