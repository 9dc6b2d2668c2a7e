//! Run-time estimates per kind from observed run times, since declared ones are often wrong.

use std::collections::HashMap;

use serde::Serialize;

/// Run time assumed for a kind before the first observation.
const DEFAULT_RUN_MS: f64 = 300.0;
/// Weight of a new observation in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Mean absolute log error above which declared run times are ignored.
const MAX_TRUSTED_LOG_ERROR: f64 = 0.7;
/// Mean absolute log error from which declared run times are not used for a task's slack: trust is
/// zero.
const UNTRUSTED_LOG_ERROR: f64 = 0.7;

/// Moving averages over the finished tasks of one kind.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct KindEstimate {
    /// Run time.
    mean_ms: f64,
    /// Logarithm of actual over declared run time.
    log_ratio: f64,
    /// Absolute difference of a task's log ratio from `log_ratio`.
    log_error: f64,
}

/// Run-time estimates by kind.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Estimates {
    kinds: HashMap<String, KindEstimate>,
}

impl Estimates {
    /// Expected run time of a task in milliseconds, at least 1.
    ///
    /// The declared time, corrected by the kind's ratio, if the kind's declared times are trusted;
    /// else the kind's mean.
    pub fn expected_ms(&self, kind: &str, declared_ms: Option<u64>) -> u64 {
        let estimate = self.kinds.get(kind);
        let expected = match (estimate, declared_ms.filter(|ms| *ms > 0)) {
            (None, Some(declared)) => declared as f64,
            (None, None) => DEFAULT_RUN_MS,
            (Some(estimate), Some(declared)) if estimate.log_error < MAX_TRUSTED_LOG_ERROR => {
                declared as f64 * estimate.log_ratio.exp()
            }
            (Some(estimate), _) => estimate.mean_ms,
        };
        (expected as u64).max(1)
    }

    /// Trust in the declared run times of a kind, from 0 to 1; 1 for an unknown kind.
    pub fn trust(&self, kind: &str) -> f64 {
        let error = self.kinds.get(kind).map_or(0.0, |estimate| estimate.log_error);
        (1.0 - error / UNTRUSTED_LOG_ERROR).clamp(0.0, 1.0)
    }

    /// Updates a kind's averages with a finished task.
    pub fn observe(&mut self, kind: &str, declared_ms: Option<u64>, actual_ms: u64) {
        let actual = actual_ms.max(1) as f64;
        if !self.kinds.contains_key(kind) {
            let first = KindEstimate { mean_ms: actual, log_ratio: 0.0, log_error: 0.0 };
            self.kinds.insert(kind.to_owned(), first);
        }
        let Some(estimate) = self.kinds.get_mut(kind) else {
            return;
        };
        estimate.mean_ms += SMOOTHING_FACTOR * (actual - estimate.mean_ms);
        if let Some(declared) = declared_ms.filter(|ms| *ms > 0) {
            let log_ratio = (actual / declared as f64).ln();
            let error = (log_ratio - estimate.log_ratio).abs();
            estimate.log_error += SMOOTHING_FACTOR * (error - estimate.log_error);
            estimate.log_ratio += SMOOTHING_FACTOR * (log_ratio - estimate.log_ratio);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::Estimates;

    #[test]
    fn a_constant_error_in_declared_times_is_corrected() {
        let mut estimates = Estimates::default();
        for _ in 0..200 {
            estimates.observe("check", Some(100), 400);
        }
        let expected = estimates.expected_ms("check", Some(50));
        assert!((190..=210).contains(&expected), "{expected}");
    }

    #[test]
    fn uncorrelated_declared_times_are_ignored() {
        let mut estimates = Estimates::default();
        for round in 0..400_u64 {
            let declared = if round % 2 == 0 { 25 } else { 1600 };
            estimates.observe("check", Some(declared), 200);
        }
        let expected = estimates.expected_ms("check", Some(1600));
        assert!((180..=220).contains(&expected), "{expected}");
    }
}
