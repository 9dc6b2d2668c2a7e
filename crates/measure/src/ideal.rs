//! Reference for the response times: an ideal central queue without network delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::trace::TraceJob;

/// Returns the response time of each job in milliseconds if one queue assigns all tasks to `slots`
/// slots. Jobs are served in the order of arrival, and the longest tasks of a job first.
pub fn central_queue(jobs: &[TraceJob], slots: u32) -> Vec<f64> {
    let mut free: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    jobs.iter()
        .map(|job| {
            let at_us = (job.at_ms * 1_000.0) as u64;
            let mut work_ms = job.work_ms.clone();
            work_ms.sort_unstable_by_key(|ms| Reverse(*ms));
            let mut job_end_us = at_us;
            for ms in work_ms {
                let Some(Reverse(slot_free_us)) = free.pop() else {
                    continue;
                };
                let end_us = slot_free_us.max(at_us) + ms * 1_000;
                free.push(Reverse(end_us));
                job_end_us = job_end_us.max(end_us);
            }
            (job_end_us - at_us) as f64 / 1_000.0
        })
        .collect()
}
