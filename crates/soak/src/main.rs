//! The soak's program.

use std::process::ExitCode;

use gumdrop::Options as _;
use soak::cli::Args;
use soak::play::{Plan, play};
use soak::site::Layout;
use standins::pool_worker::WorkerDefect;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let planted = match args.plant.as_deref() {
        None => WorkerDefect::Nothing,
        Some("fences") => WorkerDefect::IgnoresFencingTokens,
        Some("leases") => WorkerDefect::IgnoresLeases,
        Some("bars") => WorkerDefect::IgnoresFencedRuns,
        Some(other) => {
            eprintln!("clementinesoak: --plant {other} is not known; use fences, leases or bars");
            return ExitCode::FAILURE;
        }
    };
    let Ok(own) = std::env::current_exe() else {
        eprintln!("clementinesoak: cannot find the folder of the programs; run it through cargo");
        return ExitCode::FAILURE;
    };
    let program = own.with_file_name("clementine-entry");
    if !program.exists() {
        eprintln!("clementinesoak: {} is missing; build the package entry", program.display());
        return ExitCode::FAILURE;
    }
    let layout = Layout { zones: args.zones, daemons: args.daemons, workers: 4 };
    let mut failed = Vec::new();
    for seed in args.first..args.first + args.seeds {
        let plan = Plan { program: &program, layout, seed, span_ms: args.seconds * 1_000, planted };
        let findings = actix_rt::System::new().block_on(play(plan));
        println!(
            "seed {seed}: {} jobs, {} completed, {} refused, {} runs, {} faults, {} broken",
            findings.jobs,
            findings.completed,
            findings.refused,
            findings.starts,
            findings.faults.len(),
            findings.broken.len(),
        );
        for line in &findings.broken {
            println!("seed {seed}: {line}");
        }
        if !findings.broken.is_empty() {
            println!("seed {seed}: logs in {}", findings.logs.display());
            for planned in &findings.faults {
                println!("seed {seed}: {planned:?}");
            }
        }
        if !findings.broken.is_empty() {
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
