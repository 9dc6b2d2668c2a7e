//! Plays drawn jobs on cells of workers, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{End, PollCall, PollReply, StartCall, StartReply, StopCall, StopReply, Target};
use pool::catalogue::{WorkerEntry, WorkerState};
use pool::cells::Cell;
use pool::job::{Outcome, PreviousOwner};
use pool::pool::{Action, Pool, Submission};
use pool::queue::Backlog;
use pool::resources::Resources;
use pool::spill::{CellLoads, CellSearch};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use standins::pool_worker::{PoolWorker, STOP_DELAY_MS, Work};

use crate::description::Description;
use crate::draw::{CALLER_WAIT_MS, DrawnJob};
use crate::report::{Fate, Report};

/// What a message takes between two processes, in milliseconds.
const LINK_MS: u64 = 1;
/// The longest wait for a reply beyond the time that a look may wait, as in the daemon.
const REPLY_TIMEOUT_MS: u64 = 100;
/// When the first job arrives: the owners know their workers by then, in milliseconds.
const LEAD_MS: u64 = 1_000;
/// How long the play goes on after the last arrival, in milliseconds.
const TAIL_MS: u64 = 5_000;
const WORKER_MEMORY_MB: u64 = 65_536;

/// A call on its way to a worker.
#[derive(Clone, Debug)]
enum Order {
    Start(StartCall),
    Stop(StopCall),
    Look(PollCall, Millis),
}

/// A reply on its way to an owner.
#[derive(Clone, Debug)]
enum Reply {
    Start(StartCall, StartReply),
    Stop(StopCall, StopReply),
    Look(PollReply, Millis),
}

#[derive(Clone, Debug)]
enum Event {
    /// A job's daemon looks for an owner.
    Seek(usize),
    /// A job reaches an owner.
    Submit { job: usize, zone: usize, may_wait: bool },
    /// An owner's answer reaches the job's daemon.
    Answer { job: usize, zone: usize, outcome: Outcome, backlog: Backlog },
    /// A call reaches a worker.
    Order(usize, Order),
    /// A reply reaches the owner of the worker.
    Reply(usize, Reply),
    /// Something may have ended at a worker.
    Worker(usize),
    /// An owner lets time pass.
    Turn(usize),
}

/// A look that waits at its worker.
#[derive(Clone, Copy, Debug)]
struct WaitingLook {
    sent_at: Millis,
    until_ms: u64,
}

struct Lab<'a> {
    now_ms: u64,
    rng: SmallRng,
    description: &'a Description,
    jobs: &'a [DrawnJob],
    by_id: HashMap<Rc<str>, usize>,
    pools: Vec<Pool>,
    turns_at: Vec<Option<u64>>,
    workers: Vec<PoolWorker>,
    looks: Vec<Option<WaitingLook>>,
    searches: Vec<CellSearch>,
    loads: Vec<CellLoads>,
    submitted: HashMap<(usize, u64), usize>,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    report: Report,
}

/// Plays the jobs of a description with a seed.
pub fn play(description: &Description, seed: u64) -> Report {
    let mut rng = SmallRng::seed_from_u64(seed);
    let jobs = crate::draw::jobs(description, &mut rng);
    let mut lab = Lab::new(description, &jobs, rng);
    lab.run();
    lab.report
}

impl<'a> Lab<'a> {
    fn new(description: &'a Description, jobs: &'a [DrawnJob], rng: SmallRng) -> Self {
        let zones = description.zones;
        let by_id = jobs.iter().enumerate().map(|(at, job)| (Rc::clone(&job.spec.id), at));
        let mut lab = Self {
            now_ms: 0,
            rng,
            description,
            jobs,
            by_id: by_id.collect(),
            pools: Vec::new(),
            turns_at: vec![None; zones],
            workers: Vec::new(),
            looks: Vec::new(),
            searches: jobs.iter().map(|_| CellSearch::default()).collect(),
            loads: (0..zones).map(|_| CellLoads::default()).collect(),
            submitted: HashMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            report: Report::new(description, jobs),
        };
        for zone in 0..zones {
            lab.add_zone(zone);
        }
        for (at, job) in jobs.iter().enumerate() {
            lab.push(LEAD_MS + job.at_ms, Event::Seek(at));
        }
        lab
    }

