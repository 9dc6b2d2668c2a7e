//! Small fakes at the engine's interfaces: workers with a ledger, and a network that loses,
//! delays and reorders. There are no sockets and no system time.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::answer::{Answer, TaskEnd, Verdict};
use dispatch::catalogue::{CatalogueRecord, Change, Edit, Fold, Item, KindSpec, OnLogOut};
use dispatch::clock::Millis;
use dispatch::engine::{Action, Engine, EngineBuilder, Event, Hint, JournalResult, StartOutcome};
use dispatch::jobs::{JobRequest, Submission, TaskSpec};
use dispatch::queue::Class;
use dispatch::ticket::{Incarnation, JobId, TaskId};
use dispatch::workers::{Needs, WorkerInfo};

pub const TICKET_VALID_MS: u64 = 600_000;
const WORK_MS: u64 = 100;
const SLOTS: usize = 2;

/// One message or event under way.
#[derive(Clone, Debug)]
pub enum Parcel {
    Start {
        home: usize,
        task: TaskId,
        attempt: u64,
        worker: SocketAddr,
        boot: Option<u64>,
        input: String,
    },
    Ask {
        home: usize,
        task: TaskId,
        attempt: u64,
        worker: SocketAddr,
    },
    Stop {
        worker: SocketAddr,
        tasks: Vec<TaskId>,
    },
    Renew {
        home: usize,
        worker: SocketAddr,
        tasks: Vec<TaskId>,
    },
    Reply {
        home: usize,
        task: TaskId,
        attempt: u64,
        boot: u64,
        end: StartOutcome,
    },
    Journalled {
        home: usize,
        job: JobId,
        result: JournalResult,
    },
}

#[derive(Clone, Debug)]
struct Runs {
    home: usize,
    attempt: u64,
    ends_at: Millis,
    input: String,
    stopped: bool,
}

#[derive(Clone, Debug, Default)]
pub struct FakeWorker {
    running: BTreeMap<TaskId, Runs>,
    ended: BTreeMap<TaskId, StartOutcome>,
    barred: HashSet<TaskId>,
    pub boot: u64,
    pub fails_all: bool,
    pub dead: bool,
}

/// One ticket with what was asked under it and what was answered.
#[derive(Clone, Debug)]
pub struct Asked {
    pub job: JobId,
    pub expiry_ms: Millis,
    pub work: Rc<JobRequest>,
    pub requests: Vec<u64>,
}

pub struct World {
    pub now: Millis,
    pub homes: Vec<Option<Engine>>,
    pub incarnations: Vec<Incarnation>,
    pub successors: HashMap<Incarnation, Incarnation>,
    pub workers: BTreeMap<SocketAddr, FakeWorker>,
    pub parcels: Vec<Parcel>,
    pub starts: HashMap<TaskId, usize>,
    pub asked: Vec<Asked>,
    pub answers: HashMap<u64, Vec<Rc<Answer>>>,
    pub asked_home: HashMap<u64, usize>,
    pub plant: bool,
    pub log_out: bool,
    next_request: u64,
}

pub fn worker_addr(place: usize) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + place as u16).into()
}

pub fn digest(input: &str) -> String {
    format!("d:{input}")
}

pub fn catalogue() -> Rc<Fold> {
    let kind = |journal| {
        Item::Kind(KindSpec {
            owner: "team".into(),
            class: Class::Normal,
            idempotent: true,
            journal,
            on_log_out: OnLogOut::Refuse,
            max_wait_ms: 10_000,
            max_tasks: 100,
        })
    };
    let change = |name: &str, item| Change { name: name.into(), base: None, item: Some(item) };
    let changes = vec![change("check", kind(false)), change("invoice", kind(true))];
    let edit = Edit { id: "seed".into(), by: "test".into(), changes };
    let mut fold = Fold::default();
    fold.apply(0, Millis(0), &CatalogueRecord::Edit(edit));
    Rc::new(fold)
}

