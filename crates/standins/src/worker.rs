//! Test double of a slot worker: slots, leases, a ledger of events, and faults set over HTTP.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_rt::net::TcpListener;
use futures_util::future::{Either, select};
use httpedge::server::{Limits, Request, Response, serve};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use upstreams::wire::{
    AboutReply, Done, RecallCall, RecallReply, RenewCall, SettleCall, StartCall, StopCall,
    WorkerEnd, WorkerReply, input_digest,
};

use crate::coverage::{Sample, check_coverage, parse_request, sample};
use crate::ledger::{Ledger, TaskEvent};

const MAX_BODY_BYTES: usize = 4 << 20;
const MAX_OPEN_STARTS: usize = 64;

/// Faults of a worker, set by `POST /faults`.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor by which the duration of the work is multiplied.
    pub slow_factor: f64,
    /// Neither carries out nor answers any call except `/faults` and `/ledger`. Running tasks
    /// continue.
    pub dead: bool,
    /// Every started task fails after 1 ms.
    pub fail_fast: bool,
    /// Refuses every start.
    pub refuse: bool,
    /// Breaks the reply to every start after the work has finished, so that its result is lost.
    pub lose_answer: bool,
    /// Ignores every start and breaks its reply, as if the request had been lost on the way.
    pub lose_request: bool,
    /// Restarts the worker's process once, when this fault is set: running tasks are stopped, and
    /// ended and fenced tasks are forgotten.
    pub restart: bool,
    /// All leases expire at once, also those of tasks that start later.
    pub lapse: bool,
    /// The worker is shutting down: it refuses starts and says so in every reply.
    pub leaving: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            dead: false,
            fail_fast: false,
            refuse: false,
            lose_answer: false,
            lose_request: false,
            restart: false,
            lapse: false,
            leaving: false,
        }
    }
}

#[derive(Debug)]
struct RunningTask {
    stop: Rc<Notify>,
    lease_until: Instant,
    /// Whether the start was recorded by [`accept`] and the work has not started yet.
    pending: bool,
}

/// State of one worker.
#[derive(Debug)]
pub struct Worker {
    slots: usize,
    free: Arc<Semaphore>,
    /// Number of accepted starts, running or waiting for a slot.
    open: usize,
    running: HashMap<String, RunningTask>,
    /// Tasks that must never start.
    fenced: HashSet<String>,
    /// Results of ended tasks.
    ended: HashMap<String, WorkerEnd>,
    /// Random id of the worker's process, replaced on a restart.
    boot: u64,
    faults: Faults,
    ledger: Ledger,
    sample: Rc<Sample>,
}

type Shared = Rc<RefCell<Worker>>;

impl Worker {
    /// Creates a worker that runs up to `slots` tasks at once.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            free: Arc::new(Semaphore::new(slots)),
            open: 0,
            running: HashMap::new(),
            fenced: HashSet::new(),
            boot: rand::random(),
            ended: HashMap::new(),
            faults: Faults::default(),
            ledger: Ledger::default(),
            sample: Rc::new(sample()),
        }
    }

    /// Records the start of a task, unless that was done when the start was accepted, and returns
    /// the signal that stops the task.
    fn record_start(&mut self, call: &StartCall) -> Rc<Notify> {
        if let Some(running) = self.running.get(&call.task).filter(|running| running.pending) {
            let stop = Rc::clone(&running.stop);
            if let Some(running) = self.running.get_mut(&call.task) {
                running.pending = false;
            }
            return stop;
        }
        self.ledger.record(&call.task, TaskEvent::Started);
        let stop = Rc::new(Notify::new());
        let lease_until = Instant::now() + Duration::from_millis(call.lease_ms);
        let running = RunningTask { stop: Rc::clone(&stop), lease_until, pending: true };
        self.running.insert(call.task.clone(), running);
        self.ledger.most_running = self.ledger.most_running.max(self.running.len());
        stop
    }

    fn reply(&self, task: &str, end: WorkerEnd) -> Response {
        let reply = WorkerReply {
            end,
            task: task.to_owned(),
            free: self.free.available_permits() as u32,
            leaving: self.faults.leaving,
            boot: self.boot,
        };
        Response::json(200, &reply)
    }
}

/// Serves a worker on `listener` until the returned future is dropped.
pub async fn serve_worker(listener: TcpListener, slots: usize) {
    let worker = Rc::new(RefCell::new(Worker::new(slots)));
    serve(listener, Limits::of_body(MAX_BODY_BYTES), move |request| {
        route(Rc::clone(&worker), request)
    })
    .await;
}

