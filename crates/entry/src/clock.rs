//! Monotonic clock of the daemon, which includes the time while its VM is suspended.

use dispatch::clock::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Value of the clock at the daemon's start. Leaves room for times before the start.
const START_OFFSET_MS: u64 = 1_000_000;

/// Monotonic clock that, unlike `CLOCK_MONOTONIC`, counts suspended time: leases expire while a VM
/// is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_ms: u64,
}

impl Default for Clock {
    fn default() -> Self {
        Self { started_ms: boot_ms() }
    }
}

impl Clock {
    /// Returns the current time, in milliseconds.
    pub fn now(&self) -> Millis {
        Millis(START_OFFSET_MS + boot_ms().saturating_sub(self.started_ms))
    }
}

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
