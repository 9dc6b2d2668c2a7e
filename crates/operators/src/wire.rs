//! What operators and daemons say to each other, as JSON.

use std::net::SocketAddr;

use dispatch::catalogue::{HistoryEntry, Outcome, VersionedItem};
use dispatch::membership::PeerState;
use serde::{Deserialize, Serialize};

/// The catalogue with the offset up to which it is folded.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct CatalogueBody {
    /// The offset of the next record to apply.
    pub next_offset: u64,
    /// The entries by name.
    pub items: std::collections::BTreeMap<String, VersionedItem>,
}

/// The last changes.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct HistoryBody {
    /// The oldest first.
    pub lines: Vec<HistoryEntry>,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum EditBody {
    /// It stands in the log, and this is what it came to.
    Known {
        /// What it came to.
        outcome: Outcome,
    },
    /// It was not accepted and will not take effect.
    NotAccepted {
        /// Why, with the remedy.
        why: String,
    },
    /// It is not known whether it stands in the log.
    Unknown {
        /// The identity with which to ask again.
        id: String,
        /// What to do.
        remedy: String,
    },
}

/// One daemon as another sees it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct FleetLine {
    /// Where it takes messages from daemons.
    pub addr: SocketAddr,
    /// Where it answers operators, where known.
    pub operators: Option<SocketAddr>,
    /// Its zone, where known.
    pub zone: Option<String>,
    /// Its state.
    pub state: String,
    /// Its incarnation, where known.
    pub incarnation: Option<String>,
    /// Its catalogue offset, where known.
    pub catalogue_offset: Option<u64>,
    /// Whether it reaches the log service, where known.
    pub log_reached: Option<bool>,
    /// The age of what is known.
    pub age_ms: Option<u64>,
}

/// The fleet as one daemon sees it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct FleetBody {
    /// Every daemon, the asked one first.
    pub daemons: Vec<FleetLine>,
    /// Zones of which every daemon is silent.
    pub cut_off_zones: Vec<String>,
}

/// Gives the name of a peer's state.
pub fn state_name(state: PeerState) -> String {
    dispatch::report::name_of(&state)
}

/// Faults for a failure test; refused unless the settings allow them.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct FaultCall {
    /// Addresses to which nothing is sent and from which nothing is heard.
    #[serde(default)]
    pub cut: Vec<SocketAddr>,
}

/// The body of an error.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// What was wrong, with the remedy.
    pub error: String,
}