async fn route(worker: Shared, request: Request) -> Response {
    let segments = request.segments();
    let body = request.body.clone().unwrap_or_default();
    if worker.borrow().faults.dead && segments != ["faults"] && segments != ["ledger"] {
        std::future::pending::<()>().await;
    }
    match (&request.method, segments.as_slice()) {
        (&Method::POST, ["start"]) => with_body(&body, |call| start(worker, call)).await,
        (&Method::POST, ["settle"]) => {
            with_body(&body, |call| async move { settle(&worker, &call) }).await
        }
        (&Method::POST, ["recall"]) => {
            with_body(&body, |call| async move { recall(&worker, &call) }).await
        }
        (&Method::POST, ["stop"]) => {
            with_body(&body, |call| async move { stop(&worker, &call) }).await
        }
        (&Method::POST, ["renew"]) => {
            with_body(&body, |call| async move { renew(&worker, &call) }).await
        }
        (&Method::POST, ["faults"]) => {
            with_body(&body, |faults| async move { set_faults(&worker, faults) }).await
        }
        (&Method::GET, ["faults"]) => Response::json(200, &worker.borrow().faults),
        (&Method::GET, ["about"]) => {
            Response::json(200, &AboutReply { boot: worker.borrow().boot })
        }
        (&Method::GET, ["ledger"]) => Response::json(200, &worker.borrow().ledger),
        _ => Response::text(404, "no such call; POST /start, /settle, /stop, /renew, /faults"),
    }
}

/// Parses a JSON body and passes it to `handle`. An invalid body gets status 400 and the parser's
/// error.
pub(crate) async fn with_body<T, F, Fut>(body: &[u8], handle: F) -> Response
where
    T: serde::de::DeserializeOwned,
    F: FnOnce(T) -> Fut,
    Fut: Future<Output = Response>,
{
    match serde_json::from_slice(body) {
        Ok(call) => handle(call).await,
        Err(error) => Response::text(400, format!("the body cannot be read: {error}")),
    }
}

async fn start(worker: Shared, call: StartCall) -> Response {
    let permit = match accept(&worker, &call) {
        Ok(permit) => permit,
        Err(refusal) => return refusal,
    };
    let task = call.task.clone();
    let boot = worker.borrow().boot;
    // A separate task, so that the work continues when the daemon's connection breaks, as on a
    // real worker.
    let running = actix_rt::spawn(wait_and_run(Rc::clone(&worker), call, permit, boot));
    let Ok(end) = running.await else {
        return Response::broken();
    };
    let lost = worker.borrow().faults.lose_answer || worker.borrow().boot != boot;
    if worker.borrow().faults.dead {
        std::future::pending::<()>().await;
    }
    if lost { Response::broken() } else { worker.borrow().reply(&task, end) }
}

/// Runs an accepted start, after waiting for a slot if it has none. The task may be fenced while it
/// waits, and then never runs.
async fn wait_and_run(
    worker: Shared,
    call: StartCall,
    permit: Option<OwnedSemaphorePermit>,
    boot: u64,
) -> WorkerEnd {
    let permit = if permit.is_none() {
        let free = Arc::clone(&worker.borrow().free);
        free.acquire_owned().await.ok()
    } else {
        permit
    };
    let fenced = worker.borrow().fenced.contains(&call.task);
    // A restart of the process loses the starts that it had accepted.
    let replaced = worker.borrow().boot != boot;
    let end = if fenced {
        WorkerEnd::NeverWill
    } else if replaced {
        WorkerEnd::Stopped
    } else {
        run(&worker, &call).await
    };
    drop(permit);
    worker.borrow_mut().open -= 1;
    end
}

/// Refuses a start or accepts it, without yielding in between. Returns the slot's permit, or `None`
/// for a start that waits until a slot is free.
fn accept(worker: &Shared, call: &StartCall) -> Result<Option<OwnedSemaphorePermit>, Response> {
    let mut state = worker.borrow_mut();
    state.ledger.messages += 1;
    if state.faults.lose_request {
        return Err(Response::broken());
    }
    let permit = Arc::clone(&state.free).try_acquire_owned().ok();
    let full = !call.hold && permit.is_none();
    let too_many_open = state.open >= MAX_OPEN_STARTS;
    let wrong_process = call.boot.is_some_and(|boot| boot != state.boot);
    let refusal = if wrong_process {
        Some(WorkerEnd::Refused)
    } else if state.fenced.contains(&call.task) {
        Some(WorkerEnd::NeverWill)
    } else if state.faults.leaving {
        Some(WorkerEnd::Leaving)
    } else if state.faults.refuse {
        Some(WorkerEnd::Refused)
    } else if full || too_many_open {
        Some(WorkerEnd::Full)
    } else {
        None
    };
    if let Some(end) = refusal {
        drop(permit);
        state.ledger.record(&call.task, TaskEvent::Refused);
        return Err(state.reply(&call.task, end));
    }
    state.open += 1;
    state.ledger.most_open = state.ledger.most_open.max(state.open);
    if permit.is_some() {
        state.record_start(call);
    }
    Ok(permit)
}

