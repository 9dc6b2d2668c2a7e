//! The journal of starts in the log service, and the claims of keys that came without a ticket.
//!
//! The order of the log's records decides: whichever of "start" and "void" comes first for a
//! ticket determines whether it may have started, and the first claim of a key maps it to its
//! ticket. See `docs/design/journal.md`.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ticket::Incarnation;

/// One record in the journal of a home, the daemon process that may start its tickets' tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalRecord {
    /// Written by the home before it starts the jobs of these tickets.
    Start {
        /// Sequence numbers of the tickets.
        seqs: Vec<u64>,
        /// Time of the start on the home's clock.
        home_ms: Millis,
    },
    /// Written by any daemon to prevent the ticket with this sequence number from ever starting.
    Void(u64),
}

/// The kind of a ticket's first journal record, which takes precedence over later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstRecord {
    /// The first record is a start: the job may have started.
    Started,
    /// The first record is a void: the job has not started and never will.
    Voided,
}

/// The state of one home's journal, computed from its records.
#[derive(Clone, Debug, Default)]
pub struct JournalState {
    first_records: BTreeMap<u64, FirstRecord>,
    next_offset: u64,
    earliest_home_ms: Option<Millis>,
}

impl JournalState {
    /// Applies the record at `offset`; a record that was applied before is ignored.
    pub fn apply(&mut self, offset: u64, record: &JournalRecord) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            JournalRecord::Start { seqs, home_ms } => {
                self.earliest_home_ms.get_or_insert(*home_ms);
                for seq in seqs {
                    self.first_records.entry(*seq).or_insert(FirstRecord::Started);
                }
            }
            JournalRecord::Void(seq) => {
                self.first_records.entry(*seq).or_insert(FirstRecord::Voided);
            }
        }
    }

    /// Returns the kind of the ticket's first record; `None` if there is no record.
    pub fn first_record(&self, seq: u64) -> Option<FirstRecord> {
        self.first_records.get(&seq).copied()
    }

    /// Returns whether the log still holds every start record of a ticket issued at `issued_ms`.
    ///
    /// This is so if the log has dropped no record (`first_kept` is 0), or if it still holds a
    /// start record from before the ticket was issued, as records are dropped oldest first.
    pub fn is_complete_since(&self, issued_ms: Millis, first_kept: u64) -> bool {
        let earlier = self.earliest_home_ms.is_some_and(|home_ms| home_ms <= issued_ms);
        first_kept == 0 || earlier
    }

    /// Returns the offset of the next record to read.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Discards all start records, once the home has processed them. They are not needed again, as
    /// the home never journals a ticket that it has marked as used.
    pub fn discard_starts(&mut self) {
        self.first_records.retain(|_, first_record| *first_record == FirstRecord::Voided);
    }
}

/// Returns the name of the stream that holds the journal of a home.
pub fn journal_stream(incarnation: Incarnation) -> String {
    format!("journal-{incarnation}")
}

/// The name of the stream that holds all claims of keys that came without a ticket.
pub const CLAIMS_STREAM: &str = "claims";

/// The hash of a key that came without a ticket, together with the key's owner.
pub type KeyHash = [u8; 16];

/// One record of the claims stream: a batch of claims that were appended together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Hash of each key with the ticket under which the claiming daemon would run its job.
    pub claims: Vec<(KeyHash, String)>,
}

/// The state of the claims stream: the first claim of each key.
#[derive(Clone, Debug, Default)]
pub struct ClaimState {
    winners: HashMap<KeyHash, String>,
    order: VecDeque<(Millis, KeyHash)>,
    next_offset: u64,
}

impl ClaimState {
    /// Applies the record at `offset`, appended at `at` on the log service's clock; a record that
    /// was applied before is ignored.
    pub fn apply(&mut self, offset: u64, at: Millis, record: ClaimRecord) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        for (key, ticket) in record.claims {
            if let Entry::Vacant(vacant) = self.winners.entry(key) {
                vacant.insert(ticket);
                self.order.push_back((at, key));
            }
        }
    }

    /// Returns the ticket of the first claim of a key; `None` if no claim is held.
    pub fn winner(&self, key: &KeyHash) -> Option<&str> {
        self.winners.get(key).map(String::as_str)
    }

    /// Returns the offset of the next record to read.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Discards claims that were appended before `oldest` on the log service's clock.
    pub fn discard_before(&mut self, oldest: Millis) {
        while let Some((at, key)) = self.order.front().copied() {
            if at >= oldest {
                break;
            }
            self.order.pop_front();
            self.winners.remove(&key);
        }
    }

    /// Returns the number of keys with a claim.
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Returns whether no key has a claim.
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }
}

/// Maximum allowed difference between the clocks of callers and of the log service.
pub const MAX_KEY_SKEW_MS: u64 = 60_000;