    fn add_zone(&mut self, zone: usize) {
        let sizes = &self.description.workers_millicores;
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
            self.looks.push(None);
        }
        let mut pool = Pool::new(1);
        pool.set_workers(Millis(0), entries.iter().map(|(id, entry)| (id, entry)));
        self.pools.push(pool);
        self.perform(zone);
    }

    fn run(&mut self) {
        let ends_ms = LEAD_MS + self.description.span_ms + TAIL_MS;
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > ends_ms {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.serial += 1;
        self.events.insert((at_ms.max(self.now_ms), self.serial), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Seek(job) => self.seek(job),
            Event::Submit { job, zone, may_wait } => self.submit(job, zone, may_wait),
            Event::Answer { job, zone, outcome, backlog } => {
                self.answered(job, zone, &outcome, backlog);
            }
            Event::Order(worker, order) => self.carry_out(worker, order),
            Event::Reply(worker, reply) => self.replied(worker, reply),
            Event::Worker(worker) => self.check_look(worker),
            Event::Turn(zone) => self.turn(zone),
        }
    }

    fn seek(&mut self, job: usize) {
        let home = self.jobs[job].zone;
        let others = || (0..self.pools.len()).filter(|zone| *zone != home).map(cell).collect();
        let (now, own) = (Millis(self.now_ms), [cell(home)]);
        let next = self.searches[job].next(&self.loads[home], &own, others, now);
        match next {
            None => self.report.note(&self.jobs[job], Fate::Refused),
            Some((cell, may_wait)) => {
                let zone = cell.partition as usize;
                let at_ms = self.now_ms + link_ms(home, zone);
                self.push(at_ms, Event::Submit { job, zone, may_wait });
            }
        }
    }

    fn submit(&mut self, job: usize, zone: usize, may_wait: bool) {
        let drawn = &self.jobs[job];
        let submission = Submission {
            spec: drawn.spec.clone(),
            terms: drawn.terms.clone(),
            age_ms: self.age_ms(job),
            limit_ms: CALLER_WAIT_MS.max(drawn.objective_ms()),
            previous_owner: PreviousOwner::None,
            may_wait,
            is_remote: zone != drawn.zone,
        };
        let number = self.pools[zone].submit(Millis(self.now_ms), submission);
        self.submitted.insert((zone, number), job);
        self.perform(zone);
    }

    fn age_ms(&self, job: usize) -> u64 {
        self.now_ms - LEAD_MS - self.jobs[job].at_ms
    }

    fn answered(&mut self, job: usize, zone: usize, outcome: &Outcome, backlog: Backlog) {
        let drawn = &self.jobs[job];
        self.loads[drawn.zone].record(&cell(zone), outcome, backlog, Millis(self.now_ms));
        let fate = match outcome {
            Outcome::Completed => Fate::Completed { after_ms: self.age_ms(job) },
            Outcome::NotRun { .. } => return self.seek(job),
            Outcome::Failed(_) | Outcome::Aborted(_) | Outcome::Moved(_) => Fate::GivenUp,
        };
        self.report.note(drawn, fate);
    }

    fn turn(&mut self, zone: usize) {
        self.turns_at[zone] = None;
        self.pools[zone].advance(Millis(self.now_ms));
        self.perform(zone);
    }

    fn perform(&mut self, zone: usize) {
        for action in self.pools[zone].take_actions() {
            match action {
                Action::Start(target, call) => self.send(&target, Order::Start(call)),
                Action::Stop(target, call) => self.send(&target, Order::Stop(call)),
                Action::Poll(target, call) => {
                    self.send(&target, Order::Look(call, Millis(self.now_ms)));
                }
                Action::Answer(number, outcome) => self.send_answer(zone, number, outcome),
            }
        }
        let due = self.pools[zone].next_due(Millis(self.now_ms));
        let Some(due_ms) = due.map(|due| due.0.max(self.now_ms + 1)) else { return };
        if self.turns_at[zone].is_none_or(|at_ms| due_ms < at_ms) {
            self.turns_at[zone] = Some(due_ms);
            self.push(due_ms, Event::Turn(zone));
        }
    }

    fn send_answer(&mut self, zone: usize, number: u64, outcome: Outcome) {
        let Some(job) = self.submitted.remove(&(zone, number)) else { return };
        let backlog = self.pools[zone].backlog(Millis(self.now_ms));
        let at_ms = self.now_ms + link_ms(zone, self.jobs[job].zone);
        self.push(at_ms, Event::Answer { job, zone, outcome, backlog });
    }

    /// Sends a call to a worker. A lost one is not carried out, and its reply is given up in time.
    fn send(&mut self, target: &Target, order: Order) {
        let worker: usize = target.id.parse().expect("workers are numbered");
        self.report.calls += 1;
        if !self.rng.random_bool(self.description.lost_share) {
            self.push(self.now_ms + LINK_MS, Event::Order(worker, order));
            return;
        }
        let (wait_ms, reply) = match order {
            Order::Start(call) => (0, Reply::Start(call, StartReply::Lost)),
            Order::Stop(call) => (0, Reply::Stop(call, StopReply::Lost)),
            Order::Look(call, sent_at) => (call.wait_ms, Reply::Look(PollReply::Lost, sent_at)),
        };
        self.push(self.now_ms + wait_ms + REPLY_TIMEOUT_MS, Event::Reply(worker, reply));
    }

    fn carry_out(&mut self, worker: usize, order: Order) {
        let back_ms = self.now_ms + LINK_MS;
        match order {
            Order::Start(call) => {
                let work = self.work_of(worker, &call);
                let (reply, begun) = self.workers[worker].start(self.now_ms, &call, work);
                if begun {
                    self.push(self.now_ms + work.duration_ms, Event::Worker(worker));
                }
                self.push(back_ms, Event::Reply(worker, Reply::Start(call, reply)));
            }
            Order::Stop(call) => {
                let reply = self.workers[worker].stop(self.now_ms, &call);
                self.push(self.now_ms + STOP_DELAY_MS, Event::Worker(worker));
                self.push(back_ms, Event::Reply(worker, Reply::Stop(call, reply)));
            }
            Order::Look(call, sent_at) => {
                let refused = self.workers[worker].begin_poll(self.now_ms, &call);
                if let Some(reply) = refused {
                    self.push(back_ms, Event::Reply(worker, Reply::Look(reply, sent_at)));
                    return;
                }
                let until_ms = self.now_ms + call.wait_ms;
                self.looks[worker] = Some(WaitingLook { sent_at, until_ms });
                self.push(until_ms, Event::Worker(worker));
                self.check_look(worker);
            }
        }
    }

    fn work_of(&self, worker: usize, call: &StartCall) -> Work {
        let drawn = &self.jobs[self.by_id[&call.task.job]];
        let paces = &self.description.paces;
        let usual_ms = drawn.task_ms[call.task.index as usize] as f64;
        let duration_ms = (usual_ms * paces[worker % paces.len()]) as u64;
        Work {
            resources: drawn.spec.steps[0].task_resources,
            duration_ms: duration_ms.max(1),
            end: End::Done,
        }
    }

    /// Replies to the look that waits at a worker, once a run has ended or its time is over.
    fn check_look(&mut self, worker: usize) {
        let Some(look) = self.looks[worker] else { return };
        self.workers[worker].advance_to(self.now_ms);
        if !self.workers[worker].has_unacknowledged_runs() && self.now_ms < look.until_ms {
            return;
        }
        self.looks[worker] = None;
        let reply = self.workers[worker].report(self.now_ms);
        let reply = Reply::Look(reply, look.sent_at);
        self.push(self.now_ms + LINK_MS, Event::Reply(worker, reply));
    }

    fn replied(&mut self, worker: usize, reply: Reply) {
        let zone = worker / self.description.workers_millicores.len();
        let (now, id) = (Millis(self.now_ms), worker.to_string());
        let pool = &mut self.pools[zone];
        match reply {
            Reply::Start(call, reply) => pool.start_reply(now, &id, &call, reply),
            Reply::Stop(call, reply) => pool.stop_reply(now, &id, &call, reply),
            Reply::Look(reply, sent_at) => pool.poll_reply(now, &id, sent_at, &reply),
        }
        self.perform(zone);
    }
}

/// Gives the cell of a zone; its partition is the zone's number.
fn cell(zone: usize) -> Cell {
    Cell { zone: Rc::from(zone.to_string()), partition: zone as u32 }
}

const fn link_ms(from: usize, to: usize) -> u64 {
    if from == to { 0 } else { LINK_MS }
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
