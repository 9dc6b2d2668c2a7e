//! Cancels jobs on behalf of their callers.
//!
//! A best-effort job is known only to the daemon that holds its caller's connection. A cancellation
//! may arrive at any daemon, which then forwards it to all others. Dropping the caller's request
//! stops the job's runs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::{Either, join_all, select};
use tokio::sync::Notify;

use crate::protocol::{Reply, Request};
use crate::state::Entry;

/// Time-out for the replies of other daemons to a cancellation, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 250;

/// Jobs whose callers are connected to this daemon.
#[derive(Debug, Default)]
pub struct OpenJobs {
    notifications: RefCell<HashMap<Rc<str>, Rc<Notify>>>,
}

impl OpenJobs {
    /// Runs a request for a job until it completes or the job is cancelled. Returns `None` if it
    /// was cancelled.
    pub async fn run<T>(&self, job: &Rc<str>, request: impl Future<Output = T>) -> Option<T> {
        let cancel = Rc::clone(self.notifications.borrow_mut().entry(Rc::clone(job)).or_default());
        let guard = OpenJobGuard { jobs: self, job, cancel };
        let cancelled = guard.cancel.notified();
        match select(std::pin::pin!(request), std::pin::pin!(cancelled)).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    }

    /// Whether a caller of the job is connected to this daemon.
    pub fn contains(&self, job: &str) -> bool {
        self.notifications.borrow().contains_key(job)
    }

    /// Cancels all requests for a job. Returns whether there were any.
    pub fn cancel(&self, job: &str) -> bool {
        let cancel = self.notifications.borrow().get(job).cloned();
        if let Some(cancel) = &cancel {
            cancel.notify_waiters();
        }
        cancel.is_some()
    }
}

/// Removes a job from [`OpenJobs`] when the last of its requests ends.
struct OpenJobGuard<'a> {
    jobs: &'a OpenJobs,
    job: &'a Rc<str>,
    cancel: Rc<Notify>,
}

/// Number of references to a job's notification when only one request is left: one is held by the
/// map and one by that request.
const LAST_REQUEST_REFERENCES: usize = 2;

impl Drop for OpenJobGuard<'_> {
    fn drop(&mut self) {
        if Rc::strong_count(&self.cancel) <= LAST_REQUEST_REFERENCES {
            self.jobs.notifications.borrow_mut().remove(self.job);
        }
    }
}

impl Entry {
    /// Cancels a job at this daemon or, if its caller is not connected here, at the others. Returns
    /// whether the job was found.
    pub async fn cancel_job(self: &Rc<Self>, job: &str) -> bool {
        let found = self.open_jobs.cancel(job) || self.cancel_at_peers(job).await;
        log::info!("part=callers event=cancel job={job} found={found}");
        found
    }

    async fn cancel_at_peers(&self, job: &str) -> bool {
        let job: Rc<str> = Rc::from(job);
        let peers: Vec<SocketAddr> = self.peers.borrow().keys().copied().collect();
        let replies = peers.into_iter().map(|addr| self.cancel_at_peer(addr, &job));
        join_all(replies).await.contains(&true)
    }

    async fn cancel_at_peer(&self, addr: SocketAddr, job: &Rc<str>) -> bool {
        match self.links.call(addr, Request::CancelJob(Rc::clone(job)), PEER_TIMEOUT_MS).await {
            Ok(reply) => matches!(reply, Reply::Cancelled),
            Err(error) => {
                let job = job.as_ref();
                log::info!("part=callers event=cancel_unasked job={job} why=\"{error}\"");
                false
            }
        }
    }
}
