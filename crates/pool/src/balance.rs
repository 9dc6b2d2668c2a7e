//! Decides which daemon of a zone owns each cell, so that a small daemon does not own more than it
//! can carry while larger ones are idle.
//!
//! The store assigns the partitions of a zone evenly to daemons whose cores and links differ by
//! factors of five and ten, and may assign all partitions of cells to one of the smallest: its jobs
//! then waited 300 ms for a refusal instead of 4 ms. The daemon that holds a cell's partition
//! therefore chooses the cell's owner among the zone's daemons, by their capacity. See
//! `docs/design/balance.md`.
//!
//! Each move lowers the sum of the loads that the cells see (the load of an owner with one cell,
//! with two cells and so on), whatever was measured, so any sequence of moves ends.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use dispatch::clock::Millis;

use crate::cells::Cell;

/// Minimum interval between two moves by a holder, in milliseconds. The jobs of a cell that moves
/// are submitted again, which takes them about 30 ms; a second keeps that below a twentieth.
const MOVE_INTERVAL_MS: u64 = 1_000;
/// Minimum interval between two moves shortly after the daemon's start, in milliseconds. The
/// interval between two renewals of a delegation.
const START_MOVE_INTERVAL_MS: u64 = 300;
/// How long after the daemon's start moves follow each other quickly, in milliseconds. A fleet has
/// joined the group by then, and callers come later.
const START_PHASE_MS: u64 = 5_000;
/// How long an owner keeps a cell at least, and how long an assignment is left alone after it has
/// changed, in milliseconds. Daemons that start together join within about a second.
const SETTLE_MS: u64 = 1_000;
/// How long a daemon that refused a cell is not chosen, in milliseconds. It needs about 1 s to read
/// the workers' entries.
const REFUSAL_PAUSE_MS: u64 = 2_000;

/// Interval between two samples of a daemon's own load, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 100;
/// Delay of a sample above which the turn of the event loop before it counts as long, in
/// milliseconds. A refusal should reach its caller within a few milliseconds, and the most urgent
/// tasks take 51 to 60 ms.
const LONG_TURN_MS: u64 = 50;
/// Time over which samples are averaged, in milliseconds. Callers wait 1.5 s.
const AVERAGING_MS: f64 = 1_000.0;
/// Share of long turns above which a daemon is saturated: most of the averaged time.
const MAX_LONG_TURN_SHARE: f64 = 0.5;
/// Share of its CPU time above which a daemon is saturated. Jobs come in bursts, and those wait
/// once the average is above about this.
const MAX_CPU_SHARE: f64 = 0.7;

/// What is known of a daemon that may own cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Share of a core in thousandths, limited by what the daemon's link can carry.
    pub capacity: u64,
    /// Whether the daemon has measured that it has more work than it can carry, which counts as
    /// twice the load.
    pub is_saturated: bool,
}

/// A cell of the zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneCell {
    /// The cell.
    pub cell: Cell,
    /// Address of its owner; `None` if it is unknown or unresponsive.
    pub owner: Option<SocketAddr>,
    /// Whether this daemon holds the cell's partition, and so chooses its owner.
    pub is_held: bool,
}

/// The cells and daemons of this daemon's zone, as they are known here.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Address of this daemon.
    pub own_addr: SocketAddr,
    /// All cells of the zone, in order.
    pub cells: Vec<ZoneCell>,
    /// Responsive daemons of the zone with a known capacity, including this one.
    pub members: BTreeMap<SocketAddr, Member>,
}

/// A move of a cell to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The cell.
    pub cell: Cell,
    /// Address of its present owner.
    pub from: SocketAddr,
    /// Address of its next owner.
    pub to: SocketAddr,
}

/// Load of a daemon: the ratio of cells to capacity. Compared without division.
#[derive(Clone, Copy, Debug)]
struct Load {
    cells: u64,
    capacity: u64,
}

impl Load {
    const fn is_at_most(self, other: Self) -> bool {
        self.cells.saturating_mul(other.capacity) <= other.cells.saturating_mul(self.capacity)
    }

    const fn is_below(self, other: Self) -> bool {
        !other.is_at_most(self)
    }

    const fn doubled_if(self, doubles: bool) -> Self {
        let cells = if doubles { self.cells.saturating_mul(2) } else { self.cells };
        Self { cells, ..self }
    }
}

impl Zone {
    fn cells_of(&self, addr: SocketAddr) -> u64 {
        self.cells.iter().filter(|cell| cell.owner == Some(addr)).count() as u64
    }

