//! Chooses the cells that a job is offered to, with spill-over to other zones.
//!
//! Callers load the zones unevenly, and a burst can fill one zone while others have free workers.
//! A job is first offered for immediate start of all its tasks, to cells in the same zone before
//! cells in other zones. It is queued at a cell only if none of the cells asked can start it at
//! once.

use std::cmp::Reverse;
use std::collections::HashMap;

use dispatch::clock::Millis;

use crate::cells::Cell;
use crate::job::{Outcome, Reason};
use crate::queue::Backlog;

/// Maximum number of owners asked for one job in each phase: first for an immediate start, then
/// with queueing allowed.
const MAX_ATTEMPTS_PER_PHASE: usize = 2;
/// How long after a refusal the owner of a cell in another zone is not asked again for any job, in
/// milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 40;

/// How long a cell is not asked after no owner was found for it, in milliseconds.
const UNOWNED_BACKOFF_MS: u64 = 50;

/// Last known load of a cell.
#[derive(Clone, Copy, Debug, Default)]
struct CellLoad {
    /// Backlog that the cell's owner reported last.
    backlog: Backlog,
    /// When the owner last refused a job in either phase, so could not start all its tasks at once.
    busy_at: Option<Millis>,
    /// When the daemon listed as the owner last denied owning the cell, or could not be reached.
    unowned_at: Option<Millis>,
    /// When the owner last refused a job for another reason than [`Reason::Busy`], so that queueing
    /// would not have helped.
    refused_at: Option<Millis>,
}

impl CellLoad {
    fn is_unowned(&self, now: Millis) -> bool {
        self.unowned_at.is_some_and(|at| now.since(at) < UNOWNED_BACKOFF_MS)
    }

    fn refused_recently(&self, may_wait: bool, backoff_ms: u64, now: Millis) -> bool {
        let refused_at = if may_wait { self.refused_at } else { self.busy_at };
        refused_at.is_some_and(|at| now.since(at) < backoff_ms)
    }
}

/// Last known load of each cell, as reported by the cells' owners.
#[derive(Debug, Default)]
pub struct CellLoads {
    cells: HashMap<Cell, CellLoad>,
}

impl CellLoads {
    /// Records the outcome of a job and the backlog that the cell's owner reported with it.
    pub fn record(&mut self, cell: &Cell, outcome: &Outcome, backlog: Backlog, now: Millis) {
        let load = self.cells.entry(cell.clone()).or_default();
        load.backlog = backlog;
        match outcome {
            // Says nothing about the chances of other routes.
            Outcome::NotRun { reason: Reason::RouteConfined, .. } => {}
            Outcome::NotRun { reason: Reason::Busy, .. } => load.busy_at = Some(now),
            Outcome::NotRun { .. } => {
                load.busy_at = Some(now);
                load.refused_at = Some(now);
            }
            _ => {}
        }
    }

    /// Returns the backlog that a cell's owner reported last, or `None` if it has not replied yet.
    pub fn backlog(&self, cell: &Cell) -> Option<Backlog> {
        self.cells.get(cell).map(|load| load.backlog)
    }

    /// Records that no owner was found for a cell, so that jobs are sent to other cells for a while.
    pub fn record_unowned(&mut self, cell: &Cell, now: Millis) {
        self.cells.entry(cell.clone()).or_default().unowned_at = Some(now);
    }

    /// Returns the cell of `cells` with the least waiting work, then the most free cores, without
    /// those already asked and those that refused less than `backoff_ms` ago.
    fn least_loaded(
        &self,
        cells: impl Iterator<Item = Cell>,
        search: &CellSearch,
        backoff_ms: u64,
        now: Millis,
    ) -> Option<Cell> {
        let usable = cells.filter(|cell| {
            let load = self.cells.get(cell).copied().unwrap_or_default();
            let refused = load.refused_recently(search.may_wait, backoff_ms, now);
            !refused && !load.is_unowned(now) && !search.asked.contains(cell)
        });
        usable.min_by_key(|cell| {
            let backlog = self.cells.get(cell).map(|load| load.backlog).unwrap_or_default();
            (backlog.queued_work, Reverse(backlog.free_millicores))
        })
    }
}

/// State of the search for an owner that accepts a job: the phase and the cells asked in it.
#[derive(Debug, Default)]
pub struct CellSearch {
    may_wait: bool,
    asked: Vec<Cell>,
}

impl CellSearch {
    /// Returns the next cell to ask and whether the job may be queued there, or `None` if no cell is
    /// left. `same_zone` and `other_zones` are the cells of this daemon's zone and of the other
    /// zones that have a reachable owner.
    ///
    /// Attempts at cells for which no owner was found, as [`CellLoads::record_unowned`] says, do not
    /// count towards the maximum.
    pub fn next(
        &mut self,
        loads: &CellLoads,
        same_zone: &[Cell],
        other_zones: impl Fn() -> Vec<Cell>,
        now: Millis,
    ) -> Option<(Cell, bool)> {
        let mut cell = self.next_in_phase(loads, same_zone, &other_zones, now);
        if cell.is_none() && !self.may_wait {
            self.may_wait = true;
            self.asked.clear();
            cell = self.next_in_phase(loads, same_zone, &other_zones, now);
        }
        cell.map(|cell| (cell, self.may_wait))
    }

    fn next_in_phase(
        &mut self,
        loads: &CellLoads,
        same_zone: &[Cell],
        other_zones: impl Fn() -> Vec<Cell>,
        now: Millis,
    ) -> Option<Cell> {
        let is_owned =
            |cell: &&Cell| loads.cells.get(*cell).is_none_or(|load| !load.is_unowned(now));
        if self.asked.iter().filter(is_owned).count() >= MAX_ATTEMPTS_PER_PHASE {
            return None;
        }
        let in_same_zone = loads.least_loaded(same_zone.iter().cloned(), self, 0, now);
        let in_other_zones =
            || loads.least_loaded(other_zones().into_iter(), self, REFUSAL_BACKOFF_MS, now);
        let cell = in_same_zone.or_else(in_other_zones)?;
        self.asked.push(cell.clone());
        Some(cell)
    }
}
