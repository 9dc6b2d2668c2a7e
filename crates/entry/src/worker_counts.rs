//! Worker counts of the zones, which determine their numbers of cells.
//!
//! Every worker renews its entry in the store continually, so the cost of reading the entries grows
//! with the number of workers times the number of readers. Only daemons that may own a cell read
//! them; the others request the counts from the owner of a zone's first cell. See
//! `docs/CAPACITY.md`.

use std::net::SocketAddr;
use std::time::Duration;

use pool::cells::Cell;
use serde::{Deserialize, Serialize};

use crate::protocol::{Reply, Request};
use crate::state::Entry;

/// Interval between requests for the counts, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 1_000;
/// Interval between requests until the first counts arrive, in milliseconds.
const FIRST_REQUEST_INTERVAL_MS: u64 = 100;
/// How long a daemon keeps reading the entries after it may no longer own a cell, in milliseconds.
const LINGER_MS: u64 = 5_000;
/// Time-out of a request for the counts, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 250;

/// Number of workers in a zone, as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneCount {
    /// Name of the zone.
    pub zone: String,
    /// Number of workers with an entry in the store.
    pub workers: usize,
}

impl Entry {
    /// Returns the number of workers in a zone, from the workers' entries or from the counts that
    /// another daemon sent; 0 if neither is known.
    ///
    /// While the assignment settles after the store was out of reach, its entries may lack workers,
    /// so the higher number counts.
    pub fn worker_count(&self, zone: &str) -> usize {
        let reported = || {
            let counts = self.reported_counts.borrow();
            counts.iter().find(|count| count.zone == zone).map_or(0, |count| count.workers)
        };
        if !self.knows_workers.get() {
            return reported();
        }
        let listed = self.directory.borrow().count_in(zone);
        let is_settling = self.resettlement.borrow().is_settling(self.now());
        if is_settling { listed.max(reported()) } else { listed }
    }

    /// Whether the worker counts are known, from the workers' entries or from another daemon.
    pub fn knows_worker_counts(&self) -> bool {
        self.knows_workers.get() || !self.reported_counts.borrow().is_empty()
    }

    /// Records whether this daemon may own a cell now, which decides whether it reads the workers'
    /// entries. Reading continues for `LINGER_MS` after that, since partitions often return when
    /// they are rebalanced.
    pub fn set_may_own(&self, may_own: bool) {
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

    /// Stops using the workers' entries. Keeps their last counts until another daemon sends newer
    /// ones.
    pub fn stop_using_worker_entries(&self) {
        *self.reported_counts.borrow_mut() = self.count_workers();
        self.knows_workers.set(false);
    }

    fn count_workers(&self) -> Vec<ZoneCount> {
        let directory = self.directory.borrow();
        let count = |zone: &String| {
            let workers = directory.count_in(zone);
            ZoneCount { zone: zone.clone(), workers }
        };
        self.settings.zones.iter().map(count).collect()
    }

    /// Returns the reply to another daemon's request for the counts: the counts, or
    /// [`Reply::NotOwner`] if this daemon does not read the workers' entries.
    pub fn worker_counts_reply(&self) -> Reply {
        if self.knows_workers.get() {
            Reply::WorkerCounts(self.count_workers())
        } else {
            Reply::NotOwner
        }
    }

    /// Requests the counts from another daemon repeatedly until this daemon has to read the
    /// workers' entries itself.
    pub async fn request_counts_until_needed(&self) {
        while !self.should_read_workers.get() {
            self.request_counts().await;
            let has_no_counts = self.reported_counts.borrow().is_empty();
            let pause_ms =
                if has_no_counts { FIRST_REQUEST_INTERVAL_MS } else { REQUEST_INTERVAL_MS };
            let pause = actix_rt::time::sleep(Duration::from_millis(pause_ms));
            let wanted = self.read_workers_changed.notified();
            futures_util::future::select(std::pin::pin!(pause), std::pin::pin!(wanted)).await;
        }
    }

    async fn request_counts(&self) {
        let Some(addr) = self.first_cell_owner() else { return };
        match self.links.call(addr, Request::WorkerCounts, REQUEST_TIMEOUT_MS).await {
            Ok(Reply::WorkerCounts(counts)) => {
                let is_first = self.reported_counts.replace(counts).is_empty();
                if is_first {
                    // Cells that the counts add are assigned already, and are acquired at a renewal.
                    self.rejoin.notify_one();
                }
            }
            Ok(_) => log::info!("part=follow event=counts_unknown daemon={addr}"),
            Err(error) => {
                log::info!("part=follow event=counts_lost daemon={addr} why=\"{error}\"");
            }
        }
    }

    /// Returns the address of the daemon from which to request the counts: the owner of the first
    /// cell of this daemon's zone, or of another zone if that cell has no known owner.
    fn first_cell_owner(&self) -> Option<SocketAddr> {
        let own_zone = [&self.settings.zone];
        let zones = own_zone.into_iter().chain(&self.settings.zones);
        let mut first_cells = zones.map(|zone| Cell { zone: zone.as_str().into(), partition: 0 });
        first_cells.find_map(|cell| self.owner_of(&cell))
    }
}
