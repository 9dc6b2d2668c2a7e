//! The processes of an installation.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

use adapter::config::write_config;
use adapter::entries::write_entry;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, WORKER_TOPIC};
use pool::catalogue::{WorkerEntry, WorkerState};
use rustix::process::{Pid, Signal, kill_process};

use crate::cluster::catalogue;
use crate::rig::roles::{PARTITIONS, cores};

/// Shares of a core that the daemons of a zone state in turn.
const CPU_SHARES: [f64; 5] = [0.09, 0.12, 0.25, 0.12, 0.5];
/// Ports of a daemon, each on a loopback address of its own.
const CALLERS_PORT: u16 = 7_001;
const READY_PORT: u16 = 7_002;
const PEERS_PORT: u16 = 7_003;
const METRICS_PORT: u16 = 7_004;

/// Size of an installation.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of zones.
    pub zones: usize,
    /// Number of daemons in each zone.
    pub daemons: usize,
    /// Number of worker processes in each zone.
    pub worker_processes: usize,
    /// Number of workers in each of these.
    pub workers: usize,
    /// Number of processes that send jobs.
    pub caller_processes: usize,
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves callers; the process may end and start again.
    Daemon,
    /// Keeps the store.
    Store,
    /// Runs tasks.
    Workers,
    /// Sends jobs.
    Callers,
    /// Keeps a core busy.
    Load,
}

/// A process of an installation. It is killed on drop.
#[derive(Debug)]
pub struct Process {
    /// What the process does.
    pub role: Role,
    /// Name for the log.
    pub name: String,
    child: Child,
    command: PathBuf,
    args: Vec<String>,
    log: PathBuf,
}

impl Process {
    fn start(role: Role, name: &str, command: &Path, args: Vec<String>, dir: &Path) -> Self {
        let log = dir.join(format!("{name}.log"));
        let child = spawn(command, &args, role, &log);
        let (name, command) = (name.to_owned(), command.to_owned());
        Self { role, name, child, command, args, log }
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        if matches!(self.child.try_wait(), Ok(None))
            && let Err(error) = kill_process(Pid::from_child(&self.child), signal)
        {
            eprintln!("rig: cannot signal {}: {error}", self.name);
        }
    }

    /// Ends the process, if it still runs, and starts the next one.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.command, &self.args, self.role, &self.log);
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    /// Sends a command to the store.
    pub fn command(&mut self, line: &str) {
        if let Some(stdin) = self.child.stdin.as_mut()
            && let Err(error) = writeln!(stdin, "{line}")
        {
            eprintln!("rig: cannot send a command to {}: {error}", self.name);
        }
    }

