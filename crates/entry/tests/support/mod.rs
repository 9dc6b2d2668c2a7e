//! A small installation: real daemons as processes, and the platform's stand-ins in this process.

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::callers::write_job;
use adapter::config::write_config;
use adapter::entries::write_entry;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, READY_PATH, WORKER_TOPIC};
use httpedge::client::{CallError, Caller, RawCall};
use pool::catalogue::{Catalogue, Route, Terms, WorkerEntry, WorkerState};
use pool::job::{JobSpec, Step};
use pool::room::Room;
use standins::metastore::MetaStore;
use standins::sized_server::SizedServer;

/// The host and prefix of the one route.
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/checks/";
const READY_WITHIN: Duration = Duration::from_secs(20);

pub fn room(cores: u64) -> Room {
    Room { cpu_millicores: cores * 1_000, memory_mb: 64, accelerators: 0 }
}

fn capacity() -> Room {
    Room { memory_mb: 10_000, ..room(64) }
}

/// One daemon as a process.
pub struct Daemon {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    settings: std::path::PathBuf,
}

impl Daemon {
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).unwrap();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The installation.
pub struct Site {
    pub store: Rc<MetaStore>,
    pub workers: Vec<Rc<SizedServer>>,
    pub daemons: Vec<Daemon>,
    pub caller: Caller,
    zones: usize,
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
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
    let route =
        Route { host: HOST.to_owned(), path_prefix: PREFIX.to_owned(), terms, needs_advice: false };
    Catalogue { version, routes: vec![route], ..Catalogue::default() }
}

/// A job of one step whose tasks do what `spec` says.
pub fn job(id: u64, count: u32, estimate_ms: u64, spec: &str) -> JobSpec {
    let step = Step { count, each: room(27), estimate_ms, ..Step::default() };
    JobSpec { id: Rc::from(format!("{id:016x}")), spec: Rc::from(spec), steps: vec![step] }
}

impl Site {
    /// Starts an installation of so many zones, with daemons and workers in each.
    pub async fn start(zones: usize, daemons: usize, workers: usize) -> Self {
        let store = MetaStore::begin(32).await.unwrap();
        let mut site =
            Self { store, workers: Vec::new(), daemons: Vec::new(), caller: Caller::new(), zones };
        site.store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(write_config(&catalogue(3))));
        for zone in 0..zones {
            for _ in 0..workers {
                site.add_worker(zone).await;
            }
        }
        for zone in 0..zones {
            for _ in 0..daemons {
                let daemon = site.start_daemon(zone);
                site.daemons.push(daemon);
            }
        }
        for at in 0..site.daemons.len() {
            site.await_ready(at).await;
        }
        site
    }

    pub async fn add_worker(&mut self, zone: usize) {
        let worker = SizedServer::begin(capacity(), room(27)).await.unwrap();
        self.workers.push(worker);
        self.publish(self.workers.len() - 1, zone, WorkerState::Ready);
    }

    pub fn publish(&self, number: usize, zone: usize, state: WorkerState) {
        let entry = WorkerEntry {
            service: Rc::from("svc"),
            addr: self.workers[number].addr,
            zone: Rc::from(format!("z{zone}")),
            state,
            capacity: capacity(),
            labels: vec!["a".into(), "r1".into()],
            born_ms: None,
        };
        self.store.put(WORKER_TOPIC, &format!("w{number}"), Some(write_entry(&entry)));
    }

    /// Starts a daemon of a zone as a process of its own.
    pub fn start_daemon(&self, zone: usize) -> Daemon {
        let (callers, ready, peers, metrics) = (free_addr(), free_addr(), free_addr(), free_addr());
        let zones: Vec<String> = (0..self.zones).map(|zone| format!("z{zone}")).collect();
        let text = format!(
            "[daemon]\nname = d-{callers}\nzone = z{zone}\nzones = {}\n\
             [callers]\nlisten = {callers}\n[ready]\nlisten = {ready}\n[peers]\nlisten = {peers}\n\
             [metrics]\nlisten = {metrics}\n[platform]\nstore = {}\npartitions = 32\n",
            zones.join(","),
            self.store.addr,
        );
        let settings =
            std::env::temp_dir().join(format!("entry-{:016x}.ini", rand::random::<u64>()));
        let mut file = std::fs::File::create(&settings).unwrap();
        file.write_all(text.as_bytes()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_clementine-entry"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Daemon { child, callers, ready, metrics, settings }
    }

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

    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), CallError> {
        self.send(addr, "GET", path, Vec::new(), 2_000).await
    }

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
    pub async fn submit(&self, at: usize, job: &JobSpec) -> Result<(u16, String), CallError> {
        let path = format!("{PREFIX}{}", job.id);
        let addr = self.daemons[at].callers;
        let (status, body) = self.send(addr, "POST", &path, write_job(job), 6_000).await?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Counts the starts of a job's tasks.
    pub fn starts_of(&self, job: &JobSpec) -> usize {
        let of = |server: &Rc<SizedServer>| {
            server.begun.borrow().iter().filter(|(task, _)| task.starts_with(&*job.id)).count()
        };
        self.workers.iter().map(of).sum()
    }

    /// Finds the daemon that owns a zone's only cell.
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
