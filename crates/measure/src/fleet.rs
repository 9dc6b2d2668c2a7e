//! Addresses, settings and catalogue of a fleet on loopback.

use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

use dispatch::catalogue::{Change, Item, KindSpec, TeamSpec};
use dispatch::queue::Class;
use dispatch::workers::SelectionPolicy;
use platform::wire::{Vm, VmRole};

const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;
const PORTS_PER_OFFSET: u16 = 400;
const PORT_OFFSETS: u32 = 50;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Zones of the customer Ferrandi.
pub const FERRANDI_ZONES: [&str; 4] = ["milano-nord", "bergamo", "brescia", "sondrio"];
/// Zones of the customer Kesel.
pub const KESEL_ZONES: [&str; 3] = ["bahirdar-a", "gondar-b", "debre-c"];

/// Listen addresses and zone of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonAddrs {
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
    /// UDP and TCP address for messages from other daemons.
    pub peers: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: String,
}

/// Addresses and settings of the daemons, workers and platform services of a fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Daemons, spread over the zones in turn.
    pub daemons: Vec<DaemonAddrs>,
    /// Workers with their zones.
    pub workers: Vec<(SocketAddr, String)>,
    /// Slots per worker.
    pub slots: u32,
    /// Address of the log service.
    pub log_addr: SocketAddr,
    /// Address of the service that serves the VM list.
    pub vm_list_addr: SocketAddr,
    /// Policy by which daemons select workers.
    pub selection_policy: SelectionPolicy,
    /// Lines appended to the settings of every daemon.
    pub extra_settings: String,
}

impl Fleet {
    /// Assigns free ports on loopback to all members of a fleet and spreads daemons and workers over
    /// the zones in turn.
    pub fn with_free_ports(zones: &[&str], daemons: usize, workers: usize, slots: u32) -> Self {
        let zone_of = |index: usize| zones[index % zones.len()].to_owned();
        let daemons = (0..daemons).map(|index| DaemonAddrs {
            callers: free_addr(),
            operators: free_addr(),
            peers: free_addr(),
            zone: zone_of(index),
        });
        let daemons = daemons.collect();
        let workers = (0..workers).map(|index| (free_addr(), zone_of(index))).collect();
        let (log_addr, vm_list_addr) = (free_addr(), free_addr());
        let extra_settings = String::new();
        Self {
            daemons,
            workers,
            slots,
            log_addr,
            vm_list_addr,
            selection_policy: SelectionPolicy::Shares,
            extra_settings,
        }
    }

    /// Returns the settings file (INI) of a daemon.
    pub fn settings(&self, index: usize) -> String {
        let daemon = &self.daemons[index];
        let seeds: Vec<String> = self.daemons.iter().map(|d| d.peers.to_string()).collect();
        let choice = dispatch::report::name_of(&self.selection_policy);
        let mut text = String::new();
        let _ = write!(
            text,
            "[daemon]\nzone = {}\n[callers]\nlisten = {}\n[operators]\nlisten = {}\n\
             [peers]\nlisten = {}\nseeds = {}\n[platform]\nlog_service = {}\nvm_list = {}\n\
             [keys]\ncurrent = 1\nkey.1 = {}\n[policy]\nchoice = {choice}\n\
             [log]\nlevel = warn\n[testing]\nallow_faults = true\n{}",
            daemon.zone,
            daemon.callers,
            daemon.operators,
            daemon.peers,
            seeds.join(","),
            self.log_addr,
            self.vm_list_addr,
            "5e".repeat(32),
            self.extra_settings,
        );
        text
    }

    /// Returns the VM list, which holds the workers and the entry VMs of the daemons.
    pub fn vm_list(&self) -> Vec<Vm> {
        let workers = self.workers.iter().map(|(addr, zone)| Vm {
            role: VmRole::Worker,
            addr: *addr,
            zone: zone.clone(),
            leaving: false,
            slots: self.slots,
            cores: 64,
            memory_mb: 256 << 10,
            accelerators: 0,
        });
        let entries = self.daemons.iter().map(|daemon| Vm {
            role: VmRole::Entry,
            addr: daemon.peers,
            zone: daemon.zone.clone(),
            leaving: false,
            slots: 0,
            cores: 0,
            memory_mb: 0,
            accelerators: 0,
        });
        workers.chain(entries).collect()
    }
}

/// Returns the edits that create the catalogue of the benchmarks: three kinds and their owners.
pub fn sample_catalogue() -> Vec<Change> {
    let kind = |owner: &str, class, idempotent, journal, max_wait_ms| {
        Item::Kind(KindSpec {
            owner: owner.to_owned(),
            class,
            idempotent,
            journal,
            on_log_out: dispatch::catalogue::OnLogOutage::Refuse,
            max_wait_ms,
            max_tasks: 2_000,
        })
    };
    let entries = [
        ("coverage-check", kind("contracts", Class::Normal, true, false, 5_000)),
        ("other-check", kind("field-crews", Class::Normal, true, false, 5_000)),
        ("invoice", kind("billing", Class::Urgent, false, true, 5_000)),
        ("contracts", Item::Team(TeamSpec::default())),
        ("field-crews", Item::Team(TeamSpec::default())),
        ("billing", Item::Team(TeamSpec::default())),
    ];
    let change = |(name, item): (&str, Item)| {
        let name = name.to_owned();
        Change { name, base: None, item: Some(item) }
    };
    entries.into_iter().map(change).collect()
}

/// Returns a free loopback address. Its port lies below the range of ephemeral ports, so that no
/// outgoing connection can occupy it before the daemon listens there. The search starts at an offset
/// that depends on the process id.
fn free_addr() -> SocketAddr {
    let first = FIRST_PORT + (std::process::id() % PORT_OFFSETS) as u16 * PORTS_PER_OFFSET;
    loop {
        let tried = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let port = FIRST_PORT + (first - FIRST_PORT + tried) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}
