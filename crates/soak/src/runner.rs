//! Runs the soak test of one seed: sends jobs while faults are injected, then checks the
//! guarantees.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use pool::job::JobSpec;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use rustix::process::Signal;
use standins::metastore::StoreDefect;
use standins::pool_worker::WorkerDefect;
use tokio::sync::Notify;

use crate::cluster::{Cluster, Layout, job};
use crate::evacuations::{AppliedFault, late_starts};
use crate::faults::{Fault, ScheduledFault, draw_evacuations, draw_faults, end_fault, start_fault};

/// Delay until a caller resends a request that was not completed, as the platform does.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// How long a caller waits for an answer, in milliseconds.
const CALLER_WAIT_MS: u64 = 2_500;
/// Share of the jobs whose run outlasts its caller. Such a job declares far less.
const OUTLASTING_SHARE: f64 = 0.3;
/// Duration of such a run, in milliseconds: beyond the caller's next request.
const OUTLASTING_RUN_MS: u64 = 6_000;
/// How long the caller of such a run waits for an answer, in milliseconds.
const OUTLASTED_WAIT_MS: u64 = 1_500;
/// Share of the callers that leave when a daemon is suspended or a link between daemons is disturbed,
/// and how long after that.
const LEAVING_SHARE: f64 = 0.5;
const LEAVES_AFTER: Duration = Duration::from_millis(30);
/// How often a daemon that is to be killed after a start looks for one.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Number of times that a caller sends a job before it gives up.
const MAX_SENDS: u32 = 4;
/// Shares of a core that the daemons of each zone state with even seeds, so that they delegate cells
/// to each other.
const UNEVEN_CPU_SHARES: [f64; 4] = [0.1, 0.5, 0.1, 0.5];
/// One job in this many crashes the workers that start its tasks.
const CRASHING_JOB_INTERVAL: u64 = 40;
/// Starts of a task that crashes workers from which on its owners ignore the crashes: three more
/// after three crashes.
const MAX_CRASHING_STARTS: usize = 5;
/// Time after the last fault within which each daemon must serve jobs again: `recoveryS` of the
/// customers' requirements.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Parameters of the run of one seed.
#[derive(Clone, Copy, Debug)]
pub struct RunConfig<'a> {
    /// Path of the daemon's executable.
    pub program: &'a Path,
    /// Size of the installation.
    pub layout: Layout,
    /// Seed of the jobs and faults. The timing of the processes is not reproducible.
    pub seed: u64,
    /// How long jobs are sent and faults start, in milliseconds.
    pub span_ms: u64,
    /// Rule that the workers break on purpose, to show that the checks detect it.
    pub planted: WorkerDefect,
    /// Rule that the store breaks on purpose.
    pub store_defect: StoreDefect,
}

/// Results of the run of one seed.
#[derive(Debug, Default)]
pub struct RunReport {
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// Number of jobs that callers sent, without those of the recovery check.
    pub jobs: usize,
    /// Number of jobs that completed.
    pub completed: usize,
    /// Number of jobs that were refused each time they were sent.
    pub refused: usize,
    /// Number of runs that started on the workers, including those of the recovery check.
    pub starts: usize,
    /// Faults that were injected.
    pub faults: Vec<ScheduledFault>,
    /// Directory with the daemons' logs. It is kept only if a guarantee was violated.
    pub log_dir: PathBuf,
}

#[derive(Default)]
struct Stats {
    completed: Cell<usize>,
    refused: RefCell<Vec<JobSpec>>,
    /// Jobs whose tasks crash the workers that start them.
    crashing: RefCell<Vec<JobSpec>>,
    jobs: Cell<usize>,
    pending: Cell<usize>,
    /// Tells the callers that leave early to do so.
    departures: Notify,
}

