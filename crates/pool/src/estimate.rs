//! Estimates the run times of a route's tasks from their declared times and past runs.
//!
//! Declared times are off by up to half in either direction, but correlate with the run times. The
//! run times of a route vary less than its declared times, so the best estimate lies between the
//! route's mean run time and the declared time. It comes from a linear regression of logarithms
//! with exponentially decaying weights.

use std::collections::HashMap;
use std::rc::Rc;

/// Weight of the latest run in the moving averages.
const WEIGHT: f64 = 0.02;
/// Initial slope of the regression: how far an estimate follows the declared time.
const INITIAL_SLOPE: f64 = 0.5;
/// Initial variance of the logarithms of declared times.
const INITIAL_VARIANCE: f64 = 0.1;
/// Standard deviation of the logarithms of run times within a job; small, since the tasks of a
/// job are alike.
const SPREAD_WITHIN_JOB: f64 = 0.24;

/// Moving statistics of one route: means, variance and covariance of the logarithms of declared
/// times and run times.
#[derive(Clone, Copy, Debug)]
struct RouteStats {
    declared: f64,
    run_time: f64,
    variance: f64,
    covariance: f64,
}

/// Run time estimates of all routes.
#[derive(Debug, Default)]
pub struct Estimates {
    routes: HashMap<Rc<str>, RouteStats>,
}

impl Estimates {
    /// Updates the statistics of a route with a run. `run_time_ms` is normalized: the run time
    /// divided by the slowdown of its worker.
    pub fn record_run(&mut self, route: &Rc<str>, declared_ms: u64, run_time_ms: f64) {
        let x = (declared_ms.max(1) as f64).ln();
        let y = run_time_ms.max(1.0).ln();
        let initial = RouteStats {
            declared: x,
            run_time: y,
            variance: INITIAL_VARIANCE,
            covariance: INITIAL_VARIANCE * INITIAL_SLOPE,
        };
        let stats = self.routes.entry(Rc::clone(route)).or_insert(initial);
        let (dx, dy) = (x - stats.declared, y - stats.run_time);
        stats.declared += WEIGHT * dx;
        stats.run_time += WEIGHT * dy;
        stats.variance += WEIGHT * (dx * dx - stats.variance);
        stats.covariance += WEIGHT * (dx * dy - stats.covariance);
    }

    /// Estimates the run time of a task on a worker with a slowdown of 1, in milliseconds.
    pub fn task_ms(&self, route: &str, declared_ms: u64) -> f64 {
        let Some(stats) = self.routes.get(route) else { return declared_ms as f64 };
        let slope = (stats.covariance / stats.variance.max(f64::EPSILON)).clamp(0.0, 1.0);
        let x = (declared_ms.max(1) as f64).ln();
        (stats.run_time + slope * (x - stats.declared)).exp()
    }

    /// Estimates the run time of the longest of `count` similar tasks, in milliseconds.
    pub fn longest_ms(&self, route: &str, declared_ms: u64, count: u32) -> u64 {
        let spread_factor_ln = SPREAD_WITHIN_JOB * (2.0 * f64::from(count.max(1)).ln()).sqrt();
        (self.task_ms(route, declared_ms) * spread_factor_ln.exp()) as u64
    }
}
