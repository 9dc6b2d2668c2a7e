//! Command that serves the test double of a slot worker.

use std::net::SocketAddr;
use std::process::ExitCode;

use actix_rt::net::TcpListener;
use gumdrop::Options;
use standins::worker::serve_worker;

/// Command-line options.
#[derive(Debug)]
#[derive(Options)]
struct Args {
    /// Prints this help.
    help: bool,
    /// Address and port to listen on.
    #[options(required)]
    listen: Option<SocketAddr>,
    /// Number of tasks that run at the same time.
    #[options(default = "8")]
    slots: usize,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(listen) = args.listen else {
        return ExitCode::from(2);
    };
    actix_rt::System::new().block_on(async move {
        match TcpListener::bind(listen).await {
            Ok(listener) => {
                serve_worker(listener, args.slots).await;
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("standin-worker: cannot listen on {listen}: {error}; use a free address");
                ExitCode::FAILURE
            }
        }
    })
}
