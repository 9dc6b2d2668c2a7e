//! Policies side by side: response over ideal, messages, refusals and goodput.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use dispatch::answer::Verdict;
use dispatch::workers::SelectionPolicy;
use hdrhistogram::Histogram;
use httpedge::client::Caller;
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
/// Jobs that arrive before this are played but not counted, so that start-up does not show.
const WARM_UP_MS: f64 = 1_500.0;
const POLICIES: [SelectionPolicy; 5] = [
    SelectionPolicy::Random,
    SelectionPolicy::RoundRobin,
    SelectionPolicy::LeastOutstanding,
    SelectionPolicy::TwoChoices,
    SelectionPolicy::Shares,
];

/// The most messages that a task may cost in all.
const MOST_MESSAGES: f64 = 2.2;
const REFUSAL_LIMIT_MS: f64 = 5.0;

/// One row of the table.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// The policy.
    pub policy: String,
    /// Response over ideal: the median, 99th and 99.9th percentile.
    pub ratios: [f64; 3],
    /// The same of the owners that do not flood.
    pub others: [f64; 3],
    /// Messages per task.
    pub messages: f64,
    /// Messages per task that cross zones.
    pub far_messages: f64,
    /// Messages per task between daemons.
    pub peer_messages: f64,
    /// Per task: asks for slots, grants of idle slots, grants for fairness, and returns.
    pub slot_messages: [f64; 4],
    /// Refused starts per task.
    pub refused_starts: f64,
    /// The share of jobs refused.
    pub refused: f64,
    /// The share of jobs that failed, for workers' faults.
    pub failed: f64,
    /// Jobs without an answer, or with one that is not whole.
    pub wrong: usize,
    /// Work done over capacity while jobs arrived.
    pub goodput: f64,
    /// The 99th percentile of the time to refuse.
    pub refusal_ms: f64,
    /// The share of starts at failing workers after their first second.
    pub failing_share: f64,
    /// The most starts open on one worker.
    pub most_open: usize,
}

/// Runs the scenarios whose names contain `only`, and tells whether all targets are met.
///
/// # Errors
/// Fails where a fleet cannot be started.
pub async fn run(only: &str, quick: bool, policies: &str) -> Result<bool, String> {
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
        let chosen = POLICIES.iter().filter(|choice| {
            let shipped = **choice == SelectionPolicy::Shares;
            let name = dispatch::report::name_of(*choice);
            shipped || (!quick && (policies.is_empty() || policies.contains(&name)))
        });
        for choice in chosen {
            let row = run_one(scenario, *choice, &trace).await?;
            print_row(&row);
            rows.push(row);
        }
        missed.extend(judge(scenario, &ideal, &rows).await?);
    }
    for miss in &missed {
        println!("missed: {miss}");
    }
    Ok(missed.is_empty())
}

fn ideal_row(scenario: &Scenario, trace: &[TraceJob]) -> Row {
    let responses = central_queue(trace, WORKERS as u32 * SLOTS);
    let counted = trace.iter().zip(&responses).filter(|(job, _)| job.at_ms > WARM_UP_MS);
    let ratios: Vec<f64> =
        counted.map(|(job, response)| response / job.ideal_ms() as f64).collect();
    let own = trace.iter().filter(|job| job.kind == "coverage-check").cloned();
    let without: Vec<TraceJob> = own.collect();
    let alone = central_queue(&without, WORKERS as u32 * SLOTS);
    let alone: Vec<f64> =
        without.iter().zip(&alone).map(|(job, ms)| ms / job.ideal_ms() as f64).collect();
    let policy = "central queue".to_owned();
    let others =
        if scenario.condition == Condition::Flood { percentiles(&alone) } else { [0.0; 3] };
    Row { policy, ratios: percentiles(&ratios), others, ..Row::default() }
}

