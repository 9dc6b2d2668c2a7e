//! Tickets: idempotency keys that name the one process that may start their tasks.
//!
//! The design and its alternatives are in `docs/design/tickets.md`.

use std::fmt;
use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Bytes of the authentication tag on tickets and on messages between daemons.
pub const TAG_BYTES: usize = 16;

/// Every ticket begins with this letter, so that none looks like a command-line option.
const TICKET_LETTER: char = 't';

/// A random number that a daemon process draws at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identity of a submission: the incarnation that issued its ticket and the sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct JobId {
    /// The process that issued the ticket.
    pub incarnation: Incarnation,
    /// The ticket's place in the dense sequence of that process.
    pub seq: u64,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.seq)
    }
}

/// The identity of one task of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TaskId {
    /// The submission that the task belongs to.
    pub job: JobId,
    /// The task's place in the submission.
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

/// Why a ticket was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TicketError {
    /// The text is not a ticket at all.
    #[error("the ticket cannot be read; draw a new one with GET /v1/tickets")]
    Malformed,
    /// The tag does not fit the ticket's content.
    #[error("the ticket was not issued by this fleet; draw a new one with GET /v1/tickets")]
    Forged,
    /// The key that made the tag is no longer in the settings.
    #[error("the ticket's key was rotated out; draw a new ticket with GET /v1/tickets")]
    UnknownKey,
}

/// What a ticket says, without its tag.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// The identity of the submission made under this ticket.
    pub job: JobId,
    /// The address at which other daemons reach the home.
    pub home: SocketAddr,
    /// The availability zone of the home.
    pub zone: String,
    /// When the ticket was issued, on the home's own clock.
    pub issued_ms: Millis,
    /// The end of validity on the home's own clock.
    pub expiry_ms: Millis,
}

/// One shared secret with the number by which tags name it.
#[derive(Clone)]
pub struct Key {
    /// The number that goes into the tag's first byte.
    pub id: u8,
    /// The secret itself.
    pub secret: [u8; 32],
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.id)
    }
}

/// The secrets that are accepted, the first of which makes new tags.
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Builds a ring of the current key and those still accepted during a rotation.
    pub fn new(current: Key, accepted: Vec<Key>) -> Self {
        let mut keys = vec![current];
        keys.extend(accepted);
        Self { keys }
    }

    /// Appends the current key's number and the tag to `content`.
    pub fn seal(&self, mut content: Vec<u8>) -> Vec<u8> {
        let key = &self.keys[0];
        content.push(key.id);
        let tag = tag_of(key, &content);
        content.extend_from_slice(&tag);
        content
    }

    /// Checks the tag and gives back the content it covers.
    ///
    /// # Errors
    /// Fails where the content is too short, the key is unknown or the tag does not fit.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], TicketError> {
        let split = sealed.len().checked_sub(TAG_BYTES).filter(|at| *at > 0);
        let (covered, tag) = sealed.split_at(split.ok_or(TicketError::Malformed)?);
        let (key_id, content) = covered.split_last().ok_or(TicketError::Malformed)?;
        let key = self.keys.iter().find(|key| key.id == *key_id);
        let expected = tag_of(key.ok_or(TicketError::UnknownKey)?, covered);
        if same_bytes(&expected, tag) { Ok(content) } else { Err(TicketError::Forged) }
    }

    /// Renders a ticket as the text that callers carry.
    pub fn issue(&self, ticket: &Ticket) -> String {
        let content = postcard::to_allocvec(ticket).unwrap_or_default();
        format!("{TICKET_LETTER}{}", URL_SAFE_NO_PAD.encode(self.seal(content)))
    }

    /// Reads and checks a ticket from a caller.
    ///
    /// # Errors
    /// Fails where the text is no ticket or was not issued under a known key.
    pub fn check(&self, text: &str) -> Result<Ticket, TicketError> {
        let text = text.strip_prefix(TICKET_LETTER).ok_or(TicketError::Malformed)?;
        let sealed = URL_SAFE_NO_PAD.decode(text).map_err(|_| TicketError::Malformed)?;
        let content = self.open(&sealed)?;
        postcard::from_bytes(content).map_err(|_| TicketError::Malformed)
    }
}

fn tag_of(key: &Key, content: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(&key.secret, content);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}

fn same_bytes(left: &[u8], right: &[u8]) -> bool {
    let differing = left.iter().zip(right).fold(0, |seen, (a, b)| seen | (a ^ b));
    left.len() == right.len() && differing == 0
}
