//! Owners, workers and callers in virtual time, whose only faults are those of a script.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{
    End, PollCall, PollReply, Refusal, StartCall, StartReply, StopCall, StopReply, Target,
};
use pool::catalogue::WorkerEntry;
use pool::failover::{Attempt, Decision, decide, outcome_if_too_late};
use pool::job::{JobSpec, Outcome, PreviousOwner};
use pool::pool::{Action, LINK_TIMEOUT_MS, Pool, Submission};
use pool::tokens::first_token;
use standins::pool_worker::{PoolWorker, Work};

use super::{cores, entry, job, terms};
use pool::bounds::{CONTACT_MS, RESEND_MS, STALL_MS};

pub const CELLS: usize = 2;
const TASK_CORES: u64 = 8;
const WORKER_CORES: u64 = 16;
const LIMIT_MS: u64 = 2_500;
const MAX_SENDS: u32 = 4;
/// Longest time that an owner sleeps while nothing is due, in milliseconds.
const MAX_PAUSE_MS: u64 = 100;
/// Longest interval at which a waiting poll looks for ends at its worker, in milliseconds.
const WAIT_STEP_MS: u64 = 20;
/// Time after the last step by which late calls and callers that resend are done, in milliseconds.
const TAIL_MS: u64 = 18_000;
/// Interval between two pings of a submission in flight, in milliseconds.
const PING_MS: u64 = 100;
/// How long a link stays silent to a daemon that is gone for good, in milliseconds.
pub const FOREVER_MS: u64 = 60_000;
/// Clock of the workers' first processes at the begin. That of a later one is always lower.
const CLOCK_MS: u64 = 9_000_000;
const CLOCK_STEP_MS: u64 = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Start,
    Stop,
    Poll,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Lost,
    ReplyLost,
    /// Arrives after this time, while its caller still waits.
    Slow(u64),
    /// The call and its reply take times that follow from this seed, within the time-out.
    Unordered(u64),
    /// Gets no reply. The process that listens after `accepted_ms`, but within the call's time-out,
    /// accepts its connection and carries it out after `ms`, unless that process has ended.
    Late {
        ms: u64,
        accepted_ms: u64,
    },
}

/// A worker of the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Pick {
    /// The one that started a run last.
    Busy,
    /// The one to which a start was sent last that gets no reply.
    Silent,
    Number(usize),
}

#[derive(Clone, Copy, Debug)]
pub enum NextProcess {
    SameId,
    OtherId,
}

/// How the ownership of a cell ends.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    Handover,
    Death,
    Freeze(u64),
    /// The owner goes on without the store, until its workers refuse its calls.
    StoreLost,
    /// The owner's process ends, and its next one acquires the cell, under a later generation because
    /// it has ended the membership of the one before.
    Restart,
}

#[derive(Clone, Debug)]
pub enum Event {
    Submit {
        cell: usize,
        resends_elsewhere: bool,
        tasks: u32,
        task_ms: u64,
        declared_ms: u64,
    },
    /// All calls of a kind within a time have this fate.
    Calls {
        kind: Kind,
        fate: Fate,
        for_ms: u64,
    },
    /// A worker's process ends. The next one listens after `down_ms`, its entry is read
    /// `entry_ms` later, and that of the process before may be read once more after that.
    Restart {
        pick: Pick,
        next: NextProcess,
        down_ms: u64,
        entry_ms: u64,
        old_entry_ms: Option<u64>,
    },
    /// Calls from the owner of its cell to a worker have this fate; those of all kinds without `kind`.
    Cut {
        pick: Pick,
        kind: Option<Kind>,
        fate: Fate,
        for_ms: u64,
    },
    /// A cell gets another owner, which may not find one of the workers' entries at first.
    Owner {
        cell: usize,
        change: Change,
        pause_ms: u64,
        missing: usize,
    },
    /// The owner of a cell is stalled, and keeps the cell. It reads what other daemons have sent
    /// meanwhile some time after it has sent its renewals.
    Stall {
        cell: usize,
        for_ms: u64,
        reads_after_ms: u64,
    },
    /// The link between the owner and the daemon of the latest job's caller falls silent in the
    /// directions to the owner and to that daemon. The caller may leave in that moment; a daemon
    /// that loses power is silent for good.
    Silence {
        is_silent: [bool; 2],
        for_ms: u64,
        leaves: bool,
    },
    /// Calls to the workers and their replies overtake each other.
    Unordered {
        seed: u64,
        for_ms: u64,
    },
    /// A worker's process stands still, unless another process does.
    StandStill {
        pick: Pick,
        for_ms: u64,
    },
    /// All stops and all cancellations are lost.
    Helpless {
        for_ms: u64,
    },
    /// The caller of the latest job leaves and sends it again.
    Leave {
        noticed_ms: u64,
    },
}

/// A fault of the model, which a property has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    Nothing,
    /// A late call is carried out by the process that then has its worker's id.
    LateCallsOutliveProcesses,
    /// Starts go to any process that accepts their connection.
    UnverifiedStarts,
    /// Owners count all submitters as waiting until their link is broken, with long leases. With short
    /// ones, no run outlives the next request of its caller all the same.
    ContactNotAsked,
    /// Workers grant leases that are longer than asked for by [`CONTACT_MS`].
    LongLeases,
    /// Workers stand still for longer than owners count with.
    LongStandstills,
}

