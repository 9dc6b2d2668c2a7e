//! State that is shared by all parts of an entry daemon.

use std::cell::{Cell as Value, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use adapter::orders::WorkerApi;
use adapter::store::StoreApi;
use dispatch::clock::Millis;
use dispatch::ticket::{Incarnation, Key, Keyring};
use httpedge::client::Caller;
use peers::links::{Cuts, Links};
use pool::catalogue::{Catalogue, Directory};
use pool::cells::Cell;
use pool::job::Outcome;
use pool::owners::Owners;
use pool::pool::Pool;
use pool::spill::CellLoads;
use tokio::sync::{Notify, oneshot};

use crate::cancel::OpenJobs;
use crate::clock::Clock;
use crate::counts::ZoneCount;
use crate::error::EntryError;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::settings::Settings;

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
pub struct Owned {
    /// Number that distinguishes this ownership from a previous one of the same cell.
    pub serial: u64,
    /// Scheduler state for the jobs and workers of the cell.
    pub pool: Pool,
}

/// Key of a job that another daemon submitted here: the incarnation of that daemon (the id of its
/// process) and the id of the job.
pub type RemoteJob = (Incarnation, Rc<str>);

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
    pub wants_workers: Value<bool>,
    /// Whether `directory` is complete, because this daemon has read the entries of all workers.
    pub knows_workers: Value<bool>,
    /// Until when this daemon reads the entries of the workers even if it owns no cell.
    pub may_own_until: Value<Millis>,
    /// Wakes the loop that reads the entries of the workers.
    pub workers_wanted: Notify,
    /// Number of workers in each zone as last known, used while `knows_workers` is false. Usually
    /// reported by another daemon.
    pub told_counts: RefCell<Vec<ZoneCount>>,
    /// Cells that this daemon owns.
    pub owned: RefCell<BTreeMap<Cell, Owned>>,
    /// Last known owner of each cell, from the store and from announcements of other daemons.
    pub owners: RefCell<Owners>,
    /// Addresses of the other known daemons, with their zones.
    pub others: RefCell<BTreeMap<SocketAddr, String>>,
    /// Whether the last attempt to join the group at the store succeeded.
    pub store_reached: Value<bool>,
    /// Until when cells that another daemon handed over are kept although the store does not assign
    /// them to this daemon.
    pub handed_until: RefCell<HashMap<Cell, Millis>>,
    /// Last known load of each cell, from the outcomes of jobs.
    pub loads: RefCell<CellLoads>,
    /// Until when an unresponsive daemon gets no requests.
    pub silent_until: RefCell<HashMap<SocketAddr, Millis>>,
    /// Fencing token at which this daemon was last fenced off each cell. The cell is not acquired
    /// again with this token or a lower one.
    pub fenced: RefCell<HashMap<Cell, u64>>,
    /// Phase in the life cycle of the daemon.
    pub phase: Value<Phase>,
    /// When the process exits at the latest; `None` until it drains.
    pub ends_at: Value<Option<Millis>>,
    /// Number of callers' requests in flight.
    pub in_flight: Value<usize>,
    /// Jobs whose callers are connected to this daemon.
    pub open_jobs: OpenJobs,
    /// Connections to other daemons.
    pub links: Links<Fleet>,
    /// Client for the API of the workers.
    pub workers: WorkerApi,
    /// Client for the API of the store.
    pub store: StoreApi,
    /// Counters and histograms that this daemon exports.
    pub metrics: Metrics,
    /// Wakes the loop that maintains the membership in the group.
    pub rejoin: Notify,
    /// Wakes the loop that drives the pools.
    pub due: Notify,
    /// Jobs that other daemons submitted here, with their cell, the serial of the ownership and the
    /// submission number.
    pub remote_jobs: RefCell<HashMap<RemoteJob, (Cell, u64, u64)>>,
    /// Senders of the outcomes of jobs, by serial of the ownership and submission number.
    pub(crate) waiting: RefCell<HashMap<(u64, u64), oneshot::Sender<Outcome>>>,
    next_serial: Value<u64>,
}

impl Entry {
    /// Creates the state of a daemon that has not read anything from the store yet.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(settings: Settings) -> Result<Rc<Self>, EntryError> {
        let incarnation = Incarnation(rand::random());
        let caller = Caller::new();
        let keys = Rc::new(derive_link_keys(&settings));
        let links = Links::new(incarnation, keys, Rc::default(), Cuts::default());
        Ok(Rc::new(Self {
            clock: Clock::default(),
            incarnation,
            catalogue: RefCell::default(),
            directory: RefCell::default(),
            wants_workers: Value::new(false),
            knows_workers: Value::new(false),
            may_own_until: Value::default(),
            workers_wanted: Notify::new(),
            told_counts: RefCell::default(),
            owned: RefCell::default(),
            owners: RefCell::new(Owners::new(settings.advertised)),
            others: RefCell::default(),
            store_reached: Value::new(false),
            handed_until: RefCell::default(),
            loads: RefCell::default(),
            silent_until: RefCell::default(),
            fenced: RefCell::default(),
            phase: Value::new(Phase::Serving),
            ends_at: Value::new(None),
            in_flight: Value::new(0),
            open_jobs: OpenJobs::default(),
            links,
            workers: WorkerApi::new(caller.clone()),
            store: StoreApi::new(settings.store, caller),
            metrics: Metrics::new()?,
            rejoin: Notify::new(),
            due: Notify::new(),
            remote_jobs: RefCell::default(),
            waiting: RefCell::default(),
            next_serial: Value::new(1),
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
    pub fn draw_serial(&self) -> u64 {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        serial
    }

    /// Records that a daemon did not reply, so that it gets no requests for a while.
    pub fn note_silent(&self, addr: SocketAddr) {
        self.silent_until.borrow_mut().insert(addr, self.now().plus(UNRESPONSIVE_MS));
    }

    /// Whether requests may be sent to a daemon, because it is not marked as unresponsive.
    pub fn may_ask(&self, addr: SocketAddr) -> bool {
        self.silent_until.borrow().get(&addr).is_none_or(|until| self.now() >= *until)
    }
}

/// How long a daemon gets no requests after it did not reply, in milliseconds.
const UNRESPONSIVE_MS: u64 = 400;

/// Derives the key for connections between daemons from the list of zones, which is the same for
/// all daemons of an installation. The platform provides no secret, so the key does not
/// authenticate: it only separates the daemons of different installations.
fn derive_link_keys(settings: &Settings) -> Keyring {
    let mut zones = settings.zones.clone();
    zones.sort();
    let secret = blake3::derive_key("clementinedock links", zones.join(",").as_bytes());
    Keyring::new(Key { id: 0, secret }, Vec::new())
}
