//! Decides for which jobs tasks may start and leases may be renewed: those whose submitter was known
//! to wait a short time ago.
//!
//! Answers the load of daemons that lose power, are cut off or stall while their jobs run at an
//! owner: their callers send the jobs again, while the owner notices only that a link is silent. An
//! owner that stalls itself has not read that its own callers have gone. See `docs/design/on-the-platform.md`.

use dispatch::clock::Millis;

use crate::bounds::CONTACT_MS;
use crate::job::Job;
use crate::pool::{Action, Pool};

/// A change in whether all submitters of a cell's jobs are known to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactChange {
    /// Starts and renewals are withheld from now on, for lack of contact with submitters.
    Lost {
        /// Number of jobs without contact.
        jobs: usize,
        /// Time since the oldest of the last signs of life, in milliseconds; zero if there was none.
        age_ms: u64,
    },
    /// No start or renewal is withheld any more: submitters were in contact again, or their jobs have
    /// ended.
    Restored {
        /// How long starts or renewals were withheld, in milliseconds.
        after_ms: u64,
    },
}

/// Stands for the last sign of life of a submitter that has given none yet.
const NEVER: Millis = Millis(0);

impl Job {
    /// Whether no submitter of the job is known to have waited after its request was sent.
    pub(crate) fn awaits_first_contact(&self) -> bool {
        self.contact_at == NEVER
    }

    /// Whether a submitter of the job was known to wait within the last [`CONTACT_MS`].
    pub(crate) const fn is_in_contact(&self, now: Millis) -> bool {
        now.since(self.contact_at) < CONTACT_MS
    }
}

impl Pool {
    /// Records that the submitter of a submission was known to wait at `at`: a lower bound on the time
    /// of its last sign of life, by this daemon's clock. If several submissions wait for one job, the
    /// last sign of life of any of them counts.
    pub fn record_contact(&mut self, number: u64, at: Millis) {
        let Some(job) = self.watchers.get(&number) else { return };
        if let Some(job) = self.jobs.get_mut(job) {
            job.contact_at = job.contact_at.max(at);
        }
    }

    /// Records that all I/O that was ready at `at` has been processed, among it closed connections
    /// of callers and cancellations. A daemon that performs I/O has to call this at least every
    /// [`IO_INTERVAL_MS`](crate::bounds::IO_INTERVAL_MS) from the begin of an ownership on. A pool for
    /// which it is never called counts all local submissions as waiting.
    pub fn record_io(&mut self, at: Millis) {
        self.io_at = Some(self.io_at.map_or(at, |known| known.max(at)));
        for (number, job) in &self.watchers {
            if self.remote_submissions.contains(number) {
                continue;
            }
            if let Some(job) = self.jobs.get_mut(job) {
                job.contact_at = job.contact_at.max(at);
            }
        }
    }

    /// Returns when the submitter of a request that has just been read was certainly waiting. One of
    /// this daemon's own callers was not there yet when I/O was last processed. The request of
    /// another daemon may have been on its way for any time, for example while a link was silent.
    pub(crate) fn contact_of_new_submission(&self, now: Millis, is_remote: bool) -> Millis {
        match (self.io_at, is_remote) {
            (None, false) => Millis(u64::MAX),
            (None, true) => now,
            (Some(io_at), false) => io_at,
            (Some(_), true) => NEVER,
        }
    }

    /// Whether starts or renewals are withheld because submitters are not known to wait.
    pub fn lacks_contact(&self) -> bool {
        self.contact_lost_at.is_some() || self.jobs.values().any(Job::awaits_first_contact)
    }

    /// Determines the workers that get neither starts nor renewals, because both would extend the
    /// lease of a run whose job is without contact.
    pub(crate) fn update_contact(&mut self, now: Millis) {
        // A job that awaits its first contact may have adopted runs, which get no renewal either.
        let lacks_contact =
            |job: &&Job| !job.is_in_contact(now) && (job.started || !job.awaits_first_contact());
        let silent = || self.jobs.values().filter(lacks_contact);
        let jobs = silent().count();
        let is_withheld = self.workers.values().any(|worker| worker.lacks_contact);
        if jobs == 0 && self.contact_lost_at.is_none() && !is_withheld {
            return;
        }
        if jobs == 0 {
            if let Some(lost_at) = self.contact_lost_at.take() {
                let change = ContactChange::Restored { after_ms: now.since(lost_at) };
                self.actions.push(Action::ReportContact(change));
            }
        } else if self.contact_lost_at.is_none() {
            let known = silent().filter(|job| !job.awaits_first_contact());
            let age_ms = known.map(|job| now.since(job.contact_at)).max().unwrap_or(0);
            self.contact_lost_at = Some(now);
            self.actions.push(Action::ReportContact(ContactChange::Lost { jobs, age_ms }));
        }
        for worker in self.workers.values_mut() {
            let jobs_of_runs = worker.runs.values().filter_map(|run| run.task_ref);
            worker.lacks_contact = jobs_of_runs
                .filter_map(|(job, _)| self.jobs.get(&job))
                .any(|job| !job.is_in_contact(now));
        }
    }
}
