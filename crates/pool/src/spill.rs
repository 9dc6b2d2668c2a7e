//! Chooses the cells that are asked to run a job.
//!
//! Load pattern: callers reach the zones unevenly, and a burst fills one zone while others have
//! room. A job first asks the cells where all its tasks would begin at once, its own zone's before
//! others, and waits only where none of those it asked has the room.

use std::cmp::Reverse;
use std::collections::HashMap;

use dispatch::clock::Millis;

use crate::cells::Cell;
use crate::job::{Outcome, Reason};
use crate::queue::Backlog;

/// The most owners that are asked for one job, first without and then with waiting.
const MAX_TRIES: usize = 2;
/// How long a refusal by an owner in another zone keeps further jobs from asking it, in
/// milliseconds.
const REFUSAL_MEMORY_MS: u64 = 40;

/// What is known of a cell's load.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// The load that it told last.
    backlog: Backlog,
    /// When it last had no room for a whole job at once.
    busy_at: Option<Millis>,
    /// When it last refused a job that would have waited.
    refused_at: Option<Millis>,
}

impl Load {
    fn refused_lately(&self, may_wait: bool, memory_ms: u64, now: Millis) -> bool {
        let refused_at = if may_wait { self.refused_at } else { self.busy_at };
        refused_at.is_some_and(|at| now.since(at) < memory_ms)
    }
}

/// The load of each cell, as far as it was told.
#[derive(Debug, Default)]
pub struct Loads {
    cells: HashMap<Cell, Load>,
}

impl Loads {
    /// Takes in what a cell's owner told with the outcome of a job.
    pub fn note(&mut self, cell: &Cell, outcome: &Outcome, backlog: Backlog, now: Millis) {
        let load = self.cells.entry(cell.clone()).or_default();
        load.backlog = backlog;
        let Outcome::NotRun { reason, .. } = outcome else { return };
        load.busy_at = Some(now);
        if *reason != Reason::Busy {
            load.refused_at = Some(now);
        }
    }

    /// Chooses the cell with the shortest wait among `cells`, other than those asked before and those
    /// that refused less than `memory_ms` ago.
    fn best_of(
        &self,
        cells: impl Iterator<Item = Cell>,
        search: &Search,
        memory_ms: u64,
        now: Millis,
    ) -> Option<Cell> {
        let usable = cells.filter(|cell| {
            let load = self.cells.get(cell).copied().unwrap_or_default();
            let refused = load.refused_lately(search.may_wait, memory_ms, now);
            !refused && !search.asked.contains(cell)
        });
        usable.min_by_key(|cell| {
            let backlog = self.cells.get(cell).map(|load| load.backlog).unwrap_or_default();
            (backlog.queued_work, Reverse(backlog.free_millicores))
        })
    }
}

/// The search for a job's owner: what was asked so far.
#[derive(Debug, Default)]
pub struct Search {
    may_wait: bool,
    asked: Vec<Cell>,
}

impl Search {
    /// Gives the next cell to ask, and whether the job may wait there. None where no cell is left.
    /// `own` and `others` give the cells of the own zone and of the others that have an owner which
    /// may be asked.
    pub fn next(
        &mut self,
        loads: &Loads,
        own: &[Cell],
        others: impl Fn() -> Vec<Cell>,
        now: Millis,
    ) -> Option<(Cell, bool)> {
        let mut cell = self.next_in_phase(loads, own, &others, now);
        if cell.is_none() && !self.may_wait {
            self.may_wait = true;
            self.asked.clear();
            cell = self.next_in_phase(loads, own, &others, now);
        }
        cell.map(|cell| (cell, self.may_wait))
    }

    fn next_in_phase(
        &mut self,
        loads: &Loads,
        own: &[Cell],
        others: impl Fn() -> Vec<Cell>,
        now: Millis,
    ) -> Option<Cell> {
        if self.asked.len() >= MAX_TRIES {
            return None;
        }
        let best = loads.best_of(own.iter().cloned(), self, 0, now);
        let elsewhere = || loads.best_of(others().into_iter(), self, REFUSAL_MEMORY_MS, now);
        let cell = best.or_else(elsewhere)?;
        self.asked.push(cell.clone());
        Some(cell)
    }
}
