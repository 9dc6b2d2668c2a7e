//! Simulates a scenario in virtual time.
//!
//! Each cell has a [`Pool`], which schedules jobs on simulated workers exactly as in the daemon. Each
//! zone has a number of daemons that receive jobs and choose cells, each with its own knowledge of
//! the cells' loads. Messages and timers are events in a queue that is ordered by time.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{
    End, PollCall, PollReply, Refusal, StartCall, StartReply, StopCall, StopReply, Target,
};
use pool::catalogue::{WorkerEntry, WorkerState};
use pool::cells::Cell;
use pool::crashes::Crash;
use pool::free_notice::RefusedDaemons;
use pool::job::{Outcome, PreviousOwner, Reason, TaskName};
use pool::load_table::{Demand, LoadReport, LoadTable, SentJob};
use pool::pool::{Action, Pool, Submission};
use pool::queue::Backlog;
use pool::resources::Resources;
use pool::spill::{CellSearch, Offer};
use pool::tokens::first_token;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use standins::pool_worker::{PoolWorker, STOP_DELAY_MS, Work};

use crate::report::{Report, Status};
use crate::scenario::{STRAGGLER_FACTOR, Scenario};
use crate::workload::{CALLER_WAIT_MS, GeneratedJob};

/// Delay of a message between two processes, in milliseconds.
const LINK_DELAY_MS: u64 = 1;
/// Start of the arrivals, in milliseconds. Until then the owners poll their workers, so that they
/// know the workers' state when the first job arrives.
const WARM_UP_MS: u64 = 1_000;
/// How long the simulation continues after the arrivals end, in milliseconds, so that the remaining
/// jobs are answered.
const DRAIN_MS: u64 = 5_000;
const WORKER_MEMORY_MB: u64 = 65_536;
/// Time from the start of a task that crashes its worker to the crash, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;
/// Time from the crash of a worker until its next process listens, in milliseconds.
const RESTART_MS: u64 = 3_000;

/// A call from an owner to a worker. A poll carries the time at which it was sent.
#[derive(Clone, Debug)]
enum WorkerCall {
    Start(StartCall),
    Stop(StopCall),
    Poll(PollCall, Millis),
}

/// Reply of a worker to an owner. The reply to a poll carries the time at which the poll was sent.
#[derive(Clone, Debug)]
enum Reply {
    Start(StartCall, StartReply),
    Stop(StopCall, StopReply),
    Poll(PollReply, Millis),
}

#[derive(Clone, Debug)]
enum Event {
    /// The daemon that received a job chooses the next owner to ask.
    FindOwner(usize),
    /// A job arrives at the owner of a cell.
    Submit { job: usize, cell: usize, may_wait: bool },
    /// An owner's answer arrives at the daemon that received the job.
    Answer { job: usize, cell: usize, outcome: Outcome, load: (Backlog, Vec<LoadReport>) },
    /// The owner of a cell notifies a daemon that the cell has room again.
    FreeNotice { router: usize, report: LoadReport },
    /// The request of a daemon to withdraw a queued job arrives at the owner of a cell.
    Withdraw { job: usize, cell: usize },
    /// A call arrives at a worker.
    WorkerCall(usize, WorkerCall),
    /// A worker's reply arrives at its owner.
    Reply(usize, Reply),
    /// A run of a worker may have ended, or its pending poll may have reached its deadline.
    CheckPoll(usize),
    /// A timer of a cell's owner expires.
    Advance(usize),
    /// A worker crashes under the first task of a job, unless the task has been stopped.
    Crash(usize, TaskName),
}

/// A poll that waits at its worker for a run to end.
#[derive(Clone, Copy, Debug)]
struct PendingPoll {
    sent_at: Millis,
    deadline_ms: u64,
}

/// A job that may be queued at a cell.
#[derive(Clone, Debug)]
struct Waiting {
    cell: Cell,
    sent_at: Millis,
    reserved: Option<(Cell, SentJob)>,
}

