//! Chooses the daemons that are notified when a cell has room again.
//!
//! Load oscillates within seconds, and a daemon whose job was refused asks the cell again only when
//! its report is old or another daemon has passed on a newer one. Workers stay free meanwhile. The
//! owner therefore notifies the daemons that it has refused a short time ago, once for each refusal and
//! only as many as have room for one job.

use std::net::SocketAddr;

use dispatch::clock::Millis;

use crate::load_table::{Demand, free_after};
use crate::queue::Backlog;

/// How long after its refusal a daemon is notified that the cell has room again, in milliseconds. Later, other
/// answers have brought newer reports: at the rates of the large deployments, a daemon gets several
/// in this time.
const NOTICE_MS: u64 = 200;
/// Maximum number of daemons to be notified, so that a crowd of refusals costs the owner no more than
/// these messages.
const MAX_REFUSED: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Refusal {
    addr: SocketAddr,
    demand: Demand,
    at: Millis,
}

/// Daemons whose jobs the owner of a cell has refused for lack of room, oldest refusal first.
#[derive(Clone, Debug, Default)]
pub struct RefusedDaemons {
    refusals: Vec<Refusal>,
}

impl RefusedDaemons {
    /// Records that a job of a daemon was refused. Of several jobs of one daemon, the last one counts.
    pub fn record(&mut self, addr: SocketAddr, demand: Demand, now: Millis) {
        self.refusals.retain(|refusal| refusal.addr != addr);
        if self.refusals.len() >= MAX_REFUSED {
            self.refusals.remove(0);
        }
        self.refusals.push(Refusal { addr, demand, at: now });
    }

    /// Returns whether there is no daemon to be notified.
    pub const fn is_empty(&self) -> bool {
        self.refusals.is_empty()
    }

    /// Removes and returns the daemons to notify that the cell has room for the job that was refused.
    /// Each of them may send one job, so only as many are notified as have room together.
    pub fn take_due(&mut self, backlog: &Backlog, now: Millis) -> Vec<SocketAddr> {
        self.refusals.retain(|refusal| now.since(refusal.at) < NOTICE_MS);
        let mut told: Vec<Refusal> = Vec::new();
        for refusal in &self.refusals {
            let before = told.iter().map(|told| told.demand);
            if free_after(backlog, before, refusal.demand) {
                told.push(*refusal);
            }
        }
        let addrs: Vec<SocketAddr> = told.into_iter().map(|refusal| refusal.addr).collect();
        self.refusals.retain(|refusal| !addrs.contains(&refusal.addr));
        addrs
    }
}
