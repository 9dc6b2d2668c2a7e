//! A small installation: real daemons as processes, and simulated workers and metadata store in
//! this process. Each can be reached only through a proxy.

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use adapter::callers::{WAIT_HEADER, write_job};
use adapter::config::{evacuation_key, write_config};
use adapter::entries::write_entry;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, READY_PATH, WORKER_TOPIC};
use httpedge::client::{CallError, HttpClient, RawRequest};
use pool::catalogue::{Catalogue, Route, Terms, WorkerEntry, WorkerState};
use pool::job::{JobSpec, Step};
use pool::resources::Resources;
use rand::Rng;
use standins::metastore::MetaStore;
use standins::pool_worker_server::PoolWorkerServer;

use crate::proxy::Proxy;

/// Host of the only route.
pub const HOST: &str = "jobs.example";
/// Path prefix of the only route.
pub const PATH_PREFIX: &str = "/checks/";
/// Time in which a daemon opens its sockets, or ends because it cannot.
const STARTUP: Duration = Duration::from_millis(100);
/// Exit status of a daemon that cannot listen on one of its addresses.
const ADDRESS_TAKEN: i32 = 69;
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time from the crash of a worker until its next process listens.
const WORKER_RESTART: Duration = Duration::from_secs(3);
/// Longest time from the start of a worker's process until its entry is in the store.
const MAX_PUBLICATION_MS: u64 = 1_500;
/// Time between two publications of a worker's entries.
const REPUBLICATION: Duration = Duration::from_millis(200);

/// Size of an installation.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Number of zones.
    pub zones: usize,
    /// Number of daemons in each zone.
    pub daemons: usize,
    /// Number of workers in each zone.
    pub workers: usize,
}

/// Returns resources with `count` cores and 64 MB of memory.
pub fn cores(count: u64) -> Resources {
    Resources { cpu_millicores: count * 1_000, memory_mb: 64, accelerators: 0 }
}

fn capacity() -> Resources {
    Resources { memory_mb: 10_000, ..cores(64) }
}

/// A daemon that runs as a process of its own. The process is killed on drop.
#[derive(Debug)]
pub struct Daemon {
    /// Process of the daemon.
    pub child: Child,
    /// Address on which the daemon serves callers.
    pub callers_addr: SocketAddr,
    /// Address of the readiness check.
    pub ready_addr: SocketAddr,
    /// Address on which the daemon serves metrics and the dump of its state.
    pub metrics_addr: SocketAddr,
    /// Proxy through which the other daemons connect to this daemon.
    pub peers_proxy: Proxy,
    /// Proxy through which only this daemon connects to the metadata store.
    pub store_proxy: Proxy,
    settings_path: PathBuf,
}

impl Daemon {
    /// Sends a signal to the process.
    ///
    /// # Panics
    /// Panics if the process no longer exists.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal)
            .expect("the process exists until it is waited for");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// When the store shows the process of a worker that has started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Time from the start of the process until its entry is in the store, in milliseconds.
    pub after_ms: u64,
    /// Whether the entry of the process before shows once more after it, as from a listing beside a
    /// read.
    pub repeats_previous: bool,
}

impl Publication {
    /// Draws a publication.
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self {
            after_ms: rng.random_range(0..MAX_PUBLICATION_MS),
            repeats_previous: rng.random_bool(0.3),
        }
    }
}

/// A worker with its address and entry, which all of its processes have in common.
#[derive(Debug)]
pub struct WorkerSite {
    /// Proxy through which the daemons connect to the worker.
    pub proxy: Proxy,
    server: Rc<PoolWorkerServer>,
    store: Rc<MetaStore>,
    key: String,
    zone: Rc<str>,
}

impl WorkerSite {
    /// Publishes the entry of the worker's process that started at the given time.
    pub fn publish(&self, state: WorkerState, started_at_ms: u64) {
        let entry = WorkerEntry {
            service: Rc::from("svc"),
            addr: self.proxy.addr,
            zone: Rc::clone(&self.zone),
            state,
            capacity: capacity(),
            labels: vec!["a".into(), "r1".into()],
            started_at_ms: Some(started_at_ms),
            cold_ms: 0,
        };
        self.store.put(WORKER_TOPIC, &self.key, Some(write_entry(&entry)));
    }

    /// Ends the worker's process.
    pub fn end_process(&self) {
        self.server.end_process();
        self.proxy.link.end_target();
    }

