//! Knowledge of the cells' loads, from messages that daemons exchange anyway.
//!
//! With several cells a zone and ten daemons that route, work was refused while another cell had
//! free workers: a daemon knew only the load that a cell's owner had reported with its last reply,
//! which was as old as that reply and left out what the daemon had sent since. The table keeps the
//! age of each report, deducts what was sent after it, and learns reports on further cells from
//! each reply.

use std::collections::HashMap;
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::cells::Cell;
use crate::free_cores::FreeCores;
use crate::job::{JobSpec, Outcome, Reason};
use crate::queue::Backlog;

/// Age from which a report counts as unknown, in milliseconds. Most tasks take 50 to 900 ms, so that
/// after this time about every second one has ended and others have started.
pub const MAX_REPORT_AGE_MS: u64 = 500;
/// Maximum number of reports in a reply. With 24 bytes each, they take as much as a small request.
pub const MAX_REPORTS: usize = 8;
/// Largest latency of a message between two zones, in milliseconds, rounded up. Added to the age of
/// a report when it arrives, so that no report is taken for fresher than it is.
pub const TRANSIT_MS: u64 = 2;
/// How long a cell is not asked after no owner was found for it, in milliseconds.
const UNOWNED_BACKOFF_MS: u64 = 50;
/// Maximum number of cells in the table, twice the cells of 16 zones with 8 cells each, so that
/// incorrect reports cannot fill the memory.
const MAX_CELLS: usize = 256;

/// What a job needs to start: the tasks of its initial steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Number of tasks.
    pub tasks: u64,
    /// Cores of the largest task, in thousandths of a core.
    pub task_millicores: u64,
}

impl Demand {
    /// Returns the demand of a job.
    pub fn of(spec: &JobSpec) -> Self {
        let initial = || spec.steps.iter().filter(|step| step.after.is_empty());
        let millicores = initial().map(|step| step.task_resources.cpu_millicores);
        Self {
            tasks: initial().map(|step| u64::from(step.count)).sum(),
            task_millicores: millicores.max().unwrap_or(0),
        }
    }

    /// Returns how many tasks of the size of `other` take as many cores as this job, rounded up.
    const fn tasks_as(self, other: Self) -> u64 {
        let millicores = self.tasks.saturating_mul(self.task_millicores);
        let size = if other.task_millicores == 0 { 1 } else { other.task_millicores };
        millicores.div_ceil(size)
    }

    /// Returns whether this job needs as many and as large tasks as `other`, or more.
    const fn covers(self, other: Self) -> bool {
        self.tasks >= other.tasks && self.task_millicores >= other.task_millicores
    }
}

/// Returns whether a job with this demand probably could start at once in a cell with this backlog,
/// after jobs with the demands `before`.
pub fn free_after(backlog: &Backlog, before: impl Iterator<Item = Demand>, demand: Demand) -> bool {
    let Some(free) = backlog.free.filter(|_| backlog.queued_work == 0) else { return false };
    let taken = before.map(|before| before.tasks_as(demand)).fold(0, u64::saturating_add);
    free.probable_fit(demand.task_millicores).saturating_sub(taken) >= demand.tasks
}

/// Report on the load of a cell, as one daemon passes it on to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Index of the cell's zone in the sorted list of all zones.
    zone: u8,
    /// Partition of the cell.
    partition: u32,
    /// Age when it was sent, in milliseconds.
    age_ms: u16,
    /// Time until the queued work is done, in milliseconds, rounded up; clamped.
    queue_ms: u16,
    /// Free cores of the workers.
    free: FreeCores,
}

/// Whether a job could start at once in a cell, as far as this daemon knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The cell probably has room for all tasks. `times` says for how many such jobs.
    Fits {
        /// Number of jobs with this demand that fit.
        times: u64,
    },
    /// The cell may have room for all tasks; the summary of its free cores is too coarse to tell.
    MayFit,
    /// Nothing recent is known.
    Unknown {
        /// Whether the cell had no room by the last report, which is too old to count.
        was_full: bool,
    },
    /// The cell has no room for all tasks.
    Full,
}

/// Identifies a job that this daemon has sent to a cell and that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentJob(u64);

#[derive(Clone, Copy, Debug)]
struct Sent {
    id: SentJob,
    at: Millis,
    demand: Demand,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    at: Millis,
    queue_ms: u64,
    free: FreeCores,
}

/// What is known of one cell.
#[derive(Clone, Debug, Default)]
struct CellLoad {
    /// Backlog that the cell's owner reported last in a reply to this daemon.
    backlog: Option<Backlog>,
    /// Latest report with a summary of the free cores, from the owner or passed on.
    known: Option<Known>,
    /// Jobs that were sent to the cell and have not been answered.
    sent: Vec<Sent>,
    /// When the owner last refused a job in either phase, so could not start all its tasks at once,
    /// and the demand of that job.
    busy: Option<(Millis, Demand)>,
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

    fn learn(&mut self, known: Known) {
        if self.known.is_none_or(|before| before.at <= known.at) {
            self.known = Some(known);
        }
    }

