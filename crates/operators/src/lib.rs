//! Request parsing, JSON bodies and metrics of the HTTP interface for operators.
//!
//! `docs/OPERATIONS.md` documents the interface for operators.

pub mod metrics;
pub mod parse;
pub mod wire;
