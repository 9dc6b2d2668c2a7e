//! Tells a bad worker from a bad kind of work.
//!
//! A worker that fails everything quickly looks idle and would draw all the work.
//! Failures are therefore compared by worker and by kind; see `docs/design/upstreams.md`.

use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;

/// Blame at which a worker is set aside.
const ASIDE_BLAME: f64 = 2.5;
/// Failures that a peer's report of a bad worker counts for: one own failure then suffices.
const TOLD_BLAME: f64 = 1.75;
const FIRST_ASIDE_MS: u64 = 2_000;
const LONGEST_ASIDE_MS: u64 = 60_000;
const PROBES_TO_RETURN: u32 = 3;
const KIND_MEMORY: usize = 64;
const FEWEST_OTHERS: usize = 3;
const UNKNOWN_KIND_RATE: f64 = 0.3;

/// Whether a worker may get work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trust {
    /// The worker gets work as others do.
    #[default]
    Full,
    /// The worker gets nothing until the given time.
    Aside(Millis),
    /// The worker gets one idempotent task at a time; so many succeeded so far.
    Probing(u32),
}

/// One worker's record.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Whether the worker may get work.
    pub trust: Trust,
    /// The blame gathered so far.
    pub blame: f64,
    asides: u32,
}

/// What the last tasks of each kind came to, by worker.
#[derive(Clone, Debug, Default)]
pub struct KindHealth {
    recent: HashMap<String, VecDeque<(u32, bool)>>,
}

impl KindHealth {
    /// Notes the end of one task of `kind`.
    pub fn note(&mut self, kind: &str, worker: u32, failed: bool) {
        if !self.recent.contains_key(kind) {
            self.recent.insert(kind.to_owned(), VecDeque::with_capacity(KIND_MEMORY));
        }
        let Some(recent) = self.recent.get_mut(kind) else {
            return;
        };
        if recent.len() == KIND_MEMORY {
            recent.pop_front();
        }
        recent.push_back((worker, failed));
    }

    /// Gives the share of other workers whose last task of `kind` failed.
    pub fn failure_rate_elsewhere(&self, kind: &str, worker: u32) -> f64 {
        let mut latest: HashMap<u32, bool> = HashMap::new();
        for (other, failed) in self.recent.get(kind).into_iter().flatten() {
            if *other != worker {
                latest.insert(*other, *failed);
            }
        }
        if latest.len() < FEWEST_OTHERS {
            return UNKNOWN_KIND_RATE;
        }
        let failing = latest.values().filter(|failed| **failed).count();
        failing as f64 / latest.len() as f64
    }
}

impl WorkerHealth {
    /// Notes a success, which returns a probed worker step by step.
    pub fn succeeded(&mut self) {
        self.blame *= 0.5;
        self.trust = match self.trust {
            Trust::Probing(done) if done + 1 < PROBES_TO_RETURN => Trust::Probing(done + 1),
            Trust::Probing(_) => {
                self.asides = 0;
                Trust::Full
            }
            other => other,
        };
    }

    /// Notes a failure for which the worker is to blame by `share`, and tells whether to set it
    /// aside.
    pub fn failed(&mut self, share: f64) -> bool {
        self.blame += share;
        let probing = matches!(self.trust, Trust::Probing(_)) && share > 0.5;
        probing || (self.blame >= ASIDE_BLAME && self.trust == Trust::Full)
    }

    /// Sets the worker aside for a time that doubles with each repetition.
    pub fn set_aside(&mut self, now: Millis) {
        let span_ms = FIRST_ASIDE_MS << self.asides.min(8);
        self.asides += 1;
        self.trust = Trust::Aside(now.plus(span_ms.min(LONGEST_ASIDE_MS)));
        self.blame = 0.0;
    }

    /// Takes in a peer's report that the worker is bad.
    pub fn told_bad(&mut self) {
        if self.trust == Trust::Full {
            self.blame = self.blame.max(TOLD_BLAME);
        }
    }

    /// Lets probes begin where the time aside is over, and tells whether something changed.
    pub fn wake(&mut self, now: Millis) -> bool {
        match self.trust {
            Trust::Aside(until) if until <= now => {
                self.trust = Trust::Probing(0);
                true
            }
            Trust::Full | Trust::Aside(_) | Trust::Probing(_) => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{KindHealth, Trust, WorkerHealth};
    use crate::clock::Millis;

    #[test]
    fn a_bad_kind_blames_no_worker() {
        let mut kinds = KindHealth::default();
        for worker in 0..10 {
            kinds.note("broken", worker, true);
        }
        assert!(kinds.failure_rate_elsewhere("broken", 3) > 0.99);
    }

    #[test]
    fn a_bad_worker_is_set_aside_and_returns_by_probes() {
        let mut health = WorkerHealth::default();
        assert!(!health.failed(1.0));
        assert!(!health.failed(1.0));
        assert!(health.failed(1.0));
        health.set_aside(Millis(0));
        assert!(!health.wake(Millis(1_999)));
        assert!(health.wake(Millis(2_000)));
        health.succeeded();
        health.succeeded();
        assert!(matches!(health.trust, Trust::Probing(2)));
        health.succeeded();
        assert_eq!(health.trust, Trust::Full);
    }
}
