//! Simulation around the engine: fake workers that record their starts, and a network that loses,
//! delays and reorders messages. No sockets or system time are used.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::answer::{Answer, TaskEnd, Verdict};
use dispatch::catalogue::{CatalogueRecord, Change, Edit, Fold, Item, KindSpec, OnLogOut};
use dispatch::clock::Millis;
use dispatch::engine::{Action, Engine, EngineBuilder, Event, Hint, JournalResult, StartEnd};
use dispatch::jobs::{JobRequest, Submission, TaskSpec};
use dispatch::queue::Class;
use dispatch::ticket::{Incarnation, JobId, TaskId};
use dispatch::workers::{Needs, WorkerInfo};

pub const TICKET_VALID_MS: u64 = 600_000;
const WORK_MS: u64 = 100;
const SLOTS: usize = 2;

/// One message or event in transit.
#[derive(Clone, Debug)]
pub enum Message {
    Start {
        home: usize,
        task: TaskId,
        attempt: u64,
        worker: SocketAddr,
        boot: Option<u64>,
        input: String,
    },
    Query {
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
        end: StartEnd,
    },
    Journalled {
        home: usize,
        job: JobId,
        result: JournalResult,
    },
}

#[derive(Clone, Debug)]
struct RunningTask {
    home: usize,
    attempt: u64,
    ends_at: Millis,
    input: String,
    stopped: bool,
}

/// Worker process; `fenced` has the tasks that must not start on it any more.
#[derive(Clone, Debug, Default)]
pub struct FakeWorker {
    running: BTreeMap<TaskId, RunningTask>,
    ended: BTreeMap<TaskId, StartEnd>,
    fenced: HashSet<TaskId>,
    pub boot: u64,
    pub fails_all: bool,
    pub dead: bool,
}

/// One ticket with its job and the requests submitted under it.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    pub job: JobId,
    pub expiry_ms: Millis,
    pub work: Rc<JobRequest>,
    pub requests: Vec<u64>,
}

/// Simulation of several homes (daemons that issue tickets), their workers and the network.
///
/// With `inject_fault`, a drained home's tables lose the record of used tickets at the handover.
pub struct Simulation {
    pub now: Millis,
    pub homes: Vec<Option<Engine>>,
    pub incarnations: Vec<Incarnation>,
    pub successors: HashMap<Incarnation, Incarnation>,
    pub workers: BTreeMap<SocketAddr, FakeWorker>,
    pub messages: Vec<Message>,
    pub starts: HashMap<TaskId, usize>,
    pub submitted: Vec<SubmittedJob>,
    pub answers: HashMap<u64, Vec<Rc<Answer>>>,
    pub request_home: HashMap<u64, usize>,
    pub inject_fault: bool,
    pub log_out: bool,
    next_request: u64,
}

pub fn worker_addr(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + index as u16).into()
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
    let mut state = Fold::default();
    state.apply(0, Millis(0), &CatalogueRecord::Edit(edit));
    Rc::new(state)
}

