//! Chooses the worker of a task.
//!
//! Load pattern: tasks take a third to a half of a worker, so that what is left over between them
//! decides how many run at once. The tightest fit keeps whole workers free for large tasks.

use std::collections::BTreeMap;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::job::{Job, Step};
use crate::worker::Worker;

/// How much longer than expected a run may take before it misses what its caller needs.
const SAFETY: f64 = 1.2;

/// What a task needs of its worker.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The job's id.
    pub job: &'a str,
    /// The service.
    pub service: &'a str,
    /// The step's number.
    pub step_number: u32,
    /// The step.
    pub step: &'a Step,
    /// How long the job is expected to run on a worker of the usual pace, in milliseconds.
    pub expected_ms: u64,
    /// How long it may run, in milliseconds: its objective's and its caller's time left.
    pub allowed_ms: u64,
}

impl<'a> Need<'a> {
    /// Gives what a task of a step needs now.
    pub fn of(job: &'a Job, step_number: u32, step: &'a Step, now: Millis) -> Self {
        let objective_at = job.arrived_at.plus(job.objective_ms());
        Self {
            job: &job.spec.id,
            service: &job.terms.service,
            step_number,
            step,
            expected_ms: job.expected_ms,
            allowed_ms: objective_at.min(job.deadline).since(now),
        }
    }
}

/// Chooses the worker on which the least is left over. Racks with the data go first, then workers
/// that are fast enough for the time that is left.
pub fn choose<'a>(
    workers: &'a BTreeMap<Rc<str>, Worker>,
    need: Need<'_>,
    now: Millis,
) -> Option<&'a Rc<str>> {
    let fits = |worker: &Worker| {
        worker.takes_work(now)
            && worker.free().can_fit(need.step.task_resources)
            && suits(worker, need)
            && below_max(worker, need)
    };
    let candidates = workers.iter().filter(|(_, worker)| fits(worker));
    candidates.min_by_key(|(_, worker)| rank(worker, need)).map(|(id, _)| id)
}

/// Tells whether the worker could ever run the task.
pub fn suits(worker: &Worker, need: Need<'_>) -> bool {
    let label = need.step.required_label.as_ref();
    *worker.entry.service == *need.service
        && worker.entry.capacity.can_fit(need.step.task_resources)
        && label.is_none_or(|label| worker.entry.labels.contains(label))
}

fn below_max(worker: &Worker, need: Need<'_>) -> bool {
    let max = need.step.max_per_worker;
    max == 0 || worker.runs_of_step(need.job, need.step_number) < max
}

fn rank(worker: &Worker, need: Need<'_>) -> (bool, bool, u64) {
    let rack = need.step.data_rack.as_ref();
    let is_far = rack.is_some_and(|rack| !worker.entry.labels.contains(rack));
    let misses = need.expected_ms as f64 * worker.pace() * SAFETY > need.allowed_ms as f64;
    let left = worker.free().minus(need.step.task_resources);
    (is_far, misses, left.cpu_millicores)
}
