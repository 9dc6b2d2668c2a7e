//! Owners, workers and callers in virtual time, whose only faults are those of a script.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::bounds::{LINK_TIMEOUT_MS, RESEND_MS};
use pool::call::{
    End, PollCall, PollReply, Refusal, StartCall, StartReply, StopCall, StopReply, Target,
};
use pool::catalogue::WorkerEntry;
use pool::failover::{Attempt, Decision, decide, outcome_if_too_late};
use pool::job::{JobSpec, Outcome, PreviousOwner};
use pool::pool::{Action, Pool, Submission};
use pool::tokens::first_token;
use standins::pool_worker::{PoolWorker, Work};

use super::{cores, entry, job, terms};

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
    /// Gets no reply, and is carried out after this time.
    Late(u64),
    /// Goes over a connection that is accepted after `after_ms`, gets no reply, and is carried out
    /// `late_ms` later by the process that has accepted it, unless that one has ended. Whether the sender
    /// of a start makes sure which process that is.
    Accepted {
        after_ms: u64,
        late_ms: u64,
        is_verified: bool,
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
    /// A worker is cut off from the owner of its cell.
    Cut {
        pick: Pick,
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
    /// The owner of a cell is stalled, and keeps the cell.
    Stall {
        cell: usize,
        for_ms: u64,
    },
    /// The caller of the latest job leaves, or its daemon loses power, and it sends the job again.
    Leave {
        noticed_ms: u64,
    },
}

/// A case of the property: each event follows the one before after a time.
#[derive(Clone, Debug)]
pub struct Script {
    /// For each worker by how much its clock is slower, in thousandths; cells alternate.
    pub slow_permille: Vec<u64>,
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
}

enum Due {
    Script(Event),
    /// The process that listens accepts the connection of a call, whose caller gives up after the first
    /// time. It is carried out after the second one.
    Accept(Sent, u64, u64),
    Arrival(Sent),
    /// A poll waits at its worker until this time.
    Wait(Sent, u64),
    Reply(Sent, Reply),
    Cancel(usize, u64),
    Broken(usize, usize),
    Send(usize),
    TakeOver(usize, usize),
    Publish(usize, Rc<str>, WorkerEntry),
    Refresh(usize),
}

struct Node {
    id: Rc<str>,
    worker: PoolWorker,
    down_until_ms: u64,
    processes: u64,
    published: (Rc<str>, WorkerEntry),
    cut: Option<(usize, Fate, u64)>,
}

struct Owner {
    cell: usize,
    pool: Option<Pool>,
    frozen_until_ms: u64,
    advanced_ms: u64,
}

struct Request {
    spec: JobSpec,
    task_ms: u64,
    cell: usize,
    resends_elsewhere: bool,
    arrived_ms: Option<u64>,
    previous_owner: PreviousOwner,
    submission: Option<(usize, u64)>,
    is_answered: bool,
    sends: u32,
}

/// A fleet that plays a [`Script`].
pub struct World {
    now_ms: u64,
    nodes: Vec<Node>,
    owners: Vec<Owner>,
    requests: Vec<Request>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    due: BTreeMap<usize, Due>,
    last_due: usize,
    fates: Vec<(Kind, Fate, u64)>,
    busy: usize,
    silent: usize,
    generation: u64,
    late_calls_outlive_processes: bool,
    trace: Vec<String>,
    pub starts: usize,
    pub overlap: Option<String>,
}

impl World {
    /// Plays a script until its late calls and its callers are done, or a task has two runs.
    pub fn play(script: &Script, late_calls_outlive_processes: bool) -> Self {
        let node = |(number, slow_permille): (usize, &u64)| {
            let published = (Rc::from(number.to_string()), entry(number, WORKER_CORES));
            Node {
                id: Rc::clone(&published.0),
                worker: PoolWorker::new(published.1.capacity, CLOCK_MS, *slow_permille),
                down_until_ms: 0,
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
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            last_due: 0,
            fates: Vec::new(),
            busy: 0,
            silent: 0,
            generation: 0,
            late_calls_outlive_processes,
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
        self.record_contacts();
        self.submit_waiting();
    }

    /// Lets the pools know which submitters wait: all that have not left.
    fn record_contacts(&mut self) {
        let now = Millis(self.now_ms);
        for (owner, number) in self.requests.iter().filter_map(|request| request.submission) {
            let is_frozen = self.is_frozen(owner);
            if let (Some(pool), false) = (&mut self.owners[owner].pool, is_frozen) {
                pool.record_contact(number, now);
            }
        }
    }

    /// Whether nothing can start any more.
    fn is_over(&self) -> bool {
        let is_open = |request: &Request| !request.is_answered && request.arrived_ms.is_some();
        let may_start = |due: &Due| match due {
            Due::Script(_) | Due::Send(_) => true,
            Due::Accept(sent, ..) | Due::Arrival(sent) => sent.call.kind() == Kind::Start,
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
                    let submission = Some((owner, number));
                    let request = self.requests.iter().position(|r| r.submission == submission);
                    if let Some(request) = request {
                        self.conclude(request, Attempt::Outcome(outcome));
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends a call; the first fate that is in force applies.
    fn send_call(&mut self, owner: usize, target: Target, call: Call) {
        let node = self.node_at(&target);
        let now_ms = self.now_ms;
        let cut = self.nodes[node].cut.filter(|cut| cut.0 == owner && now_ms < cut.2);
        let armed = self.fates.iter().find(|fate| fate.0 == call.kind() && now_ms < fate.2);
        let fate = cut.or(armed.map(|fate| (0, fate.1, 0))).map(|(_, fate, _)| fate);
        let waits_ms = if let Call::Poll(poll) = &call { poll.wait_ms } else { 0 };
        let timeout_ms = target.timeout_ms + waits_ms;
        let mut sent =
            Sent { owner, target, call, since_ms: now_ms, process: None, has_reply: true };
        let arrives_ms = match fate {
            None => Some(1),
            Some(Fate::Slow(ms)) => Some(ms),
            Some(Fate::Accepted { after_ms, late_ms, is_verified }) => {
                sent.has_reply = false;
                sent.target.process = sent.target.process.filter(|_| is_verified);
                if sent.call.kind() == Kind::Start {
                    self.silent = node;
                }
                let after_ms = after_ms.min(timeout_ms);
                let rest_ms = timeout_ms - after_ms;
                self.push(after_ms, Due::Accept(sent.clone(), rest_ms, late_ms));
                None
            }
            Some(Fate::ReplyLost | Fate::Lost | Fate::Late(_)) => {
                sent.has_reply = false;
                if sent.call.kind() == Kind::Start {
                    self.silent = node;
                }
                self.push(timeout_ms, Due::Reply(sent.clone(), sent.call.lost()));
                match fate {
                    Some(Fate::ReplyLost) => Some(1),
                    Some(Fate::Late(ms)) => {
                        let process = self.nodes[node].worker.started_at_ms;
                        sent.process = (!self.late_calls_outlive_processes).then_some(process);
                        if self.late_calls_outlive_processes {
                            // The process that receives the call is not the one that was asked.
                            sent.target.process = None;
                        }
                        Some(ms)
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
            self.push(1, Due::Reply(sent, reply));
        }
    }

    /// Whether a start has reached another process than the one that it is meant for. Its sender notices
    /// that before it sends the start.
    fn is_misdirected(&self, sent: &Sent) -> bool {
        let process = self.nodes[self.node_at(&sent.target)].worker.started_at_ms;
        let is_other = sent.target.process.is_some_and(|expected| expected != process);
        sent.call.kind() == Kind::Start && is_other
    }

    fn accept(&mut self, mut sent: Sent, rest_ms: u64, late_ms: u64) {
        let node = &self.nodes[self.node_at(&sent.target)];
        let lost = sent.call.lost();
        if self.now_ms < node.down_until_ms {
            self.push(rest_ms, Due::Reply(sent, lost));
        } else if self.is_misdirected(&sent) {
            let reply = sent.call.refused(Refusal::InstanceMismatch);
            self.push(1, Due::Reply(sent, reply));
        } else {
            sent.process = Some(node.worker.started_at_ms);
            self.push(rest_ms, Due::Reply(sent.clone(), lost));
            self.push(late_ms, Due::Arrival(sent));
        }
    }

    fn arrive(&mut self, sent: Sent) {
        let number = self.node_at(&sent.target);
        let is_misdirected = self.is_misdirected(&sent);
        let node = &mut self.nodes[number];
        let worker = &mut node.worker;
        if sent.process.is_some_and(|process| process != worker.started_at_ms) {
            return;
        }
        let refusal = if self.now_ms < node.down_until_ms {
            Some(Refusal::NotListening)
        } else {
            (node.id != sent.target.id || is_misdirected).then_some(Refusal::InstanceMismatch)
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
                self.nodes[other].worker.advance_to(self.now_ms);
                if self.nodes[other].worker.active.contains_key(&call.task) {
                    let at_ms = self.now_ms;
                    let overlap = format!("{} on {other} and {number} at {at_ms} ms", call.task);
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
            Due::Accept(sent, rest_ms, late_ms) => self.accept(sent, rest_ms, late_ms),
            Due::Arrival(sent) => self.arrive(sent),
            Due::Wait(sent, until_ms) => {
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
            // The owner's timers are handled before the closed connection is read.
            Due::Cancel(owner, number) if self.is_frozen(owner) => {
                self.push(
                    self.owners[owner].frozen_until_ms - self.now_ms + 1,
                    Due::Cancel(owner, number),
                );
            }
            Due::Cancel(owner, number) => {
                self.with_pool(owner, |pool, now| pool.cancel(now, number));
            }
            Due::Broken(request, owner) => {
                let submission = self.requests[request].submission;
                if let Some((_, number)) = submission.filter(|(at, _)| *at == owner) {
                    self.push(0, Due::Cancel(owner, number));
                    self.conclude(request, Attempt::ConnectionLost);
                }
            }
            Due::Send(request) => {
                let request = &mut self.requests[request];
                if request.sends > 0 && request.resends_elsewhere {
                    request.cell = (request.cell + 1) % CELLS;
                }
                request.sends += 1;
                request.arrived_ms = Some(self.now_ms);
                request.previous_owner = PreviousOwner::None;
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
        self.owners.push(Owner { cell, pool: Some(pool), frozen_until_ms: 0, advanced_ms: 0 });
        self.note(&format!("owner {} takes cell {cell}", self.owners.len() - 1));
        self.perform(self.owners.len() - 1);
        self.push(300, Due::Refresh(cell));
    }

    fn break_links(&mut self, owner: usize, after_ms: u64) {
        for request in 0..self.requests.len() {
            self.push(after_ms, Due::Broken(request, owner));
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
            Event::Cut { pick, fate, for_ms } => {
                let number = self.pick(pick);
                if let Some(owner) = self.owner_of(number % CELLS) {
                    self.nodes[number].cut = Some((owner, fate, self.now_ms + for_ms));
                }
            }
            Event::Owner { cell, change, pause_ms, missing } => {
                let Some(owner) = self.owner_of(cell) else { return };
                self.end_ownership(owner, change);
                self.push(pause_ms, Due::TakeOver(cell, missing));
            }
            Event::Stall { cell, for_ms } => {
                let Some(owner) = self.owner_of(cell) else { return };
                self.owners[owner].frozen_until_ms = self.now_ms + for_ms;
                if for_ms >= LINK_TIMEOUT_MS {
                    self.break_links(owner, LINK_TIMEOUT_MS);
                }
            }
            Event::Leave { noticed_ms } => {
                let Some(request) = self.requests.len().checked_sub(1) else { return };
                if let Some((owner, number)) = self.requests[request].submission.take() {
                    self.push(noticed_ms, Due::Cancel(owner, number));
                    self.resend(request);
                }
            }
        }
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
            Change::Death => {
                self.owners[owner].pool = None;
                self.break_links(owner, 1);
            }
            Change::Freeze(for_ms) => {
                self.owners[owner].frozen_until_ms = self.now_ms + for_ms;
                self.break_links(owner, LINK_TIMEOUT_MS);
            }
            Change::StoreLost => self.break_links(owner, LINK_TIMEOUT_MS),
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
            let owner = self.owner_of(request.cell).filter(|owner| !self.is_frozen(*owner));
            let Some(owner) = owner else { continue };
            let now = Millis(self.now_ms);
            let Some(pool) = &mut self.owners[owner].pool else { continue };
            self.requests[number].submission = Some((owner, pool.submit(now, submission)));
            self.perform(owner);
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