    fn read_lines(&mut self, count: usize) -> Vec<String> {
        let Some(stdout) = self.child.stdout.take() else { return Vec::new() };
        BufReader::new(stdout).lines().take(count).map_while(Result::ok).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(command: &Path, args: &[String], role: Role, log: &Path) -> Child {
    let mut command = Command::new(command);
    command.args(args);
    match role {
        Role::Daemon => {
            let options = std::fs::OpenOptions::new().create(true).append(true).open(log);
            command.stdout(Stdio::from(options.expect("the log directory exists")));
        }
        Role::Store => {
            command.stdin(Stdio::piped()).stdout(Stdio::piped());
        }
        Role::Workers => {
            command.stdout(Stdio::piped());
        }
        Role::Callers | Role::Load => {}
    }
    command.spawn().expect("the program exists")
}

/// A running installation. Its daemons listen on loopback addresses that no other run uses.
#[derive(Debug)]
pub struct Installation {
    /// All processes but those that send jobs.
    pub processes: Vec<Process>,
    /// Addresses on which the daemons of each zone serve callers.
    pub callers_addrs: Vec<Vec<SocketAddr>>,
    /// Directory of settings, logs and records.
    pub dir: PathBuf,
    rig: PathBuf,
}

impl Installation {
    /// Starts an installation of the daemon `entry`. The roles are played by the program `rig`.
    pub fn start(entry: &Path, rig: &Path, size: Size, dir: PathBuf) -> Self {
        let mut this =
            Self { processes: Vec::new(), callers_addrs: Vec::new(), dir, rig: rig.to_owned() };
        let mut store = this.play(Role::Store, "store", &["--role", "store"]);
        let store_addr = store.read_lines(1).pop().unwrap_or_default();
        let config = String::from_utf8_lossy(&write_config(&catalogue(3))).into_owned();
        store.command(&format!("put {OPERATOR_TOPIC} {CONFIG_KEY} {config}"));
        for zone in 0..size.zones {
            for number in 0..size.worker_processes {
                let workers = this.start_workers(zone, number, size.workers, &mut store);
                this.processes.push(workers);
            }
        }
        this.processes.push(store);
        let names: Vec<String> = (0..size.zones).map(|zone| format!("z{zone}")).collect();
        for zone in 0..size.zones {
            let mut addrs = Vec::new();
            for number in 0..size.daemons {
                let ip = daemon_ip((zone * size.daemons + number) as u8);
                let name = format!("edge-z{zone}-{number}");
                let settings = this.dir.join(format!("{name}.ini"));
                let text = settings_of(&name, zone, &names, ip, &store_addr);
                std::fs::write(&settings, text).expect("the directory exists");
                let args = vec!["--settings".to_owned(), settings.display().to_string()];
                let daemon = Process::start(Role::Daemon, &name, entry, args, &this.dir);
                this.processes.push(daemon);
                addrs.push(SocketAddr::from((ip, CALLERS_PORT)));
            }
            this.callers_addrs.push(addrs);
        }
        this
    }

    /// Starts the program with arguments as one of the other processes.
    pub fn play(&self, role: Role, name: &str, args: &[&str]) -> Process {
        let args = args.iter().map(|arg| (*arg).to_owned()).collect();
        Process::start(role, name, &self.rig, args, &self.dir)
    }

    /// Returns the path of the record that a process writes.
    pub fn record_path(&self, name: &str) -> String {
        self.dir.join(format!("{name}.events")).display().to_string()
    }

    fn start_workers(
        &self,
        zone: usize,
        number: usize,
        count: usize,
        store: &mut Process,
    ) -> Process {
        let name = format!("workers-z{zone}-{number}");
        let prefix = format!("z{zone}-{number}-");
        let (count_arg, record) = (count.to_string(), self.record_path(&name));
        let args =
            ["--role", "workers", "--name", &prefix, "--count", &count_arg, "--record", &record];
        let mut process = self.play(Role::Workers, &name, &args);
        for (at, line) in process.read_lines(count).iter().enumerate() {
            let (addr, started_at_ms) = line.split_once(' ').expect("the role prints both");
            let entry = WorkerEntry {
                service: Rc::from("svc"),
                addr: addr.parse().expect("the role prints its address"),
                zone: Rc::from(format!("z{zone}")),
                state: WorkerState::Ready,
                capacity: pool::resources::Resources { memory_mb: 10_000, ..cores(32) },
                labels: vec!["a".into(), "r1".into()],
                started_at_ms: started_at_ms.parse().ok(),
                cold_ms: 0,
            };
            let entry = String::from_utf8_lossy(&write_entry(&entry)).into_owned();
            store.command(&format!("put {WORKER_TOPIC} {prefix}{at} {entry}"));
        }
        process
    }
}

/// Returns the address of a daemon: in a network that is drawn from this process's id.
fn daemon_ip(number: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, 1 + number)
}

/// Returns the share of a core that a daemon has, by the number at the end of its name.
pub fn cpu_share(name: &str) -> f64 {
    let number: usize = name.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    CPU_SHARES[number % CPU_SHARES.len()]
}

fn settings_of(name: &str, zone: usize, zones: &[String], ip: Ipv4Addr, store: &str) -> String {
    let share = cpu_share(name);
    format!(
        "[daemon]\nname = {name}\nzone = z{zone}\nzones = {}\n\
         [callers]\nlisten = {ip}:{CALLERS_PORT}\n[ready]\nlisten = {ip}:{READY_PORT}\n\
         [peers]\nlisten = {ip}:{PEERS_PORT}\n[metrics]\nlisten = {ip}:{METRICS_PORT}\n\
         [platform]\nstore = {store}\npartitions = {PARTITIONS}\n\
         [capacity]\ncpu_share = {share}\ncores = 1\n",
        zones.join(","),
    )
}
