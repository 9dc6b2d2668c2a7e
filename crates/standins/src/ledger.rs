//! Record of task events that a test double of a worker keeps, independent of the daemon.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Event in the life of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// The task started.
    Started,
    /// The task succeeded.
    Finished,
    /// The task failed.
    Failed,
    /// A start of the task was refused.
    Refused,
    /// The task was interrupted: by a stop, an expired lease or a restart of the worker.
    Stopped,
    /// The task was fenced: the worker refuses every later start of it.
    Barred,
}

/// Events and peak values that a worker recorded.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Ledger {
    /// Events of each task, in the order in which they occurred.
    pub tasks: BTreeMap<String, Vec<TaskEvent>>,
    /// Number of start, settle, recall, stop and renew calls received.
    pub messages: u64,
    /// Highest number of tasks that ran at the same time.
    pub most_running: usize,
    /// Highest number of accepted starts, running or waiting for a slot, at the same time.
    pub most_open: usize,
}

impl Ledger {
    /// Appends an event to the record of a task.
    pub fn record(&mut self, task: &str, event: TaskEvent) {
        match self.tasks.get_mut(task) {
            Some(events) => events.push(event),
            None => {
                self.tasks.insert(task.to_owned(), vec![event]);
            }
        }
    }

    /// Returns the number of starts of each recorded task.
    pub fn start_counts(&self) -> impl Iterator<Item = (&str, usize)> {
        self.tasks.iter().map(|(task, events)| {
            let starts = events.iter().filter(|event| **event == TaskEvent::Started).count();
            (task.as_str(), starts)
        })
    }
}
