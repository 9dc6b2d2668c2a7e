//! Cancels jobs on behalf of their callers.
//!
//! A best-effort job is known only to the daemon that holds its caller's connection. A cancellation
//! may arrive at any daemon, which then forwards it to all others. Dropping the last request for a
//! job stops the job's runs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::{Either, LocalBoxFuture, Shared, WeakShared, join_all, select};
use pool::job::{Outcome, Reason};
use tokio::sync::Notify;

use crate::protocol::{Reply, Request};
use crate::route::Trace;
use crate::state::Entry;

/// Time-out for the replies of other daemons to a cancellation, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 250;

/// Outcome of a job and the attempts that were made to run it.
pub type JobResult = (Outcome, Trace);
type SharedRun = Shared<LocalBoxFuture<'static, JobResult>>;

/// Jobs whose callers are connected to this daemon.
#[derive(Debug, Default)]
pub struct OpenJobs {
    jobs: RefCell<HashMap<Rc<str>, OpenJob>>,
}

/// A job and what its requests share.
#[derive(Debug)]
struct OpenJob {
    cancel: Rc<Notify>,
    // Dropping the last request drops the run, which cancels the job at its owner.
    run: WeakShared<LocalBoxFuture<'static, JobResult>>,
}

impl OpenJobs {
    /// Runs a job for a request until it completes or is cancelled. Returns `None` if it was cancelled.
    ///
    /// If the job is open already, because the closing of an earlier caller's connection has not been
    /// seen, `run` is dropped and the request joins the run of the job for `limit_ms` at the most: a
    /// second one could be sent to another cell, whose owner does not know of the first.
    pub async fn run(
        &self,
        job: &Rc<str>,
        limit_ms: u64,
        run: impl Future<Output = JobResult> + 'static,
    ) -> Option<JobResult> {
        let (guard, run, is_joined) = self.open(job, run);
        let cancelled = guard.cancel.notified();
        let request = async {
            if !is_joined {
                return run.await;
            }
            let limit = Duration::from_millis(limit_ms);
            let time_over = || (Outcome::Aborted(Reason::TimeOver), Trace::default());
            actix_rt::time::timeout(limit, run).await.unwrap_or_else(|_| time_over())
        };
        match select(std::pin::pin!(request), std::pin::pin!(cancelled)).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    }

    /// Returns the run of a job, and whether it was open already.
    fn open<'a>(
        &'a self,
        job: &'a Rc<str>,
        run: impl Future<Output = JobResult> + 'static,
    ) -> (OpenJobGuard<'a>, SharedRun, bool) {
        let mut jobs = self.jobs.borrow_mut();
        let known = jobs.get(job).and_then(|open| Some((&open.cancel, open.run.upgrade()?)));
        if let Some((cancel, run)) = known {
            return (OpenJobGuard { jobs: self, job, cancel: Rc::clone(cancel) }, run, true);
        }
        let (cancel, run) = (Rc::new(Notify::new()), run.boxed_local().shared());
        if let Some(weak_run) = run.downgrade() {
            let open_job = OpenJob { cancel: Rc::clone(&cancel), run: weak_run };
            jobs.insert(Rc::clone(job), open_job);
        }
        (OpenJobGuard { jobs: self, job, cancel }, run, false)
    }

    /// Whether a caller of the job is connected to this daemon.
    pub fn contains(&self, job: &str) -> bool {
        self.jobs.borrow().contains_key(job)
    }

    /// Cancels all requests for a job. Returns whether there were any.
    pub fn cancel(&self, job: &str) -> bool {
        let cancel = self.jobs.borrow().get(job).map(|open| Rc::clone(&open.cancel));
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
            self.jobs.jobs.borrow_mut().remove(self.job);
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
