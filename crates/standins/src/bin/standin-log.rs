//! Command that serves the test double of the log service.

use std::net::SocketAddr;
use std::process::ExitCode;

use actix_rt::net::TcpListener;
use gumdrop::Options;
use standins::log::serve_log;

/// Command-line options.
#[derive(Debug)]
#[derive(Options)]
struct Args {
    /// Prints this help.
    help: bool,
    /// Address and port to listen on.
    #[options(required)]
    listen: Option<SocketAddr>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(listen) = args.listen else { return ExitCode::from(2) };
    actix_rt::System::new().block_on(async move {
        match TcpListener::bind(listen).await {
            Ok(listener) => {
                serve_log(listener).await;
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("standin-log: cannot listen on {listen}: {error}; use a free address");
                ExitCode::FAILURE
            }
        }
    })
}
