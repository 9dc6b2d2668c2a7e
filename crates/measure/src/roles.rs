//! Entry points of the processes that a benchmark starts: daemon, workers and platform services.

use std::net::SocketAddr;

use actix_rt::net::TcpListener;
use standins::log::serve_log;
use standins::vms::{PutList, serve_vms};
use standins::worker::serve_worker;

use crate::cli::{DaemonArgs, PlatformArgs, WorkersArgs};
use crate::fleet::Fleet;

/// Runs a daemon in the same way as the `clementined` program does.
///
/// # Errors
/// Returns the error with which the daemon ended.
pub fn run_daemon(args: DaemonArgs) -> Result<(), String> {
    let args = clementined::cli::Args { help: false, settings: args.settings, check: false };
    clementined::run::run(&args).map_err(|error| error.to_string())
}

/// Runs stand-in workers on the addresses in `--listen` and does not return.
///
/// # Errors
/// Returns an error if an address cannot be parsed or bound.
pub fn run_workers(args: &WorkersArgs) -> Result<(), String> {
    let addrs: Result<Vec<SocketAddr>, _> = args.listen.split(',').map(str::parse).collect();
    let addrs = addrs.map_err(|error| format!("invalid address in --listen: {error}"))?;
    actix_rt::System::new().block_on(async {
        for addr in addrs {
            let listener = TcpListener::bind(addr).await.map_err(|error| error.to_string())?;
            actix_rt::spawn(serve_worker(listener, args.slots));
        }
        std::future::pending().await
    })
}

/// Runs the stand-ins for the log service and the VM list.
///
/// # Errors
/// Returns an error if an option is missing, the list cannot be read, or an address cannot be bound.
pub fn run_platform(args: &PlatformArgs) -> Result<(), String> {
    let text = std::fs::read_to_string(&args.list).map_err(|error| error.to_string())?;
    let list: PutList = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let (Some(log), Some(vms)) = (args.log, args.vms) else {
        return Err("--log and --vms are required".to_owned());
    };
    actix_rt::System::new().block_on(async {
        let log = TcpListener::bind(log).await.map_err(|error| error.to_string())?;
        let vms = TcpListener::bind(vms).await.map_err(|error| error.to_string())?;
        actix_rt::spawn(serve_log(log));
        serve_vms(vms, list.vms).await;
        Ok(())
    })
}

/// Starts the stand-ins of a fleet (log service, VM list and workers) on the current thread.
///
/// # Errors
/// Returns an error if an address cannot be bound.
pub async fn serve_standins(fleet: &Fleet) -> Result<(), String> {
    let listen = async |addr| TcpListener::bind(addr).await.map_err(|error| error.to_string());
    actix_rt::spawn(serve_log(listen(fleet.log_addr).await?));
    actix_rt::spawn(serve_vms(listen(fleet.vm_list_addr).await?, fleet.vm_list()));
    for (addr, _) in &fleet.workers {
        actix_rt::spawn(serve_worker(listen(*addr).await?, fleet.slots as usize));
    }
    Ok(())
}
