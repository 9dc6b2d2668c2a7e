//! Test environment: stand-ins in a thread of the test and daemons as processes of the real binary.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use callers::render::{AnswerBody, TicketsBody};
use dispatch::jobs::JobRequest;
use httpedge::client::HttpClient;
use measure::calls;
use measure::fleet::{Fleet, sample_catalogue};

const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

pub struct TestEnv {
    pub fleet: Fleet,
    pub caller: HttpClient,
    daemons: Vec<Option<Child>>,
    dir: PathBuf,
}

impl TestEnv {
    /// Starts stand-ins and daemons, applies the sample catalogue and waits until every daemon is
    /// ready.
    pub async fn start(zones: &[&str], daemons: usize, workers: usize) -> Self {
        let mut fleet = Fleet::with_free_ports(zones, daemons, workers, 8);
        fleet.extra_settings.push_str("[tickets]\nvalid_ms = 60000\n");
        let dir = std::env::temp_dir().join(format!("clementined-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir).unwrap();
        run_standins(fleet.clone());
        let mut env = Self { fleet, caller: HttpClient::new(), daemons: Vec::new(), dir };
        for index in 0..daemons {
            env.daemons.push(None);
            env.start_daemon(index);
        }
        let operators = env.operators();
        calls::await_ready(&env.caller, &operators, 0).await.unwrap();
        let edited = calls::edit(&env.caller, operators[0], "sample", sample_catalogue()).await;
        edited.unwrap();
        calls::await_ready(&env.caller, &operators, 1).await.unwrap();
        env
    }

    pub fn start_daemon(&mut self, index: usize) {
        let path = self.dir.join(format!("{index}.ini"));
        std::fs::write(&path, self.fleet.settings(index)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_clementined"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.daemons[index] = Some(child);
    }

    pub fn operators(&self) -> Vec<SocketAddr> {
        self.fleet.daemons.iter().map(|daemon| daemon.operators).collect()
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.fleet.daemons[index].callers
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.daemons[index].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub fn terminate(&self, index: usize) {
        let pid = self.daemons[index].as_ref().unwrap().id();
        let status = Command::new("kill").arg("-TERM").arg(pid.to_string()).status().unwrap();
        assert!(status.success());
    }

    /// Waits for a terminated daemon to exit and returns its exit code.
    pub async fn await_exit(&mut self, index: usize) -> Option<i32> {
        let started_at = Instant::now();
        while started_at.elapsed() < EXIT_TIMEOUT {
            let child = self.daemons[index].as_mut().unwrap();
            if let Some(status) = child.try_wait().unwrap() {
                self.daemons[index] = None;
                return status.code();
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the daemon did not exit within 30 s");
    }

    /// Returns the revision of a catalogue item.
    pub async fn revision(&self, name: &str) -> u64 {
        let operators = self.operators()[1];
        let path = "/v1/catalogue";
        let body: operators::wire::CatalogueBody =
            self.caller.get(operators, path, 5_000).await.unwrap();
        body.items[name].revision
    }

    pub async fn ticket(&self, index: usize) -> String {
        let path = "/v1/tickets?count=1";
        let body: TicketsBody = self.caller.get(self.callers(index), path, 5_000).await.unwrap();
        body.tickets.into_iter().next().unwrap()
    }

    pub async fn submit(&self, index: usize, ticket: &str, job: &JobRequest) -> AnswerBody {
        self.submit_with(index, ("ticket", ticket.to_owned()), job).await
    }

    pub async fn submit_with(
        &self,
        index: usize,
        header: (&'static str, String),
        job: &JobRequest,
    ) -> AnswerBody {
        let addr = self.callers(index);
        let answered = calls::submit(&self.caller, addr, Some(header), job, 20_000).await;
        answered.unwrap().1.unwrap()
    }

    /// Returns the maximum number of starts of any task, and the number of tasks that were started,
    /// over the ledgers of all workers.
    pub async fn starts(&self) -> (usize, usize) {
        let workers: Vec<SocketAddr> = self.fleet.workers.iter().map(|(addr, _)| *addr).collect();
        let ledgers = measure::ledgers::read(&self.caller, &workers).await.unwrap();
        (ledgers.max_starts_per_task(), ledgers.starts.len())
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        for child in self.daemons.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn run_standins(fleet: Fleet) {
    let (ready, wait) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            measure::roles::serve_standins(&fleet).await.unwrap();
            ready.send(()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    wait.recv().unwrap();
}
