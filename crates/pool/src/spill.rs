//! Chooses the cells that a job is offered to, with spill-over to other zones.
//!
//! Callers load the zones unevenly, and a burst can fill one zone while others have free workers.
//! A job is first offered for immediate start of all its tasks, to cells in the same zone before
//! cells in other zones. Cells that are known to have room come first and cells that are known to
//! have none are passed over, see [`LoadTable`]. The job is queued at a cell only if none of the
//! cells asked can start it at once.

use std::cmp::Reverse;

use dispatch::clock::Millis;

use crate::cells::Cell;
use crate::load_table::{Demand, Fit, LoadTable, TRANSIT_MS};

/// Maximum number of owners asked for one job in each phase if nothing is known of their free
/// capacity: first for an immediate start, then with queueing allowed.
const MAX_ATTEMPTS_PER_PHASE: usize = 2;
/// Maximum number of owners asked for an immediate start if they are known to have free capacity.
/// Four refusals from other zones take about 10 ms, a ninth of the time that the most urgent kind
/// of job has to spare.
const MAX_KNOWN_ATTEMPTS: usize = 4;
/// How long after a refusal the owner of a cell in another zone is not asked again for any job with
/// the same demand or more, in milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 40;
/// Maximum number of times that a queued job is withdrawn to move it to another cell. Each time, it
/// may lose its place to a job that arrives meanwhile.
const MAX_MOVES: usize = 2;
/// Greatest age of a report by which a queued job is moved, in milliseconds. A job that is withdrawn
/// in vain may be refused where it was queued, and half of the rooms for a short task are taken
/// again after this time.
const MAX_MOVE_REPORT_AGE_MS: u64 = 50;
/// Time that an answer from another zone takes longer than one from the same zone, in milliseconds.
const OTHER_ZONE_MS: u64 = 2 * TRANSIT_MS;

/// Basis on which a cell was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The cell probably has room for the job.
    KnownFree,
    /// It is not known whether the cell has room.
    Unknown,
    /// The job may wait, and the cell's queue is the shortest.
    Queue,
    /// The job was queued elsewhere, and this cell got room for it.
    Moved,
}

impl Basis {
    /// Returns the name under which the basis is counted.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::KnownFree => "known_free",
            Self::Unknown => "unknown",
            Self::Queue => "queue",
            Self::Moved => "moved",
        }
    }
}

/// A cell to offer a job to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The cell.
    pub cell: Cell,
    /// Whether the job may be queued there.
    pub may_wait: bool,
    /// Basis on which the cell was selected.
    pub basis: Basis,
}

/// State of the search for an owner that accepts a job: the phase and the cells asked in it.
#[derive(Debug)]
pub struct CellSearch {
    demand: Demand,
    /// Latest time at which the job can start and still be of use to its caller.
    latest_start: Millis,
    /// Random number of the job, which distributes jobs over cells with room.
    seed: u64,
    may_wait: bool,
    asked: Vec<Cell>,
    /// Age of the oldest report by which a cell was passed over, in milliseconds.
    known_ms: Option<u64>,
    moves: usize,
    /// Cell that the job was withdrawn for.
    move_to: Option<Cell>,
}

/// Preference of a cell for an immediate start; lower values are better.
type Rank = (u8, u64, Reverse<u64>);

impl CellSearch {
    /// Creates the search for a job with this demand, of use to its caller only if it starts until
    /// `latest_start`. `seed` is a random number.
    pub const fn new(demand: Demand, latest_start: Millis, seed: u64) -> Self {
        Self {
            demand,
            latest_start,
            seed,
            may_wait: false,
            asked: Vec::new(),
            known_ms: None,
            moves: 0,
            move_to: None,
        }
    }

