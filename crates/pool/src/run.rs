//! One run of a task on a worker, seen by the worker's owner.

use dispatch::clock::Millis;

use crate::call::End;
use crate::room::Room;

/// The state of a run that this daemon ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start was sent.
    Starting,
    /// The worker confirmed it.
    Running,
    /// Its start got no reply, and neither did a stop so far: it may still begin.
    InDoubt,
    /// It is to end, and it cannot begin any more.
    Stopping,
}

/// A run that this daemon ordered.
#[derive(Clone, Debug)]
pub struct Run {
    /// The job and the task's place in it; none where nobody waits for it any more.
    pub of: Option<(u64, usize)>,
    /// The number of the start.
    pub run: u32,
    /// Its size.
    pub room: Room,
    /// Its state.
    pub state: RunState,
    /// When the state began.
    pub since: Millis,
    /// When the start was sent.
    pub sent_at: Millis,
    /// How long it is expected to run on a worker of the usual pace, in milliseconds.
    pub expected_ms: u64,
    /// When it ends, as far as its progress tells.
    pub ends_at: Option<Millis>,
}

/// The progress from which on a run's end can be told from it, in percent.
const TELLING_PERCENT: u32 = 5;

impl Run {
    /// Takes in how much of the run is done.
    pub(crate) fn note_progress(&mut self, percent: u32, now: Millis) {
        if percent >= TELLING_PERCENT {
            let whole_ms = now.since(self.sent_at) * 100 / u64::from(percent);
            self.ends_at = Some(self.sent_at.plus(whole_ms));
        }
    }

    /// Gives how long the run still takes at a worker of a pace, in milliseconds.
    pub fn left_ms(&self, slowdown: f64, now: Millis) -> u64 {
        let expected_ms = (self.expected_ms as f64 * slowdown) as u64;
        let ends_at = self.ends_at.unwrap_or_else(|| self.sent_at.plus(expected_ms));
        if ends_at > now { ends_at.since(now) } else { expected_ms / OVERDUE_SHARE }
    }
}

/// A run that is overdue is taken to go on for this part of its expected time.
const OVERDUE_SHARE: u64 = 4;

/// A run or an end that an earlier owner of the worker ordered.
#[derive(Clone, Copy, Debug)]
pub struct Unclaimed {
    /// The number of the start.
    pub run: u32,
    /// How it ended; none while it goes on.
    pub end: Option<End>,
    /// When it was first seen.
    pub seen_at: Millis,
}
