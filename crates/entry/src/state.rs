//! State that is shared by all parts of an entry daemon.

use std::cell::{Cell as Value, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use adapter::store::StoreClient;
use adapter::worker_calls::WorkerClient;
use dispatch::clock::Millis;
use dispatch::ticket::{Incarnation, Key, Keyring};
use httpedge::client::HttpClient;
use peers::links::{BlockedAddrs, Links};
use pool::balance::{Balance, MeasuredLoad};
use pool::catalogue::{Catalogue, Directory};
use pool::cells::Cell;
use pool::crashes::CrashHistory;
use pool::evacuation::Evacuations;
use pool::free_notice::RefusedDaemons;
use pool::job::Outcome;
use pool::load_table::LoadTable;
use pool::owners::Owners;
use pool::pool::Pool;
use pool::resettle::Resettlement;
use pool::responsiveness::Responsiveness;
use pool::retries::RetrySchedule;
use tokio::sync::{Notify, oneshot};

use crate::cancel::OpenJobs;
use crate::clock::Clock;
use crate::delegation::Delegation;
use crate::error::EntryError;
use crate::evacuation::OperatorFeed;
use crate::metrics::Metrics;
use crate::ownership::GroupState;
use crate::protocol::EntryProtocol;
use crate::remote_jobs::RemoteJobs;
use crate::settings::Settings;
use crate::speeds::ReleasedSpeeds;
use crate::worker_counts::ZoneCount;

/// Phase in the life cycle of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The daemon owns cells and serves callers.
    Serving,
    /// The daemon shuts down: it releases its cells and finishes the requests in flight.
    Draining,
}

/// A cell that this daemon owns.
#[derive(Debug)]
pub struct OwnedCell {
    /// Number that distinguishes this ownership from a previous one of the same cell.
    pub serial: u64,
    /// Scheduler state for the jobs and workers of the cell.
    pub pool: Pool,
    /// Address of the daemon that chose this one as the owner; `None` if this daemon owns the cell
    /// because it holds the cell's partition, or after a handover.
    pub holder: Option<SocketAddr>,
}

