//! Draws faults from a seed, and carries them out on an installation.

use rand::Rng as _;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use standins::metastore::StoreBehaviour;
use standins::pool_worker_server::Behaviour;

use crate::proxy::Link;
use crate::site::Site;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon gets a signal and starts again some time after its end.
    End(usize, Signal),
    /// A daemon stands still.
    Pause(usize),
    /// The links of a daemon to the others.
    Peers(usize, Link),
    /// The link of a daemon to the store.
    Store(usize, Link),
    /// The link to a worker.
    Worker(usize, Link),
    /// How a worker behaves.
    Behaviour(usize, Behaviour),
    /// How the store behaves.
    StoreBehaviour(StoreBehaviour),
    /// The partitions are dealt anew.
    DealAnew,
    /// The store's history goes.
    Compact,
}

/// A fault and the time at which it begins and ends, in milliseconds from the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// The fault.
    pub fault: Fault,
    /// When it begins.
    pub begins_ms: u64,
    /// When it ends.
    pub ends_ms: u64,
}

/// Draws the faults of a seed, in the order of their beginning. They overlap.
pub fn draw(rng: &mut SmallRng, daemons: usize, workers: usize, span_ms: u64) -> Vec<Planned> {
    let mut faults = Vec::new();
    let mut at_ms = 500;
    while at_ms < span_ms {
        let fault = draw_one(rng, daemons, workers);
        let lasts_ms = rng.random_range(200..3_000);
        faults.push(Planned { fault, begins_ms: at_ms, ends_ms: at_ms + lasts_ms });
        at_ms += rng.random_range(150..1_200);
    }
    faults
}

fn draw_one(rng: &mut SmallRng, daemons: usize, workers: usize) -> Fault {
    let daemon = rng.random_range(0..daemons);
    let worker = rng.random_range(0..workers);
    let links = [Link::Slow(40), Link::Reset, Link::Silent, Link::OneWay];
    let link = links[rng.random_range(0..links.len())];
    let moods = [Behaviour::Silent, Behaviour::Unhealthy, Behaviour::LosesReplies];
    let stores = [StoreBehaviour::Silent, StoreBehaviour::Busy, StoreBehaviour::LosesReplies];
    match rng.random_range(0..10) {
        0 => Fault::End(daemon, Signal::TERM),
        1 => Fault::End(daemon, Signal::KILL),
        2 => Fault::Pause(daemon),
        3 => Fault::Peers(daemon, link),
        4 => Fault::Store(daemon, link),
        5 => Fault::Worker(worker, link),
        6 => Fault::Behaviour(worker, moods[rng.random_range(0..moods.len())]),
        7 => Fault::StoreBehaviour(stores[rng.random_range(0..stores.len())]),
        8 => Fault::DealAnew,
        _ => Fault::Compact,
    }
}

/// Begins a fault.
pub fn begin(site: &mut Site, fault: Fault) {
    match fault {
        Fault::End(daemon, signal) => site.daemons[daemon].signal(signal),
        Fault::Pause(daemon) => site.daemons[daemon].signal(Signal::STOP),
        Fault::Peers(daemon, link) => site.daemons[daemon].peers_proxy.link.set(link),
        Fault::Store(daemon, link) => site.daemons[daemon].store_proxy.link.set(link),
        Fault::Worker(worker, link) => site.worker_proxies[worker].link.set(link),
        Fault::Behaviour(worker, behaviour) => site.workers[worker].behaviour.set(behaviour),
        Fault::StoreBehaviour(behaviour) => site.store.behaviour.set(behaviour),
        Fault::DealAnew => site.store.rebalance(),
        Fault::Compact => site.store.compact(),
    }
}

/// Ends a fault: what ended starts again, and what was broken is whole.
pub fn end(site: &mut Site, fault: Fault) {
    match fault {
        Fault::End(daemon, _) => site.restart(daemon),
        Fault::Pause(daemon) => site.daemons[daemon].signal(Signal::CONT),
        Fault::Peers(daemon, _) => site.daemons[daemon].peers_proxy.link.set(Link::Good),
        Fault::Store(daemon, _) => site.daemons[daemon].store_proxy.link.set(Link::Good),
        Fault::Worker(worker, _) => site.worker_proxies[worker].link.set(Link::Good),
        Fault::Behaviour(worker, _) => site.workers[worker].behaviour.set(Behaviour::Normal),
        Fault::StoreBehaviour(_) => site.store.behaviour.set(StoreBehaviour::Normal),
        Fault::DealAnew | Fault::Compact => {}
    }
}
