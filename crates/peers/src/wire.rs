//! What daemons say to each other.

use dispatch::answer::Answer;
use dispatch::catalogue::Fold;
use dispatch::follower::LogRecord;
use dispatch::home::HandedTable;
use dispatch::jobs::JobRequest;
use dispatch::shares::{SlotGrant, SlotRequest};
use dispatch::ticket::Incarnation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A set of questions and replies that daemons exchange over links.
pub trait Protocol: 'static {
    /// What one daemon asks of another.
    type Ask: std::fmt::Debug + Serialize + DeserializeOwned + 'static;
    /// What the other daemon replies.
    type Tell: std::fmt::Debug + Serialize + DeserializeOwned + 'static;
    /// Whether a question is dropped where the link that it came over breaks, because its asker
    /// is gone and nobody waits for the reply.
    const ASKS_END_WITH_LINK: bool;
    /// How long a link on which replies are awaited may stay silent, in milliseconds, before it
    /// counts as broken; zero for any time.
    const SILENCE_LIMIT_MS: u64;
}

/// The questions between daemons of an installation that runs on the project's own interfaces.
#[derive(Clone, Copy, Debug)]
pub enum Daemons {}

impl Protocol for Daemons {
    type Ask = Ask;
    type Tell = Tell;
    const ASKS_END_WITH_LINK: bool = false;
    const SILENCE_LIMIT_MS: u64 = 0;
}

/// What one daemon asks of another.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
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
    Slots(SlotRequest),
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
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
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
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "A: Serialize + DeserializeOwned, T: Serialize + DeserializeOwned")]
pub struct Frame<A, T> {
    /// The sender.
    pub from: Incarnation,
    /// Pairs questions with replies; zero where no reply is wanted.
    pub id: u64,
    /// The content.
    pub body: Body<A, T>,
}

/// The content of a frame.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "A: Serialize + DeserializeOwned, T: Serialize + DeserializeOwned")]
pub enum Body<A, T> {
    /// A question or an order.
    Ask(A),
    /// A reply.
    Tell(T),
    /// Asks whether the other side still runs, or says so.
    Ping,
}
