//! The stand-ins of the log service and of the VM list as one program.

use std::net::SocketAddr;
use std::process::ExitCode;

use actix_rt::net::TcpListener;
use gumdrop::Options;
use standins::log::serve_log;
use standins::vms::{PutList, serve_vms};

/// The program's options.
#[derive(Debug, Options)]
struct Args {
    /// Prints this help.
    help: bool,
    /// Address of the log service.
    #[options(required)]
    log: Option<SocketAddr>,
    /// Address of the VM list.
    #[options(required)]
    vms: Option<SocketAddr>,
    /// JSON file with the VMs to begin with.
    list: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("standin-platform: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let list = match &args.list {
        Some(path) => read_list(path)?,
        None => PutList::default(),
    };
    let (Some(log), Some(vms)) = (args.log, args.vms) else {
        return Err("give --log and --vms".to_owned());
    };
    actix_rt::System::new().block_on(async move {
        let log =
            TcpListener::bind(log).await.map_err(|e| format!("cannot listen on {log}: {e}"))?;
        let vms =
            TcpListener::bind(vms).await.map_err(|e| format!("cannot listen on {vms}: {e}"))?;
        actix_rt::spawn(serve_log(log));
        serve_vms(vms, list.vms).await;
        Ok(())
    })
}

fn read_list(path: &str) -> Result<PutList, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path} is no VM list: {e}"))
}
