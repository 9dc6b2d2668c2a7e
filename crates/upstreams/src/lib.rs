//! The client side of upstream workers: starts, questions, stops and leases.

pub mod client;
pub mod wire;
