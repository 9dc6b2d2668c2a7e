//! A small deployment: daemons as processes of their own, store and workers in this process.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use adapter::callers::{WAIT_HEADER, write_job};
use adapter::config::write_config;
use adapter::entries::write_entry;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, READY_PATH, WORKER_TOPIC};
use adapter::worker_calls::WorkerCall;
use httpedge::client::{CallError, HttpClient, RawRequest};
use pool::catalogue::{Catalogue, WorkerEntry, WorkerState};
use pool::job::JobSpec;
use pool::resources::Resources;
use soak::proxy::Proxy;
use standins::metastore::MetaStore;
use standins::pool_worker_server::PoolWorkerServer;

use crate::peer_proxy::{GenerationProxy, PeerProxy};
use crate::record::Record;

/// Host of all routes.
pub const HOST: &str = "nony24.example";
/// Interval between two pings of a worker; the pages' `heartbeatMs`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Partitions of a topic, as in the settings of the pages.
const PARTITIONS: u32 = 32;
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time for the cells to be assigned once all daemons are ready.
const SETTLE: Duration = Duration::from_secs(2);

pub type Failure = Box<dyn Error>;

/// What each case is given.
#[derive(Debug)]
pub struct Setup {
    pub program: PathBuf,
    pub record: Record,
    pub dir: PathBuf,
}

impl Setup {
    pub fn new(program: &str, record: &str) -> Result<Self, Failure> {
        let program = std::fs::canonicalize(program)?;
        let dir = std::env::var_os("RIG_DIR").ok_or("RIG_DIR names no folder")?.into();
        Ok(Self { program, record: Record::create(record)?, dir })
    }
}

/// Resources of the workers of kesel-kilnlog.
pub const fn worker_capacity() -> Resources {
    Resources { cpu_millicores: 32_000, memory_mb: 65_536, accelerators: 0 }
}

/// Resources of a task of kesel-kilnlog.
pub const fn task_resources() -> Resources {
    Resources { cpu_millicores: 14_000, memory_mb: 64, accelerators: 0 }
}

/// A daemon's process. It is killed on drop.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub zone: String,
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Way of the other daemons to this one.
    pub peers: PeerProxy,
    /// Way of this daemon to the store.
    pub store: Proxy,
    /// Before the other ways, so that their open connections can go silent.
    pub quiet: [GenerationProxy; 2],
    log: PathBuf,
    settings: PathBuf,
    program: PathBuf,
}

impl Daemon {
    /// Sends a signal to the process, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let _ =
            Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// Ends the process by SIGKILL if it still runs, and starts the next one.
    pub fn start_again(&mut self) -> Result<(), Failure> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Returns the incarnation that the daemon has logged at its start.
    pub fn incarnation(&self) -> Option<u64> {
        let log = std::fs::read_to_string(&self.log).ok()?;
        let line = log.lines().rev().find(|line| line.contains("part=daemon event=start "))?;
        let word = line.split(' ').find_map(|word| word.strip_prefix("incarnation="))?;
        u64::from_str_radix(word, 16).ok().or_else(|| word.parse().ok())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A worker: all lives of one id at one address.
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub zone: String,
    pub rack: String,
    /// Kind of the present life.
    pub kind: RefCell<&'static str>,
    pub server: Rc<PoolWorkerServer>,
    proxy: Proxy,
    pub quiet: GenerationProxy,
    store: Rc<MetaStore>,
    is_up: Cell<bool>,
}

impl Worker {
    /// Writes the worker's entry to the store, as each ping does.
    pub fn publish(&self) {
        let entry = WorkerEntry {
            service: Rc::from("kiln-ledger"),
            addr: self.quiet.addr,
            zone: Rc::from(self.zone.as_str()),
            state: WorkerState::Ready,
            capacity: worker_capacity(),
            labels: vec![(*self.kind.borrow()).to_owned(), self.rack.clone()],
            started_at_ms: Some(self.server.started_at_ms()),
            cold_ms: 0,
        };
        self.store.put(WORKER_TOPIC, &self.id, Some(write_entry(&entry)));
    }

    /// The process ends: its runs and connections end, and its address refuses connections.
    pub fn crash(&self) {
        self.is_up.set(false);
        self.server.end_process();
        self.proxy.link.end_target();
    }

    /// Starts the next life under the same id and address.
    pub fn start_again(&self, kind: &'static str) {
        *self.kind.borrow_mut() = kind;
        self.server.start_process();
        self.proxy.link.start_target();
    }

