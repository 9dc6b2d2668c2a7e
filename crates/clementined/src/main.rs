//! Entry point of the `clementined` binary.

use std::process::ExitCode;

use clementined::cli::Args;
use clementined::exit_codes;
use clementined::run::run;
use gumdrop::Options as _;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args) {
        Ok(()) => exit_codes::SUCCESS.into(),
        Err(error) => {
            eprintln!("clementined: {error}");
            exit_codes::for_error(&error).into()
        }
    }
}
