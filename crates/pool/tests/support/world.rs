//! Daemons, callers and faults in virtual time.

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{End, LookCall, LookReply, StartCall, StartReply, StopCall, StopReply, Target};
use pool::catalogue::WorkerEntry;
use pool::failover::{Attempt, Decision, decide, outcome_if_too_late};
use pool::job::{JobSpec, Outcome, PreviousOwner};
use pool::pool::{Action, LINK_TIMEOUT_MS, Pool, Submission};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::{cores, entry, job, terms};
use standins::sized::{Planted, SizedWorker, Work};

/// How long after a lost answer a caller sends its request again.
pub const RESEND_MS: u64 = 1_300;
const LIMIT_MS: u64 = 2_500;
const TAKEOVER_MS: u64 = 1_200;
const STEP_MS: u64 = 1;

/// What the daemons leave out, to show that the test finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forgotten {
    Nothing,
    /// The next owner is not told that an earlier one may have runs.
    Doubt,
    /// Callers send again at once.
    ResendPause,
}

/// Shares of calls that go wrong, in thousandths.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub lost_before: u32,
    pub lost_reply: u32,
    pub late: u32,
    pub owner_change_every_ms: u64,
    pub worker_fault_every_ms: u64,
    pub failing_runs: u32,
    pub long_runs: u32,
}

enum Event {
    Start(usize, usize, StartCall, bool),
    Stop(usize, usize, StopCall, bool),
    LookArrives(usize, usize, LookCall, u64),
    LookEnds(usize, usize, u64, u64),
    StartReply(usize, usize, StartCall, StartReply),
    StopReply(usize, usize, StopCall, StopReply),
    LookReply(usize, usize, u64, LookReply),
    Caller(usize),
    Broken(usize, usize),
}

/// One caller's request and where it stands.
struct Request {
    spec: JobSpec,
    arrived_ms: u64,
    previous_owner: PreviousOwner,
    /// The cell that its last send went to.
    cell: usize,
    /// The daemon and the number under which an owner has it.
    at: Option<(usize, u64)>,
    outcome: Option<Outcome>,
    sends: u32,
}

/// One daemon that owns a cell, or thinks so.
struct Daemon {
    cell: usize,
    pool: Option<Pool>,
    frozen_until_ms: u64,
}

pub struct World {
    pub now_ms: u64,
    rng: SmallRng,
    pub workers: Vec<SizedWorker>,
    cut: HashMap<(usize, usize), u64>,
    daemons: Vec<Daemon>,
    owners: [Option<usize>; CELLS],
    takeover_at: [Option<u64>; CELLS],
    token: u64,
    events: BinaryHeap<(std::cmp::Reverse<(u64, u64)>, usize)>,
    bodies: HashMap<usize, Event>,
    serial: usize,
    requests: Vec<Request>,
    faults: Faults,
    forgotten: Forgotten,
    /// What happened to each job, for the message of a failed test.
    story: HashMap<Rc<str>, Vec<String>>,
    pub overlaps: Vec<String>,
    /// Starts that began though the worker knew a later owner.
    pub stale_starts: usize,
    pub steps: u64,
    pub completed: usize,
    pub starts: usize,
}

const EACH: u64 = 27;
const CELLS: usize = 2;
const CELL_WORKERS: usize = 6;

