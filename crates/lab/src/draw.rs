//! Draws the jobs of a description from a seed.

use std::rc::Rc;

use pool::catalogue::Terms;
use pool::job::{JobSpec, Step};
use pool::resources::Resources;
use rand::Rng as _;
use rand::rngs::SmallRng;

use crate::description::{Description, Kind};

/// The spread of run times and of numbers of tasks between jobs, in logarithms.
const JOB_SPREAD: f64 = 0.4;
/// The spread of run times within a job, in logarithms.
const TASK_SPREAD: f64 = 0.15;
/// The spread of sizes, in logarithms.
const SIZE_SPREAD: f64 = 0.2;
/// The most that any draw may be, as a multiple of its mean.
const MOST: f64 = 4.0;
/// The most that a size may be, as a multiple of its mean.
const MOST_SIZE: f64 = 1.5;
/// The objective's multiple of the longest task, and what it allows besides, as on the users' sheets.
const STRETCH: f64 = 1.6;
const TARGET_MS: u64 = 60;
/// How long a caller waits at the least, in milliseconds.
pub const CALLER_WAIT_MS: u64 = 1_800;
const MEMORY_MB: u64 = 64;

/// One job, with what only the workers know of it.
#[derive(Clone, Debug)]
pub struct DrawnJob {
    /// The kind's place in the description.
    pub kind: usize,
    /// The zone that its caller reaches.
    pub zone: usize,
    /// When it arrives, in milliseconds.
    pub at_ms: u64,
    /// What the caller sends.
    pub spec: JobSpec,
    /// What its route promises.
    pub terms: Terms,
    /// How long each task takes on a worker of the usual pace, in milliseconds.
    pub task_ms: Vec<u64>,
}

impl DrawnJob {
    /// Gives the latency objective for the true run times, in milliseconds.
    pub fn objective_ms(&self) -> u64 {
        let longest_ms = self.task_ms.iter().copied().max().unwrap_or(0);
        (longest_ms as f64 * STRETCH) as u64 + TARGET_MS
    }

    /// Gives the work of the whole job, in millicore-milliseconds.
    pub fn work(&self) -> u64 {
        self.task_ms.iter().sum::<u64>() * self.spec.steps[0].task_resources.cpu_millicores
    }
}

/// Draws all jobs, in the order of their arrival.
pub fn jobs(description: &Description, rng: &mut SmallRng) -> Vec<DrawnJob> {
    let mut jobs = Vec::new();
    for (place, kind) in description.kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let rate_per_ms = kind.per_s * factor_at(description, at_ms as u64) / 1_000.0;
            at_ms -= rng.random_range(f64::EPSILON..1.0).ln() / rate_per_ms;
            if at_ms >= description.span_ms as f64 {
                break;
            }
            jobs.push(job(description, (place, kind), at_ms as u64, rng));
        }
    }
    jobs.sort_by_key(|job| job.at_ms);
    for (number, job) in jobs.iter_mut().enumerate() {
        job.spec.id = Rc::from(format!("{number:016x}"));
    }
    jobs
}

fn factor_at(description: &Description, at_ms: u64) -> f64 {
    let burst = description.burst.filter(|b| (b.at_ms..b.at_ms + b.for_ms).contains(&at_ms));
    burst.map_or(1.0, |burst| burst.factor)
}

fn job(
    description: &Description,
    (place, kind): (usize, &Kind),
    at_ms: u64,
    rng: &mut SmallRng,
) -> DrawnJob {
    let usual_ms = log_normal(kind.task_ms, JOB_SPREAD, MOST, rng);
    let count = (log_normal(kind.tasks, JOB_SPREAD, MOST, rng).round() as u32).max(1);
    let task_ms = (0..count).map(|_| log_normal(usual_ms, TASK_SPREAD, MOST, rng) as u64 + 1);
    let task_ms = task_ms.collect();
    let cpu = log_normal(kind.cpu_millicores, SIZE_SPREAD, MOST_SIZE, rng);
    let task_resources =
        Resources { cpu_millicores: cpu as u64, memory_mb: MEMORY_MB, accelerators: 0 };
    let declared_ms = log_normal(usual_ms, description.declared_spread, MOST, rng);
    let step = Step { count, task_resources, estimate_ms: declared_ms as u64, ..Step::default() };
    let spec = JobSpec { id: Rc::from(""), payload: Rc::from(""), steps: vec![step] };
    let terms = Terms {
        route: Rc::from(kind.name.as_str()),
        service: Rc::from("s"),
        priority: kind.priority,
        max_attempts: 2,
        stretch: STRETCH,
        target_ms: TARGET_MS,
        timeout_ms: CALLER_WAIT_MS,
    };
    DrawnJob {
        kind: place,
        zone: rng.random_range(0..description.zones),
        at_ms,
        spec,
        terms,
        task_ms,
    }
}

/// Draws from a log-normal distribution of a mean.
fn log_normal(mean: f64, spread: f64, most: f64, rng: &mut SmallRng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let drawn = mean * (spread * normal - spread * spread / 2.0).exp();
    drawn.min(mean * most)
}
