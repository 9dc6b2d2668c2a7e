//! The program of the measurements.

use std::process::ExitCode;

use gumdrop::Options as _;
use measure::cli::{Args, Command};
use measure::roles;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let result = match args.command {
        Some(Command::Once(args)) => verdict("once", measure::once::run(args.tasks)),
        Some(Command::Control(_)) => verdict("control", measure::control::run()),
        Some(Command::Policy(args)) => {
            verdict("policy", measure::policy::run(&args.only, args.quick, &args.baselines))
        }
        Some(Command::Daemon(args)) => roles::run_daemon(args),
        Some(Command::Workers(args)) => roles::run_workers(&args),
        Some(Command::Platform(args)) => roles::run_platform(&args),
        None => Err(Args::usage().to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("measure: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a measurement and ends it with one verdict line.
fn verdict(name: &str, measured: impl Future<Output = Result<bool, String>>) -> Result<(), String> {
    match actix_rt::System::new().block_on(measured) {
        Ok(true) => {
            println!("verdict: {name}: every target met");
            Ok(())
        }
        Ok(false) => {
            println!("verdict: {name}: targets missed");
            Err(format!("{name} missed targets"))
        }
        Err(why) => {
            println!("verdict: {name}: not measured: {why}");
            Err(why)
        }
    }
}
