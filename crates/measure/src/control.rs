//! What control costs a daemon as workers, daemons, catalogue entries and load grow, and how
//! fast a catalogue change is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::catalogue::{Change, Item, TeamSpec};
use httpedge::client::Caller;
use serde_json::Value;

use crate::calls::{edit, state};
use crate::children::{Children, Signal};
use crate::fleet::Fleet;
use crate::runner::{EntryDistribution, run_trace};
use crate::trace::{TraceParams, generate_jobs};

const ZONES: [&str; 6] = ["a-1", "a-2", "a-3", "b-1", "b-2", "b-3"];
const WINDOW: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(3);

/// The letter's size, per daemon or in all, and its limits for control.
const SIZE_DAEMONS: f64 = 48.0;
const SIZE_WORKERS: f64 = 970.0;
const SIZE_ENTRIES: f64 = 240.0;
const SIZE_STARTS_PER_S: f64 = 54_000.0;
const CPU_LIMIT_PERCENT: f64 = 1.4;
const MEMORY_LIMIT_MB: f64 = 32.0;
const BYTES_LIMIT_PER_S: f64 = 28_000.0;
const FORCE_LIMIT_MS: f64 = 2_000.0;
const START_LIMIT_MS: f64 = 2_000.0;
const MANY_ENTRIES: usize = 10_000;
const ENTRIES_PER_EDIT: usize = 500;
const EDITS: usize = 100;

/// What one daemon spends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Share of a core, in percent.
    pub cpu_percent: f64,
    /// Resident memory.
    pub memory_mb: f64,
    /// Messages to and from daemons and platform a second.
    pub messages_per_s: f64,
    /// Bytes to and from other daemons a second.
    pub bytes_per_s: f64,
    /// Tasks ended a second.
    pub tasks_per_s: f64,
}

/// Runs the measurement, and tells whether every target is met.
///
/// # Errors
/// Fails where a fleet cannot be started.
pub async fn run() -> Result<bool, String> {
    println!("{:>24} {:>8} {:>9} {:>9} {:>9}", "size", "cpu %", "MB", "msgs/s", "bytes/s");
    let daemons = sweep("daemons", &[2, 6, 12, 24], |count| (count, 48, 6)).await?;
    let workers = sweep("workers", &[48, 240, 970], |count| (6, count, 6)).await?;
    let entries = sweep("entries", &[6, 1_200, 4_800], |count| (6, 48, count)).await?;
    let load = sweep_load(&[0.2, 0.5, 0.8]).await?;
    let mut met = judge_size(&daemons, &workers, &entries, &load);
    met &= judge_changes().await?;
    met &= judge_start().await?;
    Ok(met)
}

type Points = Vec<(f64, Cost)>;
/// A quantity's name with how to read it.
type Quantity = (&'static str, fn(&Cost) -> f64);

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
        fill(&children, entries).await?;
        actix_rt::time::sleep(CALM).await;
        let cost = observe(&children, WINDOW).await?;
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
        let shape = TraceParams {
            slots: 48 * 8,
            load: *load,
            duration_ms: 9_000.0,
            mean_tasks: 8.0,
            burst: None,
            max_declared_factor: 1.0,
            seed: 5,
        };
        let trace = generate_jobs(&shape);
        let entries = children.callers();
        let playing = actix_rt::spawn(async move {
            run_trace(&trace, &entries, EntryDistribution::Uniform).await
        });
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let cost = observe(&children, WINDOW).await?;
        let _ = playing.await;
        print_cost(&format!("{:.0} starts/s", cost.tasks_per_s), cost);
        points.push((cost.tasks_per_s, cost));
    }
    Ok(points)
}

async fn fill(children: &Children, entries: usize) -> Result<(), String> {
    let caller = Caller::new();
    let names: Vec<String> = (0..entries).map(|place| format!("team-{place}")).collect();
    for (round, group) in names.chunks(ENTRIES_PER_EDIT).enumerate() {
        let changes = group.iter().map(|name| Change {
            name: name.clone(),
            base: None,
            item: Some(Item::Team(TeamSpec::default())),
        });
        let id = format!("fill-{round}");
        edit(&caller, children.operators()[0], &id, changes.collect()).await?;
    }
    Ok(())
}

/// Watches the first daemon for a while.
async fn observe(children: &Children, window: Duration) -> Result<Cost, String> {
    let caller = Caller::new();
    let operators = children.operators()[0];
    let pid = children.pid(0).ok_or("the daemon is gone")?;
    let (before, cpu_before) = (counts(&caller, operators).await?, cpu_ns(pid));
    let began = Instant::now();
    actix_rt::time::sleep(window).await;
    let cpu = cpu_ns(pid).saturating_sub(cpu_before) as f64;
    let span_s = began.elapsed().as_secs_f64();
    let after = counts(&caller, operators).await?;
    Ok(Cost {
        cpu_percent: cpu / 1e9 / span_s * 100.0,
        memory_mb: resident_mb(pid),
        messages_per_s: (after.messages - before.messages) / span_s,
        bytes_per_s: (after.bytes - before.bytes) / span_s,
        tasks_per_s: (after.tasks - before.tasks) / span_s,
    })
}

#[derive(Clone, Copy, Debug)]
struct Counts {
    messages: f64,
    bytes: f64,
    tasks: f64,
}

async fn counts(caller: &Caller, operators: SocketAddr) -> Result<Counts, String> {
    let state: Value = state(caller, operators).await.map_err(|error| error.to_string())?;
    let traffic = &state["traffic"];
    let number = |key: &str| traffic[key].as_f64().unwrap_or(0.0);
    Ok(Counts {
        messages: number("peer_sent") + number("peer_received") + number("platform_messages"),
        bytes: number("peer_sent_bytes") + number("peer_received_bytes"),
        tasks: state["engine"]["counters"]["ended"].as_f64().unwrap_or(0.0),
    })
}

