//! Jobs as callers send them, and their progress.

use std::fmt;
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::catalogue::Terms;
use crate::room::Room;

/// One step: tasks of one size.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
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

    /// Gives the time of the longest chain of steps, in milliseconds, where each step takes as
    /// long as `step_ms` says.
    pub fn critical_path_ms(&self, step_ms: impl Fn(&Step) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begins = step.after.iter().filter_map(|at| ends.get(*at)).max();
            ends.push(begins.copied().unwrap_or(0) + step_ms(step));
        }
        ends.into_iter().max().unwrap_or(0)
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reason {
    /// Not all tasks can begin at once, and the job was not to wait here.
    Busy,
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
            Self::Busy => "busy",
            Self::Overload => "overload",
            Self::NoWorker => "no_worker",
            Self::TimeOver => "time_over",
            Self::TaskFailed => "task_failed",
            Self::NoOwner => "no_owner",
        }
    }
}

/// What the earlier owner of a cell knows of a job's tasks, by their places in the job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Tasks that are done.
    pub done: Vec<u32>,
    /// Tasks that a worker has, or may have.
    pub placed: Vec<Placed>,
}

/// A task's last start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Placed {
    /// The task's place in the job.
    pub at: u32,
    /// The number of the start. It tells starts at one worker apart, not those at several.
    pub run: u32,
    /// The worker.
    pub worker: Rc<str>,
}

/// What became of a job at the daemon that owns the workers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
    /// Its workers went over to another daemon, with the runs that they have.
    Moved(Progress),
}

impl Outcome {
    /// Gives the outcome as it stands in logs: a reason, where there is one.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed(reason) | Self::NotRun { reason, .. } | Self::GivenUp(reason) => {
                reason.as_str()
            }
            Self::Moved(_) => "moved",
        }
    }
}

/// What is known of a job that was submitted to an earlier owner of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Earlier {
    /// There was none.
    Nothing,
    /// What that owner told when it gave the cell up.
    Known(Progress),
    /// That owner fell silent: any task may be running.
    Unknown,
}

/// The state of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It waits for a worker.
    Pending,
    /// A worker has it, or may have it.
    Placed,
    /// An earlier owner of the cell may have started it, and no worker was found to have it.
    InDoubt,
    /// It is done.
    Done,
}

/// One task of a job in progress.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its step.
    pub step: u32,
    /// Its place in the step.
    pub index: u32,
    /// Its state.
    pub state: TaskState,
    /// The number of its last start.
    pub run: u32,
    /// The worker of its last start.
    pub worker: Option<Rc<str>>,
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
    /// How long the longest chain of steps is expected to run, in milliseconds.
    pub expected_ms: u64,
    /// How long a task of each step is expected to run, in milliseconds.
    pub task_ms: Vec<u64>,
    /// When the runs of an earlier owner that were not found are surely over.
    pub doubt_ends_at: Millis,
}

/// The latency objective's multiple up to which an answer still counts as late, and not as lost.
pub const LATE_FACTOR: u64 = 3;

impl Job {
    /// Builds a job whose request is `age_ms` old.
    /// It is expected to run as long as declared, until the caller of this says better.
    pub fn new(spec: JobSpec, terms: Terms, now: Millis, age_ms: u64, limit_ms: u64) -> Self {
        let mut tasks = Vec::with_capacity(spec.task_count());
        for (step, content) in spec.steps.iter().enumerate() {
            let task = |index| Task {
                step: step as u32,
                index,
                state: TaskState::Pending,
                run: 0,
                worker: None,
                failures: 0,
            };
            tasks.extend((0..content.count).map(task));
        }
        let arrived_at = Millis(now.0.saturating_sub(age_ms));
        let ends_at = arrived_at.plus(limit_ms);
        let expected_ms = spec.critical_path_ms(|step| step.estimate_ms);
        let task_ms = spec.steps.iter().map(|step| step.estimate_ms).collect();
        Self {
            spec,
            terms,
            arrived_at,
            ends_at,
            tasks,
            begun: false,
            expected_ms,
            task_ms,
            doubt_ends_at: now,
        }
    }

    /// Takes in what an earlier owner did. Tasks that it may have started stay in doubt for
    /// `doubt_ms` at the most.
    pub fn take_earlier(&mut self, earlier: &Earlier, now: Millis, doubt_ms: u64) {
        match earlier {
            Earlier::Nothing => return,
            Earlier::Known(progress) => {
                for at in &progress.done {
                    if let Some(task) = self.tasks.get_mut(*at as usize) {
                        task.state = TaskState::Done;
                    }
                }
                for placed in &progress.placed {
                    if let Some(task) = self.tasks.get_mut(placed.at as usize) {
                        task.state = TaskState::InDoubt;
                        task.run = placed.run;
                        task.worker = Some(Rc::clone(&placed.worker));
                    }
                }
            }
            Earlier::Unknown => {
                for task in &mut self.tasks {
                    task.state = TaskState::InDoubt;
                }
            }
        }
        self.begun = true;
        self.doubt_ends_at = now.plus(doubt_ms);
    }

    /// Tells whether any task waits for a worker.
    pub fn has_pending(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::Pending)
    }

    /// Tells whether any task is in doubt.
    pub fn is_in_doubt(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::InDoubt)
    }

    /// Gives what the next owner of the cell has to know.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for (at, task) in self.tasks.iter().enumerate() {
            match task.state {
                TaskState::Done => progress.done.push(at as u32),
                TaskState::Placed | TaskState::InDoubt => {
                    let worker = task.worker.clone().unwrap_or_default();
                    progress.placed.push(Placed { at: at as u32, run: task.run, worker });
                }
                TaskState::Pending => {}
            }
        }
        progress
    }

    /// Gives the latency objective, in milliseconds.
    pub fn objective_ms(&self) -> u64 {
        let work = self.expected_ms as f64 * self.terms.stretch;
        work as u64 + self.terms.target_ms
    }

    /// Gives the latest time at which the job can begin and still meet its objective.
    pub fn latest_start(&self) -> Millis {
        self.latest_start_for(self.objective_ms().min(self.limit_ms()))
    }

    /// Gives the latest time at which beginning it still helps the caller.
    pub fn hopeless_from(&self) -> Millis {
        self.latest_start_for((self.objective_ms() * LATE_FACTOR).min(self.limit_ms()))
    }

    fn limit_ms(&self) -> u64 {
        self.ends_at.since(self.arrived_at)
    }

    fn latest_start_for(&self, span_ms: u64) -> Millis {
        self.arrived_at.plus(span_ms.saturating_sub(self.expected_ms))
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
