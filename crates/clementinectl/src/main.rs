//! Entry point of the `clementinectl` binary.

use std::process::ExitCode;

use clementinectl::cli::Args;
use clementinectl::run::run;
use clementinectl::{exit_codes, output};
use gumdrop::Options as _;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(args) {
        Ok(code) => code.into(),
        Err(error) => {
            output::print_error(&error);
            exit_codes::for_error(&error).into()
        }
    }
}
