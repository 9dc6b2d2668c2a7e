//! Shuts a daemon down without cutting a request off.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use futures_util::future::join_all;
use pool::cells::Cell;

use crate::state::{Entry, Phase};

/// How long callers' new connections may still come after the daemon says that it is not ready:
/// the platform looks once a second and believes the second miss.
const NEW_CALLERS_MS: u64 = 2_800;
/// How long handing the cells over and leaving the group may take in all, in milliseconds: the rest
/// of the grace is for requests in flight. Silent peers and a silent store take longer.
const HANDING_MS: u64 = 2_000;
/// What is left of the grace when the daemon ends, in milliseconds.
const RESERVE_MS: u64 = 600;
/// The pause between two looks at what is in flight, in milliseconds.
const PAUSE_MS: u64 = 50;

impl Entry {
    /// Gives the cells up, serves what comes in meanwhile at other owners, and returns once
    /// nothing is in flight or the grace is over.
    pub async fn drain(self: &Rc<Self>) {
        let began = self.now();
        let most_ms = self.settings.grace_ms.saturating_sub(RESERVE_MS);
        self.phase.set(Phase::Draining);
        self.ends_at.set(Some(began.plus(most_ms)));
        log::info!("part=drain event=begin in_flight={}", self.in_flight.get());
        let owned: Vec<(Cell, u64)> = {
            let owned = self.owned.borrow();
            owned.iter().map(|(cell, owned)| (cell.clone(), owned.pool.token())).collect()
        };
        for (cell, _) in &owned {
            self.give_up(cell, "drain");
        }
        let handing = std::pin::pin!(self.leave_cells(&owned));
        if timeout(Duration::from_millis(HANDING_MS), handing).await.is_err() {
            log::warn!("part=drain event=handing_cut after_ms={HANDING_MS}");
        }
        self.announce_change();
        loop {
            actix_rt::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            let passed_ms = self.now().since(began);
            let is_idle = self.in_flight.get() == 0 && passed_ms >= NEW_CALLERS_MS;
            if is_idle || passed_ms >= most_ms {
                break;
            }
        }
        log::info!("part=drain event=end in_flight={}", self.in_flight.get());
    }

    /// Leaves the group; without the store, hands the cells to other daemons directly.
    async fn leave_cells(self: &Rc<Self>, given_up: &[(Cell, u64)]) {
        if !self.store_reached.get() {
            let handed = given_up.iter().map(|(cell, token)| self.hand_over(cell, *token));
            join_all(handed).await;
        }
        self.leave().await;
    }
}
