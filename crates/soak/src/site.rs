//! A small installation: real daemons as processes, and the platform's stand-ins in this process,
//! each behind a proxy.

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use adapter::callers::{WAIT_HEADER, write_job};
use adapter::config::write_config;
use adapter::entries::write_entry;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, READY_PATH, WORKER_TOPIC};
use httpedge::client::{CallError, Caller, RawCall};
use pool::catalogue::{Catalogue, Route, Terms, WorkerEntry, WorkerState};
use pool::job::{JobSpec, Step};
use pool::resources::Resources;
use standins::metastore::MetaStore;
use standins::pool_worker_server::PoolWorkerServer;

use crate::proxy::Proxy;

/// The host of the one route.
pub const HOST: &str = "jobs.example";
/// What the path of the one route begins with.
pub const PREFIX: &str = "/checks/";
const READY_WITHIN: Duration = Duration::from_secs(20);

/// The size of an installation.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Zones.
    pub zones: usize,
    /// Daemons in each zone.
    pub daemons: usize,
    /// Workers in each zone.
    pub workers: usize,
}

/// Gives room of so many cores.
pub fn room(cores: u64) -> Resources {
    Resources { cpu_millicores: cores * 1_000, memory_mb: 64, accelerators: 0 }
}

fn capacity() -> Resources {
    Resources { memory_mb: 10_000, ..room(64) }
}

/// One daemon as a process.
#[derive(Debug)]
pub struct Daemon {
    /// The process.
    pub child: Child,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Where it serves metrics and the dump of its state.
    pub metrics: SocketAddr,
    /// In front of its links.
    pub peers_proxy: Proxy,
    /// In front of the store, for this daemon only.
    pub store_proxy: Proxy,
    settings: PathBuf,
}

impl Daemon {
    /// Sends a signal to the process.
    ///
    /// # Panics
    /// Panics where the process is not there any more.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the child was not waited for yet");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The installation.
#[derive(Debug)]
pub struct Site {
    /// The platform's store.
    pub store: Rc<MetaStore>,
    /// The workers.
    pub workers: Vec<Rc<PoolWorkerServer>>,
    /// In front of each worker.
    pub worker_proxies: Vec<Proxy>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The folder of the daemons' logs.
    pub logs: PathBuf,
    /// Whether the folder stays.
    pub keeps_logs: bool,
    caller: Caller,
    program: PathBuf,
    zones: usize,
}

impl Drop for Site {
    fn drop(&mut self) {
        if self.keeps_logs || std::thread::panicking() {
            return;
        }
        if let Err(error) = std::fs::remove_dir_all(&self.logs) {
            eprintln!("soak: {} stays: {error}", self.logs.display());
        }
    }
}

/// The ports that daemons get. They lie below those that the system gives to outgoing connections,
/// so that none is taken between its choice and its use, or while a daemon starts again.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Gives an address that no daemon of this process had before.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let begin = std::process::id().wrapping_mul(977);
        let drawn = begin.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (drawn % PORTS.len() as u32) as u16;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A configuration with one route.
pub fn catalogue(version: u64) -> Catalogue {
    let terms = Terms {
        route: Rc::from("checks"),
        service: Rc::from("svc"),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        target_ms: 1_000,
        timeout_ms: 5_000,
    };
    let route = Route {
        host: HOST.to_owned(),
        path_prefix: PREFIX.to_owned(),
        terms,
        requires_policy_service: false,
    };
    Catalogue { version, routes: vec![route], ..Catalogue::default() }
}

/// A job of one step whose tasks do what `spec` says.
pub fn job(id: u64, count: u32, estimate_ms: u64, spec: &str) -> JobSpec {
    let step = Step { count, task_resources: room(27), estimate_ms, ..Step::default() };
    JobSpec { id: Rc::from(format!("{id:016x}")), payload: Rc::from(spec), steps: vec![step] }
}

impl Site {
    /// Starts an installation of so many zones, with daemons and workers in each.
    ///
    /// # Panics
    /// Panics where loopback has no free ports or a daemon does not get ready.
    pub async fn start(program: &Path, layout: Layout) -> Self {
        let Layout { zones, daemons, workers } = layout;
        let store = MetaStore::start(32).await.unwrap();
        let logs = std::env::temp_dir().join(format!("soak-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&logs).unwrap();
        let mut site = Self {
            store,
            logs,
            keeps_logs: false,
            workers: Vec::new(),
            worker_proxies: Vec::new(),
            daemons: Vec::new(),
            caller: Caller::new(),
            program: program.to_owned(),
            zones,
        };
        site.store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(write_config(&catalogue(3))));
        for zone in 0..zones {
            for _ in 0..workers {
                site.add_worker(zone).await;
            }
        }
        for zone in 0..zones {
            for _ in 0..daemons {
                let daemon = site.start_daemon(zone).await;
                site.daemons.push(daemon);
            }
        }
        for at in 0..site.daemons.len() {
            site.await_ready(at).await;
        }
        site
    }

    /// Adds a worker to a zone.
    ///
    /// # Panics
    /// Panics where loopback has no free ports.
    pub async fn add_worker(&mut self, zone: usize) {
        let worker = PoolWorkerServer::start(capacity(), room(27)).await.unwrap();
        self.worker_proxies.push(Proxy::begin(worker.addr).await.unwrap());
        self.workers.push(worker);
        self.publish(self.workers.len() - 1, zone, WorkerState::Ready);
    }

    /// Publishes the entry of a worker.
    pub fn publish(&self, number: usize, zone: usize, state: WorkerState) {
        let entry = WorkerEntry {
            service: Rc::from("svc"),
            addr: self.worker_proxies[number].addr,
            zone: Rc::from(format!("z{zone}")),
            state,
            capacity: capacity(),
            labels: vec!["a".into(), "r1".into()],
            started_at_ms: None,
        };
        self.store.put(WORKER_TOPIC, &format!("w{number}"), Some(write_entry(&entry)));
    }

    /// Starts a daemon of a zone as a process of its own.
    async fn start_daemon(&self, zone: usize) -> Daemon {
        let (callers, ready, peers, metrics) = (free_addr(), free_addr(), free_addr(), free_addr());
        let peers_proxy = Proxy::begin(peers).await.unwrap();
        let store_proxy = Proxy::begin(self.store.addr).await.unwrap();
        let zones: Vec<String> = (0..self.zones).map(|zone| format!("z{zone}")).collect();
        let text = format!(
            "[daemon]\nname = d-{callers}\nzone = z{zone}\nzones = {}\n\
             [callers]\nlisten = {callers}\n[ready]\nlisten = {ready}\n\
             [peers]\nlisten = {peers}\nadvertise = {}\n\
             [metrics]\nlisten = {metrics}\n[platform]\nstore = {}\npartitions = 32\n",
            zones.join(","),
            peers_proxy.addr,
            store_proxy.addr,
        );
        let settings = self.logs.join(format!("daemon-{}.ini", self.daemons.len()));
        let mut file = std::fs::File::create(&settings).unwrap();
        file.write_all(text.as_bytes()).unwrap();
        let child = self.spawn(&settings);
        Daemon { child, callers, ready, metrics, peers_proxy, store_proxy, settings }
    }

    fn spawn(&self, settings: &Path) -> Child {
        let mut command = Command::new(&self.program);
        let name = settings.with_extension("log");
        let mut options = std::fs::OpenOptions::new();
        let log = options.create(true).append(true).open(name).unwrap();
        command.arg("--settings").arg(settings).stdout(Stdio::from(log));
        command.spawn().expect("the daemon's program is there")
    }

    /// Ends what is left of a daemon's process and starts another with the same settings.
    pub fn restart(&mut self, at: usize) {
        let settings = self.daemons[at].settings.clone();
        let daemon = &mut self.daemons[at];
        if let Err(error) = daemon.child.kill() {
            eprintln!("soak: daemon {at} had ended: {error}");
        }
        let _ = daemon.child.wait();
        self.daemons[at].child = self.spawn(&settings);
    }

    /// Waits until a daemon is ready and the cells are dealt.
    ///
    /// # Panics
    /// Panics where that takes too long.
    pub async fn await_ready(&self, at: usize) {
        let began = Instant::now();
        while self.get(self.daemons[at].ready, READY_PATH).await.map(|(status, _)| status)
            != Ok(200)
        {
            assert!(began.elapsed() < READY_WITHIN, "daemon {at} did not get ready");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        // Ownership settles once the daemons have seen each other.
        actix_rt::time::sleep(Duration::from_millis(700)).await;
    }

    /// Gets a path of an address.
    ///
    /// # Errors
    /// Fails where no whole reply came.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), CallError> {
        self.send(addr, "GET", path, Vec::new(), 2_000).await
    }

    /// Sends a request as a caller.
    ///
    /// # Errors
    /// Fails where no whole reply came.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let headers = [("host", HOST.to_owned()), ("content-type", "application/json".to_owned())];
        let call = RawCall { addr, method, path, headers: &headers, body, timeout_ms };
        self.caller.raw(call).await
    }

