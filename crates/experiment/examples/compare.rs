//! Prints a comparison, for tuning and measuring:
//!
//! `compare WORKLOAD POLICIES FIRST_SEED COUNT LOAD LOADS [DIRECTORY] [no-host]`
//!
//! `LOADS` is a comma-separated list for the sweep or `-`. The report and plots are written to
//! `DIRECTORY` if it is given.

use std::path::PathBuf;

use dahlia_experiment::{CompareOptions, ExperimentError, ExperimentPolicy, compare};

fn main() {
    if let Err(error) = run() {
        eprintln!("{error}");
        std::process::exit(1);
    }
}

fn run() -> Result<(), ExperimentError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |index: usize, default: &str| {
        arguments.get(index).cloned().unwrap_or_else(|| default.to_owned())
    };
    let path = argument(0, "traces/workloads/bayou-roof.toml");
    let mut options = CompareOptions::new(PathBuf::from(path));
    options.policies = ExperimentPolicy::parse_list(&argument(1, "all"))?;
    let first: u64 = argument(2, "1").parse().unwrap_or(1);
    let count: u64 = argument(3, "3").parse().unwrap_or(3);
    options.seeds = (first..first + count).collect();
    options.load = argument(4, "1").parse().unwrap_or(1.0);
    options.sweep = argument(5, "-").split(',').filter_map(|load| load.parse().ok()).collect();
    options.without_host_memory = arguments.iter().any(|argument| argument == "no-host");
    if let Some(directory) = arguments.get(6).filter(|argument| *argument != "no-host") {
        let directory = PathBuf::from(directory);
        options.report = Some(directory.join("report.json"));
        options.plots = Some(directory);
    }
    let report = compare::run(options)?;
    print!("{}", report.table());
    Ok(())
}
