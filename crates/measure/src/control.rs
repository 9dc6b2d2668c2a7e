//! Measures the control overhead of a daemon as the numbers of daemons, workers and catalogue
//! entries and the load grow, the propagation time of a catalogue change, and the start-up time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::catalogue::{Change, Item, TeamSpec};
use httpedge::client::HttpClient;
use serde_json::Value;

use crate::calls::{edit, state};
use crate::children::{Children, Signal};
use crate::fleet::Fleet;
use crate::runner::{EntryDistribution, run_trace};
use crate::trace::{TraceParams, generate_jobs};

const ZONES: [&str; 6] = ["a-1", "a-2", "a-3", "b-1", "b-2", "b-3"];
const OBSERVATION_WINDOW: Duration = Duration::from_secs(6);
const SETTLE_TIME: Duration = Duration::from_secs(3);

// Fleet size that the users require, as totals of the fleet, and limits on the control overhead of
// one daemon, on the propagation time of a catalogue change and on the start-up time of a daemon.
const REQUIRED_DAEMONS: f64 = 48.0;
const REQUIRED_WORKERS: f64 = 970.0;
const REQUIRED_ENTRIES: f64 = 240.0;
const REQUIRED_STARTS_PER_S: f64 = 54_000.0;
const CPU_LIMIT_PERCENT: f64 = 1.4;
const MEMORY_LIMIT_MB: f64 = 32.0;
const BYTES_PER_S_LIMIT: f64 = 28_000.0;
const PROPAGATION_LIMIT_MS: f64 = 2_000.0;
const STARTUP_LIMIT_MS: f64 = 2_000.0;
const STARTUP_ENTRIES: usize = 10_000;
const ENTRIES_PER_EDIT: usize = 500;
const EDITS: usize = 100;

/// Resource usage of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// CPU time, in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory, in MiB.
    pub memory_mb: f64,
    /// Messages exchanged with other daemons and the platform, per second.
    pub messages_per_s: f64,
    /// Bytes exchanged with other daemons, per second.
    pub bytes_per_s: f64,
    /// Tasks ended per second.
    pub tasks_per_s: f64,
}

/// Runs the measurement. Returns whether every target is met.
///
/// # Errors
/// Fails if a fleet cannot be started, a catalogue edit fails, a daemon's state cannot be read, or
/// a daemon does not apply a catalogue change in time.
pub async fn run() -> Result<bool, String> {
    println!("{:>24} {:>8} {:>9} {:>9} {:>9}", "size", "cpu %", "MB", "msgs/s", "bytes/s");
    let daemons = sweep("daemons", &[2, 6, 12, 24], |count| (count, 48, 6)).await?;
    let workers = sweep("workers", &[48, 240, 970], |count| (6, count, 6)).await?;
    let entries = sweep("entries", &[6, 1_200, 4_800], |count| (6, 48, count)).await?;
    let load = sweep_load(&[0.2, 0.5, 0.8]).await?;
    let mut met = check_cost_limits(&daemons, &workers, &entries, &load);
    met &= check_propagation().await?;
    met &= check_startup().await?;
    Ok(met)
}

