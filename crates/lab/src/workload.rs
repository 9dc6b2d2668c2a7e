//! Generates the random jobs of a scenario.

use std::rc::Rc;

use pool::catalogue::Terms;
use pool::job::{JobSpec, Step};
use pool::resources::Resources;
use rand::Rng as _;
use rand::rngs::SmallRng;

use crate::scenario::{Burst, JobKind, Scenario};

/// Variation of the mean run time and of the number of tasks between jobs, as the standard
/// deviation of their logarithm.
const JOB_SIGMA: f64 = 0.4;
/// Variation of the run times within a job, as the standard deviation of their logarithm.
const TASK_SIGMA: f64 = 0.15;
/// Variation of the CPU demand between jobs, as the standard deviation of its logarithm.
const SIZE_SIGMA: f64 = 0.2;
/// Upper bound of run times and numbers of tasks, as a multiple of their mean.
const MAX_FACTOR: f64 = 4.0;
/// Upper bound of the CPU demand, as a multiple of its mean.
const MAX_SIZE_FACTOR: f64 = 1.5;
/// Latency objective as in the customers' requirements: this multiple of the run time of the
/// longest task, plus `TARGET_MS`.
const STRETCH: f64 = 1.6;
const TARGET_MS: u64 = 60;
/// Minimum time that a caller waits for an answer, in milliseconds. A caller with a later latency
/// objective waits until then.
pub const CALLER_WAIT_MS: u64 = 1_800;
const MEMORY_MB: u64 = 64;

/// A generated job, with the true run times of its tasks, which only the workers know.
#[derive(Clone, Debug)]
pub struct GeneratedJob {
    /// Index of the job's kind in [`Scenario::kinds`].
    pub kind: usize,
    /// Zone whose daemon receives the job.
    pub zone: usize,
    /// Index in its zone of the daemon that receives the job.
    pub router: usize,
    /// Arrival time, in milliseconds after the arrivals start.
    pub at_ms: u64,
    /// Job as sent by the caller, with a declared run time that deviates from the true ones.
    pub spec: JobSpec,
    /// Terms of the job's route, such as priority and latency objective.
    pub terms: Terms,
    /// Run time of each task on a worker with slowdown 1, in milliseconds.
    pub task_ms: Vec<u64>,
    /// Whether the first task crashes every worker that starts it.
    pub crashes_workers: bool,
}

impl GeneratedJob {
    /// Returns the latency objective that follows from the true run times, in milliseconds.
    pub fn objective_ms(&self) -> u64 {
        let longest_ms = self.task_ms.iter().copied().max().unwrap_or(0);
        (longest_ms as f64 * STRETCH) as u64 + TARGET_MS
    }

    /// Returns the work of all tasks, in millicore-milliseconds.
    pub fn total_work(&self) -> u64 {
        self.task_ms.iter().sum::<u64>() * self.spec.steps[0].task_resources.cpu_millicores
    }
}

/// Generates all jobs of a scenario, sorted by arrival time. Each kind arrives as a Poisson
/// process.
pub fn generate_jobs(scenario: &Scenario, rng: &mut SmallRng) -> Vec<GeneratedJob> {
    let mut jobs = Vec::new();
    for (kind_index, kind) in scenario.kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let factor_at = |burst| burst_factor_at(burst, at_ms as u64);
            let factor = factor_at(scenario.burst) * factor_at(kind.flood);
            let rate_per_ms = kind.jobs_per_s * factor / 1_000.0;
            at_ms -= rng.random_range(f64::EPSILON..1.0).ln() / rate_per_ms;
            if at_ms >= scenario.span_ms as f64 {
                break;
            }
            jobs.push(generate_job(scenario, (kind_index, kind), at_ms as u64, rng));
        }
    }
    jobs.sort_by_key(|job| job.at_ms);
    for (number, job) in jobs.iter_mut().enumerate() {
        job.spec.id = Rc::from(format!("{number:016x}"));
    }
    jobs
}

fn burst_factor_at(burst: Option<Burst>, at_ms: u64) -> f64 {
    let burst = burst.filter(|b| (b.at_ms..b.at_ms + b.for_ms).contains(&at_ms));
    burst.map_or(1.0, |burst| burst.factor)
}

/// Samples the zone of a job that arrives at `at_ms`, in proportion to the zones' rates at that time.
fn sample_zone(scenario: &Scenario, at_ms: u64, rng: &mut SmallRng) -> usize {
    loop {
        let zone = rng.random_range(0..scenario.zones);
        let Some(wave) = scenario.wave else { return zone };
        let phase = at_ms as f64 / wave.period_ms as f64 + zone as f64 / scenario.zones as f64;
        let rate = 1.0 + wave.amplitude * (std::f64::consts::TAU * phase).sin();
        if rng.random_range(0.0..1.0 + wave.amplitude) < rate {
            return zone;
        }
    }
}

fn generate_job(
    scenario: &Scenario,
    (kind_index, kind): (usize, &JobKind),
    at_ms: u64,
    rng: &mut SmallRng,
) -> GeneratedJob {
    let mean_ms = log_normal(kind.task_ms, JOB_SIGMA, MAX_FACTOR, rng);
    let count = (log_normal(kind.tasks, JOB_SIGMA, MAX_FACTOR, rng).round() as u32).max(1);
    let task_ms = (0..count).map(|_| log_normal(mean_ms, TASK_SIGMA, MAX_FACTOR, rng) as u64 + 1);
    let task_ms = task_ms.collect();
    let cpu = log_normal(kind.cpu_millicores, SIZE_SIGMA, MAX_SIZE_FACTOR, rng);
    let task_resources =
        Resources { cpu_millicores: cpu as u64, memory_mb: MEMORY_MB, accelerators: 0 };
    let declared_ms = log_normal(mean_ms, scenario.declared_spread, MAX_FACTOR, rng);
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
    let crashes_workers = kind.crashing_share > 0.0 && rng.random_bool(kind.crashing_share);
    GeneratedJob {
        kind: kind_index,
        zone: sample_zone(scenario, at_ms, rng),
        router: if scenario.routers > 1 { rng.random_range(0..scenario.routers) } else { 0 },
        at_ms,
        spec,
        terms,
        task_ms,
        crashes_workers,
    }
}

/// Samples a log-normal distribution with the given mean, where `sigma` is the standard deviation
/// of the logarithm. Samples above `mean * max_factor` are clamped to it.
fn log_normal(mean: f64, sigma: f64, max_factor: f64, rng: &mut SmallRng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let sample = mean * (sigma * normal - sigma * sigma / 2.0).exp();
    sample.min(mean * max_factor)
}
