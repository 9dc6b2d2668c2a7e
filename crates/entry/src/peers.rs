//! Handles the requests of other entry daemons.

use std::rc::Rc;

use dispatch::ticket::Incarnation;
use pool::pool::Submission;

use crate::protocol::{Reply, Request, RunRequest};
use crate::state::{Entry, RemoteJobKey};

/// Removes a job that another daemon submitted from `remote_jobs` when its request ends.
struct RemoteJobGuard {
    entry: Rc<Entry>,
    key: RemoteJobKey,
}

impl Drop for RemoteJobGuard {
    fn drop(&mut self) {
        self.entry.remote_jobs.borrow_mut().remove(&self.key);
    }
}

impl Entry {
    /// Handles a request of another daemon. Returns `None` if it is a notification without a reply.
    pub async fn handle_peer_request(
        self: Rc<Self>,
        from: Incarnation,
        request: Request,
    ) -> Option<Reply> {
        match request {
            Request::Run(request) => Some(self.run_for_peer(from, *request).await),
            Request::Cancel(job) => {
                self.cancel_for_peer(from, job);
                None
            }
            Request::Rejoin => {
                self.rejoin.notify_one();
                None
            }
            Request::Hello(addr, zone) => {
                self.add_peer(addr, &zone);
                None
            }
            Request::AnnounceOwner(ownership) => {
                self.record_owner(&ownership);
                self.send_speeds(&ownership);
                None
            }
            Request::ReleaseCell(request) => Some(self.release_on_request(&request)),
            Request::TakeOver(cell, token) => Some(self.accept_handover(cell, token)),
            Request::CancelJob(job) => {
                let found = self.open_jobs.cancel(&job);
                Some(if found { Reply::Cancelled } else { Reply::JobNotFound })
            }
            Request::WorkerCounts => Some(self.worker_counts_reply()),
            Request::WorkerCrashed(crash) => {
                self.learn_crash(0, &crash, None);
                None
            }
            Request::WorkerReturned(life) => {
                self.retract_crash(&life, None);
                None
            }
            Request::Speeds(speeds) => {
                self.learn_speeds(&speeds);
                None
            }
            Request::Crashes => Some(Reply::Crashes(self.crashes.borrow().export(self.now()))),
            Request::Owners => Some(Reply::Owners(self.known_owners())),
        }
    }

    async fn run_for_peer(self: &Rc<Self>, from: Incarnation, request: RunRequest) -> Reply {
        let RunRequest { cell, submission } = request;
        let key = (from, Rc::clone(&submission.spec.id));
        let _guard = RemoteJobGuard { entry: Rc::clone(self), key: key.clone() };
        let on_submit = |serial, number| {
            self.remote_jobs.borrow_mut().insert(key, (cell.clone(), serial, number));
        };
        let submission = Submission { is_remote: true, ..submission };
        let result = self.run_locally(&cell, submission, on_submit).await;
        result.map_or(Reply::NotOwner, |(outcome, backlog)| Reply::Outcome(outcome, backlog))
    }

    fn cancel_for_peer(self: &Rc<Self>, from: Incarnation, job: Rc<str>) {
        let found = self.remote_jobs.borrow_mut().remove(&(from, job));
        let Some((cell, serial, number)) = found else { return };
        self.with_pool(&cell, serial, |pool, now| pool.cancel(now, number));
        self.perform_actions(&cell);
    }
}
