//! Handles requests of other daemons.

use std::rc::Rc;

use ::peers::wire::{PeerReply, PeerRequest};
use dispatch::answer::{Answer, Reason};
use dispatch::engine::Event;
use dispatch::membership::Handover;
use dispatch::ticket::Incarnation;

use crate::callers::HomeCall;
use crate::daemon::{Daemon, Phase};

impl Daemon {
    /// Handles one request of the daemon `from`; returns `None` if the request has no reply.
    pub async fn serve_peer(
        self: Rc<Self>,
        from: Incarnation,
        message: PeerRequest,
    ) -> Option<PeerReply> {
        match message {
            PeerRequest::Submit { ticket: Some(ticket), request, wait_ms } => {
                Some(self.answer_ticket(ticket, HomeCall::Submit { request, wait_ms }).await)
            }
            PeerRequest::Submit { ticket: None, request, wait_ms } => {
                Some(self.answer_new(HomeCall::Submit { request, wait_ms }).await)
            }
            PeerRequest::Wait { ticket, wait_ms } => {
                Some(self.answer_ticket(ticket, HomeCall::Wait { wait_ms }).await)
            }
            PeerRequest::Cancel { ticket } => {
                Some(self.answer_ticket(ticket, HomeCall::Cancel).await)
            }
            PeerRequest::Slots(message) => {
                self.process_event(Event::SlotRequest { peer: from, request: message });
                None
            }
            PeerRequest::Grant(grant) => {
                self.process_event(Event::SlotGrant { peer: from, grant });
                None
            }
            PeerRequest::OfferTables(tables) => {
                if self.phase.get() != Phase::Serving {
                    return Some(PeerReply::Refused);
                }
                self.offered_tables.borrow_mut().insert(from, tables);
                Some(PeerReply::Done)
            }
            PeerRequest::TakeOver => Some(self.take_over(from)),
            PeerRequest::CatalogueFrom(offset) => Some(self.catalogue_from(offset)),
        }
    }

    async fn answer_ticket(self: &Rc<Self>, text: String, call: HomeCall) -> PeerReply {
        let Ok(ticket) = self.keys.check(&text) else {
            return PeerReply::Answer { ticket: text, answer: Answer::unknown(Reason::HomeGone) };
        };
        let answer = self.call_home_or_successor(&ticket, &text, call).await;
        let answer = answer.unwrap_or_else(|| Answer::unknown(Reason::HomeGone));
        PeerReply::Answer { ticket: text, answer }
    }

    /// Runs a job for a daemon that is not serving itself. The job is refused, not forwarded again,
    /// if this daemon is not serving either.
    async fn answer_new(self: &Rc<Self>, call: HomeCall) -> PeerReply {
        let ready = self.follower.borrow().state().is_some();
        if self.phase.get() != Phase::Serving || !ready {
            let answer = Answer::not_run(Reason::Draining);
            return PeerReply::Answer { ticket: String::new(), answer };
        }
        let ticketed = self.run_here_or_forward(call).await;
        PeerReply::Answer { ticket: ticketed.ticket, answer: ticketed.answer }
    }

    /// Installs the tables that `from` offered; a repeated order changes nothing.
    ///
    /// A refusal is final: this daemon does not and will not answer for these tables, so that the
    /// sender may offer them to another daemon.
    fn take_over(self: &Rc<Self>, from: Incarnation) -> PeerReply {
        if self.taken_over.borrow().contains(&from) {
            return PeerReply::Done;
        }
        let offered_tables = self.offered_tables.borrow_mut().remove(&from);
        let Some(tables) = offered_tables.filter(|_| self.phase.get() == Phase::Serving) else {
            return PeerReply::Refused;
        };
        self.taken_over.borrow_mut().insert(from);
        let now = self.now();
        for table in tables {
            let handover = Handover {
                from: table.incarnation,
                to: self.incarnation,
                to_addr: self.config.peers,
            };
            log::info!("drain: Took over the ticket tables of {}.", table.incarnation);
            self.engine.borrow_mut().install_table(table, now);
            self.membership.borrow_mut().record_handover(handover, now);
        }
        PeerReply::Done
    }

    fn catalogue_from(&self, offset: u64) -> PeerReply {
        let follower = self.follower.borrow();
        let Some(state) = follower.state() else {
            return PeerReply::Refused;
        };
        match follower.records_from(offset) {
            Some(records) => PeerReply::Records(records),
            None => PeerReply::Catalogue(Box::new(state.clone())),
        }
    }
}
