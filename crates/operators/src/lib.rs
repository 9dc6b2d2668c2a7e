//! The operators' HTTP interface: state, explanations, the catalogue and metrics.
//!
//! Operators read about it in `docs/OPERATIONS.md`.

pub mod metrics;
pub mod parse;
pub mod wire;
