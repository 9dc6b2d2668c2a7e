//! Messages exchanged between daemons, encoded with `postcard`.

use dispatch::answer::Answer;
use dispatch::catalogue::CatalogueState;
use dispatch::follower::LogRecord;
use dispatch::home::HandoverTable;
use dispatch::jobs::JobRequest;
use dispatch::shares::{SlotGrant, SlotRequest};
use dispatch::ticket::Incarnation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The requests and replies that daemons exchange over a connection.
pub trait Protocol: 'static {
    /// A request of one daemon to another.
    type Request: std::fmt::Debug + Serialize + DeserializeOwned + 'static;
    /// The reply to a request.
    type Reply: std::fmt::Debug + Serialize + DeserializeOwned + 'static;
    /// Whether a request is aborted when its connection closes, because its sender is gone and
    /// nobody waits for the reply.
    const REQUESTS_END_WITH_LINK: bool;
    /// Time in milliseconds after which a connection with pending replies and no traffic counts
    /// as broken; zero disables the check.
    const SILENCE_LIMIT_MS: u64;
    /// Interval in milliseconds at which the receiver of requests pings their sender while they are in
    /// progress, to know how recently the sender waited; zero disables these pings.
    const CONTACT_INTERVAL_MS: u64;
    /// Time in milliseconds from the first request in progress to the first such ping.
    const FIRST_PING_DELAY_MS: u64;
}

/// The protocol between `clementined` daemons, of installations that use the project's own
/// interfaces.
#[derive(Clone, Copy, Debug)]
pub enum DaemonProtocol {}

impl Protocol for DaemonProtocol {
    type Request = PeerRequest;
    type Reply = PeerReply;
    const REQUESTS_END_WITH_LINK: bool = false;
    const SILENCE_LIMIT_MS: u64 = 0;
    const CONTACT_INTERVAL_MS: u64 = 0;
    const FIRST_PING_DELAY_MS: u64 = 0;
}

/// A request of one `clementined` daemon to another.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum PeerRequest {
    /// Submits a job under a ticket (idempotency key) issued by the receiver.
    Submit {
        /// The ticket; if `None`, the receiver issues one.
        ticket: Option<String>,
        /// The job to run.
        request: JobRequest,
        /// Maximum wait for the final answer, in milliseconds.
        wait_ms: u64,
    },
    /// Waits for the answer to the job of a ticket.
    Wait {
        /// The ticket, issued by the receiver.
        ticket: String,
        /// Maximum wait for the final answer, in milliseconds.
        wait_ms: u64,
    },
    /// Cancels the job of a ticket.
    Cancel {
        /// The ticket, issued by the receiver.
        ticket: String,
    },
    /// Requests slots, to be granted now or as soon as they are free.
    Slots(SlotRequest),
    /// Grants slots to the receiver.
    Grant(SlotGrant),
    /// Offers the job tables of a draining daemon: the receiver stores them but does not answer for
    /// their tickets yet.
    OfferTables(Vec<HandoverTable>),
    /// Makes the receiver answer for the tickets of the offered tables from now on.
    TakeOver,
    /// Requests the catalogue's records from this offset on.
    CatalogueFrom(u64),
}

/// The reply of a `clementined` daemon to a request of another.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum PeerReply {
    /// The answer to a job.
    Answer {
        /// The ticket of the job.
        ticket: String,
        /// The state or result of the job.
        answer: Answer,
    },
    /// The request was carried out.
    Done,
    /// The request was refused, for example because the receiver is draining.
    Refused,
    /// The requested records of the catalogue.
    Records(Vec<LogRecord>),
    /// The whole catalogue, sent when the requested records are no longer kept.
    Catalogue(Box<CatalogueState>),
}

/// A message on a connection between daemons.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "Req: Serialize + DeserializeOwned, Rep: Serialize + DeserializeOwned")]
pub struct Frame<Req, Rep> {
    /// Incarnation of the sending daemon.
    pub from: Incarnation,
    /// Matches a reply to its request; zero for a request that needs no reply. Says of a ping what it is
    /// for: [`UNNUMBERED_PING`], [`KEEPALIVE_PING`], or else its time by the clock of the receiver of
    /// requests.
    pub id: u64,
    /// The payload.
    pub body: Body<Req, Rep>,
}

/// The payload of a frame.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "Req: Serialize + DeserializeOwned, Rep: Serialize + DeserializeOwned")]
pub enum Body<Req, Rep> {
    /// A request, with or without a reply.
    Request(Req),
    /// The reply to the request with the same ID.
    Reply(Rep),
    /// Checks that the peer is alive; the peer answers with the same ping. The sender of requests
    /// answers only while it waits for replies, after it has processed its pending I/O.
    Ping,
}

/// ID of a ping by a daemon of the version before the times of pings.
pub const UNNUMBERED_PING: u64 = 0;
/// ID of a ping by the sender of requests, which checks that the receiver is alive and says nothing
/// about the sender.
pub const KEEPALIVE_PING: u64 = u64::MAX;
