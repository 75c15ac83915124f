//! Tests runs in virtual time: determinism, conservation of calls, cache release, immediate refusal
//! and the absence of starvation.

use dahlia_experiment::workload::{Distribution, Workload};
use dahlia_experiment::{
    CompareOptions, ExperimentPolicy, Outcome, RunOptions, RunResult, compare, run_once,
};
use dahlia_placement::PolicyKind;
use dahlia_types::{Duration, Tokens};

const SEEDS: std::ops::Range<u64> = 1..4;

fn workload_path(name: &str) -> std::path::PathBuf {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces/workloads");
    root.join(format!("{name}.toml"))
}

/// Loads a workload and reduces it to a minute of arrivals on three engines.
fn short_workload(name: &str) -> Workload {
    let mut workload = Workload::load(&workload_path(name)).expect("the workload is valid");
    workload.run.seconds = 60.0;
    workload.run.warm_up_seconds = 0.0;
    workload.run.drain_seconds = 4000.0;
    workload.deployment.engines = 3;
    workload.deployment.schedulers = 3;
    workload.run.programs_per_second /= 3.0;
    workload.run.phases.clear();
    workload.program.idle_expiry_seconds = 120.0;
    workload.engine.kv_capacity = Tokens(400_000);
    for tool in &mut workload.tools {
        tool.pause_seconds = Distribution::Exponential { mean: 4.0, max: 60.0 };
    }
    for (index, fault) in workload.faults.iter_mut().enumerate() {
        fault.at_seconds = 20.0 + 15.0 * index as f64;
        fault.engine = index % 2;
    }
    workload
}

fn run(workload: &Workload, policy: PolicyKind, load: f64, seed: u64) -> RunResult {
    run_once(workload, RunOptions { policy, load, seed })
}

#[test]
fn runs_with_equal_seeds_are_equal() {
    let workload = short_workload("mixed-loop");
    for policy in PolicyKind::ALL {
        let one = run(&workload, policy, 1.5, 5);
        assert_eq!(one, run(&workload, policy, 1.5, 5), "{policy:?}");
        assert_ne!(one, run(&workload, policy, 1.5, 6), "{policy:?}");
    }
}

#[test]
fn every_program_ends_and_every_call_ends_once() {
    for name in ["bayou-roof", "solano-deadline", "mixed-loop"] {
        let workload = short_workload(name);
        for policy in PolicyKind::ALL {
            for seed in SEEDS {
                let result = run(&workload, policy, 2.0, seed);
                let case = format!("{name}, {policy:?}, seed {seed}");
                assert_eq!(result.count_programs(Outcome::Unfinished), 0, "{case}");
                assert!(result.count_programs(Outcome::Completed) > 10, "{case}");
                let ended = result.answered + result.given_up;
                assert_eq!(ended + result.interrupted, result.issued, "{case}");
            }
        }
    }
}

#[test]
fn engines_release_all_ended_programs() {
    for name in ["bayou-roof", "solano-deadline", "mixed-loop"] {
        let workload = short_workload(name);
        for policy in PolicyKind::ALL {
            for seed in SEEDS {
                let result = run(&workload, policy, 1.0, seed);
                assert_eq!(result.still_held, 0, "{name}, {policy:?}, seed {seed}");
            }
        }
    }
}

#[test]
fn overload_refuses_immediately_and_bounds_waits() {
    let workload = short_workload("bayou-roof");
    for seed in SEEDS {
        let result = run(&workload, PolicyKind::ProgramAware, 12.0, seed);
        assert!(result.refusals > 0, "seed {seed}: the load is past saturation");
        assert_eq!(result.longest_refusal, Duration::ZERO, "seed {seed}");
        let bound = Duration::from_secs(120);
        assert!(result.longest_wait < bound, "seed {seed}: {:?}", result.longest_wait);
    }
}

