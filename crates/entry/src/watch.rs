//! Subscriptions to the operators' configuration and to the workers' entries in the store.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use adapter::config::read_config;
use adapter::entries::read_entry;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, WORKER_TOPIC};
use adapter::store::{KeyedRecord, ReadReply, StoreError};
use dispatch::clock::Millis;
use pool::evacuation::PARTIAL_START_MS;

use crate::state::Entry;

/// Range of the time that a read waits at the store for a record, in milliseconds.
const READ_WAIT_RANGE_MS: (u64, u64) = (600, 2_000);
/// Time for detecting a dead connection after the wait, reconnecting and applying a change, in
/// milliseconds.
const READ_RESERVE_MS: u64 = 1_400;
/// Delay before a failed call is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;
/// Delay between reads of the workers' topic, in milliseconds. Every worker renews its entry
/// continually, so reads without a delay would return few records each.
const WORKER_READ_DELAY_MS: u64 = 250;
/// How long a worker is kept after its entry disappeared, in milliseconds. After an outage of the
/// store, the entries are published again within 2 s.
const REMOVAL_DELAY_MS: u64 = 2_500;

/// Result of reading on in a topic.
enum NextRecords {
    /// The records that follow, if any.
    Records(Vec<KeyedRecord>),
    /// The read failed, and the delay before a retry has passed.
    Failed,
    /// The topic has to be listed again.
    Trimmed,
}

impl Entry {
    /// Applies the operators' configuration, the evacuations of zones and their changes. Never
    /// returns.
    pub async fn watch_catalogue(self: Rc<Self>) {
        loop {
            let Some(mut offset) = self.list_catalogue().await else { continue };
            loop {
                let sent_at = self.now();
                match self.read_next(OPERATOR_TOPIC, &mut offset).await {
                    NextRecords::Records(records) => {
                        self.apply_evacuation_records(&records, offset, sent_at);
                        for record in &records {
                            self.apply_operator_record(record);
                        }
                    }
                    NextRecords::Failed => {}
                    NextRecords::Trimmed => break,
                }
            }
        }
    }

    async fn list_catalogue(self: &Rc<Self>) -> Option<u64> {
        let sent_at = self.now();
        let (records, offset) = self.list(OPERATOR_TOPIC).await?;
        self.apply_evacuation_listing(&records, offset, sent_at);
        for record in &records {
            self.apply_operator_record(record);
        }
        Some(offset)
    }

    /// Applies the workers' entries and their changes while this daemon may own a cell. At other
    /// times, requests the worker counts from another daemon. Never returns.
    pub async fn watch_workers(self: Rc<Self>) {
        let mut missing_since = HashMap::new();
        loop {
            self.request_counts_until_needed().await;
            let Some((records, mut offset)) = self.list(WORKER_TOPIC).await else { continue };
            let listed: BTreeSet<String> =
                records.iter().map(|record| record.key.clone()).collect();
            self.mark_unlisted(&listed, &mut missing_since);
            let was_known = self.knows_workers.replace(true);
            log::info!("part=follow event=workers_listed workers={}", listed.len());
            self.apply_workers(&records, &mut missing_since, log::Level::Debug);
            if !was_known {
                // Cells acquired before the entries were read have no workers yet.
                self.refresh_all_workers();
                // Further cells of the zone may be assigned already.
                self.rejoin.notify_one();
            }
            while self.should_read_workers.get() {
                let records = match self.read_next(WORKER_TOPIC, &mut offset).await {
                    NextRecords::Records(records) => records,
                    NextRecords::Failed => Vec::new(),
                    NextRecords::Trimmed => break,
                };
                self.apply_workers(&records, &mut missing_since, log::Level::Info);
                pause(WORKER_READ_DELAY_MS).await;
            }
            // If the history was trimmed, the known entries stay in use until the next listing.
            if !self.should_read_workers.get() {
                self.stop_using_worker_entries();
            }
        }
    }

    /// Returns the newest record of every key and the offset from which to read on, or `None` after
    /// a failure and the delay before a retry.
    ///
    /// The offset is that of the first page, so that changes made during the listing are read too.
    async fn list(&self, topic: &str) -> Option<(Vec<KeyedRecord>, u64)> {
        let mut records = Vec::new();
        let mut offset = None;
        loop {
            let began = self.now();
            let after = records.last().map(|record: &KeyedRecord| record.key.clone());
            let page = self.store.newest(topic, after.as_deref()).await;
            self.record_store_call("newest", &page, began);
            let page = match page {
                Ok(page) => page,
                Err(error) => {
                    log::info!("part=follow event=list_failed topic={topic} why=\"{error}\"");
                    pause(RETRY_DELAY_MS).await;
                    return None;
                }
            };
            offset.get_or_insert(page.end_offset);
            let is_last = !page.has_more || page.records.is_empty();
            records.extend(page.records);
            if is_last {
                return offset.map(|offset| (records, offset));
            }
        }
    }

