//! Experiments in virtual time: the real scheduler against modelled engines.
//!
//! A workload file describes deployment, programs and faults. The driver runs it once per policy
//! and seed; the comparison puts the results side by side.

pub mod compare;
mod driver;
mod error;
mod metrics;
mod oracle;
mod plots;
mod report;
pub mod workload;

pub use compare::{CompareOptions, ExperimentPolicy};
pub use driver::{RunOptions, run_once};
pub use error::ExperimentError;
pub use metrics::{Outcome, RunResult};
pub use report::{CompareReport, LoadPoint, PolicyReport, Quantiles, Spread};