/// A case of the property: each event follows the one before after a time.
#[derive(Clone, Debug)]
pub struct Script {
    /// For each worker by how much its clock is slower, in thousandths; cells alternate.
    pub slow_permille: Vec<u64>,
    /// Silence after which the daemons of callers take a link for broken, in milliseconds.
    pub patience_ms: u64,
    /// Time from a caller's decision that it has had no answer until it closes its connection, in
    /// milliseconds.
    pub closes_after_ms: u64,
    pub events: Vec<(u64, Event)>,
}

#[derive(Clone, Debug)]
enum Call {
    Start(StartCall),
    Stop(StopCall),
    Poll(PollCall),
}

enum Reply {
    Start(StartReply),
    Stop(StopReply),
    Poll(PollReply),
}

impl Call {
    fn kind(&self) -> Kind {
        match self {
            Self::Start(_) => Kind::Start,
            Self::Stop(_) => Kind::Stop,
            Self::Poll(_) => Kind::Poll,
        }
    }

    fn refused(&self, refusal: Refusal) -> Reply {
        match self {
            Self::Start(_) => Reply::Start(StartReply::Refused(refusal)),
            Self::Stop(_) => Reply::Stop(StopReply::Refused(refusal)),
            Self::Poll(_) => Reply::Poll(PollReply::Refused(refusal)),
        }
    }

    fn lost(&self) -> Reply {
        match self {
            Self::Start(_) => Reply::Start(StartReply::Lost),
            Self::Stop(_) => Reply::Stop(StopReply::Lost),
            Self::Poll(_) => Reply::Poll(PollReply::Lost),
        }
    }
}

/// A call on its way.
#[derive(Clone)]
struct Sent {
    owner: usize,
    target: Target,
    call: Call,
    since_ms: u64,
    /// The process that has received the call, which its death would end.
    process: Option<u64>,
    has_reply: bool,
    reply_ms: u64,
}

/// Sides of a link; a direction has the number of the side that receives.
const OWNER: usize = 0;
const SUBMITTER: usize = 1;

/// What the daemon of a caller and the owner of a cell send to each other.
enum Message {
    Submit(Submission),
    /// A ping of the owner, with its time.
    Ping(u64),
    /// The answer to a ping, with the same time.
    Echo(u64),
    Answer(Outcome),
    Close,
}

/// The connection for one submission. What is sent while it is silent arrives after the silence,
/// unless a side has closed it by then.
struct Link {
    /// The request and the number of its sends, each of which comes to another daemon.
    submitter: (usize, u32),
    owner: usize,
    /// The owner's number of the submission, once it has arrived.
    number: Option<u64>,
    is_closed: [bool; 2],
    heard_ms: [u64; 2],
    silent_until_ms: [u64; 2],
    pinged_ms: u64,
    echoed_ms: u64,
}

impl Sent {
    /// Whether a start, or a renewal of a lease, is meant for another process than this one.
    fn is_for_other(&self, process: u64) -> bool {
        let is_verified = match &self.call {
            Call::Start(_) => true,
            Call::Stop(_) => false,
            Call::Poll(call) => call.lease_until_ms.is_some(),
        };
        is_verified && self.target.process.is_some_and(|meant_for| meant_for != process)
    }
}

enum Due {
    Script(Event),
    /// A connection is accepted for a call that is carried out at this time.
    Accept(Sent, u64),
    Arrival(Sent),
    /// A poll waits at its worker until this time.
    Wait(Sent, u64),
    Reply(Sent, Reply),
    Message(usize, usize, Message),
    GiveUp(usize, u32),
    /// A caller that has decided to leave closes its connection. The owner learns of it later.
    Close(usize, u32, u64),
    Send(usize),
    TakeOver(usize, usize),
    Publish(usize, Rc<str>, WorkerEntry),
    Refresh(usize),
}

struct Node {
    id: Rc<str>,
    worker: PoolWorker,
    down_until_ms: u64,
    stands_until_ms: u64,
    processes: u64,
    published: (Rc<str>, WorkerEntry),
    cut: Option<(usize, Option<Kind>, Fate, u64)>,
}

struct Owner {
    cell: usize,
    pool: Option<Pool>,
    frozen_until_ms: u64,
    reads_from_ms: u64,
    advanced_ms: u64,
}

struct Request {
    spec: JobSpec,
    task_ms: u64,
    cell: usize,
    resends_elsewhere: bool,
    arrived_ms: Option<u64>,
    previous_owner: PreviousOwner,
    /// The link of the present submission.
    submission: Option<usize>,
    is_answered: bool,
    /// Whether the caller has decided that it has had no answer to its last send.
    is_given_up: bool,
    sends: u32,
}

/// A fleet that plays a [`Script`].
pub struct World {
    now_ms: u64,
    nodes: Vec<Node>,
    owners: Vec<Owner>,
    requests: Vec<Request>,
    links: Vec<Link>,
    patience_ms: u64,
    closes_after_ms: u64,
    cancels_lost_until_ms: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    due: BTreeMap<usize, Due>,
    last_due: usize,
    fates: Vec<(Kind, Fate, u64)>,
    busy: usize,
    silent: usize,
    generation: u64,
    defect: Defect,
    trace: Vec<String>,
    pub starts: usize,
    pub overlap: Option<String>,
}

