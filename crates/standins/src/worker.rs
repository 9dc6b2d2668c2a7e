//! A stand-in worker: slots, leases, a ledger, and faults over HTTP.

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
    AboutReply, OrderReply, RecallCall, RecallReply, RenewCall, SettleCall, StartCall, StopCall,
    WorkerEnd, WorkerReply, input_digest,
};

use crate::coverage::{Sample, answer, question_of, sample};
use crate::ledger::{Deed, Ledger};

const LARGEST_BODY_BYTES: usize = 4 << 20;
const MOST_OPEN_STARTS: usize = 64;

/// Faults of a worker.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The work takes so many times longer.
    pub slow_factor: f64,
    /// Nothing is answered, and nothing more is done.
    pub dead: bool,
    /// Every start fails at once.
    pub fail_fast: bool,
    /// Every start is refused.
    pub refuse: bool,
    /// The answer of each task is lost after its work.
    pub lose_answer: bool,
    /// Every start's request is lost before the worker knows of it.
    pub lose_request: bool,
    /// The process was replaced: it knows nothing of earlier tasks. Switched on, it happens once.
    pub restart: bool,
    /// Leases lapse at once.
    pub lapse: bool,
    /// The worker is leaving.
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
    /// Taken on, and its work not begun yet.
    fresh: bool,
}

/// One worker's state.
#[derive(Debug)]
pub struct Worker {
    slots: usize,
    free: Arc<Semaphore>,
    open: usize,
    running: HashMap<String, RunningTask>,
    barred: HashSet<String>,
    ended: HashMap<String, WorkerEnd>,
    boot: u64,
    faults: Faults,
    ledger: Ledger,
    sample: Rc<Sample>,
}

type Shared = Rc<RefCell<Worker>>;

