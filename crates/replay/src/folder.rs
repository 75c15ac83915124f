//! Replays every trace of a folder and reports.

use std::fs;
use std::path::{Path, PathBuf};

use gumdrop::Options;
use serde::Serialize;
use snafu::{ResultExt, ensure};

use crate::checker::{Figures, Violation};
use crate::error::{EmptySnafu, EncodeSnafu, FileSnafu, TraceSnafu};
use crate::run::run;
use crate::shrink::shrink;
use crate::switches::Switches;
use crate::trace::{self, Trace};
use crate::{Promise, ReplayError};

/// End of trace files' names.
const EXTENSION: &str = "trace";
/// The driver that this crate is.
const DRIVER: &str = "virtual-time";

/// Options of `rehearse replay`.
#[derive(Debug, Clone, Default, Options)]
pub struct ReplayOptions {
    /// Print the options.
    #[options(help = "print this help")]
    pub help: bool,
    /// A trace, or a folder of traces.
    #[options(free, help = "a trace or a folder of traces")]
    pub path: Option<PathBuf>,
    /// Seeds of each trace.
    #[options(no_short, help = "run each trace with so many seeds", meta = "N")]
    pub seeds: Option<u64>,
    /// Where the report goes.
    #[options(no_short, help = "write a report in JSON", meta = "FILE")]
    pub report: Option<PathBuf>,
}

/// What came of one trace over its seeds.
#[derive(Debug, Clone, Serialize)]
pub struct TraceReport {
    /// Its name.
    pub name: String,
    /// The promise that it is for.
    pub promise: Promise,
    /// Faults in it.
    pub faults: Vec<String>,
    /// First seed.
    pub first_seed: u64,
    /// Seeds run.
    pub seeds: u64,
    /// The driver.
    pub driver: &'static str,
    /// The seed that failed first, if one did.
    pub failed_seed: Option<u64>,
    /// What was broken with that seed.
    pub violations: Vec<Violation>,
    /// The shortest schedule that still fails, as a trace.
    pub shortest: Option<String>,
    /// What the runs measured.
    pub figures: Figures,
}

/// What came of all traces.
#[derive(Debug, Clone, Serialize)]
pub struct ReplaySummary {
    /// One report for each trace.
    pub traces: Vec<TraceReport>,
}

impl ReplaySummary {
    /// Whether every promise held in every run.
    pub fn holds(&self) -> bool {
        self.traces.iter().all(|trace| trace.failed_seed.is_none())
    }

    /// The figures of all runs together.
    pub fn figures(&self) -> Figures {
        let mut all = Figures::default();
        self.traces.iter().for_each(|trace| all.add(&trace.figures));
        all
    }
}

impl TraceReport {
    /// One line: promise, trace, faults, seeds, driver, verdict, and what broke.
    pub fn line(&self) -> String {
        let faults = if self.faults.is_empty() { "none".to_owned() } else { self.faults.join("+") };
        let Self { promise, name, first_seed, seeds, driver, .. } = self;
        let verdict = match self.failed_seed {
            None => "held".to_owned(),
            Some(seed) => {
                let broken = self.violations.first();
                let what = broken.map_or_else(String::new, |broken| {
                    format!("{}: {}", broken.promise, broken.what)
                });
                format!("BROKEN with seed {seed}: {what}")
            }
        };
        format!(
            "{promise} {name} faults={faults} seeds={first_seed}..{} driver={driver} {verdict}",
            first_seed + seeds
        )
    }
}

/// Replays a trace or every trace of a folder, and prints one line for each.
///
/// # Errors
/// [`ReplayError`] when a file cannot be read or written, or is malformed. A broken promise is
/// no error: see [`ReplaySummary::holds`].
pub fn run_folder(options: &ReplayOptions) -> Result<ReplaySummary, ReplayError> {
    let path = options.path.clone().unwrap_or_else(|| PathBuf::from("traces/promises"));
    let mut traces = Vec::new();
    for file in trace_files(&path)? {
        let report = replay_file(&file, options.seeds)?;
        println!("{}", report.line());
        if let (Some(seed), Some(shortest)) = (report.failed_seed, &report.shortest) {
            println!("the shortest schedule found that still fails with seed {seed}:\n{shortest}");
            println!("repeat it with: rehearse replay FILE, with these lines in FILE");
        }
        traces.push(report);
    }
    let summary = ReplaySummary { traces };
    if let Some(report) = &options.report {
        let text = serde_json::to_string_pretty(&summary).context(EncodeSnafu)?;
        let step = "writing";
        fs::write(report, text).context(FileSnafu { step, path: report })?;
    }
    Ok(summary)
}

fn trace_files(path: &Path) -> Result<Vec<PathBuf>, ReplayError> {
    let step = "reading";
    if path.is_file() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).context(FileSnafu { step, path })? {
        let file = entry.context(FileSnafu { step, path })?.path();
        if file.extension().is_some_and(|extension| extension == EXTENSION) {
            files.push(file);
        }
    }
    ensure!(!files.is_empty(), EmptySnafu { path });
    files.sort();
    Ok(files)
}

fn replay_file(file: &Path, seeds: Option<u64>) -> Result<TraceReport, ReplayError> {
    let text = fs::read_to_string(file).context(FileSnafu { step: "reading", path: file })?;
    let parsed = trace::parse(&text).context(TraceSnafu { path: file })?;
    Ok(replay(&parsed, seeds.unwrap_or(parsed.seeds)))
}

/// Runs a trace with `seeds` seeds, up to the first that fails.
fn replay(parsed: &Trace, seeds: u64) -> TraceReport {
    let switches = Switches::all_on();
    let mut report = TraceReport {
        name: parsed.name.clone(),
        promise: parsed.promise,
        faults: parsed.fault_names().into_iter().map(str::to_owned).collect(),
        first_seed: parsed.seed,
        seeds,
        driver: DRIVER,
        failed_seed: None,
        violations: Vec::new(),
        shortest: None,
        figures: Figures::default(),
    };
    for seed in parsed.seed..parsed.seed + seeds {
        let judgement = run(parsed, seed, &switches).judgement;
        report.figures.add(&judgement.figures);
        if let Some(first) = judgement.violations.first() {
            let shortest = shrink(parsed, seed, first, &switches);
            report.shortest = Some(trace::write(&shortest));
            report.failed_seed = Some(seed);
            report.violations = judgement.violations;
            break;
        }
    }
    report
}
