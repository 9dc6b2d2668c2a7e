//! What the processes of an installation do besides the daemons: the store, workers and callers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::BufRead as _;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use adapter::callers::{WAIT_HEADER, write_job};
use adapter::worker_calls::WorkerCall;
use futures_util::future::{Either, select};
use httpedge::client::{HttpClient, RawRequest};
use pool::job::{JobSpec, Step, TaskName};
use pool::resources::Resources;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use standins::metastore::{MetaStore, StoreBehaviour};
use standins::pool_worker_server::PoolWorkerServer;

use crate::cluster::{HOST, PATH_PREFIX};
use crate::rig::record::{Recorder, unix_us};

/// Partitions of each topic of the store.
pub const PARTITIONS: u32 = 32;
/// Interval at which a process looks for runs that have ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Delay until a caller resends a request that was not completed, as the platform does.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// How long a caller waits for an answer, in milliseconds.
const CALLER_WAIT_MS: u64 = 1_500;
/// Number of times that a caller sends a job.
const MAX_SENDS: u32 = 3;
/// Share of the requests whose caller leaves before its time limit.
const LEAVING_SHARE: f64 = 0.1;
/// Share of the tasks that take much longer than usual, and how much longer.
const SLOW_SHARE: f64 = 0.03;
const SLOW_FACTOR: f64 = 7.0;

/// A kind of job: its share, number of tasks and mean duration of a task in milliseconds. The mix is that
/// of an installation that mainly serves short, wide jobs.
const KINDS: [(f64, u32, f64); 3] = [(0.25, 8, 51.0), (0.05, 4, 760.0), (0.70, 2, 170.0)];

/// Duration of a task that outlasts its caller by far, in milliseconds, and the kind of job that it declares.
const LASTING_MS: u64 = 6_000;
const LASTING_KIND: usize = 2;

/// How many jobs are sent and of which kind.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Number of jobs a second.
    pub rate: f64,
    /// How long jobs are sent, in seconds.
    pub seconds: u64,
    /// Share of the jobs whose single task outlasts its caller by far.
    pub lasting_share: f64,
    /// Seed of the jobs.
    pub seed: u64,
}

/// Returns resources with `count` cores.
pub fn cores(count: u64) -> Resources {
    Resources { cpu_millicores: count * 1_000, memory_mb: 64, accelerators: 0 }
}

/// Runs the store. Prints its address, and carries out one command for each line of standard input.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn run_store() -> std::io::Result<()> {
    let store = MetaStore::start(PARTITIONS).await?;
    println!("{}", store.addr);
    let (sender, mut commands) = tokio::sync::mpsc::unbounded_channel::<String>();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    while let Some(command) = commands.recv().await {
        let words: Vec<&str> = command.splitn(4, ' ').collect();
        match words[..] {
            ["put", topic, key, value] => store.put(topic, key, Some(value.as_bytes().to_vec())),
            ["rebalance"] => store.rebalance(),
            ["loses-replies"] => store.behaviour.set(StoreBehaviour::LosesReplies),
            ["busy"] => store.behaviour.set(StoreBehaviour::Busy),
            ["normal"] => store.behaviour.set(StoreBehaviour::Normal),
            _ => eprintln!("rig: unknown command {command:?}"),
        }
    }
    Ok(())
}

/// Active runs of a process's workers, with the time at which each is planned to end.
type Active = HashMap<(usize, TaskName, u32), u64>;

/// Runs workers whose ids begin with `name`, prints their addresses, and records their runs.
///
/// # Errors
/// Returns an error if no port can be bound or the record cannot be written.
pub async fn run_workers(name: &str, count: usize, record: &Path) -> std::io::Result<()> {
    let recorder = Rc::new(RefCell::new(Recorder::create(record)?));
    let known = Rc::new(RefCell::new(Active::new()));
    let mut workers = Vec::new();
    for number in 0..count {
        let worker = PoolWorkerServer::start(cores(32), cores(16)).await?;
        let (id, recorder) = (format!("{name}{number}"), Rc::clone(&recorder));
        let started = Rc::clone(&known);
        worker.set_order_hook(Box::new(move |order, has_started| {
            let mut recorder = recorder.borrow_mut();
            match order {
                WorkerCall::Start(call) if has_started => {
                    // The run may end before the next check, if this process stands still.
                    let run = (number, call.task.clone(), call.run);
                    started.borrow_mut().insert(run, unix_us());
                    let (task, run, token) = (&call.task, call.run, call.token);
                    recorder.note(format_args!("start {id} {task} {run} {token}"));
                }
                WorkerCall::Stop(call) => {
                    recorder.note(format_args!("stop {id} {} {}", call.task, call.run));
                }
                WorkerCall::Start(_) | WorkerCall::Poll(_) => {}
            }
        }));
        println!("{} {}", worker.addr, worker.started_at_ms());
        workers.push(worker);
    }
    loop {
        actix_rt::time::sleep(END_CHECK_INTERVAL).await;
        let mut active = Active::new();
        for (number, worker) in workers.iter().enumerate() {
            let now_us = unix_us();
            worker.observe_active(|task, run, left| {
                active.insert((number, task.clone(), run), now_us + left.as_micros() as u64);
            });
        }
        for (key, planned_us) in known.replace(active.clone()) {
            if !active.contains_key(&key) {
                let (number, task, run) = key;
                let mut recorder = recorder.borrow_mut();
                recorder.note(format_args!("end {name}{number} {task} {run} {planned_us}"));
            }
        }
    }
}

