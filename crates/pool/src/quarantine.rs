//! Keeps tasks and routes that may crash workers away from the others.
//!
//! A crash ends all runs on a worker and takes its resources away for seconds. Without a limit,
//! the route that causes it ends the runs of all routes, and soon no worker is left for them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::crashes::CrashHistory;
use crate::job::{Job, TaskName};
use crate::run::Run;
use crate::worker::Worker;

/// Workers of a cell that a confined route may not occupy for each one that is lost with its runs.
/// So the route is left without any when it has lost a third of the cell.
const WITHHELD_PER_LOST_WORKER: usize = 3;

/// The workers that the tasks of one job may be started on.
#[derive(Debug)]
pub struct Quarantine<'a> {
    job: &'a str,
    route: &'a str,
    /// Number of workers without runs of the job's route that it may occupy besides.
    spare_workers: usize,
}

impl<'a> Quarantine<'a> {
    /// Determines the workers that a job may use at `now`.
    pub fn new(
        workers: &BTreeMap<Rc<str>, Worker>,
        crashes: &CrashHistory,
        job: &'a Job,
        now: Millis,
    ) -> Self {
        let route = &*job.terms.route;
        let spare_workers = if crashes.is_confined(route, now) {
            let involved = workers.values().filter(|worker| worker.has_runs_of_route(route));
            let (lost, occupied): (Vec<_>, Vec<_>) = involved.partition(|worker| worker.is_lost());
            let withheld = WITHHELD_PER_LOST_WORKER * lost.len();
            workers.len().saturating_sub(occupied.len() + withheld)
        } else {
            usize::MAX
        };
        Self { job: &job.spec.id, route, spare_workers }
    }

    /// Whether a task of the job may be started on the worker. A suspect shares it with no other
    /// job.
    pub fn allows(&self, worker: &Worker, is_suspect: bool) -> bool {
        let may_share = |(name, run): (&TaskName, &Run)| {
            !(is_suspect || run.is_suspect) || *name.job == *self.job
        };
        worker.runs.iter().all(may_share)
            && (self.spare_workers > 0 || worker.has_runs_of_route(self.route))
    }

    /// Returns how many tasks can start at once on the workers that are allowed, given how many fit
    /// on each.
    pub fn total_fit<'w>(&self, fits: impl Iterator<Item = (&'w Worker, u64)>) -> u64 {
        let (mut occupied, mut others) = (0, Vec::new());
        for (worker, count) in fits.filter(|(worker, _)| self.allows(worker, false)) {
            if worker.has_runs_of_route(self.route) {
                occupied += count;
            } else {
                others.push(count);
            }
        }
        others.sort_unstable_by_key(|count| Reverse(*count));
        occupied + others.iter().take(self.spare_workers).sum::<u64>()
    }
}

/// Whether a suspect of the job is not started again: its route is confined, so that it is likely to
/// crash a further worker, and the answer would be of no use to the caller any more.
pub(crate) fn is_given_up(job: &Job, crashes: &CrashHistory, now: Millis) -> bool {
    now > job.latest_useful_start() && crashes.is_confined(&job.terms.route, now)
}
