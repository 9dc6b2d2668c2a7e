//! Graceful shutdown: releases the cells and lets the requests in flight finish.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use futures_util::future::join_all;
use pool::cells::Cell;

use crate::state::{Entry, Phase};

/// Time during which new connections of callers may still arrive after the daemon has become
/// unready, in milliseconds. The platform checks readiness once a second and stops routing callers
/// to the daemon after the second failed check.
const DEREGISTRATION_DELAY_MS: u64 = 2_800;
/// Time-out for handing over all cells and leaving the group, in milliseconds. Unresponsive daemons
/// and an unresponsive store would take longer; the rest of the grace period is needed for requests
/// in flight.
const HANDOVER_TIMEOUT_MS: u64 = 2_000;
/// Part of the grace period that is left when the drain ends, in milliseconds.
const EXIT_RESERVE_MS: u64 = 600;
/// Interval between two checks for requests in flight, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

impl Entry {
    /// Releases all cells, and returns once no request is in flight or the grace period is nearly
    /// over. Requests that arrive meanwhile are run by other owners.
    pub async fn drain(self: &Rc<Self>) {
        let started_at = self.now();
        let drain_limit_ms = self.settings.grace_ms.saturating_sub(EXIT_RESERVE_MS);
        self.phase.set(Phase::Draining);
        self.exits_at.set(Some(started_at.plus(drain_limit_ms)));
        log::info!("part=drain event=begin in_flight={}", self.in_flight.get());
        let owned: Vec<(Cell, u64)> = {
            let owned = self.owned.borrow();
            owned.iter().map(|(cell, owned)| (cell.clone(), owned.pool.token())).collect()
        };
        for (cell, _) in &owned {
            self.release_cell(cell, "drain");
        }
        let handover = std::pin::pin!(self.hand_over_and_leave(&owned));
        if timeout(Duration::from_millis(HANDOVER_TIMEOUT_MS), handover).await.is_err() {
            log::warn!("part=drain event=handing_cut after_ms={HANDOVER_TIMEOUT_MS}");
        }
        self.broadcast_rejoin();
        loop {
            actix_rt::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            let elapsed_ms = self.now().since(started_at);
            let is_idle = self.in_flight.get() == 0 && elapsed_ms >= DEREGISTRATION_DELAY_MS;
            if is_idle || elapsed_ms >= drain_limit_ms {
                break;
            }
        }
        log::info!("part=drain event=end in_flight={}", self.in_flight.get());
    }

    /// Leaves the group. If the store is unreachable, first hands over the cells to other daemons
    /// directly.
    async fn hand_over_and_leave(self: &Rc<Self>, released: &[(Cell, u64)]) {
        if !self.is_store_reachable.get() {
            let handovers = released.iter().map(|(cell, token)| self.hand_over(cell, *token));
            join_all(handovers).await;
        }
        self.finish_renewals().await;
        self.leave_group().await;
    }
}
