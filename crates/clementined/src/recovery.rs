//! Recovers answers for jobs whose home daemon is dead from the workers' records of their tasks,
//! without starting or fencing any task.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dispatch::answer::{Answer, Reason, TaskEnd};
use dispatch::jobs::JobRequest;
use dispatch::recovery::{Conclusion, TaskReport, conclude};
use dispatch::ticket::JobId;
use tokio::sync::oneshot;
use upstreams::wire::input_digest;

use crate::daemon::Daemon;

/// How long jobs are collected before the workers are queried, so that one message per worker
/// serves many jobs.
const BATCH_WINDOW: Duration = Duration::from_millis(30);
/// How often the workers are queried at most about a job with tasks that are still running.
const MAX_QUERY_ROUNDS: usize = 12;
const QUERY_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct LostJob {
    job: JobId,
    tasks: usize,
    reply: oneshot::Sender<Option<Answer>>,
}

/// Jobs of dead homes that wait for a query to the workers, and counters of the results.
#[derive(Debug, Default)]
pub struct Recovery {
    waiting: RefCell<Vec<LostJob>>,
    querying: Cell<bool>,
    /// Number of requests for lost jobs that were answered from the workers' reports.
    pub proved: Cell<u64>,
    /// Number of requests for lost jobs whose answer could not be determined.
    pub unproved: Cell<u64>,
}

impl Daemon {
    /// Queries every worker about a job of a dead home; returns `None` if its answer cannot be
    /// determined.
    ///
    /// If a task ran with an input other than that of `request`, the ticket was used for a
    /// different request and the answer says so.
    pub async fn recover_answer(
        self: &Rc<Self>,
        job: JobId,
        request: &JobRequest,
    ) -> Option<Answer> {
        let answer = self.query_workers(job, request.tasks.len()).await?;
        let same_input = answer.tasks.iter().zip(&request.tasks).all(|(end, task)| match end {
            TaskEnd::Done { digest, .. } => *digest == input_digest(&task.input),
            TaskEnd::Failed { .. } | TaskEnd::Stopped | TaskEnd::InDoubt | TaskEnd::NotStarted => {
                true
            }
        });
        Some(if same_input { answer } else { Answer::unknown(Reason::OtherRequest) })
    }

    async fn query_workers(self: &Rc<Self>, job: JobId, tasks: usize) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.recovery.waiting.borrow_mut().push(LostJob { job, tasks, reply });
        if !self.recovery.querying.replace(true) {
            let daemon = Rc::clone(self);
            actix_rt::spawn(async move { daemon.process_lost_jobs().await });
        }
        answer.await.ok().flatten()
    }

    async fn process_lost_jobs(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(BATCH_WINDOW).await;
            let lost = self.recovery.waiting.take();
            if lost.is_empty() {
                self.recovery.querying.set(false);
                return;
            }
            self.query_lost_jobs(lost).await;
        }
    }

    async fn query_lost_jobs(&self, mut lost: Vec<LostJob>) {
        for _ in 0..MAX_QUERY_ROUNDS {
            let reports = self.query_all_workers(&lost).await;
            let mut running = Vec::new();
            for lost_job in lost {
                let job_reports = reports.iter().filter_map(|by_job| by_job.get(&lost_job.job));
                let job_reports: Vec<(u32, TaskReport)> = job_reports.flatten().cloned().collect();
                match conclude(lost_job.tasks, &job_reports) {
                    Conclusion::Proved(answer) => self.finish(lost_job, Some(answer)),
                    Conclusion::StillRunning => running.push(lost_job),
                    Conclusion::Inconclusive => self.finish(lost_job, None),
                }
            }
            lost = running;
            if lost.is_empty() {
                return;
            }
            actix_rt::time::sleep(QUERY_INTERVAL).await;
        }
        for lost_job in lost {
            self.finish(lost_job, None);
        }
    }

    async fn query_all_workers(&self, lost: &[LostJob]) -> Vec<JobReports> {
        let addrs = self.engine.borrow().worker_addrs();
        let jobs: Vec<JobId> = lost.iter().map(|lost| lost.job).collect();
        self.worker_messages.set(self.worker_messages.get() + 2 * addrs.len() as u64);
        let queries = addrs.iter().map(|addr| self.workers.recall(*addr, &jobs));
        let replies = futures_util::future::join_all(queries).await;
        replies.into_iter().filter_map(Result::ok).collect()
    }

    /// Sends the result to the waiting request and counts it.
    fn finish(&self, lost: LostJob, answer: Option<Answer>) {
        let count = if answer.is_some() { &self.recovery.proved } else { &self.recovery.unproved };
        count.set(count.get() + 1);
        let _ = lost.reply.send(answer);
    }
}

/// Task reports of one worker by job, each with the index of its task.
type JobReports = HashMap<JobId, Vec<(u32, TaskReport)>>;
