//! Command-line program that plays an installation of the users' size on this machine.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use gumdrop::Options;
use soak::rig::installation::Size;
use soak::rig::play::{PlayConfig, play, print_overlap};
use soak::rig::record::Record;
use soak::rig::roles::{Traffic, run_callers, run_store, run_workers};

/// Number of overlaps of a seed that are printed in full.
const MAX_PRINTED: usize = 6;

/// Options of `clementinerig`.
#[derive(Debug, Options)]
struct Args {
    /// Print this help
    help: bool,
    /// Path of the daemon's program
    #[options(default = "target/release/clementine-entry", meta = "PATH")]
    entry: String,
    /// Number of seeds to play
    #[options(default = "1", meta = "N")]
    seeds: u64,
    /// First seed
    #[options(default = "1", meta = "N")]
    first: u64,
    /// How long jobs are sent, in seconds
    #[options(default = "40", meta = "S")]
    seconds: u64,
    /// Number of jobs a second
    #[options(default = "700.0", meta = "N")]
    rate: f64,
    /// Share of the jobs with a task of 6 s, which outlasts its caller by far
    #[options(default = "0.1", meta = "X")]
    lasting: f64,
    /// Number of zones
    #[options(default = "4", meta = "N")]
    zones: usize,
    /// Number of daemons in each zone
    #[options(default = "9", meta = "N")]
    per_zone: usize,
    /// Number of workers in each zone, in two processes
    #[options(default = "88", meta = "N")]
    workers: usize,
    /// Number of processes that send jobs
    #[options(default = "4", meta = "N")]
    callers: usize,
    /// Number of processes that are made to stand still each second, for 10 to 400 ms
    #[options(default = "20.0", meta = "N")]
    stalls: f64,
    /// Let each daemon run for this multiple of its share of a core, in periods of 100 ms
    #[options(meta = "X")]
    throttle: Option<f64>,
    /// Number of processes that keep a core busy
    #[options(default = "4", meta = "N")]
    load: usize,
    /// Neither end daemons nor disturb the store
    calm: bool,
    /// Play a process of an installation: store, workers, callers or load
    #[options(meta = "ROLE")]
    role: Option<String>,
    /// With --role workers: prefix of the workers' ids
    #[options(meta = "NAME")]
    name: Option<String>,
    /// With --role workers: number of workers
    #[options(default = "0", meta = "N")]
    count: usize,
    /// With --role callers: addresses of the daemons, separated by commas, and zones by semicolons
    #[options(meta = "ADDRS")]
    daemons: Option<String>,
    /// With --role callers: seed of the jobs
    #[options(default = "0", meta = "N")]
    seed: u64,
    /// With --role: file for what the process sees
    #[options(meta = "PATH")]
    record: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match args.role.as_deref() {
        None => play_seeds(&args),
        Some(role) => match play_role(role, &args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("clementinerig: cannot play {role}: {error}");
                ExitCode::FAILURE
            }
        },
    }
}

fn play_role(role: &str, args: &Args) -> std::io::Result<()> {
    let system = actix_rt::System::new();
    let record = args.record.clone().unwrap_or_default();
    match role {
        "store" => system.block_on(run_store()),
        "workers" => {
            let name = args.name.clone().unwrap_or_default();
            system.block_on(run_workers(&name, args.count, &record))
        }
        "callers" => {
            let zones = args.daemons.as_deref().unwrap_or_default().split(';');
            let addrs = |zone: &str| zone.split(',').filter_map(|addr| addr.parse().ok()).collect();
            let daemons = zones.map(addrs).collect();
            let traffic = Traffic {
                rate: args.rate,
                seconds: args.seconds,
                lasting_share: args.lasting,
                seed: args.seed,
            };
            system.block_on(run_callers(daemons, traffic, &record))
        }
        "load" => loop {
            std::hint::black_box(Instant::now());
        },
        _ => Err(std::io::Error::other("expected store, workers, callers or load")),
    }
}

fn play_seeds(args: &Args) -> ExitCode {
    let Ok(rig) = std::env::current_exe() else {
        eprintln!("clementinerig: cannot determine its own path; run it by its full path");
        return ExitCode::FAILURE;
    };
    let mut has_failed = false;
    for seed in args.first..args.first + args.seeds {
        let config = PlayConfig {
            entry: PathBuf::from(&args.entry),
            rig: rig.clone(),
            size: Size {
                zones: args.zones,
                daemons: args.per_zone,
                worker_processes: 2,
                workers: args.workers / 2,
                caller_processes: args.callers,
            },
            seed,
            seconds: args.seconds,
            rate: args.rate,
            lasting_share: args.lasting,
            stalls_per_s: args.stalls,
            throttle: args.throttle,
            load_processes: args.load,
            has_faults: !args.calm,
        };
        match play(&config) {
            Err(error) => {
                eprintln!("clementinerig: seed {seed}: {error}");
                return ExitCode::FAILURE;
            }
            Ok(report) => {
                let by_clock = report.overlaps.iter().filter(|overlap| overlap.planned_ms() > 0);
                println!(
                    "seed {seed}: {} jobs, {} completed, {} runs, {} overlaps ({} by the workers' \
                     clocks), {} refused but run, in {}",
                    report.jobs,
                    report.completed,
                    report.starts,
                    report.overlaps.len(),
                    by_clock.count(),
                    report.refused_but_ran.len(),
                    report.dir.display(),
                );
                let Ok(record) = Record::read(&report.dir) else { return ExitCode::FAILURE };
                for overlap in report.overlaps.iter().take(MAX_PRINTED) {
                    print_overlap(overlap, &record, &report.dir);
                }
                for job in report.refused_but_ran.iter().take(MAX_PRINTED) {
                    println!("refused each time it was sent, but ran: {job}");
                }
                has_failed |= !report.overlaps.is_empty() || !report.refused_but_ran.is_empty();
            }
        }
    }
    if has_failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
