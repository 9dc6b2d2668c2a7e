//! Routes and services as configured by the operators, and the entries that workers publish.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Service terms of a route: which service runs its jobs, the latency objective and the limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Terms {
    /// Name of the route.
    pub route: Rc<str>,
    /// Service whose workers run the tasks.
    pub service: Rc<str>,
    /// Priority of the route's jobs; zero is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Part of the latency objective that grows with the job: a multiple of its expected run time.
    pub stretch: f64,
    /// Fixed part of the latency objective, in milliseconds.
    pub target_ms: u64,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
}

/// Multiple of the latency objective up to which an answer counts as late rather than as lost.
pub const LATE_FACTOR: u64 = 3;

impl Terms {
    /// Returns the latency objective of a job with an expected run time of `expected_ms`, counted
    /// from the arrival of the request, in milliseconds.
    pub fn objective_ms(&self, expected_ms: u64) -> u64 {
        ((expected_ms as f64 * self.stretch) as u64).saturating_add(self.target_ms)
    }

    /// Returns the time after which the answer to a job with an expected run time of `expected_ms`
    /// is of no use any more, counted from the arrival of the request, in milliseconds.
    pub fn useful_ms(&self, expected_ms: u64) -> u64 {
        self.objective_ms(expected_ms).saturating_mul(LATE_FACTOR)
    }
}

/// A route: which requests it matches, and the terms for their jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Value of the `Host` header that the route matches; empty matches every host.
    pub host: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Terms for jobs of the route.
    pub terms: Terms,
    /// Whether a policy service has to name the workers that may run a step.
    pub requires_policy_service: bool,
}

/// One version of the operators' configuration of routes and services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Version number; increases with each change, not necessarily by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// For each service, whether its workers refuse a start for which they lack the resources.
    pub admission_control: BTreeMap<String, bool>,
    /// Largest accepted request body, in bytes; `None` if the configuration does not set it.
    pub max_body_bytes: Option<usize>,
}

impl Catalogue {
    /// Finds the route of a request: among the routes that match the host, the one with the longest
    /// matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        let fits = |route: &&Route| {
            (route.host.is_empty() || route.host.eq_ignore_ascii_case(host))
                && path.starts_with(&route.path_prefix)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.path_prefix.len())
    }
}

/// State that a worker publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker accepts new tasks.
    Ready,
    /// The worker finishes its runs and accepts no new tasks.
    Draining,
}

/// Entry that a worker publishes about itself in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Service that the worker belongs to.
    pub service: Rc<str>,
    /// Address on which the worker accepts calls.
    pub addr: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Rc<str>,
    /// Whether the worker accepts new tasks.
    pub state: WorkerState,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels that steps can require, such as the worker's kind and its rack.
    pub labels: Vec<String>,
    /// Start time of the worker's process, in Unix milliseconds. A new value shows a restart.
    pub started_at_ms: Option<u64>,
    /// How much longer the worker stays slow after its start, in milliseconds; zero if it is not.
    pub cold_ms: u64,
}

/// Largest difference between two ends of a cold period that count as the same, in milliseconds: an
/// entry may be read that much later after its publication than the next one.
const COLD_TOLERANCE_MS: u64 = 1_000;

/// All workers that have published a valid entry.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<Rc<str>, WorkerEntry>,
    /// When the workers that announced to be cold stop being so.
    cold_until: HashMap<Rc<str>, Millis>,
    /// Number of workers in each zone, kept up to date because every request reads it.
    count_by_zone: HashMap<Rc<str>, usize>,
}

impl Directory {
    /// Sets a worker's entry as read at `now`, or removes the worker if the entry is `None`. Returns
    /// whether the directory changed. The countdown of a cold period is no change.
    pub fn apply(&mut self, now: Millis, id: &str, entry: Option<WorkerEntry>) -> bool {
        let is_cold_changed = self.update_cold(now, id, entry.as_ref());
        if let (Some(known), Some(entry), false) =
            (self.entries.get_mut(id), &entry, is_cold_changed)
        {
            known.cold_ms = entry.cold_ms;
            if known == entry {
                return false;
            }
        }
        let is_present = entry.is_some();
        let previous = match entry {
            None => self.entries.remove(id),
            Some(entry) => {
                *self.count_by_zone.entry(Rc::clone(&entry.zone)).or_default() += 1;
                self.entries.insert(Rc::from(id), entry)
            }
        };
        self.decrement_zone(previous.as_ref());
        is_present || previous.is_some()
    }

    /// Updates the end of a worker's cold period. Returns whether it changed by more than the
    /// tolerance. Within one period of a process it is only moved forward: the entry that was read
    /// soonest after its publication is the most exact, and a worker that never counts down is taken
    /// to be warm at the time that it announced first.
    fn update_cold(&mut self, now: Millis, id: &str, entry: Option<&WorkerEntry>) -> bool {
        let known = self.cold_until.get(id).copied();
        let announced = entry.filter(|entry| entry.cold_ms > 0);
        let Some(announced) = announced else {
            self.cold_until.remove(id);
            return known.is_some_and(|until| until > now.plus(COLD_TOLERANCE_MS));
        };
        let previous_start = self.entries.get(id).map(|entry| entry.started_at_ms);
        let known = known.filter(|_| previous_start == Some(announced.started_at_ms));
        let until = now.plus(announced.cold_ms);
        let Some(known) = known else {
            self.cold_until.insert(Rc::from(id), until);
            return true;
        };
        if until < known {
            self.cold_until.insert(Rc::from(id), until);
        }
        until.plus(COLD_TOLERANCE_MS) < known
    }

    /// Sets the remaining time of every cold period to what is left at `now`.
    pub fn count_down(&mut self, now: Millis) {
        for (id, until) in &self.cold_until {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.cold_ms = until.since(now);
            }
        }
    }

    fn decrement_zone(&mut self, entry: Option<&WorkerEntry>) {
        if let Some(count) = entry.and_then(|entry| self.count_by_zone.get_mut(&entry.zone)) {
            *count -= 1;
        }
    }

    /// Iterates over all entries in order of worker id.
    pub fn iter(&self) -> impl Iterator<Item = (&Rc<str>, &WorkerEntry)> {
        self.entries.iter()
    }

    /// Returns the number of workers in a zone.
    pub fn count_in(&self, zone: &str) -> usize {
        self.count_by_zone.get(zone).copied().unwrap_or(0)
    }
}
