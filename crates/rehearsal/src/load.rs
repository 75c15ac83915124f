//! `rehearse load`: callers in a closed loop through real daemons, and the same calls sent to the
//! engines directly. Reports the latency that the daemons add, and calls per second and core.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use gumdrop::Options;
use serde::Serialize;
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::time::Instant;

use crate::RehearsalError;
use crate::caller::{Answer, Caller, Turn};
use crate::cluster::{Cluster, ClusterPlan};
use crate::direct::DirectCaller;
use crate::error::FileSnafu;
use crate::latency::{LatencyHistogram, LatencySummary};
use crate::operator::OperatorClient;
use crate::process_usage::{ProcessUsage, read_usage};

/// Budget of each program: the largest that a tenant without a limit of its own may give.
const BUDGET_TOKENS: u64 = 10_000_000;
const TENANT: &str = "load";

/// Flags of `rehearse load`.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Programs at a time.
    #[options(help = "programs at a time, each with one call in progress", default = "16")]
    pub programs: usize,
    /// Turns of each program.
    #[options(help = "turns of each program", default = "20")]
    pub turns: u32,
    /// Tokens of each answer.
    #[options(help = "tokens of each answer", default = "16")]
    pub tokens: u64,
    /// Speed of the engines' clocks.
    #[options(help = "how much faster than real the engines run", default = "50")]
    pub speed: f64,
    /// Voters of each replica group.
    #[options(help = "voters of each replica group", default = "3")]
    pub replicas: u32,
    /// Report.
    #[options(help = "write the figures as JSON", meta = "FILE")]
    pub report: Option<PathBuf>,
}

/// The results of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Programs at a time.
    pub programs: usize,
    /// Turns of each.
    pub turns: u32,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Voters of each replica group.
    pub replicas: u32,
    /// From request to first text, through a daemon.
    pub first_text_ms: LatencySummary,
    /// From request to the end, through a daemon.
    pub whole_ms: LatencySummary,
    /// From request to first text, at an engine directly.
    pub direct_first_text_ms: LatencySummary,
    /// From request to the end, at an engine directly.
    pub direct_whole_ms: LatencySummary,
    /// Calls answered in a second through the daemons.
    pub calls_per_second: f64,
    /// Processor seconds that all daemons used.
    pub daemon_processor_seconds: f64,
    /// Calls answered for each processor second of the daemons.
    pub calls_per_processor_second: f64,
    /// Calls that ended with an error.
    pub failed: u64,
}

/// Runs the load and prints its figures.
///
/// # Errors
/// [`RehearsalError`] when the cluster does not start or the report cannot be written.
pub async fn run(options: LoadOptions) -> Result<(), RehearsalError> {
    let scratch = TempDir::new().context(FileSnafu { path: std::env::temp_dir() })?;
    tokio::select! {
        report = measure(&options, scratch.path()) => output_report(&options, &report?),
        _ = tokio::signal::ctrl_c() => Err(RehearsalError::Interrupted),
    }
}

fn output_report(options: &LoadOptions, report: &LoadReport) -> Result<(), RehearsalError> {
    print_report(report);
    let Some(path) = &options.report else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(report).map_err(|error| RehearsalError::Failed {
        message: format!("writing the report as JSON: {error}"),
    })?;
    std::fs::write(path, text).context(FileSnafu { path })
}

async fn measure(options: &LoadOptions, folder: &Path) -> Result<LoadReport, RehearsalError> {
    let plan = ClusterPlan {
        speed: options.speed,
        voters: options.replicas,
        ..ClusterPlan::bayou_current()
    }
    .with_daemons(options.replicas as usize);
    let cluster = Cluster::start(plan, folder).await?;
    cluster.wait_until_ready().await?;
    let direct = measure_direct(&cluster, options).await?;
    let before = read_daemons_usage(&cluster);
    let started = Instant::now();
    let through_daemons = measure_through_daemons(&cluster, options).await?;
    let elapsed = started.elapsed();
    let used = read_daemons_usage(&cluster).processor_seconds - before.processor_seconds;
    let answered = through_daemons.whole.summary().count as f64;
    Ok(LoadReport {
        programs: options.programs,
        turns: options.turns,
        tokens: options.tokens,
        replicas: options.replicas,
        first_text_ms: through_daemons.first.summary(),
        whole_ms: through_daemons.whole.summary(),
        direct_first_text_ms: direct.first.summary(),
        direct_whole_ms: direct.whole.summary(),
        calls_per_second: answered / elapsed.as_secs_f64(),
        daemon_processor_seconds: used,
        calls_per_processor_second: answered / used.max(f64::MIN_POSITIVE),
        failed: through_daemons.failed,
    })
}

/// Latencies and failures of the calls through daemons, or of the direct calls.
#[derive(Default)]
struct LoadMeasurements {
    first: LatencyHistogram,
    whole: LatencyHistogram,
    failed: u64,
}

