//! Learns how long the tasks of a route run, from their declared times and their ends.
//!
//! Load pattern: declared times are off by half in either direction, yet carry some truth. The
//! run time of a route's tasks spreads less than the declared times do, so that the best estimate
//! lies between the route's usual time and the declared one.

use std::collections::HashMap;
use std::rc::Rc;

/// Weight of the newest run.
const WEIGHT: f64 = 0.02;
/// How far an estimate follows the declared time before anything was learnt.
const FIRST_SLOPE: f64 = 0.5;
/// The variance of declared times, in logarithms, that counts as learnt at the start.
const FIRST_VARIANCE: f64 = 0.1;
/// The spread of run times within a job, in logarithms: tasks of a job are alike.
const SPREAD_IN_JOB: f64 = 0.24;

/// What was learnt of one route: means and spreads of logarithms.
#[derive(Clone, Copy, Debug)]
struct Learnt {
    declared: f64,
    took: f64,
    variance: f64,
    covariance: f64,
}

/// Estimates of run times.
#[derive(Debug, Default)]
pub struct Estimates {
    routes: HashMap<Rc<str>, Learnt>,
}

impl Estimates {
    /// Learns from a run that took so long on a worker of the usual pace.
    pub fn learn(&mut self, route: &Rc<str>, declared_ms: u64, took_ms: f64) {
        let x = (declared_ms.max(1) as f64).ln();
        let y = took_ms.max(1.0).ln();
        let first = Learnt {
            declared: x,
            took: y,
            variance: FIRST_VARIANCE,
            covariance: FIRST_VARIANCE * FIRST_SLOPE,
        };
        let learnt = self.routes.entry(Rc::clone(route)).or_insert(first);
        let (dx, dy) = (x - learnt.declared, y - learnt.took);
        learnt.declared += WEIGHT * dx;
        learnt.took += WEIGHT * dy;
        learnt.variance += WEIGHT * (dx * dx - learnt.variance);
        learnt.covariance += WEIGHT * (dx * dy - learnt.covariance);
    }

    /// Estimates how long a task runs on a worker of the usual pace, in milliseconds.
    pub fn task_ms(&self, route: &str, declared_ms: u64) -> f64 {
        let Some(learnt) = self.routes.get(route) else { return declared_ms as f64 };
        let slope = (learnt.covariance / learnt.variance.max(f64::EPSILON)).clamp(0.0, 1.0);
        let x = (declared_ms.max(1) as f64).ln();
        (learnt.took + slope * (x - learnt.declared)).exp()
    }

    /// Estimates how long the longest of so many alike tasks runs, in milliseconds.
    pub fn longest_ms(&self, route: &str, declared_ms: u64, count: u32) -> u64 {
        let above = SPREAD_IN_JOB * (2.0 * f64::from(count.max(1)).ln()).sqrt();
        (self.task_ms(route, declared_ms) * above.exp()) as u64
    }
}
