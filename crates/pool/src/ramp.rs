//! Gradual return of load to a cell whose workers came back together.
//!
//! After an evacuation or a power failure, a large part of a cell becomes usable within a second,
//! while the queues of the whole region are full. Filled at once, workers with cold caches take
//! several times the usual time for all of their tasks, and all of these miss their objectives
//! together. See [docs/design/cold-workers.md](../../../docs/design/cold-workers.md).

use std::collections::BTreeMap;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::pool::{Action, Pool};
use crate::resources::Resources;
use crate::worker::{LEASE_MS, Worker};

/// The share of the returned capacity that tasks may occupy at first is one part in this many.
/// Doubled twice within [`MAX_STEP_MS`] each, it is whole after a second.
const INITIAL_DIVISOR: u64 = 4;
/// Shortest time for which a share applies, in milliseconds. Most tasks of the common kinds take
/// longer, so that a share is judged by its own runs.
const MIN_STEP_MS: u64 = 100;
/// Longest time for which a share applies if no run failed, in milliseconds: long tasks end later
/// than the callers of the others can wait.
const MAX_STEP_MS: u64 = 500;
/// Longest duration of a ramp, also when runs fail, in milliseconds: as long as a caller waits.
const MAX_RAMP_MS: u64 = 1_500;
/// How long a worker must have been silent to count as gone, in milliseconds. A worker that is silent
/// for less than a lease keeps its runs, so that it returns with its load.
const ABSENCE_MS: u64 = LEASE_MS;
/// Time within which workers count as having returned together, in milliseconds.
const TOGETHER_MS: u64 = 1_000;
/// How long workers that are no longer listed are remembered, in milliseconds. Workers that are down
/// for longer are replaced by others.
const DEPARTED_RETENTION_MS: u64 = 60_000;

/// Share of the returned capacity that tasks may occupy, and its growth.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    began_at: Millis,
    step_began_at: Millis,
    divisor: u64,
    capacity_millicores: u64,
    /// Capacity when the ramp last began.
    initial_millicores: u64,
    /// Capacity that has returned since then.
    added_millicores: u64,
    /// CPU of the runs that have succeeded since the share last changed.
    completed_millicores: u64,
    has_failed: bool,
}

/// A change of a ramp that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampEvent {
    /// Workers returned together, or an evacuation ended.
    Began {
        /// CPU of the returned workers, in thousandths of a core.
        capacity_millicores: u64,
    },
    /// Tasks may occupy the whole capacity again.
    Ended {
        /// CPU of the returned workers, in thousandths of a core.
        capacity_millicores: u64,
        /// Time since the ramp began, or last began anew, in milliseconds.
        took_ms: u64,
    },
}

impl Ramp {
    /// Begins a ramp for workers of the given capacity.
    pub const fn new(capacity_millicores: u64, now: Millis) -> Self {
        Self {
            began_at: now,
            step_began_at: now,
            divisor: INITIAL_DIVISOR,
            capacity_millicores,
            initial_millicores: capacity_millicores,
            added_millicores: 0,
            completed_millicores: 0,
            has_failed: false,
        }
    }

    /// Returns the CPU that tasks may occupy on the returned workers, in thousandths of a core.
    pub const fn allowed_millicores(&self) -> u64 {
        self.capacity_millicores / self.divisor
    }

    /// Returns the share of the returned capacity that tasks may occupy, in percent.
    pub const fn share_percent(&self) -> u64 {
        100 / self.divisor
    }

    /// Records that a further worker has returned, or one of the ramp has returned again. The ramp
    /// begins anew when as much has returned as it had begun with. `capacity_millicores` is that of
    /// all returned workers.
    pub const fn extend(&mut self, added_millicores: u64, capacity_millicores: u64, now: Millis) {
        self.added_millicores = self.added_millicores.saturating_add(added_millicores);
        if self.added_millicores >= self.initial_millicores {
            *self = Self::new(capacity_millicores, now);
        }
        self.capacity_millicores = capacity_millicores;
    }

