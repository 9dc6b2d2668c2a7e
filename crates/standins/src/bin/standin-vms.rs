//! Command that serves the test double of the VM list.

use std::net::SocketAddr;
use std::process::ExitCode;

use actix_rt::net::TcpListener;
use gumdrop::Options;
use standins::vms::{PutList, serve_vms};

/// Command-line options.
#[derive(Debug)]
#[derive(Options)]
struct Args {
    /// Prints this help.
    help: bool,
    /// Address and port to listen on.
    #[options(required)]
    listen: Option<SocketAddr>,
    /// JSON file with the initial VM list.
    list: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("standin-vms: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let list = match &args.list {
        Some(path) => read_list(path)?,
        None => PutList::default(),
    };
    let listen = args.listen.ok_or("missing option --listen")?;
    actix_rt::System::new().block_on(async move {
        let listener = TcpListener::bind(listen).await;
        let listener = listener.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        serve_vms(listener, list.vms).await;
        Ok(())
    })
}

fn read_list(path: &str) -> Result<PutList, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("invalid VM list in {path}: {e}"))
}
