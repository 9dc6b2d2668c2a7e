//! Replication of the catalogue from its stream in the log service and from peers.
//!
//! See `docs/design/catalogue.md`.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::catalogue::{CatalogueRecord, CatalogueState};
use crate::clock::Millis;

const RECORDS_PER_SNAPSHOT: u64 = 500;
/// A new snapshot is due when the last one is older than the log's retention divided by this.
const SNAPSHOT_RETENTION_DIVISOR: u64 = 4;
const MAX_RECENT_RECORDS: usize = 256;

/// One record of the catalogue's stream as read from the log service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record in the stream.
    pub offset: u64,
    /// Time at which the log service appended the record, on its own clock.
    pub at_ms: Millis,
    /// Content of the record.
    pub record: CatalogueRecord,
}

/// Maintains the catalogue's state by following its stream, starting from the stream's first
/// record, a snapshot or the state of a peer.
#[derive(Debug, Default)]
pub struct Follower {
    state: Option<CatalogueState>,
    pending: Vec<LogRecord>,
    recent: VecDeque<LogRecord>,
    next_read_offset: u64,
    snapshot_offset: u64,
    snapshot_at_ms: Millis,
    pending_start: u64,
}

impl Follower {
    /// Returns the catalogue's state; `None` until there is a starting point.
    pub const fn state(&self) -> Option<&CatalogueState> {
        self.state.as_ref()
    }

    /// Returns the offset of the next record to read from the log service.
    pub const fn next_read_offset(&self) -> u64 {
        self.next_read_offset
    }

    /// Processes records read from the log service, whose oldest retained offset is `first_kept`.
    pub fn ingest(&mut self, first_kept: u64, records: Vec<LogRecord>) {
        if self.state.is_none() && first_kept == 0 && self.next_read_offset == 0 {
            self.state = Some(CatalogueState::default());
        }
        if first_kept > self.next_read_offset {
            self.pending.clear();
            self.pending_start = first_kept;
            self.next_read_offset = first_kept;
        }
        for record in records {
            if record.offset >= self.next_read_offset {
                self.next_read_offset = record.offset + 1;
                self.process(record);
            }
        }
    }

    /// Replaces the state by a peer's if that is newer, and returns whether it was replaced.
    pub fn install_state(&mut self, state: CatalogueState) -> bool {
        if self.state.as_ref().is_some_and(|own| own.next_offset() >= state.next_offset()) {
            return false;
        }
        if state.next_offset() > self.next_read_offset {
            self.next_read_offset = state.next_offset();
            self.pending.clear();
            self.pending_start = state.next_offset();
        }
        self.state = Some(state);
        self.recent.clear();
        self.apply_pending();
        true
    }

    /// Returns the applied records from `offset` on; `None` if some of them are no longer kept or
    /// there is no state yet.
    pub fn records_from(&self, offset: u64) -> Option<Vec<LogRecord>> {
        let state = self.state.as_ref()?;
        let is_kept = self.recent.front().is_some_and(|first| first.offset <= offset);
        if offset < state.next_offset() && !is_kept {
            return None;
        }
        Some(self.recent.iter().filter(|record| record.offset >= offset).cloned().collect())
    }

    /// Applies records from a peer that has read further; records that do not follow directly on
    /// the state are ignored.
    pub fn ingest_from_peer(&mut self, records: Vec<LogRecord>) {
        for record in records {
            let next = self.state.as_ref().map(CatalogueState::next_offset);
            if next == Some(record.offset) {
                self.next_read_offset = self.next_read_offset.max(record.offset + 1);
                self.apply(record);
            }
        }
    }

    /// Returns the state to append as a snapshot, if one is due.
    ///
    /// `spread`, between 0 and 1, delays the snapshot and differs by daemon, so that usually only
    /// one daemon appends it.
    pub fn snapshot_due(
        &self,
        log_now: Millis,
        retention_ms: u64,
        spread: f64,
    ) -> Option<&CatalogueState> {
        let state = self.state.as_ref()?;
        let records = state.next_offset().saturating_sub(self.snapshot_offset);
        let age_ms = log_now.since(self.snapshot_at_ms);
        let limit_ms = (retention_ms / SNAPSHOT_RETENTION_DIVISOR) as f64 * (1.0 + spread);
        let limit_records = RECORDS_PER_SNAPSHOT as f64 * (1.0 + spread);
        let aged = age_ms as f64 > limit_ms && state.next_offset() > 0;
        (aged || records as f64 > limit_records).then_some(state)
    }

    fn process(&mut self, record: LogRecord) {
        if let CatalogueRecord::Snapshot(snapshot) = &record.record {
            self.snapshot_offset = record.offset;
            self.snapshot_at_ms = record.at_ms;
            let is_contiguous = snapshot.next_offset() >= self.pending_start;
            let behind = self.state.as_ref().is_none_or(|own| own.next_offset() < record.offset);
            if behind && is_contiguous && self.is_newer(snapshot) {
                self.recent.clear();
                self.state = Some((**snapshot).clone());
                self.apply_pending();
            }
        }
        let next = self.state.as_ref().map(CatalogueState::next_offset);
        if next == Some(record.offset) {
            self.apply(record);
        } else if next.is_none_or(|next| record.offset > next) {
            self.pending.push(record);
        }
    }

    fn is_newer(&self, snapshot: &CatalogueState) -> bool {
        self.state.as_ref().is_none_or(|own| own.next_offset() < snapshot.next_offset())
    }

    fn apply_pending(&mut self) {
        for record in std::mem::take(&mut self.pending) {
            let next = self.state.as_ref().map_or(0, CatalogueState::next_offset);
            if record.offset == next {
                self.apply(record);
            } else if record.offset > next {
                self.pending.push(record);
            }
        }
    }

    fn apply(&mut self, record: LogRecord) {
        let Some(state) = self.state.as_mut() else {
            return;
        };
        state.apply(record.offset, record.at_ms, &record.record);
        self.recent.push_back(record);
        while self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
    }
}