impl World {
    /// Plays a script until its late calls and its callers are done, or a task has two runs.
    pub fn play(script: &Script, defect: Defect) -> Self {
        let node = |(number, slow_permille): (usize, &u64)| {
            let published = (Rc::from(number.to_string()), entry(number, WORKER_CORES));
            Node {
                id: Rc::clone(&published.0),
                worker: PoolWorker::new(published.1.capacity, CLOCK_MS, *slow_permille),
                down_until_ms: 0,
                stands_until_ms: 0,
                processes: 0,
                published,
                cut: None,
            }
        };
        let mut world = Self {
            now_ms: 10_000,
            nodes: script.slow_permille.iter().enumerate().map(node).collect(),
            owners: Vec::new(),
            requests: Vec::new(),
            links: Vec::new(),
            patience_ms: script.patience_ms,
            closes_after_ms: script.closes_after_ms,
            cancels_lost_until_ms: 0,
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            last_due: 0,
            fates: Vec::new(),
            busy: 0,
            silent: 0,
            generation: 0,
            defect,
            trace: Vec::new(),
            starts: 0,
            overlap: None,
        };
        (0..CELLS).for_each(|cell| world.take_over(cell, usize::MAX));
        let mut at_ms = 50;
        for (after_ms, event) in &script.events {
            at_ms += after_ms;
            world.push(at_ms, Due::Script(event.clone()));
        }
        let ends_ms = world.now_ms + at_ms + TAIL_MS;
        while world.now_ms < ends_ms && world.overlap.is_none() && !world.is_over() {
            world.step();
        }
        world
    }

    pub fn trace(&self) -> String {
        self.trace.join("\n")
    }

    fn note(&mut self, line: &str) {
        self.trace.push(format!("{:>6} {line}", self.now_ms));
    }

    fn push(&mut self, after_ms: u64, due: Due) {
        self.last_due += 1;
        self.due.insert(self.last_due, due);
        self.queue.push(Reverse((self.now_ms + after_ms, self.last_due)));
    }

    fn step(&mut self) {
        let now = Millis(self.now_ms);
        let mut next_ms = self.now_ms + MAX_PAUSE_MS;
        for owner in &self.owners {
            if let Some(pool) = &owner.pool {
                let due_ms = pool.next_due(now).map_or(u64::MAX, |due| due.0);
                next_ms = next_ms.min(due_ms.max(owner.frozen_until_ms));
            }
        }
        let links = (0..self.links.len()).filter_map(|link| self.next_of_link(link));
        next_ms = links.fold(next_ms, u64::min);
        if let Some(Reverse((at_ms, _))) = self.queue.peek() {
            next_ms = next_ms.min(*at_ms);
        }
        self.now_ms = next_ms.max(self.now_ms + 1);
        while let Some(Reverse((at_ms, id))) = self.queue.peek().copied() {
            if at_ms > self.now_ms {
                break;
            }
            self.queue.pop();
            if let Some(due) = self.due.remove(&id) {
                self.handle(due);
            }
        }
        self.record_io();
        for owner in 0..self.owners.len() {
            let Owner { pool: Some(pool), advanced_ms, .. } = &self.owners[owner] else { continue };
            let due = pool.next_due(Millis(self.now_ms));
            if due.is_some_and(|due| due.0 <= self.now_ms)
                || self.now_ms >= advanced_ms + MAX_PAUSE_MS
            {
                if !self.is_frozen(owner) {
                    self.owners[owner].advanced_ms = self.now_ms;
                }
                self.with_pool(owner, Pool::advance);
            }
        }
        (0..self.links.len()).for_each(|link| self.tend_link(link));
        self.submit_waiting();
    }

    /// Records which owners have read all that has arrived.
    fn record_io(&mut self) {
        let now = Millis(self.now_ms);
        for owner in &mut self.owners {
            let has_read = self.now_ms >= owner.frozen_until_ms.max(owner.reads_from_ms);
            let is_asked = self.defect != Defect::ContactNotAsked;
            if let (Some(pool), true) = (&mut owner.pool, has_read && is_asked) {
                pool.record_io(now);
            }
        }
        if self.defect != Defect::ContactNotAsked {
            return;
        }
        for Link { owner, number, .. } in &self.links {
            if let (Some(pool), Some(number)) = (&mut self.owners[*owner].pool, number) {
                pool.record_contact(*number, now);
            }
        }
    }

    /// Whether each side takes part in a link: the owner from the submission's arrival until it answers.
    fn is_up(&self, link: usize) -> [bool; 2] {
        let Link { number, is_closed, .. } = &self.links[link];
        [!is_closed[OWNER] && number.is_some(), !is_closed[SUBMITTER]]
    }

    fn next_of_link(&self, link: usize) -> Option<u64> {
        let Link { owner, heard_ms, pinged_ms, .. } = &self.links[link];
        let [owner_is_up, submitter_is_up] = self.is_up(link);
        let silent_ms = (heard_ms[OWNER] + LINK_TIMEOUT_MS).max(self.owners[*owner].reads_from_ms);
        let pings_ms = (pinged_ms + PING_MS).max(self.owners[*owner].reads_from_ms);
        let gives_up_ms = heard_ms[SUBMITTER] + self.patience_ms;
        let next = [(owner_is_up, silent_ms.min(pings_ms)), (submitter_is_up, gives_up_ms)];
        next.into_iter().filter(|(is_up, _)| *is_up).map(|(_, at_ms)| at_ms).min()
    }

    /// Has both sides of a link notice its silence, and the owner send its pings.
    fn tend_link(&mut self, link: usize) {
        let [owner_is_up, submitter_is_up] = self.is_up(link);
        let Link { owner, heard_ms, pinged_ms, .. } = self.links[link];
        let has_read = self.now_ms >= self.owners[owner].reads_from_ms;
        if owner_is_up && has_read && self.now_ms >= heard_ms[OWNER] + LINK_TIMEOUT_MS {
            self.end_link(link, OWNER);
        } else if owner_is_up && has_read && self.now_ms >= pinged_ms + PING_MS {
            self.links[link].pinged_ms = self.now_ms;
            self.push(1, Due::Message(link, SUBMITTER, Message::Ping(self.now_ms)));
        }
        if submitter_is_up && self.now_ms >= heard_ms[SUBMITTER] + self.patience_ms {
            self.end_link(link, SUBMITTER);
        }
    }