    /// Returns the next cell to ask, or `None` if no cell is left. `same_zone` and `other_zones` are
    /// the cells of this daemon's zone and of the other zones that have a reachable owner.
    ///
    /// Attempts at cells for which no owner was found, as [`LoadTable::record_unowned`] says, do not
    /// count towards the maximum.
    pub fn next(
        &mut self,
        loads: &LoadTable,
        same_zone: &[Cell],
        other_zones: &[Cell],
        now: Millis,
    ) -> Option<Offer> {
        if let Some(cell) = self.move_to.take() {
            self.may_wait = false;
            self.asked = vec![cell.clone()];
            return Some(Offer { cell, may_wait: false, basis: Basis::Moved });
        }
        if !self.may_wait {
            let full = same_zone.iter().chain(other_zones);
            let full = full.filter(|cell| loads.fit(cell, self.demand, now) == Fit::Full);
            self.known_ms =
                full.filter_map(|cell| loads.age_ms(cell, now)).max().max(self.known_ms);
            if let Some((cell, basis)) = self.next_for_start(loads, same_zone, other_zones, now) {
                self.asked.push(cell.clone());
                return Some(Offer { cell, may_wait: false, basis });
            }
            self.may_wait = true;
            self.asked.clear();
        }
        let cell = self.next_for_queueing(loads, same_zone, other_zones, now)?;
        self.asked.push(cell.clone());
        Some(Offer { cell, may_wait: true, basis: Basis::Queue })
    }

    /// Returns another cell that could start the job now, for which the job should be withdrawn from
    /// the cell `queued_at` where it was sent at `sent_at` and may wait, or `None` if it should stay.
    /// If the job is withdrawn, [`Self::next`] returns the other cell first.
    ///
    /// The job may be submitted to the other cell only after the owner of the first one has
    /// confirmed that it has started no task of it and will not.
    pub fn find_better_cell(
        &mut self,
        loads: &LoadTable,
        (queued_at, sent_at): (&Cell, Millis),
        (same_zone, other_zones): (&[Cell], &[Cell]),
        now: Millis,
    ) -> Option<Cell> {
        if !self.may_move(loads, (queued_at, sent_at), now) {
            return None;
        }
        let fresh_fit = |cell: &Cell| {
            let age_ms = loads.age_ms(cell, now).filter(|_| cell != queued_at)?;
            match loads.fit(cell, self.demand, now) {
                Fit::Fits { times } if age_ms <= MAX_MOVE_REPORT_AGE_MS => {
                    Some(self.distance(cell, times))
                }
                _ => None,
            }
        };
        let same_zone = same_zone.iter().map(|cell| (cell, false));
        let cells = same_zone.chain(other_zones.iter().map(|cell| (cell, true)));
        let usable = cells.filter(|(cell, is_other_zone)| {
            let backoff_ms = if *is_other_zone { REFUSAL_BACKOFF_MS } else { 0 };
            !loads.is_unowned(cell, now)
                && !loads.refused_recently(cell, self.demand, false, backoff_ms, now)
        });
        let ranked = usable.filter_map(|(cell, is_other_zone)| {
            fresh_fit(cell).map(|distance| ((is_other_zone, distance), cell))
        });
        let (_, cell) = ranked.min_by_key(|(rank, _)| *rank)?;
        self.moves += 1;
        self.move_to = Some(cell.clone());
        Some(cell.clone())
    }

    /// Returns whether [`Self::find_better_cell`] may find a cell. Checks this without the lists of
    /// cells, because each answer is a chance to move for each job that waits.
    pub fn may_move(
        &self,
        loads: &LoadTable,
        (queued_at, sent_at): (&Cell, Millis),
        now: Millis,
    ) -> bool {
        let has_time = now.plus(2 * OTHER_ZONE_MS) <= self.latest_start;
        self.moves < MAX_MOVES
            && has_time
            && !loads.has_started(queued_at, sent_at)
            && loads.fits_elsewhere(queued_at, self.demand, MAX_MOVE_REPORT_AGE_MS, now)
    }

    /// Forgets the cell that [`Self::find_better_cell`] returned, because the job has not been
    /// withdrawn.
    pub fn stay(&mut self) {
        self.move_to = None;
    }

    /// Returns the age of the oldest report by which a cell was passed over because it had no room for
    /// the job, in milliseconds, or `None` if no cell was.
    pub const fn known_ms(&self) -> Option<u64> {
        self.known_ms
    }