    fn fit(&self, demand: Demand, now: Millis) -> Fit {
        let Some(known) = self.known else { return Fit::Unknown { was_full: false } };
        // A job that was sent less than a round trip before the report may not be part of it.
        let is_unreported = |sent: &&Sent| sent.at.plus(TRANSIT_MS) > known.at;
        let sent = self.sent.iter().filter(is_unreported);
        let sent_tasks = sent.map(|sent| sent.demand.tasks_as(demand)).fold(0, u64::saturating_add);
        let left = |fit: u64| fit.saturating_sub(sent_tasks);
        let has_queue = known.queue_ms > 0;
        let is_full =
            has_queue || left(known.free.greatest_fit(demand.task_millicores)) < demand.tasks;
        if now.since(known.at) >= MAX_REPORT_AGE_MS {
            return Fit::Unknown { was_full: is_full };
        }
        if is_full {
            return Fit::Full;
        }
        match left(known.free.probable_fit(demand.task_millicores)).checked_div(demand.tasks) {
            Some(0) => Fit::MayFit,
            Some(times) => Fit::Fits { times },
            None => Fit::Fits { times: 1 },
        }
    }
}

/// Last known load of each cell.
#[derive(Debug, Default)]
pub struct LoadTable {
    /// Names of all zones, sorted, so that all daemons of an installation agree on their indices.
    zones: Vec<Rc<str>>,
    cells: HashMap<Cell, CellLoad>,
    last_sent: u64,
}

