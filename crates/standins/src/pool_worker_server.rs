//! HTTP server for the test double of a pool worker, speaking the platform's protocol.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use actix_rt::net::TcpListener;
use adapter::worker_calls::{
    WorkerCall, read_worker_call, render_refusal, render_report, render_success,
};
use httpedge::server::{Accepted, Limits, Request, Response, serve_closable};
use pool::call::{End, PollReply, Refusal, StartCall, StartReply, StopReply};
use pool::job::TaskName;
use pool::resources::Resources;

use crate::pool_worker::{PoolWorker, Work, WorkerDefect};

const MAX_BODY_BYTES: usize = 1 << 16;
/// Amounts by which the clock of a worker's process may be ahead, in milliseconds.
const CLOCK_OFFSET_RANGE_MS: std::ops::Range<u64> = 0..100_000;
/// Share of the processes whose clock is behind that of the process before.
const EARLIER_CLOCK_SHARE: f64 = 0.5;
/// Interval at which a waiting poll checks whether a run has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Behaviour of a worker: normal, or with a simulated fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// No fault.
    #[default]
    Normal,
    /// Does not carry out orders and never replies.
    Silent,
    /// Refuses every order with status 503.
    Unhealthy,
    /// Carries out orders and breaks the replies.
    LosesReplies,
    /// Leaves a share of the starts and stops without a reply and carries them out later. Polls are
    /// answered.
    LateOrders(LateOrders),
}

/// Starts and stops that a worker carries out late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateOrders {
    /// Share of the starts and stops, in percent.
    pub share_percent: u32,
    /// Shortest delay, in milliseconds.
    pub min_delay_ms: u64,
    /// Longest delay, in milliseconds.
    pub max_delay_ms: u64,
}

/// A worker served over HTTP in real time, with a record of the runs that it started.
#[derive(Debug)]
pub struct PoolWorkerServer {
    /// Address on which the worker accepts orders.
    pub addr: SocketAddr,
    /// Current behaviour.
    pub behaviour: Cell<Behaviour>,
    /// Started runs, in order: task name and run number.
    pub started_runs: RefCell<Vec<(String, u32)>>,
    /// Number of polls received.
    pub polls: Cell<u64>,
    worker: RefCell<PoolWorker>,
    /// Whether no process listens at the address.
    is_down: Cell<bool>,
    /// Connections of the worker's process, which end with it.
    accepted: Rc<Accepted>,
    start_hook: RefCell<StartHook>,
    crash_hook: RefCell<StartHook>,
    order_hook: RefCell<OrderHook>,
    resources: Resources,
    started: Instant,
}

/// Callback that receives the task of each started run.
pub type StartCallback = Box<dyn Fn(&TaskName)>;

/// Callback that receives each order that has been carried out, and whether it started a run.
pub type OrderCallback = Box<dyn Fn(&WorkerCall, bool)>;

/// Holder of the optional callback, for which [`Debug`](std::fmt::Debug) can be implemented.
#[derive(Default)]
struct OrderHook(Option<OrderCallback>);

impl std::fmt::Debug for OrderHook {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OrderHook")
    }
}

/// Holder of the optional callback, for which [`Debug`](std::fmt::Debug) can be implemented.
#[derive(Default)]
struct StartHook(Option<StartCallback>);

impl std::fmt::Debug for StartHook {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StartHook")
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Whether a task's payload makes the worker crash: `crash` follows the duration.
fn crashes_worker(call: &StartCall) -> bool {
    call.spec.split_whitespace().nth(1) == Some("crash")
}

/// Parses a task's payload: its duration in milliseconds (10 by default), then `fail` if it fails.
fn parse_work(call: &StartCall, resources: Resources) -> Work {
    let mut words = call.spec.split_whitespace();
    let duration_ms = words.next().and_then(|word| word.parse().ok()).unwrap_or(10);
    let end = if words.next() == Some("fail") { End::Failed } else { End::Done };
    Work { resources, duration_ms, end }
}

impl PoolWorkerServer {
    /// Starts a worker on a free port of the loopback interface; each task occupies `resources`.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(capacity: Resources, resources: Resources) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let worker = PoolWorker::new(capacity, 0, 0);
        let server = Rc::new(Self {
            addr: listener.local_addr()?,
            behaviour: Cell::default(),
            started_runs: RefCell::default(),
            polls: Cell::new(0),
            worker: RefCell::new(worker),
            is_down: Cell::new(true),
            accepted: Rc::default(),
            start_hook: RefCell::default(),
            crash_hook: RefCell::default(),
            order_hook: RefCell::default(),
            resources,
            started: Instant::now(),
        });
        server.start_process();
        let shared = Rc::clone(&server);
        let (limits, accepted) =
            (Limits::with_max_body(MAX_BODY_BYTES), Rc::clone(&server.accepted));
        let handler = move |request| Rc::clone(&shared).handle(request);
        actix_rt::spawn(serve_closable(listener, limits, accepted, handler));
        Ok(server)
    }

