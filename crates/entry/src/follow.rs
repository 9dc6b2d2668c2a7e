//! Follows the operators' configuration and the workers' entries in the store.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use adapter::config::read_config;
use adapter::entries::read_entry;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, WORKER_TOPIC};
use adapter::store::{KeyedRecord, ReadReply, StoreError};
use dispatch::clock::Millis;

use crate::state::Entry;

/// How long a read waits at the store for a record. A connection that has gone silent is noticed
/// this long, and the read's time-out, after it was used last; a change has to be in force 2 s
/// after it was published.
const WAIT_MS: u64 = 600;
/// The pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 150;
/// The pause between reads of the workers' topic, where every worker writes all the time.
const WORKERS_PAUSE_MS: u64 = 250;
/// How long a worker whose entry was dropped is kept: after an outage of the store, entries come
/// back within two seconds.
const DROP_DELAY_MS: u64 = 2_500;

impl Entry {
    /// Follows the configuration for good.
    pub async fn follow_catalogue(self: Rc<Self>) {
        loop {
            let Some(mut offset) = self.list_catalogue().await else { continue };
            while let Some(records) = self.read_on(OPERATOR_TOPIC, &mut offset).await {
                for record in &records {
                    self.apply_operator_record(record);
                }
            }
        }
    }

    async fn list_catalogue(&self) -> Option<u64> {
        let (records, offset) = self.list(OPERATOR_TOPIC).await?;
        for record in &records {
            self.apply_operator_record(record);
        }
        Some(offset)
    }

    /// Follows the workers' entries, while this daemon is to.
    pub async fn follow_workers(self: Rc<Self>) {
        let mut dropped = HashMap::new();
        loop {
            self.await_workers_wanted().await;
            let Some((records, mut offset)) = self.list(WORKER_TOPIC).await else { continue };
            let listed: BTreeSet<String> =
                records.iter().map(|record| record.key.clone()).collect();
            self.drop_unlisted(&listed, &mut dropped);
            let was_known = self.knows_workers.replace(true);
            self.apply_workers(&records, &mut dropped);
            if !was_known {
                // Cells that were taken over meanwhile have no workers yet.
                self.refresh_all_workers();
            }
            while self.should_read_workers.get() {
                let Some(records) = self.read_on(WORKER_TOPIC, &mut offset).await else { break };
                self.apply_workers(&records, &mut dropped);
                pause(WORKERS_PAUSE_MS).await;
            }
            // After a gap in the history the entries that were read are still the best that is known.
            if !self.should_read_workers.get() {
                self.leave_workers();
            }
        }
    }

    /// Reads the newest record of every key, and the offset to read on from.
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
                    pause(RETRY_MS).await;
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

    /// Reads the next records; none where the topic has to be listed anew.
    async fn read_on(&self, topic: &str, offset: &mut u64) -> Option<Vec<KeyedRecord>> {
        let began = self.now();
        let reply = self.store.read(topic, *offset, WAIT_MS).await;
        self.record_store_call("read", &reply, began);
        match reply {
            Ok(ReadReply::Records { records, next_offset }) => {
                *offset = next_offset;
                Some(records)
            }
            Ok(ReadReply::Trimmed) => {
                log::info!("part=follow event=history_gone topic={topic} offset={offset}");
                None
            }
            Err(error) => {
                let level = match error {
                    StoreError::Lost | StoreError::Unavailable(_) => log::Level::Debug,
                    StoreError::Refused(_) | StoreError::Unreadable => log::Level::Warn,
                };
                log::log!(level, "part=follow event=read_failed topic={topic} why=\"{error}\"");
                pause(RETRY_MS).await;
                Some(Vec::new())
            }
        }
    }

    /// Takes a configuration that is newer than the one in force.
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

    fn apply_workers(
        self: &Rc<Self>,
        records: &[KeyedRecord],
        dropped: &mut HashMap<String, Millis>,
    ) {
        let mut changed = false;
        for record in records {
            changed |= self.apply_worker(record, dropped);
        }
        changed |= self.drop_overdue(dropped);
        if changed {
            self.refresh_all_workers();
        }
    }

    fn apply_worker(&self, record: &KeyedRecord, dropped: &mut HashMap<String, Millis>) -> bool {
        let Some(value) = &record.value else {
            dropped.entry(record.key.clone()).or_insert_with(|| self.now());
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
        dropped.remove(&record.key);
        let state = entry.state;
        let changed = self.directory.borrow_mut().apply(&record.key, Some(entry));
        if changed {
            log::info!("part=follow event=worker worker={} state={state:?}", record.key);
        }
        changed
    }

    fn drop_unlisted(&self, listed: &BTreeSet<String>, dropped: &mut HashMap<String, Millis>) {
        let now = self.now();
        let directory = self.directory.borrow();
        for (id, _) in directory.iter().filter(|(id, _)| !listed.contains(&***id)) {
            dropped.entry(id.to_string()).or_insert(now);
        }
    }

    fn drop_overdue(&self, dropped: &mut HashMap<String, Millis>) -> bool {
        let now = self.now();
        let mut changed = false;
        dropped.retain(|id, since| {
            if now.since(*since) < DROP_DELAY_MS {
                return true;
            }
            if self.directory.borrow_mut().apply(id, None) {
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