/// Runs one seed and returns the results.
pub async fn run_seed(config: RunConfig<'_>) -> RunReport {
    let mut rng = SmallRng::seed_from_u64(config.seed);
    let cpu_shares = if config.seed.is_multiple_of(2) { &UNEVEN_CPU_SHARES[..] } else { &[] };
    let cluster = Cluster::start_with_shares(config.program, config.layout, cpu_shares).await;
    for worker in &cluster.workers {
        worker.set_defect(config.planted);
    }
    cluster.store.defect.set(config.store_defect);
    let starts = Starts::record(&cluster);
    let mut faults =
        draw_faults(&mut rng, cluster.daemons.len(), cluster.workers.len(), config.span_ms);
    if config.store_defect == StoreDefect::HidesEvacuations {
        // Daemons that list again would forget too, and the defect is to be found by new owners alone.
        faults.retain(|scheduled| !matches!(scheduled.fault, Fault::Compact | Fault::Trim));
    }
    faults.extend(draw_evacuations(&mut rng, config.layout, config.span_ms));
    let cluster = Rc::new(RefCell::new(cluster));
    let stats = Rc::new(Stats::default());
    let callers = send_jobs(Rc::clone(&cluster), Rc::clone(&stats), rng, config.span_ms);
    let ((), applied) =
        futures_util::future::join(callers, inject_faults(&cluster, &stats, &faults)).await;
    while stats.pending.get() > 0 {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let mut violations = starts.overlaps.borrow().clone();
    violations.extend(late_starts(&applied, &starts.times.borrow(), config.layout));
    violations.extend(check_refused_jobs(&cluster.borrow(), &stats));
    violations.extend(check_crashing_jobs(&cluster.borrow(), &stats));
    violations.extend(check_recovery(&cluster).await);
    let mut cluster = cluster.borrow_mut();
    cluster.keep_logs = !violations.is_empty();
    let log_dir = cluster.log_dir.clone();
    RunReport {
        violations,
        jobs: stats.jobs.get(),
        completed: stats.completed.get(),
        refused: stats.refused.borrow().len(),
        starts: cluster.workers.iter().map(|worker| worker.started_runs.borrow().len()).sum(),
        faults,
        log_dir,
    }
}

/// A run that started on a worker.
#[derive(Clone, Debug)]
pub struct Start {
    /// When the run started.
    pub at: Instant,
    /// Index of the worker.
    pub worker: usize,
    /// Name of the task.
    pub task: String,
}

/// Runs that start on the workers, as they start.
#[derive(Default)]
struct Starts {
    times: RefCell<Vec<Start>>,
    /// Descriptions of the runs that started while the same task ran on another worker.
    overlaps: RefCell<Vec<String>>,
}

impl Starts {
    /// Records the starts of a cluster from now on. A run ends with its process, so that what counts
    /// is the process that a worker has now.
    fn record(cluster: &Cluster) -> Rc<Self> {
        let starts = Rc::new(Self::default());
        for (at, worker) in cluster.workers.iter().enumerate() {
            let others: Vec<_> = cluster.workers.iter().map(Rc::downgrade).collect();
            let starts = Rc::clone(&starts);
            worker.set_start_hook(Box::new(move |task| {
                let start = Start { at: Instant::now(), worker: at, task: task.to_string() };
                starts.times.borrow_mut().push(start);
                for (other, server) in others.iter().enumerate().filter(|(other, _)| *other != at) {
                    if server.upgrade().is_some_and(|server| server.is_running(task)) {
                        starts.overlaps.borrow_mut().push(format!(
                            "{task} ran on workers {at} and {other} at the same time"
                        ));
                    }
                }
            }));
        }
        starts
    }
}

/// Injects the faults, and returns them with the times at which they began and ended.
async fn inject_faults(
    cluster: &Rc<RefCell<Cluster>>,
    stats: &Rc<Stats>,
    faults: &[ScheduledFault],
) -> Vec<AppliedFault> {
    let mut transitions: Vec<(u64, bool, usize)> = Vec::new();
    for (number, scheduled) in faults.iter().enumerate() {
        transitions.push((scheduled.starts_at_ms, true, number));
        transitions.push((scheduled.ends_at_ms, false, number));
    }
    transitions.sort_unstable();
    let started_at = Instant::now();
    let mut applied: Vec<AppliedFault> = faults
        .iter()
        .map(|scheduled| AppliedFault {
            fault: scheduled.fault,
            began_at: started_at,
            ended_at: started_at,
        })
        .collect();
    for (at_ms, is_start, number) in transitions {
        let at = started_at + Duration::from_millis(at_ms);
        actix_rt::time::sleep(at.saturating_duration_since(Instant::now())).await;
        let fault = faults[number].fault;
        match fault {
            Fault::KillAtStart(daemon) if is_start => {
                let until = Instant::now()
                    + Duration::from_millis(faults[number].ends_at_ms.saturating_sub(at_ms));
                actix_rt::spawn(kill_at_start(Rc::clone(cluster), daemon, until));
            }
            Fault::Pause(_) | Fault::PeerLink(..) if is_start => {
                let stats = Rc::clone(stats);
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(LEAVES_AFTER).await;
                    stats.departures.notify_waiters();
                });
            }
            _ => {}
        }
        let mut cluster = cluster.borrow_mut();
        if is_start {
            start_fault(&mut cluster, fault);
            applied[number].began_at = Instant::now();
        } else {
            applied[number].ended_at = Instant::now();
            end_fault(&mut cluster, fault);
        }
    }
    applied
}

/// Kills a daemon as soon as a run has started in its zone, unless none does until `until`.
async fn kill_at_start(cluster: Rc<RefCell<Cluster>>, daemon: usize, until: Instant) {
    let starts = || {
        let cluster = cluster.borrow();
        cluster.starts_in(daemon * cluster.zones() / cluster.daemons.len())
    };
    let starts_before = starts();
    while Instant::now() < until {
        if starts() > starts_before {
            return cluster.borrow().daemons[daemon].signal(Signal::KILL);
        }
        actix_rt::time::sleep(START_CHECK_INTERVAL).await;
    }
}