/// Sizes of the swept dimension, each with the cost measured at that size.
type Points = Vec<(f64, Cost)>;
/// Name of a metric and the function that reads it from a [`Cost`].
type Metric = (&'static str, fn(&Cost) -> f64);

async fn sweep(
    name: &str,
    sizes: &[usize],
    layout: impl Fn(usize) -> (usize, usize, usize),
) -> Result<Points, String> {
    let mut points = Vec::new();
    for size in sizes {
        let (daemons, workers, entries) = layout(*size);
        let fleet = Fleet::with_free_ports(&ZONES, daemons, workers, 8);
        let children = Children::start_without_workers(fleet).await?;
        fill_catalogue(&children, entries).await?;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let cost = measure_cost(&children, OBSERVATION_WINDOW).await?;
        print_cost(&format!("{name} {size}"), cost);
        points.push((*size as f64, cost));
    }
    Ok(points)
}

async fn sweep_load(loads: &[f64]) -> Result<Points, String> {
    let mut points = Vec::new();
    for load in loads {
        let fleet = Fleet::with_free_ports(&ZONES, 6, 48, 8);
        let children = Children::start(fleet).await?;
        let params = TraceParams {
            slots: 48 * 8,
            load: *load,
            duration_ms: 9_000.0,
            mean_tasks: 8.0,
            burst: None,
            max_declared_factor: 1.0,
            seed: 5,
        };
        let trace = generate_jobs(&params);
        let entries = children.callers();
        let trace_run = actix_rt::spawn(async move {
            run_trace(&trace, &entries, EntryDistribution::Uniform).await
        });
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let cost = measure_cost(&children, OBSERVATION_WINDOW).await?;
        let _ = trace_run.await;
        print_cost(&format!("{:.0} starts/s", cost.tasks_per_s), cost);
        points.push((cost.tasks_per_s, cost));
    }
    Ok(points)
}

async fn fill_catalogue(children: &Children, entries: usize) -> Result<(), String> {
    let caller = HttpClient::new();
    let names: Vec<String> = (0..entries).map(|index| format!("team-{index}")).collect();
    for (round, names_in_edit) in names.chunks(ENTRIES_PER_EDIT).enumerate() {
        let changes = names_in_edit.iter().map(|name| Change {
            name: name.clone(),
            base: None,
            item: Some(Item::Team(TeamSpec::default())),
        });
        let id = format!("fill-{round}");
        edit(&caller, children.operators()[0], &id, changes.collect()).await?;
    }
    Ok(())
}

/// Measures the resource usage of the first daemon over `window`.
async fn measure_cost(children: &Children, window: Duration) -> Result<Cost, String> {
    let caller = HttpClient::new();
    let operators = children.operators()[0];
    let pid = children.pid(0).ok_or("the first daemon is not running")?;
    let (before, cpu_before) = (read_counters(&caller, operators).await?, cpu_ns(pid));
    let began = Instant::now();
    actix_rt::time::sleep(window).await;
    let cpu = cpu_ns(pid).saturating_sub(cpu_before) as f64;
    let span_s = began.elapsed().as_secs_f64();
    let after = read_counters(&caller, operators).await?;
    Ok(Cost {
        cpu_percent: cpu / 1e9 / span_s * 100.0,
        memory_mb: resident_mb(pid),
        messages_per_s: (after.messages - before.messages) / span_s,
        bytes_per_s: (after.bytes - before.bytes) / span_s,
        tasks_per_s: (after.tasks - before.tasks) / span_s,
    })
}

#[derive(Clone, Copy, Debug)]
struct CounterSnapshot {
    messages: f64,
    bytes: f64,
    tasks: f64,
}

async fn read_counters(
    caller: &HttpClient,
    operators: SocketAddr,
) -> Result<CounterSnapshot, String> {
    let state: Value = state(caller, operators).await.map_err(|error| error.to_string())?;
    let traffic = &state["traffic"];
    let number = |key: &str| traffic[key].as_f64().unwrap_or(0.0);
    Ok(CounterSnapshot {
        messages: number("peer_sent") + number("peer_received") + number("platform_messages"),
        bytes: number("peer_sent_bytes") + number("peer_received_bytes"),
        tasks: state["engine"]["counters"]["ended"].as_f64().unwrap_or(0.0),
    })
}

fn cpu_ns(pid: u32) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task"));
    let threads = threads.into_iter().flatten().flatten();
    let cpu_times = threads.filter_map(|thread_dir| {
        let text = std::fs::read_to_string(thread_dir.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    cpu_times.sum()
}

fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|n| n.parse().ok());
    kib.unwrap_or(0.0) / 1_024.0
}

fn print_cost(name: &str, cost: Cost) {
    println!(
        "{name:>24} {:8.3} {:9.2} {:9.1} {:9.0}",
        cost.cpu_percent, cost.memory_mb, cost.messages_per_s, cost.bytes_per_s
    );
}

/// Returns the least-squares slope of a metric over the swept size.
fn slope(points: &Points, value_of: impl Fn(&Cost) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, cost)| value_of(cost)).sum::<f64>() / count;
    let numerator: f64 =
        points.iter().map(|(x, cost)| (x - mean_x) * (value_of(cost) - mean_y)).sum();
    let denominator: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if denominator > 0.0 { numerator / denominator } else { 0.0 }
}

fn check_cost_limits(daemons: &Points, workers: &Points, entries: &Points, load: &Points) -> bool {
    let starts_per_daemon = REQUIRED_STARTS_PER_S / REQUIRED_DAEMONS;
    let base = workers[0].1;
    let at_required_size = |value_of: fn(&Cost) -> f64| {
        let non_negative_slope = |points: &Points| slope(points, value_of).max(0.0);
        value_of(&base)
            + non_negative_slope(daemons) * (REQUIRED_DAEMONS - 6.0)
            + non_negative_slope(workers) * (REQUIRED_WORKERS - 48.0)
            + non_negative_slope(entries) * (REQUIRED_ENTRIES - 6.0)
    };
    let metrics: [Metric; 4] = [
        ("cpu %", |cost| cost.cpu_percent),
        ("MB", |cost| cost.memory_mb),
        ("messages/s", |cost| cost.messages_per_s),
        ("bytes/s", |cost| cost.bytes_per_s),
    ];
    println!("\nincrease in the cost of one daemon (least-squares slopes):");
    for (name, value_of) in metrics {
        println!(
            "  {name:>10}: {:.5} per daemon, {:.6} per worker, {:.6} per entry, {:.6} per start/s",
            slope(daemons, value_of),
            slope(workers, value_of),
            slope(entries, value_of),
            slope(load, value_of)
        );
    }
    let slot_transfer_bytes = slope(load, |cost| cost.bytes_per_s).max(0.0) * starts_per_daemon;
    let cpu = at_required_size(|cost| cost.cpu_percent);
    let memory = at_required_size(|cost| cost.memory_mb);
    let bytes = at_required_size(|cost| cost.bytes_per_s) + slot_transfer_bytes;
    println!(
        "at the required fleet size, per daemon (48 daemons, 970 workers, {starts_per_daemon:.0} starts/s):"
    );
    println!("  control cpu {cpu:.2}% (limit {CPU_LIMIT_PERCENT})");
    println!("  memory {memory:.1} MB (limit {MEMORY_LIMIT_MB})");
    println!(
        "  between daemons {bytes:.0} bytes/s, {slot_transfer_bytes:.0} of it for slot transfers (limit {BYTES_PER_S_LIMIT})"
    );
    cpu <= CPU_LIMIT_PERCENT && memory <= MEMORY_LIMIT_MB && bytes <= BYTES_PER_S_LIMIT
}