async fn run_one(
    scenario: &Scenario,
    choice: SelectionPolicy,
    trace: &[TraceJob],
) -> Result<Row, String> {
    let zones: &[&str] = if scenario.kesel { &KESEL_ZONES } else { &FERRANDI_ZONES };
    let daemons = if scenario.kesel { 6 } else { DAEMONS };
    let mut fleet = Fleet::with_free_ports(zones, daemons, WORKERS, SLOTS);
    fleet.selection_policy = choice;
    let children = Children::start(fleet).await?;
    let caller = Caller::new();
    let before = totals(&caller, &children.operators()).await;
    let troubled = actix_rt::spawn(make_trouble(scenario.condition, addresses(&children)));
    let balance = match scenario.condition {
        Condition::Skewed => EntryDistribution::Skewed(0.4),
        _ => EntryDistribution::Uniform,
    };
    let played = run_trace(trace, &children.callers(), balance).await;
    let early = troubled.await.unwrap_or_default();
    let after = totals(&caller, &children.operators()).await;
    let workers = children.workers();
    let ledgers = ledgers::read(&caller, &workers).await?;
    let mut row = row_of(choice, trace, &played);
    let tasks = (after.tasks - before.tasks).max(1.0);
    row.messages = (after.messages - before.messages) / tasks;
    row.far_messages = (after.far - before.far) / tasks;
    row.peer_messages = (after.peers - before.peers) / tasks;
    for (place, count) in row.slot_messages.iter_mut().enumerate() {
        *count = (after.slots[place] - before.slots[place]) / tasks;
    }
    row.refused_starts = (after.refused - before.refused) / tasks;
    row.most_open = ledgers.max_open_starts;
    if scenario.condition == Condition::FailingWorkers {
        let starts = |addr: &SocketAddr| ledgers.starts_by_worker.get(addr).copied().unwrap_or(0);
        let failing: usize = workers.iter().take(2).map(starts).sum();
        let all: usize = workers.iter().map(starts).sum();
        let late = failing.saturating_sub(early.0);
        row.failing_share = late as f64 / all.saturating_sub(early.1).max(1) as f64;
    }
    if ledgers.max_starts_per_task() > 1 {
        row.wrong += 1;
        println!("a task was started {} times", ledgers.max_starts_per_task());
    }
    Ok(row)
}

#[derive(Clone, Debug)]
struct Addresses {
    workers: Vec<SocketAddr>,
    worker_zones: Vec<(SocketAddr, String)>,
    daemons: Vec<(SocketAddr, SocketAddr, String)>,
    callers: Vec<SocketAddr>,
}

fn addresses(children: &Children) -> Addresses {
    let daemons = children.fleet.daemons.iter();
    Addresses {
        workers: children.workers(),
        worker_zones: children.fleet.workers.clone(),
        daemons: daemons.map(|d| (d.operators, d.peers, d.zone.clone())).collect(),
        callers: children.callers(),
    }
}

/// Makes the scenario's trouble; for failing workers gives the starts at the end of their first
/// second, at them and in all.
async fn make_trouble(trouble: Condition, at: Addresses) -> (usize, usize) {
    let caller = Caller::new();
    match trouble {
        Condition::SlowWorkers => {
            let faults = Faults { slow_factor: 5.0, ..Faults::default() };
            set_faults(&caller, &at.workers[..3], faults).await;
        }
        Condition::FailingWorkers => {
            actix_rt::time::sleep(Duration::from_millis(1_500)).await;
            let faults = Faults { fail_fast: true, ..Faults::default() };
            set_faults(&caller, &at.workers[..2], faults).await;
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            let Ok(ledgers) = ledgers::read(&caller, &at.workers).await else {
                return (0, 0);
            };
            let starts =
                |addr: &SocketAddr| ledgers.starts_by_worker.get(addr).copied().unwrap_or(0);
            let failing = at.workers.iter().take(2).map(starts).sum();
            return (failing, at.workers.iter().map(starts).sum());
        }
        Condition::ZonePartition => {
            actix_rt::time::sleep(Duration::from_secs(2)).await;
            cut_first_zone(&caller, &at).await;
        }
        Condition::MassCancellation => {
            actix_rt::time::sleep(Duration::from_secs(4)).await;
            cancel_wave(&caller, &at).await;
        }
        Condition::Steady
        | Condition::Burst
        | Condition::WrongDeclaredTimes
        | Condition::Skewed
        | Condition::Flood => {}
    }
    (0, 0)
}

