//! State shared by all parts of the daemon, and the entry point for events to the engine.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ::operators::metrics::Metrics;
use ::peers::heartbeats::HeartbeatSocket;
use ::peers::links::{BlockedAddrs, Links, Traffic};
use ::peers::wire::DaemonProtocol;
use dispatch::answer::Answer;
use dispatch::clock::Millis;
use dispatch::engine::{Engine, EngineBuilder, Event};
use dispatch::follower::Follower;
use dispatch::home::HandoverTable;
use dispatch::jobs::RequestId;
use dispatch::membership::Membership;
use dispatch::ticket::{Incarnation, JobId, Keyring, Ticket};
use httpedge::client::HttpClient;
use platform::client::{LogClient, VmListClient};
use tokio::sync::oneshot;
use upstreams::client::WorkerClient;

use crate::claims::Claims;
use crate::config::Config;
use crate::journal::Journal;
use crate::recovery::Recovery;

/// Lifecycle phase of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts new jobs and issues tickets.
    Serving,
    /// Finishes its open jobs; issues no tickets and accepts no handovers.
    Draining,
    /// Has removed its ticket tables for a successor and only forwards requests.
    HandedOver,
}

/// Value of the daemon's clock at its start; above zero, so that times before the start can be
/// represented.
const CLOCK_ORIGIN_MS: u64 = 10_000_000;

/// State of one daemon process, shared by its tasks on the local thread.
pub struct Daemon {
    /// Settings that the daemon was started with.
    pub config: Config,
    /// Random identifier of this process, generated at its start.
    pub incarnation: Incarnation,
    /// Scheduling state machine, which turns events into actions.
    pub engine: RefCell<Engine>,
    /// Other daemons of the fleet, as learnt from heartbeats.
    pub membership: RefCell<Membership>,
    /// Catalogue as read from the log service or from peers.
    pub follower: RefCell<Follower>,
    /// Keys that seal tickets and messages between daemons.
    pub keys: Rc<Keyring>,
    /// Connections to other daemons.
    pub links: Links<DaemonProtocol>,
    /// Socket that sends and receives heartbeats.
    pub heartbeats: HeartbeatSocket,
    /// Client for calls to workers.
    pub workers: WorkerClient,
    /// Client for calls to the log service.
    pub log: LogClient,
    /// Client for calls to the VM list.
    pub vms: VmListClient,
    /// Journal of job starts: records to append and state read from the log service.
    pub journal: Journal,
    /// Claims of idempotency keys that came without a ticket.
    pub claims: Claims,
    /// Recovery of answers for jobs whose home daemon is dead.
    pub recovery: Recovery,
    /// Metrics of ended jobs.
    pub metrics: Metrics,
    /// Counters of messages exchanged with other daemons.
    pub traffic: Rc<Traffic>,
    /// Number of messages to and from workers.
    pub worker_messages: Cell<u64>,
    /// Number of messages to and from workers in other zones.
    pub cross_zone_worker_messages: Cell<u64>,
    /// Number of heartbeats and slot messages sent to daemons in other zones.
    pub cross_zone_peer_messages: Cell<u64>,
    /// Number of messages to and from the log service and the VM list.
    pub platform_messages: Cell<u64>,
    /// Number of messages to and from the log service for journalled starts and key claims.
    pub submission_log_messages: Cell<u64>,
    /// Number of messages caused by forwarding requests to other daemons.
    pub forward_messages: Cell<u64>,
    /// Addresses with which communication is blocked in failure tests.
    pub cuts: BlockedAddrs,
    /// Current lifecycle phase.
    pub phase: Cell<Phase>,
    /// Time of the last answer from the log service; `None` before the first.
    pub log_reached_at: Cell<Option<Millis>>,
    /// Ticket tables that draining daemons offered but have not ordered this daemon to take over.
    pub offered_tables: RefCell<HashMap<Incarnation, Vec<HandoverTable>>>,
    /// Drained daemons whose tables this daemon took over, including tables that it has since
    /// handed over itself.
    pub taken_over: RefCell<HashSet<Incarnation>>,
    waiters: RefCell<HashMap<RequestId, oneshot::Sender<Rc<Answer>>>>,
    next_request: Cell<RequestId>,
    started_at: Instant,
}

impl std::fmt::Debug for Daemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Daemon({})", self.incarnation)
    }
}

/// Bound sockets that a daemon needs in addition to its settings.
#[derive(Debug)]
pub struct Sockets {
    /// UDP socket for heartbeats.
    pub heartbeats: actix_rt::net::UdpSocket,
}

