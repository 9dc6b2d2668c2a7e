//! The project's own clock type, in whole milliseconds.

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds on the clock of one process.
///
/// Points of different processes are never compared; see `docs/design/tickets.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// Gives the point `span_ms` milliseconds later.
    pub const fn plus(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Gives the milliseconds since `earlier`, or zero where `earlier` lies ahead.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Gives the later of two points.
    pub fn latest(self, other: Self) -> Self {
        self.max(other)
    }
}
