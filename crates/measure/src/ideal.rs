//! The bound: a perfect central queue over the same trace, without any network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::trace::TraceJob;

/// Gives each job's response time in milliseconds on `slots` slots, first come first served
/// and the long tasks of a job first.
pub fn central_queue(jobs: &[TraceJob], slots: u32) -> Vec<f64> {
    let mut free: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    jobs.iter()
        .map(|job| {
            let at_us = (job.at_ms * 1_000.0) as u64;
            let mut work_ms = job.work_ms.clone();
            work_ms.sort_unstable_by_key(|ms| Reverse(*ms));
            let mut last_us = at_us;
            for ms in work_ms {
                let Some(Reverse(slot_us)) = free.pop() else {
                    continue;
                };
                let end_us = slot_us.max(at_us) + ms * 1_000;
                free.push(Reverse(end_us));
                last_us = last_us.max(end_us);
            }
            (last_us - at_us) as f64 / 1_000.0
        })
        .collect()
}
