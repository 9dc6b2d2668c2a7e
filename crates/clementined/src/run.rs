//! Startup, event loop and shutdown of a daemon.

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

/// Interval between ticks of the engine while no task is queued.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between ticks of the engine while tasks are queued.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(3);
const MAX_OPERATOR_BODY_BYTES: usize = 16 << 20;
/// Time between the end of the drain and the exit of the process, in which the last answers are
/// sent to their callers.
const EXIT_DELAY: Duration = Duration::from_millis(100);

/// Runs the daemon until SIGTERM or SIGINT, or only validates its settings with `--check`.
///
/// # Errors
/// Fails if the settings are invalid, logging or metrics cannot be initialised, or an address
/// cannot be bound.
pub fn run(args: &Args) -> Result<(), DaemonError> {
    let config = load(&args.settings)?;
    if args.check {
        println!("{}: the settings are valid", args.settings);
        return Ok(());
    }
    logging::init(config.log_level, config.log_format)?;
    actix_rt::System::new().block_on(run_until_terminated(config))
}

async fn run_until_terminated(config: Config) -> Result<(), DaemonError> {
    let daemon = start(config).await?;
    let mut sigterm_stream = signal(SignalKind::terminate()).ok();
    let mut sigint_stream = signal(SignalKind::interrupt()).ok();
    let sigterm = async {
        match sigterm_stream.as_mut() {
            Some(signal) => signal.recv().await,
            None => std::future::pending().await,
        }
    };
    let sigint = async {
        match sigint_stream.as_mut() {
            Some(signal) => signal.recv().await,
            None => std::future::pending().await,
        }
    };
    futures_util::future::select(std::pin::pin!(sigterm), std::pin::pin!(sigint)).await;
    daemon.drain().await;
    actix_rt::time::sleep(EXIT_DELAY).await;
    Ok(())
}

/// Binds every listen address and spawns the tasks of the daemon on the current thread.
///
/// # Errors
/// Fails if an address cannot be bound or the metrics cannot be registered.
pub async fn start(config: Config) -> Result<Rc<Daemon>, DaemonError> {
    let callers = listen(config.callers, "callers").await?;
    let operators = listen(config.operators, "operators").await?;
    let peers = listen(config.peers, "peers").await?;
    let (addr, part) = (config.peers, "heartbeats");
    let heartbeats = UdpSocket::bind(addr).await.map_err(|why| ListenError { addr, part, why })?;
    let daemon = Daemon::new(config, Sockets { heartbeats })?;
    log::info!(
        "daemon: incarnation {} listening for callers on {}",
        daemon.incarnation,
        daemon.config.callers
    );
    serve_all(&daemon, callers, operators, peers);
    actix_rt::spawn(Rc::clone(&daemon).poll_vm_list());
    actix_rt::spawn(Rc::clone(&daemon).follow_catalogue());
    actix_rt::spawn(Rc::clone(&daemon).send_heartbeats());
    actix_rt::spawn(Rc::clone(&daemon).receive_heartbeats());
    actix_rt::spawn(run_ticks(Rc::clone(&daemon)));
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
        Limits::with_max_body(MAX_OPERATOR_BODY_BYTES),
        move |request| Rc::clone(&shared).serve_operator(request),
    ));
    let shared = Rc::clone(daemon);
    let links = daemon.links.clone();
    let handler: ::peers::links::Handler<::peers::wire::DaemonProtocol> =
        Rc::new(move |from, request| {
            Box::pin(Rc::clone(&shared).serve_peer(from.incarnation, request))
        });
    actix_rt::spawn(links.serve(peers, handler, None));
}

async fn run_ticks(daemon: Rc<Daemon>) {
    loop {
        let has_queued_tasks = daemon.engine.borrow().load().1 > 0;
        actix_rt::time::sleep(if has_queued_tasks {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        })
        .await;
        daemon.process_event(Event::Tick);
    }
}
