//! Small HTTP edge shared by every package that speaks HTTP.
//!
//! It turns connections into whole requests and back, bounded in size, so that the
//! packages above it deal in plain values only.

pub mod client;
pub mod server;
