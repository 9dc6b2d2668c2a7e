//! Simulates a scenario in virtual time.
//!
//! Each zone has one [`Pool`], which schedules jobs on simulated workers exactly as in the daemon.
//! Messages and timers are events in a queue that is ordered by time.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{
    End, PollCall, PollReply, Refusal, StartCall, StartReply, StopCall, StopReply, Target,
};
use pool::catalogue::{WorkerEntry, WorkerState};
use pool::cells::Cell;
use pool::crashes::Crash;
use pool::job::{Outcome, PreviousOwner, TaskName};
use pool::pool::{Action, Pool, Submission};
use pool::queue::Backlog;
use pool::resources::Resources;
use pool::spill::{CellLoads, CellSearch};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use standins::pool_worker::{PoolWorker, STOP_DELAY_MS, Work};

use crate::report::{Report, Status};
use crate::scenario::Scenario;
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
    /// A job arrives at an owner.
    Submit { job: usize, zone: usize, may_wait: bool },
    /// An owner's answer arrives at the daemon that received the job.
    Answer { job: usize, zone: usize, outcome: Outcome, backlog: Backlog },
    /// A call arrives at a worker.
    WorkerCall(usize, WorkerCall),
    /// A worker's reply arrives at its owner.
    Reply(usize, Reply),
    /// A run of a worker may have ended, or its pending poll may have reached its deadline.
    CheckPoll(usize),
    /// A timer of an owner expires.
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

