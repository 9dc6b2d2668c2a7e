//! Runs of tasks on a worker, as tracked by the daemon that owns the worker.

use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::call::End;
use crate::job::TaskName;
use crate::resources::Resources;

/// State of a run that this daemon started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start was sent and has not been confirmed.
    Starting,
    /// The worker confirmed the start.
    Running,
    /// The start got no reply. The run may have begun or may still begin, until a poll with a higher
    /// fencing token has been answered or a stop has been confirmed.
    InDoubt,
    /// A stop was sent for a run that had begun, and has not been confirmed.
    Stopping,
    /// The worker confirmed a stop: the run ends within moments and can no longer begin.
    Stopped,
}

/// What showed that a run has ended without a result, so that its task may start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InterruptionEvidence {
    /// The worker reported the end.
    Reported,
    /// The worker's report lacks the run.
    Absent,
    /// The worker left polls unanswered until its lease expired.
    LeaseExpired,
    /// Another worker's process has the address.
    OtherInstance,
    /// The run of a previous owner was not found until its lease expired.
    NotFound,
}

impl InterruptionEvidence {
    /// Returns the name under which the evidence is logged.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reported => "reported",
            Self::Absent => "absent",
            Self::LeaseExpired => "lease_expired",
            Self::OtherInstance => "other_lifetime",
            Self::NotFound => "not_found",
        }
    }
}

/// A run that ended without a result, so that its task may start again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interruption {
    /// The task.
    pub task: TaskName,
    /// Number of the start; zero if it is not known.
    pub run: u32,
    /// Worker of the run; `None` if it is not known.
    pub worker: Option<Rc<str>>,
    /// What showed the end.
    pub evidence: InterruptionEvidence,
}

/// Estimate to which the duration of a run applies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timing {
    /// The worker was warm: about its speed, and about the route.
    Warm,
    /// The worker was cold, with the expected ratio to the run time when warm: only about the
    /// slowdown of the cell's cold workers.
    Cold(f64),
    /// The run was adopted, so that the time of its start is not known: about nothing.
    Adopted,
}

/// What an ended run shows besides its result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// Time from the start to the report of the end, in milliseconds.
    pub took_ms: u64,
    /// Expected run time on a worker of average speed, in milliseconds.
    pub expected_ms: u64,
    /// Slowdown of the worker when it is warm.
    pub slowdown: f64,
    /// Estimate to which the duration applies.
    pub timing: Timing,
    /// CPU of the run if its worker was limited by a ramp, otherwise zero.
    pub ramp_millicores: u64,
}

/// A run that this daemon started.
#[derive(Clone, Debug)]
pub struct Run {
    /// Submission number of the job and index of the task in it; `None` when nobody waits for
    /// the run any more.
    pub task_ref: Option<(u64, usize)>,
    /// Number of the start, which distinguishes the starts of a task.
    pub run: u32,
    /// Route of the job.
    pub route: Rc<str>,
    /// Whether a worker has crashed under the task before, so that no other job may share this one.
    pub is_suspect: bool,
    /// Fencing token of the start.
    pub token: u64,
    /// Address that the start was sent to.
    pub addr: SocketAddr,
    /// Start time of the only process that the start can have reached, in Unix milliseconds; `None` if
    /// it may have reached any.
    pub process: Option<u64>,
    /// Resources that the run occupies on the worker.
    pub resources: Resources,
    /// State as last reported by the worker or requested by this daemon.
    pub state: RunState,
    /// Time at which the run entered its state, or at which its stop was last repeated.
    pub since: Millis,
    /// Time at which the start was sent, or at which an adopted run was first seen.
    pub sent_at: Millis,
    /// Expected run time on a worker of average speed, in milliseconds.
    pub expected_ms: u64,
    /// Estimate to which the duration of the run applies.
    pub timing: Timing,
    /// Expected end, extrapolated from the reported progress; `None` before the progress allows
    /// an estimate.
    pub ends_at: Option<Millis>,
}

/// Progress from which the end of a run can be extrapolated, in percent.
const MIN_PROGRESS_PERCENT: u32 = 5;

impl Run {
    /// Whether nobody waits for the run, and it may go on or begin because no stop is confirmed.
    pub(crate) fn is_unstopped(&self) -> bool {
        self.task_ref.is_none() && self.state != RunState::Stopped
    }

    /// Updates the expected end of the run from its progress.
    pub(crate) fn update_progress(&mut self, percent: u32, now: Millis) {
        if percent >= MIN_PROGRESS_PERCENT {
            let total_ms = now.since(self.sent_at) * 100 / u64::from(percent);
            self.ends_at = Some(self.sent_at.plus(total_ms));
        }
    }

    /// Estimates the remaining run time on a worker with the given slowdown, in milliseconds.
    /// The slowdown is the ratio of actual to expected run time on the worker when it is warm.
    pub fn remaining_ms(&self, slowdown: f64, now: Millis) -> u64 {
        let cold_factor = match self.timing {
            Timing::Cold(factor) => factor,
            Timing::Warm | Timing::Adopted => 1.0,
        };
        let expected_ms = (self.expected_ms as f64 * slowdown * cold_factor) as u64;
        let ends_at = self.ends_at.unwrap_or_else(|| self.sent_at.plus(expected_ms));
        if ends_at > now { ends_at.since(now) } else { expected_ms / OVERDUE_DIVISOR }
    }
}

/// An overdue run is assumed to continue for its expected run time divided by this number.
const OVERDUE_DIVISOR: u64 = 4;

/// A run that the previous owner of the worker started and that no job has adopted.
#[derive(Clone, Copy, Debug)]
pub struct OrphanedRun {
    /// Number of the start, which distinguishes the starts of a task.
    pub run: u32,
    /// How the run ended; `None` while it is active.
    pub end: Option<End>,
    /// Time at which this daemon first saw the run, or its end.
    pub seen_at: Millis,
    /// When a stop was sent last; `None` if none was sent.
    pub stop_sent_at: Option<Millis>,
}