struct Simulation<'a> {
    now_ms: u64,
    rng: SmallRng,
    scenario: &'a Scenario,
    jobs: &'a [GeneratedJob],
    by_id: HashMap<Rc<str>, usize>,
    /// State of each cell, ordered by zone.
    pools: Vec<Pool>,
    advance_at_ms: Vec<Option<u64>>,
    workers: Vec<PoolWorker>,
    pending_polls: Vec<Option<PendingPoll>>,
    /// Until when no process listens at each worker's address.
    down_until_ms: Vec<u64>,
    searches: Vec<CellSearch>,
    /// Deduction of each job that has been sent to an owner and not been answered.
    sent: Vec<Option<SentJob>>,
    /// Jobs that each daemon has sent to an owner with queueing allowed, with the cell, when they were
    /// sent, and the deduction at the cell that they are to move to.
    waiting: Vec<BTreeMap<usize, Waiting>>,
    /// Daemons that each cell's owner has refused a job.
    refused: Vec<RefusedDaemons>,
    /// What each daemon knows of the cells' loads, ordered by zone.
    loads: Vec<LoadTable>,
    submitted: HashMap<(usize, u64), usize>,
    events: BTreeMap<(u64, u64), Event>,
    last_sequence: u64,
    report: Report,
}

/// Simulates `scenario` with the given seed. The same scenario and seed give the same report.
pub fn run(scenario: &Scenario, seed: u64) -> Report {
    let mut rng = SmallRng::seed_from_u64(seed);
    let jobs = crate::workload::generate_jobs(scenario, &mut rng);
    let mut simulation = Simulation::new(scenario, &jobs, rng);
    simulation.run();
    simulation.report
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, jobs: &'a [GeneratedJob], rng: SmallRng) -> Self {
        let cells = scenario.zones * scenario.cells;
        let zones: Vec<String> = (0..scenario.zones).map(|zone| zone.to_string()).collect();
        let by_id = jobs.iter().enumerate().map(|(at, job)| (Rc::clone(&job.spec.id), at));
        let mut simulation = Self {
            now_ms: 0,
            rng,
            scenario,
            jobs,
            by_id: by_id.collect(),
            pools: Vec::new(),
            advance_at_ms: vec![None; cells],
            workers: Vec::new(),
            pending_polls: Vec::new(),
            down_until_ms: Vec::new(),
            searches: jobs.iter().map(new_search).collect(),
            sent: vec![None; jobs.len()],
            waiting: vec![BTreeMap::new(); scenario.zones * scenario.routers],
            refused: vec![RefusedDaemons::default(); cells],
            loads: (0..scenario.zones * scenario.routers)
                .map(|_| LoadTable::new(zones.iter().map(String::as_str)))
                .collect(),
            submitted: HashMap::new(),
            events: BTreeMap::new(),
            last_sequence: 0,
            report: Report::new(scenario, jobs),
        };
        for zone in 0..scenario.zones {
            simulation.add_zone(zone);
        }
        for (at, job) in jobs.iter().enumerate() {
            simulation.push(WARM_UP_MS + job.at_ms, Event::FindOwner(at));
        }
        simulation
    }

    fn add_zone(&mut self, zone: usize) {
        let sizes = &self.scenario.workers_millicores;
        let entries: Vec<(Rc<str>, WorkerEntry)> = sizes
            .iter()
            .enumerate()
            .map(|(at, millicores)| {
                let number = zone * sizes.len() + at;
                (Rc::from(number.to_string()), worker_entry(zone, number, *millicores))
            })
            .collect();
        for (_, entry) in &entries {
            self.workers.push(PoolWorker::new(entry.capacity, 0, 0));
            self.pending_polls.push(None);
            self.down_until_ms.push(0);
        }
        for number in 0..self.scenario.cells {
            let workers = entries.iter().skip(number).step_by(self.scenario.cells);
            let mut pool = Pool::new(first_token(1));
            pool.set_workers(Millis(0), workers.map(|(id, entry)| (id, entry)));
            self.pools.push(pool);
            self.perform_actions(zone * self.scenario.cells + number);
        }
    }

    fn run(&mut self) {
        let end_ms = WARM_UP_MS + self.scenario.span_ms + DRAIN_MS;
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.last_sequence += 1;
        self.events.insert((at_ms.max(self.now_ms), self.last_sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FindOwner(job) => self.find_owner(job),
            Event::Submit { job, cell, may_wait } => self.submit(job, cell, may_wait),
            Event::Answer { job, cell, outcome, load } => {
                self.handle_answer(job, cell, &outcome, load);
            }
            Event::FreeNotice { router, report } => {
                self.loads[router].record_reports(&[report], Millis(self.now_ms));
                self.move_waiting_jobs(router);
            }
            Event::Withdraw { job, cell } => self.withdraw(job, cell),
            Event::WorkerCall(worker, call) => self.handle_call(worker, call),
            Event::Reply(worker, reply) => self.handle_reply(worker, reply),
            Event::CheckPoll(worker) => self.check_poll(worker),
            Event::Advance(cell) => self.advance(cell),
            Event::Crash(worker, task) => self.crash(worker, &task),
        }
    }

    fn find_owner(&mut self, job: usize) {
        let router = self.router_of(job);
        let home = self.jobs[job].zone;
        let (now, (own, others)) = (Millis(self.now_ms), self.cells_from(home));
        self.refresh_owned_cells(router);
        let next = self.searches[job].next(&self.loads[router], &own, &others, now);
        match next {
            None => {
                let has_room = self.pools.iter().any(|pool| self.has_room(pool, job));
                let status = if has_room { Status::RefusedDespiteRoom } else { Status::Refused };
                self.report.record(&self.jobs[job], status);
            }
            Some(Offer { cell, may_wait, .. }) => {
                let demand = Demand::of(&self.jobs[job].spec);
                self.sent[job] = Some(self.loads[router].record_sent(&cell, demand, now));
                if may_wait {
                    let waiting = Waiting { cell: cell.clone(), sent_at: now, reserved: None };
                    self.waiting[router].insert(job, waiting);
                }
                let cell = cell.partition as usize;
                self.report.submissions += 1;
                self.report.submissions_to_other_zones += u64::from(self.zone_of(cell) != home);
                let at_ms = self.now_ms + link_delay_ms(home, self.zone_of(cell));
                self.push(at_ms, Event::Submit { job, cell, may_wait });
            }
        }
    }

    /// Returns the cells of a zone and those of the other zones.
    fn cells_from(&self, home: usize) -> (Vec<Cell>, Vec<Cell>) {
        let other_zones = (0..self.scenario.zones).filter(|zone| *zone != home);
        let others = other_zones.flat_map(|zone| self.cells_of(zone));
        (self.cells_of(home), others.collect())
    }

    /// Asks the owners of the cells where jobs of a daemon wait to withdraw those that could start
    /// elsewhere.
    fn move_waiting_jobs(&mut self, router: usize) {
        let now = Millis(self.now_ms);
        let home = router / self.scenario.routers;
        let movable = self.waiting[router].iter().filter(|(job, waiting)| {
            let queued = (&waiting.cell, waiting.sent_at);
            self.searches[**job].may_move(&self.loads[router], queued, now)
        });
        let jobs: Vec<usize> = movable.map(|(job, _)| *job).collect();
        if jobs.is_empty() {
            return;
        }
        let (own, others) = self.cells_from(home);
        for job in jobs {
            let Some(waiting) = self.waiting[router].get_mut(&job) else { continue };
            if waiting.reserved.is_some() {
                continue;
            }
            let (search, loads) = (&mut self.searches[job], &mut self.loads[router]);
            let queued = (&waiting.cell, waiting.sent_at);
            let better = search.find_better_cell(loads, queued, (&own, &others), now);
            let Some(better) = better else { continue };
            let demand = Demand::of(&self.jobs[job].spec);
            waiting.reserved = Some((better.clone(), loads.record_sent(&better, demand, now)));
            let cell = waiting.cell.partition as usize;
            self.report.withdrawals += 1;
            let at_ms = self.now_ms + link_delay_ms(home, self.zone_of(cell));
            self.push(at_ms, Event::Withdraw { job, cell });
        }
    }

    fn withdraw(&mut self, job: usize, cell: usize) {
        let key = self.submitted.iter().find(|((at, _), known)| *at == cell && **known == job);
        let Some(number) = key.map(|((_, number), _)| *number) else { return };
        self.pools[cell].withdraw(Millis(self.now_ms), number);
        self.perform_actions(cell);
    }

    /// Tells the daemons that a cell has refused a short time ago that it has room again.
    fn send_free_notices(&mut self, cell: usize) {
        if self.refused[cell].is_empty() {
            return;
        }
        let (now, name, owner) = (Millis(self.now_ms), self.cell(cell), self.owner_of(cell));
        let backlog = self.pools[cell].backlog(now);
        let addrs = self.refused[cell].take_due(&backlog, now);
        if addrs.is_empty() {
            return;
        }
        self.loads[owner].record_backlog(&name, backlog, now);
        let Some(report) = self.loads[owner].report(&name, now) else { return };
        for addr in addrs {
            let router = usize::from(addr.port());
            let home = router / self.scenario.routers;
            self.report.notices += 1;
            let at_ms = self.now_ms + link_delay_ms(self.zone_of(cell), home);
            self.push(at_ms, Event::FreeNotice { router, report });
        }
    }

    /// Updates what a daemon knows of the cells that it owns itself.
    fn refresh_owned_cells(&mut self, router: usize) {
        let now = Millis(self.now_ms);
        for cell in 0..self.pools.len() {
            if self.owner_of(cell) != router {
                continue;
            }
            let (name, backlog) = (self.cell(cell), self.pools[cell].backlog(now));
            self.loads[router].record_backlog(&name, backlog, now);
        }
    }

    /// Returns whether all tasks of a job could start at once in a cell: no other task waits there,
    /// and the free cores suffice.
    fn has_room(&self, pool: &Pool, job: usize) -> bool {
        let now = Millis(self.now_ms);
        let step = &self.jobs[job].spec.steps[0];
        let usable = pool.workers().filter(|(_, worker)| worker.accepts_tasks(now));
        let fitting = usable.map(|(_, worker)| worker.free().fit_count(step.task_resources));
        pool.backlog(now).queued_work == 0 && fitting.sum::<u64>() >= u64::from(step.count)
    }

    /// Returns the index of the daemon that received a job.
    fn router_of(&self, job: usize) -> usize {
        self.jobs[job].zone * self.scenario.routers + self.jobs[job].router
    }

    /// Returns the index of the daemon that owns a cell.
    const fn owner_of(&self, cell: usize) -> usize {
        let number = cell % self.scenario.cells;
        self.zone_of(cell) * self.scenario.routers + number % self.scenario.routers
    }

    const fn zone_of(&self, cell: usize) -> usize {
        cell / self.scenario.cells
    }

    fn cells_of(&self, zone: usize) -> Vec<Cell> {
        let cells = self.scenario.cells;
        (zone * cells..(zone + 1) * cells).map(|cell| self.cell(cell)).collect()
    }

    /// Returns a cell by its index, which is also its partition.
    fn cell(&self, cell: usize) -> Cell {
        Cell { zone: Rc::from(self.zone_of(cell).to_string()), partition: cell as u32 }
    }

    fn submit(&mut self, job: usize, cell: usize, may_wait: bool) {
        let generated = &self.jobs[job];
        let submission = Submission {
            spec: generated.spec.clone(),
            terms: generated.terms.clone(),
            age_ms: self.age_ms(job),
            limit_ms: CALLER_WAIT_MS.max(generated.objective_ms()),
            previous_owner: PreviousOwner::None,
            may_wait,
            // No daemon fails, so that no submitter has to be known to wait.
            is_remote: false,
        };
        let number = self.pools[cell].submit(Millis(self.now_ms), submission);
        self.submitted.insert((cell, number), job);
        self.perform_actions(cell);
    }

    fn age_ms(&self, job: usize) -> u64 {
        self.now_ms - WARM_UP_MS - self.jobs[job].at_ms
    }

    fn handle_answer(
        &mut self,
        job: usize,
        cell: usize,
        outcome: &Outcome,
        (backlog, reports): (Backlog, Vec<LoadReport>),
    ) {
        let generated = &self.jobs[job];
        let (name, demand) = (self.cell(cell), Demand::of(&generated.spec));
        let router = self.router_of(job);
        let loads = &mut self.loads[router];
        if let Some(sent) = self.sent[job].take() {
            loads.record_answer(&name, sent);
        }
        let was_reserved = self.waiting[router].remove(&job).and_then(|waiting| waiting.reserved);
        if let Some((reserved, sent)) = was_reserved {
            loads.record_answer(&reserved, sent);
        }
        if !matches!(outcome, Outcome::NotRun { reason: Reason::Withdrawn, .. }) {
            self.searches[job].stay();
        }
        loads.record(&name, demand, outcome, backlog, Millis(self.now_ms));
        loads.record_reports(&reports, Millis(self.now_ms));
        self.move_waiting_jobs(router);
        let status = match outcome {
            Outcome::Completed => Status::Completed { after_ms: self.age_ms(job) },
            Outcome::NotRun { .. } => return self.find_owner(job),
            Outcome::Failed(_) | Outcome::Aborted(_) | Outcome::Moved(_) => Status::Failed,
        };
        self.report.record(generated, status);
    }

    fn advance(&mut self, cell: usize) {
        // An earlier time may have been scheduled since.
        if self.advance_at_ms[cell] != Some(self.now_ms) {
            return;
        }
        self.advance_at_ms[cell] = None;
        self.pools[cell].advance(Millis(self.now_ms));
        self.perform_actions(cell);
    }

    fn perform_actions(&mut self, cell: usize) {
        for action in self.pools[cell].take_actions() {
            match action {
                Action::Start(target, call) => self.send(&target, WorkerCall::Start(call)),
                Action::Stop(target, call) => self.send(&target, WorkerCall::Stop(call)),
                Action::Poll(target, call) => {
                    self.send(&target, WorkerCall::Poll(call, Millis(self.now_ms)));
                }
                Action::Answer(number, outcome) => self.send_answer(cell, number, outcome),
                Action::ReportLoss(loss) => {
                    if let Some(crash) = Crash::from_loss(&loss) {
                        self.report.crashes += 1;
                        self.share_crash(cell, &crash);
                    }
                }
                // A worker that does not listen has crashed.
                Action::ReportReturn(_)
                | Action::ReportProcess(_)
                | Action::ReportOrphan(..)
                | Action::ReportInterruption(_)
                | Action::ReportRamp(_)
                | Action::ReportSlow(_)
                | Action::ReportContact(_)
                | Action::ReportDisplaced(_) => {}
            }
        }
        self.send_free_notices(cell);
        let due = self.pools[cell].next_due(Millis(self.now_ms));
        let Some(due_ms) = due.map(|due| due.0.max(self.now_ms + 1)) else { return };
        if self.advance_at_ms[cell].is_none_or(|at_ms| due_ms < at_ms) {
            self.advance_at_ms[cell] = Some(due_ms);
            self.push(due_ms, Event::Advance(cell));
        }
    }

    fn share_crash(&mut self, reporting_cell: usize, crash: &Crash) {
        for cell in (0..self.pools.len()).filter(|cell| *cell != reporting_cell) {
            self.pools[cell].record_crash(Millis(self.now_ms), 0, crash);
            self.perform_actions(cell);
        }
    }

    fn is_down(&self, worker: usize) -> bool {
        self.now_ms < self.down_until_ms[worker]
    }

    fn crash(&mut self, worker: usize, task: &TaskName) {
        if !self.workers[worker].active.contains_key(task) {
            return;
        }
        self.workers[worker].restart(self.now_ms, 0);
        self.down_until_ms[worker] = self.now_ms + RESTART_MS;
        if let Some(poll) = self.pending_polls[worker].take() {
            let reply = Reply::Poll(PollReply::Lost, poll.sent_at);
            self.push(self.now_ms + LINK_DELAY_MS, Event::Reply(worker, reply));
        }
    }

    fn refuse_connection(&mut self, worker: usize, call: WorkerCall) {
        let refusal = Refusal::NotListening;
        let reply = match call {
            WorkerCall::Start(call) => Reply::Start(call, StartReply::Refused(refusal)),
            WorkerCall::Stop(call) => Reply::Stop(call, StopReply::Refused(refusal)),
            WorkerCall::Poll(_, sent_at) => Reply::Poll(PollReply::Refused(refusal), sent_at),
        };
        self.push(self.now_ms + LINK_DELAY_MS, Event::Reply(worker, reply));
    }

    fn send_answer(&mut self, cell: usize, number: u64, outcome: Outcome) {
        let Some(job) = self.submitted.remove(&(cell, number)) else { return };
        let (now, owner) = (Millis(self.now_ms), self.owner_of(cell));
        self.refresh_owned_cells(owner);
        let reports = self.loads[owner].reports(&self.cell(cell), now);
        if let Outcome::NotRun { reason: Reason::Busy | Reason::Overload, .. } = outcome {
            let addr = SocketAddr::from(([127, 0, 0, 1], self.router_of(job) as u16));
            self.refused[cell].record(addr, Demand::of(&self.jobs[job].spec), now);
        }
        let load = (self.pools[cell].backlog(now), reports);
        let at_ms = self.now_ms + link_delay_ms(self.zone_of(cell), self.jobs[job].zone);
        self.push(at_ms, Event::Answer { job, cell, outcome, load });
    }

    /// Sends a call to a worker. A lost call never arrives, and the owner sees it time out.
    fn send(&mut self, target: &Target, call: WorkerCall) {
        let worker: usize = target.id.parse().expect("worker ids are numbers");
        self.report.calls += 1;
        if !self.rng.random_bool(self.scenario.lost_share) {
            self.push(self.now_ms + LINK_DELAY_MS, Event::WorkerCall(worker, call));
            return;
        }
        let (wait_ms, reply) = match call {
            WorkerCall::Start(call) => (0, Reply::Start(call, StartReply::Lost)),
            WorkerCall::Stop(call) => (0, Reply::Stop(call, StopReply::Lost)),
            WorkerCall::Poll(call, sent_at) => {
                (call.wait_ms, Reply::Poll(PollReply::Lost, sent_at))
            }
        };
        self.push(self.now_ms + wait_ms + target.timeout_ms, Event::Reply(worker, reply));
    }

    fn handle_call(&mut self, worker: usize, call: WorkerCall) {
        if self.is_down(worker) {
            self.refuse_connection(worker, call);
            return;
        }
        let reply_at_ms = self.now_ms + LINK_DELAY_MS;
        match call {
            WorkerCall::Start(call) => {
                let work = self.work_for(worker, &call);
                let (reply, started) = self.workers[worker].start(self.now_ms, &call, work);
                if started {
                    self.push(self.now_ms + work.duration_ms, Event::CheckPoll(worker));
                    let job = &self.jobs[self.by_id[&call.task.job]];
                    if job.crashes_workers && call.task.index == 0 {
                        let at_ms = self.now_ms + CRASH_DELAY_MS;
                        self.push(at_ms, Event::Crash(worker, call.task.clone()));
                    }
                }
                self.push(reply_at_ms, Event::Reply(worker, Reply::Start(call, reply)));
            }
            WorkerCall::Stop(call) => {
                let reply = self.workers[worker].stop(self.now_ms, &call);
                self.push(self.now_ms + STOP_DELAY_MS, Event::CheckPoll(worker));
                self.push(reply_at_ms, Event::Reply(worker, Reply::Stop(call, reply)));
            }
            WorkerCall::Poll(call, sent_at) => {
                let refused = self.workers[worker].begin_poll(self.now_ms, &call);
                if let Some(reply) = refused {
                    self.push(reply_at_ms, Event::Reply(worker, Reply::Poll(reply, sent_at)));
                    return;
                }
                let deadline_ms = self.now_ms + call.wait_ms;
                self.pending_polls[worker] = Some(PendingPoll { sent_at, deadline_ms });
                self.push(deadline_ms, Event::CheckPoll(worker));
                self.check_poll(worker);
            }
        }
    }

    fn work_for(&mut self, worker: usize, call: &StartCall) -> Work {
        let generated = &self.jobs[self.by_id[&call.task.job]];
        let slowdowns = &self.scenario.slowdowns;
        let base_ms = generated.task_ms[call.task.index as usize] as f64;
        let mut duration_ms = base_ms * slowdowns[worker % slowdowns.len()];
        let straggler_share = self.scenario.straggler_share;
        if straggler_share > 0.0 && self.rng.random_bool(straggler_share) {
            duration_ms *= STRAGGLER_FACTOR;
        }
        Work {
            resources: generated.spec.steps[0].task_resources,
            duration_ms: (duration_ms as u64).max(1),
            end: End::Done,
        }
    }

    /// Replies to the pending poll of a worker once a run has ended or the poll's deadline is
    /// reached.
    fn check_poll(&mut self, worker: usize) {
        let Some(poll) = self.pending_polls[worker] else { return };
        self.workers[worker].advance_to(self.now_ms);
        if !self.workers[worker].has_unacknowledged_runs() && self.now_ms < poll.deadline_ms {
            return;
        }
        self.pending_polls[worker] = None;
        let reply = self.workers[worker].report(self.now_ms);
        let reply = Reply::Poll(reply, poll.sent_at);
        self.push(self.now_ms + LINK_DELAY_MS, Event::Reply(worker, reply));
    }

    fn handle_reply(&mut self, worker: usize, reply: Reply) {
        let cell = self.cell_of_worker(worker);
        let (now, id) = (Millis(self.now_ms), worker.to_string());
        let pool = &mut self.pools[cell];
        match reply {
            Reply::Start(call, reply) => pool.start_reply(now, &id, &call, reply),
            Reply::Stop(call, reply) => pool.stop_reply(now, &id, &call, reply),
            Reply::Poll(reply, sent_at) => pool.poll_reply(now, &id, sent_at, &reply),
        }
        self.perform_actions(cell);
    }

    const fn cell_of_worker(&self, worker: usize) -> usize {
        let workers = self.scenario.workers_millicores.len();
        worker / workers * self.scenario.cells + worker % workers % self.scenario.cells
    }
}

