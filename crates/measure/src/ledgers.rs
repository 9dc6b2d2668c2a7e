//! Reads the workers' own ledgers, against which invariants are checked.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

use httpedge::client::Caller;
use standins::ledger::{Ledger, TaskEvent};

const LEDGER_TIMEOUT_MS: u64 = 20_000;

/// What all workers together recorded.
#[derive(Clone, Debug, Default)]
pub struct Ledgers {
    /// Starts by task, over all workers.
    pub starts: HashMap<String, usize>,
    /// Starts by worker.
    pub by_worker: HashMap<SocketAddr, usize>,
    /// Messages that workers received.
    pub messages: u64,
    /// The most starts that were open on one worker at once.
    pub most_open: usize,
    /// The most tasks that ran on one worker at once.
    pub most_running: usize,
    /// Refused starts.
    pub refused: usize,
    /// Each task that started more than once, with its deeds on each worker.
    pub doubled: Vec<String>,
}

impl Ledgers {
    /// Gives the most starts of one task.
    pub fn most_starts(&self) -> usize {
        self.starts.values().copied().max().unwrap_or(0)
    }

    /// Tells whether any task of a job, by its identity, ever started.
    pub fn job_started(&self, job: &str, tasks: usize) -> bool {
        (0..tasks).any(|index| {
            self.starts.get(&format!("{job}.{index}")).is_some_and(|starts| *starts > 0)
        })
    }
}

/// Reads the ledgers of all workers.
///
/// # Errors
/// Fails where a worker cannot be read.
pub async fn read(caller: &Caller, workers: &[SocketAddr]) -> Result<Ledgers, String> {
    let mut all = Ledgers::default();
    let mut deeds_of: HashMap<String, String> = HashMap::new();
    for addr in workers {
        let ledger: Result<Ledger, _> = caller.get(*addr, "/ledger", LEDGER_TIMEOUT_MS).await;
        let ledger = ledger.map_err(|error| error.to_string())?;
        for (task, starts) in ledger.start_counts() {
            *all.starts.entry(task.to_owned()).or_insert(0) += starts;
            *all.by_worker.entry(*addr).or_insert(0) += starts;
        }
        for (task, deeds) in &ledger.tasks {
            let line = deeds_of.entry(task.clone()).or_default();
            let _ = write!(line, " {addr} {deeds:?}");
        }
        let deeds = ledger.tasks.values().flatten();
        all.refused += deeds.filter(|deed| **deed == TaskEvent::Refused).count();
        all.messages += ledger.messages;
        all.most_open = all.most_open.max(ledger.most_open);
        all.most_running = all.most_running.max(ledger.most_running);
    }
    let doubled = all.starts.iter().filter(|(_, starts)| **starts > 1);
    all.doubled = doubled.map(|(task, _)| format!("{task}{}", deeds_of[task])).collect();
    Ok(all)
}