    /// Writes the first entry of a life, and further ones from then on.
    pub fn begin_pings(&self) {
        self.is_up.set(true);
        self.publish();
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Installation {
    pub record: Record,
    pub store: Rc<MetaStore>,
    pub daemons: Vec<Daemon>,
    pub workers: Vec<Rc<Worker>>,
    caller: HttpClient,
    dir: PathBuf,
    guarded: Resources,
}

/// Zone, number of daemons and kinds of the workers.
pub type ZoneLayout = (&'static str, usize, &'static [&'static str]);

impl Installation {
    /// Starts everything and waits until all daemons are ready.
    pub async fn start(
        setup: Setup,
        config: &Catalogue,
        zones: &[ZoneLayout],
        guarded: Resources,
        on_call: impl Fn(&Worker, &WorkerCall, bool) + Clone + 'static,
    ) -> Result<Self, Failure> {
        let Setup { program, record, dir } = setup;
        let store = MetaStore::start(PARTITIONS).await?;
        store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(write_config(config)));
        let mut installation = Self {
            record,
            store,
            daemons: Vec::new(),
            workers: Vec::new(),
            caller: HttpClient::new(),
            dir,
            guarded,
        };
        for (zone, _, kinds) in zones {
            for kind in *kinds {
                installation.add_worker(zone, kind, on_call.clone()).await?;
            }
        }
        let names: Vec<&str> = zones.iter().map(|(zone, ..)| *zone).collect();
        for (zone, count, _) in zones {
            for number in 1..=*count {
                let daemon = installation.start_daemon(&program, &names, zone, number).await?;
                installation.daemons.push(daemon);
            }
        }
        installation.wait_until_ready().await?;
        Ok(installation)
    }

    async fn add_worker(
        &mut self,
        zone: &str,
        kind: &'static str,
        on_call: impl Fn(&Worker, &WorkerCall, bool) + 'static,
    ) -> Result<(), Failure> {
        let server = PoolWorkerServer::start(worker_capacity(), self.guarded).await?;
        let proxy = Proxy::start(server.addr).await?;
        let quiet = GenerationProxy::start(proxy.addr).await?;
        let number = self.workers.len() + 1;
        let worker = Rc::new(Worker {
            id: format!("i-{number:08x}"),
            zone: zone.to_owned(),
            rack: format!("r-{zone}"),
            kind: RefCell::new(kind),
            server: Rc::clone(&server),
            proxy,
            quiet,
            store: Rc::clone(&self.store),
            is_up: Cell::new(true),
        });
        let observed = Rc::downgrade(&worker);
        server.set_order_hook(Box::new(move |call, has_started| {
            if let Some(worker) = observed.upgrade() {
                on_call(&worker, call, has_started);
            }
        }));
        worker.publish();
        let pinging = Rc::clone(&worker);
        // The pings of the workers are spread over the interval.
        let phase = HEARTBEAT * (number as u32 % 12) / 12;
        actix_rt::spawn(async move {
            actix_rt::time::sleep(phase).await;
            loop {
                actix_rt::time::sleep(HEARTBEAT).await;
                if pinging.is_up.get() {
                    pinging.publish();
                }
            }
        });
        self.workers.push(worker);
        Ok(())
    }

    async fn start_daemon(
        &self,
        program: &PathBuf,
        zones: &[&str],
        zone: &str,
        number: usize,
    ) -> Result<Daemon, Failure> {
        let name = format!("edge-{zone}-{number}");
        let [callers, ready, own_peers, metrics] = free_addrs();
        let peers = PeerProxy::start(own_peers).await?;
        let store = Proxy::start(self.store.addr).await?;
        let quiet =
            [GenerationProxy::start(peers.addr).await?, GenerationProxy::start(store.addr).await?];
        let shares = std::env::var("RIG_SHARES").unwrap_or_default();
        let share =
            shares.split(',').nth(number - 1).filter(|share| !share.is_empty()).unwrap_or("0.25");
        // deploy/entry.ini with the values of a small deployment.
        let text = format!(
            "[daemon]\nname = {name}\nzone = {zone}\nzones = {}\n\n[callers]\nlisten = {callers}\n\n\
             [ready]\nlisten = {ready}\n\n[peers]\nlisten = {own_peers}\nadvertise = {}\n\n\
             [metrics]\nlisten = {metrics}\n\n[platform]\nstore = {}\npartitions = {PARTITIONS}\n\
             min_ownership_ms = 1000\nconfig_apply_ms = 2000\nevacuate_ms =\norders = invocation\n\n\
             [capacity]\ncpu_share = {share}\ncores = 1\nlink_mbps = 1000.0\n\n[drain]\ngrace_s = 6\n\n\
             [log]\nlevel = info\n",
            zones.join(","),
            quiet[0].addr,
            quiet[1].addr,
        );
        let settings = self.dir.join(format!("{name}.ini"));
        File::create(&settings)?.write_all(text.as_bytes())?;
        let log = settings.with_extension("log");
        let child = spawn(program, &settings, &log)?;
        let (zone, program) = (zone.to_owned(), program.clone());
        Ok(Daemon {
            name,
            zone,
            child,
            callers,
            ready,
            peers,
            store,
            quiet,
            log,
            settings,
            program,
        })
    }

    async fn wait_until_ready(&self) -> Result<(), Failure> {
        let started = Instant::now();
        for daemon in &self.daemons {
            while self
                .send(daemon.ready, "GET", READY_PATH, Vec::new(), 1_000, None)
                .await
                .map(|(status, _)| status)
                != Ok(200)
            {
                if started.elapsed() > READY_LIMIT {
                    return Err(format!("{} is not ready", daemon.name).into());
                }
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
        actix_rt::time::sleep(SETTLE).await;
        Ok(())
    }

    /// Returns a future that sends a request as a client, and does not borrow `self`.
    pub fn send(
        &self,
        addr: SocketAddr,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
        wait_ms: u64,
        deadline_ms: Option<u64>,
    ) -> impl Future<Output = Result<(u16, String), CallError>> + use<> {
        let caller = self.caller.clone();
        let path = path.to_owned();
        async move {
            let mut headers =
                vec![("host", HOST.to_owned()), ("content-type", "application/json".to_owned())];
            headers.extend(deadline_ms.map(|ms| (WAIT_HEADER, ms.to_string())));
            let call = RawRequest {
                addr,
                method,
                path: &path,
                headers: &headers,
                body,
                timeout_ms: wait_ms,
            };
            let (status, body) = caller.send_raw(call).await?;
            Ok((status, String::from_utf8_lossy(&body).into_owned()))
        }
    }

    /// Hands in a job at a daemon; the client waits for `wait_ms`.
    pub fn submit(
        &self,
        addr: SocketAddr,
        prefix: &str,
        job: &JobSpec,
        wait_ms: u64,
    ) -> impl Future<Output = Result<(u16, String), CallError>> + use<> {
        let path = format!("{prefix}{}", job.id);
        self.send(addr, "POST", &path, write_job(job), wait_ms, Some(wait_ms))
    }

    /// Cuts the daemons of a zone off from those of the others and from the store, or ends that.
    pub fn cut_zone(&self, zone: &str, is_cut: bool) -> Result<(), Failure> {
        for from in &self.daemons {
            let incarnation =
                from.incarnation().ok_or_else(|| format!("{} has logged no start", from.name))?;
            for to in self.daemons.iter().filter(|to| to.name != from.name) {
                if (from.zone == zone) == (to.zone == zone) {
                    continue;
                }
                let mut cut = to.peers.cut.borrow_mut();
                if is_cut {
                    cut.insert(incarnation);
                } else {
                    cut.remove(&incarnation);
                }
            }
            if from.zone == zone {
                let link =
                    if is_cut { soak::proxy::Link::Silent } else { soak::proxy::Link::Normal };
                from.store.link.set(link);
            }
        }
        Ok(())
    }
}

/// Starts a daemon with the command of the deploy file.
fn spawn(program: &PathBuf, settings: &PathBuf, log: &PathBuf) -> Result<Child, Failure> {
    let output = OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    command.env("CLEMENTINEDOCK_SETTINGS", settings).stdout(Stdio::from(output));
    let child = command.spawn()?;
    let pids = settings.with_file_name("pids");
    writeln!(OpenOptions::new().create(true).append(true).open(pids)?, "{}", child.id())?;
    Ok(child)
}

/// Ports for the daemons. They lie below the range that the system uses for outgoing connections, so
/// that none is taken between its choice and its use.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Returns free loopback addresses that this process has not used for another daemon.
fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    static COUNTER: AtomicU32 = AtomicU32::new(0);
    std::array::from_fn(|_| {
        loop {
            let offset = std::process::id().wrapping_mul(977);
            let offset = offset.wrapping_add(COUNTER.fetch_add(1, Ordering::Relaxed));
            let port = PORT_RANGE.start + (offset % PORT_RANGE.len() as u32) as u16;
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(addr).is_ok() {
                return addr;
            }
        }
    })
}