struct Simulation<'a> {
    now_ms: u64,
    rng: SmallRng,
    scenario: &'a Scenario,
    jobs: &'a [GeneratedJob],
    by_id: HashMap<Rc<str>, usize>,
    pools: Vec<Pool>,
    advance_at_ms: Vec<Option<u64>>,
    workers: Vec<PoolWorker>,
    pending_polls: Vec<Option<PendingPoll>>,
    /// Until when no process listens at each worker's address.
    down_until_ms: Vec<u64>,
    searches: Vec<CellSearch>,
    loads: Vec<CellLoads>,
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
        let zones = scenario.zones;
        let by_id = jobs.iter().enumerate().map(|(at, job)| (Rc::clone(&job.spec.id), at));
        let mut simulation = Self {
            now_ms: 0,
            rng,
            scenario,
            jobs,
            by_id: by_id.collect(),
            pools: Vec::new(),
            advance_at_ms: vec![None; zones],
            workers: Vec::new(),
            pending_polls: Vec::new(),
            down_until_ms: Vec::new(),
            searches: jobs.iter().map(|_| CellSearch::default()).collect(),
            loads: (0..zones).map(|_| CellLoads::default()).collect(),
            submitted: HashMap::new(),
            events: BTreeMap::new(),
            last_sequence: 0,
            report: Report::new(scenario, jobs),
        };
        for zone in 0..zones {
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
        let mut pool = Pool::new(1);
        pool.set_workers(Millis(0), entries.iter().map(|(id, entry)| (id, entry)));
        self.pools.push(pool);
        self.perform_actions(zone);
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
            Event::Submit { job, zone, may_wait } => self.submit(job, zone, may_wait),
            Event::Answer { job, zone, outcome, backlog } => {
                self.handle_answer(job, zone, &outcome, backlog);
            }
            Event::WorkerCall(worker, call) => self.handle_call(worker, call),
            Event::Reply(worker, reply) => self.handle_reply(worker, reply),
            Event::CheckPoll(worker) => self.check_poll(worker),
            Event::Advance(zone) => self.advance(zone),
            Event::Crash(worker, task) => self.crash(worker, &task),
        }
    }

    fn find_owner(&mut self, job: usize) {
        let home = self.jobs[job].zone;
        let others = || (0..self.pools.len()).filter(|zone| *zone != home).map(cell).collect();
        let (now, own) = (Millis(self.now_ms), [cell(home)]);
        let next = self.searches[job].next(&self.loads[home], &own, others, now);
        match next {
            None => self.report.record(&self.jobs[job], Status::Refused),
            Some((cell, may_wait)) => {
                let zone = cell.partition as usize;
                let at_ms = self.now_ms + link_delay_ms(home, zone);
                self.push(at_ms, Event::Submit { job, zone, may_wait });
            }
        }
    }

    fn submit(&mut self, job: usize, zone: usize, may_wait: bool) {
        let generated = &self.jobs[job];
        let submission = Submission {
            spec: generated.spec.clone(),
            terms: generated.terms.clone(),
            age_ms: self.age_ms(job),
            limit_ms: CALLER_WAIT_MS.max(generated.objective_ms()),
            previous_owner: PreviousOwner::None,
            may_wait,
            is_remote: zone != generated.zone,
        };
        let number = self.pools[zone].submit(Millis(self.now_ms), submission);
        self.submitted.insert((zone, number), job);
        self.perform_actions(zone);
    }

    fn age_ms(&self, job: usize) -> u64 {
        self.now_ms - WARM_UP_MS - self.jobs[job].at_ms
    }

    fn handle_answer(&mut self, job: usize, zone: usize, outcome: &Outcome, backlog: Backlog) {
        let generated = &self.jobs[job];
        self.loads[generated.zone].record(&cell(zone), outcome, backlog, Millis(self.now_ms));
        let status = match outcome {
            Outcome::Completed => Status::Completed { after_ms: self.age_ms(job) },
            Outcome::NotRun { .. } => return self.find_owner(job),
            Outcome::Failed(_) | Outcome::Aborted(_) | Outcome::Moved(_) => Status::Failed,
        };
        self.report.record(generated, status);
    }

    fn advance(&mut self, zone: usize) {
        // An earlier time may have been scheduled since.
        if self.advance_at_ms[zone] != Some(self.now_ms) {
            return;
        }
        self.advance_at_ms[zone] = None;
        self.pools[zone].advance(Millis(self.now_ms));
        self.perform_actions(zone);
    }

    fn perform_actions(&mut self, zone: usize) {
        for action in self.pools[zone].take_actions() {
            match action {
                Action::Start(target, call) => self.send(&target, WorkerCall::Start(call)),
                Action::Stop(target, call) => self.send(&target, WorkerCall::Stop(call)),
                Action::Poll(target, call) => {
                    self.send(&target, WorkerCall::Poll(call, Millis(self.now_ms)));
                }
                Action::Answer(number, outcome) => self.send_answer(zone, number, outcome),
                Action::ReportLoss(loss) => {
                    if let Some(crash) = Crash::from_loss(&loss) {
                        self.report.crashes += 1;
                        self.share_crash(zone, &crash);
                    }
                }
                // A worker that does not listen has crashed.
                Action::ReportReturn(_)
                | Action::ReportProcess(_)
                | Action::ReportOrphan(..)
                | Action::ReportDisplaced(_) => {}
            }
        }
        let due = self.pools[zone].next_due(Millis(self.now_ms));
        let Some(due_ms) = due.map(|due| due.0.max(self.now_ms + 1)) else { return };
        if self.advance_at_ms[zone].is_none_or(|at_ms| due_ms < at_ms) {
            self.advance_at_ms[zone] = Some(due_ms);
            self.push(due_ms, Event::Advance(zone));
        }
    }

    fn share_crash(&mut self, reporting_zone: usize, crash: &Crash) {
        for zone in (0..self.pools.len()).filter(|zone| *zone != reporting_zone) {
            self.pools[zone].record_crash(Millis(self.now_ms), 0, crash);
            self.perform_actions(zone);
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

    fn send_answer(&mut self, zone: usize, number: u64, outcome: Outcome) {
        let Some(job) = self.submitted.remove(&(zone, number)) else { return };
        let backlog = self.pools[zone].backlog(Millis(self.now_ms));
        let at_ms = self.now_ms + link_delay_ms(zone, self.jobs[job].zone);
        self.push(at_ms, Event::Answer { job, zone, outcome, backlog });
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

    fn work_for(&self, worker: usize, call: &StartCall) -> Work {
        let generated = &self.jobs[self.by_id[&call.task.job]];
        let slowdowns = &self.scenario.slowdowns;
        let base_ms = generated.task_ms[call.task.index as usize] as f64;
        let duration_ms = (base_ms * slowdowns[worker % slowdowns.len()]) as u64;
        Work {
            resources: generated.spec.steps[0].task_resources,
            duration_ms: duration_ms.max(1),
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
        let zone = worker / self.scenario.workers_millicores.len();
        let (now, id) = (Millis(self.now_ms), worker.to_string());
        let pool = &mut self.pools[zone];
        match reply {
            Reply::Start(call, reply) => pool.start_reply(now, &id, &call, reply),
            Reply::Stop(call, reply) => pool.stop_reply(now, &id, &call, reply),
            Reply::Poll(reply, sent_at) => pool.poll_reply(now, &id, sent_at, &reply),
        }
        self.perform_actions(zone);
    }
}

/// Returns the only cell of a zone. Its partition is the zone's number.
fn cell(zone: usize) -> Cell {
    Cell { zone: Rc::from(zone.to_string()), partition: zone as u32 }
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
    }
}
