//! Client for upstream workers: starts, queries and stops tasks and renews their leases.

pub mod client;
pub mod wire;
