//! Startup, serving and shutdown of the daemon.

use std::rc::Rc;
use std::time::Duration;

use ::peers::links::ContactObserver;
use actix_rt::net::TcpListener;
use httpedge::server::{Limits, Request, Response, listen, serve};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::callers::MAX_BODY_BYTES;
use crate::cli::Args;
use crate::error::EntryError;
use crate::logging;
use crate::protocol::EntryProtocol;
use crate::settings::{Settings, load};
use crate::state::Entry;

/// Delay between the end of the drain and the exit of the process, so that the last responses reach
/// their callers.
const EXIT_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
const MAX_INTERNAL_BODY_BYTES: usize = 1_024;

/// Runs the daemon until a signal stops it, or only checks the settings if `--check` is given.
///
/// # Errors
/// Fails if the settings are invalid, an address cannot be bound, or logging, metrics or signal
/// handlers cannot be set up.
pub fn run(args: &Args) -> Result<(), EntryError> {
    let file = args.settings.clone().unwrap_or_else(adapter::settings::settings_path);
    let settings = load(&file)?;
    if args.check {
        println!("{file}: the settings are good");
        return Ok(());
    }
    logging::init(settings.log_level, settings.log_lines_per_s)?;
    actix_rt::System::new().block_on(run_until_terminated(file, settings))
}

async fn run_until_terminated(file: String, settings: Settings) -> Result<(), EntryError> {
    let mut terminated = signal_stream(SignalKind::terminate())?;
    let mut interrupted = signal_stream(SignalKind::interrupt())?;
    let changed = signal_stream(SignalKind::hangup())?;
    let entry = start(settings).await?;
    actix_rt::spawn(reload(file, entry.settings.clone(), changed));
    let (first, second) = (std::pin::pin!(terminated.recv()), std::pin::pin!(interrupted.recv()));
    futures_util::future::select(first, second).await;
    entry.drain().await;
    actix_rt::time::sleep(EXIT_DELAY).await;
    log::info!("part=daemon event=stop");
    Ok(())
}

fn signal_stream(kind: SignalKind) -> Result<Signal, EntryError> {
    signal(kind).map_err(EntryError::Signals)
}

/// Binds all addresses and starts the tasks of the daemon on the current thread.
///
/// # Errors
/// Fails if an address cannot be bound or the metrics cannot be registered.
pub async fn start(settings: Settings) -> Result<Rc<Entry>, EntryError> {
    let callers = listen(settings.callers, "callers").await?;
    let ready = listen(settings.ready, "readiness").await?;
    let peers = listen(settings.peers, "other daemons").await?;
    let metrics = listen(settings.metrics, "metrics").await?;
    let entry = Entry::new(settings)?;
    log::info!(
        "part=daemon event=start name={} zone={} incarnation={} capacity={}",
        entry.settings.name,
        entry.settings.zone,
        entry.incarnation,
        entry.settings.capacity_millicores().unwrap_or_default(),
    );
    serve_callers(&entry, callers, ready);
    serve_peers_and_operators(&entry, peers, metrics);
    actix_rt::spawn(Rc::clone(&entry).watch_catalogue());
    actix_rt::spawn(Rc::clone(&entry).watch_workers());
    actix_rt::spawn(Rc::clone(&entry).maintain_membership());
    actix_rt::spawn(Rc::clone(&entry).watch_owners());
    actix_rt::spawn(Rc::clone(&entry).maintain_delegations());
    actix_rt::spawn(Rc::clone(&entry).measure_load());
    actix_rt::spawn(Rc::clone(&entry).drive_pools());
    Ok(entry)
}

fn serve_callers(entry: &Rc<Entry>, callers: TcpListener, ready: TcpListener) {
    let limits = Limits { max_body_bytes: MAX_BODY_BYTES, drop_on_disconnect: true };
    let shared = Rc::clone(entry);
    let handler = move |request| Rc::clone(&shared).handle_caller_request(request);
    actix_rt::spawn(serve(callers, limits, handler));
    let shared = Rc::clone(entry);
    let handler =
        move |request: Request| std::future::ready(shared.handle_readiness_check(&request));
    actix_rt::spawn(serve(ready, Limits::with_max_body(MAX_INTERNAL_BODY_BYTES), handler));
}

fn serve_peers_and_operators(entry: &Rc<Entry>, peers: TcpListener, metrics: TcpListener) {
    let shared = Rc::clone(entry);
    let handler: ::peers::links::Handler<EntryProtocol> = Rc::new(move |from, request| {
        Box::pin(Rc::clone(&shared).handle_peer_request(from, request))
    });
    let contacts: Rc<dyn ContactObserver> = Rc::<Entry>::clone(entry);
    actix_rt::spawn(entry.links.clone().serve(peers, handler, Some(contacts)));
    let shared = Rc::clone(entry);
    let handler = move |request: Request| std::future::ready(answer_operator(&shared, &request));
    actix_rt::spawn(serve(metrics, Limits::with_max_body(MAX_INTERNAL_BODY_BYTES), handler));
}

fn answer_operator(entry: &Entry, request: &Request) -> Response {
    match request.path.as_str() {
        "/metrics" => {
            entry.update_cell_gauges();
            Response::text(200, entry.metrics.render())
        }
        "/state" => Response::json(200, &entry.dump()),
        _ => Response::text(404, "ask for /metrics or /state\n"),
    }
}

/// Reloads the settings file periodically and on SIGHUP. A new log level takes effect at once; any
/// other change needs a restart, which is logged.
async fn reload(file: String, mut current: Settings, mut changed: Signal) {
    loop {
        let pause = actix_rt::time::sleep(SETTINGS_CHECK_INTERVAL);
        futures_util::future::select(std::pin::pin!(pause), std::pin::pin!(changed.recv())).await;
        let reloaded = match load(&file) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                log::warn!("part=daemon event=reload_refused why=\"{error}\"");
                continue;
            }
        };
        if reloaded == current {
            continue;
        }
        log::set_max_level(reloaded.log_level);
        let only_level_changed =
            Settings { log_level: current.log_level, ..reloaded.clone() } == current;
        log::info!("part=daemon event=reload needs_restart={}", !only_level_changed);
        current = reloaded;
    }
}
