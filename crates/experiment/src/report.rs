//! Results of a comparison with their spread over seeds, as JSON and as a table.

mod table;

use std::collections::BTreeMap;
use std::path::Path;

use serde::Serialize;
use snafu::ResultExt;

use crate::ExperimentError;
use crate::compare::CompareOptions;
use crate::error::{EncodeReportSnafu, WriteFileSnafu};
use crate::metrics::{Outcome, RunResult, TIME_BIN_COUNT};

/// The number of intervals in a distribution curve.
const CURVE_POINT_COUNT: usize = 200;

/// Quantiles and mean of a quantity, in its unit.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
#[allow(missing_docs)]
pub struct Quantiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    pub mean: f64,
}

impl Quantiles {
    /// Computes exact quantiles by nearest rank. Returns zeros if there are no values.
    fn of(mut values: Vec<f64>) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        values.sort_by(f64::total_cmp);
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let (p50, p95, p99) =
            (nearest_rank(&values, 0.5), nearest_rank(&values, 0.95), nearest_rank(&values, 0.99));
        Self { p50, p95, p99, mean }
    }
}

/// The variation of a figure between seeds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
#[allow(missing_docs)]
pub struct Spread {
    pub min: f64,
    pub median: f64,
    pub max: f64,
    pub standard_deviation: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        values.sort_by(f64::total_cmp);
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / count;
        Self {
            min: values[0],
            median: nearest_rank(&values, 0.5),
            max: values[values.len() - 1],
            standard_deviation: variance.sqrt(),
        }
    }
}

/// The spread over seeds of the main figures.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
#[allow(missing_docs)]
pub struct Spreads {
    pub program_latency_p95_ms: Spread,
    pub program_latency_mean_ms: Spread,
    pub without_pauses_p95_ms: Spread,
    pub wasted_cache_fraction: Spread,
    pub prefix_hit_fraction: Spread,
    pub goodput_per_second: Spread,
}

/// Results of one policy over all seeds. Quantiles are over the programs of all seeds together.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// The time from the first call to the last answer of completed programs, with tool pauses.
    pub program_latency_ms: Quantiles,
    /// The same without tool pauses.
    pub program_latency_without_pauses_ms: Quantiles,
    /// Share of held KV token-seconds that were never used again.
    pub wasted_cache_fraction: f64,
    /// Share of prompt tokens found in a cache.
    pub prefix_hit_fraction: f64,
    /// The time from a call's issue to its first token.
    pub time_to_first_token_ms: Quantiles,
    /// Programs completed.
    pub completed: u64,
    /// Programs whose first call was refused for good.
    pub refused: u64,
    /// Programs that failed, were refused at a later call, or had not ended when the run did.
    pub failed: u64,
    /// Programs whose caller or tool never returned.
    pub abandoned: u64,
    /// The failed programs that had not ended when the run did.
    pub unfinished: u64,
    /// The longest wait of any call for its first token.
    pub longest_wait_ms: f64,
    /// Refusals sent.
    pub refusals: u64,
    /// The longest time from a call's arrival at its scheduler to its refusal.
    pub longest_refusal_ms: f64,
    /// Programs completed a second while programs arrived.
    pub goodput_per_second: f64,
    /// Attempts dispatched for each call answered.
    pub attempts_per_answer: f64,
    /// Copies of KV between engines.
    pub fetches: u64,
    /// Pauses during which KV went to a host's memory.
    pub offloads: u64,
    /// The maximum number of tokens in one host's memory at any time.
    pub host_peak_tokens: u64,
    /// Attempts that engines preempted.
    pub preemptions: u64,
    /// Programs that had ended while an engine still held something for them at the end.
    pub still_held: u64,
    /// Engines examined per decision.
    pub engines_per_decision: f64,
    /// The variation of the main figures between seeds.
    pub spread: Spreads,
    /// Latency in milliseconds at evenly spaced quantiles, for the plot.
    #[serde(skip)]
    pub(crate) latency_curve: Vec<f64>,
    /// Wasted fraction in evenly spaced intervals of the run, for the plot.
    #[serde(skip)]
    pub(crate) wasted_course: Vec<f64>,
}

impl PolicyReport {
    /// Aggregates the runs of all seeds.
    pub(crate) fn of(runs: &[RunResult]) -> Self {
        let pooled = |values: fn(&RunResult) -> Vec<f64>| -> Vec<f64> {
            runs.iter().flat_map(values).collect()
        };
        let total = |value: fn(&RunResult) -> u64| -> u64 { runs.iter().map(value).sum() };
        let mean = |value: fn(&RunResult) -> f64| -> f64 {
            runs.iter().map(value).sum::<f64>() / runs.len().max(1) as f64
        };
        let longest = |value: fn(&RunResult) -> u64| -> f64 {
            runs.iter().map(value).max().unwrap_or(0) as f64 / 1000.0
        };
        let held: f64 = runs.iter().map(|run| run.cache.held).sum();
        let wasted: f64 = runs.iter().map(|run| run.cache.wasted).sum();
        let prompt = runs.iter().flat_map(|run| &run.calls).map(|call| call.prompt).sum();
        let cached = runs.iter().flat_map(|run| &run.calls).map(|call| call.cached).sum();
        let unfinished = total(|run| run.count_programs(Outcome::Unfinished));
        Self {
            program_latency_ms: Quantiles::of(pooled(RunResult::latencies_ms)),
            program_latency_without_pauses_ms: Quantiles::of(pooled(
                RunResult::latencies_without_pauses_ms,
            )),
            wasted_cache_fraction: ratio(wasted, held),
            prefix_hit_fraction: fraction(cached, prompt),
            time_to_first_token_ms: Quantiles::of(pooled(RunResult::times_to_first_token_ms)),
            completed: total(|run| run.count_programs(Outcome::Completed)),
            refused: total(|run| run.count_programs(Outcome::Refused)),
            failed: total(|run| run.count_programs(Outcome::Failed)) + unfinished,
            abandoned: total(|run| run.count_programs(Outcome::Abandoned)),
            unfinished,
            longest_wait_ms: longest(|run| run.longest_wait.as_micros()),
            refusals: total(|run| run.refusals),
            longest_refusal_ms: longest(|run| run.longest_refusal.as_micros()),
            goodput_per_second: mean(RunResult::goodput),
            attempts_per_answer: fraction(total(|run| run.dispatched), total(|run| run.answered)),
            fetches: total(|run| run.fetches),
            offloads: total(|run| run.offloads),
            host_peak_tokens: runs.iter().map(|run| run.host_peak_tokens).max().unwrap_or(0),
            preemptions: total(|run| run.preemptions),
            still_held: total(|run| run.still_held),
            engines_per_decision: fraction(
                total(|run| run.engines_examined),
                total(|run| run.decisions),
            ),
            spread: spreads(runs),
            latency_curve: quantile_curve(pooled(RunResult::latencies_ms)),
            wasted_course: wasted_fraction_over_time(runs),
        }
    }
}

