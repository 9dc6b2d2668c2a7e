//! Jobs that other daemons submitted to the cells of this one.

use std::collections::HashMap;
use std::rc::Rc;

use dispatch::ticket::Incarnation;
use pool::cells::Cell;

/// A job that another daemon submitted here.
#[derive(Clone, Debug)]
pub struct RemoteJob {
    /// Number of the request within the submitter's process; zero if it states none.
    pub attempt: u64,
    /// Number of the connection on which the request arrived.
    pub connection: u64,
    /// Cell on which the job runs.
    pub cell: Cell,
    /// Serial of the ownership of the cell.
    pub serial: u64,
    /// Submission number.
    pub number: u64,
}

/// The submitter's process and the id of the job.
pub type RemoteJobKey = (Incarnation, Rc<str>);

/// The requests of other daemons that are in progress. One process may have several for a job: its
/// caller has sent the job again, or its connection was replaced before the end of the previous one
/// was read here.
#[derive(Debug, Default)]
pub struct RemoteJobs {
    requests: HashMap<RemoteJobKey, Vec<RemoteJob>>,
}

impl RemoteJobs {
    /// Adds a request.
    pub fn insert(&mut self, key: RemoteJobKey, job: RemoteJob) {
        self.requests.entry(key).or_default().push(job);
    }

    /// Iterates over the requests that arrived on a connection.
    pub fn on_connection(&self, connection: u64) -> impl Iterator<Item = &RemoteJob> {
        self.requests.values().flatten().filter(move |job| job.connection == connection)
    }

    /// Returns the request that a submitter means by a number. Without a number, it is the last one.
    pub fn find(&self, key: &RemoteJobKey, attempt: u64) -> Option<&RemoteJob> {
        let mut requests = self.requests.get(key)?.iter().rev();
        requests.find(|job| attempt == 0 || job.attempt == attempt)
    }

    /// Removes the request with a submission number of an ownership, if it is still there.
    pub fn remove(&mut self, key: &RemoteJobKey, serial: u64, number: u64) {
        let Some(requests) = self.requests.get_mut(key) else { return };
        requests.retain(|job| (job.serial, job.number) != (serial, number));
        if requests.is_empty() {
            self.requests.remove(key);
        }
    }
}
