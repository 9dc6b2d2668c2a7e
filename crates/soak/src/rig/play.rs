//! Plays an installation of the users' size with processes that stand still, and checks its record.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use rustix::process::Signal;

use crate::rig::installation::{Installation, Process, Role, Size, cpu_share};
use crate::rig::record::{Overlap, Record};

/// Time from the start of the processes to that of the traffic.
const START_UP: Duration = Duration::from_secs(8);
/// Time that the last callers have for their further requests.
const LAST_REQUESTS: Duration = Duration::from_secs(6);
/// How long a process stands still, in milliseconds.
const STALL_MS: std::ops::RangeInclusive<u64> = 10..=400;
/// Time between two ends of daemons, and until the next process of one starts, in milliseconds.
const RESTART_INTERVAL_MS: std::ops::Range<u64> = 1_500..5_000;
const DOWN_MS: std::ops::Range<u64> = 100..3_000;
/// Time between two faults of the store, and how long each lasts, in milliseconds.
const STORE_INTERVAL_MS: std::ops::Range<u64> = 3_000..8_000;
const STORE_FAULT_MS: std::ops::Range<u64> = 500..4_000;
/// Period in which a daemon runs for its share of a core and stands still for the rest, in milliseconds.
const THROTTLE_PERIOD_MS: u64 = 100;
/// Number of log lines of a job that are printed for an overlap.
const MAX_LOG_LINES: usize = 40;

/// What is played.
#[derive(Clone, Debug)]
pub struct PlayConfig {
    /// Path of the daemon's executable.
    pub entry: PathBuf,
    /// Path of this program.
    pub rig: PathBuf,
    /// Size of the installation.
    pub size: Size,
    /// Seed of the jobs and faults. The timing of the processes is not reproducible.
    pub seed: u64,
    /// How long jobs are sent, in seconds.
    pub seconds: u64,
    /// Number of jobs a second.
    pub rate: f64,
    /// Share of the jobs whose task outlasts its caller by far.
    pub lasting_share: f64,
    /// Number of stalls a second.
    pub stalls_per_s: f64,
    /// Part of each period of 100 ms for which a daemon runs, as a multiple of its share of a core; `None`
    /// if daemons are not throttled.
    pub throttle: Option<f64>,
    /// Number of processes that keep a core busy.
    pub load_processes: usize,
    /// Whether daemons end and start again, and the store fails.
    pub has_faults: bool,
}

/// Results of a play.
#[derive(Debug)]
pub struct PlayReport {
    /// Number of jobs that were sent.
    pub jobs: usize,
    /// Number of jobs that were answered with success.
    pub completed: usize,
    /// Number of runs that started.
    pub starts: usize,
    /// Runs of a task that started while another one was active.
    pub overlaps: Vec<Overlap>,
    /// Jobs that ran although each request was refused.
    pub refused_but_ran: Vec<String>,
    /// Directory of settings, logs and records.
    pub dir: PathBuf,
}

/// Something that happens at a set time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Stall,
    Continue(usize),
    Throttle(usize),
    Release(usize),
    EndDaemon,
    StartDaemon(usize),
    StoreFault,
    StoreNormal,
}

/// Plays one seed.
///
/// # Errors
/// Returns an error if the directory or the record cannot be used.
pub fn play(config: &PlayConfig) -> std::io::Result<PlayReport> {
    let dir = std::env::temp_dir().join(format!("rig-{}-{}", std::process::id(), config.seed));
    std::fs::create_dir_all(&dir)?;
    let mut installation =
        Installation::start(&config.entry, &config.rig, config.size, dir.clone());
    std::thread::sleep(START_UP);
    for number in 0..config.load_processes {
        let load = installation.play(Role::Load, &format!("load-{number}"), &["--role", "load"]);
        installation.processes.push(load);
    }
    let callers = start_callers(&installation, config);
    let first_caller = installation.processes.len();
    installation.processes.extend(callers);
    disturb(&mut installation.processes, config);
    let deadline = Instant::now() + LAST_REQUESTS;
    for caller in &mut installation.processes[first_caller..] {
        caller.wait();
    }
    std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
    drop(installation);
    let record = Record::read(&dir)?;
    let completed = record
        .requests
        .values()
        .filter(|events| events.iter().any(|(_, event)| event == "answer 200"));
    Ok(PlayReport {
        jobs: record.requests.len(),
        completed: completed.count(),
        starts: record.runs.values().map(Vec::len).sum(),
        refused_but_ran: record.refused_but_ran().into_iter().map(str::to_owned).collect(),
        overlaps: record.overlaps(),
        dir,
    })
}

fn start_callers(installation: &Installation, config: &PlayConfig) -> Vec<Process> {
    let zones: Vec<String> = installation
        .callers_addrs
        .iter()
        .map(|addrs| addrs.iter().map(ToString::to_string).collect::<Vec<_>>().join(","))
        .collect();
    let processes = config.size.caller_processes;
    let start = |number: usize| {
        let name = format!("callers-{number}");
        let record = installation.record_path(&name);
        let rate = (config.rate / processes as f64).to_string();
        let seed = (config.seed * 1_000 + number as u64).to_string();
        let (seconds, lasting) = (config.seconds.to_string(), config.lasting_share.to_string());
        let args = [
            "--role",
            "callers",
            "--daemons",
            &zones.join(";"),
            "--rate",
            &rate,
            "--seed",
            &seed,
            "--seconds",
            &seconds,
            "--lasting",
            &lasting,
            "--record",
            &record,
        ];
        installation.play(Role::Callers, &name, &args)
    };
    (0..processes).map(start).collect()
}

