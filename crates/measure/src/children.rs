//! Daemons and stand-ins as processes of their own, ended by their ids.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use httpedge::client::HttpClient;

use crate::calls;
use crate::fleet::{Fleet, sample_catalogue};

const WORKERS_PER_PROCESS: usize = 16;

/// A fleet that runs in processes of its own.
#[derive(Debug)]
pub struct Children {
    /// The layout.
    pub fleet: Fleet,
    /// The daemons, in the order of the layout.
    pub daemons: Vec<Option<Child>>,
    standins: Vec<Child>,
    folder: PathBuf,
}

/// A signal that failure tests send to daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The process dies at once.
    Kill,
    /// The process drains.
    Terminate,
    /// The process is paused.
    Stop,
    /// The process wakes.
    Continue,
}

impl Children {
    /// Starts the stand-ins and every daemon, and puts the sample catalogue in force.
    ///
    /// # Errors
    /// Fails where a process cannot be started or the fleet does not become ready.
    pub async fn start(fleet: Fleet) -> Result<Self, String> {
        Self::start_parts(fleet, true).await
    }

    /// Starts the platform and every daemon; workers are only listed and do not run.
    ///
    /// # Errors
    /// Fails where a process cannot be started or the fleet does not become ready.
    pub async fn start_without_workers(fleet: Fleet) -> Result<Self, String> {
        Self::start_parts(fleet, false).await
    }

    async fn start_parts(fleet: Fleet, with_workers: bool) -> Result<Self, String> {
        let number = rand::random::<u32>();
        let folder = std::env::temp_dir().join(format!("clementine-measure-{number:08x}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let daemons = fleet.daemons.iter().map(|_| None).collect();
        let mut children = Self { fleet, daemons, standins: Vec::new(), folder };
        children.start_platform()?;
        if with_workers {
            children.start_workers()?;
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        for place in 0..children.daemons.len() {
            children.start_daemon(place)?;
        }
        children.make_ready().await?;
        Ok(children)
    }

    /// Starts one daemon, or starts it anew.
    ///
    /// # Errors
    /// Fails where the process cannot be started.
    pub fn start_daemon(&mut self, place: usize) -> Result<(), String> {
        let path = self.folder.join(format!("daemon-{place}.ini"));
        std::fs::write(&path, self.fleet.settings(place)).map_err(|error| error.to_string())?;
        let child = self.spawn(&["daemon", "--settings", &path.to_string_lossy()])?;
        self.daemons[place] = Some(child);
        Ok(())
    }

    /// Sends a signal to one daemon.
    pub fn signal(&mut self, place: usize, signal: Signal) {
        let Some(child) = self.daemons[place].as_mut() else {
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
            self.daemons[place] = None;
        }
    }

    /// Waits until a draining daemon has ended, and tells whether it did in time.
    pub async fn await_end(&mut self, place: usize, limit: Duration) -> bool {
        let steps = limit.as_millis() / 20;
        for _ in 0..steps {
            let ended = self.daemons[place]
                .as_mut()
                .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
            if ended {
                self.daemons[place] = None;
                return true;
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Gives the addresses where callers are served.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.fleet.daemons.iter().map(|daemon| daemon.callers).collect()
    }

    /// Gives the addresses where operators are served.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.fleet.daemons.iter().map(|daemon| daemon.operators).collect()
    }

    /// Gives the workers' addresses.
    pub fn workers(&self) -> Vec<SocketAddr> {
        self.fleet.workers.iter().map(|(addr, _)| *addr).collect()
    }

    /// Gives a daemon's process id.
    pub fn pid(&self, place: usize) -> Option<u32> {
        self.daemons[place].as_ref().map(Child::id)
    }

    fn start_platform(&mut self) -> Result<(), String> {
        let list = self.folder.join("vms.json");
        let vms = serde_json::json!({ "vms": self.fleet.vm_list() });
        std::fs::write(&list, vms.to_string()).map_err(|error| error.to_string())?;
        let (log, vms) = (self.fleet.log.to_string(), self.fleet.vms.to_string());
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

    async fn make_ready(&self) -> Result<(), String> {
        let caller = HttpClient::new();
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
            .open(self.folder.join("stderr.log"))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        command.spawn().map_err(|error| format!("cannot start {}: {error}", args[0]))
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
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn send_signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}
