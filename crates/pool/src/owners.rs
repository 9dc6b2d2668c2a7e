//! Table of the daemon that owns each cell, from rows of the store and announcements of daemons.
//!
//! The store lists the holder of a partition as soon as the partition is assigned, which can be
//! before that daemon owns the cell, and lists no holder during a rebalance. Since the last known
//! owner keeps serving the cell meanwhile, it stays in the table for a grace period. For the same
//! reason, an owner that announced itself is remembered when the store lists another daemon, in case
//! that one does not own the cell yet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dispatch::clock::Millis;

use crate::cells::Cell;

/// How long an owner is kept after a read of the store first lacked it, in milliseconds. Slightly
/// longer than an ownership lasts without renewal.
const UNLISTED_OWNER_GRACE_MS: u64 = 1_500;

/// A daemon that may own a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Address on which the daemon accepts connections from other daemons.
    pub addr: SocketAddr,
    /// Fencing token of the ownership as announced by a daemon; zero if only the store lists it.
    pub token: u64,
    /// Address of the holder that chose the daemon as the owner; `None` if it owns the cell for
    /// another reason, or if its announcement does not state the holder.
    pub holder: Option<SocketAddr>,
}

impl Claim {
    const fn of_listed(addr: SocketAddr) -> Self {
        Self { addr, token: 0, holder: None }
    }
}

/// Last known owner of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The owner.
    pub claim: Claim,
    /// Whether the owner has denied the cell since it was recorded, and no other one is known.
    pub is_denied: bool,
    /// When the store or a daemon last confirmed the owner.
    pub confirmed_at: Millis,
    /// When a read of the store first lacked the owner; `None` if it is confirmed.
    pub unlisted_since: Option<Millis>,
    /// The owner that announced itself before the store listed this one. With the token zero, the
    /// holder of the partition that the store lists in place of this owner.
    pub displaced: Option<Claim>,
}

/// The last known owner of each cell.
#[derive(Clone, Debug)]
pub struct Owners {
    own_addr: SocketAddr,
    cells: BTreeMap<Cell, Owner>,
}

impl Owners {
    /// Creates an empty table for the daemon with the address `own_addr`.
    pub const fn new(own_addr: SocketAddr) -> Self {
        Self { own_addr, cells: BTreeMap::new() }
    }

    /// Whether no owner is known.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Returns the address of a cell's owner, or `None` if it is unknown or this daemon.
    pub fn remote_owner(&self, cell: &Cell) -> Option<SocketAddr> {
        let addr = self.cells.get(cell)?.claim.addr;
        (addr != self.own_addr).then_some(addr)
    }

    /// Returns the address of the daemon that the store lists for a cell in place of its owner, or
    /// `None` if there is none or it is this daemon.
    pub fn listed_holder(&self, cell: &Cell) -> Option<SocketAddr> {
        let listed = self.cells.get(cell)?.displaced.filter(|claim| claim.token == 0)?;
        (listed.addr != self.own_addr).then_some(listed.addr)
    }

    /// Returns the fencing token with which a cell's owner announced itself, or zero.
    pub fn token(&self, cell: &Cell) -> u64 {
        self.cells.get(cell).map_or(0, |owner| owner.claim.token)
    }

    /// Iterates over all known owners in order of cell.
    pub fn iter(&self) -> impl Iterator<Item = (&Cell, &Owner)> {
        self.cells.iter()
    }

