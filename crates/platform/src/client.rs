//! Calls to the log service and to the VM list.

use std::net::SocketAddr;

use dispatch::workers::{Needs, WorkerInfo};
use httpedge::client::{CallError, HttpClient};

use crate::wire::{AppendCall, Appended, Page, Vm, VmList, VmRole};

/// How long an append or a plain read may take before it counts as lost.
pub const LOG_TIMEOUT_MS: u64 = 2_000;
const PAGE_RECORDS: usize = 1_000;

/// The log service as a daemon or a tool uses it.
#[derive(Clone, Debug)]
pub struct LogClient {
    caller: HttpClient,
    addr: SocketAddr,
}

impl LogClient {
    /// Builds the client of the service at `addr`.
    pub const fn new(addr: SocketAddr, caller: HttpClient) -> Self {
        Self { caller, addr }
    }

    /// Appends records, which get offsets in a row.
    ///
    /// # Errors
    /// Where the reply is lost the records may stand in the log all the same.
    pub async fn append(&self, stream: &str, records: Vec<String>) -> Result<Appended, CallError> {
        let path = format!("/streams/{stream}");
        self.caller.post(self.addr, &path, &AppendCall { records }, LOG_TIMEOUT_MS).await
    }

    /// Reads a page from `from` on, waiting up to `wait_ms` for a first record.
    ///
    /// # Errors
    /// Fails where the service gives no whole reply in time.
    pub async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Page, CallError> {
        let path = format!("/streams/{stream}?from={from}&most={PAGE_RECORDS}&wait_ms={wait_ms}");
        self.caller.get(self.addr, &path, LOG_TIMEOUT_MS + wait_ms).await
    }
}

/// The VM list as a daemon uses it.
#[derive(Clone, Debug)]
pub struct VmClient {
    caller: HttpClient,
    addr: SocketAddr,
}

impl VmClient {
    /// Builds the client of the list at `addr`.
    pub const fn new(addr: SocketAddr, caller: HttpClient) -> Self {
        Self { caller, addr }
    }

    /// Gets the list where it is newer than `version`.
    ///
    /// # Errors
    /// Fails where the service gives no whole reply in time.
    pub async fn list(&self, version: u64) -> Result<VmList, CallError> {
        let path = format!("/vms?version={version}");
        self.caller.get(self.addr, &path, LOG_TIMEOUT_MS).await
    }
}

/// Picks the workers out of a VM list.
pub fn workers_of(vms: &[Vm]) -> Vec<WorkerInfo> {
    let workers = vms.iter().filter(|vm| vm.role == VmRole::Worker);
    workers
        .map(|vm| WorkerInfo {
            addr: vm.addr,
            zone: vm.zone.clone(),
            slots: vm.slots,
            size: Needs { cores: vm.cores, memory_mb: vm.memory_mb, accelerators: vm.accelerators },
            leaving: vm.leaving,
        })
        .collect()
}

/// Picks the addresses of entry VMs that are not leaving out of a VM list.
pub fn entries_of(vms: &[Vm]) -> Vec<SocketAddr> {
    let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry && !vm.leaving);
    entries.map(|vm| vm.addr).collect()
}
