//! Shuts a daemon down without cutting off a request or losing a ticket.

use std::rc::Rc;
use std::time::Duration;

use ::peers::wire::{PeerReply, PeerRequest};
use dispatch::home::HandoverTable;
use dispatch::membership::{Handover, Peer};

use crate::daemon::{Daemon, Phase};

const LOOK: Duration = Duration::from_millis(20);
const OFFER_WAIT_MS: u64 = 3_000;
const TAKE_OVER_TRIES: u32 = 20;
const TAKE_OVER_PAUSE: Duration = Duration::from_millis(100);
const FAREWELL_BEATS: u64 = 4;
const FAREWELL_PAUSE: Duration = Duration::from_millis(250);
/// Heartbeats of the farewell count above the ordinary ones of the same millisecond.
const FAREWELL_COUNT: u64 = 900;

/// What became of the order to a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handed {
    /// The successor answers from now on.
    Taken,
    /// The successor does not and will not answer.
    Refused,
    /// It is not known whether the successor answers.
    Lost,
}

impl Daemon {
    /// Finishes what is in flight, gives the tables to a successor and tells the others.
    pub async fn drain(self: &Rc<Self>) {
        log::info!("drain: Begins.");
        self.phase.set(Phase::Draining);
        self.send_beat(FAREWELL_COUNT, true).await;
        let until = self.now().plus(self.config.drain_limit_ms);
        while self.engine.borrow().open_jobs() > 0 && self.now() < until {
            actix_rt::time::sleep(LOOK).await;
        }
        let open = self.engine.borrow().open_jobs();
        if open > 0 {
            log::error!("drain: {open} jobs cut off; raise drain.limit_ms.");
        }
        self.phase.set(Phase::HandedOver);
        let tables = self.engine.borrow_mut().hand_over(self.now());
        if self.find_successor(&tables).await {
            for beat in 0..FAREWELL_BEATS {
                self.send_beat(FAREWELL_COUNT + beat, true).await;
                actix_rt::time::sleep(FAREWELL_PAUSE).await;
            }
        }
        while self.waiting_requests() > 0 && self.now() < until {
            actix_rt::time::sleep(LOOK).await;
        }
        log::info!("drain: Ends.");
    }

    async fn find_successor(self: &Rc<Self>, tables: &[HandoverTable]) -> bool {
        let until = self.now().plus(self.config.drain_limit_ms);
        loop {
            let successors = self.membership.borrow().successors(self.now());
            for successor in &successors {
                if !self.offer(successor, tables).await {
                    continue;
                }
                match self.hand_to(successor, tables).await {
                    Handed::Taken => return true,
                    Handed::Refused => {}
                    Handed::Lost => return false,
                }
            }
            if self.now() > until {
                log::error!("drain: No successor; answers for these tickets become unknown.");
                return false;
            }
            actix_rt::time::sleep(TAKE_OVER_PAUSE).await;
        }
    }

    async fn offer(&self, successor: &Peer, tables: &[HandoverTable]) -> bool {
        let offer = PeerRequest::OfferTables(tables.to_vec());
        let told = self.links.call(successor.last_heartbeat.addr, offer, OFFER_WAIT_MS).await;
        matches!(told, Ok(PeerReply::Done))
    }

    /// Orders the successor to answer from now on. Another may be asked only after its plain refusal:
    /// without a word from it, it may answer already.
    async fn hand_to(&self, successor: &Peer, tables: &[HandoverTable]) -> Handed {
        for _ in 0..TAKE_OVER_TRIES {
            let told = self
                .links
                .call(successor.last_heartbeat.addr, PeerRequest::TakeOver, OFFER_WAIT_MS)
                .await;
            if matches!(told, Ok(PeerReply::Refused)) {
                return Handed::Refused;
            }
            if matches!(told, Ok(PeerReply::Done)) {
                let now = self.now();
                for table in tables {
                    let handover = Handover {
                        from: table.incarnation,
                        to: successor.last_heartbeat.incarnation,
                        to_addr: successor.last_heartbeat.addr,
                    };
                    self.membership.borrow_mut().record_handover(handover, now);
                }
                log::info!("drain: {} answers from now on.", successor.last_heartbeat.incarnation);
                return Handed::Taken;
            }
            actix_rt::time::sleep(TAKE_OVER_PAUSE).await;
        }
        log::error!("drain: The successor {} is lost.", successor.last_heartbeat.incarnation);
        Handed::Lost
    }
}
