//! Prometheus metrics of a daemon.
//!
//! The metrics reflect what callers experience: the ratio of the response time to the ideal time,
//! answers that are unknown or in doubt, resubmissions that were not run again, and refusals by
//! reason.

use dispatch::answer::Verdict;
use dispatch::report::{Counters, name_of};
use prometheus::{
    Encoder as _, Gauge, GaugeVec, HistogramOpts, HistogramVec, Opts, Registry, TextEncoder,
};

/// The metrics of a daemon and the registry that renders them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    response_over_ideal: HistogramVec,
    totals: GaugeVec,
    refusals: GaugeVec,
    answers: GaugeVec,
    queued: Gauge,
    free_slots: Gauge,
    catalogue_offset: Gauge,
    catalogue_age_ms: Gauge,
    in_doubt: Gauge,
}

/// Gauge values, read from the daemon at each scrape.
#[derive(Clone, Copy, Debug, Default)]
pub struct GaugeValues {
    /// Number of queued tasks.
    pub queued: u32,
    /// Number of slots that the daemon holds and that run no task.
    pub free_slots: u32,
    /// Number of tasks that are currently in doubt: they may have run, but their end is unknown.
    pub in_doubt: usize,
    /// Offset of the next catalogue record to apply; 0 while no catalogue is loaded.
    pub catalogue_offset: u64,
    /// Time since the catalogue's stream was last read, in milliseconds; `u64::MAX` if it was never
    /// read.
    pub catalogue_age_ms: u64,
}

impl Metrics {
    /// Creates the metrics and registers them in a new registry.
    ///
    /// # Errors
    /// Fails if a metric is invalid or two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let ratio = HistogramOpts::new(
            "clementine_response_over_ideal",
            "Time from acceptance to answer over the time of the job's longest task.",
        )
        .buckets(vec![1.02, 1.05, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0]);
        let response_over_ideal = HistogramVec::new(ratio, &["kind", "verdict"])?;
        let totals = labelled_gauge("clementine_total", "Counts since the start.", "what")?;
        let refusals =
            labelled_gauge("clementine_refusals", "Requests refused, by reason.", "reason")?;
        let answers =
            labelled_gauge("clementine_answers", "Answers given, by verdict.", "verdict")?;
        let queued = Gauge::new("clementine_queued_tasks", "Tasks that wait.")?;
        let free_slots = Gauge::new("clementine_free_slots", "Slots held and free.")?;
        let catalogue_offset = Gauge::new("clementine_catalogue_offset", "Next offset.")?;
        let catalogue_age_ms = Gauge::new("clementine_catalogue_age_ms", "Time since read.")?;
        let in_doubt = Gauge::new("clementine_tasks_in_doubt", "Tasks in doubt now.")?;
        registry.register(Box::new(response_over_ideal.clone()))?;
        for vector in [&totals, &refusals, &answers] {
            registry.register(Box::new(vector.clone()))?;
        }
        for gauge in [&queued, &free_slots, &catalogue_offset, &catalogue_age_ms, &in_doubt] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(Self {
            registry,
            response_over_ideal,
            totals,
            refusals,
            answers,
            queued,
            free_slots,
            catalogue_offset,
            catalogue_age_ms,
            in_doubt,
        })
    }

    /// Records the response time of an ended job relative to its ideal time, the duration of its
    /// longest task.
    pub fn record_job_end(&self, kind: &str, verdict: Verdict, response_ms: u64, ideal_ms: u64) {
        let ratio = response_ms as f64 / ideal_ms.max(1) as f64;
        let name = name_of(&verdict);
        self.response_over_ideal.with_label_values(&[kind, name.as_str()]).observe(ratio);
    }

    /// Renders all metrics in the Prometheus text format. `extra_totals` contains totals that the
    /// engine does not count, by name.
    pub fn render(
        &self,
        counters: &Counters,
        extra_totals: &[(&str, u64)],
        gauges: GaugeValues,
    ) -> String {
        let totals = [
            ("accepted", counters.accepted),
            ("starts", counters.starts),
            ("tasks_ended", counters.ended),
            ("refused_starts", counters.refused_starts),
            ("retries", counters.retries),
            ("starts_in_doubt", counters.in_doubt),
            ("late_replies", counters.late_replies),
            ("duplicates_stopped", counters.duplicates_stopped),
            ("workers_set_aside", counters.set_aside),
            ("slot_asks", counters.slot_asks),
            ("idle_grants", counters.idle_grants),
            ("fair_grants", counters.fair_grants),
            ("slot_returns", counters.returns),
            ("slots_given", counters.slots_given),
            ("slots_received", counters.slots_received),
            ("slots_claimed", counters.slots_claimed),
        ];
        for (name, value) in totals.iter().chain(extra_totals) {
            self.totals.with_label_values(&[*name]).set(*value as f64);
        }
        for (reason, count) in &counters.refusals {
            self.refusals.with_label_values(&[reason.as_str()]).set(*count as f64);
        }
        for (verdict, count) in &counters.answers {
            self.answers.with_label_values(&[verdict.as_str()]).set(*count as f64);
        }
        self.queued.set(f64::from(gauges.queued));
        self.free_slots.set(f64::from(gauges.free_slots));
        self.catalogue_offset.set(gauges.catalogue_offset as f64);
        self.catalogue_age_ms.set(gauges.catalogue_age_ms as f64);
        self.in_doubt.set(gauges.in_doubt as f64);
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}

fn labelled_gauge(name: &str, help: &str, label: &str) -> Result<GaugeVec, prometheus::Error> {
    GaugeVec::new(Opts::new(name, help), &[label])
}
