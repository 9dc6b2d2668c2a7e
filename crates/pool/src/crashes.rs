//! Finds the tasks and the routes that crash workers, from the crashes of all cells.
//!
//! Several tasks share a worker, so a crash makes suspects of all of them. A suspect is started
//! again without other jobs beside it, and a second crash then convicts it. The record outlives
//! requests and owners: every daemon keeps it and reports each crash to the others, since a caller
//! resends to any daemon. A route with convicted tasks is confined to a part of the workers for a
//! while, so that it cannot take down the workers that the other routes need. See
//! [docs/design/on-the-platform.md](../../../docs/design/on-the-platform.md).

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::job::TaskName;
use crate::loss::{LossCause, LostRun, WorkerLife, WorkerLoss};

/// Crashes under a task that convict it if no other job had a task on the last worker.
const CRASHES_UNTIL_CONVICTED: usize = 2;
/// Crashes under a task that convict it in any company.
const MAX_CRASHES: usize = 3;
/// Crashes that convict a task even if it may not have been active each time. Less than the
/// five starts that a task may have which crashes each of its workers.
const MAX_UNCERTAIN_CRASHES: usize = 4;
/// How long crashes are remembered, in milliseconds. Longer than callers resend a request.
const RETENTION_MS: u64 = 120_000;
/// Maximum number of crashes that are remembered.
const MAX_REMEMBERED: usize = 4_096;
/// Number of the oldest crashes that are forgotten at once when there are [`MAX_REMEMBERED`].
const FORGOTTEN_AT_ONCE: usize = MAX_REMEMBERED / 4;
/// Convicted tasks of a route within [`CONFINEMENT_MS`] after which it is confined. A single one
/// may be a job of its own kind.
const CONVICTIONS_UNTIL_CONFINED: usize = 2;
/// How long a route stays confined after the last crash that no other route can have caused, in
/// milliseconds.
pub const CONFINEMENT_MS: u64 = 10_000;

/// A task that was on a worker when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashedTask {
    /// The task.
    pub name: TaskName,
    /// Route of its job.
    pub route: Rc<str>,
    /// Whether its run is taken to have been active when the worker crashed.
    pub was_active: bool,
}

/// A worker's process that ended with active runs, without having announced it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The process that ended.
    pub life: WorkerLife,
    /// The tasks that were on the worker.
    pub tasks: Vec<CrashedTask>,
}

impl Crash {
    /// Returns the loss of a worker as a crash, or `None` if the worker may only be cut off, or has
    /// left as it had announced.
    pub fn from_loss(loss: &WorkerLoss) -> Option<Self> {
        let has_ended = match loss.cause {
            LossCause::Silent => false,
            LossCause::Refused | LossCause::Replaced => true,
        };
        let task = |run: &LostRun| CrashedTask {
            name: run.task.clone(),
            route: Rc::clone(&run.route),
            was_active: run.was_active,
        };
        (has_ended && !loss.was_draining)
            .then(|| Self { life: loss.life.clone(), tasks: loss.runs.iter().map(task).collect() })
    }

    /// Whether all tasks on the worker belonged to one job.
    fn is_of_one_job(&self) -> bool {
        self.tasks.windows(2).all(|pair| pair[0].name.job == pair[1].name.job)
    }

    /// Whether all tasks on the worker belonged to one route.
    fn is_of_one_route(&self) -> bool {
        self.tasks.windows(2).all(|pair| pair[0].route == pair[1].route)
    }
}

/// What follows from a crash that has been recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Whether the crash was not known before.
    pub is_new: bool,
    /// Tasks that are convicted from now on.
    pub convicted: Vec<TaskName>,
    /// Routes that are confined from now on.
    pub confined: Vec<Rc<str>>,
}

/// What the crashes say about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// No worker has crashed under the task, or another task is to blame.
    None,
    /// The task may have crashed a worker.
    Suspect,
    /// The task crashes the workers that start it.
    Convicted,
}

/// Crashes under one task, in the order in which they were recorded.
#[derive(Clone, Debug)]
struct TaskRecord {
    task: TaskName,
    under: Vec<CrashUnderTask>,
}

