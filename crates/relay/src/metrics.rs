//! Metrics of the relay for Prometheus. Labels are names of services and kinds of decisions, so the
//! operators' configuration bounds their number.

use std::collections::BTreeMap;

use dahlia_backends::{AttemptEnd, ChoiceReason, ColdStats, Distance, ServiceName};
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
};
use tokio::time::Duration;

use crate::CounterReadings;
use crate::crash_evidence::CrashEvidence;
use crate::end_confirmation::EndEvidence;
use crate::received_answer::Framing;
use crate::repeats::{RepeatCause, WithheldReason};

/// Upper bounds of histogram buckets in seconds, from a lookup of a few milliseconds to a long
/// stream.
const BUCKET_BOUNDS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// Metrics of one relay.
#[derive(Debug)]
pub(crate) struct RelayMetrics {
    events: IntCounterVec,
    gauges: IntGaugeVec,
    choices: IntCounterVec,
    sends: IntCounterVec,
    sent_bytes: IntCounterVec,
    attempt_failures: IntCounterVec,
    first_sends: IntCounterVec,
    repeats: IntCounterVec,
    withheld_repeats: IntCounterVec,
    excluded_runs: IntCounterVec,
    ended_servers: IntCounterVec,
    refusals: IntCounterVec,
    whole_answers: IntCounterVec,
    checked_ends: IntCounterVec,
    end_check_seconds: HistogramVec,
    head_seconds: HistogramVec,
    whole_seconds: HistogramVec,
    turn_seconds: Histogram,
    expected_seconds: HistogramVec,
    taken_seconds: HistogramVec,
    waiting: IntGaugeVec,
    wait_seconds: Histogram,
    list_age_seconds: Histogram,
}

