//! Runs jobs on the workers of one cell, for the daemon that owns the cell.
//!
//! The fencing token of the ownership goes with every call. Whoever owns the cell next has a
//! higher one, and a refusal for it ends this pool: its jobs go back as [`Outcome::Moved`].
//! See `docs/design/on-the-platform.md`.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::call::{PollCall, StartCall, StopCall, Target};
use crate::catalogue::{Terms, WorkerEntry};
use crate::claims::doubt_ms;
use crate::estimate::Estimates;
use crate::job::{Earlier, Job, JobSpec, Outcome, Progress, Reason, Step, TaskName, TaskState};
use crate::placement::{self, TaskRequirements};
use crate::queue;
use crate::run::{Run, RunState};
use crate::worker::{LEASE_MS, RunUpdate, Worker};

/// How long a link between daemons may be silent before both sides take it for broken, in
/// milliseconds: about a third of the time that callers of the users' kinds wait.
pub const SILENCE_MS: u64 = 450;
/// How long a daemon may stand still and keep the jobs of others, in milliseconds; under
/// [`SILENCE_MS`]. It takes a turn every 100 ms at the least.
pub const MAX_GAP_MS: u64 = 350;
/// What the daemon is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start.
    Start(Target, StartCall),
    /// Send a stop.
    Stop(Target, StopCall),
    /// Send a look.
    Look(Target, PollCall),
    /// Give a job's outcome to whoever submitted it under this number.
    Answer(u64, Outcome),
}

/// A job, and what is known of it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// The job.
    pub spec: JobSpec,
    /// What its route promises.
    pub terms: Terms,
    /// How old the request is, in milliseconds.
    pub age_ms: u64,
    /// How long the caller waits in all, in milliseconds.
    pub limit_ms: u64,
    /// What an earlier owner of the cell did.
    pub earlier: Earlier,
    /// Whether the job may wait for room; otherwise it is refused unless all tasks begin at once.
    pub may_wait: bool,
    /// Whether another daemon waits for the outcome, and gives this one up where it is silent.
    pub is_remote: bool,
}

/// The jobs and workers of one cell.
#[derive(Debug)]
pub struct Pool {
    token: u64,
    fenced: bool,
    pub(crate) workers: BTreeMap<Rc<str>, Worker>,
    pub(crate) jobs: HashMap<u64, Job>,
    watchers: HashMap<u64, u64>,
    by_id: HashMap<Rc<str>, u64>,
    remote: HashSet<u64>,
    advanced_at: Option<Millis>,
    pub(crate) estimates: Estimates,
    actions: Vec<Action>,
    next: u64,
}

impl Pool {
    /// Builds the pool of a cell that was just taken over under a fencing token.
    pub fn new(token: u64) -> Self {
        Self {
            token,
            fenced: false,
            workers: BTreeMap::new(),
            jobs: HashMap::new(),
            watchers: HashMap::new(),
            by_id: HashMap::new(),
            remote: HashSet::new(),
            advanced_at: None,
            estimates: Estimates::default(),
            actions: Vec::new(),
            next: 1,
        }
    }

    /// Gives the fencing token.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Tells whether a worker knows a later owner.
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Gives the workers with their runs, for a dump of the state.
    pub fn workers(&self) -> impl Iterator<Item = (&Rc<str>, &Worker)> {
        self.workers.iter()
    }