    /// Closes one side of a link, and tells the other one.
    fn end_link(&mut self, link: usize, side: usize) {
        self.close_side(link, side);
        self.push(1, Due::Message(link, 1 - side, Message::Close));
    }

    fn close_side(&mut self, link: usize, side: usize) {
        let Link { owner, number, submitter: (request, _), .. } = self.links[link];
        if std::mem::replace(&mut self.links[link].is_closed[side], true) {
            return;
        }
        self.note(&format!("link {link} of job {request} to owner {owner} ends at side {side}"));
        if side == SUBMITTER && self.requests[request].submission == Some(link) {
            self.conclude(request, Attempt::ConnectionLost);
        } else if side == OWNER
            && let Some(number) = number
        {
            self.with_pool(owner, |pool, now| pool.cancel(now, number));
        }
    }

    /// Delivers a message once its link is not silent and its receiver reads.
    fn deliver(&mut self, link: usize, to: usize, message: Message) {
        let Link { owner, number, submitter: (request, _), .. } = self.links[link];
        if self.links[link].is_closed[to] {
            return;
        }
        let reads_from_ms = if to == OWNER { self.owners[owner].reads_from_ms } else { 0 };
        let at_ms = self.links[link].silent_until_ms[to].max(reads_from_ms);
        if self.now_ms < at_ms {
            return self.push(at_ms - self.now_ms, Due::Message(link, to, message));
        }
        self.links[link].heard_ms[to] = self.now_ms;
        let now = Millis(self.now_ms);
        match message {
            Message::Submit(submission) => {
                let Some(pool) = &mut self.owners[owner].pool else {
                    let has_given_up =
                        std::mem::replace(&mut self.links[link].is_closed, [true; 2])[SUBMITTER];
                    if !has_given_up {
                        self.conclude(request, Attempt::NotStarted);
                    }
                    return;
                };
                self.links[link].number = Some(pool.submit(now, submission));
                self.links[link].pinged_ms = 0;
                self.perform(owner);
            }
            Message::Ping(at_ms) => {
                self.push(1, Due::Message(link, OWNER, Message::Echo(at_ms)));
            }
            Message::Echo(at_ms) => {
                self.links[link].echoed_ms = at_ms;
                if let Some(number) = number {
                    self.with_pool(owner, |pool, now| {
                        let is_withheld = pool.lacks_contact();
                        pool.record_contact(number, Millis(at_ms));
                        if is_withheld {
                            pool.advance(now);
                        }
                    });
                }
            }
            Message::Answer(outcome) => {
                self.links[link].is_closed = [true; 2];
                self.conclude(request, Attempt::Outcome(outcome));
            }
            Message::Close => self.close_side(link, to),
        }
    }

    /// The caller of a request decides that it has had no answer, closes its connection and sends the
    /// request again. Its daemon notifies the owner later.
    fn leave(&mut self, number: usize, told_ms: u64) {
        let request = &mut self.requests[number];
        if request.submission.is_none() || request.is_given_up {
            return;
        }
        request.is_given_up = true;
        let sends = request.sends;
        self.push(self.closes_after_ms, Due::Close(number, sends, told_ms));
        self.resend(number);
    }

    fn close(&mut self, request: usize, told_ms: u64) {
        self.requests[request].arrived_ms = None;
        let Some(link) = self.requests[request].submission.take() else { return };
        self.links[link].is_closed[SUBMITTER] = true;
        if self.now_ms < self.cancels_lost_until_ms {
            self.links[link].silent_until_ms = [self.now_ms + FOREVER_MS; 2];
        }
        self.push(told_ms, Due::Message(link, OWNER, Message::Close));
    }

    /// Whether nothing can start any more.
    fn is_over(&self) -> bool {
        let is_open = |request: &Request| !request.is_answered && request.arrived_ms.is_some();
        let may_start = |due: &Due| match due {
            Due::Script(_) | Due::Send(_) | Due::Message(.., Message::Submit(_)) => true,
            Due::Accept(sent, _) | Due::Arrival(sent) => sent.call.kind() == Kind::Start,
            _ => false,
        };
        !self.requests.iter().any(is_open) && !self.due.values().any(may_start)
    }

    fn is_frozen(&self, owner: usize) -> bool {
        self.now_ms < self.owners[owner].frozen_until_ms
    }

    /// The latest owner of a cell, unless it has died or given the cell up.
    fn owner_of(&self, cell: usize) -> Option<usize> {
        let owner = self.owners.iter().rposition(|owner| owner.cell == cell)?;
        self.owners[owner].pool.is_some().then_some(owner)
    }

    fn with_pool(&mut self, owner: usize, event: impl FnOnce(&mut Pool, Millis)) {
        if self.is_frozen(owner) {
            return;
        }
        let Some(pool) = &mut self.owners[owner].pool else { return };
        event(pool, Millis(self.now_ms));
        self.perform(owner);
    }

    fn perform(&mut self, owner: usize) {
        let Some(pool) = &mut self.owners[owner].pool else { return };
        let actions = pool.take_actions();
        if pool.is_fenced() {
            self.owners[owner].pool = None;
        }
        for action in actions {
            match action {
                Action::Start(target, call) => self.send_call(owner, target, Call::Start(call)),
                Action::Stop(target, call) => self.send_call(owner, target, Call::Stop(call)),
                Action::Poll(target, call) => self.send_call(owner, target, Call::Poll(call)),
                Action::Answer(number, outcome) => {
                    let of = |link: &Link| link.owner == owner && link.number == Some(number);
                    let Some(link) = self.links.iter().position(of) else { continue };
                    self.links[link].is_closed[OWNER] = true;
                    self.push(1, Due::Message(link, SUBMITTER, Message::Answer(outcome)));
                }
                _ => {}
            }
        }
    }

