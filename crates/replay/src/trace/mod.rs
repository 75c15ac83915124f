//! A trace: deployment, workload and faults in time, and stated outcomes, as a text file.
//!
//! | module | job |
//! |---|---|
//! | `event` | what can stand in a trace |
//! | `fault` | what goes wrong in it |
//! | `line` | one line as a keyword and fields |
//! | `parse` | text to trace, with errors naming line and field |
//! | `write` | trace to text |

mod event;
mod fault;
mod line;
mod parse;
mod write;

use dahlia_types::Duration;

use crate::Promise;

pub use event::{
    Deployment, EndOfProgram, Event, Expectation, OutcomeKind, ProgramScript, PromptForm, Work,
};
pub use fault::{CrashPoint, Fault, Subject};
pub use parse::{TraceError, parse};
pub use write::write;

/// Something that happens at a time of the trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Timed {
    /// When, since the start of the run.
    pub at: Duration,
    /// What.
    pub event: Event,
}

/// A whole trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Its name; the file's name without its end.
    pub name: String,
    /// The promise that it is for. All promises are checked in every run.
    pub promise: Promise,
    /// First seed of what the trace leaves open: delays, orders of arrival, engines' steps.
    pub seed: u64,
    /// Number of seeds that a plain replay runs, counting up from `seed`.
    pub seeds: u64,
    /// What runs.
    pub deployment: Deployment,
    /// Workload and faults, in the order of their times.
    pub events: Vec<Timed>,
    /// What must have come of it, beside the promises.
    pub expectations: Vec<Expectation>,
}

impl Trace {
    /// The names of the faults in it, without repeats, in order of first appearance.
    pub fn fault_names(&self) -> Vec<&'static str> {
        let mut names = Vec::new();
        for timed in &self.events {
            if let Event::Fault(fault) = &timed.event
                && !names.contains(&fault.name())
            {
                names.push(fault.name());
            }
        }
        names
    }

    /// When the last fault has ended.
    pub fn faults_end(&self) -> Duration {
        let end = |timed: &Timed| match &timed.event {
            Event::Fault(fault) => Duration(timed.at.0 + fault.length().0),
            Event::Work(_) => timed.at,
        };
        self.events.iter().map(end).max().unwrap_or_default()
    }
}