    /// Records the end of a run on one of the returned workers.
    pub const fn record_end(&mut self, cpu_millicores: u64, has_succeeded: bool) {
        if has_succeeded {
            self.completed_millicores = self.completed_millicores.saturating_add(cpu_millicores);
        } else {
            self.has_failed = true;
        }
    }

    /// Returns when the share grows next, or the ramp ends.
    pub fn next_due(&self) -> Millis {
        let limit = self.began_at.plus(MAX_RAMP_MS);
        let has_completed = self.completed_millicores >= self.allowed_millicores();
        let step_end = match (has_completed, self.has_failed) {
            (true, _) => self.step_began_at.plus(MIN_STEP_MS),
            (false, false) => self.step_began_at.plus(MAX_STEP_MS),
            (false, true) => limit,
        };
        step_end.min(limit)
    }

    /// Returns the CPU that further tasks may occupy on returned workers, in thousandths of a core.
    /// A single task may always start there, also if it is larger than the share.
    pub(crate) fn room(&self, workers: &BTreeMap<Rc<str>, Worker>, task: Resources) -> u64 {
        let ramping = workers.values().filter(|worker| worker.presence.is_ramping);
        let used: u64 = ramping.map(Worker::used_millicores).sum();
        match used {
            0 => self.allowed_millicores().max(task.cpu_millicores),
            _ => self.allowed_millicores().saturating_sub(used),
        }
    }

    /// Increases the share if that is due. Returns whether the ramp has ended.
    fn advance(&mut self, now: Millis) -> bool {
        while now >= self.next_due() {
            if self.divisor <= 2 || now >= self.began_at.plus(MAX_RAMP_MS) {
                return true;
            }
            self.step_began_at = now;
            self.divisor /= 2;
            self.completed_millicores = 0;
            self.has_failed = false;
        }
        false
    }
}

/// Whether a worker was gone, and since when it is back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Presence {
    /// Since when the worker does not reply.
    silent_since: Option<Millis>,
    /// Whether the worker was gone and has not been usable since.
    is_returning: bool,
    returned_at: Option<Millis>,
    is_ramping: bool,
}

impl Presence {
    /// Records that the worker left a poll unanswered.
    pub fn record_silence(&mut self, now: Millis) {
        self.silent_since.get_or_insert(now);
    }

    /// Records that the worker has replied to a call.
    pub fn record_reply(&mut self, now: Millis) {
        let silent_since = self.silent_since.take();
        self.is_returning |= silent_since.is_some_and(|since| now.since(since) >= ABSENCE_MS);
    }

    /// Records that another process has taken the worker's place.
    pub const fn record_replacement(&mut self) {
        self.is_returning = true;
    }

    fn has_just_returned(&self, now: Millis) -> bool {
        self.returned_at.is_some_and(|at| now.since(at) < TOGETHER_MS)
    }

    /// Whether the worker is among those that the ramp limits.
    pub const fn is_ramping(&self) -> bool {
        self.is_ramping
    }
}

/// A worker that is no longer listed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Departed {
    at: Millis,
    cpu_millicores: u64,
    /// Start time of the worker's process, in Unix milliseconds.
    pub started_at_ms: Option<u64>,
}

