//! Admission of jobs to a pool: its load, and the time until resources become free.

use dispatch::clock::Millis;

use crate::free_cores::FreeCores;
use crate::job::{Job, Outcome, Reason, TaskState};
use crate::placement::{self, TaskRequirements};
use crate::pool::Pool;
use crate::quarantine::Quarantine;
use crate::queue::{self, Backlog};
use crate::resources::Resources;
use crate::worker::Worker;

/// Upper limit of the tasks that are assumed to fit on one worker. Any number of tasks that
/// demand no resources fits.
const MAX_TASKS_PER_WORKER: u64 = 10_000;

impl Pool {
    pub(crate) fn refusal(&self, job: &Job, may_wait: bool, now: Millis) -> Option<Outcome> {
        if job.started {
            return None;
        }
        if let Some(refusal) = self.evacuation_refusal() {
            return Some(refusal);
        }
        if self.is_warming_up() {
            // Whether the job can run, and when, is not known yet.
            let is_refused = !may_wait && !self.can_start_now(job, now);
            let retry_after_ms = queue::retry_after_ms(0);
            return is_refused.then_some(Outcome::NotRun { reason: Reason::Busy, retry_after_ms });
        }
        if !self.can_ever_run(job, now) {
            let retry_after_ms = queue::retry_after_ms(0);
            return Some(Outcome::NotRun { reason: Reason::NoWorker, retry_after_ms });
        }
        // Estimates may be wrong, so they never refuse a job that fits on free workers.
        if self.can_start_now(job, now) {
            return None;
        }
        let is_confined = self.crashes.is_confined(&job.terms.route, now);
        if !may_wait {
            let retry_after_ms = queue::retry_after_ms(0);
            let reason = if is_confined { Reason::RouteConfined } else { Reason::Busy };
            return Some(Outcome::NotRun { reason, retry_after_ms });
        }
        let wait_ms = self.wait_ms(job, now);
        if queue::admits(job, wait_ms, &self.backlog(now), now) {
            return None;
        }
        let retry_after_ms = queue::retry_after_ms(wait_ms);
        let reason = if is_confined { Reason::RouteConfined } else { Reason::Overload };
        Some(Outcome::NotRun { reason, retry_after_ms })
    }

    /// Returns whether all tasks of the initial steps can start at once: no other task is queued,
    /// and the tasks of each step fit into the free resources.
    fn can_start_now(&self, job: &Job, now: Millis) -> bool {
        if self.jobs.values().any(Job::has_unsuspected_pending) {
            return false;
        }
        let initial_steps =
            job.spec.steps.iter().enumerate().filter(|(_, step)| step.after.is_empty());
        let quarantine = Quarantine::new(&self.workers, &self.crashes, job, now);
        initial_steps.into_iter().all(|(number, step)| {
            let need = TaskRequirements::of(job, number as u32, step, now);
            let usable = self.workers.values();
            let usable = usable.filter(|worker| worker.accepts_tasks(now));
            let fitting = usable.filter(|worker| placement::is_compatible(worker, need));
            let mut ramp_fit = self.ramp_fit(need);
            let fitting = fitting.map(|worker| {
                let count = self.fit_count(worker, need, now);
                let count = if worker.presence.is_ramping() { count.min(ramp_fit) } else { count };
                if worker.presence.is_ramping() {
                    ramp_fit -= count;
                }
                (worker, count)
            });
            quarantine.total_fit(fitting) >= u64::from(step.count)
        })
    }

    /// Returns how many tasks can start now on a worker that runs tasks of this kind.
    fn fit_count(&self, worker: &Worker, need: TaskRequirements<'_>, now: Millis) -> u64 {
        let count = worker.free().fit_count(need.step.task_resources);
        let max_cold_runs = placement::max_cold_runs(worker, need, self.cold.factor(), now);
        count.min(max_cold_runs).min(MAX_TASKS_PER_WORKER)
    }

