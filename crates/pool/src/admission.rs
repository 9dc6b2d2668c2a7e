//! What a pool knows when it admits a job: its load, and when there is room.

use dispatch::clock::Millis;

use crate::job::{Job, Outcome, Reason, TaskState};
use crate::placement::{self, TaskRequirements};
use crate::pool::Pool;
use crate::queue::{self, Backlog};
use crate::worker::Worker;

/// The most tasks that are counted to fit on one worker; tasks of no size fit in any number.
const MAX_FIT: u64 = 10_000;

impl Pool {
    pub(crate) fn refusal(&self, job: &Job, may_wait: bool, now: Millis) -> Option<Outcome> {
        if job.begun {
            return None;
        }
        if !self.can_ever_run(job, now) {
            let retry_after_ms = queue::retry_after_ms(0);
            return Some(Outcome::NotRun { reason: Reason::NoWorker, retry_after_ms });
        }
        // An estimate alone refuses nothing that free workers could do.
        if self.can_begin_now(job, now) {
            return None;
        }
        if !may_wait {
            let retry_after_ms = queue::retry_after_ms(0);
            return Some(Outcome::NotRun { reason: Reason::Busy, retry_after_ms });
        }
        let wait_ms = self.wait_ms(job, now);
        if queue::admits(job, wait_ms, &self.backlog(now), now) {
            return None;
        }
        let retry_after_ms = queue::retry_after_ms(wait_ms);
        Some(Outcome::NotRun { reason: Reason::Overload, retry_after_ms })
    }

    /// Tells whether all tasks that are due would begin at once: nothing waits, and they fit.
    fn can_begin_now(&self, job: &Job, now: Millis) -> bool {
        if self.jobs.values().any(Job::has_pending) {
            return false;
        }
        let due = job.spec.steps.iter().enumerate().filter(|(_, step)| step.after.is_empty());
        due.into_iter().all(|(number, step)| {
            let need = TaskRequirements::of(job, number as u32, step, now);
            let usable = self.workers.values();
            let usable = usable.filter(|worker| worker.accepts_tasks(now));
            let fits = usable.filter(|worker| placement::is_compatible(worker, need));
            let fits: u64 = fits.map(|worker| worker.free().fits(step.each).min(MAX_FIT)).sum();
            fits >= u64::from(step.count)
        })
    }

    fn can_ever_run(&self, job: &Job, now: Millis) -> bool {
        let possible = |(number, step)| {
            let need = TaskRequirements::of(job, number, step, now);
            let is_compatible =
                |worker: &&Worker| worker.is_eligible() && placement::is_compatible(worker, need);
            self.workers.values().any(|worker| is_compatible(&worker))
        };
        job.spec.steps.iter().enumerate().all(|(number, step)| possible((number as u32, step)))
    }

    /// Estimates when the last task of a job can begin, in milliseconds from now.
    fn wait_ms(&self, job: &Job, now: Millis) -> u64 {
        let latest_start = job.latest_start();
        let goes_first = |other: &&Job| other.begun || other.latest_start() <= latest_start;
        let pending =
            |job: &Job| job.tasks.iter().filter(|task| task.state == TaskState::Pending).count();
        let mut ends_ms = Vec::new();
        let mut free = 0;
        let first = job.spec.steps.first().map(|step| step.each).unwrap_or_default();
        for worker in self.workers.values().filter(|worker| worker.accepts_tasks(now)) {
            free += worker.free().fits(first).min(MAX_FIT) as usize;
            ends_ms.extend(worker.runs.values().map(|run| run.left_ms(worker.slowdown(), now)));
        }
        let ahead: usize = self.jobs.values().filter(goes_first).map(pending).sum();
        let waiting = ahead + job.spec.task_count();
        let task_ms = job.task_ms.iter().copied().max().unwrap_or(0);
        // Tasks that begin now in what is free end as well.
        ends_ms.extend(std::iter::repeat_n(task_ms, free.min(waiting)));
        queue::wait_for_room_ms(&mut ends_ms, waiting.saturating_sub(free), task_ms)
    }

    /// Gives the load, for daemons that choose between owners.
    pub fn backlog(&self, now: Millis) -> Backlog {
        let mut backlog = Backlog::default();
        for worker in self.workers.values().filter(|worker| worker.accepts_tasks(now)) {
            backlog.capacity_millicores += worker.entry.capacity.cpu_millicores;
            backlog.free_millicores += worker.free().cpu_millicores;
        }
        for job in self.jobs.values() {
            let pending = job.tasks.iter().filter(|task| task.state == TaskState::Pending);
            let work = pending.map(|task| {
                let step = task.step as usize;
                job.task_ms[step] * job.spec.steps[step].each.cpu_millicores
            });
            backlog.waiting_work += work.sum::<u64>();
        }
        backlog
    }
}
