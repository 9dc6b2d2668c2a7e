//! The daemon's shared state, and the one way in which events reach the engine.

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
use platform::client::{LogClient, VmClient};
use tokio::sync::oneshot;
use upstreams::client::WorkerClient;

use crate::claims::Claims;
use crate::config::Config;
use crate::journal::Journal;
use crate::recovery::Recovery;

/// Where a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It finishes what it has and takes nothing new of its own.
    Draining,
    /// It has given its tables away and only forwards.
    HandedOver,
}

/// Where the daemon's clock begins, so that spans before its start can be told.
const CLOCK_BEGIN_MS: u64 = 10_000_000;

/// One daemon.
pub struct Daemon {
    /// The settings.
    pub config: Config,
    /// The incarnation that this process drew.
    pub incarnation: Incarnation,
    /// The decisions.
    pub engine: RefCell<Engine>,
    /// The other daemons.
    pub membership: RefCell<Membership>,
    /// The catalogue.
    pub follower: RefCell<Follower>,
    /// The keys.
    pub keys: Rc<Keyring>,
    /// Links to other daemons.
    pub links: Links<DaemonProtocol>,
    /// Heartbeats.
    pub beats: HeartbeatSocket,
    /// Calls to workers.
    pub workers: WorkerClient,
    /// Calls to the log service.
    pub log: LogClient,
    /// Calls to the VM list.
    pub vms: VmClient,
    /// The journal of starts.
    pub journal: Journal,
    /// Claims of bare keys.
    pub claims: Claims,
    /// Jobs of dead homes.
    pub recovery: Recovery,
    /// Metrics.
    pub metrics: Metrics,
    /// Traffic with other daemons.
    pub traffic: Rc<Traffic>,
    /// Messages to and from workers.
    pub worker_messages: Cell<u64>,
    /// Messages to and from workers of other zones.
    pub far_messages: Cell<u64>,
    /// Messages sent to daemons of other zones.
    pub far_peer_messages: Cell<u64>,
    /// Messages to and from the platform.
    pub platform_messages: Cell<u64>,
    /// Messages to and from the log service for journalled starts and claims.
    pub submission_log_messages: Cell<u64>,
    /// Messages that forwarding cost.
    pub forward_messages: Cell<u64>,
    /// Addresses that are cut off for a failure test.
    pub cuts: BlockedAddrs,
    /// Where the daemon is in its life.
    pub phase: Cell<Phase>,
    /// When the log service last answered.
    pub log_reached_at: Cell<Option<Millis>>,
    /// Tables that a draining daemon offered and has not handed over yet.
    pub offered: RefCell<HashMap<Incarnation, Vec<HandoverTable>>>,
    /// Drained daemons whose tables were taken over here, also where they went on since.
    pub taken: RefCell<HashSet<Incarnation>>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Rc<Answer>>>>,
    next_request: Cell<RequestId>,
    began: Instant,
}

impl std::fmt::Debug for Daemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Daemon({})", self.incarnation)
    }
}

/// What a daemon needs besides its settings.
#[derive(Debug)]
pub struct Sockets {
    /// The socket of heartbeats.
    pub beats: actix_rt::net::UdpSocket,
}

impl Daemon {
    /// Builds a daemon that has drawn its incarnation and knows nothing yet.
    ///
    /// # Errors
    /// Fails where metrics cannot be set up.
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
        let share = (Rc::clone(&keys), Rc::clone(&traffic), Rc::clone(&cuts));
        let metrics = Metrics::new()
            .map_err(|error| crate::error::DaemonError::Metrics(error.to_string()))?;
        Ok(Rc::new(Self {
            incarnation,
            engine: RefCell::new(engine),
            membership: RefCell::new(membership),
            follower: RefCell::default(),
            links: Links::new(incarnation, share.0, share.1, share.2),
            beats: HeartbeatSocket::new(
                sockets.beats,
                Rc::clone(&keys),
                Rc::clone(&traffic),
                Rc::clone(&cuts),
            ),
            keys,
            workers: WorkerClient::new(caller.clone()),
            log: LogClient::new(config.log_service, caller.clone()),
            vms: VmClient::new(config.vm_list, caller),
            journal: Journal::default(),
            claims: Claims::default(),
            recovery: Recovery::default(),
            metrics,
            traffic,
            worker_messages: Cell::new(0),
            far_messages: Cell::new(0),
            far_peer_messages: Cell::new(0),
            platform_messages: Cell::new(0),
            submission_log_messages: Cell::new(0),
            forward_messages: Cell::new(0),
            cuts,
            phase: Cell::new(Phase::Serving),
            log_reached_at: Cell::new(None),
            offered: RefCell::default(),
            taken: RefCell::default(),
            waiting: RefCell::default(),
            next_request: Cell::new(1),
            began: Instant::now(),
            config,
        }))
    }

    /// Gives the time on the daemon's clock.
    pub fn now(&self) -> Millis {
        Millis(CLOCK_BEGIN_MS + self.began.elapsed().as_millis() as u64)
    }

    /// Hands an event to the engine and carries out what follows.
    pub fn drive(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let actions = self.engine.borrow_mut().handle(now, event);
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Draws a new ticket of this daemon.
    pub fn draw_ticket(&self) -> (Ticket, String) {
        let issued_ms = self.now();
        let expiry_ms = issued_ms.plus(self.config.ticket_valid_ms);
        let job = self.engine.borrow_mut().issue(expiry_ms);
        let zone = self.config.zone.clone();
        let ticket = Ticket { job, home: self.config.peers, zone, issued_ms, expiry_ms };
        let text = self.keys.issue(&ticket);
        (ticket, text)
    }

    /// Draws so many tickets, or none by a daemon that does not serve.
    pub fn draw_tickets(&self, count: usize) -> Vec<String> {
        if self.phase.get() != Phase::Serving || self.follower.borrow().state().is_none() {
            return Vec::new();
        }
        (0..count).map(|_| self.draw_ticket().1).collect()
    }

    /// Sends a request into the engine and waits for its answer.
    pub async fn ask_engine(
        self: &Rc<Self>,
        job: JobId,
        wait_ms: u64,
        event: impl FnOnce(RequestId) -> Event,
    ) -> Rc<Answer> {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(request, sender);
        let mut guard = Abandon { daemon: self, request, job, armed: true };
        self.drive(event(request));
        let answer = actix_rt::time::timeout(Duration::from_millis(wait_ms), receiver).await;
        if let Ok(Ok(answer)) = answer {
            guard.armed = false;
            return answer;
        }
        drop(guard);
        Rc::new(Answer::running())
    }

    /// Gives an answer to the request that waits for it.
    pub fn answer(&self, request: RequestId, answer: Rc<Answer>) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&request) {
            let _ = sender.send(answer);
        }
    }

    /// Gives the number of requests that wait for an answer.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Notes that the log service has answered.
    pub fn log_answered(&self) {
        self.log_reached_at.set(Some(self.now()));
    }

    /// Tells whether the log service answered lately.
    pub fn reaches_log(&self) -> bool {
        let reached = self.log_reached_at.get();
        reached.is_some_and(|at| self.now().since(at) < LOG_SILENT_MS)
    }
}

/// The log service counts as out of reach after this long without an answer.
const LOG_SILENT_MS: u64 = 5_000;

/// Forgets a request whose caller has gone away or got an interim answer.
struct Abandon<'a> {
    daemon: &'a Rc<Daemon>,
    request: RequestId,
    job: JobId,
    armed: bool,
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.daemon.waiting.borrow_mut().remove(&self.request);
            self.daemon.drive(Event::RemoveWaiter { request: self.request, job: self.job });
        }
    }
}
