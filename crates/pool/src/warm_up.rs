//! Admission while a new owner learns the workers of its cell.
//!
//! After a takeover or a restart of the whole fleet, a cell has an owner before that owner has read
//! the workers' entries and polled the workers. Jobs that arrive in these tens of milliseconds find
//! no worker and no free resources, although the fleet is idle. They are queued, and admission
//! decides on them again once the free resources are known.

use dispatch::clock::Millis;

use crate::job::{Job, Outcome, Reason};
use crate::pool::Pool;
use crate::queue;

/// Longest time for which a new owner admits jobs without knowing the free resources, in
/// milliseconds. A listing of the workers' entries from a busy store takes a few hundred.
const MAX_WARM_UP_MS: u64 = 1_000;

/// Progress of a new owner in learning the workers of its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmUp {
    /// Nothing has happened yet.
    NotBegun,
    /// The workers are not listed, or have not replied to their first poll.
    Since(Millis),
    /// The free resources are known, or [`MAX_WARM_UP_MS`] have passed.
    Ended,
}

impl Pool {
    pub(crate) const fn is_warming_up(&self) -> bool {
        !matches!(self.warm_up, WarmUp::Ended)
    }

    /// Returns when the warm-up ends at the latest, or `None` if it has ended.
    pub(crate) const fn warm_up_limit(&self) -> Option<Millis> {
        match self.warm_up {
            WarmUp::Since(begun_at) => Some(begun_at.plus(MAX_WARM_UP_MS)),
            WarmUp::NotBegun | WarmUp::Ended => None,
        }
    }

    /// Ends the warm-up once every worker has replied to a poll or failed to, and decides again on
    /// the jobs that were queued meanwhile.
    pub(crate) fn update_warm_up(&mut self, now: Millis) {
        let begun_at = match self.warm_up {
            WarmUp::Ended => return,
            WarmUp::NotBegun => now,
            WarmUp::Since(begun_at) => begun_at,
        };
        self.warm_up = WarmUp::Since(begun_at);
        let is_known = self.has_worker_list
            && self.workers.values().all(|worker| !worker.awaits_first_reply());
        if is_known || now.since(begun_at) >= MAX_WARM_UP_MS {
            self.warm_up = WarmUp::Ended;
            self.readmit_queued_jobs(now);
        }
    }

    /// Refuses the queued jobs that admission would refuse now, so that they are sent to other
    /// cells. Each job is judged against those that go before it in the queue.
    fn readmit_queued_jobs(&mut self, now: Millis) {
        let queued = self.jobs.iter().filter(|(_, job)| !job.started && job.has_pending());
        let mut queued: Vec<_> =
            queued.map(|(number, job)| (queue::sort_key(job, now), *number)).collect();
        queued.sort_unstable();
        let waiting: Vec<(u64, Job)> = queued
            .iter()
            .filter_map(|(_, number)| Some((*number, self.jobs.remove(number)?)))
            .collect();
        for (number, job) in waiting {
            if let Some(Outcome::NotRun { retry_after_ms, .. }) = self.refusal(&job, true, now) {
                self.forget_id(&job);
                self.answer(number, Outcome::NotRun { reason: Reason::NewOwner, retry_after_ms });
            } else {
                self.jobs.insert(number, job);
                self.place_job(now, number);
            }
        }
    }
}