fn cpu_ns(pid: u32) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task"));
    let threads = threads.into_iter().flatten().flatten();
    let spent = threads.filter_map(|thread| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    spent.sum()
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

/// Gives the slope of a quantity by least squares.
fn slope(points: &Points, of: impl Fn(&Cost) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, cost)| of(cost)).sum::<f64>() / count;
    let over: f64 = points.iter().map(|(x, cost)| (x - mean_x) * (of(cost) - mean_y)).sum();
    let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if under > 0.0 { over / under } else { 0.0 }
}

fn judge_size(daemons: &Points, workers: &Points, entries: &Points, load: &Points) -> bool {
    let starts = SIZE_STARTS_PER_S / SIZE_DAEMONS;
    let base = workers[0].1;
    let at_size = |of: fn(&Cost) -> f64| {
        let least = |points: &Points| slope(points, of).max(0.0);
        of(&base)
            + least(daemons) * (SIZE_DAEMONS - 6.0)
            + least(workers) * (SIZE_WORKERS - 48.0)
            + least(entries) * (SIZE_ENTRIES - 6.0)
    };
    let quantities: [Quantity; 4] = [
        ("cpu %", |cost| cost.cpu_percent),
        ("MB", |cost| cost.memory_mb),
        ("messages/s", |cost| cost.messages_per_s),
        ("bytes/s", |cost| cost.bytes_per_s),
    ];
    println!("\nslopes of what a daemon spends:");
    for (name, of) in quantities {
        println!(
            "  {name:>10}: {:.5} a daemon, {:.6} a worker, {:.6} an entry, {:.6} a start/s",
            slope(daemons, of),
            slope(workers, of),
            slope(entries, of),
            slope(load, of)
        );
    }
    let moves_bytes = slope(load, |cost| cost.bytes_per_s).max(0.0) * starts;
    let cpu = at_size(|cost| cost.cpu_percent);
    let memory = at_size(|cost| cost.memory_mb);
    let bytes = at_size(|cost| cost.bytes_per_s) + moves_bytes;
    println!("at the letter's size, per daemon (48 daemons, 970 workers, {starts:.0} starts/s):");
    println!("  control cpu {cpu:.2}% (limit {CPU_LIMIT_PERCENT})");
    println!("  memory {memory:.1} MB (limit {MEMORY_LIMIT_MB})");
    println!(
        "  between daemons {bytes:.0} bytes/s, {moves_bytes:.0} of it slot moves (limit {BYTES_LIMIT_PER_S})"
    );
    cpu <= CPU_LIMIT_PERCENT && memory <= MEMORY_LIMIT_MB && bytes <= BYTES_LIMIT_PER_S
}

/// Times edits until they are in force on every daemon, with the log near its rate limit.
async fn judge_changes() -> Result<bool, String> {
    let fleet = Fleet::with_free_ports(&ZONES, 12, 48, 8);
    let children = Children::start_without_workers(fleet).await?;
    let caller = Caller::new();
    let log = children.fleet.log_addr;
    let noise = actix_rt::spawn(make_noise(log));
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
                Err(why) if why.contains("too many") => {
                    actix_rt::time::sleep(Duration::from_millis(100)).await;
                }
                Err(why) => return Err(why),
            }
        };
        await_everywhere(&caller, &operators, revision + 1).await?;
        times_ms.push(began.elapsed().as_secs_f64() * 1_000.0);
    }
    noise.abort();
    times_ms.sort_by(f64::total_cmp);
    let (median, p99) = (times_ms[EDITS / 2], times_ms[EDITS * 99 / 100]);
    println!(
        "a change in force on 12 daemons, log near its limit: median {median:.0} ms, p99 {p99:.0} ms (target {FORCE_LIMIT_MS})"
    );
    Ok(p99 <= FORCE_LIMIT_MS)
}

async fn make_noise(log: SocketAddr) {
    let caller = Caller::new();
    let body = serde_json::json!({ "records": ["noise"] });
    loop {
        let _: Result<Value, _> = caller.post(log, "/streams/noise", &body, 2_000).await;
    }
}

async fn await_everywhere(
    caller: &Caller,
    operators: &[SocketAddr],
    offset: u64,
) -> Result<(), String> {
    for addr in operators {
        for look in 0.. {
            let state = state(caller, *addr).await.map_err(|error| error.to_string())?;
            if state["catalogue_offset"].as_u64() >= Some(offset) {
                break;
            }
            if look > 2_000 {
                return Err(format!("{addr} did not reach offset {offset}"));
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(())
}

/// Times a new daemon from its start until it serves, with a large catalogue.
async fn judge_start() -> Result<bool, String> {
    let fleet = Fleet::with_free_ports(&ZONES, 3, 48, 8);
    let mut children = Children::start_without_workers(fleet).await?;
    fill(&children, MANY_ENTRIES).await?;
    children.signal(2, Signal::Kill);
    let caller = Caller::new();
    let entry = children.callers()[2];
    let began = Instant::now();
    children.start_daemon(2)?;
    let limit = Duration::from_secs(20);
    while began.elapsed() < limit {
        let call = httpedge::client::RawCall {
            addr: entry,
            method: "GET",
            path: "/healthz",
            headers: &[],
            body: Vec::new(),
            timeout_ms: 1_000,
        };
        if caller.raw(call).await.is_ok_and(|(status, _)| status == 200) {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let start_ms = began.elapsed().as_secs_f64() * 1_000.0;
    println!(
        "a new daemon with {MANY_ENTRIES} entries serves after {start_ms:.0} ms (target {START_LIMIT_MS})"
    );
    Ok(start_ms <= START_LIMIT_MS)
}
