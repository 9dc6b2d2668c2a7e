//! Follows the catalogue's stream, from its start, a snapshot or a peer.
//!
//! See `docs/design/catalogue.md`.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::catalogue::{CatalogueRecord, Fold};
use crate::clock::Millis;

const RECORDS_PER_SNAPSHOT: u64 = 500;
/// A snapshot is renewed after retention divided by this.
const SNAPSHOT_RETENTION_PARTS: u64 = 4;
const KEPT_TAIL: usize = 256;

/// One record as the log service gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's offset.
    pub offset: u64,
    /// When the log service took it, on its own clock.
    pub at_ms: Millis,
    /// The record.
    pub record: CatalogueRecord,
}

/// Follows the catalogue's stream, from its start, a snapshot or a peer.
#[derive(Debug, Default)]
pub struct Follower {
    fold: Option<Fold>,
    early: Vec<LogRecord>,
    tail: VecDeque<LogRecord>,
    read_to: u64,
    snapshot_offset: u64,
    snapshot_at_ms: Millis,
    early_start: u64,
}

impl Follower {
    /// Gives the catalogue, where there is one yet.
    pub const fn fold(&self) -> Option<&Fold> {
        self.fold.as_ref()
    }

    /// Gives the offset from which to read on.
    pub const fn read_from(&self) -> u64 {
        self.read_to
    }

    /// Takes records that the log service gave, which still keeps those from `first_kept` on.
    pub fn read(&mut self, first_kept: u64, records: Vec<LogRecord>) {
        if self.fold.is_none() && first_kept == 0 && self.read_to == 0 {
            self.fold = Some(Fold::default());
        }
        if first_kept > self.read_to {
            self.early.clear();
            self.early_start = first_kept;
            self.read_to = first_kept;
        }
        for record in records {
            if record.offset >= self.read_to {
                self.read_to = record.offset + 1;
                self.take(record);
            }
        }
    }

    /// Takes a peer's catalogue, where it is further than the own one.
    pub fn adopt(&mut self, fold: Fold) -> bool {
        if self.fold.as_ref().is_some_and(|own| own.next_offset() >= fold.next_offset()) {
            return false;
        }
        if fold.next_offset() > self.read_to {
            self.read_to = fold.next_offset();
            self.early.clear();
            self.early_start = fold.next_offset();
        }
        self.fold = Some(fold);
        self.tail.clear();
        self.apply_early();
        true
    }

    /// Gives the records from `offset` on, where they are all still at hand.
    pub fn tail_from(&self, offset: u64) -> Option<Vec<LogRecord>> {
        let fold = self.fold.as_ref()?;
        let at_hand = self.tail.front().is_some_and(|first| first.offset <= offset);
        if offset < fold.next_offset() && !at_hand {
            return None;
        }
        Some(self.tail.iter().filter(|record| record.offset >= offset).cloned().collect())
    }

    /// Takes records from a peer that has read further.
    pub fn read_from_peer(&mut self, records: Vec<LogRecord>) {
        for record in records {
            let next = self.fold.as_ref().map(Fold::next_offset);
            if next == Some(record.offset) {
                self.read_to = self.read_to.max(record.offset + 1);
                self.apply(record);
            }
        }
    }

    /// Gives the fold to append as a snapshot, where one is due.
    ///
    /// `spread` between 0 and 1 differs by daemon, so that one of them usually comes first.
    pub fn snapshot_due(&self, log_now: Millis, retention_ms: u64, spread: f64) -> Option<&Fold> {
        let fold = self.fold.as_ref()?;
        let records = fold.next_offset().saturating_sub(self.snapshot_offset);
        let age_ms = log_now.since(self.snapshot_at_ms);
        let limit_ms = (retention_ms / SNAPSHOT_RETENTION_PARTS) as f64 * (1.0 + spread);
        let limit_records = RECORDS_PER_SNAPSHOT as f64 * (1.0 + spread);
        let aged = age_ms as f64 > limit_ms && fold.next_offset() > 0;
        (aged || records as f64 > limit_records).then_some(fold)
    }

    fn take(&mut self, record: LogRecord) {
        if let CatalogueRecord::Snapshot(snapshot) = &record.record {
            self.snapshot_offset = record.offset;
            self.snapshot_at_ms = record.at_ms;
            let whole = snapshot.next_offset() >= self.early_start;
            let behind = self.fold.as_ref().is_none_or(|own| own.next_offset() < record.offset);
            if behind && whole && self.is_newer(snapshot) {
                self.tail.clear();
                self.fold = Some((**snapshot).clone());
                self.apply_early();
            }
        }
        let next = self.fold.as_ref().map(Fold::next_offset);
        if next == Some(record.offset) {
            self.apply(record);
        } else if next.is_none_or(|next| record.offset > next) {
            self.early.push(record);
        }
    }

    fn is_newer(&self, snapshot: &Fold) -> bool {
        self.fold.as_ref().is_none_or(|own| own.next_offset() < snapshot.next_offset())
    }

    fn apply_early(&mut self) {
        for record in std::mem::take(&mut self.early) {
            let next = self.fold.as_ref().map_or(0, Fold::next_offset);
            if record.offset == next {
                self.apply(record);
            } else if record.offset > next {
                self.early.push(record);
            }
        }
    }

    fn apply(&mut self, record: LogRecord) {
        let Some(fold) = self.fold.as_mut() else {
            return;
        };
        fold.apply(record.offset, record.at_ms, &record.record);
        self.tail.push_back(record);
        while self.tail.len() > KEPT_TAIL {
            self.tail.pop_front();
        }
    }
}