/// An entry daemon.
#[derive(Debug)]
pub struct Entry {
    /// Settings as read when the process started.
    pub settings: Settings,
    /// Source of the current time.
    pub clock: Clock,
    /// Random id of this process, by which other daemons distinguish it from a restarted one.
    pub incarnation: Incarnation,
    /// Catalogue in force; `None` until the first one has been read.
    pub catalogue: RefCell<Option<Rc<Catalogue>>>,
    /// Entries of the workers, as read from the store.
    pub directory: RefCell<Directory>,
    /// Whether this daemon should read the entries of the workers.
    pub should_read_workers: Value<bool>,
    /// Whether `directory` is complete, because this daemon has read the entries of all workers.
    pub knows_workers: Value<bool>,
    /// Until when this daemon reads the entries of the workers even if it owns no cell.
    pub read_workers_until: Value<Millis>,
    /// Wakes the loop that reads the entries of the workers.
    pub read_workers_changed: Notify,
    /// Number of workers in each zone as last known, used while `knows_workers` is false. Usually
    /// reported by another daemon.
    pub reported_counts: RefCell<Vec<ZoneCount>>,
    /// Cells that this daemon owns.
    pub owned: RefCell<BTreeMap<Cell, OwnedCell>>,
    /// Last known owner of each cell, from the store and from announcements of other daemons.
    pub owners: RefCell<Owners>,
    /// Addresses of the other known daemons, with their zones.
    pub peers: RefCell<BTreeMap<SocketAddr, String>>,
    /// Whether the last attempt to join the group at the store succeeded.
    pub is_store_reachable: Value<bool>,
    /// Until when cells are kept although the store does not assign them to this daemon: cells that
    /// another daemon handed over, and those owned when the store became reachable again.
    pub handover_until: RefCell<HashMap<Cell, Millis>>,
    /// State of this daemon's membership in the store's group.
    pub group: RefCell<GroupState>,
    /// Whether another daemon of this daemon's zone was in the group at the last read.
    pub has_zone_peers: Value<bool>,
    /// Since when each zone has had no daemon in the group.
    pub empty_zones_since: RefCell<BTreeMap<String, Millis>>,
    /// Whether this daemon's membership lapsed lately, so that its cells are kept for a while.
    pub resettlement: RefCell<Resettlement>,
    /// Generation and cells of the latest assignment by the store.
    pub assignment: RefCell<(u64, BTreeSet<Cell>)>,
    /// Daemons to which this one has delegated cells that it holds.
    pub delegations: RefCell<BTreeMap<Cell, Delegation>>,
    /// Last fencing token that this daemon issued for each cell.
    pub issued_tokens: RefCell<HashMap<Cell, u64>>,
    /// Capacity of each daemon that states it, by the address of the daemon, and when the store
    /// last listed it.
    pub capacities: RefCell<BTreeMap<SocketAddr, (u64, Millis)>>,
    /// Decides which held cells to delegate.
    pub balance: RefCell<Balance>,
    /// Load that this daemon has measured of itself; `None` before the first sample, and if its
    /// capacity is unknown.
    pub measured_load: RefCell<Option<MeasuredLoad>>,
    /// When another daemon was last asked for the owners after it denied a cell.
    pub owners_asked_at: Value<Millis>,
    /// Cells whose owner this daemon is changing: another daemon has been asked to release them or
    /// to take them over and has not replied yet.
    pub requested_cells: RefCell<BTreeSet<Cell>>,
    /// Crashes of workers in all cells, as far as they are known here.
    pub crashes: RefCell<CrashHistory>,
    /// Evacuations of zones, as far as they are known here.
    pub evacuations: RefCell<Evacuations>,
    /// Whether this daemon has read a complete listing of the operators' records. It acquires no
    /// cell before.
    pub knows_evacuations: Value<bool>,
    /// State of the subscription to the operators' records.
    pub operator_feed: RefCell<OperatorFeed>,
    /// When this daemon last drove a pool or passed an event to one.
    pub last_turn_at: Value<Millis>,
    /// When all I/O of this process was last known to be processed.
    pub io_at: Value<Millis>,
    /// When this process was last found to have been paused; `None` once the operators' records were
    /// read after that. It may have missed an evacuation.
    pub starts_held_since: Value<Option<Millis>>,
    /// Last known load of each cell, from the outcomes of jobs and reports of other daemons.
    pub loads: RefCell<LoadTable>,
    /// Wakes the jobs that wait in queues when `loads` has changed, so that they may move.
    pub loads_changed: Notify,
    /// Daemons to be notified when an owned cell, which had no room for their jobs, has room again.
    pub refused_daemons: RefCell<HashMap<Cell, RefusedDaemons>>,
    /// Addresses of the daemons that know [`Request::Withdraw`](crate::protocol::Request::Withdraw),
    /// as their answers show.
    pub withdrawing_peers: RefCell<HashSet<SocketAddr>>,
    /// Plan of the retries of the callers that this daemon has refused.
    pub retries: RefCell<RetrySchedule>,
    /// Speeds of the workers of cells that this daemon has released lately.
    pub released_speeds: RefCell<HashMap<Cell, ReleasedSpeeds>>,
    /// Which other daemons get no requests because they did not reply lately.
    pub responsiveness: RefCell<Responsiveness>,
    /// Fencing token at which this daemon was last fenced off each cell, and when. The cell is not
    /// acquired again with this token or a lower one.
    pub fenced: RefCell<HashMap<Cell, (u64, Millis)>>,
    /// Phase in the life cycle of the daemon.
    pub phase: Value<Phase>,
    /// When the process exits at the latest; `None` until it drains.
    pub exits_at: Value<Option<Millis>>,
    /// When this draining daemon, the last one of its zone, releases its cells at the latest.
    pub releases_cells_at: Value<Option<Millis>>,
    /// Number of callers' requests in flight.
    pub in_flight: Value<usize>,
    /// Jobs whose callers are connected to this daemon.
    pub open_jobs: OpenJobs,
    /// Connections to other daemons.
    pub links: Links<EntryProtocol>,
    /// Client for the API of the workers.
    pub workers: WorkerClient,
    /// Client for the API of the store.
    pub store: StoreClient,
    /// Counters and histograms that this daemon exports.
    pub metrics: Metrics,
    /// Wakes the loop that maintains the membership in the group.
    pub rejoin: Notify,
    /// Wakes the loop that reads the owners of the cells.
    pub owners_changed: Notify,
    /// Wakes the loop that drives the pools.
    pub pools_changed: Notify,
    /// Jobs that other daemons submitted here.
    pub remote_jobs: RefCell<RemoteJobs>,
    /// Senders of the outcomes of jobs, by serial of the ownership and submission number.
    pub(crate) outcome_senders: RefCell<HashMap<(u64, u64), oneshot::Sender<Outcome>>>,
    next_serial: Value<u64>,
    last_attempt: Value<u64>,
}

