//! Passes the learned speeds of a cell's workers on to the next owner.
//!
//! A daemon that has released a cell keeps the speeds for a while and sends them to whoever announces
//! that it owns the cell, however it came by it: by an assignment, a handover or a delegation.

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::speed::WorkerSpeed;
use serde::{Deserialize, Serialize};

use crate::protocol::{Ownership, Request};
use crate::state::Entry;

/// How long the speeds of a released cell are kept, in milliseconds. The next owner announces itself
/// within the lifetime of a membership, and what is older may belong to replaced workers.
const RETENTION_MS: u64 = 10_000;

/// Speeds of a cell that this daemon has released.
#[derive(Clone, Debug)]
pub struct ReleasedSpeeds {
    released_at: Millis,
    speeds: Vec<WorkerSpeed>,
}

/// Learned speeds of workers of a cell.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct CellSpeeds {
    /// The cell.
    pub cell: Cell,
    /// At most [`pool::speed::MAX_TRANSFERRED`] speeds.
    pub speeds: Vec<WorkerSpeed>,
}

impl Entry {
    /// Keeps the speeds of a cell that is being released.
    pub fn keep_speeds(&self, cell: &Cell, speeds: Vec<WorkerSpeed>) {
        let now = self.now();
        let mut released = self.released_speeds.borrow_mut();
        released.retain(|_, kept| now.since(kept.released_at) < RETENTION_MS);
        if !speeds.is_empty() {
            released.insert(cell.clone(), ReleasedSpeeds { released_at: now, speeds });
        }
    }

    fn take_speeds(&self, cell: &Cell) -> Option<Vec<WorkerSpeed>> {
        let kept = self.released_speeds.borrow_mut().remove(cell)?;
        let is_recent = self.now().since(kept.released_at) < RETENTION_MS;
        is_recent.then_some(kept.speeds)
    }

    /// Uses the speeds that this daemon kept if it owned the cell shortly before.
    pub fn restore_speeds(&self, cell: &Cell) {
        if let Some(speeds) = self.take_speeds(cell) {
            self.learn_speeds(&CellSpeeds { cell: cell.clone(), speeds });
        }
    }

    /// Sends the speeds of a cell that this daemon has released to the announced owner.
    pub fn send_speeds(self: &Rc<Self>, ownership: &Ownership) {
        let cell = &ownership.cell;
        if self.owned.borrow().contains_key(cell) {
            return;
        }
        let Some(speeds) = self.take_speeds(cell) else { return };
        let (entry, addr, cell) = (Rc::clone(self), ownership.addr, cell.clone());
        actix_rt::spawn(async move {
            let request = Request::Speeds(CellSpeeds { cell: cell.clone(), speeds });
            if let Err(error) = entry.links.notify(addr, request).await {
                log::info!("part=ownership event=speeds_unsent cell={cell} why=\"{error}\"");
            }
        });
    }

    /// Learns the speeds that the previous owner of a cell sends.
    pub fn learn_speeds(&self, sent: &CellSpeeds) {
        let mut owned = self.owned.borrow_mut();
        let Some(owned) = owned.get_mut(&sent.cell) else { return };
        let learned = owned.pool.learn_speeds(&sent.speeds);
        self.metrics.transferred_speeds.inc_by(learned as u64);
        log::info!(
            "part=ownership event=speeds_learned cell={} sent={} learned={learned}",
            sent.cell,
            sent.speeds.len(),
        );
    }
}