impl Daemon {
    /// Creates a daemon with a random incarnation, an empty catalogue and no known workers.
    ///
    /// # Errors
    /// Returns an error if the metrics cannot be registered.
    pub fn new(config: Config, sockets: Sockets) -> Result<Rc<Self>, crate::error::DaemonError> {
        let incarnation = Incarnation(rand::random());
        let keys = Rc::new(config.keys.clone());
        let traffic = Rc::new(Traffic::default());
        let cuts = BlockedAddrs::default();
        let caller = HttpClient::with_blocked_addrs(Rc::clone(&cuts));
        let engine = EngineBuilder::new(incarnation, &config.zone)
            .choice(config.choice)
            .hold(config.hold)
            .spill_ms(config.spill_ms)
            .build();
        let membership = Membership::new(incarnation, config.peers, &config.zone, &config.seeds);
        let link_context = (Rc::clone(&keys), Rc::clone(&traffic), Rc::clone(&cuts));
        let metrics = Metrics::new()
            .map_err(|error| crate::error::DaemonError::Metrics(error.to_string()))?;
        Ok(Rc::new(Self {
            incarnation,
            engine: RefCell::new(engine),
            membership: RefCell::new(membership),
            follower: RefCell::default(),
            links: Links::new(incarnation, link_context.0, link_context.1, link_context.2),
            heartbeats: HeartbeatSocket::new(
                sockets.heartbeats,
                Rc::clone(&keys),
                Rc::clone(&traffic),
                Rc::clone(&cuts),
            ),
            keys,
            workers: WorkerClient::new(caller.clone()),
            log: LogClient::new(config.log_service, caller.clone()),
            vms: VmListClient::new(config.vm_list, caller),
            journal: Journal::default(),
            claims: Claims::default(),
            recovery: Recovery::default(),
            metrics,
            traffic,
            worker_messages: Cell::new(0),
            cross_zone_worker_messages: Cell::new(0),
            cross_zone_peer_messages: Cell::new(0),
            platform_messages: Cell::new(0),
            submission_log_messages: Cell::new(0),
            forward_messages: Cell::new(0),
            cuts,
            phase: Cell::new(Phase::Serving),
            log_reached_at: Cell::new(None),
            offered_tables: RefCell::default(),
            taken_over: RefCell::default(),
            waiters: RefCell::default(),
            next_request: Cell::new(1),
            started_at: Instant::now(),
            config,
        }))
    }

    /// Returns the time on the daemon's monotonic clock, in milliseconds.
    pub fn now(&self) -> Millis {
        Millis(CLOCK_ORIGIN_MS + self.started_at.elapsed().as_millis() as u64)
    }

    /// Passes an event to the engine and executes the resulting actions.
    pub fn process_event(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let actions = self.engine.borrow_mut().handle(now, event);
        for action in actions {
            self.execute(action);
        }
    }

    /// Issues a new ticket (an idempotency key) of this daemon and returns it with its sealed text.
    pub fn issue_ticket(&self) -> (Ticket, String) {
        let issued_ms = self.now();
        let expiry_ms = issued_ms.plus(self.config.ticket_valid_ms);
        let job = self.engine.borrow_mut().issue(expiry_ms);
        let zone = self.config.zone.clone();
        let ticket = Ticket { job, home: self.config.peers, zone, issued_ms, expiry_ms };
        let text = self.keys.issue(&ticket);
        (ticket, text)
    }

    /// Issues `count` tickets; none if the daemon is not serving or has no catalogue yet.
    pub fn issue_tickets(&self, count: usize) -> Vec<String> {
        if self.phase.get() != Phase::Serving || self.follower.borrow().state().is_none() {
            return Vec::new();
        }
        (0..count).map(|_| self.issue_ticket().1).collect()
    }

    /// Passes the event of a new request to the engine and waits up to `wait_ms` for the answer.
    ///
    /// Returns an interim answer after that time. If the returned future is dropped because the
    /// caller has disconnected, the request is removed.
    pub async fn await_answer(
        self: &Rc<Self>,
        job: JobId,
        wait_ms: u64,
        event: impl FnOnce(RequestId) -> Event,
    ) -> Rc<Answer> {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(request, sender);
        let mut guard = WaiterGuard { daemon: self, request, job, armed: true };
        self.process_event(event(request));
        let answer = actix_rt::time::timeout(Duration::from_millis(wait_ms), receiver).await;
        if let Ok(Ok(answer)) = answer {
            guard.armed = false;
            return answer;
        }
        drop(guard);
        Rc::new(Answer::running())
    }

    /// Sends an answer to the request that waits for it; ignored if the request was removed.
    pub fn answer(&self, request: RequestId, answer: Rc<Answer>) {
        if let Some(sender) = self.waiters.borrow_mut().remove(&request) {
            let _ = sender.send(answer);
        }
    }

    /// Returns the number of requests that wait for an answer.
    pub fn waiting_requests(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Records that the log service has answered now.
    pub fn record_log_answer(&self) {
        self.log_reached_at.set(Some(self.now()));
    }

    /// Returns whether the log service answered within the last 5 s.
    pub fn reaches_log(&self) -> bool {
        let reached = self.log_reached_at.get();
        reached.is_some_and(|at| self.now().since(at) < LOG_TIMEOUT_MS)
    }
}

/// The log service is treated as unreachable after this long without an answer.
const LOG_TIMEOUT_MS: u64 = 5_000;

/// Guard that removes a request on drop, unless disarmed: its caller has disconnected or receives
/// an interim answer.
struct WaiterGuard<'a> {
    daemon: &'a Rc<Daemon>,
    request: RequestId,
    job: JobId,
    armed: bool,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.daemon.waiters.borrow_mut().remove(&self.request);
            self.daemon.process_event(Event::RemoveWaiter { request: self.request, job: self.job });
        }
    }
}
