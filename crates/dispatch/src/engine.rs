//! One daemon's decisions: events go in, actions come out, and the clock is passed in.
//!
//! The engine never waits and never touches a socket; `docs/ARCHITECTURE.md` shows how
//! the daemon carries out its actions.

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
use crate::shares::{PeerLoad, Shares, SlotAsk, SlotGrant};
use crate::ticket::{Incarnation, JobId, TaskId};
use crate::workers::{SelectionPolicy, WorkerInfo, Workers};

/// What happens to an engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request under a ticket of which this daemon is the home.
    Submit(Submission),
    /// A request to wait for the answer of a ticket.
    Wait {
        /// The request.
        request: RequestId,
        /// The ticket's identity.
        job: JobId,
        /// The ticket's expiry on its issuer's clock.
        expiry_ms: Millis,
    },
    /// A waiting request has gone away or got an interim answer.
    Forget {
        /// The request.
        request: RequestId,
        /// The ticket's identity.
        job: JobId,
    },
    /// A caller cancels.
    Cancel {
        /// The request that waits for the answer.
        request: RequestId,
        /// The ticket's identity.
        job: JobId,
        /// The ticket's expiry on its issuer's clock.
        expiry_ms: Millis,
    },
    /// The journal has answered for a job.
    Journalled {
        /// The job.
        job: JobId,
        /// What the journal says.
        result: JournalResult,
    },
    /// A worker's reply to a start, or to a question about a task in doubt.
    Ended {
        /// The task.
        task: TaskId,
        /// The attempt that the reply belongs to; replies to earlier ones change nothing.
        attempt: u64,
        /// What the worker says.
        end: StartEnd,
        /// What the reply told besides.
        hint: Option<Hint>,
    },
    /// A worker did not confirm that it still runs a task.
    Unconfirmed(TaskId),
    /// A worker told the number that its process drew at its start.
    Boot {
        /// The worker.
        worker: SocketAddr,
        /// The number.
        boot: u64,
    },
    /// The VM list has changed.
    Workers(Vec<WorkerInfo>),
    /// The place of this daemon among those of its zone has changed.
    Rank {
        /// Daemons of the zone before this one.
        rank: usize,
        /// Daemons of the zone.
        count: usize,
    },
    /// A peer's heartbeat told its load.
    PeerLoad {
        /// The peer.
        peer: Incarnation,
        /// Its load.
        load: PeerLoad,
    },
    /// A peer is gone.
    PeerGone(Incarnation),
    /// A peer has set this worker aside.
    ToldBad(SocketAddr),
    /// A peer asks for slots.
    SlotAsk {
        /// The peer.
        peer: Incarnation,
        /// What it asks.
        ask: SlotAsk,
    },
    /// A peer gives slots.
    SlotGrant {
        /// The peer.
        peer: Incarnation,
        /// What it gives.
        grant: SlotGrant,
    },
    /// Time has passed.
    Tick,
}

/// What an engine wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller's request.
    Reply {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Rc<Answer>,
    },
    /// Start a task on a worker.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt, which the reply must name.
        attempt: u64,
        /// The worker.
        worker: SocketAddr,
        /// The process that the start is meant for; another must refuse it.
        boot: Option<u64>,
        /// The request that the task belongs to.
        work: Rc<JobRequest>,
        /// How long the worker may hold the task without hearing of it again.
        lease_ms: u64,
        /// Whether the worker may hold the start until a slot is free (baselines only).
        hold: bool,
    },
    /// Ask a worker about a task in doubt; a task that never began must never begin.
    AskWorker {
        /// The task.
        task: TaskId,
        /// The attempt, which the reply must name.
        attempt: u64,
        /// The worker.
        worker: SocketAddr,
    },
    /// Stop tasks on one worker, in one message.
    Stop {
        /// The worker.
        worker: SocketAddr,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Renew leases on one worker, in one message.
    Renew {
        /// The worker.
        worker: SocketAddr,
        /// The tasks.
        tasks: Vec<TaskId>,
        /// The new time.
        lease_ms: u64,
    },
    /// Journal the start of a job, then send [`Event::Journalled`].
    Journal(JobId),
    /// Ask a peer for slots.
    AskSlots(Incarnation, SlotAsk),
    /// Give slots to a peer.
    GiveSlots(Incarnation, SlotGrant),
    /// A job has ended; for metrics.
    JobEnded {
        /// The kind.
        kind: String,
        /// The verdict.
        verdict: Verdict,
        /// From acceptance to answer.
        response_ms: u64,
        /// The longest run time of its tasks.
        ideal_ms: u64,
    },
}

