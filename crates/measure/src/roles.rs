//! The roles that a measurement's own processes play.

use std::net::SocketAddr;

use actix_rt::net::TcpListener;
use standins::log::serve_log;
use standins::vms::{PutList, serve_vms};
use standins::worker::serve_worker;

use crate::cli::{DaemonArgs, PlatformArgs, WorkersArgs};
use crate::fleet::Fleet;

/// Runs a daemon, just as the daemon's own program does.
///
/// # Errors
/// Fails with the daemon's own words.
pub fn daemon(args: DaemonArgs) -> Result<(), String> {
    let args = clementined::cli::Args { help: false, settings: args.settings, check: false };
    clementined::run::run(&args).map_err(|error| error.to_string())
}

/// Runs stand-in workers.
///
/// # Errors
/// Fails where an address cannot be used.
pub fn workers(args: &WorkersArgs) -> Result<(), String> {
    let addrs: Result<Vec<SocketAddr>, _> = args.listen.split(',').map(str::parse).collect();
    let addrs = addrs.map_err(|error| format!("--listen: {error}"))?;
    actix_rt::System::new().block_on(async {
        for addr in addrs {
            let listener = TcpListener::bind(addr).await.map_err(|error| error.to_string())?;
            actix_rt::spawn(serve_worker(listener, args.slots));
        }
        std::future::pending().await
    })
}

/// Runs the platform's stand-ins.
///
/// # Errors
/// Fails where an address or the list cannot be used.
pub fn platform(args: &PlatformArgs) -> Result<(), String> {
    let text = std::fs::read_to_string(&args.list).map_err(|error| error.to_string())?;
    let list: PutList = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let (Some(log), Some(vms)) = (args.log, args.vms) else {
        return Err("give --log and --vms".to_owned());
    };
    actix_rt::System::new().block_on(async {
        let log = TcpListener::bind(log).await.map_err(|error| error.to_string())?;
        let vms = TcpListener::bind(vms).await.map_err(|error| error.to_string())?;
        actix_rt::spawn(serve_log(log));
        serve_vms(vms, list.vms).await;
        Ok(())
    })
}

/// Serves a fleet's stand-ins on the local thread: log service, VM list and workers.
///
/// # Errors
/// Fails where an address cannot be used.
pub async fn serve_standins(fleet: &Fleet) -> Result<(), String> {
    let listen = async |addr| TcpListener::bind(addr).await.map_err(|error| error.to_string());
    actix_rt::spawn(serve_log(listen(fleet.log).await?));
    actix_rt::spawn(serve_vms(listen(fleet.vms).await?, fleet.vm_list()));
    for (addr, _) in &fleet.workers {
        actix_rt::spawn(serve_worker(listen(*addr).await?, fleet.slots as usize));
    }
    Ok(())
}
