//! Follows the operators' requests to evacuate zones, and limits the starts of
//! the owned cells' pools.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::config::{evacuation_zone, read_evacuation};
use adapter::settings::OPERATOR_TOPIC;
use adapter::store::{KeyedRecord, ReadReply};
use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::evacuation::{Listing, PARTIAL_START_MS, STALL_HOLD_MS, ZoneRecord};
use pool::pool::{MAX_STALL_MS, Pool};

use crate::state::Entry;

/// Delay before a failed read after a pause of the process is repeated, in milliseconds.
const CONFIRM_RETRY_MS: u64 = 100;
/// Maximum number of keys of invalid records that are remembered as logged.
const MAX_LOGGED_KEYS: usize = 64;

/// State of the subscription to the operators' records.
#[derive(Debug, Default)]
pub struct OperatorFeed {
    /// Offset from which to read on; `None` before the first listing.
    next_offset: Option<u64>,
    /// When the latest successful read was sent. Records that it lacks were written later.
    read_at: Option<Millis>,
    /// Offset of the last invalid record of each key that was logged.
    logged_offsets: BTreeMap<String, u64>,
}

/// Evacuation records of one reply of the store: the newest valid one of each zone, and the zones
/// with invalid ones.
#[derive(Debug, Default)]
struct ParsedRecords {
    newest: BTreeMap<Rc<str>, ZoneRecord>,
    invalid: BTreeSet<Rc<str>>,
}

impl Entry {
    /// Applies a complete listing of the operators' records, the request for which was sent at
    /// `sent_at`.
    pub(crate) fn apply_evacuation_listing(
        self: &Rc<Self>,
        records: &[KeyedRecord],
        end_offset: u64,
        sent_at: Millis,
    ) {
        let ParsedRecords { newest, invalid } = self.parse_evacuations(records);
        let listing = Listing { end_offset, records: newest.into_values().collect(), invalid };
        let changed = self.evacuations.borrow_mut().apply_listing(&listing);
        self.apply_zone_changes(&changed, self.starts_until(), sent_at, None);
        self.record_operator_read(end_offset, sent_at);
        for zone in self.known_zones() {
            let is_evacuated = self.evacuations.borrow().is_evacuated(&zone);
            self.metrics.zone_evacuated.with_label_values(&[&zone]).set(i64::from(is_evacuated));
        }
        if !self.knows_evacuations.replace(true) {
            // Cells may be assigned already, and are acquired at a renewal.
            self.rejoin.notify_one();
        }
    }

    /// Applies the operators' records that a read sent at `sent_at` returned.
    pub(crate) fn apply_evacuation_records(
        self: &Rc<Self>,
        records: &[KeyedRecord],
        next_offset: u64,
        sent_at: Millis,
    ) {
        // Only the newest record of a zone is applied: in between, tasks might start.
        let newest = self.parse_evacuations(records).newest.into_values().collect();
        let changed = self.apply_newer(newest);
        self.apply_zone_changes(&changed, self.starts_until(), sent_at, None);
        self.record_operator_read(next_offset, sent_at);
    }

    /// Applies what another daemon knows of the evacuations, as it replied to a request sent at
    /// `asked_at`. The age of its records is not known, so that no further task starts.
    pub(crate) fn learn_evacuations(
        self: &Rc<Self>,
        records: &[ZoneRecord],
        asked_at: Millis,
        from: SocketAddr,
    ) {
        let changed = self.apply_newer(records.to_vec());
        self.apply_zone_changes(&changed, self.now(), asked_at, Some(from));
    }

    /// Returns the zones that are evacuated.
    pub(crate) fn evacuated_zones(&self) -> Vec<Rc<str>> {
        let evacuations = self.evacuations.borrow();
        evacuations.iter().filter(|known| known.is_evacuated).map(|known| known.zone).collect()
    }

    /// Applies the limits in force to the pool of a cell that this daemon acquires.
    pub(crate) fn apply_start_limits(&self, cell: &Cell, pool: &mut Pool) {
        if let Some(until) = self.evacuations.borrow().starts_until(&cell.zone) {
            pool.evacuate(self.now(), until);
        }
        if let Some(since) = self.starts_held_since.get() {
            pool.hold_starts(since.plus(STALL_HOLD_MS));
        }
    }

    /// Returns the current time. If this process was paused before, it may have missed an
    /// evacuation: the pools start nothing until the operators' records have been read. Called
    /// before each event that is passed to a pool.
    pub(crate) fn now_after_stall_check(self: &Rc<Self>) -> Millis {
        let now = self.now();
        let paused_ms = now.since(self.last_turn_at.replace(now));
        if paused_ms >= MAX_STALL_MS && self.knows_evacuations.get() {
            let cells = self.owned.borrow().len();
            log::info!("part=owner event=starts_held paused_ms={paused_ms} cells={cells}");
            self.starts_held_since.set(Some(now));
            for owned in self.owned.borrow_mut().values_mut() {
                owned.pool.hold_starts(now.plus(STALL_HOLD_MS));
            }
            actix_rt::spawn(Rc::clone(self).confirm_evacuations(now));
        }
        now
    }

