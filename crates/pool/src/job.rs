//! Job specifications as callers send them, and the progress of their tasks.

use std::fmt;
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::catalogue::Terms;
use crate::resources::Resources;

/// A step of a job: a number of tasks with equal resource demands.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task occupies.
    pub task_resources: Resources,
    /// Run time of a task as declared by the caller, in milliseconds. Often far from the actual
    /// run time.
    pub estimate_ms: u64,
    /// Indices of the preceding steps that must be done before this one may start.
    pub after: Vec<usize>,
    /// Label that a worker must have to run the tasks; `None` allows any worker.
    pub required_label: Option<String>,
    /// Label of the rack that holds the input data. Tasks run slower in other racks.
    pub data_rack: Option<String>,
    /// Maximum number of tasks of this step on one worker at a time; zero for no limit.
    pub max_per_worker: u32,
}

/// A job as the caller specified it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Id that the caller gave to the job. Task names begin with it.
    pub id: Rc<str>,
    /// Payload that is passed to every task unchanged.
    pub payload: Rc<str>,
    /// Steps in the order that the caller sent; [`Step::after`] refers to their indices.
    pub steps: Vec<Step>,
}

impl JobSpec {
    /// Returns the number of tasks of all steps.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Returns the work of all tasks by their declared run times, in millicore-milliseconds.
    pub fn declared_work(&self) -> u64 {
        let work = self.steps.iter().map(|step| {
            let task_work = step.estimate_ms.saturating_mul(step.task_resources.cpu_millicores);
            task_work.saturating_mul(u64::from(step.count))
        });
        work.fold(0, u64::saturating_add)
    }

    /// Returns the run time of the longest chain of dependent steps, in milliseconds, given the
    /// run time `step_ms` of each step.
    pub fn critical_path_ms(&self, step_ms: impl Fn(&Step) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begins = step.after.iter().filter_map(|step| ends.get(*step)).max();
            ends.push(begins.copied().unwrap_or(0) + step_ms(step));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// Name of a task, under which workers know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskName {
    /// Id of the job.
    pub job: Rc<str>,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.0.{}.{}", self.job, self.step, self.index)
    }
}

impl TaskName {
    /// Parses a task name. Returns `None` if the name is malformed or belongs to a job that runs
    /// on a schedule.
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

/// Why a job was not run or not completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reason {
    /// The tasks cannot all start at once, and the submission forbids queueing.
    Busy,
    /// The queued work would make the job too late.
    Overload,
    /// No known worker can run some task of the job, even when idle.
    NoWorker,
    /// The caller's time limit has passed.
    TimeOver,
    /// A task has failed as many times as the route allows.
    TaskFailed,
    /// No daemon that owns suitable workers could be reached in time.
    NoOwner,
    /// The job was queued while the cell's new owner did not know its workers yet, and turned out
    /// to be too much for them. Other cells may have free resources.
    NewOwner,
    /// A task of the job crashes the workers that start it.
    CrashesWorkers,
    /// A worker crashed under a task of the job, and starting it again would not serve the caller in
    /// time.
    WorkerCrashed,
    /// The job's route is confined because its tasks crash workers, and the workers left to it are
    /// busy. Jobs of other routes may find free ones.
    RouteConfined,
    /// Operators have evacuated the zone of the workers. Cells of other zones may have free
    /// resources.
    Evacuated,
    /// The submitter withdrew the job while it was queued, because another cell can start it.
    Withdrawn,
}

impl Reason {
    /// Returns the name under which the reason is logged.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Overload => "overload",
            Self::NoWorker => "no_worker",
            Self::TimeOver => "time_over",
            Self::TaskFailed => "task_failed",
            Self::NoOwner => "no_owner",
            Self::NewOwner => "new_owner",
            Self::CrashesWorkers => "crashes_workers",
            Self::WorkerCrashed => "worker_crashed",
            Self::RouteConfined => "route_confined",
            Self::Evacuated => "evacuated",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// Progress of a job under the previous owner of its cell. Tasks are identified by their index in
/// the job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Indices of the completed tasks.
    pub done: Vec<u32>,
    /// Tasks that a worker is running or may be running.
    pub placed: Vec<Placed>,
    /// Indices of the tasks of which runs have failed, and the numbers of these runs.
    pub failures: Vec<(u32, u32)>,
}

impl Progress {
    /// Whether tasks may have runs of an owner before the one that reports them, which that one has not
    /// found.
    pub(crate) fn has_unknown_runs(&self) -> bool {
        self.placed.iter().any(|placed| placed.worker.is_empty())
    }
}