/// A crash as seen from one of the tasks on the worker.
#[derive(Clone, Copy, Debug)]
struct CrashUnderTask {
    /// Whether no other job had a task on the worker.
    was_alone: bool,
    /// Whether the task is taken to have been active then.
    was_active: bool,
}

impl TaskRecord {
    fn suspicion(&self) -> Suspicion {
        let certain = self.under.iter().filter(|crash| crash.was_active);
        let was_last_alone = certain.clone().next_back().is_some_and(|crash| crash.was_alone);
        match (self.under.len(), certain.count()) {
            (0, _) => Suspicion::None,
            (MAX_UNCERTAIN_CRASHES.., _) | (_, MAX_CRASHES..) => Suspicion::Convicted,
            (_, CRASHES_UNTIL_CONVICTED..) if was_last_alone => Suspicion::Convicted,
            _ => Suspicion::Suspect,
        }
    }
}

/// Convictions and confinement of one route.
#[derive(Clone, Debug, Default)]
struct RouteRecord {
    convicted_at: VecDeque<Millis>,
    confined_until: Option<Millis>,
}

/// The crashes that are remembered.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    crashes: VecDeque<(Millis, Crash)>,
    /// Processes whose end is in `crashes`.
    lives: HashSet<WorkerLife>,
    by_job: HashMap<Rc<str>, Vec<TaskRecord>>,
    routes: HashMap<Rc<str>, RouteRecord>,
}

impl CrashHistory {
    /// Records a crash and returns what follows from it. If this end of the process is known
    /// already, as when two owners of the worker report it, tasks that are new in the later report
    /// are added.
    pub fn record(&mut self, now: Millis, crash: &Crash) -> Findings {
        self.forget_old(now);
        let convicted_before: Vec<bool> = crash.tasks.iter().map(|t| self.convicts(t)).collect();
        let is_new = self.lives.insert(crash.life.clone());
        if is_new {
            self.crashes.push_back((now, crash.clone()));
            add_to_index(&mut self.by_job, crash);
        } else {
            self.add_tasks(crash);
        }
        let mut findings = Findings { is_new, ..Findings::default() };
        let prolongs = is_new && crash.is_of_one_route();
        for (task, was_convicted) in crash.tasks.iter().zip(convicted_before) {
            let is_convicted = !was_convicted && self.convicts(task);
            if is_convicted {
                findings.convicted.push(task.name.clone());
            }
            let is_relevant = prolongs && task.was_active || is_convicted;
            if is_relevant && self.update_route(now, &task.route, is_convicted) {
                findings.confined.push(Rc::clone(&task.route));
            }
        }
        findings
    }

    /// Withdraws a crash because the worker has replied again in the same process. Returns the
    /// tasks that were on the worker; none if no such crash is known.
    pub fn retract(&mut self, life: &WorkerLife) -> Vec<CrashedTask> {
        if !self.lives.contains(life) {
            return Vec::new();
        }
        let position = self.crashes.iter().position(|(_, crash)| crash.life == *life);
        let retracted = position.and_then(|position| self.crashes.remove(position));
        self.rebuild_index();
        retracted.map(|(_, crash)| crash.tasks).unwrap_or_default()
    }

    /// Returns what the crashes say about a task.
    pub fn suspicion(&self, task: &TaskName) -> Suspicion {
        let records = self.by_job.get(&task.job);
        let record = records.and_then(|records| records.iter().find(|r| r.task == *task));
        record.map_or(Suspicion::None, TaskRecord::suspicion)
    }

    /// Whether a task of the job crashes the workers that start it.
    pub fn convicts_job(&self, job: &str) -> bool {
        let records = self.by_job.get(job).into_iter().flatten();
        records.into_iter().any(|record| record.suspicion() == Suspicion::Convicted)
    }

    /// Whether a worker has crashed under a task of the job.
    pub fn involves_job(&self, job: &str) -> bool {
        self.by_job.contains_key(job)
    }