    /// Calls `start_hook` with the task of each run that starts from now on.
    pub fn set_start_hook(&self, start_hook: StartCallback) {
        *self.start_hook.borrow_mut() = StartHook(Some(start_hook));
    }

    /// Calls `crash_hook` with the task when the worker's process has crashed under it. Whoever set
    /// it starts the next process.
    pub fn set_crash_hook(&self, crash_hook: StartCallback) {
        *self.crash_hook.borrow_mut() = StartHook(Some(crash_hook));
    }

    /// Calls `order_hook` with each order that is carried out from now on.
    pub fn set_order_hook(&self, order_hook: OrderCallback) {
        *self.order_hook.borrow_mut() = OrderHook(Some(order_hook));
    }

    /// Sets the defect that the worker has from now on.
    pub fn set_defect(&self, defect: WorkerDefect) {
        self.worker.borrow_mut().defect = defect;
    }

    /// Returns the start time of the worker's last process, in Unix milliseconds.
    pub fn started_at_ms(&self) -> u64 {
        self.worker.borrow().started_at_ms
    }

    /// Ends the worker's process, its runs and its connections. Calls get no reply until the next
    /// process starts.
    pub fn end_process(&self) {
        self.is_down.set(true);
        self.accepted.close_all();
        self.worker.borrow_mut().active.clear();
    }

    /// Starts a process that has a clock of its own and knows nothing of the process before. Does
    /// nothing if one runs.
    pub fn start_process(&self) {
        if !self.is_down.replace(false) {
            return;
        }
        let mut worker = self.worker.borrow_mut();
        // In Unix time, unlike this server's clock, and never the same for two processes.
        let started_at_ms = unix_ms().max(worker.started_at_ms + 1);
        // A clock that begins anew often shows an earlier time than that of the process before, at which
        // leases by that one's clock seem to last long.
        let before_ms = worker.clock_offset_ms();
        let is_earlier = before_ms > 0 && rand::random_bool(EARLIER_CLOCK_SHARE);
        let offsets_ms = if is_earlier { 0..before_ms } else { CLOCK_OFFSET_RANGE_MS };
        worker.restart(self.now_ms(), rand::random_range(offsets_ms));
        worker.started_at_ms = started_at_ms;
    }

    /// Whether a run of a task is active.
    pub fn is_running(&self, task: &TaskName) -> bool {
        let mut worker = self.worker.borrow_mut();
        worker.advance_to(self.now_ms());
        worker.active.contains_key(task)
    }

    /// Ends the runs that are over, and calls `observe` with each active one: its task, its number and the
    /// time until it ends unless its lease is renewed or it is stopped.
    pub fn observe_active(&self, mut observe: impl FnMut(&TaskName, u32, Duration)) {
        let now_ms = self.now_ms();
        let mut worker = self.worker.borrow_mut();
        worker.advance_to(now_ms);
        for (task, run, ends_at_ms) in worker.planned_ends(now_ms) {
            observe(task, run, Duration::from_millis(ends_at_ms.saturating_sub(now_ms)));
        }
    }

    /// Returns the number of active runs.
    pub fn active_count(&self) -> usize {
        let mut worker = self.worker.borrow_mut();
        worker.advance_to(self.now_ms());
        worker.active.len()
    }