    /// Records an owner that a daemon announced or that this daemon chose, unless an owner with a
    /// higher fencing token is known that has not denied the cell: a holder that has restarted may
    /// issue lower tokens than before. Returns whether the owner was recorded.
    pub fn record(&mut self, cell: &Cell, claim: Claim, now: Millis) -> bool {
        let known = self.cells.get(cell);
        if known.is_some_and(|known| known.claim.token > claim.token && !known.is_denied) {
            return false;
        }
        let known = known.map(|known| known.claim);
        // Daemons of a version that does not state the holder repeat what others announced.
        let same = known.filter(|known| known.addr == claim.addr && known.token == claim.token);
        let holder = claim.holder.or(same.and_then(|known| known.holder));
        let claim = Claim { holder, ..claim };
        let owner = Owner {
            claim,
            is_denied: false,
            confirmed_at: now,
            unlisted_since: None,
            displaced: None,
        };
        self.cells.insert(cell.clone(), owner);
        true
    }

    /// Records that a daemon does not own a cell although it is listed as the owner. The owner that
    /// it displaced, if any, takes its place. An owner that the holder chose is kept beside the
    /// holder, in case the holder still denies the cell, and in its place if the holder is this
    /// daemon.
    pub fn reject(&mut self, cell: &Cell, addr: SocketAddr) {
        let own_addr = self.own_addr;
        let Some(owner) = self.cells.get_mut(cell).filter(|owner| owner.claim.addr == addr) else {
            return;
        };
        if let Some(next) = owner.displaced.filter(|next| next.addr != own_addr) {
            owner.displaced = (next.token == 0).then_some(owner.claim);
            owner.claim = next;
        } else {
            owner.is_denied = true;
        }
    }

    /// Removes the owner of a cell from the table.
    pub fn remove(&mut self, cell: &Cell) {
        self.cells.remove(cell);
    }

    /// Replaces the table by the owners that the store lists, keeping owners that it lacks for the
    /// grace period. A row that lists this daemon for a cell that it does not own yet is ignored,
    /// unless it confirms an owner that this daemon chose.
    pub fn apply_store_rows(
        &mut self,
        rows: impl Iterator<Item = (Cell, SocketAddr)>,
        owns: impl Fn(&Cell) -> bool,
        now: Millis,
    ) {
        let mut listed = BTreeMap::new();
        for (cell, addr) in rows {
            if let Some(chosen) = self.chosen_owner(&cell, addr) {
                let displaced = Some(Claim::of_listed(addr));
                let owner = Owner { confirmed_at: now, unlisted_since: None, displaced, ..*chosen };
                listed.insert(cell, owner);
                continue;
            }
            if addr == self.own_addr && !owns(&cell) {
                continue;
            }
            let claim = Claim::of_listed(addr);
            let (claim, is_denied, displaced) = match self.cells.get(&cell) {
                Some(known) if known.claim.addr == addr => {
                    (Claim { holder: None, ..known.claim }, known.is_denied, known.displaced)
                }
                Some(known) if known.claim.token > 0 => (claim, false, Some(known.claim)),
                _ => (claim, false, None),
            };
            let owner =
                Owner { claim, is_denied, confirmed_at: now, unlisted_since: None, displaced };
            listed.insert(cell, owner);
        }
        for (cell, known) in &self.cells {
            let since = known.unlisted_since.unwrap_or(now);
            if now.since(since) < UNLISTED_OWNER_GRACE_MS {
                let kept = Owner { unlisted_since: Some(since), ..*known };
                listed.entry(cell.clone()).or_insert(kept);
            }
        }
        self.cells = listed;
    }

    /// Returns the known owner of a cell if a holder chose it and the store lists another daemon.
    fn chosen_owner(&self, cell: &Cell, listed: SocketAddr) -> Option<&Owner> {
        let known = self.cells.get(cell)?;
        let Claim { addr, holder, .. } = known.claim;
        (addr != listed && addr != self.own_addr && holder.is_some()).then_some(known)
    }

    /// Whether the owner of each of `cells` was confirmed at `since` or later.
    pub fn are_confirmed_since(&self, cells: &[Cell], since: Millis) -> bool {
        let is_confirmed =
            |cell| self.cells.get(cell).is_some_and(|owner: &Owner| owner.confirmed_at >= since);
        cells.iter().all(is_confirmed)
    }
}
