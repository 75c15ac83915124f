//! Figures of scale runs.

use serde::{Deserialize, Serialize};

use super::fit::Line;

/// Daemons of the target (letter 1).
const TARGET_DAEMONS: f64 = 370.0;

/// What a hollow daemon cost over one phase.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Phase {
    /// Percent of one core.
    pub core_percent: f64,
    /// Bytes sent to other daemons in a second, without headers of TCP and IP.
    pub bytes_per_second: f64,
    /// Frames sent in a second.
    pub frames_per_second: f64,
    /// Most bytes that any one of them sent in a second.
    pub most_bytes_per_second: f64,
    /// Resident bytes at the end of the phase, less those of the process without daemons.
    pub resident_bytes: f64,
}

/// Figures of one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SizeReport {
    /// Daemons, hollow and whole.
    pub daemons: usize,
    /// Whole daemons among them.
    pub real: usize,
    /// Replica groups.
    pub groups: u32,
    /// Programs created.
    pub programs: u64,
    /// Seconds until every daemon was ready and every group had an owner.
    pub ready_seconds: f64,
    /// Nothing happens.
    pub at_rest: Phase,
    /// Nothing happens; the programs are there.
    pub with_programs: Phase,
    /// Daemons die and come back at the stated rate.
    pub under_churn: Phase,
    /// Restarts during the churn.
    pub restarts: u64,
    /// Groups without an owner at the end of the churn, after a pause.
    pub groups_without_owner: u64,
}

/// Figures of all sizes, and their growth.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleReport {
    /// One for each size.
    pub sizes: Vec<SizeReport>,
    /// Growth of each figure with the number of daemons.
    pub fits: Vec<Fit>,
}

/// Growth of one figure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The figure's name.
    pub figure: String,
    /// The line.
    pub line: Line,
    /// Its value at the target's size.
    pub at_target: f64,
}

/// Reads one figure of a size.
type Figure = fn(&SizeReport) -> f64;

impl ScaleReport {
    /// Fits each figure.
    pub fn new(sizes: Vec<SizeReport>) -> Self {
        let figures: [(&str, Figure); 7] = [
            ("at rest, % of a core", |size| size.at_rest.core_percent),
            ("at rest, bytes/s", |size| size.at_rest.bytes_per_second),
            ("under churn, % of a core", |size| size.under_churn.core_percent),
            ("under churn, bytes/s", |size| size.under_churn.bytes_per_second),
            ("at rest, resident bytes", |size| size.at_rest.resident_bytes),
            ("with programs, resident bytes", |size| size.with_programs.resident_bytes),
            ("ready after, s", |size| size.ready_seconds),
        ];
        let mut fits = Vec::new();
        for (figure, read) in figures {
            let points: Vec<(f64, f64)> =
                sizes.iter().map(|size| (size.daemons as f64, read(size))).collect();
            if let Some(line) = Line::through(&points) {
                let at_target = line.at(TARGET_DAEMONS);
                fits.push(Fit { figure: figure.to_owned(), line, at_target });
            }
        }
        Self { sizes, fits }
    }
}

pub(super) fn print_header() {
    println!(
        "{:>7} {:>6} {:>9} {:>7} | {:>7} {:>8} {:>9} | {:>7} {:>8} {:>8} {:>8}",
        "daemons",
        "groups",
        "programs",
        "ready s",
        "rest %",
        "B/s",
        "KB",
        "churn %",
        "B/s",
        "most B/s",
        "restarts"
    );
}

pub(super) fn print_size(size: &SizeReport) {
    println!(
        "{:>7} {:>6} {:>9} {:>7.1} | {:>7.2} {:>8.0} {:>9.0} | {:>7.2} {:>8.0} {:>8.0} {:>8}",
        size.daemons,
        size.groups,
        size.programs,
        size.ready_seconds,
        size.at_rest.core_percent,
        size.at_rest.bytes_per_second,
        size.with_programs.resident_bytes / 1_024.0,
        size.under_churn.core_percent,
        size.under_churn.bytes_per_second,
        size.under_churn.most_bytes_per_second,
        size.restarts
    );
}

pub(super) fn print_fits(report: &ScaleReport) {
    println!();
    for Fit { figure, line, at_target } in &report.fits {
        println!(
            "{figure:<32} {:>12.3} + {:>10.5} x daemons, residual {:>10.3}, at 370: {:>10.2}",
            line.intercept, line.slope, line.largest_residual, at_target
        );
    }
}
