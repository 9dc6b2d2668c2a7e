//! Spreads the retries of refused callers over the next seconds.
//!
//! Retry delays are rounded up to whole seconds, so that nearly all callers that were refused in a
//! burst came back one second later, together, and were refused again. The delay follows the work
//! that the daemon gets served each second: callers beyond what can be served in a second are
//! asked to come back in the next one. Callers that have waited longest come first.

use std::collections::VecDeque;

use dispatch::clock::Millis;

/// Longest retry delay, in seconds, as for all refusals.
const MAX_RETRY_S: usize = 5;
/// Share of the work served in a second that retries may take. New callers arrive at the same time
/// and are served first, so that at least half of the capacity is left to them.
const RETRY_SHARE: f64 = 0.5;
/// Share of the retries of a second that is open to callers who were refused at once. The rest is
/// kept for callers that have waited.
const UNWAITED_SHARE: f64 = 0.5;

/// Plan of the retries of the callers that a daemon has refused.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    /// Second, counted from the start of the clock, of the first element of `planned`.
    second: u64,
    /// Work of the callers that were asked to come back in each second, in millicore-milliseconds.
    planned: VecDeque<u64>,
    /// Work that was served in `second` so far, and in the one before.
    served: (u64, u64),
}

impl RetrySchedule {
    /// Records the work of a completed job, in millicore-milliseconds.
    pub fn record_served(&mut self, work: u64, now: Millis) {
        self.advance_to(now);
        self.served.0 = self.served.0.saturating_add(work);
    }

    /// Returns the retry delay of a refused caller, in milliseconds, and adds its work to the plan.
    /// `earliest_ms` is the delay by the owner's queue, and `waited` the share of the caller's time
    /// limit that it has waited, from 0 to 1.
    pub fn plan(&mut self, work: u64, waited: f64, earliest_ms: u64, now: Millis) -> u64 {
        self.advance_to(now);
        let first = (earliest_ms.div_ceil(1_000) as usize).clamp(1, MAX_RETRY_S);
        let open_share = UNWAITED_SHARE + (1.0 - UNWAITED_SHARE) * waited.clamp(0.0, 1.0);
        let served = self.served.0.max(self.served.1) as f64;
        let budget = (served * RETRY_SHARE * open_share) as u64;
        let has_room = |second: &usize| self.planned[*second].saturating_add(work) <= budget;
        let least_planned = || (first..=MAX_RETRY_S).min_by_key(|second| self.planned[*second]);
        let second = (first..=MAX_RETRY_S).find(has_room).or_else(least_planned).unwrap_or(first);
        self.planned[second] = self.planned[second].saturating_add(work);
        second as u64 * 1_000
    }

    fn advance_to(&mut self, now: Millis) {
        self.planned.resize(MAX_RETRY_S + 1, 0);
        let passed = (now.0 / 1_000).saturating_sub(self.second);
        self.second += passed;
        if passed > 0 {
            self.served = (0, if passed == 1 { self.served.0 } else { 0 });
        }
        for _ in 0..passed.min(self.planned.len() as u64) {
            self.planned.pop_front();
            self.planned.push_back(0);
        }
    }
}
