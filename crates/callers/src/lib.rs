//! The callers' HTTP interface: what may be asked, and how answers are rendered.
//!
//! Callers read about it in `docs/CALLERS.md`.

pub mod parse;
pub mod render;