/// Lets processes stand still, ends daemons and disturbs the store until the callers are done.
fn disturb(processes: &mut [Process], config: &PlayConfig) {
    let mut rng = SmallRng::seed_from_u64(config.seed);
    let started_at = Instant::now();
    let end_ms = config.seconds * 1_000;
    let mut steps = BinaryHeap::new();
    let push = |steps: &mut BinaryHeap<_>, at_ms: u64, step: Step| {
        steps.push(Reverse((at_ms, step)));
    };
    let pause_ms =
        |rng: &mut SmallRng| (rng.random_range(0.0..2_000.0) / config.stalls_per_s) as u64;
    if config.stalls_per_s > 0.0 {
        push(&mut steps, 0, Step::Stall);
    }
    if config.has_faults {
        push(&mut steps, 1_000, Step::EndDaemon);
        push(&mut steps, 2_500, Step::StoreFault);
    }
    let indices = |role: Role| -> Vec<usize> {
        let of_role = processes.iter().enumerate().filter(|(_, process)| process.role == role);
        of_role.map(|(at, _)| at).collect()
    };
    let (daemons, stores) = (indices(Role::Daemon), indices(Role::Store));
    let stallable = [Role::Daemon, Role::Workers, Role::Callers, Role::Store].map(indices);
    let run_ms = |at: usize| {
        let share = cpu_share(&processes[at].name) * config.throttle.unwrap_or(1.0);
        ((share * THROTTLE_PERIOD_MS as f64) as u64).clamp(1, THROTTLE_PERIOD_MS - 1)
    };
    let run_ms: BTreeMap<usize, u64> = daemons.iter().map(|at| (*at, run_ms(*at))).collect();
    if config.throttle.is_some() {
        for at in &daemons {
            push(&mut steps, rng.random_range(0..THROTTLE_PERIOD_MS), Step::Throttle(*at));
        }
    }
    while let Some(Reverse((at_ms, step))) = steps.pop() {
        let at = started_at + Duration::from_millis(at_ms);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let goes_on = at_ms < end_ms;
        match step {
            Step::Stall if goes_on => {
                let of_role = &stallable[rng.random_range(0..stallable.len())];
                let at = of_role[rng.random_range(0..of_role.len())];
                processes[at].signal(Signal::STOP);
                push(&mut steps, at_ms + rng.random_range(STALL_MS), Step::Continue(at));
                push(&mut steps, at_ms + pause_ms(&mut rng), Step::Stall);
            }
            Step::Continue(at) => processes[at].signal(Signal::CONT),
            Step::Throttle(at) if goes_on => {
                processes[at].signal(Signal::STOP);
                let released_ms = at_ms + THROTTLE_PERIOD_MS - run_ms[&at];
                push(&mut steps, released_ms, Step::Release(at));
            }
            Step::Release(at) => {
                processes[at].signal(Signal::CONT);
                push(&mut steps, at_ms + run_ms[&at], Step::Throttle(at));
            }
            Step::EndDaemon if goes_on => {
                let at = daemons[rng.random_range(0..daemons.len())];
                let signal = if rng.random_bool(0.5) { Signal::TERM } else { Signal::KILL };
                processes[at].signal(signal);
                let down_ms = if signal == Signal::TERM { 4_000 } else { 0 };
                let back_ms = at_ms + down_ms + rng.random_range(DOWN_MS);
                push(&mut steps, back_ms, Step::StartDaemon(at));
                push(&mut steps, at_ms + rng.random_range(RESTART_INTERVAL_MS), Step::EndDaemon);
            }
            Step::StartDaemon(at) => processes[at].restart(),
            Step::StoreFault if goes_on => {
                for at in &stores {
                    let command = ["busy", "loses-replies", "rebalance"][rng.random_range(0..3)];
                    processes[*at].command(command);
                }
                push(&mut steps, at_ms + rng.random_range(STORE_FAULT_MS), Step::StoreNormal);
                push(&mut steps, at_ms + rng.random_range(STORE_INTERVAL_MS), Step::StoreFault);
            }
            Step::StoreNormal => {
                for at in &stores {
                    processes[*at].command("normal");
                }
            }
            Step::Stall | Step::Throttle(_) | Step::EndDaemon | Step::StoreFault => {}
        }
    }
}

/// Prints an overlap with what the callers and daemons recorded of its job.
pub fn print_overlap(overlap: &Overlap, record: &Record, dir: &Path) {
    println!("two runs at once: {overlap}");
    let job = overlap.task.split('.').next().unwrap_or_default();
    for (at_us, event) in record.requests.get(job).into_iter().flatten() {
        let at_s = (*at_us as f64 - overlap.second.started_us as f64) / 1e6;
        println!("  {at_s:+.3} caller {event}");
    }
    let Ok(entries) = std::fs::read_dir(dir) else { return };
    let logs =
        entries.flatten().filter(|entry| entry.path().extension().is_some_and(|e| e == "log"));
    let mut lines = Vec::new();
    for log in logs {
        let text = std::fs::read(log.path()).unwrap_or_default();
        let name = log.file_name();
        for line in String::from_utf8_lossy(&text).lines().filter(|line| line.contains(job)) {
            lines.push(format!("{line} [{}]", name.to_string_lossy()));
        }
    }
    lines.sort();
    for line in lines.iter().take(MAX_LOG_LINES) {
        println!("  {line}");
    }
}