    fn load(&self, addr: SocketAddr, more_cells: u64) -> Option<Load> {
        let capacity = self.members.get(&addr)?.capacity;
        Some(Load { cells: self.cells_of(addr) + more_cells, capacity })
    }

    /// Returns the load as it counts, which includes what the daemon has measured.
    fn weighted_load(&self, addr: SocketAddr, more_cells: u64) -> Option<Load> {
        let is_saturated = self.members.get(&addr)?.is_saturated;
        Some(self.load(addr, more_cells)?.doubled_if(is_saturated))
    }

    /// Whether `to` carries one more cell with at most half of the load that `from` has now, also
    /// when its own load counts twice. The cell would then never move back.
    fn is_worthwhile(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let is_half = || {
            let after = self.weighted_load(to, 1)?.doubled_if(true);
            let is_lower = self.load(to, 1)?.is_below(self.load(from, 0)?);
            Some(is_lower && after.is_at_most(self.weighted_load(from, 0)?))
        };
        from != to && is_half().unwrap_or(false)
    }

    /// Returns the candidate that would have the lowest load with one more cell. Among equal
    /// ones, the position of the cell in the zone decides, so that holders that choose at the same
    /// time choose differently: a hash would send three of four cells to one of two daemons in
    /// half of the cases.
    fn least_loaded(
        &self,
        candidates: impl Iterator<Item = SocketAddr>,
        cell: &Cell,
    ) -> Option<SocketAddr> {
        let mut best: Vec<SocketAddr> = Vec::new();
        let mut lowest: Option<Load> = None;
        for addr in candidates {
            let Some(load) = self.weighted_load(addr, 1) else { continue };
            if lowest.is_none_or(|lowest| load.is_below(lowest)) {
                best.clear();
                lowest = Some(load);
            }
            if lowest.is_some_and(|lowest| load.is_at_most(lowest)) {
                best.push(addr);
            }
        }
        let index = self.cells.iter().position(|known| known.cell == *cell).unwrap_or(0);
        let count = best.len().max(1);
        best.get(index % count).copied()
    }
}

/// Decides when a held cell moves to another owner.
#[derive(Clone, Debug)]
pub struct Balance {
    started_at: Millis,
    /// Whether the zone's daemons have been seen with different capacities. Stays set, because the
    /// small daemons of such a zone have to share its cells when the large ones are gone.
    is_uneven: bool,
    reassigned_at: Option<Millis>,
    moved_at: Option<Millis>,
    /// When the owner of each held cell changed last.
    changed_at: HashMap<Cell, Millis>,
    /// When each daemon refused a cell last.
    refused_at: HashMap<SocketAddr, Millis>,
}

impl Balance {
    /// Creates the state of a daemon that has just started.
    pub fn new(started_at: Millis) -> Self {
        Self {
            started_at,
            is_uneven: false,
            reassigned_at: None,
            moved_at: None,
            changed_at: HashMap::new(),
            refused_at: HashMap::new(),
        }
    }

    /// Records the capacities of the zone's daemons.
    pub fn record_capacities(&mut self, mut capacities: impl Iterator<Item = u64>) {
        let Some(first) = capacities.next() else { return };
        self.is_uneven |= capacities.any(|capacity| capacity != first);
    }

    /// Whether cells are distributed by capacity, because the zone's daemons differ.
    pub const fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Records that the store has changed its assignment.
    pub const fn record_assignment(&mut self, now: Millis) {
        self.reassigned_at = Some(now);
    }

    /// Records that a held cell has got another owner.
    pub fn record_change(&mut self, cell: &Cell, now: Millis) {
        self.changed_at.insert(cell.clone(), now);
    }

    /// Records that this daemon has begun to move a cell.
    pub const fn record_move(&mut self, now: Millis) {
        self.moved_at = Some(now);
    }

    /// Records that a daemon refused a cell or did not reply to the offer of one.
    pub fn record_refusal(&mut self, addr: SocketAddr, now: Millis) {
        self.refused_at.insert(addr, now);
    }

