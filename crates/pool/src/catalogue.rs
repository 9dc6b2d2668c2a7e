//! Routes and services that operators publish, and the entries that workers publish.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// What a route promises its callers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Terms {
    /// The route.
    pub route: Rc<str>,
    /// The service whose workers run the tasks.
    pub service: Rc<str>,
    /// Zero is the most urgent.
    pub priority: u32,
    /// Failed runs of one task after which its job has failed.
    pub max_attempts: u32,
    /// The latency objective as a multiple of the longest task.
    pub stretch: f64,
    /// What the latency objective allows besides, in milliseconds.
    pub target_ms: u64,
    /// The longest a request may take, in milliseconds.
    pub timeout_ms: u64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The `Host` that it serves; empty serves every host.
    pub host: String,
    /// What the path begins with.
    pub path_prefix: String,
    /// What it promises.
    pub terms: Terms,
    /// Whether a policy service must name the workers that may run a step.
    pub needs_advice: bool,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// Services whose workers refuse a start that does not fit.
    pub guarded: BTreeMap<String, bool>,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: Option<usize>,
}

impl Catalogue {
    /// Finds the route of a request: the longest prefix of the host wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        let fits = |route: &&Route| {
            (route.host.is_empty() || route.host.eq_ignore_ascii_case(host))
                && path.starts_with(&route.path_prefix)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.path_prefix.len())
    }
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What a worker publishes about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// The service that it belongs to.
    pub service: Rc<str>,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// What it has in all.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// The Unix millisecond of its start, which tells its lifetimes apart.
    pub born_ms: Option<u64>,
}

/// The workers that have published a usable entry.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<Rc<str>, WorkerEntry>,
    /// Counted as entries come and go, since every request asks for it.
    in_zones: HashMap<Rc<str>, usize>,
}

impl Directory {
    /// Takes an entry; none removes the worker. Tells whether anything that matters changed.
    pub fn apply(&mut self, id: &str, entry: Option<WorkerEntry>) -> bool {
        if entry.is_some() && self.entries.get(id) == entry.as_ref() {
            return false;
        }
        let is_there = entry.is_some();
        let before = match entry {
            None => self.entries.remove(id),
            Some(entry) => {
                *self.in_zones.entry(Rc::clone(&entry.zone)).or_default() += 1;
                self.entries.insert(Rc::from(id), entry)
            }
        };
        self.leave_zone(before.as_ref());
        is_there || before.is_some()
    }

    fn leave_zone(&mut self, entry: Option<&WorkerEntry>) {
        if let Some(count) = entry.and_then(|entry| self.in_zones.get_mut(&entry.zone)) {
            *count -= 1;
        }
    }

    /// Gives all entries in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&Rc<str>, &WorkerEntry)> {
        self.entries.iter()
    }

    /// Counts the workers of a zone.
    pub fn count_in(&self, zone: &str) -> usize {
        self.in_zones.get(zone).copied().unwrap_or(0)
    }
}
