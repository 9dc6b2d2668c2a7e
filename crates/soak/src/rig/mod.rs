//! An installation of the users' size on one machine: daemons, store, workers and callers in processes
//! of their own, each of which may stand still at any time.
//!
//! The workers and callers record what they see, and [`record`] compares the records afterwards. See
//! `docs/design/soak.md`.

pub mod installation;
pub mod play;
pub mod record;
pub mod roles;