/// What a worker says of a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartEnd {
    /// The task ran.
    Done {
        /// Its output.
        output: String,
        /// The digest of the input that the worker got.
        digest: String,
        /// How long it ran.
        run_ms: u64,
    },
    /// The task ran and failed.
    Failed {
        /// The worker's words.
        detail: String,
        /// How long it ran.
        run_ms: u64,
    },
    /// The task was stopped: cancelled, or its lease lapsed.
    Stopped,
    /// The worker has no free slot; nothing began.
    Full,
    /// The worker is leaving; nothing began.
    Leaving,
    /// The worker refuses for another reason; nothing began.
    Refused,
    /// No connection was made; nothing began.
    NoConnection,
    /// The worker proves that the task never began and never will.
    NeverWill,
    /// The task still runs on the worker.
    StillRuns,
    /// The reply was lost, so that the task may have begun.
    ReplyLost,
    /// The question about a task in doubt was not answered.
    NoAnswer,
}

/// What a worker's reply tells besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// Free slots after this reply.
    pub free: u32,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// The number that the worker's process drew at its start.
    pub boot: u64,
}

/// What the journal says of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalResult {
    /// The start stands in the log before any void.
    Started,
    /// A void stands before the start.
    Voided,
    /// The log service cannot be used now.
    Out,
}

/// One start that has not ended.
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
    pub(crate) doubt_since: Option<Millis>,
    pub(crate) next_ask_at: Millis,
}

/// Builds an [`Engine`].
#[derive(Clone, Debug)]
pub struct EngineBuilder {
    incarnation: Incarnation,
    zone: String,
    choice: SelectionPolicy,
    limits: HoldLimits,
    seed: u64,
    spill_ms: u64,
}

impl EngineBuilder {
    /// Begins with what every engine needs.
    pub fn new(incarnation: Incarnation, zone: &str) -> Self {
        Self {
            incarnation,
            zone: zone.to_owned(),
            choice: SelectionPolicy::Shares,
            limits: HoldLimits { hold_ms: 120_000, hold_bytes: 8 << 20 },
            seed: incarnation.0,
            spill_ms: DEFAULT_SPILL_MS,
        }
    }

    /// Sets how workers are chosen.
    pub const fn choice(mut self, choice: SelectionPolicy) -> Self {
        self.choice = choice;
        self
    }

    /// Sets how long and how many answers are held.
    pub const fn hold(mut self, limits: HoldLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the seed of random choices.
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets after which wait daemons of other zones are asked for slots, in milliseconds.
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
            doubts: BTreeSet::new(),
            catalogue: None,
            attempts: 0,
            retry_tokens: FIRST_RETRY_TOKENS,
            delayed: Vec::new(),
            counters: Counters::default(),
            refusals: VecDeque::new(),
            owners_running: HashMap::new(),
            expired_at: Millis(0),
            returned_at: Millis(0),
            claimed_at: Millis(0),
            global_log_ratio: 0.0,
            actions: Vec::new(),
        }
    }
}

/// The wait from which daemons of other zones are asked for slots, where settings name none.
pub const DEFAULT_SPILL_MS: u64 = 15;
/// Retries that may be made before any start has succeeded.
const FIRST_RETRY_TOKENS: f64 = 50.0;
/// How often expired state is dropped and leases are looked at.
const HOUSEKEEPING_MS: u64 = 100;

