//! The daemon's clock: milliseconds since its start, also while its VM was suspended.

use dispatch::clock::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Where the clock begins, so that times before the start can be told.
const BEGIN_MS: u64 = 1_000_000;

/// A clock that counts suspended time, unlike the steady clock: leases go on while a VM sleeps.
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
    /// Gives the time now.
    pub fn now(&self) -> Millis {
        Millis(BEGIN_MS + boot_ms().saturating_sub(self.started_ms))
    }
}

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