    fn next_for_start(
        &self,
        loads: &LoadTable,
        same_zone: &[Cell],
        other_zones: &[Cell],
        now: Millis,
    ) -> Option<(Cell, Basis)> {
        let attempts = self.attempts(loads, now);
        let rank = |cell: &Cell, is_other_zone: bool| -> Option<(Rank, Basis)> {
            let fit = loads.fit(cell, self.demand, now);
            let order = |own: u8, other: u8| if is_other_zone { other } else { own };
            let (queue_ms, free) = loads.queue(cell);
            let by_load = (queue_ms, Reverse(free));
            let (class, (first, second), basis) = match fit {
                Fit::Fits { times } => {
                    let distance = self.distance(cell, times);
                    (order(0, 3), (distance, Reverse(0)), Basis::KnownFree)
                }
                Fit::MayFit => (order(1, 4), by_load, Basis::Unknown),
                // Own cells that had room are asked first although the report is old: at low load
                // reports are rare, and an answer from the own zone costs less.
                Fit::Unknown { was_full: false } => (order(2, 5), by_load, Basis::Unknown),
                Fit::Unknown { was_full: true } => (order(6, 7), by_load, Basis::Unknown),
                Fit::Full => return None,
            };
            let max = match basis {
                Basis::KnownFree => MAX_KNOWN_ATTEMPTS,
                Basis::Unknown | Basis::Queue | Basis::Moved => MAX_ATTEMPTS_PER_PHASE,
            };
            (attempts < max).then_some(((class, first, second), basis))
        };
        let has_time = |is_other_zone: bool| {
            let answer_ms = if is_other_zone { OTHER_ZONE_MS } else { 0 };
            attempts == 0 || now.plus(answer_ms) <= self.latest_start
        };
        let candidates = self.candidates(loads, same_zone, other_zones, now);
        let ranked = candidates.filter(|(_, is_other_zone)| has_time(*is_other_zone)).filter_map(
            |(cell, is_other_zone)| {
                rank(cell, is_other_zone).map(|(rank, basis)| (rank, cell, basis))
            },
        );
        let best = ranked.min_by(|(left, ..), (right, ..)| left.cmp(right));
        best.map(|(_, cell, basis)| (cell.clone(), basis))
    }

    fn next_for_queueing(
        &self,
        loads: &LoadTable,
        same_zone: &[Cell],
        other_zones: &[Cell],
        now: Millis,
    ) -> Option<Cell> {
        if self.attempts(loads, now) >= MAX_ATTEMPTS_PER_PHASE {
            return None;
        }
        let candidates = self.candidates(loads, same_zone, other_zones, now);
        let best = candidates.min_by_key(|(cell, is_other_zone)| {
            let (queue_ms, free) = loads.queue(cell);
            let answer_ms = if *is_other_zone { OTHER_ZONE_MS } else { 0 };
            (queue_ms.saturating_add(answer_ms), Reverse(free))
        });
        best.map(|(cell, _)| cell.clone())
    }

    /// Returns the number of owners asked in this phase.
    fn attempts(&self, loads: &LoadTable, now: Millis) -> usize {
        self.asked.iter().filter(|cell| !loads.is_unowned(cell, now)).count()
    }

    /// Returns the cells that may be asked, and whether they are in another zone, own zone first.
    fn candidates<'a>(
        &'a self,
        loads: &'a LoadTable,
        same_zone: &'a [Cell],
        other_zones: &'a [Cell],
        now: Millis,
    ) -> impl Iterator<Item = (&'a Cell, bool)> {
        let same_zone = same_zone.iter().map(|cell| (cell, false));
        let cells = same_zone.chain(other_zones.iter().map(|cell| (cell, true)));
        cells.filter(move |(cell, is_other_zone)| {
            let backoff_ms = if *is_other_zone { REFUSAL_BACKOFF_MS } else { 0 };
            let refused = loads.refused_recently(cell, self.demand, self.may_wait, backoff_ms, now);
            !refused && !loads.is_unowned(cell, now) && !self.asked.contains(cell)
        })
    }

    /// Returns a random number that is smaller the more often the job fits into the cell, so that the
    /// daemons of a zone, which have similar information, do not all choose the same cell. The cell
    /// with the smallest number is chosen with a probability in proportion to `times`.
    fn distance(&self, cell: &Cell, times: u64) -> u64 {
        let mixed = (self.seed ^ u64::from(cell.partition)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let zone = cell
            .zone
            .bytes()
            .fold(mixed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3));
        let uniform = ((zone ^ (zone >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11) as f64;
        let uniform = (uniform + 1.0) / (1_u64 << 53) as f64;
        (-uniform.ln() / times as f64 * 1e12) as u64
    }
}
