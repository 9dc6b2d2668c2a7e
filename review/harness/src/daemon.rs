//! Starts the program of the deploy file with its template of settings, filled in as the platform
//! does it.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Settings that all daemons of a case share.
pub struct Fleet {
    pub store: SocketAddr,
    pub zones: Vec<String>,
    pub dir: PathBuf,
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    pub child: Option<Child>,
}

/// Returns a free loopback address.
fn free_addr() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let count = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 12_000 + ((std::process::id().wrapping_mul(983) + count) % 18_000) as u16;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Fills in the names in braces of the template that the project uses.
fn render(template: &str, values: &[(&str, String)], zones: &[String]) -> String {
    let mut text = template.replace("{{#zones}}{{@}}{{,}}{{/zones}}", &zones.join(","));
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    // A name without a value gives nothing.
    while let Some(from) = text.find("{{") {
        let Some(to) = text[from..].find("}}") else { break };
        text.replace_range(from..from + to + 2, "");
    }
    text
}

impl Daemon {
    /// Writes the settings of a daemon and starts it. `cpu_share` is its share of a core.
    pub fn start(fleet: &Fleet, name: &str, zone: &str, cpu_share: &str) -> std::io::Result<Self> {
        let template = std::fs::read_to_string("deploy/entry.ini")?;
        let (front, ready) = (free_addr(), free_addr());
        let (peers, metrics) = (free_addr(), free_addr());
        let values = [
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("internalPorts.0", peers.port().to_string()),
            ("internalPorts.1", metrics.port().to_string()),
            ("platform.address", fleet.store.to_string()),
            ("platform.parts", "32".to_owned()),
            ("platform.minTtlMs", "1000".to_owned()),
            ("bounds.configApplyMs", "2000".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("controlMode", "invocation".to_owned()),
            ("limits.cpuShare", cpu_share.to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.linkMbps", "1000.0".to_owned()),
        ];
        let settings = fleet.dir.join(format!("{name}.ini"));
        std::fs::write(&settings, render(&template, &values, &fleet.zones))?;
        let mut daemon = Self { name: name.to_owned(), front, ready, settings, child: None };
        daemon.spawn()?;
        Ok(daemon)
    }

    /// Starts the process with the command of the deploy file, in the repository root.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(Path::new("target/release/clementine-entry"))
            .env("CLEMENTINEDOCK_SETTINGS", &self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            None => true,
            Some(child) => !matches!(child.try_wait(), Ok(None)),
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
