//! How many workers each zone has, which says how many cells it has.
//!
//! Every worker writes its entry all the time, so that reading them costs workers times readers. Only
//! daemons that may own a cell read them; the others ask one of those for the counts. See
//! `docs/CAPACITY.md`.

use std::net::SocketAddr;
use std::time::Duration;

use pool::cells::Cell;
use serde::{Deserialize, Serialize};

use crate::protocol::{Reply, Request};
use crate::state::Entry;

/// The time between two questions for the counts, and before the first answer, in milliseconds.
const ASK_EVERY_MS: u64 = 1_000;
const FIRST_ASK_EVERY_MS: u64 = 100;
/// How long a daemon that no longer may own a cell goes on reading, in milliseconds.
const LINGER_MS: u64 = 5_000;
/// How long another daemon may take to tell the counts, in milliseconds.
const ASK_MS: u64 = 250;

/// The number of workers of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneCount {
    /// The zone.
    pub zone: String,
    /// Its workers.
    pub workers: usize,
}

impl Entry {
    /// Counts the workers of a zone, by their entries or by what another daemon told.
    pub fn workers_in(&self, zone: &str) -> usize {
        if self.knows_workers.get() {
            return self.directory.borrow().count_in(zone);
        }
        let counts = self.reported_counts.borrow();
        counts.iter().find(|count| count.zone == zone).map_or(0, |count| count.workers)
    }

    /// Notes whether this daemon may own a cell now. It goes on reading the workers' entries for a
    /// while after that, since partitions often come back when they are dealt anew.
    pub fn note_may_own(&self, may_own: bool) {
        let now = self.now();
        if may_own {
            self.read_workers_until.set(now.plus(LINGER_MS));
        }
        let wants = may_own || now < self.read_workers_until.get();
        if self.should_read_workers.replace(wants) != wants {
            log::info!("part=follow event=workers wanted={wants}");
            self.read_workers_changed.notify_one();
        }
    }

    /// Stops relying on the workers' entries; their counts stay until another daemon tells newer ones.
    pub fn leave_workers(&self) {
        *self.reported_counts.borrow_mut() = self.read_counts();
        self.knows_workers.set(false);
    }

    fn read_counts(&self) -> Vec<ZoneCount> {
        let directory = self.directory.borrow();
        let count = |zone: &String| {
            let workers = directory.count_in(zone);
            ZoneCount { zone: zone.clone(), workers }
        };
        self.settings.zones.iter().map(count).collect()
    }

    /// Tells the counts to another daemon; none where this one does not know them.
    pub fn tell_counts(&self) -> Reply {
        if self.knows_workers.get() {
            Reply::WorkerCounts(self.read_counts())
        } else {
            Reply::NotOwner
        }
    }

    /// Asks for the counts until this daemon is to read the entries itself.
    pub async fn await_workers_wanted(&self) {
        while !self.should_read_workers.get() {
            self.ask_counts().await;
            let knows_none = self.reported_counts.borrow().is_empty();
            let pause_ms = if knows_none { FIRST_ASK_EVERY_MS } else { ASK_EVERY_MS };
            let pause = actix_rt::time::sleep(Duration::from_millis(pause_ms));
            let wanted = self.read_workers_changed.notified();
            futures_util::future::select(std::pin::pin!(pause), std::pin::pin!(wanted)).await;
        }
    }

    async fn ask_counts(&self) {
        let Some(addr) = self.first_owner() else { return };
        match self.links.call(addr, Request::WorkerCounts, ASK_MS).await {
            Ok(Reply::WorkerCounts(counts)) => *self.reported_counts.borrow_mut() = counts,
            Ok(_) => log::info!("part=follow event=counts_unknown daemon={addr}"),
            Err(error) => {
                log::info!("part=follow event=counts_lost daemon={addr} why=\"{error}\"");
            }
        }
    }

    /// Gives an owner that is asked for the counts: of the own zone's first cell, or of another's.
    fn first_owner(&self) -> Option<SocketAddr> {
        let own_zone = [&self.settings.zone];
        let zones = own_zone.into_iter().chain(&self.settings.zones);
        let mut first = zones.map(|zone| Cell { zone: zone.as_str().into(), partition: 0 });
        first.find_map(|cell| self.owner_of(&cell))
    }
}
