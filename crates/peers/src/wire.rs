//! What daemons say to each other.

use dispatch::answer::Answer;
use dispatch::catalogue::Fold;
use dispatch::follower::LogRecord;
use dispatch::home::HandedTable;
use dispatch::jobs::JobRequest;
use dispatch::shares::{SlotAsk, SlotGrant};
use dispatch::ticket::Incarnation;
use serde::{Deserialize, Serialize};

/// What one daemon asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Run a job under a ticket of the receiver, or under one that it draws.
    Submit {
        /// The ticket.
        ticket: Option<String>,
        /// The job.
        request: JobRequest,
        /// How long to wait for the final answer.
        wait_ms: u64,
    },
    /// Wait for the answer of a ticket.
    Wait {
        /// The ticket.
        ticket: String,
        /// How long.
        wait_ms: u64,
    },
    /// Cancel what runs under a ticket.
    Cancel {
        /// The ticket.
        ticket: String,
    },
    /// Give slots, now or soon.
    Slots(SlotAsk),
    /// Take these slots.
    Give(SlotGrant),
    /// Hold these home tables, without answering for them yet.
    OfferTables(Vec<HandedTable>),
    /// Answer for the offered tables from now on.
    TakeOver,
    /// Give the catalogue's records from an offset on.
    CatalogueFrom(u64),
}

/// What the other daemon replies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Tell {
    /// An answer with its ticket.
    Answer {
        /// The ticket.
        ticket: String,
        /// The answer.
        answer: Answer,
    },
    /// It is done.
    Done,
    /// It will not be done, such as by a daemon that drains itself.
    Refused,
    /// Records of the catalogue.
    Records(Vec<LogRecord>),
    /// The whole catalogue, where single records are no longer at hand.
    Catalogue(Box<Fold>),
}

/// One frame of a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: Incarnation,
    /// Pairs questions with replies; zero where no reply is wanted.
    pub id: u64,
    /// The content.
    pub body: Body,
}

/// The content of a frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    /// A question or an order.
    Ask(Ask),
    /// A reply.
    Tell(Tell),
}