impl Pool {
    /// Lets load return gradually to all workers of the cell, because an evacuation has ended.
    pub fn begin_ramp(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            worker.presence.is_ramping = true;
        }
        self.start_ramp(now);
    }

    /// Returns the share of the returned capacity that tasks may occupy, in percent; `None` while no
    /// ramp limits the cell.
    pub fn ramp_percent(&self) -> Option<u64> {
        self.ramp.map(|ramp| ramp.share_percent())
    }

    /// Returns the number of workers that count as cold.
    pub fn cold_workers(&self, now: Millis) -> usize {
        self.workers.values().filter(|worker| worker.is_cold(now)).count()
    }

    /// Takes note of a worker that may have become usable again. Begins a ramp if it was gone
    /// together with at least half of the cell's capacity, and has it take part in one that runs.
    pub(crate) fn record_usable_worker(&mut self, now: Millis, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.presence.is_returning || !worker.accepts_tasks(now) {
            return;
        }
        worker.presence.is_returning = false;
        worker.presence.returned_at = Some(now);
        let cpu_millicores = worker.entry.capacity.cpu_millicores;
        if self.ramp.is_some() {
            worker.presence.is_ramping = true;
            let capacity_millicores = self.ramping_millicores();
            if let Some(ramp) = &mut self.ramp {
                ramp.extend(cpu_millicores, capacity_millicores, now);
            }
        } else if self.was_half_gone(now) {
            for worker in self.workers.values_mut() {
                worker.presence.is_ramping = worker.presence.has_just_returned(now);
            }
            self.start_ramp(now);
        }
    }

    /// Like [`Self::record_usable_worker`], for all workers.
    pub(crate) fn record_usable_workers(&mut self, now: Millis) {
        let returning = self.workers.iter().filter(|(_, worker)| worker.presence.is_returning);
        let returning: Vec<_> = returning.map(|(id, _)| Rc::clone(id)).collect();
        for id in returning {
            self.record_usable_worker(now, &id);
        }
    }

    fn start_ramp(&mut self, now: Millis) {
        let capacity_millicores = self.ramping_millicores();
        self.ramp = Some(Ramp::new(capacity_millicores, now));
        self.actions.push(Action::ReportRamp(RampEvent::Began { capacity_millicores }));
    }

    /// Whether at least half of the cell's capacity is gone, or was within the last
    /// [`TOGETHER_MS`].
    fn was_half_gone(&self, now: Millis) -> bool {
        let millicores = |worker: &Worker| worker.entry.capacity.cpu_millicores;
        let departed: u64 = self.departed.values().map(|worker| worker.cpu_millicores).sum();
        let is_gone =
            |worker: &&Worker| worker.presence.has_just_returned(now) || !worker.is_in_contact();
        let gone: u64 = self.workers.values().filter(is_gone).map(millicores).sum();
        let total: u64 = self.workers.values().map(millicores).sum();
        2 * (gone + departed) >= total + departed
    }

    fn ramping_workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|worker| worker.presence.is_ramping)
    }

    fn ramping_millicores(&self) -> u64 {
        let listed = self.ramping_workers().filter(|worker| worker.is_eligible());
        listed.map(|worker| worker.entry.capacity.cpu_millicores).sum()
    }

    /// Increases the share that tasks may occupy on returned workers, and ends the ramp when it is
    /// whole.
    pub(crate) fn update_ramp(&mut self, now: Millis) {
        let Some(ramp) = &mut self.ramp else { return };
        if !ramp.advance(now) {
            return;
        }
        let capacity_millicores = ramp.capacity_millicores;
        let took_ms = now.since(ramp.began_at);
        self.ramp = None;
        for worker in self.workers.values_mut() {
            worker.presence.is_ramping = false;
        }
        self.actions.push(Action::ReportRamp(RampEvent::Ended { capacity_millicores, took_ms }));
    }

    /// Remembers the workers that are about to be dropped from the list, and forgets those that have
    /// been gone for long or are listed again.
    pub(crate) fn update_departed(&mut self, now: Millis) {
        let dropped = self.workers.iter().filter(|(_, worker)| !worker.listed);
        for (id, worker) in dropped {
            self.departed.entry(Rc::clone(id)).or_insert(Departed {
                at: now,
                cpu_millicores: worker.entry.capacity.cpu_millicores,
                started_at_ms: worker.started_at_ms(),
            });
        }
        let workers = &self.workers;
        self.departed.retain(|id, departed| {
            let is_listed = workers.get(id).is_some_and(|worker| worker.listed);
            !is_listed && now.since(departed.at) < DEPARTED_RETENTION_MS
        });
    }
}
