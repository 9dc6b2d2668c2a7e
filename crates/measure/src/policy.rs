//! Compares worker selection policies by response time relative to the ideal, messages, refusals
//! and goodput.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use dispatch::answer::Verdict;
use dispatch::workers::SelectionPolicy;
use hdrhistogram::Histogram;
use httpedge::client::HttpClient;
use serde_json::Value;
use standins::worker::Faults;

use crate::calls;
use crate::children::Children;
use crate::fleet::{FERRANDI_ZONES, Fleet, KESEL_ZONES};
use crate::ideal::central_queue;
use crate::ledgers;
use crate::runner::{EntryDistribution, JobResult, run_trace};
use crate::scenario::{Condition, SCENARIOS, SLOTS, Scenario, Target, WORKERS, generate_trace};
use crate::trace::TraceJob;

const DAEMONS: usize = 8;
/// Jobs that arrive before this time are run but not measured, to exclude start-up effects.
const WARM_UP_MS: f64 = 1_500.0;
const POLICIES: [SelectionPolicy; 5] = [
    SelectionPolicy::Random,
    SelectionPolicy::RoundRobin,
    SelectionPolicy::LeastOutstanding,
    SelectionPolicy::TwoChoices,
    SelectionPolicy::Shares,
];

/// Target for the messages per task to workers, other daemons and the platform together.
const MAX_MESSAGES_PER_TASK: f64 = 2.2;
/// Target for the 99th percentile of the time to refuse a job.
const REFUSAL_LIMIT_MS: f64 = 5.0;

/// Results of one policy in one scenario, printed as one row of the table.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Name of the policy, or `central queue` for the ideal.
    pub policy: String,
    /// Response time of a job over the work of its longest task: median, 99th and 99.9th
    /// percentiles.
    pub ratios: [f64; 3],
    /// The same percentiles for the owners other than the one that floods.
    pub other_owners: [f64; 3],
    /// Messages per task to workers, other daemons and the platform.
    pub messages: f64,
    /// Messages per task to workers and daemons in other zones.
    pub cross_zone_messages: f64,
    /// Messages per task to other daemons.
    pub peer_messages: f64,
    /// Per task: slot requests, grants of idle slots, grants for fairness, and returned slots.
    pub slot_messages: [f64; 4],
    /// Starts refused by workers, per task.
    pub refused_starts: f64,
    /// Share of jobs that were refused, that is with verdict `not_run`.
    pub refused: f64,
    /// Share of jobs that failed because of worker faults.
    pub failed: f64,
    /// Jobs whose answer is missing, unknown, still running, incomplete or mismatched, plus one if
    /// any task was started more than once.
    pub wrong_answers: usize,
    /// Completed work over capacity while jobs arrived.
    pub goodput: f64,
    /// 99th percentile of the time to refuse a job, in milliseconds.
    pub refusal_ms: f64,
    /// Share of the starts that went to failing workers, counted from one second after they began
    /// to fail.
    pub failing_share: f64,
    /// Maximum number of open starts on one worker.
    pub max_open_starts: usize,
}

/// Runs the scenarios whose names contain `only`. Returns whether all targets are met.
///
/// # Errors
/// Fails if a fleet cannot be started or the ledger of a worker cannot be read.
pub async fn run(only: &str, quick: bool, baseline_names: &str) -> Result<bool, String> {
    let mut missed = Vec::new();
    for scenario in SCENARIOS.iter().filter(|scenario| scenario.name.contains(only)) {
        if quick && !scenario.is_quick() {
            continue;
        }
        println!("\n## {}", scenario.name);
        println!(
            "{:18} {:>6} {:>7} {:>7} {:>6} {:>6} {:>8} {:>7} {:>6} {:>8}",
            "policy", "p50", "p99", "p99.9", "msgs", "far", "refused", "failed", "wrong", "goodput"
        );
        let mut rows = Vec::new();
        let trace = generate_trace(scenario, quick);
        let ideal = ideal_row(scenario, &trace);
        print_row(&ideal);
        let selected = POLICIES.iter().filter(|policy| {
            let shipped = **policy == SelectionPolicy::Shares;
            let name = dispatch::report::name_of(*policy);
            shipped || (!quick && (baseline_names.is_empty() || baseline_names.contains(&name)))
        });
        for policy in selected {
            let row = run_policy(scenario, *policy, &trace).await?;
            print_row(&row);
            rows.push(row);
        }
        missed.extend(check_targets(scenario, &ideal, &rows).await?);
    }
    for miss in &missed {
        println!("missed: {miss}");
    }
    Ok(missed.is_empty())
}

