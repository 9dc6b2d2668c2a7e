//! What the platform's services say, as JSON over HTTP.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Records to append together.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AppendCall {
    /// The records.
    pub records: Vec<String>,
}

/// The log service's acknowledgement of an append.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first of them.
    pub first: u64,
    /// The log service's clock.
    pub now_ms: u64,
    /// How long records are kept.
    pub retention_ms: u64,
}

/// One record as the log service keeps it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct KeptRecord {
    /// The offset.
    pub offset: u64,
    /// When it was appended, on the log service's clock.
    pub at_ms: u64,
    /// The record.
    pub data: String,
}

/// One page of a stream.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Page {
    /// The lowest offset that is still kept.
    pub first_kept: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// The records.
    pub records: Vec<KeptRecord>,
    /// The log service's clock.
    pub now_ms: u64,
    /// How long records are kept.
    pub retention_ms: u64,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry VM; its address is that for messages between daemons.
    Entry,
    /// A worker; its address is that for tasks.
    Worker,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// What it is for.
    pub role: VmRole,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Tasks that it runs at once; workers only.
    #[serde(default)]
    pub slots: u32,
    /// Processor cores; workers only.
    #[serde(default)]
    pub cores: u32,
    /// Memory in MiB; workers only.
    #[serde(default)]
    pub memory_mb: u64,
    /// Accelerators; workers only.
    #[serde(default)]
    pub accelerators: u32,
}

/// The VM list, or only its version where nothing changed.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// Counts up by each change.
    pub version: u64,
    /// The VMs; none where the version is the one that was asked with.
    pub vms: Option<Vec<Vm>>,
}
