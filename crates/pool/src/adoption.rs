//! Adopts the runs that the previous owner of the cell started.
//!
//! An orphaned run is adopted by the job that it belongs to, or stopped. A task that may already
//! be running is started again only after its run was found or has certainly ended. See
//! `docs/design/on-the-platform.md`.

use std::cmp::Reverse;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::bounds::{LINK_TIMEOUT_MS, MAX_LEASE_BOUND_MS, STALL_MS};
use crate::call::End;
use crate::job::{Job, PreviousOwner, TaskName, TaskState};
use crate::pool::Pool;
use crate::run::{InterruptionEvidence, Run, RunState, Timing};

/// How long a run that the previous owner handed over can continue without being found, in
/// milliseconds.
pub const IN_DOUBT_REPORTED_MS: u64 = MAX_LEASE_BOUND_MS + STALL_MS;
/// The same for a previous owner that stopped responding. An owner of the version before this one
/// does not know [`CONTACT_MS`](crate::bounds::CONTACT_MS), and starts runs until it notices the
/// broken link.
pub const IN_DOUBT_UNRESPONSIVE_MS: u64 = LINK_TIMEOUT_MS + MAX_LEASE_BOUND_MS + STALL_MS;

/// Returns how long runs of the previous owner can continue without being found, in
/// milliseconds. An owner that stopped responding may still start runs until it notices the
/// broken link, which takes up to [`LINK_TIMEOUT_MS`]. Its last start may have reached a process of the
/// worker that it did not know, which shortens the lease to its maximum only.
pub(crate) fn in_doubt_ms(previous_owner: &PreviousOwner) -> u64 {
    match previous_owner {
        PreviousOwner::None => 0,
        // The runs may be those of an owner that stopped responding to the one that reports them.
        PreviousOwner::Reported(progress) if progress.has_unknown_runs() => {
            IN_DOUBT_UNRESPONSIVE_MS
        }
        PreviousOwner::Reported(_) => IN_DOUBT_REPORTED_MS,
        PreviousOwner::Unresponsive => IN_DOUBT_UNRESPONSIVE_MS,
    }
}

impl Pool {
    /// Adopts the orphaned runs of a job, and the results of those that have ended.
    pub(crate) fn adopt_runs(&mut self, number: u64, job: &mut Job) {
        if self.workers.values().all(|worker| worker.orphaned_runs.is_empty()) {
            return;
        }
        for task_index in 0..job.tasks.len() {
            if matches!(job.tasks[task_index].state, TaskState::Pending | TaskState::InDoubt) {
                self.adopt_task_run(number, job, task_index);
            }
        }
    }

    /// Adopts the latest run of a task that has been found, since an earlier one may have lapsed.
    fn adopt_task_run(&mut self, number: u64, job: &mut Job, task_index: usize) {
        let name = job.name(task_index);
        let mut found: Vec<_> = self
            .workers
            .iter_mut()
            .filter_map(|(id, worker)| Some((*worker.orphaned_runs.get(&name)?, id, worker)))
            .collect();
        found.sort_by_key(|(orphan, ..)| Reverse(orphan.run));
        for (orphan, id, worker) in found {
            let task = &mut job.tasks[task_index];
            let is_latest_run = task.state == TaskState::InDoubt
                && task.run == orphan.run
                && task.worker.as_ref() == Some(id);
            // The run that the previous owner named is later, and may be active elsewhere.
            if orphan.end != Some(End::Done) && orphan.run < task.run {
                continue;
            }
            match orphan.end {
                None => {
                    let step = &job.spec.steps[task.step as usize];
                    let run = Run {
                        task_ref: Some((number, task_index)),
                        run: orphan.run,
                        route: Rc::clone(&job.terms.route),
                        is_suspect: task.is_suspect,
                        token: worker.token,
                        addr: worker.entry.addr,
                        process: None,
                        resources: step.task_resources,
                        state: RunState::Running,
                        since: orphan.seen_at,
                        sent_at: orphan.seen_at,
                        expected_ms: step.estimate_ms,
                        timing: Timing::Adopted,
                        ends_at: None,
                    };
                    worker.place_adopted(name.clone(), run);
                    task.state = TaskState::Placed;
                }
                Some(End::Done) => task.state = TaskState::Done,
                // A run that was started later may still be active.
                Some(End::Failed | End::Interrupted) if !is_latest_run => continue,
                Some(End::Failed) => {
                    task.state = TaskState::Pending;
                    task.failures += 1;
                }
                Some(End::Interrupted) => task.state = TaskState::Pending,
            }
            task.run = task.run.max(orphan.run);
            task.worker = Some(Rc::clone(id));
            job.started = true;
            worker.orphaned_runs.remove(&name);
            return;
        }
    }

    /// Adopts a run that has just been found, if its job waits for the task to start, and stops it at
    /// once if the job has no use for it.
    pub(crate) fn claim_orphan(
        &mut self,
        now: Millis,
        id: Option<&str>,
        name: &TaskName,
        run: u32,
    ) {
        let Some(number) = self.by_id.get(&name.job).copied() else { return };
        let Some(mut job) = self.jobs.remove(&number) else { return };
        self.adopt_runs(number, &mut job);
        self.jobs.insert(number, job);
        let Some(id) = id else { return };
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.record_orphan_stop(name, now) {
            self.send_stop(id, name, run);
        }
    }

    /// Searches for the runs of tasks in doubt. Tasks become pending again once the worker that the
    /// previous owner named has no such run, or once none can be left anywhere.
    pub(crate) fn resolve_in_doubt(&mut self, now: Millis) {
        let in_doubt = self.jobs.iter().filter(|(_, job)| job.is_in_doubt());
        let numbers: Vec<u64> = in_doubt.map(|(number, _)| *number).collect();
        for number in numbers {
            let Some(mut job) = self.jobs.remove(&number) else { continue };
            self.adopt_runs(number, &mut job);
            let mut ended = Vec::new();
            for task_index in 0..job.tasks.len() {
                if let Some(evidence) = self.end_of_doubt(&job, task_index, now) {
                    job.tasks[task_index].state = TaskState::Pending;
                    ended.push((task_index, evidence));
                }
            }
            self.jobs.insert(number, job);
            for (task_index, evidence) in ended {
                self.report_interruption(number, task_index, evidence);
            }
            self.finish_if_done(number);
            self.fail_if_exhausted(now, number);
        }
    }

    /// Returns what shows that no run of a task in doubt is active or will begin, or `None` if one may be.
    fn end_of_doubt(
        &mut self,
        job: &Job,
        task_index: usize,
        now: Millis,
    ) -> Option<InterruptionEvidence> {
        let task = job.tasks.get(task_index).filter(|task| task.state == TaskState::InDoubt)?;
        if now >= job.in_doubt_until {
            return Some(InterruptionEvidence::NotFound);
        }
        let worker = self.workers.get_mut(task.worker.as_deref()?)?;
        let is_absent = worker.confirms_absence(&job.name(task_index), job.submitted_at, now);
        is_absent.then_some(InterruptionEvidence::Absent)
    }
}
