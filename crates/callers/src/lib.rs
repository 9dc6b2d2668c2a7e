//! The HTTP interface for callers: parses requests and renders answers.
//!
//! `docs/CALLERS.md` documents it for callers.

pub mod parse;
pub mod render;