/// Returns whether the log still holds every claim that a key of this age can have.
///
/// `key_ms` is the time written in the key by the caller, `log_now_ms` the current time of the log
/// service. Keys that are ahead of the log service by more than the allowed skew are rejected too.
pub const fn is_key_within_retention(key_ms: u64, log_now_ms: u64, retention_ms: u64) -> bool {
    let not_ahead = key_ms <= log_now_ms + MAX_KEY_SKEW_MS;
    let usable_ms = retention_ms.saturating_sub(2 * MAX_KEY_SKEW_MS);
    not_ahead && log_now_ms < key_ms.saturating_add(usable_ms)
}

/// Batches items into appends, spaced so that the whole fleet stays within the log's append rate.
#[derive(Clone, Debug)]
pub struct AppendBatcher<T> {
    waiting: Vec<T>,
    in_flight: bool,
    not_before: Millis,
}

impl<T> Default for AppendBatcher<T> {
    fn default() -> Self {
        Self { waiting: Vec::new(), in_flight: false, not_before: Millis(0) }
    }
}

/// Appends per second that the whole fleet may make for the journal and the claims.
const MAX_FLEET_APPENDS_PER_S: u64 = 200;
/// Maximum number of items in one append.
const MAX_BATCH_ITEMS: usize = 512;

impl<T> AppendBatcher<T> {
    /// Queues an item for the next append.
    pub fn push(&mut self, item: T) {
        self.waiting.push(item);
    }

    /// Removes and returns the items of the next append; `None` if nothing is queued, an append is
    /// in flight or the interval for a fleet of this many `daemons` has not passed.
    pub fn next_batch(&mut self, daemons: usize, now: Millis) -> Option<Vec<T>> {
        if self.in_flight || self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        self.in_flight = true;
        self.not_before = now.plus(1_000 * daemons.max(1) as u64 / MAX_FLEET_APPENDS_PER_S);
        let count = self.waiting.len().min(MAX_BATCH_ITEMS);
        Some(self.waiting.drain(..count).collect())
    }

    /// Marks the append in flight as finished, so that the next one may be sent.
    pub const fn finish_append(&mut self) {
        self.in_flight = false;
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::{AppendBatcher, ClaimRecord, ClaimState, FirstRecord, JournalRecord, JournalState};
    use super::{MAX_KEY_SKEW_MS, is_key_within_retention};
    use crate::clock::Millis;

    fn start(seqs: Vec<u64>) -> JournalRecord {
        JournalRecord::Start { seqs, home_ms: Millis(50) }
    }

    #[test]
    fn a_truncated_journal_is_incomplete_for_older_tickets() {
        let mut state = JournalState::default();
        state.apply(7, &start(vec![3]));
        assert!(state.is_complete_since(Millis(50), 7));
        assert!(!state.is_complete_since(Millis(49), 7));
        assert!(state.is_complete_since(Millis(49), 0));
    }

    #[test]
    fn the_first_record_of_a_ticket_takes_precedence() {
        let mut state = JournalState::default();
        state.apply(0, &start(vec![1, 2]));
        state.apply(1, &JournalRecord::Void(2));
        state.apply(2, &JournalRecord::Void(3));
        state.apply(3, &start(vec![3]));
        state.apply(1, &JournalRecord::Void(9));
        assert_eq!(state.first_record(2), Some(FirstRecord::Started));
        assert_eq!(state.first_record(3), Some(FirstRecord::Voided));
        assert_eq!(state.first_record(9), None);
    }

    #[test]
    fn the_first_claim_wins() {
        let mut state = ClaimState::default();
        let key = [7; 16];
        state.apply(0, Millis(5), ClaimRecord { claims: vec![(key, "a".into())] });
        state.apply(1, Millis(6), ClaimRecord { claims: vec![(key, "b".into())] });
        assert_eq!(state.winner(&key), Some("a"));
        state.discard_before(Millis(6));
        assert_eq!(state.winner(&key), None);
    }

    #[test]
    fn a_key_is_refused_before_its_claim_can_have_been_dropped_from_the_log() {
        let retention_ms = 600_000;
        let key_ms = 1_000_000;
        let earliest_claim_ms = key_ms - MAX_KEY_SKEW_MS;
        assert!(is_key_within_retention(key_ms, earliest_claim_ms, retention_ms));
        assert!(!is_key_within_retention(key_ms, earliest_claim_ms - 1, retention_ms));
        let dropped_at_ms = earliest_claim_ms + retention_ms;
        assert!(!is_key_within_retention(key_ms, dropped_at_ms, retention_ms));
    }

    #[test]
    fn appends_are_spaced_by_the_number_of_daemons() {
        let mut batcher = AppendBatcher::default();
        batcher.push(1);
        assert_eq!(batcher.next_batch(48, Millis(1_000)), Some(vec![1]));
        batcher.push(2);
        assert_eq!(batcher.next_batch(48, Millis(2_000)), None);
        batcher.finish_append();
        assert_eq!(batcher.next_batch(48, Millis(1_239)), None);
        assert_eq!(batcher.next_batch(48, Millis(1_240)), Some(vec![2]));
    }
}
