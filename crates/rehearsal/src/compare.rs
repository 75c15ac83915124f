//! `rehearse compare`: placement policies and baselines side by side in virtual time.

use std::path::PathBuf;

use dahlia_experiment::{CompareOptions, ExperimentError, ExperimentPolicy, compare};
use gumdrop::Options;

/// First seed of reported runs; smaller seeds are for tuning.
const FIRST_SEED: u64 = 101;

/// Flags of `rehearse compare`.
#[derive(Debug, Options)]
pub struct CompareFlags {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Workload.
    #[options(
        help = "the workload, e.g. traces/workloads/bayou-roof.toml",
        meta = "FILE",
        required
    )]
    pub workload: PathBuf,
    /// Policies.
    #[options(
        no_short,
        help = "policies separated by commas: round-robin, least-loaded, sticky-fcfs, \
                program-aware, oracle, or all",
        default = "all"
    )]
    pub policies: String,
    /// Seeds.
    #[options(no_short, help = "number of seeds, each one run of each policy", default = "20")]
    pub seeds: u64,
    /// Load.
    #[options(no_short, help = "factor on the workload's arrival rate", default = "1.0")]
    pub load: f64,
    /// Sweep.
    #[options(no_short, help = "further loads, separated by commas, for the plots over load")]
    pub sweep: String,
    /// Report.
    #[options(no_short, help = "write the figures as JSON", meta = "FILE")]
    pub report: Option<PathBuf>,
    /// Plots.
    #[options(no_short, help = "write SVG plots to this folder", meta = "FOLDER")]
    pub plots: Option<PathBuf>,
}

/// Runs the comparison and prints its table.
///
/// # Errors
/// [`ExperimentError`] when a flag, the workload or an output file is wrong.
pub fn run(flags: CompareFlags) -> Result<(), ExperimentError> {
    let mut options = CompareOptions::new(flags.workload);
    options.policies = ExperimentPolicy::parse_list(&flags.policies)?;
    options.seeds = (FIRST_SEED..FIRST_SEED + flags.seeds.max(1)).collect();
    options.load = flags.load;
    options.sweep = flags.sweep.split(',').filter_map(|load| load.trim().parse().ok()).collect();
    options.report = flags.report;
    options.plots = flags.plots;
    print!("{}", compare::run(options)?.table());
    Ok(())
}
