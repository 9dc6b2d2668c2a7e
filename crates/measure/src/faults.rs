//! Injects faults into a fleet while callers resubmit: crashes, drains, pauses, network partitions,
//! log service outages and worker faults.

use std::net::SocketAddr;
use std::time::Duration;

use httpedge::client::Caller;
use serde_json::Value;
use standins::log::LogFaults;
use standins::worker::Faults;

use crate::children::{Children, Signal};

/// Number of faults injected, by type.
#[derive(Clone, Debug, Default)]
pub struct FaultCounts {
    /// Daemons killed and started again.
    pub crashes: usize,
    /// Daemons drained and started again.
    pub drains: usize,
    /// Daemons stopped by `SIGSTOP` and resumed.
    pub pauses: usize,
    /// Network partitions of the first zone, each healed afterwards.
    pub cuts: usize,
    /// Outages of the log service.
    pub outages: usize,
    /// Faults set on workers.
    pub worker_faults: usize,
}

/// Injects faults of every type, one type after the other. `set_phase` is called with the name of
/// each phase before its fault is injected.
///
/// # Errors
/// Fails if a draining daemon does not exit within 25 s or a daemon cannot be started.
pub async fn inject_faults(
    children: &mut Children,
    set_phase: impl Fn(&'static str),
    fault_counts: &mut FaultCounts,
) -> Result<(), String> {
    let caller = Caller::new();
    let count = children.daemons.len();
    let first_daemon = fault_counts.crashes % count;
    set_phase("worker faults");
    inject_worker_faults(&caller, children, fault_counts).await;
    set_phase("drain");
    sleep_ms(500).await;
    let drained = [(first_daemon + 2) % count, (first_daemon + 5) % count];
    for index in drained {
        children.signal(index, Signal::Terminate);
        fault_counts.drains += 1;
    }
    for index in drained {
        if !children.await_end(index, Duration::from_secs(25)).await {
            return Err("draining daemon did not exit within 25 s".to_owned());
        }
        children.start_daemon(index)?;
    }
    sleep_ms(3_000).await;
    set_phase("log outage");
    sleep_ms(300).await;
    set_log_faults(&caller, children, LogFaults { down: true, ..LogFaults::default() }).await;
    sleep_ms(3_000).await;
    let lossy = LogFaults { lose_reply_every: 3, slow_ms: 60, ..LogFaults::default() };
    set_log_faults(&caller, children, lossy).await;
    fault_counts.outages += 1;
    sleep_ms(2_000).await;
    set_log_faults(&caller, children, LogFaults::default()).await;
    set_phase("pause");
    children.signal((first_daemon + 1) % count, Signal::Stop);
    sleep_ms(2_500).await;
    children.signal((first_daemon + 1) % count, Signal::Continue);
    fault_counts.pauses += 1;
    sleep_ms(1_000).await;
    set_phase("cut");
    partition_first_zone(&caller, children, true).await;
    sleep_ms(3_000).await;
    partition_first_zone(&caller, children, false).await;
    fault_counts.cuts += 1;
    sleep_ms(1_500).await;
    set_phase("crash");
    sleep_ms(500).await;
    children.signal(first_daemon, Signal::Kill);
    fault_counts.crashes += 1;
    sleep_ms(800).await;
    children.start_daemon(first_daemon)?;
    sleep_ms(3_000).await;
    set_phase("calm");
    sleep_ms(1_000).await;
    Ok(())
}

async fn inject_worker_faults(
    caller: &Caller,
    children: &Children,
    fault_counts: &mut FaultCounts,
) {
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
        set_worker_faults(caller, *worker, fault).await;
        fault_counts.worker_faults += 1;
    }
    sleep_ms(1_500).await;
    for worker in &workers {
        set_worker_faults(caller, *worker, Faults::default()).await;
    }
}

async fn set_worker_faults(caller: &Caller, worker: SocketAddr, faults: Faults) {
    let _: Result<Value, _> = caller.post(worker, "/faults", &faults, 3_000).await;
}

async fn set_log_faults(caller: &Caller, children: &Children, faults: LogFaults) {
    let _: Result<Value, _> = caller.post(children.fleet.log, "/faults", &faults, 3_000).await;
}

/// Cuts the first zone's daemons off from the daemons and workers of the other zones, the log
/// service and the VM list, or heals the partition if `cut` is false.
async fn partition_first_zone(caller: &Caller, children: &Children, cut: bool) {
    let zone = &children.fleet.daemons[0].zone;
    for daemon in &children.fleet.daemons {
        let inside = daemon.zone == *zone;
        let others = children.fleet.daemons.iter().filter(|other| (other.zone == *zone) != inside);
        let mut addrs: Vec<SocketAddr> = others.map(|other| other.peers).collect();
        if inside {
            let other_zone_workers =
                children.fleet.workers.iter().filter(|(_, other)| other != zone);
            addrs.extend(other_zone_workers.map(|(addr, _)| *addr));
            addrs.extend([children.fleet.log, children.fleet.vms]);
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

async fn sleep_ms(duration_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(duration_ms)).await;
}
