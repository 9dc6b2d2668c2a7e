//! Checks that no run starts in an evacuated zone once every daemon of the zone has to know of it.
//!
//! A daemon has to know once its link to the store has worked for the bound, and keeps the knowledge
//! until its process ends. A process that starts later knows from the start, as it owns no cell
//! before it has read the records. Daemons of other zones take a cell only after 5.5 s without any of
//! its zone, which is longer than any fault of a daemon or the store.

use std::time::{Duration, Instant};

use crate::cluster::Layout;
use crate::faults::Fault;
use crate::runner::Start;

/// Time within which the last task starts in an evacuated zone: `evacuateMs` of the users'
/// requirements.
const BOUND: Duration = Duration::from_secs(5);
/// Longest time from the sending of a start until a worker carries it out: the duration of a lease
/// and its tolerance.
const LATE_START: Duration = Duration::from_secs(1);

/// A fault with the times at which it was injected and ended.
#[derive(Clone, Copy, Debug)]
pub struct AppliedFault {
    /// The fault.
    pub fault: Fault,
    /// When the fault had begun.
    pub began_at: Instant,
    /// When the end of the fault began.
    pub ended_at: Instant,
}

/// Describes the starts in evacuated zones that are later than the bound allows.
pub fn late_starts(faults: &[AppliedFault], starts: &[Start], layout: Layout) -> Vec<String> {
    let mut late = Vec::new();
    for evacuation in faults {
        let Fault::Evacuate(zone) = evacuation.fault else { continue };
        let daemons = zone * layout.daemons..(zone + 1) * layout.daemons;
        let known_at = daemons.map(|at| known_at(faults, at, evacuation.began_at)).max();
        let Some(closed_at) = known_at.map(|at| at + LATE_START) else { continue };
        let workers = zone * layout.workers..(zone + 1) * layout.workers;
        let in_zone = starts.iter().filter(|start| workers.contains(&start.worker));
        let is_late = |start: &&Start| (closed_at..evacuation.ended_at).contains(&start.at);
        late.extend(in_zone.filter(is_late).map(|start| {
            let after = start.at - evacuation.began_at;
            format!("{} started in zone {zone} {after:?} after its evacuation", start.task)
        }));
    }
    late
}

/// Returns when a daemon knows of an evacuation at the latest.
fn known_at(faults: &[AppliedFault], daemon: usize, evacuated_at: Instant) -> Instant {
    let disturbs = |fault: &&AppliedFault| match fault.fault {
        Fault::Terminate(at, _)
        | Fault::KillAtStart(at)
        | Fault::Pause(at)
        | Fault::StoreLink(at, _) => at == daemon,
        Fault::StoreBehaviour(_) => true,
        _ => false,
    };
    let mut disturbances: Vec<&AppliedFault> =
        faults.iter().filter(disturbs).filter(|fault| fault.ended_at > evacuated_at).collect();
    disturbances.sort_by_key(|fault| fault.began_at);
    let mut undisturbed_since = evacuated_at;
    for fault in disturbances {
        if fault.began_at >= undisturbed_since + BOUND {
            break;
        }
        if matches!(fault.fault, Fault::Terminate(..) | Fault::KillAtStart(_)) {
            return fault.ended_at;
        }
        undisturbed_since = undisturbed_since.max(fault.ended_at);
    }
    undisturbed_since + BOUND
}