impl World {
    pub fn new(homes: usize, workers: usize) -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            homes: Vec::new(),
            incarnations: Vec::new(),
            successors: HashMap::new(),
            workers: (0..workers).map(|w| (worker_addr(w), FakeWorker::default())).collect(),
            parcels: Vec::new(),
            starts: HashMap::new(),
            asked: Vec::new(),
            answers: HashMap::new(),
            asked_home: HashMap::new(),
            plant: false,
            log_out: false,
            next_request: 1,
        };
        for _ in 0..homes {
            world.add_home();
        }
        world
    }

    pub fn add_home(&mut self) -> usize {
        let place = self.homes.len();
        let incarnation = Incarnation(100 + place as u64);
        let mut engine = EngineBuilder::new(incarnation, "zone").seed(place as u64).build();
        engine.set_catalogue(catalogue());
        self.homes.push(Some(engine));
        self.incarnations.push(incarnation);
        let infos = self.workers.keys().map(|addr| WorkerInfo {
            addr: *addr,
            zone: "zone".into(),
            slots: SLOTS as u32,
            size: Needs { cores: 8, memory_mb: 1_024, accelerators: 0 },
            leaving: false,
        });
        let infos = infos.collect();
        self.drive(place, Event::Workers(infos));
        let boots: Vec<(SocketAddr, u64)> =
            self.workers.iter().map(|(addr, worker)| (*addr, worker.boot)).collect();
        for (worker, boot) in boots {
            self.drive(place, Event::BootId { worker, boot });
        }
        place
    }

    pub fn drive(&mut self, home: usize, event: Event) {
        let Some(engine) = self.homes[home].as_mut() else {
            return;
        };
        for action in engine.handle(self.now, event) {
            self.carry_out(home, action);
        }
    }

    /// Draws a ticket at a home and submits a job under it.
    pub fn submit(&mut self, home: usize, kind: &str, tasks: usize) -> Option<usize> {
        let expiry_ms = self.now.plus(TICKET_VALID_MS);
        let engine = self.homes[home].as_mut()?;
        let job = engine.issue(expiry_ms);
        let spec = |index| TaskSpec {
            input: format!("{job}/{index}"),
            declared_ms: None,
            needs: Needs::default(),
        };
        let tasks = (0..tasks).map(spec).collect();
        let work = Rc::new(JobRequest { kind: kind.into(), tasks });
        self.asked.push(Asked { job, expiry_ms, work, requests: Vec::new() });
        self.resubmit(self.asked.len() - 1);
        Some(self.asked.len() - 1)
    }

    /// Submits a ticket's job again, wherever its home or successor is now.
    pub fn resubmit(&mut self, place: usize) {
        let asked = self.asked[place].clone();
        let request = self.next_request(place);
        let Some(home) = self.home_of(asked.job) else {
            return;
        };
        self.asked_home.insert(request, home);
        let (job, expiry_ms, work) = (asked.job, asked.expiry_ms, asked.work);
        let submission = Submission { request, job, expiry_ms, digest: job.seq, work };
        self.drive(home, Event::Submit(submission));
    }

    pub fn cancel(&mut self, place: usize) {
        let (job, expiry_ms) = (self.asked[place].job, self.asked[place].expiry_ms);
        let request = self.next_request(place);
        let Some(home) = self.home_of(job) else {
            return;
        };
        self.asked_home.insert(request, home);
        self.drive(home, Event::Cancel { request, job, expiry_ms });
    }

    /// Delivers one parcel; `lost` loses it, or the reply that it would bring.
    pub fn deliver(&mut self, place: usize, lost: bool) {
        if self.parcels.is_empty() {
            return;
        }
        let parcel = self.parcels.remove(place % self.parcels.len());
        match parcel {
            Parcel::Start { home, task, attempt, worker, boot, input } => {
                self.deliver_start(home, (task, attempt), (worker, boot), input, lost);
            }
            Parcel::Ask { home, task, attempt, worker } => {
                let end = if lost { StartOutcome::NoAnswer } else { self.settle(worker, task) };
                let boot = self.workers.get(&worker).map_or(0, |worker| worker.boot);
                self.parcels.push(Parcel::Reply { home, task, attempt, boot, end });
            }
            Parcel::Stop { worker, tasks } if !lost => self.stop(worker, &tasks),
            Parcel::Stop { .. } => {}
            Parcel::Renew { home, worker, tasks } => self.renew(home, worker, tasks, lost),
            Parcel::Reply { home, task, attempt, boot, end } => {
                let end = if lost { lost_form(end) } else { end };
                let hint = (!lost).then_some(Hint { free: 0, leaving: false, boot });
                self.drive(home, Event::TaskOutcome { task, attempt, end, hint });
            }
            Parcel::Journalled { home, job, result } => {
                self.drive(home, Event::Journalled { job, result });
            }
        }
    }

    /// Lets time pass: work ends, and every home gets its tick.
    pub fn pass(&mut self, span_ms: u64) {
        self.now = self.now.plus(span_ms);
        self.end_work();
        for home in 0..self.homes.len() {
            self.drive(home, Event::Tick);
        }
    }

    /// Replaces a worker's process: it forgets what it ran, and its connections break.
    pub fn restart_worker(&mut self, addr: SocketAddr) {
        let Some(worker) = self.workers.get_mut(&addr) else { return };
        let boot = worker.boot + 1;
        let old = std::mem::replace(worker, FakeWorker { boot, ..FakeWorker::default() });
        for (task, runs) in old.running {
            let (home, attempt) = (runs.home, runs.attempt);
            let end = StartOutcome::ReplyLost;
            self.parcels.push(Parcel::Reply { home, task, attempt, boot: old.boot, end });
        }
    }

    pub fn crash(&mut self, home: usize) {
        self.homes[home] = None;
    }

    /// Drains a home into another where it has no open jobs, as the daemon does.
    pub fn drain(&mut self, home: usize, successor: usize) {
        if home == successor || self.homes[home].is_none() || self.homes[successor].is_none() {
            return;
        }
        let now = self.now;
        let Some(engine) = self.homes[home].as_mut() else {
            return;
        };
        if engine.open_jobs() > 0 {
            return;
        }
        let tables = engine.hand_over(now);
        let to = self.incarnations[successor];
        for mut table in tables {
            if self.plant {
                table.plant_forgotten_use();
            }
            self.successors.insert(table.incarnation, to);
            if let Some(engine) = self.homes[successor].as_mut() {
                engine.inherit(table, now);
            }
        }
        self.homes[home] = None;
    }

    /// Delivers everything until nothing is open any more.
    pub fn settle_down(&mut self) {
        for _ in 0..400 {
            while !self.parcels.is_empty() {
                self.deliver(0, false);
            }
            self.pass(100);
            let open = self.homes.iter().flatten().any(|engine| engine.open_jobs() > 0);
            if !open && self.parcels.is_empty() {
                return;
            }
        }
    }

    /// Names every invariant that is broken.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (task, starts) in &self.starts {
            if *starts > 1 {
                broken.push(format!("{task} started {starts} times"));
            }
        }
        for asked in &self.asked {
            self.check_answers(asked, &mut broken);
        }
        broken
    }

    fn check_answers(&self, asked: &Asked, broken: &mut Vec<String>) {
        let of = |request: &u64| self.answers.get(request).cloned().unwrap_or_default();
        let answers: Vec<Rc<Answer>> = asked.requests.iter().flat_map(of).collect();
        let started = (0..asked.work.tasks.len() as u32)
            .any(|index| self.starts.contains_key(&TaskId { job: asked.job, index }));
        for answer in &answers {
            if answer.verdict == Verdict::NotRun && started {
                broken.push(format!("{} was answered not run and started", asked.job));
            }
            if answer.verdict == Verdict::Complete && !is_whole(&asked.work, answer) {
                broken.push(format!("{} was answered in part or crossed", asked.job));
            }
        }
        for request in &asked.requests {
            let count = of(request).len();
            let alive = self.asked_home.get(request).is_some_and(|h| self.homes[*h].is_some());
            if count > 1 || (count == 0 && alive) {
                broken.push(format!("request {request} of {} got {count} answers", asked.job));
            }
        }
    }

    fn home_of(&self, job: JobId) -> Option<usize> {
        let mut incarnation = job.incarnation;
        while let Some(successor) = self.successors.get(&incarnation) {
            incarnation = *successor;
        }
        let place = self.incarnations.iter().position(|own| *own == incarnation)?;
        self.homes[place].as_ref().map(|_| place)
    }

    fn next_request(&mut self, place: usize) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        self.asked[place].requests.push(request);
        request
    }

    fn carry_out(&mut self, home: usize, action: Action) {
        match action {
            Action::Reply { request, answer } => {
                self.answers.entry(request).or_default().push(answer);
            }
            Action::Start { task, attempt, worker, boot, work, .. } => {
                let input = work.tasks[task.index as usize].input.clone();
                self.parcels.push(Parcel::Start { home, task, attempt, worker, boot, input });
            }
            Action::QueryTask { task, attempt, worker } => {
                self.parcels.push(Parcel::Ask { home, task, attempt, worker });
            }
            Action::Stop { worker, tasks } => self.parcels.push(Parcel::Stop { worker, tasks }),
            Action::Journal(job) => {
                let out = self.log_out;
                let result = if out { JournalResult::Outage } else { JournalResult::Started };
                self.parcels.push(Parcel::Journalled { home, job, result });
            }
            Action::Renew { worker, tasks, .. } => {
                self.parcels.push(Parcel::Renew { home, worker, tasks });
            }
            Action::RequestSlots(..) | Action::GrantSlots(..) | Action::JobEnded { .. } => {}
        }
    }

    fn deliver_start(
        &mut self,
        home: usize,
        (task, attempt): (TaskId, u64),
        (addr, meant_for): (SocketAddr, Option<u64>),
        input: String,
        lost: bool,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&addr) else {
            return;
        };
        let refusal = if worker.dead {
            Some(StartOutcome::NoConnection)
        } else if lost {
            Some(StartOutcome::ReplyLost)
        } else if meant_for != Some(worker.boot) {
            Some(StartOutcome::Refused)
        } else if worker.barred.contains(&task) {
            Some(StartOutcome::NeverWill)
        } else if worker.running.len() >= SLOTS {
            Some(StartOutcome::Full)
        } else {
            None
        };
        if let Some(end) = refusal {
            let boot = worker.boot;
            self.parcels.push(Parcel::Reply { home, task, attempt, boot, end });
            return;
        }
        let ends_at = now.plus(WORK_MS);
        worker.running.insert(task, Runs { home, attempt, ends_at, input, stopped: false });
        *self.starts.entry(task).or_insert(0) += 1;
    }

    fn settle(&mut self, addr: SocketAddr, task: TaskId) -> StartOutcome {
        let Some(worker) = self.workers.get_mut(&addr) else {
            return StartOutcome::NoAnswer;
        };
        if worker.dead {
            return StartOutcome::NoAnswer;
        }
        if let Some(end) = worker.ended.get(&task) {
            return end.clone();
        }
        if worker.running.contains_key(&task) {
            return StartOutcome::StillRuns;
        }
        worker.barred.insert(task);
        StartOutcome::NeverWill
    }

    fn stop(&mut self, addr: SocketAddr, tasks: &[TaskId]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&addr) else {
            return;
        };
        for task in tasks {
            if let Some(runs) = worker.running.get_mut(task) {
                runs.stopped = true;
                runs.ends_at = now;
            }
        }
        self.end_work();
    }

    /// A renewal that fails or names tasks that no longer run puts them in doubt.
    fn renew(&mut self, home: usize, addr: SocketAddr, tasks: Vec<TaskId>, lost: bool) {
        let Some(worker) = self.workers.get(&addr) else {
            return;
        };
        let all_run = tasks.iter().all(|task| worker.running.contains_key(task));
        if all_run && !lost && !worker.dead {
            return;
        }
        for task in tasks {
            self.drive(home, Event::LeaseUnconfirmed(task));
        }
    }

    fn end_work(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut().filter(|worker| !worker.dead) {
            let due: Vec<TaskId> =
                worker.running.iter().filter(|(_, r)| r.ends_at <= now).map(|(t, _)| *t).collect();
            for task in due {
                let Some(runs) = worker.running.remove(&task) else {
                    continue;
                };
                let end = end_of(&runs, worker.fails_all);
                worker.ended.insert(task, end.clone());
                self.parcels.push(Parcel::Reply {
                    home: runs.home,
                    task,
                    attempt: runs.attempt,
                    boot: worker.boot,
                    end,
                });
            }
        }
    }
}

fn end_of(runs: &Runs, fails: bool) -> StartOutcome {
    if runs.stopped {
        return StartOutcome::Stopped;
    }
    if fails {
        return StartOutcome::Failed { detail: "bad worker".into(), run_ms: 1 };
    }
    let output = "ok".to_owned();
    StartOutcome::Done { output, digest: digest(&runs.input), run_ms: WORK_MS }
}

/// What a home sees in place of a reply that was lost under way.
fn lost_form(end: StartOutcome) -> StartOutcome {
    match end {
        StartOutcome::NoConnection => StartOutcome::NoConnection,
        StartOutcome::NoAnswer | StartOutcome::StillRuns => StartOutcome::NoAnswer,
        _ => StartOutcome::ReplyLost,
    }
}

fn is_whole(work: &JobRequest, answer: &Answer) -> bool {
    let right = |(task, end): (&TaskSpec, &TaskEnd)| matches!(end, TaskEnd::Done { digest: got, .. } if *got == digest(&task.input));
    answer.tasks.len() == work.tasks.len() && work.tasks.iter().zip(&answer.tasks).all(right)
}
