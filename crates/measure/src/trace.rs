//! Arrival traces: jobs with the times that their tasks need.

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp, LogNormal};

/// One job of a trace.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// When it arrives, in milliseconds from the start.
    pub at_ms: f64,
    /// The kind of work.
    pub kind: &'static str,
    /// The time that each task needs, in milliseconds.
    pub work_ms: Vec<u64>,
    /// The run time that each task declares.
    pub declared_ms: Vec<u64>,
    /// Which daemon it goes to, as a share between 0 and 1.
    pub entry: f64,
}

impl TraceJob {
    /// Gives the time that the work itself needs.
    pub fn ideal_ms(&self) -> u64 {
        self.work_ms.iter().copied().max().unwrap_or(1)
    }
}

/// What a trace looks like.
#[derive(Clone, Copy, Debug)]
pub struct TraceShape {
    /// Slots of the whole fleet.
    pub slots: u32,
    /// Offered work over capacity.
    pub load: f64,
    /// How long jobs arrive, in milliseconds.
    pub span_ms: f64,
    /// The mean number of tasks in a job.
    pub mean_tasks: f64,
    /// A burst: from, to in milliseconds, and the factor on the arrival rate.
    pub burst: Option<(f64, f64, f64)>,
    /// How far declared times are off, as a factor either way.
    pub declared_off: f64,
    /// The seed.
    pub seed: u64,
}

const MEDIAN_MS: f64 = 220.0;
const SIGMA: f64 = 0.65;
const SHORTEST_MS: f64 = 50.0;
const LONGEST_MS: f64 = 1_000.0;
const LONG_SHARE: f64 = 0.02;
const LONG_MS: std::ops::Range<u64> = 2_000..5_000;
const MOST_TASKS: usize = 200;
const MEAN_SAMPLES: usize = 20_000;

/// Draws the time that a task needs: log-normal, and two in a hundred of several seconds.
pub fn draw_work_ms(rng: &mut SmallRng) -> u64 {
    if rng.random_bool(LONG_SHARE) {
        return rng.random_range(LONG_MS);
    }
    let drawn = LogNormal::new(MEDIAN_MS.ln(), SIGMA).map_or(MEDIAN_MS, |law| law.sample(rng));
    drawn.clamp(SHORTEST_MS, LONGEST_MS) as u64
}

/// Gives the mean of [`draw_work_ms`].
pub fn mean_work_ms() -> f64 {
    let mut rng = SmallRng::seed_from_u64(99);
    let total: u64 = (0..MEAN_SAMPLES).map(|_| draw_work_ms(&mut rng)).sum();
    total as f64 / MEAN_SAMPLES as f64
}

/// Draws a trace.
pub fn draw(shape: &TraceShape) -> Vec<TraceJob> {
    let mut rng = SmallRng::seed_from_u64(shape.seed);
    let jobs_per_ms = shape.load * f64::from(shape.slots) / mean_work_ms() / shape.mean_tasks;
    let mut jobs = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let factor = match shape.burst {
            Some((from, to, factor)) if (from..to).contains(&at_ms) => factor,
            _ => 1.0,
        };
        let gap = Exp::new(jobs_per_ms * factor).map_or(1.0, |law| law.sample(&mut rng));
        at_ms += gap;
        if at_ms > shape.span_ms {
            return jobs;
        }
        jobs.push(draw_job(&mut rng, shape, at_ms));
    }
}

fn draw_job(rng: &mut SmallRng, shape: &TraceShape, at_ms: f64) -> TraceJob {
    let extra = Exp::new(1.0 / (shape.mean_tasks - 0.5)).map_or(0.0, |law| law.sample(rng));
    let count = (1 + extra as usize).min(MOST_TASKS);
    let work_ms: Vec<u64> = (0..count).map(|_| draw_work_ms(rng)).collect();
    let off = shape.declared_off.max(1.0);
    let declared = |work: &u64| {
        let factor = off.powf(rng.random_range(-1.0..=1.0));
        ((*work as f64 * factor) as u64).max(1)
    };
    let declared_ms = work_ms.iter().map(declared).collect();
    TraceJob { at_ms, kind: "coverage-check", work_ms, declared_ms, entry: rng.random() }
}
