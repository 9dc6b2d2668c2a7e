//! Binary of the entry daemon.

use std::process::ExitCode;

use entry::cli::Args;
use entry::run::run;
use gumdrop::Options as _;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("clementine-entry: {error}");
            error.exit_code().into()
        }
    }
}
