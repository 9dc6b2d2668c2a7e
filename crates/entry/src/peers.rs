//! Handles the requests of other entry daemons.

use std::rc::Rc;

use dispatch::ticket::Incarnation;
use pool::pool::Submission;

use crate::fleet::{Ask, RunAsk, Tell};
use crate::state::{Entry, RemoteJob};

/// Removes a job that another daemon submitted from `remote_jobs` when its request ends.
struct RemoteJobGuard {
    entry: Rc<Entry>,
    key: RemoteJob,
}

impl Drop for RemoteJobGuard {
    fn drop(&mut self) {
        self.entry.remote_jobs.borrow_mut().remove(&self.key);
    }
}

impl Entry {
    /// Handles a request of another daemon. Returns `None` if it is a notification without a reply.
    pub async fn serve_peer(self: Rc<Self>, from: Incarnation, ask: Ask) -> Option<Tell> {
        match ask {
            Ask::Run(ask) => Some(self.run_for_peer(from, *ask).await),
            Ask::Cancel(job) => {
                self.cancel_for_peer(from, job);
                None
            }
            Ask::Rejoin => {
                self.rejoin.notify_one();
                None
            }
            Ask::Hello(addr, zone) => {
                self.note_other(addr, &zone);
                None
            }
            Ask::Own(ownership) => {
                self.note_owner(&ownership);
                None
            }
            Ask::Take(cell, token) => Some(self.take_handed(cell, token)),
            Ask::CancelOpen(job) => {
                let found = self.open_jobs.cancel(&job);
                Some(if found { Tell::Cancelled } else { Tell::NotOpen })
            }
            Ask::WorkerCounts => Some(self.tell_counts()),
            Ask::Owners => Some(Tell::Owners(self.known_owners())),
        }
    }

    async fn run_for_peer(self: &Rc<Self>, from: Incarnation, ask: RunAsk) -> Tell {
        let RunAsk { cell, submission } = ask;
        let key = (from, Rc::clone(&submission.spec.id));
        let _guard = RemoteJobGuard { entry: Rc::clone(self), key: key.clone() };
        let on_submit = |serial, number| {
            self.remote_jobs.borrow_mut().insert(key, (cell.clone(), serial, number));
        };
        let submission = Submission { is_remote: true, ..submission };
        let result = self.run_here(&cell, submission, on_submit).await;
        result.map_or(Tell::NotOwner, |(outcome, backlog)| Tell::Outcome(outcome, backlog))
    }

    fn cancel_for_peer(self: &Rc<Self>, from: Incarnation, job: Rc<str>) {
        let found = self.remote_jobs.borrow_mut().remove(&(from, job));
        let Some((cell, serial, number)) = found else { return };
        self.with_pool(&cell, serial, |pool, now| pool.cancel(now, number));
        self.perform(&cell);
    }
}
