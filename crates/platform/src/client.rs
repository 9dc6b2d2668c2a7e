//! HTTP clients of the log service and the VM list.

use std::net::SocketAddr;

use dispatch::workers::{Needs, WorkerInfo};
use httpedge::client::{CallError, HttpClient};

use crate::wire::{AppendReply, AppendRequest, Page, Vm, VmList, VmRole};

/// Timeout of an append, of a read that does not wait for records, and of a VM list poll, in
/// milliseconds. An append that exceeds the timeout may still be in the log.
pub const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of records per page of a read.
const MAX_PAGE_RECORDS: usize = 1_000;

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    caller: HttpClient,
    addr: SocketAddr,
}

impl LogClient {
    /// Creates a client of the log service at `addr`.
    pub const fn new(addr: SocketAddr, caller: HttpClient) -> Self {
        Self { caller, addr }
    }

    /// Appends records to a stream. The records get consecutive offsets.
    ///
    /// # Errors
    /// Fails if no valid reply arrives in time. If the reply was lost, the records may be in the
    /// log nevertheless.
    pub async fn append(
        &self,
        stream: &str,
        records: Vec<String>,
    ) -> Result<AppendReply, CallError> {
        let path = format!("/streams/{stream}");
        self.caller.post(self.addr, &path, &AppendRequest { records }, REQUEST_TIMEOUT_MS).await
    }

    /// Reads a page of records, beginning at offset `from`. If there are none, waits up to
    /// `wait_ms` for the first one.
    ///
    /// # Errors
    /// Fails if no valid reply arrives in time.
    pub async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Page, CallError> {
        let path =
            format!("/streams/{stream}?from={from}&most={MAX_PAGE_RECORDS}&wait_ms={wait_ms}");
        self.caller.get(self.addr, &path, REQUEST_TIMEOUT_MS + wait_ms).await
    }
}

/// Client of the VM list.
#[derive(Clone, Debug)]
pub struct VmListClient {
    caller: HttpClient,
    addr: SocketAddr,
}

impl VmListClient {
    /// Creates a client of the VM list at `addr`.
    pub const fn new(addr: SocketAddr, caller: HttpClient) -> Self {
        Self { caller, addr }
    }

    /// Reads the VM list. The reply contains VMs only if the list's version differs from `version`.
    ///
    /// # Errors
    /// Fails if no valid reply arrives in time.
    pub async fn list(&self, version: u64) -> Result<VmList, CallError> {
        let path = format!("/vms?version={version}");
        self.caller.get(self.addr, &path, REQUEST_TIMEOUT_MS).await
    }
}

/// Returns the workers in a VM list.
pub fn worker_infos(vms: &[Vm]) -> Vec<WorkerInfo> {
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

/// Returns the addresses of the entry VMs in a VM list that are not leaving.
pub fn entry_vm_addrs(vms: &[Vm]) -> Vec<SocketAddr> {
    let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry && !vm.leaving);
    entries.map(|vm| vm.addr).collect()
}
