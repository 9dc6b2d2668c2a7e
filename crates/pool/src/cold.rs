//! Expected run times and gradual start on workers that have started lately and are still slow.
//!
//! A zone's workers may be down for seconds and come back together, and each of them is slow at
//! first. Counted like other runs, those on a cold worker would make it look slow for long after,
//! and tasks would be sent there whose callers do not wait that long. See
//! [docs/design/cold-workers.md](../../../docs/design/cold-workers.md).

use dispatch::clock::Millis;

/// Slowdown of cold workers that is expected before any run on one of them has ended.
const INITIAL_FACTOR: f64 = 2.0;
/// Lowest weight of a run in the average. Weights begin at a half, so that a wrong initial factor is
/// corrected by the first few of some hundred runs, which are over within seconds.
const MIN_WEIGHT: f64 = 0.05;
/// Largest deviation of one run from the average that counts, as a logarithm: a factor of two, since
/// a few in a hundred tasks take seven times as long on any worker.
const MAX_DEVIATION: f64 = std::f64::consts::LN_2;

/// Slowdown of the cold workers of a cell, in addition to that of each worker, learned from the runs
/// that ended on them.
#[derive(Clone, Copy, Debug)]
pub struct ColdSlowdown {
    log_factor: f64,
    runs: u32,
}

impl Default for ColdSlowdown {
    fn default() -> Self {
        Self { log_factor: INITIAL_FACTOR.ln(), runs: 0 }
    }
}

impl ColdSlowdown {
    /// Returns the ratio of the run time on a cold worker to that on the same worker when warm; at
    /// least 1.
    pub fn factor(&self) -> f64 {
        self.log_factor.exp().max(1.0)
    }

    /// Updates the factor with a run that ended on a cold worker. `warm_ms` is the run time that was
    /// expected had the worker been warm.
    pub fn record(&mut self, took_ms: u64, warm_ms: f64) {
        let log_ratio = (took_ms.max(1) as f64 / warm_ms.max(1.0)).ln();
        let deviation = (log_ratio - self.log_factor).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let weight = (1.0 / f64::from(self.runs.saturating_add(2))).max(MIN_WEIGHT);
        self.log_factor = weight.mul_add(deviation, self.log_factor).max(0.0);
        self.runs = self.runs.saturating_add(1);
    }
}

/// How long one worker stays cold, and how much work it gets until then.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    until: Option<Millis>,
    /// Runs that have succeeded since the worker became cold.
    completed: u32,
}

impl ColdStart {
    /// Sets how much longer the worker stays cold, in milliseconds.
    pub fn announce(&mut self, cold_ms: u64, now: Millis) {
        if !self.is_cold(now) {
            self.completed = 0;
        }
        self.until = (cold_ms > 0).then(|| now.plus(cold_ms));
    }

    /// Begins anew because another process has taken the worker's place.
    pub const fn restart(&mut self) {
        self.completed = 0;
    }

    /// Whether the worker is cold at `now`.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Records that a run on the cold worker has succeeded or failed.
    pub const fn record_end(&mut self, has_succeeded: bool) {
        self.completed = if has_succeeded { self.completed.saturating_add(1) } else { 0 };
    }

    /// Returns how many runs the worker may have at a time: one at first, and one more for each that
    /// has succeeded.
    pub const fn max_runs(&self) -> u64 {
        self.completed as u64 + 1
    }
}
