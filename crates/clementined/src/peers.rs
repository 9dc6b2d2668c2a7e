//! Answers what other daemons ask.

use std::rc::Rc;

use ::peers::wire::{Ask, Tell};
use dispatch::answer::{Answer, Reason};
use dispatch::engine::Event;
use dispatch::membership::Inheritance;
use dispatch::ticket::Incarnation;

use crate::callers::HomeCall;
use crate::daemon::{Daemon, Phase};

impl Daemon {
    /// Answers one question of the daemon `from`.
    pub async fn serve_peer(self: Rc<Self>, from: Incarnation, ask: Ask) -> Option<Tell> {
        match ask {
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
            Ask::Slots(ask) => {
                self.drive(Event::SlotRequest { peer: from, request: ask });
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
                self.offered.borrow_mut().insert(from, tables);
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

    /// Runs a job for a daemon that does not serve itself, and never hands it on.
    async fn answer_new(self: &Rc<Self>, call: HomeCall) -> Tell {
        let ready = self.follower.borrow().fold().is_some();
        if self.phase.get() != Phase::Serving || !ready {
            let answer = Answer::not_run(Reason::Draining);
            return Tell::Answer { ticket: String::new(), answer };
        }
        let ticketed = self.run_here_or_near(call).await;
        Tell::Answer { ticket: ticketed.ticket, answer: ticketed.answer }
    }

    /// Takes the offered tables into force; a repeated order changes nothing.
    ///
    /// A refusal is final: these tables are not and will not be answered for here, so that the
    /// giver may offer them to another.
    fn take_over(self: &Rc<Self>, from: Incarnation) -> Tell {
        if self.taken.borrow().contains(&from) {
            return Tell::Done;
        }
        let offered = self.offered.borrow_mut().remove(&from);
        let Some(tables) = offered.filter(|_| self.phase.get() == Phase::Serving) else {
            return Tell::Refused;
        };
        self.taken.borrow_mut().insert(from);
        let now = self.now();
        for table in tables {
            let inheritance = Inheritance {
                from: table.incarnation,
                to: self.incarnation,
                to_addr: self.config.peers,
            };
            log::info!("drain: Answering for {} from now on.", table.incarnation);
            self.engine.borrow_mut().inherit(table, now);
            self.membership.borrow_mut().inherits(inheritance, now);
        }
        Tell::Done
    }

    fn catalogue_from(&self, offset: u64) -> Tell {
        let follower = self.follower.borrow();
        let Some(fold) = follower.fold() else {
            return Tell::Refused;
        };
        match follower.tail_from(offset) {
            Some(records) => Tell::Records(records),
            None => Tell::Catalogue(Box::new(fold.clone())),
        }
    }
}
