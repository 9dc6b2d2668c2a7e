//! Synthetic arrival traces: jobs with the run times of their tasks.

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp, LogNormal};

/// A job of a trace.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// Arrival time, in milliseconds from the start of the trace.
    pub at_ms: f64,
    /// Kind of work, a name in the catalogue.
    pub kind: &'static str,
    /// Run time of each task, in milliseconds.
    pub work_ms: Vec<u64>,
    /// Run time that the caller declares for each task, in milliseconds.
    pub declared_ms: Vec<u64>,
    /// Random number between 0 and 1 that determines which daemon receives the job.
    pub entry_fraction: f64,
}

impl TraceJob {
    /// Returns the run time of the longest task, in milliseconds, which is the lower bound of the
    /// response time.
    pub fn ideal_ms(&self) -> u64 {
        self.work_ms.iter().copied().max().unwrap_or(1)
    }
}

/// Parameters from which a trace is generated.
#[derive(Clone, Copy, Debug)]
pub struct TraceParams {
    /// Number of slots of the whole fleet.
    pub slots: u32,
    /// Offered load as a fraction of the fleet's capacity.
    pub load: f64,
    /// Length of the trace, in milliseconds.
    pub duration_ms: f64,
    /// Mean number of tasks per job.
    pub mean_tasks: f64,
    /// Burst: start and end in milliseconds, and the factor on the arrival rate between them.
    pub burst: Option<(f64, f64, f64)>,
    /// Maximum factor by which declared run times are too long or too short; 1 for exact ones.
    pub max_declared_factor: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

const MEDIAN_WORK_MS: f64 = 220.0;
const WORK_SIGMA: f64 = 0.65;
const MIN_WORK_MS: f64 = 50.0;
const MAX_WORK_MS: f64 = 1_000.0;
const LONG_TASK_SHARE: f64 = 0.02;
const LONG_WORK_MS: std::ops::Range<u64> = 2_000..5_000;
const MAX_TASKS_PER_JOB: usize = 200;
const MEAN_SAMPLES: usize = 20_000;

/// Samples the run time of a task in milliseconds: log-normal between 50 ms and 1 s, and 2 to 5 s
/// for 2% of the tasks.
pub fn sample_work_ms(rng: &mut SmallRng) -> u64 {
    if rng.random_bool(LONG_TASK_SHARE) {
        return rng.random_range(LONG_WORK_MS);
    }
    let sampled = LogNormal::new(MEDIAN_WORK_MS.ln(), WORK_SIGMA)
        .map_or(MEDIAN_WORK_MS, |distribution| distribution.sample(rng));
    sampled.clamp(MIN_WORK_MS, MAX_WORK_MS) as u64
}

/// Returns the mean of [`sample_work_ms`], estimated from samples with a fixed seed.
pub fn mean_work_ms() -> f64 {
    let mut rng = SmallRng::seed_from_u64(99);
    let total: u64 = (0..MEAN_SAMPLES).map(|_| sample_work_ms(&mut rng)).sum();
    total as f64 / MEAN_SAMPLES as f64
}

/// Generates a trace with Poisson arrivals.
pub fn generate_jobs(params: &TraceParams) -> Vec<TraceJob> {
    let mut rng = SmallRng::seed_from_u64(params.seed);
    let jobs_per_ms = params.load * f64::from(params.slots) / mean_work_ms() / params.mean_tasks;
    let mut jobs = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let factor = match params.burst {
            Some((from, to, factor)) if (from..to).contains(&at_ms) => factor,
            _ => 1.0,
        };
        let gap_ms = Exp::new(jobs_per_ms * factor)
            .map_or(1.0, |distribution| distribution.sample(&mut rng));
        at_ms += gap_ms;
        if at_ms > params.duration_ms {
            return jobs;
        }
        jobs.push(generate_job(&mut rng, params, at_ms));
    }
}

fn generate_job(rng: &mut SmallRng, params: &TraceParams, at_ms: f64) -> TraceJob {
    let extra = Exp::new(1.0 / (params.mean_tasks - 0.5))
        .map_or(0.0, |distribution| distribution.sample(rng));
    let count = (1 + extra as usize).min(MAX_TASKS_PER_JOB);
    let work_ms: Vec<u64> = (0..count).map(|_| sample_work_ms(rng)).collect();
    let max_factor = params.max_declared_factor.max(1.0);
    let declared = |work: &u64| {
        let factor = max_factor.powf(rng.random_range(-1.0..=1.0));
        ((*work as f64 * factor) as u64).max(1)
    };
    let declared_ms = work_ms.iter().map(declared).collect();
    TraceJob { at_ms, kind: "coverage-check", work_ms, declared_ms, entry_fraction: rng.random() }
}