    /// Time since the server's start plus 1,000 ms.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if self.is_down.get() {
            return Response::truncated();
        }
        match self.behaviour.get() {
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Unhealthy => return Response::text(503, ""),
            Behaviour::Normal | Behaviour::LosesReplies | Behaviour::LateOrders(_) => {}
        }
        let body = request.body.as_deref().unwrap_or_default();
        let Some(order) = read_worker_call(&request.path, body) else {
            return render_refusal(Refusal::Unreadable, 0);
        };
        if let Behaviour::LateOrders(late) = self.behaviour.get()
            && !matches!(order, WorkerCall::Poll(_))
            && rand::random_ratio(late.share_percent, 100)
        {
            let delay_ms = rand::random_range(late.min_delay_ms..=late.max_delay_ms);
            actix_rt::spawn(self.execute_later(order, Duration::from_millis(delay_ms)));
            return std::future::pending().await;
        }
        let response = self.execute(order).await;
        if self.behaviour.get() == Behaviour::LosesReplies {
            Response::truncated()
        } else {
            response
        }
    }

    /// Carries out an order after a delay, unless the process that received it has ended by then.
    fn execute_later(
        self: Rc<Self>,
        order: WorkerCall,
        delay: Duration,
    ) -> impl Future<Output = ()> + 'static {
        let receiver_started_at_ms = self.started_at_ms();
        async move {
            actix_rt::time::sleep(delay).await;
            if !self.is_down.get() && self.started_at_ms() == receiver_started_at_ms {
                self.execute(order).await;
            }
        }
    }

    fn report_order(&self, order: &WorkerCall, has_started: bool) {
        if let OrderHook(Some(order_hook)) = &*self.order_hook.borrow() {
            order_hook(order, has_started);
        }
    }

    async fn execute(&self, order: WorkerCall) -> Response {
        let now_ms = self.now_ms();
        let clock_ms = self.worker.borrow().clock(now_ms);
        match order {
            WorkerCall::Start(call) => {
                let work = parse_work(&call, self.resources);
                let (reply, began) = self.worker.borrow_mut().start(now_ms, &call, work);
                self.report_order(&WorkerCall::Start(call.clone()), began);
                if began {
                    self.started_runs.borrow_mut().push((call.task.to_string(), call.run));
                    if let StartHook(Some(start_hook)) = &*self.start_hook.borrow() {
                        start_hook(&call.task);
                    }
                    if crashes_worker(&call) {
                        self.end_process();
                        if let StartHook(Some(crash_hook)) = &*self.crash_hook.borrow() {
                            crash_hook(&call.task);
                        }
                        return Response::truncated();
                    }
                }
                match reply {
                    StartReply::Started { clock_ms } => render_success(clock_ms),
                    StartReply::Refused(refusal) => render_refusal(refusal, clock_ms),
                    StartReply::Lost => Response::truncated(),
                }
            }
            WorkerCall::Stop(call) => {
                let reply = self.worker.borrow_mut().stop(now_ms, &call);
                match reply {
                    StopReply::Refused(refusal) => render_refusal(refusal, clock_ms),
                    StopReply::Stopped | StopReply::Lost => {
                        self.report_order(&WorkerCall::Stop(call), false);
                        render_success(clock_ms)
                    }
                }
            }
            WorkerCall::Poll(call) => {
                self.polls.set(self.polls.get() + 1);
                let refused = self.worker.borrow_mut().begin_poll(now_ms, &call);
                if let Some(PollReply::Refused(refusal)) = refused {
                    return render_refusal(refusal, clock_ms);
                }
                self.report_after(call.wait_ms).await
            }
        }
    }

    /// Replies to a poll as soon as a run has ended, or after `wait_ms`. A poll that waits gets no
    /// reply if the process ends.
    async fn report_after(&self, wait_ms: u64) -> Response {
        let deadline_ms = self.now_ms() + wait_ms;
        let started_at_ms = self.started_at_ms();
        loop {
            if self.is_down.get() || self.started_at_ms() != started_at_ms {
                return Response::truncated();
            }
            let now_ms = self.now_ms();
            self.worker.borrow_mut().advance_to(now_ms);
            if self.worker.borrow().has_unacknowledged_runs() || now_ms >= deadline_ms {
                break;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        match self.worker.borrow_mut().report(self.now_ms()) {
            PollReply::Report(report) => render_report(&report),
            PollReply::Refused(_) | PollReply::Lost => Response::truncated(),
        }
    }
}
