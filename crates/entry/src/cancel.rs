//! Ends jobs that their callers cancel, at whichever daemon serves them.
//!
//! A best-effort job is known only to the daemon that holds its caller's connection. A cancel may
//! arrive at any daemon, which asks the others. Dropping the request stops the job's runs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::{Either, join_all, select};
use tokio::sync::Notify;

use crate::fleet::{Ask, Tell};
use crate::state::Entry;

/// How long other daemons may take to tell whether they serve a job, in milliseconds.
const ASK_MS: u64 = 250;

/// The jobs whose callers wait here.
#[derive(Debug, Default)]
pub struct OpenJobs {
    cancels: RefCell<HashMap<Rc<str>, Rc<Notify>>>,
}

impl OpenJobs {
    /// Runs a request for a job until it ends or the job is cancelled; none where it was cancelled.
    pub async fn run<T>(&self, job: &Rc<str>, request: impl Future<Output = T>) -> Option<T> {
        let cancel = Rc::clone(self.cancels.borrow_mut().entry(Rc::clone(job)).or_default());
        let open = Open { jobs: self, job, cancel };
        let cancelled = open.cancel.notified();
        match select(std::pin::pin!(request), std::pin::pin!(cancelled)).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    }

    /// Tells whether a job's caller waits here.
    pub fn contains(&self, job: &str) -> bool {
        self.cancels.borrow().contains_key(job)
    }

    /// Ends all requests for a job. Tells whether there was any.
    pub fn cancel(&self, job: &str) -> bool {
        let cancel = self.cancels.borrow().get(job).cloned();
        if let Some(cancel) = &cancel {
            cancel.notify_waiters();
        }
        cancel.is_some()
    }
}

/// Forgets a job with the last of its requests.
struct Open<'a> {
    jobs: &'a OpenJobs,
    job: &'a Rc<str>,
    cancel: Rc<Notify>,
}

/// The map and the last request hold a job's notification.
const LAST_REFERENCES: usize = 2;

impl Drop for Open<'_> {
    fn drop(&mut self) {
        if Rc::strong_count(&self.cancel) <= LAST_REFERENCES {
            self.jobs.cancels.borrow_mut().remove(self.job);
        }
    }
}

impl Entry {
    /// Cancels a job here or at another daemon. Tells whether any served it.
    pub async fn cancel_job(self: &Rc<Self>, job: &str) -> bool {
        let found = self.open_jobs.cancel(job) || self.cancel_elsewhere(job).await;
        log::info!("part=callers event=cancel job={job} found={found}");
        found
    }

    async fn cancel_elsewhere(&self, job: &str) -> bool {
        let job: Rc<str> = Rc::from(job);
        let others: Vec<SocketAddr> = self.others.borrow().keys().copied().collect();
        let asked = others.into_iter().map(|addr| self.cancel_at(addr, &job));
        join_all(asked).await.contains(&true)
    }

    async fn cancel_at(&self, addr: SocketAddr, job: &Rc<str>) -> bool {
        match self.links.call(addr, Ask::CancelOpen(Rc::clone(job)), ASK_MS).await {
            Ok(told) => matches!(told, Tell::Cancelled),
            Err(error) => {
                let job = job.as_ref();
                log::info!("part=callers event=cancel_unasked job={job} why=\"{error}\"");
                false
            }
        }
    }
}
