//! Command-line entry point of the measurements.

use std::process::ExitCode;

use gumdrop::Options as _;
use measure::cli::{Args, Command};
use measure::roles;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let result = match args.command {
        Some(Command::Once(args)) => run_measurement("once", measure::once::run(args.tasks)),
        Some(Command::Control(_)) => run_measurement("control", measure::control::run()),
        Some(Command::Policy(args)) => {
            run_measurement("policy", measure::policy::run(&args.only, args.quick, &args.baselines))
        }
        Some(Command::Daemon(args)) => roles::run_daemon(args),
        Some(Command::Workers(args)) => roles::run_workers(&args),
        Some(Command::Platform(args)) => roles::run_platform(&args),
        None => Err(Args::usage().to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a measurement and prints its verdict as the last line of standard output.
fn run_measurement(
    name: &str,
    measurement: impl Future<Output = Result<bool, String>>,
) -> Result<(), String> {
    match actix_rt::System::new().block_on(measurement) {
        Ok(true) => {
            println!("verdict: {name}: every target met");
            Ok(())
        }
        Ok(false) => {
            println!("verdict: {name}: targets missed");
            Err(format!("{name} missed targets"))
        }
        Err(error) => {
            println!("verdict: {name}: not measured: {error}");
            Err(error)
        }
    }
}
