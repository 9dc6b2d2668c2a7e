//! A worker on a fixed address, with the project's state machine of a worker behind a small HTTP
//! server. Its process can end and start again, and its network can be cut.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::entries::write_entry;
use adapter::settings::WORKER_TOPIC;
use adapter::worker_calls::{
    WorkerCall, read_worker_call, render_refusal, render_report, render_success,
};
use pool::call::{End, PollReply, Refusal, StartCall, StartReply, StopReply};
use pool::catalogue::{WorkerEntry, WorkerState};
use pool::resources::Resources;
use standins::metastore::MetaStore;
use standins::pool_worker::{PoolWorker, Work};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::http::{Message, read_message, write_response};
use crate::record::Record;

/// What a process of a worker is.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    pub labels: Vec<String>,
    pub capacity: Resources,
    /// Whether the worker refuses a start for which it lacks room.
    pub guards: bool,
}

/// A run as seen at the worker.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub worker: String,
    pub task: String,
    pub run: u32,
    pub from_ms: u64,
    /// `None` while the run is active.
    pub to_ms: Option<u64>,
    pub end: &'static str,
    /// Labels of the process that began the run.
    pub labels: Vec<String>,
    /// CPU in use on the process after the start, and its capacity, in thousandths of a core.
    pub used: u64,
    pub capacity: u64,
}

pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub service: String,
    kind: RefCell<Kind>,
    state: RefCell<PoolWorker>,
    slow_permille: u64,
    is_up: Cell<bool>,
    /// Whether all data from and to the worker is dropped.
    pub is_cut: Cell<bool>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    pub runs: Rc<RefCell<Vec<SeenRun>>>,
    record: Record,
    store: Rc<MetaStore>,
    on_start: RefCell<Option<Box<dyn Fn(&str)>>>,
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Reads `ms=N cpu=N` from a task's payload.
fn work(call: &StartCall) -> Work {
    let number = |name: &str| {
        let word = call.spec.split(' ').find_map(|word| word.strip_prefix(name));
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    };
    let resources = Resources { cpu_millicores: number("cpu="), memory_mb: 64, accelerators: 0 };
    Work { resources, duration_ms: number("ms="), end: End::Done }
}

impl Worker {
    #[expect(clippy::too_many_arguments)]
    pub async fn start(
        id: &str,
        zone: &str,
        service: &str,
        kind: Kind,
        slow_permille: u64,
        record: &Record,
        store: &Rc<MetaStore>,
        runs: &Rc<RefCell<Vec<SeenRun>>>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let mut state = PoolWorker::new(kind.capacity, 50_000, slow_permille);
        state.guards_capacity = kind.guards;
        state.started_at_ms = unix_ms();
        let worker = Rc::new(Self {
            id: id.to_owned(),
            addr,
            zone: zone.to_owned(),
            service: service.to_owned(),
            kind: RefCell::new(kind),
            state: RefCell::new(state),
            slow_permille,
            is_up: Cell::new(true),
            is_cut: Cell::new(false),
            tasks: RefCell::default(),
            runs: Rc::clone(runs),
            record: record.clone(),
            store: Rc::clone(store),
            on_start: RefCell::new(None),
        });
        worker.publish(WorkerState::Ready);
        Rc::clone(&worker).listen(listener);
        actix_rt::spawn(Rc::clone(&worker).observe());
        Ok(worker)
    }

    pub fn set_on_start(&self, callback: Box<dyn Fn(&str)>) {
        *self.on_start.borrow_mut() = Some(callback);
    }

    /// Writes this process's entry to the store.
    pub fn publish(&self, state: WorkerState) {
        let kind = self.kind.borrow();
        let entry = WorkerEntry {
            service: Rc::from(self.service.as_str()),
            addr: self.addr,
            zone: Rc::from(self.zone.as_str()),
            state,
            capacity: kind.capacity,
            labels: kind.labels.clone(),
            started_at_ms: Some(self.state.borrow().started_at_ms),
            cold_ms: 0,
        };
        self.record.line(&format!(
            "ENTRY worker={} born={:?} labels={} cpu={}",
            self.id,
            entry.started_at_ms.unwrap_or(0),
            kind.labels.join("+"),
            kind.capacity.cpu_millicores,
        ));
        self.store.put(WORKER_TOPIC, &self.id, Some(write_entry(&entry)));
    }

    /// Ends the process: its listener and connections close, and its runs end.
    pub fn kill(&self) {
        self.is_up.set(false);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.see_ends("lost");
        self.state.borrow_mut().active.clear();
        self.see_ends("lost");
        self.record.show(&format!("KILLED worker={}", self.id));
    }

