//! Graceful shutdown: finishes open jobs and hands the ticket tables over to a successor, so that
//! no request is interrupted and no ticket is lost.

use std::rc::Rc;
use std::time::Duration;

use ::peers::wire::{PeerReply, PeerRequest};
use dispatch::home::HandoverTable;
use dispatch::membership::{Handover, Peer};

use crate::daemon::{Daemon, Phase};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const HANDOVER_CALL_TIMEOUT_MS: u64 = 3_000;
const TAKE_OVER_ATTEMPTS: u32 = 20;
const TAKE_OVER_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const FINAL_HEARTBEATS: u64 = 4;
const FINAL_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Counter of the first final heartbeat, above that of regular heartbeats in the same millisecond.
const FINAL_HEARTBEAT_COUNT: u64 = 900;

/// Result of the order to a successor to take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeOverResult {
    /// The successor answers for the tables from now on.
    Accepted,
    /// The successor has refused and will never answer for the tables.
    Refused,
    /// The successor did not reply; whether it answers for the tables is unknown.
    Unconfirmed,
}

impl Daemon {
    /// Waits for open jobs to end, hands the ticket tables over to a successor and announces the
    /// handover in final heartbeats.
    pub async fn drain(self: &Rc<Self>) {
        log::info!("drain: Started.");
        self.phase.set(Phase::Draining);
        self.send_heartbeat(FINAL_HEARTBEAT_COUNT, true).await;
        let until = self.now().plus(self.config.drain_limit_ms);
        while self.engine.borrow().open_jobs() > 0 && self.now() < until {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        let open = self.engine.borrow().open_jobs();
        if open > 0 {
            log::error!("drain: {open} jobs still open at the time limit; raise drain.limit_ms.");
        }
        self.phase.set(Phase::HandedOver);
        let tables = self.engine.borrow_mut().hand_over(self.now());
        if self.hand_over_tables(&tables).await {
            for index in 0..FINAL_HEARTBEATS {
                self.send_heartbeat(FINAL_HEARTBEAT_COUNT + index, true).await;
                actix_rt::time::sleep(FINAL_HEARTBEAT_INTERVAL).await;
            }
        }
        while self.waiting_requests() > 0 && self.now() < until {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        log::info!("drain: Finished.");
    }

    async fn hand_over_tables(self: &Rc<Self>, tables: &[HandoverTable]) -> bool {
        let until = self.now().plus(self.config.drain_limit_ms);
        loop {
            let successors = self.membership.borrow().successors(self.now());
            for successor in &successors {
                if !self.offer_tables(successor, tables).await {
                    continue;
                }
                match self.order_take_over(successor, tables).await {
                    TakeOverResult::Accepted => return true,
                    TakeOverResult::Refused => {}
                    TakeOverResult::Unconfirmed => return false,
                }
            }
            if self.now() > until {
                log::error!(
                    "drain: No successor found; answers for this daemon's tickets become unknown."
                );
                return false;
            }
            actix_rt::time::sleep(TAKE_OVER_RETRY_INTERVAL).await;
        }
    }

    async fn offer_tables(&self, successor: &Peer, tables: &[HandoverTable]) -> bool {
        let request = PeerRequest::OfferTables(tables.to_vec());
        let reply =
            self.links.call(successor.last_heartbeat.addr, request, HANDOVER_CALL_TIMEOUT_MS).await;
        matches!(reply, Ok(PeerReply::Done))
    }

    /// Orders the successor to answer for the offered tables from now on.
    ///
    /// Another successor may be tried only after an explicit refusal: one that does not reply may
    /// already have taken over.
    async fn order_take_over(&self, successor: &Peer, tables: &[HandoverTable]) -> TakeOverResult {
        for _ in 0..TAKE_OVER_ATTEMPTS {
            let reply = self
                .links
                .call(
                    successor.last_heartbeat.addr,
                    PeerRequest::TakeOver,
                    HANDOVER_CALL_TIMEOUT_MS,
                )
                .await;
            if matches!(reply, Ok(PeerReply::Refused)) {
                return TakeOverResult::Refused;
            }
            if matches!(reply, Ok(PeerReply::Done)) {
                let now = self.now();
                for table in tables {
                    let handover = Handover {
                        from: table.incarnation,
                        to: successor.last_heartbeat.incarnation,
                        to_addr: successor.last_heartbeat.addr,
                    };
                    self.membership.borrow_mut().record_handover(handover, now);
                }
                log::info!(
                    "drain: Successor {} has taken over the ticket tables.",
                    successor.last_heartbeat.incarnation
                );
                return TakeOverResult::Accepted;
            }
            actix_rt::time::sleep(TAKE_OVER_RETRY_INTERVAL).await;
        }
        log::error!(
            "drain: Successor {} did not confirm the takeover; its state is unknown.",
            successor.last_heartbeat.incarnation
        );
        TakeOverResult::Unconfirmed
    }
}