async fn send_jobs(
    cluster: Rc<RefCell<Cluster>>,
    stats: Rc<Stats>,
    mut rng: SmallRng,
    span_ms: u64,
) {
    let started_at = Instant::now();
    let mut id = 1;
    while started_at.elapsed() < Duration::from_millis(span_ms) {
        let takes_ms = if rng.random_bool(0.1) { 2_000 } else { rng.random_range(20..500) };
        let (mut count, mut wait_ms, mut runs_ms) =
            (rng.random_range(1..=3), CALLER_WAIT_MS, takes_ms);
        if rng.random_bool(OUTLASTING_SHARE) {
            (count, wait_ms, runs_ms) = (1, OUTLASTED_WAIT_MS, OUTLASTING_RUN_MS);
        }
        let mut spec = job(id, count, takes_ms, &runs_ms.to_string());
        if id.is_multiple_of(CRASHING_JOB_INTERVAL) {
            spec.payload = Rc::from(format!("{runs_ms} crash"));
            stats.crashing.borrow_mut().push(spec.clone());
        }
        let caller_rng = SmallRng::seed_from_u64(rng.random());
        stats.jobs.set(stats.jobs.get() + 1);
        stats.pending.set(stats.pending.get() + 1);
        let (cluster, stats) = (Rc::clone(&cluster), Rc::clone(&stats));
        actix_rt::spawn(run_caller(cluster, stats, spec, wait_ms, caller_rng));
        id += 1;
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(10..90))).await;
    }
}

/// Sends a job up to `MAX_SENDS` times until it completes, each time to another daemon than the last.
/// Some callers leave without waiting for an answer.
async fn run_caller(
    cluster: Rc<RefCell<Cluster>>,
    stats: Rc<Stats>,
    spec: JobSpec,
    wait_ms: u64,
    mut rng: SmallRng,
) {
    let mut all_rejected = true;
    let daemons = cluster.borrow().daemons.len();
    let mut at = rng.random_range(0..daemons);
    for _ in 0..MAX_SENDS {
        at = (at + rng.random_range(1..daemons.max(2))) % daemons;
        let sent = cluster.borrow().request(at, &spec, wait_ms);
        let answer = if rng.random_bool(LEAVING_SHARE) {
            let leaves = stats.departures.notified();
            match select(std::pin::pin!(sent), std::pin::pin!(leaves)).await {
                Either::Left((answer, _)) => answer.map_err(drop),
                Either::Right(_) => Err(()),
            }
        } else {
            sent.await.map_err(drop)
        };
        match answer {
            Ok(200) => {
                all_rejected = false;
                stats.completed.set(stats.completed.get() + 1);
                break;
            }
            Ok(429 | 503) => {}
            Ok(_) | Err(()) => all_rejected = false,
        }
        actix_rt::time::sleep(RESEND_DELAY).await;
    }
    if all_rejected {
        stats.refused.borrow_mut().push(spec);
    }
    stats.pending.set(stats.pending.get() - 1);
}

/// Checks that no job ran that was refused each time.
fn check_refused_jobs(cluster: &Cluster, stats: &Stats) -> Vec<String> {
    let refused = stats.refused.borrow();
    let ran = refused.iter().filter(|spec| cluster.count_starts(spec) > 0);
    ran.map(|spec| format!("job {} was refused each time it was sent, but ran", spec.id)).collect()
}

/// Checks that no task was started again and again although it crashes the workers.
fn check_crashing_jobs(cluster: &Cluster, stats: &Stats) -> Vec<String> {
    let mut starts: BTreeMap<String, usize> = BTreeMap::new();
    for worker in &cluster.workers {
        for (task, _) in &*worker.started_runs.borrow() {
            let crashing = stats.crashing.borrow();
            if crashing.iter().any(|spec| task.starts_with(&*spec.id)) {
                *starts.entry(task.clone()).or_default() += 1;
            }
        }
    }
    let repeated = starts.into_iter().filter(|(_, starts)| *starts > MAX_CRASHING_STARTS);
    repeated.map(|(task, starts)| format!("{task} crashed {starts} workers")).collect()
}

/// Checks that each daemon serves jobs again within `RECOVERY_LIMIT` after the last fault.
async fn check_recovery(cluster: &Rc<RefCell<Cluster>>) -> Vec<String> {
    let daemons = cluster.borrow().daemons.len();
    let checks = (0..daemons).map(|at| check_daemon_recovery(cluster, at));
    futures_util::future::join_all(checks).await.into_iter().flatten().collect()
}

async fn check_daemon_recovery(cluster: &Rc<RefCell<Cluster>>, at: usize) -> Option<String> {
    let started_at = Instant::now();
    let mut id = 1_000_000 * (at as u64 + 1);
    let mut answers = Vec::new();
    while started_at.elapsed() < RECOVERY_LIMIT {
        id += 1;
        let spec = job(id, 1, 20, "20");
        let sent = cluster.borrow().request(at, &spec, CALLER_WAIT_MS);
        let answer = sent.await;
        if answer == Ok(200) {
            return None;
        }
        answers.push(answer);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    Some(format!("daemon {at} did not recover within {RECOVERY_LIMIT:?}: {:?}", answers.last()))
}
