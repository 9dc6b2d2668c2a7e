//! Follows the catalogue, through the log service or through peers.

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

const LONG_POLL_MS: u64 = 5_000;
/// A long poll is at most the retention divided by this, so that snapshots come in time.
const POLLS_PER_RETENTION: u64 = 16;
const RETRY: Duration = Duration::from_millis(200);
const PEER_WAIT_MS: u64 = 2_000;
/// How long an edit's outcome is awaited after its append.
const OUTCOME_WAIT_MS: u64 = 3_000;
const OUTCOME_LOOK: Duration = Duration::from_millis(10);

impl Daemon {
    /// Follows the catalogue until the process ends.
    pub async fn follow_catalogue(self: Rc<Self>) {
        let mut longest_ms = LONG_POLL_MS;
        loop {
            let from = self.follower.borrow().next_read_offset();
            let wait_ms = if self.follower.borrow().state().is_some() { longest_ms } else { 0 };
            self.platform_messages.set(self.platform_messages.get() + 2);
            match self.log.read(CATALOGUE_STREAM, from, wait_ms).await {
                Ok(page) => {
                    longest_ms = LONG_POLL_MS.min(page.retention_ms / POLLS_PER_RETENTION);
                    self.take_page(page).await;
                }
                Err(error) => {
                    log::debug!("catalogue: {error}.");
                    actix_rt::time::sleep(RETRY).await;
                }
            }
        }
    }

    /// Asks a peer that is further, where the log service is out of reach.
    pub fn catch_up_from(self: &Rc<Self>, beat: &Heartbeat) {
        let (own, ready) = {
            let follower = self.follower.borrow();
            let offset = follower.state().map(dispatch::catalogue::CatalogueState::next_offset);
            (offset.unwrap_or(0), offset.is_some())
        };
        let behind = beat.catalogue_offset > own;
        if !behind || (ready && self.reaches_log()) {
            return;
        }
        let (daemon, addr) = (Rc::clone(self), beat.addr);
        actix_rt::spawn(async move {
            let told = daemon.links.call(addr, PeerRequest::CatalogueFrom(own), PEER_WAIT_MS).await;
            match told {
                Ok(PeerReply::Records(records)) if ready => {
                    daemon.follower.borrow_mut().ingest_from_peer(records);
                }
                Ok(PeerReply::Records(records)) if own == 0 => {
                    daemon.follower.borrow_mut().ingest(0, records);
                }
                Ok(PeerReply::Catalogue(fold)) => {
                    daemon.follower.borrow_mut().install_state(*fold);
                }
                Ok(_) | Err(_) => return,
            }
            daemon.publish_catalogue("a peer");
        });
    }

    /// Appends an operator's edit and tells what it came to.
    pub async fn edit(self: Rc<Self>, edit: Edit) -> EditBody {
        if let Err(invalid) = validate(&edit) {
            return EditBody::NotAccepted { why: invalid.to_string() };
        }
        let id = edit.id.clone();
        let record = serde_json::to_string(&CatalogueRecord::Edit(edit)).unwrap_or_default();
        self.platform_messages.set(self.platform_messages.get() + 2);
        match self.log.append(CATALOGUE_STREAM, vec![record]).await {
            Err(CallError::NoConnection(_)) => {
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

    /// Waits a while until an edit shows in the catalogue.
    pub async fn await_outcome(&self, id: &str) -> EditBody {
        let until = self.now().plus(OUTCOME_WAIT_MS);
        loop {
            let outcome = self.follower.borrow().state().and_then(|fold| fold.outcome(id).cloned());
            if let Some(outcome) = outcome {
                return EditBody::Known { outcome };
            }
            if self.now() > until {
                let remedy = "ask again with: clementinectl catalogue outcome ID".to_owned();
                return EditBody::Unknown { id: id.to_owned(), remedy };
            }
            actix_rt::time::sleep(OUTCOME_LOOK).await;
        }
    }

    async fn take_page(self: &Rc<Self>, page: Page) {
        self.log_answered();
        let changed = !page.records.is_empty() || self.follower.borrow().state().is_none();
        let records = page.records.into_iter().map(|kept| {
            let record = serde_json::from_str(&kept.data);
            let record = record.map_err(|error| log::error!("catalogue: Bad record: {error}."));
            // An unreadable record must still take its offset, or the fold would stop there.
            let record = record.unwrap_or_else(|()| CatalogueRecord::Edit(no_edit(kept.offset)));
            LogRecord { offset: kept.offset, at_ms: Millis(kept.at_ms), record }
        });
        let records: Vec<LogRecord> = records.collect();
        let waits_for_snapshot = {
            let mut follower = self.follower.borrow_mut();
            follower.ingest(page.first_kept, records);
            follower.state().is_none()
        };
        if changed {
            self.publish_catalogue("the log service");
        }
        self.snapshot_if_due(Millis(page.now_ms), page.retention_ms).await;
        if waits_for_snapshot {
            log::warn!("catalogue: No snapshot yet; serving nothing.");
            actix_rt::time::sleep(RETRY).await;
        }
    }

    fn publish_catalogue(&self, source: &str) {
        let fold = self.follower.borrow().state().cloned();
        if let Some(fold) = fold {
            log::info!("catalogue: Offset {} from {source}.", fold.next_offset());
            self.engine.borrow_mut().set_catalogue(Rc::new(fold));
        }
    }

    async fn snapshot_if_due(&self, log_now: Millis, retention_ms: u64) {
        let spread = (self.incarnation.0 % 1_000) as f64 / 1_000.0;
        let snapshot = {
            let follower = self.follower.borrow();
            let fold = follower.snapshot_due(log_now, retention_ms, spread);
            fold.map(|fold| CatalogueRecord::Snapshot(Box::new(fold.clone())))
        };
        let Some(snapshot) = snapshot else { return };
        let record = serde_json::to_string(&snapshot).unwrap_or_default();
        self.platform_messages.set(self.platform_messages.get() + 2);
        match self.log.append(CATALOGUE_STREAM, vec![record]).await {
            Ok(appended) => log::info!("catalogue: Snapshot at offset {}.", appended.first),
            Err(error) => log::warn!("catalogue: Snapshot failed: {error}."),
        }
    }
}

fn no_edit(offset: u64) -> Edit {
    Edit { id: format!("unreadable-{offset}"), by: String::new(), changes: Vec::new() }
}
