//! The layout of a small fleet on loopback: addresses, settings and the catalogue.

use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

use dispatch::catalogue::{Change, Item, KindSpec, TeamSpec};
use dispatch::queue::Class;
use dispatch::workers::SelectionPolicy;
use platform::wire::{Vm, VmRole};

const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;
const PORT_STEP: u16 = 400;
const PORT_STARTS: u32 = 50;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// The zones of Ferrandi.
pub const FERRANDI_ZONES: [&str; 4] = ["milano-nord", "bergamo", "brescia", "sondrio"];
/// The zones of Kesel.
pub const KESEL_ZONES: [&str; 3] = ["bahirdar-a", "gondar-b", "debre-c"];

/// The addresses of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonAddrs {
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where operators are served.
    pub operators: SocketAddr,
    /// Where other daemons are heard.
    pub peers: SocketAddr,
    /// The zone.
    pub zone: String,
}

/// A fleet's addresses.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<DaemonAddrs>,
    /// The workers with their zones.
    pub workers: Vec<(SocketAddr, String)>,
    /// Slots of each worker.
    pub slots: u32,
    /// The log service.
    pub log: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
    /// How daemons choose workers.
    pub choice: SelectionPolicy,
    /// More lines for each daemon's settings.
    pub extra: String,
}

impl Fleet {
    /// Lays a fleet out on free ports.
    pub fn lay_out(zones: &[&str], daemons: usize, workers: usize, slots: u32) -> Self {
        let zone_of = |place: usize| zones[place % zones.len()].to_owned();
        let daemons = (0..daemons).map(|place| DaemonAddrs {
            callers: free_addr(),
            operators: free_addr(),
            peers: free_addr(),
            zone: zone_of(place),
        });
        let daemons = daemons.collect();
        let workers = (0..workers).map(|place| (free_addr(), zone_of(place))).collect();
        let (log, vms) = (free_addr(), free_addr());
        let extra = String::new();
        Self { daemons, workers, slots, log, vms, choice: SelectionPolicy::Shares, extra }
    }

    /// Gives the settings of one daemon.
    pub fn settings(&self, place: usize) -> String {
        let daemon = &self.daemons[place];
        let seeds: Vec<String> = self.daemons.iter().map(|d| d.peers.to_string()).collect();
        let choice = dispatch::report::name_of(&self.choice);
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
            self.log,
            self.vms,
            "5e".repeat(32),
            self.extra,
        );
        text
    }

    /// Gives the VM list.
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

/// Gives the catalogue that the measurements use.
pub fn sample_catalogue() -> Vec<Change> {
    let kind = |owner: &str, class, idempotent, journal, max_wait_ms| {
        Item::Kind(KindSpec {
            owner: owner.to_owned(),
            class,
            idempotent,
            journal,
            on_log_out: dispatch::catalogue::OnLogOut::Refuse,
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

/// Gives a free address below the range from which the system takes ports for connections, so
/// that no connection can take it before its daemon listens.
fn free_addr() -> SocketAddr {
    let first = FIRST_PORT + (std::process::id() % PORT_STARTS) as u16 * PORT_STEP;
    loop {
        let turn = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let port = FIRST_PORT + (first - FIRST_PORT + turn) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}