/// Sends jobs, each to one of the daemons of a zone and again to one of any zone, and records what
/// becomes of them.
///
/// # Errors
/// Returns an error if the record cannot be written.
pub async fn run_callers(
    daemons: Vec<Vec<SocketAddr>>,
    traffic: Traffic,
    record: &Path,
) -> std::io::Result<()> {
    let recorder = Rc::new(RefCell::new(Recorder::create(record)?));
    let daemons = Rc::new(daemons);
    let client = HttpClient::new();
    let mut rng = SmallRng::seed_from_u64(traffic.seed);
    let started_at = tokio::time::Instant::now();
    let mut callers = Vec::new();
    let mut sent = 0.0;
    while started_at.elapsed() < Duration::from_secs(traffic.seconds) {
        let at = started_at + Duration::from_secs_f64(sent / traffic.rate);
        sent += 1.0;
        tokio::time::sleep_until(at).await;
        let caller = Caller {
            client: client.clone(),
            daemons: Rc::clone(&daemons),
            recorder: Rc::clone(&recorder),
            rng: SmallRng::seed_from_u64(rng.random()),
            is_lasting: rng.random_bool(traffic.lasting_share),
        };
        callers.push(actix_rt::spawn(caller.run()));
    }
    futures_util::future::join_all(callers).await;
    Ok(())
}

struct Caller {
    client: HttpClient,
    daemons: Rc<Vec<Vec<SocketAddr>>>,
    recorder: Rc<RefCell<Recorder>>,
    rng: SmallRng,
    is_lasting: bool,
}

impl Caller {
    async fn run(mut self) {
        let spec = self.draw_job();
        let mut zone = self.rng.random_range(0..self.daemons.len());
        for _ in 0..MAX_SENDS {
            let daemons = &self.daemons[zone];
            let addr = daemons[self.rng.random_range(0..daemons.len())];
            self.note(&spec, &format!("send {addr}"));
            let request = send(self.client.clone(), addr, spec.clone());
            let wait_ms = if self.rng.random_bool(LEAVING_SHARE) {
                self.rng.random_range(20..CALLER_WAIT_MS)
            } else {
                CALLER_WAIT_MS
            };
            let limit = actix_rt::time::sleep(Duration::from_millis(wait_ms));
            let status = match select(Box::pin(request), std::pin::pin!(limit)).await {
                Either::Left((status, _)) => status,
                Either::Right(_) => None,
            };
            let answer = status.map_or_else(|| "none".to_owned(), |status| status.to_string());
            self.note(&spec, &format!("answer {answer}"));
            if matches!(status, Some(200)) {
                return;
            }
            actix_rt::time::sleep(RESEND_DELAY).await;
            zone = self.rng.random_range(0..self.daemons.len());
        }
    }

    fn note(&self, spec: &JobSpec, event: &str) {
        self.recorder.borrow_mut().note(format_args!("job {} {event}", spec.id));
    }

    fn draw_job(&mut self) -> JobSpec {
        let mut draw: f64 = self.rng.random();
        let kind = KINDS.iter().find(|(share, ..)| {
            draw -= share;
            draw < 0.0
        });
        let (_, mut count, mean_ms) =
            *kind.filter(|_| !self.is_lasting).unwrap_or(&KINDS[LASTING_KIND]);
        let factor = if self.rng.random_bool(SLOW_SHARE) { SLOW_FACTOR } else { 1.0 };
        let mut takes_ms = (mean_ms * factor * self.rng.random_range(0.6..1.4)) as u64;
        let estimate_ms = (mean_ms * self.rng.random_range(0.7..1.3)) as u64;
        if self.is_lasting {
            (count, takes_ms) = (1, LASTING_MS);
        }
        let step = Step { count, task_resources: cores(16), estimate_ms, ..Step::default() };
        JobSpec {
            id: Rc::from(format!("{:016x}", self.rng.random::<u64>())),
            payload: Rc::from(takes_ms.to_string()),
            steps: vec![step],
        }
    }
}

/// Sends a job and returns the status of the answer, or `None` if none arrives.
async fn send(client: HttpClient, addr: SocketAddr, spec: JobSpec) -> Option<u16> {
    let (path, body) = (format!("{PATH_PREFIX}{}", spec.id), write_job(&spec));
    let headers = [
        ("host", HOST.to_owned()),
        ("content-type", "application/json".to_owned()),
        (WAIT_HEADER, CALLER_WAIT_MS.to_string()),
    ];
    let timeout_ms = 2 * CALLER_WAIT_MS;
    let call =
        RawRequest { addr, method: "POST", path: &path, headers: &headers, body, timeout_ms };
    client.send_raw(call).await.ok().map(|(status, _)| status)
}
