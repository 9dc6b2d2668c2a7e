//! Handles requests of other daemons.

use std::rc::Rc;

use ::peers::wire::{Ask, Tell};
use dispatch::answer::{Answer, Reason};
use dispatch::engine::Event;
use dispatch::membership::Handover;
use dispatch::ticket::Incarnation;

use crate::callers::HomeCall;
use crate::daemon::{Daemon, Phase};

impl Daemon {
    /// Handles one request of the daemon `from`; returns `None` if the request has no reply.
    pub async fn serve_peer(self: Rc<Self>, from: Incarnation, message: Ask) -> Option<Tell> {
        match message {
            Ask::Submit { ticket: Some(ticket), request, wait_ms } => {
                Some(self.answer_ticket(ticket, HomeCall::Submit { request, wait_ms }).await)
            }
            Ask::Submit { ticket: None, request, wait_ms } => {
                Some(self.answer_new(HomeCall::Submit { request, wait_ms }).await)
            }
            Ask::Wait { ticket, wait_ms } => {
                Some(self.answer_ticket(ticket, HomeCall::Wait { wait_ms }).await)
            }
            Ask::Cancel { ticket } => Some(self.answer_ticket(ticket, HomeCall::Cancel).await),
            Ask::Slots(message) => {
                self.drive(Event::SlotRequest { peer: from, request: message });
                None
            }
            Ask::Give(grant) => {
                self.drive(Event::SlotGrant { peer: from, grant });
                None
            }
            Ask::OfferTables(tables) => {
                if self.phase.get() != Phase::Serving {
                    return Some(Tell::Refused);
                }
                self.offered_tables.borrow_mut().insert(from, tables);
                Some(Tell::Done)
            }
            Ask::TakeOver => Some(self.take_over(from)),
            Ask::CatalogueFrom(offset) => Some(self.catalogue_from(offset)),
        }
    }

    async fn answer_ticket(self: &Rc<Self>, text: String, call: HomeCall) -> Tell {
        let Ok(ticket) = self.keys.check(&text) else {
            return Tell::Answer { ticket: text, answer: Answer::unknown(Reason::HomeGone) };
        };
        let answer = self.call_home_or_successor(&ticket, &text, call).await;
        let answer = answer.unwrap_or_else(|| Answer::unknown(Reason::HomeGone));
        Tell::Answer { ticket: text, answer }
    }

    /// Runs a job for a daemon that is not serving itself. The job is refused, not forwarded again,
    /// if this daemon is not serving either.
    async fn answer_new(self: &Rc<Self>, call: HomeCall) -> Tell {
        let ready = self.follower.borrow().state().is_some();
        if self.phase.get() != Phase::Serving || !ready {
            let answer = Answer::not_run(Reason::Draining);
            return Tell::Answer { ticket: String::new(), answer };
        }
        let ticketed = self.run_here_or_forward(call).await;
        Tell::Answer { ticket: ticketed.ticket, answer: ticketed.answer }
    }

    /// Installs the tables that `from` offered; a repeated order changes nothing.
    ///
    /// A refusal is final: this daemon does not and will not answer for these tables, so that the
    /// sender may offer them to another daemon.
    fn take_over(self: &Rc<Self>, from: Incarnation) -> Tell {
        if self.taken_over.borrow().contains(&from) {
            return Tell::Done;
        }
        let offered_tables = self.offered_tables.borrow_mut().remove(&from);
        let Some(tables) = offered_tables.filter(|_| self.phase.get() == Phase::Serving) else {
            return Tell::Refused;
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
        Tell::Done
    }

    fn catalogue_from(&self, offset: u64) -> Tell {
        let follower = self.follower.borrow();
        let Some(state) = follower.state() else {
            return Tell::Refused;
        };
        match follower.records_from(offset) {
            Some(records) => Tell::Records(records),
            None => Tell::Catalogue(Box::new(state.clone())),
        }
    }
}