    /// Starts the next process of the worker, if none runs. Its entry is published later.
    pub fn start_process(self: &Rc<Self>, publication: Publication) {
        let previous_ms = self.server.started_at_ms();
        self.server.start_process();
        self.proxy.link.start_target();
        let started_at_ms = self.server.started_at_ms();
        if started_at_ms == previous_ms {
            return;
        }
        let site = Rc::clone(self);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(publication.after_ms)).await;
            site.publish(WorkerState::Ready, started_at_ms);
            if publication.repeats_previous {
                for listed_ms in [previous_ms, started_at_ms] {
                    actix_rt::time::sleep(REPUBLICATION).await;
                    site.publish(WorkerState::Ready, listed_ms);
                }
            }
        });
    }
}

/// A running installation.
#[derive(Debug)]
pub struct Cluster {
    /// Simulated metadata store of the platform.
    pub store: Rc<MetaStore>,
    /// Simulated workers of all zones.
    pub workers: Vec<Rc<PoolWorkerServer>>,
    /// Site of each worker, in the order of `workers`.
    pub sites: Vec<Rc<WorkerSite>>,
    /// Daemons of all zones.
    pub daemons: Vec<Daemon>,
    /// Directory of the daemons' settings files and logs.
    pub log_dir: PathBuf,
    /// Whether to keep the directory on drop. It is also kept on a panic.
    pub keep_logs: bool,
    caller: HttpClient,
    program: PathBuf,
    zones: usize,
    /// Share of a core that each daemon of a zone states; empty if they state none.
    cpu_shares: Vec<f64>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if self.keep_logs || std::thread::panicking() {
            return;
        }
        if let Err(error) = std::fs::remove_dir_all(&self.log_dir) {
            eprintln!("soak: cannot remove {}: {error}", self.log_dir.display());
        }
    }
}

/// Ports for the daemons. They lie below the range that the system uses for outgoing connections,
/// so that no port is taken between its choice and its use, or while a daemon restarts.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Returns a free loopback address that this process has not used for another daemon.
fn free_addr() -> SocketAddr {
    static COUNTER: AtomicU32 = AtomicU32::new(0);
    loop {
        let base = std::process::id().wrapping_mul(977);
        let offset = base.wrapping_add(COUNTER.fetch_add(1, Ordering::Relaxed));
        let port = PORT_RANGE.start + (offset % PORT_RANGE.len() as u32) as u16;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Returns a configuration with one route.
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
        path_prefix: PATH_PREFIX.to_owned(),
        terms,
        requires_policy_service: false,
    };
    Catalogue { version, routes: vec![route], ..Catalogue::default() }
}

/// Returns a job with one step of `count` tasks. `spec` is the payload that the simulated workers
/// interpret: the run time in milliseconds, followed by `fail` if the task fails and by `crash` if it
/// crashes the worker.
pub fn job(id: u64, count: u32, estimate_ms: u64, spec: &str) -> JobSpec {
    let step = Step { count, task_resources: cores(27), estimate_ms, ..Step::default() };
    JobSpec { id: Rc::from(format!("{id:016x}")), payload: Rc::from(spec), steps: vec![step] }
}

impl Cluster {
    /// Starts an installation and waits until all daemons are ready.
    ///
    /// # Panics
    /// Panics if loopback has no free port or a daemon does not become ready.
    pub async fn start(program: &Path, layout: Layout) -> Self {
        Self::start_with_shares(program, layout, &[]).await
    }