impl LoadMeasurements {
    fn add(&mut self, answer: &Answer) {
        self.first.record(answer.first_text_latency);
        self.whole.record(answer.total_latency);
    }

    fn merge(&mut self, other: &Self) {
        self.first.merge(&other.first);
        self.whole.merge(&other.whole);
        self.failed += other.failed;
    }
}

async fn measure_through_daemons(
    cluster: &Cluster,
    options: &LoadOptions,
) -> Result<LoadMeasurements, RehearsalError> {
    let mut programs = Vec::new();
    let operators = cluster.operator_addresses();
    for index in 0..options.programs {
        let mut order = operators.clone();
        order.rotate_left(index % operators.len());
        let mut operator = OperatorClient::connect(&order).await?;
        programs.push(
            operator.create_program(TENANT, &cluster.plan.model, BUDGET_TOKENS).await?.program,
        );
    }
    let mut tasks = Vec::new();
    for (index, program) in programs.into_iter().enumerate() {
        let caller =
            Caller::new(cluster.gateway_addresses(), index, cluster.issue_credential(TENANT));
        let (turns, tokens) = (options.turns, options.tokens);
        tasks.push(tokio::spawn(call_program(caller, program, turns, tokens)));
    }
    let mut measurements = LoadMeasurements::default();
    for task in tasks {
        let one = task.await.map_err(|error| RehearsalError::Failed {
            message: format!("a caller's task failed: {error}"),
        })?;
        measurements.merge(&one);
    }
    Ok(measurements)
}

async fn call_program(
    caller: Caller,
    program: String,
    turns: u32,
    tokens: u64,
) -> LoadMeasurements {
    let mut measurements = LoadMeasurements::default();
    for number in 1..=turns {
        let turn = Turn {
            program: program.clone(),
            chain: 0,
            number,
            text: build_prompt(number, tokens),
            max_tokens: tokens,
        };
        match caller.send_turn(&turn).await {
            Ok(answer) => measurements.add(&answer),
            Err(_) => measurements.failed += 1,
        }
    }
    measurements
}

async fn measure_direct(
    cluster: &Cluster,
    options: &LoadOptions,
) -> Result<LoadMeasurements, RehearsalError> {
    let mut tasks = Vec::new();
    let engines: Vec<SocketAddr> = cluster.engines.iter().map(|engine| engine.address).collect();
    for index in 0..options.programs {
        let caller = DirectCaller::new(engines[index % engines.len()], &cluster.plan.model);
        let (turns, tokens) = (options.turns, options.tokens);
        tasks.push(tokio::spawn(call_directly(caller, turns, tokens)));
    }
    let mut measurements = LoadMeasurements::default();
    for task in tasks {
        let one = task.await.map_err(|error| RehearsalError::Failed {
            message: format!("a caller's task failed: {error}"),
        })?;
        measurements.merge(&one?);
    }
    Ok(measurements)
}

async fn call_directly(
    mut caller: DirectCaller,
    turns: u32,
    tokens: u64,
) -> Result<LoadMeasurements, RehearsalError> {
    let mut measurements = LoadMeasurements::default();
    for number in 1..=turns {
        measurements.add(&caller.send_turn(&build_prompt(number, tokens), tokens).await?);
    }
    Ok(measurements)
}

/// Builds a prompt; the stand-in engine reads the length of its answer from it.
fn build_prompt(number: u32, tokens: u64) -> String {
    format!("Reading {number} of the string voltage is 612 V, as before. [[tokens={tokens}]]")
}

fn read_daemons_usage(cluster: &Cluster) -> ProcessUsage {
    let processes = cluster.daemons.iter().filter_map(|daemon| daemon.process.as_ref());
    let usages = processes.filter_map(|process| read_usage(process.id()?));
    usages.fold(ProcessUsage::default(), |sum, one| ProcessUsage {
        processor_seconds: sum.processor_seconds + one.processor_seconds,
        resident_bytes: sum.resident_bytes + one.resident_bytes,
    })
}

fn print_report(report: &LoadReport) {
    println!(
        "{:<24} {:>7} {:>9} {:>9} {:>9} {:>9}",
        "latency ms", "calls", "p50", "p95", "p99", "max"
    );
    let rows = [
        ("direct, first text", &report.direct_first_text_ms),
        ("daemon, first text", &report.first_text_ms),
        ("direct, whole", &report.direct_whole_ms),
        ("daemon, whole", &report.whole_ms),
    ];
    for (name, summary) in rows {
        println!(
            "{name:<24} {:>7} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            summary.count, summary.p50, summary.p95, summary.p99, summary.max
        );
    }
    println!(
        "{:.0} calls/s, {:.0} calls per processor second of the daemons, {} failed",
        report.calls_per_second, report.calls_per_processor_second, report.failed
    );
}
