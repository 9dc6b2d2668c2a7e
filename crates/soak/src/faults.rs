//! Generates a random schedule of faults and injects them into an installation.

use std::ops::{Range, RangeInclusive};

use rand::Rng as _;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use standins::metastore::StoreBehaviour;
use standins::pool_worker_server::{Behaviour, LateOrders};

use crate::cluster::{Cluster, Layout, Publication};
use crate::proxy::Link;

/// A fault, with the index of the daemon or worker that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A signal that terminates a daemon. The daemon is started again when the fault ends.
    Terminate(usize, Signal),
    /// A daemon is killed right after a run has started in its zone, and started again when the fault
    /// ends.
    KillAtStart(usize),
    /// A daemon is suspended (SIGSTOP).
    Pause(usize),
    /// Behaviour of the connections from the other daemons to a daemon.
    PeerLink(usize, Link),
    /// Behaviour of the connections from a daemon to the metadata store.
    StoreLink(usize, Link),
    /// Behaviour of the connections to a worker.
    WorkerLink(usize, Link),
    /// Behaviour of a worker.
    Behaviour(usize, Behaviour),
    /// The process of a worker ends. The next one starts when the fault ends.
    RestartWorker(usize, Publication),
    /// Behaviour of the metadata store.
    StoreBehaviour(StoreBehaviour),
    /// All partitions are assigned to daemons again.
    Rebalance,
    /// The store discards its history and keeps only the newest record of each key.
    Compact,
    /// The store discards its history. The newest record of each key is still listed.
    Trim,
    /// Operators evacuate a zone, and withdraw that when the fault ends.
    Evacuate(usize),
}

/// A fault with its start and end, in milliseconds since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Fault to inject.
    pub fault: Fault,
    /// Start of the fault, in milliseconds since the start of the run.
    pub starts_at_ms: u64,
    /// End of the fault, in milliseconds since the start of the run.
    pub ends_at_ms: u64,
}

/// Time between the ends of two daemons of an evacuated zone, in milliseconds: as long as an ownership
/// lasts without renewal, so that the cell goes from one to the other.
const OWNER_END_INTERVAL_MS: u64 = 1_200;

/// How long a worker carries out orders late, in milliseconds: for longer than the caller of a
/// lasting run waits and delays its next request.
const LATE_ORDERS_DURATION_MS: Range<u64> = 4_000..8_000;
/// Share of a worker's starts and stops that it carries out late, in percent.
const LATE_SHARE_PERCENT: RangeInclusive<u32> = 70..=100;
/// Delays of orders that are carried out late, in milliseconds.
const LATE_DELAY_MS: RangeInclusive<u64> = 300..=6_000;

/// Longest stall of an owner that keeps its cell, in milliseconds, and the share of such ones among the
/// suspended daemons.
const STALL_MS: Range<u64> = 200..1_100;
const STALL_SHARE: f64 = 0.6;
/// Share of the workers with late orders whose process ends meanwhile, and how long after the begin
/// and for how long, in milliseconds. Connections that are opened shortly before the end are accepted
/// by the next process.
const RESTART_SHARE: f64 = 0.6;
const RESTART_AFTER_MS: Range<u64> = 300..3_000;
const RESTART_MS: Range<u64> = 20..50;
const UNACCEPTED_MS: u64 = 50;

/// Generates the evacuations of a run: of one zone, and now and then of others too. They begin early
/// and last until about the end of the other faults. Meanwhile the daemons of the zone are killed
/// one after the other, so that the cell gets new owners.
pub fn draw_evacuations(rng: &mut SmallRng, layout: Layout, span_ms: u64) -> Vec<ScheduledFault> {
    let first = rng.random_range(0..layout.zones);
    let mut evacuations = Vec::new();
    for zone in 0..layout.zones {
        if zone != first && !rng.random_bool(0.25) {
            continue;
        }
        let starts_at_ms = rng.random_range(0..=span_ms / 4);
        let ends_at_ms = starts_at_ms + rng.random_range(span_ms * 3 / 4..=span_ms);
        let fault = Fault::Evacuate(zone);
        evacuations.push(ScheduledFault { fault, starts_at_ms, ends_at_ms });
        let mut killed_at_ms = starts_at_ms + span_ms / 4;
        for daemon in zone * layout.daemons..(zone + 1) * layout.daemons {
            evacuations.push(ScheduledFault {
                fault: Fault::Terminate(daemon, Signal::KILL),
                starts_at_ms: killed_at_ms,
                ends_at_ms: killed_at_ms + rng.random_range(100..600),
            });
            killed_at_ms += OWNER_END_INTERVAL_MS;
        }
    }
    evacuations
}

/// Generates the faults of a run, ordered by start time. Faults may overlap.
pub fn draw_faults(
    rng: &mut SmallRng,
    daemons: usize,
    workers: usize,
    span_ms: u64,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at_ms = 500;
    while at_ms < span_ms {
        let fault = random_fault(rng, daemons, workers);
        let durations_ms = match fault {
            Fault::Behaviour(worker, Behaviour::LateOrders(_)) => {
                if rng.random_bool(RESTART_SHARE) {
                    faults.extend(draw_restart(rng, worker, at_ms));
                }
                LATE_ORDERS_DURATION_MS
            }
            Fault::Pause(_) if rng.random_bool(STALL_SHARE) => STALL_MS,
            _ => 200..3_000,
        };
        let duration_ms = rng.random_range(durations_ms);
        faults.push(ScheduledFault { fault, starts_at_ms: at_ms, ends_at_ms: at_ms + duration_ms });
        at_ms += rng.random_range(150..1_200);
    }
    faults.sort_by_key(|scheduled| scheduled.starts_at_ms);
    faults
}

