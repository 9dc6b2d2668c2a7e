//! Run times learnt per kind, since declared ones are often wrong.

use std::collections::HashMap;

use serde::Serialize;

/// Run time assumed before anything was seen of a kind.
const FIRST_GUESS_MS: f64 = 300.0;
const LEARN_SHARE: f64 = 0.05;
/// Mean absolute log error above which declared run times are ignored.
const TRUSTED_LOG_ERROR: f64 = 0.7;
/// Mean absolute log error at which declared run times say nothing of a task's slack.
const WORTHLESS_LOG_ERROR: f64 = 0.7;

#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Learnt {
    mean_ms: f64,
    log_ratio: f64,
    log_error: f64,
}

/// What was learnt of run times, by kind.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Estimates {
    kinds: HashMap<String, Learnt>,
}

impl Estimates {
    /// Gives the expected run time of a task in milliseconds.
    pub fn expected_ms(&self, kind: &str, declared_ms: Option<u64>) -> u64 {
        let learnt = self.kinds.get(kind);
        let expected = match (learnt, declared_ms.filter(|ms| *ms > 0)) {
            (None, Some(declared)) => declared as f64,
            (None, None) => FIRST_GUESS_MS,
            (Some(learnt), Some(declared)) if learnt.log_error < TRUSTED_LOG_ERROR => {
                declared as f64 * learnt.log_ratio.exp()
            }
            (Some(learnt), _) => learnt.mean_ms,
        };
        (expected as u64).max(1)
    }

    /// Tells how far declared run times of a kind can be trusted, from 0 to 1.
    pub fn trust(&self, kind: &str) -> f64 {
        let error = self.kinds.get(kind).map_or(0.0, |learnt| learnt.log_error);
        (1.0 - error / WORTHLESS_LOG_ERROR).clamp(0.0, 1.0)
    }

    /// Learns from a finished task.
    pub fn learn(&mut self, kind: &str, declared_ms: Option<u64>, actual_ms: u64) {
        let actual = actual_ms.max(1) as f64;
        if !self.kinds.contains_key(kind) {
            let first = Learnt { mean_ms: actual, log_ratio: 0.0, log_error: 0.0 };
            self.kinds.insert(kind.to_owned(), first);
        }
        let Some(learnt) = self.kinds.get_mut(kind) else {
            return;
        };
        learnt.mean_ms += LEARN_SHARE * (actual - learnt.mean_ms);
        if let Some(declared) = declared_ms.filter(|ms| *ms > 0) {
            let log_ratio = (actual / declared as f64).ln();
            let error = (log_ratio - learnt.log_ratio).abs();
            learnt.log_error += LEARN_SHARE * (error - learnt.log_error);
            learnt.log_ratio += LEARN_SHARE * (log_ratio - learnt.log_ratio);
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
            estimates.learn("check", Some(100), 400);
        }
        let expected = estimates.expected_ms("check", Some(50));
        assert!((190..=210).contains(&expected), "{expected}");
    }

    #[test]
    fn declared_times_without_meaning_are_ignored() {
        let mut estimates = Estimates::default();
        for round in 0..400_u64 {
            let declared = if round % 2 == 0 { 25 } else { 1600 };
            estimates.learn("check", Some(declared), 200);
        }
        let expected = estimates.expected_ms("check", Some(1600));
        assert!((180..=220).contains(&expected), "{expected}");
    }
}