    /// Counts the jobs of which no task was begun.
    pub fn pending_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.begun).count()
    }

    /// Tells whether actions are due.
    pub const fn has_actions(&self) -> bool {
        !self.actions.is_empty()
    }

    /// Takes the actions that are due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the entries of the cell's workers as they are now.
    pub fn set_workers<'a>(
        &mut self,
        now: Millis,
        entries: impl Iterator<Item = (&'a Rc<str>, &'a WorkerEntry)>,
    ) {
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        let mut changes = Vec::new();
        for (id, entry) in entries {
            match self.workers.get_mut(id) {
                None => {
                    self.workers.insert(Rc::clone(id), Worker::new(entry.clone(), now));
                }
                Some(worker) => changes.extend(update(worker, entry, now)),
            }
        }
        self.workers.retain(|_, worker| worker.listed || !worker.runs.is_empty());
        self.apply(now, changes, None);
        self.advance(now);
    }

    /// Takes a job. Its outcome comes as an action under the number that is returned.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> u64 {
        let number = self.next_number();
        if self.fenced {
            let outcome = Outcome::Moved(Progress::default());
            self.actions.push(Action::Answer(number, outcome));
            return number;
        }
        let Submission { spec, terms, age_ms, limit_ms, earlier, may_wait, is_remote } = submission;
        if is_remote {
            self.remote.insert(number);
        }
        if let Some(known) = self.by_id.get(&spec.id) {
            self.watchers.insert(number, *known);
            return number;
        }
        let mut job = Job::new(spec, terms, now, age_ms, limit_ms);
        let longest =
            |step: &Step| self.estimates.longest_ms(&job.terms.route, step.estimate_ms, step.count);
        job.expected_ms = job.spec.critical_path_ms(longest);
        let route = &job.terms.route;
        let task_ms = |step: &Step| self.estimates.task_ms(route, step.estimate_ms) as u64;
        job.task_ms = job.spec.steps.iter().map(task_ms).collect();
        job.take_earlier(&earlier, now, doubt_ms(&earlier));
        self.claim(number, &mut job);
        if let Some(outcome) = self.refusal(&job, may_wait, now) {
            self.actions.push(Action::Answer(number, outcome));
            return number;
        }
        self.by_id.insert(Rc::clone(&job.spec.id), number);
        self.watchers.insert(number, number);
        self.jobs.insert(number, job);
        self.finish_if_done(number);
        self.advance(now);
        number
    }

    /// Ends what nobody waits for any more.
    pub fn cancel(&mut self, now: Millis, number: u64) {
        self.remote.remove(&number);
        let Some(job) = self.watchers.remove(&number) else { return };
        if self.watchers.values().any(|watched| *watched == job) {
            return;
        }
        self.drop_job(now, job);
        self.advance(now);
    }

    /// Lets time pass: looks, refusals and ends that are due.
    pub fn advance(&mut self, now: Millis) {
        if self.fenced {
            return;
        }
        self.note_gap(now);
        self.settle_doubts(now);
        self.place_waiting(now);
        self.end_overdue(now);
        self.send_looks(now);
    }

    /// Drops the jobs of other daemons where this one stood still for so long that they have given
    /// it up: they may have been begun elsewhere meanwhile.
    fn note_gap(&mut self, now: Millis) {
        let gap_ms = self.advanced_at.map_or(0, |at| now.since(at));
        self.advanced_at = Some(now);
        if gap_ms < MAX_GAP_MS {
            return;
        }
        let mut remote: Vec<u64> = self.remote.drain().collect();
        remote.sort_unstable();
        for number in remote {
            let Some(job) = self.watchers.remove(&number) else { continue };
            self.actions.push(Action::Answer(number, Outcome::GivenUp(Reason::NoOwner)));
            if !self.watchers.values().any(|watched| *watched == job) {
                self.drop_job(now, job);
            }
        }
    }

    /// Gives up the cell: every job goes back to whoever submitted it.
    pub fn lose(&mut self) {
        self.fenced = true;
        self.actions.retain(|action| !matches!(action, Action::Start(..)));
        let mut watchers: Vec<(u64, u64)> = self.watchers.drain().collect();
        watchers.sort_unstable();
        for (number, job) in watchers {
            let progress = self.jobs.get(&job).map(Job::progress).unwrap_or_default();
            self.actions.push(Action::Answer(number, Outcome::Moved(progress)));
        }
        self.jobs.clear();
        self.by_id.clear();
    }

    /// Renews every lease as long as it goes, before the cell is handed over, so that the next
    /// owner finds the runs alive.
    pub fn renew_all(&mut self, now: Millis) {
        let busy = |(id, worker): (&Rc<str>, &mut Worker)| {
            let has_runs = !worker.runs.is_empty();
            let until_ms = worker.clock_at(now).filter(|_| has_runs)? + LEASE_MS;
            let call = PollCall {
                token: self.token,
                ack_cursor: worker.cursor(),
                lease_until_ms: Some(until_ms),
                wait_ms: 0,
            };
            Some(Action::Look(worker.target(id), call))
        };
        let looks: Vec<Action> = self.workers.iter_mut().filter_map(busy).collect();
        self.actions.extend(looks);
    }

    /// Gives when something is due next.
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        let looks = self.workers.values().filter(|worker| worker.poll_sent_at.is_none());
        let looks = looks.filter_map(|worker| worker.next_poll_at);
        let ends = self.jobs.values().map(|job| {
            let hopeless = job.hopeless_from().plus(1);
            if job.begun { job.ends_at } else { job.ends_at.min(hopeless) }
        });
        let doubtful = self.jobs.values().filter(|job| job.is_in_doubt());
        let doubts = doubtful.map(|job| job.doubt_ends_at);
        looks.chain(ends).chain(doubts).map(|at| at.max(now)).min()
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Ends jobs whose time is over, and refuses those that can no longer help their caller.
    fn end_overdue(&mut self, now: Millis) {
        let overdue = |(number, job): (&u64, &Job)| {
            if now >= job.ends_at {
                return Some((*number, job.begun));
            }
            (!job.begun && now > job.hopeless_from()).then_some((*number, false))
        };
        let mut overdue: Vec<(u64, bool)> = self.jobs.iter().filter_map(overdue).collect();
        overdue.sort_unstable();
        for (number, begun) in overdue {
            let retry_after_ms = queue::retry_after_ms(self.backlog(now).wait_ms());
            let outcome = if begun {
                Outcome::GivenUp(Reason::TimeOver)
            } else {
                Outcome::NotRun { reason: Reason::Overload, retry_after_ms }
            };
            self.answer(number, outcome);
            self.drop_job(now, number);
        }
    }

    fn place_waiting(&mut self, now: Millis) {
        let mut waiting: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.has_pending() && now < job.ends_at)
            .map(|(number, job)| (queue::order(job, now), *number))
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        for (_, number) in waiting {
            self.place_job(now, number);
        }
    }

    fn place_job(&mut self, now: Millis, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        for at in 0..job.tasks.len() {
            let task = job.tasks[at].clone();
            if task.state != TaskState::Pending || !job.step_is_due(task.step) {
                continue;
            }
            let step = &job.spec.steps[task.step as usize];
            let need = TaskRequirements::of(job, task.step, step, now);
            let Some(id) = placement::choose(&self.workers, need, now).cloned() else { break };
            let Some(worker) = self.workers.get_mut(&id) else { break };
            let Some(clock_ms) = worker.clock_at(now) else { break };
            let name = job.name(at);
            let run = Run {
                of: Some((number, at)),
                run: task.run + 1,
                room: step.each,
                state: RunState::Starting,
                since: now,
                sent_at: now,
                expected_ms: job.task_ms[task.step as usize],
                ends_at: None,
            };
            let call = StartCall {
                task: name.clone(),
                run: run.run,
                spec: Rc::clone(&job.spec.spec),
                lease_until_ms: clock_ms + LEASE_MS,
                token: self.token,
            };
            self.actions.push(Action::Start(worker.target(&id), call));
            worker.place(name, run);
            job.tasks[at].state = TaskState::Placed;
            job.tasks[at].run = task.run + 1;
            job.tasks[at].worker = Some(id);
            job.begun = true;
        }
    }

    fn send_looks(&mut self, now: Millis) {
        for (id, worker) in &mut self.workers {
            let due = worker.next_poll_at.is_some_and(|at| now >= at);
            if !due || worker.poll_sent_at.is_some() {
                continue;
            }
            let lease_until_ms = worker.begin_poll(now);
            let wait_ms = worker.poll_wait_ms(now);
            let call = PollCall {
                token: self.token,
                ack_cursor: worker.cursor(),
                lease_until_ms,
                wait_ms,
            };
            self.actions.push(Action::Look(worker.target(id), call));
        }
    }

    pub(crate) fn finish_if_done(&mut self, number: u64) {
        if !self.jobs.get(&number).is_some_and(Job::is_done) {
            return;
        }
        self.answer(number, Outcome::Completed);
        self.forget(number);
    }

    pub(crate) fn answer(&mut self, job: u64, outcome: Outcome) {
        let mut numbers: Vec<u64> = Vec::new();
        self.watchers.retain(|number, watched| {
            if *watched == job {
                numbers.push(*number);
            }
            *watched != job
        });
        numbers.sort_unstable();
        for number in &numbers {
            self.remote.remove(number);
        }
        let answers = numbers.into_iter().map(|number| Action::Answer(number, outcome.clone()));
        self.actions.extend(answers);
    }

    fn forget(&mut self, number: u64) {
        if let Some(job) = self.jobs.remove(&number) {
            self.by_id.remove(&job.spec.id);
        }
    }

    /// Stops every run of a job that nobody waits for.
    pub(crate) fn drop_job(&mut self, now: Millis, number: u64) {
        self.forget(number);
        let mut stops = Vec::new();
        for (id, worker) in &mut self.workers {
            for (name, run) in &mut worker.runs {
                if run.of.is_none_or(|(job, _)| job != number) {
                    continue;
                }
                run.of = None;
                stops.push((Rc::clone(id), name.clone(), run.run));
                let may_begin = matches!(run.state, RunState::Starting | RunState::InDoubt);
                run.state = if may_begin { RunState::InDoubt } else { RunState::Stopping };
                run.since = now;
            }
        }
        for (id, name, run) in stops {
            self.send_stop(&id, &name, run);
        }
    }

    pub(crate) fn send_stop(&mut self, id: &str, task: &TaskName, run: u32) {
        let Some((id, worker)) = self.workers.get_key_value(id) else { return };
        let call = StopCall { task: task.clone(), run, token: self.token };
        self.actions.push(Action::Stop(worker.target(id), call));
    }
}

fn update(worker: &mut Worker, entry: &WorkerEntry, now: Millis) -> Vec<RunUpdate> {
    let reborn = worker.entry.started_at_ms.is_some()
        && entry.started_at_ms.is_some()
        && worker.entry.started_at_ms != entry.started_at_ms;
    if reborn || worker.entry.addr != entry.addr {
        return worker.restart(entry.clone(), now);
    }
    worker.entry.clone_from(entry);
    worker.listed = true;
    Vec::new()
}
