//! Command-line program that runs the soak test for a range of seeds.

use std::process::ExitCode;

use gumdrop::Options as _;
use soak::cli::Args;
use soak::cluster::Layout;
use soak::runner::{RunConfig, run_seed};
use standins::metastore::StoreDefect;
use standins::pool_worker::WorkerDefect;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let (planted, store_defect) = match args.plant.as_deref() {
        None => (WorkerDefect::Nothing, StoreDefect::Nothing),
        Some("fences") => (WorkerDefect::IgnoresFencingTokens, StoreDefect::Nothing),
        Some("leases") => (WorkerDefect::IgnoresLeases, StoreDefect::Nothing),
        Some("bars") => (WorkerDefect::IgnoresFencedRuns, StoreDefect::Nothing),
        Some("evacuations") => (WorkerDefect::Nothing, StoreDefect::HidesEvacuations),
        Some(other) => {
            eprintln!(
                "clementinesoak: invalid --plant {other}; expected fences, leases, bars or \
                 evacuations"
            );
            return ExitCode::FAILURE;
        }
    };
    let Ok(soak_binary) = std::env::current_exe() else {
        eprintln!("clementinesoak: cannot determine its own path; run it with `cargo run`");
        return ExitCode::FAILURE;
    };
    let program = soak_binary.with_file_name("clementine-entry");
    if !program.exists() {
        eprintln!(
            "clementinesoak: {} not found; build it with `cargo build -p entry`",
            program.display()
        );
        return ExitCode::FAILURE;
    }
    let layout = Layout { zones: args.zones, daemons: args.daemons, workers: 4 };
    let mut failed = Vec::new();
    for seed in args.first..args.first + args.seeds {
        let config = RunConfig {
            program: &program,
            layout,
            seed,
            span_ms: args.seconds * 1_000,
            planted,
            store_defect,
        };
        let report = actix_rt::System::new().block_on(run_seed(config));
        println!(
            "seed {seed}: {} jobs, {} completed, {} refused, {} runs, {} faults, {} violations",
            report.jobs,
            report.completed,
            report.refused,
            report.starts,
            report.faults.len(),
            report.violations.len(),
        );
        for line in &report.violations {
            println!("seed {seed}: {line}");
        }
        if !report.violations.is_empty() {
            println!("seed {seed}: logs in {}", report.log_dir.display());
            for scheduled in &report.faults {
                println!("seed {seed}: {scheduled:?}");
            }
        }
        if !report.violations.is_empty() {
            failed.push(seed);
        }
    }
    println!(
        "{} seeds passed, {} failed: {failed:?}",
        args.seeds - failed.len() as u64,
        failed.len()
    );
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