async fn run(worker: &Shared, call: &StartCall) -> WorkerEnd {
    let coverage_request = parse_request(&call.input);
    let started_at = Instant::now();
    let (stop, faults, sample, boot) = {
        let mut state = worker.borrow_mut();
        let stop = state.record_start(call);
        (stop, state.faults, Rc::clone(&state.sample), state.boot)
    };
    let work_ms =
        if faults.fail_fast { 1.0 } else { coverage_request.work_ms as f64 * faults.slow_factor };
    let work = actix_rt::time::sleep(Duration::from_micros((work_ms * 1_000.0) as u64));
    let stopped = expired_or_stopped(worker, &call.task, &stop);
    let (work, stopped) = (std::pin::pin!(work), std::pin::pin!(stopped));
    let ended = select(work, stopped).await;
    let run_ms = started_at.elapsed().as_millis() as u64;
    let (event, end) = match ended {
        Either::Right(_) => (TaskEvent::Stopped, WorkerEnd::Stopped),
        Either::Left(_) if faults.fail_fast || coverage_request.broken => {
            let detail = "the work failed".to_owned();
            (TaskEvent::Failed, WorkerEnd::Failed { detail, run_ms })
        }
        Either::Left(_) => {
            let output = check_coverage(&sample, &coverage_request);
            let digest = input_digest(&call.input);
            (TaskEvent::Finished, WorkerEnd::Done { output, digest, run_ms })
        }
    };
    let mut state = worker.borrow_mut();
    state.running.remove(&call.task);
    state.ledger.record(&call.task, event);
    if state.boot == boot {
        state.ended.insert(call.task.clone(), end.clone());
    }
    end
}

/// Waits until the lease of a task has expired or the task is stopped.
async fn expired_or_stopped(worker: &Shared, task: &str, stop: &Notify) {
    loop {
        let lease_until = worker.borrow().running.get(task).map(|running| running.lease_until);
        let Some(lease_until) = lease_until else {
            return;
        };
        let remaining = lease_until.saturating_duration_since(Instant::now());
        if remaining.is_zero() || worker.borrow().faults.lapse {
            return;
        }
        if actix_rt::time::timeout(remaining, stop.notified()).await.is_ok() {
            let unrenewed =
                worker.borrow().running.get(task).is_none_or(|r| r.lease_until == lease_until);
            if unrenewed {
                return;
            }
        }
    }
}

fn settle(worker: &Shared, call: &SettleCall) -> Response {
    let mut state = worker.borrow_mut();
    state.ledger.messages += 1;
    let end = if let Some(end) = state.ended.get(&call.task) {
        end.clone()
    } else if state.running.contains_key(&call.task) {
        WorkerEnd::StillRuns
    } else {
        if state.fenced.insert(call.task.clone()) {
            state.ledger.record(&call.task, TaskEvent::Barred);
        }
        WorkerEnd::NeverWill
    };
    state.reply(&call.task, end)
}

fn recall(worker: &Shared, call: &RecallCall) -> Response {
    let mut state = worker.borrow_mut();
    state.ledger.messages += 1;
    let requested = |task: &str| {
        task.rsplit_once('.')
            .is_some_and(|(job, _)| call.jobs.iter().any(|requested| requested == job))
    };
    let ended = state.ended.iter().filter(|(task, _)| requested(task));
    let mut ends: Vec<(String, WorkerEnd)> =
        ended.map(|(task, end)| (task.clone(), end.clone())).collect();
    let running = state.running.keys().filter(|task| requested(task));
    ends.extend(running.map(|task| (task.clone(), WorkerEnd::StillRuns)));
    Response::json(200, &RecallReply { ends })
}

fn stop(worker: &Shared, call: &StopCall) -> Response {
    let mut state = worker.borrow_mut();
    state.ledger.messages += 1;
    let running = call.tasks.iter().filter_map(|task| state.running.get(task));
    let count = running.map(|task| task.stop.notify_one()).count();
    Response::json(200, &Done { count })
}

fn renew(worker: &Shared, call: &RenewCall) -> Response {
    let mut state = worker.borrow_mut();
    state.ledger.messages += 1;
    let lease_until = Instant::now() + Duration::from_millis(call.lease_ms);
    let mut count = 0;
    for task in &call.tasks {
        if let Some(running) = state.running.get_mut(task) {
            running.lease_until = lease_until;
            count += 1;
        }
    }
    Response::json(200, &Done { count })
}

fn set_faults(worker: &Shared, faults: Faults) -> Response {
    let mut state = worker.borrow_mut();
    state.faults = faults;
    if faults.restart {
        state.boot = rand::random();
        state.ended.clear();
        state.fenced.clear();
        for running in state.running.values() {
            running.stop.notify_one();
        }
        state.running.clear();
    }
    if faults.lapse {
        for running in state.running.values() {
            running.stop.notify_one();
        }
    }
    Response::json(200, &Done { count: state.slots })
}
