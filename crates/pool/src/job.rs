//! Jobs as callers send them, and their progress.

use std::fmt;
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::catalogue::Terms;
use crate::room::Room;

/// One step: tasks of one size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// The size of each.
    pub each: Room,
    /// The declared run time of a task, in milliseconds; often far off.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<usize>,
    /// A label that the worker must have.
    pub required_label: Option<String>,
    /// The rack that holds the data; other racks run the tasks slower.
    pub data_rack: Option<String>,
    /// The most tasks of the step on one worker; zero for any number.
    pub max_per_worker: u32,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The caller's id, which task names begin with.
    pub id: Rc<str>,
    /// Passed to every task as it is.
    pub spec: Rc<str>,
    /// The steps.
    pub steps: Vec<Step>,
}

impl JobSpec {
    /// Counts the tasks.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Gives the declared time of the longest chain of steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begins = step.after.iter().filter_map(|at| ends.get(*at)).max();
            ends.push(begins.copied().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Gives the declared work in millicore-milliseconds.
    pub fn work(&self) -> u64 {
        let of = |step: &Step| {
            u64::from(step.count) * step.estimate_ms * step.each.cpu_millicores.max(1)
        };
        self.steps.iter().map(of).sum()
    }
}

/// The name of a task on the workers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// The job.
    pub job: Rc<str>,
    /// The step.
    pub step: u32,
    /// The place in the step.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.0.{}.{}", self.job, self.step, self.index)
    }
}

impl TaskName {
    /// Reads a task's name; none where it is not one of a job without a schedule.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = parts.next().filter(|job| !job.is_empty())?;
        let occurrence: u32 = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let plain = parts.next().is_none() && occurrence == 0;
        plain.then(|| Self { job: Rc::from(job), step, index })
    }
}

/// Why a job was not run, or not to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The work waiting ahead leaves too little time.
    Overload,
    /// No worker that is known could ever run a task of it.
    NoWorker,
    /// The time of the caller is over.
    TimeOver,
    /// A task failed as often as the route allows.
    TaskFailed,
    /// No daemon owns workers that could run it.
    NoOwner,
}

impl Reason {
    /// Gives the reason as it stands in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::NoWorker => "no_worker",
            Self::TimeOver => "time_over",
            Self::TaskFailed => "task_failed",
            Self::NoOwner => "no_owner",
        }
    }
}

/// What became of a job at the daemon that owns the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// It cannot be done.
    Failed(Reason),
    /// Nothing of it was started.
    NotRun {
        /// Why.
        reason: Reason,
        /// When asking again may help, in milliseconds.
        retry_after_ms: u64,
    },
    /// It was begun and its end was not reached; nothing of it runs on.
    GivenUp(Reason),
    /// Its workers went over to another daemon, which may have runs of it.
    Moved,
}

/// The state of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It waits for a worker.
    Pending,
    /// A worker has it, or may have it.
    Placed,
    /// It is done.
    Done,
}

/// One task of a job in progress.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Its step.
    pub step: u32,
    /// Its place in the step.
    pub index: u32,
    /// Its state.
    pub state: TaskState,
    /// The number of its last start.
    pub run: u32,
    /// Runs that ended failed.
    pub failures: u32,
}

/// A job in progress.
#[derive(Debug)]
pub struct Job {
    /// What the caller asked for.
    pub spec: JobSpec,
    /// What the route promises.
    pub terms: Terms,
    /// When the caller's request arrived, on this daemon's clock.
    pub arrived_at: Millis,
    /// When the caller stops waiting.
    pub ends_at: Millis,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Whether any task was ever sent to a worker.
    pub begun: bool,
}

/// The latency objective's multiple up to which an answer still counts as late, and not as lost.
pub const LATE_FACTOR: u64 = 3;

impl Job {
    /// Builds a job whose request is `age_ms` old.
    pub fn new(spec: JobSpec, terms: Terms, now: Millis, age_ms: u64, limit_ms: u64) -> Self {
        let mut tasks = Vec::with_capacity(spec.task_count());
        for (step, content) in spec.steps.iter().enumerate() {
            let task = |index| Task {
                step: step as u32,
                index,
                state: TaskState::Pending,
                run: 0,
                failures: 0,
            };
            tasks.extend((0..content.count).map(task));
        }
        let arrived_at = Millis(now.0.saturating_sub(age_ms));
        let ends_at = arrived_at.plus(limit_ms);
        Self { spec, terms, arrived_at, ends_at, tasks, begun: false }
    }

    /// Gives the latency objective, in milliseconds.
    pub fn objective_ms(&self) -> u64 {
        let work = self.spec.critical_path_ms() as f64 * self.terms.stretch;
        work as u64 + self.terms.target_ms
    }

    /// Gives the latest time at which the job can begin and still meet its objective.
    pub fn latest_start(&self) -> Millis {
        self.latest_start_for(self.objective_ms())
    }

    /// Gives the latest time at which beginning it still helps the caller.
    pub fn hopeless_from(&self) -> Millis {
        let limit_ms = self.ends_at.since(self.arrived_at);
        self.latest_start_for((self.objective_ms() * LATE_FACTOR).min(limit_ms))
    }

    fn latest_start_for(&self, span_ms: u64) -> Millis {
        self.arrived_at.plus(span_ms.saturating_sub(self.spec.critical_path_ms()))
    }

    /// Tells whether a step may run: all steps before it are done.
    pub fn step_is_due(&self, step: u32) -> bool {
        let after = &self.spec.steps[step as usize].after;
        let blocks =
            |task: &&Task| task.state != TaskState::Done && after.contains(&(task.step as usize));
        after.is_empty() || !self.tasks.iter().any(|task| blocks(&task))
    }

    /// Tells whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Gives the name of a task.
    pub fn name(&self, at: usize) -> TaskName {
        let task = &self.tasks[at];
        TaskName { job: Rc::clone(&self.spec.id), step: task.step, index: task.index }
    }
}
