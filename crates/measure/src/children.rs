//! Runs daemons and stand-ins as child processes, which are killed when the fleet is dropped.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use httpedge::client::Caller;

use crate::calls;
use crate::fleet::{Fleet, sample_catalogue};

const WORKERS_PER_PROCESS: usize = 16;

/// A fleet whose daemons, workers and platform services run as child processes.
#[derive(Debug)]
pub struct Children {
    /// Addresses and settings of the fleet.
    pub fleet: Fleet,
    /// Daemon processes in the order of `fleet.daemons`; `None` for a daemon that is not running.
    pub daemons: Vec<Option<Child>>,
    standins: Vec<Child>,
    dir: PathBuf,
}

/// Signal that failure tests send to daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// `SIGKILL`: ends the process without a drain.
    Kill,
    /// `SIGTERM`: drains the daemon, which then exits.
    Terminate,
    /// `SIGSTOP`: pauses the process.
    Stop,
    /// `SIGCONT`: resumes a paused process.
    Continue,
}

impl Children {
    /// Starts the stand-ins and all daemons, and applies the sample catalogue.
    ///
    /// # Errors
    /// Returns an error if a process cannot be started or the fleet does not become ready.
    pub async fn start(fleet: Fleet) -> Result<Self, String> {
        Self::start_processes(fleet, true).await
    }

    /// Starts the platform services and all daemons. The workers are in the VM list but do not run.
    ///
    /// # Errors
    /// Returns an error if a process cannot be started or the fleet does not become ready.
    pub async fn start_without_workers(fleet: Fleet) -> Result<Self, String> {
        Self::start_processes(fleet, false).await
    }

    async fn start_processes(fleet: Fleet, with_workers: bool) -> Result<Self, String> {
        let number = rand::random::<u32>();
        let dir = std::env::temp_dir().join(format!("clementine-measure-{number:08x}"));
        std::fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let daemons = fleet.daemons.iter().map(|_| None).collect();
        let mut children = Self { fleet, daemons, standins: Vec::new(), dir };
        children.start_platform()?;
        if with_workers {
            children.start_workers()?;
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        for index in 0..children.daemons.len() {
            children.start_daemon(index)?;
        }
        children.install_sample_catalogue().await?;
        Ok(children)
    }

    /// Starts a daemon, for the first time or again after it has ended.
    ///
    /// # Errors
    /// Returns an error if the settings cannot be written or the process cannot be started.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), String> {
        let path = self.dir.join(format!("daemon-{index}.ini"));
        std::fs::write(&path, self.fleet.settings(index)).map_err(|error| error.to_string())?;
        let child = self.spawn(&["daemon", "--settings", &path.to_string_lossy()])?;
        self.daemons[index] = Some(child);
        Ok(())
    }

    /// Sends a signal to a daemon if it runs. After a kill, waits until the process has ended.
    pub fn signal(&mut self, index: usize, signal: Signal) {
        let Some(child) = self.daemons[index].as_mut() else {
            return;
        };
        let number = match signal {
            Signal::Kill => "KILL",
            Signal::Terminate => "TERM",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
        };
        send_signal(child.id(), number);
        if signal == Signal::Kill {
            let _ = child.wait();
            self.daemons[index] = None;
        }
    }

    /// Waits until a draining daemon has exited. Returns whether it exited within `limit`.
    pub async fn wait_for_exit(&mut self, index: usize, limit: Duration) -> bool {
        let polls = limit.as_millis() / 20;
        for _ in 0..polls {
            let ended = self.daemons[index]
                .as_mut()
                .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
            if ended {
                self.daemons[index] = None;
                return true;
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns the addresses of the daemons' caller endpoints.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.fleet.daemons.iter().map(|daemon| daemon.callers).collect()
    }

    /// Returns the addresses of the daemons' operator endpoints.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.fleet.daemons.iter().map(|daemon| daemon.operators).collect()
    }

    /// Returns the workers' addresses.
    pub fn workers(&self) -> Vec<SocketAddr> {
        self.fleet.workers.iter().map(|(addr, _)| *addr).collect()
    }

    /// Returns the process id of a daemon, or `None` if it is not running.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.daemons[index].as_ref().map(Child::id)
    }

    fn start_platform(&mut self) -> Result<(), String> {
        let list = self.dir.join("vms.json");
        let vms = serde_json::json!({ "vms": self.fleet.vm_list() });
        std::fs::write(&list, vms.to_string()).map_err(|error| error.to_string())?;
        let (log, vms) = (self.fleet.log_addr.to_string(), self.fleet.vm_list_addr.to_string());
        let list = list.to_string_lossy().into_owned();
        let args = ["platform", "--log", &log, "--vms", &vms, "--list", &list];
        let child = self.spawn(&args)?;
        self.standins.push(child);
        Ok(())
    }

    fn start_workers(&mut self) -> Result<(), String> {
        let slots = self.fleet.slots.to_string();
        for group in self.workers().chunks(WORKERS_PER_PROCESS) {
            let addrs: Vec<String> = group.iter().map(ToString::to_string).collect();
            let listen = addrs.join(",");
            let child = self.spawn(&["workers", "--listen", &listen, "--slots", &slots])?;
            self.standins.push(child);
        }
        Ok(())
    }

    async fn install_sample_catalogue(&self) -> Result<(), String> {
        let caller = Caller::new();
        let operators = self.operators();
        calls::await_ready(&caller, &operators, 0).await?;
        calls::edit(&caller, operators[0], "sample", sample_catalogue()).await?;
        calls::await_ready(&caller, &operators, 1).await
    }

    fn spawn(&self, args: &[&str]) -> Result<Child, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join("stderr.log"))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        command.spawn().map_err(|error| format!("failed to start the {} process: {error}", args[0]))
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        let daemons = self.daemons.iter_mut().flatten();
        for child in daemons.chain(&mut self.standins) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("CLEMENTINE_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn send_signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}
