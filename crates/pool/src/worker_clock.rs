//! What a daemon knows of a worker's clock, on which the worker's leases expire.
//!
//! The clock is read with each reply and may be slow, so the estimate widens with the age of the
//! reading. The load that shows it: light traffic, on which most workers are idle for seconds before
//! they get a task. See `docs/design/on-the-platform.md`.

use dispatch::clock::Millis;

/// A worker's clock may be slow by one part in this number, that is by 2%.
const MAX_DRIFT_DIVISOR: u64 = 50;
/// Margin for the resolution of clocks, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 20;

/// Returns by how much a worker's clock may fall behind in `elapsed_ms`, in milliseconds.
pub(crate) const fn max_drift_ms(elapsed_ms: u64) -> u64 {
    elapsed_ms / MAX_DRIFT_DIVISOR
}

/// Returns an upper bound, by the daemon's clock, on a span of `span_ms` by a worker's clock. Both are
/// in milliseconds.
pub(crate) const fn longest_span_ms(span_ms: u64) -> u64 {
    span_ms + max_drift_ms(span_ms) + CLOCK_MARGIN_MS
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    /// Time that the clock showed, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the process whose clock it is, in Unix milliseconds, if it is known.
    pub process: Option<u64>,
    /// When the call was sent whose reply had the reading.
    pub asked_at: Millis,
    /// When the reply arrived.
    pub read_at: Millis,
}

impl ClockReading {
    /// Returns the earliest time that the clock can show at `now`, in milliseconds. An expiry that
    /// is computed from it is never later than intended, however old the reading is.
    pub const fn earliest_at(&self, now: Millis) -> u64 {
        let elapsed_ms = now.since(self.read_at);
        self.clock_ms.saturating_add(elapsed_ms - max_drift_ms(elapsed_ms))
    }

    /// Returns whether a later reading cannot be of the same clock.
    pub fn has_jumped(&self, clock_ms: u64, asked_at: Millis, now: Millis) -> bool {
        let latest_ms = self.clock_ms.saturating_add(now.since(self.asked_at));
        clock_ms.saturating_add(CLOCK_MARGIN_MS) < self.earliest_at(asked_at)
            || clock_ms > latest_ms.saturating_add(CLOCK_MARGIN_MS)
    }
}