impl World {
    pub fn new(seed: u64, faults: Faults, planted: Planted, forgotten: Forgotten) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut workers: Vec<SizedWorker> = (0..CELLS * CELL_WORKERS)
            .map(|_| {
                let offset_ms = rng.random_range(1_000..9_000_000);
                SizedWorker::new(entry(0, 64).capacity, offset_ms, rng.random_range(0..=20))
            })
            .collect();
        for worker in &mut workers {
            worker.planted = planted;
        }
        let mut world = Self {
            now_ms: 1_000,
            rng,
            workers,
            cut: HashMap::new(),
            daemons: Vec::new(),
            owners: [None; CELLS],
            takeover_at: [None; CELLS],
            token: 0,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            serial: 0,
            requests: Vec::new(),
            faults,
            forgotten,
            story: HashMap::new(),
            overlaps: Vec::new(),
            stale_starts: 0,
            steps: 0,
            completed: 0,
            starts: 0,
        };
        for cell in 0..CELLS {
            world.take_over(cell);
        }
        world
    }

    /// Plays until all callers have an answer, for at most so long.
    pub fn play(&mut self, jobs: usize, gap_ms: u64, most_ms: u64) {
        for number in 0..jobs {
            let width = self.rng.random_range(1..=4);
            let estimate_ms = self.rng.random_range(60..900);
            let spec = job(&format!("{number:016x}"), width, EACH, estimate_ms);
            let request = Request {
                spec,
                arrived_ms: 0,
                previous_owner: PreviousOwner::None,
                cell: 0,
                at: None,
                outcome: None,
                sends: 0,
            };
            self.requests.push(request);
            self.push(self.now_ms + 50 + number as u64 * gap_ms, Event::Caller(number));
        }
        let ends_ms = self.now_ms + most_ms;
        while self.now_ms < ends_ms && self.requests.iter().any(|r| r.outcome.is_none()) {
            self.step();
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.serial += 1;
        self.bodies.insert(self.serial, event);
        let key = std::cmp::Reverse((at_ms.max(self.now_ms), self.serial as u64));
        self.events.push((key, self.serial));
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject();
        while let Some((std::cmp::Reverse((at_ms, _)), _)) = self.events.peek() {
            if *at_ms > self.now_ms {
                break;
            }
            let Some((_, id)) = self.events.pop() else { break };
            let Some(event) = self.bodies.remove(&id) else { continue };
            self.steps += 1;
            self.handle(event);
        }
        for at in 0..self.daemons.len() {
            self.advance(at);
        }
        self.resume_requests();
    }

    fn inject(&mut self) {
        for cell in 0..CELLS {
            if self.takeover_at[cell].is_some_and(|at| self.now_ms >= at) {
                self.take_over(cell);
            }
        }
        let faults = self.faults;
        if faults.owner_change_every_ms > 0
            && self.now_ms.is_multiple_of(faults.owner_change_every_ms)
        {
            let cell = self.rng.random_range(0..CELLS);
            self.change_owner(cell);
        }
        if faults.worker_fault_every_ms > 0
            && self.now_ms.is_multiple_of(faults.worker_fault_every_ms)
        {
            self.fault_worker();
        }
    }

    fn fault_worker(&mut self) {
        let worker = self.rng.random_range(0..self.workers.len());
        if self.rng.random_bool(0.3) {
            self.workers[worker].rebirth(self.now_ms);
            return;
        }
        let owners = self.owners.iter().flatten().copied();
        let Some(daemon) = owners.max_by_key(|owner| self.daemons[*owner].cell == worker / 6)
        else {
            return;
        };
        let until_ms = self.now_ms + self.rng.random_range(200..3_000);
        self.cut.insert((daemon, worker), until_ms);
    }

    /// Changes the owner: planned, killed, frozen, fallen silent, or restarted at once.
    fn change_owner(&mut self, cell: usize) {
        let Some(owner) = self.owners[cell].take() else { return };
        let pause_ms = match self.rng.random_range(0..5) {
            0 => {
                let now = Millis(self.now_ms);
                if let Some(pool) = &mut self.daemons[owner].pool {
                    pool.renew_all_leases(now);
                }
                self.perform(owner);
                if let Some(pool) = &mut self.daemons[owner].pool {
                    pool.relinquish();
                }
                self.perform(owner);
                self.daemons[owner].pool = None;
                self.rng.random_range(5..400)
            }
            1 => {
                self.daemons[owner].pool = None;
                self.break_requests(owner, 1);
                TAKEOVER_MS
            }
            2 => {
                self.daemons[owner].pool = None;
                self.break_requests(owner, 1);
                self.rng.random_range(300..TAKEOVER_MS)
            }
            3 => {
                self.daemons[owner].frozen_until_ms =
                    self.now_ms + self.rng.random_range(600..4_000);
                self.break_requests(owner, LINK_TIMEOUT_MS + 100);
                TAKEOVER_MS
            }
            // The daemon goes on without the store; its links break, which it sees as well.
            _ => {
                let more_ms = self.rng.random_range(0..150);
                self.break_requests(owner, LINK_TIMEOUT_MS + more_ms);
                self.rng.random_range(1..TAKEOVER_MS)
            }
        };
        self.takeover_at[cell] = Some(self.now_ms + pause_ms);
        let line = format!("owner {owner} of cell {cell} goes, next in {pause_ms} ms");
        let jobs: Vec<Rc<str>> = self.requests.iter().map(|r| Rc::clone(&r.spec.id)).collect();
        for job in jobs {
            self.tell(&job, line.clone());
        }
    }

    fn break_requests(&mut self, daemon: usize, after_ms: u64) {
        for number in 0..self.requests.len() {
            if self.requests[number].at.is_some_and(|(at, _)| at == daemon) {
                self.push(self.now_ms + after_ms, Event::Broken(number, daemon));
            }
        }
    }

    fn take_over(&mut self, cell: usize) {
        self.takeover_at[cell] = None;
        self.token += 1;
        let mut pool = Pool::new(self.token);
        let entries: BTreeMap<Rc<str>, WorkerEntry> = self
            .workers
            .iter()
            .enumerate()
            .filter(|(at, _)| at / CELL_WORKERS == cell)
            .map(|(at, worker)| {
                let entry = WorkerEntry { born_ms: Some(worker.born_ms), ..entry(at, 64) };
                (Rc::from(at.to_string()), entry)
            })
            .collect();
        // Often an entry is missing, as after an outage of the store.
        let missing = self.rng.random_range(0..entries.len() + 2);
        let shown = entries.iter().enumerate().filter(|(at, _)| *at != missing);
        pool.set_workers(Millis(self.now_ms), shown.map(|(_, pair)| pair));
        self.daemons.push(Daemon { cell, pool: Some(pool), frozen_until_ms: 0 });
        self.owners[cell] = Some(self.daemons.len() - 1);
        self.perform(self.daemons.len() - 1);
    }

    fn is_cut(&self, daemon: usize, worker: usize) -> bool {
        self.cut.get(&(daemon, worker)).is_some_and(|until| self.now_ms < *until)
    }

    fn advance(&mut self, at: usize) {
        if self.now_ms < self.daemons[at].frozen_until_ms {
            return;
        }
        let now = Millis(self.now_ms);
        if let Some(pool) = &mut self.daemons[at].pool {
            pool.advance(now);
        }
        self.perform(at);
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.02) { self.rng.random_range(5..60) } else { 1 }
    }

    fn roll(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn perform(&mut self, at: usize) {
        let Some(pool) = &mut self.daemons[at].pool else { return };
        let actions = pool.take_actions();
        let fenced = pool.is_fenced();
        for action in actions {
            match action {
                Action::Start(target, call) => {
                    self.order(at, &target, |worker, late| Event::Start(at, worker, call, late));
                }
                Action::Stop(target, call) => {
                    self.order(at, &target, |worker, late| Event::Stop(at, worker, call, late));
                }
                Action::Poll(target, call) => {
                    let sent_ms = self.now_ms;
                    let worker = number_of(&target);
                    let arrives_ms = self.now_ms + self.delay();
                    if self.is_cut(at, worker) || self.roll(self.faults.lost_before) {
                        let lost = Event::LookReply(at, worker, sent_ms, LookReply::Lost);
                        self.push(self.now_ms + call.wait_ms + 250, lost);
                    } else {
                        self.push(arrives_ms, Event::LookArrives(at, worker, call, sent_ms));
                    }
                }
                Action::Answer(number, outcome) => self.answered(at, number, outcome),
            }
        }
        if fenced {
            self.daemons[at].pool = None;
        }
    }

    /// Sends an order, which may be lost or be carried out seconds later.
    fn order(&mut self, at: usize, target: &Target, event: impl FnOnce(usize, bool) -> Event) {
        let worker = number_of(target);
        let is_lost = self.is_cut(at, worker) || self.roll(self.faults.lost_before);
        let is_late = self.roll(self.faults.late);
        let at_ms = match (is_lost, is_late) {
            (true, _) => u64::MAX / 2,
            (_, true) => self.now_ms + self.rng.random_range(300..6_000),
            _ => self.now_ms + self.delay(),
        };
        let event = event(worker, is_late);
        if is_lost || is_late {
            let reply = match &event {
                Event::Start(_, _, call, _) => {
                    Event::StartReply(at, worker, call.clone(), StartReply::Lost)
                }
                Event::Stop(_, _, call, _) => {
                    Event::StopReply(at, worker, call.clone(), StopReply::Lost)
                }
                _ => return,
            };
            self.push(self.now_ms + 250, reply);
        }
        if !is_lost {
            self.push(at_ms, event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(at, worker, call, silent) => self.carry_start(at, worker, call, silent),
            Event::Stop(at, worker, call, silent) => {
                let reply = self.workers[worker].stop(self.now_ms, &call);
                let line = format!("stop of {} by {at} at {worker}: {reply:?}", call.task);
                self.tell(&call.task.job, line);
                let reply = if self.roll(self.faults.lost_reply) { StopReply::Lost } else { reply };
                if !silent {
                    let at_ms = self.now_ms + self.delay();
                    self.push(at_ms, Event::StopReply(at, worker, call, reply));
                }
            }
            Event::LookArrives(at, worker, call, sent_ms) => {
                let refused = self.workers[worker].look_begins(self.now_ms, &call);
                let until_ms = self.now_ms + call.wait_ms;
                if let Some(reply) = refused {
                    self.push(self.now_ms + 1, Event::LookReply(at, worker, sent_ms, reply));
                } else {
                    self.push(self.now_ms, Event::LookEnds(at, worker, sent_ms, until_ms));
                }
            }
            Event::LookEnds(at, worker, sent_ms, until_ms) => {
                self.workers[worker].settle(self.now_ms);
                if self.workers[worker].has_ends() || self.now_ms >= until_ms {
                    let reply = self.workers[worker].report(self.now_ms);
                    let at_ms = self.now_ms + self.delay();
                    self.push(at_ms, Event::LookReply(at, worker, sent_ms, reply));
                } else {
                    self.push(self.now_ms + 2, Event::LookEnds(at, worker, sent_ms, until_ms));
                }
            }
            Event::StartReply(at, worker, call, reply) => {
                self.with_pool(at, |pool, now| {
                    pool.start_reply(now, &worker.to_string(), &call, reply);
                });
            }
            Event::StopReply(at, worker, call, reply) => {
                self.with_pool(at, |pool, now| {
                    pool.stop_reply(now, &worker.to_string(), &call, reply);
                });
            }
            Event::LookReply(at, worker, sent_ms, reply) => {
                self.with_pool(at, |pool, now| {
                    pool.look_reply(now, &worker.to_string(), Millis(sent_ms), &reply);
                });
            }
            Event::Caller(number) => self.send(number),
            Event::Broken(number, daemon) => self.link_broke(number, daemon),
        }
    }

    fn with_pool(&mut self, at: usize, event: impl FnOnce(&mut Pool, Millis)) {
        if self.now_ms < self.daemons[at].frozen_until_ms {
            return;
        }
        let now = Millis(self.now_ms);
        if let Some(pool) = &mut self.daemons[at].pool {
            event(pool, now);
        }
        self.perform(at);
    }

    fn carry_start(&mut self, at: usize, worker: usize, call: StartCall, silent: bool) {
        let longest_ms = if self.roll(self.faults.long_runs) { 6_000 } else { 1_200 };
        let takes_ms = self.rng.random_range(40..longest_ms);
        let end = if self.roll(self.faults.failing_runs) { End::Failed } else { End::Done };
        let work = Work { room: cores(EACH), takes_ms, end };
        let (reply, began) = self.workers[worker].start(self.now_ms, &call, work);
        let line =
            format!("start of {} run {} by {at} at {worker}: {reply:?}", call.task, call.run);
        self.tell(&call.task.job, line);
        if began {
            self.starts += 1;
            self.stale_starts += usize::from(self.workers[worker].knows_later(call.token));
            self.check_overlap(worker, &call);
        }
        if silent {
            return;
        }
        let reply = if self.roll(self.faults.lost_reply) { StartReply::Lost } else { reply };
        let at_ms = self.now_ms + self.delay();
        self.push(at_ms, Event::StartReply(at, worker, call, reply));
    }

    fn tell(&mut self, job: &Rc<str>, line: String) {
        let line = format!("{} ms: {line}", self.now_ms);
        self.story.entry(Rc::clone(job)).or_default().push(line);
    }

    fn check_overlap(&mut self, started_at: usize, call: &StartCall) {
        for worker in 0..self.workers.len() {
            self.workers[worker].settle(self.now_ms);
            if worker != started_at && self.workers[worker].live.contains_key(&call.task) {
                let overlap = format!(
                    "{} on {started_at} and {worker} at {} ms, token {}",
                    call.task, self.now_ms, call.token
                );
                let story = self.story.get(&call.task.job).map(|lines| lines.join("\n  "));
                self.overlaps.push(format!("{overlap}\n  {}", story.unwrap_or_default()));
            }
        }
    }

    fn send(&mut self, number: usize) {
        let cell = self.rng.random_range(0..CELLS);
        let request = &mut self.requests[number];
        if request.outcome.is_some() {
            return;
        }
        request.cell = cell;
        request.sends += 1;
        request.arrived_ms = self.now_ms;
        request.previous_owner = PreviousOwner::None;
        request.at = None;
        self.submit(number);
    }

    fn submit(&mut self, number: usize) {
        let Some(owner) = self.owners[self.requests[number].cell] else { return };
        if self.daemons[owner].pool.is_none() {
            return;
        }
        let request = &self.requests[number];
        let previous_owner = match self.forgotten {
            Forgotten::Doubt => PreviousOwner::None,
            _ => request.previous_owner.clone(),
        };
        let submission = Submission {
            spec: request.spec.clone(),
            terms: terms("r", 400, 3),
            age_ms: self.now_ms - request.arrived_ms,
            limit_ms: LIMIT_MS,
            previous_owner,
            may_wait: true,
            is_remote: true,
        };
        let now = Millis(self.now_ms);
        let Some(pool) = &mut self.daemons[owner].pool else { return };
        let given = pool.submit(now, submission);
        self.requests[number].at = Some((owner, given));
        let job = Rc::clone(&self.requests[number].spec.id);
        let previous_owner = self.requests[number].previous_owner.clone();
        self.tell(&job, format!("submitted to {owner}, {previous_owner:?}"));
        self.perform(owner);
    }

    fn answered(&mut self, daemon: usize, given: u64, outcome: Outcome) {
        let of = |request: &Request| request.at == Some((daemon, given));
        let Some(number) = self.requests.iter().position(of) else { return };
        self.after_try(number, Attempt::Outcome(outcome));
    }

    fn link_broke(&mut self, number: usize, daemon: usize) {
        let Some((at, given)) = self.requests[number].at else { return };
        if at != daemon {
            return;
        }
        // The owner sees the break as well, unless it is dead or frozen.
        self.with_pool(daemon, |pool, now| pool.cancel(now, given));
        self.after_try(number, Attempt::ConnectionLost);
    }

    fn after_try(&mut self, number: usize, tried: Attempt) {
        let (job, at) = (Rc::clone(&self.requests[number].spec.id), self.requests[number].at);
        self.tell(&job, format!("{at:?} gave {tried:?}"));
        let request = &mut self.requests[number];
        request.at = None;
        match decide(tried, &request.previous_owner) {
            Decision::Answer(outcome) => self.answer(number, outcome),
            Decision::SameCell(previous_owner) => request.previous_owner = previous_owner,
            Decision::OtherCell(refused) => {
                if let Some(refused) = refused {
                    self.answer(number, refused);
                }
            }
        }
    }

    fn resume_requests(&mut self) {
        for number in 0..self.requests.len() {
            let request = &self.requests[number];
            let waits = request.at.is_none() && request.outcome.is_none() && request.sends > 0;
            if !waits || request.arrived_ms == 0 {
                continue;
            }
            let age_ms = self.now_ms - request.arrived_ms;
            let declared_ms = request.spec.critical_path_ms(|step| step.estimate_ms);
            match outcome_if_too_late(&request.previous_owner, age_ms, declared_ms, LIMIT_MS) {
                Some(outcome) => self.answer(number, outcome),
                None => self.submit(number),
            }
        }
    }

    /// Gives the caller its answer; one that is not final makes it send again later.
    fn answer(&mut self, number: usize, outcome: Outcome) {
        let pause_ms = if self.forgotten == Forgotten::ResendPause { 1 } else { RESEND_MS };
        let request = &mut self.requests[number];
        match outcome {
            Outcome::Aborted(_) | Outcome::NotRun { .. } if request.sends < 4 => {
                request.arrived_ms = 0;
                self.push(self.now_ms + pause_ms, Event::Caller(number));
            }
            outcome => {
                self.completed += usize::from(outcome == Outcome::Completed);
                request.outcome = Some(outcome);
            }
        }
    }
}

fn number_of(target: &Target) -> usize {
    target.id.parse().unwrap_or_default()
}
