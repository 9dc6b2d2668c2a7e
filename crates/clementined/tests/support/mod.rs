//! A small test environment: stand-ins in a thread, daemons as the real binary.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use callers::render::{AnswerBody, TicketsBody};
use dispatch::jobs::JobRequest;
use httpedge::client::Caller;
use measure::calls;
use measure::fleet::{Fleet, sample_catalogue};

const END_TIMEOUT: Duration = Duration::from_secs(30);

pub struct TestEnv {
    pub fleet: Fleet,
    pub caller: Caller,
    daemons: Vec<Option<Child>>,
    folder: PathBuf,
}

impl TestEnv {
    /// Starts stand-ins and daemons, and puts the sample catalogue in force.
    pub async fn start(zones: &[&str], daemons: usize, workers: usize) -> Self {
        let mut fleet = Fleet::with_free_ports(zones, daemons, workers, 8);
        fleet.extra_settings.push_str("[tickets]\nvalid_ms = 60000\n");
        let folder =
            std::env::temp_dir().join(format!("clementined-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&folder).unwrap();
        run_standins(fleet.clone());
        let mut env = Self { fleet, caller: Caller::new(), daemons: Vec::new(), folder };
        for place in 0..daemons {
            env.daemons.push(None);
            env.start_daemon(place);
        }
        let operators = env.operators();
        calls::await_ready(&env.caller, &operators, 0).await.unwrap();
        let seeded = calls::edit(&env.caller, operators[0], "sample", sample_catalogue()).await;
        seeded.unwrap();
        calls::await_ready(&env.caller, &operators, 1).await.unwrap();
        env
    }

    pub fn start_daemon(&mut self, place: usize) {
        let path = self.folder.join(format!("{place}.ini"));
        std::fs::write(&path, self.fleet.settings(place)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_clementined"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.daemons[place] = Some(child);
    }

    pub fn operators(&self) -> Vec<SocketAddr> {
        self.fleet.daemons.iter().map(|daemon| daemon.operators).collect()
    }

    pub fn callers(&self, place: usize) -> SocketAddr {
        self.fleet.daemons[place].callers
    }

    pub fn kill(&mut self, place: usize) {
        if let Some(mut child) = self.daemons[place].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub fn terminate(&self, place: usize) {
        let pid = self.daemons[place].as_ref().unwrap().id();
        let status = Command::new("kill").arg("-TERM").arg(pid.to_string()).status().unwrap();
        assert!(status.success());
    }

    /// Waits for a drained daemon's end and gives its exit status.
    pub async fn await_end(&mut self, place: usize) -> Option<i32> {
        let began = Instant::now();
        while began.elapsed() < END_TIMEOUT {
            let child = self.daemons[place].as_mut().unwrap();
            if let Some(status) = child.try_wait().unwrap() {
                self.daemons[place] = None;
                return status.code();
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the daemon did not end");
    }

    /// Gives the revision of a catalogue entry.
    pub async fn revision(&self, name: &str) -> u64 {
        let operators = self.operators()[1];
        let path = "/v1/catalogue";
        let body: operators::wire::CatalogueBody =
            self.caller.get(operators, path, 5_000).await.unwrap();
        body.items[name].revision
    }

    pub async fn ticket(&self, place: usize) -> String {
        let path = "/v1/tickets?count=1";
        let body: TicketsBody = self.caller.get(self.callers(place), path, 5_000).await.unwrap();
        body.tickets.into_iter().next().unwrap()
    }

    pub async fn submit(&self, place: usize, ticket: &str, job: &JobRequest) -> AnswerBody {
        self.submit_with(place, ("ticket", ticket.to_owned()), job).await
    }

    pub async fn submit_with(
        &self,
        place: usize,
        header: (&'static str, String),
        job: &JobRequest,
    ) -> AnswerBody {
        let addr = self.callers(place);
        let answered = calls::submit(&self.caller, addr, Some(header), job, 20_000).await;
        answered.unwrap().1.unwrap()
    }

    /// Gives the most starts of one task over all ledgers, and the number of tasks started.
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
        let _ = std::fs::remove_dir_all(&self.folder);
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
