//! Runs a workload under several policies and seeds and puts the results side by side.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use dahlia_placement::PolicyKind;

use crate::driver::{RunOptions, run_once};
use crate::error::UnknownPolicySnafu;
use crate::metrics::RunResult;
use crate::report::{CompareReport, LoadPoint, PolicyReport};
use crate::workload::{Workload, generate};
use crate::{ExperimentError, oracle, plots};

/// The maximum number of concurrent runs.
const MAX_THREADS: usize = 4;

/// A policy that an experiment runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExperimentPolicy {
    /// A policy that the scheduler implements.
    Scheduled(PolicyKind),
    /// The lower bound, without queueing and with every prefix cached. It exists in experiments
    /// only.
    Oracle,
}

impl ExperimentPolicy {
    /// Returns every scheduler policy, followed by the lower bound.
    pub fn all() -> Vec<Self> {
        let scheduled = PolicyKind::ALL.into_iter().map(Self::Scheduled);
        scheduled.chain([Self::Oracle]).collect()
    }

    /// Returns the name used on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Scheduled(kind) => kind.name(),
            Self::Oracle => "oracle",
        }
    }

    /// Parses `all` or a list of names separated by commas.
    ///
    /// # Errors
    /// [`ExperimentError::UnknownPolicy`] with the names that are allowed.
    pub fn parse_list(text: &str) -> Result<Vec<Self>, ExperimentError> {
        let all = Self::all();
        if text == "all" {
            return Ok(all);
        }
        let names = text.split(',').map(str::trim);
        let find = |name: &str| {
            let found = all.iter().copied().find(|policy| policy.name() == name);
            let allowed: Vec<&str> = all.iter().map(|policy| policy.name()).collect();
            let allowed = allowed.join(", ");
            found.ok_or_else(|| UnknownPolicySnafu { name, allowed }.build())
        };
        names.map(find).collect()
    }
}

/// The options of a comparison.
#[derive(Debug, Clone, PartialEq)]
pub struct CompareOptions {
    /// The workload file.
    pub workload: PathBuf,
    /// The policies.
    pub policies: Vec<ExperimentPolicy>,
    /// The seeds; each is one run of each policy.
    pub seeds: Vec<u64>,
    /// Factor on the workload's arrival rate.
    pub load: f64,
    /// Further loads at which latency and goodput are plotted; may be empty.
    pub sweep: Vec<f64>,
    /// The number of seeds that each point of the sweep runs with.
    pub sweep_seeds: usize,
    /// Disables host memory for offloaded KV, to measure its benefit.
    pub without_host_memory: bool,
    /// The number of concurrent runs, at most four.
    pub threads: usize,
    /// Where to write the JSON report.
    pub report: Option<PathBuf>,
    /// The directory for SVG plots.
    pub plots: Option<PathBuf>,
}

impl CompareOptions {
    /// Selects all policies, seeds 101 to 120 and load 1, without a sweep or output files.
    pub fn new(workload: PathBuf) -> Self {
        Self {
            workload,
            policies: ExperimentPolicy::all(),
            seeds: (101..=120).collect(),
            load: 1.0,
            sweep: Vec::new(),
            sweep_seeds: 3,
            without_host_memory: false,
            threads: MAX_THREADS,
            report: None,
            plots: None,
        }
    }
}

/// One run of the comparison.
#[derive(Debug, Clone, Copy)]
struct Job {
    policy: ExperimentPolicy,
    load: f64,
    seed: u64,
}

/// Runs the comparison and writes the report and plots that the options request.
///
/// # Errors
/// [`ExperimentError`] when the workload cannot be read or a file cannot be written.
pub fn run(options: CompareOptions) -> Result<CompareReport, ExperimentError> {
    let mut workload = Workload::load(&options.workload)?;
    if options.without_host_memory {
        workload.deployment.host_tokens = 0;
    }
    let report = compare(&workload, &options);
    if let Some(path) = &options.report {
        report.write_json(path)?;
    }
    if let Some(directory) = &options.plots {
        plots::draw_all(&report, directory)?;
    }
    Ok(report)
}

/// Runs the comparison on a loaded workload and writes no files.
pub fn compare(workload: &Workload, options: &CompareOptions) -> CompareReport {
    let jobs = main_jobs(options);
    let results = run_jobs(workload, &jobs, options.threads);
    let mut report = CompareReport::new(&workload.name, options);
    for (policy, chunk) in options.policies.iter().zip(results.chunks(options.seeds.len().max(1))) {
        report.policies.insert(policy.name().to_owned(), PolicyReport::of(chunk));
    }
    let jobs = sweep_jobs(options);
    let results = run_jobs(workload, &jobs, options.threads);
    let seeds = options.sweep_seeds.clamp(1, options.seeds.len().max(1));
    for (job, chunk) in jobs.iter().step_by(seeds).zip(results.chunks(seeds)) {
        let point = LoadPoint::of(job.policy.name(), job.load, &PolicyReport::of(chunk));
        report.sweep.push(point);
    }
    report
}

fn main_jobs(options: &CompareOptions) -> Vec<Job> {
    let pairs = options.policies.iter().flat_map(|policy| {
        options.seeds.iter().map(|seed| Job { policy: *policy, load: options.load, seed: *seed })
    });
    pairs.collect()
}

fn sweep_jobs(options: &CompareOptions) -> Vec<Job> {
    let mut jobs = Vec::new();
    for policy in &options.policies {
        for load in &options.sweep {
            for seed in options.seeds.iter().take(options.sweep_seeds.max(1)) {
                jobs.push(Job { policy: *policy, load: *load, seed: *seed });
            }
        }
    }
    jobs
}

/// Runs the jobs on several threads and returns their results in the order of the jobs.
fn run_jobs(workload: &Workload, jobs: &[Job], threads: usize) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![None; jobs.len()]);
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(job) = jobs.get(index) else { return };
            let result = run_job(workload, *job);
            results.lock().expect("no holder panics")[index] = Some(result);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(work);
        }
    });
    let results = results.into_inner().expect("no holder panics");
    results.into_iter().flatten().collect()
}

fn run_job(workload: &Workload, job: Job) -> RunResult {
    match job.policy {
        ExperimentPolicy::Oracle => oracle::run(workload, &generate(workload, job.load, job.seed)),
        ExperimentPolicy::Scheduled(policy) => {
            run_once(workload, RunOptions { policy, load: job.load, seed: job.seed })
        }
    }
}