    /// Returns how long a read waits at the store for a record, in milliseconds. A dead connection
    /// is detected only after this wait, and a change has to be in force within the configured time.
    /// An evacuation is in force once the partially started jobs start no further tasks.
    fn read_wait_ms(&self) -> u64 {
        let (min_ms, max_ms) = READ_WAIT_RANGE_MS;
        let evacuate_ms = self.settings.evacuate_ms.saturating_sub(PARTIAL_START_MS);
        let apply_ms = self.settings.config_apply_ms.min(evacuate_ms);
        apply_ms.saturating_sub(READ_RESERVE_MS).clamp(min_ms, max_ms)
    }

    /// Returns the next records and advances the offset.
    async fn read_next(&self, topic: &str, offset: &mut u64) -> NextRecords {
        let began = self.now();
        let reply = self.store.read(topic, *offset, self.read_wait_ms()).await;
        self.record_store_call("read", &reply, began);
        match reply {
            Ok(ReadReply::Records { records, next_offset }) => {
                *offset = next_offset;
                NextRecords::Records(records)
            }
            Ok(ReadReply::Trimmed) => {
                log::info!("part=follow event=history_gone topic={topic} offset={offset}");
                NextRecords::Trimmed
            }
            Err(error) => {
                let level = match error {
                    StoreError::Lost | StoreError::Unavailable(_) => log::Level::Debug,
                    StoreError::Refused(_) | StoreError::Unreadable => log::Level::Warn,
                };
                log::log!(level, "part=follow event=read_failed topic={topic} why=\"{error}\"");
                pause(RETRY_DELAY_MS).await;
                NextRecords::Failed
            }
        }
    }

    /// Applies a configuration if its version is higher than that of the one in force.
    fn apply_operator_record(&self, record: &KeyedRecord) {
        let Some(value) = record.value.as_ref().filter(|_| record.key == CONFIG_KEY) else {
            return;
        };
        let catalogue = match read_config(value) {
            Ok(catalogue) => catalogue,
            Err(error) => {
                log::warn!("part=follow event=config_refused why=\"{error}\"");
                return;
            }
        };
        let mut current = self.catalogue.borrow_mut();
        let version = current.as_ref().map(|current| current.version);
        if version.is_some_and(|version| catalogue.version <= version) {
            return;
        }
        log::info!(
            "part=follow event=config_in_force version={} before={version:?} routes={}",
            catalogue.version,
            catalogue.routes.len(),
        );
        self.metrics.catalogue_version.set(i64::try_from(catalogue.version).unwrap_or(i64::MAX));
        *current = Some(Rc::new(catalogue));
    }

    /// Applies the workers' entries. `level` is that of the log line for each change: a listing
    /// would use up the rate of lines for the lines that matter after a start.
    fn apply_workers(
        self: &Rc<Self>,
        records: &[KeyedRecord],
        missing_since: &mut HashMap<String, Millis>,
        level: log::Level,
    ) {
        let mut changed = false;
        for record in records {
            changed |= self.apply_worker(record, missing_since, level);
        }
        changed |= self.remove_expired(missing_since);
        if changed {
            self.refresh_all_workers();
        }
    }

    fn apply_worker(
        &self,
        record: &KeyedRecord,
        missing_since: &mut HashMap<String, Millis>,
        level: log::Level,
    ) -> bool {
        let Some(value) = &record.value else {
            missing_since.entry(record.key.clone()).or_insert_with(|| self.now());
            return false;
        };
        let entry = match read_entry(value) {
            Ok(entry) => entry,
            Err(error) => {
                log::debug!(
                    "part=follow event=entry_refused worker={} why=\"{error}\"",
                    record.key
                );
                return false;
            }
        };
        missing_since.remove(&record.key);
        let (state, addr, started_at_ms) = (entry.state, entry.addr, entry.started_at_ms);
        let (cpu_millicores, cold_ms) = (entry.capacity.cpu_millicores, entry.cold_ms);
        let changed = self.directory.borrow_mut().apply(self.now(), &record.key, Some(entry));
        if changed {
            log::log!(
                level,
                "part=follow event=worker worker={} state={state:?} addr={addr} \
                 started_at={} cpu_millicores={cpu_millicores} cold_ms={cold_ms}",
                record.key,
                started_at_ms.unwrap_or_default(),
            );
        }
        changed
    }

    fn mark_unlisted(
        &self,
        listed: &BTreeSet<String>,
        missing_since: &mut HashMap<String, Millis>,
    ) {
        let now = self.now();
        let directory = self.directory.borrow();
        for (id, _) in directory.iter().filter(|(id, _)| !listed.contains(&***id)) {
            missing_since.entry(id.to_string()).or_insert(now);
        }
    }

    fn remove_expired(&self, missing_since: &mut HashMap<String, Millis>) -> bool {
        let now = self.now();
        let mut changed = false;
        missing_since.retain(|id, since| {
            if now.since(*since) < REMOVAL_DELAY_MS {
                return true;
            }
            if self.directory.borrow_mut().apply(now, id, None) {
                log::info!("part=follow event=worker_gone worker={id}");
                changed = true;
            }
            false
        });
        changed
    }
}

async fn pause(pause_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}
