//! The command line of the measurements.

use std::net::SocketAddr;

use gumdrop::Options;

/// Measures clementinedock on loopback.
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug)]
#[derive(Options)]
pub enum Command {
    /// Proves at most once and true answers under kills, pauses, drains, cuts and outages.
    Once(OnceArgs),
    /// Measures what control costs, with slopes up to the letter's size.
    Control(NoArgs),
    /// Compares policies of choosing a worker.
    Policy(PolicyArgs),
    /// Runs a daemon; measurements start it themselves.
    Daemon(DaemonArgs),
    /// Runs stand-in workers; measurements start them themselves.
    Workers(WorkersArgs),
    /// Runs the platform's stand-ins; measurements start them themselves.
    Platform(PlatformArgs),
}

/// No options.
#[derive(Debug)]
#[derive(Options)]
pub struct NoArgs {
    /// Prints this help.
    pub help: bool,
}

/// Options of the proof of at most once.
#[derive(Debug)]
#[derive(Options)]
pub struct OnceArgs {
    /// Prints this help.
    pub help: bool,
    /// The least number of tasks to ask for.
    #[options(default = "100000")]
    pub tasks: usize,
}

/// Options of the comparison of policies.
#[derive(Debug)]
#[derive(Options)]
pub struct PolicyArgs {
    /// Prints this help.
    pub help: bool,
    /// Runs fewer and shorter scenarios, without the baselines.
    pub quick: bool,
    /// Runs only the scenarios whose names contain this.
    #[options(default = "")]
    pub only: String,
    /// Runs only these baselines, separated by commas.
    #[options(default = "")]
    pub baselines: String,
}

/// Options of a daemon.
#[derive(Debug)]
#[derive(Options)]
pub struct DaemonArgs {
    /// Prints this help.
    pub help: bool,
    /// INI file with the settings.
    #[options(required)]
    pub settings: String,
}

/// Options of stand-in workers.
#[derive(Debug)]
#[derive(Options)]
pub struct WorkersArgs {
    /// Prints this help.
    pub help: bool,
    /// Addresses to serve on, separated by commas.
    #[options(required)]
    pub listen: String,
    /// Tasks that each runs at once.
    #[options(default = "8")]
    pub slots: usize,
}

/// Options of the platform's stand-ins.
#[derive(Debug)]
#[derive(Options)]
pub struct PlatformArgs {
    /// Prints this help.
    pub help: bool,
    /// Address of the log service.
    #[options(required)]
    pub log: Option<SocketAddr>,
    /// Address of the VM list.
    #[options(required)]
    pub vms: Option<SocketAddr>,
    /// JSON file with the VMs.
    #[options(required)]
    pub list: String,
}
