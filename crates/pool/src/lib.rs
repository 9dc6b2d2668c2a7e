//! Decisions about best-effort jobs on workers with sizes.
//!
//! The modules are state machines: events and the clock go in, actions come out. Nothing here
//! opens a socket or reads a clock, so that a test can replay any order of events. See
//! `docs/design/on-the-platform.md`.

mod admission;
pub mod call;
pub mod catalogue;
pub mod cells;
mod claims;
pub mod estimate;
pub mod job;
pub mod owners;
pub mod placement;
pub mod pool;
pub mod queue;
mod replies;
pub mod resume;
pub mod room;
pub mod run;
pub mod spill;
pub mod worker;
