//! Shares what is known about crashes of workers with the other daemons.
//!
//! A caller resends its request to any daemon, and a cell may get another owner at any time, so
//! every daemon remembers the crashes of all cells.

use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::crashes::Crash;
use pool::loss::WorkerLife;

use crate::ownership::PEER_TIMEOUT_MS;
use crate::protocol::{Reply, Request};
use crate::state::Entry;

/// Maximum number of daemons that a daemon asks for crashes after its start.
const MAX_ASKED: usize = 3;

impl Entry {
    /// Records a crash in a cell of this daemon and reports it to all daemons.
    pub(crate) fn report_crash(self: &Rc<Self>, crash: Crash, cell: &Cell) {
        if self.learn_crash(0, &crash, Some(cell)) {
            self.broadcast(&Request::WorkerCrashed(crash));
        }
    }

    /// Withdraws a crash in a cell of this daemon, here and at all daemons. Most workers that reply
    /// again were only silent, which nobody has recorded as a crash.
    pub(crate) fn report_return(self: &Rc<Self>, life: WorkerLife, cell: &Cell) {
        if self.retract_crash(&life, Some(cell)) {
            self.broadcast(&Request::WorkerReturned(life));
        }
    }

    /// Records a crash that happened `age_ms` ago, also in the pools of the owned cells but for that of
    /// `reporting_cell`, which knows it. Returns whether it was not known before.
    pub(crate) fn learn_crash(
        self: &Rc<Self>,
        age_ms: u64,
        crash: &Crash,
        reporting_cell: Option<&Cell>,
    ) -> bool {
        let now = self.now_after_stall_check();
        let crashed_at = Millis(now.0.saturating_sub(age_ms));
        let findings = self.crashes.borrow_mut().record(crashed_at, crash);
        for task in &findings.convicted {
            self.metrics.convictions.with_label_values(&["task"]).inc();
            log::warn!(
                "part=crashes event=task_convicted task={task} worker={}",
                crash.life.worker
            );
        }
        for route in &findings.confined {
            self.metrics.convictions.with_label_values(&["route"]).inc();
            log::warn!("part=crashes event=route_confined route={route}");
        }
        for cell in self.other_owned_cells(reporting_cell) {
            if let Some(owned) = self.owned.borrow_mut().get_mut(&cell) {
                owned.pool.record_crash(now, age_ms, crash);
            }
            self.perform_actions(&cell);
        }
        findings.is_new
    }

    /// Withdraws a crash, because the worker has replied again in the same process. Returns whether
    /// the crash was known.
    pub(crate) fn retract_crash(
        self: &Rc<Self>,
        life: &WorkerLife,
        reporting_cell: Option<&Cell>,
    ) -> bool {
        let tasks = self.crashes.borrow_mut().retract(life);
        if tasks.is_empty() {
            return false;
        }
        log::info!(
            "part=crashes event=crash_retracted worker={} tasks={}",
            life.worker,
            tasks.len()
        );
        let now = self.now_after_stall_check();
        for cell in self.other_owned_cells(reporting_cell) {
            if let Some(owned) = self.owned.borrow_mut().get_mut(&cell) {
                owned.pool.retract_crash(now, life);
            }
            self.perform_actions(&cell);
        }
        true
    }

    fn other_owned_cells(&self, reporting_cell: Option<&Cell>) -> Vec<Cell> {
        let owned = self.owned.borrow();
        owned.keys().filter(|cell| Some(*cell) != reporting_cell).cloned().collect()
    }

    /// Asks other daemons, those of the same zone first, for the crashes of before this daemon's
    /// start, until one replies.
    pub(crate) async fn request_crashes(self: Rc<Self>) {
        let peers = self.peers.borrow().clone();
        let is_near = |zone: &str| zone == self.settings.zone;
        let (near, far): (Vec<_>, Vec<_>) = peers.iter().partition(|(_, zone)| is_near(zone));
        let addrs: Vec<SocketAddr> =
            near.into_iter().chain(far).map(|(addr, _)| *addr).take(MAX_ASKED).collect();
        for addr in addrs {
            let reply = self.links.call(addr, Request::Crashes, PEER_TIMEOUT_MS).await;
            if let Ok(Reply::Crashes(crashes)) = reply {
                log::info!("part=crashes event=crashes_read count={} from={addr}", crashes.len());
                for (age_ms, crash) in &crashes {
                    self.learn_crash(*age_ms, crash, None);
                }
                return;
            }
        }
        log::info!("part=crashes event=crashes_unread");
    }
}
