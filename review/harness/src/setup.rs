//! What the cases have in common: store, config, workers and daemons of a small deployment.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use adapter::config::write_config;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, READY_PATH};
use pool::catalogue::{Catalogue, Route, Terms};
use pool::resources::Resources;
use standins::metastore::MetaStore;
use tokio::net::TcpStream;

use crate::daemon::{Daemon, Fleet};
use crate::http::{get_status, read_message, write_request};
use crate::record::Record;
use crate::worker::{Kind, SeenRun, Worker};

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/checks/";
pub const SERVICE: &str = "desk";
const READY_LIMIT: Duration = Duration::from_secs(15);

pub struct Deployment {
    pub record: Record,
    pub fleet: Fleet,
    pub store: Rc<MetaStore>,
    pub runs: Rc<RefCell<Vec<SeenRun>>>,
    pub workers: Vec<Rc<Worker>>,
    pub daemons: Vec<Daemon>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.fleet.dir);
        }
    }
}

/// A worker of 64 cores of a kind.
pub fn kind(label: &str, cores: u64) -> Kind {
    Kind {
        labels: vec![label.to_owned(), "r1".to_owned()],
        capacity: Resources { cpu_millicores: cores * 1_000, memory_mb: 262_144, accelerators: 0 },
        guards: true,
    }
}

impl Deployment {
    /// Starts a store with a config of one queue. `guards` is its service's `admissionControl`.
    pub async fn new(record: &Record, guards: bool, zones: &[&str]) -> std::io::Result<Self> {
        let store = MetaStore::start(32).await?;
        let terms = Terms {
            route: Rc::from("checks"),
            service: Rc::from(SERVICE),
            priority: 0,
            max_attempts: 2,
            stretch: 1.6,
            target_ms: 60,
            timeout_ms: 1_500,
        };
        let route = Route {
            host: HOST.to_owned(),
            path_prefix: PREFIX.to_owned(),
            terms,
            requires_policy_service: false,
        };
        let catalogue = Catalogue {
            version: 3,
            routes: vec![route],
            admission_control: [(SERVICE.to_owned(), guards)].into(),
            max_body_bytes: None,
        };
        store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(write_config(&catalogue)));
        let dir: PathBuf =
            std::env::temp_dir().join(format!("review-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&dir)?;
        let fleet = Fleet {
            store: store.addr,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            dir,
        };
        Ok(Self {
            record: record.clone(),
            fleet,
            store,
            runs: Rc::default(),
            workers: Vec::new(),
            daemons: Vec::new(),
        })
    }

    pub async fn add_worker(
        &mut self,
        zone: &str,
        kind: Kind,
        slow_permille: u64,
    ) -> std::io::Result<()> {
        let id = format!("i-{:02}", self.workers.len());
        let worker = Worker::start(
            &id,
            zone,
            SERVICE,
            kind,
            slow_permille,
            &self.record,
            &self.store,
            &self.runs,
        )
        .await?;
        self.workers.push(worker);
        Ok(())
    }

    pub fn add_daemon(&mut self, zone: &str) -> std::io::Result<()> {
        self.add_sized_daemon(zone, "0.25")
    }

    /// Adds a daemon with a share of a core.
    pub fn add_sized_daemon(&mut self, zone: &str, cpu_share: &str) -> std::io::Result<()> {
        let name = format!("edge-{zone}-{}", self.daemons.len() + 1);
        self.daemons.push(Daemon::start(&self.fleet, &name, zone, cpu_share)?);
        Ok(())
    }

    /// Returns the pairs of runs of one task on different workers at the same time, each with the
    /// time that they have in common, in milliseconds.
    pub fn overlaps(&self, resolution_ms: u64) -> Vec<String> {
        let runs = self.runs.borrow();
        let mut found = Vec::new();
        for (at, first) in runs.iter().enumerate() {
            for second in runs[at + 1..].iter().filter(|other| other.task == first.task) {
                let from_ms = first.from_ms.max(second.from_ms);
                let to_ms = first.to_ms.unwrap_or(u64::MAX).min(second.to_ms.unwrap_or(u64::MAX));
                if from_ms + resolution_ms <= to_ms {
                    found.push(format!(
                        "task={} on {} from {} to {:?} and on {} from {} to {:?}: both for {} ms",
                        first.task,
                        first.worker,
                        first.from_ms,
                        first.to_ms,
                        second.worker,
                        second.from_ms,
                        second.to_ms,
                        to_ms - from_ms,
                    ));
                }
            }
        }
        found
    }

    /// Waits until all daemons are ready and 3 s more. Returns whether they became ready.
    pub async fn settle(&self) -> bool {
        let until = tokio::time::Instant::now() + READY_LIMIT;
        for daemon in &self.daemons {
            while get_status(daemon.ready, READY_PATH).await != 200 {
                if tokio::time::Instant::now() > until {
                    return false;
                }
                sleep(50).await;
            }
        }
        sleep(3_000).await;
        true
    }
}

pub async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// A job of one step, as JSON. `spec` is the payload that the workers interpret.
pub struct JobBody {
    pub count: u32,
    pub cpu: u64,
    pub estimated_ms: u64,
    pub runs_ms: u64,
    pub label: Option<&'static str>,
}

impl JobBody {
    pub fn json(&self) -> Vec<u8> {
        let mut step = serde_json::json!({
            "count": self.count, "cpu": self.cpu, "memMb": 64, "estimatedMs": self.estimated_ms,
        });
        if let Some(label) = self.label {
            step["requiredLabel"] = label.into();
        }
        let spec = format!("ms={} cpu={}", self.runs_ms, self.cpu);
        serde_json::json!({ "spec": spec, "bestEffort": true, "steps": [step] })
            .to_string()
            .into_bytes()
    }
}

pub fn job_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Sends a job on a connection of its own and returns the status; 0 without a complete answer.
pub async fn send_once(
    record: &Record,
    front: std::net::SocketAddr,
    id: &str,
    body: &JobBody,
    wait_ms: u64,
) -> u16 {
    record.line(&format!("SEND job={id} to={front} label={:?}", body.label));
    let call = async {
        let mut stream = TcpStream::connect(front).await?;
        let extra = format!("X-Clementinedock-Deadline-Ms: {wait_ms}\r\n");
        let path = format!("{PREFIX}{id}");
        write_request(&mut stream, "POST", &path, HOST, &extra, &body.json()).await?;
        read_message(&mut stream).await
    };
    let status = match tokio::time::timeout(Duration::from_millis(wait_ms), call).await {
        Ok(Ok(Some(message))) => message.status(),
        _ => 0,
    };
    record.line(&format!("ANSWER job={id} status={status}"));
    status
}