impl Simulation {
    pub fn new(homes: usize, workers: usize) -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            homes: Vec::new(),
            incarnations: Vec::new(),
            successors: HashMap::new(),
            workers: (0..workers).map(|w| (worker_addr(w), FakeWorker::default())).collect(),
            messages: Vec::new(),
            starts: HashMap::new(),
            submitted: Vec::new(),
            answers: HashMap::new(),
            request_home: HashMap::new(),
            inject_fault: false,
            log_out: false,
            next_request: 1,
        };
        for _ in 0..homes {
            world.add_home();
        }
        world
    }

    pub fn add_home(&mut self) -> usize {
        let index = self.homes.len();
        let incarnation = Incarnation(100 + index as u64);
        let mut engine = EngineBuilder::new(incarnation, "zone").seed(index as u64).build();
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
        self.drive(index, Event::Workers(infos));
        let boots: Vec<(SocketAddr, u64)> =
            self.workers.iter().map(|(addr, worker)| (*addr, worker.boot)).collect();
        for (worker, boot) in boots {
            self.drive(index, Event::Boot { worker, boot });
        }
        index
    }

    pub fn drive(&mut self, home: usize, event: Event) {
        let Some(engine) = self.homes[home].as_mut() else {
            return;
        };
        for action in engine.handle(self.now, event) {
            self.perform(home, action);
        }
    }

    /// Issues a ticket at a home and submits a job under it.
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
        self.submitted.push(SubmittedJob { job, expiry_ms, work, requests: Vec::new() });
        self.resubmit(self.submitted.len() - 1);
        Some(self.submitted.len() - 1)
    }

    /// Submits a ticket's job again, at its home or the home's successor.
    pub fn resubmit(&mut self, index: usize) {
        let submitted = self.submitted[index].clone();
        let request = self.next_request(index);
        let Some(home) = self.current_home(submitted.job) else {
            return;
        };
        self.request_home.insert(request, home);
        let (job, expiry_ms, work) = (submitted.job, submitted.expiry_ms, submitted.work);
        let submission = Submission { request, job, expiry_ms, digest: job.seq, work };
        self.drive(home, Event::Submit(submission));
    }

    pub fn cancel(&mut self, index: usize) {
        let (job, expiry_ms) = (self.submitted[index].job, self.submitted[index].expiry_ms);
        let request = self.next_request(index);
        let Some(home) = self.current_home(job) else {
            return;
        };
        self.request_home.insert(request, home);
        self.drive(home, Event::Cancel { request, job, expiry_ms });
    }

    /// Delivers one message; with `lost`, the message or the reply to it is lost instead.
    pub fn deliver(&mut self, index: usize, lost: bool) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(index % self.messages.len());
        match message {
            Message::Start { home, task, attempt, worker, boot, input } => {
                self.deliver_start(home, (task, attempt), (worker, boot), input, lost);
            }
            Message::Query { home, task, attempt, worker } => {
                let end = if lost { StartEnd::NoAnswer } else { self.resolve(worker, task) };
                let boot = self.workers.get(&worker).map_or(0, |worker| worker.boot);
                self.messages.push(Message::Reply { home, task, attempt, boot, end });
            }
            Message::Stop { worker, tasks } if !lost => self.stop(worker, &tasks),
            Message::Stop { .. } => {}
            Message::Renew { home, worker, tasks } => self.renew(home, worker, tasks, lost),
            Message::Reply { home, task, attempt, boot, end } => {
                let end = if lost { replace_lost_reply(end) } else { end };
                let hint = (!lost).then_some(Hint { free: 0, leaving: false, boot });
                self.drive(home, Event::Ended { task, attempt, end, hint });
            }
            Message::Journalled { home, job, result } => {
                self.drive(home, Event::Journalled { job, result });
            }
        }
    }

    /// Advances the clock: ends tasks that are due and sends every home a tick.
    pub fn advance(&mut self, span_ms: u64) {
        self.now = self.now.plus(span_ms);
        self.end_due_tasks();
        for home in 0..self.homes.len() {
            self.drive(home, Event::Tick);
        }
    }

    /// Restarts a worker's process: its state is lost and its connections break.
    pub fn restart_worker(&mut self, addr: SocketAddr) {
        let Some(worker) = self.workers.get_mut(&addr) else { return };
        let boot = worker.boot + 1;
        let old = std::mem::replace(worker, FakeWorker { boot, ..FakeWorker::default() });
        for (task, running_task) in old.running {
            let (home, attempt) = (running_task.home, running_task.attempt);
            let end = StartEnd::ReplyLost;
            self.messages.push(Message::Reply { home, task, attempt, boot: old.boot, end });
        }
    }

    pub fn crash(&mut self, home: usize) {
        self.homes[home] = None;
    }

    /// Hands a home's tables over to a successor, only without open jobs, as the daemon does.
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
            if self.inject_fault {
                table.plant_forgotten_use();
            }
            self.successors.insert(table.incarnation, to);
            if let Some(engine) = self.homes[successor].as_mut() {
                engine.inherit(table, now);
            }
        }
        self.homes[home] = None;
    }

    /// Delivers all messages until no job is open, for a bounded number of rounds.
    pub fn run_until_idle(&mut self) {
        for _ in 0..400 {
            while !self.messages.is_empty() {
                self.deliver(0, false);
            }
            self.advance(100);
            let open = self.homes.iter().flatten().any(|engine| engine.open_jobs() > 0);
            if !open && self.messages.is_empty() {
                return;
            }
        }
    }

    /// Describes every violated invariant.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (task, starts) in &self.starts {
            if *starts > 1 {
                violations.push(format!("{task} started {starts} times"));
            }
        }
        for submitted in &self.submitted {
            self.check_answers(submitted, &mut violations);
        }
        violations
    }

    fn check_answers(&self, submitted: &SubmittedJob, violations: &mut Vec<String>) {
        let of = |request: &u64| self.answers.get(request).cloned().unwrap_or_default();
        let answers: Vec<Rc<Answer>> = submitted.requests.iter().flat_map(of).collect();
        let started = (0..submitted.work.tasks.len() as u32)
            .any(|index| self.starts.contains_key(&TaskId { job: submitted.job, index }));
        for answer in &answers {
            if answer.verdict == Verdict::NotRun && started {
                violations.push(format!(
                    "{} was answered as not run although a task started",
                    submitted.job
                ));
            }
            if answer.verdict == Verdict::Complete && !is_complete(&submitted.work, answer) {
                violations.push(format!(
                    "{} was answered as complete with missing or mismatched outputs",
                    submitted.job
                ));
            }
        }
        for request in &submitted.requests {
            let count = of(request).len();
            let alive = self.request_home.get(request).is_some_and(|h| self.homes[*h].is_some());
            if count > 1 || (count == 0 && alive) {
                violations
                    .push(format!("request {request} of {} got {count} answers", submitted.job));
            }
        }
    }

    fn current_home(&self, job: JobId) -> Option<usize> {
        let mut incarnation = job.incarnation;
        while let Some(successor) = self.successors.get(&incarnation) {
            incarnation = *successor;
        }
        let index = self.incarnations.iter().position(|own| *own == incarnation)?;
        self.homes[index].as_ref().map(|_| index)
    }

    fn next_request(&mut self, index: usize) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        self.submitted[index].requests.push(request);
        request
    }

    fn perform(&mut self, home: usize, action: Action) {
        match action {
            Action::Reply { request, answer } => {
                self.answers.entry(request).or_default().push(answer);
            }
            Action::Start { task, attempt, worker, boot, work, .. } => {
                let input = work.tasks[task.index as usize].input.clone();
                self.messages.push(Message::Start { home, task, attempt, worker, boot, input });
            }
            Action::AskWorker { task, attempt, worker } => {
                self.messages.push(Message::Query { home, task, attempt, worker });
            }
            Action::Stop { worker, tasks } => self.messages.push(Message::Stop { worker, tasks }),
            Action::Journal(job) => {
                let out = self.log_out;
                let result = if out { JournalResult::Out } else { JournalResult::Started };
                self.messages.push(Message::Journalled { home, job, result });
            }
            Action::Renew { worker, tasks, .. } => {
                self.messages.push(Message::Renew { home, worker, tasks });
            }
            Action::AskSlots(..) | Action::GiveSlots(..) | Action::JobEnded { .. } => {}
        }
    }

    fn deliver_start(
        &mut self,
        home: usize,
        (task, attempt): (TaskId, u64),
        (addr, expected_boot): (SocketAddr, Option<u64>),
        input: String,
        lost: bool,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&addr) else {
            return;
        };
        let refusal = if worker.dead {
            Some(StartEnd::NoConnection)
        } else if lost {
            Some(StartEnd::ReplyLost)
        } else if expected_boot != Some(worker.boot) {
            Some(StartEnd::Refused)
        } else if worker.fenced.contains(&task) {
            Some(StartEnd::NeverWill)
        } else if worker.running.len() >= SLOTS {
            Some(StartEnd::Full)
        } else {
            None
        };
        if let Some(end) = refusal {
            let boot = worker.boot;
            self.messages.push(Message::Reply { home, task, attempt, boot, end });
            return;
        }
        let ends_at = now.plus(WORK_MS);
        worker.running.insert(task, RunningTask { home, attempt, ends_at, input, stopped: false });
        *self.starts.entry(task).or_insert(0) += 1;
    }

    fn resolve(&mut self, addr: SocketAddr, task: TaskId) -> StartEnd {
        let Some(worker) = self.workers.get_mut(&addr) else {
            return StartEnd::NoAnswer;
        };
        if worker.dead {
            return StartEnd::NoAnswer;
        }
        if let Some(end) = worker.ended.get(&task) {
            return end.clone();
        }
        if worker.running.contains_key(&task) {
            return StartEnd::StillRuns;
        }
        worker.fenced.insert(task);
        StartEnd::NeverWill
    }

    fn stop(&mut self, addr: SocketAddr, tasks: &[TaskId]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&addr) else {
            return;
        };
        for task in tasks {
            if let Some(running_task) = worker.running.get_mut(task) {
                running_task.stopped = true;
                running_task.ends_at = now;
            }
        }
        self.end_due_tasks();
    }

    /// Handles a lease renewal; if it fails or names a task that no longer runs, its tasks are put
    /// in doubt.
    fn renew(&mut self, home: usize, addr: SocketAddr, tasks: Vec<TaskId>, lost: bool) {
        let Some(worker) = self.workers.get(&addr) else {
            return;
        };
        let all_run = tasks.iter().all(|task| worker.running.contains_key(task));
        if all_run && !lost && !worker.dead {
            return;
        }
        for task in tasks {
            self.drive(home, Event::Unconfirmed(task));
        }
    }

    fn end_due_tasks(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut().filter(|worker| !worker.dead) {
            let due: Vec<TaskId> =
                worker.running.iter().filter(|(_, r)| r.ends_at <= now).map(|(t, _)| *t).collect();
            for task in due {
                let Some(running_task) = worker.running.remove(&task) else {
                    continue;
                };
                let end = outcome_of(&running_task, worker.fails_all);
                worker.ended.insert(task, end.clone());
                self.messages.push(Message::Reply {
                    home: running_task.home,
                    task,
                    attempt: running_task.attempt,
                    boot: worker.boot,
                    end,
                });
            }
        }
    }
}

fn outcome_of(running_task: &RunningTask, fails: bool) -> StartEnd {
    if running_task.stopped {
        return StartEnd::Stopped;
    }
    if fails {
        return StartEnd::Failed { detail: "bad worker".into(), run_ms: 1 };
    }
    let output = "ok".to_owned();
    StartEnd::Done { output, digest: digest(&running_task.input), run_ms: WORK_MS }
}

/// Result that a home sees in place of a reply that was lost in transit.
fn replace_lost_reply(end: StartEnd) -> StartEnd {
    match end {
        StartEnd::NoConnection => StartEnd::NoConnection,
        StartEnd::NoAnswer | StartEnd::StillRuns => StartEnd::NoAnswer,
        _ => StartEnd::ReplyLost,
    }
}

fn is_complete(work: &JobRequest, answer: &Answer) -> bool {
    let right = |(task, end): (&TaskSpec, &TaskEnd)| matches!(end, TaskEnd::Done { digest: got, .. } if *got == digest(&task.input));
    answer.tasks.len() == work.tasks.len() && work.tasks.iter().zip(&answer.tasks).all(right)
}