fn ideal_row(scenario: &Scenario, trace: &[TraceJob]) -> Row {
    let responses = central_queue(trace, WORKERS as u32 * SLOTS);
    let measured = trace.iter().zip(&responses).filter(|(job, _)| job.at_ms > WARM_UP_MS);
    let ratios: Vec<f64> =
        measured.map(|(job, response)| response / job.ideal_ms() as f64).collect();
    let other_owners_jobs = trace.iter().filter(|job| job.kind == "coverage-check").cloned();
    let without_flood: Vec<TraceJob> = other_owners_jobs.collect();
    let alone_responses = central_queue(&without_flood, WORKERS as u32 * SLOTS);
    let alone_ratios: Vec<f64> = without_flood
        .iter()
        .zip(&alone_responses)
        .map(|(job, ms)| ms / job.ideal_ms() as f64)
        .collect();
    let policy = "central queue".to_owned();
    let other_owners =
        if scenario.condition == Condition::Flood { percentiles(&alone_ratios) } else { [0.0; 3] };
    Row { policy, ratios: percentiles(&ratios), other_owners, ..Row::default() }
}

async fn run_policy(
    scenario: &Scenario,
    policy: SelectionPolicy,
    trace: &[TraceJob],
) -> Result<Row, String> {
    let zones: &[&str] = if scenario.kesel { &KESEL_ZONES } else { &FERRANDI_ZONES };
    let daemons = if scenario.kesel { 6 } else { DAEMONS };
    let mut fleet = Fleet::with_free_ports(zones, daemons, WORKERS, SLOTS);
    fleet.selection_policy = policy;
    let children = Children::start(fleet).await?;
    let caller = HttpClient::new();
    let before = read_counters(&caller, &children.operators()).await;
    let fault_task = actix_rt::spawn(inject_fault(scenario.condition, fleet_addresses(&children)));
    let distribution = match scenario.condition {
        Condition::Skewed => EntryDistribution::Skewed(0.4),
        _ => EntryDistribution::Uniform,
    };
    let results = run_trace(trace, &children.callers(), distribution).await;
    let early_starts = fault_task.await.unwrap_or_default();
    let after = read_counters(&caller, &children.operators()).await;
    let workers = children.workers();
    let ledgers = ledgers::read(&caller, &workers).await?;
    let mut row = build_row(policy, trace, &results);
    let tasks = (after.tasks - before.tasks).max(1.0);
    row.messages = (after.messages - before.messages) / tasks;
    row.cross_zone_messages = (after.cross_zone - before.cross_zone) / tasks;
    row.peer_messages = (after.peers - before.peers) / tasks;
    for (index, count) in row.slot_messages.iter_mut().enumerate() {
        *count = (after.slots[index] - before.slots[index]) / tasks;
    }
    row.refused_starts = (after.refused - before.refused) / tasks;
    row.max_open_starts = ledgers.max_open_starts;
    if scenario.condition == Condition::FailingWorkers {
        let starts = |addr: &SocketAddr| ledgers.starts_by_worker.get(addr).copied().unwrap_or(0);
        let failing: usize = workers.iter().take(2).map(starts).sum();
        let all: usize = workers.iter().map(starts).sum();
        let late = failing.saturating_sub(early_starts.0);
        row.failing_share = late as f64 / all.saturating_sub(early_starts.1).max(1) as f64;
    }
    if ledgers.max_starts_per_task() > 1 {
        row.wrong_answers += 1;
        println!("a task was started {} times", ledgers.max_starts_per_task());
    }
    Ok(row)
}

#[derive(Clone, Debug)]
struct FleetAddresses {
    workers: Vec<SocketAddr>,
    worker_zones: Vec<(SocketAddr, String)>,
    daemons: Vec<(SocketAddr, SocketAddr, String)>,
    callers: Vec<SocketAddr>,
}

