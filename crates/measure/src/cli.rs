//! Command-line options of the measurements.

use std::net::SocketAddr;

use gumdrop::Options;

/// Measures clementinedock with real daemons and stand-in services on loopback.
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// Measurements, and the processes that they start.
#[derive(Debug)]
#[derive(Options)]
pub enum Command {
    /// Checks at-most-once starts and answers under crashes, drains, pauses, partitions, outages.
    Once(OnceArgs),
    /// Measures the control overhead of a daemon and extrapolates it to the required fleet size.
    Control(NoArgs),
    /// Compares worker selection policies.
    Policy(PolicyArgs),
    /// Runs a daemon; started by the measurements.
    Daemon(DaemonArgs),
    /// Runs stand-in workers; started by the measurements.
    Workers(WorkersArgs),
    /// Runs stand-ins for the platform's log service and VM list; started by the measurements.
    Platform(PlatformArgs),
}

/// Options of a command that takes none.
#[derive(Debug)]
#[derive(Options)]
pub struct NoArgs {
    /// Prints this help.
    pub help: bool,
}

/// Options of the at-most-once check.
#[derive(Debug)]
#[derive(Options)]
pub struct OnceArgs {
    /// Prints this help.
    pub help: bool,
    /// Minimum number of tasks to submit.
    #[options(default = "100000")]
    pub tasks: usize,
}

/// Options of the policy comparison.
#[derive(Debug)]
#[derive(Options)]
pub struct PolicyArgs {
    /// Prints this help.
    pub help: bool,
    /// Runs shorter versions of the fault-free scenarios with a target, without the baselines.
    pub quick: bool,
    /// Runs only the scenarios whose names contain this text.
    #[options(default = "")]
    pub only: String,
    /// Runs only these baseline policies, separated by commas; all by default.
    #[options(default = "")]
    pub baselines: String,
}

/// Options of the `daemon` command.
#[derive(Debug)]
#[derive(Options)]
pub struct DaemonArgs {
    /// Prints this help.
    pub help: bool,
    /// INI file with the settings of the daemon.
    #[options(required)]
    pub settings: String,
}

/// Options of the `workers` command.
#[derive(Debug)]
#[derive(Options)]
pub struct WorkersArgs {
    /// Prints this help.
    pub help: bool,
    /// Addresses to listen on, one worker each, separated by commas.
    #[options(required)]
    pub listen: String,
    /// Number of tasks that each worker runs concurrently.
    #[options(default = "8")]
    pub slots: usize,
}

/// Options of the `platform` command.
#[derive(Debug)]
#[derive(Options)]
pub struct PlatformArgs {
    /// Prints this help.
    pub help: bool,
    /// Address to serve the log service on.
    #[options(required)]
    pub log: Option<SocketAddr>,
    /// Address to serve the VM list on.
    #[options(required)]
    pub vms: Option<SocketAddr>,
    /// JSON file with the contents of the VM list.
    #[options(required)]
    pub list: String,
}
