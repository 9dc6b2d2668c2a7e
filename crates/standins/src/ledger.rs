//! A worker's own record of what happened to each task.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What happened to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deed {
    /// It began.
    Started,
    /// It ended well.
    Finished,
    /// It ended badly.
    Failed,
    /// It was refused before it began.
    Refused,
    /// It was stopped.
    Stopped,
    /// It was barred from ever beginning.
    Barred,
}

/// All that a worker recorded.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Ledger {
    /// Deeds by task, in their order.
    pub tasks: BTreeMap<String, Vec<Deed>>,
    /// Messages received.
    pub messages: u64,
    /// The most tasks that ran at once.
    pub most_running: usize,
    /// The most starts that were open at once.
    pub most_open: usize,
}

impl Ledger {
    /// Records a deed.
    pub fn note(&mut self, task: &str, deed: Deed) {
        match self.tasks.get_mut(task) {
            Some(deeds) => deeds.push(deed),
            None => {
                self.tasks.insert(task.to_owned(), vec![deed]);
            }
        }
    }

    /// Counts the starts of each task.
    pub fn starts(&self) -> impl Iterator<Item = (&str, usize)> {
        self.tasks.iter().map(|(task, deeds)| {
            let starts = deeds.iter().filter(|deed| **deed == Deed::Started).count();
            (task.as_str(), starts)
        })
    }
}
