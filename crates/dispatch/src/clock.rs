//! Time in whole milliseconds, as passed to the state machines of this crate.

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds on the clock of one process.
///
/// Times from the clocks of different processes must not be compared; see
/// `docs/design/tickets.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time `span_ms` milliseconds later, saturating at the maximum.
    pub const fn plus(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns the milliseconds elapsed since `earlier`, or zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the later of two times.
    pub fn latest(self, other: Self) -> Self {
        self.max(other)
    }
}
