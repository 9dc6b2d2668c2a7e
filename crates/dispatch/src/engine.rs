//! State machine of one daemon: consumes events and emits actions.
//!
//! The engine does no I/O, never blocks and reads no system clock: the current time is passed
//! in with each event. `docs/ARCHITECTURE.md` describes how the daemon executes the actions.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use crate::answer::{Answer, Reason, Verdict};
use crate::catalogue::Fold;
use crate::clock::Millis;
use crate::estimate::Estimates;
use crate::health::KindHealth;
use crate::home::{HandedTable, HoldLimits, HomeTable};
use crate::jobs::{Job, JobRequest, RequestId, Submission};
use crate::queue::{Queue, QueuedTask};
use crate::report::{Counters, Refusal};
use crate::shares::{PeerLoad, Shares, SlotGrant, SlotRequest};
use crate::ticket::{Incarnation, JobId, TaskId};
use crate::workers::{Choice, WorkerInfo, Workers};

/// Input of an [`Engine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job under a ticket whose home is this daemon.
    Submit(Submission),
    /// A caller waits for the answer to a job that was submitted earlier.
    Wait {
        /// Request to which the answer is sent.
        request: RequestId,
        /// Job of the ticket.
        job: JobId,
        /// Expiry of the ticket on its issuer's clock.
        expiry_ms: Millis,
    },
    /// A request no longer waits: its caller disconnected or received an interim answer.
    RemoveWaiter {
        /// Request to remove from the job's waiters.
        request: RequestId,
        /// Job that the request waited for.
        job: JobId,
    },
    /// A caller cancels a job.
    Cancel {
        /// Request to which the job's answer is sent.
        request: RequestId,
        /// Job to cancel.
        job: JobId,
        /// Expiry of the ticket on its issuer's clock.
        expiry_ms: Millis,
    },
    /// The attempt to journal the start of a job has completed.
    Journalled {
        /// Job for which [`Action::Journal`] was emitted.
        job: JobId,
        /// Result of the journal write.
        result: JournalResult,
    },
    /// A start, or a query about a task in doubt, has completed or failed.
    TaskOutcome {
        /// Task that was started or queried.
        task: TaskId,
        /// Attempt that the reply belongs to; replies to earlier attempts are ignored.
        attempt: u64,
        /// Outcome reported by the worker or by the connection.
        end: StartOutcome,
        /// Worker state that came with the reply; `None` where there was no reply.
        hint: Option<Hint>,
    },
    /// A worker did not confirm on a lease renewal that it still runs this task.
    LeaseUnconfirmed(TaskId),
    /// The boot ID of a worker's process has become known.
    BootId {
        /// Address of the worker.
        worker: SocketAddr,
        /// Random number that the worker's process generated at its start.
        boot: u64,
    },
    /// The VM list has changed.
    Workers(Vec<WorkerInfo>),
    /// The rank of this daemon among the daemons of its zone has changed.
    Rank {
        /// Number of daemons of the zone that precede this one in order of address.
        rank: usize,
        /// Number of daemons in the zone.
        count: usize,
    },
    /// A peer reported its load in a heartbeat.
    PeerLoad {
        /// Daemon that sent the heartbeat.
        peer: Incarnation,
        /// Load at the time of the heartbeat.
        load: PeerLoad,
    },
    /// A peer has stopped sending heartbeats or is shutting down.
    PeerGone(Incarnation),
    /// A peer has ejected this worker because of its failures.
    EjectedByPeer(SocketAddr),
    /// A peer requests slots.
    SlotRequest {
        /// Daemon that requests slots.
        peer: Incarnation,
        /// Number of slots requested and how long its tasks have waited.
        request: SlotRequest,
    },
    /// A peer transfers slots to this daemon.
    SlotGrant {
        /// Daemon that transfers the slots.
        peer: Incarnation,
        /// Slots transferred.
        grant: SlotGrant,
    },
    /// Periodic timer event that drives queries, delayed retries and housekeeping.
    Tick,
}

