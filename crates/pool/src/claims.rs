//! Takes over what an earlier owner of the cell ordered.
//!
//! A run goes to the job that it belongs to, or is stopped. A task that may run somewhere starts only
//! once its run was found, or is surely over. See `docs/design/on-the-platform.md`.

use std::rc::Rc;

use dispatch::clock::Millis;

use crate::call::End;
use crate::job::{Earlier, Job, TaskState};
use crate::pool::{Pool, SILENCE_MS};
use crate::run::{Run, RunState};
use crate::worker::LEASE_BOUND_MS;

/// Gives how long runs of an earlier owner can go on unseen. An owner that fell silent learns of
/// it only as long after as a link may be silent.
pub(crate) const fn doubt_ms(earlier: &Earlier) -> u64 {
    match earlier {
        Earlier::Nothing => 0,
        Earlier::Known(_) => LEASE_BOUND_MS,
        Earlier::Unknown => LEASE_BOUND_MS + SILENCE_MS,
    }
}

impl Pool {
    /// Takes over runs and ends of the job that an earlier owner ordered.
    pub(crate) fn claim(&mut self, number: u64, job: &mut Job) {
        if self.workers.values().all(|worker| worker.orphaned_runs.is_empty()) {
            return;
        }
        for at in 0..job.tasks.len() {
            if matches!(job.tasks[at].state, TaskState::Pending | TaskState::InDoubt) {
                self.claim_task(number, job, at);
            }
        }
    }

    fn claim_task(&mut self, number: u64, job: &mut Job, at: usize) {
        let name = job.name(at);
        for (id, worker) in &mut self.workers {
            let Some(held) = worker.orphaned_runs.get(&name).copied() else { continue };
            let task = &mut job.tasks[at];
            let is_last = task.state == TaskState::InDoubt
                && task.run == held.run
                && task.worker.as_ref() == Some(id);
            match held.end {
                None => {
                    let step = &job.spec.steps[task.step as usize];
                    let run = Run {
                        of: Some((number, at)),
                        run: held.run,
                        room: step.each,
                        state: RunState::Running,
                        since: held.seen_at,
                        sent_at: held.seen_at,
                        expected_ms: step.estimate_ms,
                        ends_at: None,
                    };
                    worker.place(name.clone(), run);
                    task.state = TaskState::Placed;
                }
                Some(End::Done) => task.state = TaskState::Done,
                // Another run, started later, may still go on.
                Some(End::Failed | End::Interrupted) if !is_last => continue,
                Some(End::Failed) => {
                    task.state = TaskState::Pending;
                    task.failures += 1;
                }
                Some(End::Interrupted) => task.state = TaskState::Pending,
            }
            task.run = task.run.max(held.run);
            task.worker = Some(Rc::clone(id));
            job.begun = true;
            worker.orphaned_runs.remove(&name);
            return;
        }
    }

    /// Looks for runs of jobs in doubt, and ends the doubt where no run can be left.
    pub(crate) fn settle_doubts(&mut self, now: Millis) {
        let doubtful = self.jobs.iter().filter(|(_, job)| job.is_in_doubt());
        let numbers: Vec<u64> = doubtful.map(|(number, _)| *number).collect();
        for number in numbers {
            let Some(mut job) = self.jobs.remove(&number) else { continue };
            self.claim(number, &mut job);
            if now >= job.doubt_ends_at {
                for task in &mut job.tasks {
                    if task.state == TaskState::InDoubt {
                        task.state = TaskState::Pending;
                    }
                }
            }
            self.jobs.insert(number, job);
            self.finish_if_done(number);
        }
    }
}
