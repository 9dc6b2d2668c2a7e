//! Command-line program that runs the soak test for a range of seeds.

use std::process::ExitCode;

use gumdrop::Options as _;
use soak::cli::Args;
use soak::play::{Plan, play};
use soak::site::Layout;
use standins::sized::Planted;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let planted = match args.plant.as_deref() {
        None => Planted::Nothing,
        Some("fences") => Planted::IgnoresFences,
        Some("leases") => Planted::IgnoresLeases,
        Some("bars") => Planted::IgnoresBars,
        Some(other) => {
            eprintln!("clementinesoak: invalid --plant {other}; expected fences, leases or bars");
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
        let plan = Plan { program: &program, layout, seed, span_ms: args.seconds * 1_000, planted };
        let findings = actix_rt::System::new().block_on(play(plan));
        println!(
            "seed {seed}: {} jobs, {} completed, {} refused, {} runs, {} faults, {} violations",
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
            for scheduled in &findings.faults {
                println!("seed {seed}: {scheduled:?}");
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
