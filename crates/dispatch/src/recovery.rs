//! Answers for a job whose home daemon is dead, from the workers' records of its tasks.
//!
//! No task is started or fenced. An answer is given only if the outcome of every task is known:
//! that a task never started cannot be proved this way, since a worker that ran it may have been
//! removed or restarted. See `docs/design/tickets.md`.

use crate::answer::{Answer, Reason, TaskEnd, Verdict};

/// State of one task as a worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskReport {
    /// The task has ended on the worker, with this outcome.
    Ended(TaskEnd),
    /// The task is still running on the worker.
    Running,
}

/// Result of combining the reports of all workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The final answer.
    Proved(Answer),
    /// At least one task is still running; ask the workers again later.
    StillRunning,
    /// The outcome of at least one task is unknown, or the job has no tasks.
    Inconclusive,
}

/// Determines the answer for a job of `tasks` tasks from the reports of all workers.
///
/// Each report has the index of its task; reports with an index out of range are ignored, unless
/// the task is still running.
pub fn conclude(tasks: usize, reports: &[(u32, TaskReport)]) -> Conclusion {
    let mut ends: Vec<Option<TaskEnd>> = vec![None; tasks];
    for (index, report) in reports {
        match (report, ends.get_mut(*index as usize)) {
            (TaskReport::Running, _) => return Conclusion::StillRunning,
            (TaskReport::Ended(end), Some(slot)) => *slot = Some(end.clone()),
            (TaskReport::Ended(_), None) => {}
        }
    }
    let ends: Option<Vec<TaskEnd>> = ends.into_iter().collect();
    let Some(tasks) = ends.filter(|ends| !ends.is_empty()) else {
        return Conclusion::Inconclusive;
    };
    let all_done = tasks.iter().all(|end| matches!(end, TaskEnd::Done { .. }));
    let (verdict, reason) = if all_done {
        (Verdict::Complete, Reason::Done)
    } else {
        (Verdict::Failed, Reason::TaskFailed)
    };
    Conclusion::Proved(Answer { verdict, reason, retry_after_ms: None, tasks })
}

#[cfg(test)]
mod tests {
    use super::{Conclusion, TaskReport, conclude};
    use crate::answer::{TaskEnd, Verdict};

    #[test]
    fn answer_needs_the_outcome_of_every_task() {
        let done = TaskReport::Ended(TaskEnd::Done { output: "x".into(), digest: "y".into() });
        let stopped = TaskReport::Ended(TaskEnd::Stopped);
        let cases = [
            (vec![(0, done.clone()), (1, done.clone())], Some(Verdict::Complete)),
            (vec![(1, stopped), (0, done.clone())], Some(Verdict::Failed)),
            (vec![(0, done.clone())], None),
            (vec![(0, done.clone()), (2, done.clone())], None),
            (Vec::new(), None),
        ];
        for (reports, expected) in cases {
            let verdict = match conclude(2, &reports) {
                Conclusion::Proved(answer) => Some(answer.verdict),
                Conclusion::StillRunning | Conclusion::Inconclusive => None,
            };
            assert_eq!(verdict, expected, "{reports:?}");
        }
        assert_eq!(conclude(2, &[(0, done), (1, TaskReport::Running)]), Conclusion::StillRunning);
        assert_eq!(conclude(0, &[]), Conclusion::Inconclusive);
    }
}
