//! Measurements of a run.

use dahlia_engine_model::{CacheSpan, SpanKind};
use dahlia_types::{Duration, Timestamp};

use crate::workload::Workload;

/// The number of time bins for wasted cache.
pub(crate) const TIME_BIN_COUNT: usize = 60;

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Every call was answered.
    Completed,
    /// The caller or a tool never returned and the program expired.
    Abandoned,
    /// Its first call was refused and the caller gave up.
    Refused,
    /// A later call was refused or failed for good.
    Failed,
    /// It had not ended when the run did.
    Unfinished,
}

/// A program that ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ProgramRecord {
    pub arrives: Timestamp,
    /// The time from the first call's issue to the last answer.
    pub latency: Duration,
    /// The part of the latency spent in tool pauses, along the chains that determined it.
    pub paused: Duration,
    pub ended: Timestamp,
    pub outcome: Outcome,
}

/// A call that was answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CallRecord {
    /// The time from the call's issue to its first token.
    pub first_token: Duration,
    pub prompt: u64,
    pub cached: u64,
}

/// Token-seconds of held cache.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct CacheUsage {
    pub held: f64,
    pub wasted: f64,
}

/// Everything measured in one run. Equal for equal workload, policy and seed.
#[derive(Debug, Clone, PartialEq)]
pub struct RunResult {
    warm_up: Timestamp,
    arrivals_end: Timestamp,
    completed_in_time: u64,
    pub(crate) programs: Vec<ProgramRecord>,
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) cache: CacheUsage,
    pub(crate) cache_over_time: Vec<CacheUsage>,
    /// Calls issued by callers, over the whole run.
    pub issued: u64,
    /// Calls answered, over the whole run.
    pub answered: u64,
    /// Calls that callers gave up after refusals, over the whole run.
    pub given_up: u64,
    /// Calls that were unanswered when their program ended, over the whole run.
    pub interrupted: u64,
    /// Refusals sent, over the whole run.
    pub refusals: u64,
    /// The longest time from a call's arrival at its scheduler to its refusal.
    pub longest_refusal: Duration,
    /// The longest a call waited for its first token.
    pub longest_wait: Duration,
    /// Attempts dispatched, over the whole run.
    pub dispatched: u64,
    /// Copies of KV between engines.
    pub fetches: u64,
    /// Pauses during which KV went to a host's memory.
    pub offloads: u64,
    /// The maximum number of tokens in one host's memory at any time.
    pub host_peak_tokens: u64,
    /// Attempts that engines preempted.
    pub preemptions: u64,
    /// Programs that had ended while an engine still held something for them, at the end.
    pub still_held: u64,
    /// Engines examined, over all decisions.
    pub engines_examined: u64,
    /// Decisions that searched for an engine.
    pub decisions: u64,
}

impl RunResult {
    pub(crate) fn new(workload: &Workload) -> Self {
        let timestamp = |seconds| Timestamp::ZERO + Duration::from_secs_f64(seconds);
        Self {
            warm_up: timestamp(workload.run.warm_up_seconds),
            arrivals_end: timestamp(workload.run.seconds),
            completed_in_time: 0,
            programs: Vec::new(),
            calls: Vec::new(),
            cache: CacheUsage::default(),
            cache_over_time: vec![CacheUsage::default(); TIME_BIN_COUNT],
            issued: 0,
            answered: 0,
            given_up: 0,
            interrupted: 0,
            refusals: 0,
            longest_refusal: Duration::ZERO,
            longest_wait: Duration::ZERO,
            dispatched: 0,
            fetches: 0,
            offloads: 0,
            host_peak_tokens: 0,
            preemptions: 0,
            still_held: 0,
            engines_examined: 0,
            decisions: 0,
        }
    }

    /// Counts the measured programs with an outcome.
    pub fn count_programs(&self, outcome: Outcome) -> u64 {
        self.programs.iter().filter(|program| program.outcome == outcome).count() as u64
    }

    /// Returns the programs completed a second between the warm-up and the last arrival, whenever
    /// they began.
    pub fn goodput(&self) -> f64 {
        self.completed_in_time as f64 / self.arrivals_end.since(self.warm_up).as_secs_f64()
    }

    /// Returns whether a program or call that starts at this time is measured.
    pub(crate) fn is_measured(&self, at: Timestamp) -> bool {
        at >= self.warm_up
    }

    pub(crate) fn add_program(&mut self, record: ProgramRecord) {
        let in_time = record.ended >= self.warm_up && record.ended <= self.arrivals_end;
        let completed = record.outcome == Outcome::Completed;
        self.completed_in_time += u64::from(in_time && completed);
        if self.is_measured(record.arrives) {
            self.programs.push(record);
        }
    }

    /// Adds the part of a cache span that lies between the warm-up and the last arrival.
    pub(crate) fn add_span(&mut self, span: CacheSpan) {
        let (first, last) = (self.warm_up.0, self.arrivals_end.0);
        let from = span.from.0.clamp(first, last);
        let to = span.to.0.clamp(first, last);
        let wasted = span.kind == SpanKind::Wasted;
        self.cache.add(span.tokens.0, to - from, wasted);
        let bin_length = (last - first).div_ceil(TIME_BIN_COUNT as u64).max(1);
        let mut start = from;
        while start < to {
            let bin = ((start - first) / bin_length).min(TIME_BIN_COUNT as u64 - 1);
            let end = to.min(first + (bin + 1) * bin_length);
            self.cache_over_time[bin as usize].add(span.tokens.0, end - start, wasted);
            start = end;
        }
    }

    /// Returns the fraction of held token-seconds that were wasted.
    pub fn wasted_fraction(&self) -> f64 {
        self.cache.wasted_fraction()
    }

    /// Returns the fraction of prompt tokens that were found in a cache.
    pub fn prefix_hit_fraction(&self) -> f64 {
        let prompt: u64 = self.calls.iter().map(|call| call.prompt).sum();
        let cached: u64 = self.calls.iter().map(|call| call.cached).sum();
        if prompt == 0 { 0.0 } else { cached as f64 / prompt as f64 }
    }

    /// Returns the latencies of completed programs in milliseconds, tool pauses included.
    pub fn latencies_ms(&self) -> Vec<f64> {
        self.completed().map(|program| to_millis(program.latency)).collect()
    }

    /// Returns the latencies of completed programs in milliseconds, without tool pauses.
    pub fn latencies_without_pauses_ms(&self) -> Vec<f64> {
        let completed = self.completed();
        completed.map(|program| to_millis(program.latency) - to_millis(program.paused)).collect()
    }

    /// Returns the times to the first token in milliseconds.
    pub fn times_to_first_token_ms(&self) -> Vec<f64> {
        self.calls.iter().map(|call| to_millis(call.first_token)).collect()
    }

    fn completed(&self) -> impl Iterator<Item = &ProgramRecord> {
        self.programs.iter().filter(|program| program.outcome == Outcome::Completed)
    }
}

impl CacheUsage {
    fn add(&mut self, tokens: u64, micros: u64, wasted: bool) {
        let token_seconds = tokens as f64 * micros as f64 / 1e6;
        self.held += token_seconds;
        if wasted {
            self.wasted += token_seconds;
        }
    }

    pub(crate) fn wasted_fraction(&self) -> f64 {
        if self.held <= 0.0 { 0.0 } else { self.wasted / self.held }
    }
}

fn to_millis(length: Duration) -> f64 {
    length.as_micros() as f64 / 1000.0
}
