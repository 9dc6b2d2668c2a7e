//! Recovers the answers of a dead home from its workers, without starting or barring anything.

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

/// How long tickets gather, so that one message a worker serves many of them.
const GATHER: Duration = Duration::from_millis(30);
/// How often workers are asked again while something still runs.
const ROUNDS: usize = 12;
const ROUND_PAUSE: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Lost {
    job: JobId,
    tasks: usize,
    told: oneshot::Sender<Option<Answer>>,
}

/// Jobs of dead homes that wait to be asked about.
#[derive(Debug, Default)]
pub struct Recovery {
    waiting: RefCell<Vec<Lost>>,
    asking: Cell<bool>,
    /// Tickets that were settled by the workers' words.
    pub proved: Cell<u64>,
    /// Tickets that could not be settled.
    pub unproved: Cell<u64>,
}

impl Daemon {
    /// Asks every worker about a job of a dead home; none where nothing can be proved.
    pub async fn recover(self: &Rc<Self>, job: JobId, request: &JobRequest) -> Option<Answer> {
        let answer = self.ask_workers(job, request.tasks.len()).await?;
        let same = answer.tasks.iter().zip(&request.tasks).all(|(end, task)| match end {
            TaskEnd::Done { digest, .. } => *digest == input_digest(&task.input),
            TaskEnd::Failed { .. } | TaskEnd::Stopped | TaskEnd::InDoubt | TaskEnd::NotStarted => {
                true
            }
        });
        Some(if same { answer } else { Answer::unknown(Reason::OtherRequest) })
    }

    async fn ask_workers(self: &Rc<Self>, job: JobId, tasks: usize) -> Option<Answer> {
        let (told, answer) = oneshot::channel();
        self.recovery.waiting.borrow_mut().push(Lost { job, tasks, told });
        if !self.recovery.asking.replace(true) {
            let daemon = Rc::clone(self);
            actix_rt::spawn(async move { daemon.ask_for_lost().await });
        }
        answer.await.ok().flatten()
    }

    async fn ask_for_lost(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(GATHER).await;
            let lost = self.recovery.waiting.take();
            if lost.is_empty() {
                self.recovery.asking.set(false);
                return;
            }
            self.settle_lost(lost).await;
        }
    }

    async fn settle_lost(&self, mut lost: Vec<Lost>) {
        for _ in 0..ROUNDS {
            let words = self.ask_all_workers(&lost).await;
            let mut running = Vec::new();
            for one in lost {
                let of_job = words.iter().filter_map(|by_job| by_job.get(&one.job));
                let of_job: Vec<(u32, TaskReport)> = of_job.flatten().cloned().collect();
                match conclude(one.tasks, &of_job) {
                    Conclusion::Proved(answer) => self.tell(one, Some(answer)),
                    Conclusion::StillRunning => running.push(one),
                    Conclusion::Inconclusive => self.tell(one, None),
                }
            }
            lost = running;
            if lost.is_empty() {
                return;
            }
            actix_rt::time::sleep(ROUND_PAUSE).await;
        }
        for one in lost {
            self.tell(one, None);
        }
    }

    async fn ask_all_workers(&self, lost: &[Lost]) -> Vec<JobWords> {
        let addrs = self.engine.borrow().worker_addrs();
        let jobs: Vec<JobId> = lost.iter().map(|lost| lost.job).collect();
        self.worker_messages.set(self.worker_messages.get() + 2 * addrs.len() as u64);
        let asked = addrs.iter().map(|addr| self.workers.recall(*addr, &jobs));
        let told = futures_util::future::join_all(asked).await;
        told.into_iter().filter_map(Result::ok).collect()
    }

    fn tell(&self, lost: Lost, answer: Option<Answer>) {
        let count = if answer.is_some() { &self.recovery.proved } else { &self.recovery.unproved };
        count.set(count.get() + 1);
        let _ = lost.told.send(answer);
    }
}

type JobWords = HashMap<JobId, Vec<(u32, TaskReport)>>;
