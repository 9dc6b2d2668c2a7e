//! Decision logic of clementinedock, as state machines that do no I/O and read no system clock.
//!
//! The current time is passed in as an argument and the work to be done is returned as actions,
//! so that failure tests can replay any interleaving exactly. See `docs/ARCHITECTURE.md`.

mod admission;
pub mod answer;
pub mod catalogue;
pub mod clock;
pub mod engine;
pub mod estimate;
mod execution;
pub mod follower;
pub mod health;
pub mod home;
pub mod jobs;
pub mod journal;
pub mod membership;
pub mod queue;
pub mod recovery;
pub mod report;
pub mod shares;
mod slots;
pub mod ticket;
pub mod window;
pub mod workers;