fn fleet_addresses(children: &Children) -> FleetAddresses {
    let daemons = children.fleet.daemons.iter();
    FleetAddresses {
        workers: children.workers(),
        worker_zones: children.fleet.workers.clone(),
        daemons: daemons.map(|d| (d.operators, d.peers, d.zone.clone())).collect(),
        callers: children.callers(),
    }
}

/// Injects the scenario's fault. For failing workers, returns the number of starts on these workers
/// and on all workers one second after the failure began; otherwise zeros.
async fn inject_fault(condition: Condition, addrs: FleetAddresses) -> (usize, usize) {
    let caller = HttpClient::new();
    match condition {
        Condition::SlowWorkers => {
            let faults = Faults { slow_factor: 5.0, ..Faults::default() };
            set_faults(&caller, &addrs.workers[..3], faults).await;
        }
        Condition::FailingWorkers => {
            actix_rt::time::sleep(Duration::from_millis(1_500)).await;
            let faults = Faults { fail_fast: true, ..Faults::default() };
            set_faults(&caller, &addrs.workers[..2], faults).await;
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            let Ok(ledgers) = ledgers::read(&caller, &addrs.workers).await else {
                return (0, 0);
            };
            let starts =
                |addr: &SocketAddr| ledgers.starts_by_worker.get(addr).copied().unwrap_or(0);
            let failing = addrs.workers.iter().take(2).map(starts).sum();
            return (failing, addrs.workers.iter().map(starts).sum());
        }
        Condition::ZonePartition => {
            actix_rt::time::sleep(Duration::from_secs(2)).await;
            partition_first_zone(&caller, &addrs).await;
        }
        Condition::MassCancellation => {
            actix_rt::time::sleep(Duration::from_secs(4)).await;
            cancel_wave(&caller, &addrs).await;
        }
        Condition::Steady
        | Condition::Burst
        | Condition::WrongDeclaredTimes
        | Condition::Skewed
        | Condition::Flood => {}
    }
    (0, 0)
}

async fn set_faults(caller: &HttpClient, workers: &[SocketAddr], faults: Faults) {
    for worker in workers {
        let _: Result<Value, _> = caller.post(*worker, "/faults", &faults, 5_000).await;
    }
}

/// Partitions the first zone: its daemons can no longer reach the daemons and workers of other
/// zones, and vice versa.
async fn partition_first_zone(caller: &HttpClient, addrs: &FleetAddresses) {
    let zone = addrs.daemons[0].2.clone();
    for (operators, _, own_zone) in &addrs.daemons {
        let across_partition = |other: &String| (*other == zone) != (*own_zone == zone);
        let daemons = addrs.daemons.iter().filter(|(_, _, other)| across_partition(other));
        let mut cut: Vec<SocketAddr> = daemons.map(|(_, peers, _)| *peers).collect();
        let workers = addrs.worker_zones.iter().filter(|(_, other)| across_partition(other));
        cut.extend(workers.map(|(addr, _)| *addr));
        let body = serde_json::json!({ "cut": cut });
        let call = httpedge::client::RawRequest {
            addr: *operators,
            method: "POST",
            path: "/v1/faults",
            headers: &[],
            body: body.to_string().into_bytes(),
            timeout_ms: 5_000,
        };
        let _ = caller.send_raw(call).await;
    }
}

/// Submits three jobs of long tasks to each daemon in addition to the trace, and cancels all of
/// them at once.
async fn cancel_wave(caller: &HttpClient, addrs: &FleetAddresses) {
    let mut tickets = Vec::new();
    for (index, entry) in addrs.callers.iter().enumerate() {
        for round in 0..3_u64 {
            let salt = 1_000_000 + index as u64 * 10 + round;
            let job = calls::coverage_job("other-check", &[4_000; 8], &[4_000; 8], salt);
            if let Ok((_, Some(answer))) = calls::submit(caller, *entry, None, &job, 1).await {
                tickets.push((*entry, answer.ticket));
            }
        }
    }
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let cancels = tickets.iter().map(|(entry, ticket)| {
        let caller = caller.clone();
        async move { calls::request_by_ticket(&caller, *entry, "DELETE", ticket, 0).await }
    });
    futures_util::future::join_all(cancels).await;
}