/// Output of an [`Engine`], to be executed by the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller's request.
    Reply {
        /// Request to answer.
        request: RequestId,
        /// Answer to send.
        answer: Rc<Answer>,
    },
    /// Start a task on a worker.
    Start {
        /// Task to start.
        task: TaskId,
        /// Attempt number, to be returned with the reply.
        attempt: u64,
        /// Address of the worker.
        worker: SocketAddr,
        /// Boot ID of the worker process that the start is meant for; a process with another
        /// boot ID must refuse it.
        boot: Option<u64>,
        /// Request that the task belongs to.
        work: Rc<JobRequest>,
        /// Lease of the task: the worker stops it unless the lease is renewed within this time.
        lease_ms: u64,
        /// Whether the worker may queue the start until a slot is free (baselines only).
        hold: bool,
    },
    /// Query a worker about a task in doubt. A worker that has not started the task must fence
    /// it, so that a delayed start is refused.
    QueryTask {
        /// Task in doubt.
        task: TaskId,
        /// Attempt number, to be returned with the reply.
        attempt: u64,
        /// Address of the worker.
        worker: SocketAddr,
    },
    /// Stop tasks on one worker, in one message.
    Stop {
        /// Address of the worker.
        worker: SocketAddr,
        /// Tasks to stop.
        tasks: Vec<TaskId>,
    },
    /// Renew leases on one worker, in one message.
    Renew {
        /// Address of the worker.
        worker: SocketAddr,
        /// Tasks whose leases are renewed.
        tasks: Vec<TaskId>,
        /// New lease, counted from the renewal.
        lease_ms: u64,
    },
    /// Journal the start of a job, then report the result as [`Event::Journalled`].
    Journal(JobId),
    /// Request slots from a peer.
    RequestSlots(Incarnation, SlotRequest),
    /// Transfer slots to a peer.
    GrantSlots(Incarnation, SlotGrant),
    /// Record the metrics of a job that has ended.
    JobEnded {
        /// Name of the job's kind in the catalogue.
        kind: String,
        /// Verdict of the job's answer.
        verdict: Verdict,
        /// Time from acceptance to answer, in milliseconds.
        response_ms: u64,
        /// Longest run time of the job's tasks in milliseconds: the best possible response time.
        ideal_ms: u64,
    },
}

/// Outcome of a start, or of a query about a task in doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task ran successfully.
    Done {
        /// Output of the task.
        output: String,
        /// Digest of the input that the worker received.
        digest: String,
        /// Run time in milliseconds, as reported by the worker.
        run_ms: u64,
    },
    /// The task ran and failed.
    Failed {
        /// Error message from the worker.
        detail: String,
        /// Run time in milliseconds, as reported by the worker.
        run_ms: u64,
    },
    /// The task was stopped because it was cancelled or its lease expired.
    Stopped,
    /// The worker had no free slot; the task was not started.
    Full,
    /// The worker is shutting down; the task was not started.
    Leaving,
    /// The worker refused the start for another reason; the task was not started.
    Refused,
    /// The connection could not be established; the task was not started.
    NoConnection,
    /// The worker has never started the task and has fenced it, so that it never will.
    NeverWill,
    /// The task is still running on the worker.
    StillRuns,
    /// The reply to the start was lost; the task may have been started.
    ReplyLost,
    /// The query about a task in doubt was not answered.
    NoAnswer,
}

/// Worker state that is piggybacked on a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// Number of free slots on the worker after this reply.
    pub free: u32,
    /// Whether the worker is shutting down.
    pub leaving: bool,
    /// Boot ID: random number that the worker's process generated at its start.
    pub boot: u64,
}

/// Result of journalling the start of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalResult {
    /// The start record precedes any void record in the log: the job may run.
    Started,
    /// A void record precedes the start record: the job must not run.
    Voided,
    /// The log service is unavailable.
    Outage,
}

/// A start that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) attempt: u64,
    pub(crate) overdue: bool,
    pub(crate) worker: u32,
    pub(crate) queued: QueuedTask,
    pub(crate) sent_at: Millis,
    pub(crate) lease_until: Millis,
    pub(crate) lease_ms: u64,
    pub(crate) boot: Option<u64>,
    pub(crate) in_doubt_since: Option<Millis>,
    pub(crate) next_query_at: Millis,
}