impl Entry {
    /// Creates the state of a daemon that has not read anything from the store yet.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(settings: Settings) -> Result<Rc<Self>, EntryError> {
        let incarnation = Incarnation(rand::random());
        let caller = HttpClient::new();
        let keys = Rc::new(derive_link_keys(&settings));
        let links = Links::new(incarnation, keys, Rc::default(), BlockedAddrs::default());
        let clock = Clock::default();
        let zones = settings.zones.iter().chain([&settings.zone]);
        let evacuations = Evacuations::new(zones.map(String::as_str));
        Ok(Rc::new(Self {
            clock,
            incarnation,
            catalogue: RefCell::default(),
            directory: RefCell::default(),
            should_read_workers: Value::new(false),
            knows_workers: Value::new(false),
            read_workers_until: Value::default(),
            read_workers_changed: Notify::new(),
            reported_counts: RefCell::default(),
            owned: RefCell::default(),
            owners: RefCell::new(Owners::new(settings.advertised)),
            peers: RefCell::default(),
            is_store_reachable: Value::new(false),
            handover_until: RefCell::default(),
            group: RefCell::default(),
            has_zone_peers: Value::new(false),
            empty_zones_since: RefCell::default(),
            resettlement: RefCell::new(Resettlement::new(settings.ownership_ms)),
            assignment: RefCell::default(),
            delegations: RefCell::default(),
            issued_tokens: RefCell::default(),
            capacities: RefCell::default(),
            balance: RefCell::new(Balance::new(clock.now())),
            measured_load: RefCell::default(),
            owners_asked_at: Value::default(),
            requested_cells: RefCell::default(),
            crashes: RefCell::default(),
            evacuations: RefCell::new(evacuations),
            knows_evacuations: Value::new(false),
            operator_feed: RefCell::default(),
            last_turn_at: Value::new(clock.now()),
            io_at: Value::new(clock.now()),
            starts_held_since: Value::new(None),
            loads: RefCell::new(LoadTable::new(settings.zones.iter().map(String::as_str))),
            loads_changed: Notify::new(),
            refused_daemons: RefCell::default(),
            withdrawing_peers: RefCell::default(),
            retries: RefCell::default(),
            released_speeds: RefCell::default(),
            responsiveness: RefCell::default(),
            fenced: RefCell::default(),
            phase: Value::new(Phase::Serving),
            exits_at: Value::new(None),
            releases_cells_at: Value::new(None),
            in_flight: Value::new(0),
            open_jobs: OpenJobs::default(),
            links,
            workers: WorkerClient::new(),
            store: StoreClient::new(settings.store, caller),
            metrics: Metrics::new()?,
            rejoin: Notify::new(),
            owners_changed: Notify::new(),
            pools_changed: Notify::new(),
            remote_jobs: RefCell::default(),
            outcome_senders: RefCell::default(),
            next_serial: Value::new(1),
            last_attempt: Value::default(),
            settings,
        }))
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether callers should be routed to this daemon: it is not draining, has a catalogue, and
    /// owns a cell or knows an owner.
    pub fn is_ready(&self) -> bool {
        let can_serve = !self.owned.borrow().is_empty() || !self.owners.borrow().is_empty();
        self.phase.get() == Phase::Serving && self.catalogue.borrow().is_some() && can_serve
    }

    /// Returns a new serial for an ownership, unique within this process.
    pub fn allocate_serial(&self) -> u64 {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        serial
    }

    /// Returns a number for a request that submits a job to another daemon, unique within this process
    /// and not zero.
    pub fn allocate_attempt(&self) -> u64 {
        self.last_attempt.set(self.last_attempt.get() + 1);
        self.last_attempt.get()
    }

    /// Whether requests may be sent to a daemon, because it did not fail to reply lately.
    pub fn is_responsive(&self, addr: SocketAddr) -> bool {
        self.responsiveness.borrow().is_responsive(addr, self.now())
    }
}

/// Derives the key for connections between daemons from the list of zones, which is the same for
/// all daemons of an installation. The platform provides no secret, so the key does not
/// authenticate: it only separates the daemons of different installations.
fn derive_link_keys(settings: &Settings) -> Keyring {
    let mut zones = settings.zones.clone();
    zones.sort();
    let secret = blake3::derive_key("clementinedock links", zones.join(",").as_bytes());
    Keyring::new(Key { id: 0, secret }, Vec::new())
}
