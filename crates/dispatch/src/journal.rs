//! Starts journalled in the log service, and claims of bare keys.
//!
//! The log's order is the arbiter: whichever of "start" and "void" stands first for a
//! ticket decides, and the first claim of a key wins. See `docs/design/journal.md`.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ticket::Incarnation;

/// One record of a home's journal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalRecord {
    /// The home is about to start these tickets.
    Start {
        /// The tickets' sequence numbers.
        seqs: Vec<u64>,
        /// The home's clock.
        home_ms: Millis,
    },
    /// A daemon asks that this ticket never start.
    Void(u64),
}

/// What the journal says of one ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalMark {
    /// A start stands first: the work may have started.
    Started,
    /// A void stands first: the work never started and never will.
    Voided,
}

/// The fold of one home's journal.
#[derive(Clone, Debug, Default)]
pub struct JournalFold {
    marks: BTreeMap<u64, JournalMark>,
    next_offset: u64,
    earliest_home_ms: Option<Millis>,
}

impl JournalFold {
    /// Applies the record at `offset`; a record seen before changes nothing.
    pub fn apply(&mut self, offset: u64, record: &JournalRecord) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            JournalRecord::Start { seqs, home_ms } => {
                self.earliest_home_ms.get_or_insert(*home_ms);
                for seq in seqs {
                    self.marks.entry(*seq).or_insert(JournalMark::Started);
                }
            }
            JournalRecord::Void(seq) => {
                self.marks.entry(*seq).or_insert(JournalMark::Voided);
            }
        }
    }

    /// Tells what stands first for a ticket.
    pub fn mark(&self, seq: u64) -> Option<JournalMark> {
        self.marks.get(&seq).copied()
    }

    /// Tells whether every start of a ticket issued at `issued_ms` is still in the log.
    ///
    /// A record from before the ticket's issue that is kept shows that later ones are.
    pub fn is_whole_since(&self, issued_ms: Millis, first_kept: u64) -> bool {
        let earlier = self.earliest_home_ms.is_some_and(|home_ms| home_ms <= issued_ms);
        first_kept == 0 || earlier
    }

    /// Gives the offset of the next record to read.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Forgets every start: the home has taken note, and never journals a burnt ticket again.
    pub fn forget_starts(&mut self) {
        self.marks.retain(|_, mark| *mark == JournalMark::Voided);
    }
}

/// Names the stream of a home's journal.
pub fn journal_stream(incarnation: Incarnation) -> String {
    format!("journal-{incarnation}")
}

/// The stream of all claims of bare keys.
pub const CLAIMS_STREAM: &str = "claims";

/// The hash of a bare key together with its owner.
pub type KeyHash = [u8; 16];

/// Claims appended together: each key's hash with the ticket that would run it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Keys and tickets.
    pub claims: Vec<(KeyHash, String)>,
}

/// The fold of the claims stream: the first claim of each key.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    winners: HashMap<KeyHash, String>,
    order: VecDeque<(Millis, KeyHash)>,
    next_offset: u64,
}

impl ClaimFold {
    /// Applies the record at `offset`, appended at `at` on the log service's clock.
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

    /// Gives the ticket that won a key.
    pub fn winner(&self, key: &KeyHash) -> Option<&str> {
        self.winners.get(key).map(String::as_str)
    }

    /// Gives the offset of the next record to read.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Forgets claims older than `oldest` on the log service's clock.
    pub fn forget_before(&mut self, oldest: Millis) {
        while let Some((at, key)) = self.order.front().copied() {
            if at >= oldest {
                break;
            }
            self.order.pop_front();
            self.winners.remove(&key);
        }
    }

    /// Gives the number of keys held.
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Tells whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }
}

/// How far the clocks of callers and of the log service may lie apart.
pub const KEY_SKEW_MS: u64 = 60_000;

/// Tells whether the log still holds every claim that a key of this age can have.
///
/// `key_ms` is the time written in the key, `log_now_ms` the log service's time now.
pub const fn key_in_time(key_ms: u64, log_now_ms: u64, retention_ms: u64) -> bool {
    let not_ahead = key_ms <= log_now_ms + KEY_SKEW_MS;
    let usable_ms = retention_ms.saturating_sub(2 * KEY_SKEW_MS);
    not_ahead && log_now_ms < key_ms.saturating_add(usable_ms)
}

