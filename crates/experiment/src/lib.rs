//! Runs experiments in virtual time with the real scheduler and modelled engines.
//!
//! A workload file describes the deployment, programs and faults. The driver runs it once per
//! policy and seed, and the comparison reports the results side by side.

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