#[derive(Clone, Copy, Debug, Default)]
struct CounterTotals {
    messages: f64,
    cross_zone: f64,
    peers: f64,
    slots: [f64; 4],
    refused: f64,
    tasks: f64,
}

async fn read_counters(caller: &HttpClient, operators: &[SocketAddr]) -> CounterTotals {
    let mut totals = CounterTotals::default();
    for addr in operators {
        let Ok(state) = calls::state(caller, *addr).await else {
            continue;
        };
        let traffic = &state["traffic"];
        let number = |key: &str| traffic[key].as_f64().unwrap_or(0.0);
        totals.messages += number("worker_messages") + number("peer_sent");
        totals.messages += number("platform_messages");
        totals.cross_zone += number("far_messages") + number("far_peer_messages");
        totals.peers += number("peer_sent");
        let counters = &state["engine"]["counters"];
        let count = |key: &str| counters[key].as_f64().unwrap_or(0.0);
        totals.tasks += count("ended");
        let kinds = ["slot_asks", "idle_grants", "fair_grants", "returns"];
        for (total, key) in totals.slots.iter_mut().zip(kinds) {
            *total += count(key);
        }
        totals.refused += count("refused_starts");
    }
    totals
}

fn build_row(policy: SelectionPolicy, trace: &[TraceJob], results: &[JobResult]) -> Row {
    let measured: Vec<(&TraceJob, &JobResult)> = results
        .iter()
        .map(|result| (&trace[result.job_index], result))
        .filter(|(job, _)| job.at_ms > WARM_UP_MS)
        .collect();
    let share = |wanted: Verdict| {
        let matching = measured.iter().filter(|(_, p)| p.verdict == Some(wanted)).count();
        matching as f64 / measured.len().max(1) as f64
    };
    let ratios_of = |kind: &str| -> Vec<f64> {
        let complete = measured.iter().filter(|(job, result)| {
            result.verdict == Some(Verdict::Complete) && (kind.is_empty() || job.kind == kind)
        });
        complete.map(|(job, result)| result.response_ms / job.ideal_ms() as f64).collect()
    };
    let refusals: Vec<f64> = measured
        .iter()
        .filter(|(_, result)| result.verdict == Some(Verdict::NotRun))
        .map(|(_, result)| result.response_ms)
        .collect();
    let unknown =
        |p: &JobResult| matches!(p.verdict, None | Some(Verdict::Unknown | Verdict::Running));
    Row {
        policy: dispatch::report::name_of(&policy),
        ratios: percentiles(&ratios_of("")),
        other_owners: percentiles(&ratios_of("coverage-check")),
        refused: share(Verdict::NotRun),
        failed: share(Verdict::Failed),
        wrong_answers: results.iter().filter(|result| !result.valid || unknown(result)).count(),
        goodput: goodput(trace, results),
        refusal_ms: percentiles(&refusals)[1],
        ..Row::default()
    }
}

/// Returns the work of complete jobs that ended while jobs still arrived, over the capacity in that
/// time.
fn goodput(trace: &[TraceJob], results: &[JobResult]) -> f64 {
    let last_ms = trace.last().map_or(1.0, |job| job.at_ms);
    let from_ms = 3_000.0;
    let mut done_ms = 0.0;
    for result in results.iter().filter(|p| p.verdict == Some(Verdict::Complete)) {
        let job = &trace[result.job_index];
        let end_ms = job.at_ms + result.response_ms;
        let work_ms: u64 = job.work_ms.iter().sum();
        // A job that ends in the window counts in full, even if it began before the window. This
        // offsets the jobs that end after the window, which do not count at all.
        if end_ms > from_ms && end_ms <= last_ms {
            done_ms += work_ms as f64;
        }
    }
    done_ms / ((last_ms - from_ms) * f64::from(WORKERS as u32 * SLOTS))
}

fn percentiles(values: &[f64]) -> [f64; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return [0.0; 3];
    };
    for value in values {
        let _ = histogram.record((value * 1_000.0) as u64);
    }
    [0.5, 0.99, 0.999].map(|share| histogram.value_at_quantile(share) as f64 / 1_000.0)
}