    /// Starts the next process at the same address, which knows nothing of the previous one.
    pub async fn start_again(self: &Rc<Self>, kind: Kind) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.addr).await?;
        let mut state = PoolWorker::new(kind.capacity, 0, self.slow_permille);
        state.guards_capacity = kind.guards;
        state.started_at_ms = unix_ms();
        self.record.show(&format!(
            "STARTED worker={} born={} labels={} cpu={}",
            self.id,
            state.started_at_ms,
            kind.labels.join("+"),
            kind.capacity.cpu_millicores,
        ));
        *self.state.borrow_mut() = state;
        *self.kind.borrow_mut() = kind;
        self.is_up.set(true);
        Rc::clone(self).listen(listener);
        Ok(())
    }

    fn now_ms(&self) -> u64 {
        self.record.now_ms()
    }

    fn listen(self: Rc<Self>, listener: TcpListener) {
        let shared = Rc::clone(&self);
        let task = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let worker = Rc::clone(&shared);
                let task = actix_rt::spawn(async move { worker.serve(stream).await });
                shared.tasks.borrow_mut().push(task);
            }
        });
        self.tasks.borrow_mut().push(task);
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Ok(Some(message)) = read_message(&mut stream).await {
            if self.is_cut.get() {
                continue;
            }
            let (status, body) = self.answer(&message).await;
            if !self.is_cut.get() && write_response(&mut stream, status, &body).await.is_err() {
                return;
            }
            // A cut may begin with the reply to a start.
            if message.second_word() == "/api/run-start"
                && status == 200
                && let Some(callback) = &*self.on_start.borrow()
            {
                callback(&self.id);
            }
        }
    }

    async fn answer(&self, message: &Message) -> (u16, Vec<u8>) {
        let now_ms = self.now_ms();
        let clock_ms = self.state.borrow().clock(now_ms);
        let refused = |refusal| render_refusal(refusal, clock_ms);
        if message.header("x-clementinedock-expected-instance") != Some(self.id.as_str()) {
            let response = refused(Refusal::InstanceMismatch);
            return (response.status, response.body);
        }
        let Some(call) = read_worker_call(message.second_word(), &message.body) else {
            let response = refused(Refusal::Unreadable);
            return (response.status, response.body);
        };
        let response = match call {
            WorkerCall::Start(call) => {
                self.see_ends("");
                let (reply, began) = self.state.borrow_mut().start(now_ms, &call, work(&call));
                self.record.line(&format!(
                    "CALL start worker={} task={} run={} deadline={} clock={clock_ms} reply={reply:?}",
                    self.id, call.task, call.run, call.lease_until_ms
                ));
                if began {
                    let kind = self.kind.borrow();
                    self.runs.borrow_mut().push(SeenRun {
                        worker: self.id.clone(),
                        task: call.task.to_string(),
                        run: call.run,
                        from_ms: now_ms,
                        to_ms: None,
                        end: "",
                        labels: kind.labels.clone(),
                        used: self.state.borrow().used().cpu_millicores,
                        capacity: kind.capacity.cpu_millicores,
                    });
                }
                match reply {
                    StartReply::Started { clock_ms } => render_success(clock_ms),
                    StartReply::Refused(refusal) => refused(refusal),
                    StartReply::Lost => refused(Refusal::Unreadable),
                }
            }
            WorkerCall::Stop(call) => {
                let reply = self.state.borrow_mut().stop(now_ms, &call);
                self.record.line(&format!(
                    "CALL stop worker={} task={} run={} reply={reply:?}",
                    self.id, call.task, call.run
                ));
                match reply {
                    StopReply::Refused(refusal) => refused(refusal),
                    StopReply::Stopped | StopReply::Lost => render_success(clock_ms),
                }
            }
            WorkerCall::Poll(call) => {
                let begun = self.state.borrow_mut().begin_poll(now_ms, &call);
                if let Some(PollReply::Refused(refusal)) = begun {
                    refused(refusal)
                } else {
                    let until_ms = now_ms + call.wait_ms;
                    while !self.state.borrow().has_unacknowledged_runs() && self.now_ms() < until_ms
                    {
                        actix_rt::time::sleep(Duration::from_millis(2)).await;
                        self.state.borrow_mut().advance_to(self.now_ms());
                    }
                    self.see_ends("");
                    match self.state.borrow_mut().report(self.now_ms()) {
                        PollReply::Report(report) => render_report(&report),
                        PollReply::Refused(refusal) => refused(refusal),
                        PollReply::Lost => refused(Refusal::Unreadable),
                    }
                }
            }
        };
        (response.status, response.body)
    }

    /// Records the ends of runs as they happen.
    async fn observe(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
            if self.is_up.get() {
                self.see_ends("");
            }
        }
    }

    fn see_ends(&self, cause: &'static str) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        state.advance_to(now_ms);
        let mut runs = self.runs.borrow_mut();
        let open = runs.iter_mut().filter(|run| run.to_ms.is_none() && run.worker == self.id);
        for run in open {
            if !state.active.keys().any(|task| task.to_string() == run.task) {
                run.to_ms = Some(now_ms);
                run.end = if cause.is_empty() { "ended" } else { cause };
                self.record.line(&format!(
                    "RAN worker={} task={} run={} from={} to={now_ms}",
                    self.id, run.task, run.run, run.from_ms
                ));
            }
        }
    }
}
