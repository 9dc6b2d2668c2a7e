//! Orders jobs that wait, and refuses those that cannot be served in time.
//!
//! Load pattern: bursts and lost workers push the work past the room for seconds. Kinds differ in
//! how long they may wait by a factor of ten, so that the least time left goes first. A job that
//! would miss its objective anyway would only make the next ones miss theirs, so that it is
//! refused at once, while its caller can still turn elsewhere.

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::job::Job;

/// The share of the cores that can be filled: what is left over between tasks is lost.
const PACKED_SHARE: f64 = 0.85;

/// The load that an owner sees.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Backlog {
    /// Cores of all workers that take work, in thousandths.
    pub capacity_millicores: u64,
    /// Cores that are free now, in thousandths.
    pub free_millicores: u64,
    /// Declared work that waits, in millicore-milliseconds.
    pub waiting_work: u64,
}

impl Backlog {
    /// Gives how long new work waits, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        let packed = self.capacity_millicores as f64 * PACKED_SHARE;
        if packed < 1.0 {
            return u64::MAX;
        }
        (self.waiting_work as f64 / packed) as u64
    }
}

/// Gives the place of a job in the queue: begun jobs first, since their work would be lost, then
/// those that can still meet their objective by the time left, then the others.
pub fn order(job: &Job, now: Millis) -> (bool, bool, Millis) {
    let latest_start = job.latest_start();
    (!job.begun, latest_start < now, latest_start)
}

/// Tells whether a job can be begun in time behind the work that waits ahead of it.
pub fn admits(job: &Job, ahead: &Backlog, now: Millis) -> bool {
    let wait_ms = ahead.wait_ms();
    wait_ms != u64::MAX && now.plus(wait_ms) <= job.latest_start()
}

/// The shortest time after which a refused caller may ask again, in milliseconds.
const RETRY_FLOOR_MS: u64 = 200;
/// The longest such time, in milliseconds.
const RETRY_CEILING_MS: u64 = 5_000;

/// Gives when asking again may help: when the work ahead is done.
pub fn retry_after_ms(ahead: &Backlog) -> u64 {
    ahead.wait_ms().clamp(RETRY_FLOOR_MS, RETRY_CEILING_MS)
}
