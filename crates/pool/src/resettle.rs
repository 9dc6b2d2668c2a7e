//! Ownership of cells after the store was out of reach.
//!
//! When a zone is cut off or the store is down, memberships lapse although every daemon still runs
//! its cells. As the daemons rejoin one after another, the store assigns all partitions to whoever
//! comes first and reassigns them with each further daemon. If the cells followed, every one of
//! them would change hands several times within half a second, to daemons that know no workers yet.
//! A daemon whose membership lapsed therefore keeps its cells until the assignment has settled, and
//! a daemon that is assigned a cell first asks the last known owner to release it. A worker that
//! refuses an order as fenced still ends the ownership at once.

use dispatch::clock::Millis;

use crate::tokens::generation_of;

/// How long cells are kept after the membership was regained, in milliseconds. Entries of workers
/// that lapsed with the store are published again within about 2 s, and a new owner needs them.
pub const KEEP_MS: u64 = 2_500;
/// How long after [`KEEP_MS`] a cell is still served while its next owner has not asked for it, in
/// milliseconds. Covers the time between the first and the last daemon to rejoin.
const RELEASE_MARGIN_MS: u64 = 1_000;

/// Tracks whether this daemon's membership lapsed while the process itself kept running.
#[derive(Clone, Debug)]
pub struct Resettlement {
    ttl_ms: u64,
    renewed_at: Option<Millis>,
    stalled_at: Option<Millis>,
    returned_at: Option<Millis>,
}

impl Resettlement {
    /// Creates the state of a daemon that has not joined yet. `ttl_ms` is the time after which a
    /// membership lapses without a renewal, in milliseconds.
    pub const fn new(ttl_ms: u64) -> Self {
        Self { ttl_ms, renewed_at: None, stalled_at: None, returned_at: None }
    }

    /// Records that the process did not run for a while until `now`. Others may have acted for it
    /// meanwhile, so a lapse that includes a stall does not entitle it to keep its cells.
    pub const fn record_stall(&mut self, now: Millis) {
        self.stalled_at = Some(now);
    }

    /// Records a renewal of the membership that was sent at `sent_at` and answered at `now`.
    /// Returns until when the cells owned now are kept if the membership had lapsed, and `None` if
    /// the assignment applies at once.
    pub fn record_renewal(&mut self, sent_at: Millis, now: Millis) -> Option<Millis> {
        let renewed_at = self.renewed_at.replace(sent_at)?;
        let has_stalled = self.stalled_at.is_some_and(|at| at >= renewed_at);
        if now.since(renewed_at) <= self.ttl_ms || has_stalled {
            return None;
        }
        self.returned_at = Some(now);
        Some(now.plus(KEEP_MS + RELEASE_MARGIN_MS))
    }

    /// Whether the membership still lasts at `now`, according to the latest renewal. A process that
    /// was paused after a renewal must not take a cell on an assignment that has run out meanwhile.
    pub fn is_member(&self, now: Millis) -> bool {
        self.renewed_at.is_some_and(|at| now.since(at) < self.ttl_ms)
    }

    /// Whether the assignment has not settled yet since the membership was regained.
    pub fn is_settling(&self, now: Millis) -> bool {
        self.returned_at.is_some_and(|at| now.since(at) < KEEP_MS)
    }
}

/// What decides whether an owner releases a cell when another daemon asks for it.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseDecision {
    /// Generation of the assignment that gave the cell to the other daemon.
    pub generation: u64,
    /// Fencing token of this daemon's ownership.
    pub token: u64,
    /// Generation with which the store last confirmed the cell to this daemon; `None` if the latest
    /// assignment lacks it.
    pub confirmed: Option<u64>,
    /// Whether the assignment of one of the two daemons has not settled yet.
    pub is_settling: bool,
}

impl ReleaseDecision {
    /// Whether to release the cell: the request is based on a later assignment than this
    /// ownership, and it has settled.
    pub fn is_granted(self) -> bool {
        let is_later = self.generation > generation_of(self.token)
            && self.confirmed.is_none_or(|confirmed| self.generation > confirmed);
        is_later && !self.is_settling
    }
}