fn new_search(job: &GeneratedJob) -> CellSearch {
    let declared_ms = job.spec.critical_path_ms(|step| step.estimate_ms);
    let useful_ms = job.terms.useful_ms(declared_ms).min(CALLER_WAIT_MS.max(job.objective_ms()));
    let latest_start = Millis(WARM_UP_MS + job.at_ms + useful_ms.saturating_sub(declared_ms));
    let seed = u64::from_str_radix(&job.spec.id, 16).expect("job ids are hexadecimal numbers");
    CellSearch::new(Demand::of(&job.spec), latest_start, seed)
}

/// Returns the delay of a message between the daemons of two zones. Within a zone it is zero.
const fn link_delay_ms(from: usize, to: usize) -> u64 {
    if from == to { 0 } else { LINK_DELAY_MS }
}

fn worker_entry(zone: usize, number: usize, cpu_millicores: u64) -> WorkerEntry {
    WorkerEntry {
        service: Rc::from("s"),
        addr: ([127, 0, 0, 1], number as u16 + 1).into(),
        zone: Rc::from(zone.to_string()),
        state: WorkerState::Ready,
        capacity: Resources { cpu_millicores, memory_mb: WORKER_MEMORY_MB, accelerators: 0 },
        labels: Vec::new(),
        started_at_ms: Some(1),
        cold_ms: 0,
    }
}