/// Builds an [`Engine`].
#[derive(Clone, Debug)]
pub struct EngineBuilder {
    incarnation: Incarnation,
    zone: String,
    choice: Choice,
    limits: HoldLimits,
    seed: u64,
    spill_ms: u64,
}

impl EngineBuilder {
    /// Creates a builder with default settings for the daemon `incarnation` in `zone`.
    pub fn new(incarnation: Incarnation, zone: &str) -> Self {
        Self {
            incarnation,
            zone: zone.to_owned(),
            choice: Choice::Shares,
            limits: HoldLimits { hold_ms: 120_000, hold_bytes: 8 << 20 },
            seed: incarnation.0,
            spill_ms: DEFAULT_SPILL_MS,
        }
    }

    /// Sets the policy by which workers are chosen.
    pub const fn choice(mut self, choice: Choice) -> Self {
        self.choice = choice;
        self
    }

    /// Sets the limits on the answers that are held for resubmissions.
    pub const fn hold(mut self, limits: HoldLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the seed of the random number generator; by default the incarnation.
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the wait in milliseconds from which slots are requested from daemons of other zones.
    pub const fn spill_ms(mut self, spill_ms: u64) -> Self {
        self.spill_ms = spill_ms;
        self
    }

    /// Builds the engine.
    pub fn build(self) -> Engine {
        Engine {
            home: HomeTable::new(self.incarnation, self.limits),
            workers: Workers::new(&self.zone, self.choice, self.seed),
            choice: self.choice,
            queue: Queue::default(),
            shares: Shares::new(&self.zone, self.spill_ms),
            estimates: Estimates::default(),
            kinds: KindHealth::default(),
            jobs: HashMap::new(),
            running: HashMap::new(),
            tasks_in_doubt: BTreeSet::new(),
            catalogue: None,
            attempts: 0,
            retry_tokens: INITIAL_RETRY_TOKENS,
            delayed_retries: Vec::new(),
            counters: Counters::default(),
            refusals: VecDeque::new(),
            owners_running: HashMap::new(),
            last_housekeeping_at: Millis(0),
            last_return_at: Millis(0),
            last_claim_at: Millis(0),
            global_log_ratio: 0.0,
            actions: Vec::new(),
        }
    }
}

/// Default wait in milliseconds from which slots are requested from daemons of other zones.
pub const DEFAULT_SPILL_MS: u64 = 15;
/// Initial retry budget: number of retries allowed before any start has succeeded.
const INITIAL_RETRY_TOKENS: f64 = 50.0;
/// Interval of housekeeping: expiry of state, lease renewal and detection of overdue tasks.
const HOUSEKEEPING_MS: u64 = 100;

/// State machine that admits jobs, assigns their tasks to workers and tracks their outcomes.
#[derive(Debug)]
pub struct Engine {
    pub(crate) home: HomeTable,
    pub(crate) workers: Workers,
    pub(crate) choice: Choice,
    pub(crate) queue: Queue,
    pub(crate) shares: Shares,
    pub(crate) estimates: Estimates,
    pub(crate) kinds: KindHealth,
    pub(crate) jobs: HashMap<JobId, Job>,
    pub(crate) running: HashMap<TaskId, Running>,
    pub(crate) tasks_in_doubt: BTreeSet<TaskId>,
    pub(crate) catalogue: Option<Rc<Fold>>,
    pub(crate) attempts: u64,
    pub(crate) retry_tokens: f64,
    pub(crate) delayed_retries: Vec<(Millis, QueuedTask)>,
    pub(crate) counters: Counters,
    pub(crate) refusals: VecDeque<Refusal>,
    pub(crate) owners_running: HashMap<String, usize>,
    pub(crate) last_housekeeping_at: Millis,
    pub(crate) last_return_at: Millis,
    pub(crate) last_claim_at: Millis,
    pub(crate) global_log_ratio: f64,
    pub(crate) actions: Vec<Action>,
}

impl Engine {
    /// Processes one event and returns the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Submit(submission) => self.submit(submission, now),
            Event::Wait { request, job, expiry_ms } => self.wait(request, job, expiry_ms, now),
            Event::RemoveWaiter { request, job } => self.forget(request, job),
            Event::Cancel { request, job, expiry_ms } => self.cancel(request, job, expiry_ms, now),
            Event::Journalled { job, result } => self.journalled(job, result, now),
            Event::TaskOutcome { task, attempt, end, hint } => {
                if let Some(hint) = hint {
                    self.apply_hint(task, attempt, hint, now);
                }
                let boot = hint.map(|hint| hint.boot);
                self.handle_outcome(task, attempt, end, boot, now);
            }
            Event::LeaseUnconfirmed(task) => self.mark_in_doubt(task, now),
            Event::BootId { worker, boot } => self.workers.set_boot(worker, boot),
            Event::Workers(infos) => self.workers.update(&infos),
            Event::Rank { rank, count } => self.workers.set_shares(rank, count),
            Event::PeerLoad { peer, load } => self.shares.record_load(peer, load),
            Event::PeerGone(peer) => self.shares.remove_peer(peer),
            Event::EjectedByPeer(addr) => self.workers.told_bad(addr),
            Event::SlotRequest { peer, request } => self.shares.record_request(peer, &request, now),
            Event::SlotGrant { peer, grant } => self.accept_grant(peer, &grant),
            Event::Tick => self.tick(now),
        }
        self.dispatch_queue(now);
        std::mem::take(&mut self.actions)
    }

    /// Issues a ticket of this daemon's incarnation that is valid until `expiry_ms`.
    pub fn issue(&mut self, expiry_ms: Millis) -> JobId {
        self.home.issue(expiry_ms)
    }

    /// Replaces the catalogue; jobs are refused until the first one is set.
    pub fn set_catalogue(&mut self, catalogue: Rc<Fold>) {
        self.catalogue = Some(catalogue);
    }

    /// Returns whether this daemon answers for the tickets of `incarnation`.
    pub fn answers_for(&self, incarnation: Incarnation) -> bool {
        self.home.answers_for(incarnation)
    }

    /// Returns the incarnations whose tickets this daemon answers for.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.home.incarnations().collect()
    }

    /// Returns the number of accepted jobs that have not been answered.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Removes and returns all home tables, for handover to a successor. Must be called only
    /// when no jobs are open.
    pub fn hand_over(&mut self, now: Millis) -> Vec<HandedTable> {
        self.home.hand_over(now)
    }

    /// Adds the home table that a drained daemon handed over.
    pub fn inherit(&mut self, table: HandedTable, now: Millis) {
        self.home.inherit(table, now);
    }

    /// Refuses a job of which nothing has started: marks its ticket as used, holds the refusal
    /// for resubmissions and returns it.
    pub fn refuse(&mut self, job: JobId, digest: u64, answer: Answer, now: Millis) -> Rc<Answer> {
        self.counters.refused(answer.reason);
        if self.refusals.len() == MAX_KEPT_REFUSALS {
            self.refusals.pop_front();
        }
        self.refusals.push_back(Refusal {
            job: job.to_string(),
            reason: answer.reason,
            at_ms: now,
        });
        let answer = Rc::new(answer);
        self.home.burn(job);
        self.home.hold(job, digest, Rc::clone(&answer), now);
        answer
    }

    pub(crate) fn reply(&mut self, request: RequestId, answer: Rc<Answer>) {
        self.counters.answered(answer.verdict);
        self.actions.push(Action::Reply { request, answer });
    }

    pub(crate) fn reply_unknown(&mut self, request: RequestId, reason: Reason) {
        self.reply(request, Rc::new(Answer::unknown(reason)));
    }

    fn tick(&mut self, now: Millis) {
        self.query_tasks_in_doubt(now);
        self.requeue_delayed(now);
        if now.since(self.last_housekeeping_at) < HOUSEKEEPING_MS {
            return;
        }
        self.last_housekeeping_at = now;
        self.workers.tick(now);
        self.home.expire(now);
        self.refuse_late(now);
        self.renew_leases(now);
        self.detect_overdue(now);
        self.return_cross_zone_slots(now);
    }
}

/// Number of recent refusals kept for the state dump.
const MAX_KEPT_REFUSALS: usize = 256;