    /// Whether the route is confined to a part of the workers.
    pub fn is_confined(&self, route: &str, now: Millis) -> bool {
        let until = self.routes.get(route).and_then(|record| record.confined_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the routes that are confined, in order.
    pub fn confined_routes(&self, now: Millis) -> Vec<Rc<str>> {
        let confined = self.routes.keys().filter(|route| self.is_confined(route, now));
        let mut routes: Vec<Rc<str>> = confined.cloned().collect();
        routes.sort_unstable();
        routes
    }

    /// Returns the ids of the jobs with a convicted task, in order.
    pub fn convicted_jobs(&self) -> Vec<Rc<str>> {
        let mut jobs: Vec<Rc<str>> =
            self.by_job.keys().filter(|job| self.convicts_job(job)).cloned().collect();
        jobs.sort_unstable();
        jobs
    }

    /// Returns all remembered crashes with their age in milliseconds, for a daemon that has just
    /// started.
    pub fn export(&self, now: Millis) -> Vec<(u64, Crash)> {
        self.crashes.iter().map(|(at, crash)| (now.since(*at), crash.clone())).collect()
    }

    fn convicts(&self, task: &CrashedTask) -> bool {
        self.suspicion(&task.name) == Suspicion::Convicted
    }

    /// Records that a worker crashed under a task of the route and no other route can have caused
    /// it, or that the task was convicted. Returns whether the route has to be confined from now on.
    fn update_route(&mut self, now: Millis, route: &Rc<str>, is_newly_convicted: bool) -> bool {
        let was_confined = self.is_confined(route, now);
        let record = self.routes.entry(Rc::clone(route)).or_default();
        record.convicted_at.retain(|at| now.since(*at) < CONFINEMENT_MS);
        if is_newly_convicted {
            record.convicted_at.push_back(now);
        }
        let is_confined = was_confined || record.convicted_at.len() >= CONVICTIONS_UNTIL_CONFINED;
        if is_confined {
            record.confined_until = Some(now.plus(CONFINEMENT_MS));
        }
        is_confined && !was_confined
    }

    /// Adds the tasks that the earlier report about the same process lacked.
    fn add_tasks(&mut self, crash: &Crash) {
        let known = self.crashes.iter_mut().find(|(_, known)| known.life == crash.life);
        let Some((_, known)) = known else { return };
        let tasks_before = known.tasks.clone();
        for task in &crash.tasks {
            match known.tasks.iter_mut().find(|known| known.name == task.name) {
                Some(known) => known.was_active |= task.was_active,
                None => known.tasks.push(task.clone()),
            }
        }
        if known.tasks != tasks_before {
            self.rebuild_index();
        }
    }

    fn forget_old(&mut self, now: Millis) {
        let is_old = |(at, _): &&(Millis, Crash)| now.since(*at) >= RETENTION_MS;
        let mut forgotten = self.crashes.iter().take_while(is_old).count();
        if self.crashes.len() >= MAX_REMEMBERED {
            forgotten = forgotten.max(FORGOTTEN_AT_ONCE);
        }
        if forgotten > 0 {
            self.crashes.drain(..forgotten);
            self.rebuild_index();
        }
        self.routes.retain(|_, record| {
            record.confined_until.is_some_and(|until| now < until)
                || record.convicted_at.iter().any(|at| now.since(*at) < CONFINEMENT_MS)
        });
    }

    fn rebuild_index(&mut self) {
        self.by_job.clear();
        self.lives.clear();
        for (_, crash) in &self.crashes {
            self.lives.insert(crash.life.clone());
            add_to_index(&mut self.by_job, crash);
        }
    }
}

fn add_to_index(by_job: &mut HashMap<Rc<str>, Vec<TaskRecord>>, crash: &Crash) {
    let was_alone = crash.is_of_one_job();
    for task in &crash.tasks {
        let crash = CrashUnderTask { was_alone, was_active: task.was_active };
        let records = by_job.entry(Rc::clone(&task.name.job)).or_default();
        match records.iter_mut().find(|record| record.task == task.name) {
            Some(record) => record.under.push(crash),
            None => records.push(TaskRecord { task: task.name.clone(), under: vec![crash] }),
        }
    }
}
