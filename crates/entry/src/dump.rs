//! Dump of a daemon's state for operators.

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::run::RunState;
use pool::worker::Worker;
use serde::Serialize;

use crate::state::Entry;

/// Snapshot of a daemon's state, served as JSON.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Dump {
    name: String,
    phase: String,
    config_version: Option<u64>,
    in_flight: usize,
    knows_workers: bool,
    cells: Vec<CellDump>,
    /// Cells and the addresses of their owners.
    owners: Vec<(String, String)>,
    /// Whether this daemon has read which zones are evacuated.
    knows_evacuations: bool,
    evacuated_zones: Vec<String>,
    /// Capacity of this daemon in thousandths of a core; `None` if it is unknown.
    capacity: Option<u64>,
    is_saturated: bool,
    /// Addresses of the zone's other responsive daemons, with their capacities.
    capacities: Vec<(String, u64)>,
    /// Cells that this daemon holds and has delegated to another one.
    delegations: Vec<DelegationDump>,
    /// Last reports on the loads of cells.
    loads: Vec<LoadDump>,
    /// Routes that are confined because their tasks crash workers.
    confined_routes: Vec<String>,
    /// Jobs that are not started again because they crash workers.
    convicted_jobs: Vec<String>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct LoadDump {
    cell: String,
    age_ms: u64,
    queue_ms: u64,
    free_millicores: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct CellDump {
    cell: String,
    token: u64,
    /// Address of the daemon that delegated the cell to this one.
    holder: Option<String>,
    pending_jobs: usize,
    /// Number of workers that are still slow after their start.
    cold_workers: usize,
    /// Share of the returned capacity that tasks may occupy, in percent; absent without a ramp.
    ramp_percent: Option<u64>,
    workers: Vec<WorkerDump>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct DelegationDump {
    cell: String,
    owner: String,
    token: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WorkerDump {
    id: String,
    takes_work: bool,
    free_millicores: u64,
    /// Ratio of measured to expected run time on the worker.
    pace: f64,
    /// Number of runs that `pace` rests on.
    pace_runs: u32,
    /// Whether the worker is still slow after its start.
    is_cold: bool,
    /// Task, run number and state of each run.
    runs: Vec<(String, u32, &'static str)>,
    /// Number of orphaned runs: runs started by a previous owner that were not adopted.
    unclaimed: usize,
}

impl Entry {
    /// Returns a snapshot of the daemon's state. The owners listed are those of the cells that this
    /// daemon owns and of each zone's first cell.
    pub fn dump(&self) -> Dump {
        let now = self.now();
        let owned = self.owned.borrow();
        let cells = owned.iter().map(|(cell, owned)| CellDump {
            cell: cell.to_string(),
            token: owned.pool.token(),
            holder: owned.holder.map(|addr| addr.to_string()),
            pending_jobs: owned.pool.pending_jobs(),
            cold_workers: owned.pool.cold_workers(now),
            ramp_percent: owned.pool.ramp_percent(),
            workers: owned
                .pool
                .workers()
                .map(|(id, worker)| worker_dump(id, worker, now))
                .collect(),
        });
        let delegations = self.delegations.borrow();
        let delegations = delegations.iter().map(|(cell, delegation)| DelegationDump {
            cell: cell.to_string(),
            owner: delegation.addr.to_string(),
            token: delegation.token,
        });
        let members = self.zone().members.into_iter();
        let others = members.filter(|(addr, _)| *addr != self.settings.advertised);
        let owners = self.owners.borrow();
        let is_listed = |cell| owned.contains_key(cell) || cell.partition == 0;
        let owners = owners.iter().filter(|(cell, _)| is_listed(cell));
        self.refresh_owned_loads();
        let table = self.loads.borrow();
        let loads = table.iter(now).map(|(cell, age_ms, queue_ms, free_millicores)| LoadDump {
            cell: cell.to_string(),
            age_ms,
            queue_ms,
            free_millicores,
        });
        let mut loads: Vec<LoadDump> = loads.collect();
        loads.sort_by(|left, right| left.cell.cmp(&right.cell));
        Dump {
            name: self.settings.name.clone(),
            phase: format!("{:?}", self.phase.get()),
            config_version: self.catalogue.borrow().as_ref().map(|catalogue| catalogue.version),
            in_flight: self.in_flight.get(),
            knows_workers: self.knows_workers.get(),
            cells: cells.collect(),
            owners: owners
                .map(|(cell, owner)| (cell.to_string(), owner.claim.addr.to_string()))
                .collect(),
            knows_evacuations: self.knows_evacuations.get(),
            evacuated_zones: to_strings(&self.evacuated_zones()),
            capacity: self.settings.capacity_millicores(),
            is_saturated: self.is_saturated(),
            capacities: others.map(|(addr, member)| (addr.to_string(), member.capacity)).collect(),
            delegations: delegations.collect(),
            loads,
            confined_routes: to_strings(&self.crashes.borrow().confined_routes(now)),
            convicted_jobs: to_strings(&self.crashes.borrow().convicted_jobs()),
        }
    }
}

fn to_strings(names: &[Rc<str>]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn worker_dump(id: &str, worker: &Worker, now: Millis) -> WorkerDump {
    let state = |state| match state {
        RunState::Starting => "starting",
        RunState::Running => "running",
        RunState::InDoubt => "in_doubt",
        RunState::Stopping => "stopping",
        RunState::Stopped => "stopped",
    };
    let runs = worker.runs.iter();
    WorkerDump {
        id: id.to_owned(),
        takes_work: worker.accepts_tasks(now),
        free_millicores: worker.free().cpu_millicores,
        pace: worker.slowdown(),
        pace_runs: worker.speed().runs(),
        is_cold: worker.is_cold(now),
        runs: runs.map(|(name, run)| (name.to_string(), run.run, state(run.state))).collect(),
        unclaimed: worker.orphaned_runs.len(),
    }
}
