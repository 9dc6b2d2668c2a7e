//! Runs a daemon from its settings to its end.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, UdpSocket};
use dispatch::engine::Event;
use httpedge::server::{Limits, ListenError, listen, serve};
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::Args;
use crate::config::{Config, load};
use crate::daemon::{Daemon, Sockets};
use crate::error::DaemonError;
use crate::logging;

const TICK: Duration = Duration::from_millis(20);
const BUSY_TICK: Duration = Duration::from_millis(3);
const OPERATORS_BODY_BYTES: usize = 16 << 20;
/// How long the process stays after its drain, so that last answers reach their callers.
const LAST_ANSWERS: Duration = Duration::from_millis(100);

/// Runs the daemon that the command line asks for.
///
/// # Errors
/// Fails where the settings are wrong or an address cannot be used.
pub fn run(args: &Args) -> Result<(), DaemonError> {
    let config = load(&args.settings)?;
    if args.check {
        println!("{}: the settings are good", args.settings);
        return Ok(());
    }
    logging::set_up(config.log_level, config.log_format)?;
    actix_rt::System::new().block_on(run_until_terminated(config))
}

async fn run_until_terminated(config: Config) -> Result<(), DaemonError> {
    let daemon = begin(config).await?;
    let mut terminated = signal(SignalKind::terminate()).ok();
    let mut interrupted = signal(SignalKind::interrupt()).ok();
    let first = async {
        match terminated.as_mut() {
            Some(signal) => signal.recv().await,
            None => std::future::pending().await,
        }
    };
    let second = async {
        match interrupted.as_mut() {
            Some(signal) => signal.recv().await,
            None => std::future::pending().await,
        }
    };
    futures_util::future::select(std::pin::pin!(first), std::pin::pin!(second)).await;
    daemon.drain().await;
    actix_rt::time::sleep(LAST_ANSWERS).await;
    Ok(())
}

/// Binds every address and begins to serve on the local thread.
///
/// # Errors
/// Fails where an address cannot be used.
pub async fn begin(config: Config) -> Result<Rc<Daemon>, DaemonError> {
    let callers = listen(config.callers, "callers").await?;
    let operators = listen(config.operators, "operators").await?;
    let peers = listen(config.peers, "peers").await?;
    let (addr, part) = (config.peers, "heartbeats");
    let beats = UdpSocket::bind(addr).await.map_err(|why| ListenError { addr, part, why })?;
    let daemon = Daemon::new(config, Sockets { beats })?;
    log::info!("daemon: {} serves callers on {}.", daemon.incarnation, daemon.config.callers);
    serve_all(&daemon, callers, operators, peers);
    actix_rt::spawn(Rc::clone(&daemon).follow_vms());
    actix_rt::spawn(Rc::clone(&daemon).follow_catalogue());
    actix_rt::spawn(Rc::clone(&daemon).send_beats());
    actix_rt::spawn(Rc::clone(&daemon).hear_beats());
    actix_rt::spawn(tick(Rc::clone(&daemon)));
    Ok(daemon)
}

fn serve_all(
    daemon: &Rc<Daemon>,
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
) {
    let shared = Rc::clone(daemon);
    let max_body_bytes = daemon.config.max_body_bytes;
    actix_rt::spawn(serve(callers, Limits::with_max_body(max_body_bytes), move |request| {
        Rc::clone(&shared).serve_caller(request)
    }));
    let shared = Rc::clone(daemon);
    actix_rt::spawn(serve(
        operators,
        Limits::with_max_body(OPERATORS_BODY_BYTES),
        move |request| Rc::clone(&shared).serve_operator(request),
    ));
    let shared = Rc::clone(daemon);
    let links = daemon.links.clone();
    let handler: ::peers::links::Handler<::peers::wire::DaemonProtocol> =
        Rc::new(move |from, ask| Box::pin(Rc::clone(&shared).serve_peer(from, ask)));
    actix_rt::spawn(links.serve(peers, handler));
}

async fn tick(daemon: Rc<Daemon>) {
    loop {
        let waiting = daemon.engine.borrow().load().1 > 0;
        actix_rt::time::sleep(if waiting { BUSY_TICK } else { TICK }).await;
        daemon.drive(Event::Tick);
    }
}
