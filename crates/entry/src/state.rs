//! The daemon's shared state.

use std::cell::{Cell as Value, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use adapter::orders::WorkerApi;
use adapter::store::StoreApi;
use dispatch::clock::Millis;
use dispatch::ticket::{Incarnation, Key, Keyring};
use httpedge::client::HttpClient;
use peers::links::{BlockedAddrs, Links};
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

/// Where a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It has given its cells up and finishes what it has.
    Draining,
}

/// A cell that this daemon owns.
#[derive(Debug)]
pub struct Owned {
    /// Tells this ownership from an earlier one of the same cell.
    pub serial: u64,
    /// The decisions.
    pub pool: Pool,
}

/// Identifies a job that another daemon waits for.
pub type RemoteJob = (Incarnation, Rc<str>);

/// One entry daemon.
#[derive(Debug)]
pub struct Entry {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// Tells this process from others in links.
    pub incarnation: Incarnation,
    /// The catalogue in force; none before the first.
    pub catalogue: RefCell<Option<Rc<Catalogue>>>,
    /// The workers' entries.
    pub directory: RefCell<Directory>,
    /// Whether this daemon is to read the workers' entries, and whether it has read them.
    pub wants_workers: Value<bool>,
    /// See [`Entry::wants_workers`].
    pub knows_workers: Value<bool>,
    /// Until when this daemon reads the workers' entries without owning a cell.
    pub may_own_until: Value<Millis>,
    /// Wakes the loop that reads the workers' entries.
    pub workers_wanted: Notify,
    /// How many workers each zone has, where another daemon told it.
    pub told_counts: RefCell<Vec<ZoneCount>>,
    /// The cells that this daemon owns.
    pub owned: RefCell<BTreeMap<Cell, Owned>>,
    /// The daemon that owns each cell, as far as the store or other daemons told.
    pub owners: RefCell<Owners>,
    /// Other daemons that were seen, with their zones.
    pub others: RefCell<BTreeMap<SocketAddr, String>>,
    /// Whether the last call to the store was answered.
    pub store_reached: Value<bool>,
    /// Until when cells that another daemon handed over are kept without the store.
    pub handed_until: RefCell<HashMap<Cell, Millis>>,
    /// The load of each cell, as far as it was told.
    pub loads: RefCell<CellLoads>,
    /// Until when a daemon that did not answer is not asked.
    pub silent_until: RefCell<HashMap<SocketAddr, Millis>>,
    /// Fencing tokens that a later owner has overtaken.
    pub fenced: RefCell<HashMap<Cell, u64>>,
    /// Where the daemon is in its life.
    pub phase: Value<Phase>,
    /// When the process ends, once it drains.
    pub ends_at: Value<Option<Millis>>,
    /// Callers' requests that are being served.
    pub in_flight: Value<usize>,
    /// The jobs whose callers wait here.
    pub open_jobs: OpenJobs,
    /// Links to other daemons.
    pub links: Links<Fleet>,
    /// Calls to workers.
    pub workers: WorkerApi,
    /// Calls to the store.
    pub store: StoreApi,
    /// Metrics.
    pub metrics: Metrics,
    /// Wakes the loop that joins the group.
    pub rejoin: Notify,
    /// Wakes the loop that drives the pools.
    pub due: Notify,
    /// Jobs of other daemons, with the cell, the ownership and the number that they run under.
    pub remote_jobs: RefCell<HashMap<RemoteJob, (Cell, u64, u64)>>,
    pub(crate) waiting: RefCell<HashMap<(u64, u64), oneshot::Sender<Outcome>>>,
    next_serial: Value<u64>,
}

impl Entry {
    /// Builds a daemon that knows nothing yet.
    ///
    /// # Errors
    /// Fails where metrics cannot be registered.
    pub fn new(settings: Settings) -> Result<Rc<Self>, EntryError> {
        let incarnation = Incarnation(rand::random());
        let caller = HttpClient::new();
        let keys = Rc::new(link_keys(&settings));
        let links = Links::new(incarnation, keys, Rc::default(), BlockedAddrs::default());
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

    /// Gives the time now.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let can_serve = !self.owned.borrow().is_empty() || !self.owners.borrow().is_empty();
        self.phase.get() == Phase::Serving && self.catalogue.borrow().is_some() && can_serve
    }

    /// Draws a number that tells ownerships apart.
    pub fn draw_serial(&self) -> u64 {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        serial
    }

    /// Notes that a daemon did not answer.
    pub fn note_silent(&self, addr: SocketAddr) {
        self.silent_until.borrow_mut().insert(addr, self.now().plus(SILENT_MS));
    }

    /// Tells whether a daemon may be asked.
    pub fn may_ask(&self, addr: SocketAddr) -> bool {
        self.silent_until.borrow().get(&addr).is_none_or(|until| self.now() >= *until)
    }
}

/// How long a daemon that did not answer is not asked, in milliseconds.
const SILENT_MS: u64 = 400;

/// Makes the key of links. The platform gives no secret, so that the key only keeps the daemons
/// of different installations apart. It is made of what all daemons of one are told alike.
fn link_keys(settings: &Settings) -> Keyring {
    let mut zones = settings.zones.clone();
    zones.sort();
    let secret = blake3::derive_key("clementinedock links", zones.join(",").as_bytes());
    Keyring::new(Key { id: 0, secret }, Vec::new())
}