    /// Returns the next move of a held cell, or `None` if there is none now. The most loaded owner
    /// gives up its first cell; other holders leave that owner alone, so that an owner gives up
    /// one cell at a time.
    pub fn next_move(&self, zone: &Zone, now: Millis) -> Option<Move> {
        let is_start = now.since(self.started_at) < START_PHASE_MS;
        let interval_ms = if is_start { START_MOVE_INTERVAL_MS } else { MOVE_INTERVAL_MS };
        let has_settled = |at: Option<Millis>, ms| at.is_none_or(|at| now.since(at) >= ms);
        if !self.is_uneven
            || !has_settled(self.moved_at, interval_ms)
            || !has_settled(self.reassigned_at, SETTLE_MS)
        {
            return None;
        }
        let mut best: Option<(Load, Move)> = None;
        for from in zone.members.keys().copied() {
            let Some(first) = zone.cells.iter().find(|cell| cell.owner == Some(from)) else {
                continue;
            };
            let changed_at = self.changed_at.get(&first.cell).copied();
            if !first.is_held || !has_settled(changed_at, SETTLE_MS) {
                continue;
            }
            let is_candidate =
                |to: &SocketAddr| !self.is_refused_by(*to, now) && zone.is_worthwhile(from, *to);
            let candidates = zone.members.keys().copied().filter(is_candidate);
            let Some(to) = zone.least_loaded(candidates, &first.cell) else { continue };
            let Some(load) = zone.weighted_load(from, 0) else { continue };
            if best.as_ref().is_none_or(|(highest, _)| highest.is_below(load)) {
                best = Some((load, Move { cell: first.cell.clone(), from, to }));
            }
        }
        best.map(|(_, best)| best)
    }

    /// Returns the daemon that should own a held cell which has no owner: this one, unless another
    /// one carries the cell with at most half of the load.
    pub fn owner_for(&self, zone: &Zone, cell: &Cell, now: Millis) -> SocketAddr {
        let own_addr = zone.own_addr;
        let Some(own_load) = zone.weighted_load(own_addr, 1).filter(|_| self.is_uneven) else {
            return own_addr;
        };
        let is_candidate = |addr: &SocketAddr| {
            let load = zone.weighted_load(*addr, 1).map(|load| load.doubled_if(true));
            load.is_some_and(|load| load.is_at_most(own_load)) && !self.is_refused_by(*addr, now)
        };
        let candidates = zone.members.keys().copied().filter(is_candidate);
        zone.least_loaded(candidates, cell).unwrap_or(own_addr)
    }

    /// Whether a cell stays with its owner when this daemon becomes the holder of its partition.
    pub fn should_keep(&self, zone: &Zone, owner: SocketAddr) -> bool {
        self.is_uneven
            && zone.members.contains_key(&owner)
            && zone.members.contains_key(&zone.own_addr)
            && !zone.is_worthwhile(owner, zone.own_addr)
    }

    /// Whether this daemon should be prepared to own cells whose partitions it does not hold: the
    /// zone's daemons differ, and it has at least half of the largest capacity.
    pub fn may_be_chosen(&self, zone: &Zone) -> bool {
        let largest = zone.members.values().map(|member| member.capacity).max().unwrap_or(0);
        let own = zone.members.get(&zone.own_addr);
        self.is_uneven && own.is_some_and(|own| own.capacity.saturating_mul(2) >= largest)
    }

    fn is_refused_by(&self, addr: SocketAddr, now: Millis) -> bool {
        self.refused_at.get(&addr).is_some_and(|at| now.since(*at) < REFUSAL_PAUSE_MS)
    }
}

/// Load that a daemon measures of itself.
#[derive(Clone, Debug)]
pub struct MeasuredLoad {
    cpu_millicores: u64,
    long_turn_share: f64,
    cpu_share: f64,
}

impl MeasuredLoad {
    /// Creates the state of a daemon that may use `cpu_millicores` thousandths of a core.
    pub const fn new(cpu_millicores: u64) -> Self {
        Self { cpu_millicores, long_turn_share: 0.0, cpu_share: 0.0 }
    }

    /// Records a sample, `elapsed_ms` after the previous one, of which the process used `cpu_ms` of
    /// CPU time. Samples are due every [`SAMPLE_INTERVAL_MS`] and delayed by long turns. A single
    /// sample weighs at most a quarter, however late it is.
    pub fn record_sample(&mut self, elapsed_ms: u64, cpu_ms: u64) {
        let is_long = elapsed_ms > SAMPLE_INTERVAL_MS + LONG_TURN_MS;
        let available_ms = elapsed_ms as f64 * self.cpu_millicores as f64 / 1_000.0;
        let cpu_share = cpu_ms as f64 / available_ms.max(1.0);
        let weight = (elapsed_ms as f64 / AVERAGING_MS).min(0.25);
        self.long_turn_share += (f64::from(u8::from(is_long)) - self.long_turn_share) * weight;
        self.cpu_share += (cpu_share - self.cpu_share) * weight;
    }

    /// Whether the daemon has more work than it can carry.
    pub fn is_saturated(&self) -> bool {
        self.long_turn_share > MAX_LONG_TURN_SHARE || self.cpu_share > MAX_CPU_SHARE
    }
}
