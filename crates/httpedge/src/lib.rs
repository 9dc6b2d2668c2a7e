//! HTTP client and server shared by every package that uses HTTP.
//!
//! Requests and responses are read completely, within a size limit, so that other packages handle
//! plain values instead of streams.

pub mod client;
#[cfg(feature = "process-connections")]
pub mod connections;
pub mod server;