    /// Submits a job and gives its status and what it came to.
    ///
    /// # Errors
    /// Fails where no whole reply came.
    pub async fn submit(&self, at: usize, job: &JobSpec) -> Result<(u16, String), CallError> {
        let path = format!("{PREFIX}{}", job.id);
        let addr = self.daemons[at].callers;
        let (status, body) = self.send(addr, "POST", &path, write_job(job), 6_000).await?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Gives the request of a caller on a connection of its own, which does not borrow the site.
    ///
    /// # Errors
    /// The future fails where no whole reply came.
    pub fn request(
        &self,
        at: usize,
        job: &JobSpec,
        wait_ms: u64,
    ) -> impl Future<Output = Result<u16, CallError>> + 'static {
        let addr = self.daemons[at].callers;
        let (path, body) = (format!("{PREFIX}{}", job.id), write_job(job));
        let caller = self.caller.clone();
        async move {
            let headers = [
                ("host", HOST.to_owned()),
                ("content-type", "application/json".to_owned()),
                (WAIT_HEADER, wait_ms.to_string()),
            ];
            let call = RawCall {
                addr,
                method: "POST",
                path: &path,
                headers: &headers,
                body,
                timeout_ms: wait_ms,
            };
            caller.raw(call).await.map(|(status, _)| status)
        }
    }

    /// Counts the starts of a job's tasks.
    pub fn starts_of(&self, job: &JobSpec) -> usize {
        let of = |server: &Rc<PoolWorkerServer>| {
            server
                .started_runs
                .borrow()
                .iter()
                .filter(|(task, _)| task.starts_with(&*job.id))
                .count()
        };
        self.workers.iter().map(of).sum()
    }

    /// Finds the daemon that owns a zone's only cell.
    ///
    /// # Panics
    /// Panics where nobody owns it.
    pub async fn owner(&self, zone: usize) -> usize {
        for at in 0..self.daemons.len() {
            let Ok((_, dump)) = self.get(self.daemons[at].metrics, "/state").await else {
                continue;
            };
            let dump = String::from_utf8_lossy(&dump).into_owned();
            if dump.contains(&format!("\"cell\":\"z{zone}/0\"")) {
                return at;
            }
        }
        panic!("nobody owns zone {zone}");
    }
}