/// Groups items into few appends, so that the fleet stays within the log's rate.
#[derive(Clone, Debug)]
pub struct Grouping<T> {
    waiting: Vec<T>,
    in_flight: bool,
    not_before: Millis,
}

impl<T> Default for Grouping<T> {
    fn default() -> Self {
        Self { waiting: Vec::new(), in_flight: false, not_before: Millis(0) }
    }
}

/// Appends a second that the whole fleet may use for journal and claims.
const FLEET_APPENDS_PER_S: u64 = 200;
/// The most items in one append.
const MOST_GROUPED: usize = 512;

impl<T> Grouping<T> {
    /// Adds an item to the next append.
    pub fn push(&mut self, item: T) {
        self.waiting.push(item);
    }

    /// Takes the items of the next append where one may go out now.
    pub fn next(&mut self, daemons: usize, now: Millis) -> Option<Vec<T>> {
        if self.in_flight || self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        self.in_flight = true;
        self.not_before = now.plus(1_000 * daemons.max(1) as u64 / FLEET_APPENDS_PER_S);
        let count = self.waiting.len().min(MOST_GROUPED);
        Some(self.waiting.drain(..count).collect())
    }

    /// Notes that the append has ended, so that the next may go out.
    pub const fn done(&mut self) {
        self.in_flight = false;
    }

    /// Gives the number of waiting items.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::{ClaimFold, ClaimRecord, Grouping, JournalFold, JournalMark, JournalRecord};
    use super::{KEY_SKEW_MS, key_in_time};
    use crate::clock::Millis;

    fn start(seqs: Vec<u64>) -> JournalRecord {
        JournalRecord::Start { seqs, home_ms: Millis(50) }
    }

    #[test]
    fn a_journal_that_lost_records_proves_nothing_for_older_tickets() {
        let mut fold = JournalFold::default();
        fold.apply(7, &start(vec![3]));
        assert!(fold.is_whole_since(Millis(50), 7));
        assert!(!fold.is_whole_since(Millis(49), 7));
        assert!(fold.is_whole_since(Millis(49), 0));
    }

    #[test]
    fn whichever_stands_first_decides() {
        let mut fold = JournalFold::default();
        fold.apply(0, &start(vec![1, 2]));
        fold.apply(1, &JournalRecord::Void(2));
        fold.apply(2, &JournalRecord::Void(3));
        fold.apply(3, &start(vec![3]));
        fold.apply(1, &JournalRecord::Void(9));
        assert_eq!(fold.mark(2), Some(JournalMark::Started));
        assert_eq!(fold.mark(3), Some(JournalMark::Voided));
        assert_eq!(fold.mark(9), None);
    }

    #[test]
    fn the_first_claim_wins() {
        let mut fold = ClaimFold::default();
        let key = [7; 16];
        fold.apply(0, Millis(5), ClaimRecord { claims: vec![(key, "a".into())] });
        fold.apply(1, Millis(6), ClaimRecord { claims: vec![(key, "b".into())] });
        assert_eq!(fold.winner(&key), Some("a"));
        fold.forget_before(Millis(6));
        assert_eq!(fold.winner(&key), None);
    }

    #[test]
    fn a_key_is_refused_before_its_claim_can_have_left_the_log() {
        let retention_ms = 600_000;
        let key_ms = 1_000_000;
        let earliest_claim_ms = key_ms - KEY_SKEW_MS;
        assert!(key_in_time(key_ms, earliest_claim_ms, retention_ms));
        assert!(!key_in_time(key_ms, earliest_claim_ms - 1, retention_ms));
        let left_log_ms = earliest_claim_ms + retention_ms;
        assert!(!key_in_time(key_ms, left_log_ms, retention_ms));
    }

    #[test]
    fn appends_are_spaced_by_the_number_of_daemons() {
        let mut group = Grouping::default();
        group.push(1);
        assert_eq!(group.next(48, Millis(1_000)), Some(vec![1]));
        group.push(2);
        assert_eq!(group.next(48, Millis(2_000)), None);
        group.done();
        assert_eq!(group.next(48, Millis(1_239)), None);
        assert_eq!(group.next(48, Millis(1_240)), Some(vec![2]));
    }
}