impl LoadTable {
    /// Creates a table for an installation with these zones.
    pub fn new<'a>(zones: impl IntoIterator<Item = &'a str>) -> Self {
        let mut zones: Vec<Rc<str>> = zones.into_iter().map(Rc::from).collect();
        zones.sort_unstable();
        Self { zones, ..Self::default() }
    }

    /// Returns the number of cells in the table.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Returns whether the table has no cells.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Records the outcome of a job and the backlog that the cell's owner reported with it.
    pub fn record(
        &mut self,
        cell: &Cell,
        demand: Demand,
        outcome: &Outcome,
        backlog: Backlog,
        now: Millis,
    ) {
        self.record_backlog(cell, backlog, Millis(now.0.saturating_sub(TRANSIT_MS)));
        let load = self.cells.entry(cell.clone()).or_default();
        load.backlog = Some(backlog);
        match outcome {
            // Says nothing about the chances of other routes or jobs.
            Outcome::NotRun { reason: Reason::RouteConfined | Reason::Withdrawn, .. } => {}
            Outcome::NotRun { reason: Reason::Busy, .. } => load.busy = Some((now, demand)),
            Outcome::NotRun { .. } => {
                load.busy = Some((now, demand));
                load.refused_at = Some(now);
            }
            _ => {}
        }
    }

    /// Records the backlog of a cell at `at`. A report that is older than the known one is ignored.
    pub fn record_backlog(&mut self, cell: &Cell, backlog: Backlog, at: Millis) {
        let Some(free) = backlog.free else { return };
        let known = Known { at, queue_ms: backlog.queue_ms(), free };
        self.cells.entry(cell.clone()).or_default().learn(known);
    }

    /// Records reports that another daemon has passed on. Those on zones that are not in the settings
    /// are ignored.
    pub fn record_reports(&mut self, reports: &[LoadReport], now: Millis) {
        for report in reports.iter().take(MAX_REPORTS) {
            let Some(zone) = self.zones.get(usize::from(report.zone)) else { continue };
            let cell = Cell { zone: Rc::clone(zone), partition: report.partition };
            if self.cells.len() >= MAX_CELLS && !self.cells.contains_key(&cell) {
                continue;
            }
            let age_ms = u64::from(report.age_ms) + TRANSIT_MS;
            let (at, queue_ms) = (Millis(now.0.saturating_sub(age_ms)), u64::from(report.queue_ms));
            let known = Known { at, queue_ms, free: report.free };
            self.cells.entry(cell).or_default().learn(known);
        }
    }

    /// Returns the freshest reports on other cells than `cell`, to be passed on with a reply.
    pub fn reports(&self, cell: &Cell, now: Millis) -> Vec<LoadReport> {
        let others = self.cells.iter().filter(|(name, _)| *name != cell);
        let fresh = others.filter_map(|(name, load)| self.make_report(name, load, now));
        let mut reports: Vec<LoadReport> = fresh.collect();
        reports.sort_unstable_by_key(|report| (report.age_ms, report.zone, report.partition));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Returns the report on one cell, or `None` if nothing recent is known.
    pub fn report(&self, cell: &Cell, now: Millis) -> Option<LoadReport> {
        self.make_report(cell, self.cells.get(cell)?, now)
    }

    fn make_report(&self, cell: &Cell, load: &CellLoad, now: Millis) -> Option<LoadReport> {
        let known = load.known.filter(|known| now.since(known.at) < MAX_REPORT_AGE_MS)?;
        let zone = self.zones.binary_search(&cell.zone).ok()?;
        Some(LoadReport {
            zone: u8::try_from(zone).ok()?,
            partition: cell.partition,
            age_ms: now.since(known.at) as u16,
            queue_ms: known.queue_ms.min(u64::from(u16::MAX)) as u16,
            free: known.free,
        })
    }

    /// Records that a job is sent to a cell, so that its tasks are deducted from the cell's free
    /// cores until [`Self::record_answer`] or a report that includes it.
    pub fn record_sent(&mut self, cell: &Cell, demand: Demand, now: Millis) -> SentJob {
        self.last_sent += 1;
        let id = SentJob(self.last_sent);
        self.cells.entry(cell.clone()).or_default().sent.push(Sent { id, at: now, demand });
        id
    }

    /// Records that a job which was sent to a cell has been answered, or that nobody waits for the
    /// answer any more.
    pub fn record_answer(&mut self, cell: &Cell, job: SentJob) {
        if let Some(load) = self.cells.get_mut(cell) {
            load.sent.retain(|sent| sent.id != job);
        }
    }

    /// Returns the backlog that a cell's owner reported last, or `None` if it has not replied yet.
    pub fn backlog(&self, cell: &Cell) -> Option<Backlog> {
        self.cells.get(cell).and_then(|load| load.backlog)
    }

    /// Returns whether a report that is newer than a job sent at `sent_at` says that nothing waits in a
    /// cell, so that the job has been started there.
    pub fn has_started(&self, cell: &Cell, sent_at: Millis) -> bool {
        let known = self.cells.get(cell).and_then(|load| load.known);
        known.is_some_and(|known| known.queue_ms == 0 && sent_at.plus(TRANSIT_MS) <= known.at)
    }

    /// Returns the age of the latest report on a cell, in milliseconds, or `None` if there is none.
    pub fn age_ms(&self, cell: &Cell, now: Millis) -> Option<u64> {
        self.cells.get(cell).and_then(|load| load.known).map(|known| now.since(known.at))
    }

    /// Records that no owner was found for a cell, so that jobs are sent to other cells for a while.
    pub fn record_unowned(&mut self, cell: &Cell, now: Millis) {
        self.cells.entry(cell.clone()).or_default().unowned_at = Some(now);
    }

    /// Returns whether a cell had no owner a short time ago.
    pub fn is_unowned(&self, cell: &Cell, now: Millis) -> bool {
        self.cells.get(cell).is_some_and(|load| load.is_unowned(now))
    }

    /// Returns whether a job with this demand could start at once in a cell.
    pub fn fit(&self, cell: &Cell, demand: Demand, now: Millis) -> Fit {
        let load = self.cells.get(cell);
        load.map_or(Fit::Unknown { was_full: false }, |load| load.fit(demand, now))
    }

    /// Returns whether some other cell than `cell` probably has room for a job by a report of at most
    /// `max_age_ms`. Takes less time than to ask for each cell that has an owner.
    pub fn fits_elsewhere(
        &self,
        cell: &Cell,
        demand: Demand,
        max_age_ms: u64,
        now: Millis,
    ) -> bool {
        let is_fresh = |load: &CellLoad| {
            load.known.is_some_and(|known| known.queue_ms == 0 && now.since(known.at) <= max_age_ms)
        };
        let mut fresh = self.cells.iter().filter(|(_, load)| is_fresh(load));
        fresh.any(|(name, load)| matches!(load.fit(demand, now), Fit::Fits { .. }) && name != cell)
    }

    /// Returns whether a cell's owner refused such a job less than `backoff_ms` ago: if the job may
    /// wait, for another reason than that it could not start at once, and otherwise a job with the
    /// same demand or less.
    pub fn refused_recently(
        &self,
        cell: &Cell,
        demand: Demand,
        may_wait: bool,
        backoff_ms: u64,
        now: Millis,
    ) -> bool {
        let Some(load) = self.cells.get(cell) else { return false };
        let busy_at = load.busy.filter(|(_, refused)| demand.covers(*refused)).map(|(at, _)| at);
        let refused_at = if may_wait { load.refused_at } else { busy_at };
        refused_at.is_some_and(|at| now.since(at) < backoff_ms)
    }

    /// Iterates over the cells with a report, with its age, the time until the queued work is done, both
    /// in milliseconds, and the free cores, in thousandths of a core, for a dump of the state.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = (&Cell, u64, u64, u64)> {
        self.cells.iter().filter_map(move |(cell, load)| {
            let known = load.known?;
            Some((cell, now.since(known.at), known.queue_ms, known.free.probable_millicores()))
        })
    }

    /// Returns the last known time until the queued work of a cell is done, in milliseconds, and its
    /// free cores, in thousandths of a core. Both are zero if nothing is known.
    pub fn queue(&self, cell: &Cell) -> (u64, u64) {
        let Some(load) = self.cells.get(cell) else { return (0, 0) };
        match (load.known, load.backlog) {
            (Some(known), _) => (known.queue_ms, known.free.probable_millicores()),
            (None, Some(backlog)) => (backlog.queue_ms(), backlog.free_millicores),
            (None, None) => (0, 0),
        }
    }
}
