//! Learned speed of a worker, with the uncertainty of the estimate.
//!
//! In some deployments a quarter of the workers takes nearly twice the nominal time, and a few in a
//! hundred tasks take seven times as long on any worker. A long task on a slow worker misses its
//! objective, so the slow ones have to be known after few runs, and a straggling task must not make
//! its worker one of them. See [docs/design/worker-speed.md](../../../docs/design/worker-speed.md).

use std::cmp::Reverse;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::pool::{Action, Pool};
use crate::worker::Worker;

/// Lowest weight of a run in the average, so that a change of the speed shows after some 20 runs.
const MIN_WEIGHT: f64 = 0.05;
/// Largest deviation of a run from the average that counts, as a logarithm: a factor of two, which
/// covers the slow workers as well as the errors of the expected run times.
const MAX_DEVIATION: f64 = std::f64::consts::LN_2;
/// Deviation above which a run is an outlier, as a logarithm: a factor of three. Declared times are
/// off by 40%, and slow workers take less than twice the time.
const OUTLIER_DEVIATION: f64 = 1.1;
/// Deviation by which a single outlier counts, as a logarithm: a tenth.
const OUTLIER_STEP: f64 = 0.1;
/// Outliers in succession that show that the speed of the worker has changed. With 3% of the tasks
/// straggling, chance brings this about once in 37,000 runs.
const OUTLIERS_UNTIL_COUNTED: u32 = 3;
/// Range of the logarithm of the slowdown: a factor of 10 in either direction.
const MAX_LOG_SLOWDOWN: f64 = 2.3;
/// Number of runs that a speed counts as when it is that of the worker's previous process: it is
/// likely to have the same hardware, but may not.
const RUNS_AFTER_RESTART: u32 = 1;
/// Number of runs that a speed counts as when the previous owner learned it: it is known well, but
/// relative to the run times that the previous owner expected.
const TRANSFERRED_RUNS: u32 = 6;
/// Fewest runs after which a speed is passed on to the next owner.
const MIN_TRANSFERRED_RUNS: u32 = 3;
/// Maximum number of speeds that are passed on: a message of about a kilobyte.
pub const MAX_TRANSFERRED: usize = 64;

/// Speed of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// Average of the logarithm of the ratio of run time to expected run time.
    log_slowdown: f64,
    /// Number of runs that the average rests on.
    runs: u32,
    /// Outliers since the last run that was none; negative if they were too fast.
    outliers: i32,
}

/// Speed of a worker as it is passed on to the next owner of its cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerSpeed {
    /// Id of the worker.
    pub worker: Rc<str>,
    /// Speed in percent of that of a worker that takes the expected run times.
    pub percent: u16,
}

impl Speed {
    /// Returns the speed that the previous owner learned.
    pub fn transferred(percent: u16) -> Self {
        let slowdown = 100.0 / f64::from(percent.max(1));
        let log_slowdown = slowdown.ln().clamp(-MAX_LOG_SLOWDOWN, MAX_LOG_SLOWDOWN);
        Self { log_slowdown, runs: TRANSFERRED_RUNS, outliers: 0 }
    }

    /// Returns the speed to begin with after another process has taken the worker's place.
    pub fn after_restart(self) -> Self {
        Self { runs: self.runs.min(RUNS_AFTER_RESTART), outliers: 0, ..self }
    }

    /// Returns the ratio of run time to expected run time; 1.0 for a worker as fast as expected.
    pub fn slowdown(&self) -> f64 {
        self.log_slowdown.exp()
    }

    /// Returns the speed in percent of that of a worker that takes the expected run times.
    pub fn percent(&self) -> u16 {
        (100.0 / self.slowdown()).round() as u16
    }

    /// Returns the number of runs that the estimate rests on.
    pub const fn runs(&self) -> u32 {
        self.runs
    }

    /// Updates the speed with the duration of a run that succeeded. Early runs have more weight.
    /// Returns whether straggling runs in succession have just shown that the worker is slow.
    pub fn record(&mut self, took_ms: u64, expected_ms: u64) -> bool {
        let log_ratio = (took_ms.max(1) as f64 / expected_ms.max(1) as f64).ln();
        let deviation = log_ratio - self.log_slowdown;
        if deviation.abs() <= OUTLIER_DEVIATION {
            self.outliers = 0;
            self.apply(deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION));
            self.runs = self.runs.saturating_add(1);
            return false;
        }
        let is_same_direction = self.outliers == 0 || (self.outliers > 0) == (deviation > 0.0);
        let previous = if is_same_direction { self.outliers } else { 0 };
        let direction = if deviation > 0.0 { 1 } else { -1 };
        self.outliers = previous.saturating_add(direction);
        match self.outliers.unsigned_abs() {
            ..OUTLIERS_UNTIL_COUNTED => {
                self.apply(OUTLIER_STEP.copysign(deviation));
                return false;
            }
            // What was known before holds no longer.
            OUTLIERS_UNTIL_COUNTED => self.runs = 0,
            _ => {}
        }
        self.apply(deviation);
        self.runs = self.runs.saturating_add(1);
        deviation > 0.0 && self.outliers.unsigned_abs() == OUTLIERS_UNTIL_COUNTED
    }

    fn apply(&mut self, deviation: f64) {
        let weight = (1.0 / f64::from(self.runs.saturating_add(2))).max(MIN_WEIGHT);
        let log_slowdown = weight.mul_add(deviation, self.log_slowdown);
        self.log_slowdown = log_slowdown.clamp(-MAX_LOG_SLOWDOWN, MAX_LOG_SLOWDOWN);
    }
}

impl Pool {
    /// Returns what the next owner should know of the workers' speeds: those that deviate most, if
    /// there are more than [`MAX_TRANSFERRED`].
    pub fn speeds(&self) -> Vec<WorkerSpeed> {
        let known = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.speed().runs() >= MIN_TRANSFERRED_RUNS && worker.listed);
        let mut known: Vec<(&Rc<str>, &Worker)> = known.collect();
        let deviation = |worker: &Worker| (worker.speed().log_slowdown.abs() * 1_000.0) as u64;
        known.sort_by_key(|(_, worker)| Reverse(deviation(worker)));
        known.truncate(MAX_TRANSFERRED);
        let speed = |(id, worker): (&Rc<str>, &Worker)| WorkerSpeed {
            worker: Rc::clone(id),
            percent: worker.speed().percent(),
        };
        known.into_iter().map(speed).collect()
    }

    /// Takes over the speeds that the previous owner learned, for the workers of which no more is
    /// known here. Returns their number.
    pub fn learn_speeds(&mut self, speeds: &[WorkerSpeed]) -> usize {
        let mut learned = 0;
        for speed in speeds.iter().take(MAX_TRANSFERRED) {
            let transferred = Speed::transferred(speed.percent);
            match self.workers.get_mut(&speed.worker) {
                Some(worker) if worker.speed().runs() < transferred.runs => {
                    worker.set_speed(transferred);
                    learned += 1;
                }
                Some(_) => {}
                None if self.has_worker_list => {}
                // The workers are not listed yet.
                None => {
                    self.expected_speeds.insert(Rc::clone(&speed.worker), transferred);
                    learned += 1;
                }
            }
        }
        learned
    }

    pub(crate) fn report_slow_worker(&mut self, id: &str, percent: u16) {
        if let Some((id, _)) = self.workers.get_key_value(id) {
            self.actions.push(Action::ReportSlow(WorkerSpeed { worker: Rc::clone(id), percent }));
        }
    }
}