impl RelayMetrics {
    /// Creates the metrics.
    ///
    /// # Panics
    /// Never: names and labels are constants that the tests register.
    pub(crate) fn new() -> Self {
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label]).expect("constant names are valid")
        };
        let by_service = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &["service", label])
                .expect("constant names are valid")
        };
        let histograms = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_SECONDS.to_vec());
            HistogramVec::new(options, &["service"]).expect("constant names are valid")
        };
        let turns = HistogramOpts::new(
            "dahlialadder_relay_turn_open_seconds",
            "From a request's arrival until the ledger opened its turn.",
        );
        let waits = HistogramOpts::new(
            "dahlialadder_relay_wait_seconds",
            "How long requests waited at the gateway for a server.",
        );
        let list_ages = HistogramOpts::new(
            "dahlialadder_relay_list_age_seconds",
            "How long ago the list of servers was complete when a server was chosen.",
        );
        let waiting =
            Opts::new("dahlialadder_relay_waiting", "Requests that wait for a server now.");
        let gauges = Opts::new("dahlialadder_relay_now", "What is open at this moment.");
        Self {
            events: counters("dahlialadder_relay_events_total", "Events by kind.", "event"),
            gauges: IntGaugeVec::new(gauges, &["what"]).expect("constant names are valid"),
            choices: counters(
                "dahlialadder_relay_choices_total",
                "Servers chosen, by what decided.",
                "way",
            ),
            sends: counters(
                "dahlialadder_relay_sends_total",
                "Servers chosen, by how far away they are.",
                "reach",
            ),
            sent_bytes: counters(
                "dahlialadder_relay_sent_bytes_total",
                "Bytes of bodies for chosen servers, by how far away they are.",
                "reach",
            ),
            attempt_failures: counters(
                "dahlialadder_relay_attempt_failures_total",
                "Sends that brought no answer, by their end.",
                "end",
            ),
            first_sends: counters(
                "dahlialadder_relay_first_sends_total",
                "Requests that were sent to a server, by service.",
                "service",
            ),
            repeats: by_service(
                "dahlialadder_relay_repeats_total",
                "Further sends of requests, by what came of the send before.",
                "cause",
            ),
            withheld_repeats: by_service(
                "dahlialadder_relay_withheld_repeats_total",
                "Requests with a lost answer that were not sent again.",
                "reason",
            ),
            excluded_runs: counters(
                "dahlialadder_relay_excluded_runs_total",
                "Servers that may have run a request and are certainly lost, by service.",
                "service",
            ),
            ended_servers: by_service(
                "dahlialadder_relay_ended_servers_total",
                "Servers that ended or may have ended while they had a request, by what shows it.",
                "evidence",
            ),
            refusals: counters(
                "dahlialadder_relay_refusals_total",
                "Requests that the relay ended itself, by cause.",
                "cause",
            ),
            whole_answers: by_service(
                "dahlialadder_relay_whole_answers_total",
                "Answers of servers that were complete, by how they told where they end.",
                "framing",
            ),
            checked_ends: by_service(
                "dahlialadder_relay_checked_ends_total",
                "Answers that ended with their connection, by what showed whether their server lived past that.",
                "evidence",
            ),
            end_check_seconds: histograms(
                "dahlialadder_relay_end_check_seconds",
                "From the end of such an answer until its server was checked.",
            ),
            head_seconds: histograms(
                "dahlialadder_relay_head_seconds",
                "From a request's arrival until its answer begins.",
            ),
            whole_seconds: histograms(
                "dahlialadder_relay_whole_seconds",
                "From a request's arrival until its answer ended whole.",
            ),
            turn_seconds: Histogram::with_opts(turns.buckets(BUCKET_BOUNDS_SECONDS.to_vec()))
                .expect("constant names are valid"),
            expected_seconds: histograms(
                "dahlialadder_relay_expected_turn_seconds",
                "What turns at model servers were expected to take, of those that ended whole.",
            ),
            taken_seconds: histograms(
                "dahlialadder_relay_taken_turn_seconds",
                "What the same turns took, from the choice of their servers on.",
            ),
            waiting: IntGaugeVec::new(waiting, &["rank"]).expect("constant names are valid"),
            wait_seconds: Histogram::with_opts(waits.buckets(BUCKET_BOUNDS_SECONDS.to_vec()))
                .expect("constant names are valid"),
            list_age_seconds: Histogram::with_opts(
                list_ages.buckets(BUCKET_BOUNDS_SECONDS.to_vec()),
            )
            .expect("constant names are valid"),
        }
    }

    /// Registers the metrics.
    ///
    /// # Errors
    /// One of the names is registered already.
    pub(crate) fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn Collector>; 23] = [
            Box::new(self.events.clone()),
            Box::new(self.gauges.clone()),
            Box::new(self.choices.clone()),
            Box::new(self.sends.clone()),
            Box::new(self.sent_bytes.clone()),
            Box::new(self.attempt_failures.clone()),
            Box::new(self.first_sends.clone()),
            Box::new(self.repeats.clone()),
            Box::new(self.withheld_repeats.clone()),
            Box::new(self.excluded_runs.clone()),
            Box::new(self.ended_servers.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.whole_answers.clone()),
            Box::new(self.checked_ends.clone()),
            Box::new(self.end_check_seconds.clone()),
            Box::new(self.head_seconds.clone()),
            Box::new(self.whole_seconds.clone()),
            Box::new(self.turn_seconds.clone()),
            Box::new(self.expected_seconds.clone()),
            Box::new(self.taken_seconds.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.wait_seconds.clone()),
            Box::new(self.list_age_seconds.clone()),
        ];
        collectors.into_iter().try_for_each(|collector| registry.register(collector))
    }

    /// Updates the metrics from the relay's counters, before each reading.
    pub(crate) fn refresh(&self, readings: &CounterReadings) {
        let events = [
            ("connection", readings.connections),
            ("request", readings.requests),
            ("answered", readings.answered),
            ("refused", readings.refused),
            ("rejected", readings.rejected),
            ("failed", readings.failed),
            ("timed_out", readings.timed_out),
            ("broken_off", readings.broken_off),
            ("attempt", readings.attempts),
            ("connection_to_server", readings.connections_to_servers),
            ("resumed", readings.resumed),
            ("connection_displaced", readings.displaced),
        ];
        for (event, count) in events {
            let counter = self.events.with_label_values(&[event]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        let gauges = [
            ("connections", readings.open_connections),
            ("requests", readings.in_progress),
            ("unsettled_turns", readings.unsettled_turns),
            ("evacuated_zones", readings.evacuated_zones),
            ("requests_in_evacuated_zones", readings.in_evacuated_zones),
            ("held_bytes", readings.held_bytes),
            ("connection_buffer_bytes", readings.connection_buffer_bytes),
            ("connection_bytes", readings.connection_bytes),
            ("waiting", readings.waiting),
        ];
        for (state, count) in gauges {
            self.gauges.with_label_values(&[state]).set(count as i64);
        }
    }

    /// Updates the metrics of cold servers, before each reading.
    pub(crate) fn refresh_cold(&self, readings: ColdStats) {
        self.gauges.with_label_values(&["cold_servers"]).set(readings.cold as i64);
        let turned_away = self.events.with_label_values(&["turned_from_cold_server"]);
        turned_away.inc_by(readings.turned_away.saturating_sub(turned_away.get()));
    }

    /// Updates the number of waiting requests by rank, before each reading.
    pub(crate) fn refresh_waiting(&self, by_rank: &BTreeMap<u32, usize>) {
        self.waiting.reset();
        for (rank, count) in by_rank {
            self.waiting.with_label_values(&[&rank.to_string()]).set(*count as i64);
        }
    }

    pub(crate) fn observe_wait(&self, time: Duration) {
        self.wait_seconds.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_list_age(&self, age: Option<dahlia_types::Duration>) {
        if let Some(age) = age {
            self.list_age_seconds.observe(age.as_secs_f64());
        }
    }

    pub(crate) fn count_choice(&self, reason: ChoiceReason, distance: Distance, bytes: usize) {
        self.choices.with_label_values(&[reason.name()]).inc();
        self.sends.with_label_values(&[distance.name()]).inc();
        self.sent_bytes.with_label_values(&[distance.name()]).inc_by(bytes as u64);
    }

    pub(crate) fn count_failed_attempt(&self, end: AttemptEnd) {
        self.attempt_failures.with_label_values(&[end.name()]).inc();
    }

    pub(crate) fn count_first_send(&self, service: &ServiceName) {
        self.first_sends.with_label_values(&[service.0.as_str()]).inc();
    }

    pub(crate) fn count_repeat(&self, service: &ServiceName, cause: RepeatCause) {
        self.repeats.with_label_values(&[service.0.as_str(), cause.name()]).inc();
    }

    pub(crate) fn count_withheld_repeat(&self, service: &ServiceName, reason: WithheldReason) {
        self.withheld_repeats.with_label_values(&[service.0.as_str(), reason.name()]).inc();
    }

    pub(crate) fn count_excluded_run(&self, service: &ServiceName) {
        self.excluded_runs.with_label_values(&[service.0.as_str()]).inc();
    }

    /// Counts a server that ended, or may have ended, while it had a request.
    pub(crate) fn count_ended_server(&self, service: &ServiceName, evidence: CrashEvidence) {
        self.ended_servers.with_label_values(&[service.0.as_str(), evidence.name()]).inc();
    }

    pub(crate) fn count_refusal(&self, cause: &str) {
        self.refusals.with_label_values(&[cause]).inc();
    }

    pub(crate) fn count_whole_answer(&self, service: &ServiceName, framing: Framing) {
        self.whole_answers.with_label_values(&[service.0.as_str(), framing.name()]).inc();
    }

    /// Counts an answer that ended with its connection and whose server was checked for this long.
    pub(crate) fn count_checked_end(
        &self,
        service: &ServiceName,
        evidence: EndEvidence,
        time: Duration,
    ) {
        self.checked_ends.with_label_values(&[service.0.as_str(), evidence.name()]).inc();
        self.end_check_seconds.with_label_values(&[&service.0]).observe(time.as_secs_f64());
    }

    pub(crate) fn observe_answer_begin(&self, service: &ServiceName, elapsed: Duration) {
        self.head_seconds.with_label_values(&[&service.0]).observe(elapsed.as_secs_f64());
    }

    pub(crate) fn observe_answer_end(&self, service: &ServiceName, elapsed: Duration) {
        self.whole_seconds.with_label_values(&[&service.0]).observe(elapsed.as_secs_f64());
    }

    pub(crate) fn observe_turn(
        &self,
        service: &ServiceName,
        expected: dahlia_types::Duration,
        taken: dahlia_types::Duration,
    ) {
        let labels = [service.0.as_str()];
        self.expected_seconds.with_label_values(&labels).observe(expected.as_secs_f64());
        self.taken_seconds.with_label_values(&labels).observe(taken.as_secs_f64());
    }

    pub(crate) fn observe_turn_open(&self, elapsed: Duration) {
        self.turn_seconds.observe(elapsed.as_secs_f64());
    }
}
