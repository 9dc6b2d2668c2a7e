//! Outlier ejection: distinguishes unhealthy workers from kinds of work that fail everywhere.
//!
//! A worker that fails every task quickly appears idle and would attract most of the load.
//! Failures are therefore compared across workers and kinds; see `docs/design/upstreams.md`.

use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;

/// Failure score at which a worker is ejected.
const EJECTION_SCORE: f64 = 2.5;
/// Failure score of a worker that a peer has ejected: one own failure with a share of 0.75 or more
/// then reaches the limit.
const PEER_EJECTION_SCORE: f64 = 1.75;
/// Duration of the first ejection; it doubles with each repetition.
const BASE_EJECTION_MS: u64 = 2_000;
const MAX_EJECTION_MS: u64 = 60_000;
/// Successful probes after which a worker is healthy again.
const PROBES_TO_RECOVER: u32 = 3;
/// Results kept per kind.
const MAX_RESULTS_PER_KIND: usize = 64;
/// Other workers with a result of the kind that are needed for a comparison.
const MIN_OTHER_WORKERS: usize = 3;
/// Failure rate of a kind that is assumed without enough other workers to compare.
const ASSUMED_FAILURE_RATE: f64 = 0.3;

/// Whether a worker may get tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthState {
    /// The worker gets tasks without restriction.
    #[default]
    Healthy,
    /// The worker gets no tasks until the given time.
    Ejected(Millis),
    /// The worker gets only idempotent tasks, at most one more at a time than the given number of
    /// probes that have succeeded.
    Probing(u32),
}

/// Failure history of one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Whether the worker may get tasks.
    pub state: HealthState,
    /// Sum of failure shares since the last ejection, halved by each success.
    pub failure_score: f64,
    /// Ejections since the worker was last healthy.
    ejections: u32,
}

/// Latest results of the tasks of each kind, by worker.
#[derive(Clone, Debug, Default)]
pub struct KindHealth {
    /// Worker and whether the task failed, oldest first.
    recent: HashMap<String, VecDeque<(u32, bool)>>,
}

impl KindHealth {
    /// Records the result of one task of `kind`, dropping the oldest past the limit.
    pub fn record(&mut self, kind: &str, worker: u32, failed: bool) {
        if !self.recent.contains_key(kind) {
            self.recent.insert(kind.to_owned(), VecDeque::with_capacity(MAX_RESULTS_PER_KIND));
        }
        let Some(recent) = self.recent.get_mut(kind) else {
            return;
        };
        if recent.len() == MAX_RESULTS_PER_KIND {
            recent.pop_front();
        }
        recent.push_back((worker, failed));
    }

    /// Share of the other workers whose latest task of `kind` failed, from 0 to 1.
    ///
    /// With fewer than three other workers, an assumed rate.
    pub fn failure_rate_elsewhere(&self, kind: &str, worker: u32) -> f64 {
        let mut latest: HashMap<u32, bool> = HashMap::new();
        for (other, failed) in self.recent.get(kind).into_iter().flatten() {
            if *other != worker {
                latest.insert(*other, *failed);
            }
        }
        if latest.len() < MIN_OTHER_WORKERS {
            return ASSUMED_FAILURE_RATE;
        }
        let failing = latest.values().filter(|failed| **failed).count();
        failing as f64 / latest.len() as f64
    }
}

impl WorkerHealth {
    /// Records a success: halves the failure score and counts probes.
    pub fn record_success(&mut self) {
        self.failure_score *= 0.5;
        self.state = match self.state {
            HealthState::Probing(done) if done + 1 < PROBES_TO_RECOVER => {
                HealthState::Probing(done + 1)
            }
            HealthState::Probing(_) => {
                self.ejections = 0;
                HealthState::Healthy
            }
            other => other,
        };
    }

    /// Records a failure and returns whether the worker should be ejected.
    ///
    /// `share` is the part of the failure attributed to the worker, from 0 to 1. During probing,
    /// one failure with a share above one half suffices.
    pub fn record_failure(&mut self, share: f64) -> bool {
        self.failure_score += share;
        let probing = matches!(self.state, HealthState::Probing(_)) && share > 0.5;
        probing || (self.failure_score >= EJECTION_SCORE && self.state == HealthState::Healthy)
    }

    /// Ejects the worker for a time that doubles with each repetition, up to a limit.
    pub fn eject(&mut self, now: Millis) {
        let span_ms = BASE_EJECTION_MS << self.ejections.min(8);
        self.ejections += 1;
        self.state = HealthState::Ejected(now.plus(span_ms.min(MAX_EJECTION_MS)));
        self.failure_score = 0.0;
    }

    /// Records that a peer has ejected the worker; ignored unless the worker is healthy here.
    pub fn record_peer_ejection(&mut self) {
        if self.state == HealthState::Healthy {
            self.failure_score = self.failure_score.max(PEER_EJECTION_SCORE);
        }
    }

    /// Starts probing if the ejection is over; returns whether the state changed.
    pub fn start_probing(&mut self, now: Millis) -> bool {
        match self.state {
            HealthState::Ejected(until) if until <= now => {
                self.state = HealthState::Probing(0);
                true
            }
            HealthState::Healthy | HealthState::Ejected(_) | HealthState::Probing(_) => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{HealthState, KindHealth, WorkerHealth};
    use crate::clock::Millis;

    #[test]
    fn failures_of_a_kind_on_all_workers_are_not_attributed_to_one() {
        let mut kinds = KindHealth::default();
        for worker in 0..10 {
            kinds.record("broken", worker, true);
        }
        assert!(kinds.failure_rate_elsewhere("broken", 3) > 0.99);
    }

    #[test]
    fn failing_worker_is_ejected_and_recovers_through_probes() {
        let mut health = WorkerHealth::default();
        assert!(!health.record_failure(1.0));
        assert!(!health.record_failure(1.0));
        assert!(health.record_failure(1.0));
        health.eject(Millis(0));
        assert!(!health.start_probing(Millis(1_999)));
        assert!(health.start_probing(Millis(2_000)));
        health.record_success();
        health.record_success();
        assert!(matches!(health.state, HealthState::Probing(2)));
        health.record_success();
        assert_eq!(health.state, HealthState::Healthy);
    }
}