async fn set_faults(caller: &Caller, workers: &[SocketAddr], faults: Faults) {
    for worker in workers {
        let _: Result<Value, _> = caller.post(*worker, "/faults", &faults, 5_000).await;
    }
}

/// Cuts the first zone off: its daemons and workers and those of other zones do not reach each
/// other.
async fn cut_first_zone(caller: &Caller, at: &Addresses) {
    let zone = at.daemons[0].2.clone();
    for (operators, _, own) in &at.daemons {
        let across = |other: &String| (*other == zone) != (*own == zone);
        let daemons = at.daemons.iter().filter(|(_, _, other)| across(other));
        let mut cut: Vec<SocketAddr> = daemons.map(|(_, peers, _)| *peers).collect();
        let workers = at.worker_zones.iter().filter(|(_, other)| across(other));
        cut.extend(workers.map(|(addr, _)| *addr));
        let body = serde_json::json!({ "cut": cut });
        let call = httpedge::client::RawCall {
            addr: *operators,
            method: "POST",
            path: "/v1/faults",
            headers: &[],
            body: body.to_string().into_bytes(),
            timeout_ms: 5_000,
        };
        let _ = caller.raw(call).await;
    }
}

/// Submits many long jobs beside the trace and cancels them together.
async fn cancel_wave(caller: &Caller, at: &Addresses) {
    let mut tickets = Vec::new();
    for (place, entry) in at.callers.iter().enumerate() {
        for round in 0..3_u64 {
            let salt = 1_000_000 + place as u64 * 10 + round;
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
struct Totals {
    messages: f64,
    far: f64,
    peers: f64,
    slots: [f64; 4],
    refused: f64,
    tasks: f64,
}

async fn totals(caller: &Caller, operators: &[SocketAddr]) -> Totals {
    let mut totals = Totals::default();
    for addr in operators {
        let Ok(state) = calls::state(caller, *addr).await else {
            continue;
        };
        let traffic = &state["traffic"];
        let number = |key: &str| traffic[key].as_f64().unwrap_or(0.0);
        totals.messages += number("worker_messages") + number("peer_sent");
        totals.messages += number("platform_messages");
        totals.far += number("far_messages") + number("far_peer_messages");
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

fn row_of(choice: SelectionPolicy, trace: &[TraceJob], played: &[JobResult]) -> Row {
    let counted: Vec<(&TraceJob, &JobResult)> = played
        .iter()
        .map(|played| (&trace[played.job_index], played))
        .filter(|(job, _)| job.at_ms > WARM_UP_MS)
        .collect();
    let share = |wanted: Verdict| {
        let hits = counted.iter().filter(|(_, p)| p.verdict == Some(wanted)).count();
        hits as f64 / counted.len().max(1) as f64
    };
    let ratios_of = |kind: &str| -> Vec<f64> {
        let complete = counted.iter().filter(|(job, played)| {
            played.verdict == Some(Verdict::Complete) && (kind.is_empty() || job.kind == kind)
        });
        complete.map(|(job, played)| played.response_ms / job.ideal_ms() as f64).collect()
    };
    let refusals: Vec<f64> = counted
        .iter()
        .filter(|(_, played)| played.verdict == Some(Verdict::NotRun))
        .map(|(_, played)| played.response_ms)
        .collect();
    let unknown =
        |p: &JobResult| matches!(p.verdict, None | Some(Verdict::Unknown | Verdict::Running));
    Row {
        policy: dispatch::report::name_of(&choice),
        ratios: percentiles(&ratios_of("")),
        others: percentiles(&ratios_of("coverage-check")),
        refused: share(Verdict::NotRun),
        failed: share(Verdict::Failed),
        wrong: played.iter().filter(|played| !played.valid || unknown(played)).count(),
        goodput: goodput(trace, played),
        refusal_ms: percentiles(&refusals)[1],
        ..Row::default()
    }
}

/// Work of complete jobs that ended while jobs still arrived, over capacity in that time.
fn goodput(trace: &[TraceJob], played: &[JobResult]) -> f64 {
    let last_ms = trace.last().map_or(1.0, |job| job.at_ms);
    let from_ms = 3_000.0;
    let mut done_ms = 0.0;
    for played in played.iter().filter(|p| p.verdict == Some(Verdict::Complete)) {
        let job = &trace[played.job_index];
        let end_ms = job.at_ms + played.response_ms;
        let work_ms: u64 = job.work_ms.iter().sum();
        // A job that ends in the window counts whole; one that straddles its start balances it.
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
        row.far_messages,
        row.refused * 100.0,
        row.failed * 100.0,
        row.wrong,
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
    if row.others[1] > 0.0 && (row.others[1] - row.ratios[1]).abs() > 0.0005 {
        let _ = write!(line, "  others p99 {:.2}", row.others[1]);
    }
    println!("{line}");
}

async fn judge(scenario: &Scenario, ideal: &Row, rows: &[Row]) -> Result<Vec<String>, String> {
    let Some(shipped) = rows.iter().find(|row| row.policy == "shares") else {
        return Ok(Vec::new());
    };
    let name = scenario.name;
    let mut missed = Vec::new();
    let mut need = |met: bool, what: String| {
        println!("{} {name}: {what}", if met { "ok    " } else { "MISSED" });
        if !met {
            missed.push(format!("{name}: {what}"));
        }
    };
    need(shipped.wrong == 0, format!("wrong answers {} (target 0)", shipped.wrong));
    need(
        shipped.messages <= MOST_MESSAGES,
        format!("messages a task {:.3} (target {MOST_MESSAGES})", shipped.messages),
    );
    let over = shipped.ratios[1] / ideal.ratios[1];
    match scenario.target {
        Target::WithinIdeal(limit) => {
            need(over <= limit, format!("p99 over the central queue's {over:.3} (target {limit})"));
        }
        Target::BetterThanBaselines(factor) => {
            let baselines = rows.iter().filter(|row| row.policy != "shares");
            let best = baselines.map(|row| row.ratios[1]).fold(f64::INFINITY, f64::min);
            let times = best / shipped.ratios[1];
            need(
                !best.is_finite() || times >= factor,
                format!("p99 better than the best baseline's {times:.2} times (target {factor})"),
            );
        }
        Target::Goodput(share) => {
            need(
                shipped.goodput >= share,
                format!("goodput {:.3} of capacity (target {share})", shipped.goodput),
            );
            need(
                shipped.refusal_ms < REFUSAL_LIMIT_MS,
                format!("refusals p99 {:.1} ms (target {REFUSAL_LIMIT_MS})", shipped.refusal_ms),
            );
        }
        Target::FailingStarts(share) => need(
            shipped.failing_share < share,
            format!("starts at failing workers {:.4} (target {share})", shipped.failing_share),
        ),
        Target::OwnerIsolation(limit) => {
            let calm = calm_row(scenario).await?;
            let harm = shipped.others[1] / calm.ratios[1];
            need(
                harm <= limit,
                format!("the others' p99 over that without the flood {harm:.3} (target {limit})"),
            );
        }
        Target::ReportOnly => {}
    }
    Ok(missed)
}

async fn calm_row(scenario: &Scenario) -> Result<Row, String> {
    let calm = Scenario { condition: Condition::Steady, ..*scenario };
    let trace = generate_trace(&calm, false);
    run_one(&calm, SelectionPolicy::Shares, &trace).await
}
