//! Tickets: authenticated idempotency keys, issued by a daemon process to callers.
//!
//! A ticket names its home, the one process that may start its tasks. The design and its
//! alternatives are described in `docs/design/tickets.md`.

use std::fmt;
use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Size of the authentication tag on tickets and on messages between daemons, in bytes.
pub const TAG_BYTES: usize = 16;

/// First character of every ticket, so that no ticket is mistaken for a command-line option.
const TICKET_PREFIX: char = 't';

/// The identity of one daemon process: a random number drawn when the process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identity of a job: the incarnation that issued its ticket and the ticket's sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct JobId {
    /// Incarnation that issued the ticket.
    pub incarnation: Incarnation,
    /// Number of the ticket in the gapless sequence of that incarnation, from 0.
    pub seq: u64,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.seq)
    }
}

/// The identity of one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl std::str::FromStr for TaskId {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.split('.');
        let incarnation = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        let seq = parts.next().and_then(|p| p.parse().ok());
        let index = parts.next().and_then(|p| p.parse().ok());
        match (incarnation, seq, index, parts.next()) {
            (Some(incarnation), Some(seq), Some(index), None) => {
                Ok(Self { job: JobId { incarnation: Incarnation(incarnation), seq }, index })
            }
            _ => Err(TicketError::Malformed),
        }
    }
}

/// The reason why a ticket, a sealed message or a task id was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TicketError {
    /// The input does not have the expected format.
    #[error("the ticket cannot be read; draw a new one with GET /v1/tickets")]
    Malformed,
    /// The authentication tag does not match the content.
    #[error("the ticket was not issued by this fleet; draw a new one with GET /v1/tickets")]
    Forged,
    /// The key that the tag was made with is not in the settings.
    #[error("the ticket's key was rotated out; draw a new ticket with GET /v1/tickets")]
    UnknownKey,
}

/// The content of a ticket, without its authentication tag.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// Identity of the job that is submitted under this ticket.
    pub job: JobId,
    /// Address at which other daemons reach the home, the process that issued the ticket.
    pub home: SocketAddr,
    /// Availability zone of the home.
    pub zone: String,
    /// Time at which the ticket was issued, on the home's clock.
    pub issued_ms: Millis,
    /// Time at which the ticket expires, on the home's clock.
    pub expiry_ms: Millis,
}

/// A secret that all daemons share, with the id that sealed content carries.
#[derive(Clone)]
pub struct Key {
    /// Id of the key, written as the byte before the tag.
    pub id: u8,
    /// Secret for the keyed hash.
    pub secret: [u8; 32],
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.id)
    }
}

/// The keys that are accepted; the first one authenticates new tickets and messages.
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Creates a keyring of the current key and the keys that are still accepted during a rotation.
    pub fn new(current: Key, accepted: Vec<Key>) -> Self {
        let mut keys = vec![current];
        keys.extend(accepted);
        Self { keys }
    }

    /// Appends the current key's id and the authentication tag to `content`.
    pub fn seal(&self, mut content: Vec<u8>) -> Vec<u8> {
        let key = &self.keys[0];
        content.push(key.id);
        let tag = compute_tag(key, &content);
        content.extend_from_slice(&tag);
        content
    }

    /// Verifies the authentication tag and returns the content.
    ///
    /// # Errors
    /// Returns an error if the input is too short, the key is unknown or the tag does not match.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], TicketError> {
        let split = sealed.len().checked_sub(TAG_BYTES).filter(|at| *at > 0);
        let (covered, tag) = sealed.split_at(split.ok_or(TicketError::Malformed)?);
        let (key_id, content) = covered.split_last().ok_or(TicketError::Malformed)?;
        let key = self.keys.iter().find(|key| key.id == *key_id);
        let expected = compute_tag(key.ok_or(TicketError::UnknownKey)?, covered);
        if constant_time_eq(&expected, tag) { Ok(content) } else { Err(TicketError::Forged) }
    }

    /// Encodes and seals a ticket as the text that is sent to callers.
    pub fn issue(&self, ticket: &Ticket) -> String {
        let content = postcard::to_allocvec(ticket).unwrap_or_default();
        format!("{TICKET_PREFIX}{}", URL_SAFE_NO_PAD.encode(self.seal(content)))
    }

    /// Verifies and decodes a ticket that a caller sent.
    ///
    /// # Errors
    /// Returns an error if the text is malformed or was not sealed with an accepted key.
    pub fn check(&self, text: &str) -> Result<Ticket, TicketError> {
        let text = text.strip_prefix(TICKET_PREFIX).ok_or(TicketError::Malformed)?;
        let sealed = URL_SAFE_NO_PAD.decode(text).map_err(|_| TicketError::Malformed)?;
        let content = self.open(&sealed)?;
        postcard::from_bytes(content).map_err(|_| TicketError::Malformed)
    }
}

fn compute_tag(key: &Key, content: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(&key.secret, content);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}

fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let differing = left.iter().zip(right).fold(0, |seen, (a, b)| seen | (a ^ b));
    left.len() == right.len() && differing == 0
}