/// One daemon's decisions.
#[derive(Debug)]
pub struct Engine {
    pub(crate) home: HomeTable,
    pub(crate) workers: Workers,
    pub(crate) choice: SelectionPolicy,
    pub(crate) queue: Queue,
    pub(crate) shares: Shares,
    pub(crate) estimates: Estimates,
    pub(crate) kinds: KindHealth,
    pub(crate) jobs: HashMap<JobId, Job>,
    pub(crate) running: HashMap<TaskId, Running>,
    pub(crate) doubts: BTreeSet<TaskId>,
    pub(crate) catalogue: Option<Rc<Fold>>,
    pub(crate) attempts: u64,
    pub(crate) retry_tokens: f64,
    pub(crate) delayed: Vec<(Millis, QueuedTask)>,
    pub(crate) counters: Counters,
    pub(crate) refusals: VecDeque<Refusal>,
    pub(crate) owners_running: HashMap<String, usize>,
    pub(crate) expired_at: Millis,
    pub(crate) returned_at: Millis,
    pub(crate) claimed_at: Millis,
    pub(crate) global_log_ratio: f64,
    pub(crate) actions: Vec<Action>,
}

impl Engine {
    /// Takes one event and gives the actions that follow from it.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Submit(submission) => self.submit(submission, now),
            Event::Wait { request, job, expiry_ms } => self.wait(request, job, expiry_ms, now),
            Event::Forget { request, job } => self.remove_waiter(request, job),
            Event::Cancel { request, job, expiry_ms } => self.cancel(request, job, expiry_ms, now),
            Event::Journalled { job, result } => self.handle_journal_result(job, result, now),
            Event::Ended { task, attempt, end, hint } => {
                if let Some(hint) = hint {
                    self.hinted(task, attempt, hint, now);
                }
                let boot = hint.map(|hint| hint.boot);
                self.ended(task, attempt, end, boot, now);
            }
            Event::Unconfirmed(task) => self.doubt(task, now),
            Event::Boot { worker, boot } => self.workers.set_boot(worker, boot),
            Event::Workers(infos) => self.workers.update(&infos),
            Event::Rank { rank, count } => self.workers.set_shares(rank, count),
            Event::PeerLoad { peer, load } => self.shares.heard(peer, load),
            Event::PeerGone(peer) => self.shares.gone(peer),
            Event::ToldBad(addr) => self.workers.record_peer_ejection(addr),
            Event::SlotAsk { peer, ask } => self.shares.asked_by(peer, &ask, now),
            Event::SlotGrant { peer, grant } => self.granted(peer, &grant),
            Event::Tick => self.tick(now),
        }
        self.pump(now);
        std::mem::take(&mut self.actions)
    }

    /// Issues an own ticket valid until `expiry_ms`.
    pub fn issue(&mut self, expiry_ms: Millis) -> JobId {
        self.home.issue(expiry_ms)
    }

    /// Takes a new catalogue.
    pub fn set_catalogue(&mut self, catalogue: Rc<Fold>) {
        self.catalogue = Some(catalogue);
    }

    /// Tells whether this daemon answers for an incarnation's tickets.
    pub fn answers_for(&self, incarnation: Incarnation) -> bool {
        self.home.answers_for(incarnation)
    }

    /// Lists the incarnations that this daemon answers for.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.home.incarnations().collect()
    }

    /// Gives the number of jobs without an answer.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Gives every home table away, for a successor; only lawful without open jobs.
    pub fn hand_over(&mut self, now: Millis) -> Vec<HandedTable> {
        self.home.hand_over(now)
    }

    /// Takes over the table of a drained daemon.
    pub fn inherit(&mut self, table: HandedTable, now: Millis) {
        self.home.inherit(table, now);
    }

    /// Burns a ticket that nothing was started under, holds its refusal and gives it.
    pub fn refuse(&mut self, job: JobId, digest: u64, answer: Answer, now: Millis) -> Rc<Answer> {
        self.counters.count_refusal(answer.reason);
        if self.refusals.len() == KEPT_REFUSALS {
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
        self.counters.count_answer(answer.verdict);
        self.actions.push(Action::Reply { request, answer });
    }

    pub(crate) fn reply_unknown(&mut self, request: RequestId, reason: Reason) {
        self.reply(request, Rc::new(Answer::unknown(reason)));
    }

    fn tick(&mut self, now: Millis) {
        self.ask_about_doubts(now);
        self.release_delayed(now);
        if now.since(self.expired_at) < HOUSEKEEPING_MS {
            return;
        }
        self.expired_at = now;
        self.workers.tick(now);
        self.home.expire(now);
        self.end_timed_out_jobs(now);
        self.renew_leases(now);
        self.notice_overdue(now);
        self.return_far_slots(now);
    }
}

/// Refusals kept for the state dump.
const KEPT_REFUSALS: usize = 256;
