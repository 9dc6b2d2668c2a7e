//! Orders the queue of jobs and refuses jobs that cannot be served in time.
//!
//! Bursts and lost workers push the demand above the capacity for seconds at a time. The time
//! that jobs may wait differs by a factor of ten between kinds, so jobs are ordered by least
//! slack. A job that would miss its latency objective anyway would only delay the jobs behind it;
//! it is refused at once, while its caller can still try elsewhere. Less urgent classes are
//! refused earlier, because wide urgent jobs need many resources at once and would otherwise be
//! the first to be refused.

use dispatch::clock::Millis;
use serde::{Deserialize, Deserializer, Serialize};

use crate::free_cores::FreeCores;
use crate::job::Job;

/// Share of the cores that tasks can occupy. The rest is lost to fragmentation.
pub(crate) const USABLE_CORE_SHARE: f64 = 0.85;

/// Capacity and queued work of a cell, as seen by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Backlog {
    /// Cores of all workers that accept tasks, in thousandths of a core.
    pub capacity_millicores: u64,
    /// Free cores of these workers, in thousandths of a core.
    pub free_millicores: u64,
    /// Expected work of the queued tasks, in millicore-milliseconds.
    pub queued_work: u64,
    /// Free cores of the workers, worker by worker; `None` from a daemon of a version that does not
    /// report them. Such a daemon's message ends before this field.
    #[serde(deserialize_with = "or_default")]
    pub free: Option<FreeCores>,
}

/// Deserializes the last field of a message, or returns its default if the message ends before it,
/// because a daemon of an earlier version sent it.
///
/// # Errors
/// Never fails; the signature is that of [`Deserialize::deserialize`].
pub fn or_default<'de, T: Deserialize<'de> + Default, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

impl Backlog {
    /// Estimates how long new work has to wait, in milliseconds. Returns `u64::MAX` when there is
    /// no capacity.
    pub fn wait_ms(&self) -> u64 {
        let usable = self.capacity_millicores as f64 * USABLE_CORE_SHARE;
        if usable < 1.0 {
            return u64::MAX;
        }
        (self.queued_work as f64 / usable) as u64
    }

    /// Estimates the time until the queued work is done, in milliseconds. Zero if nothing is queued,
    /// and at least one otherwise.
    pub fn queue_ms(&self) -> u64 {
        if self.queued_work == 0 { 0 } else { self.wait_ms().max(1) }
    }
}

/// Returns the sort key of a job in the queue. Jobs that can still meet their objective come first,
/// ordered by the time left, and late jobs follow. Started jobs have no precedence: a job that is
/// late anyway would delay others, and its caller still gets the answer after them.
pub fn sort_key(job: &Job, now: Millis) -> (bool, Millis) {
    sort_key_of(job.latest_start(), now)
}

/// Returns the sort key of a job that has to start by `latest_start`.
pub(crate) fn sort_key_of(latest_start: Millis, now: Millis) -> (bool, Millis) {
    (latest_start < now, latest_start)
}

/// Estimates the time until `needed` tasks have started, in milliseconds. The running tasks end
/// after `ends_ms`, and each end frees the resources for one task. If more tasks are needed than
/// are running, the rest waits for further rounds of `task_ms` each. Returns `u64::MAX` when
/// nothing runs that could free resources.
pub fn wait_for_resources_ms(ends_ms: &mut [u64], needed: usize, task_ms: u64) -> u64 {
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

/// Safety factor on estimated waits, which ignore fragmentation. Derived from simulations with
/// `clementinelab` (docs/design/lab.md).
pub(crate) const WAIT_MARGIN: f64 = 1.25;
/// Number of priority classes below the most urgent one that are distinguished at admission. For
/// each class below the first, the wait must fit into the time left once more.
pub(crate) const MAX_LOWER_CLASSES: u32 = 2;

/// Returns whether to admit a job whose last task can start after `wait_ms`. A job that would be
/// late is admitted only while no other job waits, since it would delay that job too.
pub fn admits(job: &Job, wait_ms: u64, load: &Backlog, now: Millis) -> bool {
    if wait_ms == u64::MAX {
        return false;
    }
    let others_queued = load.queued_work > 0;
    let latest = if others_queued { job.latest_start() } else { job.latest_useful_start() };
    let class_factor = f64::from(1 + job.terms.priority.min(MAX_LOWER_CLASSES));
    now.plus((wait_ms as f64 * WAIT_MARGIN * class_factor) as u64) <= latest
}

/// Shortest retry delay that a refused caller is given, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Longest retry delay that a refused caller is given, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 5_000;

/// Returns the retry delay for a refused caller, in milliseconds: the time until the queued work
/// is done, within fixed limits.
pub fn retry_after_ms(wait_ms: u64) -> u64 {
    wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}
