//! Graceful shutdown: releases the cells and lets the requests in flight finish.
//!
//! In a rolling restart, the last daemon of a zone may be stopped while the others have not come
//! back yet. Its workers would then stay idle for seconds, so it keeps its cells until another
//! daemon takes them over or its grace period is nearly over.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use dispatch::clock::Millis;
use futures_util::future::join_all;
use pool::cells::Cell;
use pool::pool::Submission;

use crate::state::{Entry, OwnedCell, Phase};

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
/// Time reserved for the responses of jobs when the last daemon of a zone releases its cells, in
/// milliseconds.
const RELEASE_RESERVE_MS: u64 = 300;
/// Interval between two announcements of cells that are kept without a membership, in
/// milliseconds. Other daemons forget an owner that the store does not list after 1.5 s.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 1_000;
/// A draining owner accepts a job only if the time until it releases its cells is at least this
/// multiple of the job's declared time.
const JOB_TIME_FACTOR: u64 = 3;

impl Entry {
    /// Releases all cells, and returns once no request is in flight or the grace period is nearly
    /// over. Requests that arrive meanwhile are run by other owners.
    pub async fn drain(self: &Rc<Self>) {
        let started_at = self.now();
        let drain_limit_ms = self.settings.grace_ms.saturating_sub(EXIT_RESERVE_MS);
        self.phase.set(Phase::Draining);
        self.exits_at.set(Some(started_at.plus(drain_limit_ms)));
        let is_last = self.is_store_reachable.get() && !self.has_zone_peers.get();
        log::info!("part=drain event=begin in_flight={} last={is_last}", self.in_flight.get());
        if is_last {
            let release_at = started_at.plus(drain_limit_ms.saturating_sub(RELEASE_RESERVE_MS));
            self.serve_as_last_of_zone(release_at).await;
        }
        let (owned, delegated) = {
            let owned = self.owned.borrow();
            let delegated = |(cell, owned): (&Cell, &OwnedCell)| {
                Some((cell.clone(), owned.pool.token(), owned.holder?))
            };
            let delegated: Vec<_> = owned.iter().filter_map(delegated).collect();
            let owned =
                owned.iter().map(|(cell, owned)| (cell.clone(), owned.pool.handover_tokens()));
            (owned.collect::<Vec<_>>(), delegated)
        };
        for (cell, _) in &owned {
            self.release_cell(cell, "drain");
        }
        let handover = async {
            let returned = self.return_cells(delegated).await;
            let left = owned.into_iter().filter(|(cell, _)| !returned.contains(cell));
            self.hand_over_and_leave(left).await;
        };
        let handover = std::pin::pin!(handover);
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

    /// Leaves the group, so that a daemon that comes back gets the cells at once, and keeps them
    /// until that happens or `release_at` is reached.
    async fn serve_as_last_of_zone(self: &Rc<Self>, release_at: Millis) {
        self.releases_cells_at.set(Some(release_at));
        self.finish_renewals().await;
        self.leave_group().await;
        let mut announced_at: Option<Millis> = None;
        while !self.owned.borrow().is_empty() && self.now() < release_at {
            let now = self.now();
            if announced_at.is_none_or(|at| now.since(at) >= ANNOUNCEMENT_INTERVAL_MS) {
                announced_at = Some(now);
                self.announce_owned_cells();
            }
            actix_rt::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
    }

    /// Whether an owned cell may take a job: this daemon does not drain, or the job can end before
    /// the cells are released.
    pub fn may_take_job(&self, submission: &Submission) -> bool {
        let Some(release_at) = self.releases_cells_at.get() else { return true };
        let declared_ms = submission.spec.critical_path_ms(|step| step.estimate_ms);
        self.now().plus(declared_ms * JOB_TIME_FACTOR) <= release_at
    }

    /// Leaves the group, if that has not been done. If the store is unreachable, first hands over
    /// the cells to other daemons directly.
    async fn hand_over_and_leave(
        self: &Rc<Self>,
        released: impl Iterator<Item = (Cell, impl Iterator<Item = u64>)>,
    ) {
        if !self.is_store_reachable.get() {
            let handovers = released.map(|(cell, tokens)| self.hand_over(cell, tokens));
            join_all(handovers).await;
        }
        let has_left = self.releases_cells_at.get().is_some();
        if !has_left {
            self.finish_renewals().await;
            self.leave_group().await;
        }
    }
}
