//! A job is cancelled at a daemon whose zone is cut off from the others.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use adapter::worker_calls::WorkerCall;
use pool::job::{JobSpec, Step};

use crate::Verdict;
use crate::installation::{Failure, Installation, Setup, Worker, ZoneLayout, task_resources};
use crate::label::config;

const PREFIX: &str = "/lohu930/";
const KINDS: &[&str] = &["a", "a", "b", "a", "a", "b"];
const ZONES: &[ZoneLayout] =
    &[("bahirdar-a", 2, KINDS), ("gondar-b", 2, KINDS), ("debre-c", 1, KINDS)];
/// Zone whose daemon gets the cancellation.
const CUT_ZONE: &str = "debre-c";
/// Length of the cut; the longest zone cut of the site lasts 6.3 s.
const CUT: Duration = Duration::from_millis(6_000);
/// The pages' `cancel_ms`.
const CANCEL_S: f64 = 3.0;
/// Run time of the first step.
const FIRST_STEP_MS: u64 = 4_600;
const WAIT_MS: u64 = 12_000;

fn job(number: u64) -> JobSpec {
    let first = Step {
        count: 2,
        task_resources: task_resources(),
        estimate_ms: FIRST_STEP_MS,
        ..Step::default()
    };
    let second = Step { after: vec![0], ..first.clone() };
    let payload = Rc::from(FIRST_STEP_MS.to_string());
    JobSpec { id: Rc::from(format!("{number:016x}")), payload, steps: vec![first, second] }
}

pub async fn play(setup: Setup, has_trouble: bool) -> Result<Verdict, Failure> {
    let record = setup.record.clone();
    let acknowledged_s: Rc<Cell<Option<f64>>> = Rc::default();
    let late_starts: Rc<RefCell<Vec<String>>> = Rc::default();
    let starts = Rc::new(Cell::new(0));
    let on_call = {
        let (record, acknowledged_s) = (record.clone(), Rc::clone(&acknowledged_s));
        let (late_starts, starts) = (Rc::clone(&late_starts), Rc::clone(&starts));
        move |worker: &Worker, call: &WorkerCall, has_started: bool| {
            let WorkerCall::Start(start) = call else { return };
            if !has_started {
                return;
            }
            starts.set(starts.get() + 1);
            let task = start.task.to_string();
            record.line(format!("run task={task} run={} worker={}", start.run, worker.id));
            let since_s = acknowledged_s.get().map(|at_s| record.now_s() - at_s);
            if let Some(since_s) = since_s.filter(|since_s| *since_s > CANCEL_S) {
                record.line(format!(
                    "BROKEN UNASKED task={task} started {since_s:.3} s after its job's cancelling \
                     was acknowledged"
                ));
                late_starts.borrow_mut().push(task);
            }
        }
    };
    let mut terms = config();
    terms.routes[0].terms.timeout_ms = WAIT_MS;
    let installation = Installation::start(setup, &terms, ZONES, task_resources(), on_call).await?;
    let first = &installation.daemons[0];
    let cut_off = installation.daemons.iter().find(|daemon| daemon.zone == CUT_ZONE);
    let cut_off = cut_off.ok_or("no daemon in the zone that is cut off")?;
    let job = job(0x5c0e_7a21_d94b_36f8);
    record.line(format!("sent POST {} to {}", job.id, first.name));
    let answer = installation.submit(first.callers, PREFIX, &job, WAIT_MS);
    let posted = {
        let (record, id) = (record.clone(), Rc::clone(&job.id));
        actix_rt::spawn(async move {
            let answer = answer.await;
            record.line(format!("answered POST {id} {answer:?}"));
        })
    };
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    if starts.get() == 0 {
        record.line("the job has not started");
        return Ok(Verdict::CouldNotRun);
    }
    if has_trouble {
        installation.cut_zone(CUT_ZONE, true)?;
        record.line(format!("{CUT_ZONE} is cut off"));
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    record.line(format!("sent DELETE {} to {}", job.id, cut_off.name));
    let path = format!("{PREFIX}{}", job.id);
    let deleted =
        installation.send(cut_off.callers, "DELETE", &path, Vec::new(), 4_000, None).await;
    record.line(format!("answered DELETE {} {deleted:?}", job.id));
    if matches!(deleted, Ok((200..300 | 410, _))) {
        acknowledged_s.set(Some(record.now_s()));
    }
    actix_rt::time::sleep(CUT.saturating_sub(Duration::from_millis(300))).await;
    if has_trouble {
        installation.cut_zone(CUT_ZONE, false)?;
        record.line(format!("{CUT_ZONE} is connected again"));
    }
    let _ = posted.await;
    let late = late_starts.borrow().len();
    let summary = format!("starts={} late={late} delete={deleted:?}", starts.get());
    record.line(&summary);
    println!("{summary}");
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