#[test]
fn oracle_latency_is_below_every_policy() {
    let workload = short_workload("bayou-roof");
    let mut options = CompareOptions::new(workload_path("bayou-roof"));
    options.policies = ExperimentPolicy::all();
    options.seeds = SEEDS.collect();
    options.sweep = vec![0.5];
    options.sweep_seeds = 1;
    let report = compare::compare(&workload, &options);
    let oracle = report.policies["oracle"].program_latency_without_pauses_ms;
    for (name, policy) in &report.policies {
        let latency = policy.program_latency_without_pauses_ms;
        assert!(latency.mean >= oracle.mean, "{name}: {} below {}", latency.mean, oracle.mean);
    }
    assert_eq!(report.sweep.len(), report.policies.len());
}

#[test]
fn program_aware_beats_baselines_under_overload() {
    let workload = short_workload("bayou-roof");
    let mean = |policy| {
        let runs = SEEDS.map(|seed| run(&workload, policy, 4.0, seed));
        let values: Vec<f64> =
            runs.flat_map(|result| result.latencies_without_pauses_ms()).collect();
        values.iter().sum::<f64>() / values.len() as f64
    };
    let program_aware = mean(PolicyKind::ProgramAware);
    for policy in [PolicyKind::RoundRobin, PolicyKind::LeastLoaded, PolicyKind::StickyFcfs] {
        assert!(program_aware < mean(policy), "{policy:?}");
    }
}

#[test]
fn json_report_has_documented_fields() {
    let workload = short_workload("bayou-roof");
    let mut options = CompareOptions::new(workload_path("bayou-roof"));
    options.policies = ExperimentPolicy::parse_list("sticky-fcfs").expect("the name is known");
    options.seeds = vec![1];
    let json = compare::compare(&workload, &options).json().expect("figures are finite");
    let value: serde_json::Value = serde_json::from_str(&json).expect("it is JSON");
    let policy = &value["policies"]["sticky-fcfs"];
    for quantile in ["p50", "p95", "p99", "mean"] {
        assert!(policy["program_latency_ms"][quantile].is_f64(), "{quantile}");
    }
    for field in ["wasted_cache_fraction", "prefix_hit_fraction"] {
        assert!(policy[field].is_f64(), "{field}");
    }
    assert!(policy["time_to_first_token_ms"]["p95"].is_f64());
    for field in ["completed", "refused", "failed"] {
        assert!(policy[field].is_u64(), "{field}");
    }
    assert_eq!(value["workload"], "bayou-roof");
    assert_eq!(value["seeds"][0], 1);
}

#[test]
fn report_and_plots_are_written() {
    let directory = std::env::temp_dir().join(format!("dahlia-plots-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a temporary directory");
    let workload_path = directory.join("small.toml");
    let text = toml::to_string(&short_workload("bayou-roof")).expect("a workload is TOML");
    std::fs::write(&workload_path, text).expect("it is written");
    let mut options = CompareOptions::new(workload_path);
    options.policies = ExperimentPolicy::parse_list("sticky-fcfs,oracle").expect("known names");
    options.seeds = vec![1];
    options.sweep = vec![0.5, 1.0];
    options.report = Some(directory.join("report.json"));
    options.plots = Some(directory.join("plots"));
    compare::run(options).expect("it runs and writes");
    assert!(directory.join("report.json").exists());
    let plots = std::fs::read_dir(directory.join("plots")).expect("the directory is there");
    let names: Vec<String> = plots
        .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
        .filter(|name| name.ends_with(".svg"))
        .collect();
    assert_eq!(names.len(), 5, "{names:?}");
    std::fs::remove_dir_all(&directory).expect("it is removed");
}

#[test]
fn invalid_workload_names_the_field() {
    let text = std::fs::read_to_string(workload_path("bayou-roof")).expect("the file is there");
    let invalid = text.replace("report_loss = 0.02", "report_loss = 2.0");
    let workload: Workload = toml::from_str(&invalid).expect("it still parses");
    let error = workload.check().expect_err("the loss is out of range");
    assert_eq!(error.field, "deployment.report_loss");
    let unknown = text.replace("report_loss", "report_losses");
    assert!(toml::from_str::<Workload>(&unknown).is_err());
}