fn print_row(row: &Row) {
    let mut line = String::new();
    let _ = write!(
        line,
        "{:18} {:6.2} {:7.2} {:7.2} {:6.2} {:6.2} {:7.1}% {:6.1}% {:6} {:7.1}%",
        row.policy,
        row.ratios[0],
        row.ratios[1],
        row.ratios[2],
        row.messages,
        row.cross_zone_messages,
        row.refused * 100.0,
        row.failed * 100.0,
        row.wrong_answers,
        row.goodput * 100.0,
    );
    if row.messages > 0.0 {
        let _ = write!(
            line,
            "  (peers {:.3}: asks {:.3}, idle {:.3}, fair {:.3}, back {:.3}; refused starts {:.3})",
            row.peer_messages,
            row.slot_messages[0],
            row.slot_messages[1],
            row.slot_messages[2],
            row.slot_messages[3],
            row.refused_starts
        );
    }
    if row.refusal_ms > 0.0 {
        let _ = write!(line, "  refusal p99 {:.1} ms", row.refusal_ms);
    }
    if row.failing_share > 0.0 {
        let _ = write!(line, "  at failing {:.2}%", row.failing_share * 100.0);
    }
    if row.other_owners[1] > 0.0 && (row.other_owners[1] - row.ratios[1]).abs() > 0.0005 {
        let _ = write!(line, "  others p99 {:.2}", row.other_owners[1]);
    }
    println!("{line}");
}

async fn check_targets(
    scenario: &Scenario,
    ideal: &Row,
    rows: &[Row],
) -> Result<Vec<String>, String> {
    let Some(shipped) = rows.iter().find(|row| row.policy == "shares") else {
        return Ok(Vec::new());
    };
    let name = scenario.name;
    let mut missed = Vec::new();
    let mut check = |met: bool, message: String| {
        println!("{} {name}: {message}", if met { "ok    " } else { "MISSED" });
        if !met {
            missed.push(format!("{name}: {message}"));
        }
    };
    check(
        shipped.wrong_answers == 0,
        format!("wrong answers {} (target 0)", shipped.wrong_answers),
    );
    check(
        shipped.messages <= MAX_MESSAGES_PER_TASK,
        format!("messages a task {:.3} (target {MAX_MESSAGES_PER_TASK})", shipped.messages),
    );
    let over_ideal = shipped.ratios[1] / ideal.ratios[1];
    match scenario.target {
        Target::WithinIdeal(limit) => {
            check(
                over_ideal <= limit,
                format!("p99 over the central queue's {over_ideal:.3} (target {limit})"),
            );
        }
        Target::BetterThanBaselines(factor) => {
            let baselines = rows.iter().filter(|row| row.policy != "shares");
            let best = baselines.map(|row| row.ratios[1]).fold(f64::INFINITY, f64::min);
            let improvement = best / shipped.ratios[1];
            check(
                !best.is_finite() || improvement >= factor,
                format!(
                    "p99 better than the best baseline's {improvement:.2} times (target {factor})"
                ),
            );
        }
        Target::Goodput(share) => {
            check(
                shipped.goodput >= share,
                format!("goodput {:.3} of capacity (target {share})", shipped.goodput),
            );
            check(
                shipped.refusal_ms < REFUSAL_LIMIT_MS,
                format!("refusals p99 {:.1} ms (target {REFUSAL_LIMIT_MS})", shipped.refusal_ms),
            );
        }
        Target::FailingStarts(share) => check(
            shipped.failing_share < share,
            format!("starts at failing workers {:.4} (target {share})", shipped.failing_share),
        ),
        Target::OwnerIsolation(limit) => {
            let without_fault = row_without_fault(scenario).await?;
            let degradation = shipped.other_owners[1] / without_fault.ratios[1];
            check(
                degradation <= limit,
                format!(
                    "the others' p99 over that without the flood {degradation:.3} (target {limit})"
                ),
            );
        }
        Target::ReportOnly => {}
    }
    Ok(missed)
}

async fn row_without_fault(scenario: &Scenario) -> Result<Row, String> {
    let without_fault = Scenario { condition: Condition::Steady, ..*scenario };
    let trace = generate_trace(&without_fault, false);
    run_policy(&without_fault, SelectionPolicy::Shares, &trace).await
}
