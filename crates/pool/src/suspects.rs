//! Applies crashes of workers to the jobs of a pool: suspects are marked, convicted jobs fail.

use std::collections::BTreeSet;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::crashes::{Crash, CrashHistory, Suspicion};
use crate::job::{Job, Outcome, Reason, TaskState};
use crate::loss::WorkerLife;
use crate::pool::Pool;

impl Pool {
    /// Records a crash of a worker of any cell that happened `age_ms` ago.
    pub fn record_crash(&mut self, now: Millis, age_ms: u64, crash: &Crash) {
        if self.is_fenced() {
            return;
        }
        self.apply_crash(now, Millis(now.0.saturating_sub(age_ms)), crash);
        self.advance(now);
    }

    /// Withdraws a crash that another daemon reported, because the worker has replied again.
    pub fn retract_crash(&mut self, now: Millis, life: &WorkerLife) {
        self.apply_retraction(life);
        self.advance(now);
    }

    /// Marks the tasks under which the worker crashed, and fails the jobs that are convicted.
    pub(crate) fn apply_crash(&mut self, now: Millis, crashed_at: Millis, crash: &Crash) {
        self.crashes.record(crashed_at, crash);
        let involved: BTreeSet<&Rc<str>> = crash.tasks.iter().map(|task| &task.name.job).collect();
        let jobs: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| involved.contains(&job.spec.id))
            .map(|(number, _)| *number)
            .collect();
        for number in jobs {
            let Some(mut job) = self.jobs.remove(&number) else { continue };
            self.mark_suspects(&mut job);
            let is_convicted = self.crashes.convicts_job(&job.spec.id);
            self.jobs.insert(number, job);
            if is_convicted {
                self.answer(number, Outcome::Failed(Reason::CrashesWorkers));
                self.drop_job(now, number);
            }
        }
    }

    pub(crate) fn apply_retraction(&mut self, life: &WorkerLife) {
        self.crashes.retract(life);
        let crashes = &self.crashes;
        for job in self.jobs.values_mut() {
            mark_suspects(crashes, job);
        }
    }

    pub(crate) fn mark_suspects(&self, job: &mut Job) {
        mark_suspects(&self.crashes, job);
    }
}

fn mark_suspects(crashes: &CrashHistory, job: &mut Job) {
    if !crashes.involves_job(&job.spec.id) && !job.tasks.iter().any(|task| task.is_suspect) {
        return;
    }
    for task_index in 0..job.tasks.len() {
        let is_suspect = job.tasks[task_index].state != TaskState::Done
            && crashes.suspicion(&job.name(task_index)) != Suspicion::None;
        job.tasks[task_index].is_suspect = is_suspect;
    }
}
