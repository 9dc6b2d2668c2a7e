//! Plays one seed: callers, faults and checks.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use pool::job::JobSpec;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use standins::pool_worker::WorkerDefect;

use crate::faults::{Planned, begin, draw, end};
use crate::site::{Layout, Site, job};

/// How long after a lost answer a caller sends its request again, as the platform does.
const RESEND: Duration = Duration::from_millis(1_300);
/// How long a caller waits, in milliseconds.
const CALLER_WAIT_MS: u64 = 2_500;
/// The sends after which a caller gives up.
const MAX_SENDS: u32 = 4;
/// How soon after the last fault jobs must be served again: the users' `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// What to play.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// The daemon's program.
    pub program: &'a Path,
    /// The installation.
    pub layout: Layout,
    /// The seed.
    pub seed: u64,
    /// How long faults come, in milliseconds.
    pub span_ms: u64,
    /// What workers leave out.
    pub planted: WorkerDefect,
}

/// What a seed showed.
#[derive(Debug, Default)]
pub struct Findings {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Jobs that callers sent.
    pub jobs: usize,
    /// Jobs that were completed.
    pub completed: usize,
    /// Jobs that were refused each time they were sent.
    pub refused: usize,
    /// Runs that began.
    pub starts: usize,
    /// Faults that were played.
    pub faults: Vec<Planned>,
    /// The folder with the daemons' logs, which stays where a promise was broken.
    pub logs: PathBuf,
}

#[derive(Default)]
struct Tally {
    completed: Cell<usize>,
    refused: RefCell<Vec<JobSpec>>,
    jobs: Cell<usize>,
    open: Cell<usize>,
}

/// Plays a seed.
pub async fn play(plan: Plan<'_>) -> Findings {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let site = Site::start(plan.program, plan.layout).await;
    for worker in &site.workers {
        worker.set_defect(plan.planted);
    }
    let overlaps = watch_overlaps(&site);
    let faults = draw(&mut rng, site.daemons.len(), site.workers.len(), plan.span_ms);
    let site = Rc::new(RefCell::new(site));
    let tally = Rc::new(Tally::default());
    let callers = send_jobs(Rc::clone(&site), Rc::clone(&tally), rng, plan.span_ms);
    futures_util::future::join(callers, carry_out(&site, &faults)).await;
    while tally.open.get() > 0 {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let mut broken = overlaps.borrow().clone();
    broken.extend(check_refused(&site.borrow(), &tally));
    broken.extend(check_recovery(&site).await);
    let mut site = site.borrow_mut();
    site.keeps_logs = !broken.is_empty();
    let logs = site.logs.clone();
    Findings {
        broken,
        jobs: tally.jobs.get(),
        completed: tally.completed.get(),
        refused: tally.refused.borrow().len(),
        starts: site.workers.iter().map(|worker| worker.started_runs.borrow().len()).sum(),
        faults,
        logs,
    }
}

/// Notes each run that begins while the same task runs elsewhere.
fn watch_overlaps(site: &Site) -> Rc<RefCell<Vec<String>>> {
    let overlaps: Rc<RefCell<Vec<String>>> = Rc::default();
    for (at, worker) in site.workers.iter().enumerate() {
        let others: Vec<_> = site.workers.iter().map(Rc::downgrade).collect();
        let overlaps = Rc::clone(&overlaps);
        worker.set_start_hook(Box::new(move |task| {
            for (other, server) in others.iter().enumerate().filter(|(other, _)| *other != at) {
                if server.upgrade().is_some_and(|server| server.is_running(task)) {
                    overlaps.borrow_mut().push(format!("{task} ran on {at} and {other} at once"));
                }
            }
        }));
    }
    overlaps
}

async fn carry_out(site: &Rc<RefCell<Site>>, faults: &[Planned]) {
    let mut steps: Vec<(u64, bool, Planned)> = Vec::new();
    for planned in faults {
        steps.push((planned.begins_ms, true, *planned));
        steps.push((planned.ends_ms, false, *planned));
    }
    steps.sort_by_key(|(at_ms, begins, _)| (*at_ms, *begins));
    let began = Instant::now();
    for (at_ms, begins, planned) in steps {
        let at = began + Duration::from_millis(at_ms);
        actix_rt::time::sleep(at.saturating_duration_since(Instant::now())).await;
        let mut site = site.borrow_mut();
        if begins {
            begin(&mut site, planned.fault);
        } else {
            end(&mut site, planned.fault);
        }
    }
}

async fn send_jobs(site: Rc<RefCell<Site>>, tally: Rc<Tally>, mut rng: SmallRng, span_ms: u64) {
    let began = Instant::now();
    let mut id = 1;
    while began.elapsed() < Duration::from_millis(span_ms) {
        let takes_ms = if rng.random_bool(0.1) { 2_000 } else { rng.random_range(20..500) };
        let spec = job(id, rng.random_range(1..=3), takes_ms, &takes_ms.to_string());
        let sends = SmallRng::seed_from_u64(rng.random());
        tally.jobs.set(tally.jobs.get() + 1);
        tally.open.set(tally.open.get() + 1);
        actix_rt::spawn(one_caller(Rc::clone(&site), Rc::clone(&tally), spec, sends));
        id += 1;
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(10..90))).await;
    }
}

/// Sends a job until it has a final answer, each time to any daemon.
async fn one_caller(site: Rc<RefCell<Site>>, tally: Rc<Tally>, spec: JobSpec, mut rng: SmallRng) {
    let mut all_rejected = true;
    for _ in 0..MAX_SENDS {
        let sent = {
            let site = site.borrow();
            let at = rng.random_range(0..site.daemons.len());
            site.request(at, &spec, CALLER_WAIT_MS)
        };
        match sent.await {
            Ok(200) => {
                all_rejected = false;
                tally.completed.set(tally.completed.get() + 1);
                break;
            }
            Ok(429 | 503) => {}
            Ok(_) | Err(_) => all_rejected = false,
        }
        actix_rt::time::sleep(RESEND).await;
    }
    if all_rejected {
        tally.refused.borrow_mut().push(spec);
    }
    tally.open.set(tally.open.get() - 1);
}

/// A job that was refused each time must not have run.
fn check_refused(site: &Site, tally: &Tally) -> Vec<String> {
    let refused = tally.refused.borrow();
    let ran = refused.iter().filter(|spec| site.starts_of(spec) > 0);
    ran.map(|spec| format!("{} was refused each time, and ran", spec.id)).collect()
}

/// After the last fault each daemon serves again in time.
async fn check_recovery(site: &Rc<RefCell<Site>>) -> Vec<String> {
    let daemons = site.borrow().daemons.len();
    let checks = (0..daemons).map(|at| check_daemon(site, at));
    futures_util::future::join_all(checks).await.into_iter().flatten().collect()
}

async fn check_daemon(site: &Rc<RefCell<Site>>, at: usize) -> Option<String> {
    let began = Instant::now();
    let mut id = 1_000_000 * (at as u64 + 1);
    let mut answers = Vec::new();
    while began.elapsed() < RECOVERY {
        id += 1;
        let spec = job(id, 1, 20, "20");
        let sent = site.borrow().request(at, &spec, CALLER_WAIT_MS);
        let answer = sent.await;
        if answer == Ok(200) {
            return None;
        }
        answers.push(answer);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    Some(format!("daemon {at} did not serve again in {RECOVERY:?}: {:?}", answers.last()))
}
