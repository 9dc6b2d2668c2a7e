//! Metrics for `prometheus`.
//!
//! They show what callers experience: response over ideal, answers that are unknown or
//! in doubt, duplicates stopped, and refusals by reason.

use dispatch::answer::Verdict;
use dispatch::report::{Counters, name_of};
use prometheus::{
    Encoder as _, Gauge, GaugeVec, HistogramOpts, HistogramVec, Opts, Registry, TextEncoder,
};

/// A daemon's metrics.
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

/// Values that are read at each scrape.
#[derive(Clone, Copy, Debug, Default)]
pub struct Levels {
    /// Tasks that wait.
    pub queued: u32,
    /// Free slots.
    pub free_slots: u32,
    /// Tasks in doubt now.
    pub in_doubt: usize,
    /// The catalogue's next offset.
    pub catalogue_offset: u64,
    /// The time since the catalogue's stream was last read.
    pub catalogue_age_ms: u64,
}

impl Metrics {
    /// Builds the metrics.
    ///
    /// # Errors
    /// Fails where two metrics have one name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let ratio = HistogramOpts::new(
            "clementine_response_over_ideal",
            "Time from acceptance to answer over the time of the job's longest task.",
        )
        .buckets(vec![1.02, 1.05, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0]);
        let response_over_ideal = HistogramVec::new(ratio, &["kind", "verdict"])?;
        let totals = labelled("clementine_total", "Counts since the start.", "what")?;
        let refusals = labelled("clementine_refusals", "Requests refused, by reason.", "reason")?;
        let answers = labelled("clementine_answers", "Answers given, by verdict.", "verdict")?;
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

    /// Notes the end of a job.
    pub fn job_ended(&self, kind: &str, verdict: Verdict, response_ms: u64, ideal_ms: u64) {
        let ratio = response_ms as f64 / ideal_ms.max(1) as f64;
        let name = name_of(&verdict);
        self.response_over_ideal.with_label_values(&[kind, name.as_str()]).observe(ratio);
    }

    /// Renders everything as text.
    pub fn render(&self, counters: &Counters, more: &[(&str, u64)], levels: Levels) -> String {
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
        for (name, value) in totals.iter().chain(more) {
            self.totals.with_label_values(&[*name]).set(*value as f64);
        }
        for (reason, count) in &counters.refusals {
            self.refusals.with_label_values(&[reason.as_str()]).set(*count as f64);
        }
        for (verdict, count) in &counters.answers {
            self.answers.with_label_values(&[verdict.as_str()]).set(*count as f64);
        }
        self.queued.set(f64::from(levels.queued));
        self.free_slots.set(f64::from(levels.free_slots));
        self.catalogue_offset.set(levels.catalogue_offset as f64);
        self.catalogue_age_ms.set(levels.catalogue_age_ms as f64);
        self.in_doubt.set(levels.in_doubt as f64);
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}

fn labelled(name: &str, help: &str, label: &str) -> Result<GaugeVec, prometheus::Error> {
    GaugeVec::new(Opts::new(name, help), &[label])
}
