//! A worker crashes and starts again under its id and address as another kind. Jobs require the kind
//! that it had.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use adapter::worker_calls::WorkerCall;
use pool::catalogue::{Catalogue, Route, Terms};
use pool::job::{JobSpec, Step};

use crate::Verdict;
use crate::installation::{Failure, HOST, Installation, Setup, ZoneLayout, task_resources};

const PREFIX: &str = "/lohu930/";
/// Kinds of the workers of each zone.
const KINDS: &[&str] = &["a", "a", "a", "a", "b", "b"];
const ZONES: &[ZoneLayout] = &[("bahirdar-a", 2, KINDS), ("gondar-b", 2, KINDS)];
const JOB_INTERVAL: Duration = Duration::from_millis(22);
const PLAY: Duration = Duration::from_secs(60);
/// Time from one crash to the next.
const CRASH_INTERVAL: Duration = Duration::from_secs(3);
/// How long a crashed worker is down, one value after the other, in milliseconds.
const DOWN_MS: [u64; 5] = [100, 400, 700, 1_000, 2_000];
/// Time from the start of a life to its first ping, one value after the other, in milliseconds: within
/// one interval of the pings.
const FIRST_PING_MS: [u64; 4] = [300, 900, 100, 1_200];
const WAIT_MS: u64 = 1_500;

pub fn config() -> Catalogue {
    let terms = Terms {
        route: Rc::from("permit-stamp"),
        service: Rc::from("kiln-ledger"),
        priority: 1,
        max_attempts: 2,
        stretch: 1.6,
        target_ms: 60,
        timeout_ms: 1_500,
    };
    let route = Route {
        host: HOST.to_owned(),
        path_prefix: PREFIX.to_owned(),
        terms,
        requires_policy_service: false,
    };
    let admission_control = [("kiln-ledger".to_owned(), true)].into();
    Catalogue { version: 3, routes: vec![route], admission_control, max_body_bytes: None }
}

fn job(number: u64, label: &str) -> JobSpec {
    let step = Step {
        count: 2,
        task_resources: task_resources(),
        estimate_ms: 200,
        required_label: Some(label.to_owned()),
        ..Step::default()
    };
    JobSpec { id: Rc::from(format!("{number:016x}")), payload: Rc::from("200"), steps: vec![step] }
}

pub async fn play(setup: Setup, has_trouble: bool) -> Result<Verdict, Failure> {
    let record = setup.record.clone();
    let required: Rc<RefCell<HashMap<Rc<str>, &'static str>>> = Rc::default();
    let (breaks, starts) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let on_call = {
        let (record, required) = (record.clone(), Rc::clone(&required));
        let (breaks, starts) = (Rc::clone(&breaks), Rc::clone(&starts));
        move |worker: &crate::installation::Worker, call: &WorkerCall, has_started: bool| {
            let WorkerCall::Start(start) = call else { return };
            if !has_started {
                return;
            }
            let kind = *worker.kind.borrow();
            let label = required.borrow().get(&start.task.job).copied().unwrap_or_default();
            record.line(format!(
                "run task={} run={} worker={} born={} kind={kind} required={label}",
                start.task,
                start.run,
                worker.id,
                worker.server.started_at_ms(),
            ));
            starts.set(starts.get() + 1);
            if label != kind {
                breaks.set(breaks.get() + 1);
                record.line(format!(
                    "BROKEN ROUTE task={} requires {label} and has started on {} of kind {kind}",
                    start.task, worker.id,
                ));
            }
        }
    };
    let installation =
        Installation::start(setup, &config(), ZONES, task_resources(), on_call).await?;
    let answered = Rc::new(Cell::new(0));
    let started = tokio::time::Instant::now();
    let mut number = 0;
    let mut crashes = 0;
    let mut next_crash = started + CRASH_INTERVAL;
    while started.elapsed() < PLAY {
        number += 1;
        let label = if number % 3 == 0 { "b" } else { "a" };
        let job = job(number, label);
        required.borrow_mut().insert(Rc::clone(&job.id), label);
        let daemon = &installation.daemons[number as usize % installation.daemons.len()];
        record.line(format!("sent POST {} to {} requires={label}", job.id, daemon.name));
        let answer = installation.submit(daemon.callers, PREFIX, &job, WAIT_MS);
        let (record, answered) = (record.clone(), Rc::clone(&answered));
        actix_rt::spawn(async move {
            let answer = answer.await;
            if matches!(&answer, Ok((200, _))) {
                answered.set(answered.get() + 1);
            }
            record.line(format!("answered {} {answer:?}", job.id));
        });
        if has_trouble && tokio::time::Instant::now() >= next_crash {
            next_crash += CRASH_INTERVAL;
            let worker = Rc::clone(&installation.workers[crashes % installation.workers.len()]);
            let down = Duration::from_millis(DOWN_MS[crashes % DOWN_MS.len()]);
            let first_ping = Duration::from_millis(FIRST_PING_MS[crashes % FIRST_PING_MS.len()]);
            crashes += 1;
            let record = installation.record.clone();
            actix_rt::spawn(async move {
                let before = *worker.kind.borrow();
                record.line(format!("crash of {}, kind {before}", worker.id));
                worker.crash();
                actix_rt::time::sleep(down).await;
                let kind = if before == "a" { "b" } else { "a" };
                worker.start_again(kind);
                record.line(format!("start of {} again, kind {kind}", worker.id));
                actix_rt::time::sleep(first_ping).await;
                worker.begin_pings();
                record.line(format!("entry of {} written, kind {kind}", worker.id));
            });
        }
        actix_rt::time::sleep(JOB_INTERVAL).await;
    }
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let (breaks, starts) = (breaks.get(), starts.get());
    let answered = answered.get();
    let summary = format!(
        "jobs={number} completed={answered} starts={starts} crashes={crashes} broken={breaks}"
    );
    installation.record.line(&summary);
    println!("{summary}");
    if answered * 2 < number {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if breaks > 0 { Verdict::Broken } else { Verdict::Held })
}
