//! Counters and gauges of one daemon, in the Prometheus text format.

use std::sync::Arc;

use dahlia_api::ErrorKind;
use dahlia_node::request::AttemptEnd;
use dahlia_node::{LoadSharingStatus, NodeStatus, Reachability};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds in seconds. The target is 1.4 s at the 95th percentile.
const FIRST_TEXT_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0];

/// All metrics of a daemon.
pub struct Metrics {
    registry: Registry,
    /// Requests of callers.
    pub requests: IntCounter,
    /// Attempts started at engines.
    pub attempts: IntCounter,
    /// Attempts taken over from a previous owner.
    pub resumed: IntCounter,
    /// Seconds from a call's arrival to its first text.
    pub first_text: Histogram,
    attempt_outcomes: IntCounterVec,
    errors: IntCounterVec,
    groups_led: IntGauge,
    live_daemons: IntGauge,
    live_engines: IntGauge,
    programs: IntGauge,
    running: IntGauge,
    waiting: IntGauge,
    generation: IntGauge,
    ready: IntGauge,
    groups_short: IntGauge,
    load_followers: IntGauge,
    load_view_age: Gauge,
    load_aggregators_passed_over: IntCounter,
    silent_zones: IntGauge,
    cut_off: IntGauge,
    dropped_log_lines: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a name is malformed or registered twice.
    pub fn new() -> Result<Arc<Self>, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let errors = IntCounterVec::new(
            Opts::new("dahlialadder_errors_total", "Error answers to callers, by name."),
            &["error"],
        )?;
        registry.register(Box::new(errors.clone()))?;
        let attempt_outcomes = IntCounterVec::new(
            Opts::new("dahlialadder_attempt_outcomes_total", "Attempts that ended, by outcome."),
            &["outcome"],
        )?;
        registry.register(Box::new(attempt_outcomes.clone()))?;
        let load_view_age = Gauge::new(
            "dahlialadder_load_view_age_seconds",
            "Age of what is known here of the loads that other daemons make.",
        )?;
        registry.register(Box::new(load_view_age.clone()))?;
        let first_text = Histogram::with_opts(
            HistogramOpts::new(
                "dahlialadder_first_text_seconds",
                "From a call's arrival to its first text.",
            )
            .buckets(FIRST_TEXT_BUCKETS.to_vec()),
        )?;
        registry.register(Box::new(first_text.clone()))?;
        let metrics = Self {
            requests: counter("dahlialadder_requests_total", "Requests of callers.")?,
            attempts: counter("dahlialadder_attempts_total", "Attempts started at engines.")?,
            resumed: counter(
                "dahlialadder_attempts_resumed_total",
                "Attempts taken over from an earlier owner.",
            )?,
            first_text,
            attempt_outcomes,
            errors,
            groups_led: gauge("dahlialadder_groups_led", "Groups whose programs are owned here.")?,
            live_daemons: gauge("dahlialadder_live_daemons", "Daemons heard of lately.")?,
            live_engines: gauge("dahlialadder_live_engines", "Engines heard of lately.")?,
            programs: gauge("dahlialadder_programs", "Programs in groups owned here.")?,
            running: gauge("dahlialadder_attempts_running", "Attempts that run for this owner.")?,
            generation: gauge(
                "dahlialadder_configuration_generation",
                "Generation of the configuration held.",
            )?,
            ready: gauge("dahlialadder_ready", "1 when the daemon takes calls.")?,
            groups_short: gauge(
                "dahlialadder_groups_short",
                "Groups owned here that lack a voter, or have one whose memory or disk is lost.",
            )?,
            load_followers: gauge(
                "dahlialadder_load_followers",
                "Daemons whose loads are added up here for others.",
            )?,
            load_aggregators_passed_over: counter(
                "dahlialadder_load_aggregators_passed_over_total",
                "Daemons that added up loads for this one and said nothing.",
            )?,
            load_view_age,
            silent_zones: gauge(
                "dahlialadder_silent_zones",
                "Zones of which nobody answers here.",
            )?,
            cut_off: gauge(
                "dahlialadder_cut_off",
                "1 while this daemon is cut off: most groups out of reach, half of the zones silent.",
            )?,
            dropped_log_lines: counter(
                "dahlialadder_dropped_log_lines_total",
                "Lines of logs dropped for want of room.",
            )?,
            waiting: gauge("dahlialadder_requests_waiting", "Requests without an answer yet.")?,
            registry,
        };
        Ok(Arc::new(metrics))
    }

    /// The registry, where other parts of the process add their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts an error answer.
    pub fn count_error(&self, kind: ErrorKind) {
        self.errors.with_label_values(&[kind.name()]).inc();
    }

    /// Counts an attempt that ended.
    pub fn count_outcome(&self, end: &AttemptEnd) {
        let outcome = match end {
            AttemptEnd::Ran { .. } => "ran",
            AttemptEnd::NotRun { .. } => "not_run",
            AttemptEnd::Cut { .. } => "cut",
            AttemptEnd::Unknown { .. } => "unknown",
        };
        self.attempt_outcomes.with_label_values(&[outcome]).inc();
    }

    /// Updates the gauges from the node's status.
    pub fn record_status(&self, status: &NodeStatus) {
        self.groups_led.set(status.groups_led as i64);
        self.live_daemons.set(status.live_daemons as i64);
        self.live_engines.set(status.live_engines as i64);
        self.programs.set(status.programs as i64);
        self.running.set(status.attempts as i64);
        self.waiting.set(status.requests as i64);
        self.generation.set(status.configuration_generation as i64);
        self.ready.set(i64::from(status.ready));
        self.groups_short.set(status.groups_short as i64);
        if let Some(sharing) = &status.load_sharing {
            self.record_load_sharing(sharing);
        }
        let dropped = crate::logging::dropped_lines();
        self.dropped_log_lines.inc_by(dropped.saturating_sub(self.dropped_log_lines.get()));
    }

    fn record_load_sharing(&self, sharing: &LoadSharingStatus) {
        self.load_followers.set(sharing.followers as i64);
        let passed_over = &self.load_aggregators_passed_over;
        passed_over.inc_by(sharing.passed_over.saturating_sub(passed_over.get()));
        if let Some(age) = sharing.view_age {
            self.load_view_age.set(age.as_secs_f64());
        }
    }

    /// Updates the gauges from the daemon's reachability.
    pub fn record_reachability(&self, reach: &Reachability) {
        self.silent_zones.set(reach.silent_zones.len() as i64);
        self.cut_off.set(i64::from(reach.cut_off.is_some()));
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a value cannot be written.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
