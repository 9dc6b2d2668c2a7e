//! Value of a job.

/// Share of its value that a late answer has for its caller.
pub const LATE_VALUE_SHARE: f64 = 0.2;
/// Share of a job's value that does not depend on its work.
const BASE_VALUE: f64 = 0.3;
/// Upper limit of a job's value.
const MAX_VALUE: f64 = 4.0;

/// Returns the value of a job to its caller, given its work and the mean work of its route.
pub fn value(work: f64, mean_work: f64) -> f64 {
    (BASE_VALUE + (1.0 - BASE_VALUE) * work / mean_work.max(1.0)).min(MAX_VALUE)
}