    /// Like [`Self::start`]; the daemons of each zone state these shares of a core.
    ///
    /// # Panics
    /// Panics if loopback has no free port or a daemon does not become ready.
    pub async fn start_with_shares(program: &Path, layout: Layout, cpu_shares: &[f64]) -> Self {
        let Layout { zones, daemons, workers } = layout;
        let store = MetaStore::start(32).await.unwrap();
        let log_dir = std::env::temp_dir().join(format!("soak-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&log_dir).unwrap();
        let mut cluster = Self {
            store,
            log_dir,
            keep_logs: false,
            workers: Vec::new(),
            sites: Vec::new(),
            daemons: Vec::new(),
            caller: HttpClient::new(),
            program: program.to_owned(),
            zones,
            cpu_shares: cpu_shares.to_vec(),
        };
        cluster.store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(write_config(&catalogue(3))));
        for zone in 0..zones {
            for _ in 0..workers {
                cluster.add_worker(zone).await;
            }
        }
        for zone in 0..zones {
            for number in 0..daemons {
                let daemon = cluster.start_daemon(zone, number).await;
                cluster.daemons.push(daemon);
            }
        }
        actix_rt::time::sleep(STARTUP).await;
        cluster.restart_where_address_was_taken();
        for at in 0..cluster.daemons.len() {
            cluster.wait_until_ready(at).await;
        }
        cluster
    }

    /// Requests or withdraws the evacuation of a zone, as operators do.
    pub fn set_evacuated(&self, zone: usize, is_evacuated: bool) {
        let key = evacuation_key(&format!("z{zone}"));
        if is_evacuated {
            self.store.put(OPERATOR_TOPIC, &key, Some(b"{}".to_vec()));
        } else {
            self.store.delete(OPERATOR_TOPIC, &key);
        }
    }

    /// Returns the number of zones.
    pub const fn zones(&self) -> usize {
        self.zones
    }

    /// Returns how many runs have started on the workers of a zone.
    pub fn starts_in(&self, zone: usize) -> usize {
        let zone = format!("z{zone}");
        let workers = self.sites.iter().zip(&self.workers).filter(|(site, _)| *site.zone == *zone);
        workers.map(|(_, worker)| worker.started_runs.borrow().len()).sum()
    }

    /// Adds a worker to a zone.
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn add_worker(&mut self, zone: usize) {
        let worker = PoolWorkerServer::start(capacity(), cores(27)).await.unwrap();
        let proxy = Proxy::start(worker.addr).await.unwrap();
        let site = Rc::new(WorkerSite {
            proxy,
            server: Rc::clone(&worker),
            store: Rc::clone(&self.store),
            key: format!("w{}", self.workers.len()),
            zone: Rc::from(format!("z{zone}")),
        });
        let crashing = Rc::downgrade(&site);
        worker.set_crash_hook(Box::new(move |_| {
            let Some(site) = crashing.upgrade() else { return };
            site.end_process();
            actix_rt::spawn(async move {
                actix_rt::time::sleep(WORKER_RESTART).await;
                site.start_process(Publication::draw(&mut rand::rng()));
            });
        }));
        self.sites.push(site);
        self.workers.push(worker);
        self.publish_worker(self.workers.len() - 1, WorkerState::Ready);
    }

    /// Publishes the worker list entry of a worker's process in the metadata store.
    pub fn publish_worker(&self, number: usize, state: WorkerState) {
        self.sites[number].publish(state, self.workers[number].started_at_ms());
    }

    /// Starts a daemon in a zone, with proxies for its connections.
    async fn start_daemon(&self, zone: usize, number: usize) -> Daemon {
        let (callers_addr, ready_addr, peers_addr, metrics_addr) =
            (free_addr(), free_addr(), free_addr(), free_addr());
        let peers_proxy = Proxy::start(peers_addr).await.unwrap();
        let store_proxy = Proxy::start(self.store.addr).await.unwrap();
        let zones: Vec<String> = (0..self.zones).map(|zone| format!("z{zone}")).collect();
        let share = self.cpu_shares.get(number);
        let capacity = share.map(|share| format!("[capacity]\ncpu_share = {share}\ncores = 1\n"));
        let text = format!(
            "[daemon]\nname = d-{callers_addr}\nzone = z{zone}\nzones = {}\n\
             [callers]\nlisten = {callers_addr}\n[ready]\nlisten = {ready_addr}\n\
             [peers]\nlisten = {peers_addr}\nadvertise = {}\n\
             [metrics]\nlisten = {metrics_addr}\n[platform]\nstore = {}\npartitions = 32\n{}",
            zones.join(","),
            peers_proxy.addr,
            store_proxy.addr,
            capacity.unwrap_or_default(),
        );
        let settings_path = self.log_dir.join(format!("daemon-{}.ini", self.daemons.len()));
        let mut file = std::fs::File::create(&settings_path).unwrap();
        file.write_all(text.as_bytes()).unwrap();
        let child = self.spawn(&settings_path);
        Daemon {
            child,
            callers_addr,
            ready_addr,
            metrics_addr,
            peers_proxy,
            store_proxy,
            settings_path,
        }
    }

    fn spawn(&self, settings_path: &Path) -> Child {
        let mut command = Command::new(&self.program);
        let log_path = settings_path.with_extension("log");
        let mut options = std::fs::OpenOptions::new();
        let log = options.create(true).append(true).open(log_path).unwrap();
        command.arg("--settings").arg(settings_path).stdout(Stdio::from(log));
        command.spawn().expect("the daemon's executable exists")
    }

    /// Kills a daemon's process if it still runs, and starts a new one with the same settings.
    pub fn restart(&mut self, at: usize) {
        let settings_path = self.daemons[at].settings_path.clone();
        let daemon = &mut self.daemons[at];
        if let Err(error) = daemon.child.kill() {
            eprintln!("soak: cannot kill daemon {at}: {error}");
        }
        let _ = daemon.child.wait();
        self.daemons[at].child = self.spawn(&settings_path);
    }

    /// Starts the daemons again that ended because an address was taken. While [`free_addr`] probes
    /// a port, another thread may fork a process, which holds the port until it runs its program.
    fn restart_where_address_was_taken(&mut self) {
        for at in 0..self.daemons.len() {
            let status = self.daemons[at].child.try_wait();
            if matches!(status, Ok(Some(status)) if status.code() == Some(ADDRESS_TAKEN)) {
                eprintln!("soak: an address of daemon {at} was taken; it is started again");
                self.restart(at);
            }
        }
    }

    /// Waits until a daemon is ready and the cells are assigned.
    ///
    /// # Panics
    /// Panics if the daemon is not ready within 20 s.
    pub async fn wait_until_ready(&self, at: usize) {
        let started_at = Instant::now();
        while self.get(self.daemons[at].ready_addr, READY_PATH).await.map(|(status, _)| status)
            != Ok(200)
        {
            assert!(
                started_at.elapsed() < READY_LIMIT,
                "daemon {at} was not ready within {READY_LIMIT:?}"
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        // The assignment of cells changes until the daemons have discovered each other.
        actix_rt::time::sleep(Duration::from_millis(700)).await;
    }

    /// Sends a GET request and returns the status and body of the response.
    ///
    /// # Errors
    /// Returns an error if no complete response arrives.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), CallError> {
        self.send(addr, "GET", path, Vec::new(), 2_000).await
    }

    /// Sends a request as a caller and returns the status and body of the response.
    ///
    /// # Errors
    /// Returns an error if no complete response arrives.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let headers = [("host", HOST.to_owned()), ("content-type", "application/json".to_owned())];
        let call = RawRequest { addr, method, path, headers: &headers, body, timeout_ms };
        self.caller.send_raw(call).await
    }

    /// Submits a job to a daemon and returns the status and body of the response.
    ///
    /// # Errors
    /// Returns an error if no complete response arrives.
    pub async fn submit(&self, at: usize, job: &JobSpec) -> Result<(u16, String), CallError> {
        let path = format!("{PATH_PREFIX}{}", job.id);
        let addr = self.daemons[at].callers_addr;
        let (status, body) = self.send(addr, "POST", &path, write_job(job), 6_000).await?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Returns a future that submits a job to a daemon, waits for at most `wait_ms` and returns the
    /// status of the response. The future does not borrow `self`.
    ///
    /// # Errors
    /// The future returns an error if no complete response arrives.
    pub fn request(
        &self,
        at: usize,
        job: &JobSpec,
        wait_ms: u64,
    ) -> impl Future<Output = Result<u16, CallError>> + 'static {
        let addr = self.daemons[at].callers_addr;
        let (path, body) = (format!("{PATH_PREFIX}{}", job.id), write_job(job));
        let caller = self.caller.clone();
        async move {
            let headers = [
                ("host", HOST.to_owned()),
                ("content-type", "application/json".to_owned()),
                (WAIT_HEADER, wait_ms.to_string()),
            ];
            let call = RawRequest {
                addr,
                method: "POST",
                path: &path,
                headers: &headers,
                body,
                timeout_ms: wait_ms,
            };
            caller.send_raw(call).await.map(|(status, _)| status)
        }
    }

    /// Returns how many runs of a job's tasks have started, including repeated runs of a task.
    pub fn count_starts(&self, job: &JobSpec) -> usize {
        let count_in = |server: &Rc<PoolWorkerServer>| {
            server
                .started_runs
                .borrow()
                .iter()
                .filter(|(task, _)| task.starts_with(&*job.id))
                .count()
        };
        self.workers.iter().map(count_in).sum()
    }

    /// Returns the index of the daemon that owns the only cell of a zone.
    ///
    /// # Panics
    /// Panics if no daemon owns the cell.
    pub async fn find_owner(&self, zone: usize) -> usize {
        for at in 0..self.daemons.len() {
            let Ok((_, dump)) = self.get(self.daemons[at].metrics_addr, "/state").await else {
                continue;
            };
            let dump = String::from_utf8_lossy(&dump).into_owned();
            if dump.contains(&format!("\"cell\":\"z{zone}/0\"")) {
                return at;
            }
        }
        panic!("no daemon owns the cell of zone {zone}");
    }
}
