//! The lab's program.

use std::process::ExitCode;

use gumdrop::Options as _;
use lab::cli::Args;
use lab::description::{Description, load};
use lab::play::play;
use lab::report::Report;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    for file in &args.files {
        match load(file) {
            Ok(description) => show(file, &description, &args),
            Err(error) => {
                eprintln!("clementinelab: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn show(file: &str, description: &Description, args: &Args) {
    let seeds: Vec<u64> = (args.first..args.first + args.seeds).collect();
    let reports = play_all(description, &seeds);
    if args.csv {
        for (seed, report) in seeds.iter().zip(&reports) {
            for (kind, counts) in &report.kinds {
                println!(
                    "{file},{seed},{kind},{},{},{},{}",
                    counts.asked, counts.in_time, counts.late, counts.refused
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
    let (in_time, spread) = (mean(Report::mean_in_time), spread(&reports));
    sum.bound = mean(|report| report.bound);
    println!("{file}: {} seeds\n{sum}", seeds.len());
    println!("mean of the kinds in time {in_time:.4} +- {spread:.4}\n");
}

/// Plays the seeds on all processors; each play is of its own thread alone.
fn play_all(description: &Description, seeds: &[u64]) -> Vec<Report> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut reports = Vec::with_capacity(seeds.len());
    for group in seeds.chunks(threads) {
        std::thread::scope(|scope| {
            let plays = group.iter().map(|seed| scope.spawn(|| play(description, *seed)));
            let plays: Vec<_> = plays.collect();
            for played in plays {
                reports.push(played.join().expect("a play does not panic"));
            }
        });
    }
    reports
}

/// Gives the half width of the 95% confidence interval of the mean over the seeds.
fn spread(reports: &[Report]) -> f64 {
    let count = reports.len() as f64;
    let mean = reports.iter().map(Report::mean_in_time).sum::<f64>() / count;
    let squares = reports.iter().map(|report| (report.mean_in_time() - mean).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
    1.96 * (variance / count).sqrt()
}
