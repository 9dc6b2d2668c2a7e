//! Decision logic of clementinedock: plain state machines without sockets or system time.
//!
//! Every module takes the clock as an argument and gives actions back, so that a
//! failure test can replay any interleaving exactly. See `docs/ARCHITECTURE.md`.

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
