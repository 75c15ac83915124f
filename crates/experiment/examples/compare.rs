//! Prints a comparison, for tuning: `compare WORKLOAD POLICIES FIRST_SEED COUNT LOAD [LOADS,...]`.

use std::path::PathBuf;

use dahlia_experiment::{CompareOptions, ExperimentError, ExperimentPolicy, compare};

fn main() -> Result<(), ExperimentError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |place: usize, default: &str| {
        arguments.get(place).cloned().unwrap_or_else(|| default.to_owned())
    };
    let path = argument(0, "traces/workloads/bayou-roof.toml");
    let mut options = CompareOptions::new(PathBuf::from(path));
    options.policies = ExperimentPolicy::parse_list(&argument(1, "all"))?;
    let first: u64 = argument(2, "1").parse().unwrap_or(1);
    let count: u64 = argument(3, "3").parse().unwrap_or(3);
    options.seeds = (first..first + count).collect();
    options.load = argument(4, "1").parse().unwrap_or(1.0);
    let loads = argument(5, "");
    options.sweep = loads.split(',').filter_map(|load| load.parse().ok()).collect();
    print!("{}", compare::run(options)?.table());
    Ok(())
}
