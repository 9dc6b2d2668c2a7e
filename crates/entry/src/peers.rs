//! Handles the requests of other entry daemons.

use std::cell::Cell as Value;
use std::rc::Rc;

use dispatch::clock::Millis;
use peers::links::{ContactObserver, Requester};
use pool::bounds::CONTACT_MS;
use pool::cells::Cell;
use pool::job::{Outcome, Reason};
use pool::load_table::Demand;
use pool::pool::Submission;

use crate::protocol::{Reply, Request, RunRequest};
use crate::remote_jobs::{RemoteJob, RemoteJobKey};
use crate::state::Entry;

/// Removes a job that another daemon submitted from `remote_jobs` when its request ends.
struct RemoteJobGuard {
    entry: Rc<Entry>,
    key: RemoteJobKey,
    /// Serial of the ownership and submission number, once the job was submitted.
    submission: Value<Option<(u64, u64)>>,
}

impl Drop for RemoteJobGuard {
    fn drop(&mut self) {
        if let Some((serial, number)) = self.submission.get() {
            self.entry.remote_jobs.borrow_mut().remove(&self.key, serial, number);
        }
    }
}

impl ContactObserver for Entry {
    fn now_ms(&self) -> u64 {
        self.now().0
    }

    fn record_contact(&self, connection: u64, at_ms: u64) {
        let remote = self.remote_jobs.borrow();
        let mut owned = self.owned.borrow_mut();
        let mut is_withheld = false;
        for job in remote.on_connection(connection) {
            let owned = owned.get_mut(&job.cell).filter(|owned| owned.serial == job.serial);
            let Some(owned) = owned else { continue };
            is_withheld |= owned.pool.lacks_contact();
            owned.pool.record_contact(job.number, Millis(at_ms));
        }
        if is_withheld {
            self.pools_changed.notify_one();
        }
    }
}

impl Entry {
    /// Handles a request of another daemon. Returns `None` if it is a notification without a reply.
    pub async fn handle_peer_request(
        self: Rc<Self>,
        requester: Requester,
        request: Request,
    ) -> Option<Reply> {
        let from = requester.incarnation;
        match request {
            Request::Run(request) => Some(self.run_for_peer(requester, *request).await),
            Request::Cancel(job, attempt) => {
                self.cancel_for_peer(&(from, job), attempt);
                None
            }
            Request::Rejoin => {
                self.rejoin.notify_one();
                None
            }
            Request::Hello(addr, zone) => {
                self.add_peer(addr, &zone);
                self.announce_unlisted_cells_to(addr);
                None
            }
            Request::AnnounceOwner(ownership, holder) => {
                self.record_owner(&ownership, holder);
                self.send_speeds(&ownership);
                None
            }
            Request::ReleaseCell(request) => Some(self.release_on_request(&request)),
            Request::TakeOver(cell, token) => Some(self.accept_handover(cell, token)),
            Request::Delegate(request) => Some(self.answer_delegation(&request)),
            Request::ReturnCell(cell, token) => Some(self.accept_return(&cell, token)),
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
            Request::Owners => {
                let evacuations = self.evacuations.borrow().iter().collect();
                let (owners, holders) = self.known_owners();
                Some(Reply::Owners(owners, evacuations, holders))
            }
            Request::CellLoad(report) => {
                self.metrics.free_notices.with_label_values(&["received"]).inc();
                self.loads.borrow_mut().record_reports(&[report], self.now());
                self.loads_changed.notify_waiters();
                None
            }
            Request::Withdraw(job, attempt) => {
                self.withdraw_for_peer(&(from, job), attempt);
                None
            }
        }
    }

    async fn run_for_peer(self: &Rc<Self>, requester: Requester, request: RunRequest) -> Reply {
        let Requester { incarnation: from, connection, contact_ms } = requester;
        let RunRequest { cell, submission, submitter, echoes_pings, attempt } = request;
        let demand = Demand::of(&submission.spec);
        let key = (from, Rc::clone(&submission.spec.id));
        let guard = RemoteJobGuard {
            entry: Rc::clone(self),
            key: key.clone(),
            submission: Value::default(),
        };
        let on_submit = |at: &Cell, serial, number| {
            guard.submission.set(Some((serial, number)));
            let job = RemoteJob { attempt, connection, cell: at.clone(), serial, number };
            self.remote_jobs.borrow_mut().insert(key, job);
            self.with_pool(at, serial, |pool, now| {
                let contact_at = if echoes_pings { contact_ms.map(Millis) } else { Some(now) };
                if let Some(at) = contact_at.filter(|at| now.since(*at) < CONTACT_MS) {
                    pool.record_contact(number, at);
                }
            });
        };
        let submission = Submission { is_remote: true, ..submission };
        let result = self.run_locally(&cell, submission, on_submit).await;
        let Some((outcome, backlog)) = result else { return Reply::NotOwner };
        let submitter = submitter.filter(|addr| self.peers.borrow().contains_key(addr));
        if let Some(addr) = submitter.filter(|_| is_lack_of_room(&outcome)) {
            self.record_refused_daemon(&cell, addr, demand);
        }
        self.refresh_owned_loads();
        let reports = self.loads.borrow().reports(&cell, self.now());
        Reply::Outcome(outcome, backlog, reports)
    }

    /// Withdraws a queued job that another daemon submitted. If the job has started or is not known,
    /// nothing happens, and the other daemon learns that from its outcome.
    fn withdraw_for_peer(self: &Rc<Self>, key: &RemoteJobKey, attempt: u64) {
        let found = self.remote_jobs.borrow().find(key, attempt).cloned();
        if let Some(RemoteJob { cell, serial, number, .. }) = found {
            self.withdraw_submission(&cell, serial, number);
        }
    }

    /// Ends a request whose submitter no longer waits for it. Other requests for the same job, also
    /// those of the same submitter, go on.
    fn cancel_for_peer(self: &Rc<Self>, key: &RemoteJobKey, attempt: u64) {
        let found = self.remote_jobs.borrow().find(key, attempt).cloned();
        let Some(RemoteJob { cell, serial, number, .. }) = found else { return };
        self.remote_jobs.borrow_mut().remove(key, serial, number);
        self.with_pool(&cell, serial, |pool, now| pool.cancel(now, number));
        // Lets the request end. A submitter that still waits, because it did not say which request it
        // means, must not take its job for one that was not started.
        let sender = self.outcome_senders.borrow_mut().remove(&(serial, number));
        if let Some(sender) = sender {
            let _ = sender.send(Outcome::Aborted(Reason::NoOwner));
        }
        self.perform_actions(&cell);
    }
}

/// Returns whether an outcome says that the cell had no room for the job.
pub const fn is_lack_of_room(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun { reason: Reason::Busy | Reason::Overload, .. })
}