    /// Returns how many tasks can start now on the workers that a ramp limits.
    fn ramp_fit(&self, need: TaskRequirements<'_>) -> u64 {
        let task = need.step.task_resources;
        let Some(ramp) = &self.ramp else { return u64::MAX };
        let room = ramp.room(&self.workers, task);
        room.checked_div(task.cpu_millicores).unwrap_or(u64::MAX)
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

    /// Estimates the time until the last task of a job can start, in milliseconds.
    fn wait_ms(&self, job: &Job, now: Millis) -> u64 {
        let latest_start = job.latest_start();
        let is_ahead = |other: &&Job| other.started || other.latest_start() <= latest_start;
        let pending =
            |job: &Job| job.tasks.iter().filter(|task| task.state == TaskState::Pending).count();
        let mut ends_ms = Vec::new();
        let (mut free, mut ramping_free) = (0, 0);
        let Some(first) = job.spec.steps.first() else { return 0 };
        let first = TaskRequirements::of(job, 0, first, now);
        let quarantine = Quarantine::new(&self.workers, &self.crashes, job, now);
        let usable = self.workers.values();
        let usable =
            usable.filter(|worker| worker.accepts_tasks(now) && quarantine.allows(worker, false));
        for worker in usable {
            if !placement::is_soon_enough(worker, first, self.cold.factor(), now) {
                continue;
            }
            let count = self.fit_count(worker, first, now);
            if worker.presence.is_ramping() {
                ramping_free += count;
            } else {
                free += count as usize;
            }
            ends_ms
                .extend(worker.runs.values().map(|run| run.remaining_ms(worker.slowdown(), now)));
        }
        if let Some(ramp) = &self.ramp {
            let allowed = self.ramp_fit(first).min(ramping_free);
            free += allowed as usize;
            let at_next_step = (ramping_free - allowed).min(allowed.max(1)) as usize;
            ends_ms.extend(std::iter::repeat_n(ramp.next_due().since(now), at_next_step));
        }
        let ahead: usize = self.jobs.values().filter(is_ahead).map(pending).sum();
        let waiting = ahead + job.spec.task_count();
        let task_ms = job.task_ms.iter().copied().max().unwrap_or(0);
        // Tasks that start now on free resources release them again when they end.
        ends_ms.extend(std::iter::repeat_n(task_ms, free.min(waiting)));
        queue::wait_for_resources_ms(&mut ends_ms, waiting.saturating_sub(free), task_ms)
    }

    /// Returns the load of the cell, from which daemons choose between owners.
    pub fn backlog(&self, now: Millis) -> Backlog {
        let mut backlog = Backlog::default();
        let mut ramp_capacity = self.ramp.map_or(0, |ramp| ramp.allowed_millicores());
        let mut ramp_room =
            self.ramp.map_or(0, |ramp| ramp.room(&self.workers, Resources::default()));
        let usable = self.workers.values().filter(|worker| worker.accepts_tasks(now));
        let mut sizes: Vec<(u64, u64)> = Vec::new();
        for worker in usable.filter(|_| !self.is_evacuated()) {
            let mut capacity = worker.entry.capacity.cpu_millicores;
            let has_room = !worker.is_cold(now) || worker.cold_room() > 0;
            let mut free = if has_room { worker.free().cpu_millicores } else { 0 };
            if worker.presence.is_ramping() {
                (capacity, free) = (capacity.min(ramp_capacity), free.min(ramp_room));
                ramp_capacity -= capacity;
                ramp_room -= free;
            }
            backlog.capacity_millicores = backlog.capacity_millicores.saturating_add(capacity);
            backlog.free_millicores = backlog.free_millicores.saturating_add(free);
            sizes.push((worker.entry.capacity.cpu_millicores, free));
        }
        backlog.free = Some(FreeCores::new(sizes.into_iter()));
        for job in self.jobs.values() {
            let pending = job.tasks.iter().filter(|task| task.state == TaskState::Pending);
            let work = pending.map(|task| {
                let step = task.step as usize;
                let cpu_millicores = job.spec.steps[step].task_resources.cpu_millicores;
                job.task_ms[step].saturating_mul(cpu_millicores)
            });
            backlog.queued_work = work.fold(backlog.queued_work, u64::saturating_add);
        }
        backlog
    }
}