/// Measures the time until a catalogue edit is applied on every daemon, with the log service near
/// its rate limit. Returns whether the 99th percentile meets the target.
async fn check_propagation() -> Result<bool, String> {
    let fleet = Fleet::with_free_ports(&ZONES, 12, 48, 8);
    let children = Children::start_without_workers(fleet).await?;
    let caller = HttpClient::new();
    let log = children.fleet.log_addr;
    let log_load = actix_rt::spawn(load_log_service(log));
    let operators = children.operators();
    let mut times_ms = Vec::new();
    for round in 0..EDITS {
        let change = Change {
            name: format!("timed-{round}"),
            base: None,
            item: Some(Item::Team(TeamSpec::default())),
        };
        let began = Instant::now();
        let entry = operators[round % operators.len()];
        let revision = loop {
            let id = format!("timed-{round}-{}", began.elapsed().as_nanos());
            match edit(&caller, entry, &id, vec![change.clone()]).await {
                Ok(revision) => break revision,
                Err(error) if error.contains("too many") => {
                    actix_rt::time::sleep(Duration::from_millis(100)).await;
                }
                Err(error) => return Err(error),
            }
        };
        await_offset_on_all(&caller, &operators, revision + 1).await?;
        times_ms.push(began.elapsed().as_secs_f64() * 1_000.0);
    }
    log_load.abort();
    times_ms.sort_by(f64::total_cmp);
    let (median, p99) = (times_ms[EDITS / 2], times_ms[EDITS * 99 / 100]);
    println!(
        "catalogue change applied on 12 daemons, log service near its rate limit: median {median:.0} ms, p99 {p99:.0} ms (target {PROPAGATION_LIMIT_MS})"
    );
    Ok(p99 <= PROPAGATION_LIMIT_MS)
}

async fn load_log_service(log: SocketAddr) {
    let caller = HttpClient::new();
    let body = serde_json::json!({ "records": ["noise"] });
    loop {
        let _: Result<Value, _> = caller.post(log, "/streams/noise", &body, 2_000).await;
    }
}

async fn await_offset_on_all(
    caller: &HttpClient,
    operators: &[SocketAddr],
    offset: u64,
) -> Result<(), String> {
    for addr in operators {
        for attempt in 0.. {
            let state = state(caller, *addr).await.map_err(|error| error.to_string())?;
            if state["catalogue_offset"].as_u64() >= Some(offset) {
                break;
            }
            if attempt > 2_000 {
                return Err(format!(
                    "daemon at {addr} did not reach catalogue offset {offset} after 2,000 polls"
                ));
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(())
}

/// Measures the time from the start of a daemon process until it is ready, with a large catalogue.
/// Returns whether the target is met.
async fn check_startup() -> Result<bool, String> {
    let fleet = Fleet::with_free_ports(&ZONES, 3, 48, 8);
    let mut children = Children::start_without_workers(fleet).await?;
    fill_catalogue(&children, STARTUP_ENTRIES).await?;
    children.signal(2, Signal::Kill);
    let caller = HttpClient::new();
    let entry = children.callers()[2];
    let began = Instant::now();
    children.start_daemon(2)?;
    let limit = Duration::from_secs(20);
    while began.elapsed() < limit {
        let call = httpedge::client::RawRequest {
            addr: entry,
            method: "GET",
            path: "/healthz",
            headers: &[],
            body: Vec::new(),
            timeout_ms: 1_000,
        };
        if caller.send_raw(call).await.is_ok_and(|(status, _)| status == 200) {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let startup_ms = began.elapsed().as_secs_f64() * 1_000.0;
    println!(
        "new daemon process with {STARTUP_ENTRIES} catalogue entries is ready after {startup_ms:.0} ms (target {STARTUP_LIMIT_MS})"
    );
    Ok(startup_ms <= STARTUP_LIMIT_MS)
}
