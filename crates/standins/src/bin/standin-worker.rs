//! A stand-in worker as a program of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use actix_rt::net::TcpListener;
use gumdrop::Options;
use standins::worker::serve_worker;

/// The program's options.
#[derive(Debug)]
#[derive(Options)]
struct Args {
    /// Prints this help.
    help: bool,
    /// Address to serve on.
    #[options(required)]
    listen: Option<SocketAddr>,
    /// Tasks to run at once.
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
