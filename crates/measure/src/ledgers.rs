//! Reads the ledgers of the stand-in workers (their records of the events of each task), against
//! which the benchmarks check invariants.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

use httpedge::client::Caller;
use standins::ledger::{Deed, Ledger};

const LEDGER_TIMEOUT_MS: u64 = 20_000;

/// Combined ledgers of all workers.
#[derive(Clone, Debug, Default)]
pub struct Ledgers {
    /// Number of starts of each task on all workers, by `job.index`.
    pub starts: HashMap<String, usize>,
    /// Number of starts on each worker.
    pub starts_by_worker: HashMap<SocketAddr, usize>,
    /// Number of messages that the workers received.
    pub messages: u64,
    /// Maximum number of start requests that were open at the same time on a worker.
    pub max_open_starts: usize,
    /// Maximum number of tasks that ran at the same time on a worker.
    pub max_running_tasks: usize,
    /// Number of starts that workers refused.
    pub refused: usize,
    /// One line for each task that started more than once, with its events on each worker.
    pub duplicate_starts: Vec<String>,
}

impl Ledgers {
    /// Returns the maximum number of starts of a single task.
    pub fn max_starts_per_task(&self) -> usize {
        self.starts.values().copied().max().unwrap_or(0)
    }

    /// Returns whether any of the `tasks` tasks of the job with the id `job` was started.
    pub fn job_started(&self, job: &str, tasks: usize) -> bool {
        (0..tasks).any(|index| {
            self.starts.get(&format!("{job}.{index}")).is_some_and(|starts| *starts > 0)
        })
    }
}

/// Fetches and combines the ledgers of all workers.
///
/// # Errors
/// Returns an error if the ledger of a worker cannot be fetched.
pub async fn read(caller: &Caller, workers: &[SocketAddr]) -> Result<Ledgers, String> {
    let mut all = Ledgers::default();
    let mut events_of: HashMap<String, String> = HashMap::new();
    for addr in workers {
        let ledger: Result<Ledger, _> = caller.get(*addr, "/ledger", LEDGER_TIMEOUT_MS).await;
        let ledger = ledger.map_err(|error| error.to_string())?;
        for (task, starts) in ledger.starts() {
            *all.starts.entry(task.to_owned()).or_insert(0) += starts;
            *all.starts_by_worker.entry(*addr).or_insert(0) += starts;
        }
        for (task, events) in &ledger.tasks {
            let line = events_of.entry(task.clone()).or_default();
            let _ = write!(line, " {addr} {events:?}");
        }
        let events = ledger.tasks.values().flatten();
        all.refused += events.filter(|event| **event == Deed::Refused).count();
        all.messages += ledger.messages;
        all.max_open_starts = all.max_open_starts.max(ledger.most_open);
        all.max_running_tasks = all.max_running_tasks.max(ledger.most_running);
    }
    let duplicate_starts = all.starts.iter().filter(|(_, starts)| **starts > 1);
    all.duplicate_starts =
        duplicate_starts.map(|(task, _)| format!("{task}{}", events_of[task])).collect();
    Ok(all)
}