    /// Sends a call; the first fate that is in force applies.
    fn send_call(&mut self, owner: usize, target: Target, call: Call) {
        let node = self.node_at(&target);
        let now_ms = self.now_ms;
        let kind = call.kind();
        let cut = self.nodes[node].cut.filter(|(from, cut, _, until_ms)| {
            *from == owner && cut.is_none_or(|cut| cut == kind) && now_ms < *until_ms
        });
        let armed = self.fates.iter().find(|fate| fate.0 == kind && now_ms < fate.2);
        let fate = cut.map(|cut| cut.2).or(armed.map(|fate| fate.1));
        let waits_ms = if let Call::Poll(poll) = &call { poll.wait_ms } else { 0 };
        let target_ms = target.timeout_ms;
        let timeout_ms = target_ms + waits_ms;
        let mut sent = Sent {
            owner,
            target,
            call,
            since_ms: now_ms,
            process: None,
            has_reply: true,
            reply_ms: 1,
        };
        let arrives_ms = match fate {
            None => Some(1),
            Some(Fate::Slow(ms)) => Some(ms),
            Some(Fate::Unordered(seed)) => {
                let mut hasher = DefaultHasher::new();
                (seed, self.last_due).hash(&mut hasher);
                let drawn = hasher.finish();
                let arrives_ms = 1 + drawn % (target_ms - 1);
                sent.reply_ms = 1 + (drawn >> 32) % (target_ms - arrives_ms);
                Some(arrives_ms)
            }
            Some(Fate::ReplyLost | Fate::Lost | Fate::Late { .. }) => {
                sent.has_reply = false;
                if sent.call.kind() == Kind::Start {
                    self.silent = node;
                }
                self.push(timeout_ms, Due::Reply(sent.clone(), sent.call.lost()));
                match fate {
                    Some(Fate::ReplyLost) => Some(1),
                    Some(Fate::Late { ms, .. })
                        if self.defect == Defect::LateCallsOutliveProcesses =>
                    {
                        Some(ms)
                    }
                    Some(Fate::Late { ms, accepted_ms }) => {
                        let accepted_ms = accepted_ms.min(timeout_ms);
                        self.push(accepted_ms, Due::Accept(sent.clone(), now_ms + ms));
                        None
                    }
                    _ => None,
                }
            }
        };
        if !matches!(sent.call, Call::Poll(_)) || fate.is_some() {
            let line = format!("owner {owner} to {}: {:?} {fate:?}", sent.target.id, sent.call);
            self.note(&line);
        }
        if let Some(arrives_ms) = arrives_ms {
            self.push(arrives_ms, Due::Arrival(sent));
        }
    }

    fn node_at(&self, target: &Target) -> usize {
        let at_addr = |node: &Node| node.published.1.addr == target.addr;
        self.nodes.iter().position(at_addr).expect("calls go to addresses of workers")
    }

    fn reply(&mut self, sent: Sent, reply: Reply) {
        if sent.has_reply {
            self.push(sent.reply_ms, Due::Reply(sent, reply));
        }
    }

    /// Puts off what a worker's process does with a call until it no longer stands still. A caller whose
    /// time-out ends before gets no reply. Returns the call if the process is not standing still.
    fn put_off(&mut self, mut sent: Sent, again: impl FnOnce(Sent) -> Due) -> Option<Sent> {
        let node = &self.nodes[self.node_at(&sent.target)];
        if self.now_ms >= node.stands_until_ms {
            return Some(sent);
        }
        let resumes_ms = node.stands_until_ms;
        sent.process.get_or_insert(node.worker.started_at_ms);
        let waits_ms = if let Call::Poll(poll) = &sent.call { poll.wait_ms } else { 0 };
        let times_out_ms = sent.since_ms + sent.target.timeout_ms + waits_ms;
        if sent.has_reply && resumes_ms + sent.reply_ms > times_out_ms {
            let after_ms = times_out_ms.saturating_sub(self.now_ms);
            self.push(after_ms, Due::Reply(sent.clone(), sent.call.lost()));
            sent.has_reply = false;
        }
        self.push(resumes_ms - self.now_ms, again(sent));
        None
    }

    /// Whether the process of an owner or of a worker stands still.
    fn stands_still(&self) -> bool {
        let workers = self.nodes.iter().any(|node| self.now_ms < node.stands_until_ms);
        workers || (0..self.owners.len()).any(|owner| self.is_frozen(owner))
    }

