//! The daemon that owns each cell, as far as the store and other daemons told.
//!
//! The store names the holder of a partition as it was dealt, which may be before the daemon there
//! knows of it, and names nobody while partitions are dealt anew. The owner that was known goes on
//! meanwhile, so that it stays known here.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dispatch::clock::Millis;

use crate::cells::Cell;

/// How long an owner is still asked after the store was first seen not to name it, in milliseconds:
/// a little over the time that an ownership lasts without renewal.
const UNNAMED_OWNER_MS: u64 = 1_500;

/// The daemon that owns a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Where it takes links.
    pub addr: SocketAddr,
    /// The fencing token that it told; zero where only the store named it.
    pub token: u64,
    /// When it was named last.
    pub at: Millis,
    /// When the store was first seen not to name it any more.
    pub unnamed_since: Option<Millis>,
}

/// The owner of each cell.
#[derive(Clone, Debug)]
pub struct Owners {
    own_addr: SocketAddr,
    cells: BTreeMap<Cell, Owner>,
}

impl Owners {
    /// Builds the table of the daemon with an address; it names nobody.
    pub const fn new(own_addr: SocketAddr) -> Self {
        Self { own_addr, cells: BTreeMap::new() }
    }

    /// Tells whether any owner is known.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Gives the owner of a cell, where it is another daemon.
    pub fn other(&self, cell: &Cell) -> Option<SocketAddr> {
        let addr = self.cells.get(cell)?.addr;
        (addr != self.own_addr).then_some(addr)
    }

    /// Gives all owners.
    pub fn iter(&self) -> impl Iterator<Item = (&Cell, &Owner)> {
        self.cells.iter()
    }

    /// Takes in what a daemon says, unless a later owner is known. Tells whether it is taken.
    pub fn note(&mut self, cell: &Cell, addr: SocketAddr, token: u64, now: Millis) -> bool {
        if self.cells.get(cell).is_some_and(|known| known.token > token) {
            return false;
        }
        self.cells.insert(cell.clone(), Owner { addr, token, at: now, unnamed_since: None });
        true
    }

    /// Forgets the owner of a cell.
    pub fn remove(&mut self, cell: &Cell) {
        self.cells.remove(cell);
    }

    /// Takes in whom the store names for each cell. A row that names this daemon for a cell that it
    /// does not own yet names nobody.
    pub fn take_rows(
        &mut self,
        rows: impl Iterator<Item = (Cell, SocketAddr)>,
        owns: impl Fn(&Cell) -> bool,
        now: Millis,
    ) {
        let is_owner = |(cell, addr): &(Cell, SocketAddr)| *addr != self.own_addr || owns(cell);
        let mut named = BTreeMap::new();
        for (cell, addr) in rows.filter(is_owner) {
            let told = self.cells.get(&cell).filter(|told| told.addr == addr);
            let token = told.map_or(0, |told| told.token);
            named.insert(cell, Owner { addr, token, at: now, unnamed_since: None });
        }
        for (cell, known) in &self.cells {
            let since = known.unnamed_since.unwrap_or(now);
            if now.since(since) < UNNAMED_OWNER_MS {
                let kept = Owner { unnamed_since: Some(since), ..*known };
                named.entry(cell.clone()).or_insert(kept);
            }
        }
        self.cells = named;
    }

    /// Tells whether each cell's owner was named since a time.
    pub fn are_named_since(&self, cells: &[Cell], since: Millis) -> bool {
        let is_named = |cell| self.cells.get(cell).is_some_and(|owner: &Owner| owner.at >= since);
        cells.iter().all(is_named)
    }
}
