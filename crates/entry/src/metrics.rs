//! Prometheus metrics of the daemon.

use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

const LATENCY_BUCKETS_S: &[f64] = &[0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.9, 1.2, 1.5, 2.0];

/// Metrics of the daemon and the registry that renders them.
#[derive(Debug)]
pub struct Metrics {
    /// Answered requests by route, HTTP status and reason.
    pub requests: IntCounterVec,
    /// Time from the arrival of a request to its response, by route, in seconds.
    pub latency_s: HistogramVec,
    /// Start calls to workers, by reply.
    pub starts: IntCounterVec,
    /// Stop calls to workers, by reply.
    pub stops: IntCounterVec,
    /// Polls of workers, by reply.
    pub polls: IntCounterVec,
    /// Ended runs that workers reported in replies to polls.
    pub ended_runs: IntCounter,
    /// Workers that were lost with active runs, by cause, and those that replied again.
    pub worker_losses: IntCounterVec,
    /// Runs that were active on lost workers, by cause.
    pub lost_runs: IntCounterVec,
    /// Processes that took the place of a worker's known one, by the evidence for them.
    pub worker_processes: IntCounterVec,
    /// Active runs that their worker's owner did not know, from a previous owner or not.
    pub orphaned_runs: IntCounter,
    /// Runs that ended without a result, by what showed it.
    pub interruptions: IntCounterVec,
    /// Times that starts or renewals were withheld for lack of contact with the submitters of jobs.
    pub contact_losses: IntCounter,
    /// Tasks that were found to crash workers, and routes that were confined for such tasks.
    pub convictions: IntCounterVec,
    /// Waiting jobs that were displaced, by route and reason: an arriving job, or a queue that could
    /// not be served in time.
    pub displaced_jobs: IntCounterVec,
    /// Calls to the store, by call and result.
    pub store_calls: IntCounterVec,
    /// Jobs forwarded to other daemons, by result.
    pub forwarded: IntCounterVec,
    /// Offers of jobs to owners of cells, this daemon included, by the basis of the choice.
    pub offers: IntCounterVec,
    /// Requests for jobs that were in progress, by the role of the daemon that knew of them.
    pub joined: IntCounterVec,
    /// Requests to withdraw a queued job, by result.
    pub moves: IntCounterVec,
    /// Notices that a cell has room again, by what became of them.
    pub free_notices: IntCounterVec,
    /// Cells acquired and lost, by kind of change.
    pub cells: IntCounterVec,
    /// Workers that straggling runs in succession have shown to be slow.
    pub slow_workers: IntCounter,
    /// Speeds of workers that were taken over from the previous owner of their cell.
    pub transferred_speeds: IntCounter,
    /// Workers of the owned cells that are still slow after their start.
    pub cold_workers: IntGauge,
    /// Owned cells to which load returns gradually.
    pub ramping_cells: IntGauge,
    /// Offers, transfers and returns of cells between their holders and other daemons, by result.
    pub delegations: IntCounterVec,
    /// 1 while this daemon has more work than it can carry, by its own measure.
    pub saturated: IntGauge,
    /// Version of the catalogue in force.
    pub catalogue_version: IntGauge,
    /// Whether each zone is evacuated: 1 if it is, 0 if not.
    pub zone_evacuated: IntGaugeVec,
    /// Duration of a short call to the store, in seconds.
    pub store_latency_s: Histogram,
    registry: Registry,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let latency = HistogramOpts::new("entry_request_seconds", "Arrival to answer.");
        let latency_s = HistogramVec::new(latency.buckets(LATENCY_BUCKETS_S.to_vec()), &["route"])?;
        registry.register(Box::new(latency_s.clone()))?;
        let store = HistogramOpts::new("entry_store_seconds", "Time of a short store call.");
        let store_latency_s = Histogram::with_opts(store)?;
        registry.register(Box::new(store_latency_s.clone()))?;
        let ended_runs = IntCounter::new("entry_ends_total", "Runs seen to end.")?;
        registry.register(Box::new(ended_runs.clone()))?;
        let zone_evacuated =
            IntGaugeVec::new(Opts::new("entry_zone_evacuated", "1 if evacuated."), &["zone"])?;
        registry.register(Box::new(zone_evacuated.clone()))?;
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let catalogue_version = gauge("entry_catalogue_version", "Version in force.")?;
        let saturated = gauge("entry_saturated", "More work than the VM can carry.")?;
        let orphaned_runs = IntCounter::new("entry_orphans_total", "Runs that no owner knew.")?;
        registry.register(Box::new(orphaned_runs.clone()))?;
        let contact_losses =
            IntCounter::new("entry_contact_losses_total", "Pauses for lack of contact.")?;
        registry.register(Box::new(contact_losses.clone()))?;
        let slow_workers = IntCounter::new("entry_slow_workers_total", "Workers found slow.")?;
        registry.register(Box::new(slow_workers.clone()))?;
        let transferred_speeds =
            IntCounter::new("entry_speeds_taken_over_total", "Speeds from previous owners.")?;
        registry.register(Box::new(transferred_speeds.clone()))?;
        Ok(Self {
            requests: counters(
                "entry_requests_total",
                "Answered requests.",
                &["route", "status", "why"],
            )?,
            latency_s,
            starts: counters("entry_starts_total", "Starts by reply.", &["reply"])?,
            stops: counters("entry_stops_total", "Stops by reply.", &["reply"])?,
            polls: counters("entry_looks_total", "Looks by reply.", &["reply"])?,
            ended_runs,
            worker_losses: counters("entry_workers_lost_total", "Lost workers.", &["cause"])?,
            lost_runs: counters("entry_runs_lost_total", "Runs on lost workers.", &["cause"])?,
            worker_processes: counters(
                "entry_worker_processes_total",
                "New processes of workers.",
                &["evidence"],
            )?,
            orphaned_runs,
            interruptions: counters(
                "entry_interruptions_total",
                "Runs that ended without a result.",
                &["evidence"],
            )?,
            contact_losses,
            slow_workers,
            transferred_speeds,
            convictions: counters("entry_convictions_total", "Crash convictions.", &["of"])?,
            displaced_jobs: counters(
                "entry_displaced_total",
                "Displaced waiting jobs.",
                &["route", "why"],
            )?,
            store_calls: counters("entry_store_calls_total", "Store calls.", &["call", "result"])?,
            forwarded: counters("entry_forwarded_total", "Jobs sent on.", &["result"])?,
            offers: counters("entry_offers_total", "Offers of jobs to cells.", &["basis"])?,
            joined: counters("entry_joined_total", "Requests for jobs in progress.", &["by"])?,
            moves: counters("entry_moves_total", "Moves of queued jobs.", &["result"])?,
            free_notices: counters(
                "entry_free_notices_total",
                "Notices of free capacity.",
                &["result"],
            )?,
            cells: counters("entry_cells_total", "Cells gained and lost.", &["change"])?,
            cold_workers: gauge("entry_cold_workers", "Workers slow after their start.")?,
            ramping_cells: gauge("entry_ramping_cells", "Cells that load returns to.")?,
            delegations: counters(
                "entry_delegations_total",
                "Delegations of cells by result.",
                &["result"],
            )?,
            saturated,
            catalogue_version,
            zone_evacuated,
            store_latency_s,
            registry,
        })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("part=metrics event=render_failed why=\"{error}\"");
        }
        let text = String::from_utf8_lossy(&text);
        let dropped = crate::logging::dropped_lines();
        format!("{text}entry_log_lines_dropped_total {dropped}\n")
    }
}