    fn arrive(&mut self, mut sent: Sent) {
        if matches!(self.defect, Defect::LongLeases | Defect::ContactNotAsked) {
            match &mut sent.call {
                Call::Start(call) => call.lease_until_ms += CONTACT_MS,
                Call::Poll(PollCall { lease_until_ms: Some(at_ms), .. }) => *at_ms += CONTACT_MS,
                Call::Poll(_) | Call::Stop(_) => {}
            }
        }
        let Some(sent) = self.put_off(sent, Due::Arrival) else { return };
        let number = self.node_at(&sent.target);
        let node = &mut self.nodes[number];
        let worker = &mut node.worker;
        if sent.process.is_some_and(|process| process != worker.started_at_ms) {
            let lost = sent.call.lost();
            return self.reply(sent, lost);
        }
        let is_verified = match self.defect {
            Defect::LateCallsOutliveProcesses => sent.has_reply,
            Defect::UnverifiedStarts => false,
            _ => true,
        };
        let is_for_other = is_verified && sent.is_for_other(worker.started_at_ms);
        if is_for_other && sent.call.kind() == Kind::Poll && self.now_ms >= node.down_until_ms {
            // The verification has shown another process, and the poll was not sent.
            let lost = sent.call.lost();
            return self.reply(sent, lost);
        }
        let is_for_other = node.id != sent.target.id || is_for_other;
        let refusal = if self.now_ms < node.down_until_ms {
            Some(Refusal::NotListening)
        } else {
            is_for_other.then_some(Refusal::InstanceMismatch)
        };
        if let Some(refusal) = refusal {
            let reply = sent.call.refused(refusal);
            return self.reply(sent, reply);
        }
        let reply = match &sent.call {
            Call::Start(call) => return self.start(number, call.clone(), sent),
            Call::Stop(call) => Reply::Stop(worker.stop(self.now_ms, call)),
            Call::Poll(call) => {
                let Some(refused) = worker.begin_poll(self.now_ms, call) else {
                    let until_ms = self.now_ms + call.wait_ms;
                    let process = Some(worker.started_at_ms);
                    return self.push(0, Due::Wait(Sent { process, ..sent }, until_ms));
                };
                Reply::Poll(refused)
            }
        };
        if let Reply::Stop(stop) = &reply {
            let line = format!("at {}: {:?} {stop:?}", sent.target.id, sent.call);
            self.note(&line);
        }
        self.reply(sent, reply);
    }