    /// Reads the operators' records without waiting for new ones, until that succeeds or the starts
    /// held since `held_since` are allowed anyway.
    async fn confirm_evacuations(self: Rc<Self>, held_since: Millis) {
        while self.starts_held_since.get() == Some(held_since)
            && self.now().since(held_since) < STALL_HOLD_MS
        {
            let Some(offset) = self.operator_feed.borrow().next_offset else { return };
            let sent_at = self.now();
            let reply = self.store.read(OPERATOR_TOPIC, offset, 0).await;
            self.record_store_call("read", &reply, sent_at);
            match reply {
                // The subscription reads the records again, and applies the configuration.
                Ok(ReadReply::Records { records, .. }) => {
                    self.apply_evacuation_records(&records, offset, sent_at);
                    return;
                }
                Ok(ReadReply::Trimmed) => return,
                Err(_) => actix_rt::time::sleep(Duration::from_millis(CONFIRM_RETRY_MS)).await,
            }
        }
    }

    /// Records a successful read of the operators' records, and allows the starts that wait for it.
    fn record_operator_read(self: &Rc<Self>, next_offset: u64, sent_at: Millis) {
        {
            let mut feed = self.operator_feed.borrow_mut();
            feed.next_offset = Some(next_offset);
            feed.read_at = feed.read_at.max(Some(sent_at));
        }
        if self.starts_held_since.get().is_none_or(|since| sent_at < since) {
            return;
        }
        self.starts_held_since.set(None);
        let cells: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
        for cell in &cells {
            let now = self.now();
            if let Some(owned) = self.owned.borrow_mut().get_mut(cell) {
                owned.pool.release_starts(now);
            }
            self.perform_actions(cell);
        }
    }

    /// Returns until when partially started jobs may start further tasks in a zone whose evacuation
    /// has just been read. A record that the last read lacked is younger than that read; without
    /// one, it may be of any age.
    fn starts_until(&self) -> Millis {
        let now = self.now();
        self.operator_feed.borrow().read_at.map_or(now, |read_at| {
            now.plus(PARTIAL_START_MS).min(read_at.plus(self.settings.evacuate_ms))
        })
    }

    fn apply_newer(&self, mut records: Vec<ZoneRecord>) -> Vec<ZoneRecord> {
        let mut evacuations = self.evacuations.borrow_mut();
        records
            .retain(|record| evacuations.apply(&record.zone, record.offset, record.is_evacuated));
        records
    }

    fn apply_zone_changes(
        self: &Rc<Self>,
        changed: &[ZoneRecord],
        starts_until: Millis,
        sent_at: Millis,
        from: Option<SocketAddr>,
    ) {
        for ZoneRecord { zone, offset, is_evacuated } in changed {
            let state = if *is_evacuated { "begun" } else { "ended" };
            let source = from.map(|addr| format!(" from={addr}")).unwrap_or_default();
            log::info!(
                "part=follow event=evacuation zone={zone} state={state} offset={offset} \
                 age_ms={}{source}",
                self.now().since(sent_at),
            );
            self.metrics.zone_evacuated.with_label_values(&[zone]).set(i64::from(*is_evacuated));
            self.evacuations.borrow_mut().limit_starts(zone, starts_until);
            let cells: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
            for cell in cells.iter().filter(|cell| cell.zone == *zone) {
                self.set_cell_evacuated(cell, *is_evacuated, starts_until);
            }
        }
    }

    fn set_cell_evacuated(self: &Rc<Self>, cell: &Cell, is_evacuated: bool, starts_until: Millis) {
        let now = self.now_after_stall_check();
        if let Some(owned) = self.owned.borrow_mut().get_mut(cell) {
            let pool = &mut owned.pool;
            if is_evacuated {
                let waiting = pool.pending_jobs();
                pool.evacuate(now, starts_until);
                log::info!(
                    "part=owner event=cell_evacuated cell={cell} not_run={waiting} partial={} \
                     starts_for_ms={}",
                    pool.partial_jobs(),
                    starts_until.since(now),
                );
            } else {
                pool.set_evacuated(now, false);
            }
        }
        self.perform_actions(cell);
    }

    /// Returns the evacuation records among the operators' records, and logs the invalid ones.
    fn parse_evacuations(&self, records: &[KeyedRecord]) -> ParsedRecords {
        let mut parsed = ParsedRecords::default();
        for record in records {
            let Some(zone) = evacuation_zone(&record.key) else { continue };
            if !self.evacuations.borrow().has_zone(zone) {
                self.log_invalid_evacuation(record, "the zone is not in the settings");
                continue;
            }
            let (zone, offset) = (Rc::<str>::from(zone), record.offset);
            match read_evacuation(record.value.as_deref()) {
                Ok(is_evacuated) => {
                    let record = ZoneRecord { zone: Rc::clone(&zone), offset, is_evacuated };
                    parsed.newest.insert(zone, record);
                }
                Err(error) => {
                    self.log_invalid_evacuation(record, &error.to_string());
                    parsed.invalid.insert(zone);
                }
            }
        }
        parsed
    }

    /// Logs an invalid record once for each key and offset.
    fn log_invalid_evacuation(&self, record: &KeyedRecord, why: &str) {
        let logged = &mut self.operator_feed.borrow_mut().logged_offsets;
        let is_known = logged.get(&record.key).is_some_and(|offset| record.offset <= *offset);
        if is_known || logged.len() >= MAX_LOGGED_KEYS && !logged.contains_key(&record.key) {
            return;
        }
        logged.insert(record.key.clone(), record.offset);
        log::warn!(
            "part=follow event=evacuation_refused key={:?} offset={} why=\"{why}\"",
            record.key,
            record.offset,
        );
    }
}
