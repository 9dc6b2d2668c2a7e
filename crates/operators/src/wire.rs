//! JSON bodies of the HTTP interface for operators.

use std::net::SocketAddr;

use dispatch::catalogue::{HistoryEntry, Outcome, VersionedItem};
use dispatch::membership::PeerState;
use serde::{Deserialize, Serialize};

/// The catalogue and the offset up to which its stream has been applied.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct CatalogueBody {
    /// Offset of the next catalogue record to apply.
    pub next_offset: u64,
    /// Catalogue items by name.
    pub items: std::collections::BTreeMap<String, VersionedItem>,
}

/// The most recent catalogue edits.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct HistoryBody {
    /// History entries, oldest first.
    pub lines: Vec<HistoryEntry>,
}

/// Result of an attempt to append a catalogue edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum EditBody {
    /// The edit is in the log, and its outcome is known.
    Known {
        /// Whether the edit was applied, conflicted or was invalid.
        outcome: Outcome,
    },
    /// The edit was not appended to the log and will not take effect.
    NotAccepted {
        /// Reason why the edit was not appended, with the remedy.
        why: String,
    },
    /// The outcome is not known yet. The edit may or may not be in the log.
    Unknown {
        /// ID of the edit, with which its outcome can be queried again.
        id: String,
        /// Description of the next steps for the operator.
        remedy: String,
    },
}

/// State of one daemon as seen by the daemon that reports it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct FleetMember {
    /// Address for messages between daemons.
    pub addr: SocketAddr,
    /// Address of the HTTP interface for operators; `None` if unknown.
    pub operators: Option<SocketAddr>,
    /// Availability zone; `None` if unknown.
    pub zone: Option<String>,
    /// State of the peer as a snake-case name, or `self` for the reporting daemon.
    pub state: String,
    /// Incarnation (identity of the daemon's process); `None` if unknown.
    pub incarnation: Option<String>,
    /// Next catalogue offset; `None` if unknown.
    pub catalogue_offset: Option<u64>,
    /// Whether the daemon can reach the log service; `None` if unknown.
    pub log_reached: Option<bool>,
    /// Time since the last heartbeat, in milliseconds; `None` if none was received.
    pub age_ms: Option<u64>,
}

/// All daemons as seen by one of them.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct FleetBody {
    /// The daemons, the reporting one first.
    pub daemons: Vec<FleetMember>,
    /// Zones in which every known peer is silent.
    pub cut_off_zones: Vec<String>,
}

/// Returns the snake-case name of a peer's state.
pub fn peer_state_name(state: PeerState) -> String {
    dispatch::report::name_of(&state)
}

/// Faults to inject in a failure test. Rejected unless `testing.allow_faults` is set.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct FaultRequest {
    /// Addresses with which all communication is blocked, in both directions.
    #[serde(default)]
    pub cut: Vec<SocketAddr>,
}

/// Body of an error response.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error message, with the remedy.
    pub error: String,
}