    fn start(&mut self, number: usize, call: StartCall, sent: Sent) {
        let request = self.requests.iter().find(|request| request.spec.id == call.task.job);
        let duration_ms = request.map_or(0, |request| request.task_ms);
        let work = Work { resources: cores(TASK_CORES), duration_ms, end: End::Done };
        let (reply, has_begun) = self.nodes[number].worker.start(self.now_ms, &call, work);
        self.note(&format!(
            "at {}: start of {} run {}: {reply:?}",
            sent.target.id, call.task, call.run
        ));
        if has_begun {
            self.starts += 1;
            self.busy = number;
            for other in (0..self.nodes.len()).filter(|other| *other != number) {
                if self.now_ms >= self.nodes[other].stands_until_ms {
                    self.nodes[other].worker.advance_to(self.now_ms);
                }
                if self.nodes[other].worker.active.contains_key(&call.task) {
                    let at_ms = self.now_ms;
                    let Node { worker, stands_until_ms, .. } = &self.nodes[other];
                    let ends_ms = worker.next_end_ms(&call.task, at_ms).max(*stands_until_ms);
                    let overlap = format!(
                        "{} on {other} and {number} at {at_ms} ms for {} ms",
                        call.task,
                        ends_ms - at_ms
                    );
                    self.overlap.get_or_insert(overlap);
                }
            }
        }
        self.reply(sent, Reply::Start(reply));
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Script(event) => {
                self.note(&format!("{event:?}"));
                self.apply(event);
            }
            Due::Accept(sent, at_ms) => {
                let Node { worker, down_until_ms, .. } = &self.nodes[self.node_at(&sent.target)];
                if self.now_ms >= *down_until_ms {
                    let process = Some(worker.started_at_ms);
                    let after_ms = at_ms.saturating_sub(self.now_ms);
                    self.push(after_ms, Due::Arrival(Sent { process, ..sent }));
                }
            }
            Due::Arrival(sent) => self.arrive(sent),
            Due::Wait(sent, until_ms) => {
                let Some(sent) = self.put_off(sent, |sent| Due::Wait(sent, until_ms)) else {
                    return;
                };
                let number = self.node_at(&sent.target);
                let now_ms = self.now_ms;
                let worker = &mut self.nodes[number].worker;
                worker.advance_to(now_ms);
                if sent.process != Some(worker.started_at_ms) {
                    let lost = sent.call.lost();
                    self.reply(sent, lost);
                } else if worker.has_unacknowledged_runs() || now_ms >= until_ms {
                    let report = worker.report(now_ms);
                    self.reply(sent, Reply::Poll(report));
                } else {
                    let runs = worker.active.values();
                    let ends = runs
                        .map(|run| run.stop_at_ms.unwrap_or(run.ends_at_ms).min(run.ends_at_ms));
                    let next_ms = ends.min().unwrap_or(until_ms).min(until_ms);
                    let wait_ms = (next_ms - now_ms).min(WAIT_STEP_MS);
                    self.push(wait_ms, Due::Wait(sent, until_ms));
                }
            }
            Due::Reply(sent, reply) if self.is_frozen(sent.owner) => {
                self.push(
                    self.owners[sent.owner].frozen_until_ms - self.now_ms,
                    Due::Reply(sent, reply),
                );
            }
            Due::Reply(sent, reply) => {
                let Sent { owner, target, call, since_ms, .. } = sent;
                self.with_pool(owner, |pool, now| match (&call, reply) {
                    (Call::Start(call), Reply::Start(reply)) => {
                        pool.start_reply(now, &target.id, call, reply);
                    }
                    (Call::Stop(call), Reply::Stop(reply)) => {
                        pool.stop_reply(now, &target.id, call, reply);
                    }
                    (_, Reply::Poll(reply)) => {
                        pool.poll_reply(now, &target.id, Millis(since_ms), &reply);
                    }
                    _ => {}
                });
            }
            Due::Message(link, to, message) => self.deliver(link, to, message),
            Due::GiveUp(request, sends) => {
                if self.requests[request].sends == sends {
                    self.leave(request, 1);
                }
            }
            Due::Close(request, sends, told_ms) => {
                if self.requests[request].sends == sends {
                    self.close(request, told_ms);
                }
            }
            Due::Send(number) => {
                let request = &mut self.requests[number];
                if request.sends > 0 && request.resends_elsewhere {
                    request.cell = (request.cell + 1) % CELLS;
                }
                request.sends += 1;
                request.is_given_up = false;
                request.arrived_ms = Some(self.now_ms);
                request.previous_owner = PreviousOwner::None;
                let sends = request.sends;
                self.push(LIMIT_MS, Due::GiveUp(number, sends));
            }
            Due::TakeOver(cell, missing) => self.take_over(cell, missing),
            Due::Publish(number, id, entry) => {
                self.nodes[number].published = (id, entry);
                self.refresh(number % CELLS);
            }
            Due::Refresh(cell) => self.refresh(cell),
        }
    }

    fn entries(&self, cell: usize) -> Vec<(Rc<str>, WorkerEntry)> {
        let of_cell = self.nodes.iter().skip(cell).step_by(CELLS);
        of_cell.map(|node| node.published.clone()).collect()
    }

    /// Has the daemons read the entries of a cell's workers.
    fn refresh(&mut self, cell: usize) {
        let entries = self.entries(cell);
        for owner in 0..self.owners.len() {
            if self.owners[owner].cell == cell {
                let listed = entries.iter().map(|(id, entry)| (id, entry));
                self.with_pool(owner, |pool, now| pool.set_workers(now, listed));
            }
        }
    }

    fn take_over(&mut self, cell: usize, missing: usize) {
        self.generation += 1;
        let mut pool = Pool::new(first_token(self.generation));
        let entries = self.entries(cell);
        let listed = entries.iter().enumerate().filter(|(index, _)| *index != missing);
        pool.set_workers(Millis(self.now_ms), listed.map(|(_, (id, entry))| (id, entry)));
        self.owners.push(Owner {
            cell,
            pool: Some(pool),
            frozen_until_ms: 0,
            reads_from_ms: 0,
            advanced_ms: 0,
        });
        self.note(&format!("owner {} takes cell {cell}", self.owners.len() - 1));
        self.perform(self.owners.len() - 1);
        self.push(300, Due::Refresh(cell));
    }

    /// Silences the links of an owner, or closes them if its process has ended.
    fn break_links(&mut self, owner: usize, has_ended: bool) {
        for link in 0..self.links.len() {
            if self.links[link].owner != owner {
                continue;
            }
            if has_ended {
                self.end_link(link, OWNER);
            } else {
                self.links[link].silent_until_ms = [self.now_ms + FOREVER_MS; 2];
            }
        }
    }

    fn pick(&self, pick: Pick) -> usize {
        match pick {
            Pick::Busy => self.busy,
            Pick::Silent => self.silent,
            Pick::Number(number) => number % self.nodes.len(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Submit { cell, resends_elsewhere, tasks, task_ms, declared_ms } => {
                let id = format!("{:016x}", self.requests.len());
                self.requests.push(Request {
                    spec: job(&id, tasks, TASK_CORES, declared_ms),
                    task_ms,
                    cell,
                    resends_elsewhere,
                    arrived_ms: None,
                    previous_owner: PreviousOwner::None,
                    submission: None,
                    is_answered: false,
                    is_given_up: false,
                    sends: 0,
                });
                self.push(0, Due::Send(self.requests.len() - 1));
            }
            Event::Calls { kind, fate, for_ms } => {
                self.fates.push((kind, fate, self.now_ms + for_ms));
            }
            Event::Restart { pick, next, down_ms, entry_ms, old_entry_ms } => {
                self.restart(self.pick(pick), next, down_ms, entry_ms, old_entry_ms);
            }
            Event::Cut { pick, kind, fate, for_ms } => {
                let number = self.pick(pick);
                if let Some(owner) = self.owner_of(number % CELLS) {
                    self.nodes[number].cut = Some((owner, kind, fate, self.now_ms + for_ms));
                }
            }
            Event::Owner { cell, change, pause_ms, missing } => {
                let Some(owner) = self.owner_of(cell) else { return };
                self.end_ownership(owner, change);
                self.push(pause_ms, Due::TakeOver(cell, missing));
            }
            Event::Stall { cell, for_ms, reads_after_ms } => {
                let owner = self.owner_of(cell).filter(|owner| !self.is_frozen(*owner));
                let Some(owner) = owner.filter(|_| !self.stands_still()) else { return };
                self.freeze(owner, for_ms, reads_after_ms);
            }
            Event::Unordered { seed, for_ms } => {
                let until_ms = self.now_ms + for_ms;
                for kind in [Kind::Start, Kind::Stop, Kind::Poll] {
                    self.fates.push((kind, Fate::Unordered(seed), until_ms));
                }
            }
            Event::StandStill { pick, for_ms } => {
                let number = self.pick(pick);
                if self.stands_still() || self.now_ms < self.nodes[number].down_until_ms {
                    return;
                }
                let longer_ms = if self.defect == Defect::LongStandstills { STALL_MS } else { 0 };
                self.nodes[number].worker.advance_to(self.now_ms);
                self.nodes[number].stands_until_ms = self.now_ms + for_ms + longer_ms;
            }
            Event::Leave { noticed_ms } => {
                let Some(request) = self.requests.len().checked_sub(1) else { return };
                self.leave(request, noticed_ms);
            }
            Event::Silence { is_silent, for_ms, leaves } => {
                let Some(request) = self.requests.len().checked_sub(1) else { return };
                let Some(link) = self.requests[request].submission else { return };
                let until_ms = self.now_ms + for_ms;
                self.links[link].silent_until_ms =
                    is_silent.map(|is| if is { until_ms } else { 0 });
                if leaves {
                    self.leave(request, 1);
                }
            }
            Event::Helpless { for_ms } => {
                self.cancels_lost_until_ms = self.now_ms + for_ms;
                self.fates.push((Kind::Stop, Fate::Lost, self.now_ms + for_ms));
            }
        }
    }

    fn freeze(&mut self, owner: usize, for_ms: u64, reads_after_ms: u64) {
        let owner = &mut self.owners[owner];
        owner.frozen_until_ms = self.now_ms + for_ms;
        owner.reads_from_ms = owner.frozen_until_ms + reads_after_ms;
    }

    fn restart(
        &mut self,
        number: usize,
        next: NextProcess,
        down_ms: u64,
        entry_ms: u64,
        old_entry_ms: Option<u64>,
    ) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[number];
        node.processes += 1;
        // Its clock begins anew.
        let clock_ms = CLOCK_MS.saturating_sub(node.processes * CLOCK_STEP_MS);
        node.worker.restart(now_ms, clock_ms);
        node.down_until_ms = now_ms + down_ms;
        node.stands_until_ms = 0;
        if matches!(next, NextProcess::OtherId) {
            node.id = Rc::from(format!("{number}.{}", node.processes));
        }
        let old = node.published.clone();
        let new =
            (Rc::clone(&node.id), WorkerEntry { started_at_ms: Some(now_ms), ..old.1.clone() });
        self.push(down_ms + entry_ms, Due::Publish(number, new.0.clone(), new.1.clone()));
        if let Some(old_entry_ms) = old_entry_ms {
            let at_ms = down_ms + entry_ms + old_entry_ms;
            self.push(at_ms, Due::Publish(number, old.0, old.1));
            self.push(at_ms + 500, Due::Publish(number, new.0, new.1));
        }
    }

    fn end_ownership(&mut self, owner: usize, change: Change) {
        match change {
            Change::Handover => {
                self.with_pool(owner, |pool, now| {
                    pool.renew_all_leases(now);
                });
                self.with_pool(owner, |pool, _| pool.relinquish());
                self.owners[owner].pool = None;
            }
            Change::Death | Change::Restart => {
                self.owners[owner].pool = None;
                self.break_links(owner, true);
            }
            Change::Freeze(for_ms) => self.freeze(owner, for_ms, 0),
            Change::StoreLost => self.break_links(owner, false),
        }
    }

    fn submit_waiting(&mut self) {
        for number in 0..self.requests.len() {
            let request = &self.requests[number];
            let Some(arrived_ms) = request.arrived_ms else { continue };
            if request.is_answered || request.submission.is_some() {
                continue;
            }
            let age_ms = self.now_ms - arrived_ms;
            let declared_ms = request.spec.critical_path_ms(|step| step.estimate_ms);
            let previous_owner = &request.previous_owner;
            let too_late = outcome_if_too_late(previous_owner, age_ms, declared_ms, LIMIT_MS);
            if let Some(outcome) = too_late {
                self.answer(number, &outcome);
                continue;
            }
            let submission = Submission {
                spec: request.spec.clone(),
                terms: terms("r", 400, 3),
                age_ms,
                limit_ms: LIMIT_MS,
                previous_owner: request.previous_owner.clone(),
                may_wait: true,
                is_remote: true,
            };
            let Some(owner) = self.owner_of(request.cell) else { continue };
            let submitter = (number, request.sends);
            let is_cut = |link: &Link| {
                let is_silent = link.silent_until_ms.iter().any(|until_ms| self.now_ms < *until_ms);
                link.submitter == submitter && link.owner == owner && is_silent
            };
            if self.links.iter().any(is_cut) {
                continue;
            }
            self.requests[number].submission = Some(self.links.len());
            self.links.push(Link {
                submitter,
                owner,
                number: None,
                is_closed: [false; 2],
                heard_ms: [self.now_ms; 2],
                silent_until_ms: [0; 2],
                pinged_ms: self.now_ms,
                echoed_ms: self.now_ms,
            });
            let link = self.links.len() - 1;
            self.push(1, Due::Message(link, OWNER, Message::Submit(submission)));
        }
    }

    fn conclude(&mut self, number: usize, attempt: Attempt) {
        let request = &mut self.requests[number];
        request.submission = None;
        match decide(attempt, &request.previous_owner) {
            Decision::Answer(outcome) => self.answer(number, &outcome),
            Decision::SameCell(previous_owner) => request.previous_owner = previous_owner,
            Decision::OtherCell(Some(refused)) => self.answer(number, &refused),
            Decision::OtherCell(None) => {}
        }
    }

    fn answer(&mut self, number: usize, outcome: &Outcome) {
        self.note(&format!("job {number} is answered: {outcome:?}"));
        if self.requests[number].is_given_up {
            self.requests[number].arrived_ms = None;
            return;
        }
        match outcome {
            Outcome::Aborted(_) | Outcome::NotRun { .. } => self.resend(number),
            _ => self.requests[number].is_answered = true,
        }
    }

    /// Lets the caller of a request wait and send it again, to a few times in all.
    fn resend(&mut self, number: usize) {
        let request = &mut self.requests[number];
        request.arrived_ms = None;
        if request.sends < MAX_SENDS {
            self.push(RESEND_MS, Due::Send(number));
        }
    }
}
