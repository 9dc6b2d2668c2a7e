//! Keeps the catalogue up to date from the log service, or from peers while the log service is
//! unreachable.

use std::rc::Rc;
use std::time::Duration;

use ::operators::wire::EditBody;
use ::peers::wire::{PeerReply, PeerRequest};
use dispatch::catalogue::{CATALOGUE_STREAM, CatalogueRecord, Edit, validate};
use dispatch::clock::Millis;
use dispatch::follower::LogRecord;
use dispatch::membership::Heartbeat;
use httpedge::client::CallError;
use platform::wire::Page;

use crate::daemon::Daemon;

const MAX_LONG_POLL_MS: u64 = 5_000;
/// A long poll lasts at most the log's retention divided by this, so that snapshots are appended
/// before older records expire.
const POLLS_PER_RETENTION: u64 = 16;
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const PEER_TIMEOUT_MS: u64 = 2_000;
/// How long to wait for the outcome of an edit after its append.
const OUTCOME_WAIT_MS: u64 = 3_000;
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Daemon {
    /// Reads the catalogue stream with long polls until the process exits.
    pub async fn follow_catalogue(self: Rc<Self>) {
        let mut max_poll_ms = MAX_LONG_POLL_MS;
        loop {
            let from = self.follower.borrow().next_read_offset();
            let wait_ms = if self.follower.borrow().state().is_some() { max_poll_ms } else { 0 };
            self.platform_messages.set(self.platform_messages.get() + 2);
            match self.log.read(CATALOGUE_STREAM, from, wait_ms).await {
                Ok(page) => {
                    max_poll_ms = MAX_LONG_POLL_MS.min(page.retention_ms / POLLS_PER_RETENTION);
                    self.ingest_page(page).await;
                }
                Err(error) => {
                    log::debug!("catalogue: {error}.");
                    actix_rt::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Fetches catalogue records from a peer that has applied more of them, if this daemon has no
    /// catalogue yet or cannot reach the log service.
    pub fn catch_up_from_peer(self: &Rc<Self>, heartbeat: &Heartbeat) {
        let (own, ready) = {
            let follower = self.follower.borrow();
            let offset = follower.state().map(dispatch::catalogue::CatalogueState::next_offset);
            (offset.unwrap_or(0), offset.is_some())
        };
        let behind = heartbeat.catalogue_offset > own;
        if !behind || (ready && self.reaches_log()) {
            return;
        }
        let (daemon, addr) = (Rc::clone(self), heartbeat.addr);
        actix_rt::spawn(async move {
            let reply =
                daemon.links.call(addr, PeerRequest::CatalogueFrom(own), PEER_TIMEOUT_MS).await;
            match reply {
                Ok(PeerReply::Records(records)) if ready => {
                    daemon.follower.borrow_mut().ingest_from_peer(records);
                }
                Ok(PeerReply::Records(records)) if own == 0 => {
                    daemon.follower.borrow_mut().ingest(0, records);
                }
                Ok(PeerReply::Catalogue(state)) => {
                    daemon.follower.borrow_mut().install_state(*state);
                }
                Ok(_) | Err(_) => return,
            }
            daemon.publish_catalogue("a peer");
        });
    }

    /// Appends an operator's edit to the catalogue stream and returns its outcome.
    pub async fn edit(self: Rc<Self>, edit: Edit) -> EditBody {
        if let Err(invalid) = validate(&edit) {
            return EditBody::NotAccepted { why: invalid.to_string() };
        }
        let id = edit.id.clone();
        let record = serde_json::to_string(&CatalogueRecord::Edit(edit)).unwrap_or_default();
        self.platform_messages.set(self.platform_messages.get() + 2);
        match self.log.append(CATALOGUE_STREAM, vec![record]).await {
            Err(CallError::NoConnection(_) | CallError::ConnectionRefused(_)) => {
                let why = "the log service cannot be reached; try again when it is back".to_owned();
                return EditBody::NotAccepted { why };
            }
            Err(CallError::Status { status: 429, body, .. }) => {
                return EditBody::NotAccepted { why: format!("{body}; try again in a second") };
            }
            Ok(_) | Err(_) => {}
        }
        self.await_outcome(&id).await
    }

    /// Waits up to 3 s until an edit has been applied to the catalogue and returns its outcome.
    pub async fn await_outcome(&self, id: &str) -> EditBody {
        let until = self.now().plus(OUTCOME_WAIT_MS);
        loop {
            let outcome =
                self.follower.borrow().state().and_then(|state| state.outcome(id).cloned());
            if let Some(outcome) = outcome {
                return EditBody::Known { outcome };
            }
            if self.now() > until {
                let remedy = "ask again with: clementinectl catalogue outcome ID".to_owned();
                return EditBody::Unknown { id: id.to_owned(), remedy };
            }
            actix_rt::time::sleep(OUTCOME_POLL_INTERVAL).await;
        }
    }

    async fn ingest_page(self: &Rc<Self>, page: Page) {
        self.record_log_answer();
        let changed = !page.records.is_empty() || self.follower.borrow().state().is_none();
        let records = page.records.into_iter().map(|kept| {
            let record = serde_json::from_str(&kept.data);
            let record =
                record.map_err(|error| log::error!("catalogue: Cannot decode record: {error}."));
            // An undecodable record must still occupy its offset: the state only accepts records
            // without gaps and would stop there.
            let record =
                record.unwrap_or_else(|()| CatalogueRecord::Edit(placeholder_edit(kept.offset)));
            LogRecord { offset: kept.offset, at_ms: Millis(kept.at_ms), record }
        });
        let records: Vec<LogRecord> = records.collect();
        let awaits_snapshot = {
            let mut follower = self.follower.borrow_mut();
            follower.ingest(page.first_kept, records);
            follower.state().is_none()
        };
        if changed {
            self.publish_catalogue("the log service");
        }
        self.snapshot_if_due(Millis(page.now_ms), page.retention_ms).await;
        if awaits_snapshot {
            log::warn!("catalogue: No snapshot read yet; not serving.");
            actix_rt::time::sleep(RETRY_INTERVAL).await;
        }
    }

    fn publish_catalogue(&self, source: &str) {
        let state = self.follower.borrow().state().cloned();
        if let Some(state) = state {
            log::info!("catalogue: Updated to offset {} from {source}.", state.next_offset());
            self.engine.borrow_mut().set_catalogue(Rc::new(state));
        }
    }

    async fn snapshot_if_due(&self, log_now: Millis, retention_ms: u64) {
        let spread = (self.incarnation.0 % 1_000) as f64 / 1_000.0;
        let snapshot = {
            let follower = self.follower.borrow();
            let state = follower.snapshot_due(log_now, retention_ms, spread);
            state.map(|state| CatalogueRecord::Snapshot(Box::new(state.clone())))
        };
        let Some(snapshot) = snapshot else { return };
        let record = serde_json::to_string(&snapshot).unwrap_or_default();
        self.platform_messages.set(self.platform_messages.get() + 2);
        match self.log.append(CATALOGUE_STREAM, vec![record]).await {
            Ok(appended) => log::info!("catalogue: Snapshot added at offset {}.", appended.first),
            Err(error) => log::warn!("catalogue: Appending a snapshot failed: {error}."),
        }
    }
}

/// Returns an edit without changes, as a placeholder for an undecodable record.
fn placeholder_edit(offset: u64) -> Edit {
    Edit { id: format!("unreadable-{offset}"), by: String::new(), changes: Vec::new() }
}