/// The most recent start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Placed {
    /// Index of the task in the job.
    pub task_index: u32,
    /// Number of the start. Distinguishes the starts on one worker, but not those on different
    /// workers.
    pub run: u32,
    /// Id of the worker; empty if it is not known.
    pub worker: Rc<str>,
}

/// Outcome of a job at the daemon that owns the workers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// The job failed for good.
    Failed(Reason),
    /// No task was started.
    NotRun {
        /// Why the job was refused.
        reason: Reason,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job was started and then abandoned before completion; its remaining runs are stopped.
    Aborted(Reason),
    /// Another daemon took over the cell, including the runs on its workers.
    Moved(Progress),
}

impl Outcome {
    /// Returns the name under which the outcome is logged: that of its reason, if it has one.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed(reason) | Self::NotRun { reason, .. } | Self::Aborted(reason) => {
                reason.as_str()
            }
            Self::Moved(_) => "moved",
        }
    }
}

/// What is known about a job's progress under the previous owner of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PreviousOwner {
    /// The job was not submitted to a previous owner.
    None,
    /// The previous owner reported the progress when it gave up the cell.
    Reported(Progress),
    /// The previous owner stopped responding; any task may be running.
    Unresponsive,
}

/// Scheduling state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for a worker.
    Pending,
    /// Runs, or may run, on a worker.
    Placed,
    /// The previous owner of the cell may have started the task, and its run has not been found
    /// on any worker.
    InDoubt,
    /// Completed.
    Done,
}

/// One task of a job in progress.
#[derive(Clone, Debug)]
pub struct Task {
    /// Index of the task's step in the job.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
    /// Scheduling state.
    pub state: TaskState,
    /// Number of the most recent start; zero before the first.
    pub run: u32,
    /// Worker of the most recent start; `None` if there was none or the worker is not known.
    pub worker: Option<Rc<str>>,
    /// Number of runs that ended in failure.
    pub failures: u32,
    /// Whether a worker has crashed under the task, so that it may not share one with other jobs.
    pub is_suspect: bool,
}

/// A job in progress.
#[derive(Debug)]
pub struct Job {
    /// Id, payload and steps of the job, as the caller sent them.
    pub spec: JobSpec,
    /// Service level of the job's route: latency objective, priority and attempts per task.
    pub terms: Terms,
    /// Arrival time of the caller's request, on this daemon's clock.
    pub arrived_at: Millis,
    /// When the job was submitted to this owner.
    pub(crate) submitted_at: Millis,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
    /// State of every task, ordered by step and then by index in the step.
    pub tasks: Vec<Task>,
    /// Whether any task has been sent to a worker, by this or a previous owner of the cell.
    pub started: bool,
    /// Expected run time of the longest chain of dependent steps, in milliseconds.
    pub expected_ms: u64,
    /// Expected run time of one task, for each step, in milliseconds.
    pub task_ms: Vec<u64>,
    /// Time at which every run of the previous owner that has not been found has certainly ended.
    pub in_doubt_until: Millis,
    /// Latest time at which a submitter of the job was known to wait.
    pub(crate) contact_at: Millis,
    /// Whether a run of an earlier submission may have been active when this one arrived.
    pub(crate) had_earlier_run: bool,
}

