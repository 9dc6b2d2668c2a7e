//! A worker with a size behind a socket, in the platform's terms.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::net::TcpListener;
use adapter::orders::{Order, read_order, render_done, render_refusal, render_report};
use httpedge::server::{Limits, Request, Response, serve};
use pool::call::{End, PollReply, Refusal, StartCall, StartReply, StopReply};
use pool::job::TaskName;
use pool::resources::Resources;

use crate::sized::{Planted, SizedWorker, Work};

const MAX_BODY_BYTES: usize = 1 << 16;
/// The pause between two looks at the runs while a caller waits for an end.
const PAUSE: Duration = Duration::from_millis(3);

/// How a worker misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// It does not.
    #[default]
    Well,
    /// It answers nothing.
    Silent,
    /// It refuses every order as unwell.
    Unwell,
    /// It carries orders out and loses the replies.
    LosesReplies,
}

/// A worker behind a socket, with a ledger of what it began.
#[derive(Debug)]
pub struct SizedServer {
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// How it misbehaves.
    pub mood: Cell<Mood>,
    /// The names of the tasks that it began, with their numbers.
    pub begun: RefCell<Vec<(String, u32)>>,
    /// How many reports were asked for.
    pub looks: Cell<u64>,
    worker: RefCell<SizedWorker>,
    watcher: RefCell<Watcher>,
    room: Resources,
    started: Instant,
}

/// What is called with each run that begins.
pub type OnBegin = Box<dyn Fn(&TaskName)>;

/// Is told of each run that begins.
#[derive(Default)]
struct Watcher(Option<OnBegin>);

impl std::fmt::Debug for Watcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Watcher")
    }
}

/// Reads what a task does from the text that it was given: milliseconds, and `fail` where it fails.
fn work_of(call: &StartCall, room: Resources) -> Work {
    let mut words = call.spec.split_whitespace();
    let takes_ms = words.next().and_then(|word| word.parse().ok()).unwrap_or(10);
    let end = if words.next() == Some("fail") { End::Failed } else { End::Done };
    Work { room, takes_ms, end }
}

impl SizedServer {
    /// Serves a worker on a free port of loopback; each task takes `room`.
    ///
    /// # Errors
    /// Fails where no port is free.
    pub async fn begin(capacity: Resources, room: Resources) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Rc::new(Self {
            addr: listener.local_addr()?,
            mood: Cell::default(),
            begun: RefCell::default(),
            looks: Cell::new(0),
            worker: RefCell::new(SizedWorker::new(capacity, 50_000, 0)),
            watcher: RefCell::default(),
            room,
            started: Instant::now(),
        });
        let shared = Rc::clone(&server);
        let handler = move |request| Rc::clone(&shared).answer(request);
        actix_rt::spawn(serve(listener, Limits::with_max_body(MAX_BODY_BYTES), handler));
        Ok(server)
    }

    /// Tells `watcher` of each run that begins.
    pub fn watch(&self, watcher: OnBegin) {
        *self.watcher.borrow_mut() = Watcher(Some(watcher));
    }

    /// Makes the worker leave something out.
    pub fn plant(&self, planted: Planted) {
        self.worker.borrow_mut().planted = planted;
    }

    /// Tells whether a run of a task goes on.
    pub fn runs(&self, task: &TaskName) -> bool {
        let mut worker = self.worker.borrow_mut();
        worker.settle(self.now_ms());
        worker.live.contains_key(task)
    }

    /// Counts the runs that go on.
    pub fn running(&self) -> usize {
        let mut worker = self.worker.borrow_mut();
        worker.settle(self.now_ms());
        worker.live.len()
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    async fn answer(self: Rc<Self>, request: Request) -> Response {
        match self.mood.get() {
            Mood::Silent => std::future::pending().await,
            Mood::Unwell => return Response::text(503, ""),
            Mood::Well | Mood::LosesReplies => {}
        }
        let body = request.body.as_deref().unwrap_or_default();
        let Some(order) = read_order(&request.path, body) else {
            return render_refusal(Refusal::Unreadable, 0);
        };
        let response = self.carry_out(order).await;
        if self.mood.get() == Mood::LosesReplies { Response::truncated() } else { response }
    }

    async fn carry_out(&self, order: Order) -> Response {
        let now_ms = self.now_ms();
        let clock_ms = self.worker.borrow().clock(now_ms);
        match order {
            Order::Start(call) => {
                let work = work_of(&call, self.room);
                let (reply, began) = self.worker.borrow_mut().start(now_ms, &call, work);
                if began {
                    self.begun.borrow_mut().push((call.task.to_string(), call.run));
                    if let Watcher(Some(watcher)) = &*self.watcher.borrow() {
                        watcher(&call.task);
                    }
                }
                match reply {
                    StartReply::Started { clock_ms } => render_done(clock_ms),
                    StartReply::Refused(refusal) => render_refusal(refusal, clock_ms),
                    StartReply::Lost => Response::truncated(),
                }
            }
            Order::Stop(call) => match self.worker.borrow_mut().stop(now_ms, &call) {
                StopReply::Refused(refusal) => render_refusal(refusal, clock_ms),
                StopReply::Stopped | StopReply::Lost => render_done(clock_ms),
            },
            Order::Look(call) => {
                self.looks.set(self.looks.get() + 1);
                let refused = self.worker.borrow_mut().look_begins(now_ms, &call);
                if let Some(PollReply::Refused(refusal)) = refused {
                    return render_refusal(refusal, clock_ms);
                }
                self.report_after(call.wait_ms).await
            }
        }
    }

    async fn report_after(&self, wait_ms: u64) -> Response {
        let until_ms = self.now_ms() + wait_ms;
        loop {
            let now_ms = self.now_ms();
            self.worker.borrow_mut().settle(now_ms);
            if self.worker.borrow().has_ends() || now_ms >= until_ms {
                break;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        match self.worker.borrow_mut().report(self.now_ms()) {
            PollReply::Report(report) => render_report(&report),
            PollReply::Refused(_) | PollReply::Lost => Response::truncated(),
        }
    }
}
