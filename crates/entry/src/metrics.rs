//! Counters and latency histograms.

use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

const LATENCY_S: &[f64] = &[0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.9, 1.2, 1.5, 2.0];

/// The daemon's metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Answered requests by route, status and reason.
    pub requests: IntCounterVec,
    /// Time from a request's arrival to its answer, by route, in seconds.
    pub latency_s: HistogramVec,
    /// Starts by reply.
    pub starts: IntCounterVec,
    /// Stops by reply.
    pub stops: IntCounterVec,
    /// Looks by reply.
    pub looks: IntCounterVec,
    /// Runs that looks showed as ended.
    pub ends: IntCounter,
    /// Calls to the store by call and result.
    pub store_calls: IntCounterVec,
    /// Jobs sent to other daemons, by result.
    pub forwarded: IntCounterVec,
    /// Cells taken over and given up, by cause.
    pub cells: IntCounterVec,
    /// The version of the catalogue in force.
    pub catalogue_version: IntGauge,
    /// Time that a call of the store took, in seconds.
    pub store_latency_s: Histogram,
    registry: Registry,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// Fails where a metric is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let latency = HistogramOpts::new("entry_request_seconds", "Arrival to answer.");
        let latency_s = HistogramVec::new(latency.buckets(LATENCY_S.to_vec()), &["route"])?;
        registry.register(Box::new(latency_s.clone()))?;
        let store = HistogramOpts::new("entry_store_seconds", "Time of a short store call.");
        let store_latency_s = Histogram::with_opts(store)?;
        registry.register(Box::new(store_latency_s.clone()))?;
        let ends = IntCounter::new("entry_ends_total", "Runs seen to end.")?;
        registry.register(Box::new(ends.clone()))?;
        let catalogue_version = IntGauge::new("entry_catalogue_version", "Version in force.")?;
        registry.register(Box::new(catalogue_version.clone()))?;
        Ok(Self {
            requests: counters(
                "entry_requests_total",
                "Answered requests.",
                &["route", "status", "why"],
            )?,
            latency_s,
            starts: counters("entry_starts_total", "Starts by reply.", &["reply"])?,
            stops: counters("entry_stops_total", "Stops by reply.", &["reply"])?,
            looks: counters("entry_looks_total", "Looks by reply.", &["reply"])?,
            ends,
            store_calls: counters("entry_store_calls_total", "Store calls.", &["call", "result"])?,
            forwarded: counters("entry_forwarded_total", "Jobs sent on.", &["result"])?,
            cells: counters("entry_cells_total", "Cells gained and lost.", &["change"])?,
            catalogue_version,
            store_latency_s,
            registry,
        })
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("part=metrics event=render_failed why=\"{error}\"");
        }
        let text = String::from_utf8_lossy(&text);
        let dropped = crate::logging::dropped();
        format!("{text}entry_log_lines_dropped_total {dropped}\n")
    }
}