impl Worker {
    /// Builds a worker with so many slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            free: Arc::new(Semaphore::new(slots)),
            open: 0,
            running: HashMap::new(),
            barred: HashSet::new(),
            boot: rand::random(),
            ended: HashMap::new(),
            faults: Faults::default(),
            ledger: Ledger::default(),
            sample: Rc::new(sample()),
        }
    }

    /// Records that a task begins, where that was not done when it was taken on.
    fn begin(&mut self, call: &StartCall) -> Rc<Notify> {
        if let Some(running) = self.running.get(&call.task).filter(|running| running.fresh) {
            let stop = Rc::clone(&running.stop);
            if let Some(running) = self.running.get_mut(&call.task) {
                running.fresh = false;
            }
            return stop;
        }
        self.ledger.note(&call.task, Deed::Started);
        let stop = Rc::new(Notify::new());
        let lease_until = Instant::now() + Duration::from_millis(call.lease_ms);
        let running = RunningTask { stop: Rc::clone(&stop), lease_until, fresh: true };
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

/// Serves a worker until the returned future is dropped.
pub async fn serve_worker(listener: TcpListener, slots: usize) {
    let worker = Rc::new(RefCell::new(Worker::new(slots)));
    serve(listener, Limits::with_max_body(LARGEST_BODY_BYTES), move |request| {
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

/// Reads a JSON body and hands it on, or says what is wrong with it.
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
    let permit = match take_on(&worker, &call) {
        Ok(permit) => permit,
        Err(refusal) => return refusal,
    };
    let task = call.task.clone();
    let boot = worker.borrow().boot;
    // The work goes on when the daemon's connection breaks, as on a real worker.
    let running = actix_rt::spawn(hold_and_run(Rc::clone(&worker), call, permit, boot));
    let Ok(end) = running.await else {
        return Response::truncated();
    };
    let lost = worker.borrow().faults.lose_answer || worker.borrow().boot != boot;
    if worker.borrow().faults.dead {
        std::future::pending::<()>().await;
    }
    if lost { Response::truncated() } else { worker.borrow().reply(&task, end) }
}

/// Runs a start that was taken on; a held one may be barred while it waits.
async fn hold_and_run(
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
    let barred = worker.borrow().barred.contains(&call.task);
    // A process that was replaced meanwhile takes what it had taken on with it.
    let replaced = worker.borrow().boot != boot;
    let end = if barred {
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

/// Refuses a start, or takes it on with a slot, in one step.
fn take_on(worker: &Shared, call: &StartCall) -> Result<Option<OwnedSemaphorePermit>, Response> {
    let mut state = worker.borrow_mut();
    state.ledger.messages += 1;
    if state.faults.lose_request {
        return Err(Response::truncated());
    }
    let permit = Arc::clone(&state.free).try_acquire_owned().ok();
    let full = !call.hold && permit.is_none();
    let crowded = state.open >= MOST_OPEN_STARTS;
    let meant_for_other = call.boot.is_some_and(|boot| boot != state.boot);
    let refusal = if meant_for_other {
        Some(WorkerEnd::Refused)
    } else if state.barred.contains(&call.task) {
        Some(WorkerEnd::NeverWill)
    } else if state.faults.leaving {
        Some(WorkerEnd::Leaving)
    } else if state.faults.refuse {
        Some(WorkerEnd::Refused)
    } else if full || crowded {
        Some(WorkerEnd::Full)
    } else {
        None
    };
    if let Some(end) = refusal {
        drop(permit);
        state.ledger.note(&call.task, Deed::Refused);
        return Err(state.reply(&call.task, end));
    }
    state.open += 1;
    state.ledger.most_open = state.ledger.most_open.max(state.open);
    if permit.is_some() {
        state.begin(call);
    }
    Ok(permit)
}

async fn run(worker: &Shared, call: &StartCall) -> WorkerEnd {
    let question = question_of(&call.input);
    let began = Instant::now();
    let (stop, faults, sample, boot) = {
        let mut state = worker.borrow_mut();
        let stop = state.begin(call);
        (stop, state.faults, Rc::clone(&state.sample), state.boot)
    };
    let work_ms = if faults.fail_fast { 1.0 } else { question.work_ms as f64 * faults.slow_factor };
    let work = actix_rt::time::sleep(Duration::from_micros((work_ms * 1_000.0) as u64));
    let stopped = lapse_or_stop(worker, &call.task, &stop);
    let (work, stopped) = (std::pin::pin!(work), std::pin::pin!(stopped));
    let ended = select(work, stopped).await;
    let run_ms = began.elapsed().as_millis() as u64;
    let (deed, end) = match ended {
        Either::Right(_) => (Deed::Stopped, WorkerEnd::Stopped),
        Either::Left(_) if faults.fail_fast || question.broken => {
            let detail = "the work failed".to_owned();
            (Deed::Failed, WorkerEnd::Failed { detail, run_ms })
        }
        Either::Left(_) => {
            let output = answer(&sample, &question);
            let digest = input_digest(&call.input);
            (Deed::Finished, WorkerEnd::Done { output, digest, run_ms })
        }
    };
    let mut state = worker.borrow_mut();
    state.running.remove(&call.task);
    state.ledger.note(&call.task, deed);
    if state.boot == boot {
        state.ended.insert(call.task.clone(), end.clone());
    }
    end
}

async fn lapse_or_stop(worker: &Shared, task: &str, stop: &Notify) {
    loop {
        let lease_until = worker.borrow().running.get(task).map(|running| running.lease_until);
        let Some(lease_until) = lease_until else {
            return;
        };
        let left = lease_until.saturating_duration_since(Instant::now());
        if left.is_zero() || worker.borrow().faults.lapse {
            return;
        }
        if actix_rt::time::timeout(left, stop.notified()).await.is_ok() {
            let lapsed =
                worker.borrow().running.get(task).is_none_or(|r| r.lease_until == lease_until);
            if lapsed {
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
        if state.barred.insert(call.task.clone()) {
            state.ledger.note(&call.task, Deed::Barred);
        }
        WorkerEnd::NeverWill
    };
    state.reply(&call.task, end)
}

fn recall(worker: &Shared, call: &RecallCall) -> Response {
    let mut state = worker.borrow_mut();
    state.ledger.messages += 1;
    let asked = |task: &str| {
        task.rsplit_once('.').is_some_and(|(job, _)| call.jobs.iter().any(|asked| asked == job))
    };
    let ended = state.ended.iter().filter(|(task, _)| asked(task));
    let mut ends: Vec<(String, WorkerEnd)> =
        ended.map(|(task, end)| (task.clone(), end.clone())).collect();
    let running = state.running.keys().filter(|task| asked(task));
    ends.extend(running.map(|task| (task.clone(), WorkerEnd::StillRuns)));
    Response::json(200, &RecallReply { ends })
}

fn stop(worker: &Shared, call: &StopCall) -> Response {
    let mut state = worker.borrow_mut();
    state.ledger.messages += 1;
    let running = call.tasks.iter().filter_map(|task| state.running.get(task));
    let count = running.map(|task| task.stop.notify_one()).count();
    Response::json(200, &OrderReply { count })
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
    Response::json(200, &OrderReply { count })
}

fn set_faults(worker: &Shared, faults: Faults) -> Response {
    let mut state = worker.borrow_mut();
    state.faults = faults;
    if faults.restart {
        state.boot = rand::random();
        state.ended.clear();
        state.barred.clear();
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
    Response::json(200, &OrderReply { count: state.slots })
}
