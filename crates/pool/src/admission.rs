//! Admission of jobs to a pool: its load, and the time until resources become free.

use std::collections::HashMap;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::free_cores::FreeCores;
use crate::job::{Job, Outcome, Reason, TaskState};
use crate::placement::{self, TaskRequirements};
use crate::pool::{Action, Pool};
use crate::quarantine::Quarantine;
use crate::queue::{self, Backlog};
use crate::resources::Resources;
use crate::shedding::{self, Displacement, QueuedJob, RouteWeight, Verdict};
use crate::worker::Worker;

/// Upper limit of the tasks that are assumed to fit on one worker. Any number of tasks that
/// demand no resources fits.
const MAX_TASKS_PER_WORKER: u64 = 10_000;
/// Minimum time between two checks whether the queue can be served in time, in milliseconds. Bounds
/// the processor time that they take; a wait this long matters to no kind of job.
const QUEUE_CHECK_INTERVAL_MS: u64 = 20;

/// Decision on a submitted job.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The job is admitted once the waiting jobs with these submission numbers are displaced.
    Admitted(Vec<u64>),
    /// The job is refused.
    Refused(Outcome),
}

impl Pool {
    /// Decides whether to admit a job. A job that would be refused for lack of capacity is weighed
    /// against those that wait, and so is one that would wait and whose route floods the cell.
    pub(crate) fn admission(&self, job: &Job, may_wait: bool, now: Millis) -> Admission {
        let refusal = self.refusal(job, may_wait, now);
        let is_weighed = match &refusal {
            None => may_wait && self.is_waiting_flood(job, now),
            Some(Outcome::NotRun { reason, .. }) => *reason == Reason::Overload,
            Some(_) => false,
        };
        if !is_weighed || !self.has_usual_capacity(now) {
            return refusal.map_or(Admission::Admitted(Vec::new()), Admission::Refused);
        }
        match self.weigh_queue(Some(job), now) {
            Verdict::Displace(victims) => Admission::Admitted(victims),
            Verdict::Refuse => Admission::Refused(refusal.unwrap_or_else(|| {
                let retry_after_ms = queue::retry_after_ms(self.wait_ms(job, now));
                Outcome::NotRun { reason: Reason::Overload, retry_after_ms }
            })),
        }
    }

    /// Returns whether tasks may occupy all free resources. The weighing of the queue assumes that,
    /// but a ramp, cold workers or held starts allow less.
    fn has_usual_capacity(&self, now: Millis) -> bool {
        self.ramp.is_none() && self.start_limits.allow_start(now) && self.cold_workers(now) == 0
    }

    /// Returns whether a job has to wait and its route asks for several times its fair share.
    fn is_waiting_flood(&self, job: &Job, now: Millis) -> bool {
        !job.started
            && !self.is_warming_up()
            && self.route_weights(now).get(&job.terms.route).is_some_and(|route| route.is_flood)
            && !self.can_start_now(job, now)
    }

    fn route_weights(&self, now: Millis) -> HashMap<Rc<str>, RouteWeight> {
        let usable = self.backlog(now).capacity_millicores as f64 * queue::USABLE_CORE_SHARE;
        self.demand.weights(usable, now)
    }

    /// Displaces waiting jobs if the queue cannot be served in time, for example because workers
    /// were lost.
    pub(crate) fn shed_late_jobs(&mut self, now: Millis) {
        let waits = |job: &Job| !job.started && job.has_pending();
        let is_due =
            self.queue_checked_at.is_none_or(|at| now.since(at) >= QUEUE_CHECK_INTERVAL_MS);
        if !is_due
            || self.is_warming_up()
            // Jobs that wait for their submitters lack no room.
            || self.lacks_contact()
            || !self.jobs.values().any(waits)
            || !self.has_usual_capacity(now)
        {
            return;
        }
        self.queue_checked_at = Some(now);
        if let Verdict::Displace(victims) = self.weigh_queue(None, now) {
            self.displace(&victims, None, now);
        }
    }

    /// Refuses waiting jobs in favour of another one. None of their tasks has started.
    pub(crate) fn displace(&mut self, victims: &[u64], by: Option<&Rc<str>>, now: Millis) {
        for number in victims {
            let retry_after_ms = queue::retry_after_ms(self.backlog(now).wait_ms());
            let Some(job) = self.jobs.remove(number) else { continue };
            let (route, work) = (&job.terms.route, job.total_work());
            let mean_work = self.demand.mean_work(route).unwrap_or(work as f64);
            self.demand.record_displaced(route, work, now);
            self.actions.push(Action::ReportDisplaced(Displacement {
                job: Rc::clone(&job.spec.id),
                route: Rc::clone(route),
                by: by.cloned(),
                value: shedding::value(work as f64, mean_work),
                wait_ms: now.since(job.arrived_at),
            }));
            self.forget_id(&job);
            self.answer(*number, Outcome::NotRun { reason: Reason::Overload, retry_after_ms });
        }
    }

    fn weigh_queue(&self, arriving: Option<&Job>, now: Millis) -> Verdict {
        let weights = self.route_weights(now);
        let queued_job = |number: u64, job: &Job, is_arriving: bool| {
            let work = job.total_work();
            let unknown = RouteWeight { mean_work: work as f64, weight: 1.0, is_flood: false };
            QueuedJob {
                number,
                latest_start: job.latest_start(),
                tasks: job.pending_tasks(),
                task_ms: job.task_ms.iter().copied().max().unwrap_or(0),
                work,
                priority: job.terms.priority,
                route: weights.get(&job.terms.route).copied().unwrap_or(unknown),
                is_started: job.started,
                is_arriving,
            }
        };
        // Jobs of a confined route wait for the workers that are left to it, not for these.
        let competes = |job: &Job| {
            arriving.is_none_or(|arriving| arriving.terms.service == job.terms.service)
                && job.has_unsuspected_pending()
                && !self.awaits_earlier_run(job, now)
                && !self.crashes.is_confined(&job.terms.route, now)
        };
        let waiting = self.jobs.iter().filter(|(_, job)| competes(job));
        let mut jobs: Vec<QueuedJob> =
            waiting.map(|(number, job)| queued_job(*number, job, false)).collect();
        jobs.extend(arriving.map(|job| queued_job(u64::MAX, job, true)));
        let mut ends_ms = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.accepts_tasks(now)) {
            if let Some(job) = arriving {
                let is_same = worker.entry.service == job.terms.service;
                let first = job.spec.steps.first().map(|step| step.task_resources);
                let count = worker.free().fit_count(first.unwrap_or_default());
                let count = count.min(job.spec.task_count() as u64) as usize;
                ends_ms.extend(std::iter::repeat_n(0, if is_same { count } else { 0 }));
                if !is_same {
                    continue;
                }
            }
            ends_ms
                .extend(worker.runs.values().map(|run| run.remaining_ms(worker.slowdown(), now)));
        }
        shedding::decide(jobs, &ends_ms, now)
    }

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

    /// Returns whether all tasks of the initial steps fit into the free resources. Queued tasks are
    /// placed whenever resources become free, so those that wait do not fit into what is free now.
    fn can_start_now(&self, job: &Job, now: Millis) -> bool {
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