/// Generates a restart of a worker with late orders. Its link is silent shortly before and meanwhile, so
/// that the next process accepts the connections that were opened last, within the time-out of their calls.
fn draw_restart(rng: &mut SmallRng, worker: usize, late_from_ms: u64) -> [ScheduledFault; 2] {
    let starts_at_ms = late_from_ms + rng.random_range(RESTART_AFTER_MS);
    let ends_at_ms = starts_at_ms + rng.random_range(RESTART_MS);
    let silent_from_ms = starts_at_ms - UNACCEPTED_MS;
    let restart = Fault::RestartWorker(worker, Publication::draw(rng));
    [
        ScheduledFault {
            fault: Fault::WorkerLink(worker, Link::Silent),
            starts_at_ms: silent_from_ms,
            ends_at_ms: ends_at_ms + 1,
        },
        ScheduledFault { fault: restart, starts_at_ms, ends_at_ms },
    ]
}

fn random_fault(rng: &mut SmallRng, daemons: usize, workers: usize) -> Fault {
    let daemon = rng.random_range(0..daemons);
    let worker = rng.random_range(0..workers);
    let links = [Link::Slow(40), Link::Reset, Link::Silent, Link::OneWay, Link::NoRequests];
    let link = links[rng.random_range(0..links.len())];
    let behaviours = [Behaviour::Silent, Behaviour::Unhealthy, Behaviour::LosesReplies];
    let store_behaviours =
        [StoreBehaviour::Silent, StoreBehaviour::Busy, StoreBehaviour::LosesReplies];
    match rng.random_range(0..20) {
        0 => Fault::Terminate(daemon, Signal::TERM),
        1 => Fault::Terminate(daemon, Signal::KILL),
        2 | 14 => Fault::Pause(daemon),
        3 => Fault::PeerLink(daemon, link),
        4 => Fault::StoreLink(daemon, link),
        5 => Fault::WorkerLink(worker, link),
        6 => Fault::Behaviour(worker, behaviours[rng.random_range(0..behaviours.len())]),
        7 => Fault::StoreBehaviour(store_behaviours[rng.random_range(0..store_behaviours.len())]),
        8 => Fault::Rebalance,
        9 => Fault::RestartWorker(worker, Publication::draw(rng)),
        10 => Fault::Trim,
        11 => Fault::Compact,
        12 => Fault::KillAtStart(daemon),
        13 => Fault::PeerLink(daemon, links[rng.random_range(2..links.len())]),
        _ => Fault::Behaviour(worker, Behaviour::LateOrders(draw_late_orders(rng))),
    }
}

fn draw_late_orders(rng: &mut SmallRng) -> LateOrders {
    LateOrders {
        share_percent: rng.random_range(LATE_SHARE_PERCENT),
        min_delay_ms: *LATE_DELAY_MS.start(),
        max_delay_ms: *LATE_DELAY_MS.end(),
    }
}

/// Injects a fault.
pub fn start_fault(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::Terminate(daemon, signal) => cluster.daemons[daemon].signal(signal),
        Fault::KillAtStart(_) => {}
        Fault::Pause(daemon) => cluster.daemons[daemon].signal(Signal::STOP),
        Fault::PeerLink(daemon, link) => cluster.daemons[daemon].peers_proxy.link.set(link),
        Fault::StoreLink(daemon, link) => cluster.daemons[daemon].store_proxy.link.set(link),
        Fault::WorkerLink(worker, link) => cluster.sites[worker].proxy.link.set(link),
        Fault::RestartWorker(worker, _) => cluster.sites[worker].end_process(),
        Fault::Behaviour(worker, behaviour) => cluster.workers[worker].behaviour.set(behaviour),
        Fault::StoreBehaviour(behaviour) => cluster.store.behaviour.set(behaviour),
        Fault::Rebalance => cluster.store.rebalance(),
        Fault::Compact => cluster.store.compact(),
        Fault::Trim => cluster.store.trim(),
        Fault::Evacuate(zone) => cluster.set_evacuated(zone, true),
    }
}

/// Ends a fault: restarts or resumes the daemon, or restores the normal behaviour.
pub fn end_fault(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::Terminate(daemon, _) | Fault::KillAtStart(daemon) => cluster.restart(daemon),
        Fault::Pause(daemon) => cluster.daemons[daemon].signal(Signal::CONT),
        Fault::PeerLink(daemon, _) => cluster.daemons[daemon].peers_proxy.link.set(Link::Normal),
        Fault::StoreLink(daemon, _) => cluster.daemons[daemon].store_proxy.link.set(Link::Normal),
        Fault::WorkerLink(worker, _) => cluster.sites[worker].proxy.link.set(Link::Normal),
        Fault::RestartWorker(worker, publication) => {
            cluster.sites[worker].start_process(publication);
        }
        Fault::Behaviour(worker, _) => cluster.workers[worker].behaviour.set(Behaviour::Normal),
        Fault::StoreBehaviour(_) => cluster.store.behaviour.set(StoreBehaviour::Normal),
        Fault::Evacuate(zone) => cluster.set_evacuated(zone, false),
        Fault::Rebalance | Fault::Compact | Fault::Trim => {}
    }
}
