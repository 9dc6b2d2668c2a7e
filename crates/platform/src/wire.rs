//! JSON bodies of the platform's HTTP services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Body of an append request.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records to append together, in this order.
    pub records: Vec<String>,
}

/// Reply that acknowledges an append.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the first appended record.
    pub first: u64,
    /// Time on the log service's clock, in milliseconds.
    pub now_ms: u64,
    /// Time for which records are retained after their append, in milliseconds.
    pub retention_ms: u64,
}

/// A record stored in the log service.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Time of the append on the log service's clock, in milliseconds.
    pub at_ms: u64,
    /// Content of the record.
    pub data: String,
}

/// A page of records of a stream.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Page {
    /// Lowest offset that is still retained.
    pub first_kept: u64,
    /// Offset that the next appended record will get.
    pub next: u64,
    /// Records of the page, in order of their offsets.
    pub records: Vec<StoredRecord>,
    /// Time on the log service's clock, in milliseconds.
    pub now_ms: u64,
    /// Time for which records are retained after their append, in milliseconds.
    pub retention_ms: u64,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry VM. Its address is the one for messages between daemons.
    Entry,
    /// A worker. Its address is the one for tasks.
    Worker,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// Role of the VM.
    pub role: VmRole,
    /// Address of the VM; its role determines the service at this address.
    pub addr: SocketAddr,
    /// Availability zone of the VM.
    pub zone: String,
    /// Whether the VM is about to be removed and should get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Number of tasks that the worker runs concurrently; 0 for entry VMs.
    #[serde(default)]
    pub slots: u32,
    /// Number of processor cores; 0 for entry VMs.
    #[serde(default)]
    pub cores: u32,
    /// Memory in MiB; 0 for entry VMs.
    #[serde(default)]
    pub memory_mb: u64,
    /// Number of accelerators; 0 for entry VMs.
    #[serde(default)]
    pub accelerators: u32,
}

/// Reply of the VM list service: the VM list, or only its version if the list is unchanged.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// Version of the list, incremented by each change.
    pub version: u64,
    /// The VMs; `None` if the request named the current version.
    pub vms: Option<Vec<Vm>>,
}
