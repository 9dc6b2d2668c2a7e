//! Orders jobs that wait, and refuses those that cannot be served in time.
//!
//! Load pattern: bursts and lost workers push the work past the room for seconds. Kinds differ in
//! how long they may wait by a factor of ten, so that the least time left goes first. A job that
//! would miss its objective anyway would only make the next ones miss theirs, so that it is
//! refused at once, while its caller can still turn elsewhere. The less urgent a class, the earlier
//! it is refused: wide urgent jobs need much room at once, and would otherwise be refused first.

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

/// Gives the place of a job in the queue: those that can still meet their objective by the time
/// left, then the others. Begun jobs have no precedence: one that is late anyway would make others
/// late, and its caller still gets the answer after them.
pub fn order(job: &Job, now: Millis) -> (bool, Millis) {
    let latest_start = job.latest_start();
    (latest_start < now, latest_start)
}

/// Estimates when as many tasks as `needed` can begin, where running tasks end after `ends_ms` and
/// each end makes room for one. More than there are wait for the next round.
pub fn wait_for_room_ms(ends_ms: &mut [u64], needed: usize, task_ms: u64) -> u64 {
    if needed == 0 {
        return 0;
    }
    if ends_ms.is_empty() {
        return u64::MAX;
    }
    ends_ms.sort_unstable();
    let (rounds, at) = ((needed - 1) / ends_ms.len(), (needed - 1) % ends_ms.len());
    ends_ms[at] + rounds as u64 * task_ms
}

/// How much longer than estimated a wait may become, since the estimate leaves out what does not
/// pack. From `clementinelab` (docs/design/lab.md).
const WAIT_MARGIN: f64 = 1.25;
/// The classes below the most urgent one that count; for each, the wait has to fit once more.
const MOST_CLASSES: u32 = 2;

/// Tells whether a job whose last task can begin after `wait_ms` is taken. It may come late only
/// where no other job waits, which it would make late as well.
pub fn admits(job: &Job, wait_ms: u64, load: &Backlog, now: Millis) -> bool {
    if wait_ms == u64::MAX {
        return false;
    }
    let others_wait = load.waiting_work > 0;
    let latest = if others_wait { job.latest_start() } else { job.hopeless_from() };
    let times = f64::from(1 + job.terms.priority.min(MOST_CLASSES));
    now.plus((wait_ms as f64 * WAIT_MARGIN * times) as u64) <= latest
}

/// The shortest time after which a refused caller may ask again, in milliseconds.
const RETRY_FLOOR_MS: u64 = 200;
/// The longest such time, in milliseconds.
const RETRY_CEILING_MS: u64 = 5_000;

/// Gives when asking again may help: when the work ahead is done.
pub fn retry_after_ms(wait_ms: u64) -> u64 {
    wait_ms.clamp(RETRY_FLOOR_MS, RETRY_CEILING_MS)
}
