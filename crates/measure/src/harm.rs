//! What is done to a fleet while callers resubmit: kills, drains, pauses, cuts and outages.

use std::net::SocketAddr;
use std::time::Duration;

use httpedge::client::Caller;
use serde_json::Value;
use standins::log::LogFaults;
use standins::worker::Faults;

use crate::children::{Children, Signal};

/// What was done to the fleet while the callers ran.
#[derive(Clone, Debug, Default)]
pub struct Deeds {
    /// Daemons killed.
    pub crashes: usize,
    /// Daemons drained.
    pub drains: usize,
    /// Daemons paused and woken.
    pub pauses: usize,
    /// Zones cut off and healed.
    pub cuts: usize,
    /// Outages of the log service.
    pub outages: usize,
    /// Faults of workers.
    pub worker_faults: usize,
}

/// Does one harm after the other; `set_phase` is told the name of each before it is done.
///
/// # Errors
/// Fails where a daemon does not end or cannot be started.
pub async fn harm(
    children: &mut Children,
    set_phase: impl Fn(&'static str),
    deeds: &mut Deeds,
) -> Result<(), String> {
    let caller = Caller::new();
    let count = children.daemons.len();
    let turn = deeds.crashes % count;
    set_phase("worker faults");
    harm_workers(&caller, children, deeds).await;
    set_phase("drain");
    pause(500).await;
    let drained = [(turn + 2) % count, (turn + 5) % count];
    for place in drained {
        children.signal(place, Signal::Terminate);
        deeds.drains += 1;
    }
    for place in drained {
        if !children.wait_for_exit(place, Duration::from_secs(25)).await {
            return Err("a draining daemon did not end".to_owned());
        }
        children.start_daemon(place)?;
    }
    pause(3_000).await;
    set_phase("log outage");
    pause(300).await;
    set_log(&caller, children, LogFaults { down: true, ..LogFaults::default() }).await;
    pause(3_000).await;
    let lossy = LogFaults { lose_reply_every: 3, slow_ms: 60, ..LogFaults::default() };
    set_log(&caller, children, lossy).await;
    deeds.outages += 1;
    pause(2_000).await;
    set_log(&caller, children, LogFaults::default()).await;
    set_phase("pause");
    children.signal((turn + 1) % count, Signal::Stop);
    pause(2_500).await;
    children.signal((turn + 1) % count, Signal::Continue);
    deeds.pauses += 1;
    pause(1_000).await;
    set_phase("cut");
    cut_first_zone(&caller, children, true).await;
    pause(3_000).await;
    cut_first_zone(&caller, children, false).await;
    deeds.cuts += 1;
    pause(1_500).await;
    set_phase("crash");
    pause(500).await;
    children.signal(turn, Signal::Kill);
    deeds.crashes += 1;
    pause(800).await;
    children.start_daemon(turn)?;
    pause(3_000).await;
    set_phase("calm");
    pause(1_000).await;
    Ok(())
}

async fn harm_workers(caller: &Caller, children: &Children, deeds: &mut Deeds) {
    let workers = children.workers();
    let faults = [
        Faults { lose_answer: true, ..Faults::default() },
        Faults { lose_request: true, ..Faults::default() },
        Faults { refuse: true, ..Faults::default() },
        Faults { lapse: true, ..Faults::default() },
        Faults { leaving: true, ..Faults::default() },
        Faults { slow_factor: 8.0, ..Faults::default() },
        Faults { restart: true, ..Faults::default() },
    ];
    for (worker, fault) in workers.iter().step_by(7).zip(faults) {
        post_fault(caller, *worker, fault).await;
        deeds.worker_faults += 1;
    }
    pause(1_500).await;
    for worker in &workers {
        post_fault(caller, *worker, Faults::default()).await;
    }
}

async fn post_fault(caller: &Caller, worker: SocketAddr, faults: Faults) {
    let _: Result<Value, _> = caller.post(worker, "/faults", &faults, 3_000).await;
}

async fn set_log(caller: &Caller, children: &Children, faults: LogFaults) {
    let _: Result<Value, _> = caller.post(children.fleet.log_addr, "/faults", &faults, 3_000).await;
}

/// Cuts the first zone off from the other daemons and from the platform, or heals it.
async fn cut_first_zone(caller: &Caller, children: &Children, cut: bool) {
    let zone = &children.fleet.daemons[0].zone;
    for daemon in &children.fleet.daemons {
        let inside = daemon.zone == *zone;
        let others = children.fleet.daemons.iter().filter(|other| (other.zone == *zone) != inside);
        let mut addrs: Vec<SocketAddr> = others.map(|other| other.peers).collect();
        if inside {
            let far = children.fleet.workers.iter().filter(|(_, other)| other != zone);
            addrs.extend(far.map(|(addr, _)| *addr));
            addrs.extend([children.fleet.log_addr, children.fleet.vm_list_addr]);
        }
        let addrs = if cut { addrs } else { Vec::new() };
        let body = serde_json::json!({ "cut": addrs }).to_string().into_bytes();
        let call = httpedge::client::RawCall {
            addr: daemon.operators,
            method: "POST",
            path: "/v1/faults",
            headers: &[],
            body,
            timeout_ms: 3_000,
        };
        let _ = caller.raw(call).await;
    }
}

async fn pause(span_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(span_ms)).await;
}
