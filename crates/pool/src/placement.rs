//! Chooses the worker for a task by best fit.
//!
//! Tasks take a third to a half of a worker, so fragmentation decides how many run at once. Best
//! fit keeps whole workers free for large tasks.

use std::collections::BTreeMap;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::job::{Job, Step};
use crate::quarantine::Quarantine;
use crate::worker::Worker;

/// Safety factor on the expected run time when it is compared with the time allowed.
const RUN_TIME_MARGIN: f64 = 1.2;
/// Number of steps that a factor of one in slowdown is divided into when too slow workers are compared,
/// so that best fit decides between workers of about the same speed.
const SPEED_STEPS_PER_FACTOR: f64 = 4.0;

/// Requirements of a task for its worker.
#[derive(Clone, Copy, Debug)]
pub struct TaskRequirements<'a> {
    /// Id of the job.
    pub job: &'a str,
    /// Service whose workers can run the task.
    pub service: &'a str,
    /// Route of the job.
    pub route: &'a str,
    /// Index of the step in the job.
    pub step_number: u32,
    /// Step that the task belongs to.
    pub step: &'a Step,
    /// Expected run time of the job on workers with a slowdown of 1, in milliseconds.
    pub expected_ms: u64,
    /// Time left for the job, in milliseconds: until its latency objective or until its caller
    /// stops waiting, whichever is earlier.
    pub allowed_ms: u64,
    /// Time for which an answer is of use, in milliseconds.
    pub useful_ms: u64,
}

/// What limits the choice of a worker besides its own state and the requirements of the task.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Workers that the job may use.
    pub quarantine: &'a Quarantine<'a>,
    /// Whether a worker has crashed under the task before.
    pub is_suspect: bool,
    /// Ratio of the run times on cold workers to those on warm ones.
    pub cold_factor: f64,
    /// CPU that further tasks may occupy on workers that returned together, in thousandths of a core.
    pub ramp_room_millicores: u64,
}

impl<'a> TaskRequirements<'a> {
    /// Builds the requirements of a task of a step at `now`.
    pub fn of(job: &'a Job, step_number: u32, step: &'a Step, now: Millis) -> Self {
        let objective_at = job.arrived_at.plus(job.objective_ms());
        Self {
            job: &job.spec.id,
            service: &job.terms.service,
            route: &job.terms.route,
            step_number,
            step,
            expected_ms: job.expected_ms,
            allowed_ms: objective_at.min(job.deadline).since(now),
            useful_ms: job.useful_until().since(now),
        }
    }
}

/// Chooses the worker with the fewest free cores left after the task is placed, or `None` if no
/// worker has the resources now. Warm workers are preferred, then those in the rack with the data,
/// then those that are fast enough for the time left.
pub fn choose<'a>(
    workers: &'a BTreeMap<Rc<str>, Worker>,
    need: TaskRequirements<'_>,
    conditions: &Conditions<'_>,
    now: Millis,
) -> Option<&'a Rc<str>> {
    let fits = |worker: &Worker| {
        worker.free().can_fit(need.step.task_resources)
            && worker.accepts_tasks(now)
            && is_compatible(worker, need)
            && is_within_ramp(worker, need, conditions)
            && max_cold_runs(worker, need, conditions.cold_factor, now) > 0
            && is_below_max(worker, need)
            && conditions.quarantine.allows(worker, conditions.is_suspect)
    };
    let candidates = workers.iter().filter(|(_, worker)| fits(worker));
    candidates.min_by_key(|(_, worker)| rank(worker, need, now)).map(|(id, _)| id)
}

const fn is_within_ramp(
    worker: &Worker,
    need: TaskRequirements<'_>,
    conditions: &Conditions<'_>,
) -> bool {
    let needed_millicores = need.step.task_resources.cpu_millicores;
    !worker.presence.is_ramping() || needed_millicores <= conditions.ramp_room_millicores
}

/// Returns how many further tasks a worker may get because it is cold: none if they would end too
/// late to be of use, and no limit if it is warm.
pub fn max_cold_runs(
    worker: &Worker,
    need: TaskRequirements<'_>,
    cold_factor: f64,
    now: Millis,
) -> u64 {
    if !worker.is_cold(now) {
        u64::MAX
    } else if is_soon_enough(worker, need, cold_factor, now) {
        worker.cold_room()
    } else {
        0
    }
}

/// Whether a task is expected to end on the worker while its answer is of use. Not asked of warm
/// workers, because they refuse nothing for a wrong estimate.
pub fn is_soon_enough(
    worker: &Worker,
    need: TaskRequirements<'_>,
    cold_factor: f64,
    now: Millis,
) -> bool {
    let expected_ms = need.expected_ms as f64 * worker.slowdown() * cold_factor;
    !worker.is_cold(now) || expected_ms <= need.useful_ms as f64
}

/// Whether the worker could run the task if all of its resources were free.
pub fn is_compatible(worker: &Worker, need: TaskRequirements<'_>) -> bool {
    let label = need.step.required_label.as_ref();
    *worker.entry.service == *need.service
        && worker.entry.capacity.can_fit(need.step.task_resources)
        && label.is_none_or(|label| worker.entry.labels.contains(label))
}

fn is_below_max(worker: &Worker, need: TaskRequirements<'_>) -> bool {
    let max = need.step.max_per_worker;
    max == 0 || worker.runs_of_step(need.job, need.step_number) < max
}

/// Returns the sort key of a worker for a task. Workers on which the task would miss its objective
/// come last, the fastest of them first: long tasks may still end before their callers leave.
fn rank(worker: &Worker, need: TaskRequirements<'_>, now: Millis) -> (bool, bool, u64, u64) {
    let rack = need.step.data_rack.as_ref();
    let lacks_data = rack.is_some_and(|rack| !worker.entry.labels.contains(rack));
    let slowdown = worker.slowdown();
    let is_too_slow = need.expected_ms as f64 * slowdown * RUN_TIME_MARGIN > need.allowed_ms as f64;
    let slowness = if is_too_slow { 1 + (slowdown * SPEED_STEPS_PER_FACTOR) as u64 } else { 0 };
    let left = worker.free().minus(need.step.task_resources);
    (worker.is_cold(now), lacks_data, slowness, left.cpu_millicores)
}
