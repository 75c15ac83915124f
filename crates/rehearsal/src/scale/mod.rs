//! `rehearse scale`: what control costs a daemon at several sizes of the system.
//!
//! Hollow daemons run the real control parts (membership, replica groups, upkeep, layout) over
//! real connections, many in one process; a few whole daemons run beside them. The costs of a
//! hollow daemon are those of its process, shared evenly.

mod fit;
mod hollow;
mod report;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gumdrop::Options;
use snafu::ResultExt;
use tempfile::TempDir;

use crate::RehearsalError;
use crate::cluster::{Cluster, ClusterPlan, DaemonProcess};
use crate::error::FileSnafu;
use crate::processes::ChildProcess;

pub use fit::Line;
pub use hollow::{HollowOptions, run as run_hollow};
pub use report::{Phase, ScaleReport, SizeReport};

/// Whole daemons beside the hollow ones.
const REAL_DAEMONS: usize = 3;
/// Zones of the target (letter 1): seven in two regions.
pub(crate) const ZONES: [(&str, &str); 7] = [
    ("region-1", "zone-a"),
    ("region-1", "zone-b"),
    ("region-1", "zone-c"),
    ("region-1", "zone-d"),
    ("region-2", "zone-e"),
    ("region-2", "zone-f"),
    ("region-2", "zone-g"),
];
/// Requests a second that the key-value stand-in takes; the start of many daemons reads it.
const KEY_VALUE_RATE: u64 = 2_000;
/// How long a size may take beyond its stated times.
const SLACK: Duration = Duration::from_secs(240);

/// Flags of `rehearse scale`.
#[derive(Debug, Options)]
pub struct ScaleOptions {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Sizes.
    #[options(help = "numbers of daemons, separated by commas", default = "40,100,200,370")]
    pub daemons: String,
    /// Programs.
    #[options(help = "programs for each daemon", default = "100")]
    pub programs: u64,
    /// Groups.
    #[options(help = "replica groups for each daemon", default = "2")]
    pub groups: u32,
    /// Seconds of each phase.
    #[options(help = "seconds that each phase is measured", default = "20")]
    pub seconds: u64,
    /// Churn.
    #[options(
        help = "how much faster than real the letter's 86 replacements a day come",
        default = "120"
    )]
    pub speedup: f64,
    /// Report.
    #[options(help = "write the figures as JSON", meta = "FILE")]
    pub report: Option<PathBuf>,
}

/// Runs all sizes, one after the other, and prints figures and fits.
///
/// # Errors
/// [`RehearsalError`] when a size is malformed, a process fails or the report cannot be written.
pub async fn run(options: ScaleOptions) -> Result<(), RehearsalError> {
    tokio::select! {
        result = run_sizes(&options) => result,
        _ = tokio::signal::ctrl_c() => Err(RehearsalError::Interrupted),
    }
}

async fn run_sizes(options: &ScaleOptions) -> Result<(), RehearsalError> {
    let sizes = parse_sizes(&options.daemons)?;
    let mut reports = Vec::new();
    report::print_header();
    for size in sizes {
        let measured = run_size(options, size).await?;
        report::print_size(&measured);
        reports.push(measured);
    }
    let whole = ScaleReport::new(reports);
    report::print_fits(&whole);
    let Some(path) = &options.report else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(&whole).map_err(|error| RehearsalError::Broken {
        what: format!("writing the report as JSON: {error}"),
    })?;
    std::fs::write(path, text).context(FileSnafu { path })
}

fn parse_sizes(text: &str) -> Result<Vec<usize>, RehearsalError> {
    let parse = |part: &str| match part.trim().parse::<usize>() {
        Ok(size) if size > REAL_DAEMONS => Ok(size),
        _ => Err(RehearsalError::Broken {
            what: format!("--daemons: {part:?} is no number above {REAL_DAEMONS}"),
        }),
    };
    text.split(',').map(parse).collect()
}

async fn run_size(options: &ScaleOptions, size: usize) -> Result<SizeReport, RehearsalError> {
    let scratch = TempDir::new().context(FileSnafu { path: std::env::temp_dir() })?;
    let groups = options.groups * size as u32;
    let plan = ClusterPlan {
        region: ZONES[0].0.to_owned(),
        daemon_zones: ZONES.iter().take(REAL_DAEMONS).map(|(_, zone)| (*zone).to_owned()).collect(),
        engine_zones: Vec::new(),
        groups,
        bootstrap_daemons: size as u32,
        key_value_rate: KEY_VALUE_RATE,
        ..ClusterPlan::bayou_current()
    };
    let cluster = Cluster::start(plan, scratch.path()).await?;
    let mut hollow = start_hollow(options, size, groups, &cluster, scratch.path()).await?;
    let limit = Duration::from_secs(options.seconds * 2) + SLACK;
    let line = hollow.next_line(limit).await?;
    serde_json::from_str(&line).map_err(|error| RehearsalError::NotReady {
        name: "hollow".to_owned(),
        reason: format!("{error} in {line:?}"),
    })
}

async fn start_hollow(
    options: &ScaleOptions,
    size: usize,
    groups: u32,
    cluster: &Cluster,
    folder: &Path,
) -> Result<ChildProcess, RehearsalError> {
    let listed = |address: fn(&DaemonProcess) -> SocketAddr| {
        let addresses = cluster.daemons.iter().map(|daemon| address(daemon).to_string());
        addresses.collect::<Vec<String>>().join(",")
    };
    let text = format!(
        "hollow --daemons {} --beside {REAL_DAEMONS} --groups {groups} --key-value {} --seeds {} \
         --gateways {} --programs {} --seconds {} --speedup {}",
        size - REAL_DAEMONS,
        cluster.key_value_address(),
        listed(|daemon| daemon.peers),
        listed(|daemon| daemon.gateway),
        options.programs,
        options.seconds,
        options.speedup
    );
    let arguments: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
    let (process, _) = ChildProcess::start("hollow", &arguments, folder).await?;
    Ok(process)
}