/// Figures of one policy at one load.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct LoadPoint {
    pub policy: String,
    pub load: f64,
    pub program_latency_p95_ms: f64,
    pub program_latency_mean_ms: f64,
    pub without_pauses_p95_ms: f64,
    pub without_pauses_mean_ms: f64,
    pub time_to_first_token_p95_ms: f64,
    pub goodput_per_second: f64,
    pub wasted_cache_fraction: f64,
    pub prefix_hit_fraction: f64,
    pub completed: u64,
    pub refused: u64,
    pub failed: u64,
    pub longest_wait_ms: f64,
}

impl LoadPoint {
    pub(crate) fn of(policy: &str, load: f64, report: &PolicyReport) -> Self {
        Self {
            policy: policy.to_owned(),
            load,
            program_latency_p95_ms: report.program_latency_ms.p95,
            program_latency_mean_ms: report.program_latency_ms.mean,
            without_pauses_p95_ms: report.program_latency_without_pauses_ms.p95,
            without_pauses_mean_ms: report.program_latency_without_pauses_ms.mean,
            time_to_first_token_p95_ms: report.time_to_first_token_ms.p95,
            goodput_per_second: report.goodput_per_second,
            wasted_cache_fraction: report.wasted_cache_fraction,
            prefix_hit_fraction: report.prefix_hit_fraction,
            completed: report.completed,
            refused: report.refused,
            failed: report.failed,
            longest_wait_ms: report.longest_wait_ms,
        }
    }
}

/// A whole comparison.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CompareReport {
    /// The workload's name.
    pub workload: String,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Factor on the workload's arrival rate.
    pub load: f64,
    /// Results by policy name.
    pub policies: BTreeMap<String, PolicyReport>,
    /// Results at further loads.
    pub sweep: Vec<LoadPoint>,
}

impl CompareReport {
    pub(crate) fn new(workload: &str, options: &CompareOptions) -> Self {
        Self {
            workload: workload.to_owned(),
            seeds: options.seeds.clone(),
            load: options.load,
            policies: BTreeMap::new(),
            sweep: Vec::new(),
        }
    }

    /// Formats the report as a text table.
    pub fn table(&self) -> String {
        table::render(self)
    }

    /// Encodes the report as JSON.
    ///
    /// # Errors
    /// [`ExperimentError::EncodeReport`] if encoding fails, which does not happen for finite
    /// figures.
    pub fn json(&self) -> Result<String, ExperimentError> {
        serde_json::to_string_pretty(self).context(EncodeReportSnafu)
    }

    /// Writes the report as JSON.
    ///
    /// # Errors
    /// [`ExperimentError::WriteFile`] naming the file.
    pub fn write_json(&self, path: &Path) -> Result<(), ExperimentError> {
        std::fs::write(path, self.json()?).context(WriteFileSnafu { path })
    }
}

fn spreads(runs: &[RunResult]) -> Spreads {
    let spread = |value: fn(&RunResult) -> f64| Spread::of(runs.iter().map(value).collect());
    Spreads {
        program_latency_p95_ms: spread(|run| Quantiles::of(run.latencies_ms()).p95),
        program_latency_mean_ms: spread(|run| Quantiles::of(run.latencies_ms()).mean),
        without_pauses_p95_ms: spread(|run| Quantiles::of(run.latencies_without_pauses_ms()).p95),
        wasted_cache_fraction: spread(RunResult::wasted_fraction),
        prefix_hit_fraction: spread(RunResult::prefix_hit_fraction),
        goodput_per_second: spread(RunResult::goodput),
    }
}

fn quantile_curve(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    if values.is_empty() {
        return values;
    }
    let points = (0..=CURVE_POINT_COUNT)
        .map(|point| nearest_rank(&values, point as f64 / CURVE_POINT_COUNT as f64));
    points.collect()
}

fn wasted_fraction_over_time(runs: &[RunResult]) -> Vec<f64> {
    let bins = (0..TIME_BIN_COUNT).map(|bin| {
        let held: f64 = runs.iter().map(|run| run.cache_over_time[bin].held).sum();
        let wasted: f64 = runs.iter().map(|run| run.cache_over_time[bin].wasted).sum();
        ratio(wasted, held)
    });
    bins.collect()
}

/// Returns the value at a quantile of sorted values, by nearest rank.
fn nearest_rank(sorted: &[f64], quantile: f64) -> f64 {
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn fraction(part: u64, whole: u64) -> f64 {
    ratio(part as f64, whole as f64)
}