impl Job {
    /// Creates a job whose request arrived `age_ms` ago. The expected run times are set to the
    /// declared ones; [`Pool::submit`](crate::pool::Pool::submit) replaces them by estimates.
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
                is_suspect: false,
            };
            tasks.extend((0..content.count).map(task));
        }
        let arrived_at = Millis(now.0.saturating_sub(age_ms));
        let deadline = arrived_at.plus(limit_ms);
        let expected_ms = spec.critical_path_ms(|step| step.estimate_ms);
        let task_ms = spec.steps.iter().map(|step| step.estimate_ms).collect();
        Self {
            spec,
            terms,
            arrived_at,
            submitted_at: now,
            deadline,
            tasks,
            started: false,
            expected_ms,
            task_ms,
            in_doubt_until: now,
            contact_at: now,
            had_earlier_run: false,
        }
    }

    /// Applies the progress that the job made under the previous owner. Tasks that it may have
    /// started stay in doubt for at most `in_doubt_ms`.
    pub fn apply_previous_progress(
        &mut self,
        previous_owner: &PreviousOwner,
        now: Millis,
        in_doubt_ms: u64,
    ) {
        match previous_owner {
            PreviousOwner::None => return,
            PreviousOwner::Reported(progress) => {
                for task_index in &progress.done {
                    if let Some(task) = self.tasks.get_mut(*task_index as usize) {
                        task.state = TaskState::Done;
                    }
                }
                for placed in &progress.placed {
                    if let Some(task) = self.tasks.get_mut(placed.task_index as usize) {
                        task.state = TaskState::InDoubt;
                        task.run = placed.run;
                        task.worker = Some(Rc::clone(&placed.worker));
                    }
                }
                for (task_index, failures) in &progress.failures {
                    if let Some(task) = self.tasks.get_mut(*task_index as usize) {
                        task.failures = *failures;
                    }
                }
            }
            PreviousOwner::Unresponsive => {
                for task in &mut self.tasks {
                    task.state = TaskState::InDoubt;
                }
            }
        }
        self.started = true;
        self.in_doubt_until = now.plus(in_doubt_ms);
    }

    /// Returns the expected work of all tasks, in millicore-milliseconds.
    pub fn total_work(&self) -> u64 {
        let steps = self.spec.steps.iter().zip(&self.task_ms);
        let works = steps.map(|(step, task_ms)| {
            let task_work = task_ms.saturating_mul(step.task_resources.cpu_millicores);
            task_work.saturating_mul(u64::from(step.count))
        });
        works.fold(0, u64::saturating_add)
    }

    /// Returns the number of tasks that wait for a worker.
    pub fn pending_tasks(&self) -> usize {
        self.tasks.iter().filter(|task| task.state == TaskState::Pending).count()
    }

    /// Returns whether any task waits for a worker.
    pub fn has_pending(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::Pending)
    }

    /// Returns whether any task waits for free resources that other jobs compete for. A suspect
    /// waits for a worker of its own instead.
    pub fn has_unsuspected_pending(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::Pending && !task.is_suspect)
    }

    /// Returns whether a task under which a worker has crashed waits to be started again.
    pub fn has_pending_suspect(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::Pending && task.is_suspect)
    }

    /// Returns whether any task is in doubt: a previous owner may have started it, and its run
    /// has not been found.
    pub fn is_in_doubt(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::InDoubt)
    }

    /// Returns the progress that the next owner of the cell needs to continue the job.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for (task_index, task) in self.tasks.iter().enumerate() {
            match task.state {
                TaskState::Done => progress.done.push(task_index as u32),
                TaskState::Placed | TaskState::InDoubt => {
                    let worker = task.worker.clone().unwrap_or_default();
                    progress.placed.push(Placed {
                        task_index: task_index as u32,
                        run: task.run,
                        worker,
                    });
                }
                TaskState::Pending => {}
            }
            if task.failures > 0 {
                progress.failures.push((task_index as u32, task.failures));
            }
        }
        progress
    }

    /// Returns the latency objective, counted from the arrival of the request, in milliseconds.
    pub fn objective_ms(&self) -> u64 {
        self.terms.objective_ms(self.expected_ms)
    }

    /// Returns the latest time at which the job can start and still meet its latency objective.
    pub fn latest_start(&self) -> Millis {
        self.latest_start_for(self.objective_ms().min(self.limit_ms()))
    }

    /// Returns the latest time at which starting the job still gives the caller a useful answer.
    /// An answer is of no use after [`Terms::useful_ms`] or when the caller stops waiting.
    pub fn latest_useful_start(&self) -> Millis {
        self.latest_start_for(self.terms.useful_ms(self.expected_ms).min(self.limit_ms()))
    }

    /// Returns the time after which an answer is of no use to the caller.
    pub fn useful_until(&self) -> Millis {
        self.arrived_at.plus(self.terms.useful_ms(self.expected_ms).min(self.limit_ms()))
    }

    fn limit_ms(&self) -> u64 {
        self.deadline.since(self.arrived_at)
    }

    fn latest_start_for(&self, span_ms: u64) -> Millis {
        self.arrived_at.plus(span_ms.saturating_sub(self.expected_ms))
    }

    /// Returns whether a step may run, that is, whether all steps that it depends on are done.
    pub fn is_step_ready(&self, step: u32) -> bool {
        let after = &self.spec.steps[step as usize].after;
        let blocks =
            |task: &&Task| task.state != TaskState::Done && after.contains(&(task.step as usize));
        after.is_empty() || !self.tasks.iter().any(|task| blocks(&task))
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Returns the name of the task at an index in the job.
    pub fn name(&self, task_index: usize) -> TaskName {
        let task = &self.tasks[task_index];
        TaskName { job: Rc::clone(&self.spec.id), step: task.step, index: task.index }
    }
}
