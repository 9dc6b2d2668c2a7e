//! Command-line program that simulates scenario files and prints the results.

use std::process::ExitCode;

use gumdrop::Options as _;
use lab::cli::Args;
use lab::report::Report;
use lab::scenario::{Scenario, load};
use lab::simulation::run;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    for file in &args.files {
        match load(file) {
            Ok(scenario) => run_scenario(file, &scenario, &args),
            Err(error) => {
                eprintln!("clementinelab: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn run_scenario(file: &str, scenario: &Scenario, args: &Args) {
    let seeds: Vec<u64> = (args.first..args.first + args.seeds).collect();
    let reports = run_all(scenario, &seeds);
    if args.csv {
        for (seed, report) in seeds.iter().zip(&reports) {
            for (kind, counts) in &report.kinds {
                println!(
                    "{file},{seed},{kind},{},{},{},{},{},{:.4}",
                    counts.arrived,
                    counts.in_time,
                    counts.late,
                    counts.refused,
                    counts.refused_despite_room,
                    counts.served_share(),
                );
            }
        }
        return;
    }
    let Some((first, others)) = reports.split_first() else { return };
    let mut sum = first.clone();
    for report in others {
        sum.add(report);
    }
    let mean =
        |share: fn(&Report) -> f64| reports.iter().map(share).sum::<f64>() / reports.len() as f64;
    let (in_time, confidence_half_width) =
        (mean(Report::mean_in_time_share), confidence_half_width(&reports));
    sum.bound = mean(|report| report.bound);
    println!("{file}: {} seeds\n{sum}", seeds.len());
    println!("mean in-time share of the kinds {in_time:.4} +- {confidence_half_width:.4}");
    println!("mean worth of the kinds {:.4}\n", mean(Report::mean_served_share));
}

/// Simulates each seed on a thread of its own, as many at a time as there are processors.
fn run_all(scenario: &Scenario, seeds: &[u64]) -> Vec<Report> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut reports = Vec::with_capacity(seeds.len());
    for group in seeds.chunks(threads) {
        std::thread::scope(|scope| {
            let handles = group.iter().map(|seed| scope.spawn(|| run(scenario, *seed)));
            let handles: Vec<_> = handles.collect();
            for handle in handles {
                reports.push(handle.join().expect("a simulation thread panicked"));
            }
        });
    }
    reports
}

/// Returns half the width of the 95% confidence interval of the mean over the seeds.
fn confidence_half_width(reports: &[Report]) -> f64 {
    let count = reports.len() as f64;
    let mean = reports.iter().map(Report::mean_in_time_share).sum::<f64>() / count;
    let squares = reports.iter().map(|report| (report.mean_in_time_share() - mean).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
    1.96 * (variance / count).sqrt()
}
