//! The program of the measurements.

use std::process::ExitCode;

use gumdrop::Options as _;
use measure::cli::{Args, Command};
use measure::roles;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let result = match args.command {
        Some(Command::Daemon(args)) => roles::daemon(args),
        Some(Command::Workers(args)) => roles::workers(&args),
        Some(Command::Platform(args)) => roles::platform(&args),
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
